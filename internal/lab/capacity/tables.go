package capacity

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
)

// Table is a generated part of the page.
type Table struct {
	Name string
	Text string
}

// commitDigits is how much of a commit's hash the page gives.
const commitDigits = 12

// Tables makes all tables of the page, in its order.
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

// sourcesTable names the results with what was run, and what was not and why.
func sourcesTable(target *Target, data Dataset) string {
	if len(data) == 0 {
		return "No results yet: all that has to be measured is unknown.\n"
	}
	var rows [][]string
	for _, source := range data {
		var run, notRun []string
		for _, r := range source.Runs {
			if r.NotRun == "" {
				run = append(run, fmt.Sprintf("%s servers, %s watches", formatNumber(float64(r.Servers)), formatNumber(float64(r.Watches))))
				continue
			}
			notRun = append(notRun, fmt.Sprintf("%s: %s", formatNumber(float64(r.Servers)), r.NotRun))
		}
		commit := source.Commit[:min(len(source.Commit), commitDigits)]
		if source.Dirty {
			commit += ", with uncommitted changes"
		}
		rows = append(rows, []string{source.File, source.Experiment, orNone(source.Variant), "`" + source.Command + "`", commit,
			fmt.Sprint(source.Seed), source.Machine, orNone(strings.Join(run, "; ")), orNone(strings.Join(notRun, "; "))})
	}
	table := markdownTable([]string{"file", "experiment", "variant", "command", "commit", "seed", "machine", "sizes run", "sizes not run, and why"}, rows)
	if left := data.unused(target); len(left) > 0 {
		table += "\nMeasured and in no table: " + strings.Join(left, "; ") + ".\n"
	}
	return table
}

// unused names what was measured and has no place in the roles, so that a name that is
// written in two ways shows.
func (d Dataset) unused(target *Target) []string {
	used := map[string]bool{}
	for _, role := range roles(target) {
		for _, experiment := range role.Experiments {
			for _, figure := range role.Figures {
				used[experiment+", "+figure.Role+": "+figure.Metric] = true
			}
		}
	}
	left := map[string]bool{}
	for _, source := range d {
		for _, run := range source.Runs {
			for _, m := range run.Measurements {
				if name := source.Experiment + ", " + m.Role + ": " + m.Metric; !used[name] {
					left[name] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(left))
}

// slopesTable gives the line behind each figure of the page.
func slopesTable(target *Target, data Dataset) string {
	var rows [][]string
	for _, s := range data.usedSeries(target) {
		row := []string{label(s.Key), s.Role, s.Load, s.Metric, string(s.Variable)}
		if !s.Fit.Known() {
			rows = append(rows, append(row, fmt.Sprintf("unknown: %d sizes", s.Fit.Sizes), none, none, none, fmt.Sprint(s.Fit.Sizes), formatNumber(s.Fit.Largest), none))
			continue
		}
		bend := "no"
		if s.Fit.Bend > 0 {
			bend = "off the line at " + formatNumber(s.Fit.Bend)
		}
		rows = append(rows, append(row, formatNumber(1000*s.Fit.Slope), formatNumber(1000*s.Fit.SlopeError), formatNumber(s.Fit.Intercept),
			formatNumber(s.Fit.RSquared), fmt.Sprint(s.Fit.Sizes), formatNumber(s.Fit.Largest), bend))
	}
	if len(rows) == 0 {
		return "No slope is known: no results yet.\n"
	}
	return markdownTable([]string{"run", "measured on", "load", "metric", "over", "slope per 1,000", "its standard error", "at 0", "R²", "sizes", "largest", "bends"}, rows)
}

// rolesTable gives for each role what it needs at each fleet size.
func rolesTable(target *Target, data Dataset) string {
	var parts []string
	for _, role := range roles(target) {
		carried := role.Mechanism
		if len(role.Needs) > 0 {
			carried += ". To it: " + data.describe(role.Needs)
		}
		parts = append(parts, fmt.Sprintf("### %s\n\nState held: %s.\nMechanism: %s.\n\n%s", role.Name, role.State, carried, roleTable(target, data, role)))
	}
	return strings.Join(parts, "\n")
}

func roleTable(target *Target, data Dataset, role Role) string {
	fleets := target.Fleets()
	head := []string{"load", "quantity", "figure"}
	for _, fleet := range fleets {
		head = append(head, fleet.Name)
	}
	head = append(head, "limit", "factor to it at the target", "source")
	rows := quotedRows(role)
	known := data.knownQuantities(role)
	for _, load := range data.loads(role.Experiments) {
		rows = append(rows, loadRows(fleets, data, role, load, known)...)
	}
	if len(rows) == 0 {
		return markdownTable(head, [][]string{unknownRow("all", "all")})
	}
	if left := unmeasured(known, role.Without); left != "" {
		rows = append(rows, unknownRow("all", left))
	}
	if left := strings.Join(unknownLoads(data, role), ", "); left != "" {
		rows = append(rows, unknownRow(left, "all"))
	}
	return markdownTable(head, rows)
}

func unknownRow(load, quantity string) []string {
	return []string{load, quantity, none, unknown, unknown, unknown, none, unknown, "not measured"}
}

// quotedRows are figures of other runs. One that doesn't stand for each fleet has its value
// in its name.
func quotedRows(role Role) [][]string {
	var rows [][]string
	for _, q := range role.Quoted {
		name, estimate := q.Name, Estimate{Value: q.Value, Basis: Measured}
		if !q.AnyFleet {
			name, estimate = fmt.Sprintf("%s: %s", q.Name, estimate), Estimate{}
		}
		value := estimate.String()
		rows = append(rows, []string{"as quoted", string(q.Quantity), name, value, value, value, orNone(q.Limit.Text), factor(estimate, q.Limit), q.Source})
	}
	return rows
}

// loadRows gives a role's figures under a load, and says which of the quantities that are
// known under another load are unknown under this one.
func loadRows(fleets []Fleet, data Dataset, role Role, load string, elsewhere map[Quantity]bool) [][]string {
	var rows [][]string
	here := map[Quantity]bool{}
	for _, figure := range role.Figures {
		series := data.resolve(role, figure, load, data.latestVariant)
		if len(series.Points) == 0 {
			continue
		}
		here[figure.Quantity] = true
		row := []string{load, string(figure.Quantity), figure.Name}
		var last Estimate
		for _, fleet := range fleets {
			last = series.At(fleet.size(series.Variable))
			row = append(row, last.String())
		}
		rows = append(rows, append(row, orNone(figure.Limit.Text), factor(last, figure.Limit), series.source(role)))
	}
	if len(rows) == 0 {
		return nil
	}
	var left []string
	for _, quantity := range quantities {
		if elsewhere[quantity] && !here[quantity] {
			left = append(left, string(quantity))
		}
	}
	if len(left) > 0 {
		rows = append(rows, unknownRow(load, strings.Join(left, ", ")))
	}
	return rows
}

func (f Fleet) size(variable Variable) float64 {
	if variable == Watches {
		return f.Agents
	}
	return f.Servers
}

// factor is the value as a multiple of its limit.
func factor(e Estimate, limit Limit) string {
	switch {
	case limit.Value == 0:
		return none
	case e.Basis == Unknown:
		return unknown
	}
	e.Value /= limit.Value
	return e.String()
}

// comparisonTable sets the variants before and after a mechanism side by side, at the
// largest size that both ran and at the target.
func comparisonTable(target *Target, data Dataset) string {
	var rows [][]string
	for _, role := range roles(target) {
		for _, load := range data.loads(role.Experiments) {
			for _, figure := range role.Figures {
				rows = append(rows, compareFigure(target, data, role, figure, load)...)
			}
		}
	}
	if len(rows) == 0 {
		return "No figure is there both before and after.\n"
	}
	return markdownTable([]string{"run", "role", "load", "figure", "servers, both measured", "before", "after",
		"target, before", "target, after", "after / before there", "limit"}, rows)
}

func compareFigure(target *Target, data Dataset, role Role, figure Figure, load string) [][]string {
	var rows [][]string
	for _, experiment := range role.Experiments {
		key := Key{experiment, Before, figure.Role, load, figure.Metric, Servers}
		before := data.Series(key)
		key.Variant = After
		after := data.Series(key)
		size, found := largestCommon(before.Points, after.Points)
		if !found {
			continue
		}
		was, is := before.At(target.Servers), after.At(target.Servers)
		rows = append(rows, []string{experiment, role.Name, load, figure.Name, formatNumber(size), before.At(size).String(), after.At(size).String(),
			was.String(), is.String(), ratio(is, was), orNone(figure.Limit.Text)})
	}
	return rows
}

func ratio(of, to Estimate) string {
	if of.Basis == Unknown || to.Basis == Unknown || to.Value <= 0 || of.Value < 0 {
		return none
	}
	of.Value /= to.Value
	of.Basis = max(of.Basis, to.Basis)
	return of.String()
}

func largestCommon(a, b []Point) (float64, bool) {
	var largest float64
	found := false
	for _, p := range a {
		for _, q := range b {
			if p.Size == q.Size {
				largest, found = max(largest, p.Size), true
			}
		}
	}
	return largest, found
}

// label names a series' run.
func label(k Key) string {
	if k.Variant == "" {
		return k.Experiment
	}
	return k.Experiment + ", " + k.Variant
}

// source names a series' run in the table of a role, with the variable where the role has
// several, and the watches that were open where the line is not over them.
func (s Series) source(role Role) string {
	switch {
	case len(role.Variables) == 1:
		return label(s.Key)
	case s.Variable == Watches:
		return label(s.Key) + ", over watches"
	}
	return fmt.Sprintf("%s, over servers with %s watches at most", label(s.Key), formatNumber(float64(s.Watches)))
}

func orNone(text string) string {
	if text == "" {
		return none
	}
	return text
}

// Folder of the results and the target, below that of the page.
const resultsFolder = "capacity"

// ReadInputs reads the target and the results of a folder of pages.
func ReadInputs(docs string) (*Target, Dataset, error) {
	target, err := LoadTarget(filepath.Join(docs, resultsFolder, "target.toml"))
	if err != nil {
		return nil, nil, err
	}
	data, err := ReadDataset(filepath.Join(docs, resultsFolder))
	return target, data, err
}
