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

// recordSuccess takes a response and its latency into everything that is measured.
func (b *Balancer) recordSuccess(a *attempt, latencyMs float64) {
	s, r := a.server, a.request
	b.recordHintedLatency(r, latencyMs)
	b.recordResponse(s)
	s.latencyMs = movingAverage(s.latencyMs, latencyMs, serverSmoothing)
	c := &b.settings.Classes[r.class]
	b.classLatency[r.class] = movingAverage(b.classLatency[r.class], min(latencyMs, 2*c.TargetMs),
		4*fleetSmoothing)
	if b.now <= r.targetAt {
		b.classSuccess[r.class] += 1 - shareDecay
	}
	latency := b.relativeLatency(r, latencyMs)
	b.recordLogLatency(latency)
	b.updateBaseline(a, latency)
	b.recordLatency(s, latency)
	threshold := b.overloadThreshold(s)
	if s.state == Unhealthy && a.sentAt < s.stateSince && (!s.unresponsive || s.overloaded) {
		return // sent before the failure: it shows nothing of what came after
	}
	if b.suspiciouslySlow(latency) {
		if s.state <= Unknown {
			b.setState(s, UnhealthyPending)
		}
		return
	}
	b.recordHealthy(s)
	b.adjustLimit(s, threshold, latencyMs)
}

// recordHealthy notes a response that is quick enough for a healthy server.
func (b *Balancer) recordHealthy(s *server) {
	if s.state != Connected {
		b.setState(s, Connected)
	}
	if s.unresponsive {
		s.unresponsive, s.recentEjections = false, max(s.recentEjections-1, 0)
	}
	if s.consecutiveSuccesses++; s.consecutiveSuccesses >= 16*s.recentEjections {
		s.consecutiveSuccesses, s.recentEjections = 0, max(s.recentEjections-1, 0)
	}
}

// adjustLimit lowers a server's concurrency limit when its mean latency is above the threshold, once
// in each round trip, and raises a limit that is used up when the latency is below.
func (b *Balancer) adjustLimit(s *server, threshold, latencyMs float64) {
	switch {
	case s.latency > threshold && b.now-s.limitReducedAt > latencyMs:
		minLimit := 1.0
		if s.latency > severeOverloadFactor*threshold {
			minLimit = minConcurrencyLimit
		}
		b.reduceLimit(s, overloadBackoff, minLimit)
	case s.latency < threshold && float64(len(s.inFlight)+2) > s.concurrencyLimit &&
		b.latencySamples > baselineSamples:
		step := min(1/s.concurrencyLimit, s.concurrencyLimit)
		s.concurrencyLimit = min(s.concurrencyLimit+step, b.maxConcurrencyLimit())
	}
}

// updateBaseline takes a latency into the fleet's mean, and moves the baseline towards that.
func (b *Balancer) updateBaseline(a *attempt, latency float64) {
	b.latencySamples++
	b.fleetLatency = movingAverage(b.fleetLatency, latency, max(fleetSmoothing, 1/b.latencySamples))
	switch {
	case b.latencySamples <= baselineSamples:
		// One quick response must not set the baseline, nor an overload at the start (id08146).
		b.baselineLatency = min(b.fleetLatency, overloadLatencyShare/2)
	case b.fleetLatency < b.baselineLatency:
		b.baselineLatency = movingAverage(b.baselineLatency, b.fleetLatency, fleetSmoothing)
	default:
		b.baselineLatency = movingAverage(b.baselineLatency, b.fleetLatency, b.baselineRiseRate(a))
	}
}

// baselineRiseRate is how fast the baseline follows rising latency: hardly, or an overload would become
// the baseline. An attempt that was the agent's only one at its server shows more the fewer agents
// there are: a lone agent that took quick first responses for the baseline would leave its servers
// idle.
func (b *Balancer) baselineRiseRate(a *attempt) float64 {
	if a.soleInFlight {
		return fleetSmoothing / min(2*math.Pow(float64(max(b.settings.Replicas, 1)), 3), 250)
	}
	return fleetSmoothing / 250
}

// overloadThreshold is the mean latency, as a part of the target, from which a server counts as
// overloaded. In a fleet of few agents each sees most of the load and need not fear to overload a
// server that answers well within the target. A cold server is slow before it is overloaded (i5d0607).
func (b *Balancer) overloadThreshold(s *server) float64 {
	minThreshold := 2 * overloadLatencyShare / (2 + float64(b.settings.Replicas))
	threshold := max(overloadBaselineFactor*b.baselineLatency, minThreshold)
	return min(overloadLatencyShare, threshold) / b.slowStartFactor(s)
}

// recordLatency takes a latency, as a part of the target, into a server's mean and into the weights.
func (b *Balancer) recordLatency(s *server, latency float64) {
	s.latencySamples++
	s.latency = movingAverage(s.latency, latency, max(serverSmoothing, 1/float64(s.latencySamples)))
	b.adjustWeights(s, latency)
}

// reduceLimit multiplies a server's concurrency limit by factor, down to least, and never raises it.
func (b *Balancer) reduceLimit(s *server, factor, minLimit float64) {
	s.concurrencyLimit = min(s.concurrencyLimit, max(s.concurrencyLimit*factor, minLimit))
	s.limitReducedAt = b.now
}

// maxConcurrencyLimit is how far a server's concurrency limit may grow: to this agent's part of what
// all agents may have in flight at it.
func (b *Balancer) maxConcurrencyLimit() float64 {
	return max(maxServerConcurrency/max(float64(b.settings.Replicas), 1), 1)
}

// adjustWeights lets latency set the weights that the list does not give. Where crossing zones has a
// price the agent's own zone gets more in proportion, as long as it answers no slower than the others:
// a zone with more traffic than it can carry gets slower. A kind of machine that answers later than the
// mean gets less: equal shares overload the small ones (i5db14f).
func (b *Balancer) adjustWeights(s *server, latency float64) {
	zoneLatency := &b.otherZoneLatency
	if s.zone == b.settings.Zone {
		zoneLatency = &b.localZoneLatency
	}
	*zoneLatency = movingAverage(*zoneLatency, latency, weightStep)
	maxWeight := max(localZonePriceFactor*b.settings.Prices.CrossZone, minLocalZoneWeight)
	localIsSlower := b.localZoneLatency > b.otherZoneLatency*(1+b.settings.Prices.CrossZone)
	b.localZoneWeight = stepWeight(b.localZoneWeight, localIsSlower, minLocalZoneWeight, maxWeight)
	if b.settings.Weights != "off" {
		return
	}
	b.overallLatency = movingAverage(b.overallLatency, latency, weightStep)
	k := &b.kinds[s.kind&255]
	k.latency = movingAverage(k.latency, latency, weightStep)
	k.weight = stepWeight(k.weight, k.latency > b.overallLatency, minKindWeight, 1)
}
