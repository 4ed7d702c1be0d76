package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/loopback"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/lab/syscallfault"
)

// TestMain makes the test binary a steward when it is started as one.
func TestMain(m *testing.M) {
	if os.Getenv("STEWARD_CHILD") == "1" {
		os.Unsetenv("STEWARD_CHILD")
		if err := syscallfault.FromEnvironment(); err != nil {
			panic(err)
		}
		adjustConfig = applyTestMachine
		main()
		os.Exit(0)
	}
	if os.Getenv("WORKER_CHILD") == "1" {
		workerMain()
		os.Exit(0)
	}
	if os.Getenv("MEMBER_CHILD") == "1" {
		memberMain()
		os.Exit(0)
	}
	if os.Getenv("AGENT_CHILD") == "1" {
		agentMain()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// applyTestMachine gives a steward the machine that its environment tells of: a clock that is set
// apart, and a disk that takes nothing while a file is there.
func applyTestMachine(c *control.Config) {
	if apart, err := time.ParseDuration(os.Getenv("TEST_CLOCK")); err == nil {
		c.Now = func() time.Time { return time.Now().Add(apart) }
	}
	if file := os.Getenv("TEST_DISK"); file != "" {
		c.WrapLogStore = func(s raft.LogStore) raft.LogStore { return blockingLogStore{s, file} }
	}
}

type blockingLogStore struct {
	raft.LogStore
	file string
}

func (d blockingLogStore) StoreLogs(logs []*raft.Log) error {
	for {
		if _, err := os.Stat(d.file); err != nil {
			return d.LogStore.StoreLogs(logs)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitTimeout bounds what is waited for on a busy machine.
const waitTimeout = time.Minute

// testCluster is some stewards as processes, with a link from each to each that replicates.
type testCluster struct {
	t           testing.TB
	dir         string
	addrs       *loopback.Net
	supervisor  *process.Supervisor
	servers     map[string]*serverProcess
	names       []string
	links       map[[2]string]*link.Link // from, to
	extraConfig string                   // of each configuration
	mesh        *gossipMesh              // how they gossip; nil: they don't
}

type serverProcess struct {
	name, http, raft, gossip string
	proc                     *process.Process
	client                   *control.Client
}

func newCluster(t testing.TB, n int) *testCluster {
	t.Helper()
	cluster := newUnstartedCluster(t, n)
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
		cluster.start(name)
	}
	cluster.waitForLeader()
	return cluster
}

// newUnstartedCluster is one whose stewards are neither configured nor started.
func newUnstartedCluster(t testing.TB, n int) *testCluster {
	t.Helper()
	addrs, err := loopback.Claim()
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{t: t, dir: t.TempDir(), addrs: addrs, servers: map[string]*serverProcess{}, links: map[[2]string]*link.Link{},
		// Wide of what a busy machine makes of a heartbeat, and leases that last a test.
		extraConfig: "heartbeat = \"300ms\"\nlease_ttl = \"10m\"\nsnapshot_every = 64\nsnapshot_check = \"500ms\"\n"}
	cluster.supervisor = process.New(nil)
	t.Cleanup(func() {
		cluster.supervisor.Close()
		for _, l := range cluster.links {
			l.Close()
		}
		if cluster.mesh != nil {
			cluster.mesh.close()
		}
		addrs.Close()
		if t.Failed() {
			for _, s := range cluster.servers {
				text, _ := os.ReadFile(s.proc.Log)
				t.Logf("%s:\n%s", s.name, text[max(0, len(text)-2500):])
			}
		}
	})
	for i := range n {
		cluster.add(fmt.Sprint("st-", i+1))
	}
	return cluster
}

// add makes a steward that is not configured yet.
func (cluster *testCluster) add(name string) *serverProcess {
	cluster.t.Helper()
	s := &serverProcess{name: name}
	for _, addr := range []*string{&s.http, &s.raft, &s.gossip} {
		var err error
		if *addr, err = cluster.addrs.FreePort(); err != nil {
			cluster.t.Fatal(err)
		}
	}
	exe, err := os.Executable()
	if err != nil {
		cluster.t.Fatal(err)
	}
	s.client = control.NewClient([]string{s.http}, 6*time.Second)
	s.proc = cluster.supervisor.Add(process.Spec{Name: name, Path: exe, Args: []string{"serve", "--config", cluster.configPath(name)}, Env: []string{"STEWARD_CHILD=1"},
		Log: filepath.Join(cluster.dir, name+".log")})
	cluster.servers[name], cluster.names = s, append(cluster.names, name)
	return s
}

func (cluster *testCluster) configPath(name string) string {
	return filepath.Join(cluster.dir, name+".toml")
}
func (cluster *testCluster) dataDir(name string) string {
	return filepath.Join(cluster.dir, name+".data")
}

// configure writes a steward's configuration: its own table leads over its own links.
func (cluster *testCluster) configure(name string, peers []string) {
	cluster.t.Helper()
	s := cluster.servers[name]
	text := fmt.Sprintf("name = %q\ndata = %q\nlisten = %q\nraft = %q\n%s", name, cluster.dataDir(name), s.http, s.raft, cluster.extraConfig)
	if cluster.mesh != nil {
		text += fmt.Sprintf("gossip = %q\n", s.gossip)
	}
	for _, to := range peers {
		raft := s.raft
		if to != name {
			key := [2]string{name, to}
			if cluster.links[key] == nil {
				l, err := link.New(cluster.addrs.IP()+":0", cluster.servers[to].raft, 1)
				if err != nil {
					cluster.t.Fatal(err)
				}
				cluster.links[key] = l
			}
			raft = cluster.links[key].Addr()
		}
		http := cluster.servers[to].http
		if cluster.mesh != nil && to != name {
			http = cluster.mesh.streamAddr(name, to, http)
		}
		text += fmt.Sprintf("[peers.%s]\nhttp = %q\nraft = %q\n", to, http, raft)
		if cluster.mesh != nil {
			text += cluster.mesh.peerConfig(name, to)
		}
	}
	if err := os.WriteFile(cluster.configPath(name), []byte(text), 0o644); err != nil {
		cluster.t.Fatal(err)
	}
}

func (cluster *testCluster) start(name string) {
	cluster.t.Helper()
	if err := cluster.servers[name].proc.Start(); err != nil {
		cluster.t.Fatal(err)
	}
}

// kill is SIGKILL; it returns once the process has gone.
func (cluster *testCluster) kill(name string) {
	cluster.t.Helper()
	ended := cluster.servers[name].proc.Ended()
	cluster.servers[name].proc.Kill()
	<-ended
}

// waitUntil waits for something to be so.
func (cluster *testCluster) waitUntil(what string, condition func() bool) {
	cluster.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			cluster.t.Fatalf("never %s", what)
		}
	}
}

func (cluster *testCluster) status(name string) (control.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return cluster.servers[name].client.Status(ctx)
}

// waitForLeader waits until one steward leads and takes writes.
func (cluster *testCluster) waitForLeader() (name string) {
	cluster.t.Helper()
	cluster.waitUntil("a leader", func() bool {
		for _, n := range cluster.names {
			if status, err := cluster.status(n); err == nil && status.State == "leader" && status.Seq > 0 {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

// others are all stewards but one.
func (cluster *testCluster) others(name string) (out []string) {
	for _, n := range cluster.names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// client asks the stewards named, in this order.
func (cluster *testCluster) client(names ...string) *control.Client {
	var addrs []string
	for _, n := range names {
		addrs = append(addrs, cluster.servers[n].http)
	}
	return control.NewClient(addrs, 6*time.Second)
}

func newEndpoint(name string, startedMs float64) endpoints.Endpoint {
	return endpoints.Endpoint{Name: name, Dial: "127.0.0.1:9", Site: "a", Class: "k", Health: endpoints.Ready, Weight: 1, StartedMs: startedMs}
}

// requireAcknowledged waits until a consistent read is answered, and reports servers whose start is older in it than
// what was acknowledged.
func (cluster *testCluster) requireAcknowledged(acknowledged map[string]float64) {
	cluster.t.Helper()
	cluster.waitUntil("a consistent read", func() bool {
		all, err := cluster.client(cluster.names...).Servers(context.Background(), true)
		if err != nil {
			return false
		}
		have := map[string]float64{}
		for _, e := range all {
			have[e.Endpoint.Name] = e.Endpoint.StartedMs
		}
		for name, startedMs := range acknowledged {
			if have[name] < startedMs {
				cluster.t.Fatalf("%s was acknowledged with %v, there is %v", name, startedMs, have[name])
			}
		}
		return true
	})
}

// register writes until it is acknowledged, at whichever steward takes it.
func (cluster *testCluster) register(name string, startedMs float64, at ...string) catalog.Result {
	cluster.t.Helper()
	if len(at) == 0 {
		at = cluster.names
	}
	var r catalog.Result
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		r, err = cluster.client(at...).Register(ctx, newEndpoint(name, startedMs))
		cancel()
		if err == nil {
			return r
		}
	}
	cluster.t.Fatalf("%s was never taken: %v", name, err)
	return r
}

// writer registers one server after the other, and remembers what was acknowledged.
type writer struct {
	mu           sync.Mutex
	acknowledged map[string]float64
	gaps         []time.Duration // between two acknowledgements
	last         time.Time
	stop         context.CancelFunc
	done         chan struct{}
}

func (cluster *testCluster) startWriter(prefix string) *writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &writer{acknowledged: map[string]float64{}, stop: cancel, done: make(chan struct{}), last: time.Now()}
	// Impatient, as a server is that renews: it goes on to the next steward.
	c := control.NewClient(cluster.client(cluster.names...).Addrs, time.Second)
	go func() {
		defer close(w.done)
		for i := 0; ctx.Err() == nil; i++ {
			// A later write of a name would hide that an earlier one was lost.
			name := fmt.Sprintf("%s-%d", prefix, i%3000)
			c.Addrs = append(c.Addrs[1:], c.Addrs[0])
			call, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			_, err := c.Register(call, newEndpoint(name, float64(i)))
			cancel()
			var refused *control.HTTPError
			if err != nil {
				if errors.As(err, &refused) {
					time.Sleep(5 * time.Millisecond)
				}
				continue
			}
			w.mu.Lock()
			w.acknowledged[name] = float64(i)
			w.gaps = append(w.gaps, time.Since(w.last))
			w.last = time.Now()
			w.mu.Unlock()
		}
	}()
	return w
}

func (w *writer) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.gaps)
}

// stopAndVerify stops the writer and holds that all it was told is there, at each steward named.
func (w *writer) stopAndVerify(cluster *testCluster, at ...string) {
	cluster.t.Helper()
	w.stop()
	<-w.done
	for _, name := range at {
		var all []catalog.Entry
		cluster.waitUntil(name+" reads", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var err error
			all, err = cluster.servers[name].client.Servers(ctx, true)
			return err == nil
		})
		have := map[string]float64{}
		for _, e := range all {
			have[e.Endpoint.Name] = e.Endpoint.StartedMs
		}
		for server, startedMs := range w.acknowledged {
			// A later write whose answer was lost may be there too, never an earlier one.
			if got, ok := have[server]; !ok || got < startedMs {
				cluster.t.Errorf("%s: %s was acknowledged with born_ms %v, there is %v (%v)", name, server, startedMs, got, ok)
			}
		}
	}
	if len(w.acknowledged) == 0 {
		cluster.t.Error("nothing was acknowledged at all")
	}
}

// watchReader follows the list as an agent does, from steward to steward, and notes when a
// version goes back.
type watchReader struct {
	mu          sync.Mutex
	version     int64
	regressions []string
	listed      map[string]endpoints.Endpoint
	everListed  map[string]bool // that were listed at any time
	removed     []string        // that were taken off while it followed
	fullLists   int
	stop        context.CancelFunc
	done        chan struct{}
}

func (r *watchReader) lookup(name string) (endpoints.Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.listed[name]
	return h, ok
}

func (r *watchReader) apply(l *endpoints.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Seq < r.version {
		r.regressions = append(r.regressions, fmt.Sprintf("%d after %d", l.Seq, r.version))
	}
	r.version = l.Seq
	if l.Full {
		r.fullLists++
	}
	if r.everListed == nil {
		r.everListed = map[string]bool{}
	}
	if l.Full {
		had := r.listed
		r.listed = map[string]endpoints.Endpoint{}
		for name := range had {
			if !slices.ContainsFunc(l.Endpoints, func(h endpoints.Endpoint) bool { return h.Name == name }) {
				r.removed = append(r.removed, name)
			}
		}
	}
	for _, h := range l.Endpoints {
		r.everListed[h.Name] = true
		if h.Health == endpoints.Removed {
			r.removed = append(r.removed, h.Name)
		}
		if r.listed[h.Name] = h; h.Health == endpoints.Removed {
			delete(r.listed, h.Name)
		}
	}
}

// stopAndVerify stops the reader; its versions never went back.
func (r *watchReader) stopAndVerify(t *testing.T) {
	t.Helper()
	r.stop()
	<-r.done
	if len(r.regressions) > 0 {
		t.Errorf("versions went back: %s", strings.Join(r.regressions, ", "))
	}
}

// newSeededRand draws for a test, and says from what when it fails.
func newSeededRand(t *testing.T, seed uint64) *rand.Rand {
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	})
	return rand.New(rand.NewPCG(seed, 1))
}

func instanceRefs(n int) (refs []catalog.InstanceRef) {
	for i := range n {
		refs = append(refs, catalog.InstanceRef{Name: fmt.Sprint("s-", i), StartedMs: 1})
	}
	return refs
}
