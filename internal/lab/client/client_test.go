package client

import (
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
	"knotrouter/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testLoad returns a load of two classes, one idempotent and one with idempotency keys.
func testLoad() *Load {
	return &Load{Rate: 2000, Keys: 1000, Zipf: 1, AttemptTimeoutShare: []float64{0.5, 1}, HonorRetryAfterShare: 0.5, EarlyCancelShare: 0.1, AgentCV: 0.5,
		Classes: []Class{{Name: "a", Share: 3, Work: 10, Distribution: "exp", Deadline: time.Second, Effect: "free"},
			{Name: "b", Share: 1, Work: 20, Distribution: "lognormal", WorkCV: 1, Deadline: time.Second, Effect: "guarded", Group: "all"}}}
}

// scriptedSender answers the attempts with the given responses in order, then fails them.
type scriptedSender struct {
	mu        sync.Mutex
	clock     check.Clock
	responses []response
	requests  []*check.Request
	headers   []http.Header
	delay     time.Duration
}

func (s *scriptedSender) send(request *check.Request, header http.Header, _ time.Time) response {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests, s.headers = append(s.requests, request), append(s.headers, header)
	response := response{Answer: check.Answer{Outcome: check.Failed}}
	if n := len(s.requests); n <= len(s.responses) {
		response = s.responses[n-1]
	}
	response.At = s.clock()
	return response
}

func (s *scriptedSender) OpenedConnections() int64 { return 0 }
func (s *scriptedSender) Reset()                   {}
func (s *scriptedSender) SetReuseOnly(bool)        {}

// responseWith returns the response to a request that was sent and had the outcome.
func responseWith(outcome check.Outcome) response {
	return response{Answer: check.Answer{Outcome: outcome, Sent: true}}
}

// runClient sends arrivals through a client and returns their results.
func runClient(t *testing.T, load *Load, sender *scriptedSender, arrivals []Arrival) []Result {
	t.Helper()
	epoch := time.Now()
	clock := func() time.Duration { return time.Since(epoch) }
	sender.clock = clock
	set := &policy.Settings{Classes: []policy.Class{{Name: "a", Effect: policy.Idempotent}, {Name: "b", Effect: policy.Deduplicated, Group: policy.GroupAll}}}
	var mu sync.Mutex
	var results []Result
	client := New(&Env{Clock: clock, Epoch: epoch, Load: load, IDPrefix: "t", Checker: check.New(clock, set, []string{"n0"}, nil),
		Finished: func(r Result) { mu.Lock(); defer mu.Unlock(); results = append(results, r) }}, 0, sender)
	client.Start()
	client.Run(t.Context(), arrivals)
	return results
}

// retryCase is a class of requests, the responses to the attempts of a request, and the expected result.
type retryCase struct {
	name      string
	class     Class
	honors    bool // the client honors Retry-After
	responses []response
	attempts  int
	outcome   check.Outcome
}

// retryDelay is the Retry-After of rejectedWithDelay.
const retryDelay = 40 * time.Millisecond

// rejectedWithDelay returns the response to a request that was rejected with a Retry-After.
func rejectedWithDelay() response {
	r := responseWith(check.Rejected)
	r.retryAfter = retryDelay
	return r
}

// Clients retry exactly where the protocol allows it, each time with a new ID and marked as a retry.
func TestRetriesFollowTheProtocol(t *testing.T) {
	served, rejected, failed := responseWith(check.Served), responseWith(check.Rejected), responseWith(check.Failed)
	served.Body = "x" // the checker's own tests check bodies
	idempotent, nonIdempotent := Class{Effect: "free"}, Class{Effect: "single_shot"}
	for _, c := range []retryCase{
		{"served at once", idempotent, false, []response{served}, 1, check.Served},
		{"failed, then served", idempotent, false, []response{failed, served}, 2, check.Served},
		{"deduplicated by all, always failed", Class{Effect: "guarded", Group: "all"}, false, nil, 3, check.Failed},
		{"non-idempotent, failed", nonIdempotent, false, nil, 1, check.Failed},
		{"non-idempotent, rejected, then served", nonIdempotent, false, []response{rejected, served}, 2, check.Served},
		{"deduplicated within a zone, failed", Class{Effect: "guarded", Group: "zone"}, false, nil, 1, check.Failed},
		{"canceled by its client", idempotent, false, []response{responseWith(check.ClientCanceled)}, 1, check.ClientCanceled},
		{"rejected with a Retry-After", idempotent, true, []response{rejectedWithDelay(), served}, 2, check.Served},
	} {
		t.Run(c.name, c.check)
	}
}

// check sends one request of the class through a client, and checks its attempts and its result.
func (c *retryCase) check(t *testing.T) {
	t.Helper()
	l := testLoad()
	l.Retries = 2
	class := c.class
	class.Name, class.Deadline, class.TargetLatency = "a", 10*time.Second, 10*time.Second
	l.Classes = []Class{class}
	s := &scriptedSender{responses: c.responses}
	results := runClient(t, l, s, []Arrival{{Class: 0, Key: 1, AttemptTimeout: 5 * time.Second, HonorsRetryAfter: c.honors}})
	if len(results) != 1 || int(results[0].ClientAttempts) != c.attempts || results[0].Outcome != c.outcome {
		t.Fatalf("results %+v, want one with %d attempts and outcome %v", results, c.attempts, c.outcome)
	}
	ids := map[string]bool{}
	for i, r := range s.requests {
		ids[r.ID] = true
		if marked := s.headers[i].Get("Client-Retry") == "1"; marked != (i > 0) {
			t.Errorf("attempt %d marked as a retry: %v", i, marked)
		}
		if i > 0 && r.IdempotencyKey != s.requests[0].IdempotencyKey {
			t.Error("a retry has another idempotency key")
		}
	}
	if len(ids) != c.attempts {
		t.Errorf("%d IDs for %d attempts", len(ids), c.attempts)
	}
	if c.honors && results[0].Latency < retryDelay {
		t.Errorf("retried after %v, before the Retry-After of %v", results[0].Latency, retryDelay)
	}
}

// Retries end with the common deadline of all attempts.
func TestRetriesEndAtTheDeadline(t *testing.T) {
	l := testLoad()
	l.Retries, l.Classes[0].Deadline = 1000, 150*time.Millisecond
	l.Backoff, l.BackoffBase = "fixed", 30*time.Millisecond
	results := runClient(t, l, &scriptedSender{}, []Arrival{{Class: 0, AttemptTimeout: time.Second}})
	if results[0].ClientAttempts > 6 || results[0].ClientAttempts < 2 {
		t.Errorf("%d attempts 30 ms apart within 150 ms, want 2 to 6", results[0].ClientAttempts)
	}
}

// Slow answers do not delay later requests, and latency is measured from the planned time.
func TestLoadIsAnOpenLoop(t *testing.T) {
	l := testLoad()
	l.Classes[0].Deadline = 10 * time.Second
	var arrivals []Arrival
	for i := range 50 {
		arrivals = append(arrivals, Arrival{At: time.Duration(i) * 2 * time.Millisecond, AttemptTimeout: time.Second})
	}
	began := time.Now()
	s := &scriptedSender{delay: 300 * time.Millisecond}
	results := runClient(t, l, s, arrivals)
	if took := time.Since(began); len(results) != 50 || took > 5*time.Second {
		t.Errorf("%d requests of 300 ms each took %v, want 50 that do not wait for each other", len(results), took)
	}
	for _, r := range results {
		if r.Latency < 300*time.Millisecond {
			t.Errorf("latency %v for an answer that took 300 ms", r.Latency)
		}
	}
}

// A baseline spreads its requests over the ready servers, and chooses none that it has already attempted.
func TestBaselinesChooseReadyServers(t *testing.T) {
	list := endpoints.List{Endpoints: []endpoints.Endpoint{
		{Name: "0", Dial: "0", Health: endpoints.Ready},
		{Name: "1", Dial: "1", Health: endpoints.Ready},
		{Name: "2", Dial: "2", Health: endpoints.Ready},
		{Name: "3", Dial: "3", Health: "draining"},
	}}
	for _, name := range Policies {
		b, err := NewBaseline(&Baseline{Policy: name, Load: testLoad(), List: func() endpoints.List { return list }}, 3)
		if err != nil {
			t.Fatal(err)
		}
		count := map[string]int{}
		for range 600 {
			addr, _ := b.choose(nil)
			count[addr]++
		}
		for _, addr := range []string{"0", "1", "2"} {
			if count[addr] < 140 || count[addr] > 260 || count["3"] > 0 {
				t.Errorf("%s: uneven spread %v", name, count)
				break
			}
		}
		if addr, _ := b.choose(map[string]bool{"0": true, "1": true}); addr != "2" {
			t.Errorf("%s: chose %q, want the one server that is left", name, addr)
		}
	}
}

// NewBaseline rejects a policy that is not one of Policies.
func TestUnknownPolicyIsRefused(t *testing.T) {
	if _, err := NewBaseline(&Baseline{Policy: "best"}, 1); !errors.Is(err, ErrUnknownPolicy) {
		t.Errorf("unknown policy: %v, want ErrUnknownPolicy", err)
	}
}
