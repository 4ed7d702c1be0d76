package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"knotrouter/internal/lab/check"
	"knotrouter/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	ms = time.Millisecond
	// testTimeout bounds each wait of a test.
	testTimeout = 20 * time.Second
)

// Indexes of the request classes.
const (
	classLook = iota
	classVote // deduplicated
)

// Outcomes of a request other than the status of its response.
const (
	outcomeRefused = "connection refused"
	outcomeBroken  = "connection broken"
	// outcomeNotStarted is the prefix of the outcome of a rejected request; the status follows.
	outcomeNotStarted = "not started, "
)

// testServer is a server with its checker and an HTTP client.
type testServer struct {
	*Server
	t         *testing.T
	checker   *check.Checker
	transport *http.Transport

	mu            sync.Mutex
	healthChanges []string // reported health values; "isolated" for an isolation
}

// newTestServer creates a server that is not started. configure, if not nil, modifies its configuration
// first.
func newTestServer(t *testing.T, configure func(c *Config)) *testServer {
	t.Helper()
	ts := &testServer{t: t, transport: &http.Transport{}}
	config := Config{
		Name:             "s-0",
		Spec:             Spec{Cores: 1, Speed: 1, Slots: 1, QueueCapacity: 1},
		LoadReports:      LoadReports{Mode: "on_probe", Metrics: []string{"util", "inflight"}, Interval: 10 * ms, ProbesEnabled: true},
		ConnectionPolicy: ConnectionPolicy{IdleTimeout: testTimeout},
	}
	if configure != nil {
		configure(&config)
	}
	s, err := New(config, ts.newEnv(), "127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	ts.Server = s
	t.Cleanup(func() {
		s.Close()
		ts.transport.CloseIdleConnections()
	})
	return ts
}

// newEnv returns the environment of the server and creates its checker.
func (ts *testServer) newEnv() *Env {
	epoch := time.Now()
	clock := func() time.Duration { return time.Since(epoch) }
	settings := &policy.Settings{
		Classes: []policy.Class{
			{Name: "look", Effect: policy.Idempotent},
			{Name: "vote", Effect: policy.Deduplicated, Group: policy.GroupAll, DedupWindowMs: 60000},
		},
		Limits:   policy.Limits{ParallelAttempts: true},
		Contract: policy.Contract{CrashWindowMs: 1000},
	}
	ts.checker = check.New(clock, settings, []string{"n0"}, []check.Server{{Name: "s-0"}})
	return &Env{
		Clock:         clock,
		Epoch:         epoch,
		Checker:       ts.checker,
		Classes:       []Class{{Name: "look"}, {Name: "vote", Deduplicated: true, DedupWindow: time.Minute}},
		Effects:       NewEffects(),
		HealthChanged: ts.recordHealthChange,
		RecordEvent:   func(string) {},
	}
}

func (ts *testServer) recordHealthChange(_ *Server, health string, isolated bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if isolated {
		health = "isolated"
	}
	ts.healthChanges = append(ts.healthChanges, health)
}

// start starts the server and returns it.
func (ts *testServer) start(version Version, cold bool) *testServer {
	ts.t.Helper()
	if err := ts.Start(version, cold); err != nil {
		ts.t.Fatal(err)
	}
	return ts
}

// newRequest registers a request with the checker and returns it together with the HTTP request.
func (ts *testServer) newRequest(id string, class int, work float64) (*check.Request, *http.Request) {
	ts.t.Helper()
	now := ts.env.Clock()
	request := &check.Request{ID: id, Class: class, Method: "GET", Path: "/look/k", Work: work, PlannedAt: now, Deadline: now + time.Minute}
	var body io.Reader
	if class == classVote {
		request.Method, request.Path, request.IdempotencyKey, request.Body = "POST", "/vote/k", "key-1", "yes"
		body = strings.NewReader(request.Body)
	}
	ts.checker.Add(request)
	r, err := http.NewRequest(request.Method, "http://"+ts.Addr()+request.Path, body)
	if err != nil {
		ts.t.Fatal(err)
	}
	r.Header.Set("Request-Id", id)
	if class == classVote {
		r.Header.Set("Idempotency-Key", request.IdempotencyKey)
		r.GetBody = nil // prevents a retry by the transport
	}
	return request, r
}

// newProbe returns a GET request without an ID.
func (ts *testServer) newProbe(path string) *http.Request {
	ts.t.Helper()
	r, err := http.NewRequest("GET", "http://"+ts.Addr()+path, nil)
	if err != nil {
		ts.t.Fatal(err)
	}
	return r
}

// send sends the request and returns its outcome, with the body of the response or the text of the error.
func (ts *testServer) send(r *http.Request) (outcome, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := ts.transport.RoundTrip(r.WithContext(ctx))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return outcomeRefused, ""
	}
	if err != nil {
		return outcomeBroken, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	status := resp.Status[:3]
	switch {
	case err != nil:
		return outcomeBroken, err.Error()
	case resp.Header.Get("Not-Started") == "1":
		return outcomeNotStarted + status, ""
	}
	return status, string(text)
}

// sendAndExpect sends the request, checks its outcome, and returns the body of the response.
func (ts *testServer) sendAndExpect(label, outcome string, r *http.Request) string {
	ts.t.Helper()
	got, body := ts.send(r)
	if got != outcome {
		ts.t.Errorf("%s: %s %q, want %s", label, got, body, outcome)
	}
	return body
}

// sendInBackground sends the request and returns a function that cancels it and waits for its end. The
// function is also called at the end of the test.
func (ts *testServer) sendInBackground(r *http.Request) (cancel func()) {
	ctx, cancelRequest := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if resp, err := ts.transport.RoundTrip(r.WithContext(ctx)); err == nil {
			resp.Body.Close()
		}
	}()
	cancel = func() {
		cancelRequest()
		<-ended
	}
	ts.t.Cleanup(cancel)
	return cancel
}

// waitUntil polls until the condition is met, and fails the test after testTimeout.
func (ts *testServer) waitUntil(condition string, isMet func() bool) {
	ts.t.Helper()
	for deadline := time.Now().Add(testTimeout); !isMet(); time.Sleep(ms) {
		if time.Now().After(deadline) {
			ts.t.Fatalf("timed out waiting for: %s", condition)
		}
	}
}
