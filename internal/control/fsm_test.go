package control

import (
	"strings"
	"testing"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
)

// An entry of the log that this program can't apply ends the server and leaves the state as it is.
func TestUnreadableEntriesAreFatal(t *testing.T) {
	var broken []error
	f := &fsm{state: catalog.New(), onChange: func() {}, onFatal: func(err error) { broken = append(broken, err) }}
	for _, text := range []string{"{", `{"form":2,"kind":"floor","seq":5}`, `{"form":1,"kind":"later"}`} {
		before := len(broken)
		f.Apply(&raft.Log{Index: 7, Data: []byte(text)})
		if len(broken) != before+1 || !strings.Contains(broken[before].Error(), "entry 7 of the log") || f.revision() != 0 {
			t.Errorf("%s: %v, revision %d", text, broken, f.revision())
		}
	}
}
