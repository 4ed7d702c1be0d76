package endpoints

import "time"

// TokenBucket limits the rate of actions: up to Burst at once, and Rate per second in the long run. It
// is not safe for concurrent use. A bucket is full initially.
type TokenBucket struct {
	Burst float64 // tokens
	Rate  float64 // tokens per second

	spent      float64 // tokens missing in the bucket
	refilledAt time.Duration
}

// Take takes one token out of the bucket and reports whether there was one. now is the time on any
// monotonic clock.
func (b *TokenBucket) Take(now time.Duration) bool {
	b.spent = max(b.spent-b.Rate*(now-b.refilledAt).Seconds(), 0)
	b.refilledAt = now
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
