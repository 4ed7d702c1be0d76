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
	// minRetryAfter is the shortest time after which a rejected client is asked to retry, and
	// maxRetryAfter the longest delay that is added to it, before the jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// writeRetryAfter is about the time after which a rejected write is retried.
	writeRetryAfter = 200 * time.Millisecond
	// minRetryJitter is the least factor by which the delay of a rejected client is multiplied,
	// and retryJitterRange what is added to it at most.
	minRetryJitter   = 0.75
	retryJitterRange = 0.5
	// bytesPerCall is the number of bytes of a list that use up as much of the rate as a request.
	bytesPerCall = 24_000
	// burstDivisor divides the rate. The quotient is the number of requests that are admitted at
	// once.
	burstDivisor = 4
	// reservedDescriptors are left to the log, the other servers and requests that are no watches.
	reservedDescriptors = 1024
)

// admission bounds the requests that are served at a time, and sheds the load beyond that: each
// rejected client is given a time to retry such that the retries arrive at the admitted rate.
type admission struct {
	config        *Config
	maxWatches    int // the configured number, or fewer if there are not enough file descriptors
	callLimiter   *rate.Limiter
	writeSlots    chan struct{}
	rejectedCalls atomic.Int64 // for the metrics

	mu            sync.Mutex
	nextRetrySlot time.Time // when the retries that clients were asked for so far are all admitted; guarded by mu
}

// newAdmission returns an admission with the bounds of the configuration.
func newAdmission(c *Config) *admission {
	return &admission{
		config:      c,
		maxWatches:  availableWatches(c.MaxWatches),
		callLimiter: rate.NewLimiter(rate.Limit(c.CallRate), max(int(c.CallRate/burstDivisor), 1)),
		writeSlots:  make(chan struct{}, c.MaxWrites),
	}
}

// availableWatches returns how many of the configured watches there are file descriptors for.
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

// admitCall admits a read whose answer has about this many bytes of a list. If it returns false,
// it has answered the request with a rejection.
func (a *admission) admitCall(w http.ResponseWriter, bytes int) bool {
	cost := min(1+bytes/bytesPerCall, a.callLimiter.Burst())
	if a.callLimiter.AllowN(time.Now(), cost) {
		return true
	}
	a.reject(w, a.reserveRetrySlot(time.Duration(float64(cost)/a.config.CallRate*float64(time.Second))))
	return false
}

// reserveRetrySlot reserves the next time at which a rejected request can be admitted, and returns the
// time until then, at most maxRetryAfter. The cost is the time in which the configured rate admits as
// many requests as this one counts for.
func (a *admission) reserveRetrySlot(cost time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.nextRetrySlot.Before(now) {
		a.nextRetrySlot = now
	}
	// No client is asked to wait for longer than maxRetryAfter. A client that retries before there
	// is room for it is rejected again.
	if a.nextRetrySlot = a.nextRetrySlot.Add(cost); a.nextRetrySlot.After(now.Add(maxRetryAfter)) {
		a.nextRetrySlot = now.Add(maxRetryAfter)
	}
	return a.nextRetrySlot.Sub(now)
}

// admitWrite admits a write, which has slots of its own, so that reads can't keep it waiting. It
// returns a function that releases the slot. If ok is false, it has answered the request with a
// rejection, and the function is nil.
func (a *admission) admitWrite(w http.ResponseWriter) (release func(), ok bool) {
	select {
	case a.writeSlots <- struct{}{}:
		return func() { <-a.writeSlots }, true
	default:
		a.reject(w, writeRetryAfter)
		return nil, false
	}
}

// reject answers with status 503 and asks the client to retry after about the delay. The time is
// drawn at random, so that clients that were rejected together don't retry together.
func (a *admission) reject(w http.ResponseWriter, delay time.Duration) {
	a.rejectedCalls.Add(1)
	wait := minRetryAfter + time.Duration((minRetryJitter+rand.Float64()*retryJitterRange)*float64(delay))
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	w.Header().Set(notAppliedHeader, "1")
	http.Error(w, "too many calls at once", http.StatusServiceUnavailable)
}
