package agent

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/endpoints"
)

const (
	// lingerTimeout and maxLingerBytes limit the reading from a client after the agent has ended
	// its side of the connection. A close with unread bytes resets the connection, and the client
	// loses the part of its last response that it has not read yet.
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 4 << 20
	// rejectTimeout limits the write of a rejection, which fits into the kernel's buffer.
	rejectTimeout = 5 * time.Millisecond
	// A connection may be evicted to admit a waiting one if it has been idle between requests for
	// minIdleBeforeEviction, has sent no request since it arrived for minUnusedBeforeEviction, or has not
	// completed a head or body for minReadingBeforeEviction. The last two limits count from the arrival in
	// the kernel's queue, so that connections that have waited there in large numbers are evicted quickly.
	// minInStageBeforeEviction is the minimum time since the agent accepted the connection or began to read
	// the request: it leaves time to read the bytes that arrived with the connection.
	minIdleBeforeEviction    = 100 * time.Millisecond
	minUnusedBeforeEviction  = 250 * time.Millisecond
	minReadingBeforeEviction = 500 * time.Millisecond
	minInStageBeforeEviction = 50 * time.Millisecond
	// maxReadAheadBuf limits the bytes after the current request that a connection keeps: enough for a
	// request of the largest size. maxReadAheadTotal limits the memory of all connections for them.
	maxReadAheadBuf   = maxBodyBytes + 8<<10
	maxReadAheadTotal = 2 << 20
)

// localAnswerRate is how many answers per second the agent makes itself on one connection, and how many of them at once.
// Probes of readiness come a few times a second.
const localAnswerRate = 50

// connStage is the state of a client's connection between and within requests.
type connStage uint8

const (
	connIdle    connStage = iota // no byte of the next request has arrived
	connReading                  // some bytes have arrived, and the request is not accepted
	connActive                   // the request is accepted and must be answered
	connClosing                  // nothing is read as a request any more
)

// clientConns owns the client connections and limits their number. A request is accepted and a
// connection is closed under its lock: a request that arrives while its connection is
// being closed is either accepted and answered, or never accepted, so that the client may send it
// again.
type clientConns struct {
	mu        sync.Mutex
	capacity  int
	conns     map[*clientConn]struct{}
	slotFreed chan struct{} // notified when a connection releases its slot; buffer of one
	draining  bool
	ending    atomic.Bool // no byte is read of a request that has not begun to arrive
	// readAheadBytes is the memory, in bytes, of what all connections have read ahead and keep.
	readAheadBytes int
	budgets        *memoryBudgets
	log            *slog.Logger // nil: no logging
}

// newClientConns returns an empty set for at most capacity connections, which hold memory of the budgets.
func newClientConns(capacity int, budgets *memoryBudgets) *clientConns {
	return &clientConns{capacity: capacity, conns: map[*clientConn]struct{}{}, slotFreed: make(chan struct{}, 1), budgets: budgets}
}

// count returns the number of connections.
func (cs *clientConns) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns)
}

// nearlyFull reports whether at least 7/8 of the capacity is in use.
func (cs *clientConns) nearlyFull() bool { return cs.count() >= cs.capacity*7/8 }

// admit adds a new connection. If the set is full, admit evicts an idle or slow connection, or
// waits until one can be evicted or is closed. If done is closed meanwhile, admit closes raw and
// returns nil.
func (cs *clientConns) admit(raw net.Conn, done <-chan struct{}) *clientConn {
	c := &clientConn{Conn: raw, owner: cs, input: newClientInput(raw),
		localAnswers: endpoints.TokenBucket{Burst: localAnswerRate, Rate: localAnswerRate}, stageSince: time.Now(), canceled: make(chan struct{}), ended: make(chan struct{})}
	c.pending = newHeadBuffer(cs.budgets.requests, cs.budgets.parsing, c.evict)
	for {
		cs.mu.Lock()
		if len(cs.conns) >= cs.capacity {
			cs.evictOne(time.Now())
		}
		if len(cs.conns) < cs.capacity {
			cs.conns[c] = struct{}{}
			c.admittedAt = time.Now()
			cs.mu.Unlock()
			return c
		}
		cs.mu.Unlock()
		select {
		case <-cs.slotFreed:
		case <-time.After(minIdleBeforeEviction / 4): // a connection may have become evictable
		case <-done:
			raw.Close()
			return nil
		}
	}
}

// logClosed logs that the agent closes c. The lock must be held.
func (cs *clientConns) logClosed(c *clientConn, closeReason reason) {
	if cs.log != nil {
		cs.log.Debug("client connection closed", "connection", c.RemoteAddr(), "reason", closeReason,
			"stage", int(c.stage), "in_stage", time.Since(c.stageSince))
	}
}

// mayBeEvicted reports whether the connection may be closed for a waiting one. The lock must be held.
func (c *clientConn) mayBeEvicted(now time.Time) bool {
	inStage := now.Sub(c.stageSince)
	switch {
	case c.stage == connIdle && c.answered:
		return inStage >= minIdleBeforeEviction
	case c.stage == connIdle:
		return inStage >= minInStageBeforeEviction && max(inStage, sinceArrival(c.connectedAt, now)) >= minUnusedBeforeEviction
	case c.stage == connReading:
		return inStage >= minInStageBeforeEviction && max(inStage, sinceArrival(c.requestArrivedAt, now)) >= minReadingBeforeEviction
	}
	return false
}

// sinceArrival returns the time since an arrival, or 0 if that is unknown.
func sinceArrival(arrivedAt, now time.Time) time.Duration {
	if arrivedAt.IsZero() {
		return 0
	}
	return now.Sub(arrivedAt)
}

// evictOne closes the connection that has been idle for longest or, if none is idle, the slowest
// one. Neither has a response outstanding. The lock must be held.
func (cs *clientConns) evictOne(now time.Time) {
	var victim *clientConn
	for c := range cs.conns {
		if c.mayBeEvicted(now) {
			if victim == nil || c.stage < victim.stage || c.stage == victim.stage && c.stageSince.Before(victim.stageSince) {
				victim = c
			}
		}
	}
	if victim != nil && (victim.stage != connIdle || victim.input.end(inputClosed)) {
		closeReason := reasonIdleEvicted
		if victim.stage == connReading {
			closeReason = reasonSlowEvicted
		}
		cs.evict(victim, closeReason)
	}
}

// evict closes a connection without a response outstanding. A client whose request is being read is rejected
// first. The lock must be held.
func (cs *clientConns) evict(c *clientConn, closeReason reason) {
	cs.logClosed(c, closeReason)
	cs.abortConn(c)
	delete(cs.conns, c)
}

// abortConn closes a connection at once. A client whose request is being read is rejected first. The lock must
// be held.
func (cs *clientConns) abortConn(c *clientConn) {
	if c.stage == connReading {
		c.reject()
	}
	c.stage = connClosing
	c.dropReadAhead()
	c.Conn.Close()
	select {
	case <-c.ended:
	default:
		close(c.ended)
	}
}

// notifySlotFreed notifies a connection that waits for a slot.
func (cs *clientConns) notifySlotFreed() {
	select {
	case cs.slotFreed <- struct{}{}:
	default:
	}
}

// drain closes the idle connections, and each other one after its current response. A connection
// that has not carried a request yet stays open for a while, because its client has only just
// connected.
func (cs *clientConns) drain() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	for c := range cs.conns {
		if c.answered {
			c.halfClose()
		}
	}
}

// closeUnused closes the connections that have been idle for at least age, and returns the number
// of connections left.
func (cs *clientConns) closeUnused(age time.Duration) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.conns {
		if time.Since(c.stageSince) >= age {
			c.halfClose()
		}
	}
	return len(cs.conns)
}

// abort closes all connections. A client whose request is being read is rejected first.
func (cs *clientConns) abort() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.conns {
		cs.logClosed(c, reasonShutdown)
		cs.abortConn(c)
	}
}
