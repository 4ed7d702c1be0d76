package discovery

import (
	"sync"
	"time"
)

// callQueue schedules calls on the few that the service works on at once. It is safe for
// concurrent use.
type callQueue struct {
	mu        sync.Mutex
	busyUntil []time.Duration // by place
}

func newCallQueue(places int) *callQueue {
	return &callQueue{busyUntil: make([]time.Duration, max(places, 1))}
}

// reserve reserves the place that is free first for a call that takes the given time, and returns
// when the call is done. If the call would wait longer than the timeout it reserves nothing and
// returns false and the end of the timeout. A timeout of 0 is none.
func (q *callQueue) reserve(now, callTime, timeout time.Duration) (doneAt time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := 0
	for place := range q.busyUntil {
		if q.busyUntil[place] < q.busyUntil[first] {
			first = place
		}
	}
	start := max(now, q.busyUntil[first])
	if timeout > 0 && start-now > timeout {
		return now + timeout, false
	}
	q.busyUntil[first] = start + callTime
	return start + callTime, true
}
