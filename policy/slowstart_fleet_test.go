package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// slowStartFleet simulates many agents, each with its own Balancer, and servers of which one or more are in
// slow start. Unlike the agents, it knows the capacity of each server in slow start at any time, and counts the
// attempts that all agents send to it.
type slowStartFleet struct {
	rng            *rand.Rand
	set            Settings
	agents         []*fleetAgent
	servers        int
	started        map[Addr]float64 // when the servers in slow start started
	queue          eventQueue
	now            float64
	sent           map[Addr][]fleetSend             // attempts to servers in slow start
	serverCapacity float64                          // requests per ms that a warm server can serve
	status         func(a Addr, now float64) Status // status of an attempt that is sent at the time now
	nextID         RequestID
}

// fleetAgent is one agent of the fleet.
type fleetAgent struct {
	b        *Balancer
	rate     float64       // requests per ms
	notified map[Addr]bool // servers of whose start the agent was notified
}

// fleetSend is an attempt sent to a server in slow start.
type fleetSend struct {
	at       float64
	notified bool // whether the agent had been notified of the server's start
}

// fleetEvent is a scheduled function call, at a time in ms.
type fleetEvent struct {
	at float64
	do func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []fleetEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(fleetEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// after schedules a function call ms from now.
func (f *slowStartFleet) after(ms float64, do func()) {
	heap.Push(&f.queue, fleetEvent{f.now + ms, do})
}

// run advances the fleet to a time in ms.
func (f *slowStartFleet) run(to float64) {
	for len(f.queue) > 0 && f.queue[0].at <= to {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = to
}

// newSlowStartFleet returns a fleet whose requests use the fraction load of the servers' capacity.
func newSlowStartFleet(t *testing.T, seed uint64, agents, servers int, load float64, set Settings) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{rng: rand.New(rand.NewPCG(seed, 1)), set: set, servers: servers, now: 1e6,
		started: map[Addr]float64{}, sent: map[Addr][]fleetSend{}, serverCapacity: 0.012,
		status: func(Addr, float64) Status { return OK }}
	f.set.Replicas = agents
	total := 0.0
	for i := range agents {
		f.agents = append(f.agents, &fleetAgent{notified: map[Addr]bool{}, rate: 0.2 + f.rng.ExpFloat64()})
		total += f.agents[i].rate
	}
	for i, a := range f.agents {
		a.rate *= load * f.serverCapacity * float64(servers) / total
		f.restart(t, i)
		f.after(f.rng.ExpFloat64()/a.rate, func() { f.request(a) })
	}
	return f
}

// restart starts agent i as a new process that has the current list.
func (f *slowStartFleet) restart(t *testing.T, i int) {
	set := f.set
	set.Index = i
	b, err := New(set, f.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	f.agents[i].b = b
	f.apply(f.agents[i], b, b.Start(f.now, nil))
	for s := range f.started {
		f.agents[i].notified[s] = true
	}
	entries := make([]Entry, f.servers)
	for s := range entries {
		entries[s] = Entry{Server: addr(s), Health: Ready, Weight: 1, StartedMs: f.started[addr(s)]}
	}
	f.apply(f.agents[i], b, b.Handle(f.now, &Event{Kind: EvList, List: ListCached, Entries: entries}, nil))
}

// startServer starts server s. Each agent is notified within the given time in ms.
func (f *slowStartFleet) startServer(s int, within float64) {
	f.started[addr(s)] = f.now
	e := Entry{Server: addr(s), Health: Ready, Weight: 1, StartedMs: f.now}
	for _, a := range f.agents {
		f.after(f.rng.Float64()*within, func() {
			a.notified[addr(s)] = true
			f.apply(a, a.b, a.b.Handle(f.now, &Event{Kind: EvList, List: ListChange, Entries: []Entry{e}}, nil))
		})
	}
}

// request sends one request to the agent and schedules the next one.
func (f *slowStartFleet) request(a *fleetAgent) {
	f.nextID++
	// Some keys are far more popular than the rest.
	key := 1 + uint64(math.Pow(f.rng.Float64(), 3)*1000)
	f.apply(a, a.b, a.b.Handle(f.now, &Event{Kind: EvRequest, Request: f.nextID, Class: 0, Key: key, RemainingMs: 5000}, nil))
	f.after(f.rng.ExpFloat64()/a.rate, func() { f.request(a) })
}

// apply carries out the actions of one process of an agent.
func (f *slowStartFleet) apply(a *fleetAgent, b *Balancer, actions []Action) {
	for _, act := range actions {
		switch act.Kind {
		case ActTimer:
			f.after(act.Ms, func() { f.handle(a, b, Event{Kind: EvTimer, Token: act.Token}) })
		case ActSend:
			f.send(a, b, act)
		case ActProbe:
			f.after(2, func() { f.handle(a, b, Event{Kind: EvProbeResult, Server: act.Server, Status: OK}) })
		}
	}
}

// handle passes an event to one process of an agent, unless the agent has restarted since.
func (f *slowStartFleet) handle(a *fleetAgent, b *Balancer, ev Event) {
	if a.b == b {
		f.apply(a, b, b.Handle(f.now, &ev, nil))
	}
}

// send schedules the outcome of an attempt.
func (f *slowStartFleet) send(a *fleetAgent, b *Balancer, act Action) {
	took, status := 20+f.rng.ExpFloat64()*60, f.status(act.Server, f.now)
	if since, ok := f.started[act.Server]; ok {
		f.sent[act.Server] = append(f.sent[act.Server], fleetSend{f.now, a.notified[act.Server]})
		took /= f.slowStartFactor(f.now - since)
	}
	if status != OK {
		took = 5
	}
	attempt := 0
	if r := b.requests[act.Request]; r != nil {
		attempt = len(r.attempts) - 1
	}
	f.after(took, func() {
		f.handle(a, b, Event{Kind: EvOutcome, Request: act.Request, Attempt: attempt, Server: act.Server,
			Status: status, LatencyMs: took, Final: status == OK})
	})
}

// slowStartFactor returns the fraction of its capacity that a server has at an age in ms.
func (f *slowStartFleet) slowStartFactor(age float64) float64 {
	return min(f.set.Contract.SlowStartFrom+(1-f.set.Contract.SlowStartFrom)*age/f.set.Contract.SlowStartMs, 1)
}

// worstWindow returns the number of calls beyond N, the calls that a server in slow start can handle in a crash
// window, in the worst window of any server. It is a fraction of the slack for random variation, 2*sqrt(N) + 2:
// above 1 the server is overloaded. A window is ignored if a third or more of its calls came from agents that
// were not notified of the start.
func (f *slowStartFleet) worstWindow() (worst float64, where string) {
	c := f.set.Contract
	for s, sends := range f.sent {
		for i, first := range sends {
			calls, notified := 0, 0
			for _, x := range sends[i:] {
				if x.at > first.at+c.CrashWindowMs {
					break
				}
				if calls++; x.notified {
					notified++
				}
			}
			age := first.at - f.started[s]
			n := c.CrashLoadMultiple * f.slowStartFactor(age) * f.serverCapacity * c.CrashWindowMs
			if x := (float64(calls) - n) / (2*math.Sqrt(n) + 2); x > worst && 3*notified > 2*calls {
				worst = x
				where = fmt.Sprintf("%d calls, %d of them notified, in %.0f ms, %.1f s after the start, N %.1f",
					calls, notified, c.CrashWindowMs, age/1000, n)
			}
		}
	}
	return worst, where
}

// scaleLoad multiplies the request rate by factor.
func (f *slowStartFleet) scaleLoad(factor float64) {
	for _, a := range f.agents {
		a.rate *= factor
	}
}
