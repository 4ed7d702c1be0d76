// This file holds the decisions on unconfirmed servers: discovery has written an answer of which only a
// part arrived. What was written counts as notified (PROTOCOL, "The rules on sockets"), and a server
// may be draining by the rest of the answer.

package policy

const (
	// unconfirmedGrace is the part of the contract's grace after which an unconfirmed server gets
	// nothing more. The other part is for delays between the decision to send and the writing.
	unconfirmedGrace = 0.5
	// maxUnconfirmed bounds how long, in ms, unconfirmed servers get nothing: a discovery that can't
	// be reached must not stop the agent for good.
	maxUnconfirmed = 10000.0
)

// onPartialList takes the part of an answer that has arrived. Its entries hold, and those that are ready
// are confirmed; all other servers are unconfirmed until a complete answer arrives.
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

// listIncomplete reports whether an answer has arrived in part and no complete one since.
func (b *Balancer) listIncomplete() bool {
	return b.partialSince > 0 && b.now < b.partialSince+maxUnconfirmed
}

// confirmationDueAt is when unconfirmed servers stop getting requests.
func (b *Balancer) confirmationDueAt() float64 {
	return b.partialSince + unconfirmedGrace*b.settings.Contract.DrainGraceMs
}

// confirmationOverdue reports whether the server gets nothing because it has not been confirmed in time.
func (b *Balancer) confirmationOverdue(s *server) bool {
	return b.listIncomplete() && !s.confirmed && b.now >= b.confirmationDueAt()
}

// markListComplete notes that a complete answer has arrived: no server is unconfirmed any more.
func (b *Balancer) markListComplete() {
	if b.partialSince > 0 {
		b.partialSince = 0
		b.epoch++
	}
}

// withdrawUnconfirmed withdraws the attempts at unconfirmed servers that have not been written yet. It
// fetches an answer that is still incomplete anew, beside a subscription that may have stalled.
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
