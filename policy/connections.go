// This file holds the decisions on the reuse of connections to servers. HTTP/1.1 can't tell a second
// response to one request, which may come some milliseconds late, from the response to the next request
// on its connection. So a connection is used again only after a delay, and bytes that come meanwhile show
// what the server does.

package policy

const (
	// reuseDelayMs is the time from a response until the next request on its connection.
	reuseDelayMs = 10.0
	// CautiousReuseDelayMs is the same for a server of which less than provenResponses are known. Of idle
	// connections, those are preferred that have been idle for so long.
	CautiousReuseDelayMs = 20.0
	provenResponses      = 8
	// singleUseMs is how long after unsolicited bytes each connection to a server carries one request only.
	singleUseMs = 10_000.0
)

// onUnsolicited notes that a server sent bytes that no request had asked for. For a time no connection
// to it carries a next request, and after that it has to prove itself again.
func (b *Balancer) onUnsolicited(ev *Event) {
	if s := b.serversByAddr[ev.Server]; s != nil {
		s.singleUseUntil, s.cleanResponses = b.now+singleUseMs, 0
		b.emit(Action{Kind: ActClose, Server: s.addr})
	}
}

// recordReusable counts a good response of an attempt whose connection was kept after it: on one that was
// closed at once, no second response can be seen.
func (s *server) recordReusable(sentAt float64) {
	if sentAt >= s.singleUseUntil {
		s.cleanResponses++
	}
}

// singleUse reports whether a connection to the server may carry one request only.
func (b *Balancer) singleUse(s *server) bool { return b.now < s.singleUseUntil }

// reuseDelay is the time in ms from a response of the server until the next request on its connection.
func (s *server) reuseDelay() float64 {
	if s.cleanResponses < provenResponses {
		return CautiousReuseDelayMs
	}
	return reuseDelayMs
}
