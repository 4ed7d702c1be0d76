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
	cluster := newUnstartedCluster(t, n)
	cluster.mesh = &gossipMesh{cluster: cluster, streams: map[[2]string]map[string]*link.Link{}, datagrams: map[[2]string]*link.UDP{}, shapes: map[[2]string]link.Shape{}, nonVoters: map[string]bool{}}
	for _, s := range spares {
		cluster.mesh.nonVoters[s] = true
	}
	cluster.extraConfig = "heartbeat = \"500ms\"\nlease_ttl = \"3s\"\nsnapshot_every = 64\nsnapshot_check = \"500ms\"\n" + extra
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
	}
	return cluster
}

func (cluster *testCluster) startAll() {
	for _, name := range cluster.names {
		cluster.start(name)
	}
	cluster.waitForLeader()
	cluster.waitForEqualViews(cluster.names...)
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

func (cluster *testCluster) view(name string) (v member.View, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	views, _ := control.ReadMemberViews(ctx, []string{cluster.servers[name].http}, 2*time.Second)
	if len(views) != 1 {
		return v, false
	}
	return views[0], true
}

// waitForState waits until a steward has members in a state, and tells how long that took.
func (cluster *testCluster) waitForState(at string, state member.State, names ...string) time.Duration {
	cluster.t.Helper()
	began := time.Now()
	var v member.View
	cluster.waitUntil(fmt.Sprintf("%s has %v as %s", at, names, state), func() bool {
		var ok bool
		v, ok = cluster.view(at)
		for _, n := range names {
			ok = ok && v.State(n) == state
		}
		return ok
	})
	return time.Since(began)
}

// waitForEqualViews waits until the views of stewards are equal: all of them present, nobody of another
// mind; and tells how long that took.
func (cluster *testCluster) waitForEqualViews(names ...string) time.Duration {
	cluster.t.Helper()
	began := time.Now()
	last := ""
	defer func() {
		if cluster.t.Failed() {
			cluster.t.Log(last)
		}
	}()
	cluster.waitUntil("equal views", func() bool {
		var views []member.View
		for _, n := range names {
			v, ok := cluster.view(n)
			if !ok {
				last = n + " doesn't answer"
				return false
			}
			for _, o := range names {
				if status := v.State(o); status != member.Present {
					last = fmt.Sprintf("%s has %s as %q", n, o, status)
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

func (cluster *testCluster) watchStates(names ...string) *stateWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	watcher := &stateWatcher{seen: map[[2]string]map[member.State]bool{}, stop: cancel}
	for _, name := range names {
		watcher.done.Add(1)
		go func() {
			defer watcher.done.Done()
			for ctx.Err() == nil {
				if v, ok := cluster.view(name); ok {
					watcher.mu.Lock()
					for i := range v.Members {
						key := [2]string{name, v.Members[i].Name}
						if watcher.seen[key] == nil {
							watcher.seen[key] = map[member.State]bool{}
						}
						watcher.seen[key][v.Members[i].State] = true
					}
					watcher.mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	cluster.t.Cleanup(watcher.stopWatching)
	return watcher
}

func (watcher *stateWatcher) stopWatching() {
	watcher.stop()
	watcher.done.Wait()
}

// requireNever holds that no observer had a member in a state.
func (watcher *stateWatcher) requireNever(t *testing.T, state member.State, names ...string) {
	t.Helper()
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	for key, states := range watcher.seen {
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

func (cluster *testCluster) startBackends(n int, reader string, renewAt ...string) *backendGroup {
	cluster.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	backends := &backendGroup{cluster: cluster, renewAt: renewAt, stop: cancel}
	var servers []*http.Server
	cluster.t.Cleanup(func() {
		cancel()
		for _, s := range servers {
			s.Close()
		}
		backends.done.Wait()
	})
	for i := range n {
		ln, err := net.Listen("tcp", cluster.addrs.IP()+":0")
		if err != nil {
			cluster.t.Fatal(err)
		}
		backends.listeners = append(backends.listeners, ln)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}), ReadHeaderTimeout: time.Second}
		backends.done.Add(1)
		go func() { defer backends.done.Done(); _ = server.Serve(ln) }()
		servers = append(servers, server)
		name := fmt.Sprint("s-", i)
		e := newEndpoint(name, 1)
		e.Dial = ln.Addr().String()
		cluster.waitUntil(name+" is taken", func() bool {
			c, done := context.WithTimeout(context.Background(), 5*time.Second)
			defer done()
			_, err := cluster.client(cluster.names...).Register(c, e)
			return err == nil
		})
		backends.names = append(backends.names, name)
	}
	backends.reader = cluster.startReader(reader)
	cluster.waitUntil("all are listed", func() bool {
		for _, n := range backends.names {
			if _, ok := backends.reader.lookup(n); !ok {
				return false
			}
		}
		return true
	})
	backends.done.Add(1)
	go func() {
		defer backends.done.Done()
		for i := 0; ctx.Err() == nil; i++ {
			backends.mu.Lock()
			paused, renewAt, firstTwoRenewAt := backends.renewalsPaused, backends.renewAt, backends.firstTwoRenewAt
			backends.mu.Unlock()
			renew := func(renewAt []string, refs []catalog.InstanceRef) {
				c, done := context.WithTimeout(ctx, 700*time.Millisecond)
				_, _ = cluster.servers[renewAt[i%len(renewAt)]].client.Renew(c, refs)
				done()
			}
			all := instanceRefs(n)
			switch {
			case paused:
			case firstTwoRenewAt != nil:
				renew(firstTwoRenewAt, all[:2])
				renew(renewAt, all[2:])
			default:
				renew(renewAt, all)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}()
	return backends
}

// pauseRenewals has the servers renew no more; they still answer when they are asked.
func (backends *backendGroup) pauseRenewals() {
	backends.mu.Lock()
	defer backends.mu.Unlock()
	backends.renewalsPaused = true
}

// requireAllListed holds that no server was ever taken off the list.
func (backends *backendGroup) requireAllListed() {
	backends.cluster.t.Helper()
	backends.reader.mu.Lock()
	defer backends.reader.mu.Unlock()
	if len(backends.reader.removed) > 0 {
		backends.cluster.t.Errorf("taken off the list though they are there: %v", backends.reader.removed)
	}
	if len(backends.reader.listed) < len(backends.names) {
		backends.cluster.t.Errorf("%d of %d are listed", len(backends.reader.listed), len(backends.names))
	}
}
