package catalog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"testing"

	"knotrouter/internal/lab/golden"
)

// The files in testdata are what the program of commit d25b370 wrote. They stand for logs and
// snapshots on disks and for messages of other builds: a name in Go may change, these may not.

// TestMessagesKeepTheirKeys holds the JSON form of all that is replicated, with every field.
func TestMessagesKeepTheirKeys(t *testing.T) {
	golden.Messages(t, "messages.txt", []golden.Message{
		golden.Of[Command]("command"),
		golden.Of[Result]("result"),
		golden.Of[State]("state"),
		golden.Of[Entry]("entry"),
		golden.Of[InstanceRef]("ref"),
		golden.Of[Session]("session"),
		golden.Of[LeasedTask]("duty"),
		golden.Of[Term]("term"),
		golden.Of[TermRef]("tie"),
		golden.Of[Assignment]("task"),
		golden.Of[Member]("member"),
		golden.Of[ServiceHistory]("scopes"),
		golden.Of[Departure]("departure"),
	})
}

// TestConstantsKeepTheirValues holds the values of the kinds of commands, of the codes of their
// results, and of all other string constants, which stand in commands and states.
func TestConstantsKeepTheirValues(t *testing.T) {
	golden.Lines(t, "kinds.txt", golden.StringConstants(t, ".", "Kind"))
	golden.Lines(t, "codes.txt", quoted(golden.StringConstants(t, ".", "Code")))
	golden.Includes(t, "constants.txt", quoted(golden.StringConstants(t, ".")))
}

func quoted(texts []string) (out []string) {
	for _, text := range texts {
		out = append(out, strconv.Quote(text))
	}
	return out
}

// TestRecordedLogGivesRecordedState applies a log with commands of every kind. Each result and
// the state at the end are as recorded; the state's snapshot is read and written again as it is.
func TestRecordedLogGivesRecordedState(t *testing.T) {
	file, err := os.Open(golden.Path("log.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	s := New()
	applied := map[string]bool{}
	var results []string
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var c Command
		dec := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&c); err != nil {
			t.Fatalf("%s: %v", lines.Text(), err)
		}
		again, err := json.Marshal(&c)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(again, lines.Bytes()) {
			t.Errorf("a command is encoded again as\n%s, and was\n%s", again, lines.Text())
		}
		r := s.Apply(&c)
		r.Text = "" // for people; it may be worded anew
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, string(c.Kind)+"\t"+string(text))
		if r.Code == Done {
			applied[string(c.Kind)] = true
		}
	}
	for _, kind := range golden.StringConstants(t, ".", "Kind") {
		if !applied[kind] {
			t.Errorf("the recorded log has no command %q that is carried out", kind)
		}
	}
	golden.Lines(t, "log-results.txt", results)
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "state.json", text)
	stored, err := os.ReadFile(golden.Path("state.json"))
	if err != nil {
		t.Fatal(err)
	}
	read, err := Decode(stored)
	if err != nil {
		t.Fatal(err)
	}
	again, err := read.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(again, stored) {
		t.Errorf("the recorded snapshot is encoded again as\n%s, and was\n%s", again, stored)
	}
}
