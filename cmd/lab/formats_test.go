package main

import (
	"encoding"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"knotrouter/internal/lab/capacity"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/hollow"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/lab/scale"
)

// The tests of this file fail if a rename changes the interfaces that users' files and scripts rely on:
// the keys of experiment files and results, the commands and their flags. To change a format on purpose,
// update the golden files with go test ./cmd/lab -run Golden -update.

var updateGolden = flag.Bool("update", false, "write the golden files anew")

// goldenFormats are the types whose keys are compared with golden files, and the struct tag of the keys.
var goldenFormats = []struct {
	golden string
	tag    string
	types  []any
}{
	{"experiment-keys.golden", "koanf", []any{experiment.Config{}}},
	{"scale-keys.golden", "koanf", []any{scale.Config{}}},
	{"summary-keys.golden", "json", []any{experiment.Summary{}}},
	{"result-keys.golden", "json", []any{capacity.Results{}}},
	{"state-keys.golden", "json", []any{experiment.Progress{}, experiment.Machine{}, check.Operation{}, check.Breach{},
		hollow.AgentsState{}, hollow.ServersState{}, hollow.Rates{}, hollow.Range{}, hollow.RegistrationResult{}, process.Usage{}}},
}

func TestGoldenFileKeys(t *testing.T) {
	for _, f := range goldenFormats {
		t.Run(f.golden, func(t *testing.T) {
			var lines []string
			for i, x := range f.types {
				path := ""
				if len(f.types) > 1 {
					path = fmt.Sprintf("%d", i)
				}
				lines = append(lines, listKeys(t, path, f.tag, reflect.TypeOf(x))...)
			}
			slices.Sort(lines)
			compareGolden(t, f.golden, strings.Join(lines, "\n")+"\n")
		})
	}
}

// listKeys returns the keys of a type with the kinds of their values, as in "load.class[].aim duration".
func listKeys(t *testing.T, path, tag string, x reflect.Type) []string {
	t.Helper()
	textMarshaler := reflect.TypeFor[encoding.TextMarshaler]()
	jsonMarshaler := reflect.TypeFor[json.Marshaler]()
	switch {
	case x == reflect.TypeFor[time.Duration]():
		return []string{path + " duration"}
	case x.Implements(textMarshaler) || x.Implements(jsonMarshaler):
		return []string{path + " text"}
	}
	switch x.Kind() {
	case reflect.Pointer:
		return listKeys(t, path+"?", tag, x.Elem())
	case reflect.Slice, reflect.Array:
		return listKeys(t, path+"[]", tag, x.Elem())
	case reflect.Map:
		return listKeys(t, path+"{"+x.Key().Kind().String()+"}", tag, x.Elem())
	case reflect.Struct:
		var lines []string
		for i := range x.NumField() {
			f := x.Field(i)
			name, options, _ := strings.Cut(f.Tag.Get(tag), ",")
			switch {
			case name == "-" || !f.IsExported():
				continue
			case name == "" && f.Anonymous:
				lines = append(lines, listKeys(t, path, tag, f.Type)...)
				continue
			case name == "" && x.PkgPath() != "" && !strings.Contains(strings.SplitN(x.PkgPath(), "/", 2)[0], "."):
				t.Errorf("%s: field %s.%s has no explicit key, so renaming it changes the format", path, x, f.Name)
			case name == "":
				name = f.Name // a field of a library's type, which has no such tag
			}
			if options != "" {
				name += "," + options
			}
			lines = append(lines, listKeys(t, strings.TrimPrefix(path+"."+name, "."), tag, f.Type)...)
		}
		return lines
	}
	return []string{path + " " + x.Kind().String()}
}

// All experiment files in the repository load without an error, so all their keys and values are known.
func TestExperimentFilesAreRead(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no experiment files: %v", err)
	}
	for _, f := range files {
		if scale.IsExperiment(f) {
			_, err = scale.Load(f)
		} else {
			_, err = experiment.Load(f)
		}
		if err != nil {
			t.Error(err)
		}
	}
}

// All commands and flags in the golden file exist, under their name or an alias. New ones are allowed.
func TestGoldenCommandsAndFlags(t *testing.T) {
	root := newRootCommand(io.Discard, io.Discard)
	if *updateGolden {
		compareGolden(t, "commands.golden", strings.Join(describeCommand(root, root.Name()), "\n")+"\n")
	}
	for _, line := range strings.Split(strings.TrimSpace(readGolden(t, "commands.golden")), "\n") {
		path, flagLine, isFlag := strings.Cut(line, " --")
		names := strings.Fields(path)
		if names[0] != root.Name() {
			t.Errorf("the program is called %s, want %s", root.Name(), names[0])
		}
		hidden := names[len(names)-1] == "(hidden)"
		if hidden {
			names = names[:len(names)-1]
		}
		cmd, rest, err := root.Find(names[1:])
		if err != nil || len(rest) > 0 {
			t.Errorf("%s: no such command: %v", path, err)
			continue
		}
		if !isFlag {
			if cmd.Hidden != hidden {
				t.Errorf("%s: hidden is %v", path, cmd.Hidden)
			}
			continue
		}
		name, _, _ := strings.Cut(flagLine, " ")
		if f := cmd.Flags().Lookup(name); f == nil {
			t.Errorf("%s: no flag --%s", path, name)
		} else if got := describeFlag(f); got != "--"+flagLine {
			t.Errorf("%s: flag %q, want %q", path, got, "--"+flagLine)
		}
	}
}

// describeCommand returns a line for a command, each of its flags and, recursively, its subcommands.
func describeCommand(cmd *cobra.Command, path string) []string {
	line := path
	if cmd.Hidden {
		line += " (hidden)"
	}
	lines := []string{line}
	cmd.LocalFlags().VisitAll(func(f *pflag.Flag) { lines = append(lines, path+" "+describeFlag(f)) })
	for _, c := range cmd.Commands() {
		lines = append(lines, describeCommand(c, path+" "+c.Name())...)
	}
	return lines
}

// describeFlag returns the properties of a flag that scripts rely on. The name of a default program in
// bin is not one of these properties.
func describeFlag(f *pflag.Flag) string {
	value := fmt.Sprintf("%q", f.DefValue)
	if strings.HasPrefix(f.DefValue, "bin/") {
		value = "a program of bin"
	}
	return fmt.Sprintf("--%s shorthand=%q %s default=%s", f.Name, f.Shorthand, f.Value.Type(), value)
}

// readGolden returns the text of a golden file.
func readGolden(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// compareGolden reports an error for each line that only the golden file or only got has. With -update it
// writes got to the golden file first.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	if *updateGolden {
		if err := os.WriteFile(filepath.Join("testdata", name), []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want := readGolden(t, name)
	if got == want {
		return
	}
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for _, line := range wantLines {
		if !slices.Contains(gotLines, line) {
			t.Errorf("%s: missing line: %s", name, line)
		}
	}
	for _, line := range gotLines {
		if !slices.Contains(wantLines, line) {
			t.Errorf("%s: unexpected line: %s", name, line)
		}
	}
	if !t.Failed() {
		t.Errorf("%s: the order or the number of the lines differs", name)
	}
}
