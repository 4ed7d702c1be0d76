package server

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
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

const soon = 20 * time.Second

// stand is one server with what is round it.
type stand struct {
	*Server
	t       *testing.T
	checker *check.Checker
	env     *Env
	http    *http.Transport
	mu      sync.Mutex
	changes []string
}

func newStand(t *testing.T, change func(c *Config)) *stand {
	t.Helper()
	st := &stand{t: t, http: &http.Transport{}}
	epoch := time.Now()
	set := &policy.Settings{Classes: []policy.Class{{Name: "look", Effect: policy.Idempotent}, {Name: "vote", Effect: policy.Deduplicated, Group: policy.GroupAll, DedupWindowMs: 60000}},
		Limits: policy.Limits{ParallelAttempts: true}, Contract: policy.Contract{TipAfterMs: 1000}}
	clock := func() time.Duration { return time.Since(epoch) }
	st.checker = check.New(clock, set, []string{"n0"}, []check.Server{{Name: "s-0"}})
	st.env = &Env{Clock: clock, Epoch: epoch, Checker: st.checker, Effects: NewEffects(),
		Classes: []Class{{Name: "look"}, {Name: "vote", Deduplicated: true, DedupWindow: time.Minute}}, RecordEvent: func(string) {},
		HealthChanged: func(_ *Server, health string, silent bool) {
			st.mu.Lock()
			defer st.mu.Unlock()
			if silent {
				health = "silent"
			}
			st.changes = append(st.changes, health)
		}}
	c := Config{Name: "s-0", Spec: Spec{Cores: 1, Speed: 1, Slots: 1, QueueCapacity: 1},
		LoadReports:      LoadReports{Mode: ReportOnProbe, Metrics: []string{"util", "inflight"}, Interval: 10 * ms, ProbesEnabled: true},
		ConnectionPolicy: ConnectionPolicy{IdleTimeout: soon}}
	if change != nil {
		change(&c)
	}
	s, err := New(c, st.env, "127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	st.Server = s
	t.Cleanup(func() { s.Close(); st.http.CloseIdleConnections() })
	return st
}

func (st *stand) start(v Version, cold bool) *stand {
	st.t.Helper()
	if err := st.Start(v, cold); err != nil {
		st.t.Fatal(err)
	}
	return st
}

// ask registers a request and returns it with what a client would send for it.
func (st *stand) ask(id string, class int, work float64) (*check.Request, *http.Request) {
	r := &check.Request{ID: id, Class: class, Method: "GET", Path: "/look/k", Work: work, PlannedAt: st.env.Clock(), Deadline: st.env.Clock() + time.Minute}
	var body io.Reader
	if class == 1 {
		r.Method, r.Path, r.IdempotencyKey, r.Body = "POST", "/vote/k", "key-1", "yes"
		body = strings.NewReader(r.Body)
	}
	st.checker.Add(r)
	req, err := http.NewRequest(r.Method, "http://"+st.Addr()+r.Path, body)
	if err != nil {
		st.t.Fatal(err)
	}
	req.Header.Set("Request-Id", id)
	if class == 1 {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
		req.GetBody = nil
	}
	return r, req
}

// do sends and tells the outcome in PROTOCOL's words.
func (st *stand) do(req *http.Request) (outcome, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	resp, err := st.http.RoundTrip(req.WithContext(ctx))
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return "refused", ""
		}
		return "broke", err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "broke", err.Error()
	case resp.Header.Get("Not-Started") == "1":
		return "away " + resp.Status[:3], ""
	}
	return resp.Status[:3], string(text)
}

func (st *stand) want(name, want string, req *http.Request) string {
	st.t.Helper()
	got, body := st.do(req)
	if got != want {
		st.t.Errorf("%s: %s %q, want %s", name, got, body, want)
	}
	return body
}

// until waits for something that comes by itself.
func (st *stand) until(what string, is func() bool) {
	st.t.Helper()
	for end := time.Now().Add(soon); !is(); time.Sleep(ms) {
		if time.Now().After(end) {
			st.t.Fatalf("never %s", what)
		}
	}
}

func TestOutcomes(t *testing.T) {
	st := newStand(t, nil)
	_, req := st.ask("a", 0, 1)
	st.want("before its start", "refused", req)
	st.start(Version{Name: "1"}, false)

	r, req := st.ask("b", 0, 1)
	if body := st.want("a good one", "200", req); body != "b s-0 0\n" {
		t.Errorf("answered %q", body)
	}
	if all, may := r.Attempts(); all != 1 || may != 1 {
		t.Errorf("%d attempts, %d may have run", all, may)
	}
	for name, spoil := range map[string]func(*http.Request){
		"an unknown id":   func(r *http.Request) { r.Header.Set("Request-Id", "made up") },
		"another path":    func(r *http.Request) { r.URL.Path = "/look/other" },
		"another query":   func(r *http.Request) { r.URL.RawQuery = "x=1" },
		"another method":  func(r *http.Request) { r.Method = "DELETE" },
		"a key it lacked": func(r *http.Request) { r.Header.Set("Idempotency-Key", "new") },
	} {
		_, req := st.ask("bad "+name, 0, 1)
		spoil(req)
		st.want(name, "400", req)
	}
	if _, count := st.checker.Breaches(); count[check.RuleUnknown] != 5 {
		t.Errorf("breaches %v, want five unknown requests", count)
	}
	_, req = st.ask("no id", 0, 1)
	req.Header.Del("Request-Id")
	st.want("without an id", "404", req)

	// One in work, one waits, the next is turned away unseen.
	slow, slowReq := st.ask("slow", 0, 1e6)
	ctx, cancel := context.WithCancel(context.Background())
	var out sync.WaitGroup
	give := func(req *http.Request) {
		out.Add(1)
		go func() {
			defer out.Done()
			if resp, err := st.http.RoundTrip(req.WithContext(ctx)); err == nil {
				resp.Body.Close()
			}
		}()
	}
	give(slowReq)
	st.until("in work", func() bool { return st.State().InFlight == 1 })
	_, waits := st.ask("waits", 0, 1)
	give(waits)
	st.until("in the queue", func() bool { return st.State().Queued == 1 })
	full, req := st.ask("full", 0, 1)
	st.want("beyond the queue", "away 503", req)
	if _, may := full.Attempts(); may != 0 {
		t.Error("what was turned away may have run")
	}
	cancel() // work stops when it is given up
	out.Wait()
	st.until("idle", func() bool { return st.State().InFlight == 0 })
	if _, may := slow.Attempts(); may != 1 {
		t.Error("what was given up in work may not have run")
	}

	st.SetFaults(Faults{ErrorShare: 1})
	_, req = st.ask("error", 0, 1)
	st.want("an error", "500", req)
	st.SetFaults(Faults{ResetShare: 1})
	_, req = st.ask("reset", 0, 1)
	st.want("a reset", "broke", req)
	st.SetFaults(Faults{TruncatedShare: 1})
	_, req = st.ask("spoilt", 0, 1)
	st.want("half an answer", "broke", req)
	st.SetFaults(Faults{})
	late, req := st.ask("late", 0, 1)
	late.Deadline = 0
	st.want("what is already over", "away 504", req)
	st.Drain()
	_, req = st.ask("drained", 0, 1)
	st.want("while it drains", "away 503", req)
	st.Kill()
	_, req = st.ask("killed", 0, 1)
	if got, _ := st.do(req); got != "refused" && got != "broke" {
		t.Errorf("a dead server: %s", got)
	}
}

func TestProbes(t *testing.T) {
	st := newStand(t, nil).start(Version{NeverReady: true}, false)
	get := func(path string) *http.Request {
		r, _ := http.NewRequest("GET", "http://"+st.Addr()+path, nil)
		return r
	}
	st.want("health before it is ready", "503", get("/health"))
	_, req := st.ask("early", 0, 1)
	st.want("a request before it is ready", "away 503", req)
	st.Kill()
	st.start(Version{ReadyAfter: 20 * ms}, false)
	st.until("ready", func() bool { return st.Health() == "ready" })
	st.want("health", "200", get("/health"))
	st.until("a report", func() bool { return st.loadReport() != "" })
	if body := st.want("load", "200", get("/status/load")); !strings.HasPrefix(body, "TEXT util=0.000, inflight=0") {
		t.Errorf("reports %q", body)
	}
	st.want("any other path", "404", get("/status"))
	if n := st.Probes.Load(); n != 3 {
		t.Errorf("%d probes counted", n)
	}
	shut := newStand(t, func(c *Config) { c.LoadReports.ProbesEnabled = false }).start(Version{}, false)
	r, _ := http.NewRequest("GET", "http://"+shut.Addr()+"/health", nil)
	shut.want("a probe where there are none", "404", r)
}

// A report tells the load as it was a while ago.
func TestReportLags(t *testing.T) {
	st := newStand(t, func(c *Config) { c.LoadReports.Delay = 300 * ms }).start(Version{}, false)
	st.until("a report", func() bool { return st.loadReport() != "" })
	ctx, cancel := context.WithCancel(context.Background())
	_, req := st.ask("long", 0, 1e6)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if resp, err := st.http.RoundTrip(req.WithContext(ctx)); err == nil {
			resp.Body.Close()
		}
	}()
	st.until("in work", func() bool { return st.State().InFlight == 1 })
	began := time.Now()
	st.until("reported", func() bool { return strings.Contains(st.loadReport(), "inflight=1") })
	if lag := time.Since(began); lag < 200*ms {
		t.Errorf("reported after %v, the delay is 300 ms", lag)
	}
	cancel()
	<-ended
}

// All servers drop a repeat of a key for its time; work is done, the effect is not.
func TestRepeatsAreDropped(t *testing.T) {
	st := newStand(t, nil).start(Version{}, false)
	for _, id := range []string{"v1", "v2", "v3"} {
		_, req := st.ask(id, 1, 1)
		st.want(id, "200", req)
	}
	if dropped, doubled := st.env.Effects.Counts(); dropped != 2 || doubled != 0 {
		t.Errorf("%d dropped, %d doubled", dropped, doubled)
	}
	e := NewEffects()
	for _, at := range []time.Duration{0, 12 * time.Second, 12*time.Second + 1} {
		e.commit("k", at, 12*time.Second)
	}
	if dropped, doubled := e.Counts(); dropped != 1 || doubled != 1 {
		t.Errorf("%d dropped, %d doubled around the end of the key's time", dropped, doubled)
	}
}

func TestConnections(t *testing.T) {
	st := newStand(t, func(c *Config) {
		c.ConnectionPolicy = ConnectionPolicy{MaxOpen: 2, IdleTimeout: 150 * ms, HandshakeDelay: 60 * ms, HandshakeWork: 5}
	}).start(Version{}, false)
	began := time.Now()
	_, req := st.ask("first", 0, 1)
	st.want("the first on a connection", "200", req)
	if took := time.Since(began); took < 60*ms {
		t.Errorf("a handshake took %v", took)
	}
	var held []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", st.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		held = append(held, c)
	}
	st.until("both accepted", func() bool { return st.State().OpenConnections >= 2 })
	st.http.CloseIdleConnections()
	_, req = st.ask("over", 0, 1)
	st.want("beyond the cap", "away 503", req)
	// One on which nothing comes is closed when it has been idle for its time.
	_ = held[0].SetReadDeadline(time.Now().Add(soon))
	if _, err := held[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v", err)
	}
}

// A machine that vanishes gives no sign; once back, what was under way goes on.
func TestVanishes(t *testing.T) {
	st := newStand(t, nil).start(Version{}, false)
	c, err := net.Dial("tcp", st.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	st.until("accepted", func() bool { return st.State().OpenConnections == 1 })
	if err := st.Isolate(); err != nil {
		t.Fatal(err)
	}
	unheard, req := st.ask("unheard", 0, 1)
	if err := req.Write(c); err != nil {
		t.Fatal(err)
	}
	// Its agent has answered long before it arrives: the network is to blame, not the agent.
	st.checker.RecordAnswer(unheard, check.Answer{Outcome: check.Failed, At: st.env.Clock()})
	_ = c.SetReadDeadline(time.Now().Add(150 * ms))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a machine that vanished answers, or ends the connection: %v", err)
	}
	if c, err := net.DialTimeout("tcp", st.Addr(), 150*ms); err == nil {
		c.Close()
		t.Error("a connection came up to a machine that vanished")
	}
	if err := st.Rejoin(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(soon))
	if n, err := c.Read(make([]byte, 100)); n == 0 {
		t.Errorf("once back: %v", err)
	}
	if breaches, _ := st.checker.Breaches(); len(breaches) > 0 {
		t.Errorf("a request that the cut held back breaks a rule: %v", breaches)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if got := strings.Join(st.changes, " "); got != "ready silent ready" {
		t.Errorf("its changes: %s", got)
	}
}

// A process starts again under the same name and address, born anew; a version brings
// its own faults.
func TestVersions(t *testing.T) {
	st := newStand(t, nil).start(Version{Name: "1"}, false)
	addr := st.Addr()
	if st.StartedMs() != 0 {
		t.Error("one that has stood for long was born of late")
	}
	if err := st.Start(Version{}, true); err == nil {
		t.Error("started while it runs")
	}
	st.Kill()
	before := time.Now().UnixMilli()
	st.start(Version{Name: "2", ErrorShares: map[string]float64{"vote": 1}, Slowdown: 50, CrashAfter: 700 * ms}, true)
	if st.Addr() != addr || st.StartedMs() < before || st.VersionName() != "2" {
		t.Errorf("at %s, was at %s; born %d, started at %d; version %s", st.Addr(), addr, st.StartedMs(), before, st.VersionName())
	}
	began := time.Now()
	_, req := st.ask("look", 0, 2)
	st.want("a look", "200", req)
	if took := time.Since(began); took < 100*ms {
		t.Errorf("2 ms of work of a version 50 times slower took %v", took)
	}
	_, req = st.ask("vote", 1, 1)
	st.want("a vote", "500", req)
	st.until("crashed", func() bool { return st.Health() == "gone" && !st.Running() })
}
