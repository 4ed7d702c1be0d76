package control

import (
	"time"
)

// load is how many watches a steward has, and how many of them can go elsewhere.
type load struct {
	watches, movable int
}

// roomFor is by how many watches a steward may be above its part before any is sent away:
// readers choose for themselves, so exact parts would move them to and fro.
func roomFor(part int) int { return max(2, part/10) }

// surplus is how many watches a steward should end now, so that their readers go to others
// that have fewer. It is a small step: of what it has too many, a twentieth of all it has,
// one at least. It is pure.
func surplus(own load, others []load) int {
	if len(others) == 0 {
		return 0
	}
	sum, least := own.watches, own.watches
	for _, o := range others {
		sum, least = sum+o.watches, min(least, o.watches)
	}
	part := (sum + len(others)) / (len(others) + 1) // rounded up
	over := own.watches - part - roomFor(part)
	if over <= 0 || least >= part {
		return 0
	}
	return min(over, max(own.watches/20, 1), own.movable)
}

// progress is how far the leader was, and when: what this steward has not applied since is
// by how much it lags. It is pure.
type progress struct {
	samples []sample
}

type sample struct {
	at        time.Duration
	committed uint64
}

// mostSamples bounds what is remembered; beyond it a lag is told as shorter than it is.
const mostSamples = 128

// saw is told how far the leader is.
func (p *progress) saw(now time.Duration, committed uint64) {
	if n := len(p.samples); n > 0 && p.samples[n-1].committed >= committed {
		return
	}
	if len(p.samples) == mostSamples {
		p.samples = p.samples[1:]
	}
	p.samples = append(p.samples, sample{now, committed})
}

// lag is for how long what the leader had committed has not been applied here.
func (p *progress) lag(now time.Duration, applied uint64) time.Duration {
	for len(p.samples) > 0 && p.samples[0].committed <= applied {
		p.samples = p.samples[1:]
	}
	if len(p.samples) == 0 {
		return 0
	}
	return now - p.samples[0].at
}
