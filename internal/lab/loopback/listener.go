package loopback

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// listenerState determines how a listener handles new connections.
type listenerState uint8

const (
	open         listenerState = iota // connections are accepted and served
	refused                           // the kernel refuses connections: nothing listens
	unresponsive                      // the kernel drops connections: the queue is full
)

// openBacklog is the length of the queue of connections that an open listener has not accepted yet.
const openBacklog = 4096

// Listener is a TCP listener at a fixed address that can refuse connections or leave them unanswered for
// a time. It is safe for concurrent use.
type Listener struct {
	serve     func(net.Conn)
	addr      string         // with the port; only Listen writes it
	accepting sync.WaitGroup // the accepting goroutines
	serving   sync.WaitGroup // the calls of serve; only an accepting goroutine adds to it

	mu             sync.Mutex
	changed        *sync.Cond // signals changes of state and acceptorPaused
	state          listenerState
	ln             *net.TCPListener // nil until the first call of listen; closed while state is refused
	heldConns      []net.Conn       // both ends of the connections that fill the queue of an unresponsive listener
	acceptorPaused bool             // the accepting goroutine waits until the state is no longer unresponsive
	closed         bool
}

// Listen returns an open listener at addr, where port 0 selects a free port. It calls serve with each
// connection, in a new goroutine. The caller has to Close it.
func Listen(addr string, serve func(net.Conn)) (*Listener, error) {
	l := &Listener{addr: addr, serve: serve, state: refused}
	l.changed = sync.NewCond(&l.mu)
	if err := l.Open(); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr returns the address with the port. It stays the same through Refuse and Open.
func (l *Listener) Addr() string { return l.addr }

// Open accepts connections again, including those that clients began to open while the listener was
// unresponsive and still retry. It returns net.ErrClosed after Close. If it can't listen at the address,
// it returns an error and leaves the state unchanged.
func (l *Listener) Open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	switch l.state {
	case open:
		return nil
	case unresponsive:
		if err := setBacklog(l.ln, openBacklog); err != nil {
			return err
		}
	case refused:
		if err := l.listen(); err != nil {
			return fmt.Errorf("listen at %s: %w", l.addr, err)
		}
	}
	l.resetHeldConns()
	l.setState(open)
	return nil
}

// setState sets the state and wakes the goroutines that wait for it. The caller holds l.mu.
func (l *Listener) setState(state listenerState) {
	l.state = state
	l.changed.Broadcast()
}

// listen listens at the address and starts an accepting goroutine, which ends when l.ln is closed. The
// caller holds l.mu.
func (l *Listener) listen() error {
	ln, err := listenWithRetry(l.addr)
	if err != nil {
		return err
	}
	if l.ln == nil { // the address is fixed from here on, and read without l.mu
		l.addr = ln.Addr().String()
	}
	l.ln = ln.(*net.TCPListener)
	l.accepting.Add(1)
	go l.accept(l.ln)
	return nil
}

const (
	// listenRetryTimeout bounds the time in which an address that was just closed may be in use.
	listenRetryTimeout  = 2 * time.Second
	listenRetryInterval = 2 * time.Millisecond
)

// listenWithRetry listens at an address that this process may have closed a moment ago. Between fork and
// exec, a child process has a copy of every descriptor, so that the address can stay in use for some
// milliseconds.
func listenWithRetry(addr string) (ln net.Listener, err error) {
	for deadline := time.Now().Add(listenRetryTimeout); ; time.Sleep(listenRetryInterval) {
		ln, err = net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return ln, err
		}
	}
}

// resetHeldConns resets the connections that fill the queue. The caller holds l.mu.
func (l *Listener) resetHeldConns() {
	for _, c := range l.heldConns {
		Reset(c)
	}
	l.heldConns = nil
}

// Refuse closes the listener until Open: connections in its queue are reset and new ones refused.
// Connections that it has accepted stay open.
func (l *Listener) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == refused {
		return
	}
	l.ln.Close()
	l.resetHeldConns()
	l.setState(refused)
}

// Close ends the listener for good and returns once its accepting goroutines have ended. Calls of serve
// may still run; Wait waits for these.
func (l *Listener) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Refuse()
	l.accepting.Wait()
}

// Wait returns once every call of serve has returned. It may be called only after Close, when no
// further call can begin.
func (l *Listener) Wait() { l.serving.Wait() }

const (
	// maxFillers bounds the connections that are opened to fill the queue of an unresponsive listener.
	maxFillers = 8
	// fillerTimeout bounds the time to open such a connection. A timeout suggests that the queue is full.
	fillerTimeout = 40 * time.Millisecond
	// firstFillerTimeout applies until the first connection was opened, which is always possible.
	firstFillerTimeout = time.Second
	// fullQueueTimeouts is the number of timeouts after which the queue counts as full. A single timeout may
	// be due to a busy machine.
	fullQueueTimeouts = 2
)

// QueueError is the error of a listener whose queue still accepted connections after maxFillers were
// opened, which should have filled it.
type QueueError struct{ Addr string }

// Error names the listener's address.
func (e *QueueError) Error() string { return "the queue of " + e.Addr + " does not fill" }

// StopAnswering leaves new connections unanswered until Open: the queue is kept full, so that the kernel
// drops further connections, as if the machine were cut off. It has no effect unless the listener is
// open. It returns a *QueueError if the queue can't be filled.
func (l *Listener) StopAnswering() error {
	l.mu.Lock()
	if l.state != open {
		l.mu.Unlock()
		return nil
	}
	l.setState(unresponsive)
	err := setBacklog(l.ln, 0)
	addr := l.addr
	l.mu.Unlock()
	if err != nil {
		return err
	}
	return l.fillQueue(addr)
}

// fillQueue opens connections until the queue is full or the listener is no longer unresponsive.
func (l *Listener) fillQueue(addr string) error {
	timeout, timeouts := firstFillerTimeout, 0
	for range maxFillers {
		c, err := net.DialTimeout("tcp", addr, timeout)
		if isTimeout(err) {
			if timeouts++; timeouts == fullQueueTimeouts {
				return nil
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("fill the queue of %s: %w", addr, err)
		}
		if !l.addFiller(c) {
			return nil
		}
		timeout = fillerTimeout
	}
	return &QueueError{Addr: addr}
}

// isTimeout reports whether an error is a timeout.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// addFiller holds a connection that was opened to fill the queue, and waits until the accepting goroutine
// is paused: before that, it could accept a connection and so free a place in a full queue. It returns
// false if the listener is no longer unresponsive.
func (l *Listener) addFiller(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldConns = append(l.heldConns, c)
	for l.state == unresponsive && !l.acceptorPaused {
		l.changed.Wait()
	}
	if l.state != unresponsive {
		l.resetHeldConns()
		return false
	}
	return true
}

// acceptRetryDelay is the delay between a failed accept and the next one.
const acceptRetryDelay = time.Millisecond

// accept serves the connections of ln until ln is closed.
func (l *Listener) accept(ln *net.TCPListener) {
	defer l.accepting.Done()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no descriptors are left, or the client has gone
			time.Sleep(acceptRetryDelay)
			continue
		}
		if l.admit(ln, c) {
			l.serving.Go(func() { l.serve(c) })
		}
	}
}

// admit reports whether a connection that ln accepted is to be served. It resets a connection that was
// accepted while ln was being closed. It holds one that was accepted while the listener became
// unresponsive, and waits until the listener is no longer unresponsive.
func (l *Listener) admit(ln *net.TCPListener, c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == unresponsive && l.ln == ln {
		l.heldConns, l.acceptorPaused = append(l.heldConns, c), true
		l.changed.Broadcast()
		for l.state == unresponsive {
			l.changed.Wait()
		}
		l.acceptorPaused = false
		return false
	}
	if l.ln != ln || l.state == refused {
		Reset(c)
		return false
	}
	return true
}

// Reset closes a connection with a TCP reset, so that the other end sees it break, as when a process dies.
func Reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// setBacklog sets the length of a listener's queue.
func setBacklog(ln *net.TCPListener, length int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return fmt.Errorf("listen backlog: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) }); err != nil {
		return fmt.Errorf("listen backlog: %w", err)
	}
	if listenErr != nil {
		return fmt.Errorf("listen backlog: %w", listenErr)
	}
	return nil
}
