package endpoints

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// CallOutcome tells how a call or a watch ended.
type CallOutcome uint8

// How a call or a watch ends.
const (
	OutcomeFailed     CallOutcome = iota // no answer, an error, silence, or a line that makes no sense
	OutcomeStale                         // the service knew less than the reader, or has no list of now
	OutcomeRedirected                    // it ended the watch in order: it wants the reader elsewhere
	OutcomeBusy                          // it sent the reader away, with a time to come back
)

const (
	// A call that follows one that ended waits a random time, up to a bound that doubles
	// from initialBackoff to maxBackoff ("full jitter": M. Brooker, "Exponential Backoff and
	// Jitter", AWS Architecture Blog, 2015).
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// An address that failed is not the first choice for as long, doubled each time.
	initialAvoidance = time.Second
	maxAvoidance     = 30 * time.Second
	// staleAvoidance is for one that was behind, and redirectAvoidance for one that sent the reader
	// elsewhere, which would only do so again.
	staleAvoidance    = 5 * time.Second
	redirectAvoidance = 30 * time.Second
	maxRetryAfter     = 5 * time.Second
)

// TokenBucket is a budget: so many at once, and so many a second in the long run.
type TokenBucket struct {
	Burst float64
	Rate  float64

	spent      float64
	refilledAt time.Duration
}

// Take takes one out of the budget, if there is one.
func (b *TokenBucket) Take(now time.Duration) bool {
	b.spent = max(b.spent-b.Rate*(now-b.refilledAt).Seconds(), 0)
	b.refilledAt = now
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// AddressSelector decides which address of the list service is asked, and after which wait. It is
// pure: clock and chance come from outside.
//
// When a list is asked for is decided elsewhere; that is a round, and its first call is
// free. What follows in the round, because a call failed or a watch ended, is paid from a
// budget that gets smaller with the fleet: a fault that all readers see at once must not
// make them many times as many.
type AddressSelector struct {
	orderSeed       uint64
	candidates      []candidate // in the reader's own order
	budget          TokenBucket
	firstCall       bool
	attempts        int // since one served
	budgetExhausted int64
}

type candidate struct {
	addr                string
	rank                uint64
	avoidUntil          time.Duration // until then any other is better
	busyUntil           time.Duration // until then it doesn't want to be asked
	consecutiveFailures int
}

// NewAddressSelector makes a chooser for one reader of a fleet of so many. The order gives the
// reader an order of its own, so that readers spread over the addresses.
func NewAddressSelector(addresses []string, order uint64, fleet int) *AddressSelector {
	selector := &AddressSelector{orderSeed: order, budget: TokenBucket{Rate: min(0.5, 100/float64(max(fleet, 1)))}}
	selector.SetAddresses(addresses)
	return selector
}

// SetAddresses changes the addresses. What is known of those that stay is kept.
func (s *AddressSelector) SetAddresses(addresses []string) {
	var candidates []candidate
	for _, addr := range addresses {
		kept := candidate{addr: addr, rank: rendezvousRank(s.orderSeed, addr)}
		if i := s.index(addr); i >= 0 {
			kept = s.candidates[i]
		}
		candidates = append(candidates, kept)
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.addr, b.addr)) })
	s.candidates = slices.CompactFunc(candidates, func(a, b candidate) bool { return a.addr == b.addr })
	s.budget.Burst = float64(len(s.candidates) + 1)
}

// rendezvousRank is an address's place in a reader's order: rendezvous hashing, so that readers of a
// lost address spread over all others, and the rest stay where they are.
func rendezvousRank(order uint64, addr string) uint64 {
	hasher := fnv.New64a()
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], order)
	_, _ = hasher.Write(seed[:])
	_, _ = hasher.Write([]byte(addr))
	hash := hasher.Sum64()
	// FNV alone mixes the last bytes too little for an order (finalizer of SplitMix64).
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

func (s *AddressSelector) index(addr string) int {
	return slices.IndexFunc(s.candidates, func(p candidate) bool { return p.addr == addr })
}

// Has tells whether the address is one of the set.
func (s *AddressSelector) Has(addr string) bool { return s.index(addr) >= 0 }

// Others is how many addresses there are beside the one that is asked.
func (s *AddressSelector) Others() int { return max(len(s.candidates)-1, 0) }

// BudgetExhausted is how often the budget ended a round.
func (s *AddressSelector) BudgetExhausted() int64 { return s.budgetExhausted }

// BeginRound begins a round.
func (s *AddressSelector) BeginRound() { s.firstCall, s.attempts = true, 0 }

// Next gives the address for the next call and how long it has to wait, by a random number
// from 0 to below 1. Not ok ends the round: each address had its turn since one served, or
// the budget is spent, or there is only one address, which is left to the next round.
func (s *AddressSelector) Next(now time.Duration, random float64) (addr string, wait time.Duration, ok bool) {
	if len(s.candidates) == 0 {
		return "", 0, false
	}
	if !s.firstCall {
		if len(s.candidates) == 1 || s.attempts >= len(s.candidates) {
			return "", 0, false
		}
		if !s.budget.Take(now) {
			s.budgetExhausted++
			return "", 0, false
		}
		wait = time.Duration(random * float64(min(initialBackoff<<s.attempts, maxBackoff)))
	}
	s.firstCall = false
	s.attempts++
	callAt := now + wait
	best := &s.candidates[0]
	for i := range s.candidates {
		candidate := &s.candidates[i]
		if availableAt(candidate, callAt) < availableAt(best, callAt) {
			best = candidate
		}
	}
	return best.addr, max(wait, min(best.busyUntil-now, maxRetryAfter)), true
}

// availableAt is when a place is a first choice again, or now: the first in order of those wins.
func availableAt(c *candidate, now time.Duration) time.Duration {
	return max(c.avoidUntil, c.busyUntil, now)
}

// ListReceived is told that an address gave a list.
func (s *AddressSelector) ListReceived(addr string) {
	s.attempts = 0
	if i := s.index(addr); i >= 0 {
		s.candidates[i].consecutiveFailures, s.candidates[i].avoidUntil, s.candidates[i].busyUntil = 0, 0, 0
	}
}

// CallEnded is told how a call or a watch ended; retry is the time that a busy one gave.
func (s *AddressSelector) CallEnded(now time.Duration, addr string, outcome CallOutcome, retryAfter time.Duration) {
	i := s.index(addr)
	if i < 0 {
		return
	}
	candidate := &s.candidates[i]
	switch outcome {
	case OutcomeFailed:
		candidate.avoidUntil = now + min(initialAvoidance<<min(candidate.consecutiveFailures, 10), maxAvoidance)
		candidate.consecutiveFailures++
	case OutcomeStale:
		candidate.avoidUntil = now + staleAvoidance
	case OutcomeRedirected:
		candidate.avoidUntil = now + redirectAvoidance
	case OutcomeBusy:
		candidate.busyUntil = now + min(max(retryAfter, 0), maxRetryAfter)
	}
}
