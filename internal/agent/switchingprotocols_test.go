package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"knotrouter/policy"
)

// An attempt that is answered with 101 ends at its timeout at the latest. net/http returns the raw connection as
// the response body, and its reads ignore the context of the request. An attempt that never ended would keep its
// goroutine, its connection and its share of the server's concurrency limit.
func TestSwitchingProtocolsEndsTheAttempt(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
			readRequest(r)
		}
	})
	const timeout = 100 * time.Millisecond
	a := newAttempt(newDialer().newTransport(), addr, http.MethodPost, timeout)
	ended := make(chan result, 1)
	go func() { ended <- a.run() }()
	select {
	case res := <-ended:
		if res.status == policy.OK || res.status.NotExecuted() {
			t.Errorf("status %d, want a failure that may have been executed", res.status)
		}
	case <-time.After(20 * timeout):
		if c := a.conn.Load(); c != nil {
			c.Close()
		}
		t.Fatalf("still in flight %v after its timeout of %v", 19*timeout, timeout)
	}
}
