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

	"molepaddle/internal/catalog"
	"molepaddle/internal/duty"
	"molepaddle/internal/gossip"
)

const (
	applyWait   = 3 * time.Second // for a command to be committed
	decideEvery = 100 * time.Millisecond
	peerWait    = time.Second // for another steward's answer
	leaveWait   = 5 * time.Second
)

// Node is one steward.
type Node struct {
	c     *Config
	log   *slog.Logger
	fsm   *fsm
	hub   *hub
	store *store
	rp    atomic.Pointer[raft.Raft] // nil until it has joined
	trans *raft.NetworkTransport
	table atomic.Pointer[map[string]Peer]
	http  *http.Server
	calls *admission
	peers *http.Client
	m     *metrics
	began time.Time
	owned sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc
	fatal chan error

	lead     sync.Mutex
	leases   *catalog.Leases // while it leads and has heard all that was committed before
	tenures  *catalog.Tenures
	base     time.Duration // the state's clock when it began to lead
	ledSince time.Time

	id, life   string // of the folder, and of this start
	gossip     *gossip.Node
	judged     verdicts
	testifying atomic.Int64  // questions about servers that are being looked into
	probes     *http.Client  // to servers
	quiet      *rate.Limiter // for lines that one fault could repeat
	failed     failures

	reads    barriers
	proofs   barriers // that it leads
	holder   *duty.Runner
	retire   context.CancelFunc // ends the holder
	retired  chan struct{}
	polls    atomic.Int64 // sessions that wait for their tasks
	others   lookout
	lagged   atomic.Int64 // ns by which this steward lags behind what the leader had committed
	draining atomic.Bool
}

// Start opens the data folder and joins the other stewards.
func Start(ctx context.Context, c *Config, log *slog.Logger) (*Node, error) {
	n := &Node{c: c, log: log, began: time.Now(), fatal: make(chan error, 1), life: rand.Text(),
		probes: &http.Client{Timeout: probeWait, Transport: &http.Transport{DisableKeepAlives: true}}, quiet: rate.NewLimiter(1, 5),
		peers: &http.Client{Timeout: peerWait, Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	table := c.Peers
	n.table.Store(&table)
	n.fsm = &fsm{state: catalog.New(), changed: func() { n.hub.poke() }, broken: n.fail}
	n.hub = newHub(n.fsm, c.Coalesce)
	n.calls = newAdmission(c)
	n.m = newMetrics(n)
	if err := n.start(ctx); err != nil {
		n.close()
		return nil, err
	}
	log.Info("started", "listen", c.Listen, "raft", c.Raft, "data", c.Data)
	return n, nil
}

func (n *Node) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", n.c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.http = &http.Server{Handler: n.handler(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	n.own(func() { _ = n.http.Serve(ln) })
	n.own(func() { n.hub.run(n.ctx) })
	if err := n.join(ctx); err != nil {
		return err
	}
	n.own(n.follow)
	n.own(n.tend)
	n.own(n.inquire)
	if n.gossip != nil {
		n.own(n.arrive)
	}
	n.serveDuties()
	return nil
}

func (n *Node) own(f func()) {
	n.owned.Add(1)
	go func() {
		defer n.owned.Done()
		f()
	}()
}

// raft is nil until the steward has joined.
func (n *Node) raft() *raft.Raft { return n.rp.Load() }

// fail ends the process: it has met what it can't go on with.
func (n *Node) fail(err error) {
	select {
	case n.fatal <- err:
	default:
	}
}

// Reload takes over what may change while it runs: the table of peers.
func (n *Node) Reload(c *Config) {
	table := c.Peers
	n.table.Store(&table)
	n.log.Info("the table of peers was read again", "peers", len(table))
}

// Wait returns when the context ends, or with what the steward can't go on with.
func (n *Node) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-n.fatal:
		return err
	}
}

// Close ends the steward: its duties are handed over first, then leadership, then its watches.
func (n *Node) Close() {
	n.leaveDuties()
	if n.raft() != nil && n.raft().State() == raft.Leader && len(n.voters()) > 1 {
		if err := n.raft().LeadershipTransfer().Error(); err != nil {
			n.log.Warn("leadership was not handed over", "err", err)
		}
	}
	if n.raft() != nil {
		n.drain()
	}
	if n.gossip != nil { // after its sessions have moved, for which it speaks until then
		n.gossip.Leave()
	}
	n.close()
	n.log.Info("ended")
}

func (n *Node) close() {
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
	n.owned.Wait()
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
