package policy

import "testing"

// A cold server gets no more than its slow-start share, even after a period of low load.
func TestSlowStartBudget(t *testing.T) {
	r := newRig(t, testSettings(), 5)
	r.handleList(ListChange, Entry{Server: addr(4), Health: Ready, Weight: 1, StartedMs: r.now - 10})
	received, requests := 0, 2000
	for range requests {
		r.now++
		id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
		if s == addr(4) {
			received++
		}
		r.outcome(id, 0, s, OK, 20)
	}
	even := float64(requests) / 4
	if limit := even * 0.36 * 0.5 * 1.2; float64(received) > limit || received == 0 {
		t.Errorf("a cold server received %d of %d sends; want some, and at most %.0f", received, requests, limit)
	}
}

// Attempts that warm servers reject are not counted as work done. In case i86bcad such attempts were
// counted, and in a retry storm the agents overloaded cold servers.
func TestRejectedAttemptsRefillNoSlowStartBudget(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	r.handleList(ListChange, Entry{Server: addr(4), Health: Ready, Weight: 1, StartedMs: r.now})
	warming := r.b.serversByAddr[addr(4)]
	for _, st := range []Status{Full, OK} {
		warming.slowStartBudget = -1
		id, s := r.mustSend(1, 7)
		r.outcome(id, 0, s, st, 20)
		if earned := warming.slowStartBudget > -1; earned != (st == OK) {
			t.Errorf("status %d: the slow-start budget went from -1 to %.3f", st, warming.slowStartBudget)
		}
	}
}

// A request is charged to the slow-start budget by its cost hint. In case i299663, 69 requests hinted at
// ten times the mean cost overloaded a cold server.
func TestSlowStartBudgetIsChargedByCost(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	r.b.meanCostHint = 50
	if c := r.b.cost(&request{costHint: 1}); c != 1 {
		t.Errorf("a request with a small hint costs %.2f mean requests, want 1", c)
	}
	if c := r.b.cost(&request{costHint: 200}); c != 4 {
		t.Errorf("a request hinted at four times the mean costs %.2f, want 4", c)
	}
}

// Many agents with few requests each refill a cold server's budget by a fraction of one request. Together they
// send as many requests as the fractions add up to, rather than none or one each.
func TestManyAgentsShareASlowStartBudget(t *testing.T) {
	got, agents, requestsPerAgent := 0, 400, 20
	for seed := range agents {
		b, err := New(testSettings(), uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: 1e6}
		entries := make([]Entry, 10)
		for i := range entries {
			entries[i] = Entry{Server: addr(i), Health: Ready, Weight: 1}
		}
		entries[0].StartedMs = r.now
		r.handleList(ListFull, entries...)
		for range requestsPerAgent {
			id, s := r.mustSend(0, b.rng.Uint64())
			if s == addr(0) {
				got++
			}
			r.outcome(id, 0, s, OK, 20)
		}
	}
	c := testSettings().Contract
	share := float64(agents*requestsPerAgent) / 9 * c.SlowStartFrom * c.CrashLoadMultiple / slowStartMargin
	if float64(got) > share*1.3 || float64(got) < share*0.2 {
		t.Errorf("%d agents sent a cold server %d requests, want up to about %.0f", agents, got, share)
	}
}

// When half of the servers are new, the agents of a large fleet together send a cold server between half and all
// of its slow-start share, relative to a warm server.
func TestLargeFleetUsesServersInSlowStart(t *testing.T) {
	set := largeFleetSettings()
	set.Replicas, set.Contract.CrashLoadMultiple = 300, 4
	const servers, requestsPerAgent = 24, 200
	sends, capacity := [2]float64{}, 0.0 // to warm and to cold servers
	for i := range set.Replicas {
		set.Index = i
		r := newRig(t, set, servers/2)
		for s := range servers / 2 {
			r.handleList(ListChange, Entry{Server: addr(servers/2 + s), Health: Ready, Weight: 1, StartedMs: r.now - set.Contract.SlowStartMs/4})
		}
		for range requestsPerAgent {
			r.now += 10
			id, actions := r.request(0, 0)
			if a := find(actions, ActSend); a != nil {
				factor := r.b.slowStartFactor(r.b.serversByAddr[a.Server])
				if factor < 1 {
					sends[1]++
					capacity += factor
				} else {
					sends[0]++
				}
				r.now += 20
				r.outcome(id, 0, a.Server, OK, 20)
			}
		}
	}
	share := sends[1] / sends[0] / (capacity / sends[1])
	if share < 0.45 || share > 1 {
		t.Errorf("a cold server got %.2f of its slow-start share relative to a warm one, want 0.45 to 1", share)
	}
}

// Cold servers serve requests when all others have failed. In case i5d0607, a zone failed and only cold
// servers were left.
func TestServersInSlowStartServeWhenOthersFailed(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for range 200 {
		r.now += 10
		id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
		r.outcome(id, 0, s, OK, 20)
	}
	r.handleList(ListChange, Entry{Server: addr(2), Health: Ready, Weight: 1, StartedMs: r.now})
	r.b.serversByAddr[addr(2)].lastSentAt = 0
	for i := range 2 {
		r.b.eject(r.b.serversByAddr[addr(i)], true)
	}
	if _, s := r.mustSend(0, 9); s != addr(2) {
		t.Errorf("sent to %v, want the cold server", s)
	}
}

// Consecutive connect failures of requests or probes over a long time indicate a restart. In case
// i958eff, servers that had been unreachable came back cold before the list showed the restart. One or two
// failures, or several at once, indicate none: a server that is wrongly taken for cold because of a late connect
// stays idle during its slow start.
func TestReturnFromConnectFailuresStartsSlowStart(t *testing.T) {
	crashWindow := testSettings().Contract.CrashWindowMs
	for _, c := range []struct {
		name   string
		at     []float64 // times of failed connects, in ms
		probes bool
		slow   bool // whether the server is in slow start afterwards
	}{
		{"consecutive for long", []float64{0, 600, crashWindow + 200}, false, true},
		{"consecutive probes for long", []float64{0, 600, crashWindow + 200}, true, true},
		{"one", []float64{0}, false, false},
		{"one by a probe", []float64{0}, true, false},
		{"two", []float64{0, crashWindow + 200}, false, false},
		{"three at once", []float64{0, 10, 20}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Limits.Probing = c.probes
			r := newRig(t, set, 3)
			srv := r.b.serversByAddr[addr(0)]
			began := r.now
			for _, at := range c.at {
				r.now = began + at
				if c.probes {
					srv.state, srv.probing = UnhealthyPending, true
					r.b.activeProbes++
					r.handle(Event{Kind: EvProbeResult, Server: srv.addr, Status: ConnectFailed})
					continue
				}
				id, s := r.mustSendTo(srv)
				r.outcome(id, 0, s, ConnectFailed, 100)
			}
			r.now = began + crashWindow + 1000
			id, s := r.mustSendTo(srv)
			r.now += 20
			r.outcome(id, 0, s, OK, 20)
			if factor := r.b.slowStartFactor(srv); (factor < 0.5) != c.slow {
				t.Errorf("slow-start factor %.2f once reachable again", factor)
			}
		})
	}
}

// An agent that sends to a subset refills the budgets of cold servers by shares of the subset. In case
// ifa5a01, when the fleet doubled, agents with few requests used shares of the full fleet: the new servers idled
// while the old ones were overloaded.
func TestSlowStartBudgetCountsTheSubset(t *testing.T) {
	earned := func(keepalive float64) float64 {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Prices.Handshake = keepalive, 0.1
		r := newRig(t, set, 64)
		r.handleList(ListChange, Entry{Server: addr(99), Health: Ready, Weight: 1, StartedMs: r.now})
		added := r.b.serversByAddr[addr(99)]
		added.slowStartBudget = 0
		r.b.refillSlowStartBudgets(r.b.serversByAddr[addr(0)], 1)
		return added.slowStartBudget
	}
	if all, subset := earned(0), earned(10000); subset < 3.5*all || all <= 0 {
		t.Errorf("budget refilled: %.5f when sending to 65 servers, %.5f to 16 of them; want four times as much", all, subset)
	}
}
