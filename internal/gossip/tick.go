package gossip

import (
	"time"

	"knotrouter/internal/member"
)

// runTracker ticks the Tracker until the Node is closed.
func (n *Node) runTracker() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
		late := time.Since(last) - tickInterval
		last = time.Now()
		n.tick(late)
	}
}

// tick lets time pass for the Tracker, and broadcasts and announces what has changed. late
// is by how much the tick is late.
func (n *Node) tick(late time.Duration) {
	paused := late > pauseThreshold
	var changes []member.Change
	var report []byte
	n.WithTracker(func(now time.Duration, t *member.Tracker) {
		if paused {
			n.pauses.Add(1)
			t.Paused(now, late)
		}
		changes = t.Tick(now)
		report = n.pendingReport(now, t)
	})
	if paused {
		n.log.Warn("process was paused", "duration", late.Round(time.Millisecond))
	}
	if report != nil {
		n.queueBroadcast(report)
	}
	if len(changes) > 0 && n.config.OnChange != nil {
		n.config.OnChange(changes)
	}
}
