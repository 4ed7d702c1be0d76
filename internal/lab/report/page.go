package report

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/table"
)

// Page returns the report of a summary as a Markdown page. The page refers to the plots by file name
// and so has to be in the same folder. It returns an error if a table can't be formatted.
func Page(s *experiment.Summary, plots []string) ([]byte, error) {
	p := &page{}
	p.writeHeader(s)
	p.writeSection("Faults", []string{"fault", "kind", "targets", "from s", "to s"}, faultRows(s))
	p.writeSection("Expected", []string{"figure", "is", "bound", "held"}, expectationRows(s))
	for i := range s.Fleets {
		p.writeSection("Figures: "+s.Fleets[i].Name, metricColumns, metricRows(&s.Fleets[i]))
	}
	p.text.WriteString("Shares are of what was asked; latencies count from the planned time and cover what was served. " +
		"The warm-up is in none of them.\n")
	p.writeSection("Breaches", []string{"rule", "at s", "request", "agent", "server", "what"}, breachRows(&s.Fleets[0]))
	p.writeSection("Whole run", append([]string{"figure"}, fleetNames(s)...), totalRows(s))
	p.writeLab(&s.Lab)
	for _, plot := range plots {
		name := filepath.Base(plot)
		fmt.Fprintf(&p.text, "![%s](%s)\n\n", strings.TrimSuffix(name, filepath.Ext(name)), name)
	}
	return p.text.Bytes(), errors.Join(p.errs...)
}

// page accumulates the text of a report.
type page struct {
	text bytes.Buffer
	errs []error // errors in formatting tables
}

// writeHeader writes the title, the description, the result, the parameters of the run and its violations.
func (p *page) writeHeader(s *experiment.Summary) {
	fmt.Fprintf(&p.text, "# %s\n\n%s\n\n`%s`\n\n", s.Name, strings.TrimSpace(s.Description), ResultLine(s))
	fmt.Fprintf(&p.text, "%d agents, %d servers, %g requests a second for %g s. Agent build %s; %d processors, %s, Linux %s.\n\n",
		s.Agents, s.Servers, s.RequestRate, s.DurationSeconds, s.Build, s.Machine.CPUs, s.Machine.Go, s.Machine.Kernel)
	for _, violation := range s.Violations {
		fmt.Fprintf(&p.text, "- broke: %s\n", violation)
	}
}

// writeSection writes a heading and a table below it, or "none" if the table has no rows.
func (p *page) writeSection(title string, header []string, rows [][]string) {
	fmt.Fprintf(&p.text, "\n## %s\n\n", title)
	if len(rows) == 0 {
		p.text.WriteString("none\n\n")
		return
	}
	p.errs = append(p.errs, table.Markdown(&p.text, header, rows))
	p.text.WriteString("\n")
}

// writeLab writes the lateness of the lab's requests, and its processor time and memory.
func (p *page) writeLab(lab *experiment.Lab) {
	fmt.Fprintf(&p.text, "## The lab itself\n\nRequests left the lab %.2f ms late in the median, %.2f ms at p99, %.1f ms at most. "+
		"It used %.1f s of processor time and %.0f MB.\n\n", lab.LatenessP50Ms, lab.LatenessP99Ms, lab.LatenessMaxMs,
		lab.CPUSeconds, lab.PeakRSSMB)
}

// faultRows returns a row for each fault.
func faultRows(s *experiment.Summary) (rows [][]string) {
	for _, f := range s.Faults {
		rows = append(rows, []string{f.Name, f.Kind, fmt.Sprint(f.Targets), fmt.Sprintf("%.2f", f.BeganSeconds), fmt.Sprintf("%.2f", f.EndedSeconds)})
	}
	return rows
}

// expectationRows returns a row for each expectation.
func expectationRows(s *experiment.Summary) (rows [][]string) {
	for _, e := range s.Expectations {
		rows = append(rows, []string{e.Text, fmt.Sprint(e.Value), fmt.Sprint(e.Bound), fmt.Sprint(e.Met)})
	}
	return rows
}

// breachRows returns a row for each breach that the summary records in detail.
func breachRows(fleet *experiment.FleetSummary) (rows [][]string) {
	for _, b := range fleet.Examples {
		rows = append(rows, []string{b.Rule, fmt.Sprintf("%.3f", b.AtS), b.Request, b.Agent, b.Server, b.Text})
	}
	return rows
}

// fleetNames returns the names of the fleets.
func fleetNames(s *experiment.Summary) (names []string) {
	for i := range s.Fleets {
		names = append(names, s.Fleets[i].Name)
	}
	return names
}

// totalRows returns a row for each total, with a column for each fleet.
func totalRows(s *experiment.Summary) (rows [][]string) {
	for _, key := range totalKeys(&s.Fleets[0]) {
		row := []string{key}
		for i := range s.Fleets {
			row = append(row, fmt.Sprintf("%.6g", totalsByKey(&s.Fleets[i])[key]))
		}
		rows = append(rows, row)
	}
	return rows
}
