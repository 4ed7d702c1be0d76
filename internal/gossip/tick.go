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
		delay := time.Since(last) - tickInterval
		last = time.Now()
		n.tick(delay)
	}
}

// tick ticks the Tracker, broadcasts the observations that have changed, and calls Config.OnChange
// with the members whose states have changed in the view. delay is how late the tick is; a delay of
// more than pauseThreshold counts as a pause of this process.
func (n *Node) tick(delay time.Duration) {
	paused := delay > pauseThreshold
	var changes []member.Change
	var report []byte
	n.WithTracker(func(now time.Duration, t *member.Tracker) {
		if paused {
			n.pauses.Add(1)
			t.Paused(now, delay)
		}
		changes = t.Tick(now)
		report = n.pendingReport(now, t)
	})
	if paused {
		n.log.Warn("process was paused", "duration", delay.Round(time.Millisecond))
	}
	if report != nil {
		n.queueBroadcast(report)
	}
	if len(changes) > 0 && n.config.OnChange != nil {
		n.config.OnChange(changes)
	}
}
