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
	// minSockets is the least that an agent can work with; reservedSockets are kept for
	// discovery, the listener and the runtime.
	minSockets, reservedSockets = 64, 16
	// guardMargin is how long before the client's time is up the last guard answers:
	// later than the module's own last word.
	guardMargin = 2 * time.Millisecond
	// shutdownAcceptPeriod is how long connections are taken after SIGTERM: they go on coming for
	// up to 0.4 s.
	shutdownAcceptPeriod = 450 * time.Millisecond
	// headTimeout is how long a request's head may take to come, the first from the connect
	// on, and bodyTimeout how long its body: a peer that sends no proper request is owed an
	// error or a close within 3 s of connecting, and holds a client's place until then.
	headTimeout, bodyTimeout = 1500 * time.Millisecond, time.Second
	// idleTimeout is how long a connection without a request keeps its place: no shorter than
	// clients may rely on, as no place is left for others while idle ones hold them all.
	idleTimeout = 2100 * time.Millisecond
	// readyDeadline is when a new process says that it is ready at the latest: one that knows no
	// backend refuses at once, which tells its clients more than waiting for discovery does.
	readyDeadline = 2 * time.Second
	// writeTimeout is how long a client may take to read its answer.
	writeTimeout = 2 * time.Second
	// maxRequestTimeout is the longest deadline there is, with room to spare.
	maxRequestTimeout = time.Minute
)

// backendSockets is the part of the descriptors for connections to backends;
// clientSockets that for clients'.
func backendSockets(all int) int { return (all - reservedSockets) / 2 }

func clientSockets(all int) int { return all - reservedSockets - backendSockets(all) }

// maxOpenRequests is how many requests may be held at once, told to the module, which
// refuses what is over it. The places left take the next clients: one that finds none
// waits in the kernel's queue, where its request counts as taken and nobody answers.
func maxOpenRequests(all int) int {
	places := clientSockets(all)
	return places - max(places/8, 8)
}

// Agent is one agent: the loop with the decisions and the server for the clients.
type Agent struct {
	loop     *loop
	server   *http.Server
	config   *Config
	log      *slog.Logger
	draining atomic.Bool
	clients  *clientConns
	stop     context.CancelFunc
}

// New makes an agent, which is told the list of its configuration.
func New(c *Config, log *slog.Logger) (*Agent, error) {
	ctx, stop := context.WithCancel(context.Background())
	l, err := newLoop(ctx, c, log)
	if err != nil {
		stop()
		return nil, err
	}
	a := &Agent{loop: l, config: c, log: log, stop: stop,
		clients: newClientConns(clientSockets(c.Limits.Sockets))}
	a.clients.log = log
	a.server = &http.Server{
		Handler:           a,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxBodyBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
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

// Serve answers on the listener until the context ends, then finishes what it holds.
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

// Reconfigure takes over what may change while the agent runs: discovery's addresses and the
// services that are asked for.
func (a *Agent) Reconfigure(c *Config) {
	a.loop.post(event{kind: eventDiscoveryChanged, addrs: c.addresses(), services: c.Services})
}

// shutdown ends the agent in order: clients go on coming for a while after the signal, so
// connections at rest are closed first, while what crosses that can still come on a new one;
// then no more are accepted; then all that is held is answered.
func (a *Agent) shutdown(stopAccepting func()) {
	a.draining.Store(true)
	a.loop.post(event{kind: eventShutdown})
	a.clients.drain()
	time.Sleep(shutdownAcceptPeriod)
	stopAccepting()
	longestMs := 0.0
	for _, c := range a.config.Settings.Classes {
		longestMs = max(longestMs, c.DeadlineMs)
	}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(milliseconds(longestMs) + 100*time.Millisecond); a.clients.closeUnused(minUnusedBeforeEviction) > 0 && time.Now().Before(deadline); {
		<-ticker.C
	}
	a.clients.abort() // what is left is over its deadline, or never sent a request
}
