// This file holds the decisions on the health of servers: what the end of an attempt or a probe says
// about a server, when it is ejected (state Unhealthy), and when it is validated again.

package policy

const (
	maxRecentEjections = 5 // bounds the doubling of an ejection's time
	// restartConnectFailures is how many connects have to fail in a row for a new process to be likely.
	restartConnectFailures = 3
	// minProbes is how many validations may be under way at once in any fleet.
	minProbes = 2
)

// recordOutcome takes what an attempt's end says about its server.
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

// recordTimeout ejects the server of an attempt that timed out. A server that answered other attempts
// meanwhile is not to blame for a costly request: it counts as slow.
func (b *Balancer) recordTimeout(a *attempt, latencyMs float64) {
	if a.server.lastResponse > a.sentAt {
		b.recordHintedLatency(a.request, latencyMs)
		b.recordLatency(a.server, b.relativeLatency(a.request, latencyMs))
	} else {
		b.eject(a.server, true)
	}
}

// recordConnectFailure counts a connect that failed.
func (b *Balancer) recordConnectFailure(s *server) {
	if s.connectFailures == 0 {
		s.firstConnectFailure = b.now
	}
	s.connectFailures++
	s.connectFailureSpan = b.now - s.firstConnectFailure
}

// recordResponse notes a response. A server that no connect reached for long may be a new process,
// cold and not yet listed: its slow start begins as if it had started now. Timeouts alone are no
// evidence: overloaded servers would be left idle (i228a10). Nor are one or two failed connects: where
// one server in three starts late, all servers would be taken for cold by turns.
func (b *Balancer) recordResponse(s *server) {
	if s.connectFailures >= restartConnectFailures &&
		s.connectFailureSpan > b.settings.Contract.CrashWindowMs {
		s.startedAt, s.concurrencyLimit, s.slowStartBudget = b.now, 1, b.rng.Float64()
	}
	s.lastResponse, s.connectFailures = b.now, 0
}

// eject makes a server Unhealthy and has the list fetched; failures of one moment count as one
// ejection. The server is unresponsive where it gave no answer at all, not even an error.
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

// ejectionTime is how long in ms a server stays Unhealthy before it is validated again. For a stray
// failure it is one target latency, or the time in which the agent comes by each server if that is
// longer and a validation costs a request (agents with few requests lost a third of theirs in
// validating slow servers again and again, id753de). It doubles with each further ejection. While the
// other servers have no capacity it is 0: a server that fails some requests is better than rejecting
// them all. An unresponsive server is not.
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

// ejectUnresponsive ejects servers that took attempts and have answered nothing for several expected
// latencies: servers that hang would stay Connected otherwise.
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
		// Where responses take a hundredth of the target, eight of them are one costly request.
		expected := b.expectedLatency(oldest.request)
		responseTimeout := max(expected*8/float64(min(len(s.inFlight), 3)), b.minTarget/4)
		if b.now-max(s.lastResponse, oldest.sentAt) >= responseTimeout {
			b.eject(s, true)
		}
	}
}

// revalidate, on each request, makes servers pending that were Unhealthy for their ejection time, and
// probes pending servers in the background where probes are allowed.
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
		// As with an attempt: a server that answers with an error, or breaks off, is there.
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
