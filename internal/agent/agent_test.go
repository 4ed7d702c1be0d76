package agent

import (
	"bufio"
	"context"
	"encoding/json"
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

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// testConfig returns a complete configuration; backends are listed as s-0, s-1, ...
func testConfig(discovery string, backends ...string) map[string]any {
	hosts := []any{}
	for i, dial := range backends {
		hosts = append(hosts, hostEntry(i, dial, "ready"))
	}
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "aimMs": 20000, "giveUpMs": 30000, "credit": 1,
			"effect": effect, "group": "all", "keyTtlMs": 20000}
	}
	return map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		"settings": map[string]any{
			"classes":        []any{class("look", "free"), class("send", "guarded"), class("order", "single_shot")},
			"failureDomains": []any{"a", "b"}, "shapes": []any{"k"}, "membershipMode": "pushed",
			"limits": map[string]any{"cancelling": true, "maxAttempts": 3, "connectTimeoutMs": 20000,
				"keepaliveMs": 30000, "maxRetryAfterMs": 600},
			"contract": map[string]any{"askWithinMs": 10000, "coldFrom": 0.3, "coldMs": 8000,
				"drainGraceMs": 250, "fallMultiple": 2.5, "tipAfterMs": 1000},
			"replicasOfMe": 1, "roundMs": 5, "weights": "nominal",
		},
	}
}

// hostEntry returns the entry of server s-i in a list.
func hostEntry(i int, dial, health string) map[string]any {
	return map[string]any{"host": fmt.Sprint("s-", i), "dial": dial, "site": "a", "class": "k",
		"block": 1, "health": health, "share": 1.0, "born_ms": 0}
}

// parseConfig parses a configuration that must be valid.
func parseConfig(t *testing.T, config map[string]any) *Config {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startAgent serves an agent until the test ends. stop has the effect of SIGTERM; done receives the
// result of Serve.
func startAgent(t *testing.T, config map[string]any) (a *Agent, baseURL string, stop func(), done chan error) {
	t.Helper()
	a, err := New(parseConfig(t, config), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- a.Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		a.server.Close()
		a.stop()
	})
	return a, "http://" + ln.Addr().String(), stop, done
}

// newCall returns a valid request of the class.
func newCall(base, class string) *http.Request {
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, base+"/"+class+"/u1", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	if class == "look" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Header.Set("Request-Id", "id1")
	req.Header.Set("Request-Timeout", "30000m")
	if class == "send" {
		req.Header.Set("Idempotency-Key", "k1")
	}
	return req
}

// send sends a request and returns the response's status, body and header.
func send(t *testing.T, req *http.Request) (int, string, http.Header) {
	t.Helper()
	ctx, cancel := context.WithTimeout(req.Context(), time.Minute)
	defer cancel()
	resp, err := http.DefaultTransport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("no whole answer: %v", err)
	}
	return resp.StatusCode, string(body), resp.Header
}

// countingBackend returns a backend that answers every request with status, and the identifiers of
// the requests that it received.
func countingBackend(t *testing.T, status int, notStarted bool) (addr string, received chan string) {
	t.Helper()
	received = make(chan string, 100)
	addr = respondingBackend(t, status, notStarted, func(id string) { received <- id })
	return addr, received
}

// respondingBackend starts a backend that hands the id of each request to onRequest and answers it.
func respondingBackend(t *testing.T, status int, notStarted bool, onRequest func(id string)) (addr string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		onRequest(r.Header.Get("Request-Id"))
		if notStarted {
			w.Header().Set("Not-Started", "1")
		}
		w.WriteHeader(status)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// unreachableAddr is a discovery address that is never called: lists are pushed in these settings.
const unreachableAddr = "127.0.0.1:1"

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
		answer     int
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
			status, _, head := send(t, newCall(base, c.class))
			if status != c.answer {
				t.Errorf("answered %d, want %d", status, c.answer)
			}
			if want := status == http.StatusServiceUnavailable; (head.Get("Retry-After") == "0.6") != want {
				t.Errorf("Retry-After %q with %d", head.Get("Retry-After"), status)
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
	look := newCall(base, "look")
	look.Body, look.ContentLength = io.NopCloser(strings.NewReader("body")), 4
	if status, _, _ := send(t, look); status != http.StatusBadRequest {
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
	a.loop.unwatched()
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
func (panicReader) Close() error             { return nil }

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

// A panic in the loop loses only the event that caused it.
func TestLoopSurvivesPanic(t *testing.T) {
	addr, _ := countingBackend(t, 200, false)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	a.loop.post(event{kind: eventRequest, req: nil})
	if status, _, _ := send(t, newCall(base, "order")); status != 200 {
		t.Fatalf("answered %d after a panic", status)
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
	open := sync.OnceFunc(func() { close(release) })
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	t.Cleanup(open) // before the backend closes, also when the test fails
	config := testConfig(unreachableAddr, s.Listener.Addr().String())
	config["limits"].(map[string]any)["sockets"] = minSockets
	_, base, _, _ := startAgent(t, config)
	const over = 20
	requests := maxOpenRequests(minSockets) + over
	if requests <= clientSockets(minSockets) {
		t.Fatal("these fit into the places")
	}
	answers := make(chan int, requests)
	for range requests {
		go func() {
			resp, err := new(http.Transport).RoundTrip(newCall(base, "order"))
			if err != nil {
				t.Error(err)
				answers <- 0
				return
			}
			resp.Body.Close()
			answers <- resp.StatusCode
		}()
	}
	soon := time.After(10 * time.Second) // the module's own patience is 15 s here
	for range over {
		select {
		case status := <-answers:
			if status != http.StatusServiceUnavailable {
				t.Errorf("answered %d while the backend holds all, want 503", status)
			}
		case <-soon:
			t.Fatal("not refused at once")
		}
	}
	open()
	for range requests - over {
		if status := <-answers; status != 200 {
			t.Errorf("answered %d, want 200", status)
		}
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
// ends without an error.
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

// A backend that begins to drain while the connection to it is established gets nothing, and the
// request is forwarded to another one.
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

// offlineLoop returns a loop that the test drives by itself, with the backends listed.
func offlineLoop(t *testing.T, backends ...string) *loop {
	t.Helper()
	return offlineLoopOf(t, testConfig(unreachableAddr, backends...))
}

// offlineLoopOf returns a loop that the test drives by itself.
func offlineLoopOf(t *testing.T, config map[string]any) *loop {
	t.Helper()
	l, err := newLoop(t.Context(), parseConfig(t, config), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.unwatched()
	return l
}

// unwatched ends the watch that newLoop may have opened, and discards its event.
func (l *loop) unwatched() {
	if l.watching {
		l.cancelDiscovery()
		<-l.events
	}
}

// advanceClock moves the loop's clock forward by d.
func (l *loop) advanceClock(d time.Duration) { l.startedAt = l.startedAt.Add(-d) }

// listOf returns a list of the entries.
func listOf(seq int64, full bool, hosts ...endpoints.Endpoint) endpoints.List {
	return endpoints.List{Seq: seq, Full: full, Endpoints: hosts}
}

// Lists are applied in the order of their versions.
func TestListOrder(t *testing.T) {
	l := offlineLoop(t, "127.0.0.1:1", "127.0.0.1:2")
	h := endpoints.Endpoint{Name: "s-0", Dial: "127.0.0.1:1", Health: "draining"}
	usable := func(name string) bool { b := l.backends[policyAddr(name)]; return b != nil && b.usable }
	l.handle(event{kind: eventListChanged, list: listOf(5, false, h)})
	if usable("s-0") || !usable("s-1") {
		t.Fatal("the change of version 5 was not applied")
	}
	h.Health = "ready"
	l.handle(event{kind: eventListChanged, list: listOf(4, false, h)})
	l.handle(event{kind: eventListFetched, list: listOf(3, true, h)})
	if usable("s-0") || !usable("s-1") {
		t.Fatal("an older version was applied")
	}
	l.handle(event{kind: eventListFetched, list: listOf(6, true, h)})
	if !usable("s-0") || usable("s-1") || l.listVersion != 6 {
		t.Fatal("the whole list of version 6 was not applied")
	}
	if len(l.backends) != 1 {
		t.Fatalf("%d backends kept, one is listed", len(l.backends))
	}
	l.handle(event{kind: eventListChanged, list: listOf(7, false, endpoints.Endpoint{Name: "s-0", Health: "gone"})})
	if len(l.backends) != 0 || l.hasUsableBackend.Load() {
		t.Fatal("the backend that is gone was kept")
	}
}

// A full list is ignored if another call delivered a newer one while its call was open. A list that
// is older than what its own call named is applied: discovery's versions have restarted.
func TestOutdatedFullListIsIgnored(t *testing.T) {
	ready := endpoints.Endpoint{Name: "s-0", Dial: "127.0.0.1:1", Health: "ready"}
	drains := ready
	drains.Health = "draining"
	for _, c := range []struct {
		name    string
		since   int64 // the version that the watch began with, or that of its last list
		version int64 // of its list
		applied bool
	}{
		{"outdated", 12, 14, false},
		{"outdated, nothing new", 14, 14, false},
		{"versions restarted", 12, 3, true},
		{"of the same version", 12, 15, true},
		{"newer", 12, 16, true},
	} {
		l := offlineLoop(t, "127.0.0.1:1", "127.0.0.1:2")
		l.handle(event{kind: eventListFetched, list: listOf(15, true, drains)})
		l.handle(event{kind: eventListChanged, since: c.since, list: listOf(c.version, true, ready)})
		if b := l.backends[policyAddr("s-0")]; (b != nil && b.usable) != c.applied {
			t.Errorf("%s: applied: %v", c.name, !c.applied)
		}
	}
}

// A watch that answers that nothing has changed has not failed: the next failure is the first
// again, with the shortest backoff.
func TestUnchangedListResetsBackoff(t *testing.T) {
	config := testConfig(unreachableAddr, "127.0.0.1:1")
	config["settings"].(map[string]any)["membershipMode"] = "on_request"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := newLoop(ctx, parseConfig(t, config), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	const followToken = 2     // of the module's time to ask again: one is set at a time
	ended := func() float64 { // and the wait until the next watch
		l.advanceClock(10 * time.Second)
		l.handle(event{kind: eventTimer, token: followToken})
		l.handle(event{kind: eventWatchEnded, err: io.EOF})
		for _, act := range l.actions {
			if act.Kind == policy.ActTimer && act.Token == followToken {
				return act.Ms
			}
		}
		t.Fatal("the module does not ask again")
		return 0
	}
	ended()
	for range 5 {
		ended()
	}
	l.handle(event{kind: eventListChanged, list: listOf(1, false)})
	if again := ended(); again >= 1000 { // the first wait is 500 to 1000 ms, the second 1000 to 2000
		t.Fatalf("asks again after %.0f ms, as after a second failure", again)
	}
}

// logCounter counts the lines of a log and keeps the attributes of the last one.
type logCounter struct {
	slog.Handler
	lines int
	last  string
}

func (c *logCounter) Enabled(context.Context, slog.Level) bool { return true }

func (c *logCounter) Handle(_ context.Context, r slog.Record) error {
	c.lines++
	c.last = ""
	r.Attrs(func(a slog.Attr) bool { c.last += a.String() + " "; return true })
	return nil
}

// However often discovery fails, few lines are logged about it, and they report how many were
// suppressed.
func TestDiscoveryLogIsRateLimited(t *testing.T) {
	l := offlineLoop(t, "127.0.0.1:1")
	c := &logCounter{}
	l.log = slog.New(c)
	for range 2000 {
		l.handle(event{kind: eventFailover, addr: "127.0.0.1:2", err: io.EOF})
	}
	if c.lines < 10 || c.lines > 30 {
		t.Errorf("%d lines of 2000 failures", c.lines)
	}
	l.logLimiter = endpoints.TokenBucket{Burst: 10}
	l.handle(event{kind: eventFailover, addr: "127.0.0.1:2", err: io.EOF})
	if !strings.Contains(c.last, "suppressed_lines=") {
		t.Errorf("logged %q", c.last)
	}
}

// A new process or address gets new connections; the backend stays the same.
func TestNewProcessGetsNewConnections(t *testing.T) {
	l := offlineLoop(t, "127.0.0.1:1")
	b := l.backends[policyAddr("s-0")]
	before := b.transport
	h := endpoints.Endpoint{Name: "s-0", Dial: "127.0.0.1:1", Health: "ready", Weight: 1}
	l.handle(event{kind: eventListChanged, list: listOf(2, false, h)})
	if b.transport != before {
		t.Fatal("connections thrown away though nothing changed")
	}
	waits := newAttempt(before, "127.0.0.1:1", http.MethodPost, noTimeout)
	b.attempts[waits] = struct{}{}
	for i, change := range []func(){func() { h.Dial = "127.0.0.1:2" }, func() { h.StartedMs = 7 }} {
		change()
		l.handle(event{kind: eventListChanged, list: listOf(int64(3+i), false, h)})
		if l.backends[policyAddr("s-0")] != b || b.transport == before || b.dialAddr != h.Dial {
			t.Fatal("the old connections were kept")
		}
		before = b.transport
	}
	if context.Cause(waits.ctx) != errBackendDrained || waits.allowWrite(waits.conn.Load()) {
		t.Fatal("an attempt that had not begun may still go to the old address")
	}
}

// A machine that is down is unresponsive on all its connections: after a timeout no idle one is
// used again.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	closed := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			io.WriteString(c, okAnswer)
			r.ReadByte()
			close(closed)
		}
	})
	l := offlineLoop(t, addr)
	b := l.backends[policyAddr("s-0")]
	b.transport.IdleConnTimeout = noTimeout
	a := newAttempt(b.transport, addr, http.MethodPost, noTimeout)
	a.backend = b
	if res := a.run(); res.status != policy.OK {
		t.Fatalf("ended %d", res.status)
	}
	late := newAttempt(b.transport, addr, http.MethodPost, noTimeout)
	late.backend = b
	late.req.answers = make(chan answer, 1)
	l.handle(event{kind: eventOutcome, attempt: late, result: result{status: policy.Timeout}})
	<-closed
}

// A backend's address in the balancer follows from its name alone.
func TestPolicyAddressFollowsFromName(t *testing.T) {
	first, again, other := policyAddr("s-1"), policyAddr("s-1"), policyAddr("s-2")
	if first != again || first == other {
		t.Fatal("an address must follow from the name alone")
	}
	if affinityKey("u1") == affinityKey("u2") || affinityKey("") == 0 {
		t.Fatal("keys must differ, and none be 0")
	}
}

// Errors of a configuration name the key.
func TestConfigErrorsNameTheKey(t *testing.T) {
	for key, change := range map[string]func(c map[string]any){
		"name":             func(c map[string]any) { delete(c, "name") },
		"listen":           func(c map[string]any) { c["listen"] = "here" },
		"discovery":        func(c map[string]any) { c["discovery"] = "127.0.0.1:http" },
		"seed":             func(c map[string]any) { c["seed"] = "xyz" },
		"limits.cores":     func(c map[string]any) { c["limits"].(map[string]any)["cores"] = 0 },
		"limits.memory_mb": func(c map[string]any) { c["limits"].(map[string]any)["memory_mb"] = -1 },
		"limits.sockets":   func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = "many" },
		"settings":         func(c map[string]any) { delete(c, "settings") },
		"failureDomains":   func(c map[string]any) { c["settings"].(map[string]any)["failureDomains"] = 1 },
		"classes[0].effect": func(c map[string]any) {
			c["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)["effect"] = "?"
		},
		"classes[0].name": func(c map[string]any) {
			delete(c["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any), "name")
		},
		"membershipMode":  func(c map[string]any) { c["settings"].(map[string]any)["membershipMode"] = "?" },
		"contract.coldMs": func(c map[string]any) { c["settings"].(map[string]any)["contract"].(map[string]any)["coldMs"] = -1 },
	} {
		c := testConfig(unreachableAddr)
		change(c)
		text, _ := json.Marshal(c)
		if _, err := ParseConfig(text); err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", key, err)
		}
	}
	if _, err := ParseConfig([]byte("{")); err == nil {
		t.Error("half a configuration was taken")
	}
}

// Invalid entries of the cached list are skipped and named; the agent starts without them.
func TestMalformedCachedListIsSkipped(t *testing.T) {
	good := hostEntry(1, "127.0.0.1:1", "ready")
	for _, c := range []struct {
		known any
		hosts int
		says  string
	}{
		{nil, 0, ""},
		{map[string]any{}, 0, ""},
		{map[string]any{"seq": 3, "hosts": []any{good}}, 1, ""},
		{map[string]any{"hosts": []any{hostEntry(0, "x", "ready"), good}}, 1, "known: hosts[0].dial"},
		{map[string]any{"hosts": []any{good, hostEntry(0, "127.0.0.1:1", "well"), 7, "x"}}, 1, "known: hosts[1].health: unknown word \"well\", and 2 more"},
		{map[string]any{"hosts": "none"}, 0, "known: "},
		{"a list", 0, "known: "},
		{[]any{good}, 0, "known: "},
	} {
		config := testConfig(unreachableAddr)
		config["known"] = c.known
		got := parseConfig(t, config)
		message := ""
		if got.CachedListErr != nil {
			message = got.CachedListErr.Error()
		}
		if full := c.says == "" && c.hosts > 0; (got.CachedList.Seq != 0) != full {
			t.Errorf("%v: asks for what came after version %d", c.known, got.CachedList.Seq)
		}
		if len(got.CachedList.Endpoints) != c.hosts || !strings.Contains(message, c.says) || (message == "") != (c.says == "") {
			t.Errorf("%v: took %+v and reported %q", c.known, got.CachedList.Endpoints, message)
		}
	}
}

// A new process is ready with a list, and after a while without one: discovery may be unavailable,
// and a rejection tells clients more than a wait.
func TestReadyWithoutAList(t *testing.T) {
	for name, hang := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			disco := unreachableAddr
			if hang {
				disco = rawBackend(t, func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
			}
			config := testConfig(disco)
			config["known"] = "nothing that makes sense"
			startedAt := time.Now()
			_, base, _, _ := startAgent(t, config)
			ready := func() bool {
				req, _ := http.NewRequest(http.MethodGet, base+"/ready", nil)
				status, _, _ := send(t, req)
				return status == http.StatusOK
			}
			if ready() && time.Since(startedAt) < readyDeadline/2 {
				t.Fatal("ready at once with nothing to send to")
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

// scriptedDiscovery returns a discovery whose watch writes lines and then stays open or ends, and
// the events that it posts.
func scriptedDiscovery(t *testing.T, silence time.Duration, stay bool, lines ...string) (*discovery, chan event) {
	t.Helper()
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
		w.(http.Flusher).Flush()
		if stay {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	}))
	t.Cleanup(func() { close(release); s.Close() })
	events := make(chan event, 100)
	return newDiscovery(endpoints.ClientConfig{Addresses: []string{s.Listener.Addr().String()}, SilenceTimeout: silence},
		func(e event) { events <- e }), events
}

// changeLine is a change in which server s-0 drains.
const changeLine = `{"seq":2,"whole":false,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"draining"}]}`

// A watch ends at a malformed line, after delivering the lines before it.
func TestMalformedLineEndsWatch(t *testing.T) {
	d, observed := scriptedDiscovery(t, noTimeout, true, "", changeLine, `{"seq":3,"hosts":[{"host":"s-0","health":"odd"}]}`)
	d.watch(context.Background(), 1)
	if e := <-observed; e.kind != eventListChanged || e.list.Seq != 2 || e.list.Endpoints[0].Health != "draining" {
		t.Fatalf("got event %+v", e)
	}
	if e := <-observed; e.kind != eventWatchEnded || e.err == nil {
		t.Fatalf("got event %+v", e)
	}
}

// A watch on which nothing arrives ends.
func TestUnresponsiveWatchEnds(t *testing.T) {
	d, observed := scriptedDiscovery(t, time.Millisecond, true)
	d.watch(context.Background(), 1)
	if e := <-observed; e.kind != eventWatchEnded || e.err == nil {
		t.Fatalf("got event %+v", e)
	}
}

// A fetch reports the full list or an error.
func TestFetchReportsListOrError(t *testing.T) {
	d, observed := scriptedDiscovery(t, noTimeout, false, strings.Replace(changeLine, "false", "true", 1))
	d.fetch(context.Background(), 0)
	if e := <-observed; e.kind != eventListFetched || e.err != nil || !e.list.Full || e.list.Seq != 2 {
		t.Fatalf("got event %+v", e)
	}
	d, observed = scriptedDiscovery(t, noTimeout, false, "no list")
	d.fetch(context.Background(), 0)
	if e := <-observed; e.kind != eventListFetched || e.err == nil {
		t.Fatalf("got event %+v", e)
	}
}

// After the end of a watch the balancer opens the next one.
func TestEndedWatchIsReopened(t *testing.T) {
	requests := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.RawQuery
		fmt.Fprintln(w, changeLine)
	}))
	t.Cleanup(s.Close)
	config := testConfig(s.Listener.Addr().String(), "127.0.0.1:1")
	set := config["settings"].(map[string]any)
	set["membershipMode"] = "on_request"
	set["contract"].(map[string]any)["askWithinMs"] = 10
	startAgent(t, config)
	if q := <-requests; q != "follow=1&since=1" {
		t.Fatalf("query %q", q)
	}
	if q := <-requests; q != "follow=1&since=2" {
		t.Fatalf("second query %q", q)
	}
}

// A failed server gets a health check in the background, and the result reaches the balancer: the
// server is used again, and no second check runs at the same time.
func TestProbeResultReachesBalancer(t *testing.T) {
	for _, c := range []struct {
		how, path string
		status    int
		want      policy.Status
	}{
		{"on_probe", "/status/load", 200, policy.OK},
		{"off", "/health", 200, policy.OK},
		{"off", "/health", 503, policy.Error},
	} {
		t.Run(fmt.Sprint(c.path, c.status), func(t *testing.T) {
			requests := make(chan *http.Request, 10)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests <- r
				w.WriteHeader(c.status)
				fmt.Fprint(w, "TEXT util=0.5")
			}))
			t.Cleanup(s.Close)
			l := offlineLoop(t, s.Listener.Addr().String())
			l.settings.Report = policy.Report{How: c.how, Names: []string{"util"}}
			b := l.backends[policyAddr("s-0")]
			l.actions = []policy.Action{{Kind: policy.ActProbe, Server: b.addr}}
			l.executeActions()
			r := <-requests
			if r.Method != http.MethodGet || r.URL.Path != c.path || r.Header.Get("Request-Id") != "" {
				t.Fatalf("asked %s %s %v", r.Method, r.URL.Path, r.Header)
			}
			e := <-l.events
			if e.kind != eventProbeResult || e.result.status != c.want || e.attempt.backend != b {
				t.Fatalf("got event %+v", e)
			}
			l.handle(e)
			if len(b.attempts) > 0 {
				t.Fatal("the probe is still out")
			}
		})
	}
}

// A health check of a server that is not listed any more ends too: the balancer waits for its
// result.
func TestProbeOfUnlistedBackendEnds(t *testing.T) {
	l := offlineLoop(t)
	l.actions = []policy.Action{{Kind: policy.ActProbe, Server: policyAddr("s-0")}}
	l.executeActions()
	if len(l.deferredEvents) != 1 || l.deferredEvents[0].kind != eventProbeResult {
		t.Fatalf("got event %+v", l.deferredEvents)
	}
	l.handle(l.deferredEvents[0])
}
