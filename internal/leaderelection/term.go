package leaderelection

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// Function performs a leased task until its context ends. It must send the fencing token with each
// write, and check ctx.Err before each write: Err reads the clock, so a process that was suspended
// notices that its term has ended. A function that returns an error before its context ends counts
// as failed.
type Function func(ctx context.Context, name string, fence int64) error

// errNoFunction is the error of a term whose task has no function in Config.Functions.
var errNoFunction = errors.New("no function for this kind of task")

// panicError is the error of a function that panicked.
type panicError struct{ value any }

// Error formats the value of the panic.
func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// runningTerm is a term whose function has been started and has not returned.
type runningTerm struct {
	name       string
	fence      int64
	cancel     context.CancelFunc
	validUntil atomic.Int64 // end of the term on clock, as a time.Duration
	clock      Clock
}

// termContext is the context of a term's function. Its Err method compares the end of the term
// with the clock rather than rely on another goroutine to cancel the context: after the process
// was suspended, the function may resume before the timer that cancels the term fires.
type termContext struct {
	context.Context
	term *runningTerm
}

// Err returns the error of the wrapped context, if any. Otherwise, if the term has ended by the clock,
// it cancels the wrapped context and returns context.DeadlineExceeded.
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

// startTerm starts the function of a task. The caller holds r.mu.
func (r *Runner) startTerm(name string, fence int64) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &runningTerm{name: name, fence: fence, cancel: cancel, clock: r.clock}
	t.validUntil.Store(int64(r.participant.ValidUntil(name)))
	r.running[name] = t
	r.log.Info("task term started", "task", name, "fence", fence)
	r.goroutines.Go(func() {
		defer cancel()
		err := r.callFunction(termContext{ctx, t}, t)
		cancelled := ctx.Err() != nil
		r.withParticipant(func(p *Participant) []Action {
			if r.running[name] == t {
				delete(r.running, name)
			}
			return p.FunctionReturned(r.clock.Now(), name, fence, err != nil && !cancelled)
		})
		r.log.Info("task term ended", "task", name, "fence", fence, "cancelled", cancelled, "err", err)
	})
}

// cancelTerm cancels the context of a term's function. The caller holds r.mu.
func (r *Runner) cancelTerm(name string, fence int64) {
	t := r.running[name]
	if t == nil || t.fence != fence {
		return
	}
	t.cancel()
	time.AfterFunc(returnTimeout, func() { r.reportOverdue(t) })
}

// callFunction calls the function of a term. It returns the function's error, a *panicError
// if the function panics, and errNoFunction if there is no function for the task.
func (r *Runner) callFunction(ctx context.Context, t *runningTerm) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &panicError{value}
		}
	}()
	kind, _, _ := strings.Cut(t.name, ".")
	function := r.config.Functions[kind]
	if function == nil {
		return errNoFunction
	}
	return function(ctx, t.name, t.fence)
}

// reportOverdue counts and logs a cancelled function that has not returned within returnTimeout. The
// function's writes are rejected by their fencing token once the task is granted again.
func (r *Runner) reportOverdue(t *runningTerm) {
	r.mu.Lock()
	stillRunning := r.running[t.name] == t
	r.mu.Unlock()
	if !stillRunning {
		return
	}
	r.overdueCount.Add(1)
	r.log.Error("task function did not return after its cancellation", "task", t.name, "fence", t.fence)
}

// enforceDeadlines has the participant cancel each term when it ends, until ctx ends.
func (r *Runner) enforceDeadlines(ctx context.Context) {
	for {
		var next time.Duration
		var pending bool
		r.withParticipant(func(p *Participant) (actions []Action) {
			actions, next, pending = p.Tick(r.clock.Now())
			return actions
		})
		select { // discard the signal that withParticipant has just sent
		case <-r.deadlineChanged:
		default:
		}
		wait := maxDeadlineWait
		if pending {
			wait = max((next-r.clock.Now())*deadlineCheckPercent/100, 0) + time.Millisecond
		}
		timer, stop := r.clock.After(wait)
		select {
		case <-timer:
		case <-r.deadlineChanged:
		case <-ctx.Done():
			stop()
			return
		}
		stop()
	}
}
