package hollow

import (
	"context"
	"time"
)

// Sleep waits for the pause or until the context ends, and reports whether the pause passed first. With a
// pause of 0 or less it returns at once and reports whether the context is still active.
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
