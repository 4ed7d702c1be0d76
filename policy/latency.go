// This file holds what follows from the latency of responses: a server's concurrency limit, the latency
// from which it counts as overloaded, and the weights of zones and kinds of machine.

package policy

import "math"

const (
	// overloadLatencyShare is the part of the target that a server's mean latency may take.
	overloadLatencyShare = 0.5
	// overloadBaselineFactor is how many times the fleet's baseline latency a healthy server's
	// latency may be.
	overloadBaselineFactor = 1.5
	// initialConcurrencyLimit is how many attempts a server without measurements may have in flight.
	initialConcurrencyLimit = 2.0
	// maxServerConcurrency is how many attempts of all agents a server may have in flight, where
	// each agent has raised its limit to the maximum: one keeps it busy, and from a few more that
	// wait for long on it turns several times slower and stays so. Latency shows it too late: in a
	// burst the limits had long been raised when latency rose (case5409).
	maxServerConcurrency = 4.0
	// baselineSamples is the number of responses that make the first baseline; until then no limit
	// grows, so that a start does not overload what it measures.
	baselineSamples = 50
	// minConcurrencyLimit is left to the most overloaded server: enough to see when it recovers.
	// From severeOverloadFactor times the threshold on a limit may fall so far.
	minConcurrencyLimit, severeOverloadFactor = 0.1, 2.5
	// overloadBackoff and rejectionBackoff are what a limit is multiplied by when latency is above
	// the threshold, and when the server rejects an attempt.
	overloadBackoff, rejectionBackoff = 0.85, 0.7
	// minLocalZoneWeight is how much more a server of the agent's own zone weighs in a key's order at
	// the least, localZonePriceFactor times the price of crossing at the most; minKindWeight is what
	// a slow kind of machine keeps; weightStep is how fast weights follow.
	minLocalZoneWeight, localZonePriceFactor, minKindWeight, weightStep = 1.5, 100.0, 0.25, 0.05
)

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
		b.reduceLimit(s, overloadBackoff, least)
	case s.latency < limit && float64(len(s.inFlight)+2) > s.concurrencyLimit &&
		b.latencySamples > baselineSamples:
		step := min(1/s.concurrencyLimit, s.concurrencyLimit)
		s.concurrencyLimit = min(s.concurrencyLimit+step, b.maxConcurrencyLimit())
	}
}

func (b *Balancer) recordLatency(s *server, x float64) {
	s.latencySamples++
	s.latency = movingAverage(s.latency, x, max(serverSmoothing, 1/float64(s.latencySamples)))
	b.adjustWeights(s, x)
}

func (b *Balancer) reduceLimit(s *server, by, least float64) {
	s.concurrencyLimit, s.limitReducedAt = min(s.concurrencyLimit, max(s.concurrencyLimit*by, least)), b.now
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
