package leaderelection

import "time"

// Clock is a monotonic clock: changes of the machine's wall clock do not show in it.
type Clock interface {
	// Now returns the time that has passed since an arbitrary fixed moment.
	Now() time.Duration
	// After returns a channel that receives once d has passed, and a function that stops the
	// timer; the function's result is that of time.Timer.Stop.
	After(d time.Duration) (<-chan time.Time, func() bool)
}

// realClock is the machine's monotonic clock.
type realClock struct{ startedAt time.Time }

// Now returns the time since the clock was made.
func (c realClock) Now() time.Duration { return time.Since(c.startedAt) }

// After starts a timer of the machine.
func (c realClock) After(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}
