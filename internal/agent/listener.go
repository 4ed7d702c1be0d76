package agent

import (
	"context"
	"log/slog"
	"net"
	"time"

	"knotrouter/internal/transient"
)

const (
	// acceptLogInterval is the shortest time between two log lines about failed accepts.
	acceptLogInterval = time.Second
	// minBlockingWait is the shortest wait for admission that counts as a stall of the accept queue,
	// and the shortest first read on a new connection that shows that no request had arrived with it.
	minBlockingWait = 2 * time.Millisecond
	// queueDrainTime is the longest time that the accept queue takes to drain after a stall.
	queueDrainTime = time.Second
)

// listener admits each connection to clients before it is served. It retries temporary errors of
// accept.
type listener struct {
	net.Listener
	clients *clientConns
	done    <-chan struct{}
	ctx     context.Context // its end stops the backoff between retries
	log     *slog.Logger

	queue         acceptQueue
	lastLogged    time.Time
	failedAccepts int // number of failed accepts since lastLogged
}

// Accept waits for a connection. Its error is net.ErrClosed or a permanent one.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.accept()
	if err != nil {
		return nil, err
	}
	accepted := time.Now()
	connectedAt := l.queue.earliestArrival(accepted)
	c := l.clients.admit(raw, l.done)
	if c == nil {
		return nil, net.ErrClosed
	}
	c.connectedAt = connectedAt
	if now := time.Now(); now.Sub(accepted) >= minBlockingWait {
		l.queue.recordStall(accepted, now)
	}
	return c, nil
}

// accept waits for a connection and records how long connections may have been queued.
func (l *listener) accept() (net.Conn, error) {
	failed := false
	accepting := transient.Listener{
		Listener: l.Listener,
		Context:  l.ctx,
		OnAttempt: func(began time.Time) {
			if failed {
				l.queue.extendStall(began)
			}
			// The duration of an accept does not show whether the queue was empty: an accept also
			// takes long if the process was not scheduled for a moment.
			if l.queue.stalled() && !mayBeReadable(l.Listener) {
				l.queue.markEmpty()
			}
		},
		OnError: func(err error, began time.Time) {
			failed = true
			l.logFailure(err)
			l.queue.recordStall(began, time.Now())
		},
	}
	raw, err := accepting.Accept()
	if failed {
		l.queue.extendStall(time.Now())
	}
	return raw, err
}

// logFailure logs failed accepts, at most one line per acceptLogInterval.
func (l *listener) logFailure(err error) {
	if l.failedAccepts++; time.Since(l.lastLogged) >= acceptLogInterval {
		l.log.Warn("accept failed", "err", err, "failures", l.failedAccepts)
		l.lastLogged, l.failedAccepts = time.Now(), 0
	}
}

// acceptQueue estimates how long connections have waited in the kernel's accept queue. The queue
// stalls while none is accepted, and is drained within queueDrainTime after that.
type acceptQueue struct {
	stalledFrom, stalledUntil time.Time // bounds of the last stall; zero: none since the queue was last empty
}

// recordStall records that no connection was accepted between from and to.
func (q *acceptQueue) recordStall(from, to time.Time) {
	if !q.stalled() || from.Sub(q.stalledUntil) > queueDrainTime {
		q.stalledFrom = from
	}
	q.stalledUntil = to
}

// extendStall records that the last stall, if there is one, goes on until to.
func (q *acceptQueue) extendStall(to time.Time) {
	if q.stalled() {
		q.stalledUntil = to
	}
}

// stalled reports whether there was a stall since the queue was last known to be empty.
func (q *acceptQueue) stalled() bool { return !q.stalledFrom.IsZero() }

// markEmpty records that no connection is queued.
func (q *acceptQueue) markEmpty() { q.stalledFrom, q.stalledUntil = time.Time{}, time.Time{} }

// earliestArrival returns the earliest time at which a connection that is accepted now may have
// arrived: not before the stall, and no longer ago than the stall lasted.
func (q *acceptQueue) earliestArrival(now time.Time) time.Time {
	if !q.stalled() || now.Sub(q.stalledUntil) > queueDrainTime {
		return now
	}
	if earliest := now.Add(-q.stalledUntil.Sub(q.stalledFrom)); earliest.After(q.stalledFrom) {
		return earliest
	}
	return q.stalledFrom
}
