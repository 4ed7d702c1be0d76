package agent

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// requestText returns the bytes of a valid request.
func requestText(id string) string {
	return "POST /order/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Timeout: 30000m\r\nContent-Length: 4\r\n\r\nbody"
}

// agentWithStoppedLoop serves an agent whose loop starts when runLoop is called.
func agentWithStoppedLoop(t *testing.T, config map[string]any) (a *Agent, baseURL string, runLoop func()) {
	t.Helper()
	a, err := New(parseConfig(t, config), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	a.loop.endInitialWatch()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go a.server.Serve(&listener{Listener: ln, clients: a.clients})
	t.Cleanup(func() {
		a.clients.abort()
		a.server.Close()
		a.stop()
	})
	return a, "http://" + ln.Addr().String(), func() { go a.loop.run() }
}

// scriptedBackend starts a backend that answers a request when the test sends it a response. It reports the
// identifiers of the requests, and each connection that closes before its response.
func scriptedBackend(t *testing.T) (addr string, received chan string, responses chan string, closed chan struct{}) {
	t.Helper()
	received, responses, closed = make(chan string, 100), make(chan string, 100), make(chan struct{}, 100)
	addr = rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			received <- req.Header.Get("Request-Id")
			ended := make(chan struct{})
			go func() {
				r.Peek(1)
				close(ended)
			}()
			select {
			case text := <-responses:
				io.WriteString(c, text)
				<-ended // the next request begins, or the connection ends
			case <-ended:
				closed <- struct{}{}
				return
			case <-time.After(testTimeout):
				return
			}
		}
	})
	return addr, received, responses, closed
}

// stallingHandler is a log handler that blocks whenever a failover is logged. Each call of stall posts a failover to
// the loop, which blocks it until release receives a value.
type stallingHandler struct{ stalled, release chan struct{} }

func newStallingHandler(a *Agent) stallingHandler {
	s := stallingHandler{stalled: make(chan struct{}, 10), release: make(chan struct{}, 10)}
	a.loop.log = slog.New(s)
	return s
}

func (s stallingHandler) stall(a *Agent) {
	a.loop.post(event{kind: eventFailover, source: a.loop.discovery})
}

func (s stallingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (s stallingHandler) WithAttrs([]slog.Attr) slog.Handler { return s }

func (s stallingHandler) WithGroup(string) slog.Handler { return s }

func (s stallingHandler) Handle(_ context.Context, r slog.Record) error {
	if strings.HasPrefix(r.Message, "discovery: failed over") {
		s.stalled <- struct{}{}
		<-s.release
	}
	return nil
}
