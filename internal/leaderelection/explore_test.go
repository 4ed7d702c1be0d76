package leaderelection

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
)

// world is two claimants of one duty, a leader, and a resource, in steps of model time. It
// has one pause, one message that is lost or late, one change of leaders and clocks of
// different rates; each of them anywhere, over all plays together.
type world struct {
	faults
	knobs
	state   *catalog.State
	lead    *leader
	old     *leader // deposed, and doesn't know it
	oldEnds int
	hold    [2]*holder
	queue   []message
	sent    int // messages of renewals so far
	highest int64
	broke   string
	handed  int // terms that began
}

type faults struct {
	pauseWho, pauseAt, pauseFor int // -1: none
	spoilt, spoil               int // which renewal message, and by how much it is late; -1: lost
	change                      int // -1: none
	rateA, rateB, rateL         float64
	lateAct                     int  // by how much each act of the first holder comes late
	move                        int  // when an operator moves the duty; -1: never
	deaf                        bool // the first holder hears of its tasks by renewals only
	lag                         int  // steps that a message takes, and a decision until it is in the log
}

// knobs take the mechanisms out, one at a time.
type knobs struct {
	noMargin, noFence, noWait, noVerify bool
}

const (
	step    = 50 * time.Millisecond
	modTTL  = 2 * time.Second
	horizon = 130 // steps
	coarse  = 10
)

type leader struct {
	t    *catalog.TaskLeases
	base time.Duration
	from int
	rate float64
	due  []catalog.Command // decided, and not in the log yet
}

func (l *leader) now(at int) time.Duration {
	return l.base + time.Duration(float64(at-l.from)*float64(step)*l.rate)
}

type holder struct {
	name, id string
	k        *Participant
	rate     float64
	next     time.Duration // of renewals
	running  int64         // fence; 0: none
	inbox    []message
}

func (h *holder) now(at int) time.Duration {
	return time.Duration(float64(at) * float64(step) * h.rate)
}

type message struct {
	due  int
	to   int // 0, 1: a holder; 2: the leader, 3: a leader that was deposed, 4: the resource
	from int
	kind string
	sent time.Duration
	rev  int64
	list []catalog.Assignment
	ties []catalog.TermRef
	why  string
}

func newWorld(f faults, k knobs) *world {
	w := &world{faults: f, knobs: k, state: catalog.New(), oldEnds: -1}
	w.lead = &leader{rate: f.rateL}
	w.apply(0, catalog.Command{Kind: catalog.DefineTask, LeasedTask: &catalog.LeasedTask{Name: "d", TTL: modTTL}})
	for i := range w.hold {
		h := &holder{name: string(rune('a' + i)), id: fmt.Sprint("id-", i), k: NewParticipant(), rate: []float64{f.rateA, f.rateB}[i]}
		if k.noMargin {
			h.k.margin = func(time.Duration) time.Duration { return 0 }
		}
		w.hold[i] = h
		w.apply(0, catalog.Command{Kind: catalog.OpenSession, Session: &catalog.Session{Process: h.name, ID: h.id, MaxTasks: 1}})
	}
	// The sessions are an hour old when the play begins.
	w.lead.base = time.Hour
	w.lead.t = catalog.NewTaskLeases(w.lead.base)
	w.apply(0, catalog.Command{Kind: catalog.RaiseRevision})
	return w
}

func (w *world) apply(at int, c catalog.Command) {
	c.FormatVersion, c.At = catalog.FormatVersion, w.lead.now(at)
	w.state.Apply(&c)
}

func (w *world) post(m message) { w.queue = append(w.queue, m) }

// play runs the world to its end and tells what was broken.
func (w *world) play() string {
	for at := 0; at < horizon && w.broke == ""; at++ {
		w.leaders(at)
		for i := 0; i < len(w.queue); i++ { // in the order of their sending
			if m := w.queue[i]; m.due <= at {
				w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
				i--
				w.arrive(at, m)
			}
		}
		for i, h := range w.hold {
			if i == w.pauseWho && at >= w.pauseAt && at < w.pauseAt+w.pauseFor {
				continue
			}
			for _, m := range h.inbox {
				w.heard(at, i, m)
			}
			h.inbox = nil
			if list, rev, ok := w.state.Assignments(h.name, h.id); ok && rev > h.k.Revision() && (i > 0 || !w.deaf) { // by the watch of its tasks
				w.post(message{due: at + w.lag, to: i, kind: "told", rev: rev, list: list})
			}
			acts, _, _ := h.k.Tick(h.now(at))
			w.do(at, i, acts)
			if now := h.now(at); now >= h.next {
				h.next = now + h.k.RenewInterval()
				w.renew(at, i)
			}
		}
		w.check(at)
	}
	return w.broke
}

func (w *world) leaders(at int) {
	if at == w.change {
		w.old, w.oldEnds = w.lead, at+50
		w.lead = nil
	}
	if w.change >= 0 && at == w.change+3 {
		w.lead = &leader{base: w.state.Clock, from: at, rate: w.rateL}
		began := w.state.Clock
		if w.noWait {
			began -= modTTL + 100*time.Millisecond
		}
		w.lead.t = catalog.NewTaskLeases(began)
	}
	if at == w.oldEnds {
		w.old = nil
	}
	if w.lead == nil {
		return
	}
	due := w.lead.due
	w.lead.due = nil
	for _, c := range due { // what was decided a step ago is in the log now
		w.apply(at, c)
	}
	if at%8 == 0 {
		w.apply(at, catalog.Command{Kind: catalog.RaiseRevision}) // other commands carry the time too
	}
	if at == w.move {
		for _, h := range w.hold {
			if d := w.state.LeasedTasks["d"]; d.Holder != "" && d.Holder != h.name {
				w.apply(at, catalog.Command{Kind: catalog.TransferTask, Terms: []catalog.TermRef{{Name: "d", Process: h.name}}})
				break
			}
		}
	}
	w.lead.due = w.lead.t.Decide(w.state, w.lead.now(at))
	if w.lag == 0 {
		for _, c := range w.lead.due {
			w.apply(at, c)
		}
		w.lead.due = nil
	}
}

// renew sends a renewal; the spoilt one is lost or late, on its way there.
func (w *world) renew(at, i int) {
	m := message{due: at + w.lag, to: 2, from: i, kind: "renew", sent: w.hold[i].now(at), rev: w.hold[i].k.Revision()}
	if w.old != nil && i == 0 {
		m.to = 3 // the first still speaks to the one that was deposed
	}
	w.spoiled(m)
}

func (w *world) spoiled(m message) {
	w.sent++
	if w.sent == w.spoilt {
		if w.spoil < 0 {
			return
		}
		m.due += w.spoil
	}
	w.post(m)
}

func (w *world) arrive(at int, m message) {
	switch m.to {
	case 0, 1:
		w.hold[m.to].inbox = append(w.hold[m.to].inbox, m)
	case 4:
		fence := m.rev
		if fence < w.highest && !w.noFence {
			return // refused
		}
		if fence < w.highest {
			w.broke = fmt.Sprintf("step %d: the resource took an act under fence %d after one under %d", at, fence, w.highest)
		}
		w.highest = max(w.highest, fence)
	default:
		l := w.lead
		if m.to == 3 {
			if l = w.old; !w.noVerify {
				return // it can't show that it leads, so it promises nothing
			}
		}
		if l == nil {
			return
		}
		h := w.hold[m.from]
		if m.kind != "renew" {
			if m.to == 2 {
				w.apply(at, catalog.Command{Kind: catalog.Kind(m.kind), Terms: m.ties, Reason: m.why})
			}
			return
		}
		if l.t.Renew(w.state, h.name, h.id, l.now(at)) != catalog.Done {
			return
		}
		list, rev, _ := w.state.Assignments(h.name, h.id)
		w.spoiled(message{due: at + w.lag, to: m.from, kind: "renewed", sent: m.sent, rev: rev, list: list})
	}
}

func (w *world) heard(at, i int, m message) {
	h := w.hold[i]
	if m.kind == "told" {
		w.do(at, i, h.k.Update(h.now(at), m.rev, m.list))
		return
	}
	w.do(at, i, h.k.Renewed(h.now(at), m.sent, m.rev, m.list))
}

func (w *world) do(at, i int, acts []Action) {
	h := w.hold[i]
	for _, a := range acts {
		tie := catalog.TermRef{Name: a.Name, Process: h.name, Session: h.id, Fence: a.Fence}
		switch a.Kind {
		case Start:
			h.running = a.Fence
			w.handed++
		case Cancel:
			if h.running == a.Fence {
				h.running = 0
				w.do(at, i, h.k.FunctionReturned(h.now(at), a.Name, a.Fence, false))
			}
		case Release:
			w.post(message{due: at + w.lag, to: 2, from: i, kind: string(catalog.ReleaseTerm), ties: []catalog.TermRef{tie}, why: a.Reason})
		case Accept:
			w.post(message{due: at + w.lag, to: 2, from: i, kind: string(catalog.AcceptTransfer), ties: []catalog.TermRef{tie}})
		}
	}
}

// check looks who believes to hold the duty, within its own time; each of them acts.
func (w *world) check(at int) {
	believers := 0
	for i, h := range w.hold {
		if h.running == 0 || h.now(at) >= h.k.ValidUntil("d") {
			continue
		}
		believers++
		due := at + w.lag
		if i == 0 {
			due += w.lateAct
		}
		w.post(message{due: due, to: 4, rev: h.running})
	}
	if believers > 1 {
		w.broke = fmt.Sprintf("step %d: two believe to hold it, under fences %d and %d", at, w.hold[0].running, w.hold[1].running)
	}
}

// explore plays all combinations, and returns the first that breaks something.
func explore(k knobs, stride int) (plays, terms int, broke string) {
	var all []faults
	none := faults{pauseWho: -1, spoilt: -1, change: -1, move: -1, rateA: 1, rateB: 1, rateL: 1}
	clocks := [][3]float64{{0.95, 1, 1.05}, {1, 1, 1}, {1, 0.95, 1.05}, {1.05, 0.95, 0.95}}
	if stride == coarse {
		clocks = clocks[:2]
	}
	for _, rates := range clocks {
		var pauses, changes, losses []faults
		pauses = append(pauses, none)
		for who := range 2 {
			for at := 2; at < 60; at += stride {
				for _, length := range []int{8, 38, 46, 90} {
					f := none
					f.pauseWho, f.pauseAt, f.pauseFor = who, at, length
					pauses = append(pauses, f)
				}
			}
		}
		changes = append(changes, none)
		for at := 4; at < 46; at += stride {
			f := none
			f.change = at
			changes = append(changes, f)
		}
		losses = append(losses, none)
		for n := 3; n < 40; n += stride {
			for _, by := range []int{-1, 6, 36} {
				f := none
				f.spoilt, f.spoil = n, by
				losses = append(losses, f)
			}
		}
		for _, p := range pauses {
			for _, c := range changes {
				for _, l := range losses {
					f := p
					f.change, f.spoilt, f.spoil = c.change, l.spoilt, l.spoil
					f.rateA, f.rateB, f.rateL = rates[0], rates[1], rates[2]
					f.lateAct = 45
					f.deaf = (f.pauseAt/2+f.spoilt)%2 == 0
					f.lag = (f.pauseAt + f.change/2 + f.spoil) & 1
					if (f.pauseAt+f.change+f.spoilt)%2 == 0 {
						f.move = 40
					}
					all = append(all, f)
				}
			}
		}
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan []faults, 64)
	for range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for part := range next {
				for _, f := range part {
					w := newWorld(f, k)
					said := w.play()
					mu.Lock()
					plays, terms = plays+1, terms+w.handed
					if said != "" && broke == "" {
						broke = fmt.Sprintf("%s, with %+v", said, f)
					}
					stop := broke != ""
					mu.Unlock()
					if stop {
						break
					}
				}
			}
		}()
	}
	for len(all) > 0 {
		n := min(len(all), 200)
		next <- all[:n]
		all = all[n:]
		mu.Lock()
		stop := broke != ""
		mu.Unlock()
		if stop {
			break
		}
	}
	close(next)
	wait.Wait()
	return plays, terms, broke
}

// However a pause, a loss, a delay, a change of leaders and clocks that are 5 % off fall
// together, no two claimants believe to hold a duty within their own time, and a resource
// that keeps the highest fence takes no act of an older term. Without the margin, the
// fence, the new leader's wait or the proof of leadership, one at a time, they do. EXPLORE
// is how many steps lie between the times that are tried.
func TestExplore(t *testing.T) {
	stride := coarse
	if text := os.Getenv("EXPLORE"); text != "" {
		var err error
		if stride, err = strconv.Atoi(text); err != nil || stride < 1 {
			t.Fatalf("EXPLORE: no number of steps: %q", text)
		}
	}
	plays, terms, broke := explore(knobs{}, stride)
	if broke != "" {
		t.Fatalf("after %d plays: %s", plays, broke)
	}
	if 4*terms < 5*plays {
		t.Errorf("%d terms in %d plays: nothing changes hands", terms, plays)
	}
	t.Logf("%d plays, %d terms", plays, terms)
	for what, k := range map[string]knobs{"margin": {noMargin: true}, "fence": {noFence: true}, "new leader's wait": {noWait: true},
		"proof of leadership": {noVerify: true}} {
		plays, _, broke := explore(k, stride)
		if broke == "" {
			t.Errorf("without the %s nothing broke in %d plays", what, plays)
		} else {
			t.Logf("without the %s, after %d plays: %s", what, plays, broke)
		}
	}
}
