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
	firstByteAt        atomic.Int64 // clock time of the first byte of the current request
	used               atomic.Bool  // a request has arrived on the connection
	delayedByIsolation atomic.Bool  // a read was blocked while the machine was isolated
	overLimit          bool         // the connection was accepted above the policy's limit of open connections
	closeOnce          sync.Once
	closed             chan struct{}
	// repeatDelay is the time from the end of the current response to its repetition, or 0 without a
	// repetition. Only the goroutine that serves the connection accesses repeatDelay.
	repeatDelay time.Duration

	mu       sync.Mutex // held during a write
	response []byte     // written part of the current response; empty between responses
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

// Read reads from the connection. It blocks while the machine is isolated, and returns net.ErrClosed
// if the connection is closed meanwhile.
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

// Write writes to the connection. It blocks while the machine is isolated, and returns net.ErrClosed
// if the connection is closed meanwhile.
func (c *conn) Write(p []byte) (int, error) {
	if _, open := c.server.network.wait(c.closed); !open {
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = append(c.response, p...)
	return c.Conn.Write(p)
}

// endResponse marks the current response as completely written, and schedules its repetition if a
// fault requires one.
func (c *conn) endResponse() {
	c.mu.Lock()
	response := c.response
	c.response = nil
	c.mu.Unlock()
	if c.repeatDelay > 0 {
		go c.repeat(response, time.Now(), c.repeatDelay)
	}
}

// repeat writes the response a second time, in one write, after the delay. endedAt is the time at which the
// response was completely written. The repetition is skipped if, after the delay, the connection is closed,
// the machine is isolated or another response is being written. It is also skipped if the lab ran so late
// that the repetition would come more than maxRepeatLateness after the longest delay that can be drawn.
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

// Close closes the connection and unblocks reads and writes that wait for the network. It may be called
// more than once.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.openConns.Remove(c.Conn)
	})
	return c.Conn.Close()
}

// reset resets the connection, as the operating system does when the server's process ends. It does not
// return: it panics with http.ErrAbortHandler to abort the handler of the request.
func (c *conn) reset() {
	loopback.Reset(c.Conn)
	panic(http.ErrAbortHandler)
}
