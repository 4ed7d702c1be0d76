// This file holds the decisions on overload in a large fleet, where so many agents share the servers that
// the concurrency limits of single agents cannot bound the total in flight to one server: how many attempts
// the agent may have in flight in total, and how it detects an overloaded server.

package policy

import (
	"math"
	"slices"
)

const (
	// logLatencyWeight is the weight of a response in logLatency, the mean logarithm of latencies as
	// fractions of the target. An agent that sees twenty responses per second thus detects within one
	// second that they take twice as long; a mean of the latencies themselves would not show this.
	logLatencyWeight = 0.1
	// baselineRise and baselineFall are the rates at which the baseline follows logLatency up and down.
	baselineRise, baselineFall = 0.001, 0.05
	// overloadFactor is the multiple of the baseline latency that indicates overloaded servers.
	overloadFactor = 2.5
	// maxOutlierFactor caps the latency of a response, as a multiple of the baseline: one outlier is not an
	// overload of the fleet.
	maxOutlierFactor = 6.0
	// logLatencyDecayMs is the time constant with which logLatency returns to the baseline without
	// responses. Without overload, the agent's limit grows by a factor of e per agentLimitGrowthMs.
	logLatencyDecayMs, agentLimitGrowthMs = 3000.0, 1500.0
	// maxAgentLimitFactor bounds the agent's limit without overload, as a multiple of its even share: some
	// agents have much more to send than most.
	maxAgentLimitFactor = 1.5
	// minOverloadEjection is the minimum time, in target latencies, for which a server found overloaded or
	// unresponsive gets nothing. An overloaded server recovers only when it has been idle for this long,
	// and eighty agents that each validate it sooner with one request keep it busy.
	minOverloadEjection = 8.0
	// idleInFlight is the highest number of requests in flight that a server found overloaded may report to
	// get attempts again: 1, with a margin as reports are slightly noisy. With a few in flight it is still
	// busy all the time and stays slow.
	idleInFlight = 1.5
)

// largeFleet reports whether there are so many agents that one attempt of each is more than a server should
// have in flight.
func (b *Balancer) largeFleet() bool { return float64(b.settings.Replicas) > 2*maxServerConcurrency }

// recordLogLatency adds the latency of a response, as a fraction of its target, to logLatency and its
// baseline, and lowers the agent's limit if these indicate overload.
func (b *Balancer) recordLogLatency(latency float64) {
	if !b.largeFleet() {
		return
	}
	x := math.Log(max(latency, 1e-4))
	b.updateAgentLimit()
	b.logLatencySamples++
	if b.logLatencySamples > baselineSamples {
		x = min(x, b.baselineLogLatency+math.Log(maxOutlierFactor))
	}
	b.logLatency += (x - b.logLatency) * max(logLatencyWeight, 1/b.logLatencySamples)
	if b.logLatencySamples <= baselineSamples {
		b.initLogBaseline(x)
		return
	}
	rate := baselineRise
	if b.logLatency < b.baselineLogLatency {
		rate = baselineFall
	}
	b.baselineLogLatency += (b.logLatency - b.baselineLogLatency) * rate
	if b.overloadExcess() > 0 {
		b.agentLimit = min(b.agentLimit, b.evenShare())
	}
}

// initLogBaseline adds one of the first responses to the baseline of logLatency.
func (b *Balancer) initLogBaseline(x float64) {
	b.baselineLogLatency += (x - b.baselineLogLatency) / b.logLatencySamples
	if b.logLatencySamples == baselineSamples { // an overload at startup must not set the baseline
		b.baselineLogLatency = min(b.baselineLogLatency, math.Log(overloadLatencyShare/4))
	}
}

// overloadExcess is how far logLatency exceeds the level that indicates overload; negative below it.
func (b *Balancer) overloadExcess() float64 {
	return b.logLatency - b.baselineLogLatency - math.Log(overloadFactor)
}

// updateAgentLimit advances the time-dependent values to now: logLatency and the agent's limit.
func (b *Balancer) updateAgentLimit() {
	passed := b.now - b.agentLimitAt
	b.agentLimitAt = b.now
	b.logLatency = b.baselineLogLatency +
		(b.logLatency-b.baselineLogLatency)*math.Exp(-passed/logLatencyDecayMs)
	if b.overloadExcess() <= 0 {
		b.agentLimit *= math.Exp(passed / agentLimitGrowthMs)
	}
	b.agentLimit = min(b.agentLimit, max(maxAgentLimitFactor*b.evenShare(), 1))
}

// evenShare is the agent's even share of the attempts that all usable servers may have in flight.
func (b *Balancer) evenShare() float64 {
	capacity := 0.0
	for _, s := range b.servers {
		if s.ready && s.state != Unhealthy {
			capacity += b.slowStartFactor(s)
		}
	}
	return maxServerConcurrency * capacity / float64(b.settings.Replicas)
}

// withinAgentLimit reports whether the agent may have one more attempt in flight. An attempt that has been
// in flight for longer than a target latency no longer counts: it waits at an outlier, or in a queue that
// others drain.
func (b *Balancer) withinAgentLimit() bool {
	if !b.largeFleet() || b.logLatencySamples <= baselineSamples {
		return true
	}
	b.updateAgentLimit()
	remaining := b.agentLimit
	for _, s := range b.servers {
		for _, a := range s.inFlight {
			if b.now-a.sentAt < b.minTarget {
				remaining--
			}
		}
	}
	// A remainder below 1 is kept by spacing attempts out.
	return remaining >= 1 ||
		remaining > 0 && b.now-b.lastSentAt >= math.Exp(b.logLatency)*b.minTarget/remaining
}

// suspiciouslySlow reports whether a latency, or the time without a response, as a fraction of the target,
// is a reason to validate a server. Judging by mean latency alone, an agent that sends to a server every
// few seconds would send it a dozen requests before detecting that it is overloaded.
func (b *Balancer) suspiciouslySlow(latency float64) bool {
	return b.largeFleet() && b.settings.Limits.Probing && latency > overloadLatencyShare
}

// reportsOverload reports whether a server's load report shows more requests in flight than all agents may
// have there, or, if it was found overloaded, that it is not idle yet. Probes are answered without
// queueing, so their latency does not show this.
func (b *Balancer) reportsOverload(s *server, report []float32) bool {
	i := slices.Index(b.settings.Report.Names, "inflight")
	maxInFlight := float32(maxServerConcurrency)
	if s.overloaded {
		maxInFlight = idleInFlight
	}
	return b.largeFleet() && i >= 0 && i < len(report) && report[i] > maxInFlight
}

// pendingTimeout is how long in ms a server awaits validation before it counts as healthy again.
func (b *Balancer) pendingTimeout() float64 {
	if b.largeFleet() {
		return 10 * b.minTarget
	}
	return b.minTarget
}

// maxProbes bounds the probes in flight at once.
func (b *Balancer) maxProbes() int {
	if b.largeFleet() {
		return max(minProbes, len(b.servers)/8)
	}
	return minProbes
}

// cancelInFlight cancels the attempts in flight to a server found overloaded or unresponsive, so that they
// are retried elsewhere while there is time: they would be late, and keep the server overloaded.
func (b *Balancer) cancelInFlight(s *server) {
	if !b.largeFleet() || !b.settings.Limits.Cancelling {
		return
	}
	for _, a := range s.inFlight {
		r := a.request
		if !r.closed && !r.responseStarted && b.settings.Classes[r.class].repeatableAnywhere() {
			b.emit(Action{Kind: ActCancel, Request: r.id, Attempt: a.index})
		}
	}
}
