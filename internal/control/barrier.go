package control

import (
	"context"
	"sync"
)

// barriers lets concurrent calls share one check against the quorum. Each call waits for a
// check that began after the call did: calls that arrive while a check is running share the
// next one.
type barriers struct {
	mu      sync.Mutex
	next    *barrier // the check that has not begun yet, or nil
	running bool     // a goroutine runs checks
}

// barrier is one shared check. term and err are valid once done is closed.
type barrier struct {
	done chan struct{}
	term uint64 // in which leadership was shown; 0 for a check that shows it in no particular term
	err  error
}

// barrierCheck is a check against the quorum. It returns the term in which it has shown leadership, if
// it is about that.
type barrierCheck func() (term uint64, err error)

// barrier waits until every entry that was in the log when it was called is applied here,
// which makes a read that follows it linearizable. It returns errNoLeader if that can't be
// shown, or the context's error.
func (s *Server) barrier(ctx context.Context) error {
	_, err := s.joinBarrier(ctx, &s.readBarriers, func() (uint64, error) { return 0, s.raft().Barrier(applyTimeout).Error() })
	return err
}

// verifyLeader has a quorum confirm that this server led when verifyLeader was called, and returns the
// term in which it did. It returns errNoLeader if it can't be shown, or the context's error.
func (s *Server) verifyLeader(ctx context.Context) (term uint64, err error) {
	return s.joinBarrier(ctx, &s.leaderChecks, func() (uint64, error) {
		return proveLeadership(s.raft(), s.config.Name, s.voters(), s.confirmedAppends, applyTimeout)
	})
}

// joinBarrier waits for the next check of b, starting the goroutine that runs them if there
// is none.
func (s *Server) joinBarrier(ctx context.Context, b *barriers, check barrierCheck) (term uint64, err error) {
	b.mu.Lock()
	if b.next == nil {
		b.next = &barrier{done: make(chan struct{})}
	}
	joined := b.next
	if !b.running {
		b.running = true
		s.startGoroutine(func() { s.runBarriers(b, check) })
	}
	b.mu.Unlock()
	select {
	case <-joined.done:
		return joined.term, joined.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// runBarriers runs checks one after the other until no call waits for one.
func (s *Server) runBarriers(b *barriers, check barrierCheck) {
	for {
		b.mu.Lock()
		current := b.next
		if current == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.next = nil
		b.mu.Unlock()
		current.runCheck(s, check)
		close(current.done)
	}
}

// runCheck runs the check, unless this server doesn't lead.
func (b *barrier) runCheck(s *Server, check barrierCheck) {
	if _, leads := s.leaderClock(); !leads {
		b.err = errNoLeader
		return
	}
	term, err := check()
	if err != nil {
		b.err = errNoLeader
		return
	}
	b.term = term
}
