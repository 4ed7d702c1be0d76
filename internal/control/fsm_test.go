package control

import (
	"strings"
	"testing"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
)

// A log entry that this program can't apply is reported as a fatal error and leaves the state unchanged.
func TestUnreadableEntriesAreFatal(t *testing.T) {
	var fatalErrors []error
	f := &fsm{state: catalog.New(), onChange: func() {}, onFatal: func(err error) { fatalErrors = append(fatalErrors, err) }}
	for _, text := range []string{"{", `{"form":2,"kind":"floor","seq":5}`, `{"form":1,"kind":"later"}`} {
		before := len(fatalErrors)
		f.Apply(&raft.Log{Index: 7, Data: []byte(text)})
		if len(fatalErrors) != before+1 || !strings.Contains(fatalErrors[before].Error(), "entry 7 of the log") || f.revision() != 0 {
			t.Errorf("entry %s: fatal errors %v, revision %d", text, fatalErrors, f.revision())
		}
	}
}
