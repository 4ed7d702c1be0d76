package control

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// A reader may have a revision from a server that has applied more than the leader has. The log leads
// to that revision, so the leader must not raise its own, which would drop the history.
func TestRevisionReachedByLogIsNotRaised(t *testing.T) {
	s, _ := startSingleServer(t)
	const changes = 300
	before := s.fsm.revision()
	for i := range changes {
		encoded := encodeRegistration(t, s, fmt.Sprint("s-", i))
		s.raft().Apply(encoded, applyTimeout) // which is not waited for
	}
	if err := s.raiseRevisionAbove(context.Background(), before+changes); err != nil {
		t.Fatal(err)
	}
	if revision := s.fsm.revision(); revision != before+changes {
		t.Errorf("the revision is %d, which is %d beyond what the log leads to", revision, revision-before-changes)
	}
	if l := s.fsm.changesSince(before); l.Full || len(l.Endpoints) != changes {
		t.Errorf("a reader from before gets %d entries, full %v, want the %d changes", len(l.Endpoints), l.Full, changes)
	}
	// A revision that no entry leads to is from an earlier state of the service, which was lost.
	if err := s.raiseRevisionAbove(context.Background(), before+changes+1); err != nil {
		t.Fatal(err)
	}
	if revision := s.fsm.revision(); revision <= before+changes {
		t.Errorf("the revision stayed at %d although a reader has a later one", revision)
	}
}

// encodeRegistration encodes a command that registers a server.
func encodeRegistration(t *testing.T, s *Server, name string) []byte {
	t.Helper()
	at, leads := s.leaderClock()
	if !leads {
		t.Fatal("the server doesn't lead")
	}
	endpoint := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: 1}
	encoded, err := json.Marshal(catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, At: at, Endpoint: &endpoint})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
