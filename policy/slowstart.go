// This file holds the decisions on slow start: how much a recently started server (a cold server) may be
// sent, so that all agents together keep the contract without coordination.

package policy

import "math"

const (
	// slowStartBurst bounds the budget that a cold server accumulates in one agent, as all agents may spend
	// theirs at once.
	slowStartBurst = 1.0
	// slowStartMargin is the highest work of an even share of the requests on a cold server, as a multiple
	// of its current capacity: warm servers answer only as much as they can, but their warm keys may save
	// them three quarters of the work.
	slowStartMargin = 4.0
)

// slowStartFactor is the current capacity of a server by the contract, as a fraction of its full capacity: 1
// once the server is warm.
func (b *Balancer) slowStartFactor(s *server) float64 {
	c := &b.settings.Contract
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= c.SlowStartMs || s.startedAt != s.listedAt && age > c.ListPollWithinMs {
		return 1 // started long ago, or an assumed restart that the list did not confirm in time
	}
	return c.SlowStartFrom + (1-c.SlowStartFrom)*max(age, 0)/c.SlowStartMs
}

// slowStartShare is the fraction of an even share that a server may be sent: 1 for a warm server. A cold
// server may be sent as much as the contract allows, so that its keys move to it as it warms up.
func (b *Balancer) slowStartShare(s *server) float64 {
	if factor := b.slowStartFactor(s); factor < 1 {
		return factor * b.settings.Contract.CrashLoadMultiple / slowStartMargin
	}
	return 1
}

// cost is the work of a request in units of the mean request, at least 1: hints are rough, and a cold server
// would otherwise be sent costly requests with a small hint (case i299663).
func (b *Balancer) cost(r *request) float64 {
	if r.costHint > b.meanCostHint {
		return r.costHint / b.meanCostHint
	}
	return 1
}

// refillSlowStartBudgets refills the budget of each cold server after a warm server has answered: relative to
// the work that warm servers answer, a cold server may get its share by weight and slow start. This keeps the
// servers' shares of all agents together in proportion to their capacity, without coordination. Rejected
// attempts refill nothing: in a retry storm they raised cold servers' shares ninefold (case
// i86bcad).
func (b *Balancer) refillSlowStartBudgets(s *server, cost float64) {
	if b.slowStartFactor(s) < 1 {
		return
	}
	// The total weight of the warm servers in the agent's subset.
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

// warmWeight is the total weight of the warm servers that are in no lower tier. It is cached for the current
// event time and epoch.
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
