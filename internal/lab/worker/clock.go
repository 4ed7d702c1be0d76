package worker

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Monotonic returns the time of the machine's monotonic clock, which all processes on the machine share.
func Monotonic() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0, fmt.Errorf("monotonic clock: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}

// driftClock is a leaderelection.Clock that runs faster or slower than the machine's clock.
type driftClock struct {
	startedAt time.Time
	rate      float64 // rate relative to the machine's clock, above 0
}

// Now returns the time since the clock was started, scaled by its rate.
func (c driftClock) Now() time.Duration {
	return time.Duration(float64(time.Since(c.startedAt)) * c.rate)
}

// After returns a channel that receives once d has passed by this clock, and a function that stops the
// timer.
func (c driftClock) After(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(time.Duration(float64(d) / c.rate))
	return t.C, t.Stop
}
