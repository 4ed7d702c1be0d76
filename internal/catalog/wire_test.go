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

// The files in testdata were written by the program of commit d25b370. They represent logs and
// snapshots on disks and messages of other builds, so they must not change when a Go name does.

// TestMessagesKeepTheirKeys verifies the JSON form of all replicated types, with every field.
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

// TestConstantsKeepTheirValues verifies the values of all command kinds and result codes, and of the
// other string constants, which are stored in commands and states.
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

// decodeCommand decodes a recorded command. It fails the test if the command has an unknown key or
// if its encoding differs from the recorded one.
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
		t.Errorf("command is encoded as\n%s, recorded as\n%s", again, line)
	}
	return &c
}

// applyRecordedLog applies the recorded log to a new state. It returns that state, the results, and
// the kinds of the commands that succeeded.
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
		r.Text = "" // the text is for people, so its wording may change
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

// TestRecordedLogGivesRecordedState verifies that a recorded log with commands of every kind still
// gives the recorded results and the recorded final state.
func TestRecordedLogGivesRecordedState(t *testing.T) {
	s, results, applied := applyRecordedLog(t)
	for _, kind := range golden.StringConstants(t, ".", "Kind") {
		if !applied[kind] {
			t.Errorf("the recorded log has no successful command %q", kind)
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

// requireSameEncoding decodes a recorded snapshot, and fails the test unless the result is encoded to
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
		t.Errorf("snapshot is encoded as\n%s, recorded as\n%s", again, stored)
	}
}
