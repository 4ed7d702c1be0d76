package policy

import "testing"

// unsolicited passes the Balancer an event of unsolicited bytes from a server.
func (r *rig) unsolicited(s Addr) []Action { return r.handle(Event{Kind: EvUnsolicited, Server: s}) }

// After unsolicited bytes from a server, each connection to it carries only one request for a limited time.
// Connections to other servers are reused.
func TestSingleUseAfterUnsolicitedBytes(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	suspect, other := r.b.serversByAddr[addr(0)], r.b.serversByAddr[addr(1)]
	singleUse := func(s *server) bool {
		r.b.retryDebt = 0
		for _, o := range r.b.servers {
			o.ready, o.state = o == s, Connected
		}
		id, actions := r.request(0, 0)
		sent := find(actions, ActSend)
		if sent == nil || sent.Server != s.addr {
			t.Fatalf("not sent: %+v", actions)
		}
		r.outcome(id, 0, s.addr, OK, 10)
		return sent.SingleUse
	}
	if singleUse(suspect) {
		t.Error("single use without unsolicited bytes")
	}
	if a := find(r.unsolicited(suspect.addr), ActClose); a == nil || a.Server != suspect.addr {
		t.Error("idle connections were not closed")
	}
	if !singleUse(suspect) || singleUse(other) {
		t.Error("want single use for connections to the server that sent unsolicited bytes, and no other")
	}
	r.now += singleUseMs - 1
	if !singleUse(suspect) {
		t.Error("single use ended early")
	}
	r.now++
	if singleUse(suspect) {
		t.Error("single use did not end")
	}
}

// Connections to a server are reused with the cautious delay until the server has sent enough clean responses.
// After unsolicited bytes the count starts again.
func TestReuseDelayUntilAServerIsProven(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	nextReuseDelay := func() float64 {
		r.b.retryDebt = 0
		id, actions := r.request(0, 0)
		sent := find(actions, ActSend)
		if sent == nil {
			t.Fatalf("not sent: %+v", actions)
		}
		r.outcome(id, 0, sent.Server, OK, 10)
		return sent.ReuseDelayMs
	}
	for _, from := range []string{"the start", "unsolicited bytes"} {
		for i := range provenResponses {
			if got := nextReuseDelay(); got != CautiousReuseDelayMs {
				t.Fatalf("%d responses from %s: a delay of %v ms", i, from, got)
			}
		}
		if got := nextReuseDelay(); got != reuseDelayMs {
			t.Errorf("enough responses since %s: a delay of %v ms", from, got)
		}
		r.unsolicited(addr(0))
		r.now += singleUseMs
	}
}

// After unsolicited bytes from a server, probes of it also use a new connection each.
func TestProbeAfterUnsolicitedBytes(t *testing.T) {
	s := testSettings()
	s.Limits.Probing = true
	r := newRig(t, s, 2)
	r.unsolicited(addr(0))
	r.b.serversByAddr[addr(0)].state = UnhealthyPending
	_, actions := r.request(0, 0)
	if probe := find(actions, ActProbe); probe == nil || probe.Server != addr(0) || !probe.SingleUse || probe.ReuseDelayMs != CautiousReuseDelayMs {
		t.Errorf("want a single-use probe with the cautious reuse delay, got %+v", actions)
	}
}

// A restart of the server ends single use, as the unsolicited bytes came from the old process.
func TestRestartEndsSingleUse(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	r.unsolicited(addr(0))
	r.handleList(ListChange, Entry{Server: addr(0), Health: Ready, Weight: 1, StartedMs: r.now})
	if r.b.singleUse(r.b.serversByAddr[addr(0)]) {
		t.Error("single use continued after the restart")
	}
}

// Unsolicited bytes from a server that is no longer listed have no effect.
func TestUnsolicitedBytesOfAnUnknownServer(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	if actions := r.unsolicited(addr(7)); len(actions) > 0 {
		t.Errorf("want no actions, got %+v", actions)
	}
}
