package server

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"knotrouter/internal/lab/loopback"
)

// connContextKey is the key of the *conn in the context of a request.
type connContextKey struct{}

// conn is one connection to a server.
type conn struct {
	net.Conn
	server             *Server
	firstByteAt        atomic.Int64 // time of the first byte of the present request, by the clock
	used               atomic.Bool  // a request has arrived
	delayedByIsolation atomic.Bool  // a read was held up while the machine was isolated
	overLimit          bool         // more connections were open than the policy allows
	closeOnce          sync.Once
	closed             chan struct{}
}

// connListener wraps the connections that it accepts in a conn.
type connListener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection to the server and counts it.
func (l *connListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := l.server
	s.Connections.Add(1)
	open, maxOpen := s.openConns.Add(accepted), s.ConnectionPolicy.MaxOpen
	return &conn{
		Conn:      accepted,
		server:    s,
		overLimit: maxOpen > 0 && open > maxOpen,
		closed:    make(chan struct{}),
	}, nil
}

// Read reads from the connection. While the machine is isolated it does not return; it returns
// net.ErrClosed if the connection is closed meanwhile.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	waited, open := c.server.network.wait(c.closed)
	if !open {
		return 0, net.ErrClosed
	}
	if waited {
		c.delayedByIsolation.Store(true)
	}
	return n, err
}

// Write writes to the connection once the machine is not isolated. It returns net.ErrClosed if the
// connection is closed before.
func (c *conn) Write(p []byte) (int, error) {
	if _, open := c.server.network.wait(c.closed); !open {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close closes the connection and ends reads and writes that wait. It may be called repeatedly.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.openConns.Drop(c.Conn)
	})
	return c.Conn.Close()
}

// reset resets the connection, as when the server's process dies, and aborts the handler of the
// request: it does not return.
func (c *conn) reset() {
	loopback.Reset(c.Conn)
	panic(http.ErrAbortHandler)
}
