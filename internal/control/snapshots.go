package control

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
)

// restoreTimeout bounds the replication of a restored snapshot.
const restoreTimeout = 30 * time.Second

// handleSnapshot answers with the replicated state.
func (s *Server) handleSnapshot(w http.ResponseWriter, _ *http.Request) {
	var data []byte
	var err error
	s.fsm.read(func(state *catalog.State) { data, err = state.Encode() })
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// handleRestore replaces the replicated state with a snapshot and answers with this server's status.
// The version of the list continues from the higher of the versions of the old state and the
// snapshot, so that it never goes back.
func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) error {
	data, err := readBody(w, r)
	if err != nil {
		return err
	}
	restored, err := catalog.Decode(data)
	if err != nil {
		return newBadRequest("%v", err)
	}
	minRevision := max(s.fsm.revision(), restored.Seq)
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(data))}
	if err := s.raft().Restore(meta, bytes.NewReader(data), restoreTimeout); err != nil {
		return fmt.Errorf("%w: %v", errUnknownOutcome, err)
	}
	s.raiseRevision(minRevision)
	s.restartLeases()
	s.log.Warn("state replaced by a snapshot", "entries", len(restored.Entries), "list_version", s.fsm.revision())
	writeJSON(w, s.status())
	return nil
}

// restartLeases restarts the leases of all servers and sessions of a restored state at their full
// time to live.
func (s *Server) restartLeases() {
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	s.fsm.read(func(state *catalog.State) {
		s.clockAtElection = max(s.clockAtElection+time.Since(s.electedAt), state.Clock)
		s.electedAt = time.Now()
		if s.registrationLeases != nil {
			s.registrationLeases = catalog.NewRegistrationLeases(s.config.leaseConfig(), state, s.clockAtElection)
			s.taskLeases = newTaskLeases(s.clockAtElection)
		}
	})
}
