package agent

import (
	"io"
	"net"
	"syscall"
	"time"
)

// rejectionResponse is sent to a client whose connection is closed to make room while its request
// is being read.
const rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// reject answers a request that is still being read with rejectionResponse, and discards the
// received bytes: a close with unread bytes would reset the connection, and the client would lose
// the response.
func (c *clientConn) reject() {
	c.writeRejection(rejectionResponse)
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

// writeRejection writes a response that fits into the kernel's buffer.
func (c *clientConn) writeRejection(response string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = io.WriteString(c.Conn, response)
}

// halfClose ends the agent's side of an idle connection, unless bytes of a request were just read; the reader of the
// connection then lingers. The lock must be held.
func (c *clientConn) halfClose() {
	if c.stage == connIdle && c.input.end(inputClosed) {
		c.owner.logClosed(c, reasonShutdown)
		c.stage = connClosing
		c.shutdownWrite()
	}
}

// shutdownWrite ends the agent's side of the connection and sets the deadline for the client to end
// its side. The lock must be held.
func (c *clientConn) shutdownWrite() {
	if !c.lingerUntil.IsZero() {
		return
	}
	c.lingerUntil = time.Now().Add(lingerTimeout)
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(c.lingerUntil)
}

// linger reads until the client has closed its side, or until maxLingerBytes or the lingering
// deadline is reached. It returns net.ErrClosed.
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

// Close performs a lingering close and releases the connection's slot.
func (c *clientConn) Close() error {
	c.stopReadAhead()
	c.pending.close()
	c.owner.mu.Lock()
	_, registered := c.owner.conns[c]
	if c.closed || !registered { // not registered: it was evicted or aborted
		c.closed = true
		c.owner.mu.Unlock()
		return c.Conn.Close()
	}
	c.stage = connClosing
	c.dropReadAhead()
	if !c.peerEnded {
		c.shutdownWrite()
	}
	c.owner.mu.Unlock()
	_ = c.linger()
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.closed = true
	delete(c.owner.conns, c)
	c.owner.notifySlotFreed()
	return c.Conn.Close()
}
