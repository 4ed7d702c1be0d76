package experiment

import (
	"math"
	"slices"
	"sort"
	"time"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/client"
)

// secondStats holds statistics of the requests that were planned within one second of the run.
type secondStats struct {
	requests, inTime, rejected int
	latencies                  []time.Duration // latencies of the served requests
}

// series returns one point for each second of the run.
func (r *run) series(results []client.Result, samples []sample) []Point {
	seconds := groupBySecond(results, int(math.Ceil(r.config.Duration.Seconds())))
	points := make([]Point, len(seconds))
	for i := range points {
		p := &points[i]
		p.AtS = float64(i)
		p.addRequests(&seconds[i])
		p.addSamples(samples, time.Duration(i)*time.Second)
	}
	return points
}

// groupBySecond groups the requests by the second of their planned time. It leaves out void requests and
// those outside the first n seconds.
func groupBySecond(results []client.Result, n int) []secondStats {
	seconds := make([]secondStats, n)
	for i := range results {
		result := &results[i]
		index := int(result.Planned / time.Second)
		if index < 0 || index >= n || isVoid(result) {
			continue
		}
		s := &seconds[index]
		s.requests++
		switch {
		case result.InTime:
			s.inTime++
		case result.Outcome == check.Rejected:
			s.rejected++
		}
		if result.Outcome == check.Served {
			s.latencies = append(s.latencies, result.Latency)
		}
	}
	return seconds
}

// addRequests fills in the outcomes and latencies of the requests of the second.
func (p *Point) addRequests(s *secondStats) {
	p.Requests = s.requests
	if s.requests > 0 {
		p.ServedShare = roundTo4Digits(float64(s.inTime) / float64(s.requests))
		p.RejectedShare = roundTo4Digits(float64(s.rejected) / float64(s.requests))
	}
	if n := len(s.latencies); n > 0 {
		slices.Sort(s.latencies)
		p.P50Ms, p.P99Ms = millis(s.latencies[n/2]), millis(s.latencies[n*99/100])
	}
}

// addSamples fills in the rates between the samples around the second that begins at from, and the states
// in the middle of that second.
func (p *Point) addSamples(samples []sample, from time.Duration) {
	first, last := samplesAround(samples, from, from+time.Second)
	if span := (last.at - first.at).Seconds(); span > 0 {
		rate := func(a, b int64) float64 { return roundTo4Digits(float64(b-a) / span) }
		p.AttemptsPerSecond = rate(first.attempts, last.attempts)
		p.ConnectionsPerSecond = rate(first.connections, last.connections)
		p.ListCallsPerSecond = rate(first.listCalls, last.listCalls)
		p.ProbesPerSecond = rate(first.probes, last.probes)
	}
	middle, _ := samplesAround(samples, from+sampleInterval, 0)
	p.OpenConnections, p.Agents = middle.openConnections, middle.agents
	p.WarmingUp, p.Overloaded, p.Down = middle.warmingUp, middle.overloaded, middle.down
}

// samplesAround returns, for each of the two times, the first sample at or after it, or the last sample if
// there is none.
func samplesAround(samples []sample, from, to time.Duration) (a, b sample) {
	if len(samples) == 0 {
		return
	}
	at := func(t time.Duration) sample {
		i := sort.Search(len(samples), func(i int) bool { return samples[i].at >= t })
		return samples[min(i, len(samples)-1)]
	}
	return at(from), at(to)
}

const (
	// A second is good if its served share is at least recoveredFraction of the served share before the
	// fault.
	recoveredFraction = 0.9
	// goodSecondsToRecover is how many consecutive good seconds count as a recovery.
	goodSecondsToRecover = 3
	// baselineSeconds is how many seconds before a fault determine the served share to recover to.
	baselineSeconds = 5
	// notRecovered is the recovery time of a run that did not recover, or whose served share before the
	// fault is unknown.
	notRecovered = -1
)

// recoverySeconds returns the time from the beginning of a fault to the first of goodSecondsToRecover
// consecutive good seconds after a bad one. It returns 0 if no second was bad, and notRecovered if the run
// ended before the recovery.
func recoverySeconds(series []Point, from, warmup time.Duration) float64 {
	start := int(from / time.Second)
	previousSum, previousSeconds := sumServedShare(series, max(int(warmup/time.Second), start-baselineSeconds), start)
	if previousSeconds == 0 {
		return notRecovered
	}
	threshold := recoveredFraction * previousSum / float64(previousSeconds)
	dropped := false
	goodSeconds := 0
	for s := start; s < len(series); s++ {
		if series[s].Requests == 0 {
			continue
		}
		if series[s].ServedShare < threshold {
			dropped, goodSeconds = true, 0
			continue
		}
		goodSeconds++
		if dropped && goodSeconds == goodSecondsToRecover {
			return math.Max(0, float64(s-goodSecondsToRecover+1)-from.Seconds())
		}
	}
	if !dropped {
		return 0
	}
	return notRecovered
}

// sumServedShare returns the sum of the served shares of the seconds in [from, to), and the number of these
// seconds.
func sumServedShare(series []Point, from, to int) (sum float64, seconds int) {
	for s := from; s < min(to, len(series)); s++ {
		sum += series[s].ServedShare
		seconds++
	}
	return sum, seconds
}
