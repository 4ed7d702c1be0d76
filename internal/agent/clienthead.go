package agent

import (
	"errors"
	"net"
	"time"
)

// headTooLongResponse answers a request whose head is longer than maxHeadBytes.
const headTooLongResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// errRefused ends the reads from a connection whose request was refused within its head. A net.OpError keeps
// net/http from writing a response of its own.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}

// Read reads what the client sends. A head that is longer than unreservedHeadBytes is returned only once it is
// complete and the memory to parse it is reserved. Read returns no bytes of the next request with those of the
// current one, except for a single byte that net/http reads in order to detect a disconnect: net/http would begin
// to parse them unseen.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		if n := c.pending.take(p); n > 0 {
			return n, nil
		}
		n, headBytes, err := c.receive(p)
		if err != nil || n == 0 {
			c.pending.drop()
			return n, err
		}
		if c.handling.Load() {
			return c.takeBody(p[:n]), nil
		}
		if len(p) == 1 {
			return n, nil // net/http reads a single byte only while it handles a request
		}
		passOn, err := c.addToHead(p[:n], headBytes)
		if err != nil {
			c.pending.drop()
			return 0, c.refuse(err)
		}
		if passOn > 0 {
			return passOn, nil
		}
	}
}

// takeBody returns how many of the bytes that have just arrived belong to the body of the current request, and
// puts the others back. After the body, and in a body of unknown length, which is the last one on its connection,
// it returns all.
func (c *clientConn) takeBody(p []byte) int {
	left := c.bodyLeft.Load()
	if left <= 0 {
		return len(p)
	}
	n := min(int64(len(p)), left)
	c.bodyLeft.Add(-n)
	c.unread(p[n:], c.lastArrivedAt)
	return int(n)
}

// addToHead is called with bytes that have just arrived, of which the first headBytes belong to the head. It
// returns how many of them net/http may read at once; the others were kept. An error means that there is no memory
// for the head, or that it is too long.
func (c *clientConn) addToHead(p []byte, headBytes int) (passOn int, err error) {
	if headBytes == 0 {
		headBytes = len(p)
		c.head.overrun(p)
	}
	c.unread(p[headBytes:], c.lastArrivedAt)
	size, ended := c.head.measure()
	h, collecting := c.pending, !c.pending.isEmpty()
	if !collecting && size.bytes <= unreservedHeadBytes {
		return headBytes, nil
	}
	wait := c.waitForHead()
	if ended && !collecting {
		return headBytes, h.reserveParsing(size, wait)
	}
	if !collecting {
		c.limitHeadTime(wait.deadline)
	}
	if err := h.add(p[:headBytes], wait); err != nil || !ended {
		return 0, err
	}
	h.end()
	return 0, h.reserveParsing(size, wait)
}

// waitForHead returns how long the current head may wait for memory: until it must have arrived.
func (c *clientConn) waitForHead() memoryWait {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	began := c.admittedAt
	if c.answered {
		began = c.stageSince
	}
	return memoryWait{deadline: began.Add(headTimeout), ended: c.ended}
}

// limitHeadTime limits the time in which the rest of the head may arrive. On a connection that was idle, net/http
// waits with the idle timeout for its first bytes, and sets the limit after that.
func (c *clientConn) limitHeadTime(deadline time.Time) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.stage != connClosing {
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// refuse answers the request whose head is being read and begins to close the connection. It returns errRefused.
func (c *clientConn) refuse(cause error) error {
	response := rejectionResponse
	if errors.Is(cause, errHeadTooLong) {
		response = headTooLongResponse
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.stage != connClosing {
		c.owner.logClosed(c, reasonMemory)
		c.writeRejection(response)
		c.stage = connClosing
		c.shutdownWrite()
	}
	return errRefused
}

// evict closes the connection if its request is still being read, in order to free the memory that it holds.
func (c *clientConn) evict() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if _, registered := c.owner.conns[c]; registered && c.stage == connReading {
		c.owner.evict(c, reasonMemory)
		c.owner.notifySlotFreed()
	}
}

// beginHandling is called when the handler has dropped the parsed head. bodyLength is -1 if it is unknown.
func (c *clientConn) beginHandling(bodyLength int64) {
	c.bodyLeft.Store(bodyLength)
	c.handling.Store(true)
	c.pending.releaseParsing()
}
