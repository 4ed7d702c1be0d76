// This file holds the entry points of a Balancer: it dispatches each event to the file that makes the
// decision. requests.go decides on requests, attempts.go on their attempts, pick.go and slowstart.go on the
// choice of a server, connections.go on the reuse of connections, health.go, latency.go and overload.go on
// the health of servers, and discovery.go, list.go and unconfirmed.go on the list of servers. The interface
// is in types.go.

package policy

import (
	"math"
	"math/rand/v2"
)

// Tokens of the timers that a Balancer sets.
const (
	tickToken         = 1 // the periodic check of scheduleTick
	watchToken        = 2 // the subscription call of scheduleWatch
	confirmationToken = 3 // the confirmation deadline of onPartialList
)

// New returns the Balancer of one agent, or a *SettingError for the first invalid setting. All its
// randomness derives from the seed.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:        settings,
		rng:             rand.New(rand.NewPCG(seed, splitMix64(seed))),
		serversByAddr:   map[Addr]*server{},
		requests:        map[RequestID]*request{},
		recentKeys:      keyCounter{counts: map[uint64]int{}},
		tenantShare:     make([]float64, len(settings.Tenants)),
		localZoneWeight: minLocalZoneWeight,
		minTarget:       math.Inf(1),
		agentLimit:      math.Inf(1),
		lastFetchAt:     math.Inf(-1),
	}
	for i := range b.kinds {
		b.kinds[i].weight = 1
	}
	for _, c := range settings.Classes {
		b.classLatency = append(b.classLatency, c.TargetMs*overloadLatencyShare/2)
		b.minTarget = min(b.minTarget, c.TargetMs)
		b.classShare = append(b.classShare, 1)
		b.classSuccess = append(b.classSuccess, 1)
	}
	return b, nil
}

// Start appends the first actions of a new agent to out and returns the extended slice. The clock reading now
// is in ms, as in Handle; only differences between readings matter.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.actions, b.startedAt = now, out, now
	b.retryDebtAt, b.recentRequestsAt, b.warmWorkAt, b.agentLimitAt = now, now, now, now
	if b.settings.Membership == membershipOnRequest {
		b.scheduleFirstWatch()
	}
	return b.actions
}

// Handle processes one event, appends the resulting actions to out and returns the extended slice. Events for
// finished or unknown requests and attempts are ignored.
func (b *Balancer) Handle(now float64, ev *Event, out []Action) []Action {
	b.now, b.actions = now, out
	switch ev.Kind {
	case EvRequest:
		b.onRequest(ev)
	case EvOutcome:
		b.onOutcome(ev)
	case EvResponseStarted:
		b.onResponseStarted(ev)
	case EvClientCanceled:
		b.onClientCanceled(ev)
	case EvList:
		b.onList(ev)
	case EvProbeResult:
		b.onProbeResult(ev)
	case EvTimer:
		b.onTimer(ev.Token)
	case EvUnsolicited:
		b.onUnsolicited(ev)
	}
	b.dispatch()
	b.scheduleTick()
	return b.actions
}

// emit appends an action to the actions of the current event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// scheduleTick keeps one timer running while requests are queued or attempts are in flight.
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
