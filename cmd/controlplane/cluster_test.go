package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/loopback"
	"knotrouter/internal/lab/process"
)

const (
	// waitTimeout bounds each wait of a test. It is long enough for a busy machine.
	waitTimeout  = time.Minute
	pollInterval = 10 * time.Millisecond
	// retryInterval is the pause before a write that failed is sent again.
	retryInterval = 20 * time.Millisecond
	// rejectedWritePause is the pause between a write that failed and the next write of a test that expects
	// failures, so that a server which rejects all writes immediately is not flooded.
	rejectedWritePause = 10 * time.Millisecond
	// watchRestartPause is the pause between the end of a test's watch and the next call, so that a server
	// which ends watches immediately is not flooded.
	watchRestartPause = 10 * time.Millisecond

	// clientTimeout is how long a client of the cluster waits for one server.
	clientTimeout = 6 * time.Second
	// statusTimeout is how long a read of one server's status or view may take, or a renewal of leases.
	statusTimeout = 2 * time.Second
	// readTimeout is how long a consistent read or an operator's command may take.
	readTimeout = 5 * time.Second
	// writeTimeout lets a write go to a second server after the first has not answered.
	writeTimeout = 8 * time.Second
)

// The heartbeat is long compared with the delays of a busy machine, and leases outlast a test.
const defaultExtraConfig = "heartbeat = \"300ms\"\nlease_ttl = \"10m\"\nsnapshot_every = 64\nsnapshot_check = \"500ms\"\n"

// serverPair is an ordered pair of servers: the one that connects, and the one it connects to.
type serverPair = [2]string

// testCluster is a cluster of control-plane servers, each in a process of its own, with a link for each ordered
// pair of servers, over which the first replicates to the second.
type testCluster struct {
	t           testing.TB
	dir         string
	addrs       *loopback.AddressBlock
	supervisor  *process.Supervisor
	servers     map[string]*serverProcess
	names       []string
	links       map[serverPair]*link.Link
	extraConfig string      // lines of each server's configuration
	mesh        *gossipMesh // over which the servers gossip; nil if they don't
}

// serverProcess is one server of a testCluster: the addresses that it listens at, its process, and a client
// that calls no other server.
type serverProcess struct {
	name, http, raft, gossip string
	proc                     *process.Process
	client                   *control.Client
}

// newCluster starts n servers, named st-1, st-2 and so on, and waits until one of them leads.
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

// newUnstartedCluster returns a cluster whose servers are neither configured nor started.
func newUnstartedCluster(t testing.TB, n int) *testCluster {
	t.Helper()
	addrs, err := loopback.Claim()
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{
		t:           t,
		dir:         t.TempDir(),
		addrs:       addrs,
		supervisor:  process.New(nil),
		servers:     map[string]*serverProcess{},
		links:       map[serverPair]*link.Link{},
		extraConfig: defaultExtraConfig,
	}
	t.Cleanup(cluster.close)
	for i := range n {
		cluster.add(fmt.Sprint("st-", i+1))
	}
	return cluster
}

// close ends all processes and links, and prints the end of each server's log if the test has failed.
func (cluster *testCluster) close() {
	cluster.t.Helper()
	cluster.supervisor.Close()
	for _, l := range cluster.links {
		l.Close()
	}
	if cluster.mesh != nil {
		cluster.mesh.close()
	}
	cluster.addrs.Close()
	for _, server := range cluster.servers {
		logIfFailed(cluster.t, server.proc, 2500)
	}
}

// add adds a server, which is neither configured nor started yet.
func (cluster *testCluster) add(name string) *serverProcess {
	cluster.t.Helper()
	server := &serverProcess{name: name}
	for _, addr := range []*string{&server.http, &server.raft, &server.gossip} {
		var err error
		if *addr, err = cluster.addrs.FreePort(); err != nil {
			cluster.t.Fatal(err)
		}
	}
	server.client = control.NewClient([]string{server.http}, clientTimeout)
	server.proc = cluster.supervisor.Add(process.Spec{
		Name: name,
		Path: executable(cluster.t),
		Args: []string{"serve", "--config", cluster.configPath(name)},
		Env:  []string{serverChild + "=1"},
		Log:  filepath.Join(cluster.dir, name+".log"),
	})
	cluster.servers[name], cluster.names = server, append(cluster.names, name)
	return server
}

// configPath returns the path of a server's configuration.
func (cluster *testCluster) configPath(name string) string {
	return filepath.Join(cluster.dir, name+".toml")
}

// dataDir returns the path of a server's data folder.
func (cluster *testCluster) dataDir(name string) string {
	return filepath.Join(cluster.dir, name+".data")
}

// configure writes a server's configuration, in which the addresses of the peers are those of the server's links
// to them.
func (cluster *testCluster) configure(name string, peers []string) {
	cluster.t.Helper()
	server := cluster.servers[name]
	text := fmt.Sprintf("name = %q\ndata = %q\nlisten = %q\nraft = %q\n%s", name, cluster.dataDir(name), server.http, server.raft, cluster.extraConfig)
	if cluster.mesh != nil {
		text += fmt.Sprintf("gossip = %q\n", server.gossip)
	}
	for _, peer := range peers {
		raft := server.raft
		if peer != name {
			raft = cluster.linkBetween(name, peer).Addr()
		}
		http := cluster.servers[peer].http
		if cluster.mesh != nil && peer != name {
			http = cluster.mesh.streamAddr(name, peer, http)
		}
		text += fmt.Sprintf("[peers.%s]\nhttp = %q\nraft = %q\n", peer, http, raft)
		if cluster.mesh != nil {
			text += cluster.mesh.peerConfig(name, peer)
		}
	}
	if err := os.WriteFile(cluster.configPath(name), []byte(text), 0o644); err != nil {
		cluster.t.Fatal(err)
	}
}

// linkBetween returns the link over which one server replicates to another. It creates the link at the first
// use.
func (cluster *testCluster) linkBetween(from, to string) *link.Link {
	cluster.t.Helper()
	key := serverPair{from, to}
	if cluster.links[key] == nil {
		l, err := link.New(cluster.addrs.IP()+":0", cluster.servers[to].raft, 1)
		if err != nil {
			cluster.t.Fatal(err)
		}
		cluster.links[key] = l
	}
	return cluster.links[key]
}

// shapeLinks shapes the replication traffic that a server sends to the others and receives from them. The links
// must exist: the servers must be configured.
func (cluster *testCluster) shapeLinks(name string, outbound, inbound link.Shape) {
	cluster.t.Helper()
	for _, other := range cluster.others(name) {
		if err := cluster.links[serverPair{name, other}].Set(outbound, inbound); err != nil {
			cluster.t.Fatal(err)
		}
		if err := cluster.links[serverPair{other, name}].Set(inbound, outbound); err != nil {
			cluster.t.Fatal(err)
		}
	}
}

// start starts a server, which must be configured and must not run.
func (cluster *testCluster) start(name string) {
	cluster.t.Helper()
	startProcess(cluster.t, cluster.servers[name].proc)
}

// kill sends SIGKILL to a server and returns once its process has ended.
func (cluster *testCluster) kill(name string) {
	cluster.t.Helper()
	killProcess(cluster.servers[name].proc)
}

// killServers kills the servers named, one after the other.
func (cluster *testCluster) killServers(names []string) {
	cluster.t.Helper()
	for _, name := range names {
		cluster.kill(name)
	}
}

// startServers starts the servers named, which must not run, one after the other. It doesn't wait until they are
// ready.
func (cluster *testCluster) startServers(names []string) {
	cluster.t.Helper()
	for _, name := range names {
		cluster.start(name)
	}
}

// shutDown stops a server gracefully: it hands over its leadership and the tasks that it holds. It fails
// the test if the process still runs after waitTimeout.
func (cluster *testCluster) shutDown(name string) {
	cluster.t.Helper()
	shutDownProcess(cluster.t, cluster.servers[name].proc)
}

// suspend stops a server's process with SIGSTOP until resume is called.
func (cluster *testCluster) suspend(name string) {
	cluster.t.Helper()
	signalProcess(cluster.t, cluster.servers[name].proc, syscall.SIGSTOP)
}

// resume lets a suspended server continue.
func (cluster *testCluster) resume(name string) {
	cluster.t.Helper()
	signalProcess(cluster.t, cluster.servers[name].proc, syscall.SIGCONT)
}

// restartAll kills all servers, writes their configurations again, and starts them. If prepare is not nil, it
// is called for each server before any is started.
func (cluster *testCluster) restartAll(prepare func(i int, name string)) {
	cluster.t.Helper()
	for i, name := range cluster.names {
		cluster.kill(name)
		cluster.configure(name, cluster.names)
		if prepare != nil {
			prepare(i, name)
		}
	}
	cluster.startServers(cluster.names)
}

// setenv sets a variable of a server's environment from its next start on.
func (cluster *testCluster) setenv(name, variable, value string) {
	proc := cluster.servers[name].proc
	proc.Env = append(proc.Env, variable+"="+value)
}

// eraseData removes the data folder of a server that doesn't run.
func (cluster *testCluster) eraseData(name string) {
	cluster.t.Helper()
	if err := os.RemoveAll(cluster.dataDir(name)); err != nil {
		cluster.t.Fatal(err)
	}
}

// waitUntil polls until the condition holds, and fails the test if it doesn't within waitTimeout.
func (cluster *testCluster) waitUntil(description string, condition func() bool) {
	cluster.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			cluster.t.Fatalf("not within %v: %s", waitTimeout, description)
		}
	}
}

// status asks a server for its status. It returns an error if the server doesn't answer within statusTimeout.
func (cluster *testCluster) status(name string) (control.Status, error) {
	ctx, cancel := context.WithTimeout(cluster.t.Context(), statusTimeout)
	defer cancel()
	return cluster.servers[name].client.Status(ctx)
}

// waitForStatus waits until a server answers with its status, and returns that status. It fails the test
// after waitTimeout.
func (cluster *testCluster) waitForStatus(name string) (status control.Status) {
	cluster.t.Helper()
	cluster.waitUntil(name+" answers with its status", func() bool {
		var err error
		status, err = cluster.status(name)
		return err == nil
	})
	return status
}

// isLeader reports whether a server answers with the status of a leader.
func (cluster *testCluster) isLeader(name string) bool {
	status, err := cluster.status(name)
	return err == nil && status.State == "leader"
}

// waitForLeader waits until one server leads and has applied a write, and returns the server's name. It fails
// the test after waitTimeout.
func (cluster *testCluster) waitForLeader() (leader string) {
	cluster.t.Helper()
	cluster.waitUntil("a leader has applied a write", func() bool {
		for _, name := range cluster.names {
			if status, err := cluster.status(name); err == nil && status.State == "leader" && status.Seq > 0 {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

// waitForLeaderAmong waits until one of the servers named leads. It fails the test after waitTimeout.
func (cluster *testCluster) waitForLeaderAmong(names []string) {
	cluster.t.Helper()
	cluster.waitUntil(fmt.Sprintf("a leader among %v", names), func() bool {
		return slices.ContainsFunc(names, cluster.isLeader)
	})
}

// others returns the names of all servers but one.
func (cluster *testCluster) others(name string) (names []string) {
	for _, n := range cluster.names {
		if n != name {
			names = append(names, n)
		}
	}
	return names
}

// client returns a client of the servers named, which it asks in this order.
func (cluster *testCluster) client(names ...string) *control.Client {
	var addrs []string
	for _, name := range names {
		addrs = append(addrs, cluster.servers[name].http)
	}
	return control.NewClient(addrs, clientTimeout)
}

// shortenLeases sets the lease TTL to 3 s instead of 10 minutes in the configurations that are written from now
// on.
func (cluster *testCluster) shortenLeases() {
	cluster.extraConfig = strings.Replace(cluster.extraConfig, "10m", "3s", 1)
}

// newSeededRand returns a random source for a test, and logs its seed if the test fails.
func newSeededRand(t *testing.T, seed uint64) *rand.Rand {
	t.Helper()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	})
	return rand.New(rand.NewPCG(seed, 1))
}
