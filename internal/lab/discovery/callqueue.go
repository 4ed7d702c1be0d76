package discovery

import (
	"sync"
	"time"
)

// callQueue schedules calls on a limited number of slots, which limits the calls that the service handles
// at the same time. It is safe for concurrent use.
type callQueue struct {
	mu        sync.Mutex
	busyUntil []time.Duration // by slot: when the last reserved call ends
}

func newCallQueue(slots int) *callQueue {
	return &callQueue{busyUntil: make([]time.Duration, max(slots, 1))}
}

// reserve reserves the slot that becomes free first for a call with the given service time, and returns
// when the call is done. If the call would wait longer than the timeout, reserve makes no reservation and
// returns the end of the timeout and false. A timeout of 0 means no timeout.
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
