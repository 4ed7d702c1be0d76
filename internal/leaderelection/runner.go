package leaderelection

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/catalog"
)

// AssignmentUpdate is what the service says a session is to do.
type AssignmentUpdate struct {
	Revision    int64                `json:"rev"`
	Assignments []catalog.Assignment `json:"tasks"` // nil: as at the revision that is known
}

// Service is the stewards, as a holder needs them.
type Service interface {
	OpenSession(ctx context.Context, s catalog.Session) error
	// RenewSession says that the process is there. The answer is one of a leader that was
	// the leader when it came.
	RenewSession(ctx context.Context, process, id string, rev int64) (AssignmentUpdate, error)
	// WatchSession waits a while for a later revision than the one known.
	WatchSession(ctx context.Context, process, id string, rev int64) (AssignmentUpdate, error)
	EndSession(ctx context.Context, process, id string, rest bool) error
	ReportTerms(ctx context.Context, kind catalog.Kind, ties []catalog.TermRef, why string) error
}

// The errors of a service that a holder has to tell apart.
var (
	ErrSessionExpired = errors.New("the session is over")
	ErrNameTaken      = errors.New("another process has the name")
)

// Clock is time as a process sees it: what passed since some beginning, steps of the
// machine's clock not seen, and a wait.
type Clock interface {
	Now() time.Duration
	After(d time.Duration) (<-chan time.Time, func() bool)
}

type realClock struct{ began time.Time }

func (c realClock) Now() time.Duration { return time.Since(c.began) }

func (c realClock) After(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}

// Function does a duty until its context ends. Its acts carry the fence; before each it
// looks whether the context has ended, which looks at the clock.
type Function func(ctx context.Context, name string, fence int64) error

// Config is a holder.
type Config struct {
	Process      string // a name that no other process has
	Zone         string
	MaxTasks     int                 // duties at once
	Functions    map[string]Function // by the first part of duties' names, up to a dot
	Service      Service
	Log          *slog.Logger
	Clock        Clock                   // nil: the machine's
	OnOverdue    func(name string)       // hears of a function that does not return, once a term; may be nil
	OnTransition func(name, what string) // hears of each start and end; may be nil
}

const (
	callWait    = 2 * time.Second // for an answer to a call
	returnWait  = time.Second     // for a function to return
	leaveWait   = 10 * time.Second
	firstRetry  = 50 * time.Millisecond
	longRetry   = time.Second
	mostPerCall = 256
)

// Runner runs the functions of the duties that are this process's.
type Runner struct {
	c     Config
	clock Clock
	log   *slog.Logger

	mu    sync.Mutex
	id    string
	keep  *Participant
	live  map[string]*live
	out   map[outKey][]catalog.TermRef // give-ups and acceptances to be told
	poke  chan struct{}                // the keeper wants to be told the time
	tell  chan struct{}                // there is something to be told
	woken chan struct{}                // the session is to be renewed at once
	owned sync.WaitGroup
	over  atomic.Int64
}

type outKey struct {
	kind catalog.Kind
	why  string
}

// live is one term whose function runs.
type live struct {
	name   string
	fence  int64
	cancel context.CancelFunc
	until  atomic.Int64
	clock  Clock
}

// NewRunner makes a runner.
func NewRunner(c Config) *Runner {
	if c.Clock == nil {
		c.Clock = realClock{time.Now()}
	}
	return &Runner{c: c, clock: c.Clock, log: c.Log, live: map[string]*live{}, out: map[outKey][]catalog.TermRef{}, keep: NewParticipant(),
		poke: make(chan struct{}, 1), tell: make(chan struct{}, 1), woken: make(chan struct{}, 1)}
}

// Active is how many functions run.
func (r *Runner) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keep.Active()
}

// Overdue is how many functions did not return in time.
func (r *Runner) Overdue() int64 { return r.over.Load() }

// termContext ends with its term, by the clock and not only once somebody has run who says
// so: a process that stood still looks at the clock before it does anything.
type termContext struct {
	context.Context
	l *live
}

func (c termContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if c.l.clock.Now() >= time.Duration(c.l.until.Load()) {
		c.l.cancel()
		return context.DeadlineExceeded
	}
	return nil
}

// Run takes part until the context ends; then the duties are handed over, and it returns
// when all functions have.
func (r *Runner) Run(ctx context.Context) {
	calls, stop := context.WithCancel(context.Background())
	defer stop()
	r.own(func() { r.tick(calls) })
	r.own(func() { r.send(calls) })
	for ctx.Err() == nil {
		if err := r.session(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("the session of duties is over", "err", err)
		}
		if ctx.Err() != nil {
			break // what is held is handed over
		}
		r.do(func(k *Participant) []Action { return k.SessionExpired() })
		// Functions of the old session return first: a new one must not run beside them.
		for r.Active() > 0 && ctx.Err() == nil {
			r.sleep(ctx, firstRetry)
		}
	}
	r.leave()
	stop()
	r.owned.Wait()
}

func (r *Runner) own(f func()) {
	r.owned.Add(1)
	go func() {
		defer r.owned.Done()
		f()
	}()
}

func (r *Runner) sleep(ctx context.Context, d time.Duration) {
	t, stop := r.clock.After(d)
	defer stop()
	select {
	case <-t:
	case <-ctx.Done():
	}
}

// do has the keeper decide, and carries out what it wants.
func (r *Runner) do(decide func(k *Participant) []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range decide(r.keep) {
		r.act(a)
	}
	for _, l := range r.live {
		l.until.Store(int64(r.keep.ValidUntil(l.name)))
	}
	notify(r.poke)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// act carries out one act. The caller holds the lock.
func (r *Runner) act(a Action) {
	tie := catalog.TermRef{Name: a.Name, Process: r.c.Process, Session: r.id, Fence: a.Fence}
	switch a.Kind {
	case Start:
		r.start(a)
	case Cancel:
		if l := r.live[a.Name]; l != nil && l.fence == a.Fence {
			l.cancel()
			time.AfterFunc(returnWait, func() { r.overdue(l) })
		}
	case Release:
		r.queue(outKey{catalog.ReleaseTerm, a.Reason}, tie)
	case Accept:
		r.queue(outKey{catalog.AcceptTransfer, ""}, tie)
	}
}

func (r *Runner) queue(key outKey, t catalog.TermRef) {
	if len(r.out[key]) < catalog.MaxTasks { // the rest is asked for again by the keeper
		r.out[key] = append(r.out[key], t)
	}
	notify(r.tell)
}

func (r *Runner) start(a Action) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &live{name: a.Name, fence: a.Fence, cancel: cancel, clock: r.clock}
	l.until.Store(int64(r.keep.ValidUntil(a.Name)))
	r.live[a.Name] = l
	r.changed(a.Name, "held")
	r.log.Info("duty held", "duty", a.Name, "fence", a.Fence)
	r.own(func() {
		defer cancel()
		err := r.call(termContext{ctx, l}, l)
		lost := ctx.Err() != nil
		r.do(func(k *Participant) []Action {
			if r.live[l.name] == l {
				delete(r.live, l.name)
			}
			return k.FunctionReturned(r.clock.Now(), l.name, l.fence, err != nil && !lost)
		})
		r.changed(l.name, "over")
		r.log.Info("duty over", "duty", l.name, "fence", l.fence, "taken_away", lost, "err", err)
	})
}

func (r *Runner) changed(name, what string) {
	if r.c.OnTransition != nil {
		r.c.OnTransition(name, what)
	}
}

// call runs a function; one that panics has failed.
func (r *Runner) call(ctx context.Context, l *live) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	kind, _, _ := strings.Cut(l.name, ".")
	f := r.c.Functions[kind]
	if f == nil {
		return errors.New("this process has no function for it")
	}
	return f(ctx, l.name, l.fence)
}

// overdue counts a function that has not returned though its context ended: its acts are
// refused by their fence.
func (r *Runner) overdue(l *live) {
	r.mu.Lock()
	still := r.live[l.name] == l
	r.mu.Unlock()
	if !still {
		return
	}
	r.over.Add(1)
	r.log.Error("a duty's function does not return", "duty", l.name, "fence", l.fence)
	if r.c.OnOverdue != nil {
		r.c.OnOverdue(l.name)
	}
}

// tick tells the keeper the time whenever a term may be over.
func (r *Runner) tick(ctx context.Context) {
	for {
		var next time.Duration
		some := false
		r.do(func(k *Participant) (acts []Action) {
			acts, next, some = k.Tick(r.clock.Now())
			return acts
		})
		select { // what it has just decided needs no second look
		case <-r.poke:
		default:
		}
		wait := time.Hour
		if some {
			// Most of the way: a wait may be longer than it was to be.
			wait = max((next-r.clock.Now())*9/10, 0) + time.Millisecond
		}
		t, stop := r.clock.After(wait)
		select {
		case <-t:
		case <-r.poke:
		case <-ctx.Done():
			stop()
			return
		}
		stop()
	}
}

// session opens a session and keeps it until it is over.
func (r *Runner) session(ctx context.Context) error {
	id := rand.Text()
	r.mu.Lock()
	r.id, r.keep = id, NewParticipant()
	clear(r.out)
	r.mu.Unlock()
	var kinds []string
	for k := range r.c.Functions {
		kinds = append(kinds, k)
	}
	retry := firstRetry
	for {
		err := r.timed(ctx, func(ctx context.Context) error {
			return r.c.Service.OpenSession(ctx, catalog.Session{Process: r.c.Process, ID: id, Zone: r.c.Zone, MaxTasks: r.c.MaxTasks, TaskKinds: kinds})
		})
		if err == nil {
			break
		}
		if errors.Is(err, ErrNameTaken) && retry < longRetry {
			r.log.Warn("another process is called so: waiting until its time is over", "process", r.c.Process)
		}
		if r.sleep(ctx, retry); ctx.Err() != nil {
			return ctx.Err()
		}
		retry = min(2*retry, longRetry)
	}
	both, stop := context.WithCancel(ctx)
	defer stop()
	var watching sync.WaitGroup
	defer watching.Wait()
	defer stop()
	watching.Add(1)
	go func() {
		defer watching.Done()
		r.watch(both, id)
	}()
	return r.renew(both, id)
}

func (r *Runner) timed(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	return call(ctx)
}

// renew renews the session until it is over.
func (r *Runner) renew(ctx context.Context, id string) error {
	retry := firstRetry
	for ctx.Err() == nil {
		r.mu.Lock()
		rev, every := r.keep.Revision(), r.keep.RenewInterval()
		r.mu.Unlock()
		sent := r.clock.Now()
		var t AssignmentUpdate
		err := r.timed(ctx, func(ctx context.Context) (err error) {
			// An answer that comes so late is worth little: sooner another steward is asked.
			ctx, cancel := context.WithTimeout(ctx, max(every, 100*time.Millisecond))
			defer cancel()
			t, err = r.c.Service.RenewSession(ctx, r.c.Process, id, rev)
			return err
		})
		wait := every
		switch {
		case err == nil:
			retry = firstRetry
			r.do(func(k *Participant) []Action { return k.Renewed(r.clock.Now(), sent, t.Revision, t.Assignments) })
		case errors.Is(err, ErrSessionExpired), errors.Is(err, ErrNameTaken):
			return err
		default:
			wait, retry = retry, min(2*retry, every)
		}
		t2, stop := r.clock.After(wait)
		select {
		case <-t2:
		case <-r.woken:
		case <-ctx.Done():
		}
		stop()
	}
	return ctx.Err()
}

// watch hears at once what changes.
func (r *Runner) watch(ctx context.Context, id string) {
	retry := firstRetry
	for ctx.Err() == nil {
		r.mu.Lock()
		rev := r.keep.Revision()
		r.mu.Unlock()
		t, err := r.c.Service.WatchSession(ctx, r.c.Process, id, rev)
		if err != nil {
			r.sleep(ctx, retry)
			retry = min(2*retry, longRetry)
			continue
		}
		retry = firstRetry
		fresh := false
		r.do(func(k *Participant) []Action {
			fresh = !k.some
			return k.Update(r.clock.Now(), t.Revision, t.Assignments)
		})
		if fresh {
			notify(r.woken)
		}
	}
}

// send tells the service what is given up and accepted, all that waits in one call.
func (r *Runner) send(ctx context.Context) {
	for {
		select {
		case <-r.tell:
		case <-ctx.Done():
			return
		}
		for retry := firstRetry; ctx.Err() == nil; {
			key, ties := r.batch()
			if len(ties) == 0 {
				break
			}
			err := r.timed(ctx, func(ctx context.Context) error { return r.c.Service.ReportTerms(ctx, key.kind, ties, key.why) })
			if err != nil {
				// What was not told is asked for again with the next answer to a renewal; a give-up
				// is worth another try, as somebody may be waiting for it.
				r.mu.Lock()
				if key.kind == catalog.ReleaseTerm && len(r.out[key]) < catalog.MaxTasks {
					r.out[key] = append(r.out[key], ties...)
				}
				r.mu.Unlock()
				r.sleep(ctx, retry)
				retry = min(2*retry, longRetry)
			}
		}
	}
}

func (r *Runner) batch() (outKey, []catalog.TermRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, ties := range r.out {
		n := min(len(ties), mostPerCall)
		part := ties[:n:n]
		if r.out[key] = ties[n:]; n == len(ties) {
			delete(r.out, key)
		}
		if n > 0 {
			return key, part
		}
	}
	return outKey{}, nil
}

// leave hands over what is held and closes the session.
func (r *Runner) leave() {
	r.mu.Lock()
	id := r.id
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveWait)
	defer cancel()
	if r.Active() > 0 && r.timed(ctx, func(ctx context.Context) error { return r.c.Service.EndSession(ctx, r.c.Process, id, true) }) == nil {
		// The session goes on meanwhile: what is held is still held until each is handed over.
		both, stop := context.WithCancel(ctx)
		var beside sync.WaitGroup
		beside.Add(2)
		go func() { defer beside.Done(); _ = r.renew(both, id) }()
		go func() { defer beside.Done(); r.watch(both, id) }()
		for end := r.clock.Now() + leaveWait/2; r.Active() > 0 && r.clock.Now() < end; {
			r.sleep(ctx, 10*time.Millisecond)
		}
		stop()
		beside.Wait()
	}
	r.do(func(k *Participant) []Action { return k.SessionExpired() })
	for r.Active() > 0 && ctx.Err() == nil {
		r.sleep(ctx, 10*time.Millisecond)
	}
	if r.Active() == 0 { // else its time has to run out: its functions have not returned
		_ = r.timed(ctx, func(ctx context.Context) error { return r.c.Service.EndSession(ctx, r.c.Process, id, false) })
	}
}
