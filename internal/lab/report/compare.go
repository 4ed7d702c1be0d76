package report

import (
	"fmt"
	"io"

	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/table"
)

// Compare writes the agents' metrics of two results side by side, with their differences. It omits
// windows, classes and recoveries that only one of the results has. It returns an error if the table can't be
// formatted.
func Compare(w io.Writer, a, b *experiment.Summary) error {
	fmt.Fprintf(w, "A: %s, agent build %s\nB: %s, agent build %s\n", ResultLine(a), a.Build, ResultLine(b), b.Build)
	if a.Name != b.Name || a.Seed != b.Seed {
		fmt.Fprintln(w, "They are not the same experiment and seed: their faults and arrivals differ.")
	}
	var c comparison
	c.addRows(a.Fleets[0].Rows, b.Fleets[0].Rows)
	c.addRecoveries(a, b)
	c.addTotals(&a.Fleets[0], &b.Fleets[0])
	c.add("breaches", countBreaches(a), countBreaches(b))
	return table.Terminal(w, true, []string{"figure", "A", "B", "B - A"}, c.rows)
}

// comparison is a table that compares two results.
type comparison struct{ rows [][]string }

// add adds a row with a metric of both results and the difference.
func (c *comparison) add(metric string, a, b float64) {
	c.rows = append(c.rows, []string{metric, fmt.Sprintf("%.6g", a), fmt.Sprintf("%.6g", b), fmt.Sprintf("%+.4g", b-a)})
}

// addRows adds the metrics of the windows and classes that both results have.
func (c *comparison) addRows(rowsA, rowsB []experiment.Row) {
	type windowClass struct{ window, class string }
	byWindowClass := map[windowClass]experiment.Row{}
	for _, b := range rowsB {
		byWindowClass[windowClass{b.Window, b.Class}] = b
	}
	for _, a := range rowsA {
		b, inBoth := byWindowClass[windowClass{a.Window, a.Class}]
		if !inBoth {
			continue
		}
		prefix := a.Window + " " + a.Class + " "
		c.add(prefix+"served share", a.ServedShare, b.ServedShare)
		c.add(prefix+"p50 ms", a.P50Ms, b.P50Ms)
		c.add(prefix+"p99 ms", a.P99Ms, b.P99Ms)
		c.add(prefix+"attempts", a.AttemptsPerRequest, b.AttemptsPerRequest)
	}
}

// addRecoveries adds the recovery times of the faults that both results have.
func (c *comparison) addRecoveries(a, b *experiment.Summary) {
	for _, f := range a.Faults {
		recoveryA, inA := a.Fleets[0].Recovery[f.Name]
		recoveryB, inB := b.Fleets[0].Recovery[f.Name]
		if inA && inB {
			c.add(f.Name+" recovery s", recoveryA, recoveryB)
		}
	}
}

// addTotals adds the agents' totals over the whole run.
func (c *comparison) addTotals(a, b *experiment.FleetSummary) {
	totalsA, totalsB := totalsByKey(a), totalsByKey(b)
	for _, key := range totalKeys(a) {
		c.add(key, totalsA[key], totalsB[key])
	}
}

// countBreaches returns the number of breaches by the agents, of all rules together.
func countBreaches(s *experiment.Summary) (count float64) {
	for _, n := range s.Fleets[0].Breaches {
		count += float64(n)
	}
	return count
}
