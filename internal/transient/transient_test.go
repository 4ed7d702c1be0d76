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

// failingListener fails with each error in turn, and then accepts.
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

// Every error of accept(2) passes but those that mean that there is no listening socket, and the tries
// are soon and at most 20 ms apart.
func TestAcceptRetriesTransientErrors(t *testing.T) {
	for errno := syscall.Errno(1); errno < 133; errno++ {
		lasts := errno == syscall.EBADF || errno == syscall.EINVAL || errno == syscall.ENOTSOCK || errno == syscall.EFAULT
		synctest.Test(t, func(t *testing.T) {
			f := &failingListener{errs: []error{errno, errno, errno, errno, errno, errno, errno, errno}}
			told, began := 0, time.Now()
			l := Listener{Listener: f, Context: t.Context(), OnError: func(err error, since time.Time) { told++ }}
			c, err := l.Accept()
			took := time.Since(began)
			switch {
			case lasts && (!errors.Is(err, errno) || f.calls != 1):
				t.Errorf("%v: %v after %d calls", errno, err, f.calls)
			case !lasts && (c == nil || err != nil || told != len(f.errs) || took > time.Duration(len(f.errs))*MaxWait):
				t.Errorf("%v: %v, told %d times, after %v", errno, err, told, took)
			}
		})
	}
}

// The end of its context ends the tries.
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
			t.Errorf("ended with %v", err)
		}
	})
}

// A call is made again while its error passes and there is time, and not after another error.
func TestRetryWhileErrorIsTemporary(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails int // calls, before one goes well
		err   error
		want  error
		most  time.Duration
	}{
		{"well at once", 0, nil, nil, 0},
		{"well in the end", 10, syscall.EMFILE, nil, 200 * time.Millisecond},
		{"never", 1 << 30, syscall.EIO, syscall.EIO, time.Second},
		{"lasting", 1 << 30, syscall.ENOENT, syscall.ENOENT, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			calls, began := 0, time.Now()
			err := Retry(t.Context(), time.Second, func() error {
				if calls++; calls <= c.fails {
					return c.err
				}
				return nil
			})
			if took := time.Since(began); !errors.Is(err, c.want) || took > c.most {
				t.Errorf("%s: %v after %v and %d calls", c.name, err, took, calls)
			}
		})
	}
}
