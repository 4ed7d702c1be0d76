package agent

import (
	"context"
	"log/slog"
	"net"
	"time"

	"knotrouter/internal/transient"
)

const (
	// acceptLogInterval is the time between two lines on an accept that fails.
	acceptLogInterval = time.Second
	// minBlockingWait is how long an accept takes at the least that found no connection waiting, and a
	// first read that found no request.
	minBlockingWait = 2 * time.Millisecond
	// queueDrainTime is how long a queue that stood still may take to be worked off.
	queueDrainTime = time.Second
)

// listener gives each client a place before it is served, and accepts connections whatever accept(2)
// says, but for errors that last.
type listener struct {
	net.Listener
	clients *clientConns
	done    <-chan struct{}
	ctx     context.Context // ends the waits between tries
	log     *slog.Logger

	queue         acceptQueue
	lastLogged    time.Time
	failedAccepts int // accepts that failed since a line was logged
}

// Accept waits for a connection. Its error is net.ErrClosed, or one that lasts.
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
		l.queue.noteStall(accepted, now)
	}
	return c, nil
}

// accept accepts a connection.
func (l *listener) accept() (net.Conn, error) {
	startedAt, minBlocked := time.Now(), minBlockingWait
	accepting := transient.Listener{Listener: l.Listener, Context: l.ctx, OnError: func(err error, since time.Time) {
		l.logFailure(err)
		startedAt, minBlocked = time.Now(), minBlockingWait+transient.MaxWait
		l.queue.noteStall(since, startedAt.Add(transient.MaxWait))
	}}
	raw, err := accepting.Accept()
	if time.Since(startedAt) >= minBlocked {
		l.queue.noteEmpty()
	}
	return raw, err
}

// logFailure logs accepts that fail, not each of them.
func (l *listener) logFailure(err error) {
	if l.failedAccepts++; time.Since(l.lastLogged) >= acceptLogInterval {
		l.log.Warn("accept failed", "err", err, "failed", l.failedAccepts)
		l.lastLogged, l.failedAccepts = time.Now(), 0
	}
}

// acceptQueue is how long connections may have waited in the system's acceptQueue. It stands still while none is
// accepted, and is worked off within queueDrainTime after that.
type acceptQueue struct {
	stalledFrom, stalledUntil time.Time // when it stood still last; zero: it doesn't matter any more
}

// noteStall notes that nothing was accepted from one moment to another.
func (q *acceptQueue) noteStall(from, to time.Time) {
	if q.stalledFrom.IsZero() || from.Sub(q.stalledUntil) > queueDrainTime {
		q.stalledFrom = from
	}
	q.stalledUntil = to
}

// noteEmpty notes that no connection waited.
func (q *acceptQueue) noteEmpty() { q.stalledFrom, q.stalledUntil = time.Time{}, time.Time{} }

// earliestArrival is when a connection that was accepted now came at the earliest: no longer ago than the queue
// stood still, and not before that.
func (q *acceptQueue) earliestArrival(now time.Time) time.Time {
	if q.stalledFrom.IsZero() || now.Sub(q.stalledUntil) > queueDrainTime {
		return now
	}
	if earliest := now.Add(-q.stalledUntil.Sub(q.stalledFrom)); earliest.After(q.stalledFrom) {
		return earliest
	}
	return q.stalledFrom
}
