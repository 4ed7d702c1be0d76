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
	applyWait = 3 * time.Second // timeout for a command to be committed
	peerWait  = time.Second     // timeout for a request to another steward

	readHeaderTimeout = 2 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	maxIdlePeerConns  = 8 // kept per steward
	idlePeerTimeout   = 30 * time.Second
)

// Server is one steward: a raft replica of the catalog with its HTTP API, watches, gossip
// membership and leased tasks. Create it with Start and release it with Close.
type Server struct {
	c          *Config
	log        *slog.Logger
	fsm        *fsm
	hub        *hub
	store      *store
	raftNode   atomic.Pointer[raft.Raft] // nil until raft has started
	trans      *raft.NetworkTransport
	table      atomic.Pointer[map[string]Peer] // replaced by Reload
	http       *http.Server
	calls      *admission
	peers      *http.Client // for requests to other stewards
	m          *metrics
	began      time.Time
	goroutines sync.WaitGroup // started by own
	ctx        context.Context
	stop       context.CancelFunc
	fatal      chan error

	lead     sync.Mutex                  // guards the fields of this group
	leases   *catalog.RegistrationLeases // nil unless this steward leads and has applied all earlier entries
	tenures  *catalog.TaskLeases         // nil when leases is
	base     time.Duration               // state clock when leadership began
	ledSince time.Time

	id            string // identity of the data folder
	startID       string // identity of this start of the process
	gossip        *gossip.Node
	verdicts      verdicts
	evidenceCalls atomic.Int64  // evidence requests in flight
	probes        *http.Client  // for health requests to servers
	repeatedLogs  *rate.Limiter // limits log lines that one fault can repeat
	failures      failures

	readBarriers barriers
	leaderChecks barriers
	holder       *leaderelection.Runner
	stopHolder   context.CancelFunc
	holderDone   chan struct{}
	polls        atomic.Int64 // sessions that wait for a change of their tasks
	peerCache    statusCache
	lagged       atomic.Int64 // nanoseconds by which the applied state lags behind the leader's commit index
	draining     atomic.Bool
}

// Start opens the data folder, starts raft and serves the API. It returns once raft runs,
// which on an empty data folder may take until the other stewards answer; the context bounds
// that wait. On an error everything that was started has been stopped.
func Start(ctx context.Context, c *Config, log *slog.Logger) (*Server, error) {
	n := newNode(c, log)
	if err := n.start(ctx); err != nil {
		n.close()
		return nil, err
	}
	log.Info("started", "listen", c.Listen, "raft", c.Raft, "data", c.Data)
	return n, nil
}

// newNode returns a Node that has opened nothing yet.
func newNode(c *Config, log *slog.Logger) *Server {
	n := &Server{
		c:            c,
		log:          log,
		began:        time.Now(),
		fatal:        make(chan error, 1),
		startID:      rand.Text(),
		probes:       &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		repeatedLogs: rate.NewLimiter(1, 5),
		peers: &http.Client{
			Timeout:   peerWait,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: idlePeerTimeout},
		},
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	table := c.Peers
	n.table.Store(&table)
	n.fsm = &fsm{state: catalog.New(), changed: func() { n.hub.poke() }, broken: n.fail}
	n.hub = newHub(n.fsm, c.Coalesce)
	n.calls = newAdmission(c)
	n.m = newMetrics(n)
	return n
}

// acceptFailed is told of a connection that could not be accepted.
func (n *Server) acceptFailed(err error, _ time.Time) {
	if n.repeatedLogs.Allow() {
		n.log.Warn("accept failed", "err", err)
	}
}

// start listens before raft runs: another steward's first start asks this one for its status.
func (n *Server) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", n.c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.http = &http.Server{
		Handler:           n.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	n.own(func() { _ = n.http.Serve(&transient.Listener{Listener: ln, Context: n.ctx, OnError: n.acceptFailed}) })
	n.own(func() { n.hub.run(n.ctx) })
	if err := n.startRaft(ctx); err != nil {
		return err
	}
	n.own(n.leaderLoop)
	n.own(n.watchLoop)
	n.own(n.evidenceLoop)
	if n.gossip != nil {
		n.own(n.arrivalLoop)
	}
	n.serveDuties()
	return nil
}

// own runs f in a goroutine that close waits for.
func (n *Server) own(f func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
}

// raft returns the raft instance, or nil while it has not been started.
func (n *Server) raft() *raft.Raft { return n.raftNode.Load() }

// fail reports an error that ends the process; Wait returns the first one.
func (n *Server) fail(err error) {
	select {
	case n.fatal <- err:
	default:
	}
}

// Reload applies the part of a new configuration that can change at run time: the table of
// peers.
func (n *Server) Reload(c *Config) {
	table := c.Peers
	n.table.Store(&table)
	n.log.Info("the table of peers was read again", "peers", len(table))
}

// Wait blocks until the context ends, and then returns nil, or until the steward meets an
// error that it can't recover from, and then returns that.
func (n *Server) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-n.fatal:
		return err
	}
}

// Close stops the steward in order: it hands over its leased tasks, then leadership, moves
// its watches to other stewards, and announces its leave to the gossip members.
func (n *Server) Close() {
	n.leaveDuties()
	n.transferLeadership()
	if n.raft() != nil {
		n.drain()
	}
	// Until here this steward gossips for the sessions that have now moved.
	if n.gossip != nil {
		n.gossip.Leave()
	}
	n.close()
	n.log.Info("ended")
}

// close releases everything that was started, in any state of the start.
func (n *Server) close() {
	n.stop()
	if n.http != nil {
		n.http.Close()
	}
	if n.raft() != nil {
		if err := n.raft().Shutdown().Error(); err != nil {
			n.log.Warn("raft did not end in order", "err", err)
		}
	}
	if n.trans != nil {
		n.trans.Close()
	}
	n.goroutines.Wait()
	if n.gossip != nil {
		n.gossip.Close()
	}
	if n.store != nil {
		if err := n.store.Close(); err != nil {
			n.log.Warn("the log was not closed in order", "err", err)
		}
	}
	n.peers.CloseIdleConnections()
}
