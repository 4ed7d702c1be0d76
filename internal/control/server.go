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
	applyTimeout = 3 * time.Second // timeout for a command to be committed
	peerTimeout  = time.Second     // timeout for a request to another steward

	readHeaderTimeout = 2 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	maxIdlePeerConns  = 8 // kept per steward
	idlePeerTimeout   = 30 * time.Second
)

// Server is one steward: a raft replica of the catalog with its HTTP API, watches, gossip
// membership and leased tasks. Create it with Start and release it with Close.
type Server struct {
	config      *Config
	log         *slog.Logger
	fsm         *fsm
	broadcaster *watchBroadcaster
	store       *store
	raftNode    atomic.Pointer[raft.Raft] // nil until raft has started
	transport   *raft.NetworkTransport
	peerTable   atomic.Pointer[map[string]Peer] // replaced by Reload
	httpServer  *http.Server
	admission   *admission
	peerClient  *http.Client // for requests to other stewards
	metrics     *metrics
	startedAt   time.Time
	goroutines  sync.WaitGroup // started by own
	ctx         context.Context
	cancel      context.CancelFunc
	fatalErrors chan error

	leaderMu           sync.Mutex                  // guards the fields of this group
	registrationLeases *catalog.RegistrationLeases // nil unless this steward leads and has applied all earlier entries
	taskLeases         *catalog.TaskLeases         // nil when leases is
	clockAtElection    time.Duration               // state clock when leadership began
	electedAt          time.Time

	dataID         string // identity of the data folder
	bootID         string // identity of this start of the process
	gossip         *gossip.Node
	observations   failureObservations
	evidenceCalls  atomic.Int64  // evidence requests in flight
	probeClient    *http.Client  // for health requests to servers
	logLimiter     *rate.Limiter // limits log lines that one fault can repeat
	memberFailures memberFailures

	readBarriers     barriers
	leaderChecks     barriers
	taskRunner       *leaderelection.Runner
	cancelTaskRunner context.CancelFunc
	taskRunnerDone   chan struct{}
	openPolls        atomic.Int64 // sessions that wait for a change of their tasks
	statusCache      statusCache
	replicationLag   atomic.Int64 // nanoseconds by which the applied state lags behind the leader's commit index
	draining         atomic.Bool
}

// Start opens the data folder, starts raft and serves the API. It returns once raft runs,
// which on an empty data folder may take until the other stewards answer; the context bounds
// that wait. On an error everything that was started has been stopped.
func Start(ctx context.Context, c *Config, log *slog.Logger) (*Server, error) {
	n := newServer(c, log)
	if err := n.start(ctx); err != nil {
		n.close()
		return nil, err
	}
	log.Info("started", "listen", c.Listen, "raft", c.Raft, "data", c.Data)
	return n, nil
}

// newServer returns a Node that has opened nothing yet.
func newServer(c *Config, log *slog.Logger) *Server {
	s := &Server{
		config:      c,
		log:         log,
		startedAt:   time.Now(),
		fatalErrors: make(chan error, 1),
		bootID:      rand.Text(),
		probeClient: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		logLimiter:  rate.NewLimiter(1, 5),
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

// logAcceptError is told of a connection that could not be accepted.
func (s *Server) logAcceptError(err error, _ time.Time) {
	if s.logLimiter.Allow() {
		s.log.Warn("accept failed", "err", err)
	}
}

// start listens before raft runs: another steward's first start asks this one for its status.
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
	if s.gossip != nil {
		s.startGoroutine(s.incarnationLoop)
	}
	s.startTaskRunner()
	return nil
}

// startGoroutine runs f in a goroutine that close waits for.
func (s *Server) startGoroutine(f func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		f()
	}()
}

// raft returns the raft instance, or nil while it has not been started.
func (s *Server) raft() *raft.Raft { return s.raftNode.Load() }

// fail reports an error that ends the process; Wait returns the first one.
func (s *Server) fail(err error) {
	select {
	case s.fatalErrors <- err:
	default:
	}
}

// Reload applies the part of a new configuration that can change at run time: the table of
// peers.
func (s *Server) Reload(c *Config) {
	table := c.Peers
	s.peerTable.Store(&table)
	s.log.Info("the table of peers was read again", "peers", len(table))
}

// Wait blocks until the context ends, and then returns nil, or until the steward meets an
// error that it can't recover from, and then returns that.
func (s *Server) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.fatalErrors:
		return err
	}
}

// Close stops the steward in order: it hands over its leased tasks, then leadership, moves
// its watches to other stewards, and announces its leave to the gossip members.
func (s *Server) Close() {
	s.stopTaskRunner()
	s.transferLeadership()
	if s.raft() != nil {
		s.drain()
	}
	// Until here this steward gossips for the sessions that have now moved.
	if s.gossip != nil {
		s.gossip.Leave()
	}
	s.close()
	s.log.Info("ended")
}

// close releases everything that was started, in any state of the start.
func (s *Server) close() {
	s.cancel()
	if s.httpServer != nil {
		s.httpServer.Close()
	}
	if s.raft() != nil {
		if err := s.raft().Shutdown().Error(); err != nil {
			s.log.Warn("raft did not end in order", "err", err)
		}
	}
	if s.transport != nil {
		s.transport.Close()
	}
	s.goroutines.Wait()
	if s.gossip != nil {
		s.gossip.Close()
	}
	if s.store != nil {
		if err := s.store.Close(); err != nil {
			s.log.Warn("the log was not closed in order", "err", err)
		}
	}
	s.peerClient.CloseIdleConnections()
}
