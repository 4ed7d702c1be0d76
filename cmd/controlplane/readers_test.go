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

func (c *readerGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	c.calls.Add(1)
	c.mu.Lock()
	c.callTimes = append(c.callTimes, time.Now())
	c.mu.Unlock()
	return c.transport().RoundTrip(r)
}

func (c *readerGroup) transport() *http.Transport { return &http.Transport{DisableKeepAlives: true} }

func (f *testCluster) startReaders(n int) *readerGroup {
	ctx, cancel := context.WithCancel(context.Background())
	c := &readerGroup{cluster: f, stop: cancel}
	for i := range n {
		r := &watchReader{listed: map[string]endpoints.Endpoint{}}
		c.readers = append(c.readers, r)
		client := endpoints.NewClient(endpoints.ClientConfig{Addresses: f.client(f.names...).Addrs, Order: uint64(i), Fleet: n,
			RejectOlder: true, Transport: c})
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			for ctx.Err() == nil {
				r.mu.Lock()
				seq := r.version
				r.mu.Unlock()
				_ = client.Watch(ctx, seq, func(l endpoints.List) { r.apply(&l) })
				time.Sleep(time.Duration(500+i%500) * time.Millisecond)
			}
		}()
	}
	f.t.Cleanup(c.stopReading)
	return c
}

func (c *readerGroup) stopReading() {
	c.stop()
	c.done.Wait()
}

// maxCallsWithin is how many calls there were in the fullest window of so long.
func (c *readerGroup) maxCallsWithin(window time.Duration) (most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, j := 0, 0; j < len(c.callTimes); j++ {
		for c.callTimes[j].Sub(c.callTimes[i]) > window {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

func (c *readerGroup) resetCallTimes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callTimes = nil
}

// waitUntilAllHave waits until all have a server.
func (c *readerGroup) waitUntilAllHave(name string) {
	c.cluster.t.Helper()
	c.cluster.waitUntil("all know "+name, func() bool {
		for _, r := range c.readers {
			if _, ok := r.lookup(name); !ok {
				return false
			}
		}
		return true
	})
}

func (f *testCluster) watchCounts() (at []int, sum int) {
	for _, name := range f.names {
		st, err := f.status(name)
		if err != nil {
			st.Watches = 0
		}
		at, sum = append(at, st.Watches), sum+st.Watches
	}
	return at, sum
}

// Watches spread over the stewards. One that ends in order sends its own away in small
// steps before; one that joins gets its part in small steps; nobody misses a change.
func TestWatchesAreRebalanced(t *testing.T) {
	const n = 90
	f := newCluster(t, 3)
	f.register("before", 1)
	c := f.startReaders(n)
	spread := func(stewards int) func() bool {
		return func() bool {
			at, sum := f.watchCounts()
			for _, w := range at {
				if w > n/stewards+n/stewards/10+2 {
					return false
				}
			}
			return sum == n
		}
	}
	c.waitUntilAllHave("before")
	f.waitUntil("they are spread over three", spread(3))
	victim := f.others(f.waitForLeader())[0]
	c.resetCallTimes()
	ended := f.servers[victim].proc.Ended()
	if err := f.servers[victim].proc.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-ended
	f.waitUntil("they are spread over two", spread(2))
	f.register("between", 1)
	c.waitUntilAllHave("between")
	// Of thirty within two seconds, a tenth of a second's part is two or three.
	if got := c.maxCallsWithin(100 * time.Millisecond); got > n/3/2 {
		t.Errorf("%d of the %d readers of a steward that ends went elsewhere within 100 ms", got, n/3)
	}
	text, _ := os.ReadFile(f.servers[victim].proc.Log)
	if !strings.Contains(string(text), "msg=drained") || !strings.Contains(string(text), "remaining=0") {
		t.Errorf("it ended with watches left: %s", text[max(0, len(text)-400):])
	}
	c.resetCallTimes()
	f.start(victim)
	f.waitUntil("they are spread over three again", spread(3))
	if got := c.maxCallsWithin(time.Second); got > 3*n/20+3 {
		t.Errorf("%d calls within a second to a steward that joins, of %d readers", got, n)
	}
	f.register("after", 1)
	c.waitUntilAllHave("after")
	for _, r := range c.readers {
		if len(r.regressions) > 0 {
			t.Errorf("versions went back: %v", r.regressions)
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
	for _, why := range []string{"slow disk", "late link", "stood still"} {
		t.Run(why, func(t *testing.T) {
			t.Parallel()
			f := newCluster(t, 3)
			f.extraConfig += "stale_after = \"1s\"\n"
			file := filepath.Join(f.dir, "slow")
			for _, name := range f.names {
				f.kill(name)
				f.configure(name, f.names)
				f.servers[name].proc.Env = append(f.servers[name].proc.Env, "TEST_DISK="+file+"-"+name)
			}
			for _, name := range f.names {
				f.start(name)
			}
			lead := f.waitForLeader()
			slow := f.others(lead)[0]
			f.register("before", 1)
			c := f.startReaders(30)
			c.waitUntilAllHave("before")
			switch why {
			case "slow disk":
				if err := os.WriteFile(file+"-"+slow, nil, 0o600); err != nil {
					t.Fatal(err)
				}
			case "late link":
				if err := f.links[[2]string{lead, slow}].Set(link.Shape{Delay: lagDuration(t)}, link.Shape{}); err != nil {
					t.Fatal(err)
				}
			case "stood still":
				if err := f.servers[slow].proc.Signal(syscall.SIGSTOP); err != nil {
					t.Fatal(err)
				}
			}
			began := time.Now()
			f.register("while", 1, lead)
			c.waitUntilAllHave("while")
			if took := time.Since(began); took > 20*time.Second {
				t.Errorf("all readers knew after %v", took)
			}
			if why != "stood still" {
				f.waitUntil("it knows that it lags", func() bool { st, err := f.status(slow); return err == nil && st.Stale && st.Watches == 0 })
				if why == "slow disk" {
					if st, err := f.status(slow); err != nil || st.SinceLeaderContactMs > 1000 || st.LagMs < 1000 {
						t.Errorf("it hears the leader and lags: %+v, %v", st, err)
					}
				}
				// A reader that knows nothing yet is sent on too.
				if l, err := f.servers[slow].client.List(context.Background()); err == nil {
					t.Errorf("it serves version %d while it lags and another doesn't", l.Seq)
				}
			}
			if left := lagDuration(t) - time.Since(began); left > 0 {
				time.Sleep(left)
			}
			for i := range 50 {
				f.register(fmt.Sprint("later-", i), 1, lead)
			}
			switch why {
			case "slow disk":
				if err := os.Remove(file + "-" + slow); err != nil {
					t.Fatal(err)
				}
			case "late link":
				if err := f.links[[2]string{lead, slow}].Set(link.Shape{}, link.Shape{}); err != nil {
					t.Fatal(err)
				}
			case "stood still":
				if err := f.servers[slow].proc.Signal(syscall.SIGCONT); err != nil {
					t.Fatal(err)
				}
			}
			f.waitUntil("it has its part again", func() bool {
				st, err := f.status(slow)
				return err == nil && !st.Stale && st.Watches >= 5
			})
			f.register("after", 1)
			c.waitUntilAllHave("after")
			c.waitUntilAllHave("later-49")
		})
	}
}

// Stewards' clocks are half a day apart, and it shows nowhere: leases end by the leader's
// time, no server lapses when another leads, versions never go back, not even with a fresh
// fleet whose leader's clock is behind.
func TestClockSkewHasNoEffect(t *testing.T) {
	f := newCluster(t, 3)
	// The guard against mass failure is not what is played, and seven of twelve end here.
	f.extraConfig = strings.Replace(f.extraConfig, "10m", "3s", 1) + "guard_share = 1\n"
	for i, name := range f.names {
		f.kill(name)
		f.configure(name, f.names)
		f.servers[name].proc.Env = append(f.servers[name].proc.Env, fmt.Sprint("TEST_CLOCK=", []string{"11h", "-11h", "0s"}[i]))
	}
	for _, name := range f.names {
		f.start(name)
	}
	f.waitForLeader()
	const n = 8
	var quiet atomic.Int64 // servers that renew no more, from the last on
	ctx, cancel := context.WithCancel(context.Background())
	var renewing sync.WaitGroup
	defer renewing.Wait()
	defer cancel()
	for i := range n {
		f.register(fmt.Sprint("s-", i), 1)
	}
	renewing.Add(1)
	go func() {
		defer renewing.Done()
		c := f.client(f.names...)
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, 2*time.Second)
			_, _ = c.Renew(call, instanceRefs(n-int(quiet.Load())))
			cancel()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	r := f.startReader(f.names...)
	for round := range 3 {
		old := f.waitForLeader()
		f.kill(old)
		quiet.Add(1)
		gone := fmt.Sprint("s-", n-1-round)
		f.register(fmt.Sprint("round-", round), 1)
		f.waitUntil("read", func() bool { _, ok := r.lookup(fmt.Sprint("round-", round)); return ok })
		f.start(old)
		time.Sleep(1500 * time.Millisecond) // half a lease
		f.waitUntil(gone+" lapses, which renews no more since another leads", func() bool { _, ok := r.lookup(gone); return !ok })
		for i := range n - 1 - round {
			if _, ok := r.lookup(fmt.Sprint("s-", i)); !ok {
				t.Errorf("round %d: s-%d lapsed though it renewed", round, i)
			}
		}
	}
	f.register("silent", 1)
	f.waitUntil("one that isn't heard lapses", func() bool { _, ok := r.lookup("silent"); return !ok && r.wasListed("silent") })
	for _, name := range f.names {
		f.kill(name)
		if err := os.RemoveAll(f.dataDir(name)); err != nil {
			t.Fatal(err)
		}
		f.servers[name].proc.Env = append(f.servers[name].proc.Env, "TEST_CLOCK=-11h") // whoever leads
	}
	for _, name := range f.names {
		f.start(name)
	}
	f.register("fresh", 1)
	f.waitUntil("read of a fresh fleet", func() bool { _, ok := r.lookup("fresh"); return ok })
	r.stopAndVerify(t)
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
func (f *testCluster) startAgents(n int) (at []string, procs []*process.Process) {
	f.t.Helper()
	exe, err := os.Executable()
	if err != nil {
		f.t.Fatal(err)
	}
	for i := range n {
		addr, err := f.addrs.FreePort()
		if err != nil {
			f.t.Fatal(err)
		}
		name := fmt.Sprint("n", i)
		conf, _ := json.Marshal(map[string]any{"name": name, "listen": addr, "seed": fmt.Sprintf("%016x", i+1),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
			"stewards": f.client(f.names...).Addrs, "log_level": "debug",
			"settings": map[string]any{"replicasOfMe": n, "replicaIndex": i, "roundMs": 5, "weights": "nominal", "membershipMode": "on_request",
				"classes": []any{map[string]any{"name": "look", "aimMs": 1000, "giveUpMs": 5000, "credit": 1, "effect": "free",
					"group": "all", "keyTtlMs": 5000}},
				"failureDomains": []any{"a"}, "shapes": []any{"k"},
				"limits": map[string]any{"cancelling": true, "maxAttempts": 4, "connectTimeoutMs": 250, "keepaliveMs": 30000,
					"probing": true, "retryAfter": true, "maxRetryAfterMs": 500},
				"contract": map[string]any{"askWithinMs": 4000, "coldFrom": 0.3, "coldMs": 1000, "drainGraceMs": 250,
					"fallMultiple": 4, "tipAfterMs": 1000}}})
		path := filepath.Join(f.dir, name+".json")
		if err := os.WriteFile(path, conf, 0o600); err != nil {
			f.t.Fatal(err)
		}
		p := f.supervisor.Add(process.Spec{Name: name, Path: exe, Env: []string{"AGENT_CHILD=1", "EDGE_CONFIG=" + path},
			Log: filepath.Join(f.dir, name+".log"), ReadyURL: "http://" + addr + "/ready"})
		if err := p.Start(); err != nil {
			f.t.Fatal(err)
		}
		at, procs = append(at, addr), append(procs, p)
	}
	f.t.Cleanup(func() {
		for _, p := range procs {
			if f.t.Failed() {
				text, _ := os.ReadFile(p.Log)
				f.t.Logf("%s:\n%s", p.Name, text[max(0, len(text)-3000):])
			}
		}
	})
	return at, procs
}

// startBackend is a programme server that says its name.
func (f *testCluster) startBackend(name string) endpoints.Endpoint {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, name) }))
	f.t.Cleanup(s.Close)
	return endpoints.Endpoint{Name: name, Dial: s.Listener.Addr().String(), Site: "a", Class: "k", Health: endpoints.Ready, Weight: 1,
		StartedMs: float64(time.Now().UnixMilli())}
}

func (f *testCluster) registerEndpoint(h endpoints.Endpoint) {
	f.t.Helper()
	c := f.client(f.names...)
	c.HTTP.Timeout = 2 * time.Second
	f.waitUntil(h.Name+" is listed", func() bool {
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
	f := newCluster(t, 3)
	f.registerEndpoint(f.startBackend("p-0"))
	f.registerEndpoint(f.startBackend("p-1"))
	const n = 3
	at, procs := f.startAgents(n)
	for _, p := range procs {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		if err := p.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		cancel()
	}
	var asked, failed, served atomic.Int64
	ask := func(agent int) (string, error) {
		req, err := http.NewRequest(http.MethodGet, "http://"+at[agent]+fmt.Sprint("/look/u", asked.Add(1)), nil)
		if err != nil {
			return "", err
		}
		req.Header.Set("Request-Id", fmt.Sprint("r", asked.Load(), "-", agent, "-", time.Now().UnixNano()))
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
	var asking sync.WaitGroup
	var mu sync.Mutex
	var first error
	by := make([]map[string]int, n)
	for i := range n {
		by[i] = map[string]int{}
		asking.Add(1)
		go func() {
			defer asking.Done()
			for ctx.Err() == nil {
				name, err := ask(i)
				if err != nil {
					failed.Add(1)
				} else {
					served.Add(1)
				}
				mu.Lock()
				by[i][name]++
				if err != nil && first == nil {
					first = fmt.Errorf("agent %d at %v: %w", i, time.Now().Format("15:04:05.000"), err)
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	defer asking.Wait()
	defer cancel()
	reach := func(name string) {
		t.Helper()
		mu.Lock()
		for i := range by {
			by[i][name] = 0
		}
		mu.Unlock()
		f.waitUntil("all agents send to "+name, func() bool {
			mu.Lock()
			defer mu.Unlock()
			for i := range by {
				if by[i][name] == 0 {
					return false
				}
			}
			return true
		})
	}
	reach("p-0")
	saved, err := f.client(f.names...).Snapshot(ctx)
	if err != nil {
		t.Fatal(err)
	}

	f.kill(f.waitForLeader())
	f.registerEndpoint(f.startBackend("p-2"))
	reach("p-2")
	for _, name := range f.names {
		if !f.servers[name].proc.Runs() {
			f.start(name)
		}
	}
	still := f.waitForLeader()
	if err := f.servers[still].proc.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.registerEndpoint(f.startBackend("p-3"))
	reach("p-3")
	if err := f.servers[still].proc.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}

	// All gone while a server is replaced by another of its name at another address.
	for _, name := range f.names {
		f.kill(name)
	}
	next := f.startBackend("p-1")
	before := served.Load()
	f.waitUntil("served without any steward", func() bool { return served.Load() > before+200 })
	for _, name := range f.names {
		f.start(name)
	}
	f.registerEndpoint(next)
	f.registerEndpoint(f.startBackend("p-4"))
	reach("p-4")

	// A state that is put in place of the present one knows neither p-2 nor what came after it.
	if _, err := f.client(f.waitForLeader()).Restore(ctx, saved); err != nil {
		t.Fatal(err)
	}
	f.registerEndpoint(f.startBackend("p-5"))
	reach("p-5")

	// A fresh fleet at the same addresses knows nothing: the servers register anew.
	for _, name := range f.names {
		f.kill(name)
		if err := os.RemoveAll(f.dataDir(name)); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range f.names {
		f.start(name)
	}
	f.registerEndpoint(f.startBackend("p-6"))
	reach("p-6")
	cancel()
	asking.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed, first %v", n, n+served.Load(), first)
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
