package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Table is a generated part of the capacity page, docs/CAPACITY.md.
type Table struct {
	Name string // name in the begin marker of the table
	Text string // Markdown
}

// commitDigits is the number of digits of commit hashes on the page.
const commitDigits = 12

// Tables generates all tables of the page, in the order of the page.
func Tables(target *Target, data Dataset) []Table {
	return []Table{
		{"sources", sourcesTable(target, data)},
		{"slopes", slopesTable(target, data)},
		{"roles", rolesTable(target, data)},
		{"placement", placementTable(target)},
		{"order", orderTable(target, data)},
		{"comparison", comparisonTable(target, data)},
		{"derived", derivedTable(target, data)},
	}
}

// sourcesTable lists the results files with the sizes that were run, and the sizes that were not run
// with the reasons. A line below the table lists the measurements that no role uses.
func sourcesTable(target *Target, data Dataset) string {
	if len(data) == 0 {
		return "No results yet: all that has to be measured is unknown.\n"
	}
	var rows [][]string
	for _, source := range data {
		rows = append(rows, sourceRow(source))
	}
	header := []string{"file", "experiment", "variant", "command", "commit", "seed", "machine", "sizes run", "sizes not run, and why"}
	table := markdownTable(header, rows)
	if unused := data.unusedMeasurements(target); len(unused) > 0 {
		table += "\nMeasured and in no table: " + strings.Join(unused, "; ") + ".\n"
	}
	return table
}

func sourceRow(source Source) []string {
	var run, notRun []string
	for _, r := range source.Runs {
		servers := formatNumber(float64(r.Servers))
		if r.NotRun == "" {
			run = append(run, fmt.Sprintf("%s servers, %s watches", servers, formatNumber(float64(r.Watches))))
			continue
		}
		notRun = append(notRun, fmt.Sprintf("%s: %s", servers, r.NotRun))
	}
	commit := source.Commit[:min(len(source.Commit), commitDigits)]
	if source.Dirty {
		commit += ", with uncommitted changes"
	}
	return []string{source.File, source.Experiment, orEmptyCell(source.Variant), "`" + source.Command + "`", commit,
		fmt.Sprint(source.Seed), source.Machine, orEmptyCell(strings.Join(run, "; ")), orEmptyCell(strings.Join(notRun, "; "))}
}

// unusedMeasurements returns the sorted names of the measurements that no role has a figure for, as
// "experiment, role: metric". They reveal misspelled names in the results or in the roles.
func (d Dataset) unusedMeasurements(target *Target) []string {
	used := map[string]bool{}
	for _, role := range roles(target) {
		for _, experiment := range role.Experiments {
			for _, figure := range role.Figures {
				used[measurementName(experiment, figure.Role, figure.Metric)] = true
			}
		}
	}
	unused := map[string]bool{}
	for _, source := range d {
		for _, run := range source.Runs {
			for _, m := range run.Measurements {
				if name := measurementName(source.Experiment, m.Role, m.Metric); !used[name] {
					unused[name] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(unused))
}

func measurementName(experiment, role, metric string) string {
	return experiment + ", " + role + ": " + metric
}

// slopesTable lists the fitted lines of the series that the page uses.
func slopesTable(target *Target, data Dataset) string {
	var rows [][]string
	for _, series := range data.usedSeries(target) {
		row := []string{label(series.Key), series.Role, series.Load, series.Metric, string(series.Variable)}
		rows = append(rows, append(row, fitCells(series.Fit)...))
	}
	if len(rows) == 0 {
		return "No slope is known: no results yet.\n"
	}
	header := []string{"run", "measured on", "load", "metric", "over", "slope per 1,000", "its standard error", "at 0", "R²", "sizes", "largest", "bends"}
	return markdownTable(header, rows)
}

// fitCells returns the cells of a row of the slopes table, from the slope to the last.
func fitCells(fit Fit) []string {
	sizes, largest := fmt.Sprint(fit.Sizes), formatNumber(fit.LargestSize)
	if !fit.Known() {
		return []string{tooFewSizes(fit.Sizes), emptyCell, emptyCell, emptyCell, sizes, largest, emptyCell}
	}
	outlierText := "no"
	if fit.LargestOutlier > 0 {
		outlierText = "off the line at " + formatNumber(fit.LargestOutlier)
	}
	return []string{formatNumber(1000 * fit.Slope), formatNumber(1000 * fit.SlopeError), formatNumber(fit.Intercept),
		formatNumber(fit.RSquared), sizes, largest, outlierText}
}

// label returns the name of a series' results, as "experiment, variant".
func label(key Key) string {
	if key.Variant == "" {
		return key.Experiment
	}
	return key.Experiment + ", " + key.Variant
}

// orEmptyCell returns the text, or emptyCell if the text is "".
func orEmptyCell(text string) string {
	if text == "" {
		return emptyCell
	}
	return text
}
