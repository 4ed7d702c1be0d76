package cost

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// summary holds the counts and the distributions of the results of a load's calls.
type summary struct {
	pairs    int
	outcomes [routeCount][outcomeCount]int       // number of calls
	latency  [routeCount]*hdrhistogram.Histogram // latencies of served calls, in µs
	lateness *hdrhistogram.Histogram             // lateness of all calls, in µs
	addedMs  []float64                           // latency through the agent minus direct latency, of each pair with both calls served, sorted
}

// summarize aggregates the results of pairs.
func summarize(results []pairResult) *summary {
	s := &summary{pairs: len(results), lateness: newHistogram()}
	for route := range s.latency {
		s.latency[route] = newHistogram()
	}
	for i := range results {
		s.add(&results[i])
	}
	slices.Sort(s.addedMs)
	return s
}

// add adds the results of a pair. It leaves addedMs unsorted.
func (s *summary) add(pair *pairResult) {
	for route, result := range pair {
		s.outcomes[route][result.outcome]++
		record(s.lateness, result.lateness)
		if result.outcome == served {
			record(s.latency[route], result.latency)
		}
	}
	if pair[direct].outcome == served && pair[throughAgent].outcome == served {
		s.addedMs = append(s.addedMs, milliseconds(pair[throughAgent].latency-pair[direct].latency))
	}
}

// share returns the share of the calls on a route that had an outcome.
func (s *summary) share(r route, o outcome) float64 {
	return float64(s.outcomes[r][o]) / max(float64(s.pairs), 1)
}

const (
	// maxRecordedDuration is the largest duration that a histogram records; the smallest is 1 µs.
	maxRecordedDuration = time.Minute
	// histogramDigits is the number of significant digits that a histogram keeps.
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedDuration.Microseconds(), histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, 0), maxRecordedDuration).Microseconds()) // cannot fail within the range
}

// quantileMs returns a quantile of a histogram of microseconds, in milliseconds.
func quantileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// sortedQuantile returns a quantile of sorted values, or 0 without values. Unlike in a histogram, values
// may be negative.
func sortedQuantile(sorted []float64, percent float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(percent/100*float64(len(sorted))), len(sorted)-1)]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
