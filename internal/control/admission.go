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
	c *Config
	// maxWatches is how many watches may be open: what is configured, if there are descriptors for them.
	maxWatches int
	calls      *rate.Limiter
	writes     chan struct{}
	refused    atomic.Int64

	mu   sync.Mutex
	next time.Time // the place behind all that were given
}

func newAdmission(c *Config) *admission {
	return &admission{c: c, maxWatches: watchLimit(c.MaxWatches), calls: rate.NewLimiter(rate.Limit(c.CallRate), max(int(c.CallRate/4), 1)), writes: make(chan struct{}, c.MaxWrites)}
}

// reservedDescriptors are left to the log, the other stewards and calls that are no watches.
const reservedDescriptors = 1024

// watchLimit is how many watches of those that are configured there are descriptors for.
func watchLimit(configured int) int {
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

// call admits a call that writes about so many bytes of a list, or answers it.
func (a *admission) call(w http.ResponseWriter, bytes int) bool {
	cost := min(1+bytes/bytesPerCall, a.calls.Burst())
	if a.calls.AllowN(time.Now(), cost) {
		return true
	}
	a.refuse(w, a.place(time.Duration(float64(cost)/a.c.CallRate*float64(time.Second))))
	return false
}

// place gives a caller the next place, and tells how far off it is.
func (a *admission) place(takes time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.next.Before(now) {
		a.next = now
	}
	// Nobody is sent away for longer than that: who comes too soon is told so again.
	if a.next = a.next.Add(takes); a.next.After(now.Add(latest)) {
		a.next = now.Add(latest)
	}
	return a.next.Sub(now)
}

// write admits a write, which go on beside the reads and before them: they have places of
// their own. The second result gives the place back.
func (a *admission) write(w http.ResponseWriter) (bool, func()) {
	select {
	case a.writes <- struct{}{}:
		return true, func() { <-a.writes }
	default:
		a.refuse(w, 200*time.Millisecond)
		return false, nil
	}
}

const (
	soonest = 100 * time.Millisecond
	latest  = 5 * time.Second
)

// refuse sends a caller away for about a time, drawn so that those who were sent away
// together don't come back together.
func (a *admission) refuse(w http.ResponseWriter, about time.Duration) {
	a.refused.Add(1)
	wait := soonest + time.Duration((0.75+rand.Float64()/2)*float64(about))
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	w.Header().Set("Not-Applied", "1")
	http.Error(w, "too many calls at once", http.StatusServiceUnavailable)
}
