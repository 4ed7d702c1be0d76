package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// minSockets is the smallest limit of sockets that an agent can work with. reservedSockets is
	// how many of them are for discovery, the listener and the runtime.
	minSockets, reservedSockets = 64, 16
	// guardMargin is how long before the client's deadline the guard timer answers the request. It
	// is short enough that the balancer's own last decision comes first.
	guardMargin = 2 * time.Millisecond
	// shutdownAcceptPeriod is how long connections are accepted after SIGTERM: clients go on
	// connecting for up to 0.4 s.
	shutdownAcceptPeriod = 450 * time.Millisecond
	// headTimeout is how long a request's head may take to arrive; for the first request of a connection,
	// the time counts from the connect. bodyTimeout is how long its body may take. A peer that sends no
	// valid request must get an error or a close within 3 s of connecting, and occupies a slot until then.
	headTimeout, bodyTimeout = 1500 * time.Millisecond, time.Second
	// idleTimeout is how long a connection without a request stays open: as long as clients may
	// rely on and no longer, because idle connections occupy slots that others need.
	idleTimeout = 2100 * time.Millisecond
	// readyDeadline is how long after its start a process reports that it is ready, even without a known
	// backend: it then rejects requests at once, which tells clients more than a wait for discovery.
	readyDeadline = 2 * time.Second
	// writeTimeout is how long a client may take to read its response.
	writeTimeout = 2 * time.Second
	// maxRequestTimeout is the longest timeout that a client may request, with a margin.
	maxRequestTimeout = time.Minute
	// maxShutdownWait limits the wait for the connections that are still open when no more are accepted. Each of
	// them ends by its own timeouts before that: those of the head and body of its last request, of the request,
	// and of its response.
	maxShutdownWait = minUnusedBeforeEviction + headTimeout + bodyTimeout + maxRequestTimeout + writeTimeout + lingerTimeout
)

// backendSockets returns how many of the process's sockets are for connections to backends.
func backendSockets(sockets int) int { return (sockets - reservedSockets) / 2 }

// clientSockets returns how many of the process's sockets are for connections of clients.
func clientSockets(sockets int) int { return sockets - reservedSockets - backendSockets(sockets) }

// maxOpenRequests returns how many requests the balancer may hold at once; it rejects the others.
// The remaining client connections are reserved for new clients: a client without one waits in the
// kernel's queue, where its timeout runs and no rejection reaches it.
func maxOpenRequests(sockets int) int {
	maxClients := clientSockets(sockets)
	return maxClients - max(maxClients/8, 8)
}

// Agent is one load-balancing agent: the loop that runs the balancer, and the HTTP server for the
// clients.
type Agent struct {
	loop     *loop
	server   *http.Server
	config   *Config
	log      *slog.Logger
	draining atomic.Bool
	clients  *clientConns
	budgets  *memoryBudgets
	stop     context.CancelFunc
}

// New returns an agent that starts with the cached list of its configuration. It returns an error if the
// settings are invalid.
func New(c *Config, log *slog.Logger) (*Agent, error) {
	ctx, stop := context.WithCancel(context.Background())
	l, err := newLoop(ctx, c, log)
	if err != nil {
		stop()
		return nil, err
	}
	a := &Agent{loop: l, config: c, log: log, stop: stop, budgets: l.budgets,
		clients: newClientConns(clientSockets(c.Limits.Sockets), l.budgets)}
	a.clients.log = log
	a.server = &http.Server{
		Handler: a,
		// Requests that are not for a backend are invalid, "OPTIONS *" too.
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            headTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxBodyBytes,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*clientConn); ok && state == http.StateIdle {
				c.finishRequest()
			}
		},
	}
	return a, nil
}

// Serve answers requests on ln until ctx ends, then shuts down gracefully. It returns an error if
// the HTTP server fails before that.
func (a *Agent) Serve(ctx context.Context, ln net.Listener) error {
	defer a.stop()
	go a.loop.run()
	failed := make(chan error, 1)
	done := make(chan struct{})
	accepting, stopAccepting := context.WithCancel(context.Background())
	defer stopAccepting()
	go func() {
		failed <- a.server.Serve(&listener{Listener: ln, clients: a.clients, done: done, ctx: accepting, log: a.log})
	}()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	a.shutdown(func() {
		close(done)
		stopAccepting()
		ln.Close()
		<-failed
	})
	return nil
}

// Reconfigure applies the settings that may change while the agent runs: the addresses of discovery and
// the subscribed services.
func (a *Agent) Reconfigure(c *Config) {
	a.loop.post(event{kind: eventDiscoveryChanged, addrs: c.addresses(), services: c.Services})
}

// shutdown shuts the agent down gracefully. Clients go on connecting for a while after the signal. It
// closes idle connections first, so that a client whose request crosses the close can still send it on a
// new connection; then it calls stopAccepting; then it waits until no connection is open, so that each request
// that was read is answered, however late it was read.
func (a *Agent) shutdown(stopAccepting func()) {
	a.draining.Store(true)
	a.loop.post(event{kind: eventShutdown})
	a.clients.drain()
	time.Sleep(shutdownAcceptPeriod)
	stopAccepting()
	a.clients.ending.Store(true)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.Now().Add(maxShutdownWait)
	for a.clients.closeUnused(minUnusedBeforeEviction) > 0 && time.Now().Before(deadline) {
		<-ticker.C
	}
	a.clients.abort()
}
