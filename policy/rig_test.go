package policy

import "testing"

// rig drives a single Balancer with a manual clock.
type rig struct {
	t   *testing.T
	b   *Balancer
	now float64
	id  RequestID
}

func addr(i int) Addr { return Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b} }

func testSettings() Settings {
	s := Settings{
		Classes: []Class{
			{Name: "free", TargetMs: 300, DeadlineMs: 1000, Effect: Idempotent, Credit: 1},
			{Name: "once", TargetMs: 300, DeadlineMs: 1000, Effect: NonIdempotent, Credit: 4},
			{Name: "keyed", TargetMs: 300, DeadlineMs: 1000, Effect: Deduplicated, Group: GroupCell, DedupWindowMs: 500, Credit: 2},
		},
		Limits: Limits{Cancelling: true, MaxAttempts: 3, MaxRetryAfterMs: 500, ParallelAttempts: true,
			ConnectTimeoutMs: 100},
		Contract: Contract{AnswerSlackMs: 20, ListPollWithinMs: 8000, SlowStartFrom: 0.2, SlowStartMs: 10000, DrainGraceMs: 500,
			CrashLoadMultiple: 3, CrashWindowMs: 1000},
		Membership: "pushed", Replicas: 3, RoundMs: 5, WeightBy: "request", Weights: "nominal",
	}
	s.Clients.MarksRetry = true
	return s
}

func newRig(t *testing.T, s Settings, servers int) *rig {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: 1e6}
	b.Start(r.now, nil)
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{Server: addr(i), Health: Ready, Weight: 1, Cell: i % 2, Zone: i % 2}
	}
	r.handleList(ListCached, entries...)
	return r
}

func (r *rig) handle(ev Event) []Action { return r.b.Handle(r.now, &ev, nil) }

func (r *rig) handleList(kind ListKind, entries ...Entry) []Action {
	return r.handle(Event{Kind: EvList, List: kind, Entries: entries})
}

func (r *rig) request(class int, key uint64) (RequestID, []Action) {
	r.id++
	return r.id, r.handle(Event{Kind: EvRequest, Request: r.id, Class: class, Key: key, RemainingMs: 600})
}

func (r *rig) outcome(id RequestID, attempt int, s Addr, st Status, rtt float64) []Action {
	return r.handle(Event{Kind: EvOutcome, Request: id, Attempt: attempt, Server: s, Status: st, LatencyMs: rtt, Final: st == OK})
}

func find(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// mustSend sends one request and returns the server it went to. It fails the test if the request was not
// sent.
func (r *rig) mustSend(class int, key uint64) (RequestID, Addr) {
	r.t.Helper()
	id, actions := r.request(class, key)
	a := find(actions, ActSend)
	if a == nil {
		r.t.Fatalf("request %d of class %d was not sent: %+v", id, class, actions)
	}
	return id, a.Server
}

// tick advances the clock by ms and fires the tick timer.
func (r *rig) tick(ms float64) []Action {
	r.now += ms
	return r.handle(Event{Kind: EvTimer, Token: tickToken})
}

// mustSendTo sends a request to the given server, with all others made unavailable.
func (r *rig) mustSendTo(s *server) (RequestID, Addr) {
	r.t.Helper()
	r.b.retryDebt = 0
	for _, o := range r.b.servers {
		o.ready = o == s
	}
	s.state = Unknown
	id, to := r.mustSend(0, 0)
	for _, o := range r.b.servers {
		o.ready = true
	}
	return id, to
}

func contains(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i:i+len(part)] == part {
			return true
		}
	}
	return false
}
