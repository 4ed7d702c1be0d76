package agent

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"knotrouter/internal/endpoints"
)

// clientConn is a client's connection as net/http sees it. The fields from stage to readAhead are guarded by
// owner.mu.
type clientConn struct {
	net.Conn
	owner      *clientConns
	head       requestHead
	pending    *headBuffer
	input      clientInput
	handling   atomic.Bool  // the handler runs, or has ended and net/http has not gone on to the next request
	bodyLeft   atomic.Int64 // bytes of the current body that net/http has not read; -1: unknown
	admittedAt time.Time    // when the connection got its slot
	// localAnswers limits the answers that the agent makes itself; used by the handler only.
	localAnswers endpoints.TokenBucket

	stage            connStage
	stageSince       time.Time // start of the current stage
	answered         bool      // at least one request was answered
	closed           bool
	lingerUntil      time.Time // deadline of lingering, set when the agent's side has ended
	lingeredBytes    int       // bytes discarded after the agent's side has ended
	peerEnded        bool      // the client's side has ended, or failed
	connectedAt      time.Time // earliest possible arrival of the connection, which may have been queued in the kernel
	requestArrivedAt time.Time // earliest possible arrival of the current request
	nextArrivedAt    time.Time // arrival of the first byte after the current request; zero: none has arrived
	pipelined        bool      // a byte arrived after the current request
	lastArrivedAt    time.Time // earliest possible arrival of the bytes that receive returned last; not guarded
	readAhead        readAheadState
	// shedding is set once the connection is due to end because connections are short: requests that were read ahead
	// are rejected, so that it soon ends.
	shedding atomic.Bool

	canceled chan struct{} // closed when readAhead detects a disconnect
	ended    chan struct{} // closed when the connection is evicted or aborted
}

// receive reads what the client sends, and returns how many of the bytes belong to a request's head. It returns
// no bytes that arrive after the close has begun.
// While a request is handled, net/http reads a single byte in order to detect a disconnect. Once
// that byte has arrived, net/http can't detect a disconnect any more, so runReadAhead reads on for
// the same purpose. Bytes that were read ahead are returned before later ones; if any of
// them were dropped, nothing more is returned.
func (c *clientConn) receive(p []byte) (n, headBytes int, err error) {
	c.owner.mu.Lock()
	if c.stage == connClosing {
		c.owner.mu.Unlock()
		return 0, 0, c.linger()
	}
	if c.readAhead.truncated {
		c.owner.mu.Unlock()
		return 0, 0, net.ErrClosed
	}
	if n, arrivedAt := c.takeReadAhead(p); n > 0 {
		headBytes, c.lastArrivedAt = c.head.scan(p[:n]), arrivedAt
		if c.stage == connIdle {
			c.beginRequest(arrivedAt)
		}
		c.recordRead(n, len(p), arrivedAt)
		c.owner.mu.Unlock()
		return n, headBytes, nil
	}
	if err := c.readAhead.err; err != nil {
		c.owner.mu.Unlock()
		return 0, 0, err
	}
	c.owner.mu.Unlock()

	startedAt := time.Now()
	queued := c.wasQueued(startedAt)
	pending := queued && mayBeReadable(c.Conn)
	n, err = c.input.read(c.Conn, p, func() readScope { return c.readScope(len(p)) })
	c.owner.mu.Lock()
	defer c.input.recorded()
	c.peerEnded = c.peerEnded || err != nil && err != net.ErrClosed && !os.IsTimeout(err)
	if c.stage == connClosing {
		c.lingeredBytes += n
		c.owner.mu.Unlock()
		return 0, 0, c.linger()
	}
	if n > 0 && c.stage == connIdle {
		arrivedAt := time.Now()
		if mayHaveWaited := pending || !queued && arrivedAt.Sub(startedAt) < minBlockingWait; mayHaveWaited && c.isFresh() {
			arrivedAt = c.connectedAt // it may have arrived with the connection
		}
		c.beginRequest(arrivedAt)
	}
	// Bytes of a later request that were read with the current one may have arrived as early as that.
	headBytes, c.lastArrivedAt = c.head.scan(p[:n]), c.requestArrivedAt
	c.recordRead(n, len(p), time.Now())
	c.owner.mu.Unlock()
	return n, headBytes, err
}

// SetReadDeadline sets the read deadline for net/http. It does nothing once the close has begun,
// because the lingering close sets its own.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.stage == connClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// wasQueued reports whether the connection has waited before its first read, in the kernel's queue or
// for admission. If it has, Read asks the operating system whether bytes had arrived before the read;
// otherwise the duration of the read shows whether they had.
func (c *clientConn) wasQueued(readAt time.Time) bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.stage == connIdle && c.isFresh() && readAt.Sub(c.connectedAt) >= minBlockingWait
}

// isFresh reports whether the connection was accepted and has not carried a request yet. The lock
// must be held.
func (c *clientConn) isFresh() bool { return !c.answered && !c.connectedAt.IsZero() }

// beginRequest records that the first bytes of a request were read, and when they arrived at the
// earliest. A pipelined request counts from the arrival of its first byte. The lock must be held.
func (c *clientConn) beginRequest(arrivedAt time.Time) {
	c.setStage(connReading)
	if !c.nextArrivedAt.IsZero() {
		arrivedAt = c.nextArrivedAt
	}
	c.requestArrivedAt, c.nextArrivedAt = arrivedAt, time.Time{}
}

// arrivalTime returns the earliest time at which the current request may have arrived, from which
// its timeout counts, or now if that time is unknown.
func (c *clientConn) arrivalTime(now time.Time) time.Time {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.requestArrivedAt.IsZero() {
		return now
	}
	return c.requestArrivedAt
}

// paceLocalAnswer waits, if the client sends requests that the agent answers itself faster than localAnswerRate. They
// cost a client nothing and no limit of the balancer applies to them, so that one connection could take all processor
// time. c is nil in tests without a connection.
func (c *clientConn) paceLocalAnswer() {
	if c != nil && !c.localAnswers.Take(time.Since(c.admittedAt)) {
		time.Sleep(time.Second / localAnswerRate)
	}
}

// setStage changes the stage and records the time of the change. The lock must be held.
func (c *clientConn) setStage(s connStage) {
	if c.stage != s {
		c.stage, c.stageSince = s, time.Now()
	}
}

// acceptRequest accepts the request that was read; from then on it must be answered. It returns false
// if the connection is being closed.
func (c *clientConn) acceptRequest() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.stage == connClosing {
		return false
	}
	c.setStage(connActive)
	c.startReadAhead()
	return true
}

// finishRequest is called when a request has been answered and the next one may arrive.
func (c *clientConn) finishRequest() {
	c.stopReadAhead()
	c.head.reset()
	c.handling.Store(false)
	c.pending.releaseParsing()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.stage == connClosing {
		return
	}
	c.answered, c.pipelined, c.readAhead.sealed = true, false, false
	c.setStage(connIdle)
	if arrivedAt, arrived := c.nextArrival(); arrived {
		c.beginRequest(arrivedAt)
		return
	}
	if c.owner.draining {
		c.halfClose()
	}
}

// nextArrival returns when the first byte after the current request arrived, if one was read. The lock must be held.
func (c *clientConn) nextArrival() (arrivedAt time.Time, arrived bool) {
	switch {
	case !c.nextArrivedAt.IsZero():
		return c.nextArrivedAt, true
	case len(c.readAhead.chunks) > 0:
		return c.readAhead.chunks[0].arrivedAt, true
	}
	return time.Time{}, false
}

// endsSoon reports whether the connection ends after the requests that it has begun to read.
func (c *clientConn) endsSoon() bool { return c.owner.ending.Load() || c.shedding.Load() }

// readScope returns what a read with a buffer of size bytes may read. When connections end after the requests that
// they have begun to read, such a request is read to its end and nothing behind it: a client that always sends the
// next request would otherwise keep its connection open for ever.
func (c *clientConn) readScope(size int) readScope {
	if !c.endsSoon() {
		return readScope{}
	}
	if !c.handling.Load() {
		return readScope{maxBytes: 1} // the head: only its last byte shows where it ends
	}
	if size == 1 {
		return readScope{endOnly: true} // net/http waits for a disconnect
	}
	return readScope{maxBytes: int(max(c.bodyLeft.Load(), 0))}
}

// disconnected reports whether the client has closed its connection. It asks the operating system, because the request
// and the end of the client's side may have been queued there for a long time, and much unread between them.
func (c *clientConn) disconnected() bool {
	select {
	case <-c.canceled:
		return true
	default:
	}
	c.owner.mu.Lock()
	ended := c.peerEnded
	c.owner.mu.Unlock()
	if ended || c.input.raw == nil {
		return ended
	}
	err := c.input.raw.Control(func(fd uintptr) {
		ended = peekEnd(fd) != syscall.EAGAIN
	})
	return ended || err != nil
}
