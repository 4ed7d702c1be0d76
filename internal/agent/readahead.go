package agent

import (
	"os"
	"time"
)

// noteRead is called after each read with the number of bytes read and the size of the buffer.
// net/http reads with a buffer of one byte only while a request is handled, so such a byte belongs
// to a pipelined request. The lock must be held.
func (c *clientConn) noteRead(n, capacity int) {
	if n == 1 && capacity == 1 {
		c.pipelined = true
		if c.nextArrivedAt.IsZero() {
			c.nextArrivedAt = time.Now()
		}
		c.startReadAhead()
	}
}

// startReadAhead starts readAhead if a byte of a pipelined request has arrived behind the accepted
// one. The lock must be held.
func (c *clientConn) startReadAhead() {
	if c.stage == connActive && c.pipelined && c.readAheadDone == nil && c.readAheadErr == nil {
		c.readAheadDone = make(chan struct{})
		go c.readAhead(c.readAheadDone)
	}
}

// readAhead reads what the client sends behind the current request until that request is answered,
// in order to detect a disconnect. It closes finished on return.
func (c *clientConn) readAhead(finished chan struct{}) {
	defer close(finished)
	buf := make([]byte, 512)
	for total := 0; total < maxReadAheadBytes; {
		n, err := c.Conn.Read(buf)
		total += n
		c.owner.mu.Lock()
		keep := min(n, maxReadAheadBuf-len(c.readAheadBuf))
		c.readAheadBuf = append(c.readAheadBuf, buf[:keep]...)
		c.readAheadTruncated = c.readAheadTruncated || keep < n
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

// stopReadAhead stops readAhead and waits for its end.
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
