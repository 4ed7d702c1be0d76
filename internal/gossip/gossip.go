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
// believeAfter, or up to twice that where few others confirm it.
const (
	believeAfter = 1700 * time.Millisecond
	probeEvery   = 250 * time.Millisecond
	probeWait    = 125 * time.Millisecond
	gossipEvery  = 100 * time.Millisecond
	fullEvery    = 4 * time.Second // all that a process knows, to one other
	streamWait   = time.Second
	tickEvery    = 100 * time.Millisecond
	reachEvery   = 500 * time.Millisecond // stewards ask each other directly
	rejoinEvery  = 500 * time.Millisecond
	rejoinAtOnce = 2
	mostReaches  = 16
	lateBy       = 400 * time.Millisecond // a tick that is later tells of a pause
	mostNews     = 16                     // members of one broadcast, which has to fit a datagram
	mostRumours  = 256
	leaveWait    = time.Second
)

// Node is a process that gossips.
type Node struct {
	c     Config
	log   *slog.Logger
	list  *memberlist.Memberlist
	trans *transport
	queue *memberlist.TransmitLimitedQueue
	began time.Time
	life  string
	ctx   context.Context
	stop  context.CancelFunc
	owned sync.WaitGroup

	mu   sync.Mutex // of what follows; never held while the library is called
	t    *member.Tracker
	self member.Info

	known    sync.Map // names that are alive by the library
	telling  sync.Map // names to which all is being told
	asked    sync.Map // names whose answer is waited for
	lost     int      // which of the missing is asked next
	pauses   atomic.Int64
	rubbish  atomic.Int64
	refused  atomic.Int64
	conflict atomic.Int64
}

// Start opens the sockets and looks for the others.
func Start(c Config) (*Node, error) {
	n := &Node{c: c, log: c.Log, began: time.Now(), life: crand.Text(), self: c.Self}
	n.self.ProtocolVersion = member.ProtocolVersion
	c.Tracker.Self = n.self
	n.t = member.NewTracker(c.Tracker)
	n.ctx, n.stop = context.WithCancel(context.Background())
	var err error
	n.trans, err = newTransport(c.Listen, func(name string) (string, bool) {
		addr, ok := c.Peers()[name]
		return addr, ok && addr != ""
	})
	if err != nil {
		return nil, err
	}
	lc := memberlist.DefaultLANConfig()
	lc.Name, lc.Transport = c.Self.Name, n.trans
	lc.RequireNodeNames = true
	lc.ProbeInterval, lc.ProbeTimeout, lc.GossipInterval, lc.PushPullInterval, lc.TCPTimeout = probeEvery, probeWait, gossipEvery, fullEvery, streamWait
	// The library waits for the multiple times the logarithm of the number of members: less for a
	// fleet of many to notice as soon, more for one of few not to accuse sooner.
	many := math.Max(1, math.Log10(float64(max(len(c.Peers()), 1))))
	lc.SuspicionMult = max(3, int(float64(believeAfter)/float64(probeEvery)/many+0.5))
	lc.SuspicionMaxTimeoutMult = 2
	lc.DeadNodeReclaimTime = time.Second
	lc.EnableCompression = false
	lc.Logger = log.New(&logLines{log: c.Log, limit: rate.NewLimiter(5, 20)}, "", 0)
	lc.LogOutput = nil
	d := &delegate{n}
	lc.Delegate, lc.Events, lc.Conflict, lc.Alive, lc.Ping = d, d, d, d, d
	n.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: lc.RetransmitMult, NumNodes: func() int {
		count := 1
		n.known.Range(func(any, any) bool { count++; return true })
		return count
	}}
	if n.list, err = memberlist.Create(lc); err != nil {
		n.stop()
		_ = n.trans.Shutdown()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	n.own(n.tick)
	n.own(n.rejoin)
	if c.Self.Role == member.RoleControlPlane {
		n.own(n.reach)
		n.own(n.tellStewards)
	}
	return n, nil
}

func (n *Node) own(f func()) {
	n.owned.Add(1)
	go func() {
		defer n.owned.Done()
		f()
	}()
}

// Addr is where it listens.
func (n *Node) Addr() string { return n.trans.tcp.Addr().String() }

func (n *Node) now() time.Duration { return time.Since(n.began) }

// WithTracker has something done with what is known.
func (n *Node) WithTracker(do func(now time.Duration, t *member.Tracker)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.now(), n.t)
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
	n.t.UpdateSelf(n.self)
	n.mu.Unlock()
	if same || n.ctx.Err() != nil {
		return
	}
	if err := n.list.UpdateNode(leaveWait); err != nil {
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
	c.Pauses, c.Malformed, c.Rejected, c.Conflicts = n.pauses.Load(), n.rubbish.Load(), n.refused.Load(), n.conflict.Load()
	c.UnknownPeers, c.Dropped, c.SentBytes = n.trans.unknown.Load(), n.trans.dropped.Load(), n.trans.sent.Load()
	c.HealthScore, c.QueuedBroadcasts = n.list.GetHealthScore(), n.queue.NumQueued()
	return c
}

// Leave tells the others that this process ends as planned.
func (n *Node) Leave() {
	n.UpdateSelf(func(i *member.Info) { i.ShuttingDown = true })
	if err := n.list.Leave(leaveWait); err != nil {
		n.log.Debug("the leave was not spread in time", "err", err)
	}
}

// Close ends it without a word.
func (n *Node) Close() {
	n.stop()
	n.owned.Wait()
	if err := n.list.Shutdown(); err != nil {
		n.log.Warn("gossip did not end in order", "err", err)
	}
}

// tick lets time pass for the tracker, and notices that this process was slow itself.
func (n *Node) tick() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-tick.C:
		case <-n.ctx.Done():
			return
		}
		late := time.Since(last) - tickEvery
		last = time.Now()
		var changes []member.Change
		var news []byte
		n.WithTracker(func(now time.Duration, t *member.Tracker) {
			if late > lateBy {
				n.pauses.Add(1)
				t.Paused(now, late)
			}
			changes = t.Tick(now)
			if n.c.Self.Role != member.RoleControlPlane {
				return // only stewards are observers: n processes would tell n of n
			}
			if r, some := t.PendingReport(now, mostNews); some {
				r.BootID = n.life
				news, _ = json.Marshal(r)
			}
		})
		if late > lateBy {
			n.log.Warn("this process stood still: it accuses nobody for a while", "for", late.Round(time.Millisecond))
		}
		if news != nil {
			n.queue.QueueBroadcast(broadcast(news))
			n.queue.Prune(mostRumours) // the oldest go: what they tell is in the next whole report
		}
		if len(changes) > 0 && n.c.OnChange != nil {
			n.c.OnChange(changes)
		}
	}
}

// broadcast is a report that is passed on a bounded number of times.
type broadcast []byte

func (broadcast) Invalidates(memberlist.Broadcast) bool { return false }
func (b broadcast) Message() []byte                     { return b }
func (broadcast) Finished()                             {}

// rejoin looks for those of the table that are not there: at the start, after a cut that
// lasted, and when a member has come back at its address.
func (n *Node) rejoin() {
	t := time.NewTicker(rejoinEvery)
	defer t.Stop()
	for {
		var missing []string
		for name := range n.c.Peers() {
			if _, alive := n.known.Load(name); !alive && name != n.c.Self.Name {
				missing = append(missing, name)
			}
		}
		slices.Sort(missing)
		for range min(rejoinAtOnce, len(missing)) {
			n.lost++
			name := missing[n.lost%len(missing)]
			addr := n.c.Peers()[name]
			if addr == "" {
				continue
			}
			if _, err := n.list.Join([]string{name + "/" + addr}); err != nil {
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

// reach asks the other stewards directly whether they are there.
func (n *Node) reach() {
	t := time.NewTicker(reachEvery)
	defer t.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		stewards := n.stewards()
		n.WithTracker(func(now time.Duration, t *member.Tracker) {
			for _, name := range stewards {
				t.ExpectPeer(now, name)
			}
		})
		beside(&asking, &n.asked, stewards, func(name string) {
			if _, err := n.list.Ping(name, &net.UDPAddr{IP: net.IPv4zero}); err == nil {
				n.WithTracker(func(now time.Duration, t *member.Tracker) { t.PeerAnswered(now, name) })
			}
		})
	}
}

// stewards are the others that have not left, some of them drawn if there are many.
func (n *Node) stewards() (names []string) {
	v := n.View()
	for i := range v.Members {
		if e := &v.Members[i]; e.Role == member.RoleControlPlane && e.Name != n.c.Self.Name && e.State != member.Left {
			names = append(names, e.Name)
		}
	}
	if len(names) > mostReaches {
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:mostReaches]
	}
	return names
}

// beside does something for each name, but for those for which it is still being done.
func beside(all *sync.WaitGroup, busy *sync.Map, names []string, do func(name string)) {
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

// tellStewards tells each of the others all that this process thinks. The library's own
// exchange, with one drawn member at a time, comes round too seldom for that.
func (n *Node) tellStewards() {
	t := time.NewTicker(fullEvery)
	defer t.Stop()
	var telling sync.WaitGroup
	defer telling.Wait()
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		text := n.whole()
		beside(&telling, &n.telling, n.stewards(), func(name string) {
			if _, alive := n.known.Load(name); !alive {
				return
			}
			// The transport goes by the name alone.
			to := &memberlist.Node{Name: name, Addr: net.IPv4zero}
			if err := n.list.SendReliable(to, text); err != nil {
				n.log.Debug("not told", "member", name, "err", err)
			}
		})
	}
}

// whole is all that this process thinks.
func (n *Node) whole() []byte {
	var r member.Report
	n.WithTracker(func(now time.Duration, t *member.Tracker) { r = t.FullReport(now) })
	r.BootID = n.life
	text, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return text
}

// delegate is what the library asks and tells. It is called with the library's lock held, so
// nothing here calls the library.
type delegate struct{ n *Node }

func (d *delegate) NodeMeta(limit int) []byte {
	i := d.n.Self()
	text, err := json.Marshal(i)
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

func (d *delegate) NotifyMsg(text []byte) { d.report(text) }

func (d *delegate) report(text []byte) {
	if len(text) == 0 {
		return
	}
	r, err := member.DecodeReport(text)
	if err != nil {
		d.n.rubbish.Add(1)
		d.n.log.Debug("a report was ignored", "err", err)
		return
	}
	if r.From == d.n.c.Self.Name {
		return
	}
	fresh := false
	d.n.WithTracker(func(now time.Duration, t *member.Tracker) { fresh = t.MergeReport(now, &r) })
	if fresh && !r.Full {
		// The library passes its own news on, and leaves that of its users to them. Who has it
		// already doesn't, so a rumour ends by itself.
		d.n.queue.QueueBroadcast(broadcast(slices.Clone(text)))
		d.n.queue.Prune(mostRumours)
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.n.queue.GetBroadcasts(overhead, limit)
}

func (d *delegate) LocalState(bool) []byte {
	if d.n.c.Self.Role != member.RoleControlPlane {
		return nil
	}
	return d.n.whole()
}

func (d *delegate) MergeRemoteState(text []byte, _ bool) { d.report(text) }

// NotifyAlive refuses whom the configuration doesn't name, and who makes no sense.
func (d *delegate) NotifyAlive(peer *memberlist.Node) error {
	if _, known := d.n.c.Peers()[peer.Name]; !known && peer.Name != d.n.c.Self.Name {
		d.n.refused.Add(1)
		return fmt.Errorf("%s: not in the table of peers", peer.Name)
	}
	i, err := member.DecodeInfo(peer.Meta)
	if err == nil && i.Name != peer.Name {
		err = fmt.Errorf("it calls itself %s", i.Name)
	}
	if err != nil {
		d.n.rubbish.Add(1)
		return err
	}
	return nil
}

func (d *delegate) NotifyJoin(peer *memberlist.Node) {
	d.n.known.Store(peer.Name, true)
	d.NotifyUpdate(peer)
}

func (d *delegate) NotifyUpdate(peer *memberlist.Node) {
	i, err := member.DecodeInfo(peer.Meta)
	if err != nil || i.Name != peer.Name {
		return // refused before
	}
	d.n.WithTracker(func(now time.Duration, t *member.Tracker) { t.Alive(now, i) })
}

func (d *delegate) NotifyLeave(peer *memberlist.Node) {
	d.n.known.Delete(peer.Name)
	d.n.WithTracker(func(now time.Duration, t *member.Tracker) { t.Dead(now, peer.Name) })
}

// NotifyConflict is told of a second process of a name.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.n.conflict.Add(1)
	if d.n.c.OnConflict != nil {
		d.n.c.OnConflict(existing.Name, fmt.Sprintf("%s:%d", other.Addr, other.Port))
	}
}

func (d *delegate) AckPayload() []byte { return nil }

func (d *delegate) NotifyPingComplete(other *memberlist.Node, _ time.Duration, _ []byte) {
	d.n.WithTracker(func(now time.Duration, t *member.Tracker) { t.PeerAnswered(now, other.Name) })
}

// logLines passes the library's log on, a bounded number of lines a second.
type logLines struct {
	log   *slog.Logger
	limit *rate.Limiter
}

var _ io.Writer = (*logLines)(nil)

func (l *logLines) Write(p []byte) (int, error) {
	if l.limit.Allow() {
		l.log.Debug("gossip", "line", string(slices.Clone(p[:max(len(p)-1, 0)])))
	}
	return len(p), nil
}
