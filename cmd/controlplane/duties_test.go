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

func monotonic() time.Duration {
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

// crew is workers, with a link from each to each steward.
type crew struct {
	f     *fleet
	acts  *check.Acts
	place string // where they land
	names []string
	procs map[string]*process.Process
	links map[string][]*link.Link
}

func (f *fleet) crew(n int, most int, rates ...float64) *crew {
	f.t.Helper()
	acts := check.NewActs()
	place := httptest.NewServer(acts)
	f.t.Cleanup(place.Close)
	c := &crew{f: f, acts: acts, place: place.Listener.Addr().String(), procs: map[string]*process.Process{}, links: map[string][]*link.Link{}}
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
				text, _ := os.ReadFile(c.procs[name].Log)
				f.t.Logf("%s:\n%s", name, text[max(0, len(text)-5000):])
			}
		}
	})
	return c
}

func (c *crew) add(name string, most int, rate float64) {
	c.f.t.Helper()
	var at []string
	for _, st := range c.f.names {
		l, err := link.New(c.f.addrs.IP()+":0", c.f.all[st].http, 1)
		if err != nil {
			c.f.t.Fatal(err)
		}
		c.links[name] = append(c.links[name], l)
		at = append(at, l.Addr())
	}
	exe, err := os.Executable()
	if err != nil {
		c.f.t.Fatal(err)
	}
	c.names = append(c.names, name)
	c.procs[name] = c.f.sup.Add(process.Spec{Name: name, Path: exe, Log: filepath.Join(c.f.dir, name+".log"),
		Env: []string{"WORKER_CHILD=1", "WORKER_NAME=" + name, "WORKER_AT=" + strings.Join(at, ","), fmt.Sprint("WORKER_CAP=", most),
			fmt.Sprint("WORKER_RATE=", rate), "WORKER_RESOURCE=" + c.place}})
	c.start(name)
}

func (c *crew) start(name string) {
	c.f.t.Helper()
	if err := c.procs[name].Start(); err != nil {
		c.f.t.Fatal(err)
	}
}

func (c *crew) kill(name string) {
	ended := c.procs[name].Ended()
	c.procs[name].Kill()
	<-ended
}

func (c *crew) signal(name string, sig syscall.Signal) {
	c.f.t.Helper()
	if err := c.procs[name].Signal(sig); err != nil {
		c.f.t.Fatal(err)
	}
}

// cut shapes the links of a worker to all stewards.
func (c *crew) cut(name string, out, in bool) {
	c.f.t.Helper()
	for _, l := range c.links[name] {
		if err := l.Set(link.Shape{Cut: out}, link.Shape{Cut: in}); err != nil {
			c.f.t.Fatal(err)
		}
	}
}

func (c *crew) define(name string, ttl time.Duration) {
	c.f.t.Helper()
	c.f.until(name+" is defined", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		return c.f.client(c.f.names...).DefineTask(ctx, name, control.TaskDefinition{TTLMs: ttl.Milliseconds()}) == nil
	})
}

// acted waits until somebody but one acts under a duty, later than the time given.
func (c *crew) acted(name, not string, after time.Duration) check.Act {
	c.f.t.Helper()
	var a check.Act
	c.f.until(fmt.Sprintf("%s is done by another than %q", name, not), func() bool {
		a = c.acts.Last(name)
		return a.Process != "" && a.Process != not && a.Mono > after
	})
	return a
}

// held holds that nothing overlapped.
func (c *crew) held() {
	c.f.t.Helper()
	if broke := c.acts.Judge().Broke; len(broke) > 0 {
		c.f.t.Errorf("%d overlaps: %s", len(broke), strings.Join(broke[:min(len(broke), 3)], "; "))
	}
}

func (c *crew) order(name, word, to string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	return c.f.client(c.f.names...).CommandTask(ctx, name, word, to, "")
}

const workTTL = 1500 * time.Millisecond

// A duty goes on at another process whatever happens to its holder, one term at a time:
// killed, stopped for half, once and three times its time and woken, cut off from the
// stewards but not from where it acts, cut one way, ended in order, moved, revoked; and
// whatever happens to the stewards meanwhile. Clocks are 5 % off.
func TestDutyHandedOver(t *testing.T) {
	f := newFleet(t, 3)
	c := f.crew(3, 10, 0.95, 1, 1.05)
	c.define("work.a", workTTL)
	holder := func() string {
		// Long enough with one holder for its end not to be blamed on the duty.
		since := map[int64]time.Duration{}
		var a check.Act
		f.until("a holder stays", func() bool {
			a = c.acts.Last("work.a")
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
			time.Sleep(workTTL / 2)
			c.signal(w, syscall.SIGCONT)
			return func() {}
		}, true},
		{"stopped for its time", func(w string) func() {
			c.signal(w, syscall.SIGSTOP)
			time.Sleep(workTTL)
			c.signal(w, syscall.SIGCONT)
			return func() {}
		}, true},
		{"stopped for three times its time", func(w string) func() {
			c.signal(w, syscall.SIGSTOP)
			time.Sleep(3 * workTTL)
			c.signal(w, syscall.SIGCONT)
			return func() {}
		}, false},
		{"cut off from the stewards", func(w string) func() { c.cut(w, true, true); return func() { c.cut(w, false, false) } }, false},
		{"heard, and hears nothing", func(w string) func() { c.cut(w, false, true); return func() { c.cut(w, false, false) } }, true},
		{"hears, and isn't heard", func(w string) func() { c.cut(w, true, false); return func() { c.cut(w, false, false) } }, false},
		{"ended in order", func(w string) func() {
			ended := c.procs[w].Ended()
			c.signal(w, syscall.SIGTERM)
			<-ended
			return func() { c.start(w) }
		}, false},
		{"the leader killed", func(string) func() { lead := f.leader(); f.kill(lead); return func() { f.start(lead) } }, true},
		{"all stewards restarted", func(string) func() {
			for _, name := range f.names {
				f.kill(name)
			}
			for _, name := range f.names {
				f.start(name)
			}
			f.leader()
			return func() {}
		}, true},
		{"revoked", func(string) func() { _ = c.order("work.a", "revoke", ""); return func() {} }, true},
		{"moved", func(string) func() {
			f.until("it is to be moved", func() bool { return c.order("work.a", "move", "") == nil })
			return func() {}
		}, false},
		{"the holder's steward gone, another near", func(w string) func() {
			_ = c.links[w][0].Refuse()
			return func() { _ = c.links[w][0].Set(link.Shape{}, link.Shape{}); _ = c.links[w][0].Target(link.Open) }
		}, true},
	} {
		w := holder()
		began := monotonic()
		refused := c.acts.Judge().Refused
		undo := round.do(w)
		not := w
		if round.same {
			not = ""
		}
		a := c.acted("work.a", not, max(monotonic(), began))
		t.Logf("%s: %s, then %s under %d after %v", round.what, w, a.Process, a.Fence, (a.Mono - began).Round(time.Millisecond))
		// The one before has time to act, if it still would.
		c.acted("work.a", not, a.Mono+300*time.Millisecond)
		// Only one that stood still may have acted too late, once: what runs stops by its own clock.
		if n := c.acts.Judge().Refused - refused; n > 0 && !strings.HasPrefix(round.what, "stopped") {
			t.Errorf("%s: %d acts were refused by their fence: it went on beyond its time", round.what, n)
		}
		undo()
		c.held()
	}
	d, err := f.client(f.names...).Task(context.Background(), "work.a")
	if err != nil || len(d.History) < 5 || d.History[len(d.History)-1].Reason == "" {
		t.Errorf("its past: %+v, %v", d.History, err)
	}
}

// A planned hand-over leaves a short gap and never an overlap; a duty that is moved to a
// process which doesn't answer stays where it is; two processes of one name are told so; a
// duty that fails is backed off, and one that kills its holders is parked.
func TestDutyMoves(t *testing.T) {
	f := newFleet(t, 3)
	c := f.crew(3, 10)
	c.define("work.a", workTTL)
	a := c.acted("work.a", "", 0)
	for i := range 10 {
		var to string
		for _, name := range c.names {
			if name != a.Process && (i%2 == 0 || to == "") {
				to = name
			}
		}
		from := a.Process
		if err := c.order("work.a", "move", to); err != nil {
			t.Fatal(err)
		}
		next := c.acted("work.a", from, 0)
		if next.Process != to {
			t.Errorf("it was to go to %s and went to %s", to, next.Process)
		}
		a = next
	}
	t.Logf("gaps of planned moves: %v", c.acts.Judge().Gaps)
	c.held()

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
		if err := c.order("work.a", "move", deaf); err != nil {
			t.Fatal(err)
		}
		f.until("the move is given up", func() bool {
			d, err := f.client(f.names...).Task(context.Background(), "work.a")
			return err == nil && d.Successor == "" && d.Holder == a.Process
		})
		if still := c.acted("work.a", "", monotonic()); still.Process != a.Process || still.Fence != a.Fence {
			t.Errorf("held by %s under %d, then by %s under %d", a.Process, a.Fence, still.Process, still.Fence)
		}
		does.end()
	}

	// A second process of a name waits until the first has gone.
	twin := f.sup.Add(c.procs[a.Process].Spec)
	twin.Log = filepath.Join(f.dir, "twin.log")
	if err := twin.Start(); err != nil {
		t.Fatal(err)
	}
	f.until("the second of the name is told so", func() bool {
		text, _ := os.ReadFile(twin.Log)
		return strings.Contains(string(text), "another process is called so")
	})
	c.kill(a.Process)
	twin.Kill()
	c.acted("work.a", a.Process, monotonic())
	c.start(a.Process)

	c.define("fail.a", workTTL)
	f.until("it failed at several processes and waits", func() bool {
		d, err := f.client(f.names...).Task(context.Background(), "fail.a")
		where := map[string]bool{}
		for _, p := range d.History {
			where[p.Process] = p.Reason == catalog.ReasonFailed
		}
		return err == nil && d.Failures >= 3 && d.NotBefore > 0 && len(where) >= 2
	})
	c.define("kill.a", workTTL)
	f.until("it is parked", func() bool {
		for _, name := range c.names { // somebody starts what has ended
			if !c.procs[name].Runs() {
				_ = c.procs[name].Start()
			}
		}
		d, err := f.client(f.names...).Task(context.Background(), "kill.a")
		return err == nil && d.SuspendReason != "" && d.Holder == ""
	})
	c.acted("work.a", "", monotonic()) // what was held beside it goes on
	c.held()
}

// Many duties are spread evenly, and again when a process comes or goes.
func TestDutiesSpread(t *testing.T) {
	const n = 300
	f := newFleet(t, 3)
	c := f.crew(3, 1000)
	for i := range n {
		c.define(fmt.Sprint("idle.", i), 3*time.Second)
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
	f.until("spread over three", even(3))
	began := time.Now()
	c.kill("w-2")
	f.until("spread over two", even(2))
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
	f.until("spread over three again", even(3))
	t.Logf("spread again %v after the death of a holder of a third", took)
}

// Whatever is killed, stopped, cut, moved and revoked at random, among workers and stewards,
// no two processes believe to hold a duty at one time, and fences never fall where acts
// land. DUTY_SEEDS is how many schedules are played.
func TestDutySchedules(t *testing.T) {
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
		schedules(t, seeds, func(v check.Verdict) { mu.Lock(); defer mu.Unlock(); terms += v.Terms; refused += v.Refused })
	})
}

// fault does one thing to one worker or steward, and ends it.
func (c *crew) fault(rng *rand.Rand) {
	w := c.names[rng.IntN(len(c.names))]
	lasts := time.Duration(300+rng.IntN(2200)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		fault(c.f.t, c.f, rng)
	case 2:
		c.kill(w)
		time.Sleep(lasts / 3)
		c.start(w)
	case 3, 4:
		c.signal(w, syscall.SIGSTOP)
		time.Sleep(lasts)
		c.signal(w, syscall.SIGCONT)
	case 5:
		c.cut(w, rng.IntN(2) == 0, true)
		time.Sleep(lasts)
		c.cut(w, false, false)
	case 6:
		_ = c.order(fmt.Sprint("work.", rng.IntN(4)), []string{"move", "revoke"}[rng.IntN(2)], "")
	case 7:
		ended := c.procs[w].Ended()
		c.signal(w, syscall.SIGTERM)
		<-ended
		c.start(w)
	}
}

func schedules(t *testing.T, seeds int, played func(check.Verdict)) {
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := seeded(t, uint64(seed)+1000)
			f := newFleet(t, 3)
			c := f.crew(3, 10, 0.95, 1.05, 1)
			for i := range 4 {
				c.define(fmt.Sprint("work.", i), time.Second)
			}
			for i := range 4 {
				c.acted(fmt.Sprint("work.", i), "", 0)
			}
			for range 8 {
				c.fault(rng)
				time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			}
			for i := range 4 { // one of them may have been blamed for the ends of its holders
				name := fmt.Sprint("work.", i)
				f.until(name+" is not parked", func() bool { return c.order(name, "unpark", "") == nil })
			}
			now := monotonic()
			for i := range 4 {
				c.acted(fmt.Sprint("work.", i), "", now)
			}
			c.held()
			v := c.acts.Judge()
			played(v)
			t.Logf("%d terms, %d acts refused by their fence, nobody for %.0f %% of the time", v.Terms, v.Refused, 100*float64(v.Idle)/float64(v.All))
		})
	}
}

// A leader that was stopped and wakes finds renewals that came meanwhile, and may think that
// it still leads: it answers none for a session that is over by the next leader's word.
func TestWakesToRenewals(t *testing.T) {
	f := newFleet(t, 3)
	for round := range 4 {
		name, id := fmt.Sprint("p-", round), fmt.Sprint("id-", round)
		ctx, cancel := context.WithTimeout(context.Background(), soon)
		if err := f.client(f.names...).OpenSession(ctx, catalog.Session{Process: name, ID: id}); err != nil {
			t.Fatal(err)
		}
		old := f.leader()
		if err := f.all[old].proc.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		f.until("the session is over", func() bool {
			err := f.client(f.others(old)...).EndSession(ctx, name, id, false)
			return err == nil || errors.Is(err, leaderelection.ErrSessionExpired)
		})
		answers := f.heldBack(old, 40, func(ctx context.Context, c *control.Client) bool {
			_, err := c.RenewSession(ctx, name, id, 0)
			return err == nil
		})
		if err := f.all[old].proc.Signal(syscall.SIGCONT); err != nil {
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
type claimIn struct {
	duty, kind, session string // kind: "claim", "give up" or "read"
	fence               int64
}

type claimOut struct {
	ok, lost bool
	session  string
	fence    int64
}

// tenure is who holds a duty; fence 0 is not known yet, above low.
type tenure struct {
	session    string
	fence, low int64
}

func (s tenure) is(session string, fence int64) bool {
	return s.session == session && (s.fence == fence || s.fence == 0 && fence > s.low)
}

var claims = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimIn).duty
			by[key] = append(by[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{tenure{}} },
	Step: func(state, in, out any) []any {
		s, i, o := state.(tenure), in.(claimIn), out.(claimOut)
		granted := tenure{i.session, o.fence, o.fence}
		switch {
		case i.kind == "read" && o.session == "":
			if s.session == "" {
				return []any{s}
			}
		case i.kind == "read":
			if s.is(o.session, o.fence) {
				return []any{tenure{o.session, o.fence, o.fence}}
			}
		case i.kind == "claim" && o.lost:
			if s.session == "" {
				return []any{s, tenure{i.session, 0, s.low}}
			}
			return []any{s}
		case i.kind == "claim" && o.ok:
			if s.session == "" && o.fence > s.low || s.is(i.session, o.fence) {
				return []any{granted}
			}
		case i.kind == "claim":
			if s.session != "" && s.session != i.session {
				return []any{s}
			}
		case o.lost:
			if s.is(i.session, i.fence) {
				return []any{s, tenure{"", 0, i.fence}}
			}
			return []any{s}
		case o.ok:
			if s.is(i.session, i.fence) {
				return []any{tenure{"", 0, i.fence}}
			}
		case s.fence == 0 || !s.is(i.session, i.fence):
			return []any{s}
		}
		return nil
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

const (
	renewInterval = 200 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	// beyondSession is longer than a session is kept that holds nothing and is not renewed.
	beyondSession = 4 * time.Second
)

// renewSession renews a session at each steward until the context ends. A steward that hangs
// delays only its own renewals; one that fails is made up for by the next.
func (f *fleet) renewSession(ctx context.Context, process, id string) (wait func()) {
	var renewers sync.WaitGroup
	for _, name := range f.names {
		client := control.NewClient([]string{f.all[name].http}, renewTimeout)
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
			rng := seeded(t, uint64(seed)+2000)
			f := newFleet(t, 3)
			all := f.client(f.names...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			names := []string{"claim.a", "claim.b", "claim.c", "claim.d", "claim.e", "claim.f"}
			for _, name := range names {
				f.until(name+" is defined", func() bool { return all.DefineTask(ctx, name, control.TaskDefinition{TTLMs: 600_000}) == nil })
			}
			renewing, stopRenewing := context.WithCancel(context.Background())
			defer stopRenewing()
			processes, ids := []string{"p-0", "p-1", "p-2"}, []string{"id-0", "id-1", "id-2"}
			for n, process := range processes {
				// It has no room, so that nothing is granted to it but what it claims.
				f.until(process+" has a session", func() bool {
					return all.OpenSession(ctx, catalog.Session{Process: process, ID: ids[n]}) == nil
				})
				waitRenewers := f.renewSession(renewing, process, ids[n])
				defer waitRenewers()
				defer stopRenewing()
			}
			time.Sleep(beyondSession) // whatever is not renewed has been closed by now
			f.until("there is a leader, as at the set-up", func() bool {
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
				again := func(in claimIn, at time.Duration, call func(*control.Client, context.Context)) {
					mu.Lock()
					enough := kinds["again"] >= 10 // each is one that the judge has to try both ways
					mu.Unlock()
					if enough || rng.IntN(4) > 0 {
						return
					}
					c, late := control.NewClient([]string{f.all[f.names[rng.IntN(3)]].http}, 1500*time.Millisecond), time.Duration(rng.IntN(150))*time.Millisecond
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: n, Input: in, Output: claimOut{lost: true}, Call: int64(at), Return: math.MaxInt64})
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
						c := control.NewClient([]string{f.all[f.names[rng.IntN(3)]].http}, 1500*time.Millisecond)
						in := claimIn{duty: names[rng.IntN(len(names))], kind: []string{"claim", "give up", "read"}[rng.IntN(3)], session: id}
						in.fence = fences[in.duty]
						if in.kind == "give up" && in.fence == 0 {
							continue
						}
						call, done := context.WithTimeout(context.Background(), 1500*time.Millisecond)
						at := time.Since(began)
						var out claimOut
						var err error
						switch in.kind {
						case "claim":
							again(in, at, func(c *control.Client, ctx context.Context) { _, _ = c.ClaimTask(ctx, in.duty, process, id) })
							var r catalog.Result
							if r, err = c.ClaimTask(call, in.duty, process, id); err == nil {
								out = claimOut{ok: true, fence: r.Fence}
								fences[in.duty] = r.Fence
							}
						case "give up":
							tie := catalog.TermRef{Name: in.duty, Process: process, Session: id, Fence: in.fence}
							again(in, at, func(c *control.Client, ctx context.Context) { _ = c.ReleaseTerm(ctx, tie) })
							if err = c.ReleaseTerm(call, tie); err == nil {
								out.ok = true
							}
						default:
							var d catalog.LeasedTask
							if d, err = c.Task(call, in.duty); err == nil {
								out = claimOut{ok: true, session: d.Session, fence: d.Fence}
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
							out.lost, ret = true, math.MaxInt64
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
				fault(t, f, rng)
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
			switch res, _ := porcupine.CheckOperationsVerbose(claims.ToModel(), history, soon); res {
			case porcupine.Illegal:
				t.Errorf("%d operations that no table of holders could have answered so", len(history))
			case porcupine.Unknown:
				t.Errorf("%d operations were not judged in time", len(history))
			}
		})
	}
}
