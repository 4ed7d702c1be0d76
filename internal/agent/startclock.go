package agent

import (
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// maxListingDelay is how long after its start a server that could be reached is listed at the latest,
// with room to spare.
const maxListingDelay = 8 * time.Second

// startClock translates the starts of servers, which discovery gives by the wall clock, to the loop's
// clock. That runs from the process's wall clock at its begin, which may have been stepped before; a
// start shows how far it is off, as it can be neither to come nor much older than the list before it.
type startClock struct {
	latestStartMs float64   // the latest start that was told, in ms of discovery's clock
	offsetMs      float64   // by how much the loop's clock is ahead of discovery's, in ms
	lastListAt    time.Time // when discovery's last list was taken; zero: none was
}

// observe takes what a list of discovery's says of the clocks, at a time of the loop's clock in ms.
func (c *startClock) observe(list *endpoints.List, nowMs float64) {
	latest := c.latestStartMs
	for i := range list.Endpoints {
		latest = max(latest, list.Endpoints[i].StartedMs)
	}
	if latest > c.latestStartMs {
		age := nowMs - (latest + c.offsetMs)
		maxAge := time.Since(c.lastListAt) + maxListingDelay // it started after the list before
		if age < 0 || !c.lastListAt.IsZero() && age > float64(maxAge.Milliseconds()) {
			c.offsetMs = nowMs - latest // it has only just started
		}
	}
	c.latestStartMs, c.lastListAt = latest, time.Now()
}

// startOnLoopClock is when the process of a listed server started, on the loop's clock in ms; 0: long ago. What
// was once told of a process stays.
func (l *loop) startOnLoopClock(h *endpoints.Endpoint) float64 {
	if b := l.backends[policyAddr(h.Name)]; b != nil && b.listedStartMs == h.StartedMs {
		return b.loopStartMs
	}
	if h.StartedMs <= 0 {
		return 0
	}
	return h.StartedMs + l.startClock.offsetMs
}

// observeStarts has the clock of starts learn from a list, unless it is one from before the process.
func (l *loop) observeStarts(kind policy.ListKind, list *endpoints.List) {
	if kind == policy.ListChange || kind == policy.ListFull {
		l.startClock.observe(list, l.nowMs())
	}
}
