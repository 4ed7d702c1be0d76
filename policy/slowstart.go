// This file holds the decisions on slow start: what a server that started a short while ago (a cold
// server) may be sent, so that all agents together keep the contract without any agreement.

package policy

import "math"

const (
	// slowStartBurst bounds what a cold server's budget saves up: all agents may spend it at once.
	slowStartBurst = 1.0
	// slowStartMargin is what an even share may cost a cold server, in its present capacity: warm
	// servers answer at most all that they can, and may save three quarters of it by their warm keys.
	slowStartMargin = 4.0
)

// slowStartFactor is the part of its capacity that a server has by the contract; 1 once it is warm.
func (b *Balancer) slowStartFactor(s *server) float64 {
	c := &b.settings.Contract
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= c.SlowStartMs || s.startedAt != s.listedAt && age > c.ListPollWithinMs {
		return 1 // long past, or a restart that was assumed and not confirmed by the list in its time
	}
	return c.SlowStartFrom + (1-c.SlowStartFrom)*max(age, 0)/c.SlowStartMs
}

// slowStartShare is the part of an even share that a server may be sent: for a cold server what keeps
// the contract, so that its keys move to it as it warms up.
func (b *Balancer) slowStartShare(s *server) float64 {
	if factor := b.slowStartFactor(s); factor < 1 {
		return factor * b.settings.Contract.CrashLoadMultiple / slowStartMargin
	}
	return 1
}

// cost is the work of a request in units of the mean request's, and never less than one: hints are
// rough, and a cold server would be sent those hinted as small that are not (i299663).
func (b *Balancer) cost(r *request) float64 {
	if r.costHint > b.meanCostHint {
		return r.costHint / b.meanCostHint
	}
	return 1
}

// refillSlowStartBudgets refills each cold server's budget after a server answered: for all that warm
// servers have answered a cold one may get its share by weight and slow start. Then the servers'
// shares of all agents together stay in proportion to what they can do, without any agreement.
// Rejected attempts refill nothing: in a storm they made cold servers' shares ninefold (i86bcad).
func (b *Balancer) refillSlowStartBudgets(s *server, cost float64) {
	if b.slowStartFactor(s) < 1 {
		return
	}
	// The weight of the warm servers in the agent's subset.
	warm := b.warmWeight() * float64(b.subsetSize()) / float64(len(b.servers))
	if warm > 0 {
		b.warmWork = b.warmWork*math.Exp((b.warmWorkAt-b.now)/b.settings.Contract.SlowStartMs) + cost/warm
		b.warmWorkAt = b.now
	}
	for _, o := range b.servers {
		if b.slowStartFactor(o) < 1 && warm > 0 {
			share := b.slowStartShare(o)
			o.slowStartBudget = min(o.slowStartBudget+cost*share*o.weight/warm, slowStartBurst)
		}
	}
}

// warmWeight is the weight of the servers of the top tier that are not cold, counted once for all
// decisions of a moment.
func (b *Balancer) warmWeight() float64 {
	if b.warmTotalAt == b.now && b.warmTotalEpoch == b.epoch {
		return b.warmTotal
	}
	b.warmTotal, b.warmTotalAt, b.warmTotalEpoch = 0, b.now, b.epoch
	for _, s := range b.servers {
		if s.ready && s.state <= Unknown && b.slowStartFactor(s) == 1 {
			b.warmTotal += s.weight
		}
	}
	return b.warmTotal
}
