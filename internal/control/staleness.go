package control

import (
	"time"

	"github.com/hashicorp/raft"
)

// sinceLeaderContact returns the time since the last message from a leader, or since the start if
// there was none. It is zero if this server is the leader.
func (s *Server) sinceLeaderContact() time.Duration {
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

// stale reports whether this server has been without a leader, or lagged behind one, for longer
// than the configured bound.
func (s *Server) stale() bool {
	return s.sinceLeaderContact() > s.config.StaleAfter || time.Duration(s.replicationLag.Load()) > s.config.StaleAfter
}

// maxCommitSamples bounds the samples of a commitHistory. A lag that reaches back beyond the oldest
// sample is underestimated.
const maxCommitSamples = 128

// commitHistory records the leader's commit index over time. It shows how long this server has lagged
// behind what the leader had committed.
type commitHistory struct {
	samples []commitSample // in ascending order of both time and commit index
}

// commitSample is a commit index at a time since the start of the server.
type commitSample struct {
	at        time.Duration
	committed uint64
}

// record adds the leader's commit index at a time.
func (h *commitHistory) record(now time.Duration, committed uint64) {
	if n := len(h.samples); n > 0 && h.samples[n-1].committed >= committed {
		return
	}
	if len(h.samples) == maxCommitSamples {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, commitSample{now, committed})
}

// lag returns the age of the oldest sample whose commit index this server has not applied yet, or zero
// if it has applied all of them. It drops the samples up to the applied index.
func (h *commitHistory) lag(now time.Duration, applied uint64) time.Duration {
	for len(h.samples) > 0 && h.samples[0].committed <= applied {
		h.samples = h.samples[1:]
	}
	if len(h.samples) == 0 {
		return 0
	}
	return now - h.samples[0].at
}
