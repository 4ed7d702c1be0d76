package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/member"
)

// gossipMesh is the links over which the stewards of a fleet gossip and call each other, beside
// those over which they replicate: one of each sort for each ordered pair.
type gossipMesh struct {
	cluster   *testCluster
	streams   map[[2]string]map[string]*link.Link // by what they lead to
	datagrams map[[2]string]*link.UDP
	shapes    map[[2]string]link.Shape
	nonVoters map[string]bool
}

// newGossipCluster is a fleet whose stewards gossip, all of them links between.
func newGossipCluster(t testing.TB, n int, extra string, spares ...string) *testCluster {
	t.Helper()
	f := newUnstartedCluster(t, n)
	f.mesh = &gossipMesh{cluster: f, streams: map[[2]string]map[string]*link.Link{}, datagrams: map[[2]string]*link.UDP{}, shapes: map[[2]string]link.Shape{}, nonVoters: map[string]bool{}}
	for _, s := range spares {
		f.mesh.nonVoters[s] = true
	}
	f.extraConfig = "heartbeat = \"500ms\"\nlease_ttl = \"3s\"\nsnapshot_every = 64\nsnapshot_check = \"500ms\"\n" + extra
	for _, name := range f.names {
		f.configure(name, f.names)
	}
	return f
}

func (f *testCluster) startAll() {
	for _, name := range f.names {
		f.start(name)
	}
	f.waitForLeader()
	f.waitForEqualViews(f.names...)
}

func (m *gossipMesh) close() {
	for _, by := range m.streams {
		for _, l := range by {
			l.Close()
		}
	}
	for _, u := range m.datagrams {
		u.Close()
	}
}

// streamAddr is where one dials what another listens at.
func (m *gossipMesh) streamAddr(from, to, target string) string {
	key := [2]string{from, to}
	if m.streams[key] == nil {
		m.streams[key] = map[string]*link.Link{}
	}
	if m.streams[key][target] == nil {
		l, err := link.New(m.cluster.addrs.IP()+":0", target, 1)
		if err != nil {
			m.cluster.t.Fatal(err)
		}
		m.streams[key][target] = l
	}
	return m.streams[key][target].Addr()
}

func (m *gossipMesh) peerConfig(from, to string) string {
	addr := m.cluster.servers[to].gossip
	if from != to {
		addr = m.streamAddr(from, to, addr)
		if key := [2]string{from, to}; m.datagrams[key] == nil {
			u, err := link.NewUDP(addr, m.cluster.servers[to].gossip, uint64(len(m.datagrams)))
			if err != nil {
				m.cluster.t.Fatal(err)
			}
			m.datagrams[key] = u
		}
	}
	text := fmt.Sprintf("gossip = %q\n", addr)
	if m.nonVoters[to] {
		text += "spare = true\n"
	}
	return text
}

// shapeOneWay has what goes from one to another go so: over connections that either has made.
func (m *gossipMesh) shapeOneWay(from, to string, s link.Shape) { m.applyShape(s, [2]string{from, to}) }

// shapeBetween has all that goes between some stewards and others go so.
func (m *gossipMesh) shapeBetween(some, others []string, s link.Shape) {
	var pairs [][2]string
	for _, a := range some {
		for _, b := range others {
			if a != b {
				pairs = append(pairs, [2]string{a, b}, [2]string{b, a})
			}
		}
	}
	m.applyShape(s, pairs...)
}

func (m *gossipMesh) applyShape(s link.Shape, pairs ...[2]string) {
	m.cluster.t.Helper()
	keys := map[[2]string]bool{}
	for _, p := range pairs {
		m.shapes[p] = s
		keys[p], keys[[2]string{p[1], p[0]}] = true, true
	}
	var all sync.WaitGroup // together: a link that is cut has a queue to fill first
	for key := range keys {
		out, back := m.shapes[key], m.shapes[[2]string{key[1], key[0]}]
		m.datagrams[key].Set(out, back)
		streams := []*link.Link{m.cluster.links[key]}
		for _, l := range m.streams[key] {
			streams = append(streams, l)
		}
		for _, l := range streams {
			all.Add(1)
			go func() {
				defer all.Done()
				if err := l.Set(out, back); err != nil {
					m.cluster.t.Error(err)
				}
			}()
		}
	}
	all.Wait()
}

func (f *testCluster) view(name string) (v member.View, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	views, _ := control.ReadMemberViews(ctx, []string{f.servers[name].http}, 2*time.Second)
	if len(views) != 1 {
		return v, false
	}
	return views[0], true
}

// waitForState waits until a steward has members in a state, and tells how long that took.
func (f *testCluster) waitForState(at string, state member.State, names ...string) time.Duration {
	f.t.Helper()
	began := time.Now()
	var v member.View
	f.waitUntil(fmt.Sprintf("%s has %v as %s", at, names, state), func() bool {
		var ok bool
		v, ok = f.view(at)
		for _, n := range names {
			ok = ok && v.State(n) == state
		}
		return ok
	})
	return time.Since(began)
}

// waitForEqualViews waits until the views of stewards are equal: all of them present, nobody of another
// mind; and tells how long that took.
func (f *testCluster) waitForEqualViews(names ...string) time.Duration {
	f.t.Helper()
	began := time.Now()
	last := ""
	defer func() {
		if f.t.Failed() {
			f.t.Log(last)
		}
	}()
	f.waitUntil("equal views", func() bool {
		var views []member.View
		for _, n := range names {
			v, ok := f.view(n)
			if !ok {
				last = n + " doesn't answer"
				return false
			}
			for _, o := range names {
				if st := v.State(o); st != member.Present {
					last = fmt.Sprintf("%s has %s as %q", n, o, st)
					return false
				}
			}
			views = append(views, v)
		}
		diffs := member.CompareViews(views)
		last = fmt.Sprintf("%+v", diffs)
		return len(diffs) == 0
	})
	return time.Since(began)
}

// stateWatcher looks at views all the while, and remembers in which states members were.
type stateWatcher struct {
	mu   sync.Mutex
	seen map[[2]string]map[member.State]bool // by observer and member
	stop context.CancelFunc
	done sync.WaitGroup
}

func (f *testCluster) watchStates(names ...string) *stateWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &stateWatcher{seen: map[[2]string]map[member.State]bool{}, stop: cancel}
	for _, name := range names {
		w.done.Add(1)
		go func() {
			defer w.done.Done()
			for ctx.Err() == nil {
				if v, ok := f.view(name); ok {
					w.mu.Lock()
					for i := range v.Members {
						key := [2]string{name, v.Members[i].Name}
						if w.seen[key] == nil {
							w.seen[key] = map[member.State]bool{}
						}
						w.seen[key][v.Members[i].State] = true
					}
					w.mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	f.t.Cleanup(w.stopWatching)
	return w
}

func (w *stateWatcher) stopWatching() {
	w.stop()
	w.done.Wait()
}

// requireNever holds that no observer had a member in a state.
func (w *stateWatcher) requireNever(t *testing.T, state member.State, names ...string) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, states := range w.seen {
		if states[state] && slices.Contains(names, key[1]) {
			t.Errorf("%s had %s as %s", key[0], key[1], state)
		}
	}
}

// backendGroup is programme servers that answer when they are asked how they are, and renew at the
// stewards named, in turn. A reader watches whether any is ever off the list.
type backendGroup struct {
	cluster         *testCluster
	names           []string
	reader          *watchReader
	mu              sync.Mutex
	renewalsPaused  bool
	renewAt         []string
	firstTwoRenewAt []string // where the first two renew; nil: where all do
	stop            context.CancelFunc
	done            sync.WaitGroup
	listeners       []net.Listener
}

func (f *testCluster) startBackends(n int, reader string, at ...string) *backendGroup {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	h := &backendGroup{cluster: f, renewAt: at, stop: cancel}
	var servers []*http.Server
	f.t.Cleanup(func() {
		cancel()
		for _, s := range servers {
			s.Close()
		}
		h.done.Wait()
	})
	for i := range n {
		ln, err := net.Listen("tcp", f.addrs.IP()+":0")
		if err != nil {
			f.t.Fatal(err)
		}
		h.listeners = append(h.listeners, ln)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}), ReadHeaderTimeout: time.Second}
		h.done.Add(1)
		go func() { defer h.done.Done(); _ = server.Serve(ln) }()
		servers = append(servers, server)
		name := fmt.Sprint("s-", i)
		e := newEndpoint(name, 1)
		e.Dial = ln.Addr().String()
		f.waitUntil(name+" is taken", func() bool {
			c, done := context.WithTimeout(context.Background(), 5*time.Second)
			defer done()
			_, err := f.client(f.names...).Register(c, e)
			return err == nil
		})
		h.names = append(h.names, name)
	}
	h.reader = f.startReader(reader)
	f.waitUntil("all are listed", func() bool {
		for _, n := range h.names {
			if _, ok := h.reader.lookup(n); !ok {
				return false
			}
		}
		return true
	})
	h.done.Add(1)
	go func() {
		defer h.done.Done()
		for i := 0; ctx.Err() == nil; i++ {
			h.mu.Lock()
			quiet, at, apart := h.renewalsPaused, h.renewAt, h.firstTwoRenewAt
			h.mu.Unlock()
			say := func(at []string, refs []catalog.InstanceRef) {
				c, done := context.WithTimeout(ctx, 700*time.Millisecond)
				_, _ = f.servers[at[i%len(at)]].client.Renew(c, refs)
				done()
			}
			all := instanceRefs(n)
			switch {
			case quiet:
			case apart != nil:
				say(apart, all[:2])
				say(at, all[2:])
			default:
				say(at, all)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}()
	return h
}

// pauseRenewals has the servers renew no more; they still answer when they are asked.
func (h *backendGroup) pauseRenewals() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewalsPaused = true
}

// requireAllListed holds that no server was ever taken off the list.
func (h *backendGroup) requireAllListed() {
	h.cluster.t.Helper()
	h.reader.mu.Lock()
	defer h.reader.mu.Unlock()
	if len(h.reader.removed) > 0 {
		h.cluster.t.Errorf("taken off the list though they are there: %v", h.reader.removed)
	}
	if len(h.reader.listed) < len(h.names) {
		h.cluster.t.Errorf("%d of %d are listed", len(h.reader.listed), len(h.names))
	}
}
