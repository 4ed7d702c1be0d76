package member

import (
	"encoding/json"
	"os"
	"strconv"
	"testing"

	"knotrouter/internal/lab/golden"
)

// The files in testdata are what the program of commit d25b370 wrote. They stand for what members
// of other builds send and read: a name in Go may change, these may not.

// TestMessagesKeepTheirKeys holds the JSON form of what members tell each other and operators,
// with every field.
func TestMessagesKeepTheirKeys(t *testing.T) {
	golden.Messages(t, "messages.txt", []golden.Message{
		golden.Of[Info]("info"),
		golden.Of[Report]("report"),
		golden.Of[Observation]("observation"),
		golden.Of[ProtocolVersions]("versions"),
		golden.Of[View]("view"),
		golden.Of[Entry]("view entry"),
		golden.Of[Opinion]("opinion"),
		golden.Of[Difference]("difference"),
	})
}

// TestConstantsKeepTheirValues holds the words of roles, of states, and of what observers and
// those that decide by them say.
func TestConstantsKeepTheirValues(t *testing.T) {
	var quoted []string
	for _, value := range golden.StringConstants(t, ".") {
		quoted = append(quoted, strconv.Quote(value))
	}
	golden.Includes(t, "constants.txt", quoted)
}

// TestRecordedMessagesAreRead reads a member's word for itself and an observer's report as they
// were sent, and writes them again as they were.
func TestRecordedMessagesAreRead(t *testing.T) {
	same := func(file string, read func(text []byte) (any, error)) {
		t.Helper()
		text, err := os.ReadFile(golden.Path(file))
		if err != nil {
			t.Fatal(err)
		}
		v, err := read(text)
		if err != nil {
			t.Fatal(err)
		}
		again, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if string(again) != string(text) {
			t.Errorf("%s is written again as\n%s, and was\n%s", file, again, text)
		}
	}
	same("info.json", func(text []byte) (any, error) { return DecodeInfo(text) })
	same("report.json", func(text []byte) (any, error) { return DecodeReport(text) })
}
