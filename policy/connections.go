// This file holds the decisions on the reuse of connections to servers. HTTP/1.1 can't tell a second
// response to one request, which may arrive some milliseconds late, from the response to the next request
// on the connection. So a connection is reused only after a delay, and bytes that arrive during the delay
// show that the server misbehaves.

package policy

const (
	// reuseDelayMs is the time between a response and the next request on its connection.
	reuseDelayMs = 10.0
	// CautiousReuseDelayMs replaces reuseDelayMs for a server with fewer than provenResponses clean
	// responses. Connections that have been idle for this long are preferred.
	CautiousReuseDelayMs = 20.0
	provenResponses      = 8 // clean responses after which reuseDelayMs applies
	// singleUseMs is how long each connection to a server carries only one request after the server sent
	// unsolicited bytes.
	singleUseMs = 10_000.0
)

// onUnsolicited handles bytes from a server that belong to no request. No connection to the server is reused
// for singleUseMs; afterwards the server starts again with the cautious delay.
func (b *Balancer) onUnsolicited(ev *Event) {
	if s := b.serversByAddr[ev.Server]; s != nil {
		s.singleUseUntil, s.cleanResponses = b.now+singleUseMs, 0
		b.emit(Action{Kind: ActClose, Server: s.addr})
	}
}

// recordReusable counts a successful response if its connection was kept afterwards: on a connection that
// is closed immediately, no second response can be observed.
func (s *server) recordReusable(sentAt float64) {
	if sentAt >= s.singleUseUntil {
		s.cleanResponses++
	}
}

// singleUse reports whether a connection to the server may carry only one request.
func (b *Balancer) singleUse(s *server) bool { return b.now < s.singleUseUntil }

// reuseDelay is the time in ms between a response of the server and the next request on its connection.
func (s *server) reuseDelay() float64 {
	if s.cleanResponses < provenResponses {
		return CautiousReuseDelayMs
	}
	return reuseDelayMs
}
