// Package check holds what clients and programme servers saw of each request and judges
// the four rules by it. It is told nothing by the agents, so what they claim of
// themselves doesn't count.
package check

import (
	"sync"
	"sync/atomic"
	"time"
)

// Clock is time since the experiment began; all parties of the lab share it.
type Clock func() time.Duration

// Request is one try of a client: what it sent, and what servers got of it.
type Request struct {
	ID             string
	Agent          int
	Class          int
	Key            uint64
	Method         string
	Path           string
	IdempotencyKey string
	Body           string
	Work           float64       // standard-core milliseconds
	PlannedAt      time.Duration // when it was to be sent
	Deadline       time.Duration // when its client gives up

	mu       sync.Mutex
	attempts []*Attempt
	answered time.Duration // when the final answer was whole; 0: not yet
	finished time.Duration // when nothing more is to come of it; 0: not yet
}

// Attempt is one arrival of a request at a server.
type Attempt struct {
	Request     *Request
	Server      int
	Index       int           // among the arrivals of its request
	FirstByteAt time.Duration // when its first byte came
	LastByteAt  time.Duration // when its last byte came
	state       attemptState
}

type attemptState uint8

const (
	inFlight attemptState = iota // the server has it and its connection is open
	rejected                     // turned away unseen: it never ran
	finished                     // answered, broken off or reset: it may have run
)

// Attempts tells how many arrived, and how many of them may have run.
func (r *Request) Attempts() (all, mayHaveRun int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		if a.state != rejected {
			mayHaveRun++
		}
	}
	return len(r.attempts), mayHaveRun
}

// historyShards spreads the requests over locks: agents and servers all look them up.
const historyShards = 64

// retention is for how long a finished request can still be looked up. A copy of it that
// comes later than that is unknown.
const retention = 30 * time.Second

// requestHistory finds requests by id. What has long finished is dropped, so its size is bound by
// the rate of requests and not by the length of the run.
type requestHistory struct {
	shards [historyShards]struct {
		sync.Mutex
		m map[string]*Request
	}
	retained atomic.Int64
}

func (b *requestHistory) shardOf(id string) *struct {
	sync.Mutex
	m map[string]*Request
} {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return &b.shards[h%historyShards]
}

func (b *requestHistory) add(r *Request) {
	s := b.shardOf(r.ID)
	s.Lock()
	defer s.Unlock()
	if s.m == nil {
		s.m = map[string]*Request{}
	}
	s.m[r.ID] = r
	b.retained.Add(1)
}

func (b *requestHistory) lookup(id string) *Request {
	s := b.shardOf(id)
	s.Lock()
	defer s.Unlock()
	return s.m[id]
}

// sweep drops what finished before the time that is kept.
func (b *requestHistory) sweep(now time.Duration) {
	for i := range b.shards {
		s := &b.shards[i]
		s.Lock()
		for id, r := range s.m {
			r.mu.Lock()
			old := r.finished > 0 && now-r.finished > retention
			r.mu.Unlock()
			if old {
				delete(s.m, id)
				b.retained.Add(-1)
			}
		}
		s.Unlock()
	}
}
