package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/transient"
)

// dialer opens connections to backends within the process's share of descriptors.
type dialer struct {
	connect           func(ctx context.Context, network, addr string) (net.Conn, error)
	connectTimeout    time.Duration
	idleTimeout       time.Duration
	maxIdlePerBackend int
	open              atomic.Int64
	maxOpen           int64
}

// newTransport makes the connections of one backend. Each backend has its own, so
// that its idle connections can be closed alone.
func (d *dialer) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         d.dialForAttempt,
		DisableCompression:  true,
		MaxIdleConnsPerHost: d.maxIdlePerBackend,
		IdleConnTimeout:     d.idleTimeout,
		// What a head without an end may take of the memory, once for each attempt out.
		MaxResponseHeaderBytes: maxBodyBytes,
	}
}

// dialForAttempt opens a connection for the attempt in ctx. The transport detaches its dials
// from the request, to keep the connection for a later one; here a dialForAttempt ends with
// its attempt, so that none is left running to a backend that was given up.
func (d *dialer) dialForAttempt(ctx context.Context, network, addr string) (net.Conn, error) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	if a == nil {
		return nil, errors.New("dial without an attempt")
	}
	if d.open.Add(1) > d.maxOpen {
		d.open.Add(-1)
		return nil, errNoSockets
	}
	ctx, cancel := context.WithTimeout(a.ctx, d.connectTimeout)
	defer cancel()
	c, err := connectWithRetry(ctx, func(ctx context.Context) (net.Conn, error) { return d.connect(ctx, network, addr) })
	if err == nil && a.ctx.Err() != nil { // it came up in the moment in which it was given up
		c.Close()
		err = a.ctx.Err()
	}
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &backendConn{Conn: c, dialer: d, framing: responseFraming{framingState: framingState{complete: true}}}, nil
}

// connectWithRetry connects again while a connect fails for want of something on this machine or of a
// way through the network, as long as the context lets it. What is left then is wrapped in errNoSockets
// where this machine is to blame.
func connectWithRetry(ctx context.Context, connect func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	for retries := 0; ; retries++ {
		c, err := connect(ctx)
		local := transient.IsLocal(err)
		if err == nil || !local && !transient.IsNetwork(err) || !transient.Backoff(ctx, retries) {
			if local {
				err = errors.Join(errNoSockets, err)
			}
			return c, err
		}
	}
}

// backendConn is a connection to a backend. It knows the attempt that it carries and asks
// it before a byte goes out.
type backendConn struct {
	net.Conn
	dialer  *dialer
	attempt atomic.Pointer[attempt]
	framing responseFraming
	closed  sync.Once
}

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
		a.writeFailed.Store(true) // the last byte can no longer follow
	}
	return n, err
}

func (c *backendConn) Close() error {
	c.closed.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}
