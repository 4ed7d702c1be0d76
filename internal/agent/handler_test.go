package agent

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// The agent serves each class and reports that it is ready.
func TestAgentServesEachClass(t *testing.T) {
	addr, _ := countingBackend(t, 200, false)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	for _, class := range []string{"look", "send", "order"} {
		if status, body, _ := send(t, newCall(base, class)); status != 200 || body != "done" {
			t.Fatalf("%s: got %d %q", class, status, body)
		}
	}
	ready, _ := http.NewRequest(http.MethodGet, base+"/ready", nil)
	if status, _, _ := send(t, ready); status != 200 {
		t.Fatalf("/ready: %d", status)
	}
}

// A request that may have been executed is retried only if its class allows it; a rejected one may
// be forwarded to another backend in any class.
func TestRetriesFollowTheEffectOfTheClass(t *testing.T) {
	for _, c := range []struct {
		class      string
		status     int
		notStarted bool
		attempts   int
		wantStatus int
	}{
		{"order", 500, false, 1, http.StatusBadGateway},
		{"order", 503, false, 1, http.StatusBadGateway},
		{"order", 503, true, 3, http.StatusServiceUnavailable},
		{"send", 500, false, 3, http.StatusServiceUnavailable},
		{"look", 503, false, 3, http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprint(c.class, c.status, c.notStarted), func(t *testing.T) {
			var addrs []string
			var received []chan string
			for range 5 {
				addr, ids := countingBackend(t, c.status, c.notStarted)
				addrs, received = append(addrs, addr), append(received, ids)
			}
			_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addrs...))
			status, _, header := send(t, newCall(base, c.class))
			if status != c.wantStatus {
				t.Errorf("answered %d, want %d", status, c.wantStatus)
			}
			if want := status == http.StatusServiceUnavailable; (header.Get("Retry-After") == "0.6") != want {
				t.Errorf("Retry-After %q with %d", header.Get("Retry-After"), status)
			}
			attempts := 0
			for _, ids := range received {
				attempts += len(ids) // each was counted before it was answered
			}
			if attempts != c.attempts {
				t.Errorf("%d attempts, want %d", attempts, c.attempts)
			}
		})
	}
}

// A truncated response of a backend is not forwarded, neither completely nor in part.
func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone")
		}
	})
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	if status, body, _ := send(t, newCall(base, "order")); status != http.StatusBadGateway || body != "" {
		t.Fatalf("got %d %q", status, body)
	}
}

// An invalid request gets a 4xx that does not invite a retry, and reaches no backend.
func TestInvalidRequestsAreAnswered4xx(t *testing.T) {
	addr, received := countingBackend(t, 200, false)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	for name, change := range map[string]func(r *http.Request){
		"unknown class":    func(r *http.Request) { r.URL.Path = "/nothing/u1" },
		"root":             func(r *http.Request) { r.URL.Path = "/" },
		"method":           func(r *http.Request) { r.Method = http.MethodPut },
		"no Request-Id":    func(r *http.Request) { r.Header.Del("Request-Id") },
		"no timeout":       func(r *http.Request) { r.Header.Del("Request-Timeout") },
		"unit":             func(r *http.Request) { r.Header.Set("Request-Timeout", "480") },
		"negative timeout": func(r *http.Request) { r.Header.Set("Request-Timeout", "-1m") },
		"huge timeout":     func(r *http.Request) { r.Header.Set("Request-Timeout", "99999999999999m") },
		"no key":           func(r *http.Request) { r.Header.Del("Idempotency-Key") },
		"long body": func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1))), maxBodyBytes+1
		},
	} {
		req := newCall(base, "send")
		change(req)
		if status, _, _ := send(t, req); status < 400 || status > 499 || status == 429 {
			t.Errorf("%s: answered %d", name, status)
		}
	}
	lookWithBody := newCall(base, "look")
	lookWithBody.Body, lookWithBody.ContentLength = io.NopCloser(strings.NewReader("body")), 4
	if status, _, _ := send(t, lookWithBody); status != http.StatusBadRequest {
		t.Errorf("GET with a body: answered %d", status)
	}
	longest := newCall(base, "send")
	longest.Body, longest.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes))), maxBodyBytes
	longest.Header.Set("Request-Id", "longest")
	if status, _, _ := send(t, longest); status != 200 {
		t.Errorf("a body of 64 KiB: answered %d", status)
	}
	if id := <-received; id != "longest" || len(received) > 0 {
		t.Errorf("bad input reached the backend")
	}
}

// The guard timer answers if the loop never does.
func TestGuardAnswersWhenTheLoopIsStopped(t *testing.T) {
	config := parseConfig(t, testConfig(unreachableAddr))
	a, err := New(config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer a.stop() // the loop does not run
	a.loop.endInitialWatch()
	req := newCall("", "order")
	req.Header.Set("Request-Timeout", "20m")
	rec := httptest.NewRecorder()
	a.ServeHTTP(rec, req)
	if rec.Code != http.StatusGatewayTimeout {
		t.Fatalf("answered %d", rec.Code)
	}
	if first, second := <-a.loop.events, <-a.loop.events; first.kind != eventRequest || second.kind != eventClientCanceled {
		t.Fatalf("the loop got events %d, %d", first.kind, second.kind)
	}
}

// panicReader panics when the handler reads it.
type panicReader struct{}

func (panicReader) Read([]byte) (int, error) { panic("boom") }

func (panicReader) Close() error { return nil }

// A panic in a handler does not leave its request unanswered.
func TestHandlerPanicIsAnswered500(t *testing.T) {
	a, err := New(parseConfig(t, testConfig(unreachableAddr)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer a.stop()
	req := newCall("", "order")
	req.Body = panicReader{}
	rec := httptest.NewRecorder()
	a.ServeHTTP(rec, req)
	if rec.Code != http.StatusInternalServerError {
		t.Fatalf("answered %d", rec.Code)
	}
}

// If the client connections are nearly full, each is closed after its response: idle ones must not
// keep out a client whose timeout runs.
func TestConnectionsCloseWhenNearlyFull(t *testing.T) {
	addr, _ := countingBackend(t, 200, false)
	config := testConfig(unreachableAddr, addr)
	config["limits"].(map[string]any)["sockets"] = minSockets
	a, base, _, _ := startAgent(t, config)
	request := func() *http.Response {
		resp, err := new(http.Transport).RoundTrip(newCall(base, "order"))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp
	}
	if request().Close {
		t.Fatal("closed though there is room")
	}
	for !a.clients.nearlyFull() {
		n := a.clients.count()
		c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for a.clients.count() == n {
			time.Sleep(time.Millisecond) // until it is accepted
		}
	}
	if !request().Close {
		t.Fatal("kept open with few places left")
	}
}

// Requests beyond the number of client connections are rejected at once; waiting for a connection
// they would be lost.
func TestRequestsBeyondCapacityAreRejected(t *testing.T) {
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	t.Cleanup(unblock) // before the backend closes, also when the test fails
	config := testConfig(unreachableAddr, s.Listener.Addr().String())
	config["limits"].(map[string]any)["sockets"] = minSockets
	_, base, _, _ := startAgent(t, config)
	const excess = 20
	requests := maxOpenRequests(minSockets) + excess
	if requests <= clientSockets(minSockets) {
		t.Fatal("these fit into the places")
	}
	statuses := make(chan int, requests)
	for range requests {
		go func() {
			resp, err := new(http.Transport).RoundTrip(newCall(base, "order"))
			if err != nil {
				t.Error(err)
				statuses <- 0
				return
			}
			resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	timeout := time.After(10 * time.Second) // the module's own patience is 15 s here
	for range excess {
		select {
		case status := <-statuses:
			if status != http.StatusServiceUnavailable {
				t.Errorf("answered %d while the backend holds all, want 503", status)
			}
		case <-timeout:
			t.Fatal("not refused at once")
		}
	}
	unblock()
	for range requests - excess {
		if status := <-statuses; status != 200 {
			t.Errorf("answered %d, want 200", status)
		}
	}
}
