package policy

import "testing"

func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	for _, st := range []Status{Error, Timeout, Reset, Cancelled} {
		r := newRig(t, testSettings(), 3)
		id, s := r.mustSend(1, 5)
		actions := r.outcome(id, 0, s, st, 50)
		if find(actions, ActSend) != nil || find(actions, ActReject) != nil || find(actions, ActFail) == nil {
			t.Errorf("status %d: want only ActFail, got %+v", st, actions)
		}
	}
	r := newRig(t, testSettings(), 3)
	id, s := r.mustSend(1, 5)
	if actions := r.outcome(id, 0, s, ConnectFailed, 50); find(actions, ActSend) == nil {
		t.Errorf("an attempt that was not executed was not retried: %+v", actions)
	}
}

func TestDeduplicatedRetryKeepsToGroupAndWindow(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	id, s := r.mustSend(2, 5)
	actions := r.outcome(id, 0, s, Error, 20)
	a := find(actions, ActSend)
	if a == nil || r.b.serversByAddr[a.Server].cell != r.b.serversByAddr[s].cell {
		t.Fatalf("the retry of a deduplicated request left its cell: %+v", actions)
	}
	r.now += 346 // within the window of 500 ms, but not within the window less the margins
	actions = r.outcome(id, 1, a.Server, Error, 20)
	if find(actions, ActSend) != nil || find(actions, ActFail) == nil && len(r.b.queued) == 0 {
		t.Errorf("a retry was sent after its deduplication window: %+v", actions)
	}
}

// A retry carries the time by which its last byte must be written to arrive within the deduplication window
// of the first attempt. A request whose window is over is answered immediately instead of staying queued
// until its deadline.
func TestRetryHasSendDeadlineOfDedupWindow(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	id, actions := r.request(2, 5)
	first := find(actions, ActSend)
	if first == nil || first.SendByMs != 0 {
		t.Fatalf("the first attempt has a send deadline: %+v", first)
	}
	r.now += 200
	a := find(r.outcome(id, 0, first.Server, Error, 20), ActSend)
	if want := 500 - 200 - 150 - 2*5.0; a == nil || a.SendByMs != want {
		t.Fatalf("the retry is %+v, want a send deadline of %.0f ms", a, want)
	}
	r.now += 50
	if a = find(r.outcome(id, 1, a.Server, ConnectFailed, 20), ActSend); a == nil || a.SendByMs != 90 {
		t.Fatalf("the retry after a failed connect is %+v, want a send deadline of 90 ms", a)
	}
	r.now += 90
	if actions = r.outcome(id, 2, a.Server, ConnectFailed, 20); find(actions, ActFail) == nil {
		t.Fatalf("not answered at the end of the window: %+v", actions)
	}
	// The window starts with the first attempt that may have been executed, not with a failed connect.
	r = newRig(t, testSettings(), 6)
	id, actions = r.request(2, 6)
	first = find(actions, ActSend)
	r.now += 100
	if a = find(r.outcome(id, 0, first.Server, ConnectFailed, 20), ActSend); a == nil || a.SendByMs != 0 {
		t.Fatalf("send deadline after an attempt that was not executed: %+v", a)
	}
	// A request that waits for capacity is also answered at the end of its window.
	set := testSettings()
	set.Classes[2].DedupWindowMs = 250
	r = newRig(t, set, 6)
	id, actions = r.request(2, 5)
	first = find(actions, ActSend)
	cell := r.b.serversByAddr[first.Server].cell
	for i := range 6 {
		if i%2 == cell {
			r.handleList(ListChange, Entry{Server: addr(i), Health: Draining, Weight: 1, Cell: cell, Zone: cell})
		}
	}
	if actions = r.outcome(id, 0, first.Server, Error, 20); find(actions, ActSend) != nil || len(r.b.queued) != 1 {
		t.Fatalf("not queued: %+v", actions)
	}
	if find(r.tick(89), ActFail) != nil {
		t.Fatal("failed within its window")
	}
	if find(r.tick(1), ActFail) == nil {
		t.Fatal("still queued after its window")
	}
}

func TestDrainingAndRemovedServersGetNothing(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	r.handleList(ListChange, Entry{Server: addr(0), Health: Draining, Weight: 1})
	for key := range uint64(20) {
		id, s := r.mustSend(0, key+1)
		if s == addr(0) {
			t.Fatal("sent to a draining server")
		}
		r.outcome(id, 0, s, OK, 20)
	}
	r.handleList(ListFull, Entry{Server: addr(0), Health: Ready, Weight: 1})
	for key := range uint64(20) {
		id, s := r.mustSend(0, key+1)
		if s == addr(1) {
			t.Fatal("sent to a server removed from the list")
		}
		r.outcome(id, 0, s, OK, 20)
	}
}

// Once a streamed response has begun, its request is neither retried nor answered again.
func TestStartedStreamIsNotRetried(t *testing.T) {
	set := testSettings()
	set.Classes[0].Streamed = true
	r := newRig(t, set, 4)
	id, s := r.mustSend(0, 3)
	r.now += 30
	r.handle(Event{Kind: EvResponseStarted, Request: id, Attempt: 0, Server: s, LatencyMs: 30})
	for range 200 {
		for _, a := range r.tick(10) {
			if a.Request == id && a.Kind != ActTimer {
				t.Fatalf("action %+v for a request whose response is being streamed", a)
			}
		}
	}
	actions := r.handle(Event{Kind: EvOutcome, Request: id, Attempt: 0, Server: s, Status: Reset, LatencyMs: 2000, Final: true})
	if find(actions, ActSend) != nil || find(actions, ActFail) != nil || len(r.b.requests) != 0 {
		t.Errorf("after a broken stream: %+v, %d requests kept", actions, len(r.b.requests))
	}
}

// Idle connections are closed where keeping them costs more than opening new ones. In case i5db14f,
// a thousand agents that each sent to every server kept 400 connections per server open.
func TestIdleConnectionsAreClosedWhereTheyCostMore(t *testing.T) {
	for _, c := range []struct {
		agents                int
		connection, handshake float64
		closes                bool
	}{{1000, 0.08, 0.08, true}, {5, 0.08, 0.08, false}, {1000, 0, 0.08, false}, {5, 0.08, 0, true}} {
		set := testSettings()
		set.Replicas, set.Prices.Connection, set.Prices.Handshake = c.agents, c.connection, c.handshake
		r := newRig(t, set, 4)
		closed := 0
		for i := range 400 {
			r.now += 20
			id, s := r.mustSend(0, r.b.rng.Uint64())
			if a := find(r.outcome(id, 0, s, OK, 10), ActClose); a != nil && i >= 200 {
				if closed++; a.Server != s {
					t.Fatalf("closed connections to %v, want to the idle %v", a.Server, s)
				}
			}
		}
		if c.closes != (closed > 150) || !c.closes && closed > 50 {
			t.Errorf("%+v: %d of 200 idle connections closed", c, closed)
		}
	}
}
