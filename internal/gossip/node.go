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
	Listen string // address to listen on, for UDP and TCP
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

// Timing of the library's protocol. A member is suspected after one or two missed probes. It is
// reported dead after suspicionTimeout, or after up to suspicionMaxMultiple times as long if few
// other members confirm the suspicion.
const (
	probeInterval        = 250 * time.Millisecond
	probeTimeout         = 125 * time.Millisecond
	suspicionTimeout     = 1700 * time.Millisecond
	suspicionMaxMultiple = 2
	minSuspicionMultiple = 3 // minimum of the library's suspicion multiple, in probe intervals
	gossipInterval       = 100 * time.Millisecond
	streamTimeout        = time.Second
	propagationTimeout   = time.Second // maximum wait for an update or a leave to reach another member
	deadNodeReclaimTime  = time.Second
)

// Timing of this package's own exchanges.
const (
	tickInterval = 100 * time.Millisecond // interval between ticks of the Tracker
	// pauseThreshold is the delay beyond which a tick counts as a pause of this process.
	pauseThreshold     = 400 * time.Millisecond
	fullReportInterval = 4 * time.Second
	pingInterval       = 500 * time.Millisecond // interval between pings to one control-plane server
	rejoinInterval     = 500 * time.Millisecond
)

// Limits on the work of one step and on the queue of broadcasts.
const (
	maxRejoinsPerInterval       = 2
	maxContactedServers         = 16
	maxObservationsPerBroadcast = 16 // a broadcast must fit into one datagram
	maxQueuedBroadcasts         = 256
)

// Node is this process's member of the gossip group. Its methods are safe for concurrent use.
type Node struct {
	config     Config
	log        *slog.Logger
	memberlist *memberlist.Memberlist
	transport  *transport
	broadcasts *memberlist.TransmitLimitedQueue
	startedAt  time.Time
	bootID     string // sent in this process's reports
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex // guards the fields up to the blank line; see the package comment
	tracker *member.Tracker
	self    member.Info

	aliveNames sync.Map // names of the members that the library reports as alive

	pauses    atomic.Int64
	malformed atomic.Int64
	rejected  atomic.Int64
	conflicts atomic.Int64
}

// Start opens the sockets and begins to gossip. It returns an error if the address cannot be
// bound. Unreachable peers are not an error: the Node keeps trying to join them in the background.
// The caller must Close the Node.
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

// newNode returns a Node without sockets or goroutines.
func newNode(c Config) *Node {
	n := &Node{config: c, log: c.Log, startedAt: time.Now(), bootID: crand.Text(), self: c.Self}
	n.self.ProtocolVersion = member.ProtocolVersion
	c.Tracker.Self = n.self
	n.tracker = member.NewTracker(c.Tracker)
	n.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: memberlist.DefaultLANConfig().RetransmitMult, NumNodes: n.countAlive}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// libraryConfig returns the configuration of the gossip library. n.transport must be set.
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
// suspects a member for a duration that is the product of the multiple, the probe interval and the
// decimal logarithm of the number of members. The multiple is an integer chosen so that the duration
// is about suspicionTimeout for up to 100 members; it is longer for more members.
func suspicionMultiple(members int) int {
	nodeScale := math.Max(1, math.Log10(float64(max(members, 1))))
	return max(minSuspicionMultiple, int(float64(suspicionTimeout)/float64(probeInterval)/nodeScale+0.5))
}

// countAlive returns the number of members that are alive, including this process.
func (n *Node) countAlive() int {
	count := 1
	n.aliveNames.Range(func(any, any) bool { count++; return true })
	return count
}

// Addr returns the address on which the Node listens.
func (n *Node) Addr() string { return n.transport.tcp.Addr().String() }

// now returns the time on the Tracker's clock.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// WithTracker calls do with the current time and the Tracker while holding n.mu. do must not block,
// and must not retain the Tracker.
func (n *Node) WithTracker(do func(now time.Duration, t *member.Tracker)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.now(), n.tracker)
}

// View returns this process's current view of the members.
func (n *Node) View() (v member.View) {
	n.WithTracker(func(now time.Duration, t *member.Tracker) { v = t.View(now) })
	return v
}

// Self returns the Info that this process announces.
func (n *Node) Self() member.Info {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// UpdateSelf changes the Info that this process announces, and broadcasts the change. It waits up
// to propagationTimeout for the change to reach another member.
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
		n.log.Debug("gossip update did not propagate in time", "err", err)
	}
}

// Leave announces to the other members that this process is shutting down as planned. It waits up to
// twice propagationTimeout for the announcement to reach another member.
func (n *Node) Leave() {
	n.UpdateSelf(func(i *member.Info) { i.ShuttingDown = true })
	if err := n.memberlist.Leave(propagationTimeout); err != nil {
		n.log.Debug("gossip leave did not propagate in time", "err", err)
	}
}

// Close ends all goroutines and closes the sockets. It announces nothing: the other members observe a
// Node that is closed without Leave as failed.
func (n *Node) Close() {
	n.cancel()
	n.goroutines.Wait()
	if err := n.memberlist.Shutdown(); err != nil {
		n.log.Warn("gossip shutdown failed", "err", err)
	}
}
