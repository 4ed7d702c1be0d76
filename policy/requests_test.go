package policy

import "testing"

func TestEmptyListIsAnsweredInTime(t *testing.T) {
	r := newRig(t, testSettings(), 0)
	id, actions := r.request(1, 1)
	for range 130 {
		if a := find(actions, ActReject); a != nil {
			if a.Request != id {
				t.Fatalf("rejected request %d, want %d", a.Request, id)
			}
			return
		}
		actions = r.tick(10)
	}
	t.Error("a request with an empty list was never answered")
}

// The target of a client's retry counts from the arrival of its first try.
func TestClientsRetryKeepsTheFirstArrival(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	id, s := r.mustSend(0, 5)
	r.now += 200
	r.handle(Event{Kind: EvClientCanceled, Request: id})
	r.outcome(id, 0, s, Cancelled, 200)
	r.id++
	r.handle(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: 5, RemainingMs: 600, Retry: true})
	if q := r.b.requests[r.id]; q == nil || q.targetAt-r.now > 101 {
		t.Error("the retry got a new full target latency")
	}
}

// The worst class of the objective counts in the order of queued requests. In case i7e1314, the class
// with the lowest credit was starved.
func TestWorstClassCountsAmongQueued(t *testing.T) {
	set := testSettings()
	set.Objective = Objective{Overall: 0.5, WorstClass: 0.5}
	r := newRig(t, set, 2)
	highCredit, lowCredit := &request{class: 1, targetAt: r.now + 500}, &request{class: 0, targetAt: r.now + 500}
	for range 500 { // all requests of class 1 are served, none of class 0
		r.b.countClass(0)
		r.b.countClass(1)
		r.b.classSuccess[1] += 1 - shareDecay
	}
	with := r.b.value(lowCredit) / r.b.value(highCredit)
	r.b.worstClass = 1
	if without := r.b.value(lowCredit) / r.b.value(highCredit); with <= without {
		t.Errorf("relative value of class 0: %.2f when starved, %.2f when served; want more when starved", with, without)
	}
}

// Failures reduce the number of attempts that an agent sends. In the cases i86bcad and i5db14f, each of
// many agents retried every rejected request elsewhere, and all together kept the servers too full to serve any.
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
			t.Errorf("status %d: 200 requests over 4 s became %d attempts", st, sends)
		}
	}
}

// Cancellations by clients before the target say nothing about the servers and do not use up the retry budget.
// Cancellations after the target do.
func TestClientCancellationsKeepTheRetryBudget(t *testing.T) {
	for _, c := range []struct {
		name   string
		status Status
		after  float64 // elapsed fraction of the target latency
		open   bool
	}{
		{"withdrawn", Withdrawn, 0.1, true},
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
				t.Fatalf("retry budget available or used up contrary to the test case, at a retry debt of %.1f", r.b.retryDebt)
			}
		})
	}
}

// An agent immediately rejects queued requests beyond its limit on open requests, the least valuable first. It
// never rejects a request that has been sent.
func TestOpenCapRejectsAtOnce(t *testing.T) {
	s := testSettings()
	s.Limits.OpenCap = 4
	r := newRig(t, s, 1)
	sent, rejected := 0, 0
	for range 10 {
		_, actions := r.request(0, 0)
		for _, a := range actions {
			switch a.Kind {
			case ActSend:
				sent++
			case ActReject:
				rejected++
			case ActFail:
				t.Error("failed a request that was not executed")
			}
		}
	}
	if sent == 0 || sent >= 4 || rejected != 6 {
		t.Errorf("sent %d and rejected %d of 10, want some sent and 6 rejected", sent, rejected)
	}
}
