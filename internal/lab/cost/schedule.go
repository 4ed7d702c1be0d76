package cost

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pairGap is the time between the two calls of a pair.
	pairGap = 3 * time.Millisecond
	// keyCount is the number of distinct keys of calls.
	keyCount = 2000
	// scheduleStream selects the random stream of the schedule among the streams of the same seed.
	scheduleStream = 115
)

// route is the path of a call; the two calls of a pair take different routes.
type route int

const (
	direct route = iota
	throughAgent
	routeCount
)

// plannedCall is one call of a schedule.
type plannedCall struct {
	at     time.Duration // planned time since the start of the load
	pair   int           // index of the pair
	route  route
	key    uint64
	server int // index of the emulated server of a direct call
}

// schedule holds the calls of a load in order of time.
type schedule struct {
	calls []plannedCall
	pairs int // number of pairs; each has two calls
}

// newSchedule draws the arrivals of pairs of calls as a Poisson process with the given rate of pairs a
// second. The schedule depends only on the arguments. The two calls of a pair have the same key and are
// pairGap apart, in random order.
func newSchedule(rate float64, duration time.Duration, seed uint64) schedule {
	rng := rand.New(rand.NewPCG(seed, scheduleStream))
	var s schedule
	for at := time.Duration(0); ; s.pairs++ {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			break
		}
		first := route(rng.IntN(int(routeCount)))
		key, server := rng.Uint64N(keyCount), rng.IntN(listenerCount)
		s.calls = append(s.calls,
			plannedCall{at: at, pair: s.pairs, route: first, key: key, server: server},
			plannedCall{at: at + pairGap, pair: s.pairs, route: 1 - first, key: key, server: server})
	}
	slices.SortStableFunc(s.calls, func(a, b plannedCall) int { return cmp.Compare(a.at, b.at) })
	return s
}
