package mutant

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A mechanism that a test stands on is seen to be missing, one that no test looks at is not;
// the tree stays as it is, and a file that makes no sense is refused by its key.
func TestRun(t *testing.T) {
	root := t.TempDir()
	files := map[string]string{"go.mod": "module m\n\ngo 1.26\n", "p/p.go": "package p\n\nfunc F() int { return 1 }\n\nfunc G() int { return 2 }\n",
		"p/p_test.go": "package p\n\nimport \"testing\"\n\nfunc TestF(t *testing.T) {\n\tif F() != 1 {\n\t\tt.Error(\"F\", G())\n\t}\n}\n"}
	for name, text := range files {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	mutants := func(old, test string) string {
		return "[[mutant]]\nname = \"m\"\npackage = \"./p\"\ntest = \"" + test + "\"\nedit = [{ file = \"p/p.go\", old = \"" + old + "\", new = \"return 7\" }]\n"
	}
	file := filepath.Join(root, "mutants.toml")
	for _, c := range []struct {
		text string
		seen bool
		says string // of an error
	}{
		{mutants("return 1", "TestF$"), true, ""},
		{mutants("return 2", "TestF$"), false, ""},
		{mutants("return 2", "TestNone$"), false, "no test is called"},
		{mutants("return", "TestF$"), false, "2 times, not once"},
		{mutants("func G() int", "TestF$"), false, "does not build"},
		{mutants("return 1", "("), false, "mutant[0].test"},
		{"[[mutant]]\nname = \"m\"\n", false, "mutant[0].package"},
		{"[[mutant]]\nnome = \"m\"\n", false, "nome"},
		{"", false, "mutant: none"},
	} {
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		all, err := Load(file)
		var v Verdict
		if err == nil {
			All(context.Background(), root, all, 1, func(_ *Mutant, got Verdict, e error) { v, err = got, e })
		}
		if (err != nil) != (c.says != "") || err != nil && !strings.Contains(err.Error(), c.says) || v.Seen != c.seen {
			t.Errorf("%s: %+v, %v; want seen %v, error %q", c.text, v, err, c.seen, c.says)
		}
	}
	if text, err := os.ReadFile(filepath.Join(root, "p/p.go")); err != nil || string(text) != files["p/p.go"] {
		t.Errorf("the tree is %q, %v", text, err)
	}
}
