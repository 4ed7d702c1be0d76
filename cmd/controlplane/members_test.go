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
	for name, play := range map[string]func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher){
		"cut one way between two": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			f.mesh.shapeOneWay("st-1", "st-2", cutShape)
			f.waitUntil("the two are of another mind", func() bool {
				v, ok := f.view("st-1")
				u, uok := f.view("st-3")
				diffs := member.CompareViews([]member.View{v, u, f.mustView("st-4"), f.mustView("st-5")})
				return ok && uok && len(diffs) > 0 && diffs[0].Name == "st-2" && diffs[0].Dissenter == "st-1" && ownObservation(&v, "st-2") == member.Suspect && v.State("st-2") == member.Present
			})
			time.Sleep(faultDuration(t, 4*time.Second))
			f.mesh.shapeOneWay("st-1", "st-2", link.Shape{})
			w.stopWatching()
			w.requireNever(t, member.Failed, f.names...)
		},
		"two of five cut off": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			few, most := f.names[:2], f.names[2:]
			h.mu.Lock()
			h.renewAt, h.firstTwoRenewAt = most, few // whom the leader doesn't hear then
			h.mu.Unlock()
			f.mesh.shapeBetween(few, most, cutShape)
			f.waitUntil("a leader among most", func() bool {
				for _, n := range most {
					if st, err := f.status(n); err == nil && st.State == "leader" {
						return true
					}
				}
				return false
			})
			for _, n := range most {
				f.waitForState(n, member.Failed, few...)
			}
			time.Sleep(faultDuration(t, 5*time.Second)) // more than a lease
			f.mesh.shapeBetween(few, most, link.Shape{})
		},
		"a fifth of the datagrams lost, all late": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			f.mesh.shapeBetween(f.names, f.names, link.Shape{Loss: 0.2, Delay: 5 * time.Millisecond, Jitter: 100 * time.Millisecond})
			time.Sleep(faultDuration(t, 8*time.Second))
			f.mesh.shapeBetween(f.names, f.names, link.Shape{})
			w.stopWatching()
			w.requireNever(t, member.Failed, f.names...)
		},
		"two fifths lost, later": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			f.mesh.shapeBetween(f.names, f.names, link.Shape{Loss: 0.4, Jitter: 200 * time.Millisecond})
			time.Sleep(faultDuration(t, 8*time.Second))
			f.mesh.shapeBetween(f.names, f.names, link.Shape{})
		},
		"datagrams twice and out of order": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			f.mesh.shapeBetween(f.names, f.names, link.Shape{Twice: 0.5, Jitter: 60 * time.Millisecond})
			time.Sleep(faultDuration(t, 6*time.Second))
			f.mesh.shapeBetween(f.names, f.names, link.Shape{})
			w.stopWatching()
			w.requireNever(t, member.Failed, f.names...)
		},
		"news ten seconds late": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			f.mesh.shapeBetween([]string{"st-5"}, f.names[:4], link.Shape{Delay: 10 * time.Second})
			f.waitForState("st-1", member.Failed, "st-5")
			time.Sleep(faultDuration(t, 2*time.Second))
			f.mesh.shapeBetween([]string{"st-5"}, f.names[:4], link.Shape{})
			w.stopWatching()
			w.requireNever(t, member.Failed, f.names[1:4]...)
		},
		"one sees the next only": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			for _, two := range [][2]string{{"st-1", "st-3"}, {"st-1", "st-4"}, {"st-2", "st-4"}, {"st-1", "st-5"}, {"st-2", "st-5"}, {"st-3", "st-5"}} {
				f.mesh.shapeBetween([]string{two[0]}, []string{two[1]}, cutShape)
			}
			f.waitUntil("the ends doubt each other", func() bool {
				v, ok := f.view("st-1")
				return ok && ownObservation(&v, "st-5") != member.Present && ownObservation(&v, "st-2") == member.Present
			})
			time.Sleep(faultDuration(t, 3*time.Second))
			f.mesh.shapeBetween(f.names, f.names, link.Shape{})
		},
		"a link that flaps": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			for end := time.Now().Add(faultDuration(t, 9*time.Second)); time.Now().Before(end); {
				f.mesh.shapeBetween([]string{"st-1"}, []string{"st-2"}, cutShape)
				time.Sleep(time.Second)
				f.mesh.shapeBetween([]string{"st-1"}, []string{"st-2"}, link.Shape{})
				time.Sleep(time.Second)
			}
			w.stopWatching()
			w.requireNever(t, member.Failed, f.names...)
		},
		"one stands still for a second, then for five": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			still := f.others(f.waitForLeader())[0]
			for _, d := range []time.Duration{time.Second, faultDuration(t, 5*time.Second)} {
				p := f.servers[still].proc
				if err := p.Signal(syscall.SIGSTOP); err != nil {
					t.Fatal(err)
				}
				time.Sleep(d)
				if d == time.Second {
					w.requireNever(t, member.Failed, f.names...)
				}
				if err := p.Signal(syscall.SIGCONT); err != nil {
					t.Fatal(err)
				}
				for range 20 { // what it didn't hear meanwhile it holds against nobody
					if v, ok := f.view(still); ok {
						for _, o := range f.others(still) {
							if st := ownObservation(&v, o); st != member.Present {
								t.Errorf("%s woke after %v and thinks that %s is %s", still, d, o, st)
							}
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				f.waitForEqualViews(f.names...)
			}
			w.stopWatching()
			w.requireNever(t, member.Failed, f.others(still)...)
		},
		"all restarted, one after the other": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			for _, name := range f.names {
				at := f.others(name)[0]
				before, _ := f.view(at)
				ended := f.servers[name].proc.Ended()
				if err := f.servers[name].proc.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				f.waitForState(at, member.Left, name)
				<-ended
				f.start(name)
				f.waitForState(at, member.Present, name)
				f.waitUntil(name+" is there in another life", func() bool {
					v, ok := f.view(at)
					return ok && incarnation(&v, name) > incarnation(&before, name)
				})
			}
			w.stopWatching()
			w.requireNever(t, member.Failed, f.names...)
		},
		"killed, its folder gone, and back at once": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			name := f.others(f.waitForLeader())[0]
			f.kill(name)
			if err := os.RemoveAll(f.dataDir(name)); err != nil {
				t.Fatal(err)
			}
			f.start(name)
			f.waitUntil("it votes again", func() bool {
				st, err := f.status(name)
				lead, lerr := f.status(f.waitForLeader())
				return err == nil && lerr == nil && st.Applied > 0 && len(lead.Voters) == 5
			})
		},
		"killed, and back before it was missed": func(t *testing.T, f *testCluster, h *backendGroup, w *stateWatcher) {
			name := f.others(f.waitForLeader())[0]
			at := f.others(name)[0]
			before, _ := f.view(at)
			f.kill(name)
			f.start(name)
			f.waitUntil("it is there in another life", func() bool {
				v, ok := f.view(at)
				return ok && v.State(name) == member.Present && incarnation(&v, name) > incarnation(&before, name)
			})
			f.kill(name)
			if took := f.waitForState(at, member.Failed, name); took > 10*time.Second {
				t.Errorf("noticed after %v", took)
			}
			f.start(name)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newGossipCluster(t, 5, "")
			f.startAll()
			h := f.startBackends(6, f.names[2], f.names...)
			w := f.watchStates(f.names...)
			play(t, f, h, w)
			if took := f.waitForEqualViews(f.names...); took > 15*time.Second {
				t.Errorf("equal views %v after it was over", took)
			}
			h.requireAllListed()
		})
	}
}

func (f *testCluster) mustView(name string) member.View {
	v, _ := f.view(name)
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
	f := newGossipCluster(t, 3, "")
	f.startAll()
	h := f.startBackends(8, "st-1", f.names...)
	h.pauseRenewals()
	time.Sleep(3 * 3 * time.Second) // leases
	h.requireAllListed()
	m := f.metric(f.waitForLeader(), "steward_leases_kept")
	if m != 8 {
		t.Errorf("%v servers are kept though their leases are over, want 8", m)
	}
	h.listeners[0].Close()
	f.waitUntil("one that has ended is off the list", func() bool { _, ok := h.reader.lookup("s-0"); return !ok })
	if len(h.reader.removed) != 1 {
		t.Errorf("taken off: %v", h.reader.removed)
	}
}

func (f *testCluster) metric(at, name string) float64 {
	resp, err := http.Get("http://" + f.servers[at].http + "/metrics")
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
	f := newGossipCluster(t, 3, "drain = \"1s\"\n")
	f.startAll()
	const n = 40
	var names []string
	var stops []context.CancelFunc
	var clients []*endpoints.Client
	for i := range n {
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		name := fmt.Sprint("n", i)
		c := endpoints.NewClient(endpoints.ClientConfig{Addresses: f.client(f.names...).Addrs, Order: uint64(i), Fleet: 1, Member: name})
		names, stops, clients = append(names, name), append(stops, stop), append(clients, c)
		go func() {
			for ctx.Err() == nil {
				_ = c.Watch(ctx, 0, func(endpoints.List) {})
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	all := func(at string) { f.t.Helper(); f.waitForState(at, member.Present, names...) }
	for _, at := range f.names {
		all(at)
	}
	w := f.watchStates(f.names...)
	for _, name := range f.names { // each is ended and started, one killed
		ended := f.servers[name].proc.Ended()
		if name == "st-2" {
			f.servers[name].proc.Kill()
		} else if err := f.servers[name].proc.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-ended
		for _, o := range f.others(name) {
			all(o)
		}
		f.start(name)
		f.waitForEqualViews(f.names...)
	}
	w.stopWatching()
	w.requireNever(t, member.Left, names...)
	w.requireNever(t, member.Failed, names...)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := clients[0].Leave(ctx); err != nil {
		t.Fatal(err)
	}
	stops[0]()
	stops[1]()
	for _, at := range f.names {
		f.waitForState(at, member.Left, "n0")
		f.waitForState(at, member.Failed, "n1")
	}
	if v, ok := f.view("st-1"); !ok || v.Count(member.RoleAgent, member.Present) != n-2 {
		t.Errorf("%d agents are present, want %d", v.Count(member.RoleAgent, member.Present), n-2)
	}
}

// A voter that failed is replaced by a spare, one at a time; when it comes back it is a spare.
func TestFailedVotersAreReplaced(t *testing.T) {
	f := newGossipCluster(t, 5, "voters = 3\nreplace_after = \"2s\"\n", "st-4", "st-5")
	f.startAll()
	st, err := f.status(f.waitForLeader())
	if err != nil || len(st.Voters) != 3 || slices.Contains(st.Voters, "st-4") {
		t.Fatalf("voters %v, %v", st.Voters, err)
	}
	f.register("before", 1)
	victims := []string{f.others(f.waitForLeader())[0], f.waitForLeader()}
	for _, victim := range victims {
		if !slices.Contains(func() []string { st, _ := f.status(f.waitForLeader()); return st.Voters }(), victim) {
			t.Fatalf("%s doesn't vote", victim)
		}
		f.kill(victim)
		f.waitUntil(victim+" is replaced", func() bool {
			for _, n := range f.others(victim) {
				if st, err := f.status(n); err == nil && st.State == "leader" && len(st.Voters) > 3+1 {
					t.Fatalf("%v vote", st.Voters)
				} else if err == nil && st.State == "leader" {
					return len(st.Voters) == 3 && !slices.Contains(st.Voters, victim)
				}
			}
			return false
		})
		f.register("after-"+victim, 1, f.others(victim)...)
		f.start(victim)
		f.waitUntil(victim+" is a spare", func() bool {
			st, err := f.status(f.waitForLeader())
			return err == nil && st.Peers[victim] == "Nonvoter" && len(st.Voters) == 3
		})
	}
	e, err := f.client(f.names...).Server(context.Background(), "before", true)
	if err != nil || e.Endpoint.StartedMs != 1 {
		t.Errorf("%+v, %v", e, err)
	}
}

// A second process of a name, one that nobody knows, one that sends rubbish, a table that leads
// to another steward than it says, one that never starts, clocks an hour apart: each is told
// of, and nothing else suffers.
func TestMisconfiguredMembersAreRejected(t *testing.T) {
	f := newGossipCluster(t, 3, "")
	for i, name := range f.names {
		f.servers[name].proc.Env = append(f.servers[name].proc.Env, fmt.Sprint("TEST_CLOCK=", []string{"1h", "-1h", "0s"}[i]))
	}
	// The fourth is in all tables, and never starts; the first's table leads to the second in
	// the third's place.
	f.add("st-4")
	names := f.names[:3]
	for _, name := range names {
		f.configure(name, f.names)
	}
	text, err := os.ReadFile(f.configPath("st-1"))
	if err != nil {
		t.Fatal(err)
	}
	wrong := string(text)
	at := strings.Index(wrong, "[peers.st-3]")
	section := fmt.Sprintf("[peers.st-3]\nhttp = %q\nraft = %q\ngossip = %q\n", f.servers["st-2"].http, f.servers["st-2"].raft, f.servers["st-2"].gossip)
	end := at + strings.Index(wrong[at+1:], "[peers.")
	if end < at {
		end = len(wrong) - 1
	}
	wrong = wrong[:at] + section + wrong[end+1:]
	// A fleet begins only once all that are in the tables answer: the fourth is there for that.
	f.configure("st-4", f.names)
	for _, name := range f.names {
		f.start(name)
	}
	f.waitForLeader()
	f.waitForEqualViews(f.names...)
	f.kill("st-4")
	if err := os.WriteFile(f.configPath("st-1"), []byte(wrong), 0o600); err != nil {
		t.Fatal(err)
	}
	f.kill("st-1")
	f.start("st-1")
	f.waitForState("st-2", member.Present, "st-1", "st-3")
	f.waitForState("st-2", member.Failed, "st-4")
	for i := range 10 {
		f.register(fmt.Sprint("s-", i), 1, "st-2", "st-3")
	}
	f.waitUntil("the first doesn't reach the third by its table", func() bool {
		v, ok := f.view("st-1")
		return ok && ownObservation(&v, "st-3") != member.Present
	})
	f.waitUntil("what came under a wrong name was turned away", func() bool {
		log, _ := os.ReadFile(f.servers["st-2"].proc.Log)
		st, err := f.status("st-1")
		return err == nil && (st.State != "leader" || strings.Contains(string(log), "the call was for another steward"))
	})

	// Another folder, the same name, elsewhere: it ends, and the first goes on.
	twin := func(name, as string, change func(string) string) *process.Process {
		text, err := os.ReadFile(f.configPath(name))
		if err != nil {
			t.Fatal(err)
		}
		conf := filepath.Join(f.dir, as+".toml")
		var addrs [3]string
		for i := range addrs {
			if addrs[i], err = f.addrs.FreePort(); err != nil {
				t.Fatal(err)
			}
		}
		s := f.servers[name]
		out := string(text)
		out = strings.Replace(out, fmt.Sprintf("data = %q", f.dataDir(name)), fmt.Sprintf("data = %q", f.dataDir(as)), 1)
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
		p := f.supervisor.Add(f.servers[name].proc.Spec)
		p.Args, p.Log = []string{"serve", "--config", conf}, filepath.Join(f.dir, as+".log")
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		return p
	}
	second := twin("st-3", "twin", nil)
	select {
	case <-second.Ended():
	case <-time.After(waitTimeout):
		t.Error("a second process of a name runs on")
	}
	if log, _ := os.ReadFile(second.Log); !strings.Contains(string(log), "controlplane: name: taken: another process is called st-3, and is there") {
		t.Errorf("the second said %q", log)
	}
	told := false
	for _, n := range names {
		log, _ := os.ReadFile(f.servers[n].proc.Log)
		if strings.Contains(string(log), `"peer removed from the raft configuration"`) {
			t.Errorf("%s: the first was taken off the voters for the second", n)
		}
		told = told || strings.Contains(string(log), "request of a second process with the name") || strings.Contains(string(log), "two processes use one name")
	}
	if st, err := f.status("st-3"); err != nil || !told || !slices.Contains(st.Voters, "st-3") {
		t.Errorf("the first was told: %v; %+v, %v", told, st, err)
	}

	// A name that is in nobody's table.
	stranger := twin("st-3", "stranger", func(text string) string { return strings.Replace(text, `name = "st-3"`, `name = "st-9"`, 1) })
	f.waitUntil("it is refused", func() bool { return f.metric("st-2", "steward_gossip_refused_total") > 0 })
	if v, ok := f.view("st-2"); !ok || v.State("st-9") != "" {
		t.Errorf("the stranger is %q", v.State("st-9"))
	}
	stranger.Kill()
	f.waitForState("st-2", member.Present, "st-3")
	e, err := f.client("st-2").Server(context.Background(), "s-9", true)
	var refused *control.HTTPError
	if err != nil || e.Endpoint.StartedMs != 1 || errors.As(err, &refused) {
		t.Errorf("%+v, %v", e, err)
	}
}
