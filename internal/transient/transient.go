// Package transient tells the errors of system calls that pass from those that last, and makes calls
// again that failed for a moment. It is the agent's and the control plane's alike.
package transient

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// The errors of system calls that pass (accept(2), socket(2), connect(2), open(2)). What the machine
// lacks for a moment says nothing of the other side; what the network lacks may.
var (
	localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR}
	networkErrors = []error{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENONET}
	// lastingErrors of accept mean that there is no listening socket any more. EOPNOTSUPP is none of
	// them: accept passes errors on that are pending on the new connection (accept(2), "Error handling").
	lastingErrors = []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}
)

func matchesAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// IsTemporary tells whether a call that failed so may go well a moment later, as it failed for want
// of something on this machine, or in reading from it.
func IsTemporary(err error) bool { return matchesAny(err, localErrors) || errors.Is(err, syscall.EIO) }

// initialDelay is the time between tries of a call that failed for a moment, and grows to MaxWait: clients
// wait in the listener's queue meanwhile, and their time runs.
const initialDelay, MaxWait = 2 * time.Millisecond, 20 * time.Millisecond

// IsLocal tells whether a call failed for want of something on this machine.
func IsLocal(err error) bool { return matchesAny(err, localErrors) }

// IsNetwork tells whether a connect failed for want of a way through the network.
func IsNetwork(err error) bool { return matchesAny(err, networkErrors) }

// Backoff waits before the next try, for longer the more there were, and tells whether there is one.
func Backoff(ctx context.Context, attempts int) bool {
	timer := time.NewTimer(min(initialDelay<<min(attempts, 10), MaxWait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Retry makes a call again for as long as it fails in a way that passes, until the time is over or
// the context ends. It returns the last error.
func Retry(ctx context.Context, within time.Duration, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for attempts := 0; ; attempts++ {
		err := call()
		if err == nil || !IsTemporary(err) || !Backoff(ctx, attempts) {
			return err
		}
	}
}

// Listener accepts connections whatever accept(2) says, but for errors that last.
type Listener struct {
	net.Listener
	// Context ends the waits between tries.
	Context context.Context
	// OnError is told of each try that failed, and when it began; nil: nobody is.
	OnError func(err error, began time.Time)
}

// Accept waits for a connection. Its error is net.ErrClosed, or one that lasts.
func (l *Listener) Accept() (net.Conn, error) {
	for attempts := 0; ; attempts++ {
		startedAt := time.Now()
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || matchesAny(err, lastingErrors) {
			return conn, err
		}
		if l.OnError != nil {
			l.OnError(err, startedAt)
		}
		if !Backoff(l.Context, attempts) {
			return nil, net.ErrClosed
		}
	}
}
