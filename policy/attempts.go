// This file holds the decisions on attempts: the guard that each attempt passes, and whether a request
// whose attempt ended is answered, retried or failed.

package policy

import (
	"math"
	"slices"
)

// maxWriteDelayMs is how long an agent may be delayed between reading its clock and writing: what must
// not arrive late is due so much earlier (STANDING, "What production adds").
const maxWriteDelayMs = 150.0

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasCapacity, whose credit every attempt is charged in send.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.ready || b.confirmationOverdue(s) || r.closed || r.responseStarted || r.openAttempts > 0 ||
		b.now >= r.deadline || len(r.attempts) >= b.settings.Limits.MaxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if a.server == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	if r.ambiguousAttempts == 0 {
		return true
	}
	c := &b.settings.Classes[r.class]
	switch c.Effect {
	case Idempotent:
		return true
	case Deduplicated:
		same := c.Group == GroupAll || c.Group == GroupZone && s.zone == r.executedOn.zone ||
			c.Group == GroupCell && s.cell == r.executedOn.cell
		return same && b.dedupWindowLeft(r) > 0
	}
	return false
}

// dedupWindowLeft is the time in which a repeat of a keyed request has to arrive to be dropped, or
// without bound where it is no repeat.
func (b *Balancer) dedupWindowLeft(r *request) float64 {
	c := &b.settings.Classes[r.class]
	if r.ambiguousAttempts == 0 || c.Effect != Deduplicated {
		return math.Inf(1)
	}
	return r.executedAt + c.DedupWindowMs - maxWriteDelayMs - 2*b.settings.RoundMs - b.now
}

func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	by := b.dedupWindowLeft(r)
	if math.IsInf(by, 1) {
		by = 0
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
	b.emit(Action{Kind: ActSend, Request: r.id, Server: s.addr, Ms: r.deadline - b.now, SendByMs: by})
	return true
}

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return
	}
	a := r.attempts[ev.Attempt]
	s := a.server
	a.done = true
	r.openAttempts--
	b.inFlight--
	if i := slices.Index(s.inFlight, a); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if ev.Status.NotExecuted() {
		r.ambiguousAttempts--
	}
	b.closeIdle(s)
	worth := 0.0
	if ev.Status == OK && b.now <= r.targetAt {
		worth = 1
	} else if ev.Status == OK {
		worth = b.settings.Classes[r.class].LateShare
	}
	b.retryDebt = b.retryDebt * math.Exp((b.retryDebtAt-b.now)/(retryBudgetWindow*b.minTarget))
	b.retryDebtAt = b.now
	// What never began for want of a client, or whose client left in good time, tells nothing
	// of the servers: clients that leave in a burst must not close the throttle for the others.
	if left := r.closed && ev.Status == Cancelled && b.now < r.targetAt; ev.Status != Withdrawn && !left {
		b.retryDebt += 1 - retryBudgetRatio*worth
	}
	b.recordOutcome(a, ev.Status, sanitize(ev.LatencyMs))
	if r.closed || r.responseStarted || ev.Final || ev.Status == OK {
		b.closeRequest(r)
	} else {
		b.scheduleRetry(r, ev.Status)
	}
}

// closeIdle closes a server's idle connections where keeping them costs more than opening
// one again, when this agent comes back to the server as seldom as its last sends say.
// All agents' requests are taken for this one's times their number. A thousand agents
// that each met every server kept 400 connections a server open (i5db14f).
func (b *Balancer) closeIdle(s *server) {
	p := &b.settings.Prices
	all := b.requestCount / max(b.now-b.startedAt, 1) * float64(b.settings.Replicas) // requests a ms
	if p.Connection > 0 && len(s.inFlight) == 0 &&
		(s.sendInterval == 0 || s.sendInterval*all*p.Connection > 100*float64(len(b.servers))*p.Handshake) {
		b.emit(Action{Kind: ActClose, Server: s.addr})
	}
}

// scheduleRetry holds an unanswered request for another server where class and time allow, or
// ends it. It competes with first tries, so that trouble does not multiply the load.
func (b *Balancer) scheduleRetry(r *request, why Status) {
	c := &b.settings.Classes[r.class]
	able := r.ambiguousAttempts == 0 || c.Effect == Idempotent || c.Effect == Deduplicated
	if !able || len(r.attempts) >= b.settings.Limits.MaxAttempts || why == Withdrawn || b.now >= r.deadline ||
		b.dedupWindowLeft(r) <= 0 {
		b.finish(r)
		return
	}
	b.queued = append(b.queued, r)
}
