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

// The agent serves requests of each class, and /ready reports that it is ready.
func TestAgentServesEachClass(t *testing.T) {
	addr, _ := countingBackend(t, 200, false)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	for _, class := range []string{"look", "send", "order"} {
		if status, body, _ := send(t, newCall(base, class)); status != 200 || body != "done" {
			t.Fatalf("%s: status %d, body %q", class, status, body)
		}
	}
	ready, _ := http.NewRequest(http.MethodGet, base+"/ready", nil)
	if status, _, _ := send(t, ready); status != 200 {
		t.Fatalf("/ready: status %d, want 200", status)
	}
}

// A request that may have been executed is retried only if its class allows it. A request that a backend rejected
// without starting it is retried at another backend in any class.
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
				t.Errorf("status %d, want %d", status, c.wantStatus)
			}
			if want := status == http.StatusServiceUnavailable; (header.Get("Retry-After") == "0.6") != want {
				t.Errorf("Retry-After %q with status %d", header.Get("Retry-After"), status)
			}
			attempts := 0
			for _, ids := range received {
				attempts += len(ids) // each request is reported before it is answered
			}
			if attempts != c.attempts {
				t.Errorf("%d attempts, want %d", attempts, c.attempts)
			}
		})
	}
}

// No part of a truncated response is forwarded; the client gets status 502 without a body.
func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone")
		}
	})
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	if status, body, _ := send(t, newCall(base, "order")); status != http.StatusBadGateway || body != "" {
		t.Fatalf("status %d, body %q, want 502 without a body", status, body)
	}
}

// An invalid request gets a 4xx status other than 429, which would invite a retry, and reaches no backend.
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
			t.Errorf("%s: status %d, want 4xx other than 429", name, status)
		}
	}
	lookWithBody := newCall(base, "look")
	lookWithBody.Body, lookWithBody.ContentLength = io.NopCloser(strings.NewReader("body")), 4
	if status, _, _ := send(t, lookWithBody); status != http.StatusBadRequest {
		t.Errorf("GET with a body: status %d, want 400", status)
	}
	longest := newCall(base, "send")
	longest.Body, longest.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes))), maxBodyBytes
	longest.Header.Set("Request-Id", "longest")
	if status, _, _ := send(t, longest); status != 200 {
		t.Errorf("body of 64 KiB: status %d, want 200", status)
	}
	if id := <-received; id != "longest" || len(received) > 0 {
		t.Errorf("an invalid request reached the backend")
	}
}

// The handler's guard timer answers a request with 504 if the loop does not.
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
		t.Fatalf("status %d, want 504", rec.Code)
	}
	if first, second := <-a.loop.events, <-a.loop.events; first.kind != eventRequest || second.kind != eventClientCanceled {
		t.Fatalf("the loop received events %d and %d, want a request and its cancellation", first.kind, second.kind)
	}
}

// panicReader is a request body whose Read panics.
type panicReader struct{}

func (panicReader) Read([]byte) (int, error) { panic("boom") }

func (panicReader) Close() error { return nil }

// A request whose handler panics is answered with status 500.
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
		t.Fatalf("status %d, want 500", rec.Code)
	}
}

// If the number of client connections is near its limit, each connection is closed after its response: idle
// connections must not keep out a client whose timeout is running.
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
		t.Fatal("the connection is closed far from the limit")
	}
	for !a.clients.nearlyFull() {
		n := a.clients.count()
		c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for a.clients.count() == n {
			time.Sleep(time.Millisecond) // until the connection is accepted
		}
	}
	if !request().Close {
		t.Fatal("the connection is kept open near the limit")
	}
}

// Requests beyond the limit of open requests are rejected at once with status 503. If they waited for a connection
// instead, nobody would answer them before their timeout.
func TestRequestsBeyondCapacityAreRejected(t *testing.T) {
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	t.Cleanup(unblock) // runs before s.Close, also if the test fails
	config := testConfig(unreachableAddr, s.Listener.Addr().String())
	config["limits"].(map[string]any)["sockets"] = minSockets
	_, base, _, _ := startAgent(t, config)
	const excess = 20
	requests := maxOpenRequests(minSockets) + excess
	if requests <= clientSockets(minSockets) {
		t.Fatal("the requests do not exceed the limit of client connections")
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
	timeout := time.After(10 * time.Second) // less than the 15 s that the balancer would let a request wait here
	for range excess {
		select {
		case status := <-statuses:
			if status != http.StatusServiceUnavailable {
				t.Errorf("status %d while the backend blocks, want 503", status)
			}
		case <-timeout:
			t.Fatal("not all excess requests were rejected at once")
		}
	}
	unblock()
	for range requests - excess {
		if status := <-statuses; status != 200 {
			t.Errorf("status %d, want 200", status)
		}
	}
}

// Guards against answering a request that has not run as if it had: only GET asks whether the agent is ready, and the
// agent has no options to report.
func TestRequestsToTheAgentItself(t *testing.T) {
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, unreachableAddr))
	for text, want := range map[string]int{
		"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n":                                                             http.StatusOK,
		"POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n":                                       http.StatusNotFound,
		"PUT /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n":                                        http.StatusNotFound,
		"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n":                                                              http.StatusNotFound,
		"OPTIONS * HTTP/1.1\r\nHost: x\r\nRequest-Id: i\r\nRequest-Timeout: 9m\r\nContent-Length: 0\r\n\r\n": http.StatusNotFound,
	} {
		c, r := dialAgent(t, base)
		io.WriteString(c, text)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != want {
			t.Errorf("%q: %v, %v, want %d", text, resp, err, want)
		}
	}
}
