package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/member"
)

// faultDuration is how long a fault lasts that may last faultDuration outside CI: MEMBER_FOR.
func faultDuration(t *testing.T, d time.Duration) time.Duration {
	if text := os.Getenv("MEMBER_FOR"); text != "" {
		long, err := time.ParseDuration(text)
		if err != nil {
			t.Fatalf("MEMBER_FOR: %v", err)
		}
		return long
	}
	return d
}

var cutShape = link.Shape{Cut: true}

// What the network or a process does between five stewards with six servers that are well:
// none of the servers is ever taken off the list, no steward that is there is taken for
// failed by more than those that can't hear it, and when it is over all views are equal.
func TestMembershipUnderFaults(t *testing.T) {
	for name, run := range map[string]func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher){
		"cut one way between two": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			cluster.mesh.shapeOneWay("st-1", "st-2", cutShape)
			cluster.waitUntil("the two are of another mind", func() bool {
				v, ok := cluster.view("st-1")
				u, uok := cluster.view("st-3")
				diffs := member.CompareViews([]member.View{v, u, cluster.mustView("st-4"), cluster.mustView("st-5")})
				return ok && uok && len(diffs) > 0 && diffs[0].Name == "st-2" && diffs[0].Dissenter == "st-1" && ownObservation(&v, "st-2") == member.Suspect && v.State("st-2") == member.Present
			})
			time.Sleep(faultDuration(t, 4*time.Second))
			cluster.mesh.shapeOneWay("st-1", "st-2", link.Shape{})
			watcher.stopWatching()
			watcher.requireNever(t, member.Failed, cluster.names...)
		},
		"two of five cut off": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			minority, majority := cluster.names[:2], cluster.names[2:]
			backends.mu.Lock()
			backends.renewAt, backends.firstTwoRenewAt = majority, minority // whom the leader doesn't hear then
			backends.mu.Unlock()
			cluster.mesh.shapeBetween(minority, majority, cutShape)
			cluster.waitUntil("a leader among most", func() bool {
				for _, n := range majority {
					if status, err := cluster.status(n); err == nil && status.State == "leader" {
						return true
					}
				}
				return false
			})
			for _, n := range majority {
				cluster.waitForState(n, member.Failed, minority...)
			}
			time.Sleep(faultDuration(t, 5*time.Second)) // more than a lease
			cluster.mesh.shapeBetween(minority, majority, link.Shape{})
		},
		"a fifth of the datagrams lost, all late": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			cluster.mesh.shapeBetween(cluster.names, cluster.names, link.Shape{Loss: 0.2, Delay: 5 * time.Millisecond, Jitter: 100 * time.Millisecond})
			time.Sleep(faultDuration(t, 8*time.Second))
			cluster.mesh.shapeBetween(cluster.names, cluster.names, link.Shape{})
			watcher.stopWatching()
			watcher.requireNever(t, member.Failed, cluster.names...)
		},
		"two fifths lost, later": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			cluster.mesh.shapeBetween(cluster.names, cluster.names, link.Shape{Loss: 0.4, Jitter: 200 * time.Millisecond})
			time.Sleep(faultDuration(t, 8*time.Second))
			cluster.mesh.shapeBetween(cluster.names, cluster.names, link.Shape{})
		},
		"datagrams twice and out of order": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			cluster.mesh.shapeBetween(cluster.names, cluster.names, link.Shape{Twice: 0.5, Jitter: 60 * time.Millisecond})
			time.Sleep(faultDuration(t, 6*time.Second))
			cluster.mesh.shapeBetween(cluster.names, cluster.names, link.Shape{})
			watcher.stopWatching()
			watcher.requireNever(t, member.Failed, cluster.names...)
		},
		"news ten seconds late": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			cluster.mesh.shapeBetween([]string{"st-5"}, cluster.names[:4], link.Shape{Delay: 10 * time.Second})
			cluster.waitForState("st-1", member.Failed, "st-5")
			time.Sleep(faultDuration(t, 2*time.Second))
			cluster.mesh.shapeBetween([]string{"st-5"}, cluster.names[:4], link.Shape{})
			watcher.stopWatching()
			watcher.requireNever(t, member.Failed, cluster.names[1:4]...)
		},
		"one sees the next only": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			for _, pair := range [][2]string{{"st-1", "st-3"}, {"st-1", "st-4"}, {"st-2", "st-4"}, {"st-1", "st-5"}, {"st-2", "st-5"}, {"st-3", "st-5"}} {
				cluster.mesh.shapeBetween([]string{pair[0]}, []string{pair[1]}, cutShape)
			}
			cluster.waitUntil("the ends doubt each other", func() bool {
				v, ok := cluster.view("st-1")
				return ok && ownObservation(&v, "st-5") != member.Present && ownObservation(&v, "st-2") == member.Present
			})
			time.Sleep(faultDuration(t, 3*time.Second))
			cluster.mesh.shapeBetween(cluster.names, cluster.names, link.Shape{})
		},
		"a link that flaps": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			for end := time.Now().Add(faultDuration(t, 9*time.Second)); time.Now().Before(end); {
				cluster.mesh.shapeBetween([]string{"st-1"}, []string{"st-2"}, cutShape)
				time.Sleep(time.Second)
				cluster.mesh.shapeBetween([]string{"st-1"}, []string{"st-2"}, link.Shape{})
				time.Sleep(time.Second)
			}
			watcher.stopWatching()
			watcher.requireNever(t, member.Failed, cluster.names...)
		},
		"one stands still for a second, then for five": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			stopped := cluster.others(cluster.waitForLeader())[0]
			for _, d := range []time.Duration{time.Second, faultDuration(t, 5*time.Second)} {
				p := cluster.servers[stopped].proc
				if err := p.Signal(syscall.SIGSTOP); err != nil {
					t.Fatal(err)
				}
				time.Sleep(d)
				if d == time.Second {
					watcher.requireNever(t, member.Failed, cluster.names...)
				}
				if err := p.Signal(syscall.SIGCONT); err != nil {
					t.Fatal(err)
				}
				for range 20 { // what it didn't hear meanwhile it holds against nobody
					if v, ok := cluster.view(stopped); ok {
						for _, o := range cluster.others(stopped) {
							if status := ownObservation(&v, o); status != member.Present {
								t.Errorf("%s woke after %v and thinks that %s is %s", stopped, d, o, status)
							}
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				cluster.waitForEqualViews(cluster.names...)
			}
			watcher.stopWatching()
			watcher.requireNever(t, member.Failed, cluster.others(stopped)...)
		},
		"all restarted, one after the other": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			for _, name := range cluster.names {
				at := cluster.others(name)[0]
				before, _ := cluster.view(at)
				ended := cluster.servers[name].proc.Ended()
				if err := cluster.servers[name].proc.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				cluster.waitForState(at, member.Left, name)
				<-ended
				cluster.start(name)
				cluster.waitForState(at, member.Present, name)
				cluster.waitUntil(name+" is there in another life", func() bool {
					v, ok := cluster.view(at)
					return ok && incarnation(&v, name) > incarnation(&before, name)
				})
			}
			watcher.stopWatching()
			watcher.requireNever(t, member.Failed, cluster.names...)
		},
		"killed, its folder gone, and back at once": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			name := cluster.others(cluster.waitForLeader())[0]
			cluster.kill(name)
			if err := os.RemoveAll(cluster.dataDir(name)); err != nil {
				t.Fatal(err)
			}
			cluster.start(name)
			cluster.waitUntil("it votes again", func() bool {
				status, err := cluster.status(name)
				lead, leaderErr := cluster.status(cluster.waitForLeader())
				return err == nil && leaderErr == nil && status.Applied > 0 && len(lead.Voters) == 5
			})
		},
		"killed, and back before it was missed": func(t *testing.T, cluster *testCluster, backends *backendGroup, watcher *stateWatcher) {
			name := cluster.others(cluster.waitForLeader())[0]
			at := cluster.others(name)[0]
			before, _ := cluster.view(at)
			cluster.kill(name)
			cluster.start(name)
			cluster.waitUntil("it is there in another life", func() bool {
				v, ok := cluster.view(at)
				return ok && v.State(name) == member.Present && incarnation(&v, name) > incarnation(&before, name)
			})
			cluster.kill(name)
			if took := cluster.waitForState(at, member.Failed, name); took > 10*time.Second {
				t.Errorf("noticed after %v", took)
			}
			cluster.start(name)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newGossipCluster(t, 5, "")
			cluster.startAll()
			backends := cluster.startBackends(6, cluster.names[2], cluster.names...)
			watcher := cluster.watchStates(cluster.names...)
			run(t, cluster, backends, watcher)
			if took := cluster.waitForEqualViews(cluster.names...); took > 15*time.Second {
				t.Errorf("equal views %v after it was over", took)
			}
			backends.requireAllListed()
		})
	}
}

func (cluster *testCluster) mustView(name string) member.View {
	v, _ := cluster.view(name)
	return v
}

// ownObservation is what an observer thinks itself.
func ownObservation(v *member.View, name string) member.State {
	for i := range v.Members {
		for _, o := range v.Members[i].Observers {
			if v.Members[i].Name == name && o.Observer == v.From {
				return o.State
			}
		}
	}
	return ""
}

func incarnation(v *member.View, name string) int64 {
	for i := range v.Members {
		if v.Members[i].Name == name {
			return v.Members[i].Incarnation
		}
	}
	return 0
}

// Servers whose renewals reach nobody stay listed as long as most stewards see them; one that
// has ended goes, sooner than its lease; and where nobody answers for a server that most can't
// see, it goes with its lease.
func TestExpiryNeedsFailureEvidence(t *testing.T) {
	cluster := newGossipCluster(t, 3, "")
	cluster.startAll()
	backends := cluster.startBackends(8, "st-1", cluster.names...)
	backends.pauseRenewals()
	time.Sleep(3 * 3 * time.Second) // leases
	backends.requireAllListed()
	m := cluster.metric(cluster.waitForLeader(), "steward_leases_kept")
	if m != 8 {
		t.Errorf("%v servers are kept though their leases are over, want 8", m)
	}
	backends.listeners[0].Close()
	cluster.waitUntil("one that has ended is off the list", func() bool { _, ok := backends.reader.lookup("s-0"); return !ok })
	if len(backends.reader.removed) != 1 {
		t.Errorf("taken off: %v", backends.reader.removed)
	}
}

func (cluster *testCluster) metric(at, name string) float64 {
	resp, err := http.Get("http://" + cluster.servers[at].http + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	text := make([]byte, 0, 1<<16)
	buf := make([]byte, 1<<15)
	for {
		n, err := resp.Body.Read(buf)
		text = append(text, buf[:n]...)
		if err != nil {
			break
		}
	}
	for line := range strings.Lines(string(text)) {
		var x float64
		if _, err := fmt.Sscanf(line, name+" %g", &x); err == nil {
			return x
		}
	}
	return -1
}

// Agents are present as long as any steward has their watch, wherever that moves; one that
// ends in order has left, one that is killed has failed.
func TestAgentMembershipFollowsWatches(t *testing.T) {
	cluster := newGossipCluster(t, 3, "drain = \"1s\"\n")
	cluster.startAll()
	const n = 40
	var names []string
	var stops []context.CancelFunc
	var clients []*endpoints.Client
	for i := range n {
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		name := fmt.Sprint("n", i)
		c := endpoints.NewClient(endpoints.ClientConfig{Addresses: cluster.client(cluster.names...).Addrs, Order: uint64(i), Fleet: 1, Member: name})
		names, stops, clients = append(names, name), append(stops, stop), append(clients, c)
		go func() {
			for ctx.Err() == nil {
				_ = c.Watch(ctx, 0, func(endpoints.List) {})
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	waitUntilPresent := func(at string) { cluster.t.Helper(); cluster.waitForState(at, member.Present, names...) }
	for _, at := range cluster.names {
		waitUntilPresent(at)
	}
	watcher := cluster.watchStates(cluster.names...)
	for _, name := range cluster.names { // each is ended and started, one killed
		ended := cluster.servers[name].proc.Ended()
		if name == "st-2" {
			cluster.servers[name].proc.Kill()
		} else if err := cluster.servers[name].proc.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-ended
		for _, o := range cluster.others(name) {
			waitUntilPresent(o)
		}
		cluster.start(name)
		cluster.waitForEqualViews(cluster.names...)
	}
	watcher.stopWatching()
	watcher.requireNever(t, member.Left, names...)
	watcher.requireNever(t, member.Failed, names...)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := clients[0].Leave(ctx); err != nil {
		t.Fatal(err)
	}
	stops[0]()
	stops[1]()
	for _, at := range cluster.names {
		cluster.waitForState(at, member.Left, "n0")
		cluster.waitForState(at, member.Failed, "n1")
	}
	if v, ok := cluster.view("st-1"); !ok || v.Count(member.RoleAgent, member.Present) != n-2 {
		t.Errorf("%d agents are present, want %d", v.Count(member.RoleAgent, member.Present), n-2)
	}
}

// A voter that failed is replaced by a spare, one at a time; when it comes back it is a spare.
func TestFailedVotersAreReplaced(t *testing.T) {
	cluster := newGossipCluster(t, 5, "voters = 3\nreplace_after = \"2s\"\n", "st-4", "st-5")
	cluster.startAll()
	status, err := cluster.status(cluster.waitForLeader())
	if err != nil || len(status.Voters) != 3 || slices.Contains(status.Voters, "st-4") {
		t.Fatalf("voters %v, %v", status.Voters, err)
	}
	cluster.register("before", 1)
	victims := []string{cluster.others(cluster.waitForLeader())[0], cluster.waitForLeader()}
	for _, victim := range victims {
		if !slices.Contains(func() []string { status, _ := cluster.status(cluster.waitForLeader()); return status.Voters }(), victim) {
			t.Fatalf("%s doesn't vote", victim)
		}
		cluster.kill(victim)
		cluster.waitUntil(victim+" is replaced", func() bool {
			for _, n := range cluster.others(victim) {
				if status, err := cluster.status(n); err == nil && status.State == "leader" && len(status.Voters) > 3+1 {
					t.Fatalf("%v vote", status.Voters)
				} else if err == nil && status.State == "leader" {
					return len(status.Voters) == 3 && !slices.Contains(status.Voters, victim)
				}
			}
			return false
		})
		cluster.register("after-"+victim, 1, cluster.others(victim)...)
		cluster.start(victim)
		cluster.waitUntil(victim+" is a spare", func() bool {
			status, err := cluster.status(cluster.waitForLeader())
			return err == nil && status.Peers[victim] == "Nonvoter" && len(status.Voters) == 3
		})
	}
	e, err := cluster.client(cluster.names...).Server(context.Background(), "before", true)
	if err != nil || e.Endpoint.StartedMs != 1 {
		t.Errorf("%+v, %v", e, err)
	}
}

// A second process of a name, one that nobody knows, one that sends rubbish, a table that leads
// to another steward than it says, one that never starts, clocks an hour apart: each is told
// of, and nothing else suffers.
func TestMisconfiguredMembersAreRejected(t *testing.T) {
	cluster := newGossipCluster(t, 3, "")
	for i, name := range cluster.names {
		cluster.servers[name].proc.Env = append(cluster.servers[name].proc.Env, fmt.Sprint("TEST_CLOCK=", []string{"1h", "-1h", "0s"}[i]))
	}
	// The fourth is in all tables, and never starts; the first's table leads to the second in
	// the third's place.
	cluster.add("st-4")
	names := cluster.names[:3]
	for _, name := range names {
		cluster.configure(name, cluster.names)
	}
	text, err := os.ReadFile(cluster.configPath("st-1"))
	if err != nil {
		t.Fatal(err)
	}
	wrong := string(text)
	at := strings.Index(wrong, "[peers.st-3]")
	section := fmt.Sprintf("[peers.st-3]\nhttp = %q\nraft = %q\ngossip = %q\n", cluster.servers["st-2"].http, cluster.servers["st-2"].raft, cluster.servers["st-2"].gossip)
	end := at + strings.Index(wrong[at+1:], "[peers.")
	if end < at {
		end = len(wrong) - 1
	}
	wrong = wrong[:at] + section + wrong[end+1:]
	// A fleet begins only once all that are in the tables answer: the fourth is there for that.
	cluster.configure("st-4", cluster.names)
	for _, name := range cluster.names {
		cluster.start(name)
	}
	cluster.waitForLeader()
	cluster.waitForEqualViews(cluster.names...)
	cluster.kill("st-4")
	if err := os.WriteFile(cluster.configPath("st-1"), []byte(wrong), 0o600); err != nil {
		t.Fatal(err)
	}
	cluster.kill("st-1")
	cluster.start("st-1")
	cluster.waitForState("st-2", member.Present, "st-1", "st-3")
	cluster.waitForState("st-2", member.Failed, "st-4")
	for i := range 10 {
		cluster.register(fmt.Sprint("s-", i), 1, "st-2", "st-3")
	}
	cluster.waitUntil("the first doesn't reach the third by its table", func() bool {
		v, ok := cluster.view("st-1")
		return ok && ownObservation(&v, "st-3") != member.Present
	})
	cluster.waitUntil("what came under a wrong name was turned away", func() bool {
		log, _ := os.ReadFile(cluster.servers["st-2"].proc.Log)
		status, err := cluster.status("st-1")
		return err == nil && (status.State != "leader" || strings.Contains(string(log), "the call was for another steward"))
	})

	// Another folder, the same name, elsewhere: it ends, and the first goes on.
	startTwin := func(name, as string, change func(string) string) *process.Process {
		text, err := os.ReadFile(cluster.configPath(name))
		if err != nil {
			t.Fatal(err)
		}
		conf := filepath.Join(cluster.dir, as+".toml")
		var addrs [3]string
		for i := range addrs {
			if addrs[i], err = cluster.addrs.FreePort(); err != nil {
				t.Fatal(err)
			}
		}
		s := cluster.servers[name]
		out := string(text)
		out = strings.Replace(out, fmt.Sprintf("data = %q", cluster.dataDir(name)), fmt.Sprintf("data = %q", cluster.dataDir(as)), 1)
		for i, old := range []string{"listen = " + fmt.Sprintf("%q", s.http), "\nraft = " + fmt.Sprintf("%q", s.raft), "\ngossip = " + fmt.Sprintf("%q", s.gossip)} {
			key, _, _ := strings.Cut(old, "=")
			out = strings.Replace(out, old, key+fmt.Sprintf("= %q", addrs[i]), 1)
		}
		if change != nil {
			out = change(out)
		}
		if err := os.WriteFile(conf, []byte(out), 0o600); err != nil {
			t.Fatal(err)
		}
		p := cluster.supervisor.Add(cluster.servers[name].proc.Spec)
		p.Args, p.Log = []string{"serve", "--config", conf}, filepath.Join(cluster.dir, as+".log")
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		return p
	}
	second := startTwin("st-3", "twin", nil)
	select {
	case <-second.Ended():
	case <-time.After(waitTimeout):
		t.Error("a second process of a name runs on")
	}
	if log, _ := os.ReadFile(second.Log); !strings.Contains(string(log), "controlplane: name: taken: another process is called st-3, and is there") {
		t.Errorf("the second said %q", log)
	}
	reported := false
	for _, n := range names {
		log, _ := os.ReadFile(cluster.servers[n].proc.Log)
		if strings.Contains(string(log), `"peer removed from the raft configuration"`) {
			t.Errorf("%s: the first was taken off the voters for the second", n)
		}
		reported = reported || strings.Contains(string(log), "request of a second process with the name") || strings.Contains(string(log), "two processes use one name")
	}
	if status, err := cluster.status("st-3"); err != nil || !reported || !slices.Contains(status.Voters, "st-3") {
		t.Errorf("the first was told: %v; %+v, %v", reported, status, err)
	}

	// A name that is in nobody's table.
	stranger := startTwin("st-3", "stranger", func(text string) string { return strings.Replace(text, `name = "st-3"`, `name = "st-9"`, 1) })
	cluster.waitUntil("it is refused", func() bool { return cluster.metric("st-2", "steward_gossip_refused_total") > 0 })
	if v, ok := cluster.view("st-2"); !ok || v.State("st-9") != "" {
		t.Errorf("the stranger is %q", v.State("st-9"))
	}
	stranger.Kill()
	cluster.waitForState("st-2", member.Present, "st-3")
	e, err := cluster.client("st-2").Server(context.Background(), "s-9", true)
	var refused *control.HTTPError
	if err != nil || e.Endpoint.StartedMs != 1 || errors.As(err, &refused) {
		t.Errorf("%+v, %v", e, err)
	}
}
