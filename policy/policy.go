// This file holds the decisions on requests: when they are sent, held, repeated and answered. Which
// server they go to is decided in policy/pick.go, what follows from an attempt's end in
// policy/health.go, what the list of servers means in policy/list.go and policy/unconfirmed.go, and
// what a large fleet needs in policy/crowd.go. Their interface is in policy/types.go.

package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// boundedLoadFactor is c: how far above its even share of the agent's attempts a
	// server may go before a key's request moves on to the next in hash order.
	boundedLoadFactor = 3.0
	// overloadLatencyShare is the part of the aim that a server's mean answer time may take.
	overloadLatencyShare = 0.5
	// overloadBaselineFactor is how many times the fleet's calm answer time a calm server's may be.
	overloadBaselineFactor  = 1.5
	initialConcurrencyLimit = 2.0 // attempts an unmeasured server may hold
	// maxServerConcurrency is how many attempts of all agents a server may hold, where each has grown
	// its window to the most: one keeps it busy, and from a few more that wait for long on
	// it turns several times slower and stays so. Answer times tell too late: in a burst
	// the windows were long wide when they rose (case5409).
	maxServerConcurrency = 4.0
	// baselineSamples is the number of answers that make the first measure of calm; until
	// then no window grows, so that a start does not crowd what it measures.
	baselineSamples = 50
	// minConcurrencyLimit is left to the most crowded server: enough to see when it is not.
	minConcurrencyLimit, severeOverloadFactor = 0.1, 2.5
	// affinityWait is the part of its aim that a request may wait for one of the affinityServers
	// nearest its key: going on at once would lose the warm key just when time is short.
	affinityWait, affinityServers = 0.25, 2
	// minUsefulTimeShare is the least part of its expected time that a hinted request needs.
	minUsefulTimeShare = 0.7
	// minLocalZoneWeight is how much more a server of the agent's own zone weighs in a key's order at
	// the least, localZonePriceFactor the most for the whole worth as the price of crossing; minKindWeight
	// what a slow kind of machine keeps; weightStep is how fast weights follow.
	minLocalZoneWeight, localZonePriceFactor, minKindWeight, weightStep = 1.5, 100.0, 0.25, 0.05
	// keyHistory is over how many requests keys are counted, keySplitFactor into how many parts
	// a key is split that alone would be a server's even share: it is not alone there.
	keyHistory, keySplitFactor = 128, 4.0
	maxRecentEjections         = 5 // bounds the doubling of a bad server's hold
	// serverSmoothing is the weight of an answer in a server's mean, fleetSmoothing in a fleet-wide one;
	// shareDecay lets requests count less for shares with age, over about 500.
	serverSmoothing, fleetSmoothing, shareDecay = 0.2, 0.005, 0.998
	// retryBudgetRatio is how many attempts may end for each that earned its worth before the
	// agent sends less; retryBudgetBurst of them are free, and they count for retryBudgetWindow targets.
	retryBudgetRatio, retryBudgetBurst, retryBudgetWindow = 1.5, 3.0, 10.0
	// minSubsetSize is the smallest subset of the fleet an agent sends to.
	minSubsetSize = 16
	// maxQueued bounds the requests held for room, and so the work of a decision.
	maxQueued = 512
	// restartConnectFailures is how many connects have to fail in a row for a new process to be likely.
	restartConnectFailures = 3
	// slowStartBurst bounds what a cold server's credit saves up: all may spend it at once.
	slowStartBurst = 1.0
	// slowStartMargin is what an even share may cost a cold server, in its present capacity:
	// warm ones answer at most all that they can, and may save three quarters of it by
	// their warm keys.
	slowStartMargin = 4.0
	// maxWriteDelayMs is how long, in ms, an agent may be held up between reading its clock and writing:
	// what may not arrive late is due so much earlier (STANDING, "What production adds").
	maxWriteDelayMs = 150.0
	// minProbes bounds the validations under way at once.
	minProbes = 2

	tickToken, watchToken, confirmationToken = 1, 2, 3
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

// ---- requests ----

func (b *Balancer) onRequest(ev *Event) {
	if b.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(b.settings.Classes) {
		b.finish(&request{id: ev.Request}) // still owed an answer; nothing of it ran
		return
	}
	c := &b.settings.Classes[ev.Class]
	r := &request{id: ev.Request, class: ev.Class, tenant: ev.Tenant, key: ev.Key,
		arrivedAt: b.now, firstArrivedAt: b.now}
	if r.costHint = sanitize(ev.HintMs); !ev.HasHint {
		r.costHint = 0
	} else if r.costHint > 0 {
		b.meanCostHint = movingAverage(b.meanCostHint, r.costHint, fleetSmoothing)
	}
	left := sanitize(ev.RemainingMs)
	r.deadline = b.now + left - min(b.settings.RoundMs, left/4)
	if ev.Retry {
		r.firstArrivedAt = b.recallFirstArrival(r)
	}
	r.targetAt = min(r.firstArrivedAt+c.TargetMs+c.TargetStretch*r.costHint, r.deadline)
	r.hash = b.affinityHash(r.key)
	b.requests[r.id] = r
	b.requestCount++
	window := max(b.settings.Limits.KeepaliveMs, 1)
	b.recentRequests = b.recentRequests*math.Exp((b.recentRequestsAt-b.now)/window) + 1
	b.recentRequestsAt = b.now
	b.countTenant(r.tenant)
	b.countClass(r.class)
	b.revalidate()
	b.queued = append(b.queued, r)
	// A request whose hinted work cannot fit the aim anywhere would only keep
	// others waiting: the costly few of a heavy tail.
	if r.costHint > 0 && c.LateShare == 0 && minUsefulTimeShare*b.hintedLatency(r) > r.targetAt-b.now {
		b.finish(r)
	}
}

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) value(r *request) float64 {
	c := &b.settings.Classes[r.class]
	o := &b.settings.Objective
	v := c.Credit * (o.Overall + o.WorstWindow)
	if r.class == b.worstClass {
		v += o.WorstClass * b.meanCredit / b.classShare[r.class]
	}
	if b.now+b.expectedLatency(r) > r.targetAt {
		v *= c.LateShare + b.settings.Prices.LateFail
	}
	if b.overQuota(r.tenant) {
		v *= b.settings.OverQuotaWeight
	}
	if b.settings.WeightBy != "work" {
		v /= b.classLatency[r.class]
	}
	return v
}

// dispatch sends what is held as far as there is room: the most valuable first,
// of equals the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	for _, r := range b.queued {
		r.value = b.value(r)
	}
	slices.SortFunc(b.queued, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrivedAt, x.arrivedAt),
			cmp.Compare(x.id, y.id))
	})
	// One that waits for its key's servers is passed over; of others a few failures tell.
	b.capacityExhausted = false
	for i, failures := 0, 0; i < len(b.queued) && failures < 4 && b.allowRetry() && b.withinAgentLimit(); {
		r := b.queued[i]
		if near := r.affinity; b.awaitsAffinity(r) && near[0] != nil && r.affinityEpoch == b.epoch &&
			!b.accepts(near[0], r) && !b.accepts(near[1], r) {
			i++
			continue
		}
		if s := b.pickServer(r); s != nil && b.send(r, s) {
			b.queued = slices.Delete(b.queued, i, i+1)
			continue
		}
		i++
		if !b.awaitsAffinity(r) {
			failures++
		}
		b.capacityExhausted = failures > 0
	}
	for b.queueOverflows() {
		b.finish(b.queued[len(b.queued)-1])
	}
}

// allowRetry is the agent's own throttle (adaptive throttling, with a retry budget in it):
// attempts that fail or come late leave less to send. With a request or two out at each
// of a thousand agents no server's window holds back the crowd they are together; each
// full answer went on to the next server, until requests went out nine times (i86bcad).
func (b *Balancer) allowRetry() bool {
	return b.retryDebt*math.Exp((b.retryDebtAt-b.now)/(retryBudgetWindow*b.minTarget)) < retryBudgetBurst
}

// expireQueued ends held requests that can no longer earn anything, before they cost work.
func (b *Balancer) expireQueued() {
	for i := 0; i < len(b.queued); {
		r := b.queued[i]
		last := r.targetAt
		if b.settings.Classes[r.class].LateShare > 0 {
			last = r.deadline
		}
		if b.now+b.expectedLatency(r) > last || b.now >= r.deadline || b.dedupWindowLeft(r) <= 0 {
			b.finish(r)
			continue
		}
		i++
	}
}

// expectedLatency is how long an answer to the request takes, on the mean.
func (b *Balancer) expectedLatency(r *request) float64 {
	e := b.classLatency[r.class]
	if t := b.hintedLatency(r); t > 0 {
		e = max(t, e/4)
	}
	return e
}

// ---- the two guards ----

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasCapacity, whose credit every attempt is charged in send.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.ready || b.confirmationOverdue(s) || r.closed || r.responseStarted || r.openAttempts > 0 ||
		b.now >= r.deadline || len(r.attempts) >= b.settings.Limits.MaxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if a.server == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	if r.ambiguousAttempts == 0 {
		return true
	}
	c := &b.settings.Classes[r.class]
	switch c.Effect {
	case Idempotent:
		return true
	case Deduplicated:
		same := c.Group == GroupAll || c.Group == GroupZone && s.zone == r.executedOn.zone ||
			c.Group == GroupCell && s.cell == r.executedOn.cell
		return same && b.dedupWindowLeft(r) > 0
	}
	return false
}

// dedupWindowLeft is the time in which a repeat of a keyed request has to arrive to be dropped, or
// without bound where it is no repeat.
func (b *Balancer) dedupWindowLeft(r *request) float64 {
	c := &b.settings.Classes[r.class]
	if r.ambiguousAttempts == 0 || c.Effect != Deduplicated {
		return math.Inf(1)
	}
	return r.executedAt + c.DedupWindowMs - maxWriteDelayMs - 2*b.settings.RoundMs - b.now
}

func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	by := b.dedupWindowLeft(r)
	if math.IsInf(by, 1) {
		by = 0
	}
	a := &attempt{request: r, server: s, index: len(r.attempts), soleInFlight: len(s.inFlight) == 0,
		sentAt: b.now, cost: b.cost(r)}
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if r.ambiguousAttempts == 0 {
		r.executedAt, r.executedOn = b.now, s
	}
	r.ambiguousAttempts++
	s.inFlight = append(s.inFlight, a)
	if s.lastSentAt > 0 {
		s.sendInterval = movingAverage(s.sendInterval, b.now-s.lastSentAt, serverSmoothing)
	}
	s.lastSentAt = b.now
	b.inFlight++
	b.lastSentAt = b.now
	if b.slowStartFactor(s) < 1 {
		s.slowStartBudget -= a.cost
	}
	b.emit(Action{Kind: ActSend, Request: r.id, Server: s.addr, Ms: r.deadline - b.now, SendByMs: by})
	return true
}

// refillSlowStartBudgets keeps each cold server's credit: for all that warm servers have served it
// may get its share by weight and ramp. Then the servers' shares of all agents
// together stay in proportion to what they can do, without any agreement. What was
// turned away earns nothing: in a storm it made cold servers' shares ninefold (i86bcad).
func (b *Balancer) refillSlowStartBudgets(s *server, cost float64) {
	if b.slowStartFactor(s) < 1 {
		return
	}
	warm := b.warmWeight() * float64(b.subsetSize()) / float64(len(b.servers)) // of its subset
	if warm > 0 {
		b.warmWork = b.warmWork*math.Exp((b.warmWorkAt-b.now)/b.settings.Contract.SlowStartMs) + cost/warm
		b.warmWorkAt = b.now
	}
	for _, o := range b.servers {
		if b.slowStartFactor(o) < 1 && warm > 0 {
			o.slowStartBudget = min(o.slowStartBudget+cost*b.slowStartShare(o)*o.weight/warm, slowStartBurst)
		}
	}
}

// finish is the guard of all final answers but served ones: a refusal where the class
// allows the claim that a retry is harmless, else a failure.
func (b *Balancer) finish(r *request) {
	if r.closed || r.responseStarted {
		return
	}
	b.rememberUnserved(r)
	c := &b.settings.Classes[r.class]
	harmless := r.ambiguousAttempts == 0 || c.Effect == Idempotent ||
		c.Effect == Deduplicated && c.Group == GroupAll
	b.closeRequest(r)
	if harmless {
		b.emit(Action{Kind: ActReject, Request: r.id, Ms: b.settings.Limits.MaxRetryAfterMs})
	} else {
		b.emit(Action{Kind: ActFail, Request: r.id})
	}
}

// closeRequest forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	if i := slices.Index(b.queued, r); i >= 0 {
		b.queued = slices.Delete(b.queued, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.settings.Limits.Cancelling {
			b.emit(Action{Kind: ActCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}
