package agent

import (
	"net/http"

	"knotrouter/policy"
)

// backend is one listed server and the connections to it. The loop owns it; the
// transport is shared with the attempts.
type backend struct {
	addr          policy.Addr
	dialAddr      string
	listedStartMs float64 // start of its process, by discovery's clock
	loopStartMs   float64 // the same by the loop's
	usable        bool
	transport     *http.Transport
	attempts      map[*attempt]struct{} // out now
}

// withdrawAttempts stops the attempts of which no byte has gone out, and closes the connections
// that stand idle: a backend that drains, is gone or is another now gets nothing more.
func (b *backend) withdrawAttempts() {
	for a := range b.attempts {
		if a.withdraw() {
			a.cancel(errBackendDrained)
		}
	}
	b.transport.CloseIdleConnections()
}

// removeUnused forgets a backend that is not to be sent to and has no attempt out.
func (l *loop) removeUnused(b *backend) {
	if !b.usable && len(b.attempts) == 0 {
		b.transport.CloseIdleConnections()
		if l.backends[b.addr] == b {
			delete(l.backends, b.addr)
		}
	}
}
