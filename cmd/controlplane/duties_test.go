package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/lab/worker"
	"knotrouter/internal/leaderelection"
)

func monotonicNow() time.Duration {
	now, err := worker.Monotonic()
	if err != nil {
		panic(err)
	}
	return now
}

// workerMain is a process that holds duties. Its environment tells all it needs.
func workerMain() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	c := worker.Config{Name: os.Getenv("WORKER_NAME"), At: strings.Split(os.Getenv("WORKER_AT"), ","), Places: []string{os.Getenv("WORKER_RESOURCE")}}
	c.Rate, _ = strconv.ParseFloat(os.Getenv("WORKER_RATE"), 64)
	c.Cap, _ = strconv.Atoi(os.Getenv("WORKER_CAP"))
	worker.Run(ctx, c, slog.New(slog.NewTextHandler(os.Stderr, nil)).With("worker", c.Name))
}

// workerGroup is workers, with a link from each to each steward.
type workerGroup struct {
	cluster        *testCluster
	operations     *check.Acts
	operationsAddr string // where they land
	names          []string
	processes      map[string]*process.Process
	links          map[string][]*link.Link
}

func (f *testCluster) startWorkers(n int, most int, rates ...float64) *workerGroup {
	f.t.Helper()
	acts := check.NewActs()
	place := httptest.NewServer(acts)
	f.t.Cleanup(place.Close)
	c := &workerGroup{cluster: f, operations: acts, operationsAddr: place.Listener.Addr().String(), processes: map[string]*process.Process{}, links: map[string][]*link.Link{}}
	for i := range n {
		rate := 1.0
		if len(rates) > 0 {
			rate = rates[i%len(rates)]
		}
		c.add(fmt.Sprint("w-", i+1), most, rate)
	}
	f.t.Cleanup(func() {
		for _, links := range c.links {
			for _, l := range links {
				l.Close()
			}
		}
		for _, name := range c.names {
			if f.t.Failed() {
				text, _ := os.ReadFile(c.processes[name].Log)
				f.t.Logf("%s:\n%s", name, text[max(0, len(text)-5000):])
			}
		}
	})
	return c
}

func (c *workerGroup) add(name string, most int, rate float64) {
	c.cluster.t.Helper()
	var at []string
	for _, st := range c.cluster.names {
		l, err := link.New(c.cluster.addrs.IP()+":0", c.cluster.servers[st].http, 1)
		if err != nil {
			c.cluster.t.Fatal(err)
		}
		c.links[name] = append(c.links[name], l)
		at = append(at, l.Addr())
	}
	exe, err := os.Executable()
	if err != nil {
		c.cluster.t.Fatal(err)
	}
	c.names = append(c.names, name)
	c.processes[name] = c.cluster.supervisor.Add(process.Spec{Name: name, Path: exe, Log: filepath.Join(c.cluster.dir, name+".log"),
		Env: []string{"WORKER_CHILD=1", "WORKER_NAME=" + name, "WORKER_AT=" + strings.Join(at, ","), fmt.Sprint("WORKER_CAP=", most),
			fmt.Sprint("WORKER_RATE=", rate), "WORKER_RESOURCE=" + c.operationsAddr}})
	c.start(name)
}

func (c *workerGroup) start(name string) {
	c.cluster.t.Helper()
	if err := c.processes[name].Start(); err != nil {
		c.cluster.t.Fatal(err)
	}
}

func (c *workerGroup) kill(name string) {
	ended := c.processes[name].Ended()
	c.processes[name].Kill()
	<-ended
}

func (c *workerGroup) signal(name string, sig syscall.Signal) {
	c.cluster.t.Helper()
	if err := c.processes[name].Signal(sig); err != nil {
		c.cluster.t.Fatal(err)
	}
}

// cutLinks shapes the links of a worker to all stewards.
func (c *workerGroup) cutLinks(name string, out, in bool) {
	c.cluster.t.Helper()
	for _, l := range c.links[name] {
		if err := l.Set(link.Shape{Cut: out}, link.Shape{Cut: in}); err != nil {
			c.cluster.t.Fatal(err)
		}
	}
}

func (c *workerGroup) defineTask(name string, ttl time.Duration) {
	c.cluster.t.Helper()
	c.cluster.waitUntil(name+" is defined", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		return c.cluster.client(c.cluster.names...).DefineTask(ctx, name, control.TaskDefinition{TTLMs: ttl.Milliseconds()}) == nil
	})
}

// waitForOperation waits until somebody but one acts under a duty, later than the time given.
func (c *workerGroup) waitForOperation(name, not string, after time.Duration) check.Act {
	c.cluster.t.Helper()
	var a check.Act
	c.cluster.waitUntil(fmt.Sprintf("%s is done by another than %q", name, not), func() bool {
		a = c.operations.Last(name)
		return a.Process != "" && a.Process != not && a.Mono > after
	})
	return a
}

// requireNoOverlap holds that nothing overlapped.
func (c *workerGroup) requireNoOverlap() {
	c.cluster.t.Helper()
	if broke := c.operations.Judge().Broke; len(broke) > 0 {
		c.cluster.t.Errorf("%d overlaps: %s", len(broke), strings.Join(broke[:min(len(broke), 3)], "; "))
	}
}

func (c *workerGroup) commandTask(name, word, to string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	return c.cluster.client(c.cluster.names...).CommandTask(ctx, name, word, to, "")
}

const taskTTL = 1500 * time.Millisecond

// A duty goes on at another process whatever happens to its holder, one term at a time:
// killed, stopped for half, once and three times its time and woken, cut off from the
// stewards but not from where it acts, cut one way, ended in order, moved, revoked; and
// whatever happens to the stewards meanwhile. Clocks are 5 % off.
func TestTaskFailsOverUnderEachFault(t *testing.T) {
	f := newCluster(t, 3)
	c := f.startWorkers(3, 10, 0.95, 1, 1.05)
	c.defineTask("work.a", taskTTL)
	holder := func() string {
		// Long enough with one holder for its end not to be blamed on the duty.
		since := map[int64]time.Duration{}
		var a check.Act
		f.waitUntil("a holder stays", func() bool {
			a = c.operations.Last("work.a")
			if since[a.Fence] == 0 {
				since[a.Fence] = a.Mono
			}
			return a.Mono-since[a.Fence] > 2500*time.Millisecond
		})
		return a.Process
	}
	for _, round := range []struct {
		what string
		do   func(w string) (undo func())
		same bool // it may stay where it is
	}{
		{"killed", func(w string) func() { c.kill(w); return func() { c.start(w) } }, false},
		{"stopped for half its time", func(w string) func() {
			c.signal(w, syscall.SIGSTOP)
			time.Sleep(taskTTL / 2)
			c.signal(w, syscall.SIGCONT)
			return func() {}
		}, true},
		{"stopped for its time", func(w string) func() {
			c.signal(w, syscall.SIGSTOP)
			time.Sleep(taskTTL)
			c.signal(w, syscall.SIGCONT)
			return func() {}
		}, true},
		{"stopped for three times its time", func(w string) func() {
			c.signal(w, syscall.SIGSTOP)
			time.Sleep(3 * taskTTL)
			c.signal(w, syscall.SIGCONT)
			return func() {}
		}, false},
		{"cut off from the stewards", func(w string) func() { c.cutLinks(w, true, true); return func() { c.cutLinks(w, false, false) } }, false},
		{"heard, and hears nothing", func(w string) func() { c.cutLinks(w, false, true); return func() { c.cutLinks(w, false, false) } }, true},
		{"hears, and isn't heard", func(w string) func() { c.cutLinks(w, true, false); return func() { c.cutLinks(w, false, false) } }, false},
		{"ended in order", func(w string) func() {
			ended := c.processes[w].Ended()
			c.signal(w, syscall.SIGTERM)
			<-ended
			return func() { c.start(w) }
		}, false},
		{"the leader killed", func(string) func() { lead := f.waitForLeader(); f.kill(lead); return func() { f.start(lead) } }, true},
		{"all stewards restarted", func(string) func() {
			for _, name := range f.names {
				f.kill(name)
			}
			for _, name := range f.names {
				f.start(name)
			}
			f.waitForLeader()
			return func() {}
		}, true},
		{"revoked", func(string) func() { _ = c.commandTask("work.a", "revoke", ""); return func() {} }, true},
		{"moved", func(string) func() {
			f.waitUntil("it is to be moved", func() bool { return c.commandTask("work.a", "move", "") == nil })
			return func() {}
		}, false},
		{"the holder's steward gone, another near", func(w string) func() {
			_ = c.links[w][0].Refuse()
			return func() { _ = c.links[w][0].Set(link.Shape{}, link.Shape{}); _ = c.links[w][0].Target(link.Open) }
		}, true},
	} {
		w := holder()
		began := monotonicNow()
		refused := c.operations.Judge().Refused
		undo := round.do(w)
		not := w
		if round.same {
			not = ""
		}
		a := c.waitForOperation("work.a", not, max(monotonicNow(), began))
		t.Logf("%s: %s, then %s under %d after %v", round.what, w, a.Process, a.Fence, (a.Mono - began).Round(time.Millisecond))
		// The one before has time to act, if it still would.
		c.waitForOperation("work.a", not, a.Mono+300*time.Millisecond)
		// Only one that stood still may have acted too late, once: what runs stops by its own clock.
		if n := c.operations.Judge().Refused - refused; n > 0 && !strings.HasPrefix(round.what, "stopped") {
			t.Errorf("%s: %d acts were refused by their fence: it went on beyond its time", round.what, n)
		}
		undo()
		c.requireNoOverlap()
	}
	d, err := f.client(f.names...).Task(context.Background(), "work.a")
	if err != nil || len(d.History) < 5 || d.History[len(d.History)-1].Reason == "" {
		t.Errorf("its past: %+v, %v", d.History, err)
	}
}

// A planned hand-over leaves a short gap and never an overlap; a duty that is moved to a
// process which doesn't answer stays where it is; two processes of one name are told so; a
// duty that fails is backed off, and one that kills its holders is parked.
func TestTaskMovesBackoffAndSuspension(t *testing.T) {
	f := newCluster(t, 3)
	c := f.startWorkers(3, 10)
	c.defineTask("work.a", taskTTL)
	a := c.waitForOperation("work.a", "", 0)
	for i := range 10 {
		var to string
		for _, name := range c.names {
			if name != a.Process && (i%2 == 0 || to == "") {
				to = name
			}
		}
		from := a.Process
		if err := c.commandTask("work.a", "move", to); err != nil {
			t.Fatal(err)
		}
		next := c.waitForOperation("work.a", from, 0)
		if next.Process != to {
			t.Errorf("it was to go to %s and went to %s", to, next.Process)
		}
		a = next
	}
	t.Logf("gaps of planned moves: %v", c.operations.Judge().Gaps)
	c.requireNoOverlap()

	// One that stands still, or has just died, is not ready: what is moved to it stays.
	deaf := c.names[0]
	if deaf == a.Process {
		deaf = c.names[1]
	}
	for _, does := range []struct{ begin, end func() }{
		{func() { c.signal(deaf, syscall.SIGSTOP) }, func() { c.signal(deaf, syscall.SIGCONT) }},
		{func() { c.kill(deaf) }, func() { c.start(deaf) }},
	} {
		does.begin()
		if err := c.commandTask("work.a", "move", deaf); err != nil {
			t.Fatal(err)
		}
		f.waitUntil("the move is given up", func() bool {
			d, err := f.client(f.names...).Task(context.Background(), "work.a")
			return err == nil && d.Successor == "" && d.Holder == a.Process
		})
		if still := c.waitForOperation("work.a", "", monotonicNow()); still.Process != a.Process || still.Fence != a.Fence {
			t.Errorf("held by %s under %d, then by %s under %d", a.Process, a.Fence, still.Process, still.Fence)
		}
		does.end()
	}

	// A second process of a name waits until the first has gone.
	twin := f.supervisor.Add(c.processes[a.Process].Spec)
	twin.Log = filepath.Join(f.dir, "twin.log")
	if err := twin.Start(); err != nil {
		t.Fatal(err)
	}
	f.waitUntil("the second of the name is told so", func() bool {
		text, _ := os.ReadFile(twin.Log)
		return strings.Contains(string(text), "another process is called so")
	})
	c.kill(a.Process)
	twin.Kill()
	c.waitForOperation("work.a", a.Process, monotonicNow())
	c.start(a.Process)

	c.defineTask("fail.a", taskTTL)
	f.waitUntil("it failed at several processes and waits", func() bool {
		d, err := f.client(f.names...).Task(context.Background(), "fail.a")
		where := map[string]bool{}
		for _, p := range d.History {
			where[p.Process] = p.Reason == catalog.ReasonFailed
		}
		return err == nil && d.Failures >= 3 && d.NotBefore > 0 && len(where) >= 2
	})
	c.defineTask("kill.a", taskTTL)
	f.waitUntil("it is parked", func() bool {
		for _, name := range c.names { // somebody starts what has ended
			if !c.processes[name].Runs() {
				_ = c.processes[name].Start()
			}
		}
		d, err := f.client(f.names...).Task(context.Background(), "kill.a")
		return err == nil && d.SuspendReason != "" && d.Holder == ""
	})
	c.waitForOperation("work.a", "", monotonicNow()) // what was held beside it goes on
	c.requireNoOverlap()
}

// Many duties are spread evenly, and again when a process comes or goes.
func TestTasksAreBalanced(t *testing.T) {
	const n = 300
	f := newCluster(t, 3)
	c := f.startWorkers(3, 1000)
	for i := range n {
		c.defineTask(fmt.Sprint("idle.", i), 3*time.Second)
	}
	counts := func() (by map[string]int, free int) {
		by = map[string]int{}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		all, err := f.client(f.names...).Tasks(ctx)
		if err != nil {
			return by, n
		}
		for _, d := range all {
			if strings.HasPrefix(d.Name, "idle.") {
				if d.Holder == "" {
					free++
				} else {
					by[d.Holder]++
				}
			}
		}
		return by, free
	}
	even := func(processes int) func() bool {
		return func() bool {
			by, free := counts()
			for _, k := range by {
				if k > n/processes*12/10+3 || k < n/processes*8/10-3 {
					return false
				}
			}
			return free == 0 && len(by) == processes
		}
	}
	f.waitUntil("spread over three", even(3))
	began := time.Now()
	c.kill("w-2")
	f.waitUntil("spread over two", even(2))
	took := time.Since(began)
	before, err := f.client(f.names...).Tasks(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second) // at rest, nothing changes hands
	after, err := f.client(f.names...).Tasks(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for i := range after {
		if after[i].Fence != before[i].Fence {
			t.Errorf("%s changed hands for nothing", after[i].Name)
		}
	}
	c.add("w-4", 1000, 1)
	t.Cleanup(func() {
		if t.Failed() {
			by, free := counts()
			t.Logf("held by %v, %d free", by, free)
		}
	})
	f.waitUntil("spread over three again", even(3))
	t.Logf("spread again %v after the death of a holder of a third", took)
}

// Whatever is killed, stopped, cut, moved and revoked at random, among workers and stewards,
// no two processes believe to hold a duty at one time, and fences never fall where acts
// land. DUTY_SEEDS is how many schedules are played.
func TestTasksNeverOverlapUnderRandomFaults(t *testing.T) {
	seeds := 10
	if text := os.Getenv("DUTY_SEEDS"); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatalf("DUTY_SEEDS: %v", err)
		}
	}
	var mu sync.Mutex
	terms, refused := 0, 0
	defer func() {
		if terms < 6*seeds {
			t.Errorf("%d terms of four duties in %d schedules: nothing changed hands", terms, seeds)
		}
		t.Logf("%d schedules, %d terms, %d acts refused by their fence", seeds, terms, refused)
	}()
	t.Run("all", func(t *testing.T) {
		runFaultSchedules(t, seeds, func(v check.Verdict) { mu.Lock(); defer mu.Unlock(); terms += v.Terms; refused += v.Refused })
	})
}

// injectFault does one thing to one worker or steward, and ends it.
func (c *workerGroup) injectFault(rng *rand.Rand) {
	w := c.names[rng.IntN(len(c.names))]
	lasts := time.Duration(300+rng.IntN(2200)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		injectServerFault(c.cluster.t, c.cluster, rng)
	case 2:
		c.kill(w)
		time.Sleep(lasts / 3)
		c.start(w)
	case 3, 4:
		c.signal(w, syscall.SIGSTOP)
		time.Sleep(lasts)
		c.signal(w, syscall.SIGCONT)
	case 5:
		c.cutLinks(w, rng.IntN(2) == 0, true)
		time.Sleep(lasts)
		c.cutLinks(w, false, false)
	case 6:
		_ = c.commandTask(fmt.Sprint("work.", rng.IntN(4)), []string{"move", "revoke"}[rng.IntN(2)], "")
	case 7:
		ended := c.processes[w].Ended()
		c.signal(w, syscall.SIGTERM)
		<-ended
		c.start(w)
	}
}

func runFaultSchedules(t *testing.T, seeds int, played func(check.Verdict)) {
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := newSeededRand(t, uint64(seed)+1000)
			f := newCluster(t, 3)
			c := f.startWorkers(3, 10, 0.95, 1.05, 1)
			for i := range 4 {
				c.defineTask(fmt.Sprint("work.", i), time.Second)
			}
			for i := range 4 {
				c.waitForOperation(fmt.Sprint("work.", i), "", 0)
			}
			for range 8 {
				c.injectFault(rng)
				time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			}
			for i := range 4 { // one of them may have been blamed for the ends of its holders
				name := fmt.Sprint("work.", i)
				f.waitUntil(name+" is not parked", func() bool { return c.commandTask(name, "unpark", "") == nil })
			}
			now := monotonicNow()
			for i := range 4 {
				c.waitForOperation(fmt.Sprint("work.", i), "", now)
			}
			c.requireNoOverlap()
			v := c.operations.Judge()
			played(v)
			t.Logf("%d terms, %d acts refused by their fence, nobody for %.0f %% of the time", v.Terms, v.Refused, 100*float64(v.Idle)/float64(v.All))
		})
	}
}

// A leader that was stopped and wakes finds renewals that came meanwhile, and may think that
// it still leads: it answers none for a session that is over by the next leader's word.
func TestResumedLeaderAnswersNoRenewalOfEndedSession(t *testing.T) {
	f := newCluster(t, 3)
	for round := range 4 {
		name, id := fmt.Sprint("p-", round), fmt.Sprint("id-", round)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		if err := f.client(f.names...).OpenSession(ctx, catalog.Session{Process: name, ID: id}); err != nil {
			t.Fatal(err)
		}
		old := f.waitForLeader()
		if err := f.servers[old].proc.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		f.waitUntil("the session is over", func() bool {
			err := f.client(f.others(old)...).EndSession(ctx, name, id, false)
			return err == nil || errors.Is(err, leaderelection.ErrSessionExpired)
		})
		answers := f.sendWhileStopped(old, 40, func(ctx context.Context, c *control.Client) bool {
			_, err := c.RenewSession(ctx, name, id, 0)
			return err == nil
		})
		if err := f.servers[old].proc.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		for range 40 {
			if <-answers {
				t.Fatalf("round %d: a renewal was answered of a session that was over before it was sent", round)
			}
		}
		cancel()
	}
}

// An operation on one duty by one session.
type claimInput struct {
	task, kind, session string // kind: "claim", "give up" or "read"
	fence               int64
}

type claimOutput struct {
	ok, unknownOutcome bool
	session            string
	fence              int64
}

// termState is who holds a duty; fence 0 is not known yet, above low.
type termState struct {
	session           string
	fence, fenceAbove int64
}

func (s termState) matches(session string, fence int64) bool {
	return s.session == session && (s.fence == fence || s.fence == 0 && fence > s.fenceAbove)
}

var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimInput).task
			by[key] = append(by[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{termState{}} },
	Step: func(state, in, out any) []any {
		s, i, o := state.(termState), in.(claimInput), out.(claimOutput)
		granted := termState{i.session, o.fence, o.fence}
		switch {
		case i.kind == "read" && o.session == "":
			if s.session == "" {
				return []any{s}
			}
		case i.kind == "read":
			if s.matches(o.session, o.fence) {
				return []any{termState{o.session, o.fence, o.fence}}
			}
		case i.kind == "claim" && o.unknownOutcome:
			if s.session == "" {
				return []any{s, termState{i.session, 0, s.fenceAbove}}
			}
			return []any{s}
		case i.kind == "claim" && o.ok:
			if s.session == "" && o.fence > s.fenceAbove || s.matches(i.session, o.fence) {
				return []any{granted}
			}
		case i.kind == "claim":
			if s.session != "" && s.session != i.session {
				return []any{s}
			}
		case o.unknownOutcome:
			if s.matches(i.session, i.fence) {
				return []any{s, termState{"", 0, i.fence}}
			}
			return []any{s}
		case o.ok:
			if s.matches(i.session, i.fence) {
				return []any{termState{"", 0, i.fence}}
			}
		case s.fence == 0 || !s.matches(i.session, i.fence):
			return []any{s}
		}
		return nil
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

const (
	renewInterval = 200 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	// sessionExpiryWait is longer than a session is kept that holds nothing and is not renewed.
	sessionExpiryWait = 4 * time.Second
)

// renewSession renews a session at each steward until the context ends. A steward that hangs
// delays only its own renewals; one that fails is made up for by the next.
func (f *testCluster) renewSession(ctx context.Context, process, id string) (wait func()) {
	var renewers sync.WaitGroup
	for _, name := range f.names {
		client := control.NewClient([]string{f.servers[name].http}, renewTimeout)
		renewers.Add(1)
		go func() {
			defer renewers.Done()
			tick := time.NewTicker(renewInterval)
			defer tick.Stop()
			for {
				_, _ = client.RenewSession(ctx, process, id, 0)
				select {
				case <-tick.C:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	return renewers.Wait
}

// Histories of claims, give-ups and reads by several sessions, through random faults of the
// stewards, are such as one table of holders could have had. That table has no sessions, so
// they are renewed, and none may end: a claim that is refused for the end of its session is
// refused a duty that may be free.
func TestClaimsLinearizable(t *testing.T) {
	for seed := range 5 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := newSeededRand(t, uint64(seed)+2000)
			f := newCluster(t, 3)
			all := f.client(f.names...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			names := []string{"claim.a", "claim.b", "claim.c", "claim.d", "claim.e", "claim.f"}
			for _, name := range names {
				f.waitUntil(name+" is defined", func() bool { return all.DefineTask(ctx, name, control.TaskDefinition{TTLMs: 600_000}) == nil })
			}
			renewing, stopRenewing := context.WithCancel(context.Background())
			defer stopRenewing()
			processes, ids := []string{"p-0", "p-1", "p-2"}, []string{"id-0", "id-1", "id-2"}
			for n, process := range processes {
				// It has no room, so that nothing is granted to it but what it claims.
				f.waitUntil(process+" has a session", func() bool {
					return all.OpenSession(ctx, catalog.Session{Process: process, ID: ids[n]}) == nil
				})
				waitRenewers := f.renewSession(renewing, process, ids[n])
				defer waitRenewers()
				defer stopRenewing()
			}
			time.Sleep(sessionExpiryWait) // whatever is not renewed has been closed by now
			f.waitUntil("there is a leader, as at the set-up", func() bool {
				_, err := all.Task(ctx, names[0])
				return err == nil
			})
			var mu sync.Mutex
			var history []porcupine.Operation
			kinds := map[string]int{}
			sessionsOver := 0 // calls that were refused as their session was over
			began := time.Now()
			var clients sync.WaitGroup
			for n, process := range processes {
				id := ids[n]
				rng := rand.New(rand.NewPCG(uint64(seed), uint64(n)))
				// again has one call in four come a second time, at another steward and behind or
				// before what was said since: like one whose answer was lost, it may count or not.
				again := func(in claimInput, at time.Duration, call func(*control.Client, context.Context)) {
					mu.Lock()
					enough := kinds["again"] >= 10 // each is one that the judge has to try both ways
					mu.Unlock()
					if enough || rng.IntN(4) > 0 {
						return
					}
					c, late := control.NewClient([]string{f.servers[f.names[rng.IntN(3)]].http}, 1500*time.Millisecond), time.Duration(rng.IntN(150))*time.Millisecond
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: n, Input: in, Output: claimOutput{unknownOutcome: true}, Call: int64(at), Return: math.MaxInt64})
					kinds["again"]++
					mu.Unlock()
					clients.Add(1)
					go func() {
						defer clients.Done()
						time.Sleep(late)
						call(c, context.Background())
					}()
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					fences := map[string]int64{}
					for ctx.Err() == nil {
						c := control.NewClient([]string{f.servers[f.names[rng.IntN(3)]].http}, 1500*time.Millisecond)
						in := claimInput{task: names[rng.IntN(len(names))], kind: []string{"claim", "give up", "read"}[rng.IntN(3)], session: id}
						in.fence = fences[in.task]
						if in.kind == "give up" && in.fence == 0 {
							continue
						}
						call, done := context.WithTimeout(context.Background(), 1500*time.Millisecond)
						at := time.Since(began)
						var out claimOutput
						var err error
						switch in.kind {
						case "claim":
							again(in, at, func(c *control.Client, ctx context.Context) { _, _ = c.ClaimTask(ctx, in.task, process, id) })
							var r catalog.Result
							if r, err = c.ClaimTask(call, in.task, process, id); err == nil {
								out = claimOutput{ok: true, fence: r.Fence}
								fences[in.task] = r.Fence
							}
						case "give up":
							tie := catalog.TermRef{Name: in.task, Process: process, Session: id, Fence: in.fence}
							again(in, at, func(c *control.Client, ctx context.Context) { _ = c.ReleaseTerm(ctx, tie) })
							if err = c.ReleaseTerm(call, tie); err == nil {
								out.ok = true
							}
						default:
							var d catalog.LeasedTask
							if d, err = c.Task(call, in.task); err == nil {
								out = claimOutput{ok: true, session: d.Session, fence: d.Fence}
							}
						}
						done()
						ret := int64(time.Since(began))
						var refused *control.HTTPError
						switch {
						case err == nil:
						case errors.As(err, &refused) && refused.Status/100 == 4:
						case in.kind == "read" || errors.As(err, &refused) && refused.NotApplied:
							time.Sleep(10 * time.Millisecond)
							continue
						default:
							out.unknownOutcome, ret = true, math.MaxInt64
						}
						mu.Lock()
						history = append(history, porcupine.Operation{ClientId: n, Input: in, Output: out, Call: int64(at), Return: ret})
						kinds[fmt.Sprint(in.kind, out.ok)]++
						if refused != nil && refused.Status == http.StatusNotFound {
							sessionsOver++
						}
						mu.Unlock()
						time.Sleep(time.Duration(5+rng.IntN(10)) * time.Millisecond)
					}
				}()
			}
			for range 4 {
				time.Sleep(time.Duration(150+rng.IntN(300)) * time.Millisecond)
				injectServerFault(t, f, rng)
			}
			cancel()
			clients.Wait()
			if kinds["claimtrue"] < 10 || kinds["claimfalse"] < 10 || kinds["give uptrue"] < 5 || kinds["readtrue"] < 10 || kinds["again"] < 5 {
				t.Errorf("too little was done to tell: %v", kinds)
			}
			if sessionsOver > 0 {
				t.Errorf("%d calls were refused as their session was over, though it was renewed", sessionsOver)
			}
			sort.SliceStable(history, func(i, j int) bool { return history[i].Call < history[j].Call })
			switch res, _ := porcupine.CheckOperationsVerbose(claimModel.ToModel(), history, waitTimeout); res {
			case porcupine.Illegal:
				t.Errorf("%d operations that no table of holders could have answered so", len(history))
			case porcupine.Unknown:
				t.Errorf("%d operations were not judged in time", len(history))
			}
		})
	}
}
