package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxRememberedKeys bounds the number of keys that Effects remembers. The oldest key is evicted first.
const maxRememberedKeys = 1 << 18

// Effects remembers the idempotency keys of the requests that were executed by any server of a fleet.
// It is safe for concurrent use.
type Effects struct {
	mu              sync.Mutex
	lastCommittedAt map[string]time.Duration
	order           []string // keys in the order of their first effect

	droppedRepeats    atomic.Int64
	duplicatedEffects atomic.Int64
}

// NewEffects returns an Effects without keys.
func NewEffects() *Effects { return &Effects{lastCommittedAt: map[string]time.Duration{}} }

// Counts returns how many repeats of a key were dropped within its deduplication window, and how many
// had an effect again after the window.
func (e *Effects) Counts() (dropped, duplicated int64) {
	return e.droppedRepeats.Load(), e.duplicatedEffects.Load()
}

// commit records that a request with the key was executed at now. If the key's last effect is at most window
// ago, the request is a repeat without effect, and commit only counts it as dropped.
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

// addKey adds a new key to the order and evicts the oldest one if there are maxRememberedKeys. The
// caller holds e.mu.
func (e *Effects) addKey(key string) {
	if len(e.order) >= maxRememberedKeys {
		delete(e.lastCommittedAt, e.order[0])
		e.order = e.order[1:]
	}
	e.order = append(e.order, key)
}
