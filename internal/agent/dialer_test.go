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

// An attempt whose connect is refused ends with ConnectFailed and holds no socket.
func TestRefusedConnectIsConnectFailed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	d := newDialer()
	if got := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run().status; got != policy.ConnectFailed {
		t.Fatalf("ended %d, want could-not-connect", got)
	}
	if n := d.open.Load(); n != 0 {
		t.Fatalf("%d sockets counted as open", n)
	}
}

// A dial ends with its attempt: http.Transport would let it finish and keep the connection, to a
// backend that was given up or drains.
func TestDialEndsWithAttempt(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
		want  policy.Status
	}{
		{"time-out", context.DeadlineExceeded, policy.ConnectFailed},
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
				t.Fatalf("ended %d, want %d", res.status, c.want)
			}
			<-ended
		})
	}
}

// Without a free socket the attempt was not executed, and the backend is not at fault.
func TestNoSocketLeftIsNotTheBackendsFault(t *testing.T) {
	d := newDialer()
	d.maxOpen = 0
	if got := newAttempt(d.newTransport(), "127.0.0.1:1", http.MethodPost, noTimeout).run().status; got != policy.Full {
		t.Fatalf("ended %d, want turned away", got)
	}
}

// keepAliveBackend returns a backend that answers each request, and what arrives there: the identifier
// of each request, and "end" when a connection ends.
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

// The longest idle connection gives way to a dial that finds the limit reached.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	d := newDialer()
	d.maxOpen = 2
	var backendEvents []chan string
	for range 3 {
		addr, events := keepAliveBackend(t)
		backendEvents = append(backendEvents, events)
		if res := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
			t.Fatalf("backend %d: ended %d: %v", len(backendEvents), res.status, res.err)
		}
		receive(t, "the request", events)
	}
	if event := receive(t, "the end of the first connection", backendEvents[0]); event != "end" {
		t.Errorf("the first backend got %q", event)
	}
	if n := d.open.Load(); n != 2 || len(backendEvents[1]) > 0 {
		t.Errorf("%d connections are open; the second backend got %d more events", n, len(backendEvents[1]))
	}
}

// A connection that an attempt uses never gives way.
func TestConnectionInUseIsNotEvicted(t *testing.T) {
	addr, received, answer, _ := scriptedBackend(t)
	d := newDialer()
	d.maxOpen = 1
	done := make(chan result, 1)
	go func() { done <- newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run() }()
	receive(t, "the request", received)
	other, events := keepAliveBackend(t)
	if res := newAttempt(d.newTransport(), other, http.MethodPost, noTimeout).run(); res.status != policy.Full {
		t.Errorf("beside a connection in use: ended %d, want turned away", res.status)
	}
	answer <- okAnswer
	if res := receive(t, "the answer", done); res.status != policy.OK {
		t.Errorf("the attempt in flight ended %d: %v", res.status, res.err)
	}
	if len(events) > 0 {
		t.Errorf("%d events at the other backend", len(events))
	}
}

// An attempt that chose a connection in the moment in which it gave way writes nothing there, and goes
// on another one.
func TestAttemptOnEvictedConnection(t *testing.T) {
	addr, events := keepAliveBackend(t)
	d := newDialer()
	transport := d.newTransport()
	if res := newAttempt(transport, addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
		t.Fatalf("ended %d: %v", res.status, res.err)
	}
	receive(t, "the first request", events)
	evicted := d.idle.takeOldest() // and is closed only later
	res := newAttempt(transport, addr, http.MethodPost, noTimeout).run()
	if res.status != policy.OK {
		t.Fatalf("ended %d: %v", res.status, res.err)
	}
	evicted.Close()
	got := []string{receive(t, "the second request or the end", events), receive(t, "the other", events)}
	if got[0] == got[1] || len(events) > 0 {
		t.Errorf("the backend got %q and %d more, want one request and one end", got, len(events))
	}
	if n := d.open.Load(); n != 1 {
		t.Errorf("%d connections are open", n)
	}
}
