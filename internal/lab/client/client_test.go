package client

import (
	"fmt"
	"math"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
	"knotrouter/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testLoad returns a load of two classes, one idempotent and one with idempotency keys.
func testLoad() *Load {
	return &Load{Rate: 2000, Keys: 1000, Zipf: 1, AttemptTimeoutShare: []float64{0.5, 1}, HonorShare: 0.5, ImpatientShare: 0.1, AgentCV: 0.5,
		Classes: []Class{{Name: "a", Share: 3, Work: 10, Distribution: "exp", Deadline: time.Second, Effect: "free"},
			{Name: "b", Share: 1, Work: 20, Distribution: "lognormal", WorkCV: 1, Deadline: time.Second, Effect: "guarded", Group: "all"}}}
}

// The seed alone determines the arrivals, they follow the distributions of the load, and a change
// of the load leaves the arrivals outside of it in their distribution.
func TestDrawArrivals(t *testing.T) {
	l := testLoad()
	const end = 60 * time.Second
	first := DrawArrivals(l, 7, end, nil, 5)
	if !reflect.DeepEqual(first, DrawArrivals(l, 7, end, nil, 5)) {
		t.Error("one seed, two draws")
	}
	if reflect.DeepEqual(first, DrawArrivals(l, 7, end, nil, 6)) {
		t.Error("two seeds, one draw")
	}
	near := func(what string, got, want, part float64) {
		t.Helper()
		if math.Abs(got-want) > part*want {
			t.Errorf("%s: %.4g, want %.4g", what, got, want)
		}
	}
	all := slices.Concat(first...)
	near("arrivals", float64(len(all)), 120_000, 0.02)
	var work [2]float64
	var n [2]float64
	top := 0.0
	for i := range all {
		a := &all[i]
		work[a.Class] += a.Work
		n[a.Class]++
		if a.Key == 1 {
			top++
		}
		if a.AttemptTimeout < 500*time.Millisecond || a.AttemptTimeout > time.Second || a.CancelAfter > a.AttemptTimeout || a.At < 0 || a.At >= end {
			t.Fatalf("%+v", a)
		}
	}
	near("share of a class", n[0]/n[1], 3, 0.05)
	near("mean work, exponential", work[0]/n[0], 10, 0.03)
	near("mean work, lognormal", work[1]/n[1], 20, 0.05)
	harmonic := 0.0
	for i := 1; i <= 1000; i++ {
		harmonic += 1 / float64(i)
	}
	near("the most popular key", top/float64(len(all)), 1/harmonic, 0.05)
	if least, most := len(slices.MinFunc(first, byLen)), len(slices.MaxFunc(first, byLen)); most < least*3/2 {
		t.Errorf("uneven agents ask %d to %d", least, most)
	}
	for i := range first {
		if !slices.IsSortedFunc(first[i], func(x, y Arrival) int { return int(x.At - y.At) }) {
			t.Error("arrivals out of order")
		}
	}
	burst := slices.Concat(DrawArrivals(l, 7, end, []LoadChange{{From: 20 * time.Second, To: 40 * time.Second, Factor: 2},
		{From: 20 * time.Second, To: 40 * time.Second, Class: "a", HeavyShare: 0.1, WorkFactor: 50}}, 5)...)
	in, heavy := 0.0, 0.0
	for _, a := range burst {
		if a.At >= 20*time.Second && a.At < 40*time.Second {
			in++
			if a.Class == 0 && a.Work > 150 { // e^-15 of the usual ones
				heavy++
			}
		}
	}
	near("arrivals in a burst", in, 80_000, 0.03)
	near("arrivals outside of it", float64(len(burst))-in, 80_000, 0.03)
	near("heavy ones", heavy, 80_000*0.75*0.1*math.Exp(-150.0/500), 0.1)
}

func byLen(a, b []Arrival) int { return len(a) - len(b) }

// The weights of the agents add up to 1, whatever their number.
func TestAgentWeightsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Load{AgentCV: rapid.Float64Range(0, 3).Draw(t, "cv")}
		sum := 0.0
		for _, w := range AgentWeights(l, rapid.IntRange(1, 300).Draw(t, "agents"), rapid.Uint64().Draw(t, "seed")) {
			if w <= 0 {
				t.Fatal("an agent without traffic")
			}
			sum += w
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("weights add up to %v", sum)
		}
	})
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

func (s *scriptedSender) Opened() int64 { return 0 }
func (s *scriptedSender) Reset()        {}

// responseWith returns the response to a request that was sent and had the outcome.
func responseWith(k check.Outcome) response {
	return response{Answer: check.Answer{Outcome: k, Sent: true}}
}

// runClient sends arrivals through a client and returns how they ended.
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

// Clients retry where the protocol allows it, each time with a new ID, marked as a retry, and
// within the deadline of all attempts together.
func TestRetriesFollowTheProtocol(t *testing.T) {
	later := responseWith(check.Rejected)
	later.retryAfter = 40 * time.Millisecond
	for _, c := range []struct {
		name      string
		class     Class
		honors    bool
		responses []response
		attempts  int
		outcome   check.Outcome
	}{
		{"served at once", Class{Effect: "free"}, false, []response{responseWith(check.Served)}, 1, check.Served},
		{"failed, then served", Class{Effect: "free"}, false, []response{responseWith(check.Failed), responseWith(check.Served)}, 2, check.Served},
		{"never", Class{Effect: "guarded", Group: "all"}, false, nil, 3, check.Failed},
		{"single shot failed", Class{Effect: "single_shot"}, false, nil, 1, check.Failed},
		{"single shot refused", Class{Effect: "single_shot"}, false, []response{responseWith(check.Rejected), responseWith(check.Served)}, 2, check.Served},
		{"keyed for a zone, failed", Class{Effect: "guarded", Group: "zone"}, false, nil, 1, check.Failed},
		{"left early", Class{Effect: "free"}, false, []response{responseWith(check.ClientCanceled)}, 1, check.ClientCanceled},
		{"told when to come back", Class{Effect: "free"}, true, []response{later, responseWith(check.Served)}, 2, check.Served},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := testLoad()
			l.Retries = 2
			c.class.Name, c.class.Deadline, c.class.TargetLatency = "a", 10*time.Second, 10*time.Second
			l.Classes = []Class{c.class}
			for i := range c.responses { // the checker's tests check bodies
				if c.responses[i].Outcome == check.Served {
					c.responses[i].Body = "x"
				}
			}
			s := &scriptedSender{responses: c.responses}
			results := runClient(t, l, s, []Arrival{{Class: 0, Key: 1, AttemptTimeout: 5 * time.Second, HonorsRetryAfter: c.honors}})
			if len(results) != 1 || int(results[0].ClientAttempts) != c.attempts || results[0].Outcome != c.outcome {
				t.Fatalf("%+v, want %d attempts and %v", results, c.attempts, c.outcome)
			}
			ids := map[string]bool{}
			for i, r := range s.requests {
				ids[r.ID] = true
				if marked := s.headers[i].Get("Client-Retry") == "1"; marked != (i > 0) {
					t.Errorf("attempt %d marked %v", i, marked)
				}
				if i > 0 && r.IdempotencyKey != s.requests[0].IdempotencyKey {
					t.Error("a retry has another key")
				}
			}
			if len(ids) != c.attempts {
				t.Errorf("%d ids for %d attempts", len(ids), c.attempts)
			}
			if c.honors && results[0].Latency < 40*time.Millisecond {
				t.Errorf("came back after %v, told 40 ms", results[0].Latency)
			}
		})
	}
	l := testLoad()
	l.Retries, l.Classes[0].Deadline = 1000, 150*time.Millisecond
	l.Backoff, l.BackoffBase = "fixed", 30*time.Millisecond
	results := runClient(t, l, &scriptedSender{}, []Arrival{{Class: 0, AttemptTimeout: time.Second}})
	if results[0].ClientAttempts > 6 || results[0].ClientAttempts < 2 {
		t.Errorf("%d attempts 30 ms apart within 150 ms", results[0].ClientAttempts)
	}
}

// Slow answers delay no later request, and latency is counted from the planned time.
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
		t.Errorf("%d requests of 300 ms each took %v: they waited for each other", len(results), took)
	}
	for _, r := range results {
		if r.Latency < 300*time.Millisecond {
			t.Errorf("latency %v of an answer that took 300 ms", r.Latency)
		}
	}
}

// A baseline spreads its requests over the ready servers, and chooses none that it has attempted.
func TestBaselinesChooseReadyServers(t *testing.T) {
	for _, name := range Policies {
		var list []endpoints.Endpoint
		count := map[string]int{}
		for i := range 4 {
			health := "ready"
			if i == 3 {
				health = "draining"
			}
			list = append(list, endpoints.Endpoint{Name: fmt.Sprint(i), Dial: fmt.Sprint(i), Health: health})
		}
		b, err := NewBaseline(&Baseline{Policy: name, Load: testLoad(), List: func() endpoints.List { return endpoints.List{Endpoints: list} }}, 3)
		if err != nil {
			t.Fatal(err)
		}
		for range 600 {
			addr, _ := b.choose(nil)
			count[addr]++
		}
		for _, addr := range []string{"0", "1", "2"} {
			if count[addr] < 140 || count[addr] > 260 || count["3"] > 0 {
				t.Errorf("%s: spread %v", name, count)
				break
			}
		}
		if addr, _ := b.choose(map[string]bool{"0": true, "1": true}); addr != "2" {
			t.Errorf("%s: chose %q of the one that is left", name, addr)
		}
	}
	if _, err := NewBaseline(&Baseline{Policy: "best"}, 1); err == nil {
		t.Error("an unknown policy is no error")
	}
}
