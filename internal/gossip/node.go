package gossip

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"log"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"knotrouter/internal/member"
)

// Config configures a Node.
type Config struct {
	Self   member.Info
	Listen string // address for UDP and TCP
	// Peers returns the addresses, by name, of all processes that may be members. It is
	// called often, from several goroutines.
	Peers   func() map[string]string
	Log     *slog.Logger
	Tracker member.Config
	// OnChange is called with the members whose state in the view has changed. It must not
	// block, and may be nil.
	OnChange func([]member.Change)
	// OnConflict is called when another process uses the name of a member. It must not block,
	// and may be nil.
	OnConflict func(name, address string)
}

// Durations of the library's protocol. A member is suspected after one or two missed probes.
// It is reported dead after suspicionTimeout, or up to suspicionMaxMultiple times that if
// few other members confirm the suspicion.
const (
	probeInterval        = 250 * time.Millisecond
	probeTimeout         = 125 * time.Millisecond
	suspicionTimeout     = 1700 * time.Millisecond
	suspicionMaxMultiple = 2
	minSuspicionMultiple = 3 // of the probe interval
	gossipInterval       = 100 * time.Millisecond
	streamTimeout        = time.Second
	propagationTimeout   = time.Second // for an update or a leave to reach another member
	deadNodeReclaimTime  = time.Second
)

// Durations of this package's own exchanges.
const (
	tickInterval = 100 * time.Millisecond // of the Tracker
	// pauseThreshold is how late a tick has to be for this process to count as paused.
	pauseThreshold     = 400 * time.Millisecond
	fullReportInterval = 4 * time.Second
	pingInterval       = 500 * time.Millisecond // between servers of the control plane
	rejoinInterval     = 500 * time.Millisecond
)

// Bounds of what one step does or keeps.
const (
	maxRejoinsPerInterval       = 2
	maxContactedServers         = 16
	maxObservationsPerBroadcast = 16 // a broadcast has to fit into one datagram
	maxQueuedBroadcasts         = 256
)

// Node is this process's membership in the gossip. Its methods are safe for concurrent use.
type Node struct {
	config     Config
	log        *slog.Logger
	memberlist *memberlist.Memberlist
	transport  *transport
	broadcasts *memberlist.TransmitLimitedQueue
	startedAt  time.Time
	bootID     string // of this process's reports
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex // guards the fields up to the blank line; see the package comment
	tracker *member.Tracker
	self    member.Info

	aliveNames sync.Map // names of the members that the library knows as alive

	pauses    atomic.Int64
	malformed atomic.Int64
	rejected  atomic.Int64
	conflicts atomic.Int64
}

// Start opens the sockets and begins to gossip. It returns an error if the address cannot be
// bound. Peers that cannot be reached are no error: Start returns, and the Node goes on to try them.
// The caller has to Close the Node.
func Start(c Config) (*Node, error) {
	n := newNode(c)
	var err error
	n.transport, err = newTransport(c.Listen, func(name string) (string, bool) {
		addr, ok := c.Peers()[name]
		return addr, ok && addr != ""
	})
	if err != nil {
		return nil, err
	}
	if n.memberlist, err = memberlist.Create(n.libraryConfig()); err != nil {
		n.cancel()
		_ = n.transport.Shutdown()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	n.goroutines.Go(n.runTracker)
	n.goroutines.Go(n.joinMissing)
	if c.Self.Role == member.RoleControlPlane {
		n.goroutines.Go(n.pingServers)
		n.goroutines.Go(n.sendFullReports)
	}
	return n, nil
}

// newNode returns a Node without sockets and goroutines.
func newNode(c Config) *Node {
	n := &Node{config: c, log: c.Log, startedAt: time.Now(), bootID: crand.Text(), self: c.Self}
	n.self.ProtocolVersion = member.ProtocolVersion
	c.Tracker.Self = n.self
	n.tracker = member.NewTracker(c.Tracker)
	n.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: memberlist.DefaultLANConfig().RetransmitMult, NumNodes: n.countAlive}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// libraryConfig returns the configuration of the gossip library. It requires the transport.
func (n *Node) libraryConfig() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport = n.config.Self.Name, n.transport
	c.RequireNodeNames = true
	c.ProbeInterval, c.ProbeTimeout = probeInterval, probeTimeout
	c.GossipInterval = gossipInterval
	c.PushPullInterval = fullReportInterval
	c.TCPTimeout = streamTimeout
	c.SuspicionMult = suspicionMultiple(len(n.config.Peers()))
	c.SuspicionMaxTimeoutMult = suspicionMaxMultiple
	c.DeadNodeReclaimTime = deadNodeReclaimTime
	c.EnableCompression = false
	c.Logger = log.New(&libraryLog{log: n.log, limiter: rate.NewLimiter(libraryLogLinesPerSecond, libraryLogBurst)}, "", 0)
	c.LogOutput = nil
	d := &delegate{n}
	c.Delegate, c.Events, c.Conflict, c.Alive, c.Ping = d, d, d, d, d
	return c
}

// suspicionMultiple returns the library's suspicion multiple for a number of members. The library
// suspects a member for the multiple times the probe interval times the decimal logarithm of the
// number of members. The multiple, a whole number, makes that about suspicionTimeout for up to 100
// members, and longer for more.
func suspicionMultiple(members int) int {
	nodeScale := math.Max(1, math.Log10(float64(max(members, 1))))
	return max(minSuspicionMultiple, int(float64(suspicionTimeout)/float64(probeInterval)/nodeScale+0.5))
}

// countAlive returns the number of members that are alive, this process included.
func (n *Node) countAlive() int {
	count := 1
	n.aliveNames.Range(func(any, any) bool { count++; return true })
	return count
}

// Addr returns the address on which the Node listens.
func (n *Node) Addr() string { return n.transport.tcp.Addr().String() }

// now returns the time of the Tracker's clock.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// WithTracker calls do with the Tracker and its time, under the lock. do must not block, and
// must not keep the Tracker.
func (n *Node) WithTracker(do func(now time.Duration, t *member.Tracker)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.now(), n.tracker)
}

// View returns the current view of this process.
func (n *Node) View() (v member.View) {
	n.WithTracker(func(now time.Duration, t *member.Tracker) { v = t.View(now) })
	return v
}

// Self returns what this process announces about itself.
func (n *Node) Self() member.Info {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// UpdateSelf changes what this process announces about itself, and spreads the change. It
// waits for up to propagationTimeout until another member has it.
func (n *Node) UpdateSelf(change func(i *member.Info)) {
	n.mu.Lock()
	before := n.self
	change(&n.self)
	unchanged := before == n.self
	n.tracker.UpdateSelf(n.self)
	n.mu.Unlock()
	if unchanged || n.ctx.Err() != nil {
		return
	}
	if err := n.memberlist.UpdateNode(propagationTimeout); err != nil {
		n.log.Debug("gossip update did not spread in time", "err", err)
	}
}

// Leave announces to the others that this process shuts down as planned. It waits up to twice
// propagationTimeout until another member has the announcement.
func (n *Node) Leave() {
	n.UpdateSelf(func(i *member.Info) { i.ShuttingDown = true })
	if err := n.memberlist.Leave(propagationTimeout); err != nil {
		n.log.Debug("gossip leave did not spread in time", "err", err)
	}
}

// Close ends all goroutines and closes the sockets. It announces nothing: the others observe a Node
// that was closed without Leave as failed.
func (n *Node) Close() {
	n.cancel()
	n.goroutines.Wait()
	if err := n.memberlist.Shutdown(); err != nil {
		n.log.Warn("gossip shutdown failed", "err", err)
	}
}
