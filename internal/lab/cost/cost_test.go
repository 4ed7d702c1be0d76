package cost

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/agent"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/capacity"
)

const testTimeout = time.Minute

func newTestFleet(t *testing.T, servers int) *Fleet {
	t.Helper()
	fleet, err := NewFleet(servers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

func get(t *testing.T, url string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// The schedule depends only on the seed. The calls of a pair are pairGap apart, in either order.
func TestScheduleIsDrawnFromSeed(t *testing.T) {
	const rate, duration = 1000, 10 * time.Second
	schedule := newSchedule(rate, duration, 7)
	sameSeed := newSchedule(rate, duration, 7)
	otherSeed := newSchedule(rate, duration, 8)
	if !reflect.DeepEqual(schedule, sameSeed) || reflect.DeepEqual(schedule.calls, otherSeed.calls) {
		t.Error("schedules of the same seed differ, or those of different seeds are equal")
	}
	if mean := rate * duration.Seconds(); math.Abs(float64(schedule.pairs)-mean) > 5*math.Sqrt(mean) {
		t.Errorf("%d pairs, expected about %v", schedule.pairs, mean)
	}
	if len(schedule.calls) != 2*schedule.pairs {
		t.Fatalf("%d calls of %d pairs", len(schedule.calls), schedule.pairs)
	}
	firstOfPair := map[int]plannedCall{}
	directFirst := 0
	for i, call := range schedule.calls {
		if i > 0 && call.at < schedule.calls[i-1].at {
			t.Fatalf("call %d is earlier than the one before it", i)
		}
		first, isSecond := firstOfPair[call.pair]
		if !isSecond {
			firstOfPair[call.pair] = call
			if call.route == direct {
				directFirst++
			}
			continue
		}
		if call.route == first.route || call.at-first.at != pairGap || call.key != first.key || call.server != first.server {
			t.Fatalf("not a valid pair: %+v and %+v", first, call)
		}
	}
	if share := float64(directFirst) / float64(schedule.pairs); share < 0.45 || share > 0.55 {
		t.Errorf("the direct call is first in %.2f of the pairs", share)
	}
}

func TestSummarizeCountsServedCalls(t *testing.T) {
	const ms = time.Millisecond
	results := []pairResult{
		{direct: {latency: 2 * ms, outcome: served}, throughAgent: {latency: 3 * ms, outcome: served, lateness: ms}},
		{direct: {latency: 4 * ms, outcome: served}, throughAgent: {latency: 3 * ms, outcome: served}},
		{direct: {latency: 2 * ms, outcome: served}, throughAgent: {latency: 900 * ms}},
	}
	s := summarize(results)
	if s.pairs != 3 || s.outcomes[direct][served] != 3 || s.outcomes[throughAgent] != [outcomeCount]int{unanswered: 1, served: 2} {
		t.Errorf("counted %d pairs, %v direct and %v through the agent", s.pairs, s.outcomes[direct], s.outcomes[throughAgent])
	}
	if !reflect.DeepEqual(s.addedMs, []float64{-1, 1}) {
		t.Errorf("the added latencies are %v ms, want -1 and 1", s.addedMs)
	}
	if maxLatency := s.latency[throughAgent].Max(); maxLatency > 4000 {
		t.Errorf("the latencies include a call that was not served: %d us", maxLatency)
	}
	if lateness := s.lateness.Max(); lateness < 900 || lateness > 1100 {
		t.Errorf("the maximum lateness is %d us, want about 1000", lateness)
	}
}

func TestOutcomeOfStatus(t *testing.T) {
	for status, want := range map[int]outcome{200: served, 204: failed, 429: refused, 502: failed, 503: refused, 504: failed} {
		if got := outcomeOf(status); got != want {
			t.Errorf("status %d ends as %d, want %d", status, got, want)
		}
	}
}

// If no call was served, there is no latency measurement rather than one of 0.
func TestNoLatencyWithoutServedCalls(t *testing.T) {
	pairs := []pairResult{{direct: {outcome: served, latency: time.Millisecond}, throughAgent: {outcome: refused}}}
	cell := &Cell{Rate: 115, load: summarize(pairs)}
	var run capacity.Run
	cell.addTo(&run)
	for _, m := range run.Measurements {
		if m.Role == "agent" && (strings.HasSuffix(m.Metric, "_ms") || m.Metric == "cpu_ms_per_served_call") {
			t.Errorf("%s is %v", m.Metric, m.Value)
		}
	}
	if !strings.Contains(cell.String(), "nothing served") {
		t.Errorf("progress is %q", cell)
	}
}

func TestSortedQuantile(t *testing.T) {
	sorted := []float64{-1, 0, 1, 2}
	for percent, want := range map[float64]float64{0: -1, 50: 1, 99: 2, 100: 2} {
		if got := sortedQuantile(sorted, percent); got != want {
			t.Errorf("quantile %v is %v, want %v", percent, got, want)
		}
	}
	if got := sortedQuantile(nil, 50); got != 0 {
		t.Errorf("the quantile of no values is %v, want 0", got)
	}
}

// The agent accepts the configuration of the fleet, and the names of the list share a few addresses.
func TestAgentAcceptsFleetConfig(t *testing.T) {
	fleet := newTestFleet(t, 100)
	text, err := fleet.AgentConfig("127.0.0.1:0", 5)
	if err != nil {
		t.Fatal(err)
	}
	conf, err := agent.ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, host := range conf.CachedList.Endpoints {
		names[host.Name], addresses[host.Dial] = true, true
	}
	if conf.CachedListErr != nil || len(names) != 100 || len(addresses) != listenerCount {
		t.Errorf("%d names at %d addresses, error of the list: %v", len(names), len(addresses), conf.CachedListErr)
	}
	if conf.Limits.MemoryMB != 256 || conf.Limits.Sockets != 1024 {
		t.Errorf("limits are %+v", conf.Limits)
	}
}

func TestListServiceServesListAndWatch(t *testing.T) {
	fleet := newTestFleet(t, 30)
	base := "http://" + fleet.ListAddr + endpoints.Path
	text, err := io.ReadAll(get(t, base).Body)
	if err != nil {
		t.Fatal(err)
	}
	full, err := endpoints.Parse(text)
	if err != nil || !full.Full || len(full.Endpoints) != 30 {
		t.Fatalf("full list of %d entries: %v", len(full.Endpoints), err)
	}
	for since, entries := range map[int64]int{full.Seq: 0, 0: 30} {
		lines := bufio.NewReader(get(t, fmt.Sprintf("%s?follow=1&since=%d", base, since)).Body)
		first, err := lines.ReadBytes('\n')
		if err != nil {
			t.Fatal(err)
		}
		var list endpoints.List
		if err := json.Unmarshal(first, &list); err != nil || list.Seq != full.Seq || len(list.Endpoints) != entries {
			t.Errorf("since %d: version %d with %d entries: %v", since, list.Seq, len(list.Endpoints), err)
		}
		if heartbeat, err := lines.ReadString('\n'); err != nil || heartbeat != "\n" {
			t.Errorf("since %d: %q in place of a heartbeat: %v", since, heartbeat, err)
		}
	}
	if c := &fleet.Counters; c.FullLists.Load() != 1 || c.Watches.Load() != 2 {
		t.Errorf("counted %d full lists and %d watches", c.FullLists.Load(), c.Watches.Load())
	}
}

// violationsOf applies a change to a cell without violations and returns the cell's violations.
func violationsOf(change func(pairs []pairResult, c *Cell)) []string {
	pairs := make([]pairResult, 100)
	for i := range pairs {
		pairs[i] = pairResult{direct: {outcome: served}, throughAgent: {outcome: served}}
	}
	cell := &Cell{}
	change(pairs, cell)
	cell.load = summarize(pairs)
	cell.checkLimits()
	return cell.Violations
}

func TestCheckLimits(t *testing.T) {
	for name, c := range map[string]struct {
		change func([]pairResult, *Cell)
		want   string
	}{
		"none":         {func([]pairResult, *Cell) {}, ""},
		"one unserved": {func(p []pairResult, _ *Cell) { p[0][throughAgent].outcome = refused }, ""},
		"two unserved": {func(p []pairResult, _ *Cell) {
			p[0][throughAgent].outcome, p[1][throughAgent].outcome = refused, failed
		}, "served share 0.9800, at least 0.99 (refused 0.0100, failed 0.0100, unanswered 0.0000)"},
		"direct": {func(p []pairResult, _ *Cell) { p[0][direct].outcome = unanswered }, "1 of 100 direct calls"},
		"memory": {func(_ []pairResult, c *Cell) { c.peakRSSMB = AgentMemoryMB + 1 }, "peak memory 257 MB"},
		"late": {func(p []pairResult, _ *Cell) {
			p[0][direct].lateness, p[1][direct].lateness, p[2][direct].lateness = 1e9, 1e9, 1e9
		}, "late at p99"},
	} {
		violations := strings.Join(violationsOf(c.change), "; ")
		if (c.want == "") != (violations == "") || !strings.Contains(violations, c.want) {
			t.Errorf("%s: violations %q, want %q", name, violations, c.want)
		}
	}
}

func TestValidateNamesFlag(t *testing.T) {
	program := filepath.Join(t.TempDir(), "agent")
	if err := os.WriteFile(program, nil, 0o755); err != nil {
		t.Fatal(err)
	}
	validOptions := func() *Options {
		return &Options{Agent: program, Servers: []int{20}, Rates: []float64{50}, Window: time.Second}
	}
	if err := validOptions().Validate(); err != nil {
		t.Fatal(err)
	}
	for flag, changes := range map[string][]func(o *Options){
		"--servers": {func(o *Options) { o.Servers = nil }, func(o *Options) { o.Servers = []int{0} },
			func(o *Options) { o.Servers = []int{MaxServers + 1} }, func(o *Options) { o.Servers = make([]int, maxCells+1) }},
		"--rates": {func(o *Options) { o.Rates = nil }, func(o *Options) { o.Rates = []float64{0} },
			func(o *Options) { o.Rates = []float64{math.NaN()} }, func(o *Options) { o.Rates = []float64{MaxRate + 1} }},
		"--for":   {func(o *Options) { o.Window = 0 }, func(o *Options) { o.Window = MaxWindow + 1 }},
		"--agent": {func(o *Options) { o.Agent = filepath.Dir(program) }, func(o *Options) { o.Agent = program + "-none" }},
	} {
		for i, change := range changes {
			options := validOptions()
			change(options)
			if err := options.Validate(); err == nil || !strings.HasPrefix(err.Error(), flag+": ") {
				t.Errorf("%s, change %d: %v", flag, i, err)
			}
		}
	}
}

// Cells that can't be measured are reported with the reason, and the remaining cells are still measured.
func TestCellsNotRunAreReported(t *testing.T) {
	program := filepath.Join(t.TempDir(), "agent")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho no agent here\nexit 1\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	options := &Options{Agent: program, Servers: []int{1, 2}, Rates: []float64{50, 70}, Window: MinWindow}
	results, violations, err := Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	if len(results.Runs) != 2 || len(violations) != 4 {
		t.Fatalf("%d runs, violations %q", len(results.Runs), violations)
	}
	for _, run := range results.Runs {
		if strings.Count(run.NotRun, "no agent here") != 2 || len(run.Measurements) != 0 {
			t.Errorf("not run for %q with %d measurements", run.NotRun, len(run.Measurements))
		}
	}
}

// agentValue returns the value of a metric of the agent under a load.
func agentValue(t *testing.T, run *capacity.Run, load, name string) float64 {
	t.Helper()
	for _, m := range run.Measurements {
		if m.Role == "agent" && m.Load == load && m.Metric == name {
			return m.Value
		}
	}
	t.Errorf("no %s under %s", name, load)
	return math.NaN()
}

func TestAddToAddsEachMetric(t *testing.T) {
	pairs := make([]pairResult, 200)
	for i := range pairs {
		pairs[i] = pairResult{direct: {outcome: served, latency: 2 * time.Millisecond}, throughAgent: {outcome: served - outcome(i%2), latency: 5 * time.Millisecond}}
	}
	cell := &Cell{Rate: 115, cpu: 100 * time.Millisecond, cores: 0.1, counts: eventCounts{probes: 20, connections: 400}, load: summarize(pairs)}
	var run capacity.Run
	cell.addTo(&run)
	for name, want := range map[string]float64{"calls": 200, "served_share": 0.5, "refused_share": 0, "failed_share": 0, "unanswered_share": 0.5, "cpu_ms_per_call": 0.5, "cpu_ms_per_served_call": 1, "cpu_cores": 0.1,
		"idle_cpu_cores": 0, "rss_mb": 0, "peak_rss_mb": 0, "direct_p50_ms": 2, "direct_p99_ms": 2, "agent_p50_ms": 5, "agent_p99_ms": 5,
		"added_p50_ms": 3, "added_p99_ms": 3, "added_paired_p50_ms": 3, "added_paired_p99_ms": 3, "connections_per_call": 2, "probes_per_call": 0.1} {
		if got := agentValue(t, &run, "115 calls/s", name); math.Abs(got-want) > 0.01 {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
}
