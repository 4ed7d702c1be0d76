package agent

import (
	"net"
	"os"
	"syscall"
	"time"

	"knotrouter/internal/transient"
)

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
