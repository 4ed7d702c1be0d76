package policy

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// deploy/balancer.toml names every file with decisions, and the lines of these files are at most 110 columns
// wide. The number of lines is not limited.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	// Files without decisions: the interface, the checks of settings, and the state.
	withoutDecisions := []string{"types.go", "settings.go", "state.go"}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || slices.Contains(withoutDecisions, name) {
			continue
		}
		if !strings.Contains(string(deploy), `"policy/`+name+`"`) {
			t.Errorf("deploy/balancer.toml doesn't name policy/%s", name)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > 110 {
				t.Errorf("%s:%d is %d characters wide, at most 110", name, i+1, width)
			}
		}
	}
}
