// This file holds the entry points of a Balancer: it takes each event and hands it to the file that
// decides on it. Requests are decided on in requests.go, their attempts in attempts.go, the choice of a
// server in pick.go and slowstart.go, the health of servers in health.go, latency.go and overload.go,
// and the list of servers in discovery.go, list.go and unconfirmed.go. The interface is in types.go.

package policy

import (
	"math"
	"math/rand/v2"
)

// The tokens of the timers that a Balancer sets.
const (
	tickToken         = 1 // see scheduleTick
	watchToken        = 2 // see scheduleWatch
	confirmationToken = 3 // see onPartialList
)

// New returns the balancer of one agent, or an error that names the setting
// that makes no sense. All its randomness comes from the seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: set, rng: rand.New(rand.NewPCG(seed, splitMix64(seed))),
		serversByAddr: map[Addr]*server{},
		requests:      map[RequestID]*request{}, tenantShare: make([]float64, len(set.Tenants)),
		localZoneWeight: minLocalZoneWeight, minTarget: math.Inf(1), agentLimit: math.Inf(1),
		lastFetchAt: math.Inf(-1),
		recentKeys:  keyCounter{counts: map[uint64]int{}}}
	for i := range b.kinds {
		b.kinds[i].weight = 1
	}
	for _, c := range set.Classes {
		b.classLatency = append(b.classLatency, c.TargetMs*overloadLatencyShare/2)
		b.minTarget = min(b.minTarget, c.TargetMs)
		b.classShare, b.classSuccess = append(b.classShare, 1), append(b.classSuccess, 1)
	}
	return b, nil
}

// Start gives the first actions of a new agent and appends them to out.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.actions, b.startedAt = now, out, now
	b.retryDebtAt, b.recentRequestsAt, b.warmWorkAt, b.agentLimitAt = now, now, now, now
	if b.settings.Membership == "on_request" {
		b.scheduleFirstWatch()
	}
	return b.actions
}

// Handle takes one event and appends the actions it calls for to out. Events
// for what is finished or unknown are ignored.
func (b *Balancer) Handle(now float64, ev *Event, out []Action) []Action {
	b.now, b.actions = now, out
	switch ev.Kind {
	case EvRequest:
		b.onRequest(ev)
	case EvOutcome:
		b.onOutcome(ev)
	case EvResponseStarted:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			r.responseStarted = true
			if ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
				r.attempts[ev.Attempt].server.lastResponse = now
			}
		}
	case EvClientCanceled:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			b.rememberUnserved(r)
			b.closeRequest(r)
		}
	case EvList:
		b.onList(ev)
	case EvProbeResult:
		b.onProbeResult(ev)
	case EvTimer:
		b.onTimer(ev.Token)
	}
	b.dispatch()
	b.scheduleTick()
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// scheduleTick keeps one timer running while there is something to watch.
func (b *Balancer) scheduleTick() {
	if !b.tickScheduled && (len(b.queued) > 0 || b.inFlight > 0) {
		b.tickScheduled = true
		b.emit(Action{Kind: ActTimer, Ms: max(2*b.settings.RoundMs, 5), Token: tickToken})
	}
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case watchToken:
		b.requestWatch()
	case confirmationToken:
		b.withdrawUnconfirmed()
	case tickToken:
		b.tickScheduled = false
		b.ejectUnresponsive()
		b.expireQueued()
	}
}
