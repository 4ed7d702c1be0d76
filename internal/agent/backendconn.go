package agent

import (
	"container/list"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// backendConn is a connection to a backend. Each write has to be allowed by the attempt that the
// connection carries.
type backendConn struct {
	net.Conn
	raw                 syscall.RawConn // access to the descriptor of Conn; nil: Conn has none
	dialer              *dialer
	transport           *backendTransport
	slot                *connSlot
	attempt             atomic.Pointer[attempt]
	framing             responseFraming
	head                *headBuffer               // the head of the response that is being read
	idleSince           atomic.Pointer[time.Time] // end of the last attempt on the connection; nil: no attempt has ended
	unsolicitedReported atomic.Bool               // unsolicited bytes were reported to the transport
	closed              sync.Once

	// The fields below are guarded by dialer.idle.mu.

	idle     *list.Element // element of dialer.idle; nil: the connection is not idle
	unusable bool          // the connection is closed, or about to be: no attempt may begin on it
}

// newBackendConn returns a connection that was opened for an attempt in the slot.
func newBackendConn(c net.Conn, d *dialer, t *backendTransport, slot *connSlot) *backendConn {
	conn := &backendConn{Conn: c, dialer: d, transport: t, slot: slot,
		framing: responseFraming{framingState: framingState{complete: true}}}
	conn.head = newHeadBuffer(d.budgets.answers, d.budgets.parsing, func() { conn.Close() })
	if descriptor, ok := c.(syscall.Conn); ok {
		if raw, err := descriptor.SyscallConn(); err == nil {
			conn.raw = raw
		}
	}
	return conn
}

// setIdleSince records that an attempt on the connection ended at the time now.
func (c *backendConn) setIdleSince(now time.Time) { c.idleSince.Store(&now) }

// wasUsed reports whether the connection has carried an attempt that has ended.
func (c *backendConn) wasUsed() bool { return c.idleSince.Load() != nil }

// reuseDelayLeft returns how much of a delay that began with the end of the last attempt on the
// connection is left at the time now.
func (c *backendConn) reuseDelayLeft(now time.Time, delay time.Duration) time.Duration {
	since := c.idleSince.Load()
	if since == nil {
		return 0
	}
	return max(delay-now.Sub(*since), 0)
}

// readResponse reads bytes of the response to the current attempt. It returns errTrailingBytes once the backend
// has sent bytes after the end of the response.
func (c *backendConn) readResponse(p []byte) (int, error) {
	if c.framing.hasTrailingBytes() {
		return 0, errTrailingBytes
	}
	n, accepted, err := c.receive(p)
	if accepted < n {
		c.reportUnsolicited()
		return accepted, errTrailingBytes
	}
	return n, err
}

// receive waits for bytes and returns how many were read and how many of them belong to the response.
// Reading and scanning are one atomic step, so that no byte is read before beginResponse but scanned
// after it.
func (c *backendConn) receive(p []byte) (n, accepted int, err error) {
	if c.raw == nil {
		n, err = c.Conn.Read(p)
		return n, c.framing.scan(p[:n]), err
	}
	waitErr := c.raw.Read(func(fd uintptr) bool {
		n, accepted, err = c.framing.receive(p, func(p []byte) (int, error) { return readNow(fd, p) })
		return err != syscall.EAGAIN
	})
	if waitErr != nil {
		return 0, 0, waitErr
	}
	if err != nil && err != io.EOF {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	}
	return n, accepted, err
}

// readNow reads the bytes that are available. It returns EAGAIN if there are none yet, and io.EOF at the end.
func readNow(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), p)
		switch {
		case err == syscall.EINTR:
		case err != nil:
			return 0, err
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// beginResponse prepares for the response to a request that is about to be written. It returns false
// if the connection has ended or the backend has sent unsolicited bytes, including bytes that are still
// in the kernel's buffer.
func (c *backendConn) beginResponse() bool {
	return !c.hasUnread() && c.framing.beginResponse()
}

// hasUnread reports whether the connection has unread bytes, which are unsolicited, or has ended. It
// consumes an unread byte, so no response can be read from the connection once it has returned true.
func (c *backendConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	var err error
	controlErr := c.raw.Control(func(fd uintptr) {
		var unread [1]byte
		_, _, err = c.framing.receive(unread[:], func(p []byte) (int, error) { return readNow(fd, p) })
	})
	return controlErr != nil || err != syscall.EAGAIN
}

// reportUnsolicited reports unsolicited bytes to the transport, once.
func (c *backendConn) reportUnsolicited() {
	if c.framing.hasUnsolicited() && !c.unsolicitedReported.Swap(true) && c.transport.onUnsolicited != nil {
		c.transport.onUnsolicited()
	}
}

// Write writes request bytes if the current attempt allows it; otherwise it returns
// errAttemptWithdrawn.
func (c *backendConn) Write(p []byte) (int, error) {
	a := c.attempt.Load()
	if a == nil || !a.allowWrite(c) {
		return 0, errAttemptWithdrawn
	}
	if err := c.Conn.SetWriteDeadline(a.sendBy); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil && n < len(p) {
		a.writeFailed.Store(true) // the last byte can no longer be sent
	}
	return n, err
}

// Close closes the connection and releases its place in the dialer's limit and its slot, once.
func (c *backendConn) Close() error {
	c.closed.Do(func() {
		c.dialer.idle.discard(c)
		c.dialer.open.Add(-1)
		c.transport.connClosed(c)
		c.head.close()
	})
	return c.Conn.Close()
}
