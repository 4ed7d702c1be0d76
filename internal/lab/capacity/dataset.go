package capacity

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
)

// Source is the content of a results file.
type Source struct {
	File string // base name of the file
	*Results
}

// Dataset holds all results that the page is generated from, in the order of their file names.
type Dataset []Source

// Folder of the results and the target relative to the folder of the page, and the target's file name.
const (
	resultsFolder = "capacity"
	targetFile    = "target.toml"
)

// ReadInputs reads the target and the results from the subfolder capacity of the folder docs.
func ReadInputs(docs string) (*Target, Dataset, error) {
	folder := filepath.Join(docs, resultsFolder)
	target, err := LoadTarget(filepath.Join(folder, targetFile))
	if err != nil {
		return nil, nil, err
	}
	data, err := ReadDataset(folder)
	return target, data, err
}

// ReadDataset reads all results in a folder. The dataset is empty if there are none.
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

// The variants that the page compares: results without and with lastMechanism.
const (
	Before = "before"
	After  = "after"
)

// variantSelector returns the variant of an experiment that is used for the figures.
type variantSelector func(experiment string) string

// latestVariant returns the variant of an experiment that represents the current system: After if there
// are results of it, else Before, else the last variant by name. It returns "" for an experiment without
// results.
func (d Dataset) latestVariant(experiment string) string {
	var latest string
	for _, source := range d {
		if source.Experiment == experiment && isLaterVariant(source.Variant, latest) {
			latest = source.Variant
		}
	}
	return latest
}

// earliestVariant returns Before if an experiment has results of it, else the latest variant.
func (d Dataset) earliestVariant(experiment string) string {
	for _, source := range d {
		if source.Experiment == experiment && source.Variant == Before {
			return Before
		}
	}
	return d.latestVariant(experiment)
}

// isLaterVariant reports whether variant takes precedence over other as the latest.
func isLaterVariant(variant, other string) bool {
	rank, otherRank := variantRank(variant), variantRank(other)
	return rank > otherRank || rank == otherRank && variant > other
}

func variantRank(variant string) int {
	switch variant {
	case After:
		return 2
	case Before:
		return 1
	}
	return 0
}

// fleetLoads are the loads of the scale runs, in the order in which the page lists them.
var fleetLoads = []string{"first start", "steady", "steady x10", "config burst", "leader killed", "steward killed",
	"rack lost", "zone lost", "region lost", "region cut off", "slow reader"}

// loads returns the loads of the experiments' measurements: first those of fleetLoads in its order,
// then the others by the length of their names and then alphabetically.
func (d Dataset) loads(experiments []string) []string {
	found := map[string]bool{}
	for _, source := range d {
		if !slices.Contains(experiments, source.Experiment) {
			continue
		}
		for _, run := range source.Runs {
			for _, measurement := range run.Measurements {
				found[measurement.Load] = true
			}
		}
	}
	return slices.SortedFunc(maps.Keys(found), compareLoads)
}

func compareLoads(a, b string) int {
	indexA, indexB := slices.Index(fleetLoads, a), slices.Index(fleetLoads, b)
	switch {
	case indexA >= 0 && indexB >= 0:
		return indexA - indexB
	case indexA >= 0:
		return -1
	case indexB >= 0:
		return 1
	case len(a) != len(b): // "115 calls/s" before "1150 calls/s"
		return len(a) - len(b)
	}
	return strings.Compare(a, b)
}

// bestSeries returns the series of a figure under a load. It tries the role's variables and experiments
// in order of preference and returns the first series with enough sizes for a fit, or, if there is
// none, the series with the most sizes.
func (d Dataset) bestSeries(role Role, figure Figure, load string, variant variantSelector) Series {
	var best Series
	for _, variable := range role.Variables {
		for _, experiment := range role.Experiments {
			series := d.Series(Key{
				Experiment: experiment,
				Variant:    variant(experiment),
				Role:       figure.Role,
				Load:       load,
				Metric:     figure.Metric,
				Variable:   variable,
			})
			if series.Fit.Known() {
				return series
			}
			if best.Key == (Key{}) || series.Fit.Sizes > best.Fit.Sizes {
				best = series
			}
		}
	}
	return best
}

// usedSeries returns the series of the latest variant that the page's figures are taken from, without
// duplicates.
func (d Dataset) usedSeries(t *Target) []Series {
	var used []Series
	seen := map[Key]bool{}
	for _, role := range roles(t) {
		for _, load := range d.loads(role.Experiments) {
			for _, figure := range role.Figures {
				series := d.bestSeries(role, figure, load, d.latestVariant)
				if len(series.Points) > 0 && !seen[series.Key] {
					seen[series.Key] = true
					used = append(used, series)
				}
			}
		}
	}
	return used
}
