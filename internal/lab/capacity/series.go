package capacity

// Variable is the measure of the fleet's size that a value is fitted over.
type Variable string

// The variables.
const (
	Servers Variable = "servers" // Run.Servers
	Watches Variable = "watches" // Run.Watches
)

// Key selects the measurements of a series.
type Key struct {
	Experiment string
	Variant    string
	Role       string
	Load       string
	Metric     string
	Variable   Variable
}

// Series is the measured values of one key: their mean at each size, in order of size, and the line
// through the means.
type Series struct {
	Key
	Points  []Point
	Fit     Fit
	Watches int // the largest number of open watches of the runs
}

// Series gathers the measurements of a key. Runs that did not reach their end are left out.
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

// points returns the measurements of a key as points, and the largest number of open watches of the
// runs that they are from.
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

// size returns the run's size by a variable.
func (r *Run) size(variable Variable) float64 {
	if variable == Watches {
		return float64(r.Watches)
	}
	return float64(r.Servers)
}

// minServedShare is the least share of calls that an agent has to serve for its figures to count: a
// refused call costs little, so that a smaller share would understate the cost of a call.
const minServedShare = 0.99

// servedCalls reports whether an agent served its calls under a load. It is true for other roles and
// for loads without a measured share.
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
