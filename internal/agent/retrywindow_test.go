package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knotrouter/policy"
)

// A retry whose connection is established only after the deduplication window of the first attempt is not
// sent: the server would treat it as a new request. The client is answered at the end of the window, not at
// its deadline.
func TestRetryIsNotSentAfterItsWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	received, ended := make(chan string, 10), make(chan struct{}, 10)
	failingBackend := func(c net.Conn, r *bufio.Reader) {
		defer func() { ended <- struct{}{} }()
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			received <- req.Header.Get("Request-Id")
			io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		}
	}
	config := testConfig(unreachableAddr, rawBackend(t, failingBackend), rawBackend(t, failingBackend))
	for _, class := range config["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["keyTtlMs"] = window.Milliseconds()
	}
	a, base, run := agentWithStoppedLoop(t, config)
	connect := a.loop.dialer.connect
	dials, release := make(chan int32, 10), make(chan struct{})
	var n atomic.Int32
	a.loop.dialer.connect = func(_ context.Context, network, addr string) (net.Conn, error) {
		i := n.Add(1)
		dials <- i
		if i > 1 {
			<-release // is established late, although its context has ended
		}
		return connect(context.Background(), network, addr)
	}
	run()
	startedAt := time.Now()
	answered := make(chan int, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(newCall(base, "send"))
		if err != nil {
			t.Error(err)
			answered <- 0
			return
		}
		resp.Body.Close()
		answered <- resp.StatusCode
	}()
	receive(t, "the first attempt", dials)
	receive(t, "the retry", dials)
	status := receive(t, "the answer", answered)
	if took := time.Since(startedAt); status != http.StatusServiceUnavailable || took > 10*time.Second {
		t.Errorf("answered %d after %v", status, took)
	}
	close(release)
	receive(t, "the late connection ends", ended)
	if len(received) != 1 {
		t.Fatalf("%d attempts arrived, the retry after its window", len(received))
	}
}

// deadlineRecordingConn is a connection that records the deadlines of its writes.
type deadlineRecordingConn struct {
	net.Conn
	deadlines chan time.Time
}

func (c deadlineRecordingConn) SetWriteDeadline(t time.Time) error {
	c.deadlines <- t
	return c.Conn.SetWriteDeadline(t)
}

// The last byte of a retry is written within the deduplication window or not at all: the write has that
// deadline. A later request without a window on the same connection is written without a deadline.
func TestRetryIsWrittenWithinItsWindow(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, okAnswer)
		}
	})
	d := newDialer()
	connect, deadlines := d.connect, make(chan time.Time, 10)
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		return deadlineRecordingConn{c, deadlines}, err
	}
	tr := d.newTransport()
	defer tr.CloseIdleConnections()
	sendBy := time.Now().Add(noTimeout)
	for _, want := range []time.Time{sendBy, {}} {
		a := newAttempt(tr, addr, http.MethodPost, noTimeout)
		a.sendBy = want
		if res := a.run(); res.status != policy.OK {
			t.Fatalf("ended with status %d", res.status)
		}
		if len(deadlines) == 0 {
			t.Fatal("no write deadline was set")
		}
		for len(deadlines) > 0 { // one for each write
			if got := <-deadlines; !got.Equal(want) {
				t.Fatalf("write deadline %v, want %v", got, want)
			}
		}
	}
}

// Bytes that a backend sends after a response are not taken for the next response, also if the response is
// chunked.
func TestTrailingBytesAfterChunksAreNoResponse(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\ndo\r\n2\r\nne\r\n0\r\nX: y\r\n\r\n"
	stray := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	for name, first := range map[string]string{"length": okAnswer, "chunks": chunked} {
		for _, late := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprint(name, late), func(t *testing.T) {
				addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
					for n := 0; ; n++ {
						if _, err := readRequest(r); err != nil {
							return
						}
						if n > 0 {
							io.WriteString(c, okAnswer)
							continue
						}
						if late == 0 {
							io.WriteString(c, first+stray)
							continue
						}
						io.WriteString(c, first)
						time.Sleep(late)
						io.WriteString(c, stray)
					}
				})
				tr := newDialer().newTransport()
				defer tr.CloseIdleConnections()
				for i := range 10 {
					res := newAttempt(tr, addr, http.MethodPost, noTimeout).run()
					if res.status == policy.OK && string(res.body) != "done" {
						t.Fatalf("attempt %d was answered %q", i, res.body)
					}
				}
			})
		}
	}
}

// responseFraming finds the end of a chunked response in pieces of any size, so that its connection can be
// reused.
func TestChunkedFramingInPieces(t *testing.T) {
	text := "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n1\r\nx\r\n0\r\n\r\n"
	for size := 1; size <= len(text); size++ {
		var f responseFraming
		f.beginResponse()
		for rest := text + "S"; len(rest) > 0; {
			n := min(size, len(rest))
			took := f.scan([]byte(rest[:n]))
			if rest = rest[n:]; took < n != (len(rest) == 0) || f.violated != (len(rest) == 0) {
				t.Fatalf("pieces of %d: took %d of %d, violated %v, %d left", size, took, n, f.violated, len(rest))
			}
		}
	}
	var f responseFraming
	f.beginResponse()
	f.scan([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"))
	if !f.hasTrailingBytes() {
		t.Fatal("bytes after a chunk with an invalid size do not count as trailing")
	}
}

// countDials returns a counter of the connections that the dialer opens from now on.
func countDials(d *dialer) *int {
	n, connect := new(int), d.connect
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		*n++
		return connect(ctx, network, addr)
	}
	return n
}

// A chunked response leaves its connection usable for the next request.
func TestChunkedAnswerKeepsItsConnection(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n")
		}
	})
	d := newDialer()
	n := countDials(d)
	tr := d.newTransport()
	defer tr.CloseIdleConnections()
	for range 3 {
		if res := newAttempt(tr, addr, http.MethodPost, noTimeout).run(); res.status != policy.OK || !strings.HasPrefix(string(res.body), "done") {
			t.Fatalf("ended with status %d %q", res.status, res.body)
		}
	}
	if *n != 1 {
		t.Fatalf("%d connections for three answers", *n)
	}
}

// blockedWriteConn is a connection on which only the first write succeeds; the next one blocks until the
// connection is closed.
type blockedWriteConn struct {
	net.Conn
	written *atomic.Bool
	closed  chan struct{}
}

func (c blockedWriteConn) Write(p []byte) (int, error) {
	if !c.written.Swap(true) {
		return c.Conn.Write(p)
	}
	<-c.closed
	return 0, net.ErrClosed
}

func (c blockedWriteConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.Conn.Close()
}

// A response that arrives before the request was sent completely is not taken for its response.
func TestResponseBeforeRequestIsSent(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil { // the head only
			io.WriteString(c, okAnswer)
			io.Copy(io.Discard, r)
		}
	})
	d := newDialer()
	connect := d.connect
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		return blockedWriteConn{c, new(atomic.Bool), make(chan struct{})}, err
	}
	a := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout)
	a.req.body = []byte(strings.Repeat("x", maxBodyBytes))
	if res := a.run(); res.status == policy.OK {
		t.Fatalf("the early response was taken for the answer: %q", res.body)
	}
	if n := d.open.Load(); n != 0 {
		t.Fatalf("%d connections are still open", n)
	}
}
