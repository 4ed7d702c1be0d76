package loopback

import (
	"net"
	"sync"
)

// Conns is a net.Listener of the connections that several Listeners hand it, so that
// one http.Server serves them all.
type Conns struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// NewConns makes a listener that nothing has been handed to.
func NewConns() *Conns {
	return &Conns{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Put hands over a connection; once closed, it resets it.
func (c *Conns) Put(conn net.Conn) {
	select {
	case c.accepted <- conn:
	case <-c.closed:
		Reset(conn)
	}
}

// Accept waits for the next connection.
func (c *Conns) Accept() (net.Conn, error) {
	select {
	case conn := <-c.accepted:
		return conn, nil
	case <-c.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; it can be called more than once.
func (c *Conns) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Addr is of no use here: each connection has its own.
func (c *Conns) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Set holds the open connections of a party, to break them all at once.
type Set struct {
	mu sync.Mutex
	m  map[net.Conn]struct{}
}

// Add notes a connection; it returns how many there are.
func (s *Set) Add(c net.Conn) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = map[net.Conn]struct{}{}
	}
	s.m[c] = struct{}{}
	return len(s.m)
}

// Drop forgets a connection.
func (s *Set) Drop(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, c)
}

// Len is how many there are.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.m)
}

// Reset breaks them all.
func (s *Set) Reset() {
	s.mu.Lock()
	all := s.m
	s.m = nil
	s.mu.Unlock()
	for c := range all {
		Reset(c)
	}
}
