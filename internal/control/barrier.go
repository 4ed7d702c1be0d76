package control

import (
	"context"
	"sync"
)

// sharedChecks lets concurrent calls share one check against the quorum. Each call waits for a
// check that began after the call did: calls that arrive while a check is running share the
// next one.
type sharedChecks struct {
	mu      sync.Mutex
	next    *sharedCheck // the check that has not begun yet, or nil
	running bool         // a goroutine runs checks
}

// sharedCheck is one shared check. term and err are valid once done is closed.
type sharedCheck struct {
	done chan struct{}
	term uint64 // in which leadership was shown; 0 for a check that shows it in no particular term
	err  error
}

// quorumCheck is a check against the quorum. It returns the term in which it has shown leadership, if
// it is about that.
type quorumCheck func() (term uint64, err error)

// barrier waits until every entry that was in the log when it was called is applied here,
// which makes a read that follows it linearizable. It returns errNoLeader if that can't be
// shown, or the context's error.
func (s *Server) barrier(ctx context.Context) error {
	_, err := s.joinSharedCheck(ctx, &s.readBarriers, func() (uint64, error) { return 0, s.raft().Barrier(applyTimeout).Error() })
	return err
}

// verifyLeader has a quorum confirm that this server led when verifyLeader was called, and returns the
// term in which it did. It returns errNoLeader if it can't be shown, or the context's error.
func (s *Server) verifyLeader(ctx context.Context) (term uint64, err error) {
	return s.joinSharedCheck(ctx, &s.leaderChecks, func() (uint64, error) {
		return proveLeadership(s.raft(), s.config.Name, s.voters(), s.confirmedAppends, applyTimeout)
	})
}

// joinSharedCheck waits for the next check of c, starting the goroutine that runs them if there
// is none.
func (s *Server) joinSharedCheck(ctx context.Context, c *sharedChecks, check quorumCheck) (term uint64, err error) {
	c.mu.Lock()
	if c.next == nil {
		c.next = &sharedCheck{done: make(chan struct{})}
	}
	joined := c.next
	if !c.running {
		c.running = true
		s.startGoroutine(func() { s.runSharedChecks(c, check) })
	}
	c.mu.Unlock()
	select {
	case <-joined.done:
		return joined.term, joined.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// runSharedChecks runs checks one after the other until no call waits for one.
func (s *Server) runSharedChecks(c *sharedChecks, check quorumCheck) {
	for {
		c.mu.Lock()
		current := c.next
		if current == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.next = nil
		c.mu.Unlock()
		current.run(s, check)
		close(current.done)
	}
}

// run runs the check, unless this server doesn't lead.
func (c *sharedCheck) run(s *Server, check quorumCheck) {
	if _, leads := s.leaderClock(); !leads {
		c.err = errNoLeader
		return
	}
	term, err := check()
	if err != nil {
		c.err = errNoLeader
		return
	}
	c.term = term
}
