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

// barrier is one shared check. err is valid once done is closed.
type barrier struct {
	done chan struct{}
	err  error
}

// barrier waits until every entry that was in the log when it was called is applied here,
// which makes a read that follows it linearizable. It returns errNoLeader if that can't be
// shown, or the context's error.
func (s *Server) barrier(ctx context.Context) error {
	return s.joinBarrier(ctx, &s.readBarriers, func() error { return s.raft().Barrier(applyTimeout).Error() })
}

// verifyLeader has a quorum confirm that this server led when verifyLeader was called. It
// returns errNoLeader if it can't be shown, or the context's error.
func (s *Server) verifyLeader(ctx context.Context) error {
	return s.joinBarrier(ctx, &s.leaderChecks, func() error { return s.raft().VerifyLeader().Error() })
}

// joinBarrier waits for the next check of b, starting the goroutine that runs them if there
// is none.
func (s *Server) joinBarrier(ctx context.Context, b *barriers, check func() error) error {
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
		return joined.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runBarriers runs checks one after the other until no call waits for one.
func (s *Server) runBarriers(b *barriers, check func() error) {
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
		if _, leads := s.leaderClock(); !leads || check() != nil {
			current.err = errNoLeader
		}
		close(current.done)
	}
}
