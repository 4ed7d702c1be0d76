// This file holds the decisions on which server gets a request: tiers by health, then weighted
// rendezvous hashing of the request's key with bounded loads.

package policy

import (
	"math"
)

const (
	// boundedLoadFactor is how far above its even share of the agent's attempts a server may go
	// before a key's request moves on to the next server in hash order.
	boundedLoadFactor = 3.0
	// affinityWait is the part of its target latency that a request may wait for one of the
	// affinityServers first in its hash order: going on at once would lose the warm key just when
	// time is short.
	affinityWait, affinityServers = 0.25, 2
	// keyHistory is over how many requests keys are counted. A key with the load of a server's even
	// share is split into keySplitFactor parts.
	keyHistory, keySplitFactor = 128, 4.0
	// minSubsetSize is the smallest subset of the fleet that an agent sends to.
	minSubsetSize = 16
)

// healthTiers is how many tiers of servers healthTier tells apart.
const healthTiers = 3

// healthTier is the server's tier for the request; servers of tier 0 are preferred.
func (b *Balancer) healthTier(s *server, r *request) int {
	switch s.state {
	case Unhealthy:
		return 2
	case UnhealthyPending:
		// A request that must not run twice does not validate a server while others are healthy.
		nonIdempotent := b.settings.Classes[r.class].Effect == NonIdempotent
		if nonIdempotent || b.settings.Limits.Probing && b.now-s.stateSince < b.pendingTimeout() {
			return 1
		}
	}
	return 0
}

// pickServer returns the server for the request, or nil where none accepts it: of the best tier that
// has servers, the first in the order of the key's hash that is under its cap and has capacity.
func (b *Balancer) pickServer(r *request) *server {
	awaitsAffinity, subset := b.awaitsAffinity(r), b.subsetSize()
	for tier := range healthTiers {
		candidates, first := b.scoreTier(r, tier, awaitsAffinity, subset)
		if r.tierWeight == 0 {
			continue // the tier is empty
		}
		if awaitsAffinity && len(candidates) > affinityServers {
			r.affinity, r.affinityEpoch = first, b.epoch
			candidates = first[:]
		}
		var best *server
		for _, s := range candidates {
			if (best == nil || s.score < best.score) && b.accepts(s, r) {
				best = s
			}
		}
		return best
	}
	return nil
}

// scoreTier scores the servers of the agent's subset of a tier. It returns all that have capacity, or
// just all where the request awaits affinity, and the first of these in hash order. The result stays
// valid until the next call. It sets the weight of the tier in the request.
func (b *Balancer) scoreTier(r *request, tier int, awaitsAffinity bool, subset int) (
	candidates []*server, first [affinityServers]*server) {
	candidates = b.tierScratch[:0]
	r.tierWeight = 0
	seen := 0
	for _, s := range b.servers {
		if b.healthTier(s, r) != tier || !b.maySend(r, s) {
			continue
		}
		if seen++; seen > subset && len(candidates) > 0 {
			break
		}
		r.tierWeight += s.weight * b.slowStartFactor(s)
		if !awaitsAffinity && !b.hasCapacity(s, r) {
			continue
		}
		s.score = b.score(r, s)
		candidates = append(candidates, s)
		for i, at := 0, s; i < affinityServers && at != nil; i++ {
			if first[i] == nil || at.score < first[i].score {
				first[i], at = at, first[i]
			}
		}
	}
	b.tierScratch = candidates
	return candidates, first
}

// subsetSize is how many servers of a tier, in an order of its own, an agent sends to: those that it
// can meet every few seconds. An agent with few requests met each server of the fleet once a minute:
// it opened a connection for each request and could not learn which were slow or hung (id753de).
// Orders differ between agents, so each server keeps its share; keys find theirs within. Where
// connections have no price, more servers keep more keys warm.
func (b *Balancer) subsetSize() int {
	n := b.recentRequests
	if b.settings.Limits.KeepaliveMs <= 0 {
		n = math.Inf(1)
	} else if b.settings.Prices.Handshake > 0 {
		n /= 4
	}
	return int(min(max(n, minSubsetSize), float64(len(b.servers))))
}

// awaitsAffinity reports whether the request still waits for the servers first in its hash order.
func (b *Balancer) awaitsAffinity(r *request) bool {
	return r.key != 0 && len(r.attempts) == 0 &&
		b.now-r.arrivedAt < affinityWait*(r.targetAt-r.arrivedAt)
}

// affinityHash gives a key the hash that orders the servers for it. A popular key is split into parts,
// each with its own order: one key was twenty times what its server can do (id753de), and with one
// request in flight the cap sees nothing of that. The fewer agents share a server, the more each of
// them sees, and the splitting is left to the cap.
func (b *Balancer) affinityHash(key uint64) uint64 {
	if key == 0 {
		return b.rng.Uint64()
	}
	share := b.recentKeys.add(key) - 1.0/keyHistory
	servers := float64(b.subsetSize())
	splitWeight := min(float64(b.settings.Replicas)/max(boundedLoadFactor*servers, 1), 1)
	parts := max(share*keySplitFactor*servers*splitWeight, 1)
	// Part 0 keeps the key's own order.
	return key + uint64(parts*b.rng.Float64())*0x9e3779b97f4a7c15
}

// score orders servers by weighted rendezvous hashing, the lowest score first: every agent of a zone
// finds the same order for a key, and a server's share of keys is that of its weight.
func (b *Balancer) score(r *request, s *server) float64 {
	x := splitMix64(r.hash ^ s.hash)
	u := float64(x>>11) / (1 << 53)
	// A cold server may stand further in front than its share: its slow-start budget limits it.
	w := s.weight * b.kinds[s.kind&255].weight * min(4*b.slowStartShare(s), 1)
	if s.zone == b.settings.Zone {
		w *= b.localZoneWeight
	}
	return -math.Log(u+1e-18) / w
}

// accepts reports whether the server is under its cap in the tier of the request's last pick and has
// capacity.
func (b *Balancer) accepts(s *server, r *request) bool {
	share := s.weight * b.slowStartFactor(s) / r.tierWeight
	return float64(len(s.inFlight)) < math.Ceil(boundedLoadFactor*float64(b.inFlight+1)*share) &&
		b.hasCapacity(s, r)
}

// hasCapacity bounds what a server has in flight of this agent: its concurrency limit, one attempt at
// a time until it is validated, and a cold server's slow-start budget.
func (b *Balancer) hasCapacity(s *server, r *request) bool {
	if s.state >= UnhealthyPending {
		return len(s.inFlight) == 0
	}
	// A limit below one is kept by pausing: with many agents even one attempt of each can be too
	// much, and a server that collapsed needs rest to recover.
	if len(s.inFlight) >= max(int(s.concurrencyLimit), 1) ||
		s.concurrencyLimit < 1 && b.now-s.lastSentAt < s.latencyMs/s.concurrencyLimit {
		return false
	}
	return b.slowStartFactor(s) == 1 || s.slowStartBudget >= b.cost(r) ||
		b.warmWeight() == 0 && (b.now-s.lastSentAt)*b.warmWork*s.weight*b.slowStartShare(s) >=
			b.cost(r)*b.settings.Contract.SlowStartMs
}
