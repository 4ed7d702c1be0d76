package endpoints

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// CallOutcome classifies how a failed fetch or a finished watch ended.
type CallOutcome uint8

// Outcomes of a fetch or a watch.
const (
	OutcomeFailed     CallOutcome = iota // no response, an error, a silence timeout, or a malformed list
	OutcomeStale                         // the server has an older list than the reader, or no current one
	OutcomeRedirected                    // the server closed the watch: the reader should use another server
	OutcomeBusy                          // the server rejected the call with a Retry-After time
)

const (
	// Each call of a round after the first waits a random time up to a bound that doubles from
	// initialBackoff to maxBackoff ("full jitter": M. Brooker, "Exponential Backoff and Jitter", AWS Architecture
	// Blog, 2015).
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// An address that failed is avoided for initialAvoidance, doubled with each consecutive failure up
	// to maxAvoidance. maxAvoidanceShift keeps the doubling from overflowing.
	initialAvoidance  = time.Second
	maxAvoidance      = 30 * time.Second
	maxAvoidanceShift = 10
	// An address with a stale list is avoided for staleAvoidance. An address that redirected the
	// reader is avoided for redirectAvoidance, as it would redirect the reader again.
	staleAvoidance    = 5 * time.Second
	redirectAvoidance = 30 * time.Second
	// maxRetryAfter caps the wait that a busy server can ask for.
	maxRetryAfter = 5 * time.Second
)

const (
	// maxReaderRate and maxFleetRate limit how fast the call budget refills, in calls per second: for
	// one reader, and for all readers of the fleet together.
	maxReaderRate = 0.5
	maxFleetRate  = 100
)

// AddressSelector decides which address of the list service the next call goes to, and how long that
// call waits. It has no clock and no random source of its own: the caller passes both in. It is not
// safe for concurrent use.
//
// A round begins when the reader needs a list or a watch. Its first call is not charged. Each further
// call of the round, after a failed call or a finished watch, is charged to a budget. The larger
// the fleet, the more slowly the budget refills, so that a fault that all readers notice at once doesn't
// multiply their calls.
type AddressSelector struct {
	orderSeed       uint64
	candidates      []candidate // in the reader's own order
	budget          TokenBucket
	firstCall       bool // the next call is the first one of its round
	attempts        int  // calls of this round since the last list received
	budgetExhausted int64
}

// candidate is an address and the state of past calls to it.
type candidate struct {
	addr                string
	rank                uint64        // sort key in the reader's own order
	avoidUntil          time.Duration // time until which other addresses are preferred
	busyUntil           time.Duration // time until which the server asked for no calls
	consecutiveFailures int
}

// NewAddressSelector returns a selector for one reader of a fleet of fleetSize readers. orderSeed
// seeds the reader's own order of the addresses: readers with different seeds spread over the
// addresses.
func NewAddressSelector(addresses []string, orderSeed uint64, fleetSize int) *AddressSelector {
	rate := min(maxReaderRate, maxFleetRate/float64(max(fleetSize, 1)))
	selector := &AddressSelector{orderSeed: orderSeed, budget: TokenBucket{Rate: rate}}
	selector.SetAddresses(addresses)
	return selector
}

// SetAddresses replaces the addresses. An address that stays keeps its state.
func (s *AddressSelector) SetAddresses(addresses []string) {
	var candidates []candidate
	for _, addr := range addresses {
		next := candidate{addr: addr, rank: rendezvousRank(s.orderSeed, addr)}
		if i := s.index(addr); i >= 0 {
			next = s.candidates[i]
		}
		candidates = append(candidates, next)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.addr, b.addr))
	})
	s.candidates = slices.CompactFunc(candidates, func(a, b candidate) bool { return a.addr == b.addr })
	s.budget.Burst = float64(len(s.candidates) + 1)
}

// rendezvousRank returns the sort key of an address in a reader's order. It is rendezvous hashing: when
// an address is lost, its readers spread over all others, and every other reader keeps its address.
func rendezvousRank(orderSeed uint64, addr string) uint64 {
	hasher := fnv.New64a()
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], orderSeed)
	_, _ = hasher.Write(seed[:])
	_, _ = hasher.Write([]byte(addr))
	hash := hasher.Sum64()
	// FNV alone does not mix the last bytes enough to sort by; this is the finalizer of SplitMix64.
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// index returns the position of an address among the candidates, or -1.
func (s *AddressSelector) index(addr string) int {
	return slices.IndexFunc(s.candidates, func(c candidate) bool { return c.addr == addr })
}

// Has reports whether addr is one of the addresses.
func (s *AddressSelector) Has(addr string) bool { return s.index(addr) >= 0 }

// OtherCount returns the number of addresses other than the one in use.
func (s *AddressSelector) OtherCount() int { return max(len(s.candidates)-1, 0) }

// BudgetExhausted returns how many rounds ended because the budget was exhausted.
func (s *AddressSelector) BudgetExhausted() int64 { return s.budgetExhausted }

// BeginRound begins a round.
func (s *AddressSelector) BeginRound() { s.firstCall, s.attempts = true, 0 }

// Next returns the address of the next call and how long to wait before it. The wait is derived from
// random, a number in [0, 1). ok is false at the end of the round: every address was called since the
// last list was received, the budget is exhausted, or there is only one address, which is called once
// per round.
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
	best := s.firstAvailable(now + wait)
	return best.addr, max(wait, min(best.busyUntil-now, maxRetryAfter)), true
}

// firstAvailable returns the candidate that becomes available first, at the given time or later. Among
// those available at the given time, it returns the first in the reader's order. There must be at
// least one candidate.
func (s *AddressSelector) firstAvailable(at time.Duration) *candidate {
	best := &s.candidates[0]
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.availableAt(at) < best.availableAt(at) {
			best = c
		}
	}
	return best
}

// availableAt returns the time from which the candidate no longer has to be avoided, at least now.
func (c *candidate) availableAt(now time.Duration) time.Duration {
	return max(c.avoidUntil, c.busyUntil, now)
}

// ListReceived records that an address returned a list: the address is no longer avoided, and every
// address may be called again in this round.
func (s *AddressSelector) ListReceived(addr string) {
	s.attempts = 0
	if i := s.index(addr); i >= 0 {
		c := &s.candidates[i]
		c.consecutiveFailures, c.avoidUntil, c.busyUntil = 0, 0, 0
	}
}

// CallEnded records how a call ended. retryAfter is the wait that a busy server asked for; it
// is used for OutcomeBusy only.
func (s *AddressSelector) CallEnded(now time.Duration, addr string, outcome CallOutcome, retryAfter time.Duration) {
	i := s.index(addr)
	if i < 0 {
		return
	}
	c := &s.candidates[i]
	switch outcome {
	case OutcomeFailed:
		c.avoidUntil = now + min(initialAvoidance<<min(c.consecutiveFailures, maxAvoidanceShift), maxAvoidance)
		c.consecutiveFailures++
	case OutcomeStale:
		c.avoidUntil = now + staleAvoidance
	case OutcomeRedirected:
		c.avoidUntil = now + redirectAvoidance
	case OutcomeBusy:
		c.busyUntil = now + min(max(retryAfter, 0), maxRetryAfter)
	}
}
