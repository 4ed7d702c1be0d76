package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/agent"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/process"
)

// readerGroup is many readers, each with an order of its own, as agents have.
type readerGroup struct {
	cluster   *testCluster
	readers   []*watchReader
	calls     atomic.Int64
	mu        sync.Mutex
	callTimes []time.Time // of the calls
	stop      context.CancelFunc
	done      sync.WaitGroup
}

func (group *readerGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	group.calls.Add(1)
	group.mu.Lock()
	group.callTimes = append(group.callTimes, time.Now())
	group.mu.Unlock()
	return group.transport().RoundTrip(r)
}

func (group *readerGroup) transport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true}
}

func (cluster *testCluster) startReaders(n int) *readerGroup {
	ctx, cancel := context.WithCancel(context.Background())
	group := &readerGroup{cluster: cluster, stop: cancel}
	for i := range n {
		reader := &watchReader{listed: map[string]endpoints.Endpoint{}}
		group.readers = append(group.readers, reader)
		client := endpoints.NewClient(endpoints.ClientConfig{Addresses: cluster.client(cluster.names...).Addrs, Order: uint64(i), Fleet: n,
			RejectOlder: true, Transport: group})
		group.done.Add(1)
		go func() {
			defer group.done.Done()
			for ctx.Err() == nil {
				reader.mu.Lock()
				seq := reader.version
				reader.mu.Unlock()
				_ = client.Watch(ctx, seq, func(l endpoints.List) { reader.apply(&l) })
				time.Sleep(time.Duration(500+i%500) * time.Millisecond)
			}
		}()
	}
	cluster.t.Cleanup(group.stopReading)
	return group
}

func (group *readerGroup) stopReading() {
	group.stop()
	group.done.Wait()
}

// maxCallsWithin is how many calls there were in the fullest window of so long.
func (group *readerGroup) maxCallsWithin(window time.Duration) (most int) {
	group.mu.Lock()
	defer group.mu.Unlock()
	for i, j := 0, 0; j < len(group.callTimes); j++ {
		for group.callTimes[j].Sub(group.callTimes[i]) > window {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

func (group *readerGroup) resetCallTimes() {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.callTimes = nil
}

// waitUntilAllHave waits until all have a server.
func (group *readerGroup) waitUntilAllHave(name string) {
	group.cluster.t.Helper()
	group.cluster.waitUntil("all know "+name, func() bool {
		for _, r := range group.readers {
			if _, ok := r.lookup(name); !ok {
				return false
			}
		}
		return true
	})
}

func (cluster *testCluster) watchCounts() (at []int, sum int) {
	for _, name := range cluster.names {
		status, err := cluster.status(name)
		if err != nil {
			status.Watches = 0
		}
		at, sum = append(at, status.Watches), sum+status.Watches
	}
	return at, sum
}

// Watches spread over the stewards. One that ends in order sends its own away in small
// steps before; one that joins gets its part in small steps; nobody misses a change.
func TestWatchesAreRebalanced(t *testing.T) {
	const n = 90
	cluster := newCluster(t, 3)
	cluster.register("before", 1)
	readers := cluster.startReaders(n)
	spread := func(servers int) func() bool {
		return func() bool {
			at, sum := cluster.watchCounts()
			for _, w := range at {
				if w > n/servers+n/servers/10+2 {
					return false
				}
			}
			return sum == n
		}
	}
	readers.waitUntilAllHave("before")
	cluster.waitUntil("they are spread over three", spread(3))
	victim := cluster.others(cluster.waitForLeader())[0]
	readers.resetCallTimes()
	ended := cluster.servers[victim].proc.Ended()
	if err := cluster.servers[victim].proc.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-ended
	cluster.waitUntil("they are spread over two", spread(2))
	cluster.register("between", 1)
	readers.waitUntilAllHave("between")
	// Of thirty within two seconds, a tenth of a second's part is two or three.
	if got := readers.maxCallsWithin(100 * time.Millisecond); got > n/3/2 {
		t.Errorf("%d of the %d readers of a steward that ends went elsewhere within 100 ms", got, n/3)
	}
	text, _ := os.ReadFile(cluster.servers[victim].proc.Log)
	if !strings.Contains(string(text), "msg=drained") || !strings.Contains(string(text), "remaining=0") {
		t.Errorf("it ended with watches left: %s", text[max(0, len(text)-400):])
	}
	readers.resetCallTimes()
	cluster.start(victim)
	cluster.waitUntil("they are spread over three again", spread(3))
	if got := readers.maxCallsWithin(time.Second); got > 3*n/20+3 {
		t.Errorf("%d calls within a second to a steward that joins, of %d readers", got, n)
	}
	cluster.register("after", 1)
	readers.waitUntilAllHave("after")
	for _, reader := range readers.readers {
		if len(reader.regressions) > 0 {
			t.Errorf("versions went back: %v", reader.regressions)
		}
	}
}

// lagDuration is for how long a steward lags in TestLaggingServerLosesItsWatches; longer where it is asked for.
func lagDuration(t *testing.T) time.Duration {
	d, err := time.ParseDuration(os.Getenv("LAG_FOR"))
	if err != nil {
		return 4 * time.Second
	}
	t.Logf("lags for %v", d)
	return d
}

// A steward that lags, because its disk is slow, because what it is sent comes late, or
// because it stood still, loses its readers to others while it does; it serves them nothing
// old, and takes them again once it has caught up.
func TestLaggingServerLosesItsWatches(t *testing.T) {
	for _, cause := range []string{"slow disk", "late link", "stood still"} {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 3)
			cluster.extraConfig += "stale_after = \"1s\"\n"
			file := filepath.Join(cluster.dir, "slow")
			for _, name := range cluster.names {
				cluster.kill(name)
				cluster.configure(name, cluster.names)
				cluster.servers[name].proc.Env = append(cluster.servers[name].proc.Env, "TEST_DISK="+file+"-"+name)
			}
			for _, name := range cluster.names {
				cluster.start(name)
			}
			leader := cluster.waitForLeader()
			slow := cluster.others(leader)[0]
			cluster.register("before", 1)
			readers := cluster.startReaders(30)
			readers.waitUntilAllHave("before")
			switch cause {
			case "slow disk":
				if err := os.WriteFile(file+"-"+slow, nil, 0o600); err != nil {
					t.Fatal(err)
				}
			case "late link":
				if err := cluster.links[[2]string{leader, slow}].Set(link.Shape{Delay: lagDuration(t)}, link.Shape{}); err != nil {
					t.Fatal(err)
				}
			case "stood still":
				if err := cluster.servers[slow].proc.Signal(syscall.SIGSTOP); err != nil {
					t.Fatal(err)
				}
			}
			began := time.Now()
			cluster.register("while", 1, leader)
			readers.waitUntilAllHave("while")
			if took := time.Since(began); took > 20*time.Second {
				t.Errorf("all readers knew after %v", took)
			}
			if cause != "stood still" {
				cluster.waitUntil("it knows that it lags", func() bool {
					status, err := cluster.status(slow)
					return err == nil && status.Stale && status.Watches == 0
				})
				if cause == "slow disk" {
					if status, err := cluster.status(slow); err != nil || status.SinceLeaderContactMs > 1000 || status.LagMs < 1000 {
						t.Errorf("it hears the leader and lags: %+v, %v", status, err)
					}
				}
				// A reader that knows nothing yet is sent on too.
				if l, err := cluster.servers[slow].client.List(context.Background()); err == nil {
					t.Errorf("it serves version %d while it lags and another doesn't", l.Seq)
				}
			}
			if left := lagDuration(t) - time.Since(began); left > 0 {
				time.Sleep(left)
			}
			for i := range 50 {
				cluster.register(fmt.Sprint("later-", i), 1, leader)
			}
			switch cause {
			case "slow disk":
				if err := os.Remove(file + "-" + slow); err != nil {
					t.Fatal(err)
				}
			case "late link":
				if err := cluster.links[[2]string{leader, slow}].Set(link.Shape{}, link.Shape{}); err != nil {
					t.Fatal(err)
				}
			case "stood still":
				if err := cluster.servers[slow].proc.Signal(syscall.SIGCONT); err != nil {
					t.Fatal(err)
				}
			}
			cluster.waitUntil("it has its part again", func() bool {
				status, err := cluster.status(slow)
				return err == nil && !status.Stale && status.Watches >= 5
			})
			cluster.register("after", 1)
			readers.waitUntilAllHave("after")
			readers.waitUntilAllHave("later-49")
		})
	}
}

// Stewards' clocks are half a day apart, and it shows nowhere: leases end by the leader's
// time, no server lapses when another leads, versions never go back, not even with a fresh
// fleet whose leader's clock is behind.
func TestClockSkewHasNoEffect(t *testing.T) {
	cluster := newCluster(t, 3)
	// The guard against mass failure is not what is played, and seven of twelve end here.
	cluster.extraConfig = strings.Replace(cluster.extraConfig, "10m", "3s", 1) + "guard_share = 1\n"
	for i, name := range cluster.names {
		cluster.kill(name)
		cluster.configure(name, cluster.names)
		cluster.servers[name].proc.Env = append(cluster.servers[name].proc.Env, fmt.Sprint("TEST_CLOCK=", []string{"11h", "-11h", "0s"}[i]))
	}
	for _, name := range cluster.names {
		cluster.start(name)
	}
	cluster.waitForLeader()
	const n = 8
	var silentServers atomic.Int64 // servers that renew no more, from the last on
	ctx, cancel := context.WithCancel(context.Background())
	var renewing sync.WaitGroup
	defer renewing.Wait()
	defer cancel()
	for i := range n {
		cluster.register(fmt.Sprint("s-", i), 1)
	}
	renewing.Add(1)
	go func() {
		defer renewing.Done()
		c := cluster.client(cluster.names...)
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, 2*time.Second)
			_, _ = c.Renew(call, instanceRefs(n-int(silentServers.Load())))
			cancel()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	reader := cluster.startReader(cluster.names...)
	for round := range 3 {
		oldLeader := cluster.waitForLeader()
		cluster.kill(oldLeader)
		silentServers.Add(1)
		expiring := fmt.Sprint("s-", n-1-round)
		cluster.register(fmt.Sprint("round-", round), 1)
		cluster.waitUntil("read", func() bool { _, ok := reader.lookup(fmt.Sprint("round-", round)); return ok })
		cluster.start(oldLeader)
		time.Sleep(1500 * time.Millisecond) // half a lease
		cluster.waitUntil(expiring+" lapses, which renews no more since another leads", func() bool { _, ok := reader.lookup(expiring); return !ok })
		for i := range n - 1 - round {
			if _, ok := reader.lookup(fmt.Sprint("s-", i)); !ok {
				t.Errorf("round %d: s-%d lapsed though it renewed", round, i)
			}
		}
	}
	cluster.register("silent", 1)
	cluster.waitUntil("one that isn't heard lapses", func() bool { _, ok := reader.lookup("silent"); return !ok && reader.wasListed("silent") })
	for _, name := range cluster.names {
		cluster.kill(name)
		if err := os.RemoveAll(cluster.dataDir(name)); err != nil {
			t.Fatal(err)
		}
		cluster.servers[name].proc.Env = append(cluster.servers[name].proc.Env, "TEST_CLOCK=-11h") // whoever leads
	}
	for _, name := range cluster.names {
		cluster.start(name)
	}
	cluster.register("fresh", 1)
	cluster.waitUntil("read of a fresh fleet", func() bool { _, ok := reader.lookup("fresh"); return ok })
	reader.stopAndVerify(t)
}

// agentMain is a real agent, as cmd/agent starts one.
func agentMain() {
	conf, err := agent.LoadConfig(os.Getenv("EDGE_CONFIG"))
	if err == nil {
		var a *agent.Agent
		if a, err = agent.New(conf, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: conf.LogLevel}))); err == nil {
			var ln net.Listener
			if ln, err = net.Listen("tcp", conf.Listen); err == nil {
				err = a.Serve(context.Background(), ln)
			}
		}
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// startAgents starts startAgents that know all stewards, and returns where they listen.
func (cluster *testCluster) startAgents(n int) (at []string, procs []*process.Process) {
	cluster.t.Helper()
	exe, err := os.Executable()
	if err != nil {
		cluster.t.Fatal(err)
	}
	for i := range n {
		addr, err := cluster.addrs.FreePort()
		if err != nil {
			cluster.t.Fatal(err)
		}
		name := fmt.Sprint("n", i)
		conf, _ := json.Marshal(map[string]any{"name": name, "listen": addr, "seed": fmt.Sprintf("%016x", i+1),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
			"stewards": cluster.client(cluster.names...).Addrs, "log_level": "debug",
			"settings": map[string]any{"replicasOfMe": n, "replicaIndex": i, "roundMs": 5, "weights": "nominal", "membershipMode": "on_request",
				"classes": []any{map[string]any{"name": "look", "aimMs": 1000, "giveUpMs": 5000, "credit": 1, "effect": "free",
					"group": "all", "keyTtlMs": 5000}},
				"failureDomains": []any{"a"}, "shapes": []any{"k"},
				"limits": map[string]any{"cancelling": true, "maxAttempts": 4, "connectTimeoutMs": 250, "keepaliveMs": 30000,
					"probing": true, "retryAfter": true, "maxRetryAfterMs": 500},
				"contract": map[string]any{"askWithinMs": 4000, "coldFrom": 0.3, "coldMs": 1000, "drainGraceMs": 250,
					"fallMultiple": 4, "tipAfterMs": 1000}}})
		path := filepath.Join(cluster.dir, name+".json")
		if err := os.WriteFile(path, conf, 0o600); err != nil {
			cluster.t.Fatal(err)
		}
		p := cluster.supervisor.Add(process.Spec{Name: name, Path: exe, Env: []string{"AGENT_CHILD=1", "EDGE_CONFIG=" + path},
			Log: filepath.Join(cluster.dir, name+".log"), ReadyURL: "http://" + addr + "/ready"})
		if err := p.Start(); err != nil {
			cluster.t.Fatal(err)
		}
		at, procs = append(at, addr), append(procs, p)
	}
	cluster.t.Cleanup(func() {
		for _, p := range procs {
			if cluster.t.Failed() {
				text, _ := os.ReadFile(p.Log)
				cluster.t.Logf("%s:\n%s", p.Name, text[max(0, len(text)-3000):])
			}
		}
	})
	return at, procs
}

// startBackend is a programme server that says its name.
func (cluster *testCluster) startBackend(name string) endpoints.Endpoint {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, name) }))
	cluster.t.Cleanup(s.Close)
	return endpoints.Endpoint{Name: name, Dial: s.Listener.Addr().String(), Site: "a", Class: "k", Health: endpoints.Ready, Weight: 1,
		StartedMs: float64(time.Now().UnixMilli())}
}

func (cluster *testCluster) registerEndpoint(h endpoints.Endpoint) {
	cluster.t.Helper()
	c := cluster.client(cluster.names...)
	c.HTTP.Timeout = 2 * time.Second
	cluster.waitUntil(h.Name+" is listed", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		_, err := c.Register(ctx, h)
		return err == nil
	})
}

// Agents that stay up serve through every failure of the list service: the leader killed,
// a steward stopped, all gone while servers are replaced, a state put back, a fresh fleet at
// the same addresses. They learn what follows each, and no request of theirs fails.
func TestAgentsServeThroughControlPlaneFaults(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.registerEndpoint(cluster.startBackend("p-0"))
	cluster.registerEndpoint(cluster.startBackend("p-1"))
	const n = 3
	at, procs := cluster.startAgents(n)
	for _, p := range procs {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		if err := p.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		cancel()
	}
	var requests, failed, served atomic.Int64
	send := func(agent int) (string, error) {
		req, err := http.NewRequest(http.MethodGet, "http://"+at[agent]+fmt.Sprint("/look/u", requests.Add(1)), nil)
		if err != nil {
			return "", err
		}
		req.Header.Set("Request-Id", fmt.Sprint("r", requests.Load(), "-", agent, "-", time.Now().UnixNano()))
		req.Header.Set("Request-Timeout", "5000m")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("%s: %s", resp.Status, text)
		}
		return string(text), err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	var mu sync.Mutex
	var firstFailure error
	answersBy := make([]map[string]int, n)
	for i := range n {
		answersBy[i] = map[string]int{}
		senders.Add(1)
		go func() {
			defer senders.Done()
			for ctx.Err() == nil {
				name, err := send(i)
				if err != nil {
					failed.Add(1)
				} else {
					served.Add(1)
				}
				mu.Lock()
				answersBy[i][name]++
				if err != nil && firstFailure == nil {
					firstFailure = fmt.Errorf("agent %d at %v: %w", i, time.Now().Format("15:04:05.000"), err)
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	defer senders.Wait()
	defer cancel()
	waitUntilServedBy := func(name string) {
		t.Helper()
		mu.Lock()
		for i := range answersBy {
			answersBy[i][name] = 0
		}
		mu.Unlock()
		cluster.waitUntil("all agents send to "+name, func() bool {
			mu.Lock()
			defer mu.Unlock()
			for i := range answersBy {
				if answersBy[i][name] == 0 {
					return false
				}
			}
			return true
		})
	}
	waitUntilServedBy("p-0")
	saved, err := cluster.client(cluster.names...).Snapshot(ctx)
	if err != nil {
		t.Fatal(err)
	}

	cluster.kill(cluster.waitForLeader())
	cluster.registerEndpoint(cluster.startBackend("p-2"))
	waitUntilServedBy("p-2")
	for _, name := range cluster.names {
		if !cluster.servers[name].proc.Runs() {
			cluster.start(name)
		}
	}
	stopped := cluster.waitForLeader()
	if err := cluster.servers[stopped].proc.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	cluster.registerEndpoint(cluster.startBackend("p-3"))
	waitUntilServedBy("p-3")
	if err := cluster.servers[stopped].proc.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}

	// All gone while a server is replaced by another of its name at another address.
	for _, name := range cluster.names {
		cluster.kill(name)
	}
	replacement := cluster.startBackend("p-1")
	before := served.Load()
	cluster.waitUntil("served without any steward", func() bool { return served.Load() > before+200 })
	for _, name := range cluster.names {
		cluster.start(name)
	}
	cluster.registerEndpoint(replacement)
	cluster.registerEndpoint(cluster.startBackend("p-4"))
	waitUntilServedBy("p-4")

	// A state that is put in place of the present one knows neither p-2 nor what came after it.
	if _, err := cluster.client(cluster.waitForLeader()).Restore(ctx, saved); err != nil {
		t.Fatal(err)
	}
	cluster.registerEndpoint(cluster.startBackend("p-5"))
	waitUntilServedBy("p-5")

	// A fresh fleet at the same addresses knows nothing: the servers register anew.
	for _, name := range cluster.names {
		cluster.kill(name)
		if err := os.RemoveAll(cluster.dataDir(name)); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range cluster.names {
		cluster.start(name)
	}
	cluster.registerEndpoint(cluster.startBackend("p-6"))
	waitUntilServedBy("p-6")
	cancel()
	senders.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed, first %v", n, n+served.Load(), firstFailure)
	}
	for _, p := range procs {
		text, _ := os.ReadFile(p.Log)
		if lines := strings.Count(string(text), "level=WARN"); lines == 0 || lines > 60 {
			t.Errorf("%s wrote %d warnings", p.Name, lines)
		}
	}
}

// wasListed tells whether a server was listed before.
func (r *watchReader) wasListed(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.everListed[name]
}
