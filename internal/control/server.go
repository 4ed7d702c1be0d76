package control

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"

	"knotrouter/internal/catalog"
	"knotrouter/internal/gossip"
	"knotrouter/internal/leaderelection"
	"knotrouter/internal/transient"
)

const (
	applyTimeout = 3 * time.Second // timeout for raft to accept a command, barrier or configuration change
	peerTimeout  = time.Second     // timeout of a request to a peer

	readHeaderTimeout = 2 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	maxIdlePeerConns  = 8 // idle connections kept per peer
	idlePeerTimeout   = 30 * time.Second

	repeatedLogsPerSecond = 1
	repeatedLogsBurst     = 5
)

// Server is one control-plane server: a raft replica of the catalog with its HTTP API, watches,
// gossip membership and leased tasks. Create it with Start and release it with Close.
type Server struct {
	config    *Config
	log       *slog.Logger
	startedAt time.Time
	dataID    string                          // identity of the data folder
	bootID    string                          // identity of this start of the process
	peerTable atomic.Pointer[map[string]Peer] // replaced by Reload
	metrics   *metrics
	// logLimiter limits messages that a persistent fault would otherwise log repeatedly.
	logLimiter *rate.Limiter

	goroutines  sync.WaitGroup // the goroutines started by startGoroutine
	ctx         context.Context
	cancel      context.CancelFunc
	fatalErrors chan error // buffers the first error that ends the process

	httpServer  *http.Server
	admission   *admission
	broadcaster *watchBroadcaster
	peerClient  *http.Client // for requests to peers
	probeClient *http.Client // for health checks of registered servers

	fsm       *fsm
	store     *store
	raftNode  atomic.Pointer[raft.Raft] // nil until raft has started
	transport *recordingTransport
	// confirmedAppends holds the last append that each peer has confirmed, as proof of leadership.
	confirmedAppends *confirmedAppends
	readBarriers     sharedChecks
	leaderChecks     sharedChecks

	leaderMu           sync.Mutex                  // guards the fields of this group
	registrationLeases *catalog.RegistrationLeases // nil unless this server leads and has applied all earlier entries
	taskLeases         *catalog.TaskLeases         // nil if registrationLeases is nil
	leaderTerm         uint64                      // the raft term to which the leases belong
	clockAtElection    time.Duration               // the state's clock at electedAt
	electedAt          time.Time

	gossipNode     atomic.Pointer[gossip.Node] // nil if gossip is not configured or has not started
	observations   failureObservations
	evidenceCalls  atomic.Int64 // evidence requests in flight
	memberFailures memberFailures

	taskRunner       atomic.Pointer[leaderelection.Runner] // nil while it has not started
	cancelTaskRunner context.CancelFunc
	taskRunnerDone   chan struct{}
	openPolls        atomic.Int64 // requests waiting for a change of assignments
	// suspendMu serializes suspensions of tasks by operators and automatic resumptions by the leader, so
	// that the leader doesn't undo an operator's suspension. It stays locked while a command is proposed,
	// and is locked before leaderMu.
	suspendMu sync.Mutex

	statusCache    statusCache
	replicationLag atomic.Int64 // nanoseconds by which the applied state lags behind the leader's commit index
	draining       atomic.Bool
}

// Start opens the data folder, starts raft and serves the API. It returns once raft runs. With an
// empty data folder it may have to wait for answers of the peers; the context bounds that wait. If
// it returns an error, it has stopped everything that it had started.
func Start(ctx context.Context, c *Config, log *slog.Logger) (*Server, error) {
	s := newServer(c, log)
	if err := s.start(ctx); err != nil {
		s.close()
		return nil, err
	}
	log.Info("started", "listen", c.Listen, "raft", c.Raft, "data", c.Data)
	return s, nil
}

// newServer returns a Server that has not opened any file or connection yet.
func newServer(c *Config, log *slog.Logger) *Server {
	s := &Server{
		config:           c,
		log:              log,
		startedAt:        time.Now(),
		fatalErrors:      make(chan error, 1),
		bootID:           rand.Text(),
		confirmedAppends: newConfirmedAppends(),
		probeClient:      &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		logLimiter:       rate.NewLimiter(repeatedLogsPerSecond, repeatedLogsBurst),
		peerClient: &http.Client{
			Timeout:   peerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: idlePeerTimeout},
		},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	table := c.Peers
	s.peerTable.Store(&table)
	s.fsm = &fsm{state: catalog.New(), onChange: func() { s.broadcaster.notifyChanged() }, onFatal: s.fail}
	s.broadcaster = newWatchBroadcaster(s.fsm, c.Coalesce)
	s.admission = newAdmission(c)
	s.metrics = newMetrics(s)
	return s
}

// start starts all components. It serves HTTP before raft runs, because a peer that starts with an
// empty data folder requests this server's status.
func (s *Server) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.httpServer = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	s.startGoroutine(func() {
		_ = s.httpServer.Serve(&transient.Listener{Listener: ln, Context: s.ctx, OnError: s.logAcceptError})
	})
	s.startGoroutine(func() { s.broadcaster.run(s.ctx) })
	if err := s.startRaft(ctx); err != nil {
		return err
	}
	s.startGoroutine(s.leaderLoop)
	s.startGoroutine(s.watchLoop)
	s.startGoroutine(s.evidenceLoop)
	if s.gossip() != nil {
		s.startGoroutine(s.incarnationLoop)
	}
	s.startTaskRunner()
	return nil
}

// logAcceptError logs that accepting a connection failed; the listener retries.
func (s *Server) logAcceptError(err error, _ time.Time) {
	if s.logLimiter.Allow() {
		s.log.Warn("accept failed", "err", err)
	}
}

// startGoroutine runs f in a goroutine that close waits for.
func (s *Server) startGoroutine(f func()) { s.goroutines.Go(f) }

// gossip returns the gossip node, or nil if gossip is not configured or has not been started.
func (s *Server) gossip() *gossip.Node { return s.gossipNode.Load() }

// raft returns the raft instance, or nil while it has not been started.
func (s *Server) raft() *raft.Raft { return s.raftNode.Load() }

// fail reports a fatal error. Wait returns the first one; later ones are dropped.
func (s *Server) fail(err error) {
	select {
	case s.fatalErrors <- err:
	default:
	}
}

// Reload applies the peer table of a new configuration, the only part that can change at run time.
func (s *Server) Reload(c *Config) {
	table := c.Peers
	s.peerTable.Store(&table)
	s.log.Info("peer table reloaded", "peers", len(table))
}

// Wait blocks until the context ends, and then returns nil, or until a fatal error occurs, and then
// returns that error.
func (s *Server) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.fatalErrors:
		return err
	}
}

// Close shuts the server down gracefully: it releases its leased tasks, transfers leadership,
// migrates its watches to peers, and announces to the gossip members that it leaves.
func (s *Server) Close() {
	s.stopTaskRunner()
	s.transferLeadership()
	if s.raft() != nil {
		s.drain()
	}
	// Leave comes after drain: until it leaves, this server gossips for the agents whose watches have
	// migrated.
	if s.gossip() != nil {
		s.gossip().Leave()
	}
	s.close()
	s.log.Info("ended")
}

// close releases all resources that start has acquired, even if start failed partway.
func (s *Server) close() {
	s.cancel()
	if s.httpServer != nil {
		s.httpServer.Close()
	}
	if s.raft() != nil {
		if err := s.raft().Shutdown().Error(); err != nil {
			s.log.Warn("raft shutdown failed", "err", err)
		}
	}
	if s.transport != nil {
		s.transport.Close()
	}
	s.goroutines.Wait()
	if s.gossip() != nil {
		s.gossip().Close()
	}
	if s.store != nil {
		if err := s.store.Close(); err != nil {
			s.log.Warn("closing the log store failed", "err", err)
		}
	}
	s.peerClient.CloseIdleConnections()
}
