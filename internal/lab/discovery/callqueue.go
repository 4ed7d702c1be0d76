package discovery

import (
	"sync"
	"time"
)

// callQueue schedules calls on the few that the service works on at once. It is safe for
// concurrent use.
type callQueue struct {
	mu        sync.Mutex
	busyUntil []time.Duration // by slot
}

func newCallQueue(slots int) *callQueue {
	return &callQueue{busyUntil: make([]time.Duration, max(slots, 1))}
}

// reserve reserves the slot that is free first for a call that takes the given time, and returns
// when the call is done. If the call would wait longer than the timeout it reserves nothing and
// returns false and the end of the timeout. A timeout of 0 is none.
func (q *callQueue) reserve(now, serviceTime, timeout time.Duration) (doneAt time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := 0
	for slot := range q.busyUntil {
		if q.busyUntil[slot] < q.busyUntil[first] {
			first = slot
		}
	}
	start := max(now, q.busyUntil[first])
	if timeout > 0 && start-now > timeout {
		return now + timeout, false
	}
	q.busyUntil[first] = start + serviceTime
	return start + serviceTime, true
}
