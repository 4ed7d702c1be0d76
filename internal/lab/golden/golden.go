// Package golden compares what a test computed with a file under testdata, and fills values
// of message types so that the file shows every key of theirs. It is for tests only.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Path is where the golden file of that name is, from the folder of the package under test.
func Path(name string) string { return filepath.Join("testdata", name) }

// Check fails the test if got differs from the golden file. With -update it writes the file.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(Path(name), got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(want, got) {
		return
	}
	w, g := strings.Split(string(want), "\n"), strings.Split(string(got), "\n")
	for i := range max(len(w), len(g)) {
		var a, b string
		if i < len(w) {
			a = w[i]
		}
		if i < len(g) {
			b = g[i]
		}
		if a != b {
			t.Fatalf("%s differs first in line %d:\n golden: %s\n    got: %s", Path(name), i+1, a, b)
		}
	}
}

// Lines is Check for a list, one item a line.
func Lines(t testing.TB, name string, items []string) {
	t.Helper()
	Check(t, name, []byte(strings.Join(items, "\n")+"\n"))
}

// Includes fails the test if a line of the golden file is not among the items. Others may be.
func Includes(t testing.TB, name string, items []string) {
	t.Helper()
	if *update {
		Lines(t, name, items)
		return
	}
	want, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSuffix(string(want), "\n"), "\n") {
		if !slices.Contains(items, line) {
			t.Errorf("%s has %s, which is not there any more", Path(name), line)
		}
	}
}

// Message is one type whose JSON form is frozen. Name is its name in the golden file: it does
// not follow the name of the Go type.
type Message struct {
	Name string
	Type reflect.Type
}

// Of is the Message of type T.
func Of[T any](name string) Message { return Message{name, reflect.TypeFor[T]()} }

// Messages holds the JSON form of each type, with every field set: the filled value encodes as
// the golden file has it, and what the golden file has decodes to that value and encodes to the
// same bytes again.
func Messages(t *testing.T, file string, messages []Message) {
	t.Helper()
	var lines []string
	for _, m := range messages {
		text, err := json.Marshal(filled(t, m.Type).Interface())
		if err != nil {
			t.Fatalf("%s: %v", m.Name, err)
		}
		lines = append(lines, m.Name+"\t"+string(text))
	}
	Lines(t, file, lines)
	stored, err := os.ReadFile(Path(file))
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(strings.TrimSuffix(string(stored), "\n"), "\n") {
		_, text, _ := strings.Cut(line, "\t")
		read := reflect.New(messages[i].Type)
		dec := json.NewDecoder(strings.NewReader(text))
		dec.DisallowUnknownFields()
		if err := dec.Decode(read.Interface()); err != nil {
			t.Fatalf("%s: decode the golden form: %v", messages[i].Name, err)
		}
		if again, err := json.Marshal(read.Interface()); err != nil || string(again) != text {
			t.Errorf("%s: decoded and encoded again (%v):\n golden: %s\n  again: %s", messages[i].Name, err, text, again)
		}
	}
}

func filled(t testing.TB, typ reflect.Type) reflect.Value {
	t.Helper()
	v := reflect.New(typ).Elem()
	n := 0
	if err := fill(v, &n, 0); err != nil {
		t.Fatalf("%v: %v", typ, err)
	}
	return v
}

// Fill sets every exported field of what v points to, recursively, to a value that is not its
// zero and that no other field has, but for truth values. The values depend only on the order
// of the fields.
func Fill(t testing.TB, v any) {
	t.Helper()
	p := reflect.ValueOf(v)
	p.Elem().Set(filled(t, p.Type().Elem()))
}

// maxDepth bounds the recursion into types that contain themselves.
const maxDepth = 12

func fill(v reflect.Value, n *int, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("%v is nested more than %d deep", v.Type(), maxDepth)
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return fill(v.Elem(), n, depth+1)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); !f.IsExported() || f.Tag.Get("json") == "-" {
				continue
			}
			if err := fill(v.Field(i), n, depth+1); err != nil {
				return fmt.Errorf("%s: %w", v.Type().Field(i).Name, err)
			}
		}
		return nil
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		return fill(v.Index(0), n, depth+1)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		if err := fill(key, n, depth+1); err != nil {
			return err
		}
		if err := fill(value, n, depth+1); err != nil {
			return err
		}
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
		return nil
	}
	*n++
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString("text-" + strconv.Itoa(*n))
	case v.CanInt():
		v.SetInt(int64(*n))
	case v.CanUint():
		v.SetUint(uint64(*n))
	case v.CanFloat():
		v.SetFloat(float64(*n) + 0.5)
	default:
		return fmt.Errorf("no value for kind %v", v.Kind())
	}
	return nil
}

// StringConstants are the values of the package-level string constants that the program files
// of the folder declare, sorted, each once. With types named, they are those of these types.
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
		for _, decl := range parsed.Decls {
			group, ok := decl.(*ast.GenDecl)
			if !ok || group.Tok != token.CONST {
				continue
			}
			for _, spec := range group.Specs {
				spec := spec.(*ast.ValueSpec)
				if name, ok := spec.Type.(*ast.Ident); len(types) > 0 && (!ok || !slices.Contains(types, name.Name)) {
					continue
				}
				for _, value := range spec.Values {
					if lit, ok := value.(*ast.BasicLit); ok && lit.Kind == token.STRING {
						text, err := strconv.Unquote(lit.Value)
						if err != nil {
							t.Fatal(err)
						}
						values = append(values, text)
					}
				}
			}
		}
	}
	slices.Sort(values)
	return slices.Compact(values)
}
