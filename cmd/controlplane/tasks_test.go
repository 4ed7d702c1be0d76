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

func (cluster *testCluster) startWorkers(n int, maxTasks int, rates ...float64) *workerGroup {
	cluster.t.Helper()
	operations := check.NewActs()
	recorder := httptest.NewServer(operations)
	cluster.t.Cleanup(recorder.Close)
	workers := &workerGroup{cluster: cluster, operations: operations, operationsAddr: recorder.Listener.Addr().String(), processes: map[string]*process.Process{}, links: map[string][]*link.Link{}}
	for i := range n {
		rate := 1.0
		if len(rates) > 0 {
			rate = rates[i%len(rates)]
		}
		workers.add(fmt.Sprint("w-", i+1), maxTasks, rate)
	}
	cluster.t.Cleanup(func() {
		for _, links := range workers.links {
			for _, l := range links {
				l.Close()
			}
		}
		for _, name := range workers.names {
			if cluster.t.Failed() {
				text, _ := os.ReadFile(workers.processes[name].Log)
				cluster.t.Logf("%s:\n%s", name, text[max(0, len(text)-5000):])
			}
		}
	})
	return workers
}

func (workers *workerGroup) add(name string, maxTasks int, rate float64) {
	workers.cluster.t.Helper()
	var at []string
	for _, status := range workers.cluster.names {
		l, err := link.New(workers.cluster.addrs.IP()+":0", workers.cluster.servers[status].http, 1)
		if err != nil {
			workers.cluster.t.Fatal(err)
		}
		workers.links[name] = append(workers.links[name], l)
		at = append(at, l.Addr())
	}
	exe, err := os.Executable()
	if err != nil {
		workers.cluster.t.Fatal(err)
	}
	workers.names = append(workers.names, name)
	workers.processes[name] = workers.cluster.supervisor.Add(process.Spec{Name: name, Path: exe, Log: filepath.Join(workers.cluster.dir, name+".log"),
		Env: []string{"WORKER_CHILD=1", "WORKER_NAME=" + name, "WORKER_AT=" + strings.Join(at, ","), fmt.Sprint("WORKER_CAP=", maxTasks),
			fmt.Sprint("WORKER_RATE=", rate), "WORKER_RESOURCE=" + workers.operationsAddr}})
	workers.start(name)
}

func (workers *workerGroup) start(name string) {
	workers.cluster.t.Helper()
	if err := workers.processes[name].Start(); err != nil {
		workers.cluster.t.Fatal(err)
	}
}

func (workers *workerGroup) kill(name string) {
	ended := workers.processes[name].Ended()
	workers.processes[name].Kill()
	<-ended
}

func (workers *workerGroup) signal(name string, sig syscall.Signal) {
	workers.cluster.t.Helper()
	if err := workers.processes[name].Signal(sig); err != nil {
		workers.cluster.t.Fatal(err)
	}
}

// cutLinks shapes the links of a worker to all stewards.
func (workers *workerGroup) cutLinks(name string, out, in bool) {
	workers.cluster.t.Helper()
	for _, l := range workers.links[name] {
		if err := l.Set(link.Shape{Cut: out}, link.Shape{Cut: in}); err != nil {
			workers.cluster.t.Fatal(err)
		}
	}
}

func (workers *workerGroup) defineTask(name string, ttl time.Duration) {
	workers.cluster.t.Helper()
	workers.cluster.waitUntil(name+" is defined", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		return workers.cluster.client(workers.cluster.names...).DefineTask(ctx, name, control.TaskDefinition{TTLMs: ttl.Milliseconds()}) == nil
	})
}

// waitForOperation waits until somebody but one acts under a duty, later than the time given.
func (workers *workerGroup) waitForOperation(name, exceptProcess string, after time.Duration) check.Act {
	workers.cluster.t.Helper()
	var operation check.Act
	workers.cluster.waitUntil(fmt.Sprintf("%s is done by another than %q", name, exceptProcess), func() bool {
		operation = workers.operations.Last(name)
		return operation.Process != "" && operation.Process != exceptProcess && operation.Mono > after
	})
	return operation
}

// requireNoOverlap holds that nothing overlapped.
func (workers *workerGroup) requireNoOverlap() {
	workers.cluster.t.Helper()
	if overlaps := workers.operations.Judge().Broke; len(overlaps) > 0 {
		workers.cluster.t.Errorf("%d overlaps: %s", len(overlaps), strings.Join(overlaps[:min(len(overlaps), 3)], "; "))
	}
}

func (workers *workerGroup) commandTask(name, command, to string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	return workers.cluster.client(workers.cluster.names...).CommandTask(ctx, name, command, to, "")
}

const taskTTL = 1500 * time.Millisecond

// A duty goes on at another process whatever happens to its holder, one term at a time:
// killed, stopped for half, once and three times its time and woken, cut off from the
// stewards but not from where it acts, cut one way, ended in order, moved, revoked; and
// whatever happens to the stewards meanwhile. Clocks are 5 % off.
func TestTaskFailsOverUnderEachFault(t *testing.T) {
	cluster := newCluster(t, 3)
	workers := cluster.startWorkers(3, 10, 0.95, 1, 1.05)
	workers.defineTask("work.a", taskTTL)
	stableHolder := func() string {
		// Long enough with one holder for its end not to be blamed on the duty.
		since := map[int64]time.Duration{}
		var operation check.Act
		cluster.waitUntil("a holder stays", func() bool {
			operation = workers.operations.Last("work.a")
			if since[operation.Fence] == 0 {
				since[operation.Fence] = operation.Mono
			}
			return operation.Mono-since[operation.Fence] > 2500*time.Millisecond
		})
		return operation.Process
	}
	for _, round := range []struct {
		what string
		do   func(w string) (undo func())
		same bool // it may stay where it is
	}{
		{"killed", func(w string) func() { workers.kill(w); return func() { workers.start(w) } }, false},
		{"stopped for half its time", func(w string) func() {
			workers.signal(w, syscall.SIGSTOP)
			time.Sleep(taskTTL / 2)
			workers.signal(w, syscall.SIGCONT)
			return func() {}
		}, true},
		{"stopped for its time", func(w string) func() {
			workers.signal(w, syscall.SIGSTOP)
			time.Sleep(taskTTL)
			workers.signal(w, syscall.SIGCONT)
			return func() {}
		}, true},
		{"stopped for three times its time", func(w string) func() {
			workers.signal(w, syscall.SIGSTOP)
			time.Sleep(3 * taskTTL)
			workers.signal(w, syscall.SIGCONT)
			return func() {}
		}, false},
		{"cut off from the stewards", func(w string) func() {
			workers.cutLinks(w, true, true)
			return func() { workers.cutLinks(w, false, false) }
		}, false},
		{"heard, and hears nothing", func(w string) func() {
			workers.cutLinks(w, false, true)
			return func() { workers.cutLinks(w, false, false) }
		}, true},
		{"hears, and isn't heard", func(w string) func() {
			workers.cutLinks(w, true, false)
			return func() { workers.cutLinks(w, false, false) }
		}, false},
		{"ended in order", func(w string) func() {
			ended := workers.processes[w].Ended()
			workers.signal(w, syscall.SIGTERM)
			<-ended
			return func() { workers.start(w) }
		}, false},
		{"the leader killed", func(string) func() {
			lead := cluster.waitForLeader()
			cluster.kill(lead)
			return func() { cluster.start(lead) }
		}, true},
		{"all stewards restarted", func(string) func() {
			for _, name := range cluster.names {
				cluster.kill(name)
			}
			for _, name := range cluster.names {
				cluster.start(name)
			}
			cluster.waitForLeader()
			return func() {}
		}, true},
		{"revoked", func(string) func() { _ = workers.commandTask("work.a", "revoke", ""); return func() {} }, true},
		{"moved", func(string) func() {
			cluster.waitUntil("it is to be moved", func() bool { return workers.commandTask("work.a", "move", "") == nil })
			return func() {}
		}, false},
		{"the holder's steward gone, another near", func(w string) func() {
			_ = workers.links[w][0].Refuse()
			return func() {
				_ = workers.links[w][0].Set(link.Shape{}, link.Shape{})
				_ = workers.links[w][0].Target(link.Open)
			}
		}, true},
	} {
		w := stableHolder()
		began := monotonicNow()
		refused := workers.operations.Judge().Refused
		undo := round.do(w)
		exceptProcess := w
		if round.same {
			exceptProcess = ""
		}
		operation := workers.waitForOperation("work.a", exceptProcess, max(monotonicNow(), began))
		t.Logf("%s: %s, then %s under %d after %v", round.what, w, operation.Process, operation.Fence, (operation.Mono - began).Round(time.Millisecond))
		// The one before has time to act, if it still would.
		workers.waitForOperation("work.a", exceptProcess, operation.Mono+300*time.Millisecond)
		// Only one that stood still may have acted too late, once: what runs stops by its own clock.
		if n := workers.operations.Judge().Refused - refused; n > 0 && !strings.HasPrefix(round.what, "stopped") {
			t.Errorf("%s: %d acts were refused by their fence: it went on beyond its time", round.what, n)
		}
		undo()
		workers.requireNoOverlap()
	}
	d, err := cluster.client(cluster.names...).Task(context.Background(), "work.a")
	if err != nil || len(d.History) < 5 || d.History[len(d.History)-1].Reason == "" {
		t.Errorf("its past: %+v, %v", d.History, err)
	}
}

// A planned hand-over leaves a short gap and never an overlap; a duty that is moved to a
// process which doesn't answer stays where it is; two processes of one name are told so; a
// duty that fails is backed off, and one that kills its holders is parked.
func TestTaskMovesBackoffAndSuspension(t *testing.T) {
	cluster := newCluster(t, 3)
	workers := cluster.startWorkers(3, 10)
	workers.defineTask("work.a", taskTTL)
	operation := workers.waitForOperation("work.a", "", 0)
	for i := range 10 {
		var to string
		for _, name := range workers.names {
			if name != operation.Process && (i%2 == 0 || to == "") {
				to = name
			}
		}
		from := operation.Process
		if err := workers.commandTask("work.a", "move", to); err != nil {
			t.Fatal(err)
		}
		next := workers.waitForOperation("work.a", from, 0)
		if next.Process != to {
			t.Errorf("it was to go to %s and went to %s", to, next.Process)
		}
		operation = next
	}
	t.Logf("gaps of planned moves: %v", workers.operations.Judge().Gaps)
	workers.requireNoOverlap()

	// One that stands still, or has just died, is not ready: what is moved to it stays.
	unready := workers.names[0]
	if unready == operation.Process {
		unready = workers.names[1]
	}
	for _, fault := range []struct{ begin, end func() }{
		{func() { workers.signal(unready, syscall.SIGSTOP) }, func() { workers.signal(unready, syscall.SIGCONT) }},
		{func() { workers.kill(unready) }, func() { workers.start(unready) }},
	} {
		fault.begin()
		if err := workers.commandTask("work.a", "move", unready); err != nil {
			t.Fatal(err)
		}
		cluster.waitUntil("the move is given up", func() bool {
			d, err := cluster.client(cluster.names...).Task(context.Background(), "work.a")
			return err == nil && d.Successor == "" && d.Holder == operation.Process
		})
		if still := workers.waitForOperation("work.a", "", monotonicNow()); still.Process != operation.Process || still.Fence != operation.Fence {
			t.Errorf("held by %s under %d, then by %s under %d", operation.Process, operation.Fence, still.Process, still.Fence)
		}
		fault.end()
	}

	// A second process of a name waits until the first has gone.
	twin := cluster.supervisor.Add(workers.processes[operation.Process].Spec)
	twin.Log = filepath.Join(cluster.dir, "twin.log")
	if err := twin.Start(); err != nil {
		t.Fatal(err)
	}
	cluster.waitUntil("the second of the name is told so", func() bool {
		text, _ := os.ReadFile(twin.Log)
		return strings.Contains(string(text), "another process is called so")
	})
	workers.kill(operation.Process)
	twin.Kill()
	workers.waitForOperation("work.a", operation.Process, monotonicNow())
	workers.start(operation.Process)

	workers.defineTask("fail.a", taskTTL)
	cluster.waitUntil("it failed at several processes and waits", func() bool {
		d, err := cluster.client(cluster.names...).Task(context.Background(), "fail.a")
		where := map[string]bool{}
		for _, p := range d.History {
			where[p.Process] = p.Reason == catalog.ReasonFailed
		}
		return err == nil && d.Failures >= 3 && d.NotBefore > 0 && len(where) >= 2
	})
	workers.defineTask("kill.a", taskTTL)
	cluster.waitUntil("it is parked", func() bool {
		for _, name := range workers.names { // somebody starts what has ended
			if !workers.processes[name].Runs() {
				_ = workers.processes[name].Start()
			}
		}
		d, err := cluster.client(cluster.names...).Task(context.Background(), "kill.a")
		return err == nil && d.SuspendReason != "" && d.Holder == ""
	})
	workers.waitForOperation("work.a", "", monotonicNow()) // what was held beside it goes on
	workers.requireNoOverlap()
}

// Many duties are spread evenly, and again when a process comes or goes.
func TestTasksAreBalanced(t *testing.T) {
	const n = 300
	cluster := newCluster(t, 3)
	workers := cluster.startWorkers(3, 1000)
	for i := range n {
		workers.defineTask(fmt.Sprint("idle.", i), 3*time.Second)
	}
	counts := func() (by map[string]int, free int) {
		by = map[string]int{}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		all, err := cluster.client(cluster.names...).Tasks(ctx)
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
	cluster.waitUntil("spread over three", even(3))
	began := time.Now()
	workers.kill("w-2")
	cluster.waitUntil("spread over two", even(2))
	took := time.Since(began)
	before, err := cluster.client(cluster.names...).Tasks(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second) // at rest, nothing changes hands
	after, err := cluster.client(cluster.names...).Tasks(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for i := range after {
		if after[i].Fence != before[i].Fence {
			t.Errorf("%s changed hands for nothing", after[i].Name)
		}
	}
	workers.add("w-4", 1000, 1)
	t.Cleanup(func() {
		if t.Failed() {
			by, free := counts()
			t.Logf("held by %v, %d free", by, free)
		}
	})
	cluster.waitUntil("spread over three again", even(3))
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
func (workers *workerGroup) injectFault(rng *rand.Rand) {
	worker := workers.names[rng.IntN(len(workers.names))]
	duration := time.Duration(300+rng.IntN(2200)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		injectServerFault(workers.cluster.t, workers.cluster, rng)
	case 2:
		workers.kill(worker)
		time.Sleep(duration / 3)
		workers.start(worker)
	case 3, 4:
		workers.signal(worker, syscall.SIGSTOP)
		time.Sleep(duration)
		workers.signal(worker, syscall.SIGCONT)
	case 5:
		workers.cutLinks(worker, rng.IntN(2) == 0, true)
		time.Sleep(duration)
		workers.cutLinks(worker, false, false)
	case 6:
		_ = workers.commandTask(fmt.Sprint("work.", rng.IntN(4)), []string{"move", "revoke"}[rng.IntN(2)], "")
	case 7:
		ended := workers.processes[worker].Ended()
		workers.signal(worker, syscall.SIGTERM)
		<-ended
		workers.start(worker)
	}
}

func runFaultSchedules(t *testing.T, seeds int, collect func(check.Verdict)) {
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := newSeededRand(t, uint64(seed)+1000)
			cluster := newCluster(t, 3)
			workers := cluster.startWorkers(3, 10, 0.95, 1.05, 1)
			for i := range 4 {
				workers.defineTask(fmt.Sprint("work.", i), time.Second)
			}
			for i := range 4 {
				workers.waitForOperation(fmt.Sprint("work.", i), "", 0)
			}
			for range 8 {
				workers.injectFault(rng)
				time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			}
			for i := range 4 { // one of them may have been blamed for the ends of its holders
				name := fmt.Sprint("work.", i)
				cluster.waitUntil(name+" is not parked", func() bool { return workers.commandTask(name, "unpark", "") == nil })
			}
			now := monotonicNow()
			for i := range 4 {
				workers.waitForOperation(fmt.Sprint("work.", i), "", now)
			}
			workers.requireNoOverlap()
			result := workers.operations.Judge()
			collect(result)
			t.Logf("%d terms, %d acts refused by their fence, nobody for %.0f %% of the time", result.Terms, result.Refused, 100*float64(result.Idle)/float64(result.All))
		})
	}
}

// A leader that was stopped and wakes finds renewals that came meanwhile, and may think that
// it still leads: it answers none for a session that is over by the next leader's word.
func TestResumedLeaderAnswersNoRenewalOfEndedSession(t *testing.T) {
	cluster := newCluster(t, 3)
	for round := range 4 {
		name, id := fmt.Sprint("p-", round), fmt.Sprint("id-", round)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		if err := cluster.client(cluster.names...).OpenSession(ctx, catalog.Session{Process: name, ID: id}); err != nil {
			t.Fatal(err)
		}
		oldLeader := cluster.waitForLeader()
		if err := cluster.servers[oldLeader].proc.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		cluster.waitUntil("the session is over", func() bool {
			err := cluster.client(cluster.others(oldLeader)...).EndSession(ctx, name, id, false)
			return err == nil || errors.Is(err, leaderelection.ErrSessionExpired)
		})
		answers := cluster.sendWhileStopped(oldLeader, 40, func(ctx context.Context, c *control.Client) bool {
			_, err := c.RenewSession(ctx, name, id, 0)
			return err == nil
		})
		if err := cluster.servers[oldLeader].proc.Signal(syscall.SIGCONT); err != nil {
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
func (cluster *testCluster) renewSession(ctx context.Context, process, id string) (wait func()) {
	var renewers sync.WaitGroup
	for _, name := range cluster.names {
		client := control.NewClient([]string{cluster.servers[name].http}, renewTimeout)
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
			cluster := newCluster(t, 3)
			all := cluster.client(cluster.names...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			names := []string{"claim.a", "claim.b", "claim.c", "claim.d", "claim.e", "claim.f"}
			for _, name := range names {
				cluster.waitUntil(name+" is defined", func() bool { return all.DefineTask(ctx, name, control.TaskDefinition{TTLMs: 600_000}) == nil })
			}
			renewing, stopRenewing := context.WithCancel(context.Background())
			defer stopRenewing()
			processes, ids := []string{"p-0", "p-1", "p-2"}, []string{"id-0", "id-1", "id-2"}
			for n, process := range processes {
				// It has no room, so that nothing is granted to it but what it claims.
				cluster.waitUntil(process+" has a session", func() bool {
					return all.OpenSession(ctx, catalog.Session{Process: process, ID: ids[n]}) == nil
				})
				waitRenewers := cluster.renewSession(renewing, process, ids[n])
				defer waitRenewers()
				defer stopRenewing()
			}
			time.Sleep(sessionExpiryWait) // whatever is not renewed has been closed by now
			cluster.waitUntil("there is a leader, as at the set-up", func() bool {
				_, err := all.Task(ctx, names[0])
				return err == nil
			})
			var mu sync.Mutex
			var history []porcupine.Operation
			kinds := map[string]int{}
			endedSessions := 0 // calls that were refused as their session was over
			began := time.Now()
			var clients sync.WaitGroup
			for n, process := range processes {
				id := ids[n]
				rng := rand.New(rand.NewPCG(uint64(seed), uint64(n)))
				// again has one call in four come a second time, at another steward and behind or
				// before what was said since: like one whose answer was lost, it may count or not.
				repeatCall := func(in claimInput, at time.Duration, call func(*control.Client, context.Context)) {
					mu.Lock()
					enough := kinds["again"] >= 10 // each is one that the judge has to try both ways
					mu.Unlock()
					if enough || rng.IntN(4) > 0 {
						return
					}
					c, delay := control.NewClient([]string{cluster.servers[cluster.names[rng.IntN(3)]].http}, 1500*time.Millisecond), time.Duration(rng.IntN(150))*time.Millisecond
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: n, Input: in, Output: claimOutput{unknownOutcome: true}, Call: int64(at), Return: math.MaxInt64})
					kinds["again"]++
					mu.Unlock()
					clients.Add(1)
					go func() {
						defer clients.Done()
						time.Sleep(delay)
						call(c, context.Background())
					}()
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					fences := map[string]int64{}
					for ctx.Err() == nil {
						c := control.NewClient([]string{cluster.servers[cluster.names[rng.IntN(3)]].http}, 1500*time.Millisecond)
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
							repeatCall(in, at, func(c *control.Client, ctx context.Context) { _, _ = c.ClaimTask(ctx, in.task, process, id) })
							var r catalog.Result
							if r, err = c.ClaimTask(call, in.task, process, id); err == nil {
								out = claimOutput{ok: true, fence: r.Fence}
								fences[in.task] = r.Fence
							}
						case "give up":
							term := catalog.TermRef{Name: in.task, Process: process, Session: id, Fence: in.fence}
							repeatCall(in, at, func(c *control.Client, ctx context.Context) { _ = c.ReleaseTerm(ctx, term) })
							if err = c.ReleaseTerm(call, term); err == nil {
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
							endedSessions++
						}
						mu.Unlock()
						time.Sleep(time.Duration(5+rng.IntN(10)) * time.Millisecond)
					}
				}()
			}
			for range 4 {
				time.Sleep(time.Duration(150+rng.IntN(300)) * time.Millisecond)
				injectServerFault(t, cluster, rng)
			}
			cancel()
			clients.Wait()
			if kinds["claimtrue"] < 10 || kinds["claimfalse"] < 10 || kinds["give uptrue"] < 5 || kinds["readtrue"] < 10 || kinds["again"] < 5 {
				t.Errorf("too little was done to tell: %v", kinds)
			}
			if endedSessions > 0 {
				t.Errorf("%d calls were refused as their session was over, though it was renewed", endedSessions)
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
