package experiment

import (
	"time"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/client"
)

// The names of the windows that every run has.
const (
	windowAll           = "all"  // the time after the warm-up
	windowOutsideFaults = "calm" // the time after the warm-up that is in no fault's window
)

// classAll is the name for all classes together.
const classAll = "all"

// allClasses stands for all classes in place of the index of one.
const allClasses = -1

// countRows counts the requests of each class in each window.
func (r *run) countRows(results []client.Result, windows map[string]timeWindow) []Row {
	names := []string{windowAll, windowOutsideFaults}
	for i := range r.config.Faults {
		if _, ok := windows[r.config.Faults[i].Name]; ok {
			names = append(names, r.config.Faults[i].Name)
		}
	}
	var rows []Row
	for _, name := range names {
		within := func(planned time.Duration) bool { return r.inWindow(name, windows, planned) }
		for class := allClasses; class < len(r.config.Load.Classes); class++ {
			rows = append(rows, r.countRow(results, name, class, within))
		}
	}
	return rows
}

// inWindow reports whether a request that was planned at the given time is in the named window.
func (r *run) inWindow(name string, windows map[string]timeWindow, planned time.Duration) bool {
	switch name {
	case windowAll:
		return planned >= r.config.Warmup
	case windowOutsideFaults:
		for _, window := range windows {
			if window.contains(planned) {
				return false
			}
		}
		return planned >= r.config.Warmup
	}
	return windows[name].contains(planned)
}

// countRow counts the requests of one class, or of all classes, whose planned time is within the named
// window.
func (r *run) countRow(results []client.Result, window string, class int, within func(planned time.Duration) bool) Row {
	row := Row{Window: window, Class: classAll}
	if class != allClasses {
		row.Class = r.config.Load.Classes[class].Name
	}
	latencies := newLatencyHistogram()
	servedWeight, totalWeight, attempts := 0.0, 0.0, 0
	for i := range results {
		result := &results[i]
		if class != allClasses && int(result.Class) != class || !within(result.Planned) {
			continue
		}
		if isVoid(result) {
			row.Void++
			continue
		}
		weight := r.config.Load.Classes[result.Class].PriorityWeight
		totalWeight += weight
		if result.InTime {
			servedWeight += weight
		}
		attempts += int(result.ServerAttempts)
		if result.Outcome == check.Served {
			recordLatency(latencies, result.Latency)
		}
		row.count(result)
	}
	if row.Requests > 0 {
		row.ServedShare = roundTo4Digits(float64(row.InTime) / float64(row.Requests))
		row.AttemptsPerRequest = roundTo4Digits(float64(attempts) / float64(row.Requests))
	}
	if totalWeight > 0 {
		row.PriorityShare = roundTo4Digits(servedWeight / totalWeight)
	}
	row.MeanMs = roundTo4Digits(latencies.Mean() / 1000)
	row.P50Ms, row.P99Ms = millisAt(latencies, 50), millisAt(latencies, 99)
	return row
}

// count counts a request by its outcome.
func (row *Row) count(result *client.Result) {
	row.Requests++
	switch {
	case result.InTime:
		row.InTime++
	case result.Outcome == check.Served:
		row.Late++
	case result.Outcome == check.Rejected:
		row.Rejected++
	default:
		row.Failed++
	}
}

// isVoid reports whether a request doesn't count because it ended together with its client.
func isVoid(result *client.Result) bool {
	return result.Outcome == check.Void || result.Outcome == check.ClientCanceled
}
