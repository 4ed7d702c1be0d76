package agent

import (
	"os"
	"time"
)

const (
	// readAheadSize is how many bytes are read ahead at once.
	readAheadSize = 4 << 10
	// After every discardedPerPause bytes that were read only to detect a disconnect, reading pauses for
	// discardPause, so that a client that never stops sending takes little processor time.
	discardedPerPause = 256 << 10
	discardPause      = 5 * time.Millisecond
	// maxChunkSpan limits the time between the arrivals of the first and the last byte of a chunk.
	maxChunkSpan = 10 * time.Millisecond
)

// readAheadState holds what a connection has read after its current request.
type readAheadState struct {
	chunks    []readAheadChunk
	size      int           // total size of the chunks, in bytes
	truncated bool          // bytes were dropped: nothing after the chunks may be read as a request
	sealed    bool          // the response is being written: nothing may be dropped any more
	err       error         // read error that ended runReadAhead
	done      chan struct{} // closed when runReadAhead ends; nil: it does not run
}

// readAheadChunk holds bytes that arrived together.
type readAheadChunk struct {
	bytes     []byte
	arrivedAt time.Time // arrival of the first byte
}

// add appends bytes that have just arrived.
func (s *readAheadState) add(p []byte, now time.Time) {
	s.size += len(p)
	if last := len(s.chunks) - 1; last >= 0 && now.Sub(s.chunks[last].arrivedAt) < maxChunkSpan {
		s.chunks[last].bytes = append(s.chunks[last].bytes, p...)
		return
	}
	s.chunks = append(s.chunks, readAheadChunk{bytes: append([]byte(nil), p...), arrivedAt: now})
}

// take moves bytes of the first chunk to p. It returns how many, and when they arrived.
func (s *readAheadState) take(p []byte) (n int, arrivedAt time.Time) {
	if len(s.chunks) == 0 {
		return 0, time.Time{}
	}
	first := &s.chunks[0]
	n, arrivedAt = copy(p, first.bytes), first.arrivedAt
	s.size -= n
	if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, arrivedAt
}

// takeReadAhead moves bytes that were read ahead to p. It returns how many, and when they arrived. The
// lock must be held.
func (c *clientConn) takeReadAhead(p []byte) (n int, arrivedAt time.Time) {
	n, arrivedAt = c.readAhead.take(p)
	c.owner.readAheadBytes -= n
	return n, arrivedAt
}

// dropReadAhead drops what was read ahead. The lock must be held.
func (c *clientConn) dropReadAhead() {
	c.owner.readAheadBytes -= c.readAhead.size
	c.readAhead.chunks, c.readAhead.size, c.readAhead.truncated = nil, 0, true
}

// sealReadAhead is called before the response to the current request is written. It reports whether
// another request may follow on the connection: no byte after the current one was dropped, and from now
// on none will be.
func (c *clientConn) sealReadAhead() (mayFollow bool) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.readAhead.sealed = true
	return !c.readAhead.truncated
}

// recordRead is called after each read with the number of bytes read, the size of the buffer and when
// the bytes arrived. net/http reads with a buffer of one byte only while a request is handled, so such a
// byte belongs to a pipelined request. The lock must be held.
func (c *clientConn) recordRead(n, capacity int, arrivedAt time.Time) {
	if n == 1 && capacity == 1 {
		c.pipelined = true
		if c.nextArrivedAt.IsZero() {
			c.nextArrivedAt = arrivedAt
		}
		c.startReadAhead()
	}
}

// startReadAhead starts runReadAhead if a byte of a pipelined request has arrived after the accepted
// one. The lock must be held.
func (c *clientConn) startReadAhead() {
	if c.stage == connActive && c.pipelined && c.readAhead.done == nil && c.readAhead.err == nil {
		c.readAhead.done = make(chan struct{})
		go c.runReadAhead(c.readAhead.done)
	}
}

// runReadAhead reads what the client sends after the current request until that request is answered,
// in order to detect a disconnect. It closes finished on return.
func (c *clientConn) runReadAhead(finished chan struct{}) {
	defer close(finished)
	buf := make([]byte, readAheadSize)
	for discarded := 0; ; {
		n, err := c.Conn.Read(buf)
		c.owner.mu.Lock()
		buffered := c.keepReadAhead(buf[:n])
		sealed := c.readAhead.sealed
		if err != nil && !os.IsTimeout(err) {
			c.peerEnded, c.readAhead.err = true, err
			close(c.canceled)
		}
		c.owner.mu.Unlock()
		if err != nil || sealed {
			return
		}
		if buffered {
			continue
		}
		if discarded += n; discarded >= discardedPerPause {
			discarded = 0
			time.Sleep(discardPause)
		}
	}
}

// keepReadAhead keeps bytes that were read ahead. If they exceed the limits, it drops them and all that
// were kept before: the response to the current request then announces the close of the connection, so
// that the client knows that no later request was begun. It returns whether the bytes are kept. The lock
// must be held.
func (c *clientConn) keepReadAhead(p []byte) bool {
	switch {
	case c.readAhead.truncated:
		return false
	case c.readAhead.sealed, c.readAhead.size+len(p) <= maxReadAheadBuf && c.owner.readAheadBytes+len(p) <= maxReadAheadTotal:
		c.readAhead.add(p, time.Now())
		c.owner.readAheadBytes += len(p)
		return true
	}
	c.dropReadAhead()
	return false
}

// stopReadAhead stops runReadAhead and waits for its end.
func (c *clientConn) stopReadAhead() {
	c.owner.mu.Lock()
	done := c.readAhead.done
	c.readAhead.done = nil
	c.owner.mu.Unlock()
	if done != nil {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		c.Conn.SetReadDeadline(time.Time{})
	}
}
