// This file holds the decisions on unconfirmed servers. If only a part of a list response has arrived, the
// servers that this part does not show as ready are unconfirmed: the missing part may say that they are
// draining, and the agent counts as notified of the whole response as soon as discovery has written it
// (PROTOCOL, "The rules on sockets").

package policy

const (
	// unconfirmedGraceShare is the fraction of the contract's drain grace after which unconfirmed servers
	// get no new attempts. The rest allows for delays between the decision to send and the write.
	unconfirmedGraceShare = 0.5
	// maxUnconfirmedMs is the longest time in ms for which unconfirmed servers get nothing: an unreachable
	// discovery must not stop the agent permanently.
	maxUnconfirmedMs = 10000.0
)

// onPartialList processes the received part of a list response. The received entries apply, and the servers
// that they show as ready are confirmed; all other servers are unconfirmed until a complete response arrives.
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

// listIncomplete reports whether a partial response began less than maxUnconfirmedMs ago and no complete
// response has arrived since.
func (b *Balancer) listIncomplete() bool {
	return b.partialSince > 0 && b.now < b.partialSince+maxUnconfirmedMs
}

// confirmationDueAt is the time from which unconfirmed servers get no requests.
func (b *Balancer) confirmationDueAt() float64 {
	return b.partialSince + unconfirmedGraceShare*b.settings.Contract.DrainGraceMs
}

// confirmationOverdue reports whether the server gets no requests because it was not confirmed in time.
func (b *Balancer) confirmationOverdue(s *server) bool {
	return b.listIncomplete() && !s.confirmed && b.now >= b.confirmationDueAt()
}

// markListComplete records that a complete response has arrived: no server is unconfirmed any longer.
func (b *Balancer) markListComplete() {
	if b.partialSince > 0 {
		b.partialSince = 0
		b.epoch++
	}
}

// withdrawUnconfirmed withdraws the attempts to unconfirmed servers of which no byte has been written, once
// confirmation is overdue. If the call of the incomplete response is still open, the subscription may have
// stalled, so the full list is fetched as well.
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
