package gossip

import (
	"testing"
	"time"

	"knotrouter/internal/member"
)

// TestPauseSuppressesSuspicion checks that a tick that is later than pauseThreshold counts as a pause
// of this process. For some time after a pause, an unanswered ping is not evidence against another member.
func TestPauseSuppressesSuspicion(t *testing.T) {
	for delay, want := range map[time.Duration]bool{0: false, pauseThreshold: false, pauseThreshold + time.Millisecond: true, time.Minute: true} {
		n := newTestNode(t, member.RoleControlPlane)
		joinMember(n, "st-2", member.RoleControlPlane)
		n.tick(delay)
		recentlyPaused := false
		n.WithTracker(func(now time.Duration, tracker *member.Tracker) { recentlyPaused = tracker.RecentlyPaused(now) })
		if recentlyPaused != want || (n.pauses.Load() > 0) != want {
			t.Errorf("after a tick that was %v late: RecentlyPaused: %v, %d pauses counted", delay, recentlyPaused, n.pauses.Load())
		}
	}
}
