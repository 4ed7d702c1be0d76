package hollow

import (
	"context"
	"time"
)

// Sleep waits for a time or until the context ends, and reports whether the time passed first. With
// a time of 0 or below it returns at once and reports whether the context is still active.
func Sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
