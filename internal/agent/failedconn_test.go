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

// A new connection that the backend ended is not replaced, also where the transport's reader has closed
// it before the attempt gets it. TestNewConnectionClosedByBackendIsNotReplaced has this order now and then.
func TestNewConnectionClosedByReaderIsNotReplaced(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	peer.Close()
	conn.Close() // as the reader does at the end
	a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
	defer a.cancel(nil)
	a.header = http.Header{}
	a.gotConn(httptrace.GotConnInfo{Conn: conn})
	if a.mayChooseAnotherConn() {
		t.Error("the attempt connects again")
	}
}

// An attempt whose time ends when its connection has given way does not blame the backend.
func TestTimeoutAfterEvictionIsNotConnectFailed(t *testing.T) {
	conn, _ := connectedBackendConn(t)
	conn.endUse(time.Now())
	a := newAttempt(conn.transport, "", http.MethodPost, time.Millisecond)
	a.abandonConn(conn)
	<-a.ctx.Done()
	if a.mayChooseAnotherConn() {
		t.Fatal("goes on after its end")
	}
	if got := a.failureStatus(context.DeadlineExceeded); got != policy.Full {
		t.Errorf("ended %d, want %d", got, policy.Full)
	}
}

// interruptedConn withdraws an attempt while its connection is asked for unread bytes.
type interruptedConn struct {
	syscall.RawConn
	interrupt func()
}

func (c interruptedConn) Control(f func(fd uintptr)) error {
	defer c.interrupt()
	return c.RawConn.Control(f)
}

// Where nothing was written because the attempt was withdrawn in that moment, nothing is its response.
func TestNoResponseToAWithdrawnAttempt(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
	defer a.cancel(nil)
	a.conn.Store(conn)
	conn.raw = interruptedConn{conn.raw, func() { a.withdraw() }}
	if a.allowWrite(conn) {
		t.Fatal("written")
	}
	io.WriteString(peer, strayAnswer)
	if n, err := conn.Read(make([]byte, 100)); err != errTrailingBytes {
		t.Errorf("read %d bytes of a response, %v", n, err)
	}
}
