// This file holds the decisions on overload in a large fleet, where so many agents share the servers
// that no concurrency limit of one agent can bound what all of them have in flight at one server: how
// much the agent has in flight altogether, and how it finds an overloaded server.

package policy

import (
	"math"
	"slices"
)

const (
	// logLatencyWeight is the weight of a response in logLatency, the mean logarithm of latencies as
	// parts of the target: an agent that sees twenty responses a second knows within one second that
	// they take twice as long, which a mean of the latencies themselves would not show.
	logLatencyWeight = 0.1
	// baselineRise and baselineFall are how fast the baseline follows logLatency up and down.
	baselineRise, baselineFall = 0.001, 0.05
	// overloadFactor is how many times the baseline latency shows that servers are overloaded.
	overloadFactor = 2.5
	// maxOutlierFactor is how many times the baseline latency a response counts for at the most: one
	// outlier is no overload of the fleet.
	maxOutlierFactor = 6.0
	// logLatencyDecayMs is how long logLatency takes to return to the baseline where nothing is
	// answered. The agent's limit grows e-fold in agentLimitGrowthMs without overload.
	logLatencyDecayMs, agentLimitGrowthMs = 3000.0, 1500.0
	// maxAgentLimitFactor is how many times its even share an agent may have in flight without
	// overload: some agents have much more to send than most.
	maxAgentLimitFactor = 1.5
	// minOverloadEjection is for how many target latencies at the least a server that was found
	// overloaded or unresponsive gets nothing: an overloaded server recovers only when it has been
	// idle for as long, and eighty agents that each check sooner with one request keep it busy.
	minOverloadEjection = 8.0
	// idleInFlight is how many requests a server that was found overloaded may report to be in flight
	// when it is sent to again: one, as reports are a little noisy. With a few it is still busy all
	// the time, and stays as slow as it is.
	idleInFlight = 1.5
)

// largeFleet reports whether a concurrency limit of one attempt an agent is more than a server should
// have in flight.
func (b *Balancer) largeFleet() bool { return float64(b.settings.Replicas) > 2*maxServerConcurrency }

// recordLogLatency takes the latency of a response, as a part of its target, into logLatency and its
// baseline, and lowers the agent's limit where these show overload.
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

// initLogBaseline takes one of the first responses into the baseline of logLatency.
func (b *Balancer) initLogBaseline(x float64) {
	b.baselineLogLatency += (x - b.baselineLogLatency) / b.logLatencySamples
	if b.logLatencySamples == baselineSamples { // an overload at the start must not set the baseline
		b.baselineLogLatency = min(b.baselineLogLatency, math.Log(overloadLatencyShare/4))
	}
}

// overloadExcess is how far logLatency is above what needs no explanation by overload.
func (b *Balancer) overloadExcess() float64 {
	return b.logLatency - b.baselineLogLatency - math.Log(overloadFactor)
}

// updateAgentLimit brings what depends on time up to now: logLatency and the agent's limit.
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

// evenShare is the agent's even share of what all servers that can be sent to may have in flight.
func (b *Balancer) evenShare() float64 {
	capacity := 0.0
	for _, s := range b.servers {
		if s.ready && s.state != Unhealthy {
			capacity += b.slowStartFactor(s)
		}
	}
	return maxServerConcurrency * capacity / float64(b.settings.Replicas)
}

// withinAgentLimit reports whether the agent may have one more attempt in flight. An attempt that has
// been in flight for a target latency counts no more: it waits at an outlier, or in a queue that others
// drain.
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
	// A rest of less than one attempt is kept by pausing.
	return remaining >= 1 ||
		remaining > 0 && b.now-b.lastSentAt >= math.Exp(b.logLatency)*b.minTarget/remaining
}

// suspiciouslySlow reports whether a latency, or the time without a response, as a part of the target,
// is a reason to validate a server. By latency alone an agent that meets a server every few seconds
// would send it a dozen requests before it knew that the server is overloaded.
func (b *Balancer) suspiciouslySlow(latency float64) bool {
	return b.largeFleet() && b.settings.Limits.Probing && latency > overloadLatencyShare
}

// reportsOverload reports whether a server's load report names more requests in flight than all agents
// may have at it, or, once it was found overloaded, that it is not yet idle. Its probes are answered
// without queueing, and show nothing of that otherwise.
func (b *Balancer) reportsOverload(s *server, report []float32) bool {
	i := slices.Index(b.settings.Report.Names, "inflight")
	maxInFlight := float32(maxServerConcurrency)
	if s.overloaded {
		maxInFlight = idleInFlight
	}
	return b.largeFleet() && i >= 0 && i < len(report) && report[i] > maxInFlight
}

// pendingTimeout is how long in ms a server waits for its validation before it counts as healthy again.
func (b *Balancer) pendingTimeout() float64 {
	if b.largeFleet() {
		return 10 * b.minTarget
	}
	return b.minTarget
}

// maxProbes bounds the validations under way at once.
func (b *Balancer) maxProbes() int {
	if b.largeFleet() {
		return max(minProbes, len(b.servers)/8)
	}
	return minProbes
}

// cancelInFlight cancels the attempts at a server that was found overloaded or unresponsive, to be
// retried elsewhere while there is time: what waits there is late, and keeps the server overloaded.
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
