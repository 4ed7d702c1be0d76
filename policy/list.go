// This file holds the decisions on the list of servers: when discovery is asked, and what
// an agent makes of the answer.

package policy

import (
	"cmp"
	"math"
	"slices"
)

// fewAgents is how many agents may call discovery as often as one: it is one service for
// all, which takes calls in turn and works on those too that have waited too long. Once
// the callers of 2 s are more than it can serve in 2 s, and ask again as soon, none is
// served any more.
const fewAgents = 20.0

const (
	// askAgain is the most from the begin of a call that failed to that of the next, in ms,
	// for any number of agents: whatever failed before, what discovery has to tell counts as
	// told 6 s after it could be reached, and the call has to wait its turn there, too.
	askAgain = 4000.0
	// leastWait keeps some time between calls that take long to fail.
	leastWait = 200.0
	// servedWait bounds the wait after a subscription that was served ended, in ms: what it
	// ended instead of telling counts as told 2 s later, and discovery may hold the next call
	// for nearly all of that (issue 26).
	servedWait = 200.0
	// quickCalls is how many calls in a row follow so soon on an answer of which a part came.
	quickCalls = 2
	// firstWithin bounds the time until a new process asks for the first time: its list may
	// be old.
	firstWithin = 3500.0
)

// askers is how many times as many agents there are as may ask often.
func (b *Balancer) askers() float64 { return max(float64(b.set.Replicas)/fewAgents, 1) }

// followIn lets the subscription be asked for after a wait. There is one such time, however
// many calls fail.
func (b *Balancer) followIn(wait float64) {
	if !b.following {
		b.following, b.followDue = true, b.now+wait
		b.do(Action{Kind: ActTimer, Ms: wait, Token: followToken})
	}
}

// follow asks for the subscription when its time has come; one that was set before and taken
// back finds it still to come, or over.
func (b *Balancer) follow() {
	if b.following && b.now >= b.followDue-1 {
		b.following, b.followed, b.followAt = false, false, b.now
		b.do(Action{Kind: ActWatchList})
	}
}

// firstFollow spreads the first calls over a part of the contract's time: agents that
// start together must not all call at once.
func (b *Balancer) firstFollow() {
	b.followIn(b.rng.Float64() * min(b.set.Contract.ListPollWithinMs/8*min(b.askers(), 4), firstWithin))
}

// followAgain sets the time for the next call after one failed, or a subscription ended.
// A call that was given up late is repeated the sooner, and one that had been served at once.
func (b *Balancer) followAgain() {
	b.follows++
	if b.follows == 1 {
		b.following = false // the time of the first call is of no use any more
	}
	ask, u := b.set.Contract.ListPollWithinMs/5, b.rng.Float64()
	if b.inDoubt() && b.follows <= quickCalls {
		b.followIn(min(servedWait, ask) * u) // an answer is owed
		return
	}
	if b.followed && b.follows == 1 {
		apart := min(1000, ask)*(1+u)/2 - (b.now - b.followAt) // from call to call
		b.followIn(max(apart, min(servedWait, ask)*u))
		b.atOnce = true
		return
	}
	failures := b.follows
	if b.atOnce { // one that is refused for coming at once is the first that failed
		failures--
	}
	wait := min(1000, ask) * (1 + u) / 2
	if failures > 1 { // the first may have been the agent's own bad luck
		ask *= min(b.askers(), 5)
		wait = min(500*math.Pow(2, float64(failures))*b.askers(), ask, askAgain) * (3 + u) / 4
	}
	if !b.followed {
		wait = min(wait, askAgain*(3+u)/4-(b.now-b.followAt))
	}
	b.followIn(max(wait, leastWait*(1+u)))
}

// refetch asks for the whole list, seldom: every call loads discovery, by the line. Where
// many share it, all that saw one server fail would ask in step and be in the way of the
// subscriptions, which cost only the lines that changed and tell as much.
func (b *Balancer) refetch() {
	if b.set.Membership == "on_request" && b.askers() > 1 {
		return
	}
	if b.now-b.lookedAt >= max(b.set.Contract.ListPollWithinMs, 1000) {
		b.lookedAt = b.now
		b.do(Action{Kind: ActFetchList})
	}
}

func (b *Balancer) onList(ev *Event) {
	switch ev.List {
	case ListFailed:
		b.partEnded = true
		if b.set.Membership == "on_request" {
			b.followAgain()
		}
		return
	case ListPartial:
		b.onPart(ev)
		return
	case ListSourceChanged:
		b.follows, b.followed, b.atOnce = 0, true, false
		return
	}
	b.follows, b.followed, b.atOnce = 0, true, false
	b.confirm()
	b.epoch++
	if b.zones == 0 {
		zones := map[int]bool{}
		for i := range ev.Entries {
			zones[ev.Entries[i].Zone] = true
		}
		b.zones = uint64(len(zones))
	}
	named := map[Addr]bool{}
	for i := range ev.Entries {
		named[ev.Entries[i].Server] = true
		b.update(&ev.Entries[i])
	}
	if ev.List != ListChange {
		for _, s := range b.servers {
			s.usable = s.usable && named[s.id]
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := !s.usable && len(s.out) == 0 && !s.probing
		if forget {
			delete(b.byAddr, s.id)
		}
		return forget
	})
}

func (b *Balancer) update(e *Entry) {
	s, since := b.byAddr[e.Server], finite(e.StartedMs)
	if s == nil {
		s = &server{id: e.Server, hash: mix(hashAddr(e.Server)), state: Unknown, since: b.now,
			window: min(firstWindow, b.mostWindow()), startedAt: since, listedAt: since,
			credit: b.rng.Float64()}
		b.byAddr[s.id] = s
		s.zone = e.Zone
		i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
			return cmp.Compare(b.distance(x), b.distance(y))
		})
		b.servers = slices.Insert(b.servers, i, s)
	}
	if since > s.listedAt {
		// A new process: nothing known of the old one holds, and it is cold. Its credit
		// starts at random: of many agents that each earn it a part of one request, as
		// many send one as the parts add up to; from 0 none would before it is warm.
		s.listedAt = since
		s.startedAt, s.state, s.since, s.silent, s.choked = since, Unknown, b.now, false, false
		s.strikes, s.good, s.lat, s.samples, s.window, s.credit = 0, 0, 0, 0, 1, b.rng.Float64()
	}
	s.zone, s.cell, s.kind, s.usable = e.Zone, e.Cell, e.Kind, e.Health == Ready
	s.weight = 1
	if w := finite(e.Weight); w > 0 {
		s.weight = w
	}
}

// distance is a server's place in the agent's own order, whose first ones are its subset.
// Where crossing has a price about half of them are of the agent's own zone.
func (b *Balancer) distance(s *server) uint64 {
	d := mix(s.hash ^ mix(uint64(b.set.Index)+1))
	if s.zone == b.set.Zone && b.set.Prices.CrossZone > 0 {
		d /= max(b.zones, 1)
	}
	return d
}
