// This file holds the choice of a server for a request: tiers by health, then weighted rendezvous hashing
// of the request's key with bounded loads.

package policy

import (
	"math"
)

const (
	// boundedLoadFactor is the load cap of a server, as a multiple of its even share of the agent's attempts
	// in flight. Above it, a request moves on to the next server in its key's hash order.
	boundedLoadFactor = 3.0
	// affinityWaitShare is the fraction of its target latency for which a request may wait for one of the
	// first affinityServers servers in its hash order. A request that moved on immediately under load would
	// miss the warm cache just when time is short.
	affinityWaitShare, affinityServers = 0.25, 2
	// keyHistory is the number of recent requests over which keys are counted. A key with as much load as a
	// server's even share is split into up to keySplitFactor parts.
	keyHistory, keySplitFactor = 128, 4.0
	// minSubsetSize is the smallest subset of the fleet that an agent sends to.
	minSubsetSize = 16
)

// healthTiers is the number of tiers that healthTier distinguishes.
const healthTiers = 3

// healthTier is the server's tier for the request; tier 0 is preferred.
func (b *Balancer) healthTier(s *server, r *request) int {
	switch s.state {
	case Unhealthy:
		return 2
	case UnhealthyPending:
		// A non-idempotent request does not validate a server while others are healthy.
		nonIdempotent := b.settings.Classes[r.class].Effect == NonIdempotent
		if nonIdempotent || b.settings.Limits.Probing && b.now-s.stateSince < b.pendingTimeout() {
			return 1
		}
	}
	return 0
}

// pickServer returns the server for the request, or nil if no server accepts it. It picks from the best tier
// that has servers: the first server in the key's hash order that is under its load cap and has capacity.
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

// scoreTier scores the servers of a tier that belong to the agent's subset, and sets the request's
// tierWeight. The candidates are the servers with capacity, or all servers if the request awaits affinity;
// first holds the first candidates in hash order. The slice of candidates is valid until the next call.
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

// subsetSize is the number of servers of a tier that the agent sends to, the first in subsetOrder: as many as
// it can send to every few seconds. An agent with few requests that sent to each server of the fleet once a
// minute opened a connection for each request and could not learn which servers were slow or hung (case
// id753de). The order differs between agents, so that each server gets its share; keys are hashed within
// the subset. If new connections have no price, the subset is larger, as more servers keep more keys warm.
func (b *Balancer) subsetSize() int {
	n := b.recentRequests
	if b.settings.Limits.KeepaliveMs <= 0 {
		n = math.Inf(1)
	} else if b.settings.Prices.Handshake > 0 {
		n /= 4
	}
	return int(min(max(n, minSubsetSize), float64(len(b.servers))))
}

// awaitsAffinity reports whether the request still waits for the first servers in its hash order.
func (b *Balancer) awaitsAffinity(r *request) bool {
	return r.key != 0 && len(r.attempts) == 0 &&
		b.now-r.arrivedAt < affinityWaitShare*(r.targetAt-r.arrivedAt)
}

// affinityHash returns the hash that determines the order of servers for a key. A popular key is split into
// parts, each with its own order: otherwise one key put twenty times the load on its server that the server
// can serve (case id753de), and the load cap has no effect when each agent has only one request in
// flight. With few agents, each sees enough of a server's load for the cap, so the key is split less or not
// at all.
func (b *Balancer) affinityHash(key uint64) uint64 {
	if key == 0 {
		return b.rng.Uint64()
	}
	share := b.recentKeys.add(key) - 1.0/keyHistory
	servers := float64(b.subsetSize())
	splitWeight := min(float64(b.settings.Replicas)/max(boundedLoadFactor*servers, 1), 1)
	parts := max(share*keySplitFactor*servers*splitWeight, 1)
	// Part 0 uses the key's own order.
	return key + uint64(parts*b.rng.Float64())*0x9e3779b97f4a7c15
}

// score is the server's score for the request by weighted rendezvous hashing; the lowest score is first in
// hash order. All agents of a zone compute the same order for a key, and a server's share of the keys is
// proportional to its weight.
func (b *Balancer) score(r *request, s *server) float64 {
	x := splitMix64(r.hash ^ s.hash)
	u := float64(x>>11) / (1 << 53)
	// A cold server may rank higher than its share warrants: its slow-start budget limits it.
	w := s.weight * b.kinds[s.kind&255].weight * min(4*b.slowStartShare(s), 1)
	if s.zone == b.settings.Zone {
		w *= b.localZoneWeight
	}
	return -math.Log(u+1e-18) / w
}

// accepts reports whether the server has capacity and is under its load cap, which is relative to the tier of
// the request's last pick.
func (b *Balancer) accepts(s *server, r *request) bool {
	share := s.weight * b.slowStartFactor(s) / r.tierWeight
	return float64(len(s.inFlight)) < math.Ceil(boundedLoadFactor*float64(b.inFlight+1)*share) &&
		b.hasCapacity(s, r)
}

// hasCapacity limits the attempts of this agent in flight to a server: by its concurrency limit, to one at
// a time until it is validated, and by the slow-start budget of a cold server.
func (b *Balancer) hasCapacity(s *server, r *request) bool {
	if s.state >= UnhealthyPending {
		return len(s.inFlight) == 0
	}
	// Under a limit below 1, attempts are spaced out in time: with many agents even one attempt of each can
	// be too much, and a collapsed server needs idle time to recover.
	if len(s.inFlight) >= max(int(s.concurrencyLimit), 1) ||
		s.concurrencyLimit < 1 && b.now-s.lastSentAt < s.latencyMs/s.concurrencyLimit {
		return false
	}
	return b.slowStartFactor(s) == 1 || s.slowStartBudget >= b.cost(r) ||
		b.warmWeight() == 0 && (b.now-s.lastSentAt)*b.warmWork*s.weight*b.slowStartShare(s) >=
			b.cost(r)*b.settings.Contract.SlowStartMs
}
