// This file holds the decisions on servers that an agent doesn't know to be ready although it may
// have been told otherwise: discovery has written an answer of which only a part arrived. What was
// written counts as told (PROTOCOL, "The rules on sockets"), and a drain may stand in the rest.

package policy

const (
	// unconfirmedGrace is the part of the contract's grace after which a server that isn't
	// confirmed gets nothing more. The other part is for what holds up a send that was decided.
	unconfirmedGrace = 0.5
	// maxUnconfirmed bounds in ms how long servers are held back: a discovery that can't be
	// reached must not stop the agent for good.
	maxUnconfirmed = 10000.0
)

// onPart takes the part of an answer that has arrived. Its entries hold, and those that are ready
// are confirmed; all other servers are unconfirmed until a whole answer comes.
func (b *Balancer) onPart(ev *Event) {
	if !b.inDoubt() {
		b.partAt = b.now - finite(ev.AgeMs)
		b.partEnded = false
		b.do(Action{Kind: ActTimer, Ms: max(b.holdBackAt()-b.now, 0), Token: partToken})
	}
	b.epoch++
	for _, s := range b.servers {
		s.confirmed = false
	}
	for i := range ev.Entries {
		if s := b.byAddr[ev.Entries[i].Server]; s != nil {
			b.update(&ev.Entries[i])
			s.confirmed = s.usable
		}
	}
}

// inDoubt tells whether a part of an answer came and no whole one since.
func (b *Balancer) inDoubt() bool { return b.partAt > 0 && b.now < b.partAt+maxUnconfirmed }

// holdBackAt is from when on servers that are not confirmed get nothing.
func (b *Balancer) holdBackAt() float64 {
	return b.partAt + unconfirmedGrace*b.set.Contract.DrainGraceMs
}

// heldBack tells whether the server gets nothing as it isn't confirmed.
func (b *Balancer) heldBack(s *server) bool {
	return b.inDoubt() && !s.confirmed && b.now >= b.holdBackAt()
}

// confirm ends the doubt: a whole answer has come.
func (b *Balancer) confirm() {
	if b.partAt > 0 {
		b.partAt = 0
		b.epoch++
	}
}

// holdBack withdraws what was decided for servers that are not confirmed and has not gone out. An
// answer that is still not whole is asked for anew, beside a subscription that may have stalled.
func (b *Balancer) holdBack() {
	if !b.inDoubt() || b.now < b.holdBackAt()-1 {
		return
	}
	b.epoch++
	for _, s := range b.servers {
		if s.usable && !s.confirmed {
			b.do(Action{Kind: ActWithdraw, Server: s.id})
		}
	}
	if !b.partEnded {
		b.do(Action{Kind: ActFetchList})
	}
}
