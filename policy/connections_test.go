package policy

import "testing"

// unsolicited reports unsolicited bytes of a server.
func (r *rig) unsolicited(s Addr) []Action { return r.handle(Event{Kind: EvUnsolicited, Server: s}) }

// From unsolicited bytes of a server on, for a bounded time, each connection to it carries one request.
// Other servers' connections are kept.
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
		t.Error("single use before any unsolicited bytes")
	}
	if a := find(r.unsolicited(suspect.addr), ActClose); a == nil || a.Server != suspect.addr {
		t.Error("idle connections are kept")
	}
	if !singleUse(suspect) || singleUse(other) {
		t.Error("want single use of the server's connections, and no other's")
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

// Connections to a server are used again later until enough of its responses are known, and again after
// unsolicited bytes.
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
			t.Errorf("proven since %s: a delay of %v ms", from, got)
		}
		r.unsolicited(addr(0))
		r.now += singleUseMs
	}
}

// A health check, too, gets a connection of its own after unsolicited bytes.
func TestProbeAfterUnsolicitedBytes(t *testing.T) {
	s := testSettings()
	s.Limits.Probing = true
	r := newRig(t, s, 2)
	r.unsolicited(addr(0))
	r.b.serversByAddr[addr(0)].state = UnhealthyPending
	_, actions := r.request(0, 0)
	if probe := find(actions, ActProbe); probe == nil || probe.Server != addr(0) || !probe.SingleUse || probe.ReuseDelayMs != CautiousReuseDelayMs {
		t.Errorf("got %+v", actions)
	}
}

// A new process of a server is not judged by what the one before sent.
func TestRestartEndsSingleUse(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	r.unsolicited(addr(0))
	r.handleList(ListChange, Entry{Server: addr(0), Health: Ready, Weight: 1, StartedMs: r.now})
	if r.b.singleUse(r.b.serversByAddr[addr(0)]) {
		t.Error("single use went on")
	}
}

// Unsolicited bytes of a server that is not listed any more change nothing.
func TestUnsolicitedBytesOfAnUnknownServer(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	if actions := r.unsolicited(addr(7)); len(actions) > 0 {
		t.Errorf("got %+v", actions)
	}
}
