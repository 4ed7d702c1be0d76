package agent

import (
	"context"
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
