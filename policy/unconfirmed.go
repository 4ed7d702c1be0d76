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

// onPartialList takes the part of an answer that has arrived. Its entries hold, and those that are ready
// are confirmed; all other servers are unconfirmed until a whole answer comes.
func (b *Balancer) onPartialList(ev *Event) {
	if !b.listIncomplete() {
		b.partialSince = b.now - sanitize(ev.AgeMs)
		b.partialCallEnded = false
		b.emit(Action{Kind: ActTimer, Ms: max(b.confirmationDueAt()-b.now, 0), Token: confirmationToken})
	}
	b.epoch++
	for _, s := range b.servers {
		s.confirmed = false
	}
	for i := range ev.Entries {
		if s := b.serversByAddr[ev.Entries[i].Server]; s != nil {
			b.updateServer(&ev.Entries[i])
			s.confirmed = s.ready
		}
	}
}

// listIncomplete tells whether a part of an answer came and no whole one since.
func (b *Balancer) listIncomplete() bool {
	return b.partialSince > 0 && b.now < b.partialSince+maxUnconfirmed
}

// confirmationDueAt is from when on servers that are not confirmed get nothing.
func (b *Balancer) confirmationDueAt() float64 {
	return b.partialSince + unconfirmedGrace*b.settings.Contract.DrainGraceMs
}

// confirmationOverdue tells whether the server gets nothing as it isn't confirmed.
func (b *Balancer) confirmationOverdue(s *server) bool {
	return b.listIncomplete() && !s.confirmed && b.now >= b.confirmationDueAt()
}

// markListComplete ends the doubt: a whole answer has come.
func (b *Balancer) markListComplete() {
	if b.partialSince > 0 {
		b.partialSince = 0
		b.epoch++
	}
}

// withdrawUnconfirmed withdraws what was decided for servers that are not confirmed and has not gone out. An
// answer that is still not whole is asked for anew, beside a subscription that may have stalled.
func (b *Balancer) withdrawUnconfirmed() {
	if !b.listIncomplete() || b.now < b.confirmationDueAt()-1 {
		return
	}
	b.epoch++
	for _, s := range b.servers {
		if s.ready && !s.confirmed {
			b.emit(Action{Kind: ActWithdraw, Server: s.addr})
		}
	}
	if !b.partialCallEnded {
		b.emit(Action{Kind: ActFetchList})
	}
}
