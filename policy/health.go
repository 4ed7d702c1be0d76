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
		b.reduceLimit(s, rejectionBackoff, 1)
	}
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
