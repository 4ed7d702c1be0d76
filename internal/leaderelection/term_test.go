package leaderelection

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
)

// manualClock is a clock whose waits end by hand only: a process that stood still sees that time
// has passed before any of its timers has run.
type manualClock struct {
	mu         sync.Mutex
	now        time.Duration
	timersFire bool
}

func (c *manualClock) Now() time.Duration { c.mu.Lock(); defer c.mu.Unlock(); return c.now }
func (c *manualClock) advance(d time.Duration, going bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now, c.timersFire = c.now+d, going
}
func (c *manualClock) After(time.Duration) (<-chan time.Time, func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timersFire {
		return time.After(time.Millisecond), func() bool { return true }
	}
	return make(chan time.Time), func() bool { return true }
}

// singleTaskService is a service that grants one duty and is not heard of again.
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

// A process that stood still and wakes does nothing under a duty before it has looked at its
// clock: its context has ended though nobody has run yet who could have ended it.
func TestTermContextEndsByTheClockAfterAPause(t *testing.T) {
	const ttl = 2 * time.Second
	for stood, over := range map[time.Duration]bool{ttl / 2: false, ttl - SafetyMargin(ttl) - 1: false, ttl - SafetyMargin(ttl): true, 3 * ttl: true} {
		clock, held, look, saw := &manualClock{}, make(chan struct{}), make(chan struct{}), make(chan error, 1)
		r := NewRunner(Config{Process: "p", MaxTasks: 1, Service: singleTaskService{ttl}, Clock: clock, Log: slog.New(slog.DiscardHandler),
			Functions: map[string]Function{"d": func(ctx context.Context, _ string, _ int64) error {
				close(held)
				<-look
				saw <- ctx.Err()
				<-ctx.Done()
				return nil
			}}})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); r.Run(ctx) }()
		<-held
		clock.advance(stood, false)
		close(look)
		if err := <-saw; (err != nil) != over {
			t.Errorf("after %v of %v: %v", stood, ttl, err)
		}
		clock.advance(time.Hour, true)
		cancel()
		r.withParticipant(func(k *Participant) []Action { return k.SessionExpired() })
		<-ended
	}
}
