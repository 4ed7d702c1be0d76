// This file holds the decisions on when to call discovery: the subscription (watch) to changes of the list
// of servers, its backoff, and the fetch of the full list.

package policy

import "math"

const (
	// frequentWatchers is the number of agents up to which each may call discovery as often as a lone agent.
	// All agents share one discovery service, which serves calls one after another, including those whose
	// caller has given up. If more calls arrive in 2 s than it can serve in 2 s, and the callers retry after
	// 2 s, no call is served in time.
	frequentWatchers = 20.0
	// maxWatchInterval is the longest time in ms from the start of a failed call to the start of the next
	// call, for any number of agents. An agent counts as notified 6 s after discovery became reachable,
	// regardless of earlier failures; the remaining 2 s allow for the call's wait in discovery's queue.
	maxWatchInterval = 4000.0
	// minWatchBackoff is the shortest wait after a call that took long to fail, in ms.
	minWatchBackoff = 200.0
	// servedWatchBackoff is the longest wait in ms after the end of a granted subscription. The agent counts
	// as notified of a change 2 s after discovery was due to send it. If the subscription ends just then,
	// discovery may delay the next call for nearly the full 2 s (issue 26).
	servedWatchBackoff = 200.0
	// maxQuickRetries is how many consecutive calls after a partial response wait at most
	// servedWatchBackoff.
	maxQuickRetries = 2
	// maxFirstWatchDelay bounds the time in ms until the first call of a new agent process, whose stored
	// list may be stale.
	maxFirstWatchDelay = 3500.0
)

// discoveryLoadFactor is the number of agents as a multiple of frequentWatchers, at least 1.
func (b *Balancer) discoveryLoadFactor() float64 {
	return max(float64(b.settings.Replicas)/frequentWatchers, 1)
}

// scheduleWatch schedules the next subscription call after a wait in ms. At most one call is scheduled at a
// time, however many calls fail.
func (b *Balancer) scheduleWatch(wait float64) {
	if !b.watchScheduled {
		b.watchScheduled, b.watchDueAt = true, b.now+wait
		b.emit(Action{Kind: ActTimer, Ms: wait, Token: watchToken})
	}
}

// requestWatch calls discovery for the subscription if the call is due. A timer of a cancelled schedule has
// no effect: the next call is not due yet, or no call is scheduled.
func (b *Balancer) requestWatch() {
	if b.watchScheduled && b.now >= b.watchDueAt-1 {
		b.watchScheduled, b.watchGranted, b.watchRequestedAt = false, false, b.now
		b.emit(Action{Kind: ActWatchList})
	}
}

// scheduleFirstWatch delays the first call randomly by up to a fraction of the contract's poll interval, so
// that agents that start together do not all call at the same time.
func (b *Balancer) scheduleFirstWatch() {
	spread := b.settings.Contract.ListPollWithinMs / 8 * min(b.discoveryLoadFactor(), 4)
	b.scheduleWatch(b.rng.Float64() * min(spread, maxFirstWatchDelay))
}

// rescheduleWatch schedules the next call after a failed call or the end of a subscription. The longer the
// failed call took, the shorter the wait. A granted subscription that ended is requested again immediately,
// apart from a minimum time between the starts of two calls.
func (b *Balancer) rescheduleWatch() {
	b.watchFailures++
	if b.watchFailures == 1 {
		b.watchScheduled = false // cancel the scheduled first call
	}
	pollWithin, jitter := b.settings.Contract.ListPollWithinMs/5, b.rng.Float64()
	shortWait := min(servedWatchBackoff, pollWithin) * jitter
	if b.listIncomplete() && b.watchFailures <= maxQuickRetries {
		b.scheduleWatch(shortWait) // fetch the missing rest of the response soon
		return
	}
	if b.watchGranted && b.watchFailures == 1 {
		// Keep a minimum time between the starts of two calls.
		spacing := min(1000, pollWithin)*(1+jitter)/2 - (b.now - b.watchRequestedAt)
		b.scheduleWatch(max(spacing, shortWait))
		b.retriedImmediately = true
		return
	}
	b.scheduleWatch(b.watchBackoff(pollWithin, jitter))
}

// watchBackoff is the wait in ms from a failed call to the next call. It doubles with each failure up to
// pollWithin, or up to a longer time if many agents share discovery. The jitter is at least 0 and below 1.
func (b *Balancer) watchBackoff(pollWithin, jitter float64) float64 {
	failures := b.watchFailures
	if b.retriedImmediately { // the end of the granted subscription is no failed call
		failures--
	}
	wait := min(1000, pollWithin) * (1 + jitter) / 2
	if failures > 1 { // a first failure may be accidental
		pollWithin *= min(b.discoveryLoadFactor(), 5)
		backoff := 500 * math.Pow(2, float64(failures)) * b.discoveryLoadFactor()
		wait = min(backoff, pollWithin, maxWatchInterval) * (3 + jitter) / 4
	}
	if !b.watchGranted {
		wait = min(wait, maxWatchInterval*(3+jitter)/4-(b.now-b.watchRequestedAt))
	}
	return max(wait, minWatchBackoff*(1+jitter))
}

// fetchList fetches the full list, at most once per poll interval, as each fetch loads discovery in
// proportion to the number of entries. Agents that subscribe fetch nothing if many of them share discovery:
// all agents that saw one server fail would fetch simultaneously and delay the subscriptions, which carry
// the same information at the cost of the changed entries only.
func (b *Balancer) fetchList() {
	if b.settings.Membership == membershipOnRequest && b.discoveryLoadFactor() > 1 {
		return
	}
	if b.now-b.lastFetchAt >= max(b.settings.Contract.ListPollWithinMs, 1000) {
		b.lastFetchAt = b.now
		b.emit(Action{Kind: ActFetchList})
	}
}
