package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"knotrouter/internal/lab/capacity"
)

// newCapacityFolder returns a folder with copies of the capacity page and the target, and fixture results.
func newCapacityFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range []string{capacityPage, filepath.Join("capacity", "target.toml")} {
		text, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	writeResultsFixture(t, folder, 4)
	return folder
}

// writeResultsFixture writes fixture results in which agents receive bytesPerServer bytes a second for each
// server.
func writeResultsFixture(t *testing.T, folder string, bytesPerServer float64) {
	t.Helper()
	results := &capacity.Results{Experiment: "fleet-ahead", Variant: capacity.Before, Command: "fixture", Commit: "fixture", Machine: "fixture"}
	for _, servers := range []int{1000, 2000, 3000, 4000} {
		run := capacity.Run{Servers: servers, Watches: servers}
		run.Add("hollow agent", "steady", "bytes_in_per_second", bytesPerServer*float64(servers))
		results.Runs = append(results.Runs, run)
	}
	if err := capacity.Write(filepath.Join(folder, "capacity", "fixture.json"), results); err != nil {
		t.Fatal(err)
	}
}

func runCapacity(folder string, args ...string) (string, error) {
	var out bytes.Buffer
	root := newRootCommand(&out, &out)
	root.SetArgs(append([]string{"capacity", "--dir", folder}, args...))
	err := root.Execute()
	return out.String(), err
}

// readPage returns the page of a folder.
func readPage(t *testing.T, folder string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(folder, capacityPage))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkDiffers checks that --check reports in one line that a table differs, and doesn't write the page.
func checkDiffers(t *testing.T, folder, table string) {
	t.Helper()
	before := readPage(t, folder)
	output, err := runCapacity(folder, "--check")
	if !errors.Is(err, errChecksFailed) || strings.Count(output, "\n") != 1 || !strings.Contains(output, "table "+table+" differs") {
		t.Errorf("--check printed %q, error %v; want one line that names %s", output, err, table)
	}
	if after := readPage(t, folder); !bytes.Equal(after, before) {
		t.Error("--check wrote the page")
	}
}

// regenerate writes the page's tables, runs --check on the page and returns it.
func regenerate(t *testing.T, folder string) []byte {
	t.Helper()
	if output, err := runCapacity(folder); err != nil {
		t.Fatalf("%s: %v", output, err)
	}
	if output, err := runCapacity(folder, "--check"); err != nil {
		t.Fatalf("--check after the page was generated: %s: %v", output, err)
	}
	return readPage(t, folder)
}

func TestCapacityWritesAndChecksPage(t *testing.T) {
	folder := newCapacityFolder(t)
	checkDiffers(t, folder, "sources") // the page in the repository has no fixture results
	first := regenerate(t, folder)
	if again := regenerate(t, folder); !bytes.Equal(first, again) {
		t.Error("the page differs after it was generated again")
	}
	proseAdded := bytes.Replace(first, []byte("# Capacity\n"), []byte("# Capacity\n\nMore prose.\n"), 1)
	changed := bytes.Replace(proseAdded, []byte("| 156,000* |"), []byte("| 15,600* |"), 1)
	if bytes.Equal(changed, proseAdded) {
		t.Fatal("the page has no cell \"156,000*\" for the bytes that an agent receives at the target")
	}
	if err := os.WriteFile(filepath.Join(folder, capacityPage), changed, 0o644); err != nil {
		t.Fatal(err)
	}
	checkDiffers(t, folder, "roles")
	if rebuilt := regenerate(t, folder); !bytes.Equal(rebuilt, proseAdded) {
		t.Error("the prose was changed, or the changed table was not restored")
	}
	writeResultsFixture(t, folder, 5)
	checkDiffers(t, folder, "slopes")
}

func TestCapacityNamesInvalidInput(t *testing.T) {
	for name, c := range map[string]struct{ file, text, want string }{
		"unknown key of the target":   {"capacity/target.toml", "serverz = 1\n", "serverz: unknown key"},
		"unknown key of a result":     {"capacity/fixture.json", `{"experimint": ""}`, "experimint"},
		"page without its first mark": {"CAPACITY.md", "# Capacity\n", "table: sources"},
	} {
		t.Run(name, func(t *testing.T) {
			folder := newCapacityFolder(t)
			if err := os.WriteFile(filepath.Join(folder, c.file), []byte(c.text), 0o644); err != nil {
				t.Fatal(err)
			}
			for _, args := range [][]string{nil, {"--check"}} {
				output, err := runCapacity(folder, args...)
				if err == nil || errors.Is(err, errChecksFailed) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
					t.Errorf("%v: output %q, error %v; want one line with %q", args, output, err, c.want)
				}
			}
		})
	}
}
