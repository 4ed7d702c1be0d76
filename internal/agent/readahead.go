package agent

import (
	"os"
	"time"
)

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
