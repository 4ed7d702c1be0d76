package agent

import (
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes bound what is read of a client after the agent has ended its
	// side of the connection. A close over unread bytes resets the connection, and with it
	// goes what the client has not read of its last answer.
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 256 << 10
	// rejectTimeout bounds the write of a refusal, which finds room in the system's buffer.
	rejectTimeout = 5 * time.Millisecond
	// A connection gives its place to another that waits for one after so long at rest, so
	// long since it was made without a byte, or so long within a request's head or body.
	minIdleBeforeEviction, minUnusedBeforeEviction, minReadingBeforeEviction = 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond
	// maxReadAheadBuf is how much is kept of what a client sends behind its request, and
	// maxReadAheadBytes how much is read of it at all, to see whether the client has gone.
	maxReadAheadBuf, maxReadAheadBytes = 4 << 10, 1 << 20
)

// connStage is how far a client's connection is with its next request.
type connStage uint8

const (
	connIdle    connStage = iota // no byte of it has come
	connReading                  // some have, and the request is not taken
	connActive                   // it is taken: the client is owed its answer
	connClosing                  // nothing is read as a request any more
)

// clientConns owns the connections of clientConns and their places. Whether a connection takes a
// request or is closed is decided here, under one lock: what comes in the instant of a close
// is either taken and answered, or never taken, and the client may send it again.
type clientConns struct {
	mu        sync.Mutex
	capacity  int
	conns     map[*clientConn]struct{}
	slotFreed chan struct{} // told of a place; holds one word
	draining  bool
	log       *slog.Logger // nil: none
}

func newClientConns(most int) *clientConns {
	return &clientConns{capacity: most, conns: map[*clientConn]struct{}{}, slotFreed: make(chan struct{}, 1)}
}

// count is how many connections there are.
func (cs *clientConns) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns)
}

// nearlyFull tells whether nearlyFull places are left.
func (cs *clientConns) nearlyFull() bool { return cs.count() >= cs.capacity*7/8 }

// admit gives a new connection a place, which it takes from one that stands idle or is slow
// if there is no other. It waits as long as there is neither, until the end is closed.
func (cs *clientConns) admit(raw net.Conn, done <-chan struct{}) *clientConn {
	c := &clientConn{Conn: raw, owner: cs, stageSince: time.Now(), canceled: make(chan struct{})}
	for {
		cs.mu.Lock()
		if len(cs.conns) >= cs.capacity {
			cs.evictOne(time.Now())
		}
		if len(cs.conns) < cs.capacity {
			cs.conns[c] = struct{}{}
			cs.mu.Unlock()
			return c
		}
		cs.mu.Unlock()
		select {
		case <-cs.slotFreed:
		case <-time.After(minIdleBeforeEviction / 4): // some may be at rest for long enough
		case <-done:
			raw.Close()
			return nil
		}
	}
}

// logClosed writes a line on a connection that the agent closes.
func (cs *clientConns) logClosed(c *clientConn, closeReason reason) {
	if cs.log != nil {
		cs.log.Debug("client connection closed", "connection", c.RemoteAddr(), "reason", closeReason,
			"stage", int(c.stage), "in_stage", time.Since(c.stageSince))
	}
}

// evictOne closes the connection that has stood idle for longest, or else the slowest one. It
// owes no answer, and the client has long read its last one.
func (cs *clientConns) evictOne(now time.Time) {
	var victim *clientConn
	for c := range cs.conns {
		age := now.Sub(c.stageSince)
		if c.stage == connIdle && (c.answered && age >= minIdleBeforeEviction || age >= minUnusedBeforeEviction) ||
			c.stage == connReading && age >= minReadingBeforeEviction {
			if victim == nil || c.stage < victim.stage || c.stage == victim.stage && c.stageSince.Before(victim.stageSince) {
				victim = c
			}
		}
	}
	if victim != nil {
		closeReason := reasonIdleEvicted
		if victim.stage == connReading {
			closeReason = reasonSlowEvicted
			victim.reject()
		}
		cs.logClosed(victim, closeReason)
		victim.stage = connClosing
		victim.Conn.Close()
		delete(cs.conns, victim)
	}
}

// drain closes the connections at rest, now and from now on. One on which no request has
// come yet keeps its place for a time: the client has only just connected.
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

// closeUnused closes those that came so long ago and sent nothing, and returns how many
// connections are left.
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

// abort closes all that is left.
func (cs *clientConns) abort() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.conns {
		cs.logClosed(c, reasonShutdown)
		if c.stage == connReading {
			c.reject()
		}
		c.stage = connClosing
		c.Conn.Close()
	}
}
