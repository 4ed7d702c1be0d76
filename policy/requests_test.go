package policy

import "testing"

func TestEmptyListIsAnsweredInTime(t *testing.T) {
	r := newRig(t, testSettings(), 0)
	id, actions := r.request(1, 1)
	for range 130 {
		if a := find(actions, ActReject); a != nil {
			if a.Request != id {
				t.Fatalf("refused %d, want %d", a.Request, id)
			}
			return
		}
		actions = r.tick(10)
	}
	t.Error("a request with an empty list was never answered")
}

// The client's retry of a hopeless request is judged by the client's time.
func TestClientsRetryKeepsTheFirstArrival(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	id, s := r.mustSend(0, 5)
	r.now += 200
	r.handle(Event{Kind: EvClientCanceled, Request: id})
	r.outcome(id, 0, s, Cancelled, 200)
	r.id++
	r.handle(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: 5, RemainingMs: 600, Retry: true})
	if q := r.b.requests[r.id]; q == nil || q.targetAt-r.now > 101 {
		t.Error("a retry was given the full target latency again")
	}
}

// i7e1314: the class of least credit was starved though the worst class counts.
func TestWorstClassCountsAmongQueued(t *testing.T) {
	set := testSettings()
	set.Objective = Objective{Overall: 0.5, WorstClass: 0.5}
	r := newRig(t, set, 2)
	highCredit, lowCredit := &request{class: 1, targetAt: r.now + 500}, &request{class: 0, targetAt: r.now + 500}
	for range 500 { // of class 1 all are served, of class 0 none
		r.b.countClass(0)
		r.b.countClass(1)
		r.b.classSuccess[1] += 1 - shareDecay
	}
	with := r.b.value(lowCredit) / r.b.value(highCredit)
	r.b.worstClass = 1
	if without := r.b.value(lowCredit) / r.b.value(highCredit); with <= without {
		t.Errorf("the starved class weighs %.2f, when served well %.2f", with, without)
	}
}

// i86bcad, i5db14f: each of many agents sent every refused or full request on, and all
// together kept the servers too full to serve any. What fails leaves less to send.
func TestFailuresUseUpTheRetryBudget(t *testing.T) {
	for _, st := range []Status{OK, Full} {
		r := newRig(t, testSettings(), 20)
		sends := 0
		for range 200 {
			r.now += 20
			id, actions := r.request(0, r.b.rng.Uint64())
			for try := 0; ; try++ {
				a := find(actions, ActSend)
				if a == nil || a.Request != id {
					break
				}
				sends++
				actions = r.outcome(id, try, a.Server, st, 5)
			}
		}
		if served := st == OK; served && sends != 200 || !served && (sends > 40 || sends < 5) {
			t.Errorf("ending %d: 200 requests over 4 s became %d attempts", st, sends)
		}
	}
}

// Clients that leave before their answers are late show nothing of the servers: the retry budget
// stays open for those that stay. Where they leave because it is late, that counts.
func TestClientCancellationsKeepTheRetryBudget(t *testing.T) {
	for _, c := range []struct {
		name   string
		status Status
		after  float64 // the share of the target latency that has passed
		open   bool
	}{
		{"never begun", Withdrawn, 0.1, true},
		{"cancelled in time", Cancelled, 0.5, true},
		{"cancelled late", Cancelled, 1.1, false},
		{"timed out", Timeout, 0.5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Limits.Cancelling = true
			r := newRig(t, set, 10)
			type sent struct {
				id RequestID
				to Addr
			}
			var all []sent
			for range 8 {
				id, to := r.mustSend(0, 0)
				all = append(all, sent{id, to})
			}
			r.now += c.after * set.Classes[0].TargetMs
			for _, s := range all {
				r.handle(Event{Kind: EvClientCanceled, Request: s.id})
				r.outcome(s.id, 0, s.to, c.status, 1)
			}
			if r.b.withinRetryBudget() != c.open {
				t.Fatalf("failing %.1f", r.b.retryDebt)
			}
		})
	}
}

// An agent that may have few requests open refuses what it can't hold at once, the
// least valuable first, and never what is already out.
func TestOpenCapRejectsAtOnce(t *testing.T) {
	s := testSettings()
	s.Limits.OpenCap = 4
	r := newRig(t, s, 1)
	sent, refused := 0, 0
	for range 10 {
		_, actions := r.request(0, 0)
		for _, a := range actions {
			switch a.Kind {
			case ActSend:
				sent++
			case ActReject:
				refused++
			case ActFail:
				t.Error("failed what never ran")
			}
		}
	}
	if sent == 0 || sent >= 4 || refused != 6 {
		t.Errorf("sent %d and refused %d of 10, want some sent and 6 refused", sent, refused)
	}
}
