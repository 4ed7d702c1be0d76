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

// freeAddress returns an address of this machine that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestRequestsDuringStart has clients read metrics and members while the server starts: what the start
// sets after it listens is published to their handlers. The race detector judges it.
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
