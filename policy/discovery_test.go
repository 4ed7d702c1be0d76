package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestWatchIsRequestedAgainAfterFailures(t *testing.T) {
	set := testSettings()
	set.Membership = "on_request"
	b, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	first := find(b.Start(0, nil), ActTimer)
	if first == nil || first.Ms > set.Contract.ListPollWithinMs {
		t.Fatalf("no subscription within the contract's time: %+v", first)
	}
	if find(b.Handle(first.Ms, &Event{Kind: EvTimer, Token: first.Token}, nil), ActWatchList) == nil {
		t.Fatal("the timer did not subscribe")
	}
	now := first.Ms
	for range 8 {
		again := find(b.Handle(now, &Event{Kind: EvList, List: ListFailed}, nil), ActTimer)
		if again == nil || again.Ms > set.Contract.ListPollWithinMs {
			t.Fatalf("a failed call was not repeated in the contract's time: %+v", again)
		}
		if second := find(b.Handle(now, &Event{Kind: EvList, List: ListFailed}, nil), ActTimer); second != nil {
			t.Fatalf("two calls are scheduled: %+v, %+v", again, second)
		}
		now += again.Ms // when the next call is due
		if find(b.Handle(now-2, &Event{Kind: EvTimer, Token: again.Token}, nil), ActWatchList) != nil {
			t.Fatal("subscribed before the call was due")
		}
		if find(b.Handle(now, &Event{Kind: EvTimer, Token: again.Token}, nil), ActWatchList) == nil {
			t.Fatal("the timer did not subscribe again")
		}
	}
}

// An agent calls discovery soon after discovery returns from a long outage: it counts as notified of pending
// changes even while it is still backing off.
func TestWatchIsRequestedSoonAfterManyFailures(t *testing.T) {
	set := testSettings()
	set.Membership = "on_request"
	r := newRig(t, set, 1)
	r.now += 10000
	r.handle(Event{Kind: EvTimer, Token: watchToken})
	for range 20 {
		again := find(r.handleList(ListFailed), ActTimer)
		if again == nil || again.Token != watchToken || again.Ms > set.Contract.ListPollWithinMs/5 {
			t.Fatalf("next call too late: %+v", again)
		}
		r.now += again.Ms
		r.handle(Event{Kind: EvTimer, Token: watchToken})
	}
}

// watchingFleet simulates many agents that share a discovery service that answers no call.
type watchingFleet struct {
	t         *testing.T
	balancers []*Balancer
	callsAt   []float64 // when each agent's next call is due, in ms
}

// newWatchingFleet starts agents that all have the same list of two servers.
func newWatchingFleet(t *testing.T, agents int) *watchingFleet {
	t.Helper()
	set := testSettings()
	set.Membership, set.Replicas = "on_request", agents
	set.Contract.ListPollWithinMs = 10000
	f := &watchingFleet{t: t, balancers: make([]*Balancer, agents), callsAt: make([]float64, agents)}
	for i := range f.balancers {
		set.Index = i
		b, err := New(set, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		f.balancers[i] = b
		f.schedule(i, 0, b.Start(0, nil))
		b.Handle(0, &Event{Kind: EvList, List: ListCached, Entries: []Entry{
			{Server: addr(0), Health: Ready, Weight: 1}, {Server: addr(1), Health: Ready, Weight: 1}}}, nil)
	}
	return f
}

// schedule stores when the next call of agent i is due, as set by its actions.
func (f *watchingFleet) schedule(i int, now float64, actions []Action) {
	if timer := find(actions, ActTimer); timer != nil {
		f.callsAt[i] = now + timer.Ms
	}
}

// failCalls fails all calls that are due, and returns their number.
func (f *watchingFleet) failCalls(now float64) (calls int) {
	f.t.Helper()
	for i, b := range f.balancers {
		if now < f.callsAt[i] {
			continue
		}
		f.callsAt[i] = math.Inf(1)
		if find(b.Handle(now, &Event{Kind: EvTimer, Token: watchToken}, nil), ActWatchList) == nil {
			f.t.Fatalf("agent %d did not subscribe", i)
		}
		calls++
		f.schedule(i, now, b.Handle(now, &Event{Kind: EvList, List: ListFailed}, nil))
	}
	return calls
}

// failRequests fails one request of each agent, and returns how many full lists they fetch as a result.
func (f *watchingFleet) failRequests(now float64) (fetches int) {
	for _, b := range f.balancers {
		send := find(b.Handle(now, &Event{Kind: EvRequest, Request: 1, RemainingMs: 600}, nil), ActSend)
		for _, a := range b.Handle(now, &Event{Kind: EvOutcome, Request: 1, Server: send.Server, Status: Error}, nil) {
			if a.Kind == ActFetchList {
				fetches++
			}
		}
	}
	return fetches
}

// Eighty agents that start together, and whose calls all fail, call discovery so rarely that it could answer
// all calls in its queue.
func TestManyAgentsSpreadTheirCallsToDiscovery(t *testing.T) {
	// A change counts as notified 6 s after discovery's return, which requires one call of every agent per
	// 4 s: 20 calls per second. A single second may have half as many more, but not every second.
	const (
		agents, step, seconds  = 80, 10, 60
		settled                = 10 // seconds after which the initial calls are spread out
		maxCallsAtTheStart     = 60 // per second
		maxCalls, maxMeanCalls = 36, 25
	)
	f := newWatchingFleet(t, agents)
	var calls [seconds]int
	for now := 0.0; now < seconds*1000; now += step {
		calls[int(now/1000)] += f.failCalls(now)
		if now == 4000 { // one server fails requests of all agents at once
			if fetches := f.failRequests(now); fetches > 0 {
				t.Errorf("%d agents fetched the full list after one failure", fetches)
			}
		}
	}
	settledCalls := 0
	for s, n := range calls {
		if n > maxCallsAtTheStart || s >= settled && n > maxCalls {
			t.Errorf("second %d: %d calls to discovery", s, n)
		}
		if s >= settled {
			settledCalls += n
		}
	}
	if mean := float64(settledCalls) / (seconds - settled); mean > maxMeanCalls {
		t.Errorf("%.1f calls per second to an unavailable discovery", mean)
	}
}

// A granted subscription that ended is requested again within 200 ms, as a change after its end counts as
// notified 2 s later. The exception is a subscription that was requested less than half a second ago.
func TestServedWatchIsRequestedAgainAtOnce(t *testing.T) {
	for _, c := range []struct {
		servedMs, minWait, maxWait float64 // ms
	}{
		{0, 500, 1000}, // calls are at least half a second apart
		{300, 200, 700},
		{1000, 0, servedWatchBackoff},
		{60000, 0, servedWatchBackoff},
	} {
		for seed := range uint64(50) {
			set := testSettings()
			set.Membership, set.Contract.ListPollWithinMs = "on_request", 10000
			b, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := find(b.Start(0, nil), ActTimer).Ms
			if find(b.Handle(now, &Event{Kind: EvTimer, Token: watchToken}, nil), ActWatchList) == nil {
				t.Fatal("did not subscribe")
			}
			b.Handle(now, &Event{Kind: EvList, List: ListChange}, nil)
			now += c.servedMs
			wait := find(b.Handle(now, &Event{Kind: EvList, List: ListFailed}, nil), ActTimer).Ms
			if wait < c.minWait || wait > c.maxWait {
				t.Fatalf("seed %d: subscription lasted %.0f ms, requested again after %.0f ms, want %.0f to %.0f ms", seed, c.servedMs, wait, c.minWait, c.maxWait)
			}
		}
	}
}

// When the immediate call after a granted subscription is rejected, the next call follows within a second, in
// fleets of any size: no later than if the agent had waited before the first call.
func TestRejectedCallAfterAServedWatch(t *testing.T) {
	for _, agents := range []int{1, 40, 300} {
		for seed := range uint64(50) {
			set := testSettings()
			set.Membership, set.Contract.ListPollWithinMs, set.Replicas = "on_request", 10000, agents
			b, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := find(b.Start(0, nil), ActTimer).Ms
			b.Handle(now, &Event{Kind: EvTimer, Token: watchToken}, nil)
			b.Handle(now, &Event{Kind: EvList, List: ListChange}, nil)
			ended := now + 3000
			now = ended
			for range 2 {
				now += find(b.Handle(now, &Event{Kind: EvList, List: ListFailed}, nil), ActTimer).Ms
				b.Handle(now, &Event{Kind: EvTimer, Token: watchToken}, nil)
			}
			if elapsed := now - ended; elapsed > servedWatchBackoff+1000 {
				t.Fatalf("%d agents, seed %d: the second call came %.0f ms after the subscription ended", agents, seed, elapsed)
			}
			third := find(b.Handle(now, &Event{Kind: EvList, List: ListFailed}, nil), ActTimer).Ms
			if minWait := min(2000*float64(agents)/frequentWatchers, maxWatchInterval) / 2; agents >= 40 && third < minWait {
				t.Fatalf("%d agents: the third call comes after %.0f ms, want at least %.0f ms", agents, third, minWait)
			}
		}
	}
}

// However many calls failed, and however long each took to fail, each call starts within 4 s of the start of
// the call before it, because the agent counts as notified 6 s after discovery became reachable. The total call
// rate of all agents stays low.
func TestEachCallIsRepeatedInTime(t *testing.T) {
	for _, agents := range []int{1, 5, 20, 80, 300} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			const seconds = 120
			set := testSettings()
			set.Membership, set.Replicas = "on_request", agents
			set.Contract.ListPollWithinMs = 10000
			var calls [seconds + 10]int
			for i := range agents {
				set.Index = i
				b, err := New(set, uint64(i+1))
				if err != nil {
					t.Fatal(err)
				}
				rng := rand.New(rand.NewPCG(uint64(i), 7))
				at := find(b.Start(0, nil), ActTimer).Ms
				for last := 0.0; at < seconds*1000; {
					if find(b.Handle(at, &Event{Kind: EvTimer, Token: watchToken}, nil), ActWatchList) == nil {
						t.Fatalf("agent %d did not subscribe", i)
					}
					if at-last > 4000 {
						t.Fatalf("agent %d called at %.0f ms and then only at %.0f ms", i, last, at)
					}
					calls[int(at/1000)]++
					last = at
					// Rejected immediately, rejected after queueing, or timed out.
					at += []float64{0, 1000, 2000, 3500}[rng.IntN(4)]
					at += find(b.Handle(at, &Event{Kind: EvList, List: ListFailed}, nil), ActTimer).Ms
				}
			}
			for s, n := range calls[:seconds] {
				if maxCalls := 0.75*float64(agents) + 3; s >= 10 && float64(n) > maxCalls {
					t.Errorf("second %d: %d calls of %d agents", s, n, agents)
				}
			}
		})
	}
}
