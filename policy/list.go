// This file processes the lists of servers that discovery sends.

package policy

import (
	"cmp"
	"slices"
)

func (b *Balancer) onList(ev *Event) {
	switch ev.List {
	case ListFailed:
		b.partialCallEnded = true
		if b.settings.Membership == membershipOnRequest {
			b.rescheduleWatch()
		}
		return
	case ListPartial:
		b.onPartialList(ev)
		return
	case ListSourceChanged:
		b.watchSucceeded()
		return
	}
	b.watchSucceeded()
	b.markListComplete()
	b.epoch++
	b.countZones(ev.Entries)
	for i := range ev.Entries {
		b.updateServer(&ev.Entries[i])
	}
	if ev.List != ListChange {
		b.disableUnlisted(ev.Entries)
	}
	b.removeUnused()
}

// watchSucceeded resets the backoff of the subscription.
func (b *Balancer) watchSucceeded() {
	b.watchFailures, b.watchGranted, b.retriedImmediately = 0, true, false
}

// countZones counts the zones in the first list.
func (b *Balancer) countZones(entries []Entry) {
	if b.zoneCount > 0 {
		return
	}
	zones := map[int]bool{}
	for i := range entries {
		zones[entries[i].Zone] = true
	}
	b.zoneCount = uint64(len(zones))
}

// disableUnlisted stops sends to servers that are missing from a full list.
func (b *Balancer) disableUnlisted(entries []Entry) {
	listed := map[Addr]bool{}
	for i := range entries {
		listed[entries[i].Server] = true
	}
	for _, s := range b.servers {
		s.ready = s.ready && listed[s.addr]
	}
}

// removeUnused removes servers that are not ready and have no attempt or probe in flight.
func (b *Balancer) removeUnused() {
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		unused := !s.ready && len(s.inFlight) == 0 && !s.probing
		if unused {
			delete(b.serversByAddr, s.addr)
		}
		return unused
	})
}

// updateServer applies an entry of the list to its server.
func (b *Balancer) updateServer(e *Entry) {
	s, startedAt := b.serversByAddr[e.Server], sanitize(e.StartedMs)
	if s == nil {
		s = b.addServer(e, startedAt)
	}
	if startedAt > s.listedAt {
		b.restartServer(s, startedAt)
	}
	s.zone, s.cell, s.kind, s.ready = e.Zone, e.Cell, e.Kind, e.Health == Ready
	s.weight = 1
	if w := sanitize(e.Weight); w > 0 {
		s.weight = w
	}
}

// addServer adds a new server, sorted by subsetOrder.
func (b *Balancer) addServer(e *Entry, startedAt float64) *server {
	s := &server{
		addr:             e.Server,
		hash:             splitMix64(hashAddr(e.Server)),
		zone:             e.Zone,
		state:            Unknown,
		stateSince:       b.now,
		startedAt:        startedAt,
		listedAt:         startedAt,
		concurrencyLimit: min(initialConcurrencyLimit, b.maxConcurrencyLimit()),
		slowStartBudget:  b.rng.Float64(),
	}
	b.serversByAddr[s.addr] = s
	i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
		return cmp.Compare(b.subsetOrder(x), b.subsetOrder(y))
	})
	b.servers = slices.Insert(b.servers, i, s)
	return s
}

// restartServer resets a server when the list shows that it runs a new process: the state of the old
// process no longer applies, and the new process is cold.
//
// Its slow-start budget starts at a random value. Many agents each refill the budget by a fraction of a
// request; with random starting values, the number of agents that send a request matches the sum of these
// fractions. If all budgets started from 0, no agent would send a request before the server is warm.
func (b *Balancer) restartServer(s *server, startedAt float64) {
	s.listedAt, s.startedAt = startedAt, startedAt
	s.state, s.stateSince = Unknown, b.now
	s.unresponsive, s.overloaded = false, false
	s.recentEjections, s.consecutiveSuccesses = 0, 0
	s.latency, s.latencySamples = 0, 0
	s.concurrencyLimit, s.slowStartBudget = 1, b.rng.Float64()
	s.singleUseUntil, s.cleanResponses = 0, 0
}

// subsetOrder is a server's sort key in the agent's own order of servers, whose first servers form the
// agent's subset. If crossing zones has a price, about half of the subset is in the agent's own zone.
func (b *Balancer) subsetOrder(s *server) uint64 {
	order := splitMix64(s.hash ^ splitMix64(uint64(b.settings.Index)+1))
	if s.zone == b.settings.Zone && b.settings.Prices.CrossZone > 0 {
		order /= max(b.zoneCount, 1)
	}
	return order
}
