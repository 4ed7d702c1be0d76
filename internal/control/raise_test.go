package control

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// A reader may have a version from a steward that has applied more than the leader has. The log
// leads to that version, so the leader must not raise its own, which drops the history.
func TestVersionInTheLogIsNotRaised(t *testing.T) {
	n, _ := alone(t)
	const changes = 300
	began := n.fsm.seq()
	for i := range changes {
		text := registration(t, n, fmt.Sprint("s-", i))
		n.raft().Apply(text, applyWait) // in the log, and not waited for
	}
	if err := n.raiseBeyond(context.Background(), began+changes); err != nil {
		t.Fatal(err)
	}
	if seq := n.fsm.seq(); seq != began+changes {
		t.Errorf("the version is %d, %d beyond what the log leads to", seq, seq-began-changes)
	}
	if l := n.fsm.list(began, false); l.Full || len(l.Endpoints) != changes {
		t.Errorf("a reader from before gets %d entries, whole %v, want the %d changes", len(l.Endpoints), l.Full, changes)
	}
	// A version that no entry leads to is from another life of the service.
	if err := n.raiseBeyond(context.Background(), began+changes+1); err != nil {
		t.Fatal(err)
	}
	if seq := n.fsm.seq(); seq <= began+changes {
		t.Errorf("the version stayed at %d although a reader has a later one", seq)
	}
}

// registration encodes a command that registers a server.
func registration(t *testing.T, n *Server, name string) []byte {
	t.Helper()
	at, leads := n.elapsed()
	if !leads {
		t.Fatal("the steward doesn't lead")
	}
	host := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: 1}
	text, err := json.Marshal(catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, At: at, Endpoint: &host})
	if err != nil {
		t.Fatal(err)
	}
	return text
}
