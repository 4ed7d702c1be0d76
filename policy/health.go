// This file holds the decisions that follow from how attempts and probes end: what becomes of the
// request, and how its server is held.

package policy

import (
	"math"
	"slices"
)

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return
	}
	a := r.attempts[ev.Attempt]
	s := a.server
	a.done = true
	r.openAttempts--
	b.inFlight--
	if i := slices.Index(s.inFlight, a); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if ev.Status.NotExecuted() {
		r.ambiguousAttempts--
	}
	b.closeIdle(s)
	worth := 0.0
	if ev.Status == OK && b.now <= r.targetAt {
		worth = 1
	} else if ev.Status == OK {
		worth = b.settings.Classes[r.class].LateShare
	}
	b.retryDebt = b.retryDebt * math.Exp((b.retryDebtAt-b.now)/(retryBudgetWindow*b.minTarget))
	b.retryDebtAt = b.now
	// What never began for want of a client, or whose client left in good time, tells nothing
	// of the servers: clients that leave in a burst must not close the throttle for the others.
	if left := r.closed && ev.Status == Cancelled && b.now < r.targetAt; ev.Status != Withdrawn && !left {
		b.retryDebt += 1 - retryBudgetRatio*worth
	}
	b.recordOutcome(a, ev.Status, sanitize(ev.LatencyMs))
	if r.closed || r.responseStarted || ev.Final || ev.Status == OK {
		b.closeRequest(r)
	} else {
		b.scheduleRetry(r, ev.Status)
	}
}

// closeIdle closes a server's idle connections where keeping them costs more than opening
// one again, when this agent comes back to the server as seldom as its last sends say.
// All agents' requests are taken for this one's times their number. A thousand agents
// that each met every server kept 400 connections a server open (i5db14f).
func (b *Balancer) closeIdle(s *server) {
	p := &b.settings.Prices
	all := b.requestCount / max(b.now-b.startedAt, 1) * float64(b.settings.Replicas) // requests a ms
	if p.Connection > 0 && len(s.inFlight) == 0 &&
		(s.sendInterval == 0 || s.sendInterval*all*p.Connection > 100*float64(len(b.servers))*p.Handshake) {
		b.emit(Action{Kind: ActClose, Server: s.addr})
	}
}

// scheduleRetry holds an unanswered request for another server where class and time allow, or
// ends it. It competes with first tries, so that trouble does not multiply the load.
func (b *Balancer) scheduleRetry(r *request, why Status) {
	c := &b.settings.Classes[r.class]
	able := r.ambiguousAttempts == 0 || c.Effect == Idempotent || c.Effect == Deduplicated
	if !able || len(r.attempts) >= b.settings.Limits.MaxAttempts || why == Withdrawn || b.now >= r.deadline ||
		b.dedupWindowLeft(r) <= 0 {
		b.finish(r)
		return
	}
	b.queued = append(b.queued, r)
}

// recordOutcome takes what an attempt's end says about its server.
func (b *Balancer) recordOutcome(a *attempt, st Status, rtt float64) {
	s := a.server
	switch st {
	case OK:
		b.refillSlowStartBudgets(s, a.cost)
		b.recordSuccess(a, rtt)
	case Error, Reset:
		s.lastResponse = b.now
		b.eject(s, false)
	case ConnectFailed:
		b.recordConnectFailure(s)
		b.eject(s, true)
	case Timeout:
		// A server that answered others meanwhile is not to blame for a costly
		// request; it counts as slow.
		if s.lastResponse > a.sentAt {
			b.recordHintedLatency(a.request, rtt)
			b.recordLatency(s, b.relativeLatency(a.request, rtt))
		} else {
			b.eject(s, true)
		}
	case Full:
		s.lastResponse = b.now
		b.reduceLimit(s, 0.7, 1)
	}
}

func (b *Balancer) recordSuccess(a *attempt, rtt float64) {
	s, r := a.server, a.request
	b.recordHintedLatency(r, rtt)
	b.recordResponse(s)
	s.latencyMs = movingAverage(s.latencyMs, rtt, serverSmoothing)
	c := &b.settings.Classes[r.class]
	b.classLatency[r.class] = movingAverage(b.classLatency[r.class], min(rtt, 2*c.TargetMs), 4*fleetSmoothing)
	if b.now <= r.targetAt {
		b.classSuccess[r.class] += 1 - shareDecay
	}
	x := b.relativeLatency(r, rtt)
	b.recordLogLatency(x)
	b.latencySamples++
	b.fleetLatency = movingAverage(b.fleetLatency, x, max(fleetSmoothing, 1/b.latencySamples))
	switch {
	case b.latencySamples <= baselineSamples:
		// One quick answer must not set the measure, nor a crowd at the start (id08146).
		b.baselineLatency = min(b.fleetLatency, overloadLatencyShare/2)
	case b.fleetLatency < b.baselineLatency:
		b.baselineLatency = movingAverage(b.baselineLatency, b.fleetLatency, fleetSmoothing)
	default:
		b.baselineLatency = movingAverage(b.baselineLatency, b.fleetLatency, b.baselineRiseRate(a))
	}
	b.recordLatency(s, x)
	limit := b.overloadThreshold(s)
	if s.state == Unhealthy && a.sentAt < s.stateSince && (!s.unresponsive || s.overloaded) {
		return // sent before the failure: says nothing about what came after
	}
	if b.suspiciouslySlow(x) {
		if s.state <= Unknown {
			b.setState(s, UnhealthyPending)
		}
		return
	}
	if s.state != Connected {
		b.setState(s, Connected)
	}
	if s.unresponsive {
		s.unresponsive, s.recentEjections = false, max(s.recentEjections-1, 0)
	}
	if s.consecutiveSuccesses++; s.consecutiveSuccesses >= 16*s.recentEjections {
		s.consecutiveSuccesses, s.recentEjections = 0, max(s.recentEjections-1, 0)
	}
	switch {
	case s.latency > limit && b.now-s.limitReducedAt > rtt:
		least := 1.0
		if s.latency > severeOverloadFactor*limit {
			least = minConcurrencyLimit
		}
		b.reduceLimit(s, 0.85, least)
	case s.latency < limit && float64(len(s.inFlight)+2) > s.concurrencyLimit &&
		b.latencySamples > baselineSamples:
		step := min(1/s.concurrencyLimit, s.concurrencyLimit)
		s.concurrencyLimit = min(s.concurrencyLimit+step, b.maxConcurrencyLimit())
	}
}

// maxConcurrencyLimit is how far a server's window may grow: to this agent's part of what all may hold.
func (b *Balancer) maxConcurrencyLimit() float64 {
	return max(maxServerConcurrency/max(float64(b.settings.Replicas), 1), 1)
}

// adjustWeights lets answer times set the weights that the list does not tell. Where crossing has
// a price the own zone gets more in proportion, as long as it answers no slower than the
// rest: what has more traffic than it can carry gets slower. A kind of machine that
// answers later than all gets less: equal shares choke the small ones (i5db14f).
func (b *Balancer) adjustWeights(s *server, x float64) {
	lat := &b.otherZoneLatency
	if s.zone == b.settings.Zone {
		lat = &b.localZoneLatency
	}
	*lat = movingAverage(*lat, x, weightStep)
	most := max(localZonePriceFactor*b.settings.Prices.CrossZone, minLocalZoneWeight)
	localIsSlower := b.localZoneLatency > b.otherZoneLatency*(1+b.settings.Prices.CrossZone)
	b.localZoneWeight = stepWeight(b.localZoneWeight, localIsSlower, minLocalZoneWeight, most)
	if b.settings.Weights != "off" {
		return
	}
	b.overallLatency = movingAverage(b.overallLatency, x, weightStep)
	k := &b.kinds[s.kind&255]
	k.latency = movingAverage(k.latency, x, weightStep)
	k.weight = stepWeight(k.weight, k.latency > b.overallLatency, minKindWeight, 1)
}

// overloadThreshold is the mean answer time, as a part of the aim, from which a server counts as
// crowded. A few agents see most of the load and need not fear to crowd a server that
// answers well within the aim. A cold one is slow before it is crowded (i5d0607).
func (b *Balancer) overloadThreshold(s *server) float64 {
	least := 2 * overloadLatencyShare / (2 + float64(b.settings.Replicas))
	threshold := max(overloadBaselineFactor*b.baselineLatency, least)
	return min(overloadLatencyShare, threshold) / b.slowStartFactor(s)
}

// baselineRiseRate is how fast calm follows longer answer times: hardly, or a crowd would become
// the measure. An attempt that was alone of its agent tells more the fewer agents there
// are: a lone one that took quick first answers for calm would leave its servers idle.
func (b *Balancer) baselineRiseRate(a *attempt) float64 {
	if a.soleInFlight {
		return fleetSmoothing / min(2*math.Pow(float64(max(b.settings.Replicas, 1)), 3), 250)
	}
	return fleetSmoothing / 250
}

// recordConnectFailure notes a connect that failed.
func (b *Balancer) recordConnectFailure(s *server) {
	if s.connectFailures == 0 {
		s.firstConnectFailure = b.now
	}
	s.connectFailures++
	s.connectFailureSpan = b.now - s.firstConnectFailure
}

// recordResponse notes an answer. A server that no connect reached for long may be a new
// process, cold and not yet listed: it is ramped as if it had started now. Time-outs
// alone don't tell: crowded servers would be left to idle (i228a10). Nor does a connect or
// two: where one in three comes up late, all servers would be taken for cold by turns.
func (b *Balancer) recordResponse(s *server) {
	if s.connectFailures >= restartConnectFailures && s.connectFailureSpan > b.settings.Contract.TipAfterMs {
		s.startedAt, s.concurrencyLimit, s.slowStartBudget = b.now, 1, b.rng.Float64()
	}
	s.lastResponse, s.connectFailures = b.now, 0
}

func (b *Balancer) recordLatency(s *server, x float64) {
	s.latencySamples++
	s.latency = movingAverage(s.latency, x, max(serverSmoothing, 1/float64(s.latencySamples)))
	b.adjustWeights(s, x)
}

func (b *Balancer) reduceLimit(s *server, by, least float64) {
	s.concurrencyLimit, s.limitReducedAt = min(s.concurrencyLimit, max(s.concurrencyLimit*by, least)), b.now
}

// eject makes a server Unhealthy; failures of one moment count as one strike.
func (b *Balancer) eject(s *server, silent bool) {
	if s.state != Unhealthy {
		s.recentEjections = min(s.recentEjections+1, maxRecentEjections)
		b.setState(s, Unhealthy)
		s.unresponsive = silent
		s.consecutiveSuccesses, s.latency, s.latencySamples = 0, 0, 0
		s.concurrencyLimit = max(s.concurrencyLimit/2, 1)
	}
	b.fetchList()
}

// ejectionTime is how long a server stays Unhealthy before it is validated again: one aim for
// a stray failure, or the time in which the agent comes by each server if that is longer
// and a check costs a request (quiet agents lost a third of theirs in checking slow
// servers again and again, id753de), doubled with each further strike. While the others have
// no room there is none: a server that fails some requests is better than refusing
// them all. One that answers nothing is not.
func (b *Balancer) ejectionTime(s *server) float64 {
	if b.capacityExhausted && !s.unresponsive {
		return 0
	}
	hold := b.minTarget
	if !b.settings.Limits.Probing {
		hold = max(hold, b.settings.Limits.KeepaliveMs*float64(b.subsetSize())/max(b.recentRequests, 1))
	}
	if b.largeFleet() && s.unresponsive {
		return hold * min(minOverloadRest*float64(int(1)<<max(s.recentEjections-1, 0)), 2*minOverloadRest)
	}
	return hold * float64(int(1)<<max(s.recentEjections-1, 0))
}

// ejectUnresponsive demotes servers that took attempts and have answered nothing for
// several answer times: hung or gone silent, they would stay Connected.
func (b *Balancer) ejectUnresponsive() {
	for _, s := range b.servers {
		if len(s.inFlight) == 0 || s.state == Unhealthy {
			continue
		}
		a := s.inFlight[0]
		waited := (b.now - a.sentAt) / b.settings.Classes[a.request.class].TargetMs
		if !a.suspected && s.state <= Unknown && b.suspiciouslySlow(waited) {
			a.suspected = true
			b.setState(s, UnhealthyPending)
			continue
		}
		// Where answers take a hundredth of the aim, eight of them are one costly request.
		patience := max(b.expectedLatency(a.request)*8/float64(min(len(s.inFlight), 3)), b.minTarget/4)
		if b.now-max(s.lastResponse, a.sentAt) >= patience {
			b.eject(s, true)
		}
	}
}

// revalidate, on each request, refreshes servers that were Unhealthy long enough to
// pending, to be validated in the background.
func (b *Balancer) revalidate() {
	for _, s := range b.servers {
		if s.state == Unhealthy && s.ready && len(s.inFlight) == 0 &&
			b.now-s.stateSince >= b.ejectionTime(s) {
			b.setState(s, UnhealthyPending)
			b.fetchList()
		}
		pending := s.state == UnhealthyPending && s.ready
		if pending && b.settings.Limits.Probing && !s.probing && b.activeProbes < b.maxProbes() {
			s.probing = true
			b.activeProbes++
			b.emit(Action{Kind: ActProbe, Server: s.addr})
		}
	}
}

func (b *Balancer) onProbeResult(ev *Event) {
	s := b.serversByAddr[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.activeProbes--
	switch {
	case s.state != UnhealthyPending:
	case ev.Status == OK && b.reportsOverload(s, ev.Report):
		s.lastResponse, s.overloaded = b.now, true
		b.eject(s, true)
		b.cancelInFlight(s)
	case ev.Status == OK:
		s.overloaded = false
		b.recordResponse(s)
		b.setState(s, Connected)
	case ev.Status == Error || ev.Status == Reset:
		// As with an attempt: what answers so, or breaks off, is there.
		s.lastResponse = b.now
		b.eject(s, false)
	case ev.Status != Full:
		if ev.Status == ConnectFailed {
			b.recordConnectFailure(s)
		}
		b.eject(s, true)
		b.cancelInFlight(s)
	}
}
