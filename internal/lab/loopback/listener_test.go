package loopback

import (
	"errors"
	"io"
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// waitTimeout bounds every wait for an expected event.
	waitTimeout = 20 * time.Second
	// noAnswerTimeout bounds a dial to an unresponsive listener.
	noAnswerTimeout = 100 * time.Millisecond
)

// serverListener is a listener that keeps the connections that it accepts.
type serverListener struct {
	*Listener
	accepted chan net.Conn
}

// newServerListener returns an open listener at addr.
func newServerListener(t *testing.T, addr string) *serverListener {
	t.Helper()
	var conns ConnSet
	s := &serverListener{accepted: make(chan net.Conn, 100)}
	var err error
	if s.Listener, err = Listen(addr, func(c net.Conn) { conns.Add(c); s.accepted <- c }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(); conns.Reset() })
	return s
}

// change brings the listener into a state.
func (s *serverListener) change(t *testing.T, state listenerState) {
	t.Helper()
	var err error
	switch state {
	case open:
		err = s.Open()
	case unresponsive:
		err = s.StopAnswering()
	case refused:
		s.Refuse()
	}
	if err != nil {
		t.Fatalf("change to state %d: %v", state, err)
	}
}

// expectState fails the test unless a new connection to the address is handled according to the state.
func (s *serverListener) expectState(t *testing.T, addr string, want listenerState) {
	t.Helper()
	timeout := waitTimeout
	if want == unresponsive {
		timeout = noAnswerTimeout
	}
	c, err := net.DialTimeout("tcp", addr, timeout)
	var netError net.Error
	switch {
	case err == nil && want == open:
		<-s.accepted
		c.Close()
	case err == nil:
		c.Close()
		t.Fatalf("a connection was accepted, want state %d", want)
	case errors.Is(err, syscall.ECONNREFUSED):
		if want != refused {
			t.Fatalf("the connection was refused, want state %d", want)
		}
	case errors.As(err, &netError) && netError.Timeout():
		if want != unresponsive {
			t.Fatalf("the connection was not answered, want state %d", want)
		}
	default:
		t.Fatal(err)
	}
}

// A listener handles connections according to its state, and keeps its address, through many changes of
// the state.
func TestListenerStates(t *testing.T) {
	n, err := Claim()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	s := newServerListener(t, n.IP()+":0")
	addr := s.Addr()
	s.expectState(t, addr, open)
	for range 3 {
		for _, state := range []listenerState{unresponsive, open, refused, open, unresponsive, refused, open} {
			s.change(t, state)
			s.expectState(t, addr, state)
			if s.Addr() != addr {
				t.Fatalf("the address changed to %s", s.Addr())
			}
		}
	}
}

// Many listeners can become unresponsive at once, like those of a zone.
func TestManyListenersStopAnsweringAtOnce(t *testing.T) {
	var all sync.WaitGroup
	for range 50 {
		l, err := Listen("127.0.0.1:0", func(c net.Conn) { c.Close() })
		if err != nil {
			t.Fatal(err)
		}
		all.Go(func() {
			defer l.Close()
			if err := l.StopAnswering(); err != nil {
				t.Error(err)
			}
			if c, err := net.DialTimeout("tcp", l.Addr(), noAnswerTimeout); err == nil {
				c.Close()
				t.Error("a connection was accepted")
			}
		})
	}
	all.Wait()
}

// A listener opens again at its address while other goroutines start processes, which have copies of the
// closed descriptor between fork and exec.
func TestOpensWhileProcessesStart(t *testing.T) {
	l, err := Listen("127.0.0.1:0", func(c net.Conn) { c.Close() })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stop := make(chan struct{})
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	for i := range 300 {
		l.Refuse()
		if err := l.Open(); err != nil {
			t.Errorf("round %d: %v", i, err)
			break
		}
	}
	close(stop)
	all.Wait()
}

// A reset ends a connection with ECONNRESET, a close with EOF.
func TestReset(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(net.Conn)
		want error
	}{
		{"reset", Reset, syscall.ECONNRESET},
		{"close", func(c net.Conn) { c.Close() }, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := Listen("127.0.0.1:0", func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, 1))
				c.end(conn)
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			conn, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			_, _ = conn.Write([]byte("x"))
			_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
			if _, err = conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
				t.Errorf("the other end got %v, want %v", err, c.want)
			}
		})
	}
}

// Wait returns only after every call of serve has returned, including the call for a connection that was
// accepted just before Close.
func TestWaitCoversConnectionsAcceptedBeforeClose(t *testing.T) {
	for range 200 {
		var begun, returned atomic.Int64
		l, err := Listen("127.0.0.1:0", func(c net.Conn) {
			begun.Add(1)
			defer returned.Add(1)
			c.Close()
			time.Sleep(time.Millisecond) // so that Wait has something to wait for
		})
		if err != nil {
			t.Fatal(err)
		}
		var dialing sync.WaitGroup
		for range 4 {
			dialing.Go(func() {
				if c, err := net.Dial("tcp", l.Addr()); err == nil {
					c.Close()
				}
			})
		}
		l.Close()
		l.Wait()
		whenWaited := returned.Load()
		dialing.Wait()
		if n := begun.Load(); n != whenWaited {
			t.Fatalf("%d calls of serve began, %d had returned at the end of Wait", n, whenWaited)
		}
	}
}
