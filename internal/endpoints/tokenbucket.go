package endpoints

import "time"

// TokenBucket is a budget of actions: Burst at once, and Rate a second in the long run. It is not
// safe for concurrent use. A bucket is full at first.
type TokenBucket struct {
	Burst float64 // tokens
	Rate  float64 // tokens a second

	spent      float64 // tokens missing in the bucket
	refilledAt time.Duration
}

// Take takes one token out of the bucket and reports whether there was one. now is a time on any
// clock that doesn't go back.
func (b *TokenBucket) Take(now time.Duration) bool {
	b.spent = max(b.spent-b.Rate*(now-b.refilledAt).Seconds(), 0)
	b.refilledAt = now
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
