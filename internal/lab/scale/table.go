package scale

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/olekukonko/tablewriter"

	"knotrouter/internal/lab/capacity"
)

// rowKey identifies a row of a table: one metric of one role under one load.
type rowKey struct{ load, role, metric string }

// rowKeys returns the row keys of all runs without duplicates, ordered by the first appearance of their
// load and then by role.
func rowKeys(runs ...capacity.Run) []rowKey {
	seen, order := map[rowKey]bool{}, map[string]int{}
	var keys []rowKey
	for i := range runs {
		for _, m := range runs[i].Measurements {
			if _, known := order[m.Load]; !known {
				order[m.Load] = len(order)
			}
			if k := (rowKey{m.Load, m.Role, m.Metric}); !seen[k] {
				seen[k] = true
				keys = append(keys, k)
			}
		}
	}
	slices.SortStableFunc(keys, func(a, b rowKey) int {
		return cmp.Or(cmp.Compare(order[a.load], order[b.load]), cmp.Compare(a.role, b.role))
	})
	return keys
}

// formatValue returns the formatted value of a row in a run, or "-" if the run has no value for it.
func formatValue(run *capacity.Run, k rowKey) string {
	for _, m := range run.Measurements {
		if m.Load == k.load && m.Role == k.role && m.Metric == k.metric {
			return strconv.FormatFloat(m.Value, 'g', 4, 64)
		}
	}
	return "-"
}

// Table writes a table of all measurements with a column for each size, and below it the sizes that
// were not run. It returns an error if the table can't be rendered.
func Table(w io.Writer, results *capacity.Results) error {
	header := []string{"load", "role", "metric"}
	for i := range results.Runs {
		header = append(header, fmt.Sprintf("%d servers, %d watches", results.Runs[i].Servers, results.Runs[i].Watches))
	}
	var rows [][]string
	for _, k := range rowKeys(results.Runs...) {
		row := []string{k.load, k.role, k.metric}
		for i := range results.Runs {
			row = append(row, formatValue(&results.Runs[i], k))
		}
		rows = append(rows, row)
	}
	if err := writeTable(w, header, rows); err != nil {
		return err
	}
	for i := range results.Runs {
		if run := &results.Runs[i]; run.NotRun != "" {
			fmt.Fprintf(w, "not run: %d servers, %d watches: %s\n", run.Servers, run.Watches, run.NotRun)
		}
	}
	return nil
}

// Compare writes a table for each size with the measurements of two results side by side. It returns
// an error if a table can't be rendered.
func Compare(w io.Writer, a, b *capacity.Results) error {
	fmt.Fprintf(w, "a: %s %s, commit %s, seed %d\nb: %s %s, commit %s, seed %d\n", a.Experiment, a.Variant, a.Commit, a.Seed,
		b.Experiment, b.Variant, b.Commit, b.Seed)
	for i := range a.Runs {
		first := &a.Runs[i]
		index := slices.IndexFunc(b.Runs, func(r capacity.Run) bool { return r.Servers == first.Servers && r.Watches == first.Watches })
		if index < 0 {
			fmt.Fprintf(w, "%d servers, %d watches: only in a\n", first.Servers, first.Watches)
			continue
		}
		second := &b.Runs[index]
		fmt.Fprintf(w, "\n%d servers, %d watches\n", first.Servers, first.Watches)
		for name, run := range map[string]*capacity.Run{"a": first, "b": second} {
			if run.NotRun != "" {
				fmt.Fprintf(w, "%s: not run: %s\n", name, run.NotRun)
			}
		}
		var rows [][]string
		for _, k := range rowKeys(*first, *second) {
			rows = append(rows, []string{k.load, k.role, k.metric, formatValue(first, k), formatValue(second, k)})
		}
		if err := writeTable(w, []string{"load", "role", "metric", "a", "b"}, rows); err != nil {
			return err
		}
	}
	return nil
}

// writeTable writes a table with a header.
func writeTable(w io.Writer, header []string, rows [][]string) error {
	table := tablewriter.NewWriter(w)
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	if err := table.Render(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}
