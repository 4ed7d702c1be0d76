package policy

import (
	"fmt"
	"math"
	"testing"
)

func ExampleBalancer() {
	settings := Settings{
		Classes:    []Class{{Name: "read", TargetMs: 200, DeadlineMs: 800, Effect: Idempotent, Credit: 1}},
		Limits:     Limits{MaxAttempts: 3},
		Membership: "pushed",
		RoundMs:    5,
	}
	b, err := New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0
	b.Start(now, nil)
	list := []Entry{{Server: Addr{10, 0, 0, 1, 0x1f, 0x90}, Health: Ready, Weight: 1}}
	b.Handle(now, &Event{Kind: EvList, List: ListFull, Entries: list}, nil)
	for _, a := range b.Handle(now, &Event{Kind: EvRequest, Request: 1, Key: 7, RemainingMs: 800}, nil) {
		if a.Kind == ActSend {
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output: send request 1 to [10 0 0 1 31 144]
}

// Valid but extreme values must not corrupt the learned state, and each request is answered once.
func TestNonFiniteInputsKeepTheStateFinite(t *testing.T) {
	extremes := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300}
	r := newRig(t, testSettings(), 3)
	r.handleList(ListChange, Entry{Server: addr(9), Health: Gone}, Entry{Server: addr(1), Health: Draining})
	finals := map[RequestID]int{}
	count := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == ActReject || a.Kind == ActFail {
				finals[a.Request]++
			}
		}
	}
	for i, x := range extremes {
		r.handleList(ListChange, Entry{Server: addr(2), Health: Ready, Weight: x, StartedMs: x})
		for _, class := range []int{-1, 0, 1, 2, 3, 1 << 16} {
			r.id++
			actions := r.handle(Event{Kind: EvRequest, Request: r.id, Class: class, Tenant: -i, Key: 5, RemainingMs: x, HintMs: x, HasHint: true})
			count(actions)
			if a := find(actions, ActSend); a != nil {
				r.now++
				st := []Status{OK, Error, Timeout}[i%3]
				finals[r.id] += map[Status]int{OK: 1}[st]
				count(r.outcome(r.id, 0, a.Server, st, x))
				count(r.outcome(r.id, 0, a.Server, st, x))
				count(r.outcome(r.id, -1, a.Server, st, x))
			}
		}
	}
	for range 300 {
		r.now += 10
		count(r.handle(Event{Kind: EvTimer, Token: tickToken}))
		for id := RequestID(1); id <= r.id; id++ { // end the retries as well
			if q := r.b.requests[id]; q != nil && q.openAttempts > 0 {
				a := q.attempts[len(q.attempts)-1]
				count(r.outcome(id, a.index, a.server.addr, Timeout, 10))
			}
		}
	}
	for id := RequestID(1); id <= r.id; id++ {
		if finals[id] > 1 || finals[id] == 0 && r.b.requests[id] == nil {
			t.Errorf("request %d has %d final answers", id, finals[id])
		}
	}
	if x := r.b.fleetLatency + r.b.meanCostHint + r.b.hintedLatencies.meanX + r.b.baselineLatency + r.b.classLatency[0]; math.IsNaN(x) || math.IsInf(x, 0) {
		t.Errorf("extreme values corrupted the means: %v", x)
	}
}

// The clock may start at any value, and a request may arrive with no time left. Each such request is answered
// once, and ordinary requests are served as usual.
func TestAnyClockStartAndNoTimeLeft(t *testing.T) {
	for _, start := range []float64{-1e7, 0, 1e13} {
		b, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: start}
		b.Start(start, nil)
		r.handleList(ListCached, Entry{Server: addr(0), Health: Ready, Weight: 1}, Entry{Server: addr(1), Health: Ready, Weight: 1})
		for _, leftMs := range []float64{0, -5, 600} {
			r.id++
			finals, actions := 0, r.handle(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: 3, RemainingMs: leftMs})
			a := find(actions, ActSend)
			if (a != nil) != (leftMs > 0) {
				t.Fatalf("clock %v, %v ms left: sent %v", start, leftMs, a != nil)
			}
			if a != nil {
				r.now += 20
				r.outcome(r.id, 0, a.Server, OK, 20)
				finals++
			}
			for range 3 {
				for _, a := range append(actions, r.tick(10)...) {
					if a.Request == r.id && (a.Kind == ActReject || a.Kind == ActFail) {
						finals++
					}
				}
				actions = nil
			}
			if finals != 1 || r.b.requests[r.id] != nil {
				t.Errorf("clock %v, %v ms left: %d final answers", start, leftMs, finals)
			}
		}
	}
}
