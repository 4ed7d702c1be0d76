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

// admission bounds the calls that are worked on. What comes on top is sent away at once,
// with a time to come back that spreads the callers over as long as they need: each that
// is sent away is given the next place at the rate that is admitted.
type admission struct {
	config *Config
	// maxWatches is how many watches may be open: what is configured, if there are descriptors for them.
	maxWatches    int
	callLimiter   *rate.Limiter
	writeSlots    chan struct{}
	rejectedCalls atomic.Int64

	mu       sync.Mutex
	nextSlot time.Time // the place behind all that were given
}

func newAdmission(c *Config) *admission {
	return &admission{config: c, maxWatches: availableWatches(c.MaxWatches), callLimiter: rate.NewLimiter(rate.Limit(c.CallRate), max(int(c.CallRate/4), 1)), writeSlots: make(chan struct{}, c.MaxWrites)}
}

// reservedDescriptors are left to the log, the other stewards and calls that are no watches.
const reservedDescriptors = 1024

// availableWatches is how many watches of those that are configured there are descriptors for.
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

// bytesPerCall is how many bytes of a list cost as much as a call.
const bytesPerCall = 24_000

// admitCall admits a admitCall that writes about so many bytes of a list, or answers it.
func (a *admission) admitCall(w http.ResponseWriter, bytes int) bool {
	cost := min(1+bytes/bytesPerCall, a.callLimiter.Burst())
	if a.callLimiter.AllowN(time.Now(), cost) {
		return true
	}
	a.reject(w, a.reserveSlot(time.Duration(float64(cost)/a.config.CallRate*float64(time.Second))))
	return false
}

// reserveSlot gives a caller the next reserveSlot, and tells how far off it is.
func (a *admission) reserveSlot(cost time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.nextSlot.Before(now) {
		a.nextSlot = now
	}
	// Nobody is sent away for longer than that: who comes too soon is told so again.
	if a.nextSlot = a.nextSlot.Add(cost); a.nextSlot.After(now.Add(maxRetryAfter)) {
		a.nextSlot = now.Add(maxRetryAfter)
	}
	return a.nextSlot.Sub(now)
}

// admitWrite admits a admitWrite, which go on beside the reads and before them: they have places of
// their own. The second result gives the place back.
func (a *admission) admitWrite(w http.ResponseWriter) (bool, func()) {
	select {
	case a.writeSlots <- struct{}{}:
		return true, func() { <-a.writeSlots }
	default:
		a.reject(w, 200*time.Millisecond)
		return false, nil
	}
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// reject sends a caller away for about a time, drawn so that those who were sent away
// together don't come back together.
func (a *admission) reject(w http.ResponseWriter, delay time.Duration) {
	a.rejectedCalls.Add(1)
	wait := minRetryAfter + time.Duration((0.75+rand.Float64()/2)*float64(delay))
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	w.Header().Set("Not-Applied", "1")
	http.Error(w, "too many calls at once", http.StatusServiceUnavailable)
}
