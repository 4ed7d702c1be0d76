// This file holds the decisions on when discovery is called: the subscription (watch) to changes of the
// list of servers, its backoff, and the fetch of the full list.

package policy

import "math"

const (
	// frequentWatchers is how many agents may call discovery as often as one: it is one service for
	// all, which takes calls in turn and works also on those whose caller has given up. Once the
	// callers of 2 s are more than it can serve in 2 s, and call again as soon, none is served.
	frequentWatchers = 20.0
	// maxWatchInterval is the most from the begin of a call that failed to that of the next, in ms,
	// for any number of agents: whatever failed before, an agent counts as notified 6 s after
	// discovery could be reached, and the call has to wait its turn there, too.
	maxWatchInterval = 4000.0
	// minWatchBackoff is the shortest wait between calls that take long to fail, in ms.
	minWatchBackoff = 200.0
	// servedWatchBackoff bounds the wait after a subscription that was served ended, in ms: an agent
	// counts as notified, 2 s later, of the change that was due when it ended, and discovery may hold
	// the next call for nearly all of that (issue 26).
	servedWatchBackoff = 200.0
	// maxQuickRetries is how many calls in a row follow so soon on an answer that arrived in part.
	maxQuickRetries = 2
	// maxFirstWatchDelay bounds the time until a new process first calls, in ms: its list may be old.
	maxFirstWatchDelay = 3500.0
)

// discoveryLoadFactor is how many times as many agents there are as may call often, and at least 1.
func (b *Balancer) discoveryLoadFactor() float64 {
	return max(float64(b.settings.Replicas)/frequentWatchers, 1)
}

// scheduleWatch has the subscription requested after a wait in ms. Only one request is scheduled at a
// time, however many calls fail.
func (b *Balancer) scheduleWatch(wait float64) {
	if !b.watchScheduled {
		b.watchScheduled, b.watchDueAt = true, b.now+wait
		b.emit(Action{Kind: ActTimer, Ms: wait, Token: watchToken})
	}
}

// requestWatch requests the subscription when it is due. The timer of a schedule that was dropped finds
// the next one not yet due, or none.
func (b *Balancer) requestWatch() {
	if b.watchScheduled && b.now >= b.watchDueAt-1 {
		b.watchScheduled, b.watchGranted, b.watchRequestedAt = false, false, b.now
		b.emit(Action{Kind: ActWatchList})
	}
}

// scheduleFirstWatch spreads the first calls over a part of the contract's time: agents that start
// together must not all call at once.
func (b *Balancer) scheduleFirstWatch() {
	spread := b.settings.Contract.ListPollWithinMs / 8 * min(b.discoveryLoadFactor(), 4)
	b.scheduleWatch(b.rng.Float64() * min(spread, maxFirstWatchDelay))
}

// rescheduleWatch schedules the next call after one failed, or a subscription ended. The longer a
// failed call took the shorter is the wait, and a subscription that had been served is requested again
// at once.
func (b *Balancer) rescheduleWatch() {
	b.watchFailures++
	if b.watchFailures == 1 {
		b.watchScheduled = false // the schedule of the first call is of no use any more
	}
	pollWithin, jitter := b.settings.Contract.ListPollWithinMs/5, b.rng.Float64()
	shortWait := min(servedWatchBackoff, pollWithin) * jitter
	if b.listIncomplete() && b.watchFailures <= maxQuickRetries {
		b.scheduleWatch(shortWait) // the rest of an answer is owed
		return
	}
	if b.watchGranted && b.watchFailures == 1 {
		// Calls stay apart, from the start of one to the start of the next.
		spacing := min(1000, pollWithin)*(1+jitter)/2 - (b.now - b.watchRequestedAt)
		b.scheduleWatch(max(spacing, shortWait))
		b.retriedImmediately = true
		return
	}
	b.scheduleWatch(b.watchBackoff(pollWithin, jitter))
}

// watchBackoff is the wait in ms before the next call after one that failed. It doubles with each
// failure up to pollWithin, longer where many agents share discovery. The jitter is from 0 up to 1.
func (b *Balancer) watchBackoff(pollWithin, jitter float64) float64 {
	failures := b.watchFailures
	if b.retriedImmediately { // a call that is rejected for coming at once is the first that failed
		failures--
	}
	wait := min(1000, pollWithin) * (1 + jitter) / 2
	if failures > 1 { // the first may have failed by chance
		pollWithin *= min(b.discoveryLoadFactor(), 5)
		backoff := 500 * math.Pow(2, float64(failures)) * b.discoveryLoadFactor()
		wait = min(backoff, pollWithin, maxWatchInterval) * (3 + jitter) / 4
	}
	if !b.watchGranted {
		wait = min(wait, maxWatchInterval*(3+jitter)/4-(b.now-b.watchRequestedAt))
	}
	return max(wait, minWatchBackoff*(1+jitter))
}

// fetchList fetches the full list, seldom: every call loads discovery, by the entry. Where many agents
// share discovery, all that saw one server fail would fetch in step and delay the subscriptions, which
// cost only the entries that changed and carry as much.
func (b *Balancer) fetchList() {
	if b.settings.Membership == membershipOnRequest && b.discoveryLoadFactor() > 1 {
		return
	}
	if b.now-b.lastFetchAt >= max(b.settings.Contract.ListPollWithinMs, 1000) {
		b.lastFetchAt = b.now
		b.emit(Action{Kind: ActFetchList})
	}
}
