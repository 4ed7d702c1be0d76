package leaderelection

import (
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"knotrouter/internal/catalog"
)

// minRenewTimeout is the minimum timeout of a renewal, even if the interval between renewals is shorter.
const minRenewTimeout = 100 * time.Millisecond

// runSession opens a session and renews it until it expires or ctx ends. It returns the
// error that ended the session.
func (r *Runner) runSession(ctx context.Context) error {
	id := rand.Text()
	r.mu.Lock()
	r.sessionID, r.participant = id, NewParticipant()
	clear(r.pendingReports)
	r.mu.Unlock()
	if err := r.openSession(ctx, id); err != nil {
		return err
	}
	sessionCtx, stop := context.WithCancel(ctx)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer stop()
	watch.Go(func() { r.watchSession(sessionCtx, id) })
	return r.renewSession(sessionCtx, id)
}

// openSession opens the session, retrying until it succeeds. It returns the error of ctx if ctx
// ends first.
func (r *Runner) openSession(ctx context.Context, id string) error {
	session := catalog.Session{
		Process:   r.config.Process,
		ID:        id,
		Zone:      r.config.Zone,
		MaxTasks:  r.config.MaxTasks,
		TaskKinds: slices.Collect(maps.Keys(r.config.Functions)),
	}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := callWithTimeout(ctx, func(ctx context.Context) error {
			return r.config.Service.OpenSession(ctx, session)
		})
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrNameTaken) && delay < maxRetryDelay { // only the first attempts are logged
			r.log.Warn("process name already in use, waiting for the other session to end", "process", r.config.Process)
		}
		if r.sleep(ctx, delay); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// endSession closes the session. If drain is set, it asks for the transfer of the session's tasks
// instead.
func (r *Runner) endSession(ctx context.Context, id string, drain bool) error {
	return callWithTimeout(ctx, func(ctx context.Context) error {
		return r.config.Service.EndSession(ctx, r.config.Process, id, drain)
	})
}

// renewSession renews the session until it has expired or ctx ends. It returns an error that wraps
// ErrSessionExpired or ErrNameTaken, or the error of ctx. Other errors are retried with a backoff
// that does not exceed the interval between renewals.
func (r *Runner) renewSession(ctx context.Context, id string) error {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		r.mu.Lock()
		revision, interval := r.participant.Revision(), r.participant.RenewInterval()
		r.mu.Unlock()
		wait := interval
		err := r.renewOnce(ctx, id, revision, interval)
		switch {
		case err == nil:
			retryDelay = minRetryDelay
		case errors.Is(err, ErrSessionExpired), errors.Is(err, ErrNameTaken):
			return err
		default:
			wait, retryDelay = retryDelay, min(2*retryDelay, interval)
		}
		timer, stop := r.clock.After(wait)
		select {
		case <-timer:
		case <-r.renewNow:
		case <-ctx.Done():
		}
		stop()
	}
	return ctx.Err()
}

// renewOnce sends one renewal and has the participant handle the answer. It returns the error of the
// call. The timeout of a renewal is the interval between renewals: terms are extended from the time
// at which the renewal was sent, so a new renewal extends them further than a late answer would.
func (r *Runner) renewOnce(ctx context.Context, id string, revision int64, interval time.Duration) error {
	sent := r.clock.Now()
	var update AssignmentUpdate
	err := callWithTimeout(ctx, func(ctx context.Context) (err error) {
		ctx, cancel := context.WithTimeout(ctx, max(interval, minRenewTimeout))
		defer cancel()
		update, err = r.config.Service.RenewSession(ctx, r.config.Process, id, revision)
		return err
	})
	if err != nil {
		return err
	}
	r.withParticipant(func(p *Participant) []Action {
		return p.Renewed(r.clock.Now(), sent, update.Revision, update.Assignments)
	})
	return nil
}

// watchSession passes each change to the assignments to the participant, until ctx ends. A
// change that arrives before the first renewal was answered triggers an immediate renewal, as
// no term can start without one.
func (r *Runner) watchSession(ctx context.Context, id string) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		r.mu.Lock()
		revision := r.participant.Revision()
		r.mu.Unlock()
		update, err := r.config.Service.WatchSession(ctx, r.config.Process, id, revision)
		if err != nil {
			r.sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		renewed := false
		r.withParticipant(func(p *Participant) []Action {
			renewed = p.renewed
			return p.Update(r.clock.Now(), update.Revision, update.Assignments)
		})
		if !renewed {
			signal(r.renewNow)
		}
	}
}

// callWithTimeout makes one call to the control plane, limited to callTimeout.
func callWithTimeout(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}
