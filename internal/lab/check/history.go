package check

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request that a client sent to an agent, with the attempts that the agent sent to servers. A
// retry by the client is a Request of its own.
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
	PlannedAt      time.Duration // time at which the client was due to send the request
	Deadline       time.Duration // time at which the client gives up

	mu         sync.Mutex
	attempts   []*Attempt
	answeredAt time.Duration // time at which the final answer was complete; 0: not yet
	finishedAt time.Duration // time at which the client received the answer or gave up; 0: not yet
}

// Attempts returns how many attempts arrived at servers, and how many of them may have been
// executed.
func (r *Request) Attempts() (all, maybeExecuted int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		if a.state != rejected {
			maybeExecuted++
		}
	}
	return len(r.attempts), maybeExecuted
}

// historyShards is the number of shards, each with its own lock, that the requests are spread over.
const historyShards = 64

// retention is how long a finished request can still be looked up. An attempt that arrives later
// counts as an attempt of an unknown request.
const retention = 30 * time.Second

// requestHistory finds requests by ID. Requests that finished long ago are dropped, so that its size is
// bounded by the request rate and not by the length of the run.
type requestHistory struct {
	shards   [historyShards]historyShard
	retained atomic.Int64
}

type historyShard struct {
	sync.Mutex
	requests map[string]*Request
}

// shardSeed seeds the hash that spreads the requests over the shards.
var shardSeed = maphash.MakeSeed()

func (h *requestHistory) shardOf(id string) *historyShard {
	return &h.shards[maphash.String(shardSeed, id)%historyShards]
}

func (h *requestHistory) add(r *Request) {
	shard := h.shardOf(r.ID)
	shard.Lock()
	defer shard.Unlock()
	if shard.requests == nil {
		shard.requests = map[string]*Request{}
	}
	shard.requests[r.ID] = r
	h.retained.Add(1)
}

// lookup returns the request with the ID, or nil if there is none.
func (h *requestHistory) lookup(id string) *Request {
	shard := h.shardOf(id)
	shard.Lock()
	defer shard.Unlock()
	return shard.requests[id]
}

// sweep drops the requests that finished longer ago than retention.
func (h *requestHistory) sweep(now time.Duration) {
	for i := range h.shards {
		shard := &h.shards[i]
		shard.Lock()
		for id, r := range shard.requests {
			if r.finishedBefore(now - retention) {
				delete(shard.requests, id)
				h.retained.Add(-1)
			}
		}
		shard.Unlock()
	}
}

// finishedBefore reports whether the request finished before a time.
func (r *Request) finishedBefore(at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finishedAt > 0 && r.finishedAt < at
}
