package agent

import (
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// minHeldBeforeEviction is how long the owner of a reservation may take before it can be evicted for another
	// one: a proper peer sends a message at once.
	minHeldBeforeEviction = 250 * time.Millisecond
	// evictionInterval is the time between two looks for a reservation to evict while others wait.
	evictionInterval = 25 * time.Millisecond
)

var (
	errNoMemory      = errors.New("no memory became free in time")
	errMemoryEvicted = errors.New("evicted to free memory")
)

// memoryBudget limits the sum of the memory that the connections of an agent hold for one purpose. If it is used
// up, a reservation waits until another one is released; of those that wait, the smallest is served first. The
// oldest reservation that may be evicted is evicted meanwhile.
type memoryBudget struct {
	limit int64 // in bytes

	mu        sync.Mutex
	used      int64
	evictable map[*reservation]struct{} // reservations of more than 0 bytes that may be evicted
	waiters   []*budgetWaiter
	// evictedBytes is the part of used that belongs to evicted owners and will soon be released.
	evictedBytes int64
	evicting     bool // evictForWaiters runs or is going to
}

// budgetWaiter is a reservation that waits for memory.
type budgetWaiter struct {
	reservation *reservation
	bytes       int64
	granted     chan struct{} // closed when the memory is reserved
}

// newMemoryBudget returns a budget of limit bytes.
func newMemoryBudget(limit int64) *memoryBudget {
	return &memoryBudget{limit: limit, evictable: map[*reservation]struct{}{}}
}

// reservation is the memory that one owner holds. Its methods may be called concurrently.
type reservation struct {
	budget *memoryBudget
	// evict makes the owner end and release the reservation soon. It is called at most once and without the lock
	// of the budget. Nil: the owner may not be evicted.
	evict func()

	// The fields below are guarded by budget.mu.

	since   time.Time // when the owner began to hold memory
	bytes   int64
	evicted bool
}

// reserve returns an empty reservation. evict may be nil.
func (b *memoryBudget) reserve(evict func()) *reservation {
	return &reservation{budget: b, evict: evict}
}

// memoryWait says how long a reservation may wait for memory.
type memoryWait struct {
	deadline time.Time
	ended    <-chan struct{} // closed when the owner ends; nil: it does not end before the deadline
}

// grow reserves n bytes more. If they do not become free while it may wait, it returns errNoMemory. It returns errMemoryEvicted if the reservation was evicted. More than the whole budget counts as
// the whole budget, so that it can be reserved at all.
func (r *reservation) grow(n int64, wait memoryWait) error {
	b := r.budget
	b.mu.Lock()
	n = min(n, b.limit-r.bytes)
	if r.evicted {
		b.mu.Unlock()
		return errMemoryEvicted
	}
	if b.take(r, n) {
		b.mu.Unlock()
		return nil
	}
	w := &budgetWaiter{reservation: r, bytes: n, granted: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	if !b.evicting {
		b.evicting = true
		time.AfterFunc(evictionInterval, b.evictForWaiters)
	}
	b.mu.Unlock()
	return b.wait(w, wait)
}

// pin excludes the reservation from eviction. It returns false if the reservation was evicted before. nil counts as
// not evicted.
func (r *reservation) pin() bool {
	if r == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.evictable, r)
	r.evict = nil
	return !r.evicted
}

// release releases all bytes of the reservation. The reservation may be used again. release does nothing for nil.
func (r *reservation) release() {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= r.bytes
	if r.evicted {
		b.evictedBytes -= r.bytes
	}
	r.bytes = 0
	delete(b.evictable, r)
	b.grantWaiters()
}

// take reserves n bytes if they are free. The lock must be held.
func (b *memoryBudget) take(r *reservation, n int64) bool {
	if b.used+n > b.limit {
		return false
	}
	if r.bytes == 0 {
		r.since = time.Now()
	}
	b.used += n
	r.bytes += n
	if r.evict != nil && r.bytes > 0 {
		b.evictable[r] = struct{}{}
	}
	return true
}

// grantWaiters serves the waiting reservations that fit, the smallest first. The lock must be held.
func (b *memoryBudget) grantWaiters() {
	for len(b.waiters) > 0 {
		smallest := b.smallestWaiter()
		w := b.waiters[smallest]
		if !b.take(w.reservation, w.bytes) {
			return
		}
		b.waiters = slices.Delete(b.waiters, smallest, smallest+1)
		close(w.granted)
	}
}

// smallestWaiter returns the index of the smallest of the reservations that wait. The lock must be held.
func (b *memoryBudget) smallestWaiter() int {
	smallest := 0
	for i, w := range b.waiters {
		if w.bytes < b.waiters[smallest].bytes {
			smallest = i
		}
	}
	return smallest
}

// wait waits until w is served.
func (b *memoryBudget) wait(w *budgetWaiter, wait memoryWait) error {
	timer := time.NewTimer(time.Until(wait.deadline))
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
	case <-wait.ended:
	}
	return b.cancel(w)
}

// cancel ends the wait of w. It returns nil if w has been served meanwhile.
func (b *memoryBudget) cancel(w *budgetWaiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return nil
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	return errNoMemory
}

// evictForWaiters is called every evictionInterval while reservations wait. It evicts as many reservations as the
// smallest of those that wait needs, the oldest first, if they are old enough.
func (b *memoryBudget) evictForWaiters() {
	now := time.Now()
	for evict := b.nextEviction(now); evict != nil; evict = b.nextEviction(now) {
		evict()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evicting = len(b.waiters) > 0; b.evicting {
		time.AfterFunc(evictionInterval, b.evictForWaiters)
	}
}

// nextEviction marks the next reservation as evicted and returns its eviction; nil: none has to be evicted, or none
// is old enough.
func (b *memoryBudget) nextEviction(now time.Time) (evict func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) == 0 || b.used-b.evictedBytes+b.waiters[b.smallestWaiter()].bytes <= b.limit {
		return nil
	}
	var oldest *reservation
	for r := range b.evictable {
		if oldest == nil || r.since.Before(oldest.since) {
			oldest = r
		}
	}
	if oldest == nil || now.Sub(oldest.since) < minHeldBeforeEviction {
		return nil
	}
	oldest.evicted = true
	b.evictedBytes += oldest.bytes
	delete(b.evictable, oldest)
	return oldest.evict
}
