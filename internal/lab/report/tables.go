package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/table"
)

// allClasses is the class of a row for the requests of all classes together.
const allClasses = "all"

// metricColumns are the columns of metricRows.
var metricColumns = []string{"window", "class", "asked", "in time", "late", "refused", "failed", "served", "p50 ms", "p99 ms", "attempts"}

// metricRows returns a row for each window and class that has requests.
func metricRows(fleet *experiment.FleetSummary) (rows [][]string) {
	for _, r := range fleet.Rows {
		if r.Requests == 0 && r.Void == 0 {
			continue
		}
		rows = append(rows, []string{r.Window, r.Class, fmt.Sprint(r.Requests), fmt.Sprint(r.InTime), fmt.Sprint(r.Late),
			fmt.Sprint(r.Rejected), fmt.Sprint(r.Failed), fmt.Sprintf("%.4f", r.ServedShare), fmt.Sprintf("%.1f", r.P50Ms),
			fmt.Sprintf("%.1f", r.P99Ms), fmt.Sprintf("%.2f", r.AttemptsPerRequest)})
	}
	return rows
}

// Tables writes tables for a terminal: the agents' metrics by window and class, and, if there are
// baselines, the metrics of all fleets by window. It returns an error if a table can't be formatted.
func Tables(w io.Writer, s *experiment.Summary) error {
	fmt.Fprintln(w, "\nagents")
	if err := table.Terminal(w, true, metricColumns, metricRows(&s.Fleets[0])); err != nil {
		return err
	}
	if len(s.Fleets) < 2 {
		return nil
	}
	fmt.Fprintln(w, "\nbeside baselines, on servers, arrivals and faults of the same seed")
	header := append([]string{"window", "who"}, metricColumns[2:]...)
	return table.Terminal(w, true, header, baselineRows(s))
}

// baselineRows returns a row for each window in which the agents had requests and each fleet, for all
// classes together.
func baselineRows(s *experiment.Summary) (rows [][]string) {
	for _, r := range s.Fleets[0].Rows {
		if r.Class != allClasses || r.Requests == 0 {
			continue
		}
		for i := range s.Fleets {
			for _, row := range metricRows(&s.Fleets[i]) {
				if row[0] == r.Window && row[1] == allClasses {
					rows = append(rows, append([]string{r.Window, s.Fleets[i].Name}, row[2:]...))
				}
			}
		}
	}
	return rows
}

// totalsByKey returns the totals of a fleet by their keys in the summary.
func totalsByKey(fleet *experiment.FleetSummary) map[string]float64 {
	var totals map[string]float64
	text, _ := json.Marshal(fleet.Total)
	_ = json.Unmarshal(text, &totals)
	return totals
}

// totalKeys returns the keys of totalsByKey in alphabetical order.
func totalKeys(fleet *experiment.FleetSummary) []string {
	return slices.Sorted(maps.Keys(totalsByKey(fleet)))
}
