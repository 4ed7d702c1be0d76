// Package golden compares the results of a test with a golden file under testdata, and fills values of
// message types so that the golden file shows every key of the types. This detects changes to formats that
// other programs read or that are stored on disk, while Go names can change freely. The package is for tests
// only.
//
// Every function must be called from the goroutine of the test, which it fails on a mismatch.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// testdataDir is the directory of the golden files, relative to that of the package under test.
const testdataDir = "testdata"

// Path returns the path of a golden file, relative to the directory of the package under test.
func Path(name string) string { return filepath.Join(testdataDir, name) }

// Check fails the test if got differs from the golden file, or if there is no such file. With
// -update it writes the file.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	if *update {
		write(t, name, got)
		return
	}
	want := read(t, name)
	if bytes.Equal(want, got) {
		return
	}
	line, wantLine, gotLine := firstDifference(string(want), string(got))
	t.Fatalf("%s differs first in line %d:\n golden: %s\n    got: %s", Path(name), line, wantLine, gotLine)
}

// write replaces a golden file.
func write(t testing.TB, name string, text []byte) {
	t.Helper()
	if err := os.MkdirAll(testdataDir, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(Path(name), text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// read returns the text of a golden file.
func read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// firstDifference returns the number, from 1, of the first line in which two different texts differ,
// and that line of each text, or "" for a text that ends before it.
func firstDifference(want, got string) (line int, wantLine, gotLine string) {
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		wantLine, gotLine = "", ""
		if i < len(wantLines) {
			wantLine = wantLines[i]
		}
		if i < len(gotLines) {
			gotLine = gotLines[i]
		}
		if wantLine != gotLine {
			return i + 1, wantLine, gotLine
		}
	}
	return max(len(wantLines), len(gotLines)), "", "" // one text has an additional empty line at its end
}

// splitLines returns the lines of a text whose last line ends with a newline.
func splitLines(text []byte) []string {
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// Lines is like Check for a list of items, which the file holds one per line.
func Lines(t testing.TB, name string, items []string) {
	t.Helper()
	Check(t, name, []byte(strings.Join(items, "\n")+"\n"))
}

// Includes fails the test if a line of the golden file is not among the items. Items that are missing
// from the file are allowed. With -update it writes the file with all items.
func Includes(t testing.TB, name string, items []string) {
	t.Helper()
	if *update {
		Lines(t, name, items)
		return
	}
	for _, line := range splitLines(read(t, name)) {
		if !slices.Contains(items, line) {
			t.Errorf("%s lists %s, which no longer exists", Path(name), line)
		}
	}
}

// Message is a type whose JSON form must not change. Name is its name in the golden file, which is
// independent of the name of the Go type.
type Message struct {
	Name string
	Type reflect.Type
}

// Of returns the Message of type T.
func Of[T any](name string) Message { return Message{name, reflect.TypeFor[T]()} }

// Messages compares the JSON form of each type, with every field set, with a golden file that has one
// type per line. The filled value must encode to the text in the file, and that text must decode into
// the type without unknown keys and encode to the same text again.
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
	for i, line := range splitLines(read(t, file)) {
		_, text, _ := strings.Cut(line, "\t")
		checkDecodes(t, messages[i], text)
	}
}

// checkDecodes fails the test unless a text decodes into a message's type and encodes to the same text
// again.
func checkDecodes(t *testing.T, m Message, text string) {
	t.Helper()
	value := reflect.New(m.Type)
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value.Interface()); err != nil {
		t.Fatalf("%s: decode the golden form: %v", m.Name, err)
	}
	if again, err := json.Marshal(value.Interface()); err != nil || string(again) != text {
		t.Errorf("%s: decoded and encoded again (%v):\n golden: %s\n  again: %s", m.Name, err, text, again)
	}
}
