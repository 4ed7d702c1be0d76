package control

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// A reader may have a version from a server that has applied more than the leader has. The log leads
// to that version, so the leader must not raise its own, which would drop the history.
func TestVersionReachedByLogIsNotRaised(t *testing.T) {
	s, _ := startSingleServer(t)
	const changes = 300
	began := s.fsm.revision()
	for i := range changes {
		text := registration(t, s, fmt.Sprint("s-", i))
		s.raft().Apply(text, applyTimeout) // which is not waited for
	}
	if err := s.raiseRevisionAbove(context.Background(), began+changes); err != nil {
		t.Fatal(err)
	}
	if seq := s.fsm.revision(); seq != began+changes {
		t.Errorf("the version is %d, which is %d beyond what the log leads to", seq, seq-began-changes)
	}
	if l := s.fsm.changesSince(began); l.Full || len(l.Endpoints) != changes {
		t.Errorf("a reader from before gets %d entries, full %v, want the %d changes", len(l.Endpoints), l.Full, changes)
	}
	// A version that no entry leads to is from an earlier state of the service, which was lost.
	if err := s.raiseRevisionAbove(context.Background(), began+changes+1); err != nil {
		t.Fatal(err)
	}
	if seq := s.fsm.revision(); seq <= began+changes {
		t.Errorf("the version stayed at %d although a reader has a later one", seq)
	}
}

// registration encodes a command that registers a server.
func registration(t *testing.T, s *Server, name string) []byte {
	t.Helper()
	at, leads := s.leaderClock()
	if !leads {
		t.Fatal("the server doesn't lead")
	}
	host := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: 1}
	text, err := json.Marshal(catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, At: at, Endpoint: &host})
	if err != nil {
		t.Fatal(err)
	}
	return text
}
