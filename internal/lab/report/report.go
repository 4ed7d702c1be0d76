// Package report writes what a run showed: figures for programs, a page and plots for
// people, and two results side by side.
package report

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/table"
)

// Write writes summary.json, report.md and the plots into a folder.
func Write(dir string, s *experiment.Summary) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if err := write(filepath.Join(dir, "summary.json"), append(text, '\n')); err != nil {
		return err
	}
	plots, err := Plots(dir, s)
	if err != nil {
		return err
	}
	page, err := Page(s, plots)
	if err != nil {
		return err
	}
	return write(filepath.Join(dir, "report.md"), page)
}

// write writes a file whole or not at all, so that a full disk leaves no half of one.
func write(path string, text []byte) error {
	if err := os.WriteFile(path+".part", text, 0o644); err != nil {
		os.Remove(path + ".part")
		return fmt.Errorf("write %s: %w", filepath.Base(path), err)
	}
	if err := os.Rename(path+".part", path); err != nil {
		return fmt.Errorf("write %s: %w", filepath.Base(path), err)
	}
	return nil
}

// Read reads the summary of a results folder.
func Read(dir string) (*experiment.Summary, error) {
	text, err := os.ReadFile(filepath.Join(dir, "summary.json"))
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	var s experiment.Summary
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("results: %s: %w", dir, err)
	}
	if len(s.Fleets) == 0 {
		return nil, fmt.Errorf("results: %s: no lane in it", dir)
	}
	return &s, nil
}

// ResultLine is the last line of a run, in the form that scripts read.
func ResultLine(s *experiment.Summary) string {
	if s.Passed {
		return fmt.Sprintf("%s seed %d: held", s.Name, s.Seed)
	}
	more := ""
	if n := len(s.Violations) - 1; n > 0 {
		more = fmt.Sprintf(" (and %d more)", n)
	}
	return fmt.Sprintf("%s seed %d: broke: %s%s", s.Name, s.Seed, s.Violations[0], more)
}

var columns = []string{"window", "class", "asked", "in time", "late", "refused", "failed", "served", "p50 ms", "p99 ms", "attempts"}

// Tables writes, for a terminal, the agents' figures by window and class, and those of
// the baselines by window beside them.
func Tables(w io.Writer, s *experiment.Summary) error {
	fmt.Fprintln(w, "\nagents")
	if err := table.Terminal(w, true, columns, rows(&s.Fleets[0])); err != nil {
		return err
	}
	var beside [][]string
	for _, r := range s.Fleets[0].Rows {
		if r.Class != "all" || r.Requests == 0 {
			continue
		}
		for i := range s.Fleets {
			for _, row := range rows(&s.Fleets[i]) {
				if row[0] == r.Window && row[1] == "all" {
					beside = append(beside, append([]string{r.Window, s.Fleets[i].Name}, row[2:]...))
				}
			}
		}
	}
	if len(s.Fleets) < 2 {
		return nil
	}
	fmt.Fprintln(w, "\nbeside baselines, on servers, arrivals and faults of the same seed")
	head := append([]string{"window", "who"}, columns[2:]...)
	return table.Terminal(w, true, head, beside)
}

func rows(l *experiment.FleetSummary) [][]string {
	var out [][]string
	for _, r := range l.Rows {
		if r.Requests == 0 && r.Void == 0 {
			continue
		}
		out = append(out, []string{r.Window, r.Class, fmt.Sprint(r.Requests), fmt.Sprint(r.InTime), fmt.Sprint(r.Late),
			fmt.Sprint(r.Rejected), fmt.Sprint(r.Failed), fmt.Sprintf("%.4f", r.ServedShare), fmt.Sprintf("%.1f", r.P50Ms),
			fmt.Sprintf("%.1f", r.P99Ms), fmt.Sprintf("%.2f", r.AttemptsPerRequest)})
	}
	return out
}

func markdown(w *bytes.Buffer, head []string, rows [][]string) error {
	if len(rows) == 0 {
		w.WriteString("none\n\n")
		return nil
	}
	err := table.Markdown(w, head, rows)
	w.WriteString("\n")
	return err
}

// Page is the report as a page.
func Page(s *experiment.Summary, plots []string) ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %s\n\n%s\n\n`%s`\n\n", s.Name, strings.TrimSpace(s.Description), ResultLine(s))
	fmt.Fprintf(&b, "%d agents, %d servers, %g requests a second for %g s. Agent build %s; %d processors, %s, Linux %s.\n\n",
		s.Agents, s.Servers, s.RequestRate, s.DurationSeconds, s.Build, s.Machine.CPUs, s.Machine.Go, s.Machine.Kernel)
	for _, broke := range s.Violations {
		fmt.Fprintf(&b, "- broke: %s\n", broke)
	}
	var errs []error
	section := func(title string, head []string, rows [][]string) {
		fmt.Fprintf(&b, "\n## %s\n\n", title)
		errs = append(errs, markdown(&b, head, rows))
	}
	section("Faults", []string{"fault", "kind", "targets", "from s", "to s"}, faultRows(s))
	section("Expected", []string{"figure", "is", "bound", "held"}, expectRows(s))
	for i := range s.Fleets {
		l := &s.Fleets[i]
		section("Figures: "+l.Name, columns, rows(l))
	}
	b.WriteString("Shares are of what was asked; latencies count from the planned time and cover what was served. " +
		"The warm-up is in none of them.\n")
	section("Breaches", []string{"rule", "at s", "request", "agent", "server", "what"}, breachRows(&s.Fleets[0]))
	section("Whole run", append([]string{"figure"}, laneNames(s)...), totalRows(s))
	fmt.Fprintf(&b, "## The lab itself\n\nRequests left the lab %.2f ms late in the median, %.2f ms at p99, %.1f ms at most. "+
		"It used %.1f s of processor time and %.0f MB.\n\n", s.Lab.LatenessP50Ms, s.Lab.LatenessP99Ms, s.Lab.LatenessMaxMs,
		s.Lab.CPUSeconds, s.Lab.PeakRSSMB)
	for _, p := range plots {
		name := filepath.Base(p)
		fmt.Fprintf(&b, "![%s](%s)\n\n", strings.TrimSuffix(name, filepath.Ext(name)), name)
	}
	return b.Bytes(), errors.Join(errs...)
}

func faultRows(s *experiment.Summary) (out [][]string) {
	for _, f := range s.Faults {
		out = append(out, []string{f.Name, f.Kind, fmt.Sprint(f.Targets), fmt.Sprintf("%.2f", f.BeganSeconds), fmt.Sprintf("%.2f", f.EndedSeconds)})
	}
	return out
}

func expectRows(s *experiment.Summary) (out [][]string) {
	for _, e := range s.Expectations {
		out = append(out, []string{e.Text, fmt.Sprint(e.Value), fmt.Sprint(e.Bound), fmt.Sprint(e.Met)})
	}
	return out
}

func breachRows(l *experiment.FleetSummary) (out [][]string) {
	for _, x := range l.Examples {
		out = append(out, []string{x.Rule, fmt.Sprintf("%.3f", x.AtS), x.Request, x.Agent, x.Server, x.Text})
	}
	return out
}

func laneNames(s *experiment.Summary) (out []string) {
	for i := range s.Fleets {
		out = append(out, s.Fleets[i].Name)
	}
	return out
}

// totals flattens the counts of a lane by their stable keys.
func totals(l *experiment.FleetSummary) (keys []string, m map[string]float64) {
	text, _ := json.Marshal(l.Total)
	_ = json.Unmarshal(text, &m)
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys, m
}

func totalRows(s *experiment.Summary) (out [][]string) {
	keys, _ := totals(&s.Fleets[0])
	for _, k := range keys {
		row := []string{k}
		for i := range s.Fleets {
			_, m := totals(&s.Fleets[i])
			row = append(row, fmt.Sprintf("%.6g", m[k]))
		}
		out = append(out, row)
	}
	return out
}

// Compare writes two results side by side.
func Compare(w io.Writer, a, b *experiment.Summary) error {
	fmt.Fprintf(w, "A: %s, agent build %s\nB: %s, agent build %s\n", ResultLine(a), a.Build, ResultLine(b), b.Build)
	if a.Name != b.Name || a.Seed != b.Seed {
		fmt.Fprintln(w, "They are not the same experiment and seed: their faults and arrivals differ.")
	}
	var out [][]string
	add := func(figure string, x, y float64) {
		out = append(out, []string{figure, fmt.Sprintf("%.6g", x), fmt.Sprintf("%.6g", y), fmt.Sprintf("%+.4g", y-x)})
	}
	other := map[string]experiment.Row{}
	for _, r := range b.Fleets[0].Rows {
		other[r.Window+"\x00"+r.Class] = r
	}
	for _, x := range a.Fleets[0].Rows {
		y, both := other[x.Window+"\x00"+x.Class]
		if !both {
			continue
		}
		at := x.Window + " " + x.Class + " "
		add(at+"served share", x.ServedShare, y.ServedShare)
		add(at+"p50 ms", x.P50Ms, y.P50Ms)
		add(at+"p99 ms", x.P99Ms, y.P99Ms)
		add(at+"attempts", x.AttemptsPerRequest, y.AttemptsPerRequest)
	}
	for _, f := range a.Faults {
		x, okX := a.Fleets[0].Recovery[f.Name]
		y, okY := b.Fleets[0].Recovery[f.Name]
		if okX && okY {
			add(f.Name+" recovery s", x, y)
		}
	}
	keys, x := totals(&a.Fleets[0])
	_, y := totals(&b.Fleets[0])
	for _, k := range keys {
		add(k, x[k], y[k])
	}
	breaches := func(s *experiment.Summary) (n float64) {
		for _, k := range s.Fleets[0].Breaches {
			n += float64(k)
		}
		return n
	}
	add("breaches", breaches(a), breaches(b))
	return table.Terminal(w, true, []string{"figure", "A", "B", "B - A"}, out)
}
