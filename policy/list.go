// This file holds the decisions on the list of servers: when discovery is asked, and what
// an agent makes of the answer.

package policy

import (
	"cmp"
	"math"
	"slices"
)

// frequentWatchers is how many agents may call discovery as often as one: it is one service for
// all, which takes calls in turn and works on those too that have waited too long. Once
// the callers of 2 s are more than it can serve in 2 s, and ask again as soon, none is
// served any more.
const frequentWatchers = 20.0

const (
	// maxWatchInterval is the most from the begin of a call that failed to that of the next, in ms,
	// for any number of agents: whatever failed before, what discovery has to tell counts as
	// told 6 s after it could be reached, and the call has to wait its turn there, too.
	maxWatchInterval = 4000.0
	// minWatchBackoff keeps some time between calls that take long to fail.
	minWatchBackoff = 200.0
	// servedWatchBackoff bounds the wait after a subscription that was served ended, in ms: what it
	// ended instead of telling counts as told 2 s later, and discovery may hold the next call
	// for nearly all of that (issue 26).
	servedWatchBackoff = 200.0
	// maxQuickRetries is how many calls in a row follow so soon on an answer of which a part came.
	maxQuickRetries = 2
	// maxFirstWatchDelay bounds the time until a new process asks for the first time: its list may
	// be old.
	maxFirstWatchDelay = 3500.0
)

// discoveryLoadFactor is how many times as many agents there are as may ask often.
func (b *Balancer) discoveryLoadFactor() float64 {
	return max(float64(b.settings.Replicas)/frequentWatchers, 1)
}

// scheduleWatch lets the subscription be asked for after a wait. There is one such time, however
// many calls fail.
func (b *Balancer) scheduleWatch(wait float64) {
	if !b.watchScheduled {
		b.watchScheduled, b.watchDueAt = true, b.now+wait
		b.emit(Action{Kind: ActTimer, Ms: wait, Token: watchToken})
	}
}

// requestWatch asks for the subscription when its time has come; one that was set before and taken
// back finds it still to come, or over.
func (b *Balancer) requestWatch() {
	if b.watchScheduled && b.now >= b.watchDueAt-1 {
		b.watchScheduled, b.watchGranted, b.watchRequestedAt = false, false, b.now
		b.emit(Action{Kind: ActWatchList})
	}
}

// scheduleFirstWatch spreads the first calls over a part of the contract's time: agents that
// start together must not all call at once.
func (b *Balancer) scheduleFirstWatch() {
	spread := b.settings.Contract.ListPollWithinMs / 8 * min(b.discoveryLoadFactor(), 4)
	b.scheduleWatch(b.rng.Float64() * min(spread, maxFirstWatchDelay))
}

// rescheduleWatch sets the time for the next call after one failed, or a subscription ended.
// A call that was given up late is repeated the sooner, and one that had been served at once.
func (b *Balancer) rescheduleWatch() {
	b.watchFailures++
	if b.watchFailures == 1 {
		b.watchScheduled = false // the time of the first call is of no use any more
	}
	ask, u := b.settings.Contract.ListPollWithinMs/5, b.rng.Float64()
	if b.listIncomplete() && b.watchFailures <= maxQuickRetries {
		b.scheduleWatch(min(servedWatchBackoff, ask) * u) // an answer is owed
		return
	}
	if b.watchGranted && b.watchFailures == 1 {
		apart := min(1000, ask)*(1+u)/2 - (b.now - b.watchRequestedAt) // from call to call
		b.scheduleWatch(max(apart, min(servedWatchBackoff, ask)*u))
		b.retriedAtOnce = true
		return
	}
	failures := b.watchFailures
	if b.retriedAtOnce { // one that is refused for coming at once is the first that failed
		failures--
	}
	wait := min(1000, ask) * (1 + u) / 2
	if failures > 1 { // the first may have been the agent's own bad luck
		ask *= min(b.discoveryLoadFactor(), 5)
		backoff := 500 * math.Pow(2, float64(failures)) * b.discoveryLoadFactor()
		wait = min(backoff, ask, maxWatchInterval) * (3 + u) / 4
	}
	if !b.watchGranted {
		wait = min(wait, maxWatchInterval*(3+u)/4-(b.now-b.watchRequestedAt))
	}
	b.scheduleWatch(max(wait, minWatchBackoff*(1+u)))
}

// fetchList asks for the whole list, seldom: every call loads discovery, by the line. Where
// many share it, all that saw one server fail would ask in step and be in the way of the
// subscriptions, which cost only the lines that changed and tell as much.
func (b *Balancer) fetchList() {
	if b.settings.Membership == "on_request" && b.discoveryLoadFactor() > 1 {
		return
	}
	if b.now-b.lastFetchAt >= max(b.settings.Contract.ListPollWithinMs, 1000) {
		b.lastFetchAt = b.now
		b.emit(Action{Kind: ActFetchList})
	}
}

func (b *Balancer) onList(ev *Event) {
	switch ev.List {
	case ListFailed:
		b.partialCallEnded = true
		if b.settings.Membership == "on_request" {
			b.rescheduleWatch()
		}
		return
	case ListPartial:
		b.onPartialList(ev)
		return
	case ListSourceChanged:
		b.watchFailures, b.watchGranted, b.retriedAtOnce = 0, true, false
		return
	}
	b.watchFailures, b.watchGranted, b.retriedAtOnce = 0, true, false
	b.markListComplete()
	b.epoch++
	if b.zoneCount == 0 {
		zones := map[int]bool{}
		for i := range ev.Entries {
			zones[ev.Entries[i].Zone] = true
		}
		b.zoneCount = uint64(len(zones))
	}
	named := map[Addr]bool{}
	for i := range ev.Entries {
		named[ev.Entries[i].Server] = true
		b.updateServer(&ev.Entries[i])
	}
	if ev.List != ListChange {
		for _, s := range b.servers {
			s.ready = s.ready && named[s.addr]
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := !s.ready && len(s.inFlight) == 0 && !s.probing
		if forget {
			delete(b.serversByAddr, s.addr)
		}
		return forget
	})
}

func (b *Balancer) updateServer(e *Entry) {
	s, since := b.serversByAddr[e.Server], sanitize(e.StartedMs)
	if s == nil {
		s = &server{addr: e.Server, hash: splitMix64(hashAddr(e.Server)), state: Unknown, stateSince: b.now,
			concurrencyLimit: min(initialConcurrencyLimit, b.maxConcurrencyLimit()),
			startedAt:        since, listedAt: since,
			slowStartBudget: b.rng.Float64()}
		b.serversByAddr[s.addr] = s
		s.zone = e.Zone
		i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
			return cmp.Compare(b.subsetOrder(x), b.subsetOrder(y))
		})
		b.servers = slices.Insert(b.servers, i, s)
	}
	if since > s.listedAt {
		// A new process: nothing known of the old one holds, and it is cold. Its credit
		// starts at random: of many agents that each earn it a part of one request, as
		// many send one as the parts add up to; from 0 none would before it is warm.
		s.listedAt = since
		s.startedAt, s.state, s.stateSince, s.unresponsive, s.overloaded = since, Unknown, b.now, false, false
		s.recentEjections, s.consecutiveSuccesses, s.latency, s.latencySamples = 0, 0, 0, 0
		s.concurrencyLimit, s.slowStartBudget = 1, b.rng.Float64()
	}
	s.zone, s.cell, s.kind, s.ready = e.Zone, e.Cell, e.Kind, e.Health == Ready
	s.weight = 1
	if w := sanitize(e.Weight); w > 0 {
		s.weight = w
	}
}

// subsetOrder is a server's place in the agent's own order, whose first ones are its subset.
// Where crossing has a price about half of them are of the agent's own zone.
func (b *Balancer) subsetOrder(s *server) uint64 {
	d := splitMix64(s.hash ^ splitMix64(uint64(b.settings.Index)+1))
	if s.zone == b.settings.Zone && b.settings.Prices.CrossZone > 0 {
		d /= max(b.zoneCount, 1)
	}
	return d
}
