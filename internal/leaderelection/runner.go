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

type realClock struct{ startedAt time.Time }

func (c realClock) Now() time.Duration { return time.Since(c.startedAt) }

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
	callTimeout       = 2 * time.Second // for an answer to a call
	returnTimeout     = time.Second     // for a function to return
	shutdownTimeout   = 10 * time.Second
	minRetryDelay     = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	maxTermsPerReport = 256
)

// Runner runs the functions of the duties that are this process's.
type Runner struct {
	config Config
	clock  Clock
	log    *slog.Logger

	mu              sync.Mutex
	sessionID       string
	participant     *Participant
	running         map[string]*runningTerm
	pendingReports  map[reportKey][]catalog.TermRef // give-ups and acceptances to be told
	deadlineChanged chan struct{}                   // the keeper wants to be told the time
	reportQueued    chan struct{}                   // there is something to be told
	renewNow        chan struct{}                   // the session is to be renewed at once
	goroutines      sync.WaitGroup
	overdueCount    atomic.Int64
}

type reportKey struct {
	kind   catalog.Kind
	reason string
}

// runningTerm is one term whose function runs.
type runningTerm struct {
	name       string
	fence      int64
	cancel     context.CancelFunc
	validUntil atomic.Int64
	clock      Clock
}

// NewRunner makes a runner.
func NewRunner(c Config) *Runner {
	if c.Clock == nil {
		c.Clock = realClock{time.Now()}
	}
	return &Runner{config: c, clock: c.Clock, log: c.Log, running: map[string]*runningTerm{}, pendingReports: map[reportKey][]catalog.TermRef{}, participant: NewParticipant(),
		deadlineChanged: make(chan struct{}, 1), reportQueued: make(chan struct{}, 1), renewNow: make(chan struct{}, 1)}
}

// Active is how many functions run.
func (r *Runner) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.participant.Active()
}

// Overdue is how many functions did not return in time.
func (r *Runner) Overdue() int64 { return r.overdueCount.Load() }

// termContext ends with its term, by the clock and not only once somebody has run who says
// so: a process that stood still looks at the clock before it does anything.
type termContext struct {
	context.Context
	term *runningTerm
}

func (c termContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if c.term.clock.Now() >= time.Duration(c.term.validUntil.Load()) {
		c.term.cancel()
		return context.DeadlineExceeded
	}
	return nil
}

// Run takes part until the context ends; then the duties are handed over, and it returns
// when all functions have.
func (r *Runner) Run(ctx context.Context) {
	calls, stop := context.WithCancel(context.Background())
	defer stop()
	r.spawn(func() { r.enforceDeadlines(calls) })
	r.spawn(func() { r.sendReports(calls) })
	for ctx.Err() == nil {
		if err := r.runSession(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("the session of duties is over", "err", err)
		}
		if ctx.Err() != nil {
			break // what is held is handed over
		}
		r.withParticipant(func(k *Participant) []Action { return k.SessionExpired() })
		// Functions of the old session return first: a new one must not run beside them.
		for r.Active() > 0 && ctx.Err() == nil {
			r.sleep(ctx, minRetryDelay)
		}
	}
	r.shutDown()
	stop()
	r.goroutines.Wait()
}

func (r *Runner) spawn(f func()) {
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
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

// withParticipant has the keeper decide, and carries out what it wants.
func (r *Runner) withParticipant(decide func(k *Participant) []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range decide(r.participant) {
		r.perform(a)
	}
	for _, l := range r.running {
		l.validUntil.Store(int64(r.participant.ValidUntil(l.name)))
	}
	signal(r.deadlineChanged)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// perform carries out one perform. The caller holds the lock.
func (r *Runner) perform(a Action) {
	tie := catalog.TermRef{Name: a.Name, Process: r.config.Process, Session: r.sessionID, Fence: a.Fence}
	switch a.Kind {
	case Start:
		r.startTerm(a)
	case Cancel:
		if l := r.running[a.Name]; l != nil && l.fence == a.Fence {
			l.cancel()
			time.AfterFunc(returnTimeout, func() { r.reportOverdue(l) })
		}
	case Release:
		r.queueReport(reportKey{catalog.ReleaseTerm, a.Reason}, tie)
	case Accept:
		r.queueReport(reportKey{catalog.AcceptTransfer, ""}, tie)
	}
}

func (r *Runner) queueReport(key reportKey, t catalog.TermRef) {
	if len(r.pendingReports[key]) < catalog.MaxTasks { // the rest is asked for again by the keeper
		r.pendingReports[key] = append(r.pendingReports[key], t)
	}
	signal(r.reportQueued)
}

func (r *Runner) startTerm(a Action) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &runningTerm{name: a.Name, fence: a.Fence, cancel: cancel, clock: r.clock}
	l.validUntil.Store(int64(r.participant.ValidUntil(a.Name)))
	r.running[a.Name] = l
	r.notifyTransition(a.Name, "held")
	r.log.Info("duty held", "duty", a.Name, "fence", a.Fence)
	r.spawn(func() {
		defer cancel()
		err := r.callFunction(termContext{ctx, l}, l)
		lost := ctx.Err() != nil
		r.withParticipant(func(k *Participant) []Action {
			if r.running[l.name] == l {
				delete(r.running, l.name)
			}
			return k.FunctionReturned(r.clock.Now(), l.name, l.fence, err != nil && !lost)
		})
		r.notifyTransition(l.name, "over")
		r.log.Info("duty over", "duty", l.name, "fence", l.fence, "taken_away", lost, "err", err)
	})
}

func (r *Runner) notifyTransition(name, what string) {
	if r.config.OnTransition != nil {
		r.config.OnTransition(name, what)
	}
}

// callFunction runs a function; one that panics has failed.
func (r *Runner) callFunction(ctx context.Context, l *runningTerm) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	kind, _, _ := strings.Cut(l.name, ".")
	f := r.config.Functions[kind]
	if f == nil {
		return errors.New("this process has no function for it")
	}
	return f(ctx, l.name, l.fence)
}

// reportOverdue counts a function that has not returned though its context ended: its acts are
// refused by their fence.
func (r *Runner) reportOverdue(l *runningTerm) {
	r.mu.Lock()
	still := r.running[l.name] == l
	r.mu.Unlock()
	if !still {
		return
	}
	r.overdueCount.Add(1)
	r.log.Error("a duty's function does not return", "duty", l.name, "fence", l.fence)
	if r.config.OnOverdue != nil {
		r.config.OnOverdue(l.name)
	}
}

// enforceDeadlines tells the keeper the time whenever a term may be over.
func (r *Runner) enforceDeadlines(ctx context.Context) {
	for {
		var next time.Duration
		some := false
		r.withParticipant(func(k *Participant) (acts []Action) {
			acts, next, some = k.Tick(r.clock.Now())
			return acts
		})
		select { // what it has just decided needs no second look
		case <-r.deadlineChanged:
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
		case <-r.deadlineChanged:
		case <-ctx.Done():
			stop()
			return
		}
		stop()
	}
}

// runSession opens a runSession and keeps it until it is over.
func (r *Runner) runSession(ctx context.Context) error {
	id := rand.Text()
	r.mu.Lock()
	r.sessionID, r.participant = id, NewParticipant()
	clear(r.pendingReports)
	r.mu.Unlock()
	var kinds []string
	for k := range r.config.Functions {
		kinds = append(kinds, k)
	}
	retry := minRetryDelay
	for {
		err := r.callWithTimeout(ctx, func(ctx context.Context) error {
			return r.config.Service.OpenSession(ctx, catalog.Session{Process: r.config.Process, ID: id, Zone: r.config.Zone, MaxTasks: r.config.MaxTasks, TaskKinds: kinds})
		})
		if err == nil {
			break
		}
		if errors.Is(err, ErrNameTaken) && retry < maxRetryDelay {
			r.log.Warn("another process is called so: waiting until its time is over", "process", r.config.Process)
		}
		if r.sleep(ctx, retry); ctx.Err() != nil {
			return ctx.Err()
		}
		retry = min(2*retry, maxRetryDelay)
	}
	both, stop := context.WithCancel(ctx)
	defer stop()
	var watching sync.WaitGroup
	defer watching.Wait()
	defer stop()
	watching.Add(1)
	go func() {
		defer watching.Done()
		r.watchSession(both, id)
	}()
	return r.renewSession(both, id)
}

func (r *Runner) callWithTimeout(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

// renewSession renews the session until it is over.
func (r *Runner) renewSession(ctx context.Context, id string) error {
	retry := minRetryDelay
	for ctx.Err() == nil {
		r.mu.Lock()
		rev, every := r.participant.Revision(), r.participant.RenewInterval()
		r.mu.Unlock()
		sent := r.clock.Now()
		var t AssignmentUpdate
		err := r.callWithTimeout(ctx, func(ctx context.Context) (err error) {
			// An answer that comes so late is worth little: sooner another steward is asked.
			ctx, cancel := context.WithTimeout(ctx, max(every, 100*time.Millisecond))
			defer cancel()
			t, err = r.config.Service.RenewSession(ctx, r.config.Process, id, rev)
			return err
		})
		wait := every
		switch {
		case err == nil:
			retry = minRetryDelay
			r.withParticipant(func(k *Participant) []Action { return k.Renewed(r.clock.Now(), sent, t.Revision, t.Assignments) })
		case errors.Is(err, ErrSessionExpired), errors.Is(err, ErrNameTaken):
			return err
		default:
			wait, retry = retry, min(2*retry, every)
		}
		t2, stop := r.clock.After(wait)
		select {
		case <-t2:
		case <-r.renewNow:
		case <-ctx.Done():
		}
		stop()
	}
	return ctx.Err()
}

// watchSession hears at once what changes.
func (r *Runner) watchSession(ctx context.Context, id string) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		r.mu.Lock()
		rev := r.participant.Revision()
		r.mu.Unlock()
		t, err := r.config.Service.WatchSession(ctx, r.config.Process, id, rev)
		if err != nil {
			r.sleep(ctx, retry)
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		retry = minRetryDelay
		fresh := false
		r.withParticipant(func(k *Participant) []Action {
			fresh = !k.renewed
			return k.Update(r.clock.Now(), t.Revision, t.Assignments)
		})
		if fresh {
			signal(r.renewNow)
		}
	}
}

// sendReports tells the service what is given up and accepted, all that waits in one call.
func (r *Runner) sendReports(ctx context.Context) {
	for {
		select {
		case <-r.reportQueued:
		case <-ctx.Done():
			return
		}
		for retry := minRetryDelay; ctx.Err() == nil; {
			key, ties := r.nextReport()
			if len(ties) == 0 {
				break
			}
			err := r.callWithTimeout(ctx, func(ctx context.Context) error { return r.config.Service.ReportTerms(ctx, key.kind, ties, key.reason) })
			if err != nil {
				// What was not told is asked for again with the next answer to a renewal; a give-up
				// is worth another try, as somebody may be waiting for it.
				r.mu.Lock()
				if key.kind == catalog.ReleaseTerm && len(r.pendingReports[key]) < catalog.MaxTasks {
					r.pendingReports[key] = append(r.pendingReports[key], ties...)
				}
				r.mu.Unlock()
				r.sleep(ctx, retry)
				retry = min(2*retry, maxRetryDelay)
			}
		}
	}
}

func (r *Runner) nextReport() (reportKey, []catalog.TermRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, ties := range r.pendingReports {
		n := min(len(ties), maxTermsPerReport)
		part := ties[:n:n]
		if r.pendingReports[key] = ties[n:]; n == len(ties) {
			delete(r.pendingReports, key)
		}
		if n > 0 {
			return key, part
		}
	}
	return reportKey{}, nil
}

// shutDown hands over what is held and closes the session.
func (r *Runner) shutDown() {
	r.mu.Lock()
	id := r.sessionID
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if r.Active() > 0 && r.callWithTimeout(ctx, func(ctx context.Context) error { return r.config.Service.EndSession(ctx, r.config.Process, id, true) }) == nil {
		// The session goes on meanwhile: what is held is still held until each is handed over.
		both, stop := context.WithCancel(ctx)
		var beside sync.WaitGroup
		beside.Add(2)
		go func() { defer beside.Done(); _ = r.renewSession(both, id) }()
		go func() { defer beside.Done(); r.watchSession(both, id) }()
		for end := r.clock.Now() + shutdownTimeout/2; r.Active() > 0 && r.clock.Now() < end; {
			r.sleep(ctx, 10*time.Millisecond)
		}
		stop()
		beside.Wait()
	}
	r.withParticipant(func(k *Participant) []Action { return k.SessionExpired() })
	for r.Active() > 0 && ctx.Err() == nil {
		r.sleep(ctx, 10*time.Millisecond)
	}
	if r.Active() == 0 { // else its time has to run out: its functions have not returned
		_ = r.callWithTimeout(ctx, func(ctx context.Context) error { return r.config.Service.EndSession(ctx, r.config.Process, id, false) })
	}
}
