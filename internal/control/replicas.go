package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// voterCatchUpTimeout is how long a server may take to catch up before it becomes a voter, and
	// voterCatchUpPollInterval is how often its progress is checked.
	voterCatchUpTimeout      = 30 * time.Second
	voterCatchUpPollInterval = 20 * time.Millisecond
	// maxReplicaLag is the number of log entries by which a server may lag behind the commit index
	// and still become a voter.
	maxReplicaLag = 16
)

// errNotCaughtUp means that a server was added as a non-voter but lagged too far behind to become a
// voter.
var errNotCaughtUp = errors.New("it did not catch up within 30 s; it hears all and doesn't vote")

// handleAddPeer adds a control-plane server to the raft configuration, first as a non-voter and,
// once it has caught up, as a voter. With spare=1 it stays a non-voter.
func (s *Server) handleAddPeer(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	if _, known := s.raftAddr(name); !known {
		return newBadRequest("peer %s: not in the leader's table of peers", name)
	}
	if slices.Contains(s.voters(), name) {
		writeJSON(w, s.status())
		return nil
	}
	id, addr := raft.ServerID(name), raft.ServerAddress(name)
	if err := s.raft().AddNonvoter(id, addr, 0, applyTimeout).Error(); err != nil {
		return raftConfigurationError(err)
	}
	if r.URL.Query().Get("spare") == "1" {
		s.log.Info("non-voter added", "peer", name)
		writeJSON(w, s.status())
		return nil
	}
	if err := s.awaitCaughtUp(r.Context(), name); err != nil {
		return err
	}
	if err := s.raft().AddVoter(id, addr, 0, applyTimeout).Error(); err != nil {
		return raftConfigurationError(err)
	}
	s.log.Info("voter added", "peer", name)
	writeJSON(w, s.status())
	return nil
}

// awaitCaughtUp waits until the named server has caught up. It returns an error that wraps
// errNotCaughtUp if that takes longer than voterCatchUpTimeout or the context ends.
func (s *Server) awaitCaughtUp(ctx context.Context, name string) error {
	deadline := time.Now().Add(voterCatchUpTimeout)
	for {
		status, err := s.requestStatus(ctx, name)
		if err == nil && caughtUp(&status, s.raft().CommitIndex()) {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("peer %s: %w", name, errNotCaughtUp)
		}
		time.Sleep(voterCatchUpPollInterval)
	}
}

// caughtUp reports whether a server lags at most maxReplicaLag entries behind the commit index.
func caughtUp(status *Status, committed uint64) bool {
	return status.Applied > 0 && status.Applied+maxReplicaLag >= committed
}

// handleRemovePeer removes a control-plane server from the raft configuration. It rejects the
// request if a process other than the requesting one is present under the name.
func (s *Server) handleRemovePeer(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	if name == s.config.Name && len(s.voters()) == 1 {
		return newBadRequest("peer %s: it is the only one that votes", name)
	}
	if err := s.checkNameConflict(name, r.URL.Query().Get("id")); err != nil {
		return err
	}
	if err := s.raft().RemoveServer(raft.ServerID(name), 0, applyTimeout).Error(); err != nil {
		return raftConfigurationError(err)
	}
	s.log.Info("peer removed from the raft configuration", "peer", name)
	writeJSON(w, s.status())
	return nil
}
