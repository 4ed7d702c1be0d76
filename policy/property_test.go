package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// simulation runs random clients, servers and lists against one Balancer. It checks the rules of the contract by
// the returned actions, without looking at the Balancer's state.
type simulation struct {
	t                *testing.T
	rng              *rand.Rand
	settings         Settings
	b                *Balancer
	now              float64
	next             RequestID
	reqs             map[RequestID]*simulatedRequest
	timers           []simulatedTimer
	list             map[Addr]Entry
	unavailableSince map[Addr]float64 // when the agent was notified of a server's drain or removal
	history          []Action
}

type simulatedAttempt struct {
	server Addr
	sentAt float64
	endsAt float64
	status Status
	ended  bool
}

type simulatedRequest struct {
	class    int
	deadline float64
	attempts []*simulatedAttempt
	final    int
}

type simulatedTimer struct {
	at    float64
	token uint32
}

func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Limits.ParallelAttempts = rng.IntN(2) == 0
	s.Limits.Cancelling = rng.IntN(2) == 0
	s.Limits.Probing = rng.IntN(2) == 0
	s.Limits.MaxAttempts = 1 + rng.IntN(5)
	s.Classes[2].Group = []Group{GroupAll, GroupZone, GroupCell}[rng.IntN(3)]
	s.Classes[2].DedupWindowMs = 100 + 900*rng.Float64()
	for i := range s.Classes {
		s.Classes[i].TargetMs = 50 + 400*rng.Float64()
		s.Classes[i].LateShare = []float64{0, 0.2}[rng.IntN(2)]
	}
	if rng.IntN(2) == 0 {
		s.Membership = "on_request"
	}
	if rng.IntN(2) == 0 {
		s.Tenants = []Tenant{{Name: "a", QuotaFraction: 0.7}, {Name: "b", QuotaFraction: 0.3}}
		s.OverQuotaWeight = 0.1
	}
	s.Clients.MarksRetry = rng.IntN(2) == 0
	return s
}

func (w *simulation) apply(actions []Action) {
	w.history = append(w.history, actions...)
	for _, a := range actions {
		r := w.reqs[a.Request]
		switch a.Kind {
		case ActSend:
			w.checkSend(r, &a)
			ends := w.now + 1 + 150*w.rng.Float64()
			st := []Status{OK, OK, OK, OK, OK, Error, Full, Timeout, ConnectFailed, Reset}[w.rng.IntN(10)]
			if st == Timeout {
				ends = w.now + a.Ms
			}
			r.attempts = append(r.attempts, &simulatedAttempt{server: a.Server, sentAt: w.now, endsAt: min(ends, w.now+a.Ms), status: st})
		case ActReject, ActFail:
			if r.final++; r.final > 1 {
				w.t.Fatalf("request %d was answered a second time", a.Request)
			}
			if w.now > r.deadline+w.settings.Contract.AnswerSlackMs {
				w.t.Fatalf("request %d answered %.1f ms after its deadline", a.Request, w.now-r.deadline)
			}
			c := w.settings.Classes[r.class]
			if a.Kind == ActReject && r.mayHaveExecuted() && (c.Effect == NonIdempotent || c.Effect == Deduplicated && c.Group != GroupAll) {
				w.t.Fatalf("request %d of effect %s was rejected although it may have been executed", a.Request, c.Effect)
			}
		case ActCancel:
			if !w.settings.Limits.Cancelling {
				w.t.Fatal("attempt cancelled although cancelling is not allowed")
			}
			if attempt := r.attempts[a.Attempt]; !attempt.ended {
				attempt.status, attempt.endsAt = Cancelled, w.now+5
			}
		case ActProbe:
			if !w.settings.Limits.Probing {
				w.t.Fatal("server probed although probing is not allowed")
			}
		case ActTimer:
			w.timers = append(w.timers, simulatedTimer{w.now + a.Ms, a.Token})
		}
	}
}

func (r *simulatedRequest) mayHaveExecuted() bool {
	return slices.ContainsFunc(r.attempts, func(t *simulatedAttempt) bool { return !t.ended || !t.status.NotExecuted() })
}

func (w *simulation) checkSend(r *simulatedRequest, a *Action) {
	c := w.settings.Classes[r.class]
	if r.final > 0 || w.now > r.deadline {
		w.t.Fatalf("request %d sent after its answer or deadline", a.Request)
	}
	if len(r.attempts) >= w.settings.Limits.MaxAttempts {
		w.t.Fatalf("request %d: attempt %d of at most %d", a.Request, len(r.attempts)+1, w.settings.Limits.MaxAttempts)
	}
	if since, unavailable := w.unavailableSince[a.Server]; unavailable && w.now-since > w.settings.Contract.DrainGraceMs {
		w.t.Fatalf("sent to %v %.0f ms after its drain was notified", a.Server, w.now-since)
	}
	for _, t := range r.attempts {
		if !t.ended && !w.settings.Limits.ParallelAttempts {
			w.t.Fatalf("request %d has two attempts in flight although parallel attempts are not allowed", a.Request)
		}
		if t.ended && t.status.NotExecuted() {
			continue
		}
		x, y := w.list[t.server], w.list[a.Server]
		switch {
		case c.Effect == NonIdempotent:
			w.t.Fatalf("request %d sent again although it may have been executed", a.Request)
		case c.Effect == Deduplicated && (a.SendByMs <= 0 || w.now+a.SendByMs-t.sentAt > c.DedupWindowMs-150): // margin of 0.15 s: maxWriteDelayMs (STANDING)
			w.t.Fatalf("request %d may arrive %.0f ms after it may have been executed", a.Request, w.now+a.SendByMs-t.sentAt)
		case c.Effect == Deduplicated && w.now-t.sentAt > c.DedupWindowMs:
			w.t.Fatalf("request %d sent again %.0f ms after it may have been executed", a.Request, w.now-t.sentAt)
		case c.Effect == Deduplicated && (c.Group == GroupZone && x.Zone != y.Zone || c.Group == GroupCell && x.Cell != y.Cell):
			w.t.Fatalf("request %d sent again outside its group", a.Request)
		}
	}
}

func (w *simulation) handle(ev Event) { w.apply(w.b.Handle(w.now, &ev, nil)) }

func (w *simulation) step() {
	w.now += w.settings.RoundMs
	for i := 0; i < len(w.timers); i++ {
		if t := w.timers[i]; t.at <= w.now {
			w.timers = slices.Delete(w.timers, i, i+1)
			i--
			w.handle(Event{Kind: EvTimer, Token: t.token})
		}
	}
	for id := RequestID(1); id <= w.next; id++ {
		r := w.reqs[id]
		if r == nil {
			continue
		}
		open := false
		for i, t := range r.attempts {
			if t.ended {
				continue
			}
			if t.endsAt > w.now {
				open = true
				continue
			}
			t.ended = true
			if t.status == OK {
				r.final++ // a second response does not count
				r.final = min(r.final, 1)
			}
			w.handle(Event{Kind: EvOutcome, Request: id, Attempt: i, Server: t.server, Status: t.status,
				LatencyMs: w.now - t.sentAt, Final: r.final > 0})
		}
		if r.final == 0 && w.now > r.deadline+w.settings.Contract.AnswerSlackMs {
			w.t.Fatalf("request %d of class %d has no answer %.0f ms after its deadline", id, r.class, w.now-r.deadline)
		}
		if r.final > 0 && !open && len(r.attempts) > 0 && w.now > r.deadline+100 {
			delete(w.reqs, id)
		}
	}
}

func (w *simulation) changeList() {
	s := addr(w.rng.IntN(8))
	e := Entry{Server: s, Zone: int(s[3]) % 2, Cell: int(s[3]) % 3, Weight: 1 + w.rng.Float64(),
		Health: []Health{Ready, Ready, Draining, Gone}[w.rng.IntN(4)]}
	if w.rng.IntN(3) == 0 {
		e.StartedMs = w.now - 100*w.rng.Float64()
	}
	w.list[s] = e
	if e.Health == Ready {
		delete(w.unavailableSince, s)
	} else if _, notified := w.unavailableSince[s]; !notified {
		w.unavailableSince[s] = w.now
	}
	w.handle(Event{Kind: EvList, List: ListChange, Entries: []Entry{e}})
}

func runRandomScenario(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &simulation{t: t, rng: rng, settings: randomSettings(rng), now: 5000, reqs: map[RequestID]*simulatedRequest{},
		list: map[Addr]Entry{}, unavailableSince: map[Addr]float64{}}
	var err error
	if w.b, err = New(w.settings, seed); err != nil {
		t.Fatal(err)
	}
	w.apply(w.b.Start(w.now, nil))
	for range 10 {
		w.changeList()
	}
	for i := range 1500 {
		w.step()
		for i < 1200 && rng.IntN(3) == 0 {
			w.next++
			leftMs := 20 + 800*rng.Float64()
			class := rng.IntN(len(w.settings.Classes))
			w.reqs[w.next] = &simulatedRequest{class: class, deadline: w.now + leftMs}
			w.handle(Event{Kind: EvRequest, Request: w.next, Class: class, Tenant: rng.IntN(2), Key: uint64(rng.IntN(30)),
				RemainingMs: leftMs, HasHint: rng.IntN(2) == 0, HintMs: 100 * rng.Float64(), Retry: rng.IntN(5) == 0})
		}
		switch rng.IntN(40) {
		case 0:
			w.changeList()
		case 1:
			if r := w.reqs[w.next]; r != nil && r.final == 0 {
				r.final = 1
				w.handle(Event{Kind: EvClientCanceled, Request: w.next})
			}
		case 2: // unknown and finished requests are ignored
			w.handle(Event{Kind: EvOutcome, Request: 1 << 30, Server: addr(1), Status: OK})
			w.handle(Event{Kind: EvClientCanceled, Request: 1 << 30})
			w.handle(Event{Kind: EvTimer, Token: 99})
			w.handle(Event{Kind: EvList, List: ListFailed})
		}
	}
	if n := len(w.b.requests); n != 0 || len(w.b.queued) != 0 || w.b.inFlight != 0 {
		t.Errorf("seed %d: %d requests, %d queued, %d in flight left at the end", seed, n, len(w.b.queued), w.b.inFlight)
	}
	for _, s := range w.b.servers {
		if len(s.inFlight) != 0 {
			t.Errorf("seed %d: server %v still has %d attempts in flight", seed, s.addr, len(s.inFlight))
		}
	}
	if len(w.b.recentUnserved) > maxQueued {
		t.Errorf("seed %d: %d unserved requests recorded, more than maxQueued", seed, len(w.b.recentUnserved))
	}
	return w.history
}

func TestRulesHoldInRandomScenarios(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomScenario(t, seed) })
	}
}

func TestEqualInputsGiveEqualActions(t *testing.T) {
	for seed := range uint64(5) {
		if !reflect.DeepEqual(runRandomScenario(t, seed), runRandomScenario(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}
