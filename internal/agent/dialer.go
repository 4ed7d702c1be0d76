package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"knotrouter/internal/transient"
)

// dialer opens connections to backends, within the limit of file descriptors reserved for them.
type dialer struct {
	connect           func(ctx context.Context, network, addr string) (net.Conn, error)
	connectTimeout    time.Duration
	idleTimeout       time.Duration
	maxIdlePerBackend int
	open              atomic.Int64
	maxOpen           int64
	idle              idleConns
	budgets           *memoryBudgets
}

// newBackendDialer returns the dialer of an agent with this configuration.
func newBackendDialer(c *Config, budgets *memoryBudgets) *dialer {
	sockets := backendSockets(c.Limits.Sockets)
	d := &dialer{
		connect:           (&net.Dialer{KeepAlive: -1}).DialContext,
		connectTimeout:    milliseconds(c.Settings.Limits.ConnectTimeoutMs),
		idleTimeout:       milliseconds(c.Settings.Limits.KeepaliveMs / 2),
		maxOpen:           int64(sockets),
		maxIdlePerBackend: max(sockets/32, 2),
		budgets:           budgets,
	}
	if d.connectTimeout <= 0 {
		d.connectTimeout = time.Second
	}
	return d
}

// newTransport returns a transport for one backend. Each backend has its own, so that its idle
// connections can be closed without closing those of others.
func (d *dialer) newTransport() *backendTransport {
	t := &backendTransport{budgets: d.budgets}
	t.Transport = &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return d.dialForAttempt(ctx, network, t)
		},
		DisableCompression: true,
		MaxIdleConns:       d.maxIdlePerBackend,
		IdleConnTimeout:    d.idleTimeout,
		// Bounds the memory that an endless head can take for each attempt in flight.
		MaxResponseHeaderBytes: maxBodyBytes,
	}
	return t
}

// dialForAttempt opens a connection for the attempt in ctx. http.Transport detaches its dials from
// the request and keeps the connection for a later request; here the dial ends with its attempt, so
// that no connection to an abandoned backend is opened. At the limit of open connections, the one that
// has been idle for longest is closed; dialForAttempt returns errNoSockets if none is idle.
func (d *dialer) dialForAttempt(ctx context.Context, network string, t *backendTransport) (net.Conn, error) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	if a == nil {
		return nil, errors.New("dial without an attempt")
	}
	if !d.reserve() {
		return nil, errNoSockets
	}
	ctx, cancel := context.WithTimeout(a.ctx, d.connectTimeout)
	defer cancel()
	c, err := connectWithRetry(ctx, func(ctx context.Context) (net.Conn, error) { return d.connect(ctx, network, a.dialAddr) })
	if err == nil && a.ctx.Err() != nil { // the attempt ended while the connection was established
		c.Close()
		err = a.ctx.Err()
	}
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	conn := newBackendConn(c, d, t, a.slot)
	t.connected(a.slot, conn)
	return conn, nil
}

// reserve counts a connection that is about to be opened. At the limit it closes idle connections to
// make room, and returns false if there are too few.
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

// connectWithRetry calls connect, and retries with a backoff until ctx ends if the call fails for lack of
// a local resource or of a network route. If calls failed for lack of a local resource and ctx ends, the
// error is joined with errNoSockets and the last local error: the last call may have had too little time
// left to report the actual cause.
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
