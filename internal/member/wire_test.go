package member

import (
	"encoding/json"
	"os"
	"strconv"
	"testing"

	"knotrouter/internal/lab/golden"
)

// The files in testdata were written by the build of commit d25b370. They represent messages
// exchanged with members of other builds: Go names may change, these files must not.

// TestMessagesKeepTheirKeys checks that the JSON encoding of members' messages and of the views that
// operators read has not changed, with every field set.
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

// TestConstantsKeepTheirValues checks that the values of roles and states, of observers' answers and
// of decisions have not changed.
func TestConstantsKeepTheirValues(t *testing.T) {
	var quoted []string
	for _, value := range golden.StringConstants(t, ".") {
		quoted = append(quoted, strconv.Quote(value))
	}
	golden.Includes(t, "constants.txt", quoted)
}

// TestRecordedMessagesAreRead checks that a recorded Info of a member and a recorded report of an
// observer can be decoded, and are encoded to the same text.
func TestRecordedMessagesAreRead(t *testing.T) {
	checkRoundTrip := func(file string, decode func(text []byte) (any, error)) {
		t.Helper()
		text, err := os.ReadFile(golden.Path(file))
		if err != nil {
			t.Fatal(err)
		}
		v, err := decode(text)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if string(encoded) != string(text) {
			t.Errorf("%s is encoded as\n%s, want\n%s", file, encoded, text)
		}
	}
	checkRoundTrip("info.json", func(text []byte) (any, error) { return DecodeInfo(text) })
	checkRoundTrip("report.json", func(text []byte) (any, error) { return DecodeReport(text) })
}
