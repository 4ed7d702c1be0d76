// Package transient distinguishes temporary errors of system calls from permanent ones, and retries
// calls that failed with a temporary error. Both the agent and the control plane use it.
package transient

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// Errors of accept(2), socket(2), connect(2) and open(2).
var (
	// localErrors mean that this machine temporarily lacks a resource. They say nothing about the
	// peer of a connection.
	localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR}
	// networkErrors mean that the network has no route, which may be the fault of the peer.
	networkErrors = []error{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENONET}
	// permanentErrors of accept mean that the listening socket no longer exists. EOPNOTSUPP is not
	// among them, because accept also returns errors that are pending on the new connection (accept(2),
	// "Error handling").
	permanentErrors = []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}
)

// The first retry of a call waits initialBackoff, and each further one twice as long, up to MaxBackoff.
// The delays are short because clients wait in the listener's queue meanwhile and their deadlines
// approach. maxBackoffShift keeps the doubling from overflowing.
const (
	initialBackoff  = 2 * time.Millisecond
	MaxBackoff      = 20 * time.Millisecond
	maxBackoffShift = 10
)

func matchesAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// IsTemporary reports whether a failed call may soon succeed: it failed because this machine lacks a
// resource, or because a read from a device failed.
func IsTemporary(err error) bool { return matchesAny(err, localErrors) || errors.Is(err, syscall.EIO) }

// IsLocal reports whether a call failed because this machine lacks a resource.
func IsLocal(err error) bool { return matchesAny(err, localErrors) }

// IsNetwork reports whether a connect failed because the network has no route.
func IsNetwork(err error) bool { return matchesAny(err, networkErrors) }

// Backoff waits before the next attempt, after the given number of retries. It returns whether to make
// the attempt, which is false as soon as ctx ends.
func Backoff(ctx context.Context, retries int) bool {
	timer := time.NewTimer(min(initialBackoff<<min(retries, maxBackoffShift), MaxBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Retry calls call until it succeeds, it fails with an error that is not temporary, the timeout expires,
// or ctx ends. It returns the error of the last call.
func Retry(ctx context.Context, timeout time.Duration, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for retries := 0; ; retries++ {
		err := call()
		if err == nil || !IsTemporary(err) || !Backoff(ctx, retries) {
			return err
		}
	}
}

// Listener is a net.Listener whose Accept retries after every error that is not permanent.
type Listener struct {
	net.Listener
	// Context ends the wait between two attempts.
	Context context.Context
	// OnAttempt, if not nil, is called right before each attempt.
	OnAttempt func(began time.Time)
	// OnError, if not nil, receives the error of each failed attempt and when the attempt began.
	OnError func(err error, began time.Time)
}

// Accept waits for a connection. It returns net.ErrClosed once the listener is closed or Context has
// ended, and any permanent error at once.
func (l *Listener) Accept() (net.Conn, error) {
	for retries := 0; ; retries++ {
		began := time.Now()
		if l.OnAttempt != nil {
			l.OnAttempt(began)
		}
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || matchesAny(err, permanentErrors) {
			return conn, err
		}
		if l.OnError != nil {
			l.OnError(err, began)
		}
		if !Backoff(l.Context, retries) {
			return nil, net.ErrClosed
		}
	}
}
