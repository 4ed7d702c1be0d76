package control

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// A reader may have a revision from a server that has applied more of the log than the leader has. The
// leader reaches that revision by applying its log. It must not raise its revision, as that would drop the
// history of changes.
func TestRevisionReachedByLogIsNotRaised(t *testing.T) {
	s, _ := startSingleServer(t)
	const changes = 300
	before := s.fsm.revision()
	for i := range changes {
		encoded := encodeRegistration(t, s, fmt.Sprint("s-", i))
		s.raft().Apply(encoded, applyTimeout) // without waiting for the result
	}
	if err := s.raiseRevisionAbove(context.Background(), before+changes); err != nil {
		t.Fatal(err)
	}
	if revision := s.fsm.revision(); revision != before+changes {
		t.Errorf("the revision is %d, %d beyond the one that the log reaches", revision, revision-before-changes)
	}
	if l := s.fsm.changesSince(before); l.Full || len(l.Endpoints) != changes {
		t.Errorf("a reader at the earlier revision gets %d entries, full %v, want the %d changes", len(l.Endpoints), l.Full, changes)
	}
	// A revision that no log entry reaches comes from an earlier state of the control plane that was lost.
	if err := s.raiseRevisionAbove(context.Background(), before+changes+1); err != nil {
		t.Fatal(err)
	}
	if revision := s.fsm.revision(); revision <= before+changes {
		t.Errorf("the revision stayed at %d although a reader has a later one that the log doesn't reach", revision)
	}
}

// encodeRegistration encodes a command that registers a server.
func encodeRegistration(t *testing.T, s *Server, name string) []byte {
	t.Helper()
	at, leads := s.leaderClock()
	if !leads {
		t.Fatal("the server is not the leader")
	}
	endpoint := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: 1}
	encoded, err := json.Marshal(catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, At: at, Endpoint: &endpoint})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
