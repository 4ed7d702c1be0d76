package control

import (
	"time"

	"github.com/hashicorp/raft"
)

// silence is for how long this steward has heard no leader, nor been one.
func (n *Node) silence() time.Duration {
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

// stale tells whether it has lost the quorum, or lags, for longer than its bound.
func (n *Node) stale() bool {
	return n.silence() > n.c.StaleAfter || time.Duration(n.lagged.Load()) > n.c.StaleAfter
}
