package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// StringConstants returns the values of the package-level constants in a directory that are declared as
// string literals, sorted and without duplicates; test files are skipped. If types are given, only
// constants declared with one of these types are included. It fails the test if a file can't be parsed.
func StringConstants(t testing.TB, dir string, types ...string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range constantSpecs(parsed) {
			if len(types) == 0 || hasType(spec, types) {
				values = append(values, stringLiterals(t, spec)...)
			}
		}
	}
	slices.Sort(values)
	return slices.Compact(values)
}

// constantSpecs returns the package-level constant declarations of a file.
func constantSpecs(file *ast.File) []*ast.ValueSpec {
	var specs []*ast.ValueSpec
	for _, declaration := range file.Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			specs = append(specs, spec.(*ast.ValueSpec)) // const groups have no other specs
		}
	}
	return specs
}

// hasType reports whether the constants of a declaration have one of the types.
func hasType(spec *ast.ValueSpec, types []string) bool {
	name, ok := spec.Type.(*ast.Ident)
	return ok && slices.Contains(types, name.Name)
}

// stringLiterals returns the values of the string literals in a constant declaration.
func stringLiterals(t testing.TB, spec *ast.ValueSpec) []string {
	t.Helper()
	var values []string
	for _, value := range spec.Values {
		literal, ok := value.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			continue
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		values = append(values, text)
	}
	return values
}
