package agent

import (
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// maxListingDelay is the longest time from the start of a reachable server until it is listed, with a
// margin.
const maxListingDelay = 8 * time.Second

// startClock converts the start times of servers, which discovery gives in wall-clock time, to the
// loop's clock. The loop's clock starts at this machine's wall-clock time, which may differ from
// discovery's because the clock was stepped. The listed start times show the offset between the clocks,
// because a server can't have started in the future, nor much earlier than the previous list.
type startClock struct {
	latestStartMs float64   // the latest listed start, in ms of discovery's clock
	offsetMs      float64   // the loop's clock minus discovery's, in ms
	lastListAt    time.Time // when the last list of discovery was applied; zero: none was applied
}

// observe derives the offset between the clocks from a list of discovery that was received at nowMs of
// the loop's clock.
func (c *startClock) observe(list *endpoints.List, nowMs float64) {
	latest := c.latestStartMs
	for i := range list.Endpoints {
		latest = max(latest, list.Endpoints[i].StartedMs)
	}
	if latest > c.latestStartMs {
		age := nowMs - (latest + c.offsetMs)
		maxAge := time.Since(c.lastListAt) + maxListingDelay // the server started after the previous list
		if age < 0 || !c.lastListAt.IsZero() && age > float64(maxAge.Milliseconds()) {
			c.offsetMs = nowMs - latest // the server has only just started
		}
	}
	c.latestStartMs, c.lastListAt = latest, time.Now()
}

// startOnLoopClock returns when the process of a listed server started, in ms of the loop's clock;
// 0 means long ago. The start time of a process is computed once and does not change after that.
func (l *loop) startOnLoopClock(ep *endpoints.Endpoint) float64 {
	if b := l.backends[policyAddr(ep.Name)]; b != nil && b.listedStartMs == ep.StartedMs {
		return b.loopStartMs
	}
	if ep.StartedMs <= 0 {
		return 0
	}
	return ep.StartedMs + l.startClock.offsetMs
}

// observeStarts passes a list to the start clock, unless it is a cached or an incomplete list.
func (l *loop) observeStarts(kind policy.ListKind, list *endpoints.List) {
	if kind == policy.ListChange || kind == policy.ListFull {
		l.startClock.observe(list, l.nowMs())
	}
}
