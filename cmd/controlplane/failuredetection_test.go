package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/gossip"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/loopback"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/member"
)

// memberMain is a process that gossips and does nothing else. Its log tells what it notices.
func memberMain() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var peers map[string]string
	text, err := os.ReadFile(os.Getenv("MEMBER_PEERS"))
	if err == nil {
		err = json.Unmarshal(text, &peers)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err != nil {
		log.Error("peers", "err", err)
		os.Exit(1)
	}
	self := member.Info{ProtocolVersion: member.ProtocolVersion, Name: os.Getenv("MEMBER_NAME"), Role: member.Role(os.Getenv("MEMBER_ROLE"))}
	self.Incarnation, _ = strconv.ParseInt(os.Getenv("MEMBER_LIFE"), 10, 64)
	n, err := gossip.Start(gossip.Config{Self: self, Listen: os.Getenv("MEMBER_LISTEN"), Log: log, Tracker: member.Defaults(self),
		Peers: func() map[string]string { return peers },
		OnChange: func(changes []member.Change) {
			for _, c := range changes {
				log.Info("member", "name", c.Name, "to", c.To)
			}
		}})
	if err != nil {
		log.Error("gossip", "err", err)
		os.Exit(1)
	}
	dumpCounts := make(chan os.Signal, 1)
	signal.Notify(dumpCounts, syscall.SIGHUP)
	for ctx.Err() == nil {
		select {
		case <-dumpCounts:
			log.Info("counts", "sent", n.Counts().Sent)
		case <-ctx.Done():
		}
	}
	n.Close()
}

var sentCountPattern = regexp.MustCompile(`(?m)msg=counts sent=(\d+)$`)

// bytesSent is what all of them have sent.
func (group *gossipGroup) bytesSent() (sum int64) {
	for _, name := range group.names {
		p := group.processes[name]
		before, _ := os.ReadFile(p.Log)
		if err := p.Signal(syscall.SIGHUP); err != nil {
			group.tb.Fatal(err)
		}
		for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
			text, _ := os.ReadFile(p.Log)
			if m := sentCountPattern.FindSubmatch(text[len(before):]); m != nil {
				x, _ := strconv.ParseInt(string(m[1]), 10, 64)
				sum += x
				break
			}
			if time.Now().After(end) {
				group.tb.Fatalf("%s tells no counts", name)
			}
		}
	}
	return sum
}

// gossipGroup is processes that gossip, five of them observers.
type gossipGroup struct {
	tb           testing.TB
	names        []string
	processes    map[string]*process.Process
	incarnations map[string]int64
	links        []*link.UDP
}

func newGossipGroup(tb testing.TB, n int, loss float64) *gossipGroup {
	addrs, err := loopback.Claim()
	if err != nil {
		tb.Fatal(err)
	}
	dir := tb.TempDir()
	group := &gossipGroup{tb: tb, processes: map[string]*process.Process{}, incarnations: map[string]int64{}}
	supervisor := process.New(nil)
	tb.Cleanup(func() {
		supervisor.Close()
		for _, l := range group.links {
			l.Close()
		}
		addrs.Close()
	})
	at := map[string]string{}
	for i := range n {
		name := fmt.Sprintf("m-%03d", i)
		if at[name], err = addrs.FreePort(); err != nil {
			tb.Fatal(err)
		}
		group.names = append(group.names, name)
	}
	exe, err := os.Executable()
	if err != nil {
		tb.Fatal(err)
	}
	peers := map[string]string{}
	for i, name := range group.names {
		peers[name] = at[name]
		if loss > 0 { // what comes to it over datagrams; streams come as they are
			ip := fmt.Sprintf("%s:0", addrs.IP())
			tcp, err := link.New(ip, at[name], 1)
			if err != nil {
				tb.Fatal(err)
			}
			u, err := link.NewUDP(tcp.Addr(), at[name], uint64(i))
			if err != nil {
				tb.Fatal(err)
			}
			u.Set(link.Shape{Loss: loss, Jitter: 20 * time.Millisecond}, link.Shape{})
			tb.Cleanup(tcp.Close)
			group.links = append(group.links, u)
			peers[name] = tcp.Addr()
		}
	}
	text, _ := json.Marshal(peers)
	file := filepath.Join(dir, "peers.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		tb.Fatal(err)
	}
	for i, name := range group.names {
		role := member.RoleWorker
		if i < 5 {
			role = member.RoleControlPlane
		}
		group.processes[name] = supervisor.Add(process.Spec{Name: name, Path: exe, Log: filepath.Join(dir, name+".log"), Env: []string{"MEMBER_CHILD=1", "MEMBER_NAME=" + name,
			"MEMBER_ROLE=" + string(role), "MEMBER_LISTEN=" + at[name], "MEMBER_PEERS=" + file}})
		group.start(name)
	}
	return group
}

func (group *gossipGroup) start(name string) {
	group.incarnations[name]++
	p := group.processes[name]
	p.Env = append(p.Env[:5:5], fmt.Sprint("MEMBER_LIFE=", group.incarnations[name]))
	if err := p.Start(); err != nil {
		group.tb.Fatal(err)
	}
}

var stateChangePattern = regexp.MustCompile(`(?m)^time=(\S+) level=INFO msg=member name=(\S+) to=(\S+)$`)

// stateTimes tells, by observer, at which times it came to have a member in a state.
func (group *gossipGroup) stateTimes(state member.State) map[string]map[string][]time.Time {
	out := map[string]map[string][]time.Time{}
	for _, o := range group.names {
		text, err := os.ReadFile(group.processes[o].Log)
		if err != nil {
			group.tb.Fatal(err)
		}
		for _, m := range stateChangePattern.FindAllSubmatch(text, -1) {
			if at, err := time.Parse(time.RFC3339Nano, string(m[1])); err == nil && string(m[3]) == string(state) {
				if out[o] == nil {
					out[o] = map[string][]time.Time{}
				}
				out[o][string(m[2])] = append(out[o][string(m[2])], at)
			}
		}
	}
	return out
}

// BenchmarkFailureDetection kills members that gossip, one each second, and measures by their logs when
// the first and the last of the others have each as failed; and what a process uses at rest.
func BenchmarkFailureDetection(b *testing.B) {
	for _, n := range []int{5, 20, 50, 100} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			group := newGossipGroup(b, n, 0)
			time.Sleep(8 * time.Second)
			sum := func() (cpu time.Duration) {
				for _, p := range group.processes {
					use, _, _ := p.Look()
					cpu += use.CPU
				}
				return cpu
			}
			before, from, began := sum(), group.bytesSent(), time.Now()
			time.Sleep(10 * time.Second)
			b.ReportMetric(float64(group.bytesSent()-from)/float64(n)/time.Since(began).Seconds(), "bytes/s/process")
			b.ReportMetric(float64(sum()-before)/float64(n)/float64(10*time.Second)*1000, "millicores/process")
			kills := map[string]time.Time{}
			type end struct {
				name string
				at   time.Time
			}
			var ends []end
			var back sync.WaitGroup
			rng := rand.New(rand.NewPCG(9, uint64(n)))
			var mu sync.Mutex
			for range 100 {
				mu.Lock()
				name := group.names[rng.IntN(n)]
				for !kills[name].IsZero() {
					name = group.names[rng.IntN(n)]
				}
				kills[name] = time.Now()
				mu.Unlock()
				group.processes[name].Kill()
				ends = append(ends, end{name, kills[name]})
				back.Add(1)
				go func() {
					defer back.Done()
					time.Sleep(6 * time.Second)
					mu.Lock()
					defer mu.Unlock()
					group.start(name)
					time.AfterFunc(4*time.Second, func() { mu.Lock(); delete(kills, name); mu.Unlock() })
				}()
				time.Sleep(time.Duration(max(1000, 24000/n)) * time.Millisecond)
			}
			back.Wait()
			failed := group.stateTimes(member.Failed)
			var first, spread []time.Duration
			missed := 0
			for _, e := range ends {
				lo, hi := time.Duration(1<<62), time.Duration(0)
				for _, o := range group.names {
					for _, at := range failed[o][e.name] {
						if d := at.Sub(e.at); d > 0 && d < 6*time.Second {
							lo, hi = min(lo, d), max(hi, d)
						}
					}
				}
				if hi == 0 {
					missed++
					continue
				}
				first, spread = append(first, lo), append(spread, hi-lo)
			}
			reportPercentiles(b, "first", first)
			reportPercentiles(b, "spread", spread)
			b.ReportMetric(float64(missed), "missed")
		})
	}
}

// BenchmarkFalseFailures has fifty members gossip over a network that loses a fifth of the datagrams,
// a random one of them standing still for up to 5 s now and then, and counts for how many of
// a member's hours another that was there was taken for failed or suspected. WRONG_FOR is how
// long it goes on.
func BenchmarkFalseFailures(b *testing.B) {
	duration, err := time.ParseDuration(os.Getenv("WRONG_FOR"))
	if err != nil {
		duration = 2 * time.Minute
	}
	group := newGossipGroup(b, 50, 0.2)
	time.Sleep(8 * time.Second)
	base := 0
	count := func() (n int) {
		for _, by := range group.stateTimes(member.Failed) {
			for _, at := range by {
				n += len(at)
			}
		}
		return n
	}
	base = count()
	rng := rand.New(rand.NewPCG(10, 1))
	stops := 0
	for end := time.Now().Add(duration); time.Now().Before(end); stops++ {
		p := group.processes[group.names[rng.IntN(50)]]
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		if err := p.Signal(syscall.SIGCONT); err != nil {
			b.Fatal(err)
		}
		time.Sleep(3 * time.Second)
	}
	b.ReportMetric(float64(count()-base)/duration.Hours(), "failed/h-over-50-views")
	b.ReportMetric(float64(stops), "pauses")
	b.ReportMetric(0, "ns/op")
}

// lastStates tells how an observer has the others, by the last that its log says.
func (group *gossipGroup) lastStates(observer string) map[string]member.State {
	out := map[string]member.State{}
	text, err := os.ReadFile(group.processes[observer].Log)
	if err != nil {
		group.tb.Fatal(err)
	}
	for _, m := range stateChangePattern.FindAllSubmatch(text, -1) {
		out[string(m[2])] = member.State(m[3])
	}
	return out
}

// Many start at once, one of the table never does; then half of them end at once: too many to
// be believed by one alone, and believed by all that are left once they say the same.
func TestMassFailureNeedsMajority(t *testing.T) {
	const n = 24
	group := newGossipGroup(t, n, 0)
	dead := group.names[n-1]
	group.processes[dead].Kill() // as soon as it was started
	await := func(what string, observers, members []string, state member.State) {
		t.Helper()
		missing := ""
		for end := time.Now().Add(waitTimeout); ; time.Sleep(100 * time.Millisecond) {
			missing = ""
			for _, o := range observers {
				states := group.lastStates(o)
				for _, m := range members {
					if m != o && states[m] != state {
						missing = fmt.Sprintf("%s has %s as %q", o, m, states[m])
					}
				}
			}
			if missing == "" {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: %s", what, missing)
			}
		}
	}
	await("all start", group.names[:n-1], group.names[:n-1], member.Present)
	// Two of the five observers among them.
	victims := append(append([]string{}, group.names[:2]...), group.names[12:n-1]...)
	survivors := group.names[2:12]
	for _, name := range victims {
		group.processes[name].Kill()
	}
	await("half end", survivors, victims, member.Failed)
	for o, by := range group.stateTimes(member.Failed) {
		for _, name := range survivors {
			if len(by[name]) > 0 && slices.Contains(survivors, o) {
				t.Errorf("%s had %s as failed, which is there", o, name)
			}
		}
	}
	for _, name := range victims {
		group.start(name)
	}
	await("all are back", survivors, victims, member.Present)
}
