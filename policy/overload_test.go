package policy

import "testing"

// largeFleetSettings returns the settings of a large fleet whose servers report their requests in flight
// when probed.
func largeFleetSettings() Settings {
	set := testSettings()
	set.Replicas, set.Limits.Probing = 80, true
	set.Report = Report{Mode: "on_probe", Names: []string{"util", "inflight"}}
	set.Classes[2].Group = GroupAll
	return set
}

// serveRequest handles a request and, if it is sent, its response after rtt.
func (r *rig) serveRequest(rtt float64) {
	_, actions := r.request(0, 0)
	r.now += rtt
	if a := find(actions, ActSend); a != nil {
		r.outcome(a.Request, 0, a.Server, OK, rtt)
	}
}

// However many requests arrive, eighty agents that see rising latency together have no more attempts in flight
// than the servers may have. Once latency is back at the baseline, they may have more.
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
			r.tick(500) // too late for the requests that are still queued
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

// respondLate has a server respond to one request late, and returns the server.
func (r *rig) respondLate(rtt float64) *server {
	r.t.Helper()
	id, s := r.mustSend(0, 7)
	r.now += rtt
	r.outcome(id, 0, s, OK, rtt)
	return r.b.serversByAddr[s]
}

// An agent that sends to a server every few seconds probes the server after a single response that took half the
// target, and sends nothing while the server reports too many requests in flight.
func TestLateResponseStartsValidation(t *testing.T) {
	for _, c := range []struct {
		inflight float32
		want     State
	}{{2, Connected}, {12, Unhealthy}} {
		r := newRig(t, largeFleetSettings(), 4)
		srv := r.respondLate(200)
		_, actions := r.request(0, 7)
		if a := find(actions, ActProbe); a == nil || a.Server != srv.addr {
			t.Fatalf("the server was not probed: %+v", actions)
		}
		if a := find(actions, ActSend); a == nil || a.Server == srv.addr {
			t.Fatalf("the request waited for the probe or went to the pending server: %+v", actions)
		}
		r.now += 2
		r.handle(Event{Kind: EvProbeResult, Server: srv.addr, Status: OK, Report: []float32{1, c.inflight}})
		if srv.state != c.want {
			t.Errorf("state %d after a report of %v in flight, want %d", srv.state, c.inflight, c.want)
		}
	}
}

// An agent probes a server when a response is missing after half the target, before the request times out.
func TestMissingResponseStartsValidation(t *testing.T) {
	r := newRig(t, largeFleetSettings(), 4)
	_, s := r.mustSend(0, 7)
	r.tick(160)
	if _, actions := r.request(0, 8); find(actions, ActProbe) == nil || find(actions, ActProbe).Server != s {
		t.Errorf("no probe after half a target latency without a response: %+v", actions)
	}
}

// Attempts in flight to a server found overloaded are cancelled and retried elsewhere, except
// non-idempotent ones.
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
			t.Errorf("class %d: not retried on another server: %+v", class, actions)
		}
	}
}

// A server found overloaded gets nothing for as long as its recovery takes, however many requests arrive.
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
		t.Errorf("contacted again within 7 target latencies, after %v ms", r.now-from)
	}
	if from := r.now; !contacted(from + 10*r.b.minTarget) {
		t.Error("not contacted again within 17 target latencies")
	}
}

// An overloaded server stays slow until it has been idle. After its ejection, it is ejected again if it still
// reports a few requests in flight, and gets requests if it reports at most one.
func TestOverloadedServerIsEjectedUntilItIsIdle(t *testing.T) {
	r := newRig(t, largeFleetSettings(), 4)
	srv := r.respondLate(200)
	report := func(inflight float32) {
		t.Helper()
		for ; !srv.probing; r.now += 100 {
			if id, actions := r.request(0, 8); find(actions, ActSend) != nil {
				s := find(actions, ActSend).Server
				if s == srv.addr {
					t.Fatal("a request was sent to the overloaded server")
				}
				r.outcome(id, 0, s, OK, 20)
			}
		}
		r.handle(Event{Kind: EvProbeResult, Server: srv.addr, Status: OK, Report: []float32{1, inflight}})
	}
	report(12)
	report(maxServerConcurrency - 1)
	if srv.state != Unhealthy {
		t.Errorf("state %d with %v in flight after the ejection, want %d", srv.state, maxServerConcurrency-1, Unhealthy)
	}
	report(1)
	if srv.state != Connected {
		t.Errorf("state %d once idle, want %d", srv.state, Connected)
	}
	srv = r.respondLate(200) // a healthy server may have a few requests in flight
	report(maxServerConcurrency - 1)
	if srv.state != Connected {
		t.Errorf("state %d of a server with %v in flight, want %d", srv.state, maxServerConcurrency-1, Connected)
	}
}
