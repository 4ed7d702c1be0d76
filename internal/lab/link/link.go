// Package link is the network between two processes: a relay for one ordered pair, whose
// two directions can each be cut, delayed, slowed or broken.
package link

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/lab/loopback"
)

// Shape is what one direction of a link does with what goes along it.
type Shape struct {
	Cut            bool          // nothing arrives; on a stream it is held until this ends
	Delay          time.Duration // before it arrives
	Jitter         time.Duration // up to this on top, drawn for each piece
	Rate           float64       // bytes a second; 0: any
	ResetAfter     int64         // a connection breaks once it has carried so many bytes; 0: never
	LossShare      float64       // share of the datagrams that are dropped; streams lose nothing
	DuplicateShare float64       // share of the datagrams that arrive twice
}

// Availability is what new connections meet.
type Availability uint8

// The ways in which a link takes connections.
const (
	Open Availability = iota
	Refused
	Silent
)

// piece is the size of what is relayed at once, and most how many of them wait in one
// direction before the sender is held up as by a full window.
const (
	piece = 16 << 10
	most  = 64
)

// Counters is what a link counted.
type Counters struct {
	Connections, Bytes, Datagrams, Dropped, Resets atomic.Int64
}

// side is one direction.
type side struct {
	shape atomic.Pointer[Shape]
	mu    sync.Mutex
	free  chan struct{} // closed while the direction isn't cut
	rng   *rand.Rand
	next  time.Time // when the line is free again, at its rate
}

func newSide(seed uint64) *side {
	s := &side{free: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 5))}
	close(s.free)
	s.shape.Store(&Shape{})
	return s
}

func (s *side) set(sh Shape) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.shape.Swap(&sh)
	switch {
	case sh.Cut && !was.Cut:
		s.free = make(chan struct{})
	case !sh.Cut && was.Cut:
		close(s.free)
	}
}

// due is when something that set off now arrives.
func (s *side) due(n int) time.Time {
	sh := s.shape.Load()
	now := time.Now()
	if sh.Delay <= 0 && sh.Jitter <= 0 && sh.Rate <= 0 {
		return now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now
	if sh.Rate > 0 {
		if s.next.After(at) {
			at = s.next
		}
		at = at.Add(time.Duration(float64(n) / sh.Rate * float64(time.Second)))
		s.next = at
	}
	at = at.Add(sh.Delay)
	if sh.Jitter > 0 {
		at = at.Add(time.Duration(s.rng.Int64N(int64(sh.Jitter))))
	}
	return at
}

func (s *side) freed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.free
}

// Link relays TCP connections to a target.
type Link struct {
	Counters
	target  string
	ln      *loopback.Listener
	forward *side
	back    *side
	conns   loopback.Set
	wait    sync.WaitGroup
	closed  chan struct{}
	once    sync.Once

	mu     sync.Mutex
	own    Availability // what the link does by a fault
	theirs Availability // what its target does
	shaped time.Time    // when a fault began or ended last
	faulty bool
}

// ClearFor tells whether the link has held nothing back for at least so long.
func (l *Link) ClearFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.faulty && time.Since(l.shaped) >= d
}

// New makes a link at addr that leads to target.
func New(addr, target string, seed uint64) (*Link, error) {
	l := &Link{target: target, forward: newSide(seed), back: newSide(seed + 1), closed: make(chan struct{})}
	ln, err := loopback.Listen(addr, l.serve)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l.ln = ln
	return l, nil
}

// Addr is where the link listens in its target's place.
func (l *Link) Addr() string { return l.ln.Addr() }

// Close breaks all connections and ends the link.
func (l *Link) Close() {
	l.once.Do(func() { close(l.closed) })
	l.ln.Close()
	l.conns.Reset()
	l.wait.Wait()
}

// Set shapes the two directions. While one is cut no new connection comes up: its first
// exchange needs both.
func (l *Link) Set(forward, back Shape) error {
	l.forward.set(forward)
	l.back.set(back)
	l.mu.Lock()
	l.faulty, l.shaped = forward != Shape{} || back != Shape{}, time.Now()
	l.mu.Unlock()
	up := Open
	if forward.Cut || back.Cut {
		up = Silent
	}
	return l.meet(&l.own, up)
}

// Refuse breaks all connections and refuses new ones, until Set.
func (l *Link) Refuse() error {
	err := l.meet(&l.own, Refused)
	l.conns.Reset()
	return err
}

// SetTargetAvailability is told what connections to the target itself meet: a relay that took them
// where the target refuses would make a failed connect look like a reset.
func (l *Link) SetTargetAvailability(up Availability) error {
	err := l.meet(&l.theirs, up)
	if up == Refused {
		l.conns.Reset()
	}
	return err
}

func (l *Link) meet(which *Availability, up Availability) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	*which = up
	switch {
	case l.own == Refused || l.theirs == Refused:
		l.ln.Refuse()
		return nil
	case l.own == Silent || l.theirs == Silent:
		if err := l.ln.Open(); err != nil { // from refused to silent leads through open
			return err
		}
		return l.ln.Silence()
	}
	return l.ln.Open()
}

func (l *Link) serve(a net.Conn) {
	l.wait.Add(1)
	defer l.wait.Done()
	l.Connections.Add(1)
	b, err := net.DialTimeout("tcp", l.target, 5*time.Second)
	if err != nil {
		loopback.Reset(a)
		return
	}
	l.conns.Add(a)
	l.conns.Add(b)
	select {
	case <-l.closed: // Close may have reset all connections before these two were among them
		loopback.Reset(a)
		loopback.Reset(b)
	default:
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.pump(a, b, l.forward) }()
	go func() { defer both.Done(); l.pump(b, a, l.back) }()
	both.Wait()
	l.conns.Drop(a)
	l.conns.Drop(b)
	a.Close()
	b.Close()
}

type chunk struct {
	data []byte
	due  time.Time
	err  error // the source's end
}

var buffers = sync.Pool{New: func() any { b := make([]byte, piece); return &b }}

// pump carries one direction of a connection. Reading and writing are apart, so that a
// delay holds up nothing that comes behind it.
func (l *Link) pump(from, to net.Conn, s *side) {
	queue := make(chan chunk, most)
	gone := make(chan struct{})
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		l.read(from, s, queue, gone)
	}()
	l.write(from, to, s, queue)
	close(gone)
	// Whichever side ended, both know it: what is left to read has nowhere to go.
	_ = from.SetReadDeadline(time.Now())
	reader.Wait()
}

func (l *Link) read(from net.Conn, s *side, queue chan<- chunk, gone <-chan struct{}) {
	for {
		buf := *buffers.Get().(*[]byte)
		n, err := from.Read(buf[:piece])
		c := chunk{data: buf[:n], due: s.due(n), err: err}
		select {
		case queue <- c:
		case <-gone:
			return
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) write(from, to net.Conn, s *side, queue <-chan chunk) {
	var carried int64
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for c := range queue {
		if wait := time.Until(c.due); wait > 0 {
			t.Reset(wait)
			select {
			case <-t.C:
			case <-l.closed:
				return
			}
		}
		select {
		case <-s.freed():
		case <-l.closed:
			return
		}
		carried += int64(len(c.data))
		if after := s.shape.Load().ResetAfter; after > 0 && carried >= after {
			l.Resets.Add(1)
			loopback.Reset(to)
			loopback.Reset(from)
			return
		}
		if len(c.data) > 0 {
			if _, err := to.Write(c.data); err != nil {
				loopback.Reset(from)
				return
			}
			l.Bytes.Add(int64(len(c.data)))
		}
		data := c.data[:cap(c.data)]
		buffers.Put(&data)
		switch {
		case errors.Is(c.err, io.EOF): // half of it may go on
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		case c.err != nil:
			loopback.Reset(to)
			return
		}
	}
}
