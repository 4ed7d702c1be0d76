package policy

import "testing"

// A single agent raises its baseline when latency rises. Otherwise, if the first responses are fast, as for a
// few popular keys, all later latencies count as overload and the limit stays at one attempt per server.
func TestLoneAgentRaisesItsBaseline(t *testing.T) {
	for _, agents := range []int{1, 5} {
		set := testSettings()
		set.Replicas = agents
		r := newRig(t, set, 4)
		for i := range 2500 {
			rtt := 20.0
			if i > 100 {
				rtt = 60
			}
			id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
			r.now += rtt
			r.outcome(id, 0, s, OK, rtt)
		}
		if grown := r.b.baselineLatency > 0.15; grown != (agents == 1) {
			t.Errorf("%d agents: after 2400 responses in 0.2 of the target, one at a time, the baseline is %.3f", agents, r.b.baselineLatency)
		}
	}
}

// With few agents, each sees most of the load: a server that responds well within the target is not
// overloaded, however low the baseline is. Cold servers have a higher threshold, as they are slow even without
// overload.
func TestMinOverloadThresholdFallsWithReplicas(t *testing.T) {
	limit := func(agents int, baseline float64) float64 {
		set := testSettings()
		set.Replicas = agents
		r := newRig(t, set, 1)
		r.b.baselineLatency = baseline
		return r.b.overloadThreshold(r.b.serversByAddr[addr(0)])
	}
	if one, many := limit(1, 0.01), limit(20, 0.01); one < 0.3 || many > 0.1 {
		t.Errorf("minimum thresholds: %.2f for one agent, want at least 0.3; %.2f for twenty, want at most 0.1", one, many)
	}
	if l := limit(1, 0.9); l != overloadLatencyShare {
		t.Errorf("threshold %.2f with a high baseline, want %.2f", l, overloadLatencyShare)
	}
	r := newRig(t, testSettings(), 1)
	r.handleList(ListChange, Entry{Server: addr(1), Health: Ready, Weight: 1, StartedMs: r.now})
	r.b.baselineLatency = 0.2
	if warming, warm := r.b.overloadThreshold(r.b.serversByAddr[addr(1)]), r.b.overloadThreshold(r.b.serversByAddr[addr(0)]); warming < 2*warm {
		t.Errorf("threshold %.2f of a cold server, %.2f of a warm one", warming, warm)
	}
}

// An overload while an agent starts must not become its baseline. In case id08146, agents were
// restarted one by one while the fleet was overloaded.
func TestOverloadAtTheStartDoesNotSetTheBaseline(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range baselineSamples {
		id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
		r.now += 270
		r.outcome(id, 0, s, OK, 270)
	}
	if r.b.baselineLatency > overloadLatencyShare/2 {
		t.Errorf("responses in 0.9 of the target set the baseline: %.2f", r.b.baselineLatency)
	}
}

func TestOverloadReducesConcurrencyLimit(t *testing.T) {
	set := testSettings()
	set.Replicas = 20 // as in case ie9df20: each of many agents sees little of the load
	r := newRig(t, set, 1)
	srv := r.b.servers[0]
	for range 300 { // long enough to learn the baseline
		id, s := r.mustSend(0, 1)
		r.now += 20
		r.outcome(id, 0, s, OK, 20)
	}
	limitBefore := srv.concurrencyLimit
	for range 200 {
		if id, actions := r.request(0, 1); find(actions, ActSend) != nil {
			r.now += 140
			r.outcome(id, 0, srv.addr, OK, 140)
		}
		r.now += 10
	}
	if srv.concurrencyLimit >= limitBefore {
		t.Errorf("latency rose sevenfold and the limit went from %.2f to %.2f", limitBefore, srv.concurrencyLimit)
	}
	// With many agents, one attempt of each keeps a collapsed server busy (case ie9df20).
	if srv.concurrencyLimit >= 1 {
		t.Errorf("a collapsed server gets no idle time: limit %.2f", srv.concurrencyLimit)
	}
}

// The concurrency limits of all agents together stay below the load that makes a server permanently several
// times slower. In case5409, limits that had grown under low load let a burst exceed it.
func TestConcurrencyLimitsOfAllAgentsAreBounded(t *testing.T) {
	for _, agents := range []int{1, 2, 8} {
		set := testSettings()
		set.Replicas = agents
		r := newRig(t, set, 1)
		var out []RequestID
		recordSends := func(actions []Action) {
			for _, a := range actions {
				if a.Kind == ActSend {
					out = append(out, a.Request)
				}
			}
		}
		for range 300 { // all attempts get fast responses
			for range 5 {
				_, actions := r.request(0, 0)
				recordSends(actions)
			}
			for len(out) > 0 {
				r.now += 2
				id := out[0]
				out = out[1:]
				recordSends(r.outcome(id, 0, addr(0), OK, 10))
			}
		}
		for range 20 {
			r.request(0, 0)
		}
		want := max(int(maxServerConcurrency)/agents, 1)
		if got := len(r.b.serversByAddr[addr(0)].inFlight); got != want {
			t.Errorf("%d agents: one has %d attempts in flight to the server, want %d", agents, got, want)
		}
	}
}

// No concurrency limit grows before the baseline is known. In case i452d3e, limits that did so
// overloaded the servers, and the latency under overload became the baseline.
func TestNoConcurrencyLimitGrowsBeforeTheBaseline(t *testing.T) {
	set := testSettings()
	set.Replicas = 1 // with more agents, limits do not grow above the initial one
	r := newRig(t, set, 2)
	for range baselineSamples - 1 {
		id, s := r.mustSend(0, r.b.rng.Uint64())
		r.now += 20
		r.outcome(id, 0, s, OK, 20)
		if w := r.b.serversByAddr[s].concurrencyLimit; w > initialConcurrencyLimit {
			t.Fatalf("limit %.2f after %.0f responses", w, r.b.latencySamples)
		}
	}
	var ids []RequestID
	var tos []Addr
	for range 40 {
		ids, tos = ids[:0], tos[:0]
		for range 3 {
			if id, actions := r.request(0, r.b.rng.Uint64()); find(actions, ActSend) != nil {
				ids, tos = append(ids, id), append(tos, find(actions, ActSend).Server)
			}
		}
		r.now += 20
		for i := range ids {
			r.outcome(ids[i], 0, tos[i], OK, 20)
		}
	}
	if w := max(r.b.servers[0].concurrencyLimit, r.b.servers[1].concurrencyLimit); w <= initialConcurrencyLimit {
		t.Errorf("no concurrency limit grew once the baseline was known: %.2f", w)
	}
}

// If crossing zones has a price, the local zone gets more traffic while it is as fast as the other zones, and
// less when it is slower. Without this, it got only half of the traffic that it could serve under low load.
func TestLocalZoneGetsMoreWhileItIsQuick(t *testing.T) {
	set := testSettings()
	set.Prices.CrossZone = 0.08
	r := newRig(t, set, 6)
	localShare := func(localMs float64) float64 {
		local := 0
		for range 400 {
			r.now += 50
			id, s := r.mustSend(0, r.b.rng.Uint64())
			rtt := 20.0
			if r.b.serversByAddr[s].zone == 0 {
				local++
				rtt = localMs
			}
			r.outcome(id, 0, s, OK, rtt)
		}
		return float64(local) / 400
	}
	localShare(20)
	if quick := localShare(20); quick < 0.8 {
		t.Errorf("the local zone is as fast as the others and got %.2f of the requests", quick)
	}
	localShare(40)
	if slow := localShare(40); slow > 0.7 {
		t.Errorf("the local zone is twice as slow as the others and got %.2f of the requests", slow)
	}
}

// If the list gives no weights, they follow from the latencies of the machine types. In case i5db14f,
// machines whose speeds differed 2.5 times got equal shares, and the slow ones were overloaded.
func TestSlowMachineKindGetsFewerRequests(t *testing.T) {
	for _, weights := range []string{"off", "nominal"} {
		set := testSettings()
		set.Weights = weights
		r := newRig(t, set, 0)
		var entries []Entry
		for i := range 8 {
			entries = append(entries, Entry{Server: addr(i), Health: Ready, Weight: 1, Kind: i % 2})
		}
		r.handleList(ListFull, entries...)
		slow := 0
		for i := range 1200 {
			r.now += 50
			id, s := r.mustSend(0, r.b.rng.Uint64())
			rtt := 20.0
			if r.b.serversByAddr[s].kind == 1 {
				rtt = 50
				if i >= 600 {
					slow++
				}
			}
			r.outcome(id, 0, s, OK, rtt)
		}
		if evenShares := slow > 250; evenShares != (weights == "nominal") {
			t.Errorf("weights %q: the slow half of the fleet got %d of 600 requests", weights, slow)
		}
	}
}
