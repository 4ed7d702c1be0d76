// This file holds the decisions on the health of servers: what the result of an attempt or a probe implies
// for a server, when it is ejected (state Unhealthy), and when it is validated again.

package policy

const (
	// maxRecentEjections bounds recentEjections and thus the doubling of the ejection time.
	maxRecentEjections = 5
	// restartConnectFailures is the number of consecutive connect failures that suggest that a new process
	// has started.
	restartConnectFailures = 3
	// minProbes is the number of probes that may be in flight at once in a fleet of any size.
	minProbes = 2
)

// recordOutcome updates an attempt's server with the attempt's result.
func (b *Balancer) recordOutcome(a *attempt, status Status, latencyMs float64) {
	s := a.server
	switch status {
	case OK:
		s.recordReusable(a.sentAt)
		b.refillSlowStartBudgets(s, a.cost)
		b.recordSuccess(a, latencyMs)
	case Error, Reset:
		s.lastResponse = b.now
		b.eject(s, false)
	case ConnectFailed:
		b.recordConnectFailure(s)
		b.eject(s, true)
	case Timeout:
		b.recordTimeout(a, latencyMs)
	case Full:
		s.lastResponse = b.now
		b.reduceLimit(s, rejectionBackoff, 1)
	}
}

// recordTimeout ejects the server of an attempt that timed out. If the server answered other attempts
// meanwhile, the request was probably costly: the timeout only counts as a slow response.
func (b *Balancer) recordTimeout(a *attempt, latencyMs float64) {
	if a.server.lastResponse > a.sentAt {
		b.recordHintedLatency(a.request, latencyMs)
		b.recordLatency(a.server, b.relativeLatency(a.request, latencyMs))
	} else {
		b.eject(a.server, true)
	}
}

// recordConnectFailure counts a failed connect.
func (b *Balancer) recordConnectFailure(s *server) {
	if s.connectFailures == 0 {
		s.firstConnectFailure = b.now
	}
	s.connectFailures++
	s.connectFailureSpan = b.now - s.firstConnectFailure
}

// recordResponse records a response. If the server's connects had failed for long, its slow start begins
// now: it may be a new, cold process that is not listed yet. Timeouts alone are no evidence of a restart, as
// overloaded servers would be left idle (case i228a10). One or two failed connects are no evidence
// either: when one server in three starts late, all servers would be taken for cold in turn.
func (b *Balancer) recordResponse(s *server) {
	if s.connectFailures >= restartConnectFailures &&
		s.connectFailureSpan > b.settings.Contract.CrashWindowMs {
		s.startedAt, s.concurrencyLimit, s.slowStartBudget = b.now, 1, b.rng.Float64()
	}
	s.lastResponse, s.connectFailures = b.now, 0
}

// eject makes a server Unhealthy and fetches the list. Failures of a server that is already Unhealthy do not
// count as further ejections. The parameter unresponsive means that the server sent no response at all, not
// even an error.
func (b *Balancer) eject(s *server, unresponsive bool) {
	if s.state != Unhealthy {
		s.recentEjections = min(s.recentEjections+1, maxRecentEjections)
		b.setState(s, Unhealthy)
		s.unresponsive = unresponsive
		s.consecutiveSuccesses, s.latency, s.latencySamples = 0, 0, 0
		s.concurrencyLimit = max(s.concurrencyLimit/2, 1)
	}
	b.fetchList()
}

// ejectionTime is the time in ms for which a server stays Unhealthy before it is validated again: one target
// latency after a first failure, doubled with each further ejection.
//
// If a validation costs a request, the time is at least the mean time between two requests of this agent to
// a server: agents with few requests lost a third of them by validating slow servers again and again
// (case id753de). While the other servers have no capacity, the time is 0 unless the server is
// unresponsive: using a server that fails some requests is better than rejecting all requests. In a large
// fleet, an unresponsive server gets at least minOverloadEjection.
func (b *Balancer) ejectionTime(s *server) float64 {
	if b.capacityExhausted && !s.unresponsive {
		return 0
	}
	base := b.minTarget
	if !b.settings.Limits.Probing {
		base = max(base, b.settings.Limits.KeepaliveMs*float64(b.subsetSize())/max(b.recentRequests, 1))
	}
	doubling := float64(int(1) << max(s.recentEjections-1, 0))
	if b.largeFleet() && s.unresponsive {
		return base * min(minOverloadEjection*doubling, 2*minOverloadEjection)
	}
	return base * doubling
}

// ejectUnresponsive ejects servers with attempts in flight that have sent no response for several expected
// latencies: a hung server would otherwise stay Connected.
func (b *Balancer) ejectUnresponsive() {
	for _, s := range b.servers {
		if len(s.inFlight) == 0 || s.state == Unhealthy {
			continue
		}
		oldest := s.inFlight[0]
		waited := (b.now - oldest.sentAt) / b.settings.Classes[oldest.request.class].TargetMs
		if !oldest.suspected && s.state <= Unknown && b.suspiciouslySlow(waited) {
			oldest.suspected = true
			b.setState(s, UnhealthyPending)
			continue
		}
		// The lower bound protects servers that usually respond within a hundredth of the target: there, a
		// single costly request may take eight times the expected latency.
		expected := b.expectedLatency(oldest.request)
		responseTimeout := max(expected*8/float64(min(len(s.inFlight), 3)), b.minTarget/4)
		if b.now-max(s.lastResponse, oldest.sentAt) >= responseTimeout {
			b.eject(s, true)
		}
	}
}

// revalidate runs on each request. It moves Unhealthy servers whose ejection time is over to
// UnhealthyPending, and probes pending servers in the background if probes are allowed.
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
			b.emit(Action{Kind: ActProbe, Server: s.addr, ReuseDelayMs: s.reuseDelay(),
				SingleUse: b.singleUse(s)})
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
		// As with an attempt, a server that responds with an error or resets the connection is responsive.
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
