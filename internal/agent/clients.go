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
	// lingerFor and lingerBytes bound what is read of a client after the agent has ended its
	// side of the connection. A close over unread bytes resets the connection, and with it
	// goes what the client has not read of its last answer.
	lingerFor   = 300 * time.Millisecond
	lingerBytes = 256 << 10
	// refuseWithin bounds the write of a refusal, which finds room in the system's buffer.
	refuseWithin = 5 * time.Millisecond
	// A connection gives its place to another that waits for one after so long at rest, so
	// long since it was made without a byte, or so long within a request's head or body.
	restedFor, freshFor, slowFor = 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond
	// aheadMost is how much is kept of what a client sends behind its request, and
	// aheadBytes how much is read of it at all, to see whether the client has gone.
	aheadMost, aheadBytes = 4 << 10, 1 << 20
)

// stage is how far a client's connection is with its next request.
type stage uint8

const (
	resting stage = iota // no byte of it has come
	reading              // some have, and the request is not taken
	taken                // it is taken: the client is owed its answer
	closing              // nothing is read as a request any more
)

// clients owns the connections of clients and their places. Whether a connection takes a
// request or is closed is decided here, under one lock: what comes in the instant of a close
// is either taken and answered, or never taken, and the client may send it again.
type clients struct {
	mu       sync.Mutex
	most     int
	conns    map[*clientConn]struct{}
	freed    chan struct{} // told of a place; holds one word
	draining bool
	log      *slog.Logger // nil: none
}

func newClients(most int) *clients {
	return &clients{most: most, conns: map[*clientConn]struct{}{}, freed: make(chan struct{}, 1)}
}

// count is how many connections there are.
func (cs *clients) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns)
}

// few tells whether few places are left.
func (cs *clients) few() bool { return cs.count() >= cs.most*7/8 }

// add gives a new connection a place, which it takes from one that stands idle or is slow
// if there is no other. It waits as long as there is neither, until the end is closed.
func (cs *clients) add(raw net.Conn, end <-chan struct{}) *clientConn {
	c := &clientConn{Conn: raw, all: cs, since: time.Now(), left: make(chan struct{})}
	for {
		cs.mu.Lock()
		if len(cs.conns) >= cs.most {
			cs.evict(time.Now())
		}
		if len(cs.conns) < cs.most {
			cs.conns[c] = struct{}{}
			cs.mu.Unlock()
			return c
		}
		cs.mu.Unlock()
		select {
		case <-cs.freed:
		case <-time.After(restedFor / 4): // some may be at rest for long enough
		case <-end:
			raw.Close()
			return nil
		}
	}
}

// trace writes a line on a connection that the agent closes.
func (cs *clients) trace(c *clientConn, why reason) {
	if cs.log != nil {
		cs.log.Debug("client connection closed", "connection", c.RemoteAddr(), "reason", why,
			"stage", int(c.stage), "in_stage", time.Since(c.since))
	}
}

// evict closes the connection that has stood idle for longest, or else the slowest one. It
// owes no answer, and the client has long read its last one.
func (cs *clients) evict(now time.Time) {
	var out *clientConn
	for c := range cs.conns {
		age := now.Sub(c.since)
		if c.stage == resting && (c.answered && age >= restedFor || age >= freshFor) ||
			c.stage == reading && age >= slowFor {
			if out == nil || c.stage < out.stage || c.stage == out.stage && c.since.Before(out.since) {
				out = c
			}
		}
	}
	if out != nil {
		why := reasonIdleEvicted
		if out.stage == reading {
			why = reasonSlowEvicted
			out.refuse()
		}
		cs.trace(out, why)
		out.stage = closing
		out.Conn.Close()
		delete(cs.conns, out)
	}
}

// refusal is what a client is told whose request can't be taken for want of a place.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse answers a request that is being read and is given up, and takes what has come of it from the
// system: a close over unread bytes would reset the connection and the answer with it.
func (c *clientConn) refuse() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseWithin))
	_, _ = io.WriteString(c.Conn, refusal)
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
		for read := 0; read < lingerBytes; {
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
func (cs *clients) drain() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	for c := range cs.conns {
		if c.answered {
			c.halfClose()
		}
	}
}

// closeFresh closes those that came so long ago and sent nothing, and returns how many
// connections are left.
func (cs *clients) closeFresh(age time.Duration) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.conns {
		if time.Since(c.since) >= age {
			c.halfClose()
		}
	}
	return len(cs.conns)
}

// abort closes all that is left.
func (cs *clients) abort() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.conns {
		cs.trace(c, reasonShutdown)
		if c.stage == reading {
			c.refuse()
		}
		c.stage = closing
		c.Conn.Close()
	}
}

// clientConn is a client's connection as the HTTP server sees it. What its clients hold of
// it is under their lock.
type clientConn struct {
	net.Conn
	all  *clients
	head head

	stage    stage
	since    time.Time // of the stage
	answered bool      // a request was answered on it
	closed   bool
	until    time.Time // the end of lingering, once the agent's side has ended
	lingered int
	ended    bool      // the client's side has ended
	queued   time.Time // when the connection came at the earliest: it may have waited to be accepted
	came     time.Time // when the request at hand came at the earliest
	next     time.Time // the same of the next one, of which something came behind it; zero: nothing did
	behind   bool      // something came behind the request at hand
	ahead    []byte    // of that, what was read beyond the first byte
	aheadEnd error
	flooded  bool          // more came there than is kept
	stop     chan struct{} // closed when reading ahead has ended; nil: it does not run

	left chan struct{} // closed when the client is seen to have gone in the midst of a request
}

// Read reads what the client sends. Nothing of what comes after a close has begun is
// returned. Beside a request the HTTP server reads a single byte, to see the client go; where
// there is one, it would see no more, and the rest is read ahead here for the same reason.
func (c *clientConn) Read(p []byte) (int, error) {
	c.all.mu.Lock()
	if c.stage == closing {
		c.all.mu.Unlock()
		return 0, c.linger()
	}
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		c.head.scan(p[:n])
		if c.stage == resting {
			c.begin(0)
		}
		c.beside(n, len(p))
		c.all.mu.Unlock()
		return n, nil
	}
	if err := c.aheadEnd; err != nil {
		c.all.mu.Unlock()
		return 0, err
	}
	c.all.mu.Unlock()

	began := time.Now()
	n, err := c.Conn.Read(p)
	c.all.mu.Lock()
	c.ended = c.ended || err != nil && !os.IsTimeout(err)
	if c.stage == closing {
		c.lingered += n
		c.all.mu.Unlock()
		return 0, c.linger()
	}
	if n > 0 && c.stage == resting {
		c.begin(time.Since(began))
	}
	c.beside(n, len(p))
	c.all.mu.Unlock()
	c.head.scan(p[:n])
	return n, err
}

// beside is told how much a read got of how much there was room for: the HTTP server's read
// beside a request has room for one byte.
func (c *clientConn) beside(n, room int) {
	if n == 1 && room == 1 {
		c.behind = true
		if c.next.IsZero() {
			c.next = time.Now()
		}
		c.watch()
	}
}

// watch reads ahead if something came behind the request that is taken.
func (c *clientConn) watch() {
	if c.stage == taken && c.behind && c.stop == nil && c.aheadEnd == nil {
		c.stop = make(chan struct{})
		go c.readAhead(c.stop)
	}
}

// readAhead reads what the client sends behind a request until that is answered.
func (c *clientConn) readAhead(done chan struct{}) {
	defer close(done)
	buf := make([]byte, 512)
	for all := 0; all < aheadBytes; {
		n, err := c.Conn.Read(buf)
		all += n
		c.all.mu.Lock()
		keep := min(n, aheadMost-len(c.ahead))
		c.ahead = append(c.ahead, buf[:keep]...)
		c.flooded = c.flooded || keep < n
		if err != nil {
			if !os.IsTimeout(err) {
				c.ended, c.aheadEnd = true, err
				close(c.left)
			}
			c.all.mu.Unlock()
			return
		}
		c.all.mu.Unlock()
	}
}

// endAhead ends the reading ahead.
func (c *clientConn) endAhead() {
	c.all.mu.Lock()
	done := c.stop
	c.stop = nil
	c.all.mu.Unlock()
	if done != nil {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline is the HTTP server's; how long is lingered is decided here.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.stage == closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// begin notes that the first bytes of a request were read after a wait, and when they came at the
// earliest. Where none are read, as they came with the request before, its time stands for both.
func (c *clientConn) begin(waited time.Duration) {
	c.enter(reading)
	now := time.Now()
	switch {
	case !c.next.IsZero():
		c.came = c.next
	case !c.answered && !c.queued.IsZero() && waited < queueWait:
		c.came = c.queued // it may have come with the connection
	default:
		c.came = now
	}
	c.next = time.Time{}
}

// requestCame is when the request that was read came at the earliest, or now where that isn't known:
// its time runs from then on.
func (c *clientConn) requestCame(now time.Time) time.Time {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.came.IsZero() {
		return now
	}
	return c.came
}

func (c *clientConn) enter(s stage) {
	if c.stage != s {
		c.stage, c.since = s, time.Now()
	}
}

// take takes the request that was read, which is owed an answer from now on. It fails where
// the connection is being closed.
func (c *clientConn) take() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.stage == closing {
		return false
	}
	c.enter(taken)
	c.watch()
	return true
}

// rest is told that a request is answered and the next may come.
func (c *clientConn) rest() {
	c.endAhead()
	c.head.reset()
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.stage == closing {
		return
	}
	c.answered, c.behind = true, false
	c.enter(resting)
	if c.all.draining {
		c.halfClose()
	}
}

// gone tells whether the client has closed its connection, as far as the system knows: the
// request at hand may have waited there for long, with its client's end behind it.
func (c *clientConn) gone() bool {
	select {
	case <-c.left:
		return true
	default:
	}
	c.all.mu.Lock()
	ended := c.ended
	c.all.mu.Unlock()
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
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// An error that doesn't pass has ended the connection.
		gone = n == 0 && err == nil || err != nil && !transient.IsTemporary(err)
	})
	return gone || err != nil
}

// halfClose ends the agent's side of a connection at rest; who reads from it lingers.
func (c *clientConn) halfClose() {
	if c.stage == resting {
		c.all.trace(c, reasonShutdown)
		c.stage = closing
		c.endWrite()
	}
}

// endWrite sends the end and bounds the time in which the client's is waited for.
func (c *clientConn) endWrite() {
	if !c.until.IsZero() {
		return
	}
	c.until = time.Now().Add(lingerFor)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(c.until)
}

// linger reads on until the client has closed too, or was given enough time and bytes.
func (c *clientConn) linger() error {
	buf := make([]byte, 4<<10)
	for {
		c.all.mu.Lock()
		over := c.closed || c.ended || c.lingered >= lingerBytes
		c.all.mu.Unlock()
		if over {
			return net.ErrClosed
		}
		n, err := c.Conn.Read(buf)
		c.all.mu.Lock()
		c.lingered += n
		c.ended = c.ended || err != nil
		c.all.mu.Unlock()
	}
}

// Close closes the connection in order and gives its place back.
func (c *clientConn) Close() error {
	c.endAhead()
	c.all.mu.Lock()
	_, here := c.all.conns[c]
	if c.closed || !here { // or another has its place, and it is closed
		c.closed = true
		c.all.mu.Unlock()
		return c.Conn.Close()
	}
	c.stage = closing
	if !c.ended {
		c.endWrite()
	}
	c.all.mu.Unlock()
	_ = c.linger()
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.closed = true
	delete(c.all.conns, c)
	select {
	case c.all.freed <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}
