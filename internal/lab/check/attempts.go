package check

import (
	"time"

	"knotrouter/policy"
)

// Attempt is one arrival of a request at a server.
type Attempt struct {
	Request     *Request
	Server      int
	Index       int // position among the attempts of the request, in order of arrival; from 0
	FirstByteAt time.Duration
	LastByteAt  time.Duration
	state       attemptState // guarded by the request's mutex
}

type attemptState uint8

const (
	inFlight attemptState = iota // the server has received the attempt, and the connection is open
	rejected                     // the server rejected the attempt without executing it
	finished                     // answered, aborted or reset: the server may have executed the attempt
)

// MarkRejected records that the server rejected the attempt without executing it.
func (a *Attempt) MarkRejected() { a.setState(rejected) }

// MarkFinished records that the attempt has ended and may have been executed.
func (a *Attempt) MarkFinished() { a.setState(finished) }

// setState ends an attempt that is in flight. It has no effect on an attempt that has already ended.
func (a *Attempt) setState(state attemptState) {
	a.Request.mu.Lock()
	defer a.Request.mu.Unlock()
	if a.state == inFlight {
		a.state = state
	}
}

// attemptSummary is the state of a request's attempts that the rules depend on.
type attemptSummary struct {
	count         int
	anyInFlight   bool
	maybeExecuted *Attempt // the first attempt that the server did not reject; nil: none
}

// summarizeAttempts summarizes the attempts so far. The caller holds r.mu.
func (r *Request) summarizeAttempts() attemptSummary {
	summary := attemptSummary{count: len(r.attempts)}
	for _, a := range r.attempts {
		summary.anyInFlight = summary.anyInFlight || a.state == inFlight
		if a.state != rejected && summary.maybeExecuted == nil {
			summary.maybeExecuted = a
		}
	}
	return summary
}

// RecordAttempt records that a complete request arrived at a server, before the server handles it, and
// checks whether the agent was allowed to send it. notDelayed means that no link of the lab can have delayed
// the request.
func (c *Checker) RecordAttempt(r *Request, server int, firstByteAt, lastByteAt time.Duration, notDelayed bool) *Attempt {
	a := &Attempt{Request: r, Server: server, FirstByteAt: firstByteAt, LastByteAt: lastByteAt}
	r.mu.Lock()
	earlier := r.summarizeAttempts()
	a.Index = earlier.count
	answered := r.answeredAt
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()

	if answered > 0 && lastByteAt > answered+timingSlack && notDelayed {
		c.recordRequestBreach(RuleDuplicate, r, server, "sent %v after the final answer", lastByteAt-answered)
	}
	if limit := c.settings.Limits.MaxAttempts; limit > 0 && a.Index >= limit {
		c.recordRequestBreach(RuleDuplicate, r, server, "attempt %d of at most %d", a.Index+1, limit)
	}
	if earlier.anyInFlight && notDelayed && !c.settings.Limits.ParallelAttempts {
		c.recordRequestBreach(RuleDuplicate, r, server, "a second copy while the first is out")
	}
	if earlier.maybeExecuted != nil {
		c.checkRepeat(a, earlier.maybeExecuted, notDelayed)
	}
	if notDelayed {
		c.checkDrain(r, server, firstByteAt)
	}
	return a
}

// checkRepeat checks whether a request may be sent again after an earlier attempt that may have been
// executed.
func (c *Checker) checkRepeat(a, earlier *Attempt, notDelayed bool) {
	class := &c.settings.Classes[a.Request.Class]
	from, to := &c.servers[earlier.Server], &c.servers[a.Server]
	switch class.Effect {
	case policy.NonIdempotent:
		c.recordRequestBreach(RuleDuplicate, a.Request, a.Server, "sent again though attempt %d at %s may have run", earlier.Index, from.Name)
	case policy.Deduplicated:
		elapsed := a.LastByteAt - earlier.LastByteAt
		switch {
		case class.Group == policy.GroupZone && from.Zone != to.Zone,
			class.Group == policy.GroupCell && from.Cell != to.Cell:
			c.recordRequestBreach(RuleDuplicate, a.Request, a.Server, "sent again outside the %s of %s", class.Group, from.Name)
		case elapsed > millis(class.DedupWindowMs)+timingSlack && notDelayed:
			c.recordRequestBreach(RuleDuplicate, a.Request, a.Server, "sent again %v after the first that may have run", elapsed)
		}
	}
}

// checkDrain checks whether a request was sent to a server that the agent knows to be draining or
// removed.
func (c *Checker) checkDrain(r *Request, server int, sentAt time.Duration) {
	grace := millis(c.settings.Contract.DrainGraceMs) + timingSlack
	since, notified := c.drainNotifiedSince(r.Agent, server, sentAt)
	if notified && sentAt > since+grace && !c.wasStopped(r.Agent, since, sentAt) {
		c.recordRequestBreach(RuleDrain, r, server, "sent %v after its drain was told", sentAt-since)
	}
}
