package policy

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The deploy file names every file with decisions, and none of their lines is too wide to read. How
// many lines they have is not limited any more.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	// The interface, the settings' checks, and what is remembered hold no decisions.
	undecided := []string{"types.go", "settings.go", "state.go"}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || slices.Contains(undecided, name) {
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
