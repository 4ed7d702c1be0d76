package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"knotrouter/internal/lab/capacity"
)

// A short measurement with a real agent counts its calls and writes all metrics. Times and the exit code
// aren't checked, because the limits may be exceeded on a busy machine.
func TestCostMeasuresRealAgent(t *testing.T) {
	agentPath, err := buildAgent()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "cost.json")
	var out, progress bytes.Buffer
	cmd := newRootCommand(&out, &progress)
	cmd.SetArgs([]string{"cost", "--agent", agentPath, "--servers", "20", "--rates", "50", "--for", "1s", "--seed", "3", "--out", file})
	if err := cmd.Execute(); err != nil && err != errChecksFailed {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if last := lines[len(lines)-1]; !strings.HasPrefix(last, "agent-cost seed 3: ") {
		t.Errorf("the last line is %q", last)
	}
	if strings.Count(progress.String(), "[1/1]") != 2 {
		t.Errorf("progress is %q", &progress)
	}
	results, err := capacity.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	if results.Experiment != "agent-cost" || results.Seed != 3 || len(results.Runs) != 1 || results.Runs[0].Servers != 20 || results.Runs[0].NotRun != "" {
		t.Fatalf("results are %+v", results)
	}
	if want := "bin/lab cost --servers 20 --rates 50 --for 1s --seed 3"; results.Command != want {
		t.Errorf("the command is %q, want %q", results.Command, want)
	}
	values := map[string]float64{}
	for _, m := range results.Runs[0].Measurements {
		if m.Load != "50 calls/s" {
			t.Errorf("load %q", m.Load)
		}
		values[m.Metric] = m.Value
	}
	if values["calls"] < 20 || values["calls"] > 100 {
		t.Errorf("%v calls in a second at 50 a second", values["calls"])
	}
	if values["served_share"] != 1 || !(values["rss_mb"] > 0) || !(values["peak_rss_mb"] >= values["rss_mb"]) {
		t.Errorf("measured values %v", values)
	}
	for _, name := range []string{"cpu_ms_per_call", "cpu_cores", "idle_cpu_cores", "direct_p50_ms", "direct_p99_ms", "agent_p50_ms",
		"agent_p99_ms", "added_p50_ms", "added_p99_ms", "added_paired_p50_ms", "added_paired_p99_ms"} {
		if _, ok := values[name]; !ok {
			t.Errorf("no metric %s", name)
		}
	}
}

// The error of an invalid flag is one line that names the flag.
func TestCostNamesInvalidFlag(t *testing.T) {
	agentPath, err := buildAgent()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ flag, value string }{
		{"--servers", "0"}, {"--servers", "many"}, {"--servers", "20,-1"}, {"--rates", "0"}, {"--rates", "fast"},
		{"--rates", "NaN"}, {"--for", "0s"}, {"--for", "ten"}, {"--seed", "-1"}, {"--agent", "none"},
	} {
		cmd := newRootCommand(&bytes.Buffer{}, &bytes.Buffer{})
		args := []string{"cost", "--agent", agentPath, "--out", filepath.Join(t.TempDir(), "cost.json"), c.flag + "=" + c.value}
		cmd.SetArgs(args)
		err := cmd.Execute()
		if err == nil || err == errChecksFailed || !strings.Contains(err.Error(), c.flag) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s %s: %v", c.flag, c.value, err)
		}
	}
}
