// This file derives from response latencies a server's concurrency limit, the latency from which it counts
// as overloaded, and the weights of zones and machine types.

package policy

import "math"

const (
	// overloadLatencyShare is the highest mean latency of a healthy server, as a fraction of the target.
	overloadLatencyShare = 0.5
	// overloadBaselineFactor is the highest latency of a healthy server, as a multiple of the fleet's
	// baseline latency.
	overloadBaselineFactor = 1.5
	// initialConcurrencyLimit is the concurrency limit of a server without measurements.
	initialConcurrencyLimit = 2.0
	// maxServerConcurrency is the number of attempts of all agents that a server may have in flight when
	// each agent has raised its limit to the maximum. One attempt keeps a server busy; a few more that queue
	// for long make it several times slower, permanently. Latency reveals this too late: by the time a burst
	// raised the latency, the limits had long been raised (case5409).
	maxServerConcurrency = 4.0
	// baselineSamples is the number of responses in the first baseline. No limit grows before the baseline
	// is complete, so that the agent does not overload the servers that it is measuring.
	baselineSamples = 50
	// minConcurrencyLimit is the lowest limit of a server, which leaves enough attempts to detect its
	// recovery. A limit falls below 1 only if the latency exceeds severeOverloadFactor times the threshold.
	minConcurrencyLimit, severeOverloadFactor = 0.1, 2.5
	// overloadBackoff and rejectionBackoff are the factors applied to a limit when latency is above the
	// threshold, and when the server rejects an attempt.
	overloadBackoff, rejectionBackoff = 0.85, 0.7
	// minLocalZoneWeight is the minimum weight, relative to other zones, of a server in the agent's own zone
	// in a key's hash order. The maximum is localZonePriceFactor times the price of crossing zones.
	// minKindWeight is the minimum weight of a slow machine type. weightStep is the relative step by which
	// weights change.
	minLocalZoneWeight, localZonePriceFactor, minKindWeight, weightStep = 1.5, 100.0, 0.25, 0.05
)

// recordSuccess updates all measurements with a response and its latency.
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
		return // the attempt was sent before the failure, so it shows no recovery
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

// recordHealthy records a response that is fast enough for a healthy server.
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

// adjustLimit lowers a server's concurrency limit when its mean latency is above the threshold, at most
// once per round trip, and raises a fully used limit when the latency is below.
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

// updateBaseline updates the fleet's mean latency, and moves the baseline towards it.
func (b *Balancer) updateBaseline(a *attempt, latency float64) {
	b.latencySamples++
	b.fleetLatency = movingAverage(b.fleetLatency, latency, max(fleetSmoothing, 1/b.latencySamples))
	switch {
	case b.latencySamples <= baselineSamples:
		// Neither one fast response nor an overload at startup may determine the baseline (case
		// id08146).
		b.baselineLatency = min(b.fleetLatency, overloadLatencyShare/2)
	case b.fleetLatency < b.baselineLatency:
		b.baselineLatency = movingAverage(b.baselineLatency, b.fleetLatency, fleetSmoothing)
	default:
		b.baselineLatency = movingAverage(b.baselineLatency, b.fleetLatency, b.baselineRiseRate(a))
	}
}

// baselineRiseRate is the weight with which the baseline follows rising latency. It is very low, as an
// overload would otherwise become the baseline. The exception is an attempt that was its agent's only one in
// flight to the server: the fewer agents there are, the less its latency can be due to overload, and the
// higher the rate. Otherwise a single agent whose first responses were fast would leave its servers idle.
func (b *Balancer) baselineRiseRate(a *attempt) float64 {
	if a.soleInFlight {
		return fleetSmoothing / min(2*math.Pow(float64(max(b.settings.Replicas, 1)), 3), 250)
	}
	return fleetSmoothing / 250
}

// overloadThreshold is the mean latency, as a fraction of the target, above which a server counts as
// overloaded. With few agents, each sees most of the load, and a server that answers well within the target
// is not at risk of overload. A cold server is slow even without overload, so its threshold is higher
// (case i5d0607).
func (b *Balancer) overloadThreshold(s *server) float64 {
	minThreshold := 2 * overloadLatencyShare / (2 + float64(b.settings.Replicas))
	threshold := max(overloadBaselineFactor*b.baselineLatency, minThreshold)
	return min(overloadLatencyShare, threshold) / b.slowStartFactor(s)
}

// recordLatency adds a latency, as a fraction of the target, to a server's mean and adjusts the weights.
func (b *Balancer) recordLatency(s *server, latency float64) {
	s.latencySamples++
	s.latency = movingAverage(s.latency, latency, max(serverSmoothing, 1/float64(s.latencySamples)))
	b.adjustWeights(s, latency)
}

// reduceLimit multiplies a server's concurrency limit by factor, down to minLimit, and never raises it.
func (b *Balancer) reduceLimit(s *server, factor, minLimit float64) {
	s.concurrencyLimit = min(s.concurrencyLimit, max(s.concurrencyLimit*factor, minLimit))
	s.limitReducedAt = b.now
}

// maxConcurrencyLimit is the upper bound of a server's concurrency limit: this agent's share of
// maxServerConcurrency.
func (b *Balancer) maxConcurrencyLimit() float64 {
	return max(maxServerConcurrency/max(float64(b.settings.Replicas), 1), 1)
}

// adjustWeights derives from latency the weights that the list does not give. The agent's own zone gets more
// traffic, up to a maximum in proportion to the price of crossing zones, unless it is slower than the other
// zones: a zone with more traffic than it can handle becomes slower. If the list gives no weights, a machine
// type that is slower than the mean gets a lower weight: equal shares overload the small machines (case
// i5db14f).
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
