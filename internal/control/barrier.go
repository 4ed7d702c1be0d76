package control

import (
	"context"
	"sync"
)

// barriers shares what many calls wait for: each waits for one that began after it came.
// Those that come while one is under way share the next.
type barriers struct {
	mu   sync.Mutex
	next *barrier
	busy bool
}

type barrier struct {
	done chan struct{}
	err  error
}

func (n *Node) wait(ctx context.Context, b *barriers, pass func() error) error {
	b.mu.Lock()
	if b.next == nil {
		b.next = &barrier{done: make(chan struct{})}
	}
	mine := b.next
	if !b.busy {
		b.busy = true
		n.own(func() { n.run(b, pass) })
	}
	b.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Node) run(b *barriers, pass func() error) {
	for {
		b.mu.Lock()
		mine := b.next
		if mine == nil {
			b.busy = false
			b.mu.Unlock()
			return
		}
		b.next = nil
		b.mu.Unlock()
		if _, leads := n.elapsed(); !leads || pass() != nil {
			mine.err = errNoLeader
		}
		close(mine.done)
	}
}

// barrier makes reads linearizable: it passes once all is applied that was in the log.
func (n *Node) barrier(ctx context.Context) error {
	return n.wait(ctx, &n.reads, func() error { return n.raft().Barrier(applyWait).Error() })
}

// prove passes if this steward led when it began: a quorum has said so since.
func (n *Node) prove(ctx context.Context) error {
	return n.wait(ctx, &n.proofs, func() error { return n.raft().VerifyLeader().Error() })
}
