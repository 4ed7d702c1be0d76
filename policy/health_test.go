package policy

import "testing"

func TestStateTransitions(t *testing.T) {
	set := testSettings()
	set.Replicas = 0 // the key is not split
	r := newRig(t, set, 4)
	id, s := r.mustSend(0, 7)
	srv := r.b.serversByAddr[s]
	if srv.state != Unknown {
		t.Fatalf("a listed server starts in state %d, want Unknown", srv.state)
	}
	r.now += 50
	r.outcome(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("after a response: state %d, want Connected", srv.state)
	}
	id, s2 := r.mustSend(0, 7)
	if s2 != s {
		t.Fatalf("key moved from %v to %v although the server is healthy", s, s2)
	}
	actions := r.outcome(id, 0, s, Error, 5)
	if srv.state != Unhealthy {
		t.Fatalf("after an error: state %d, want Unhealthy", srv.state)
	}
	if find(actions, ActFetchList) == nil {
		t.Error("the ejection did not fetch the list")
	}
	if a := find(actions, ActSend); a == nil || a.Server == s {
		t.Errorf("the idempotent request was not retried on another server: %+v", actions)
	}
	// While the server is Unhealthy its key is sent elsewhere. After the ejection time the next request
	// makes it pending, and a response makes it Connected.
	if _, s3 := r.mustSend(0, 7); s3 == s {
		t.Error("an Unhealthy server was preferred to a better tier")
	}
	r.now += r.b.ejectionTime(srv) + 1
	id, s4 := r.mustSend(0, 7)
	if srv.state != UnhealthyPending || s4 != s {
		t.Fatalf("after the ejection time: state %d, sent to %v; want pending and the request to validate it", srv.state, s4)
	}
	r.now += 50
	r.outcome(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("after a response that validated the server: state %d, want Connected", srv.state)
	}
}

func TestRejectionEjectsNoServer(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	id, s := r.mustSend(1, 7)
	actions := r.outcome(id, 0, s, Full, 1)
	if got := r.b.serversByAddr[s].state; got == Unhealthy {
		t.Error("a rejection ejected the server")
	}
	if a := find(actions, ActSend); a == nil || a.Server == s {
		t.Errorf("a rejected request was not sent elsewhere: %+v", actions)
	}
}

func TestProbesValidateWhereAllowed(t *testing.T) {
	set := testSettings()
	set.Limits.Probing = true
	r := newRig(t, set, 3)
	id, s := r.mustSend(0, 7)
	r.outcome(id, 0, s, Error, 5)
	r.now += 2 * r.b.ejectionTime(r.b.serversByAddr[s])
	_, actions := r.request(0, 7)
	if p := find(actions, ActProbe); p == nil || p.Server != s {
		t.Fatalf("the pending server was not probed: %+v", actions)
	}
	if a := find(actions, ActSend); a == nil || a.Server == s {
		t.Error("a request went to a pending server before its probe")
	}
	r.handle(Event{Kind: EvProbeResult, Server: s, Status: Timeout, LatencyMs: 100})
	if r.b.serversByAddr[s].state != Unhealthy {
		t.Error("a failed probe did not eject")
	}
	r.now += 10 * r.b.ejectionTime(r.b.serversByAddr[s])
	r.request(0, 8)
	r.handle(Event{Kind: EvProbeResult, Server: s, Status: OK, LatencyMs: 5})
	if r.b.serversByAddr[s].state != Connected {
		t.Error("a successful probe did not set Connected")
	}
}

// A probe that ends with a reset or an error shows that its server is responsive, as an attempt does. Such a
// server is retried immediately while the others are full; a server that did not respond to the probe is not
// retried.
func TestProbeResetIsNotUnresponsive(t *testing.T) {
	for status, tried := range map[Status]bool{Reset: true, Error: true, Timeout: false, ConnectFailed: false} {
		set := testSettings()
		set.Limits.Probing = true
		r := newRig(t, set, 4)
		bad := r.b.serversByAddr[addr(0)]
		for range 3 {
			r.b.setState(bad, Connected)
			r.b.eject(bad, false)
		}
		r.now += r.b.ejectionTime(bad)
		r.request(0, 0) // sends the probe
		r.handle(Event{Kind: EvProbeResult, Server: bad.addr, Status: status, LatencyMs: 5})
		if bad.state != Unhealthy {
			t.Fatalf("a probe with status %d did not eject", status)
		}
		for range 40 { // more than the other limits allow
			r.request(0, 0)
		}
		r.now++
		r.request(0, 0)
		if got := bad.state == UnhealthyPending; got != tried {
			t.Errorf("probe status %d: server retried immediately while others are full: %v, want %v", status, got, tried)
		}
	}
}

// A server that sends no responses is ejected: if only the results of attempts changed its state, a hung server
// would stay Connected.
func TestHungServerIsEjected(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 200 { // learn the expected latency
		id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
		r.now += 10
		r.outcome(id, 0, s, OK, 10)
	}
	_, s := r.mustSend(0, 9)
	for range 30 {
		if r.tick(10); r.b.serversByAddr[s].state == Unhealthy {
			return
		}
	}
	t.Error("a server without a response for 300 ms was not ejected")
}

// A costly request among very fast ones does not make its server unresponsive.
func TestCostlyRequestDoesNotEjectServer(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 200 {
		id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
		r.now += 2
		r.outcome(id, 0, s, OK, 2)
	}
	_, s := r.mustSend(0, 9)
	for range 5 {
		if r.tick(10); r.b.serversByAddr[s].state == Unhealthy {
			t.Fatal("the server was ejected as unresponsive after a sixth of the target")
		}
	}
}

// A server that failed often stays ejected for long while others have capacity, but is retried immediately
// while the others are full.
func TestEjectedServerIsRetriedWhileOthersAreFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		r := newRig(t, testSettings(), 4)
		bad := r.b.serversByAddr[addr(0)]
		for range 3 {
			r.b.setState(bad, Connected)
			r.b.eject(bad, false)
		}
		if full {
			for range 40 { // more than the other limits allow
				r.request(0, 0)
			}
		}
		r.now += r.b.minTarget + 1
		r.request(0, 0)
		if retried := bad.state == UnhealthyPending; retried != full {
			t.Errorf("others full: %v; failing server retried after one target latency: %v", full, retried)
		}
	}
}

// An agent with few requests and no probes ejects a server for longer. In case id753de, such an agent
// spent a request on validating each slow server again after only one target latency.
func TestAgentWithFewRequestsEjectsLonger(t *testing.T) {
	for _, probing := range []bool{false, true} {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Limits.Probing = 10000, probing
		r := newRig(t, set, 20)
		var s Addr
		for range 60 {
			r.now += 500
			var id RequestID
			id, s = r.mustSend(0, r.b.rng.Uint64())
			r.outcome(id, 0, s, OK, 20)
		}
		r.b.eject(r.b.serversByAddr[s], true)
		if ejectedMs := r.b.ejectionTime(r.b.serversByAddr[s]); probing != (ejectedMs < 1000) {
			t.Errorf("probing %v: ejected for %.0f ms, at two requests per second over 20 servers", probing, ejectedMs)
		}
	}
}
