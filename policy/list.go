// This file holds what an agent makes of the lists of servers that discovery sends.

package policy

import (
	"cmp"
	"slices"
)

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
