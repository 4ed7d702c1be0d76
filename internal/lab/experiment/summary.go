package experiment

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/client"
)

// Summary is all that a run showed; it is written as summary.json, whose keys stay.
type Summary struct {
	Name            string              `json:"name"`
	Description     string              `json:"about"`
	Seed            uint64              `json:"seed"`
	DurationSeconds float64             `json:"duration_s"`
	Passed          bool                `json:"held"`
	Violations      []string            `json:"broke"`
	Expectations    []ExpectationResult `json:"expect"`
	Faults          []InjectedFault     `json:"faults"`
	Fleets          []FleetSummary      `json:"lanes"`
	Lab             Lab                 `json:"lab"`
	Build           string              `json:"build"`
	Machine         Machine             `json:"machine"`
	Agents          int                 `json:"agents"`
	Servers         int                 `json:"servers"`
	RequestRate     float64             `json:"rate"`
}

// Lab is what the lab itself did and cost.
type Lab struct {
	LatenessP50Ms    float64 `json:"lateness_p50_ms"`
	LatenessP99Ms    float64 `json:"lateness_p99_ms"`
	LatenessMaxMs    float64 `json:"lateness_max_ms"`
	TooLate          bool    `json:"too_late"`
	CPUSeconds       float64 `json:"cpu_s"`
	CoresUsed        float64 `json:"cores"` // processors in use, on the mean, while requests were asked
	PeakDescriptors  int     `json:"peak_descriptors"`
	DescriptorLimit  int     `json:"descriptor_limit"`
	PeakRSSMB        float64 `json:"peak_rss_mb"`
	RetainedRequests int64   `json:"remembered_requests"`
}

// ExpectationResult is an expectation and what came of it.
type ExpectationResult struct {
	Text  string  `json:"text"`
	Value float64 `json:"figure"`
	Bound float64 `json:"bound"`
	Met   bool    `json:"held"`
}

// FleetSummary is the figures of one fleet.
type FleetSummary struct {
	Name     string             `json:"name"`
	Rows     []Row              `json:"rows"` // by window and class
	Total    Total              `json:"total"`
	Breaches map[string]int     `json:"breaches"`
	Examples []check.Breach     `json:"breach_examples"`
	Recovery map[string]float64 `json:"recovery_s"` // by fault; -1: not within the run
	Series   []Point            `json:"series"`
	Events   []EventLine        `json:"events"`
}

// EventLine is something that happened.
type EventLine struct {
	AtS  float64 `json:"at_s"`
	Name string  `json:"name"`
}

// Row is one class within one window of the run.
type Row struct {
	Window             string  `json:"window"`
	Class              string  `json:"class"` // "all" is all of them
	Requests           int     `json:"asked"`
	InTime             int     `json:"in_time"`
	Late               int     `json:"late"`
	Rejected           int     `json:"refused"`
	Failed             int     `json:"failed"`
	Void               int     `json:"void"` // killed with their client, or left by it: not asked
	ServedShare        float64 `json:"served_share"`
	PriorityShare      float64 `json:"worth_share"`
	MeanMs             float64 `json:"mean_ms"`
	P50Ms              float64 `json:"p50_ms"`
	P99Ms              float64 `json:"p99_ms"`
	AttemptsPerRequest float64 `json:"attempts_per_request"`
}

// Total is what was counted over the whole run.
type Total struct {
	Connections           int64   `json:"connections_to_servers"`
	ClientConnections     int64   `json:"connections_of_clients"`
	ListCalls             int64   `json:"list_calls"`
	ListLines             int64   `json:"list_lines"`
	ListCallsFailed       int64   `json:"list_calls_failed"`
	Probes                int64   `json:"probes"`
	ServerAttempts        int64   `json:"attempts_at_servers"`
	Rejected              int64   `json:"turned_away"`
	SkippedAgentDown      int64   `json:"not_asked_agent_down"`
	ClientAttempts        int64   `json:"tries"`
	DuplicatesDropped     int64   `json:"effects_dropped"`
	DuplicatedEffects     int64   `json:"effects_doubled"`
	Overloads             int     `json:"chokes"`
	Crashes               int     `json:"crashes"`
	PropagationP50Ms      float64 `json:"spread_p50_ms"` // of a change, from its being sent to each watch of the lab's own
	PropagationP99Ms      float64 `json:"spread_p99_ms"`
	LastWatchP99Ms        float64 `json:"spread_last_p99_ms"` // to the last of them, p99 of the changes
	PropagationSamples    int64   `json:"spread_samples"`
	AgentPropagationP50Ms float64 `json:"learnt_p50_ms"` // of a change, from its being sent to each agent's taking it
	AgentPropagationP99Ms float64 `json:"learnt_p99_ms"`
	LastAgentP50Ms        float64 `json:"last_agent_p50_ms"` // to the last agent, over the changes
	LastAgentP99Ms        float64 `json:"last_agent_p99_ms"`
	Changes               int64   `json:"changes"`
	AgentsPresent         int     `json:"agents_present"` // in the end, by the steward that knows least
	TaskTerms             int     `json:"duty_terms"`
	FencedOperations      int     `json:"duty_acts_refused"` // for their fence
	TaskIdleShare         float64 `json:"duty_idle_share"`   // of the time between the first act and the last, in which nobody acted
	HandoverGapP50Ms      float64 `json:"duty_gap_p50_ms"`   // between two holders' acts
	HandoverGapP99Ms      float64 `json:"duty_gap_p99_ms"`
	HandoverGapMaxMs      float64 `json:"duty_gap_max_ms"`
	AgentPeakRSSMB        float64 `json:"agent_peak_rss_mb"`
	AgentPeakFDs          int     `json:"agent_peak_descriptors"`
	AgentCPUSeconds       float64 `json:"agent_cpu_s"`
	ServerWorkSeconds     float64 `json:"server_work_s"`
}

// Point is one second of a run.
type Point struct {
	AtS                  float64 `json:"at_s"`
	Requests             int     `json:"asked"`
	ServedShare          float64 `json:"served_share"`
	RejectedShare        float64 `json:"refused_share"`
	P50Ms                float64 `json:"p50_ms"`
	P99Ms                float64 `json:"p99_ms"`
	AttemptsPerSecond    float64 `json:"attempts_per_s"`
	ConnectionsPerSecond float64 `json:"connections_per_s"`
	OpenConnections      int     `json:"open_connections"`
	ListCallsPerSecond   float64 `json:"list_calls_per_s"`
	ProbesPerSecond      float64 `json:"probes_per_s"`
	WarmingUp            int     `json:"cold_servers"`
	Overloaded           int     `json:"choked_servers"`
	Down                 int     `json:"down_servers"`
	Agents               int     `json:"agents"`
}

func (r *run) summarize() (*Summary, error) {
	s := &Summary{Name: r.config.Name, Description: r.config.Description, Seed: r.seed, DurationSeconds: r.config.Duration.Seconds(), Violations: []string{},
		Expectations: []ExpectationResult{}, Faults: r.applied[0], Machine: describeMachine(), Build: programDigest(r.config.Agents.Command),
		Agents: r.config.Agents.Count, Servers: r.config.Servers.Count, RequestRate: r.config.Load.Rate}
	late := hdrhistogram.New(1, 60_000_000, 3)
	for i, l := range r.fleets {
		s.Fleets = append(s.Fleets, r.summarizeFleet(i, l, late))
	}
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) == nil {
		s.Lab.PeakRSSMB = float64(use.Maxrss) / 1024
	}
	s.Lab.CPUSeconds, s.Lab.CoresUsed = processorTime().Seconds(), roundTo4Digits(r.coresUsed)
	s.Lab.PeakDescriptors, s.Lab.DescriptorLimit = r.peakDescriptors, descriptorLimit()
	s.Lab.LatenessP50Ms = float64(late.ValueAtQuantile(50)) / 1000
	s.Lab.LatenessP99Ms = float64(late.ValueAtQuantile(99)) / 1000
	s.Lab.LatenessMaxMs = float64(late.Max()) / 1000
	s.Lab.TooLate = s.Lab.LatenessP99Ms > millis(r.config.MaxLateness)
	s.Lab.RetainedRequests = r.fleets[0].checker.Retained()
	r.evaluate(s)
	return s, nil
}

// evaluate holds the run against the rules and against what its file expects.
func (r *run) evaluate(s *Summary) {
	agents := &s.Fleets[0]
	rules := make([]string, 0, len(agents.Breaches))
	for rule := range agents.Breaches {
		rules = append(rules, rule)
	}
	sort.Strings(rules)
	for _, rule := range rules {
		s.Violations = append(s.Violations, fmt.Sprintf("rule %s, %d against 0", rule, agents.Breaches[rule]))
	}
	if s.Lab.TooLate {
		s.Violations = append(s.Violations, fmt.Sprintf("the lab ran late, p99 %.1f ms against %.1f", s.Lab.LatenessP99Ms, millis(r.config.MaxLateness)))
	}
	if s.Lab.PeakDescriptors >= s.Lab.DescriptorLimit*95/100 {
		s.Violations = append(s.Violations, fmt.Sprintf("the lab ran out of descriptors, %d against %d", s.Lab.PeakDescriptors, s.Lab.DescriptorLimit))
	}
	for _, f := range s.Faults {
		if f.Error != "" {
			s.Violations = append(s.Violations, fmt.Sprintf("fault %s could not be injected: %s", f.Name, f.Error))
		} else if f.BeganSeconds < 0 {
			s.Violations = append(s.Violations, fmt.Sprintf("fault %s never came: its event was not seen", f.Name))
		}
	}
	for i := range r.config.Expectations {
		expectation := &r.config.Expectations[i]
		value := s.metricValue(expectation)
		for _, b := range []struct {
			bound *float64
			word  string
			ok    func(value, b float64) bool
		}{{expectation.AtLeast, "at least", func(value, b float64) bool { return value >= b }}, {expectation.AtMost, "at most", func(value, b float64) bool { return value <= b }}} {
			if b.bound == nil {
				continue
			}
			result := ExpectationResult{Text: expectation.label() + " " + b.word, Value: roundTo4Digits(value), Bound: *b.bound, Met: !math.IsNaN(value) && b.ok(value, *b.bound)}
			if math.IsNaN(value) {
				result.Value = -1
			}
			s.Expectations = append(s.Expectations, result)
			if !result.Met {
				s.Violations = append(s.Violations, fmt.Sprintf("%s, %v against %v", result.Text, result.Value, result.Bound))
			}
		}
	}
	s.Passed = len(s.Violations) == 0
}

func roundTo4Digits(x float64) float64 { return math.Round(x*1e4) / 1e4 }

func (e *Expectation) label() string {
	t := e.Metric
	if e.Class != "" {
		t += " of " + e.Class
	}
	if e.Baseline != "" {
		t += " to " + e.Baseline
	}
	if e.Window != "" && e.Window != "all" {
		t += " in " + e.Window
	}
	return t
}

// metricValue is what an expectation bounds; not a number where there is nothing to see.
func (s *Summary) metricValue(expectation *Expectation) float64 {
	agents := &s.Fleets[0]
	requests := float64(max(agents.findRow("all", "all").Requests, 1))
	row := agents.findRow(expectation.Window, expectation.Class)
	share := func(n int) float64 {
		if row.Requests == 0 {
			return math.NaN()
		}
		return float64(n) / float64(row.Requests)
	}
	switch expectation.Metric {
	case "served":
		return share(row.InTime)
	case "refused":
		return share(row.Rejected)
	case "failed":
		return share(row.Failed)
	case "late":
		return share(row.Late)
	case "p50_ms":
		return row.P50Ms
	case "p99_ms":
		return row.P99Ms
	case "attempts":
		return row.AttemptsPerRequest
	case "probes":
		return float64(agents.Total.Probes) / requests
	case "connections":
		return float64(agents.Total.Connections) / requests
	case "list_calls":
		return float64(agents.Total.ListCalls)
	case "lab_cores":
		return s.Lab.CoresUsed
	case "crashes":
		return float64(agents.Total.Crashes)
	case "doubled":
		return float64(agents.Total.DuplicatedEffects)
	case "recovery_s":
		if x, ok := agents.Recovery[expectation.Window]; ok && x >= 0 {
			return x
		}
		return math.NaN()
	case "spread_p50_ms":
		return agents.Total.PropagationP50Ms
	case "spread_p99_ms":
		return agents.Total.PropagationP99Ms
	case "last_agent_p50_ms":
		return agents.Total.LastAgentP50Ms
	case "last_agent_p99_ms":
		return agents.Total.LastAgentP99Ms
	case "agents_present":
		return float64(agents.Total.AgentsPresent)
	case "duty_idle":
		return agents.Total.TaskIdleShare
	case "duty_gap_max_ms":
		return agents.Total.HandoverGapMaxMs
	case "duty_terms":
		return float64(agents.Total.TaskTerms)
	case "worth":
		return row.PriorityShare
	case "worth_ratio":
		for i := range s.Fleets {
			if other := s.Fleets[i].findRow(expectation.Window, expectation.Class); s.Fleets[i].Name == expectation.Baseline && other.PriorityShare > 0 {
				return row.PriorityShare / other.PriorityShare
			}
		}
	}
	return math.NaN()
}

// findRow finds the figures of a window and a class; "" is all.
func (l *FleetSummary) findRow(window, class string) Row {
	if window == "" {
		window = "all"
	}
	if class == "" {
		class = "all"
	}
	for _, r := range l.Rows {
		if r.Window == window && r.Class == class {
			return r
		}
	}
	return Row{}
}

// summarizeFleet makes the figures of one summarizeFleet.
func (r *run) summarizeFleet(i int, l *fleet, late *hdrhistogram.Histogram) FleetSummary {
	for k := range l.results {
		l.results[k].Planned -= r.loadStart
		_ = late.RecordValue(max(l.results[k].SendDelay.Microseconds(), 1))
	}
	out := FleetSummary{Name: l.name, Recovery: map[string]float64{}, Events: []EventLine{}}
	out.Total = l.totals() // which may find that a rule was broken
	out.Examples, out.Breaches = l.checker.Breaches()
	for k := range out.Examples {
		out.Examples[k].AtS = roundTo4Digits(out.Examples[k].AtS - r.loadStart.Seconds())
	}
	if out.Examples == nil {
		out.Examples = []check.Breach{}
	}
	for _, e := range l.events.recorded() {
		out.Events = append(out.Events, EventLine{roundTo4Digits((e.At - r.loadStart).Seconds()), e.Name})
	}
	windows := r.config.faultWindows(r.applied[i])
	out.Rows = r.countRows(l, windows)
	out.Total.Crashes = out.Breaches[check.RuleCrash]
	out.Series = r.series(l.results, r.samples[i])
	for name, w := range windows {
		out.Recovery[name] = recoverySeconds(out.Series, w[0], r.config.Warmup)
	}
	return out
}

// countRows counts each class in each window, by the planned time.
func (r *run) countRows(l *fleet, windows map[string][2]time.Duration) []Row {
	names := []string{"all", "calm"}
	for i := range r.config.Faults {
		if _, ok := windows[r.config.Faults[i].Name]; ok {
			names = append(names, r.config.Faults[i].Name)
		}
	}
	var rows []Row
	for _, name := range names {
		in := func(t time.Duration) bool {
			switch name {
			case "all":
				return t >= r.config.Warmup
			case "calm":
				for _, w := range windows {
					if t >= w[0] && t < w[1] {
						return false
					}
				}
				return t >= r.config.Warmup
			}
			return t >= windows[name][0] && t < windows[name][1]
		}
		for class := -1; class < len(r.config.Load.Classes); class++ {
			rows = append(rows, r.countRow(l.results, name, class, in))
		}
	}
	return rows
}

func (r *run) countRow(results []client.Result, window string, class int, in func(time.Duration) bool) Row {
	row := Row{Window: window, Class: "all"}
	if class >= 0 {
		row.Class = r.config.Load.Classes[class].Name
	}
	latencies := hdrhistogram.New(1, 120_000_000, 3)
	servedWeight, totalWeight, attempts := 0.0, 0.0, 0
	for i := range results {
		result := &results[i]
		if class >= 0 && int(result.Class) != class || !in(result.Planned) {
			continue
		}
		if result.Outcome == check.Void || result.Outcome == check.ClientCanceled {
			row.Void++
			continue
		}
		weight := r.config.Load.Classes[result.Class].PriorityWeight
		row.Requests++
		totalWeight += weight
		attempts += int(result.ServerAttempts)
		if result.Outcome == check.Served {
			_ = latencies.RecordValue(max(result.Latency.Microseconds(), 1))
		}
		switch {
		case result.InTime:
			row.InTime++
			servedWeight += weight
		case result.Outcome == check.Served:
			row.Late++
		case result.Outcome == check.Rejected:
			row.Rejected++
		default:
			row.Failed++
		}
	}
	if row.Requests > 0 {
		row.ServedShare = roundTo4Digits(float64(row.InTime) / float64(row.Requests))
		row.AttemptsPerRequest = roundTo4Digits(float64(attempts) / float64(row.Requests))
	}
	if totalWeight > 0 {
		row.PriorityShare = roundTo4Digits(servedWeight / totalWeight)
	}
	row.MeanMs = roundTo4Digits(latencies.Mean() / 1000)
	row.P50Ms = float64(latencies.ValueAtQuantile(50)) / 1000
	row.P99Ms = float64(latencies.ValueAtQuantile(99)) / 1000
	return row
}

func (fl *fleet) totals() Total {
	var t Total
	for _, s := range fl.servers {
		t.Connections += s.Connections.Load()
		t.Probes += s.Probes.Load()
		t.ServerAttempts += s.Arrived.Load()
		t.Rejected += s.Away.Load()
		t.Overloads += s.State().Chokes
		t.ServerWorkSeconds += float64(s.WorkMicros.Load()) / 1e6
	}
	d := &fl.discovery.Counters
	t.ListCalls, t.ListLines, t.ListCallsFailed = d.Calls.Load(), d.Lines.Load(), d.Failed.Load()
	for i, c := range fl.clients {
		skipped, tries := c.Counts()
		t.SkippedAgentDown += skipped
		t.ClientAttempts += tries
		t.ClientConnections += fl.senders[i].Opened()
	}
	if fl.controlPlane != nil {
		fl.controlPlane.addTotals(&t)
		if fl.workers != nil {
			fl.workers.addTotals(&t)
		}
	}
	t.DuplicatesDropped, t.DuplicatedEffects = fl.effects.Counts()
	for _, a := range fl.agents {
		_, peak, _ := a.process.Look()
		t.AgentPeakRSSMB = max(t.AgentPeakRSSMB, peak.RSSMB)
		t.AgentPeakFDs = max(t.AgentPeakFDs, peak.Descriptors)
		t.AgentCPUSeconds += peak.CPU.Seconds()
	}
	return t
}

// series puts each second of the run together.
func (r *run) series(results []client.Result, samples []sample) []Point {
	n := int(math.Ceil(r.config.Duration.Seconds()))
	points := make([]Point, n)
	hist := make([][]time.Duration, n)
	inTime, refused := make([]int, n), make([]int, n)
	for i := range results {
		x := &results[i]
		s := int(x.Planned / time.Second)
		if s < 0 || s >= n || x.Outcome == check.Void || x.Outcome == check.ClientCanceled {
			continue
		}
		points[s].Requests++
		switch {
		case x.InTime:
			inTime[s]++
		case x.Outcome == check.Rejected:
			refused[s]++
		}
		if x.Outcome == check.Served {
			hist[s] = append(hist[s], x.Latency)
		}
	}
	for s := range points {
		p := &points[s]
		p.AtS = float64(s)
		if p.Requests > 0 {
			p.ServedShare = roundTo4Digits(float64(inTime[s]) / float64(p.Requests))
			p.RejectedShare = roundTo4Digits(float64(refused[s]) / float64(p.Requests))
		}
		if h := hist[s]; len(h) > 0 {
			slices.Sort(h)
			p.P50Ms, p.P99Ms = millis(h[len(h)/2]), millis(h[len(h)*99/100])
		}
		from, to := samplesAround(samples, time.Duration(s)*time.Second, time.Duration(s+1)*time.Second)
		if span := (to.at - from.at).Seconds(); span > 0 {
			rate := func(a, b int64) float64 { return roundTo4Digits(float64(b-a) / span) }
			p.AttemptsPerSecond, p.ConnectionsPerSecond = rate(from.attempts, to.attempts), rate(from.connections, to.connections)
			p.ListCallsPerSecond, p.ProbesPerSecond = rate(from.listCalls, to.listCalls), rate(from.probes, to.probes)
		}
		// What stands rather than passes is shown as it was in the middle of the second.
		mid, _ := samplesAround(samples, time.Duration(s)*time.Second+sampleInterval, 0)
		p.OpenConnections, p.WarmingUp, p.Overloaded, p.Down, p.Agents = mid.openConnections, mid.warmingUp, mid.overloaded, mid.down, mid.agents
	}
	return points
}

// samplesAround gives the samples next to the two times.
func samplesAround(samples []sample, from, to time.Duration) (a, b sample) {
	if len(samples) == 0 {
		return
	}
	at := func(t time.Duration) sample {
		i := sort.Search(len(samples), func(i int) bool { return samples[i].at >= t })
		return samples[min(i, len(samples)-1)]
	}
	return at(from), at(to)
}

// recoverySeconds is the time from a fault's beginning to the first of three seconds in a row in
// which nine tenths of the share served before it are served again; 0 where it never
// fell, -1 where it never came back.
func recoverySeconds(series []Point, from, warmup time.Duration) float64 {
	start := int(from / time.Second)
	servedBefore, samples := 0.0, 0
	for s := max(int(warmup/time.Second), start-5); s < start && s < len(series); s++ {
		servedBefore, samples = servedBefore+series[s].ServedShare, samples+1
	}
	if samples == 0 {
		return -1
	}
	recoveredAt := 0.9 * servedBefore / float64(samples)
	fellAt := -1
	goodSeconds := 0
	for s := start; s < len(series); s++ {
		if series[s].Requests == 0 {
			continue
		}
		if series[s].ServedShare >= recoveredAt {
			if goodSeconds++; fellAt >= 0 && goodSeconds == 3 {
				return math.Max(0, float64(s-2)-from.Seconds())
			}
			continue
		}
		goodSeconds = 0
		if fellAt < 0 {
			fellAt = s
		}
	}
	if fellAt < 0 {
		return 0
	}
	return -1
}
