package leaderelection

import "time"

// Clock is a monotonic clock: changes to the wall clock do not affect it.
type Clock interface {
	// Now returns the time elapsed since an arbitrary fixed point.
	Now() time.Duration
	// After returns a channel that receives the time once d has elapsed, and a function that
	// stops the timer and returns what time.Timer.Stop returns.
	After(d time.Duration) (<-chan time.Time, func() bool)
}

// realClock is the system's monotonic clock.
type realClock struct{ startedAt time.Time }

// Now returns the time since the clock was created.
func (c realClock) Now() time.Duration { return time.Since(c.startedAt) }

// After starts a system timer.
func (c realClock) After(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}
