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

// quoted returns the texts as Go string literals.
func quoted(texts []string) (out []string) {
	for _, text := range texts {
		out = append(out, strconv.Quote(text))
	}
	return out
}

// decodeCommand decodes a recorded command. It fails the test for an unknown key, and if the command
// is encoded again differently.
func decodeCommand(t *testing.T, line []byte) *Command {
	t.Helper()
	var c Command
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	again, err := json.Marshal(&c)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, line) {
		t.Errorf("a command is encoded again as\n%s, and was\n%s", again, line)
	}
	return &c
}

// applyRecordedLog applies the recorded log to a new state, and returns that state, the results, and
// the kinds of the commands that were carried out.
func applyRecordedLog(t *testing.T) (s *State, results []string, applied map[string]bool) {
	t.Helper()
	file, err := os.Open(golden.Path("log.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	s, applied = New(), map[string]bool{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		c := decodeCommand(t, lines.Bytes())
		r := s.Apply(c)
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
	return s, results, applied
}

// TestRecordedLogGivesRecordedState applies a log with commands of every kind. Each result and
// the state at the end are as recorded.
func TestRecordedLogGivesRecordedState(t *testing.T) {
	s, results, applied := applyRecordedLog(t)
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
	requireSameEncoding(t, "state.json")
}

// requireSameEncoding decodes a recorded snapshot, and fails the test unless it is encoded again to
// the same bytes.
func requireSameEncoding(t *testing.T, file string) {
	t.Helper()
	stored, err := os.ReadFile(golden.Path(file))
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
