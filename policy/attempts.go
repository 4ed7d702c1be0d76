// This file holds the decisions on attempts: the check that each attempt must pass, and whether a request
// is answered, retried or failed once an attempt has ended.

package policy

import (
	"math"
	"slices"
)

// maxWriteDelayMs is the longest assumed delay between reading the clock and writing, as a process may be
// suspended in between. Deadlines for data that must not arrive late are earlier by this margin (STANDING,
// "What production adds").
const maxWriteDelayMs = 150.0

// maySend reports whether an attempt of the request at the server is permitted. It is checked for every
// attempt and enforces that no request may be executed twice against its class and that unavailable servers
// get nothing (rules 2 and 3 of the contract), as well as the deadline and the limits. The limits on cold
// servers (rule 4) are enforced by hasCapacity; send charges a cold server's budget for each attempt.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.ready || b.confirmationOverdue(s) || r.closed || r.responseStarted || r.openAttempts > 0 ||
		b.now >= r.deadline || len(r.attempts) >= b.settings.Limits.MaxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if a.server == s && len(b.servers) > len(r.attempts) {
			return false // prefer a server that the request has not tried
		}
	}
	return b.effectPermitsRetry(r, s)
}

// effectPermitsRetry reports whether the class of the request permits one more attempt at the server when
// earlier attempts may have been executed.
func (b *Balancer) effectPermitsRetry(r *request, s *server) bool {
	if r.ambiguousAttempts == 0 {
		return true
	}
	c := &b.settings.Classes[r.class]
	switch c.Effect {
	case Idempotent:
		return true
	case Deduplicated:
		sameGroup := c.Group == GroupAll || c.Group == GroupZone && s.zone == r.executedOn.zone ||
			c.Group == GroupCell && s.cell == r.executedOn.cell
		return sameGroup && b.dedupWindowLeft(r) > 0
	}
	return false
}

// repeatableAnywhere reports whether a request of the class may be sent again to any server, whatever
// happened to earlier attempts.
func (c *Class) repeatableAnywhere() bool {
	return c.Effect == Idempotent || c.Effect == Deduplicated && c.Group == GroupAll
}

// dedupWindowLeft is the time in ms within which a repeat of the request must be written so that it arrives
// within the deduplication window. It is infinite if no earlier attempt may have been executed, or if the
// class needs no deduplication.
func (b *Balancer) dedupWindowLeft(r *request) float64 {
	c := &b.settings.Classes[r.class]
	if r.ambiguousAttempts == 0 || c.Effect != Deduplicated {
		return math.Inf(1)
	}
	return r.executedAt + c.DedupWindowMs - maxWriteDelayMs - 2*b.settings.RoundMs - b.now
}

// send sends the request to the server. If maySend forbids it, send does nothing and returns false.
func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	sendBy := b.dedupWindowLeft(r)
	if math.IsInf(sendBy, 1) {
		sendBy = 0
	}
	a := &attempt{request: r, server: s, index: len(r.attempts), soleInFlight: len(s.inFlight) == 0,
		sentAt: b.now, cost: b.cost(r)}
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if r.ambiguousAttempts == 0 {
		r.executedAt, r.executedOn = b.now, s
	}
	r.ambiguousAttempts++
	s.inFlight = append(s.inFlight, a)
	if s.lastSentAt > 0 {
		s.sendInterval = movingAverage(s.sendInterval, b.now-s.lastSentAt, serverSmoothing)
	}
	s.lastSentAt = b.now
	b.inFlight++
	b.lastSentAt = b.now
	if b.slowStartFactor(s) < 1 {
		s.slowStartBudget -= a.cost
	}
	b.emit(Action{Kind: ActSend, Request: r.id, Server: s.addr, Ms: r.deadline - b.now, SendByMs: sendBy,
		ReuseDelayMs: s.reuseDelay(), SingleUse: b.singleUse(s)})
	return true
}

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return
	}
	a := r.attempts[ev.Attempt]
	b.endAttempt(a, ev.Status)
	if !ev.Local { // local failures say nothing about the servers and cost them no work
		b.closeIdle(a.server)
		b.chargeRetryBudget(r, ev.Status)
		b.recordOutcome(a, ev.Status, sanitize(ev.LatencyMs))
	}
	if r.closed || r.responseStarted || ev.Final || ev.Status == OK {
		b.closeRequest(r)
	} else {
		b.scheduleRetry(r, ev.Status)
	}
}

// endAttempt marks an attempt as ended and updates its request, its server and the counts of attempts in
// flight.
func (b *Balancer) endAttempt(a *attempt, status Status) {
	r, s := a.request, a.server
	a.done = true
	r.openAttempts--
	b.inFlight--
	if i := slices.Index(s.inFlight, a); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if status.NotExecuted() {
		r.ambiguousAttempts--
	}
}

// chargeRetryBudget charges the retry budget for an ended attempt, and refills it for a successful one.
func (b *Balancer) chargeRetryBudget(r *request, status Status) {
	earned := 0.0
	if status == OK && b.now <= r.targetAt {
		earned = 1
	} else if status == OK {
		earned = b.settings.Classes[r.class].LateShare
	}
	b.retryDebt, b.retryDebtAt = b.currentRetryDebt(), b.now
	// Withdrawn attempts and those that the client cancelled before the target say nothing about the
	// servers: a burst of client cancellations must not use up the retry budget of the other clients.
	canceledEarly := r.closed && status == Cancelled && b.now < r.targetAt
	if status != Withdrawn && !canceledEarly {
		b.retryDebt += 1 - retryBudgetRatio*earned
	}
}

// currentRetryDebt is the retry debt at the current event, after its decay over time.
func (b *Balancer) currentRetryDebt() float64 {
	return b.retryDebt * math.Exp((b.retryDebtAt-b.now)/(retryBudgetWindow*b.minTarget))
}

// closeIdle closes a server's idle connections if this agent sends to it so seldom that keeping them costs
// more than opening new ones. The request rate of all agents is estimated as this agent's rate times the
// number of agents. Before closeIdle existed, a thousand agents that each sent to every server kept 400
// connections per server open (case i5db14f).
func (b *Balancer) closeIdle(s *server) {
	p := &b.settings.Prices
	// The request rate of all agents, in requests per ms.
	fleetRate := b.requestCount / max(b.now-b.startedAt, 1) * float64(b.settings.Replicas)
	if p.Connection > 0 && len(s.inFlight) == 0 && (s.sendInterval == 0 ||
		s.sendInterval*fleetRate*p.Connection > 100*float64(len(b.servers))*p.Handshake) {
		b.emit(Action{Kind: ActClose, Server: s.addr})
	}
}

// scheduleRetry queues an unanswered request for another server if its class and the time left allow it,
// and finishes it otherwise. Retries compete with first attempts, so that failures do not multiply the
// load.
func (b *Balancer) scheduleRetry(r *request, lastStatus Status) {
	c := &b.settings.Classes[r.class]
	repeatable := r.ambiguousAttempts == 0 || c.Effect == Idempotent || c.Effect == Deduplicated
	if !repeatable || len(r.attempts) >= b.settings.Limits.MaxAttempts || lastStatus == Withdrawn ||
		b.now >= r.deadline || b.dedupWindowLeft(r) <= 0 {
		b.finish(r)
		return
	}
	b.queued = append(b.queued, r)
}
