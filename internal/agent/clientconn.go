package agent

import (
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"knotrouter/internal/transient"
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

// rejectionResponse is what a client is told whose request can't be taken for want of a place.
const rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// reject answers a request that is being read and is given up, and takes what has come of it from the
// system: a close over unread bytes would reset the connection and the answer with it.
func (c *clientConn) reject() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = io.WriteString(c.Conn, rejectionResponse)
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		buf := make([]byte, 4<<10)
		for read := 0; read < maxLingerBytes; {
			n, _, err := syscall.Recvfrom(int(fd), buf, syscall.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
			read += n
		}
	})
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

// clientConn is a client's connection as the HTTP server sees it. What its clients hold of
// it is under their lock.
type clientConn struct {
	net.Conn
	owner *clientConns
	head  requestHead

	stage            connStage
	stageSince       time.Time // of the stage
	answered         bool      // a request was answered on it
	closed           bool
	lingerUntil      time.Time // the end of lingering, once the agent's side has ended
	lingeredBytes    int
	peerEnded        bool      // the client's side has ended
	connectedAt      time.Time // when the connection came at the earliest: it may have waited to be accepted
	requestArrivedAt time.Time // when the request at hand came at the earliest
	nextArrivedAt    time.Time // the same of the next one, of which something came behind it; zero: nothing did
	pipelined        bool      // something came behind the request at hand
	readAheadBuf     []byte    // of that, what was read beyond the first byte
	readAheadErr     error
	flooded          bool          // more came there than is kept
	readAheadDone    chan struct{} // closed when reading ahead has ended; nil: it does not run

	canceled chan struct{} // closed when the client is seen to have gone in the midst of a request
}

// Read reads what the client sends. Nothing of what comes after a close has begun is
// returned. Beside a request the HTTP server reads a single byte, to see the client go; where
// there is one, it would see no more, and the rest is read ahead here for the same reason.
func (c *clientConn) Read(p []byte) (int, error) {
	c.owner.mu.Lock()
	if c.stage == connClosing {
		c.owner.mu.Unlock()
		return 0, c.linger()
	}
	if len(c.readAheadBuf) > 0 {
		n := copy(p, c.readAheadBuf)
		c.readAheadBuf = c.readAheadBuf[n:]
		c.head.scan(p[:n])
		if c.stage == connIdle {
			c.beginRequest(0)
		}
		c.noteRead(n, len(p))
		c.owner.mu.Unlock()
		return n, nil
	}
	if err := c.readAheadErr; err != nil {
		c.owner.mu.Unlock()
		return 0, err
	}
	c.owner.mu.Unlock()

	startedAt := time.Now()
	n, err := c.Conn.Read(p)
	c.owner.mu.Lock()
	c.peerEnded = c.peerEnded || err != nil && !os.IsTimeout(err)
	if c.stage == connClosing {
		c.lingeredBytes += n
		c.owner.mu.Unlock()
		return 0, c.linger()
	}
	if n > 0 && c.stage == connIdle {
		c.beginRequest(time.Since(startedAt))
	}
	c.noteRead(n, len(p))
	c.owner.mu.Unlock()
	c.head.scan(p[:n])
	return n, err
}

// noteRead is told how much a read got of how much there was room for: the HTTP server's read
// noteRead a request has room for one byte.
func (c *clientConn) noteRead(n, capacity int) {
	if n == 1 && capacity == 1 {
		c.pipelined = true
		if c.nextArrivedAt.IsZero() {
			c.nextArrivedAt = time.Now()
		}
		c.startReadAhead()
	}
}

// startReadAhead reads ahead if something came behind the request that is taken.
func (c *clientConn) startReadAhead() {
	if c.stage == connActive && c.pipelined && c.readAheadDone == nil && c.readAheadErr == nil {
		c.readAheadDone = make(chan struct{})
		go c.readAhead(c.readAheadDone)
	}
}

// readAhead reads what the client sends behind a request until that is answered.
func (c *clientConn) readAhead(finished chan struct{}) {
	defer close(finished)
	buf := make([]byte, 512)
	for total := 0; total < maxReadAheadBytes; {
		n, err := c.Conn.Read(buf)
		total += n
		c.owner.mu.Lock()
		keep := min(n, maxReadAheadBuf-len(c.readAheadBuf))
		c.readAheadBuf = append(c.readAheadBuf, buf[:keep]...)
		c.flooded = c.flooded || keep < n
		if err != nil {
			if !os.IsTimeout(err) {
				c.peerEnded, c.readAheadErr = true, err
				close(c.canceled)
			}
			c.owner.mu.Unlock()
			return
		}
		c.owner.mu.Unlock()
	}
}

// stopReadAhead ends the reading ahead.
func (c *clientConn) stopReadAhead() {
	c.owner.mu.Lock()
	done := c.readAheadDone
	c.readAheadDone = nil
	c.owner.mu.Unlock()
	if done != nil {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline is the HTTP server's; how long is lingered is decided here.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.stage == connClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// beginRequest notes that the first bytes of a request were read after a wait, and when they came at the
// earliest. Where none are read, as they came with the request before, its time stands for both.
func (c *clientConn) beginRequest(waited time.Duration) {
	c.setStage(connReading)
	now := time.Now()
	switch {
	case !c.nextArrivedAt.IsZero():
		c.requestArrivedAt = c.nextArrivedAt
	case !c.answered && !c.connectedAt.IsZero() && waited < minBlockingWait:
		c.requestArrivedAt = c.connectedAt // it may have come with the connection
	default:
		c.requestArrivedAt = now
	}
	c.nextArrivedAt = time.Time{}
}

// arrivalTime is when the request that was read came at the earliest, or now where that isn't known:
// its time runs from then on.
func (c *clientConn) arrivalTime(now time.Time) time.Time {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.requestArrivedAt.IsZero() {
		return now
	}
	return c.requestArrivedAt
}

func (c *clientConn) setStage(s connStage) {
	if c.stage != s {
		c.stage, c.stageSince = s, time.Now()
	}
}

// acceptRequest takes the request that was read, which is owed an answer from now on. It fails where
// the connection is being closed.
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

// finishRequest is told that a request is answered and the next may come.
func (c *clientConn) finishRequest() {
	c.stopReadAhead()
	c.head.reset()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.stage == connClosing {
		return
	}
	c.answered, c.pipelined = true, false
	c.setStage(connIdle)
	if c.owner.draining {
		c.halfClose()
	}
}

// disconnected tells whether the client has closed its connection, as far as the system knows: the
// request at hand may have waited there for long, with its client's end behind it.
func (c *clientConn) disconnected() bool {
	select {
	case <-c.canceled:
		return true
	default:
	}
	c.owner.mu.Lock()
	ended := c.peerEnded
	c.owner.mu.Unlock()
	sc, ok := c.Conn.(syscall.Conn)
	if ended {
		return true
	}
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// An error that doesn't pass has ended the connection.
		disconnected = n == 0 && err == nil || err != nil && !transient.IsTemporary(err)
	})
	return disconnected || err != nil
}

// halfClose ends the agent's side of a connection at rest; who reads from it lingers.
func (c *clientConn) halfClose() {
	if c.stage == connIdle {
		c.owner.logClosed(c, reasonShutdown)
		c.stage = connClosing
		c.shutdownWrite()
	}
}

// shutdownWrite sends the end and bounds the time in which the client's is waited for.
func (c *clientConn) shutdownWrite() {
	if !c.lingerUntil.IsZero() {
		return
	}
	c.lingerUntil = time.Now().Add(lingerTimeout)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(c.lingerUntil)
}

// linger reads on until the client has closed too, or was given enough time and bytes.
func (c *clientConn) linger() error {
	buf := make([]byte, 4<<10)
	for {
		c.owner.mu.Lock()
		finished := c.closed || c.peerEnded || c.lingeredBytes >= maxLingerBytes
		c.owner.mu.Unlock()
		if finished {
			return net.ErrClosed
		}
		n, err := c.Conn.Read(buf)
		c.owner.mu.Lock()
		c.lingeredBytes += n
		c.peerEnded = c.peerEnded || err != nil
		c.owner.mu.Unlock()
	}
}

// Close closes the connection in order and gives its place back.
func (c *clientConn) Close() error {
	c.stopReadAhead()
	c.owner.mu.Lock()
	_, here := c.owner.conns[c]
	if c.closed || !here { // or another has its place, and it is closed
		c.closed = true
		c.owner.mu.Unlock()
		return c.Conn.Close()
	}
	c.stage = connClosing
	if !c.peerEnded {
		c.shutdownWrite()
	}
	c.owner.mu.Unlock()
	_ = c.linger()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.closed = true
	delete(c.owner.conns, c)
	select {
	case c.owner.slotFreed <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}
