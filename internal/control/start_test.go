package control

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestRequestsDuringStart has clients request metrics, members and the status while the server starts.
// Fields that are set after the server has begun to listen must be published safely to the handlers. Only
// the race detector can detect a violation.
func TestRequestsDuringStart(t *testing.T) {
	c := Defaults()
	c.Data, c.Raft, c.Listen, c.Heartbeat = t.TempDir(), "127.0.0.1:0", freeAddress(t), 100*time.Millisecond
	c.Gossip = freeAddress(t)
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for _, path := range []string{"/metrics", "/v1/members", "/v1/status"} {
		clients.Go(func() {
			for ctx.Err() == nil {
				if response, err := http.Get("http://" + c.Listen + path); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			}
		})
	}
	s, err := Start(context.Background(), &c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	clients.Wait()
	s.Close()
}
