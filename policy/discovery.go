// This file holds the decisions on when to call discovery: the subscription (watch) to changes of the list
// of servers, its backoff, and the fetch of the full list.

package policy

import "math"

const (
	// frequentWatchers is how many agents may call discovery at the rate of a single one. Discovery is one
	// service for all agents; it serves calls one after another, including those whose caller has given up.
	// Once more calls arrive in 2 s than it can serve in 2 s, and their callers retry just as soon, none is
	// served.
	frequentWatchers = 20.0
	// maxWatchInterval is the longest time between the starts of a failed call and the next one, in ms, for
	// any number of agents: regardless of earlier failures, an agent counts as notified 6 s after discovery
	// became reachable, and the call has to wait for its turn at discovery as well.
	maxWatchInterval = 4000.0
	// minWatchBackoff is the shortest wait after a call that took long to fail, in ms.
	minWatchBackoff = 200.0
	// servedWatchBackoff bounds the wait after the end of a granted subscription, in ms: the agent counts
	// as notified of a change that was due at that moment 2 s later, and discovery may delay the next call
	// for nearly all of that time (issue 26).
	servedWatchBackoff = 200.0
	// maxQuickRetries is how many consecutive calls use this short wait after a partial response.
	maxQuickRetries = 2
	// maxFirstWatchDelay bounds the time until the first call of a new process, in ms: its list may be
	// stale.
	maxFirstWatchDelay = 3500.0
)

// discoveryLoadFactor is the number of agents as a multiple of frequentWatchers, at least 1.
func (b *Balancer) discoveryLoadFactor() float64 {
	return max(float64(b.settings.Replicas)/frequentWatchers, 1)
}

// scheduleWatch schedules the request for the subscription after a wait in ms. Only one request is
// scheduled at a time, however many calls fail.
func (b *Balancer) scheduleWatch(wait float64) {
	if !b.watchScheduled {
		b.watchScheduled, b.watchDueAt = true, b.now+wait
		b.emit(Action{Kind: ActTimer, Ms: wait, Token: watchToken})
	}
}

// requestWatch requests the subscription when it is due. A timer of a cancelled schedule has no effect: the
// next request is not due yet, or none is scheduled.
func (b *Balancer) requestWatch() {
	if b.watchScheduled && b.now >= b.watchDueAt-1 {
		b.watchScheduled, b.watchGranted, b.watchRequestedAt = false, false, b.now
		b.emit(Action{Kind: ActWatchList})
	}
}

// scheduleFirstWatch spreads the first calls over a fraction of the contract's poll interval, as agents
// that start together must not all call at the same time.
func (b *Balancer) scheduleFirstWatch() {
	spread := b.settings.Contract.ListPollWithinMs / 8 * min(b.discoveryLoadFactor(), 4)
	b.scheduleWatch(b.rng.Float64() * min(spread, maxFirstWatchDelay))
}

// rescheduleWatch schedules the next call after a failed call or the end of a subscription. The longer the
// failed call took, the shorter the wait. A subscription that had been granted is requested again
// immediately.
func (b *Balancer) rescheduleWatch() {
	b.watchFailures++
	if b.watchFailures == 1 {
		b.watchScheduled = false // drop the schedule of the first call
	}
	pollWithin, jitter := b.settings.Contract.ListPollWithinMs/5, b.rng.Float64()
	shortWait := min(servedWatchBackoff, pollWithin) * jitter
	if b.listIncomplete() && b.watchFailures <= maxQuickRetries {
		b.scheduleWatch(shortWait) // the rest of a response is missing
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

// watchBackoff is the wait in ms before the next call after a failed one. It doubles with each failure up
// to pollWithin, or longer if many agents share discovery. The jitter is at least 0 and below 1.
func (b *Balancer) watchBackoff(pollWithin, jitter float64) float64 {
	failures := b.watchFailures
	if b.retriedImmediately { // the immediate retry's failure counts as the first
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

// fetchList fetches the full list, rarely: each fetch loads discovery in proportion to the number of
// entries. If many agents share discovery, all that saw one server fail would fetch simultaneously and
// delay the subscriptions, which cost only the changed entries and carry the same information.
func (b *Balancer) fetchList() {
	if b.settings.Membership == membershipOnRequest && b.discoveryLoadFactor() > 1 {
		return
	}
	if b.now-b.lastFetchAt >= max(b.settings.Contract.ListPollWithinMs, 1000) {
		b.lastFetchAt = b.now
		b.emit(Action{Kind: ActFetchList})
	}
}
