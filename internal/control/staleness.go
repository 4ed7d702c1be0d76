package control

import (
	"time"

	"github.com/hashicorp/raft"
)

// silence returns how long ago this steward last heard from a leader; zero if it leads.
func (n *Server) silence() time.Duration {
	if n.raft() == nil {
		return time.Since(n.began)
	}
	if n.raft().State() == raft.Leader {
		return 0
	}
	last := n.raft().LastContact()
	if last.IsZero() {
		last = n.began
	}
	return time.Since(last)
}

// stale reports whether this steward has been without a leader, or lagged behind one, for
// longer than the configured bound.
func (n *Server) stale() bool {
	return n.silence() > n.c.StaleAfter || time.Duration(n.lagged.Load()) > n.c.StaleAfter
}
