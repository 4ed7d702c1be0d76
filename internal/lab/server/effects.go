package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxRememberedKeys bounds the keys that Effects remembers. It forgets the oldest first.
const maxRememberedKeys = 1 << 18

// Effects remembers the idempotency keys of the requests that were carried out, for all servers of
// a fleet together. It is safe for concurrent use.
type Effects struct {
	mu              sync.Mutex
	lastCommittedAt map[string]time.Duration
	order           []string // the keys, by their first effect

	droppedRepeats    atomic.Int64
	duplicatedEffects atomic.Int64
}

// NewEffects returns an Effects that remembers no key.
func NewEffects() *Effects { return &Effects{lastCommittedAt: map[string]time.Duration{}} }

// Counts returns how many repeats of a key were dropped within its deduplication window, and how
// many had an effect again after it.
func (e *Effects) Counts() (dropped, duplicated int64) {
	return e.droppedRepeats.Load(), e.duplicatedEffects.Load()
}

// commit records that the request with the key was carried out at now. A repeat within the window
// of the last effect has no effect.
func (e *Effects) commit(key string, now, window time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.lastCommittedAt[key]
	switch {
	case known && now-last <= window:
		e.droppedRepeats.Add(1)
		return
	case known:
		e.duplicatedEffects.Add(1)
	default:
		e.addKey(key)
	}
	e.lastCommittedAt[key] = now
}

// addKey makes room for a new key. The caller holds e.mu.
func (e *Effects) addKey(key string) {
	if len(e.order) >= maxRememberedKeys {
		delete(e.lastCommittedAt, e.order[0])
		e.order = e.order[1:]
	}
	e.order = append(e.order, key)
}
