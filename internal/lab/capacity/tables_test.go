package capacity

import (
	"fmt"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

var targetPath = filepath.Join("..", "..", "..", "docs", "capacity", "target.toml")

func loadTarget(t *testing.T) *Target {
	t.Helper()
	target, err := LoadTarget(targetPath)
	if err != nil {
		t.Fatal(err)
	}
	return target
}

// linearResults returns synthetic results in which each metric is linear in the number of servers. lines
// has the value at 0 and the slope of each metric.
func linearResults(variant string, sizes []int, lines map[Measurement][2]float64) *Results {
	results := &Results{Experiment: fleetAhead, Variant: variant, Command: "fixture", Commit: "0123456789abcdef", Seed: 7,
		Machine: "fixture | no machine", Started: time.Unix(0, 0).UTC()}
	for _, size := range sizes {
		run := Run{Servers: size, Watches: min(size, 5000), Services: 10}
		for key, line := range lines {
			run.Add(key.Role, key.Load, key.Metric, line[0]+line[1]*float64(size))
		}
		results.Runs = append(results.Runs, run)
	}
	return results
}

var (
	agentBytes = Measurement{Role: "hollow agent", Load: "steady", Metric: "bytes_in_per_second"}
	agentCores = Measurement{Role: "hollow agent", Load: "steady", Metric: "cpu_cores"}
	listBytes  = Measurement{Role: "steward leader", Load: "first start", Metric: "list_bytes"}
	lastChange = Measurement{Role: "readers", Load: "steady", Metric: "change_last_ms"}
)

func resultsBefore() *Results {
	return linearResults(Before, []int{1000, 3000, 6000, 10_000}, map[Measurement][2]float64{
		agentBytes: {0, 4}, agentCores: {0.001, 1e-7}, listBytes: {20, 120}, lastChange: {10, 0.01}})
}

func resultsAfter() *Results {
	return linearResults(After, []int{1000, 3000, 6000, 10_000}, map[Measurement][2]float64{agentBytes: {400, 0}})
}

func newDataset(results ...*Results) Dataset {
	var data Dataset
	for i, r := range results {
		data = append(data, Source{File: fmt.Sprintf("fixture-%d.json", i), Results: r})
	}
	return data
}

func tableText(t *testing.T, target *Target, data Dataset, name string) string {
	t.Helper()
	for _, table := range Tables(target, data) {
		if table.Name == name {
			return table.Text
		}
	}
	t.Fatalf("no table %s", name)
	return ""
}

// onlyLine returns the line of a text that contains all parts. It fails the test unless there is exactly
// one.
func onlyLine(t *testing.T, text string, parts ...string) string {
	t.Helper()
	var found []string
lines:
	for _, line := range strings.Split(text, "\n") {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue lines
			}
		}
		found = append(found, line)
	}
	if len(found) != 1 {
		t.Fatalf("%d lines with %q in\n%s", len(found), parts, text)
	}
	return found[0]
}

func checkContains(t *testing.T, line string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(line, part) {
			t.Errorf("no %q in %s", part, line)
		}
	}
}

func TestEstimateMarks(t *testing.T) {
	series := newDataset(resultsBefore())[:1].Series(Key{fleetAhead, Before, agentBytes.Role, agentBytes.Load, agentBytes.Metric, Servers})
	for size, want := range map[float64]string{3000: "12,000", 200: "800", 30_000: "120,000", 30_001: "120,000*", 39_000: "156,000*"} {
		if got := series.At(size).String(); got != want {
			t.Errorf("at %v: %s, want %s", size, got, want)
		}
	}
	below := Series{Fit: FitLine([]Point{{1000, 0}, {2000, 10}, {3000, 20}, {4000, 30}})}
	if got := below.At(200).String(); got != "0†" {
		t.Errorf("a fitted value below zero is printed as %s", got)
	}
}

func TestRolesTable(t *testing.T) {
	roles := tableText(t, loadTarget(t), newDataset(resultsBefore()), "roles")
	checkContains(t, onlyLine(t, roles, "| steady |", "| bytes in/s |"), "| 800 | 15,600 | 156,000* |", "| 24,000 B/s | 6.5* |", "fleet-ahead, before")
	// The runs have 1,000, 3,000 and twice 5,000 watches. These are only three sizes, so the fit is over
	// the servers.
	checkContains(t, onlyLine(t, roles, "| steady |", "change to the last reader"), "over servers with 5,000 watches at most")
	checkContains(t, onlyLine(t, roles, "| cores |", "| steady |"), "0.0049*", "0.153*")
	for _, role := range []string{"Agent, control", "Agent, calls", "Programme server's registration", "Steward as voter", "Steward as leader",
		"Steward as server of watches", "Gossip among control processes", "Exclusive leases", "Releases"} {
		if !strings.Contains(roles, "### "+role+"\n") {
			t.Errorf("no role %s", role)
		}
	}
	if !strings.Contains(roles, "leader killed, steward killed, rack lost, zone lost") {
		t.Error("loads that were not run are not listed as unknown")
	}
}

func TestTooFewSizesAreUnknown(t *testing.T) {
	few := resultsBefore()
	few.Runs = few.Runs[:3]
	few.Runs = append(few.Runs, Run{Servers: 39_000, NotRun: "descriptors ran out",
		Measurements: []Measurement{{Role: agentBytes.Role, Load: agentBytes.Load, Metric: agentBytes.Metric, Value: 1}}})
	data := newDataset(few)
	checkContains(t, onlyLine(t, tableText(t, loadTarget(t), data, "roles"), "| steady |", "| bytes in/s |"), "| unknown: 3 sizes | unknown: 3 sizes | unknown: 3 sizes |")
	checkContains(t, onlyLine(t, tableText(t, loadTarget(t), data, "sources"), "fixture-0.json"), "39,000: descriptors ran out", `fixture \| no machine`, "0123456789ab |", "| 7 |")
	checkContains(t, onlyLine(t, tableText(t, loadTarget(t), data, "slopes"), "bytes_in_per_second"), "unknown: 3 sizes")
}

func TestSourcesTableListsUnusedMeasurements(t *testing.T) {
	results := resultsBefore()
	if sources := tableText(t, loadTarget(t), newDataset(results), "sources"); strings.Contains(sources, "in no table") {
		t.Errorf("all measurements are in a table, but the sources list unused ones:\n%s", sources)
	}
	results.Runs[0].Add("hollow agents", "steady", "cpu_cores", 1)
	results.Runs[1].Add("hollow agents", "steady", "cpu_cores", 1)
	checkContains(t, onlyLine(t, tableText(t, loadTarget(t), newDataset(results), "sources"), "in no table"), ": fleet-ahead, hollow agents: cpu_cores.")
}

func TestSlopesTable(t *testing.T) {
	row := onlyLine(t, tableText(t, loadTarget(t), newDataset(resultsBefore()), "slopes"), "bytes_in_per_second")
	if want := "| fleet-ahead, before | hollow agent | steady | bytes_in_per_second | servers | 4,000 |"; !strings.HasPrefix(row, want) {
		t.Errorf("%s\nshould begin with\n%s", row, want)
	}
	if !strings.HasSuffix(row, "| 1 | 4 | 10,000 | no |") {
		t.Errorf("%s: want R² 1, 4 sizes up to 10,000 and no outlier", row)
	}
}

func TestOrderTable(t *testing.T) {
	data := newDataset(resultsBefore())
	order := tableText(t, loadTarget(t), data, "order")
	first := strings.Split(order, "\n")[2]
	// At 120 bytes a server, the full list of 1,000 servers takes 5 s at 24,000 B/s.
	checkContains(t, first, "| 1 | a whole list, for a reader without services, in 5 s at 24,000 B/s | 1,000 |")
	// A first list of 410 entries of 140 bytes counts as 3 calls, and 3 control-plane servers admit 30,000
	// calls in 5 s. Before, 200 entries of the full list counted as one call.
	checkContains(t, onlyLine(t, order, "first lists admitted"), "| 3 |", "| 10,000 |", "| 2,350 |")
	checkContains(t, onlyLine(t, order, "Agent, control: bytes in/s, limit"), "| 2 |", "| 6,000 |", "**missing**: "+string(mechanismScope))
	checkContains(t, onlyLine(t, order, "which a reader without services refuses"), "35,000*")
	checkContains(t, onlyLine(t, order, "Agent, control: cores"), "not at the target; at 310,000*")
	// With the mechanism the bytes don't rise. The column "before" shows the earlier threshold.
	order = tableText(t, loadTarget(t), newDataset(resultsBefore(), resultsAfter()), "order")
	checkContains(t, onlyLine(t, order, "Agent, control: bytes in/s, limit"), "not at the target: it doesn't rise", "| 6,000 |")
}

func TestThresholdPrefersSmallerMeasuredSize(t *testing.T) {
	series := Series{Points: []Point{{1000, 1}, {2000, 9}, {3000, 1}, {4000, 1}}}
	series.Fit = FitLine(series.Points)
	if threshold := series.threshold(loadTarget(t), 9); threshold.Size != 2000 || !strings.HasSuffix(threshold.Source, "measured") {
		t.Errorf("threshold %+v, want the measured size 2,000", threshold)
	}
}

func TestComparisonTable(t *testing.T) {
	comparison := tableText(t, loadTarget(t), newDataset(resultsBefore(), resultsAfter()), "comparison")
	checkContains(t, onlyLine(t, comparison, "bytes in/s"), "| 10,000 | 40,000 | 400 | 156,000* | 400* | 0.00256* | 24,000 B/s |")
}

func TestDerivedTable(t *testing.T) {
	derived := tableText(t, loadTarget(t), newDataset(resultsBefore()), "derived")
	checkContains(t, onlyLine(t, derived, "control machines that fail a day"), "| 0.0572 |")
	checkContains(t, onlyLine(t, derived, "renewals a second at one leader"), "| 19,500 |")
	checkContains(t, onlyLine(t, derived, "region lost: changes at once"), "| 6,500 |")
	checkContains(t, onlyLine(t, derived, "region cut off: configuration changes"), "| 1,420 |")
	checkContains(t, onlyLine(t, derived, "bytes of a reader's first list"), "| 4,680,000* |")
	checkContains(t, onlyLine(t, derived, "seconds for that at an agent's limit"), "| 195* |")
}

func TestPlacementTable(t *testing.T) {
	placement := tableText(t, loadTarget(t), nil, "placement")
	checkContains(t, onlyLine(t, placement, "| voters |"), "| 5 | 18 |")
	checkContains(t, onlyLine(t, placement, "register or renew"), "| 6,500 | 0 |")
	// 18 voters x 365 days x 0.002486 x 2 other voters x 0.002486 / 24, where 0.002486 is the probability that
	// a machine fails on a day, and a second voter has to fail within one hour.
	checkContains(t, onlyLine(t, placement, "quorums lost a year"), "| 0.00338 |")
}

// All numbers have at most significantDigits digits, and the same inputs give the same tables.
func TestTablesAreRoundedAndRepeatable(t *testing.T) {
	data := newDataset(resultsBefore(), resultsAfter())
	again := Tables(loadTarget(t), data)
	number := regexp.MustCompile(`[0-9][0-9,.]*`)
	for i, table := range Tables(loadTarget(t), data) {
		if table != again[i] {
			t.Errorf("table %s differs when generated again", table.Name)
		}
		if table.Name == "sources" || table.Name == "derived" { // commits; "86,400" as arithmetic
			continue
		}
		for _, figure := range number.FindAllString(table.Text, -1) {
			digits := strings.Trim(strings.ReplaceAll(strings.ReplaceAll(strings.TrimRight(figure, ",."), ",", ""), ".", ""), "0")
			if len(digits) > significantDigits {
				t.Errorf("table %s prints %s", table.Name, figure)
			}
		}
	}
}

func TestTablesWithoutResults(t *testing.T) {
	for _, table := range Tables(loadTarget(t), nil) {
		if table.Text == "" {
			t.Errorf("table %s is empty", table.Name)
		}
	}
	checkContains(t, onlyLine(t, tableText(t, loadTarget(t), nil, "order"), "Agent, control: bytes in/s, limit"), "| unknown |")
}

// A refused call costs an agent little, so the figures of an agent that refuses calls are excluded from
// fits.
func TestFitExcludesAgentsThatRefuseCalls(t *testing.T) {
	served, refused := Run{Servers: 20}, Run{Servers: 2000}
	for run, share := range map[*Run]float64{&served: 1, &refused: 0.5} {
		run.Add("agent", "115 calls/s", "served_share", share)
		run.Add("agent", "115 calls/s", "cpu_ms_per_call", 0.5)
		run.Add("requests", "115 calls/s", "p99_ms", 7)
	}
	data := newDataset(&Results{Experiment: "agent-cost", Runs: []Run{served, refused}})
	key := Key{Experiment: "agent-cost", Role: "agent", Load: "115 calls/s", Metric: "cpu_ms_per_call", Variable: Servers}
	if points := data.Series(key).Points; len(points) != 1 || points[0].Size != 20 {
		t.Errorf("points are %v, want only that of 20 servers", points)
	}
	key.Role, key.Metric = "requests", "p99_ms"
	if points := data.Series(key).Points; len(points) != 2 {
		t.Errorf("points of another role are %v, want both", points)
	}
}
