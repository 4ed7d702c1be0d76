package agent

import (
	"net/http"

	"knotrouter/policy"
)

// backend is one listed server and the connections to it. The loop owns it; the attempts share its
// transport.
type backend struct {
	addr          policy.Addr
	dialAddr      string
	listedStartMs float64 // start of its process in ms of discovery's clock
	loopStartMs   float64 // the same in ms of the loop's clock
	usable        bool
	transport     *http.Transport
	attempts      map[*attempt]struct{} // in flight
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

// removeUnused removes b from the loop if b is not usable and has no attempt in flight.
func (l *loop) removeUnused(b *backend) {
	if !b.usable && len(b.attempts) == 0 {
		b.transport.CloseIdleConnections()
		if l.backends[b.addr] == b {
			delete(l.backends, b.addr)
		}
	}
}
