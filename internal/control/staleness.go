package control

import (
	"time"

	"github.com/hashicorp/raft"
)

// silence returns how long ago this steward last heard from a leader; zero if it leads.
func (s *Server) silence() time.Duration {
	if s.raft() == nil {
		return time.Since(s.startedAt)
	}
	if s.raft().State() == raft.Leader {
		return 0
	}
	last := s.raft().LastContact()
	if last.IsZero() {
		last = s.startedAt
	}
	return time.Since(last)
}

// stale reports whether this steward has been without a leader, or lagged behind one, for
// longer than the configured bound.
func (s *Server) stale() bool {
	return s.silence() > s.config.StaleAfter || time.Duration(s.replicationLag.Load()) > s.config.StaleAfter
}
