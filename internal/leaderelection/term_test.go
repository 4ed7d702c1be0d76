package leaderelection

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
)

// manualClock is a clock that the test advances. Its timers do not fire until the test enables
// them, so a function can resume after a pause of the process before any timer fires.
type manualClock struct {
	mu         sync.Mutex
	now        time.Duration
	timersFire bool
}

func (c *manualClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration, timersFire bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now, c.timersFire = c.now+d, timersFire
}

func (c *manualClock) After(time.Duration) (<-chan time.Time, func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timersFire {
		return time.After(time.Millisecond), func() bool { return true }
	}
	return make(chan time.Time), func() bool { return true }
}

// singleTaskService is a Service that grants one task and never changes the assignments.
type singleTaskService struct{ ttl time.Duration }

func (s singleTaskService) OpenSession(context.Context, catalog.Session) error { return nil }

func (s singleTaskService) RenewSession(context.Context, string, string, int64) (AssignmentUpdate, error) {
	return AssignmentUpdate{Revision: 1, Assignments: []catalog.Assignment{{Name: "d", TTL: s.ttl, Fence: 7}}}, nil
}

func (s singleTaskService) WatchSession(ctx context.Context, _, _ string, _ int64) (AssignmentUpdate, error) {
	<-ctx.Done()
	return AssignmentUpdate{}, ctx.Err()
}

func (s singleTaskService) EndSession(context.Context, string, string, bool) error { return nil }

func (s singleTaskService) ReportTerms(context.Context, catalog.Kind, []catalog.TermRef, string) error {
	return nil
}

// contextErrorAfterPause runs a function under a lease of duration ttl, simulates a pause of the
// process in which no timer fires, and returns the error of the function's context after it.
func contextErrorAfterPause(t *testing.T, ttl, pause time.Duration) error {
	t.Helper()
	clock := &manualClock{}
	started, paused, contextErr := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	function := func(ctx context.Context, _ string, _ int64) error {
		close(started)
		<-paused
		contextErr <- ctx.Err()
		<-ctx.Done()
		return nil
	}
	r := NewRunner(Config{
		Process:   "p",
		MaxTasks:  1,
		Service:   singleTaskService{ttl},
		Clock:     clock,
		Log:       slog.New(slog.DiscardHandler),
		Functions: map[string]Function{"d": function},
	})
	// Not t.Context, which is cancelled before the cleanup lets the timers fire.
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		clock.advance(time.Hour, true)
		cancel()
		r.withParticipant(func(p *Participant) []Action { return p.SessionExpired() })
		<-returned
	})
	<-started
	clock.advance(pause, false)
	close(paused)
	return <-contextErr
}

// TestTermContextEndsByTheClockAfterAPause checks that after a pause of the process the context
// of a function reports an error if the term has ended, although no timer has fired yet.
func TestTermContextEndsByTheClockAfterAPause(t *testing.T) {
	const ttl = 2 * time.Second
	for _, c := range []struct {
		pause time.Duration
		ended bool
	}{
		{ttl / 2, false},
		{ttl - SafetyMargin(ttl) - 1, false},
		{ttl - SafetyMargin(ttl), true},
		{3 * ttl, true},
	} {
		t.Run(c.pause.String(), func(t *testing.T) {
			if err := contextErrorAfterPause(t, ttl, c.pause); (err != nil) != c.ended {
				t.Errorf("after a pause of %v under a lease of %v, the context error is %v", c.pause, ttl, err)
			}
		})
	}
}
