package capacity

// Variable is the measure of the fleet's size that values are fitted over.
type Variable string

// The variables.
const (
	Servers Variable = "servers" // Run.Servers
	Watches Variable = "watches" // Run.Watches
)

// Key identifies the measurements of a series.
type Key struct {
	Experiment string
	Variant    string
	Role       string
	Load       string
	Metric     string
	Variable   Variable
}

// Series holds the measured values for a key: the mean at each size, in order of size, and the line
// fitted to the means.
type Series struct {
	Key
	Points  []Point
	Fit     Fit
	Watches int // largest number of open watches of the runs
}

// Series collects the measurements for a key. It leaves out runs that were not completed, and loads under
// which an agent served less than minServedShare of its calls.
func (d Dataset) Series(key Key) Series {
	series := Series{Key: key}
	var points []Point
	for _, source := range d {
		if source.Experiment != key.Experiment || source.Variant != key.Variant {
			continue
		}
		sourcePoints, watches := source.points(key)
		points = append(points, sourcePoints...)
		series.Watches = max(series.Watches, watches)
	}
	series.Points = meanBySize(points)
	series.Fit = FitLine(series.Points)
	return series
}

// points returns the measurements for a key as points, and the largest number of open watches of their
// runs.
func (r *Results) points(key Key) (points []Point, watches int) {
	for _, run := range r.Runs {
		if run.NotRun != "" || !run.servedCalls(key.Role, key.Load) {
			continue
		}
		for _, m := range run.Measurements {
			if m.Role == key.Role && m.Load == key.Load && m.Metric == key.Metric {
				points = append(points, Point{Size: run.size(key.Variable), Value: m.Value})
				watches = max(watches, run.Watches)
			}
		}
	}
	return points, watches
}

// size returns the run's value of a variable.
func (r *Run) size(variable Variable) float64 {
	if variable == Watches {
		return float64(r.Watches)
	}
	return float64(r.Servers)
}

// minServedShare is the least share of calls that an agent has to serve for its figures to be used. A
// refused call costs little, so with a smaller share the figures would understate the cost of a call.
const minServedShare = 0.99

// servedCalls reports whether an agent served at least minServedShare of its calls under a load. It
// returns true for other roles and for loads without a measured share.
func (r *Run) servedCalls(role, load string) bool {
	if role != measuredAgent {
		return true
	}
	for _, m := range r.Measurements {
		if m.Role == role && m.Load == load && m.Metric == "served_share" {
			return m.Value >= minServedShare
		}
	}
	return true
}
