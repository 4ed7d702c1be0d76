package gossip

import (
	"testing"
	"time"

	"knotrouter/internal/member"
)

// TestPausedProcessSuspectsItself shows that a tick which comes later than pauseThreshold counts as a
// pause of this process: for some time it takes no unanswered ping for evidence against another one.
func TestPausedProcessSuspectsItself(t *testing.T) {
	for delay, want := range map[time.Duration]bool{0: false, pauseThreshold: false, pauseThreshold + time.Millisecond: true, time.Minute: true} {
		n := newTestNode(t, member.RoleControlPlane)
		joinMember(n, "st-2", member.RoleControlPlane)
		n.tick(delay)
		suspectsItself := false
		n.WithTracker(func(now time.Duration, tracker *member.Tracker) { suspectsItself = tracker.RecentlyPaused(now) })
		if suspectsItself != want || (n.pauses.Load() > 0) != want {
			t.Errorf("a tick %v late: suspects itself %v, %d pauses counted", delay, suspectsItself, n.pauses.Load())
		}
	}
}
