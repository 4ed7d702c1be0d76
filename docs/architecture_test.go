// Package docs holds the project's documentation. Its test checks that the paths, files and symbols
// that the architecture page names exist.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const architecturePage = "ARCHITECTURE.md"

// minChecked is the minimum number of paths and symbols that must be recognized on the page. Without
// it, a page whose code spans are no longer recognized would pass unchecked.
const minChecked = 40

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// symbolSpan matches package.Symbol and package.Type.Member, optionally with the trailing
	// parentheses of a call.
	symbolSpan = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?(?:\(\))?$`)
	// pathSpan matches a path or path pattern below the project's root.
	pathSpan = regexp.MustCompile(`^(?:cmd|internal|policy|docs|deploy|experiments|journal|\.ci)(?:/[\w.*-]+)*/?$`)
	// fileSpan matches the name of a single file.
	fileSpan = regexp.MustCompile(`^[\w-]+\.(?:go|md|toml|txt)$`)
)

// symbols holds the declarations of one package: top-level names, and the members of each type.
type symbols struct {
	topLevel map[string]bool
	members  map[string]map[string]bool
}

func newSymbols() *symbols {
	return &symbols{topLevel: map[string]bool{}, members: map[string]map[string]bool{}}
}

func (s *symbols) addMember(typeName, member string) {
	if s.members[typeName] == nil {
		s.members[typeName] = map[string]bool{}
	}
	s.members[typeName][member] = true
}

// receiverType returns the name of a method's type, without pointer and type parameters.
func receiverType(expr ast.Expr) string {
	switch e := expr.(type) {
	case *ast.StarExpr:
		return receiverType(e.X)
	case *ast.IndexExpr:
		return receiverType(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

func (s *symbols) addFile(file *ast.File) {
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Recv != nil && len(d.Recv.List) > 0 {
				s.addMember(receiverType(d.Recv.List[0].Type), d.Name.Name)
				continue
			}
			s.topLevel[d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				s.addSpec(spec)
			}
		}
	}
}

func (s *symbols) addSpec(spec ast.Spec) {
	switch sp := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range sp.Names {
			s.topLevel[name.Name] = true
		}
	case *ast.TypeSpec:
		s.topLevel[sp.Name.Name] = true
		switch t := sp.Type.(type) {
		case *ast.StructType:
			s.addFields(sp.Name.Name, t.Fields)
		case *ast.InterfaceType:
			s.addFields(sp.Name.Name, t.Methods)
		}
	}
}

func (s *symbols) addFields(typeName string, fields *ast.FieldList) {
	for _, field := range fields.List {
		for _, name := range field.Names {
			s.addMember(typeName, name.Name)
		}
	}
}

// packagesByName parses the module's code, without tests, and returns the symbols of each package by
// its name. The main packages are listed under the names of their folders.
func packagesByName(t *testing.T, root string) map[string]*symbols {
	t.Helper()
	found := map[string]*symbols{}
	for _, folder := range []string{"cmd", "internal", "policy"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			name := file.Name.Name
			if name == "main" {
				name = filepath.Base(filepath.Dir(path))
			}
			if found[name] == nil {
				found[name] = newSymbols()
			}
			found[name].addFile(file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

func fileNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal") {
			return filepath.SkipDir
		}
		names[entry.Name()] = true
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func TestArchitecturePageReferencesExist(t *testing.T) {
	const root = ".."
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	packages := packagesByName(t, root)
	files := fileNames(t, root)
	checked := 0
	for number, line := range strings.Split(string(page), "\n") {
		for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
			text := span[1]
			switch symbol := symbolSpan.FindStringSubmatch(text); {
			case pathSpan.MatchString(text):
				checked++
				if matches, err := filepath.Glob(filepath.Join(root, text)); err != nil || len(matches) == 0 {
					t.Errorf("%s:%d: path %s does not exist", architecturePage, number+1, text)
				}
			case fileSpan.MatchString(text):
				checked++
				if !files[text] {
					t.Errorf("%s:%d: file %s does not exist", architecturePage, number+1, text)
				}
			case symbol != nil && packages[symbol[1]] != nil:
				checked++
				declared := packages[symbol[1]]
				if !declared.topLevel[symbol[2]] || symbol[3] != "" && !declared.members[symbol[2]][symbol[3]] {
					t.Errorf("%s:%d: symbol %s is not declared", architecturePage, number+1, text)
				}
			case symbol != nil:
				t.Errorf("%s:%d: %s: package %s does not exist", architecturePage, number+1, text, symbol[1])
			}
		}
	}
	if checked < minChecked {
		t.Errorf("%d paths and symbols were recognized, want at least %d", checked, minChecked)
	}
}
