package transient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failingListener fails with each of errs in turn, and then returns a connection.
type failingListener struct {
	net.Listener
	errs  []error
	calls int
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.calls++
	if f.calls <= len(f.errs) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", f.errs[f.calls-1])}
	}
	return &net.TCPConn{}, nil
}

// Accept retries after every error of accept(2) except those that mean that the listening socket no longer
// exists, and the retries are at most MaxBackoff apart.
func TestAcceptRetriesTransientErrors(t *testing.T) {
	for errno := syscall.Errno(1); errno < 133; errno++ {
		permanent := errno == syscall.EBADF || errno == syscall.EINVAL || errno == syscall.ENOTSOCK || errno == syscall.EFAULT
		synctest.Test(t, func(t *testing.T) {
			f := &failingListener{errs: []error{errno, errno, errno, errno, errno, errno, errno, errno}}
			onErrorCalls, began := 0, time.Now()
			l := Listener{Listener: f, Context: t.Context(), OnError: func(err error, since time.Time) { onErrorCalls++ }}
			conn, err := l.Accept()
			took := time.Since(began)
			switch {
			case permanent && (!errors.Is(err, errno) || f.calls != 1):
				t.Errorf("%v: Accept returned %v after %d calls", errno, err, f.calls)
			case !permanent && (conn == nil || err != nil || onErrorCalls != len(f.errs) || took > time.Duration(len(f.errs))*MaxBackoff):
				t.Errorf("%v: Accept returned %v after %d calls of OnError and %v", errno, err, onErrorCalls, took)
			}
		})
	}
}

// The end of the listener's context ends the retries.
func TestAcceptStopsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		f := &failingListener{errs: make([]error, 1000)}
		for i := range f.errs {
			f.errs[i] = syscall.ENFILE
		}
		l := Listener{Listener: f, Context: ctx}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept returned %v, want net.ErrClosed", err)
		}
	})
}

// Retry repeats a call while its error is temporary and the timeout has not expired, and does not repeat it
// after any other error.
func TestRetryWhileErrorIsTemporary(t *testing.T) {
	for _, c := range []struct {
		name        string
		failures    int // number of calls before the first that succeeds
		err         error
		want        error
		maxDuration time.Duration
	}{
		{"success at once", 0, nil, nil, 0},
		{"success after failures", 10, syscall.EMFILE, nil, 200 * time.Millisecond},
		{"no success", 1 << 30, syscall.EIO, syscall.EIO, time.Second},
		{"permanent error", 1 << 30, syscall.ENOENT, syscall.ENOENT, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			calls, began := 0, time.Now()
			err := Retry(t.Context(), time.Second, func() error {
				if calls++; calls <= c.failures {
					return c.err
				}
				return nil
			})
			if took := time.Since(began); !errors.Is(err, c.want) || took > c.maxDuration {
				t.Errorf("%s: Retry returned %v after %v and %d calls", c.name, err, took, calls)
			}
		})
	}
}
