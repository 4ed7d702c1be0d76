package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// statusMaxAge is the longest time for which the peers' statuses are cached.
	statusMaxAge = time.Second
	// statusMinAge is the shortest time between two requests for the peers' statuses.
	statusMinAge = 100 * time.Millisecond
)

// staleAfterDivisor is the number of requests for the peers' statuses within Config.StaleAfter. Several
// requests in that time ensure that staleness is noticed soon after it begins.
const staleAfterDivisor = 4

// statusInterval returns the interval at which the peers' statuses are requested.
func (s *Server) statusInterval() time.Duration {
	return min(s.config.StaleAfter/staleAfterDivisor, statusMaxAge)
}

// statusCache holds the peers' statuses as of the last request.
type statusCache struct {
	mu          sync.Mutex
	requestedAt time.Time
	statuses    []Status
}

// fresh reports whether the cached statuses may still be used. If no peer can serve, they expire
// after statusMinAge, because this server serves a stale list only while no peer can serve.
func (c *statusCache) fresh(maxAge time.Duration) bool {
	age := time.Since(c.requestedAt)
	return age < statusMinAge || age < maxAge && anyCanServe(c.statuses)
}

// peerStatuses returns the peers' statuses, from the cache while it is fresh. Peers that don't
// answer within peerTimeout are left out.
func (s *Server) peerStatuses() []Status {
	c := &s.statusCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fresh(s.statusInterval() / 2) {
		return c.statuses
	}
	c.statuses = s.requestPeerStatuses()
	c.requestedAt = time.Now()
	return c.statuses
}

// requestPeerStatuses requests the statuses of all peers concurrently and waits until each has
// answered or timed out.
func (s *Server) requestPeerStatuses() (statuses []Status) {
	ctx, cancel := context.WithTimeout(s.ctx, peerTimeout)
	defer cancel()
	names := s.config.otherPeerNames()
	answers := make(chan *Status)
	for _, name := range names {
		go func() {
			st, err := s.requestStatus(ctx, name)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &st
		}()
	}
	for range names {
		if st := <-answers; st != nil {
			statuses = append(statuses, *st)
		}
	}
	return statuses
}

// peer returns the addresses of a control-plane server from the peer table. It returns false if the
// table has no entry for the name.
func (s *Server) peer(name string) (Peer, bool) {
	p, ok := (*s.peerTable.Load())[name]
	return p, ok
}

// requestStatus requests the status of one peer. It returns an error that wraps errNotInPeerTable if the
// peer table has no address for the name, and the errors of call.
func (s *Server) requestStatus(ctx context.Context, name string) (Status, error) {
	var st Status
	p, ok := s.peer(name)
	if !ok {
		return st, fmt.Errorf("steward %s: %w", name, errNotInPeerTable)
	}
	return st, call(ctx, s.peerClient, http.MethodGet, "http://"+p.HTTP+"/v1/status", nil, &st)
}

// peerCanServe reports whether any peer can serve. If none can, this server's list is as good as
// any other, even if it is stale.
func (s *Server) peerCanServe() bool { return anyCanServe(s.peerStatuses()) }

// canServe reports whether a server has a current list to serve.
func canServe(st *Status) bool { return st.HasState && !st.Stale && !st.Draining }

// anyCanServe reports whether any of the control-plane servers can serve.
func anyCanServe(statuses []Status) bool {
	for i := range statuses {
		if canServe(&statuses[i]) {
			return true
		}
	}
	return false
}
