package agent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"knotrouter/policy"
)

// net/http must not resend a request when a reused connection breaks: that would be a second attempt that
// the balancer has not ordered.
func TestNoHiddenResend(t *testing.T) {
	for _, c := range []struct{ name, method, key string }{
		{"safe", http.MethodGet, ""}, {"keyed", http.MethodPost, "k1"}, {"unsafe", http.MethodPost, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var received atomic.Int32
			addr := rawBackend(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					if _, err := readRequest(r); err != nil {
						return
					}
					if received.Add(1) > 1 {
						return // closes the reused connection without answering its second request
					}
					io.WriteString(conn, okAnswer)
				}
			})
			tr := newDialer().newTransport()
			defer tr.CloseIdleConnections()
			for i, want := range []policy.Status{policy.OK, policy.Reset} {
				a := newAttempt(tr, addr, c.method, noTimeout)
				a.req.idempotencyKey = c.key
				if got := a.run().status; got != want {
					t.Fatalf("attempt %d: status %d, want %d", i, got, want)
				}
			}
			if n := received.Load(); n != 2 {
				t.Fatalf("the backend received %d requests from 2 attempts", n)
			}
		})
	}
}

// An attempt may write on one connection only, even if net/http picks a second one for it.
func TestOneConnectionPerAttempt(t *testing.T) {
	a := newAttempt(nil, "", http.MethodPost, noTimeout)
	defer a.cancel(nil)
	first, second := &backendConn{}, &backendConn{}
	a.conn.Store(first)
	allowed := a.allowWrite(first)
	allowedAgain := a.allowWrite(first)
	if !allowed || !allowedAgain {
		t.Fatal("the attempt may not write on its own connection")
	}
	if a.allowWrite(second) {
		t.Fatal("the attempt may write on a second connection")
	}
	if a.withdraw() {
		t.Fatal("an attempt was withdrawn after it began to write")
	}
}

// An attempt's status says whether the backend executed the request; if that is unknown, it counts
// as executed.
func TestAttemptStatuses(t *testing.T) {
	answer := func(text string) func(net.Conn, *bufio.Reader) {
		return func(c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
				io.WriteString(c, text)
			}
		}
	}
	for _, c := range []struct {
		name  string
		serve func(net.Conn, *bufio.Reader)
		want  policy.Status
	}{
		{"complete response", answer(okAnswer), policy.OK},
		{"no response", answer(""), policy.Reset},
		{"truncated response", answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone"), policy.Reset},
		{"truncated chunked response", answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), policy.Reset},
		{"response delimited by connection close", answer("HTTP/1.1 200 OK\r\n\r\ndone"), policy.OK},
		{"response delimited by connection reset", func(c net.Conn, r *bufio.Reader) {
			answer("HTTP/1.1 200 OK\r\n\r\ndone")(c, r)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, policy.Reset},
		{"error response delimited by connection close", answer("HTTP/1.1 500 No\r\n\r\nno"), policy.Error},
		{"response too long", answer("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), policy.Error},
		{"bytes after the response", answer(okAnswer + "more"), policy.Reset},
		{"two responses", answer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad" + okAnswer), policy.Reset},
		{"Content-Length and Transfer-Encoding", answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), policy.Reset},
		{"interim response", answer("HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" + okAnswer), policy.OK},
		{"chunked response", answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), policy.OK},
		{"503 not started, delimited by connection close", answer("HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\nno"), policy.Full},
		{"error", answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), policy.Error},
		{"success other than 200", answer("HTTP/1.1 204 No\r\n\r\n"), policy.Error},
		{"503 that may have been executed", answer("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), policy.Error},
		{"503 not started", answer("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.Full},
		{"504 not started", answer("HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.Full},
		{"500 not started", answer("HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.Error},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newDialer().newTransport()
			defer tr.CloseIdleConnections()
			res := newAttempt(tr, rawBackend(t, c.serve), http.MethodPost, noTimeout).run()
			if res.status != c.want {
				t.Fatalf("status %d, want %d", res.status, c.want)
			}
			if want := c.want == policy.OK; (string(res.body) == "done") != want {
				t.Fatalf("body %q", res.body)
			}
		})
	}
}

// A response whose header never ends is given up after a bounded number of bytes: the agent's memory is small.
func TestEndlessResponseHeadIsAbandoned(t *testing.T) {
	const buffer, line = 64 << 10, "X-Line: padding-padding-padding-padding-xx\r\n"
	sent := make(chan int, 1)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		n := 0
		defer func() { sent <- n }()
		c.(*net.TCPConn).SetWriteBuffer(buffer)
		if _, err := readRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for n < 64<<20 {
			wrote, err := io.WriteString(c, line)
			if n += wrote; err != nil {
				return
			}
		}
	})
	d := newDialer()
	connect := d.connect
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		if err == nil {
			c.(*net.TCPConn).SetReadBuffer(buffer) // small, so that the bytes sent are close to the bytes read
		}
		return c, err
	}
	if res := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run(); res.status != policy.Reset {
		t.Fatalf("status %d, want Reset", res.status)
	}
	if n := <-sent; n > 4<<20 {
		t.Fatalf("the backend could send %d bytes of a header", n)
	}
}

// Bytes that a backend sends after a response are never taken for the response to the next request.
func TestTrailingBytesAreNoResponse(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, okAnswer+strings.Repeat(stray, n%2))
		}
	})
	d := newDialer()
	tr := d.newTransport()
	defer tr.CloseIdleConnections()
	outcomes := map[policy.Status]int{}
	for i := range 50 {
		res := newAttempt(tr, addr, http.MethodPost, noTimeout).run()
		if res.status == policy.OK && string(res.body) != "done" {
			t.Fatalf("attempt %d: response body %q", i, res.body)
		}
		outcomes[res.status]++
	}
	// An attempt may get the connection just before it is closed; that attempt is not executed.
	if outcomes[policy.OK] == 0 || outcomes[policy.Reset] == 0 || outcomes[policy.OK]+outcomes[policy.Reset]+outcomes[policy.ConnectFailed] != 50 {
		t.Fatalf("attempts by status: %v, want every other one reset", outcomes)
	}
}

// brokenConn fails each write after half of its bytes.
type brokenConn struct{ net.Conn }

func (brokenConn) Write(p []byte) (int, error) { return len(p) / 2, errors.New("broken") }

// A request whose write fails before the last byte was not executed.
func TestFailedWriteIsNotExecuted(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	d := newDialer()
	connect := d.connect
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		return brokenConn{c}, err
	}
	if got := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run().status; got != policy.ConnectFailed {
		t.Fatalf("status %d, want ConnectFailed", got)
	}
}

// Canceling an attempt closes its connection before the outcome is reported, so that the next attempt never
// runs at the same time.
func TestTimeoutClosesConnection(t *testing.T) {
	readErr := make(chan error, 1)
	received := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		close(received)
		_, err := r.ReadByte()
		readErr <- err
	})
	d := newDialer()
	a := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout)
	done := make(chan result)
	go func() { done <- a.run() }()
	<-received
	a.cancel(context.DeadlineExceeded) // as a timeout does, without waiting for one
	if res := <-done; res.status != policy.Timeout {
		t.Fatalf("status %d, want Timeout", res.status)
	}
	if n := d.open.Load(); n != 0 {
		t.Fatalf("%d connections open when the outcome is reported", n)
	}
	if err := <-readErr; err == nil {
		t.Fatal("the backend received a byte, want the end of the connection")
	}
}

// An attempt that is withdrawn while its connection is being established writes nothing.
func TestWithdrawnAttemptSendsNothing(t *testing.T) {
	bytesRead := make(chan int64, 1)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		bytesRead <- n
	})
	d := newDialer()
	var a *attempt
	connect := d.connect
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		if !a.withdraw() {
			t.Error("the attempt could not be withdrawn before its first byte")
		}
		return c, err
	}
	a = newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout)
	if got := a.run().status; !got.NotExecuted() {
		t.Fatalf("status %d, want one that means not executed", got)
	}
	if n := <-bytesRead; n != 0 {
		t.Fatalf("the backend received %d bytes", n)
	}
}

// The method, the request target, the body and the forwarded headers reach the backend unchanged.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	received := make(chan *http.Request, 1)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		received <- req
		io.WriteString(c, okAnswer)
	})
	a := newAttempt(newDialer().newTransport(), addr, http.MethodPost, noTimeout)
	a.req.url, _ = url.ParseRequestURI("/order/a%2Fb%20c?x=1&y=%2f")
	a.req.idempotencyKey = "k1"
	if res := a.run(); res.status != policy.OK {
		t.Fatalf("status %d, want OK", res.status)
	}
	req := <-received
	body, _ := io.ReadAll(req.Body)
	if req.RequestURI != "/order/a%2Fb%20c?x=1&y=%2f" || req.Method != http.MethodPost || string(body) != "body" ||
		req.Header.Get("Request-Id") != "id1" || req.Header.Get("Idempotency-Key") != "k1" || req.Host != "backend.local" {
		t.Fatalf("the backend received %v %s, body %q, header %v", req.Method, req.RequestURI, body, req.Header)
	}
	if got := req.Header.Get("Request-Timeout"); !strings.HasSuffix(got, "m") || len(got) != len("3599999m") {
		t.Fatalf("Request-Timeout %q, want a little less than an hour", got)
	}
}

// The values of a load report are looked up by name, and malformed reports are ignored.
func TestParseLoadReport(t *testing.T) {
	got := parseLoadReport("TEXT util=0.61, qps=7", []string{"qps", "util", "eps"})
	if len(got) != 3 || got[0] != 7 || got[1] != 0.61 || got[2] != 0 {
		t.Fatalf("got %v", got)
	}
	for _, malformed := range []string{"", "JSON {}", "TEXT qps=much"} {
		if got := parseLoadReport(malformed, []string{"qps"}); got != nil {
			t.Fatalf("load report %q was parsed as %v", malformed, got)
		}
	}
}
