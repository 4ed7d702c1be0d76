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
func NewAddressSelector(addrs []string, order uint64, fleet int) *AddressSelector {
	c := &AddressSelector{orderSeed: order, budget: TokenBucket{Rate: min(0.5, 100/float64(max(fleet, 1)))}}
	c.SetAddresses(addrs)
	return c
}

// SetAddresses changes the addresses. What is known of those that stay is kept.
func (c *AddressSelector) SetAddresses(addrs []string) {
	var places []candidate
	for _, addr := range addrs {
		p := candidate{addr: addr, rank: rendezvousRank(c.orderSeed, addr)}
		if i := c.index(addr); i >= 0 {
			p = c.candidates[i]
		}
		places = append(places, p)
	}
	slices.SortFunc(places, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.addr, b.addr)) })
	c.candidates = slices.CompactFunc(places, func(a, b candidate) bool { return a.addr == b.addr })
	c.budget.Burst = float64(len(c.candidates) + 1)
}

// rendezvousRank is an address's place in a reader's order: rendezvous hashing, so that readers of a
// lost address spread over all others, and the rest stay where they are.
func rendezvousRank(order uint64, addr string) uint64 {
	h := fnv.New64a()
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], order)
	_, _ = h.Write(seed[:])
	_, _ = h.Write([]byte(addr))
	x := h.Sum64()
	// FNV alone mixes the last bytes too little for an order (finalizer of SplitMix64).
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (c *AddressSelector) index(addr string) int {
	return slices.IndexFunc(c.candidates, func(p candidate) bool { return p.addr == addr })
}

// Has tells whether the address is one of the set.
func (c *AddressSelector) Has(addr string) bool { return c.index(addr) >= 0 }

// Others is how many addresses there are beside the one that is asked.
func (c *AddressSelector) Others() int { return max(len(c.candidates)-1, 0) }

// BudgetExhausted is how often the budget ended a round.
func (c *AddressSelector) BudgetExhausted() int64 { return c.budgetExhausted }

// BeginRound begins a round.
func (c *AddressSelector) BeginRound() { c.firstCall, c.attempts = true, 0 }

// Next gives the address for the next call and how long it has to wait, by a random number
// from 0 to below 1. Not ok ends the round: each address had its turn since one served, or
// the budget is spent, or there is only one address, which is left to the next round.
func (c *AddressSelector) Next(now time.Duration, random float64) (addr string, wait time.Duration, ok bool) {
	if len(c.candidates) == 0 {
		return "", 0, false
	}
	if !c.firstCall {
		if len(c.candidates) == 1 || c.attempts >= len(c.candidates) {
			return "", 0, false
		}
		if !c.budget.Take(now) {
			c.budgetExhausted++
			return "", 0, false
		}
		wait = time.Duration(random * float64(min(initialBackoff<<c.attempts, maxBackoff)))
	}
	c.firstCall = false
	c.attempts++
	at := now + wait
	best := &c.candidates[0]
	for i := range c.candidates {
		p := &c.candidates[i]
		if availableAt(p, at) < availableAt(best, at) {
			best = p
		}
	}
	return best.addr, max(wait, min(best.busyUntil-now, maxRetryAfter)), true
}

// availableAt is when a place is a first choice again, or now: the first in order of those wins.
func availableAt(p *candidate, now time.Duration) time.Duration {
	return max(p.avoidUntil, p.busyUntil, now)
}

// ListReceived is told that an address gave a list.
func (c *AddressSelector) ListReceived(addr string) {
	c.attempts = 0
	if i := c.index(addr); i >= 0 {
		c.candidates[i].consecutiveFailures, c.candidates[i].avoidUntil, c.candidates[i].busyUntil = 0, 0, 0
	}
}

// CallEnded is told how a call or a watch ended; retry is the time that a busy one gave.
func (c *AddressSelector) CallEnded(now time.Duration, addr string, how CallOutcome, retry time.Duration) {
	i := c.index(addr)
	if i < 0 {
		return
	}
	p := &c.candidates[i]
	switch how {
	case OutcomeFailed:
		p.avoidUntil = now + min(initialAvoidance<<min(p.consecutiveFailures, 10), maxAvoidance)
		p.consecutiveFailures++
	case OutcomeStale:
		p.avoidUntil = now + staleAvoidance
	case OutcomeRedirected:
		p.avoidUntil = now + redirectAvoidance
	case OutcomeBusy:
		p.busyUntil = now + min(max(retry, 0), maxRetryAfter)
	}
}
