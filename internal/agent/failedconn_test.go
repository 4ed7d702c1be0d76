package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"

	"knotrouter/policy"
)

// A new connection that the backend closed is not replaced, even if the transport's reader has closed it before
// the attempt gets it. TestNewConnectionClosedByBackendIsNotReplaced produces this order only occasionally.
func TestNewConnectionClosedByReaderIsNotReplaced(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	peer.Close()
	conn.Close() // as the reader does at the end of the connection
	a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
	defer a.cancel(nil)
	a.header = http.Header{}
	a.gotConn(httptrace.GotConnInfo{Conn: conn})
	if a.canSwitchConn() {
		t.Error("the attempt may use another connection")
	}
}

// A timeout after the attempt's connection was evicted does not count as a failed connect of the backend.
func TestTimeoutAfterEvictionIsNotConnectFailed(t *testing.T) {
	conn, _ := connectedBackendConn(t)
	conn.setIdleSince(time.Now())
	a := newAttempt(conn.transport, "", http.MethodPost, time.Millisecond)
	a.abandonConn(conn)
	<-a.ctx.Done()
	if a.canSwitchConn() {
		t.Fatal("the attempt may use another connection after its timeout")
	}
	if got := a.failureStatus(context.DeadlineExceeded); got != policy.Full {
		t.Errorf("status %d, want %d", got, policy.Full)
	}
}

// interruptedConn calls interrupt while its connection is checked for unread bytes.
type interruptedConn struct {
	syscall.RawConn
	interrupt func()
}

func (c interruptedConn) Control(f func(fd uintptr)) error {
	defer c.interrupt()
	return c.RawConn.Control(f)
}

// If an attempt is withdrawn during the check for unread bytes, nothing is written, and bytes that arrive
// afterwards are not its response.
func TestNoResponseToAWithdrawnAttempt(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
	defer a.cancel(nil)
	a.conn.Store(conn)
	conn.raw = interruptedConn{conn.raw, func() { a.withdraw() }}
	if a.allowWrite(conn) {
		t.Fatal("a withdrawn attempt may write")
	}
	io.WriteString(peer, strayAnswer)
	if n, err := conn.Read(make([]byte, 100)); err != errTrailingBytes {
		t.Errorf("read %d bytes, error %v, want errTrailingBytes", n, err)
	}
}
