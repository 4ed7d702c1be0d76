package mutant

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// sourceFile is the file that the mutants of the tests edit.
const sourceFile = "p/p.go"

// testTree is a module with a function F that a test checks, and a function G that no test checks.
var testTree = map[string]string{
	"go.mod":      "module m\n\ngo 1.26\n",
	sourceFile:    "package p\n\nfunc F() int { return 1 }\n\nfunc G() int { return 2 }\n",
	"p/p_test.go": "package p\n\nimport \"testing\"\n\nfunc TestF(t *testing.T) {\n\tif F() != 1 {\n\t\tt.Error(\"F\", G())\n\t}\n}\n",
}

// writeTree writes the test tree and returns its root.
func writeTree(t *testing.T) string {
	t.Helper()
	root := t.TempDir()
	for name, text := range testTree {
		writeFile(t, filepath.Join(root, name), text)
	}
	return root
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// mutantFile is a file with one mutant that replaces a text in sourceFile.
func mutantFile(old, test string) string {
	return "[[mutant]]\nname = \"m\"\npackage = \"./p\"\ntest = \"" + test + "\"\n" +
		"edit = [{ file = \"" + sourceFile + "\", old = \"" + old + "\", new = \"return 7\" }]\n"
}

// A mutant of code that a test checks is killed, and a mutant of unchecked code survives. A mutant that
// can't be run and a file of mutants with an invalid key give an error. The source tree is not changed.
func TestMutantIsKilledByItsTest(t *testing.T) {
	root := writeTree(t)
	file := filepath.Join(root, "mutants.toml")
	for name, c := range map[string]struct {
		mutants   string
		killed    bool
		wantError string // a part of the error's text; "" for none
	}{
		"checked code":    {mutants: mutantFile("return 1", "TestF$"), killed: true},
		"unchecked code":  {mutants: mutantFile("return 2", "TestF$")},
		"no such test":    {mutants: mutantFile("return 2", "TestNone$"), wantError: "no test matches"},
		"text twice":      {mutants: mutantFile("return", "TestF$"), wantError: "2 times, not once"},
		"build fails":     {mutants: mutantFile("func G() int", "TestF$"), wantError: "does not build"},
		"invalid pattern": {mutants: mutantFile("return 1", "("), wantError: "mutant[0].test"},
		"missing key":     {mutants: "[[mutant]]\nname = \"m\"\n", wantError: "mutant[0].package"},
		"unknown key":     {mutants: "[[mutant]]\nnome = \"m\"\n", wantError: "nome"},
		"no mutant":       {mutants: "", wantError: "mutant: none"},
	} {
		t.Run(name, func(t *testing.T) {
			writeFile(t, file, c.mutants)
			result, err := loadAndRun(t, root, file)
			if (err != nil) != (c.wantError != "") || err != nil && !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("error %v, want %q", err, c.wantError)
			}
			if result.Killed != c.killed {
				t.Errorf("result %+v, want killed %v", result, c.killed)
			}
		})
	}
	if text, err := os.ReadFile(filepath.Join(root, sourceFile)); err != nil || string(text) != testTree[sourceFile] {
		t.Errorf("the source file was changed to %q, or not read: %v", text, err)
	}
}

// loadAndRun loads a file with one mutant and runs it. It returns the error of either step.
func loadAndRun(t *testing.T, root, file string) (result Result, err error) {
	t.Helper()
	mutants, err := Load(file)
	if err != nil {
		return Result{}, err
	}
	RunAll(t.Context(), root, mutants, 1, func(_ *Mutant, r Result, e error) { result, err = r, e })
	return result, err
}
