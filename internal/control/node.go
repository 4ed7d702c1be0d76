package control

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	"molepaddle/internal/endpoints"
	"molepaddle/internal/gossip"
)

const (
	applyWait   = 3 * time.Second // for a command to be committed
	decideEvery = 100 * time.Millisecond
	peerWait    = time.Second // for another steward's answer
	leaveWait   = 5 * time.Second
)

// errNoLeader is a command that was surely not carried out.
var errNoLeader = errors.New("there is no leader at the moment")

// errInDoubt is one that may have been, or may be yet.
var errInDoubt = errors.New("the leader changed: whether it was carried out is unknown")

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

// join starts raft. A steward whose folder is empty votes only where it can have promised
// nothing before: in a fleet that begins, or after it was taken off the voters.
func (n *Node) join(ctx context.Context) error {
	rl := raftLog(n.log)
	var err error
	if n.store, err = openStore(n.c.Data, rl); err != nil {
		return err
	}
	if n.id, err = identity(n.c.Data); err != nil {
		return err
	}
	if err := n.startGossip(); err != nil {
		return err
	}
	has, err := raft.HasExistingState(n.store, n.store.bolt, n.store.snaps)
	if err != nil {
		return fmt.Errorf("data: %w", err)
	}
	begin, rejoin := false, false
	if !has {
		if begin, rejoin, err = n.firstStart(ctx); err != nil {
			return err
		}
	}
	ln, err := net.Listen("tcp", n.c.Raft)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	n.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{MaxPool: 3, Timeout: 5 * time.Second, Logger: rl,
		Stream: &namedStream{stream{ln, n.raftAddr}, n.c.Name}})
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(n.c.Name)
	rc.Logger = rl
	rc.HeartbeatTimeout, rc.ElectionTimeout = n.c.Heartbeat, n.c.Heartbeat
	rc.LeaderLeaseTimeout = n.c.Heartbeat * 4 / 5
	rc.CommitTimeout = 5 * time.Millisecond
	rc.SnapshotThreshold, rc.SnapshotInterval = n.c.SnapshotEvery, n.c.SnapshotCheck
	rc.TrailingLogs = n.c.SnapshotEvery
	rc.NoSnapshotRestoreOnStart = false
	rc.ShutdownOnRemove = false // it serves its list until it is ended
	r, err := raft.NewRaft(rc, n.fsm, n.c.Log(n.store), &promises{n.store.bolt, n.fail}, n.store.snaps, n.trans)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	n.rp.Store(r)
	if begin && !n.c.Peers[n.c.Name].Spare { // a spare hears of it from those that vote
		var conf raft.Configuration
		for _, name := range append([]string{n.c.Name}, n.c.others()...) {
			s := raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)}
			if n.c.Peers[name].Spare {
				s.Suffrage = raft.Nonvoter
			}
			conf.Servers = append(conf.Servers, s)
		}
		if err := n.raft().BootstrapCluster(conf).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
			return fmt.Errorf("raft: %w", err)
		}
	}
	if rejoin {
		n.own(n.askIn)
	}
	return nil
}

func (n *Node) raftAddr(name string) (string, bool) {
	if name == n.c.Name {
		return n.c.Raft, true
	}
	p, ok := (*n.table.Load())[name]
	return p.Raft, ok
}

// firstStart waits until it is known what an empty folder means: every other steward is as
// empty, so the fleet begins; or one has a state, so this one was replaced or has lost its
// own. It may have voted, and must not vote again before the others have taken it off.
func (n *Node) firstStart(ctx context.Context) (begin, rejoin bool, err error) {
	others := n.c.others()
	for first := true; ; first = false {
		empty := 0
		for _, name := range others {
			st, err := n.statusOf(ctx, name)
			switch {
			case err != nil:
			case st.HasState:
				err := n.askOut(ctx)
				var refused *HTTPError
				switch {
				case err == nil:
					n.log.Info("rejoining with an empty folder", "told_by", name)
					return false, true, nil
				case errors.As(err, &refused) && refused.Status == http.StatusConflict && time.Since(n.began) > nameWait:
					return false, false, fmt.Errorf("name: %w", err)
				}
			default:
				empty++
			}
		}
		if empty == len(others) {
			return true, false, nil
		}
		if first {
			n.log.Info("the folder is empty: waiting until all other stewards answer, or one that has a state", "others", others)
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return false, false, fmt.Errorf("first start: %w", ctx.Err())
		}
	}
}

// askOut has the others take this steward off the voters.
func (n *Node) askOut(ctx context.Context) error {
	return n.anyPeer(ctx, func(base string) error {
		return call(ctx, n.peers, http.MethodDelete, base+"/v1/peers/"+n.c.Name+"?id="+n.id, nil, nil)
	})
}

// askIn has them take it in again, once its raft can hear them.
func (n *Node) askIn() {
	query := ""
	if (*n.table.Load())[n.c.Name].Spare {
		query = "?spare=1"
	}
	for {
		err := n.anyPeer(n.ctx, func(base string) error {
			return call(n.ctx, n.peers, http.MethodPut, base+"/v1/peers/"+n.c.Name+query, nil, nil)
		})
		if err == nil {
			return
		}
		n.log.Warn("not taken in yet", "err", err)
		select {
		case <-time.After(500 * time.Millisecond):
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) anyPeer(ctx context.Context, do func(base string) error) error {
	err := errors.New("no other steward in the table")
	for _, name := range n.c.others() {
		err = do("http://" + (*n.table.Load())[name].HTTP)
		var refused *HTTPError
		if err == nil || ctx.Err() != nil || errors.As(err, &refused) && refused.Status == http.StatusConflict {
			return err
		}
	}
	return err
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

// voters are the names that vote, as this steward knows it.
func (n *Node) voters() []string {
	f := n.raft().GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	var names []string
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			names = append(names, string(s.ID))
		}
	}
	return names
}

// follow leads while raft says so: it takes up the leases, and proposes what is decided.
func (n *Node) follow() {
	tick := time.NewTicker(decideEvery)
	defer tick.Stop()
	for {
		select {
		case leads := <-n.raft().LeaderCh():
			if leads {
				n.begin()
			} else {
				n.end()
			}
		case <-tick.C:
			n.assign()
		case <-n.ctx.Done():
			n.end()
			return
		}
	}
}

// begin takes up a leader's work once all that was committed before is applied here.
func (n *Node) begin() {
	if err := n.raft().Barrier(applyWait).Error(); err != nil {
		n.log.Warn("leads no longer before it began", "err", err)
		return
	}
	n.lead.Lock()
	var seq int64
	n.fsm.read(func(s *catalog.State) {
		n.base, seq = s.Clock, s.Seq
		n.ledSince = time.Now()
		n.leases = catalog.Lead(n.c.leases(), s, s.Clock)
		n.tenures = catalog.Succeed(s.Clock)
	})
	n.lead.Unlock()
	n.m.elections.Inc()
	n.log.Info("leads", "version", seq, "term", n.raft().CurrentTerm())
	if seq == 0 {
		n.raise(0)
	}
	n.defineOwn()
}

func (n *Node) end() {
	n.lead.Lock()
	defer n.lead.Unlock()
	if n.leases != nil {
		n.log.Info("leads no longer")
	}
	n.leases, n.tenures = nil, nil
}

// raise brings the version to where no reader has been: versions never go back, also where
// the state is new or an old one. The clock is a hint only; what a reader has seen counts.
func (n *Node) raise(seen int64) {
	floor := max(n.c.Now().UnixMicro(), seen+1)
	if floor > maxSeq {
		return // no service ever said such a version
	}
	if _, err := n.propose(catalog.Command{Kind: catalog.Floor, Seq: floor}); err != nil {
		n.log.Warn("the version was not raised", "err", err)
		return
	}
	n.log.Info("version raised", "to", floor, "seen_by_a_reader", seen)
}

// maxSeq bounds a version that is taken for one: JSON numbers hold no more exactly, and one
// reader's nonsense must not use up all that there are.
const maxSeq = 1 << 52

// elapsed is the leader's time for a command.
func (n *Node) elapsed() (time.Duration, bool) {
	n.lead.Lock()
	defer n.lead.Unlock()
	return n.base + time.Since(n.ledSince), n.leases != nil
}

// propose commits a command. The result's code may still refuse it.
func (n *Node) propose(c catalog.Command) (catalog.Result, error) {
	at, leads := n.elapsed()
	if !leads {
		return catalog.Result{}, errNoLeader
	}
	c.Form, c.At = catalog.Form, at
	text, err := json.Marshal(c)
	if err != nil {
		return catalog.Result{}, fmt.Errorf("%s: %w", c.Kind, err)
	}
	began := time.Now()
	f := n.raft().Apply(text, applyWait)
	switch err := f.Error(); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return catalog.Result{}, errNoLeader
	case err != nil:
		return catalog.Result{}, fmt.Errorf("%w: %v", errInDoubt, err)
	}
	n.m.commit.Observe(time.Since(began).Seconds())
	return f.Response().(catalog.Result), nil
}

// sweep proposes what leases and damping call for, under the fence of the duty.
func (n *Node) sweep(fence int64) error {
	now, leads := n.elapsed()
	if !leads {
		return errNoLeader
	}
	var d catalog.Decision
	n.lead.Lock()
	if n.leases != nil {
		n.fsm.read(func(s *catalog.State) { d = n.leases.Decide(s, now, n.judge()) })
	}
	n.lead.Unlock()
	for _, c := range []catalog.Command{{Kind: catalog.Lapse, Refs: d.Lapse}, {Kind: catalog.Hold, Refs: d.Hold}, {Kind: catalog.Hold, Why: catalog.HoldService, Refs: d.HoldService},
		{Kind: catalog.Seen, Refs: d.Seen}, {Kind: catalog.Admit, Refs: d.Admit}} {
		if len(c.Refs) == 0 {
			continue
		}
		c.Under, c.Fence = sweepDuty, fence
		r, err := n.propose(c)
		if err != nil {
			return err
		}
		if r.Code == catalog.Fenced {
			return &refusal{r}
		}
		n.m.decided.WithLabelValues(string(c.Kind)).Add(float64(len(c.Refs)))
		n.log.Info("decided", "command", c.Kind, "servers", len(c.Refs), "first", c.Refs[0].Name, "fence", fence)
	}
	return nil
}

// renew notes that a process was heard; on the leader only, and in no log.
func (n *Node) renew(refs []catalog.Ref) ([]catalog.Code, error) {
	now, leads := n.elapsed()
	if !leads {
		return nil, errNoLeader
	}
	codes := make([]catalog.Code, len(refs))
	n.lead.Lock()
	defer n.lead.Unlock()
	if n.leases == nil {
		return nil, errNoLeader
	}
	n.fsm.read(func(s *catalog.State) {
		for i, ref := range refs {
			codes[i] = n.leases.Renew(s, ref, now)
		}
	})
	return codes, nil
}

// barriers shares what many calls wait for: each waits for one that began after it came.
// Those that come while one is under way share the next.
type barriers struct {
	mu   sync.Mutex
	next *barrier
	busy bool
}

type barrier struct {
	done chan struct{}
	err  error
}

func (n *Node) wait(ctx context.Context, b *barriers, pass func() error) error {
	b.mu.Lock()
	if b.next == nil {
		b.next = &barrier{done: make(chan struct{})}
	}
	mine := b.next
	if !b.busy {
		b.busy = true
		n.own(func() { n.run(b, pass) })
	}
	b.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Node) run(b *barriers, pass func() error) {
	for {
		b.mu.Lock()
		mine := b.next
		if mine == nil {
			b.busy = false
			b.mu.Unlock()
			return
		}
		b.next = nil
		b.mu.Unlock()
		if _, leads := n.elapsed(); !leads || pass() != nil {
			mine.err = errNoLeader
		}
		close(mine.done)
	}
}

// barrier makes reads linearizable: it passes once all is applied that was in the log.
func (n *Node) barrier(ctx context.Context) error {
	return n.wait(ctx, &n.reads, func() error { return n.raft().Barrier(applyWait).Error() })
}

// prove passes if this steward led when it began: a quorum has said so since.
func (n *Node) prove(ctx context.Context) error {
	return n.wait(ctx, &n.proofs, func() error { return n.raft().VerifyLeader().Error() })
}

// leader is the name of the leader, "" if none is known.
func (n *Node) leader() string {
	if n.raft() == nil {
		return ""
	}
	_, id := n.raft().LeaderWithID()
	return string(id)
}

// silence is for how long this steward has heard no leader, nor been one.
func (n *Node) silence() time.Duration {
	if n.raft() == nil {
		return time.Since(n.began)
	}
	if n.raft().State() == raft.Leader {
		return 0
	}
	last := n.raft().LastContact()
	if last.IsZero() {
		last = n.began
	}
	return time.Since(last)
}

// stale tells whether it has lost the quorum, or lags, for longer than its bound.
func (n *Node) stale() bool {
	return n.silence() > n.c.StaleAfter || time.Duration(n.lagged.Load()) > n.c.StaleAfter
}

// tend looks after the watches: they are ended once this steward has become stale while a
// better one is there, and some of them, in small steps, when others have fewer.
func (n *Node) tend() {
	t := time.NewTicker(min(n.c.StaleAfter/4, lookAgain))
	defer t.Stop()
	var behind progress
	var spread time.Time
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		found := n.look()
		for i := range found {
			if st := &found[i]; st.State == "leader" && st.Term >= n.raft().CurrentTerm() {
				behind.saw(time.Since(n.began), st.Committed)
			}
		}
		n.rejoinLost(found)
		n.lagged.Store(int64(behind.lag(time.Since(n.began), n.raft().AppliedIndex())))
		if n.stale() && better(found) {
			if ended := n.hub.endAll(); ended > 0 {
				n.log.Warn("without the quorum or behind: watches are sent elsewhere", "watches", ended,
					"silent_for", n.silence().Round(time.Millisecond), "behind_by", time.Duration(n.lagged.Load()).Round(time.Millisecond))
			}
			continue
		}
		if time.Since(spread) < lookAgain {
			continue
		}
		spread = time.Now()
		if moved := n.hub.move(surplus(n.hub.load(), loads(found))); moved > 0 {
			n.m.moved.Add(float64(moved))
			n.log.Info("other stewards have fewer watches", "sent_elsewhere", moved, "left", n.hub.watches())
		}
	}
}

// loads is what the stewards have to which a watch can go.
func loads(found []Status) (out []load) {
	for i := range found {
		if st := &found[i]; serves(st) {
			out = append(out, load{st.Watches, st.Movable})
		}
	}
	return out
}

func serves(st *Status) bool { return st.HasState && !st.Stale && !st.Draining }

func better(found []Status) bool {
	for i := range found {
		if serves(&found[i]) {
			return true
		}
	}
	return false
}

// lookout remembers for a while how the other stewards stand.
type lookout struct {
	mu    sync.Mutex
	at    time.Time
	found []Status
}

const (
	lookAgain  = time.Second
	lookAtMost = 100 * time.Millisecond
)

// look asks the others how they stand, at most once in a while; those that don't answer
// are left out.
func (n *Node) look() []Status {
	o := &n.others
	o.mu.Lock()
	defer o.mu.Unlock()
	// Whether none is better decides whether an old list is served: that is asked sooner.
	if age := time.Since(o.at); age < lookAtMost || age < min(n.c.StaleAfter/4, lookAgain)/2 && better(o.found) {
		return o.found
	}
	ctx, cancel := context.WithTimeout(n.ctx, peerWait)
	defer cancel()
	names := n.c.others()
	answers := make(chan *Status)
	for _, name := range names {
		go func() {
			st, err := n.statusOf(ctx, name)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &st
		}()
	}
	o.found = nil
	for range names {
		if st := <-answers; st != nil {
			o.found = append(o.found, *st)
		}
	}
	o.at = time.Now()
	return o.found
}

// betterElsewhere tells whether another steward has the quorum. Where none has, this one's
// list is as good as any.
func (n *Node) betterElsewhere() bool { return better(n.look()) }

// drain sends the watches elsewhere that can go there, a few at a time, before this steward
// ends: all at once they would be a herd at the others.
func (n *Node) drain() {
	n.draining.Store(true)
	if n.c.Drain <= 0 || !n.betterElsewhere() {
		return
	}
	const steps = 20
	first := n.hub.load().movable
	t := time.NewTicker(max(n.c.Drain/steps, time.Millisecond))
	defer t.Stop()
	for range steps {
		if n.hub.load().movable == 0 {
			break
		}
		n.m.moved.Add(float64(n.hub.move((first + steps - 1) / steps)))
		<-t.C
	}
	n.log.Info("drained", "watches", first, "left", n.hub.watches())
}

func (n *Node) statusOf(ctx context.Context, name string) (Status, error) {
	var st Status
	p, ok := (*n.table.Load())[name]
	if !ok {
		return st, fmt.Errorf("steward %s: not in the table of peers", name)
	}
	return st, call(ctx, n.peers, http.MethodGet, "http://"+p.HTTP+"/v1/status", nil, &st)
}

// call makes a request of a steward and reads its JSON answer.
func call(ctx context.Context, c *http.Client, method, url string, body, into any) error {
	var r io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("%s %s: %w", method, url, err)
		}
		r = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshot))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	if resp.StatusCode/100 != 2 {
		return &HTTPError{Status: resp.StatusCode, Text: string(bytes.TrimSpace(text)), NotApplied: resp.Header.Get("Not-Applied") == "1"}
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = text
		return nil
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	return nil
}

// HTTPError is a steward's refusal.
type HTTPError struct {
	Status     int
	Text       string
	NotApplied bool // it surely had no effect
}

func (e *HTTPError) Error() string { return e.Text }

// Status is how a steward stands.
type Status struct {
	Name      string            `json:"name"`
	State     string            `json:"state"` // "leader", "follower", "candidate" or "starting"
	Leader    string            `json:"leader"`
	Term      uint64            `json:"term"`
	Seq       int64             `json:"seq"`
	Applied   uint64            `json:"applied"`
	Committed uint64            `json:"committed"`
	HasState  bool              `json:"has_state"`
	Stale     bool              `json:"stale"`
	SilentMs  int64             `json:"silent_ms"`
	Voters    []string          `json:"voters"`
	Peers     map[string]string `json:"peers"`    // suffrage by name
	LagMs     int64             `json:"lag_ms"`   // behind what the leader had committed
	Draining  bool              `json:"draining"` // it is about to end
	Watches   int               `json:"watches"`
	Movable   int               `json:"movable"` // watches that can go to another steward
	Listed    int               `json:"listed"`
	Held      int               `json:"held"` // that would have lapsed in a mass failure
	Damped    int               `json:"damped"`
	HeldForMs int64             `json:"held_for_ms"`
}

func (n *Node) status() Status {
	st := Status{Name: n.c.Name, State: "starting", Watches: n.hub.watches(), Movable: n.hub.load().movable, Draining: n.draining.Load(), Peers: map[string]string{}}
	var clock, since time.Duration
	n.fsm.read(func(s *catalog.State) {
		st.Seq, clock, since = s.Seq, s.Clock, s.HeldSince
		for _, e := range s.Entries {
			switch {
			case e.Ended:
			case e.Damped > 0:
				st.Damped++
			case e.Listed().Health != endpoints.Gone:
				st.Listed++
			}
			if e.Held {
				st.Held++
			}
		}
	})
	if since > 0 {
		st.HeldForMs = (clock - since).Milliseconds()
	}
	if n.raft() == nil {
		return st
	}
	states := map[raft.RaftState]string{raft.Leader: "leader", raft.Follower: "follower", raft.Candidate: "candidate", raft.Shutdown: "ended"}
	st.State, st.Leader, st.Term = states[n.raft().State()], n.leader(), n.raft().CurrentTerm()
	st.Applied, st.Committed = n.raft().AppliedIndex(), n.raft().CommitIndex()
	st.Stale, st.SilentMs = n.stale(), n.silence().Milliseconds()
	st.LagMs = time.Duration(n.lagged.Load()).Milliseconds()
	if f := n.raft().GetConfiguration(); f.Error() == nil {
		for _, s := range f.Configuration().Servers {
			st.Peers[string(s.ID)] = s.Suffrage.String()
			if s.Suffrage == raft.Voter {
				st.Voters = append(st.Voters, string(s.ID))
			}
		}
	}
	// The first entry is the configuration that each writes for itself; what comes after it
	// took a quorum.
	st.HasState = n.raft().LastIndex() > 1
	return st
}

// neverSent tells whether a call failed before it went out.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
