package agent

import (
	"context"
	"os"
	"slices"
	"time"
	"unsafe"
)

const (
	// readAheadSize is how many bytes are read ahead at once.
	readAheadSize = 4 << 10
	// After every discardedPerPause bytes that were read only to detect a disconnect, reading pauses for
	// discardPause, so that a client that never stops sending takes little processor time.
	discardedPerPause = 256 << 10
	discardPause      = 5 * time.Millisecond
	// maxReadAheadWait limits the wait for what a client has sent behind its request. readAheadPoll is the time between two looks.
	maxReadAheadWait = 500 * time.Millisecond
	readAheadPoll    = 500 * time.Microsecond
	// minQuietLooks is how many looks in a row have to find nothing unread behind a request with more behind it: the
	// client's system may still hold bytes for which there was no room.
	minQuietLooks = 2
	// maxChunkSpan limits the time between the arrivals of the first and the last byte of a chunk.
	maxChunkSpan = 10 * time.Millisecond
	// chunkOverhead is what a chunk takes besides its bytes.
	chunkOverhead = int(unsafe.Sizeof(readAheadChunk{}))
)

// readAheadState holds what a connection has read after its current request.
type readAheadState struct {
	chunks    []readAheadChunk
	size      int           // number of bytes in the chunks
	allocated int           // memory of the chunks, in bytes
	truncated bool          // bytes were dropped: nothing after the chunks may be read as a request
	sealed    bool          // the response is being written: nothing may be dropped any more
	err       error         // read error that ended runReadAhead
	done      chan struct{} // closed when runReadAhead ends; nil: it does not run
}

// readAheadChunk holds bytes that arrived together.
type readAheadChunk struct {
	bytes     []byte
	allocated int       // memory of bytes, including the part that was taken
	arrivedAt time.Time // arrival of the first byte
}

// newReadAheadChunk returns a chunk with a copy of p.
func newReadAheadChunk(p []byte, arrivedAt time.Time) readAheadChunk {
	c := readAheadChunk{bytes: slices.Clone(p), arrivedAt: arrivedAt}
	c.allocated = cap(c.bytes)
	return c
}

// add appends bytes that have just arrived.
func (s *readAheadState) add(p []byte, now time.Time) {
	s.size += len(p)
	if n := len(s.chunks); n > 0 && now.Sub(s.chunks[n-1].arrivedAt) < maxChunkSpan {
		last := &s.chunks[n-1]
		last.bytes = append(last.bytes, p...)
		s.allocated += max(cap(last.bytes)-last.allocated, 0)
		last.allocated = max(cap(last.bytes), last.allocated)
		return
	}
	s.chunks = append(s.chunks, newReadAheadChunk(p, now))
	s.allocated += s.chunks[len(s.chunks)-1].allocated + chunkOverhead
}

// putBack inserts bytes before all others.
func (s *readAheadState) putBack(p []byte, arrivedAt time.Time) {
	s.chunks = slices.Insert(s.chunks, 0, newReadAheadChunk(p, arrivedAt))
	s.size += len(p)
	s.allocated += s.chunks[0].allocated + chunkOverhead
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
		s.allocated -= first.allocated + chunkOverhead
		if s.chunks = s.chunks[1:]; len(s.chunks) == 0 {
			s.chunks = nil
		}
	}
	return n, arrivedAt
}

// takeReadAhead moves bytes that were read ahead to p. It returns how many, and when they arrived. The
// lock must be held.
func (c *clientConn) takeReadAhead(p []byte) (n int, arrivedAt time.Time) {
	allocated := c.readAhead.allocated
	n, arrivedAt = c.readAhead.take(p)
	c.owner.readAheadBytes += c.readAhead.allocated - allocated
	return n, arrivedAt
}

// unread puts back bytes that were read together with the end of a head, and when they arrived.
func (c *clientConn) unread(p []byte, arrivedAt time.Time) {
	if len(p) == 0 {
		return
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	allocated := c.readAhead.allocated
	c.readAhead.putBack(p, arrivedAt)
	c.owner.readAheadBytes += c.readAhead.allocated - allocated
}

// dropReadAhead drops what was read ahead. The lock must be held.
func (c *clientConn) dropReadAhead() {
	c.owner.readAheadBytes -= c.readAhead.allocated
	c.readAhead.chunks, c.readAhead.size, c.readAhead.allocated, c.readAhead.truncated = nil, 0, 0, true
}

// sealReadAhead is called before the response to the current request is written. It reports whether
// another request may follow on the connection: no byte after the current one was dropped, and from now
// on none will be. If the connection is to end, no other request may follow unless bytes of one were read; from now on
// none are.
func (c *clientConn) sealReadAhead(toEnd bool) (mayFollow bool) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.readAhead.sealed = true
	if c.readAhead.truncated {
		return false
	}
	if toEnd && !c.owner.draining {
		c.shedding.Store(true)
	}
	_, arrived := c.nextArrival()
	return !toEnd && !c.shedding.Load() || arrived || !c.input.end(inputSealed)
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
		n, err := c.input.read(c.Conn, buf, func() readScope { return readScope{endOnly: c.endsSoon()} })
		c.owner.mu.Lock()
		buffered := c.keepReadAhead(buf[:n])
		c.input.recorded()
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

// awaitReadAhead waits until what the client has sent behind the current request is read, or ctx or the connection ends.
// The end of the client's side stands behind it, and no attempt may begin for a client that has left. It returns false
// if there is more after maxReadAheadWait. A connection that ends soon reads nothing ahead.
func (c *clientConn) awaitReadAhead(ctx context.Context) bool {
	deadline := time.Now().Add(maxReadAheadWait)
	for quietLooks := 0; c.input.raw != nil && !c.endsSoon(); quietLooks++ {
		switch {
		case hasUnread(c.input.raw):
			quietLooks = 0
		case !c.hasSentAhead() || quietLooks >= minQuietLooks:
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		select {
		case <-time.After(readAheadPoll):
		case <-c.canceled:
			return true
		case <-ctx.Done():
			return true
		}
	}
	return true
}

// hasSentAhead reports whether bytes behind the current request were read.
func (c *clientConn) hasSentAhead() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	_, arrived := c.nextArrival()
	return arrived || c.readAhead.truncated
}

// keepReadAhead keeps bytes that were read ahead. If they exceed the limits, it drops them and all that
// were kept before: the response to the current request then announces the close of the connection, so
// that the client knows that no later request was begun. It returns whether the bytes are kept. The lock
// must be held.
func (c *clientConn) keepReadAhead(p []byte) bool {
	switch {
	case len(p) == 0:
		return true
	case c.readAhead.truncated:
		return false
	case c.readAhead.sealed, c.readAhead.size+len(p) <= maxReadAheadBuf && c.owner.readAheadBytes+len(p) <= c.owner.budgets.readAhead:
		allocated := c.readAhead.allocated
		c.readAhead.add(p, time.Now())
		c.owner.readAheadBytes += c.readAhead.allocated - allocated
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
