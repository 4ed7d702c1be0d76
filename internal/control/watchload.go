package control

import (
	"time"
)

// watchLoad is how many watches a steward has, and how many of them can go elsewhere.
type watchLoad struct {
	watches, movable int
}

// loadTolerance is by how many watches a steward may be above its part before any is sent away:
// readers choose for themselves, so exact parts would move them to and fro.
func loadTolerance(share int) int { return max(2, share/10) }

// excessWatches is how many watches a steward should end now, so that their readers go to others
// that have fewer. It is a small step: of what it has too many, a twentieth of all it has,
// one at least. It is pure.
func excessWatches(own watchLoad, others []watchLoad) int {
	if len(others) == 0 {
		return 0
	}
	sum, fewest := own.watches, own.watches
	for _, o := range others {
		sum, fewest = sum+o.watches, min(fewest, o.watches)
	}
	share := (sum + len(others)) / (len(others) + 1) // rounded up
	excess := own.watches - share - loadTolerance(share)
	if excess <= 0 || fewest >= share {
		return 0
	}
	return min(excess, max(own.watches/20, 1), own.movable)
}

// commitProgress is how far the leader was, and when: what this steward has not applied since is
// by how much it lags. It is pure.
type commitProgress struct {
	samples []commitSample
}

type commitSample struct {
	at        time.Duration
	committed uint64
}

// maxCommitSamples bounds what is remembered; beyond it a lag is told as shorter than it is.
const maxCommitSamples = 128

// record is told how far the leader is.
func (p *commitProgress) record(now time.Duration, committed uint64) {
	if n := len(p.samples); n > 0 && p.samples[n-1].committed >= committed {
		return
	}
	if len(p.samples) == maxCommitSamples {
		p.samples = p.samples[1:]
	}
	p.samples = append(p.samples, commitSample{now, committed})
}

// lag is for how long what the leader had committed has not been applied here.
func (p *commitProgress) lag(now time.Duration, applied uint64) time.Duration {
	for len(p.samples) > 0 && p.samples[0].committed <= applied {
		p.samples = p.samples[1:]
	}
	if len(p.samples) == 0 {
		return 0
	}
	return now - p.samples[0].at
}
