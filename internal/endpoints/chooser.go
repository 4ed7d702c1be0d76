package endpoints

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// End tells how a call or a watch ended.
type End uint8

// How a call or a watch ends.
const (
	EndFailed     End = iota // no answer, an error, silence, or a line that makes no sense
	EndStale                 // the service knew less than the reader, or has no list of now
	EndRedirected            // it ended the watch in order: it wants the reader elsewhere
	EndBusy                  // it sent the reader away, with a time to come back
)

const (
	// A call that follows one that ended waits a random time, up to a bound that doubles
	// from firstWait to longestWait ("full jitter": M. Brooker, "Exponential Backoff and
	// Jitter", AWS Architecture Blog, 2015).
	firstWait   = 200 * time.Millisecond
	longestWait = 2 * time.Second
	// An address that failed is not the first choice for as long, doubled each time.
	firstAvoid   = time.Second
	longestAvoid = 30 * time.Second
	// behindAvoid is for one that was behind, and movedAvoid for one that sent the reader
	// elsewhere, which would only do so again.
	behindAvoid = 5 * time.Second
	movedAvoid  = 30 * time.Second
	longestBusy = 5 * time.Second
)

// TokenBucket is a budget: so many at once, and so many a second in the long run.
type TokenBucket struct {
	Burst float64
	Rate  float64

	spent float64
	at    time.Duration
}

// Take takes one out of the budget, if there is one.
func (b *TokenBucket) Take(now time.Duration) bool {
	b.spent = max(b.spent-b.Rate*(now-b.at).Seconds(), 0)
	b.at = now
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
	order  uint64
	places []place // in the reader's own order
	budget TokenBucket
	fresh  bool
	tries  int // since one served
	held   int64
}

type place struct {
	addr    string
	rank    uint64
	avoid   time.Duration // until then any other is better
	busy    time.Duration // until then it doesn't want to be asked
	strikes int
}

// NewAddressSelector makes a chooser for one reader of a fleet of so many. The order gives the
// reader an order of its own, so that readers spread over the addresses.
func NewAddressSelector(addrs []string, order uint64, fleet int) *AddressSelector {
	c := &AddressSelector{order: order, budget: TokenBucket{Rate: min(0.5, 100/float64(max(fleet, 1)))}}
	c.SetAddresses(addrs)
	return c
}

// SetAddresses changes the addresses. What is known of those that stay is kept.
func (c *AddressSelector) SetAddresses(addrs []string) {
	var places []place
	for _, addr := range addrs {
		p := place{addr: addr, rank: rank(c.order, addr)}
		if i := c.index(addr); i >= 0 {
			p = c.places[i]
		}
		places = append(places, p)
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.addr, b.addr)) })
	c.places = slices.CompactFunc(places, func(a, b place) bool { return a.addr == b.addr })
	c.budget.Burst = float64(len(c.places) + 1)
}

// rank is an address's place in a reader's order: rendezvous hashing, so that readers of a
// lost address spread over all others, and the rest stay where they are.
func rank(order uint64, addr string) uint64 {
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
	return slices.IndexFunc(c.places, func(p place) bool { return p.addr == addr })
}

// Has tells whether the address is one of the set.
func (c *AddressSelector) Has(addr string) bool { return c.index(addr) >= 0 }

// Others is how many addresses there are beside the one that is asked.
func (c *AddressSelector) Others() int { return max(len(c.places)-1, 0) }

// BudgetExhausted is how often the budget ended a round.
func (c *AddressSelector) BudgetExhausted() int64 { return c.held }

// BeginRound begins a round.
func (c *AddressSelector) BeginRound() { c.fresh, c.tries = true, 0 }

// Next gives the address for the next call and how long it has to wait, by a random number
// from 0 to below 1. Not ok ends the round: each address had its turn since one served, or
// the budget is spent, or there is only one address, which is left to the next round.
func (c *AddressSelector) Next(now time.Duration, random float64) (addr string, wait time.Duration, ok bool) {
	if len(c.places) == 0 {
		return "", 0, false
	}
	if !c.fresh {
		if len(c.places) == 1 || c.tries >= len(c.places) {
			return "", 0, false
		}
		if !c.budget.Take(now) {
			c.held++
			return "", 0, false
		}
		wait = time.Duration(random * float64(min(firstWait<<c.tries, longestWait)))
	}
	c.fresh = false
	c.tries++
	at := now + wait
	best := &c.places[0]
	for i := range c.places {
		p := &c.places[i]
		if free(p, at) < free(best, at) {
			best = p
		}
	}
	return best.addr, max(wait, min(best.busy-now, longestBusy)), true
}

// free is when a place is a first choice again, or now: the first in order of those wins.
func free(p *place, now time.Duration) time.Duration { return max(p.avoid, p.busy, now) }

// ListReceived is told that an address gave a list.
func (c *AddressSelector) ListReceived(addr string) {
	c.tries = 0
	if i := c.index(addr); i >= 0 {
		c.places[i].strikes, c.places[i].avoid, c.places[i].busy = 0, 0, 0
	}
}

// CallEnded is told how a call or a watch ended; retry is the time that a busy one gave.
func (c *AddressSelector) CallEnded(now time.Duration, addr string, how End, retry time.Duration) {
	i := c.index(addr)
	if i < 0 {
		return
	}
	p := &c.places[i]
	switch how {
	case EndFailed:
		p.avoid = now + min(firstAvoid<<min(p.strikes, 10), longestAvoid)
		p.strikes++
	case EndStale:
		p.avoid = now + behindAvoid
	case EndRedirected:
		p.avoid = now + movedAvoid
	case EndBusy:
		p.busy = now + min(max(retry, 0), longestBusy)
	}
}
