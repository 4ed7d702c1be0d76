package agent

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"
)

const (
	// acceptLines is the time between two lines on an accept that fails.
	acceptLines = time.Second
	// queueWait is how long an accept takes at the least that found no connection waiting, and a
	// first read that found no request.
	queueWait = 2 * time.Millisecond
)

// listener gives each client a place before it is served, and accepts connections whatever accept(2)
// says, but for errors that last.
type listener struct {
	net.Listener
	clients *clients
	end     <-chan struct{}
	ctx     context.Context // ends the waits between tries
	log     *slog.Logger

	blocked time.Time // connections may have waited in the system's queue since then; zero: none did
	logged  time.Time
	failed  int // accepts that failed since a line was logged
}

// Accept waits for a connection. Its error is net.ErrClosed, or one that lasts.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.accept()
	if err != nil {
		return nil, err
	}
	accepted := time.Now()
	queued := accepted
	if !l.blocked.IsZero() {
		queued = l.blocked
	}
	c := l.clients.add(raw, l.end)
	if c == nil {
		return nil, net.ErrClosed
	}
	c.queued = queued
	if l.blocked.IsZero() && time.Since(accepted) >= queueWait {
		l.blocked = accepted // those behind it waited as long
	}
	return c, nil
}

// accept accepts a connection, and notes since when it may have waited for that.
func (l *listener) accept() (net.Conn, error) {
	for tries := 0; ; tries++ {
		began := time.Now()
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			if time.Since(began) >= queueWait {
				l.blocked = time.Time{} // the queue was empty
			}
			return raw, nil
		case errors.Is(err, net.ErrClosed) || isAny(err, lastingErrors):
			return nil, err
		}
		if l.blocked.IsZero() {
			l.blocked = began
		}
		if l.failed++; time.Since(l.logged) >= acceptLines {
			l.log.Warn("accept failed", "err", err, "failed", l.failed)
			l.logged, l.failed = time.Now(), 0
		}
		if !pause(l.ctx, tries) {
			return nil, net.ErrClosed
		}
	}
}
