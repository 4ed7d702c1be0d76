package capacity

// comparisonTable compares the figures of the variants Before and After, at the largest size that was
// run in both variants and at the target.
func comparisonTable(target *Target, data Dataset) string {
	var rows [][]string
	for _, role := range roles(target) {
		for _, load := range data.loads(role.Experiments) {
			for _, figure := range role.Figures {
				rows = append(rows, comparisonRows(target, data, role, figure, load)...)
			}
		}
	}
	if len(rows) == 0 {
		return "No figure is there both before and after.\n"
	}
	return markdownTable([]string{"run", "role", "load", "figure", "servers, both measured", "before", "after",
		"target, before", "target, after", "after / before there", "limit"}, rows)
}

// comparisonRows compares a figure under a load, in a row for each experiment that measured it at a
// common size in both variants.
func comparisonRows(target *Target, data Dataset, role Role, figure Figure, load string) [][]string {
	var rows [][]string
	for _, experiment := range role.Experiments {
		key := Key{Experiment: experiment, Variant: Before, Role: figure.Role, Load: load, Metric: figure.Metric, Variable: Servers}
		before := data.Series(key)
		key.Variant = After
		after := data.Series(key)
		size, found := largestCommonSize(before.Points, after.Points)
		if !found {
			continue
		}
		targetBefore, targetAfter := before.At(target.Servers), after.At(target.Servers)
		rows = append(rows, []string{experiment, role.Name, load, figure.Name, formatNumber(size),
			before.At(size).String(), after.At(size).String(), targetBefore.String(), targetAfter.String(),
			ratio(targetAfter, targetBefore), orEmptyCell(figure.Limit.Text)})
	}
	return rows
}

// ratio returns the text of the quotient of two estimates, on the less certain basis of the two. It
// returns an empty cell if one of them is unknown, the denominator is not above zero or the numerator
// is below zero, as a fitted line may be.
func ratio(numerator, denominator Estimate) string {
	if numerator.Basis == Unknown || denominator.Basis == Unknown || denominator.Value <= 0 || numerator.Value < 0 {
		return emptyCell
	}
	quotient := numerator
	quotient.Value /= denominator.Value
	quotient.Basis = max(numerator.Basis, denominator.Basis)
	return quotient.String()
}

// largestCommonSize returns the largest size at which both series have a point, and whether there is one.
func largestCommonSize(a, b []Point) (float64, bool) {
	largest, found := 0.0, false
	for _, pointA := range a {
		for _, pointB := range b {
			if pointA.Size == pointB.Size {
				largest, found = max(largest, pointA.Size), true
			}
		}
	}
	return largest, found
}
