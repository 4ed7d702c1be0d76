package loopback

import (
	"net"
	"sync"
)

// Conns is a net.Listener of the connections that several Listeners accept, so that one http.Server
// serves them all. It is safe for concurrent use.
type Conns struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once // of closing closed
}

// NewConns returns a listener without connections.
func NewConns() *Conns {
	return &Conns{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Put hands over a connection and returns once Accept has taken it. After Close it resets the
// connection.
func (c *Conns) Put(conn net.Conn) {
	select {
	case c.accepted <- conn:
	case <-c.closed:
		Reset(conn)
	}
}

// Accept waits for the next connection. It returns net.ErrClosed after Close.
func (c *Conns) Accept() (net.Conn, error) {
	select {
	case conn := <-c.accepted:
		return conn, nil
	case <-c.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener. It can be called more than once, and returns nil.
func (c *Conns) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Addr returns an address without a port, as net.Listener needs one: each connection has its own.
func (c *Conns) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Set is the open connections of a party, which can be reset all at once. The zero value is empty
// and ready to use. It is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Add adds a connection and returns how many the set has then.
func (s *Set) Add(c net.Conn) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return len(s.conns)
}

// Drop removes a connection from the set, without closing it.
func (s *Set) Drop(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Len returns the number of connections.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Reset resets all connections and removes them from the set.
func (s *Set) Reset() {
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range conns {
		Reset(c)
	}
}
