// Package loopback gives the parties of an experiment addresses of their own on
// 127.0.0.0/8, and listeners that can be refused or fall silent as a machine does that
// was killed or cut off.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// backlog is how many connections wait to be accepted while a listener is open.
const backlog = 4096

// fillers is how many connections are tried at most to fill the queue of a silent
// listener, and fillWait how long one may take before the queue counts as full.
const (
	fillers  = 8
	fillWait = 40 * time.Millisecond
)

// Net hands out addresses that no other Net on the machine hands out while this one is
// open: a party that ends and begins again finds its port as it left it.
type Net struct {
	mu    sync.Mutex
	next  int
	claim net.Listener
}

const (
	// nets is how many there can be at once on one machine, and perNet how many addresses
	// each has; the last one of each is where it is claimed.
	nets, perNet = 300, 50_000
	claimPort    = ":20004"
)

// Claim makes a Net of addresses that are nobody's.
func Claim() (*Net, error) {
	for try := range nets {
		first := (os.Getpid() + try) % nets * perNet
		claim, err := net.Listen("tcp", address(first+perNet-1)+claimPort)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("claim addresses: %w", err)
		}
		return &Net{next: first, claim: claim}, nil
	}
	return nil, fmt.Errorf("claim addresses: %d labs run on this machine", nets)
}

// Close gives the addresses back.
func (n *Net) Close() { n.claim.Close() }

func address(i int) string {
	// 127.0.x.y is left to the programs that listen on localhost.
	return fmt.Sprintf("127.%d.%d.%d", 1+i/(250*250), i/250%250, 1+i%250)
}

// IP returns an address that this Net has not given yet. An experiment uses a few thousand
// of what there are.
func (n *Net) IP() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	return address(n.next - 1)
}

// FreePort returns an address with a port that nothing listens on at the moment, on an
// IP that no other party of this lab is given.
func (n *Net) FreePort() (string, error) {
	l, err := net.Listen("tcp", n.IP()+":0")
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Listener is a TCP listener at a fixed address whose accepting can be stopped in the two
// ways in which a machine is not there.
type Listener struct {
	addr    string
	serve   func(net.Conn)
	done    sync.WaitGroup
	mu      sync.Mutex
	state   state
	ln      *net.TCPListener
	opened  *sync.Cond
	held    []net.Conn // accepted while silent, or dialled to fill the queue
	parked  bool       // the accepting goroutine waits for the end of the silence
	closing bool
}

type state uint8

const (
	open state = iota
	refused
	silent
)

// Listen opens a listener at addr, where port 0 takes a free one, and hands each
// connection to serve in a goroutine of its own.
func Listen(addr string, serve func(net.Conn)) (*Listener, error) {
	l := &Listener{addr: addr, serve: serve, state: refused}
	l.opened = sync.NewCond(&l.mu)
	if err := l.Open(); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr is where it listens; it stays the same through Refuse and Open.
func (l *Listener) Addr() string { return l.addr }

// Open takes connections again, those that came up meanwhile included.
func (l *Listener) Open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closing:
		return net.ErrClosed
	case l.state == open:
		return nil
	case l.state == silent:
		if err := setBacklog(l.ln, backlog); err != nil {
			return err
		}
	case l.state == refused:
		ln, err := relisten(l.addr)
		if err != nil {
			return fmt.Errorf("listen at %s: %w", l.addr, err)
		}
		l.ln, l.addr = ln.(*net.TCPListener), ln.Addr().String()
		l.done.Add(1)
		go l.accept(l.ln)
	}
	l.release()
	l.state = open
	l.opened.Broadcast()
	return nil
}

// relisten listens at an address that this process may just have closed. A child that is
// being started holds a copy of every descriptor until it becomes its program, so for some
// milliseconds the address can still be in use.
func relisten(addr string) (ln net.Listener, err error) {
	for end := time.Now().Add(relistenFor); ; time.Sleep(2 * time.Millisecond) {
		ln, err = net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return ln, err
		}
	}
}

const relistenFor = 2 * time.Second

// release resets the connections that a silent listener holds.
func (l *Listener) release() {
	for _, c := range l.held {
		Reset(c)
	}
	l.held = nil
}

// Refuse ends the listener: connections in its queue are reset and new ones refused.
func (l *Listener) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != refused {
		l.state = refused
		l.ln.Close()
		l.release()
		l.opened.Broadcast()
	}
}

// Silence makes new connections never come up: the queue is kept full, so the kernel
// drops what asks for a place in it, as a machine that is cut off would.
func (l *Listener) Silence() error {
	l.mu.Lock()
	if l.state != open {
		l.mu.Unlock()
		return nil
	}
	l.state = silent
	err := setBacklog(l.ln, 0)
	addr := l.addr
	l.mu.Unlock()
	if err != nil {
		return err
	}
	// Until the accepting goroutine has taken one more and stands still, it could take the
	// next out of a queue that has just been full.
	parked, late := false, 0
	for range fillers {
		wait := fillWait
		if !parked {
			wait = time.Second
		}
		c, err := net.DialTimeout("tcp", addr, wait)
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				// One that comes late may be a busy machine's; the second says that the queue is full.
				if late++; late == 2 {
					return nil
				}
				continue
			}
			return fmt.Errorf("fill the queue of %s: %w", addr, err)
		}
		l.mu.Lock()
		l.held = append(l.held, c)
		for l.state == silent && !l.parked {
			l.opened.Wait()
		}
		parked = true
		if l.state != silent {
			l.release()
			l.mu.Unlock()
			return nil
		}
		l.mu.Unlock()
	}
	return fmt.Errorf("the queue of %s does not fill", addr)
}

// Close ends the listener for good and waits for its goroutine.
func (l *Listener) Close() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.Refuse()
	l.done.Wait()
}

func (l *Listener) accept(ln *net.TCPListener) {
	defer l.done.Done()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, or the peer has gone: the next may do
			time.Sleep(time.Millisecond)
			continue
		}
		l.mu.Lock()
		if l.state == silent && l.ln == ln {
			l.held, l.parked = append(l.held, c), true
			l.opened.Broadcast()
			for l.state == silent {
				l.opened.Wait()
			}
			l.parked = false
			l.mu.Unlock()
			continue
		}
		gone := l.ln != ln || l.state == refused
		l.mu.Unlock()
		if gone {
			Reset(c)
			continue
		}
		go l.serve(c)
	}
}

// Reset closes a connection so that the other end sees it break, as when a process dies.
func Reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func setBacklog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return fmt.Errorf("listen backlog: %w", err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return fmt.Errorf("listen backlog: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("listen backlog: %w", failed)
	}
	return nil
}
