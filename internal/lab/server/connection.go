package server

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

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
	// repeatDelay is the time from the present response to its repetition; 0: it is not repeated. It
	// belongs to the goroutine that serves the connection.
	repeatDelay time.Duration

	mu       sync.Mutex // held through a write
	response []byte     // what was written of the present response; empty between two responses
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = append(c.response, p...)
	return c.Conn.Write(p)
}

// endResponse notes that the present response was written completely, and has it repeated if a fault
// wants that.
func (c *conn) endResponse() {
	c.mu.Lock()
	response := c.response
	c.response = nil
	c.mu.Unlock()
	if c.repeatDelay > 0 {
		go c.repeat(response, time.Now(), c.repeatDelay)
	}
}

// repeat writes a response that ended at a time again after the delay, with one write. It writes nothing if
// the connection is closed before, if the machine is isolated then, within another response, or if the lab
// was held up for so long that the repetition would come later than any that can be drawn.
func (c *conn) repeat(response []byte, endedAt time.Time, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-c.closed:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	late := time.Since(endedAt) > maxRepeatDelay+maxRepeatLateness
	if late || len(c.response) > 0 || !c.server.network.isOpen() {
		return
	}
	if _, err := c.Conn.Write(response); err == nil {
		c.server.Repeated.Add(1)
	}
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
