package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"knotrouter/policy"
)

// An attempt whose connect is refused has the status ConnectFailed and holds no socket.
func TestRefusedConnectIsConnectFailed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	d := newDialer()
	if got := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run().status; got != policy.ConnectFailed {
		t.Fatalf("status %d, want ConnectFailed", got)
	}
	if n := d.open.Load(); n != 0 {
		t.Fatalf("%d sockets are counted as open, want 0", n)
	}
}

// A dial is canceled with its attempt. http.Transport would let it finish and keep the connection, even to a
// backend that has failed or drains.
func TestDialEndsWithAttempt(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
		want  policy.Status
	}{
		{"timeout", context.DeadlineExceeded, policy.ConnectFailed},
		{"drain", errBackendDrained, policy.Full},
	} {
		t.Run(c.name, func(t *testing.T) {
			dialing, ended := make(chan struct{}), make(chan struct{})
			d := newDialer()
			d.connect = func(ctx context.Context, _, _ string) (net.Conn, error) {
				close(dialing)
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			}
			a := newAttempt(d.newTransport(), "127.0.0.1:1", http.MethodPost, noTimeout)
			done := make(chan result)
			go func() { done <- a.run() }()
			<-dialing
			a.cancel(c.cause)
			if res := <-done; res.status != c.want {
				t.Fatalf("status %d, want %d", res.status, c.want)
			}
			<-ended
		})
	}
}

// If no socket is free, the attempt counts as not executed, and the failure does not count against the backend.
func TestNoSocketLeftIsNotTheBackendsFault(t *testing.T) {
	d := newDialer()
	d.maxOpen = 0
	if got := newAttempt(d.newTransport(), "127.0.0.1:1", http.MethodPost, noTimeout).run().status; got != policy.Full {
		t.Fatalf("status %d, want Full", got)
	}
}

// keepAliveBackend starts a backend that answers each request. It reports the identifier of each request, and "end"
// for each connection that ends.
func keepAliveBackend(t *testing.T) (addr string, events chan string) {
	t.Helper()
	events = make(chan string, 100)
	addr = rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := readRequest(r)
			if err != nil {
				events <- "end"
				return
			}
			events <- request.Header.Get("Request-Id")
			io.WriteString(c, okAnswer)
		}
	})
	return addr, events
}

// A dial at the limit of open connections evicts the connection that has been idle for longest.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	d := newDialer()
	d.maxOpen = 2
	var backendEvents []chan string
	for range 3 {
		addr, events := keepAliveBackend(t)
		backendEvents = append(backendEvents, events)
		if res := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
			t.Fatalf("backend %d: status %d, error %v", len(backendEvents), res.status, res.err)
		}
		receive(t, "the request", events)
	}
	if event := receive(t, "the end of the first connection", backendEvents[0]); event != "end" {
		t.Errorf("the first backend received %q, want the end of its connection", event)
	}
	if n := d.open.Load(); n != 2 || len(backendEvents[1]) > 0 {
		t.Errorf("%d connections are open; the second backend reported %d more events", n, len(backendEvents[1]))
	}
}

// A connection that an attempt uses is never evicted.
func TestConnectionInUseIsNotEvicted(t *testing.T) {
	addr, received, answer, _ := scriptedBackend(t)
	d := newDialer()
	d.maxOpen = 1
	done := make(chan result, 1)
	go func() { done <- newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run() }()
	receive(t, "the request", received)
	other, events := keepAliveBackend(t)
	if res := newAttempt(d.newTransport(), other, http.MethodPost, noTimeout).run(); res.status != policy.Full {
		t.Errorf("attempt at the limit: status %d, want Full", res.status)
	}
	answer <- okAnswer
	if res := receive(t, "the outcome of the attempt in flight", done); res.status != policy.OK {
		t.Errorf("attempt in flight: status %d, error %v", res.status, res.err)
	}
	if len(events) > 0 {
		t.Errorf("the other backend reported %d events, want 0", len(events))
	}
}

// An attempt that chose a connection just as it was evicted writes nothing on it and uses another one.
func TestAttemptOnEvictedConnection(t *testing.T) {
	addr, events := keepAliveBackend(t)
	d := newDialer()
	transport := d.newTransport()
	if res := newAttempt(transport, addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
		t.Fatalf("status %d, error %v", res.status, res.err)
	}
	receive(t, "the first request", events)
	evicted := d.idle.takeOldest() // closed only after the second attempt
	res := newAttempt(transport, addr, http.MethodPost, noTimeout).run()
	if res.status != policy.OK {
		t.Fatalf("status %d, error %v", res.status, res.err)
	}
	evicted.Close()
	got := []string{receive(t, "the second request or the end", events), receive(t, "the other event", events)}
	if got[0] == got[1] || len(events) > 0 {
		t.Errorf("the backend reported %q and %d more events, want one request and one end", got, len(events))
	}
	if n := d.open.Load(); n != 1 {
		t.Errorf("%d connections are open, want 1", n)
	}
}
