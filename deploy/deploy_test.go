// Package deploy holds the deploy file. Its only code is tests.
package deploy

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/knadh/koanf/parsers/toml/v2"
)

// The platform reads exactly these keys, and the files, folders and programs that they name must exist.
func TestDeployFilePathsExist(t *testing.T) {
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	file, err := toml.Parser().Unmarshal(text)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"build", "node", "packages", "policy", "run", "sim"}
	if got := slices.Sorted(maps.Keys(file)); !slices.Equal(got, want) {
		t.Errorf("keys %q, want %q", got, want)
	}
	for _, key := range []string{"policy", "node", "packages"} {
		paths, ok := file[key].([]any)
		if !ok || len(paths) == 0 && key != "packages" {
			t.Errorf("%s: %v, want a list of paths", key, file[key])
		}
		for _, p := range paths {
			info, err := os.Stat(filepath.Join("..", p.(string)))
			switch {
			case err != nil:
				t.Errorf("%s: %v", key, err)
			case info.IsDir() == (key == "policy"):
				t.Errorf("%s: %s: is a folder: %v", key, p, info.IsDir())
			}
		}
	}
	for _, key := range []string{"run", "sim"} {
		line, ok := file[key].(string)
		program, found := strings.CutPrefix(line, "exec bin/")
		if !ok || !found {
			t.Errorf("%s: %q does not start a program in bin/", key, line)
		}
		if _, err := os.Stat(filepath.Join("..", "cmd", program)); err != nil {
			t.Errorf("%s: the build creates no such program: %v", key, err)
		}
	}
	if line, ok := file["build"].(string); !ok || !strings.Contains(line, "go build") || !strings.Contains(line, "-o bin/ ./cmd/...") {
		t.Errorf("build: %q does not build the programs into bin/", file["build"])
	}
}
