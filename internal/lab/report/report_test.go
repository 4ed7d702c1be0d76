package report

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/golden"
)

// testSummary returns the summary of a run of 20 seconds with the agents, one baseline and three
// faults, the last of which was never injected. The agents' metrics are scaled by scale.
func testSummary(t *testing.T, scale float64) *experiment.Summary {
	t.Helper()
	s := &experiment.Summary{Name: "two zones", Description: "\nA zone fails.\n", Seed: 7, DurationSeconds: 20, Passed: true,
		Build: "abc123", Machine: experiment.Machine{CPUs: 4, Go: "go1", Kernel: "6.1"}, Agents: 3, Servers: 5, RequestRate: 400.5}
	s.Faults = []experiment.InjectedFault{
		{Name: "zone fails", Kind: "kill", Targets: 2, BeganSeconds: 5, EndedSeconds: 9.5},
		{Name: "links break", Kind: "cut", Targets: 4, BeganSeconds: 12, EndedSeconds: 12},
		{Name: "late", Kind: "cut", Targets: 1, BeganSeconds: -1, EndedSeconds: -1},
	}
	s.Expectations = []experiment.ExpectationResult{{Text: "served share", Value: 0.98, Bound: 0.95, Met: true}}
	s.Fleets = []experiment.FleetSummary{testFleet(t, "agents", scale), testFleet(t, "random", 2)}
	return s
}

// testFleet returns the summary of a fleet whose metrics differ from each other.
func testFleet(t *testing.T, name string, scale float64) experiment.FleetSummary {
	t.Helper()
	fleet := experiment.FleetSummary{Name: name, Breaches: map[string]int{check.RuleLost: 3}, Recovery: map[string]float64{"zone fails": 4 * scale}}
	golden.Fill(t, &fleet.Total)
	for i, row := range []experiment.Row{{Window: "all", Class: "all"}, {Window: "all", Class: "look"}, {Window: "zone fails", Class: "all"}} {
		row.Requests, row.InTime, row.Late, row.Rejected, row.Failed = 100+i, 80+i, 10+i, 6+i, 4+i
		row.ServedShare, row.P50Ms, row.P99Ms, row.AttemptsPerRequest = 0.9/scale, 12.34*scale, 99.99*scale, 1.25
		fleet.Rows = append(fleet.Rows, row)
	}
	fleet.Rows = append(fleet.Rows, experiment.Row{Window: "empty", Class: "all"})
	fleet.Examples = []check.Breach{{Rule: check.RuleLost, AtS: 1.2345, Request: "r1", Agent: "n0", Server: "s1", Text: "no answer"}}
	for second := range 20 {
		var point experiment.Point
		fields := reflect.ValueOf(&point).Elem()
		for i := range fields.NumField() {
			if field := fields.Field(i); field.CanFloat() {
				field.SetFloat(scale * float64(second%7+i) / 10)
			} else {
				field.SetInt(int64(second%5 + i))
			}
		}
		point.AtS = float64(second)
		fleet.Series = append(fleet.Series, point)
	}
	return fleet
}

// The page, the tables on the terminal, the comparison and the result line match their golden files.
func TestReportTexts(t *testing.T) {
	s, other := testSummary(t, 1), testSummary(t, 1.5)
	other.Seed, other.Passed, other.Violations = 8, false, []string{"served share 0.6 under 0.95", "3 lost requests"}
	page, err := Page(other, []string{"/results/served.png", "/results/latency.png"})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "report.golden", page)
	for name, write := range map[string]func(out *bytes.Buffer) error{
		"tables.golden":  func(out *bytes.Buffer) error { return Tables(out, s) },
		"compare.golden": func(out *bytes.Buffer) error { return Compare(out, s, other) },
	} {
		var out bytes.Buffer
		if err := write(&out); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, out.Bytes())
	}
	golden.Lines(t, "resultlines.golden", []string{ResultLine(s), ResultLine(other)})
}

// A results folder has the summary, which Read returns as it was written, the page, and a valid PNG file
// for each plot. The page shows all plots.
func TestResultsFolder(t *testing.T) {
	dir := t.TempDir()
	s := testSummary(t, 1)
	if err := Write(dir, s); err != nil {
		t.Fatal(err)
	}
	read, err := Read(dir)
	if err != nil || !reflect.DeepEqual(read, s) {
		t.Errorf("read %+v (%v), want %+v", read, err, s)
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.md"))
	if err != nil {
		t.Fatal(err)
	}
	plots, err := filepath.Glob(filepath.Join(dir, "*.png"))
	if err != nil || len(plots) != 6 {
		t.Fatalf("plots %v: %v", plots, err)
	}
	for _, plot := range plots {
		if !strings.Contains(string(page), "("+filepath.Base(plot)+")") {
			t.Errorf("the page doesn't show %s", plot)
		}
		file, err := os.Open(plot)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := png.Decode(file); err != nil {
			t.Errorf("%s: %v", plot, err)
		}
		file.Close()
	}
	if partFiles, _ := filepath.Glob(filepath.Join(dir, "*.part")); len(partFiles) > 0 {
		t.Errorf("temporary files are left: %v", partFiles)
	}
}

// Read returns an error for a folder without a summary and for a summary without a fleet.
func TestReadRefusesIncompleteResults(t *testing.T) {
	dir := t.TempDir()
	if _, err := Read(dir); err == nil {
		t.Error("no error for a folder without a summary")
	}
	if err := os.WriteFile(filepath.Join(dir, "summary.json"), []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(dir); err == nil {
		t.Error("no error for a summary without a fleet")
	}
}
