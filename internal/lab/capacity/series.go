package capacity

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

// Variable is what a value is fitted over.
type Variable string

// The variables.
const (
	Servers Variable = "servers"
	Watches Variable = "watches"
)

// Source is a results file with the name that it has in the page.
type Source struct {
	File string
	*Results
}

// Dataset is all results that the page is made of, in the order of their file names.
type Dataset []Source

// ReadDataset reads all results of a folder; there may be none.
func ReadDataset(folder string) (Dataset, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("results folder: %w", err)
	}
	slices.Sort(paths)
	var data Dataset
	for _, path := range paths {
		results, err := Read(path)
		if err != nil {
			return nil, err
		}
		data = append(data, Source{File: filepath.Base(path), Results: results})
	}
	return data, nil
}

// Names of variants that have a meaning for the page: a mechanism is missing before and is
// there after.
const (
	Before = "before"
	After  = "after"
)

// latestVariant is the variant of an experiment that shows what there is now: After, else
// Before, else the last by name. It is "" without results.
func (d Dataset) latestVariant(experiment string) string {
	var latest string
	for _, source := range d {
		if source.Experiment != experiment {
			continue
		}
		if rankVariant(source.Variant) > rankVariant(latest) ||
			rankVariant(source.Variant) == rankVariant(latest) && source.Variant > latest {
			latest = source.Variant
		}
	}
	return latest
}

func rankVariant(variant string) int {
	switch variant {
	case After:
		return 2
	case Before:
		return 1
	}
	return 0
}

// variantOf chooses a variant of an experiment.
type variantOf func(experiment string) string

// Key names a value that was measured at several sizes.
type Key struct {
	Experiment string
	Variant    string
	Role       string
	Load       string
	Metric     string
	Variable   Variable
}

// Series is the measured means by size, in order of size, and the line through them.
type Series struct {
	Key
	Points  []Point
	Fit     Fit
	Watches int // the most that were open in any of the runs
}

// Series gathers what was measured for a key. Measurements of a size that was not run to
// its end are left out.
func (d Dataset) Series(key Key) Series {
	series := Series{Key: key}
	var points []Point
	for _, source := range d {
		if source.Experiment != key.Experiment || source.Variant != key.Variant {
			continue
		}
		found, watches := source.points(key)
		points = append(points, found...)
		series.Watches = max(series.Watches, watches)
	}
	series.Points = meanBySize(points)
	series.Fit = FitLine(series.Points)
	return series
}

// minServedShare is the share of calls that an agent has to serve for its figures to be the cost
// of a call: a refused call costs little.
const minServedShare = 0.99

// servedCalls tells whether an agent served its calls under a load. Other roles, and loads
// without a share, always count.
func (r *Run) servedCalls(role, load string) bool {
	if role != "agent" {
		return true
	}
	for _, m := range r.Measurements {
		if m.Role == role && m.Load == load && m.Metric == "served_share" {
			return m.Value >= minServedShare
		}
	}
	return true
}

// points returns what was measured for a key, and the most watches that were open then.
func (r *Results) points(key Key) (points []Point, watches int) {
	for _, run := range r.Runs {
		if run.NotRun != "" {
			continue
		}
		size := float64(run.Servers)
		if key.Variable == Watches {
			size = float64(run.Watches)
		}
		if !run.servedCalls(key.Role, key.Load) {
			continue
		}
		for _, m := range run.Measurements {
			if m.Role == key.Role && m.Load == key.Load && m.Metric == key.Metric {
				points = append(points, Point{Size: size, Value: m.Value})
				watches = max(watches, run.Watches)
			}
		}
	}
	return points, watches
}

// loads returns the loads that an experiment measured, the known ones first.
func (d Dataset) loads(experiments []string) []string {
	found := map[string]bool{}
	for _, source := range d {
		if !slices.Contains(experiments, source.Experiment) {
			continue
		}
		for _, run := range source.Runs {
			for _, m := range run.Measurements {
				found[m.Load] = true
			}
		}
	}
	loads := []string{}
	for load := range found {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, compareLoads)
	return loads
}

// fleetLoads are the loads of the scale runs, in the order of the page.
var fleetLoads = []string{"first start", "steady", "steady x10", "config burst", "leader killed", "steward killed",
	"rack lost", "zone lost", "region lost", "region cut off", "slow reader"}

func compareLoads(a, b string) int {
	atA, atB := slices.Index(fleetLoads, a), slices.Index(fleetLoads, b)
	switch {
	case atA >= 0 && atB >= 0:
		return atA - atB
	case atA >= 0:
		return -1
	case atB >= 0:
		return 1
	case len(a) != len(b): // "115 calls/s" before "1150 calls/s"
		return len(a) - len(b)
	}
	return strings.Compare(a, b)
}

// Basis says how a value was obtained.
type Basis int

// The bases.
const (
	Unknown Basis = iota
	Measured
	Fitted       // by the line, up to farFactor times the largest measured size
	Extrapolated // by the line, beyond that
)

// Estimate is a value at a size.
type Estimate struct {
	Value float64
	Basis Basis
	Sizes int // that were measured
}

// At estimates the value at a size: the measured one where that size was run, else the
// line's.
func (s Series) At(size float64) Estimate {
	estimate := Estimate{Sizes: s.Fit.Sizes}
	for _, p := range s.Points {
		if p.Size == size {
			estimate.Value, estimate.Basis = p.Value, Measured
			return estimate
		}
	}
	if !s.Fit.Known() {
		return estimate
	}
	estimate.Value, estimate.Basis = s.Fit.At(size), Fitted
	if size > farFactor*s.Fit.Largest {
		estimate.Basis = Extrapolated
	}
	return estimate
}

// String prints the value with its marks.
func (e Estimate) String() string {
	if e.Basis == Unknown {
		if e.Sizes == 0 {
			return unknown
		}
		return fmt.Sprintf("unknown: %d sizes", e.Sizes)
	}
	text := formatNumber(e.Value)
	if e.Basis != Measured && e.Value < 0 {
		text = "0" + belowMark
	}
	if e.Basis == Extrapolated {
		text += farMark
	}
	return text
}
