package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// slowStartFleet plays many agents, each with a module of its own, against servers of which one or
// more are cold. It knows what a cold server can do at any moment, which the agents don't, and
// counts what all of them send it.
type slowStartFleet struct {
	rng     *rand.Rand
	set     Settings
	agents  []*fleetAgent
	servers int
	cold    map[Addr]float64 // when it started
	queue   eventQueue
	now     float64
	sent    map[Addr][]fleetSend // to cold ones
	full    float64              // requests a warm server can serve in a ms
	fails   func(a Addr, now float64) Status
	nextID  RequestID
}

type fleetAgent struct {
	b        *Balancer
	rate     float64       // requests a ms
	notified map[Addr]bool // of the starts
}

type fleetSend struct {
	at       float64
	notified bool // its agent knew of the start
}

type fleetEvent struct {
	at float64
	do func()
}

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

func (f *slowStartFleet) after(ms float64, do func()) {
	heap.Push(&f.queue, fleetEvent{f.now + ms, do})
}

func (f *slowStartFleet) run(to float64) {
	for len(f.queue) > 0 && f.queue[0].at <= to {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = to
}

func newSlowStartFleet(t *testing.T, seed uint64, agents, servers int, load float64, set Settings) *slowStartFleet {
	f := &slowStartFleet{rng: rand.New(rand.NewPCG(seed, 1)), set: set, servers: servers, now: 1e6,
		cold: map[Addr]float64{}, sent: map[Addr][]fleetSend{}, full: 0.012,
		fails: func(Addr, float64) Status { return OK }}
	f.set.Replicas = agents
	total := 0.0
	for i := range agents {
		f.agents = append(f.agents, &fleetAgent{notified: map[Addr]bool{}, rate: 0.2 + f.rng.ExpFloat64()})
		total += f.agents[i].rate
	}
	for i, a := range f.agents {
		a.rate *= load * f.full * float64(servers) / total
		f.restart(t, i)
		f.after(f.rng.ExpFloat64()/a.rate, func() { f.request(a) })
	}
	return f
}

// restart gives an agent a new process, which has the list as it is.
func (f *slowStartFleet) restart(t *testing.T, i int) {
	set := f.set
	set.Index = i
	b, err := New(set, f.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	f.agents[i].b = b
	f.act(f.agents[i], b, b.Start(f.now, nil))
	for s := range f.cold {
		f.agents[i].notified[s] = true
	}
	entries := make([]Entry, f.servers)
	for s := range entries {
		entries[s] = Entry{Server: addr(s), Health: Ready, Weight: 1, StartedMs: f.cold[addr(s)]}
	}
	f.act(f.agents[i], b, b.Handle(f.now, &Event{Kind: EvList, List: ListCached, Entries: entries}, nil))
}

// begin lets a server start anew, which all agents learn within so long.
func (f *slowStartFleet) begin(s int, within float64) {
	f.cold[addr(s)] = f.now
	e := Entry{Server: addr(s), Health: Ready, Weight: 1, StartedMs: f.now}
	for _, a := range f.agents {
		f.after(f.rng.Float64()*within, func() {
			a.notified[addr(s)] = true
			f.act(a, a.b, a.b.Handle(f.now, &Event{Kind: EvList, List: ListChange, Entries: []Entry{e}}, nil))
		})
	}
}

func (f *slowStartFleet) request(a *fleetAgent) {
	f.nextID++
	// Some keys are asked for far more often than the rest.
	key := 1 + uint64(math.Pow(f.rng.Float64(), 3)*1000)
	f.act(a, a.b, a.b.Handle(f.now, &Event{Kind: EvRequest, Request: f.nextID, Class: 0, Key: key, RemainingMs: 5000}, nil))
	f.after(f.rng.ExpFloat64()/a.rate, func() { f.request(a) })
}

func (f *slowStartFleet) act(a *fleetAgent, b *Balancer, actions []Action) {
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

// handle tells an agent's process something, if it still is the one.
func (f *slowStartFleet) handle(a *fleetAgent, b *Balancer, ev Event) {
	if a.b == b {
		f.act(a, b, b.Handle(f.now, &ev, nil))
	}
}

func (f *slowStartFleet) send(a *fleetAgent, b *Balancer, act Action) {
	took, status := 20+f.rng.ExpFloat64()*60, f.fails(act.Server, f.now)
	if since, ok := f.cold[act.Server]; ok {
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

func (f *slowStartFleet) slowStartFactor(age float64) float64 {
	return min(f.set.Contract.SlowStartFrom+(1-f.set.Contract.SlowStartFrom)*age/f.set.Contract.SlowStartMs, 1)
}

// worst is how many calls beyond N the cold servers got in the worst window, as a part of what
// is given to chance: over 1 is a fall. One of which a third came from agents that knew nothing
// of the start is not theirs.
func (f *slowStartFleet) worst() (worst float64, where string) {
	c := f.set.Contract
	for s, sends := range f.sent {
		for i, first := range sends {
			calls, notified := 0, 0
			for _, x := range sends[i:] {
				if x.at > first.at+c.TipAfterMs {
					break
				}
				if calls++; x.notified {
					notified++
				}
			}
			age := first.at - f.cold[s]
			n := c.FallMultiple * f.slowStartFactor(age) * f.full * c.TipAfterMs
			if x := (float64(calls) - n) / (2*math.Sqrt(n) + 2); x > worst && 3*notified > 2*calls {
				worst = x
				where = fmt.Sprintf("%d calls, %d of them notified, in %.0f ms, %.1f s after the start, N %.1f",
					calls, notified, c.TipAfterMs, age/1000, n)
			}
		}
	}
	return worst, where
}

// What all agents together send a cold server stays within what it can bear at any moment,
// N calls and 2 root N + 2 for chance, also where one free call of each would be over it.
func TestColdServersBudgetOfTheFleet(t *testing.T) {
	for _, deploy := range []struct {
		name string
		c    Contract
	}{
		{"wide", Contract{SlowStartFrom: 0.13, SlowStartMs: 24000, FallMultiple: 4, TipAfterMs: 1000}},
		{"narrow", Contract{SlowStartFrom: 0.2, SlowStartMs: 9000, FallMultiple: 2.5, TipAfterMs: 800}},
		{"long", Contract{SlowStartFrom: 0.34, SlowStartMs: 9000, FallMultiple: 3, TipAfterMs: 3000}},
	} {
		for _, agents := range []int{5, 20, 30} {
			for name, trouble := range map[string]func(f *slowStartFleet){
				"start": func(f *slowStartFleet) { f.begin(0, 50) },
				"start in a lull": func(f *slowStartFleet) {
					f.load(0.2)
					f.begin(0, 50)
					f.after(6000, func() { f.load(8) })
				},
				"half start at once": func(f *slowStartFleet) {
					for s := range f.servers / 2 {
						f.begin(s, 50)
					}
				},
				"all but two start": func(f *slowStartFleet) {
					for s := range f.servers - 2 {
						f.begin(s, 1000)
					}
				},
				"half start": func(f *slowStartFleet) {
					for s := range f.servers / 2 {
						f.begin(s, 3000)
					}
				},
				"restarts in slow start": func(f *slowStartFleet) {
					f.begin(0, 50)
					for i := range f.agents {
						f.after(1000+f.rng.Float64()*4000, func() { f.restart(t, i) })
					}
				},
				"all restart at once in slow start, in a burst": func(f *slowStartFleet) {
					f.begin(0, 50)
					f.after(1500, func() {
						f.load(6)
						for i := range f.agents {
							f.restart(t, i)
						}
					})
				},
				"unresponsive in slow start": func(f *slowStartFleet) {
					f.begin(0, 50)
					from, to := f.now+1000, f.now+3500
					f.fails = func(a Addr, now float64) Status {
						if a == addr(0) && now > from && now < to {
							return ConnectFailed
						}
						return OK
					}
				},
				"the warm ones fail": func(f *slowStartFleet) {
					f.begin(0, 50)
					from, to := f.now+1500, f.now+4000
					f.fails = func(a Addr, now float64) Status {
						if a != addr(0) && now > from && now < to && a[3]%2 == 0 {
							return Error
						}
						return OK
					}
				},
				"the warm ones are full": func(f *slowStartFleet) {
					f.begin(0, 50)
					from, to := f.now+1500, f.now+4000
					f.fails = func(a Addr, now float64) Status {
						if a != addr(0) && now > from && now < to {
							return Full
						}
						return OK
					}
				},
			} {
				t.Run(fmt.Sprint(deploy.name, "/", agents, "/", name), func(t *testing.T) {
					t.Parallel()
					var worst []float64
					at := ""
					for seed := range uint64(6) {
						set := testSettings()
						set.Contract = deploy.c
						set.Contract.ListPollWithinMs, set.Contract.DrainGraceMs = 8000, 500
						set.Classes[0].TargetMs, set.Classes[0].DeadlineMs = 1200, 5000
						set.Limits.KeepaliveMs, set.Limits.MaxAttempts = 30000, 6
						f := newSlowStartFleet(t, seed, agents, 14, 0.75, set)
						f.run(f.now + 15000)
						trouble(f)
						f.run(f.now + deploy.c.SlowStartMs)
						x, where := f.worst()
						if len(worst) == 0 || x > slices.Max(worst) {
							at = fmt.Sprintf("seed %d: %s", seed, where)
						}
						worst = append(worst, x)
					}
					slices.Sort(worst)
					t.Logf("parts of the slack used: median %.2f, most %.2f (%s)", worst[len(worst)/2], worst[len(worst)-1], at)
					if worst[len(worst)-1] > 1 {
						t.Errorf("a cold server fell: %s", at)
					}
				})
			}
		}
	}
}

// load changes how much comes.
func (f *slowStartFleet) load(by float64) {
	for _, a := range f.agents {
		a.rate *= by
	}
}
