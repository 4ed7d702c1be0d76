package agent

import "knotrouter/policy"

// backend is one listed server and the connections to it. The loop owns it; the attempts share its
// transport.
type backend struct {
	addr          policy.Addr
	dialAddr      string
	listedStartMs float64 // start of the server's process on discovery's clock, in ms
	loopStartMs   float64 // start of the server's process on the loop's clock, in ms
	usable        bool    // the server is listed as ready
	transport     *backendTransport
	attempts      map[*attempt]struct{} // attempts in flight
}

// withdrawAttempts withdraws the attempts that have not written a byte yet and closes the idle
// connections. It is called when the server drains, is removed, or was replaced by another process
// or address.
func (b *backend) withdrawAttempts() {
	for a := range b.attempts {
		if a.withdraw() {
			a.cancel(errBackendDrained)
		}
	}
	b.transport.CloseIdleConnections()
}

// newTransport returns a transport for connections to b.
func (l *loop) newTransport(b *backend) *backendTransport {
	t := l.dialer.newTransport()
	t.onUnsolicited = func() { l.post(event{kind: eventUnsolicited, backend: b, transport: t}) }
	return t
}

// handleUnsolicited logs that a backend sent bytes that belong to no response, and informs the balancer.
// It is called at most once for each connection.
func (l *loop) handleUnsolicited(b *backend, t *backendTransport) {
	if l.backends[b.addr] != b || b.transport != t {
		return // the bytes came from a previous process or address
	}
	l.log.Info("backend sent unsolicited bytes", "address", b.dialAddr)
	l.dispatch(&policy.Event{Kind: policy.EvUnsolicited, Server: b.addr})
}

// removeUnused removes b from the loop if b is not usable and has no attempt in flight.
func (l *loop) removeUnused(b *backend) {
	if !b.usable && len(b.attempts) == 0 {
		b.transport.CloseIdleConnections()
		if l.backends[b.addr] == b {
			delete(l.backends, b.addr)
		}
	}
}
