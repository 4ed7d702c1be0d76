package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// After a panic in the loop, only the event that caused it is lost.
func TestLoopSurvivesPanic(t *testing.T) {
	addr, _ := countingBackend(t, 200, false)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	a.loop.post(event{kind: eventRequest, req: nil})
	if status, _, _ := send(t, newCall(base, "order")); status != 200 {
		t.Fatalf("answered %d after a panic", status)
	}
}

// The attempt of a client that has disconnected is cancelled.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	got, ended := make(chan struct{}), make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		close(got)
		r.ReadByte()
		close(ended)
	})
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	ctx, cancel := context.WithCancel(context.Background())
	go http.DefaultTransport.RoundTrip(newCall(base, "order").WithContext(ctx))
	<-got
	cancel()
	<-ended
}

// After SIGTERM new connections are still served, requests in flight are answered, and the agent
// exits without an error.
func TestGracefulShutdownAnswersRequests(t *testing.T) {
	got, release := make(chan struct{}, 2), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- struct{}{}
		<-release
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	a, base, stop, ended := startAgent(t, testConfig(unreachableAddr, s.Listener.Addr().String()))
	answers := make(chan *http.Response, 2)
	request := func() {
		resp, err := http.DefaultTransport.RoundTrip(newCall(base, "look"))
		if err != nil {
			t.Error(err)
		}
		answers <- resp
	}
	go request()
	<-got
	stop()
	for !a.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	go request() // on a new connection: the first is busy
	<-got
	close(release)
	for range 2 {
		if resp := <-answers; resp == nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("answered %v, want 200 with Connection: close", resp)
		}
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// A backend that begins to drain while a connection to it is being established is sent no request; the
// request is forwarded to another backend.
func TestDrainDuringConnectForwardsElsewhere(t *testing.T) {
	good, received := countingBackend(t, 200, false)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, "127.0.0.1:1"))
	dialing := make(chan struct{})
	connect := a.loop.dialer.connect
	a.loop.dialer.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == good {
			return connect(ctx, network, addr)
		}
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answered := make(chan int, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(newCall(base, "order"))
		if err != nil {
			t.Error(err)
			return
		}
		answered <- resp.StatusCode
	}()
	<-dialing
	text, _ := json.Marshal(map[string]any{"seq": 2, "hosts": []any{hostEntry(0, "127.0.0.1:1", "draining"), hostEntry(1, good, "ready")}})
	change, err := endpoints.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	a.loop.post(event{kind: eventListChanged, list: change})
	if status := <-answered; status != 200 {
		t.Fatalf("answered %d", status)
	}
	<-received
}

// A new process is ready once it has an endpoint list, and after readyDeadline without one: discovery may be
// unavailable, and a rejection tells clients more than a wait.
func TestReadyWithoutAList(t *testing.T) {
	for name, hang := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discoveryAddr := unreachableAddr
			if hang {
				discoveryAddr = rawBackend(t, func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
			}
			config := testConfig(discoveryAddr)
			config["known"] = "nothing that makes sense"
			startedAt := time.Now()
			_, base, _, _ := startAgent(t, config)
			ready := func() bool {
				req, _ := http.NewRequest(http.MethodGet, base+"/ready", nil)
				status, _, _ := send(t, req)
				return status == http.StatusOK
			}
			if ready() && time.Since(startedAt) < readyDeadline/2 {
				t.Fatal("ready at once without a backend")
			}
			waitUntil(t, "ready", ready)
			req := newCall(base, "order")
			req.Header.Set("Request-Timeout", "200m")
			if status, _, _ := send(t, req); status != http.StatusServiceUnavailable {
				t.Fatalf("answered %d without a backend", status)
			}
		})
	}
}
