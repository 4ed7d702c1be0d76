package loopback

import (
	"net"
	"sync"
)

// SharedListener is a net.Listener that returns the connections accepted by several Listeners, so that
// one http.Server serves them all. It is safe for concurrent use.
type SharedListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once // guards the closing of closed
}

// NewSharedListener returns a listener without connections.
func NewSharedListener() *SharedListener {
	return &SharedListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Deliver passes on a connection and returns once Accept has returned it. After Close it resets the
// connection.
func (c *SharedListener) Deliver(conn net.Conn) {
	select {
	case c.accepted <- conn:
	case <-c.closed:
		Reset(conn)
	}
}

// Accept waits for the next connection. It returns net.ErrClosed after Close.
func (c *SharedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-c.accepted:
		return conn, nil
	case <-c.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener. It can be called more than once, and returns nil.
func (c *SharedListener) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Addr returns an address without a port, because net.Listener requires the method. The
// connections have different local addresses.
func (c *SharedListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// ConnSet holds the open connections of one party, so that all can be reset at once. The zero value is
// empty and ready to use. It is safe for concurrent use.
type ConnSet struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Add adds a connection and returns the new number of connections.
func (s *ConnSet) Add(c net.Conn) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return len(s.conns)
}

// Remove removes a connection from the set, without closing it.
func (s *ConnSet) Remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Len returns the number of connections.
func (s *ConnSet) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Reset resets all connections and removes them from the set.
func (s *ConnSet) Reset() {
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range conns {
		Reset(c)
	}
}
