// This file holds the decisions on how much an agent sends, and on how it knows a crowded
// server, where so many share the servers that no window of its own can bound what all of
// them have out at one.

package policy

import (
	"math"
	"slices"
)

const (
	// paceWeight is the weight of an answer in the pace, the mean logarithm of answer times
	// as parts of the aim: an agent that sees twenty answers a second knows within one that
	// they take twice as long, which a mean of the times themselves would not tell.
	paceWeight = 0.1
	// paceRise and paceFall are how fast the calm pace follows the pace up and down.
	paceRise, paceFall = 0.001, 0.05
	// paceFactor is how many times the calm answer time shows that servers are crowded.
	paceFactor = 2.5
	// paceClip is how many times the calm answer time an answer counts for at the most: one
	// bad server's are no crowd.
	paceClip = 6.0
	// paceSpan is how long the pace takes to be forgotten where nothing is answered, and
	// roomSpan in how long the agent's room grows e-fold where answers are calm, in ms.
	paceSpan, roomSpan = 3000.0, 1500.0
	// roomMost is how many times its even share of what all servers may hold an agent may
	// have out where they are calm: some agents have much more to send than most.
	roomMost = 1.5
	// leastRest is for how many aims at the least a server that was found crowded or silent
	// gets nothing: one that choked is well again only when it has been idle for as long,
	// and eighty agents that each look sooner and send one request keep it busy.
	leastRest = 8.0
	// atRest is how many requests a server that was found crowded may report to hold when it
	// is sent to again: one, as reports are a little noisy. With a few it is still busy all
	// the time, and stays as slow as it is.
	atRest = 1.5
)

// many tells whether a window of one attempt an agent is more than a server should hold.
func (b *Balancer) many() bool { return float64(b.set.Replicas) > 2*standing }

// notePace takes the time of an answer, as a part of its aim.
func (b *Balancer) notePace(x float64) {
	if !b.many() {
		return
	}
	x = math.Log(max(x, 1e-4))
	b.refill()
	b.paced++
	if b.paced > learnFor {
		x = min(x, b.calmPace+math.Log(paceClip))
	}
	b.pace += (x - b.pace) * max(paceWeight, 1/b.paced)
	switch {
	case b.paced <= learnFor:
		b.calmPace += (x - b.calmPace) / b.paced
		if b.paced == learnFor { // a crowd at the start is not taken for calm
			b.calmPace = min(b.calmPace, math.Log(crowdShare/4))
		}
		return
	case b.pace < b.calmPace:
		b.calmPace += (b.pace - b.calmPace) * paceFall
	default:
		b.calmPace += (b.pace - b.calmPace) * paceRise
	}
	if b.crowding() > 0 {
		b.room = min(b.room, b.evenRoom())
	}
}

// crowding is how far the pace is above what may still be calm.
func (b *Balancer) crowding() float64 { return b.pace - b.calmPace - math.Log(paceFactor) }

// refill brings what depends on time up to now: the pace and the room.
func (b *Balancer) refill() {
	passed := b.now - b.refilledAt
	b.refilledAt = b.now
	b.pace = b.calmPace + (b.pace-b.calmPace)*math.Exp(-passed/paceSpan)
	if b.crowding() <= 0 {
		b.room *= math.Exp(passed / roomSpan)
	}
	b.room = min(b.room, max(roomMost*b.evenRoom(), 1))
}

// evenRoom is the agent's even share of what all servers that can be sent to may hold.
func (b *Balancer) evenRoom() float64 {
	n := 0.0
	for _, s := range b.servers {
		if s.usable && s.state != Unhealthy {
			n += b.ramp(s)
		}
	}
	return standing * n / float64(b.set.Replicas)
}

// mayAdd tells whether the agent has room for one more attempt. What has been out for
// an aim counts no more: it waits on a bad server, or in a queue that others drain.
func (b *Balancer) mayAdd() bool {
	if !b.many() || b.paced <= learnFor {
		return true
	}
	b.refill()
	left := b.room
	for _, s := range b.servers {
		for _, a := range s.out {
			if b.now-a.sentAt < b.aimMin {
				left--
			}
		}
	}
	// Room for less than one is kept by pausing.
	return left >= 1 || left > 0 && b.now-b.sentAt >= math.Exp(b.pace)*b.aimMin/left
}

// suspect tells whether an answer, or the time without one, as a part of the aim, is a
// reason to look how a server is. By its answers alone an agent that meets a server every
// few seconds would send it a dozen requests before it knew that it is choked.
func (b *Balancer) suspect(x float64) bool {
	return b.many() && b.set.Limits.Probing && x > crowdShare
}

// crowded tells whether a server reports more requests than all agents may have out at it,
// or, once it was found so, that it is not yet at rest. Its probes are answered beside the
// queue, and say nothing of that otherwise.
func (b *Balancer) crowded(s *server, report []float32) bool {
	i := slices.Index(b.set.Report.Names, "inflight")
	most := float32(standing)
	if s.choked {
		most = atRest
	}
	return b.many() && i >= 0 && i < len(report) && report[i] > most
}

// lapse is how long a server waits for its validation before it counts as healthy again.
func (b *Balancer) lapse() float64 {
	if b.many() {
		return 10 * b.aimMin
	}
	return b.aimMin
}

// probeCap bounds the validations under way at once.
func (b *Balancer) probeCap() int {
	if b.many() {
		return max(leastProbes, len(b.servers)/8)
	}
	return leastProbes
}

// takeBack gives up what is out at a server that was found crowded or silent, to be sent
// elsewhere while there is time: what waits there is late, and keeps the server choked.
func (b *Balancer) takeBack(s *server) {
	if !b.many() || !b.set.Limits.Cancelling {
		return
	}
	for _, a := range s.out {
		c := &b.set.Classes[a.r.class]
		if !a.r.closed && !a.r.started && (c.Effect == Idempotent || c.Effect == Deduplicated && c.Group == GroupAll) {
			b.do(Action{Kind: ActCancel, Request: a.r.id, Attempt: a.index})
		}
	}
}
