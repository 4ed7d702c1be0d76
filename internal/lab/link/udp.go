package link

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// mostFlying bounds the datagrams that a relay holds back at once; what comes on top
	// is dropped and counted, as a full queue does on the way.
	mostFlying = 4096
	// mostSources bounds the senders that a relay tells apart; the one that was heard
	// longest ago goes.
	mostSources = 256
	datagram    = 64 << 10
)

// UDP relays datagrams to a target. Each sender is shown to the target as an address of
// its own, to which the target can answer.
type UDP struct {
	Counters
	target  *net.UDPAddr
	in      *net.UDPConn
	forward *side
	back    *side
	wait    sync.WaitGroup

	mu      sync.Mutex
	sources map[string]*source
	flying  int
	closed  bool
}

type source struct {
	addr  *net.UDPAddr
	out   *net.UDPConn
	heard time.Time
}

// NewUDP makes a relay at addr that leads to target.
func NewUDP(addr, target string, seed uint64) (*UDP, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("udp link: %w", err)
	}
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("udp link: %w", err)
	}
	in, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("udp link: %w", err)
	}
	u := &UDP{target: to, in: in, forward: newSide(seed), back: newSide(seed + 1), sources: map[string]*source{}}
	u.wait.Add(1)
	go u.receive()
	return u, nil
}

// Addr is where the relay listens in its target's place.
func (u *UDP) Addr() string { return u.in.LocalAddr().String() }

// Set shapes the two directions.
func (u *UDP) Set(forward, back Shape) {
	u.forward.set(forward)
	u.back.set(back)
}

// Close ends the relay; what it holds back is dropped.
func (u *UDP) Close() {
	u.mu.Lock()
	u.closed = true
	u.in.Close()
	for _, s := range u.sources {
		s.out.Close()
	}
	u.mu.Unlock()
	u.wait.Wait()
}

func (u *UDP) receive() {
	defer u.wait.Done()
	buf := make([]byte, datagram)
	for {
		n, from, err := u.in.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the answer to a datagram that nobody took; others may be
			continue
		}
		s, err := u.source(from)
		if err != nil {
			u.Dropped.Add(1)
			continue
		}
		u.carry(u.forward, buf[:n], func(data []byte) { _, _ = s.out.Write(data) })
	}
}

// source finds the socket that stands for a sender.
func (u *UDP) source(from *net.UDPAddr) (*source, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return nil, net.ErrClosed
	}
	key := from.String()
	if s := u.sources[key]; s != nil {
		s.heard = time.Now()
		return s, nil
	}
	if len(u.sources) >= mostSources {
		oldest := ""
		for k, s := range u.sources {
			if oldest == "" || s.heard.Before(u.sources[oldest].heard) {
				oldest = k
			}
		}
		u.sources[oldest].out.Close()
		delete(u.sources, oldest)
	}
	out, err := net.DialUDP("udp", nil, u.target)
	if err != nil {
		return nil, fmt.Errorf("udp link: %w", err)
	}
	s := &source{addr: from, out: out, heard: time.Now()}
	u.sources[key] = s
	u.wait.Add(1)
	go u.answer(s)
	return s, nil
}

// answer carries what the target sends back to one sender.
func (u *UDP) answer(s *source) {
	defer u.wait.Done()
	buf := make([]byte, datagram)
	for {
		n, err := s.out.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		u.carry(u.back, buf[:n], func(data []byte) { _, _ = u.in.WriteToUDP(data, s.addr) })
	}
}

// carry takes one datagram along a direction, unless it is lost there.
func (u *UDP) carry(s *side, data []byte, send func([]byte)) {
	u.Datagrams.Add(1)
	sh := s.shape.Load()
	if sh.Cut || sh.LossShare > 0 && s.lose(sh.LossShare) {
		u.Dropped.Add(1)
		return
	}
	u.fly(s, data, send)
	if sh.DuplicateShare > 0 && s.lose(sh.DuplicateShare) {
		u.fly(s, data, send)
	}
}

// fly has a datagram arrive in its time.
func (u *UDP) fly(s *side, data []byte, send func([]byte)) {
	wait := time.Until(s.due(len(data)))
	if wait <= 0 {
		send(data)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.flying >= mostFlying || u.closed {
		u.Dropped.Add(1)
		return
	}
	u.flying++
	held := append([]byte(nil), data...)
	time.AfterFunc(wait, func() {
		u.mu.Lock()
		u.flying--
		closed := u.closed
		u.mu.Unlock()
		if !closed && !s.shape.Load().Cut {
			send(held)
		}
	})
}

func (s *side) lose(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}
