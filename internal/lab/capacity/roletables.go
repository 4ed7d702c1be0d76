package capacity

import (
	"fmt"
	"strings"
)

// rolesTable returns a section for each role with its state, its mechanism, and a table of its resource
// needs at each size of Target.Fleets.
func rolesTable(target *Target, data Dataset) string {
	var sections []string
	for _, role := range roles(target) {
		mechanism := role.Mechanism
		if len(role.Needs) > 0 {
			mechanism += ". To it: " + data.describe(role.Needs)
		}
		sections = append(sections, fmt.Sprintf("### %s\n\nState held: %s.\nMechanism: %s.\n\n%s",
			role.Name, role.State, mechanism, roleTable(target, data, role)))
	}
	return strings.Join(sections, "\n")
}

// roleTable lists the quoted, measured and unknown figures of a role.
func roleTable(target *Target, data Dataset, role Role) string {
	fleets := target.Fleets()
	known := data.knownQuantities(role)
	rows := quotedRows(role)
	for _, load := range data.loads(role.Experiments) {
		rows = append(rows, loadRows(fleets, data, role, load, known)...)
	}
	if len(rows) == 0 {
		rows = [][]string{unknownRow("all", "all")}
	} else {
		if quantities := role.unmeasuredQuantities(known); len(quantities) > 0 {
			rows = append(rows, unknownRow("all", strings.Join(quantities, ", ")))
		}
		if loads := data.unmeasuredLoads(role); len(loads) > 0 {
			rows = append(rows, unknownRow(strings.Join(loads, ", "), "all"))
		}
	}
	return markdownTable(roleTableHeader(fleets), rows)
}

func roleTableHeader(fleets []Fleet) []string {
	header := []string{"load", "quantity", "figure"}
	for _, fleet := range fleets {
		header = append(header, fleet.Name)
	}
	return append(header, "limit", "factor to it at the target", "source")
}

// unknownRow returns a row for quantities that were not measured under the given loads.
func unknownRow(loads, quantities string) []string {
	return []string{loads, quantities, emptyCell, unknown, unknown, unknown, emptyCell, unknown, "not measured"}
}

// quotedRows lists the quoted figures of a role. A figure that doesn't apply to every fleet is unknown in
// the columns of the fleets and has its value after its name.
func quotedRows(role Role) [][]string {
	var rows [][]string
	for _, quoted := range role.Quoted {
		name, estimate := quoted.Name, Estimate{Value: quoted.Value, Basis: Measured}
		if !quoted.AnyFleet {
			name, estimate = fmt.Sprintf("%s: %s", quoted.Name, estimate), Estimate{}
		}
		value := estimate.String()
		rows = append(rows, []string{"as quoted", string(quoted.Quantity), name, value, value, value,
			orEmptyCell(quoted.Limit.Text), limitFactor(estimate, quoted.Limit), quoted.Source})
	}
	return rows
}

// loadRows lists the figures of a role that were measured under a load. A last row names the required
// quantities that are known from elsewhere but were not measured under this load. It returns nil if no
// figure of the role was measured under the load.
func loadRows(fleets []Fleet, data Dataset, role Role, load string, known map[Quantity]bool) [][]string {
	var rows [][]string
	measured := map[Quantity]bool{}
	for _, figure := range role.Figures {
		series := data.bestSeries(role, figure, load, data.latestVariant)
		if len(series.Points) == 0 {
			continue
		}
		measured[figure.Quantity] = true
		rows = append(rows, figureRow(fleets, role, figure, series))
	}
	if len(rows) == 0 {
		return nil
	}
	var missing []string
	for _, quantity := range requiredQuantities {
		if known[quantity] && !measured[quantity] {
			missing = append(missing, string(quantity))
		}
	}
	if len(missing) > 0 {
		rows = append(rows, unknownRow(load, strings.Join(missing, ", ")))
	}
	return rows
}

// figureRow lists a figure for each fleet, and its ratio to its limit for the last one, the target.
func figureRow(fleets []Fleet, role Role, figure Figure, series Series) []string {
	row := []string{series.Load, string(figure.Quantity), figure.Name}
	var atTarget Estimate
	for _, fleet := range fleets {
		atTarget = series.At(fleet.size(series.Variable))
		row = append(row, atTarget.String())
	}
	return append(row, orEmptyCell(figure.Limit.Text), limitFactor(atTarget, figure.Limit), series.source(role))
}

// limitFactor returns the text of the value as a multiple of its limit.
func limitFactor(value Estimate, limit Limit) string {
	switch {
	case limit.Value == 0:
		return emptyCell
	case value.Basis == Unknown:
		return unknown
	}
	value.Value /= limit.Value
	return value.String()
}

// source names the results of a series in a role's table. For a role with several variables it adds the
// variable and, if the variable is not the watches, the largest number of open watches.
func (s Series) source(role Role) string {
	switch {
	case len(role.Variables) == 1:
		return label(s.Key)
	case s.Variable == Watches:
		return label(s.Key) + ", over watches"
	}
	return fmt.Sprintf("%s, over servers with %s watches at most", label(s.Key), formatNumber(float64(s.Watches)))
}
