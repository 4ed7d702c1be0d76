package control

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRetryAfter is the shortest delay after which a rejected client is asked to retry.
	// maxRetryAfter is the longest delay that is added to minRetryAfter, before jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// writeRetryAfter is the delay that is added to minRetryAfter for a rejected write, before jitter.
	writeRetryAfter = 200 * time.Millisecond
	// The added delay is multiplied by a random factor from minRetryJitter to
	// minRetryJitter+retryJitterRange.
	minRetryJitter   = 0.75
	retryJitterRange = 0.5
	// bytesPerCall is the number of bytes of a list that cost as much of the call rate as one request.
	bytesPerCall = 24_000
	// burstDivisor is the call rate, in requests per second, divided by the burst size. The burst size
	// is the number of requests that can be admitted at once.
	burstDivisor = 4
	// reservedDescriptors is the number of file descriptors left for the log, the connections to other
	// servers, and requests other than watches.
	reservedDescriptors = 1024
)

// admission limits the rate of reads and the number of concurrent watches and writes, and sheds
// the load beyond that. Rejected clients are told when to retry, spread such that the retries arrive
// at the admitted rate.
type admission struct {
	config        *Config
	maxWatches    int // the configured number, or fewer if there are not enough file descriptors
	callLimiter   *rate.Limiter
	writeSlots    chan struct{}
	rejectedCalls atomic.Int64 // for the metrics

	mu            sync.Mutex
	nextRetrySlot time.Time // the time by which all retries requested so far can be admitted; guarded by mu
}

// newAdmission returns an admission with the limits of the configuration.
func newAdmission(c *Config) *admission {
	return &admission{
		config:      c,
		maxWatches:  availableWatches(c.MaxWatches),
		callLimiter: rate.NewLimiter(rate.Limit(c.CallRate), max(int(c.CallRate/burstDivisor), 1)),
		writeSlots:  make(chan struct{}, c.MaxWrites),
	}
}

// availableWatches returns the configured number of watches, or as many as the limit of file
// descriptors allows.
func availableWatches(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return configured
	}
	if limit.Cur >= uint64(configured)+reservedDescriptors {
		return configured
	}
	return max(int(limit.Cur)-reservedDescriptors, int(limit.Cur)/2)
}

// admitCall admits a read whose answer contains about the given number of bytes of a list. If it
// returns false, it has already rejected the request.
func (a *admission) admitCall(w http.ResponseWriter, bytes int) bool {
	cost := min(1+bytes/bytesPerCall, a.callLimiter.Burst())
	if a.callLimiter.AllowN(time.Now(), cost) {
		return true
	}
	a.reject(w, a.reserveRetrySlot(time.Duration(float64(cost)/a.config.CallRate*float64(time.Second))))
	return false
}

// reserveRetrySlot reserves the next time at which a rejected request can be admitted, and returns the
// delay until then, at most maxRetryAfter. cost is the number of requests that this one
// counts as, divided by the configured rate.
func (a *admission) reserveRetrySlot(cost time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.nextRetrySlot.Before(now) {
		a.nextRetrySlot = now
	}
	// No client is asked to wait longer than maxRetryAfter. A client that retries before it can be
	// admitted is rejected again.
	if a.nextRetrySlot = a.nextRetrySlot.Add(cost); a.nextRetrySlot.After(now.Add(maxRetryAfter)) {
		a.nextRetrySlot = now.Add(maxRetryAfter)
	}
	return a.nextRetrySlot.Sub(now)
}

// admitWrite admits a write. Writes have slots of their own, so that reads can't delay them. It
// returns a function that releases the slot. If ok is false, the request has already been
// rejected and release is nil.
func (a *admission) admitWrite(w http.ResponseWriter) (release func(), ok bool) {
	select {
	case a.writeSlots <- struct{}{}:
		return func() { <-a.writeSlots }, true
	default:
		a.reject(w, writeRetryAfter)
		return nil, false
	}
}

// reject answers with status 503 and asks the client to retry after about the given delay. The
// delay is jittered, so that clients that were rejected together don't retry together.
func (a *admission) reject(w http.ResponseWriter, delay time.Duration) {
	a.rejectedCalls.Add(1)
	wait := minRetryAfter + time.Duration((minRetryJitter+rand.Float64()*retryJitterRange)*float64(delay))
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	w.Header().Set(notAppliedHeader, "1")
	http.Error(w, "too many calls at once", http.StatusServiceUnavailable)
}
