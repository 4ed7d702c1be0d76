package agent

import (
	"context"
	"log/slog"
	"net"
	"time"

	"knotrouter/internal/transient"
)

const (
	// acceptLines is the time between two lines on an accept that fails.
	acceptLines = time.Second
	// queueWait is how long an accept takes at the least that found no connection waiting, and a
	// first read that found no request.
	queueWait = 2 * time.Millisecond
	// queueClears is how long a queue that stood still may take to be worked off.
	queueClears = time.Second
)

// listener gives each client a place before it is served, and accepts connections whatever accept(2)
// says, but for errors that last.
type listener struct {
	net.Listener
	clients *clients
	end     <-chan struct{}
	ctx     context.Context // ends the waits between tries
	log     *slog.Logger

	queue  queue
	logged time.Time
	failed int // accepts that failed since a line was logged
}

// Accept waits for a connection. Its error is net.ErrClosed, or one that lasts.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.accept()
	if err != nil {
		return nil, err
	}
	accepted := time.Now()
	queued := l.queue.since(accepted)
	c := l.clients.add(raw, l.end)
	if c == nil {
		return nil, net.ErrClosed
	}
	c.queued = queued
	if now := time.Now(); now.Sub(accepted) >= queueWait {
		l.queue.stood(accepted, now)
	}
	return c, nil
}

// accept accepts a connection.
func (l *listener) accept() (net.Conn, error) {
	began, least := time.Now(), queueWait
	accepting := transient.Listener{Listener: l.Listener, Context: l.ctx, OnError: func(err error, since time.Time) {
		l.noteFailed(err)
		began, least = time.Now(), queueWait+transient.MaxWait
		l.queue.stood(since, began.Add(transient.MaxWait))
	}}
	raw, err := accepting.Accept()
	if time.Since(began) >= least {
		l.queue.empty()
	}
	return raw, err
}

// noteFailed logs accepts that fail, not each of them.
func (l *listener) noteFailed(err error) {
	if l.failed++; time.Since(l.logged) >= acceptLines {
		l.log.Warn("accept failed", "err", err, "failed", l.failed)
		l.logged, l.failed = time.Now(), 0
	}
}

// queue is how long connections may have waited in the system's queue. It stands still while none is
// accepted, and is worked off within queueClears after that.
type queue struct {
	from, to time.Time // when it stood still last; zero: it doesn't matter any more
}

// stood notes that nothing was accepted from one moment to another.
func (q *queue) stood(from, to time.Time) {
	if q.from.IsZero() || from.Sub(q.to) > queueClears {
		q.from = from
	}
	q.to = to
}

// empty notes that no connection waited.
func (q *queue) empty() { q.from, q.to = time.Time{}, time.Time{} }

// since is when a connection that was accepted now came at the earliest: no longer ago than the queue
// stood still, and not before that.
func (q *queue) since(now time.Time) time.Time {
	if q.from.IsZero() || now.Sub(q.to) > queueClears {
		return now
	}
	if earliest := now.Add(-q.to.Sub(q.from)); earliest.After(q.from) {
		return earliest
	}
	return q.from
}
