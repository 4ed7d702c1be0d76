package agent

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/transient"
)

// dialer opens connections to backends within the process's limit of file descriptors for them.
type dialer struct {
	connect           func(ctx context.Context, network, addr string) (net.Conn, error)
	connectTimeout    time.Duration
	idleTimeout       time.Duration
	maxIdlePerBackend int
	open              atomic.Int64
	maxOpen           int64
	idle              idleConns
}

// newBackendDialer returns the dialer of an agent with this configuration.
func newBackendDialer(c *Config) *dialer {
	sockets := backendSockets(c.Limits.Sockets)
	d := &dialer{
		connect:           (&net.Dialer{KeepAlive: -1}).DialContext,
		connectTimeout:    milliseconds(c.Settings.Limits.ConnectTimeoutMs),
		idleTimeout:       milliseconds(c.Settings.Limits.KeepaliveMs / 2),
		maxOpen:           int64(sockets),
		maxIdlePerBackend: max(sockets/32, 2),
	}
	if d.connectTimeout <= 0 {
		d.connectTimeout = time.Second
	}
	return d
}

// newTransport returns a transport for one backend. Each backend has its own, so that its idle
// connections can be closed without touching those of others.
func (d *dialer) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         d.dialForAttempt,
		DisableCompression:  true,
		MaxIdleConnsPerHost: d.maxIdlePerBackend,
		IdleConnTimeout:     d.idleTimeout,
		// Bounds the memory that an endless head can take for each attempt in flight.
		MaxResponseHeaderBytes: maxBodyBytes,
	}
}

// dialForAttempt opens a connection for the attempt in ctx. http.Transport detaches its dials from
// the request and keeps the connection for a later request; here the dial ends with its attempt, so
// that none goes on to a backend that was given up. If the limit of open connections is reached, the one that has been idle for
// longest gives way; it returns errNoSockets if none is idle.
func (d *dialer) dialForAttempt(ctx context.Context, network, addr string) (net.Conn, error) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	if a == nil {
		return nil, errors.New("dial without an attempt")
	}
	if !d.reserve() {
		return nil, errNoSockets
	}
	ctx, cancel := context.WithTimeout(a.ctx, d.connectTimeout)
	defer cancel()
	c, err := connectWithRetry(ctx, func(ctx context.Context) (net.Conn, error) { return d.connect(ctx, network, addr) })
	if err == nil && a.ctx.Err() != nil { // established in the moment in which it was cancelled
		c.Close()
		err = a.ctx.Err()
	}
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &backendConn{Conn: c, dialer: d, framing: responseFraming{framingState: framingState{complete: true}}}, nil
}

// reserve counts a connection that is about to be opened. Idle connections give way to it where the
// limit is reached; it returns false if there are too few.
func (d *dialer) reserve() bool {
	for d.open.Add(1) > d.maxOpen {
		d.open.Add(-1)
		oldest := d.idle.takeOldest()
		if oldest == nil {
			return false
		}
		oldest.Close()
	}
	return true
}

// connectWithRetry calls connect again while it fails for lack of a local resource or of a network
// route, with a backoff, until ctx ends. The error is joined with errNoSockets and the last local error
// if a local resource was missing until ctx ended: the attempt that ran into that end had no time of its
// own.
func connectWithRetry(ctx context.Context, connect func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	var localErr error
	for retries := 0; ; retries++ {
		c, err := connect(ctx)
		if err == nil {
			return c, nil
		}
		local := transient.IsLocal(err)
		if local {
			localErr = err
		}
		if !local && !transient.IsNetwork(err) || !transient.Backoff(ctx, retries) {
			if localErr != nil && (local || ctx.Err() != nil) {
				err = errors.Join(errNoSockets, localErr, err)
			}
			return nil, err
		}
	}
}

// backendConn is a connection to a backend. Each write needs the permission of the attempt that the
// connection carries.
type backendConn struct {
	net.Conn
	dialer  *dialer
	attempt atomic.Pointer[attempt]
	framing responseFraming
	closed  sync.Once

	// The fields below are guarded by dialer.idle.mu.

	idle     *list.Element // in dialer.idle; nil: not idle
	unusable bool          // closed, or about to be: no attempt may begin on it
}

// Read reads the response to the current attempt. It returns errTrailingBytes once the backend has
// sent bytes after the end of the response.
func (c *backendConn) Read(p []byte) (int, error) {
	if c.framing.hasTrailingBytes() {
		return 0, errTrailingBytes
	}
	n, err := c.Conn.Read(p)
	if got := c.framing.scan(p[:n]); got < n {
		return got, errTrailingBytes
	}
	return n, err
}

// Write writes request bytes if the current attempt allows it; otherwise it returns
// errAttemptWithdrawn.
func (c *backendConn) Write(p []byte) (int, error) {
	a := c.attempt.Load()
	if a == nil || !a.allowWrite(c) {
		return 0, errAttemptWithdrawn
	}
	if err := c.Conn.SetWriteDeadline(a.sendBy); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil && n < len(p) {
		a.writeFailed.Store(true) // the last byte can no longer be sent
	}
	return n, err
}

// Close closes the connection and releases its place in the dialer's limit, once.
func (c *backendConn) Close() error {
	c.closed.Do(func() {
		c.dialer.idle.discard(c)
		c.dialer.open.Add(-1)
	})
	return c.Conn.Close()
}
