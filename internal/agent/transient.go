package agent

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
	// lastingErrors of accept mean that there is no listening socket any more.
	lastingErrors = []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT}
)

func isAny(err error, of []error) bool {
	return slices.ContainsFunc(of, func(e error) bool { return errors.Is(err, e) })
}

// IsTransient tells whether a call that failed so may go well a moment later, as it failed for want
// of something on this machine, or in reading from it.
func IsTransient(err error) bool { return isAny(err, localErrors) || errors.Is(err, syscall.EIO) }

const (
	// transientWait is the time between tries of a call that failed for a moment, which grows to
	// maxTransientWait: clients wait in the listener's queue meanwhile, and their time runs.
	transientWait, maxTransientWait = 2 * time.Millisecond, 20 * time.Millisecond
)

// pause waits before the next try, for longer the more there were, and tells whether there is one.
func pause(ctx context.Context, tries int) bool {
	t := time.NewTimer(min(transientWait<<min(tries, 10), maxTransientWait))
	defer t.Stop()
	select {
	case <-t.C:
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
	for tries := 0; ; tries++ {
		err := call()
		if err == nil || !IsTransient(err) || !pause(ctx, tries) {
			return err
		}
	}
}

// connectThrough connects again while a connect fails for want of something on this machine or of a
// way through the network, as long as the context lets it. What is left then is wrapped in errSockets
// where this machine is to blame.
func connectThrough(ctx context.Context, connect func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	for tries := 0; ; tries++ {
		c, err := connect(ctx)
		local := isAny(err, localErrors)
		if err == nil || !local && !isAny(err, networkErrors) || !pause(ctx, tries) {
			if local {
				err = errors.Join(errSockets, err)
			}
			return c, err
		}
	}
}
