package control

import (
	"context"
	"sync"
)

// sharedChecks lets concurrent calls share checks against the quorum. Each call waits for a check
// that started after the call did, so calls that arrive while a check is running share the next one.
type sharedChecks struct {
	mu      sync.Mutex
	next    *sharedCheck // the check that has not started yet, or nil
	running bool         // whether a goroutine is running checks
}

// sharedCheck is one check against the quorum and its result. term and err are valid once done is
// closed.
type sharedCheck struct {
	done chan struct{}
	term uint64 // the term in which leadership was confirmed; 0 if the check doesn't determine it
	err  error
}

// quorumCheck is a check against the quorum. It returns the term in which leadership was confirmed,
// or 0 if the check doesn't determine it.
type quorumCheck func() (term uint64, err error)

// barrier waits until every entry that was in the log when it was called is applied here, which
// makes a subsequent read linearizable. It returns errNoLeader if that can't be confirmed, or the
// context's error.
func (s *Server) barrier(ctx context.Context) error {
	_, err := s.joinSharedCheck(ctx, &s.readBarriers, func() (uint64, error) { return 0, s.raft().Barrier(applyTimeout).Error() })
	return err
}

// verifyLeader confirms with a quorum that this server led at the time of the call, and returns the raft
// term in which it led. It returns errNoLeader if that can't be confirmed, or the context's error.
func (s *Server) verifyLeader(ctx context.Context) (term uint64, err error) {
	return s.joinSharedCheck(ctx, &s.leaderChecks, func() (uint64, error) {
		return proveLeadership(s.raft(), s.config.Name, s.voters(), s.confirmedAppends, applyTimeout)
	})
}

// joinSharedCheck waits for the next check of c and returns its result. It starts the goroutine that
// runs the checks if there is none.
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

// runSharedChecks runs one check after the other until no call waits for one.
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

// run runs the check and sets its result. If this server doesn't lead, the result is errNoLeader.
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
