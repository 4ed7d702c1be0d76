package hollow

import (
	"context"
	"time"
)

// Sleep waits for a time or until the context ends, and returns whether the time passed first. A
// time of 0 or below returns at once whether the context has not ended.
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
