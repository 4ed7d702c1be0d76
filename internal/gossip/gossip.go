// Package gossip is the shell round internal/member for processes that speak for
// themselves: the gossip library, its sockets and timers. It decides nothing.
package gossip

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"knotrouter/internal/member"
)

// Config is one process.
type Config struct {
	Self   member.Info
	Listen string // UDP and TCP
	// Peers are the addresses of all that may be members, by name, by this process's own table.
	Peers   func() map[string]string
	Log     *slog.Logger
	Tracker member.Config
	// OnChange hears whose state in the view is another; it must not block.
	OnChange func([]member.Change)
	// OnConflict hears of another process of a name; it must not block.
	OnConflict func(name, address string)
}

// Times of the protocol. A death is suspected within one or two probes and believed after
// suspicionTimeout, or up to twice that where few others confirm it.
const (
	suspicionTimeout            = 1700 * time.Millisecond
	probeInterval               = 250 * time.Millisecond
	probeTimeout                = 125 * time.Millisecond
	gossipInterval              = 100 * time.Millisecond
	fullReportInterval          = 4 * time.Second // all that a process knows, to one other
	streamTimeout               = time.Second
	tickInterval                = 100 * time.Millisecond
	pingInterval                = 500 * time.Millisecond // stewards ask each other directly
	rejoinInterval              = 500 * time.Millisecond
	maxRejoinsPerInterval       = 2
	maxPingedPeers              = 16
	pauseThreshold              = 400 * time.Millisecond // a tick that is later tells of a pause
	maxObservationsPerBroadcast = 16                     // members of one broadcast, which has to fit a datagram
	maxQueuedBroadcasts         = 256
	spreadTimeout               = time.Second
)

// Node is a process that gossips.
type Node struct {
	config     Config
	log        *slog.Logger
	memberlist *memberlist.Memberlist
	transport  *transport
	broadcasts *memberlist.TransmitLimitedQueue
	startedAt  time.Time
	bootID     string
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex // of what follows; never held while the library is called
	tracker *member.Tracker
	self    member.Info

	aliveNames   sync.Map // names that are alive by the library
	sendingTo    sync.Map // names to which all is being told
	pinging      sync.Map // names whose answer is waited for
	rejoinCursor int      // which of the missing is asked next
	pauses       atomic.Int64
	malformed    atomic.Int64
	rejected     atomic.Int64
	conflicts    atomic.Int64
}

// Start opens the sockets and looks for the others.
func Start(c Config) (*Node, error) {
	n := &Node{config: c, log: c.Log, startedAt: time.Now(), bootID: crand.Text(), self: c.Self}
	n.self.ProtocolVersion = member.ProtocolVersion
	c.Tracker.Self = n.self
	n.tracker = member.NewTracker(c.Tracker)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var err error
	n.transport, err = newTransport(c.Listen, func(name string) (string, bool) {
		addr, ok := c.Peers()[name]
		return addr, ok && addr != ""
	})
	if err != nil {
		return nil, err
	}
	lc := memberlist.DefaultLANConfig()
	lc.Name, lc.Transport = c.Self.Name, n.transport
	lc.RequireNodeNames = true
	lc.ProbeInterval, lc.ProbeTimeout, lc.GossipInterval, lc.PushPullInterval, lc.TCPTimeout = probeInterval, probeTimeout, gossipInterval, fullReportInterval, streamTimeout
	// The library waits for the multiple times the logarithm of the number of members: less for a
	// fleet of many to notice as soon, more for one of few not to accuse sooner.
	many := math.Max(1, math.Log10(float64(max(len(c.Peers()), 1))))
	lc.SuspicionMult = max(3, int(float64(suspicionTimeout)/float64(probeInterval)/many+0.5))
	lc.SuspicionMaxTimeoutMult = 2
	lc.DeadNodeReclaimTime = time.Second
	lc.EnableCompression = false
	lc.Logger = log.New(&libraryLog{log: c.Log, limit: rate.NewLimiter(5, 20)}, "", 0)
	lc.LogOutput = nil
	d := &delegate{n}
	lc.Delegate, lc.Events, lc.Conflict, lc.Alive, lc.Ping = d, d, d, d, d
	n.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: lc.RetransmitMult, NumNodes: func() int {
		count := 1
		n.aliveNames.Range(func(any, any) bool { count++; return true })
		return count
	}}
	if n.memberlist, err = memberlist.Create(lc); err != nil {
		n.cancel()
		_ = n.transport.Shutdown()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	n.spawn(n.runTracker)
	n.spawn(n.joinMissing)
	if c.Self.Role == member.RoleControlPlane {
		n.spawn(n.pingServers)
		n.spawn(n.sendFullReports)
	}
	return n, nil
}

func (n *Node) spawn(f func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
}

// Addr is where it listens.
func (n *Node) Addr() string { return n.transport.tcp.Addr().String() }

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// WithTracker has something done with what is known.
func (n *Node) WithTracker(do func(now time.Duration, t *member.Tracker)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.now(), n.tracker)
}

// View is what this process knows now.
func (n *Node) View() (v member.View) {
	n.WithTracker(func(now time.Duration, t *member.Tracker) { v = t.View(now) })
	return v
}

// Self is what it says of itself.
func (n *Node) Self() member.Info {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// UpdateSelf changes what it says of itself.
func (n *Node) UpdateSelf(change func(i *member.Info)) {
	n.mu.Lock()
	was := n.self
	change(&n.self)
	same := was == n.self
	n.tracker.UpdateSelf(n.self)
	n.mu.Unlock()
	if same || n.ctx.Err() != nil {
		return
	}
	if err := n.memberlist.UpdateNode(spreadTimeout); err != nil {
		n.log.Debug("what this process says of itself was not spread in time", "err", err)
	}
}

// Counts is what a process counted.
type Counts struct {
	member.Counts
	Pauses, Malformed, Rejected, Conflicts, UnknownPeers, Dropped, SentBytes int64
	HealthScore, QueuedBroadcasts                                            int
}

// Counts tells what was counted.
func (n *Node) Counts() (c Counts) {
	n.WithTracker(func(_ time.Duration, t *member.Tracker) { c.Counts = t.Counts() })
	c.Pauses, c.Malformed, c.Rejected, c.Conflicts = n.pauses.Load(), n.malformed.Load(), n.rejected.Load(), n.conflicts.Load()
	c.UnknownPeers, c.Dropped, c.SentBytes = n.transport.unknownPeers.Load(), n.transport.dropped.Load(), n.transport.sentBytes.Load()
	c.HealthScore, c.QueuedBroadcasts = n.memberlist.GetHealthScore(), n.broadcasts.NumQueued()
	return c
}

// Leave tells the others that this process ends as planned.
func (n *Node) Leave() {
	n.UpdateSelf(func(i *member.Info) { i.ShuttingDown = true })
	if err := n.memberlist.Leave(spreadTimeout); err != nil {
		n.log.Debug("the leave was not spread in time", "err", err)
	}
}

// Close ends it without a word.
func (n *Node) Close() {
	n.cancel()
	n.goroutines.Wait()
	if err := n.memberlist.Shutdown(); err != nil {
		n.log.Warn("gossip did not end in order", "err", err)
	}
}

// runTracker lets time pass for the tracker, and notices that this process was slow itself.
func (n *Node) runTracker() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-tick.C:
		case <-n.ctx.Done():
			return
		}
		late := time.Since(last) - tickInterval
		last = time.Now()
		var changes []member.Change
		var news []byte
		n.WithTracker(func(now time.Duration, t *member.Tracker) {
			if late > pauseThreshold {
				n.pauses.Add(1)
				t.Paused(now, late)
			}
			changes = t.Tick(now)
			if n.config.Self.Role != member.RoleControlPlane {
				return // only stewards are observers: n processes would tell n of n
			}
			if r, some := t.PendingReport(now, maxObservationsPerBroadcast); some {
				r.BootID = n.bootID
				news, _ = json.Marshal(r)
			}
		})
		if late > pauseThreshold {
			n.log.Warn("this process stood still: it accuses nobody for a while", "for", late.Round(time.Millisecond))
		}
		if news != nil {
			n.broadcasts.QueueBroadcast(broadcast(news))
			n.broadcasts.Prune(maxQueuedBroadcasts) // the oldest go: what they tell is in the next whole report
		}
		if len(changes) > 0 && n.config.OnChange != nil {
			n.config.OnChange(changes)
		}
	}
}

// broadcast is a report that is passed on a bounded number of times.
type broadcast []byte

func (broadcast) Invalidates(memberlist.Broadcast) bool { return false }
func (b broadcast) Message() []byte                     { return b }
func (broadcast) Finished()                             {}

// joinMissing looks for those of the table that are not there: at the start, after a cut that
// lasted, and when a member has come back at its address.
func (n *Node) joinMissing() {
	t := time.NewTicker(rejoinInterval)
	defer t.Stop()
	for {
		var missing []string
		for name := range n.config.Peers() {
			if _, alive := n.aliveNames.Load(name); !alive && name != n.config.Self.Name {
				missing = append(missing, name)
			}
		}
		slices.Sort(missing)
		for range min(maxRejoinsPerInterval, len(missing)) {
			n.rejoinCursor++
			name := missing[n.rejoinCursor%len(missing)]
			addr := n.config.Peers()[name]
			if addr == "" {
				continue
			}
			if _, err := n.memberlist.Join([]string{name + "/" + addr}); err != nil {
				n.log.Debug("not reached", "member", name, "err", err)
			}
		}
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
	}
}

// pingServers asks the other stewards directly whether they are there.
func (n *Node) pingServers() {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		stewards := n.controlPlanePeers()
		n.WithTracker(func(now time.Duration, t *member.Tracker) {
			for _, name := range stewards {
				t.ExpectPeer(now, name)
			}
		})
		forEachIdle(&asking, &n.pinging, stewards, func(name string) {
			if _, err := n.memberlist.Ping(name, &net.UDPAddr{IP: net.IPv4zero}); err == nil {
				n.WithTracker(func(now time.Duration, t *member.Tracker) { t.PeerAnswered(now, name) })
			}
		})
	}
}

// controlPlanePeers are the others that have not left, some of them drawn if there are many.
func (n *Node) controlPlanePeers() (names []string) {
	v := n.View()
	for i := range v.Members {
		if e := &v.Members[i]; e.Role == member.RoleControlPlane && e.Name != n.config.Self.Name && e.State != member.Left {
			names = append(names, e.Name)
		}
	}
	if len(names) > maxPingedPeers {
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:maxPingedPeers]
	}
	return names
}

// forEachIdle does something for each name, but for those for which it is still being done.
func forEachIdle(all *sync.WaitGroup, busy *sync.Map, names []string, do func(name string)) {
	for _, name := range names {
		if _, is := busy.LoadOrStore(name, true); is {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			defer busy.Delete(name)
			do(name)
		}()
	}
}

// sendFullReports tells each of the others all that this process thinks. The library's own
// exchange, with one drawn member at a time, comes round too seldom for that.
func (n *Node) sendFullReports() {
	t := time.NewTicker(fullReportInterval)
	defer t.Stop()
	var telling sync.WaitGroup
	defer telling.Wait()
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		text := n.fullReport()
		forEachIdle(&telling, &n.sendingTo, n.controlPlanePeers(), func(name string) {
			if _, alive := n.aliveNames.Load(name); !alive {
				return
			}
			// The transport goes by the name alone.
			to := &memberlist.Node{Name: name, Addr: net.IPv4zero}
			if err := n.memberlist.SendReliable(to, text); err != nil {
				n.log.Debug("not told", "member", name, "err", err)
			}
		})
	}
}

// fullReport is all that this process thinks.
func (n *Node) fullReport() []byte {
	var r member.Report
	n.WithTracker(func(now time.Duration, t *member.Tracker) { r = t.FullReport(now) })
	r.BootID = n.bootID
	text, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return text
}

// delegate is what the library asks and tells. It is called with the library's lock held, so
// nothing here calls the library.
type delegate struct{ node *Node }

func (d *delegate) NodeMeta(limit int) []byte {
	i := d.node.Self()
	text, err := json.Marshal(i)
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

func (d *delegate) NotifyMsg(text []byte) { d.mergeReport(text) }

func (d *delegate) mergeReport(text []byte) {
	if len(text) == 0 {
		return
	}
	r, err := member.DecodeReport(text)
	if err != nil {
		d.node.malformed.Add(1)
		d.node.log.Debug("a report was ignored", "err", err)
		return
	}
	if r.From == d.node.config.Self.Name {
		return
	}
	fresh := false
	d.node.WithTracker(func(now time.Duration, t *member.Tracker) { fresh = t.MergeReport(now, &r) })
	if fresh && !r.Full {
		// The library passes its own news on, and leaves that of its users to them. Who has it
		// already doesn't, so a rumour ends by itself.
		d.node.broadcasts.QueueBroadcast(broadcast(slices.Clone(text)))
		d.node.broadcasts.Prune(maxQueuedBroadcasts)
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.node.broadcasts.GetBroadcasts(overhead, limit)
}

func (d *delegate) LocalState(bool) []byte {
	if d.node.config.Self.Role != member.RoleControlPlane {
		return nil
	}
	return d.node.fullReport()
}

func (d *delegate) MergeRemoteState(text []byte, _ bool) { d.mergeReport(text) }

// NotifyAlive refuses whom the configuration doesn't name, and who makes no sense.
func (d *delegate) NotifyAlive(peer *memberlist.Node) error {
	if _, known := d.node.config.Peers()[peer.Name]; !known && peer.Name != d.node.config.Self.Name {
		d.node.rejected.Add(1)
		return fmt.Errorf("%s: not in the table of peers", peer.Name)
	}
	i, err := member.DecodeInfo(peer.Meta)
	if err == nil && i.Name != peer.Name {
		err = fmt.Errorf("it calls itself %s", i.Name)
	}
	if err != nil {
		d.node.malformed.Add(1)
		return err
	}
	return nil
}

func (d *delegate) NotifyJoin(peer *memberlist.Node) {
	d.node.aliveNames.Store(peer.Name, true)
	d.NotifyUpdate(peer)
}

func (d *delegate) NotifyUpdate(peer *memberlist.Node) {
	i, err := member.DecodeInfo(peer.Meta)
	if err != nil || i.Name != peer.Name {
		return // refused before
	}
	d.node.WithTracker(func(now time.Duration, t *member.Tracker) { t.MemberAlive(now, i) })
}

func (d *delegate) NotifyLeave(peer *memberlist.Node) {
	d.node.aliveNames.Delete(peer.Name)
	d.node.WithTracker(func(now time.Duration, t *member.Tracker) { t.MemberDead(now, peer.Name) })
}

// NotifyConflict is told of a second process of a name.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.node.conflicts.Add(1)
	if d.node.config.OnConflict != nil {
		d.node.config.OnConflict(existing.Name, fmt.Sprintf("%s:%d", other.Addr, other.Port))
	}
}

func (d *delegate) AckPayload() []byte { return nil }

func (d *delegate) NotifyPingComplete(other *memberlist.Node, _ time.Duration, _ []byte) {
	d.node.WithTracker(func(now time.Duration, t *member.Tracker) { t.PeerAnswered(now, other.Name) })
}

// libraryLog passes the library's log on, a bounded number of lines a second.
type libraryLog struct {
	log   *slog.Logger
	limit *rate.Limiter
}

var _ io.Writer = (*libraryLog)(nil)

func (l *libraryLog) Write(p []byte) (int, error) {
	if l.limit.Allow() {
		l.log.Debug("gossip", "line", string(slices.Clone(p[:max(len(p)-1, 0)])))
	}
	return len(p), nil
}
