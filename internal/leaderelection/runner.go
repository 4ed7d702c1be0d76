package leaderelection

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/catalog"
)

// Config configures a Runner.
type Config struct {
	Process  string // unique name of this process
	Zone     string
	MaxTasks int // maximum number of tasks that the process holds at a time
	// Functions maps a kind of task to its function. The kind is the part of a task's name
	// before the first dot, or the whole name if there is none.
	Functions map[string]Function
	Service   Service
	Log       *slog.Logger
	Clock     Clock // nil means the system clock
}

const (
	callTimeout       = 2 * time.Second // maximum duration of one call to the control plane
	returnTimeout     = time.Second     // time after which a cancelled function is reported as overdue
	shutdownTimeout   = 10 * time.Second
	minRetryDelay     = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	drainPollInterval = 10 * time.Millisecond
	// maxDeadlineWait is how long enforceDeadlines waits while no term is valid. A new term ends
	// the wait early, so its length does not matter.
	maxDeadlineWait = time.Hour
	// deadlineCheckPercent is the percentage of the time until the next term ends after which
	// enforceDeadlines checks again. It is less than 100 because a timer may fire late.
	deadlineCheckPercent = 90
)

// Runner runs the functions of the tasks whose leases this process holds. Its methods are
// safe for concurrent use; Run is called once.
type Runner struct {
	config Config
	clock  Clock
	log    *slog.Logger

	mu             sync.Mutex // guards the fields up to the blank line
	sessionID      string
	participant    *Participant
	running        map[string]*runningTerm // by task
	pendingReports map[reportKey][]catalog.TermRef

	// Each channel buffers one signal; a signal sent while another is pending is dropped.
	deadlineChanged chan struct{} // the participant's next deadline may have changed
	reportQueued    chan struct{} // pendingReports has grown
	renewNow        chan struct{} // the session has to be renewed at once
	goroutines      sync.WaitGroup
	overdueCount    atomic.Int64
}

// NewRunner returns a Runner that has no session yet. Config.Service and Config.Log are
// required.
func NewRunner(c Config) *Runner {
	if c.Clock == nil {
		c.Clock = realClock{time.Now()}
	}
	return &Runner{
		config:          c,
		clock:           c.Clock,
		log:             c.Log,
		participant:     NewParticipant(),
		running:         map[string]*runningTerm{},
		pendingReports:  map[reportKey][]catalog.TermRef{},
		deadlineChanged: make(chan struct{}, 1),
		reportQueued:    make(chan struct{}, 1),
		renewNow:        make(chan struct{}, 1),
	}
}

// Active returns the number of running functions, including cancelled ones that have not returned.
func (r *Runner) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.participant.Active()
}

// Overdue returns how many cancelled functions did not return within returnTimeout since the Runner
// was created.
func (r *Runner) Overdue() int64 { return r.overdueCount.Load() }

// Run takes part in leader election until ctx ends. Then it transfers its tasks to other
// processes, and returns once all functions have returned.
func (r *Runner) Run(ctx context.Context) {
	// The goroutines are needed until the transfer is complete, so ctx does not end them.
	backgroundCtx, stop := context.WithCancel(context.Background())
	defer stop()
	r.goroutines.Go(func() { r.enforceDeadlines(backgroundCtx) })
	r.goroutines.Go(func() { r.sendReports(backgroundCtx) })
	for ctx.Err() == nil {
		if err := r.runSession(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("leader election session ended", "err", err)
		}
		if ctx.Err() != nil {
			break // shutDown transfers the session's tasks
		}
		r.withParticipant(func(p *Participant) []Action { return p.SessionExpired() })
		// A function of the next session must not run concurrently with one of this session.
		r.awaitFunctions(ctx, minRetryDelay)
	}
	r.shutDown()
	stop()
	r.goroutines.Wait()
}

// shutDown transfers the tasks to other processes and closes the session.
func (r *Runner) shutDown() {
	r.mu.Lock()
	id := r.sessionID
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if r.Active() > 0 && r.endSession(ctx, id, true) == nil {
		r.drain(ctx, id)
	}
	r.withParticipant(func(p *Participant) []Action { return p.SessionExpired() })
	r.awaitFunctions(ctx, drainPollInterval)
	if r.Active() == 0 {
		_ = r.endSession(ctx, id, false)
	}
	// A session whose functions have not returned is left to expire, so that its tasks are not granted
	// to other processes before the leases end.
}

// drain keeps the session open until all of its tasks have been transferred, for at most half of
// shutdownTimeout.
func (r *Runner) drain(ctx context.Context, id string) {
	sessionCtx, stop := context.WithCancel(ctx)
	var session sync.WaitGroup
	session.Go(func() { _ = r.renewSession(sessionCtx, id) })
	session.Go(func() { r.watchSession(sessionCtx, id) })
	for end := r.clock.Now() + shutdownTimeout/2; r.Active() > 0 && r.clock.Now() < end; {
		r.sleep(ctx, drainPollInterval)
	}
	stop()
	session.Wait()
}

// awaitFunctions polls at the interval until all functions have returned or ctx ends.
func (r *Runner) awaitFunctions(ctx context.Context, interval time.Duration) {
	for r.Active() > 0 && ctx.Err() == nil {
		r.sleep(ctx, interval)
	}
}

// sleep returns once d has passed or ctx ends.
func (r *Runner) sleep(ctx context.Context, d time.Duration) {
	timer, stop := r.clock.After(d)
	defer stop()
	select {
	case <-timer:
	case <-ctx.Done():
	}
}

// withParticipant calls decide while holding r.mu, and performs the actions that it returns.
func (r *Runner) withParticipant(decide func(p *Participant) []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range decide(r.participant) {
		r.perform(action)
	}
	for _, t := range r.running {
		t.validUntil.Store(int64(r.participant.ValidUntil(t.name)))
	}
	signal(r.deadlineChanged)
}

// perform performs one action. The caller holds r.mu.
func (r *Runner) perform(a Action) {
	ref := catalog.TermRef{Name: a.Name, Process: r.config.Process, Session: r.sessionID, Fence: a.Fence}
	switch a.Kind {
	case Start:
		r.startTerm(a.Name, a.Fence)
	case Cancel:
		r.cancelTerm(a.Name, a.Fence)
	case Release:
		r.queueReport(reportKey{catalog.ReleaseTerm, a.Reason}, ref)
	case Accept:
		r.queueReport(reportKey{catalog.AcceptTransfer, ""}, ref)
	}
}

// signal sends on a channel of capacity one, unless a signal is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
