// This file holds the decisions on overload in a large fleet: how many attempts the agent may have in flight
// in total, and how it detects an overloaded server. So many agents share the servers of a large fleet that
// the concurrency limits of single agents cannot bound the total in flight to one server.

package policy

import (
	"math"
	"slices"
)

const (
	// logLatencyWeight is the weight of a response in logLatency, the mean logarithm of latencies as
	// fractions of the target. With this weight, an agent that gets twenty responses per second detects a
	// doubled latency within one second; a mean of the latencies themselves would not show it.
	logLatencyWeight = 0.1
	// baselineRise and baselineFall are the rates at which the baseline follows logLatency up and down.
	baselineRise, baselineFall = 0.001, 0.05
	// overloadFactor is the multiple of the baseline latency that indicates overloaded servers.
	overloadFactor = 2.5
	// maxOutlierFactor caps the latency of a response in logLatency, as a multiple of the baseline: one
	// outlier is not an overload of the fleet.
	maxOutlierFactor = 6.0
	// logLatencyDecayMs is the time constant with which logLatency returns to the baseline without
	// responses. Without overload, the agent's limit grows by a factor of e per agentLimitGrowthMs.
	logLatencyDecayMs, agentLimitGrowthMs = 3000.0, 1500.0
	// maxAgentLimitFactor bounds the agent's limit without overload, as a multiple of its even share. It is
	// above 1 because some agents have much more to send than most.
	maxAgentLimitFactor = 1.5
	// minOverloadEjection is the minimum time, in target latencies, for which a server found overloaded or
	// unresponsive gets nothing. An overloaded server recovers only after it has been idle for this long;
	// eighty agents that each validate it sooner with one request would keep it busy.
	minOverloadEjection = 8.0
	// idleInFlight is the highest number of requests in flight that a server found overloaded may report to
	// get attempts again: 1, plus a margin for slightly noisy reports. With more requests in flight the
	// server is still busy all the time and stays slow.
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

// overloadExcess is the amount by which logLatency exceeds the level that indicates overload, or a negative
// value below that level.
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

// withinAgentLimit reports whether the agent may have one more attempt in flight. Attempts that have been in
// flight for longer than the shortest target latency do not count: each waits at a slow server, or in a
// queue that the limits of other agents let drain.
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
	// If less than one attempt remains, attempts are spaced out in time instead.
	return remaining >= 1 ||
		remaining > 0 && b.now-b.lastSentAt >= math.Exp(b.logLatency)*b.minTarget/remaining
}

// suspiciouslySlow reports whether a latency, or the time without a response, as a fraction of the target,
// is a reason to validate a server. If only the mean latency counted, an agent that sends to a server every
// few seconds would send a dozen requests to an overloaded server before detecting the overload.
func (b *Balancer) suspiciouslySlow(latency float64) bool {
	return b.largeFleet() && b.settings.Limits.Probing && latency > overloadLatencyShare
}

// reportsOverload reports whether a server's load report shows more requests in flight than all agents
// together may have there. A server that was already found overloaded counts as overloaded until its report
// shows that it is idle. The report is needed as servers answer probes without queueing, so that the latency
// of a probe does not show overload.
func (b *Balancer) reportsOverload(s *server, report []float32) bool {
	i := slices.Index(b.settings.Report.Names, "inflight")
	maxInFlight := float32(maxServerConcurrency)
	if s.overloaded {
		maxInFlight = idleInFlight
	}
	return b.largeFleet() && i >= 0 && i < len(report) && report[i] > maxInFlight
}

// pendingTimeout is the longest time in ms for which a server awaits validation by a probe; afterwards
// requests may validate it.
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

// cancelInFlight cancels the attempts in flight to a server found overloaded or unresponsive, so that their
// requests are retried elsewhere in time: the attempts would be late, and would keep the server overloaded.
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
