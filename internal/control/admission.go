package control

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// admission bounds the calls that are worked on. What comes on top is sent away at once,
// with a time to come back that spreads the callers over as long as they need.
type admission struct {
	c       *Config
	calls   *rate.Limiter
	writes  chan struct{}
	away    atomic.Int64 // sent away since the last that was let in
	refused atomic.Int64
}

func newAdmission(c *Config) *admission {
	return &admission{c: c, calls: rate.NewLimiter(rate.Limit(c.CallRate), max(int(c.CallRate/4), 1)), writes: make(chan struct{}, c.MaxWrites)}
}

// perEntries is how many entries of a whole list cost as much as a call.
const perEntries = 200

// call admits a call that writes so many entries, or answers it.
func (a *admission) call(w http.ResponseWriter, entries int) bool {
	cost := min(1+entries/perEntries, a.calls.Burst())
	if a.calls.AllowN(time.Now(), cost) {
		a.away.Store(0)
		return true
	}
	a.refuse(w, time.Duration(float64(a.away.Add(1))*float64(cost)/a.c.CallRate*float64(time.Second)))
	return false
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
	wait := soonest + time.Duration(rand.Float64()*2*float64(min(about, latest)))
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	w.Header().Set("Not-Applied", "1")
	http.Error(w, "too many calls at once", http.StatusServiceUnavailable)
}
