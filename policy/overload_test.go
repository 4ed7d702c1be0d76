package policy

import "testing"

// largeFleetSettings are those of a large fleet, whose servers report what they hold when probed.
func largeFleetSettings() Settings {
	set := testSettings()
	set.Replicas, set.Limits.Probing = 80, true
	set.Report = Report{Mode: "on_probe", Names: []string{"util", "inflight"}}
	set.Classes[2].Group = GroupAll
	return set
}

// serveRequest lets a request come and be answered after rtt, if it is sent.
func (r *rig) serveRequest(rtt float64) {
	_, actions := r.request(0, 0)
	r.now += rtt
	if a := find(actions, ActSend); a != nil {
		r.outcome(a.Request, 0, a.Server, OK, rtt)
	}
}

// Eighty agents that see answers get slow have no more out together than the servers may
// hold, whatever comes; and more once latency is at the baseline again.
func TestOverloadBoundsAttemptsOfLargeFleet(t *testing.T) {
	const servers, burst = 60, 20
	slow, healthy := 0, 0
	for i := range 80 {
		set := largeFleetSettings()
		set.Index = i
		r := newRig(t, set, servers)
		sent := func() (n int) {
			for range burst {
				if _, actions := r.request(0, 0); find(actions, ActSend) != nil {
					a := find(actions, ActSend)
					defer r.outcome(a.Request, 0, a.Server, OK, 20)
					n++
				}
			}
			r.tick(500) // what was not sent can't be in time any more
			return n
		}
		for range baselineSamples + 10 {
			r.serveRequest(20)
		}
		for range 20 {
			r.serveRequest(140)
		}
		slow += sent()
		for range 200 {
			r.now += 20
			r.serveRequest(20)
		}
		healthy += sent()
	}
	if maxAttempts := 2 * maxServerConcurrency * servers; float64(slow) > maxAttempts || slow < servers {
		t.Errorf("%d attempts in flight at %d overloaded servers, want %d to %v", slow, servers, servers, maxAttempts)
	}
	if healthy <= slow {
		t.Errorf("%d attempts in flight at healthy servers, %d at overloaded ones", healthy, slow)
	}
}

// respondLate lets a server answer one request late, and returns it.
func (r *rig) respondLate(rtt float64) *server {
	r.t.Helper()
	id, s := r.mustSend(0, 7)
	r.now += rtt
	r.outcome(id, 0, s, OK, rtt)
	return r.b.serversByAddr[s]
}

// An agent that meets a server once in a few seconds looks how it is after one answer
// that took half the target, and sends it nothing while it reports too much in flight.
func TestLateResponseStartsValidation(t *testing.T) {
	for _, c := range []struct {
		inflight float32
		want     State
	}{{2, Connected}, {12, Unhealthy}} {
		r := newRig(t, largeFleetSettings(), 4)
		srv := r.respondLate(200)
		_, actions := r.request(0, 7)
		if a := find(actions, ActProbe); a == nil || a.Server != srv.addr {
			t.Fatalf("the server was not validated: %+v", actions)
		}
		if a := find(actions, ActSend); a == nil || a.Server == srv.addr {
			t.Fatalf("the request waited for the probe or went to the server in doubt: %+v", actions)
		}
		r.now += 2
		r.handle(Event{Kind: EvProbeResult, Server: srv.addr, Status: OK, Report: []float32{1, c.inflight}})
		if srv.state != c.want {
			t.Errorf("state %d after a report of %v in flight, want %d", srv.state, c.inflight, c.want)
		}
	}
}

// The same where no answer comes: the request does not have to end first.
func TestMissingResponseStartsValidation(t *testing.T) {
	r := newRig(t, largeFleetSettings(), 4)
	_, s := r.mustSend(0, 7)
	r.tick(160)
	if _, actions := r.request(0, 8); find(actions, ActProbe) == nil || find(actions, ActProbe).Server != s {
		t.Errorf("half a target latency without a response and no probe: %+v", actions)
	}
}

// Attempts that wait at a server found overloaded are cancelled and retried elsewhere, but
// those that must not run twice.
func TestOverloadedServersAttemptsAreCancelled(t *testing.T) {
	for class, retried := range []bool{true, false, true} {
		r := newRig(t, largeFleetSettings(), 4)
		id, s := r.mustSend(class, 7)
		r.tick(160)
		r.request(0, 8)
		actions := r.handle(Event{Kind: EvProbeResult, Server: s, Status: OK, Report: []float32{1, 12}})
		a := find(actions, ActCancel)
		if retried != (a != nil && a.Request == id) {
			t.Fatalf("class %d: cancelled: %v, want %v: %+v", class, a != nil, retried, actions)
		}
		if !retried {
			continue
		}
		actions = r.outcome(id, 0, s, Cancelled, 160)
		if a := find(actions, ActSend); a == nil || a.Request != id || a.Server == s {
			t.Errorf("class %d: did not go elsewhere: %+v", class, actions)
		}
	}
}

// A server found overloaded rests until it can have recovered, however often requests come.
func TestOverloadedServerGetsNothingWhileItRests(t *testing.T) {
	r := newRig(t, largeFleetSettings(), 4)
	srv := r.respondLate(200)
	r.request(0, 8)
	r.handle(Event{Kind: EvProbeResult, Server: srv.addr, Status: OK, Report: []float32{1, 12}})
	contacted := func(until float64) bool {
		for ; r.now < until; r.now += 50 {
			id, actions := r.request(0, 0)
			for _, a := range actions {
				if a.Server == srv.addr && (a.Kind == ActProbe || a.Kind == ActSend) {
					return true
				}
			}
			if a := find(actions, ActSend); a != nil {
				r.outcome(id, 0, a.Server, OK, 20)
			}
		}
		return false
	}
	if from := r.now; contacted(from + 7*r.b.minTarget) {
		t.Errorf("did not rest for 7 target latencies: sent to again after %v ms", r.now-from)
	}
	if from := r.now; !contacted(from + 10*r.b.minTarget) {
		t.Error("not validated again after 17 target latencies")
	}
}

// An overloaded server stays slow until it has been idle. What reports to hold a few
// requests still, after its rest, is left again; what reports hardly any is sent to.
func TestOverloadedServerIsEjectedUntilItIsIdle(t *testing.T) {
	r := newRig(t, largeFleetSettings(), 4)
	srv := r.respondLate(200)
	report := func(inflight float32) {
		t.Helper()
		for ; !srv.probing; r.now += 100 {
			if id, actions := r.request(0, 8); find(actions, ActSend) != nil {
				s := find(actions, ActSend).Server
				if s == srv.addr {
					t.Fatal("sent to the overloaded server")
				}
				r.outcome(id, 0, s, OK, 20)
			}
		}
		r.handle(Event{Kind: EvProbeResult, Server: srv.addr, Status: OK, Report: []float32{1, inflight}})
	}
	report(12)
	report(maxServerConcurrency - 1)
	if srv.state != Unhealthy {
		t.Errorf("state %d with %v in flight after the rest, want %d", srv.state, maxServerConcurrency-1, Unhealthy)
	}
	report(1)
	if srv.state != Connected {
		t.Errorf("state %d once idle, want %d", srv.state, Connected)
	}
	srv = r.respondLate(200) // a healthy one may hold a few
	report(maxServerConcurrency - 1)
	if srv.state != Connected {
		t.Errorf("state %d of a server with %v in flight, want %d", srv.state, maxServerConcurrency-1, Connected)
	}
}
