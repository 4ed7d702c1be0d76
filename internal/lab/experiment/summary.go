package experiment

import (
	"cmp"
	"math"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knotrouter/internal/lab/check"
)

// Summary is the result of a run. It is written as summary.json. The JSON keys are a stable format and may
// differ from the Go names.
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

// Lab describes the resource use of the lab itself and the delays with which it sent requests.
type Lab struct {
	LatenessP50Ms    float64 `json:"lateness_p50_ms"`
	LatenessP99Ms    float64 `json:"lateness_p99_ms"`
	LatenessMaxMs    float64 `json:"lateness_max_ms"`
	TooLate          bool    `json:"too_late"`
	CPUSeconds       float64 `json:"cpu_s"`
	CoresUsed        float64 `json:"cores"` // processor cores used on average while requests were sent
	PeakDescriptors  int     `json:"peak_descriptors"`
	DescriptorLimit  int     `json:"descriptor_limit"`
	PeakRSSMB        float64 `json:"peak_rss_mb"`
	RetainedRequests int64   `json:"remembered_requests"`
}

// ExpectationResult is the measured value of an expectation and whether it met its bound.
type ExpectationResult struct {
	Text  string  `json:"text"`
	Value float64 `json:"figure"` // -1 if there was nothing to measure
	Bound float64 `json:"bound"`
	Met   bool    `json:"held"`
}

// FleetSummary is the result of one fleet: the fleet of the agents or of a baseline.
type FleetSummary struct {
	Name     string             `json:"name"`
	Rows     []Row              `json:"rows"` // results by window and class
	Total    Total              `json:"total"`
	Breaches map[string]int     `json:"breaches"`
	Examples []check.Breach     `json:"breach_examples"`
	Recovery map[string]float64 `json:"recovery_s"` // recovery time by fault; -1 if the run ended before the recovery
	Series   []Point            `json:"series"`
	Events   []EventLine        `json:"events"`
}

// EventLine is one event of a run.
type EventLine struct {
	AtS  float64 `json:"at_s"`
	Name string  `json:"name"`
}

// Row counts the requests of one class that were planned within one window of the run.
type Row struct {
	Window             string  `json:"window"`
	Class              string  `json:"class"` // "all" for all classes together
	Requests           int     `json:"asked"`
	InTime             int     `json:"in_time"`
	Late               int     `json:"late"`
	Rejected           int     `json:"refused"`
	Failed             int     `json:"failed"`
	Void               int     `json:"void"` // killed or canceled together with their client; not in Requests
	ServedShare        float64 `json:"served_share"`
	PriorityShare      float64 `json:"worth_share"`
	MeanMs             float64 `json:"mean_ms"`
	P50Ms              float64 `json:"p50_ms"`
	P99Ms              float64 `json:"p99_ms"`
	AttemptsPerRequest float64 `json:"attempts_per_request"`
}

// Total holds the counts and measurements of the whole run. Delays of changes are measured from the time at
// which the change was sent.
type Total struct {
	Connections           int64   `json:"connections_to_servers"`
	ClientConnections     int64   `json:"connections_of_clients"`
	ListCalls             int64   `json:"list_calls"`
	ListLines             int64   `json:"list_lines"`
	ListCallsFailed       int64   `json:"list_calls_failed"`
	Probes                int64   `json:"probes"`
	ServerAttempts        int64   `json:"attempts_at_servers"`
	Rejected              int64   `json:"turned_away"`
	Repeated              int64   `json:"answers_repeated"`
	SkippedAgentDown      int64   `json:"not_asked_agent_down"`
	ClientAttempts        int64   `json:"tries"`
	DuplicatesDropped     int64   `json:"effects_dropped"`
	DuplicatedEffects     int64   `json:"effects_doubled"`
	Overloads             int     `json:"chokes"`
	Crashes               int     `json:"crashes"`
	PropagationP50Ms      float64 `json:"spread_p50_ms"` // delay until a watch of the lab received a change, over all watches
	PropagationP99Ms      float64 `json:"spread_p99_ms"`
	LastWatchP99Ms        float64 `json:"spread_last_p99_ms"` // p99 over all changes: delay until the last watch received it
	PropagationSamples    int64   `json:"spread_samples"`
	AgentPropagationP50Ms float64 `json:"learnt_p50_ms"` // delay until an agent applied a change, over all agents
	AgentPropagationP99Ms float64 `json:"learnt_p99_ms"`
	LastAgentP50Ms        float64 `json:"last_agent_p50_ms"` // p50 over all changes: delay until the last agent applied it
	LastAgentP99Ms        float64 `json:"last_agent_p99_ms"`
	Changes               int64   `json:"changes"`
	AgentsPresent         int     `json:"agents_present"` // agents present at the end, in the member view with the fewest agents
	TaskTerms             int     `json:"duty_terms"`
	FencedOperations      int     `json:"duty_acts_refused"` // operations rejected for an outdated fencing token
	TaskIdleShare         float64 `json:"duty_idle_share"`   // share of the time from the first to the last operation that is between terms
	HandoverGapP50Ms      float64 `json:"duty_gap_p50_ms"`   // time from a holder's last operation to the next holder's first
	HandoverGapP99Ms      float64 `json:"duty_gap_p99_ms"`
	HandoverGapMaxMs      float64 `json:"duty_gap_max_ms"`
	AgentPeakRSSMB        float64 `json:"agent_peak_rss_mb"`
	AgentPeakFDs          int     `json:"agent_peak_descriptors"`
	AgentCPUSeconds       float64 `json:"agent_cpu_s"`
	ServerWorkSeconds     float64 `json:"server_work_s"`
}

// Point describes one second of a run. The counts of servers, agents and open connections are taken in the
// middle of the second.
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

// summarize builds the summary of a run that has ended, and evaluates it.
func (r *run) summarize() *Summary {
	s := &Summary{
		Name:            r.config.Name,
		Description:     r.config.Description,
		Seed:            r.seed,
		DurationSeconds: r.config.Duration.Seconds(),
		Violations:      []string{},
		Expectations:    []ExpectationResult{},
		Faults:          r.applied[0],
		Machine:         describeMachine(),
		Build:           programDigest(r.config.Agents.Command),
		Agents:          r.config.Agents.Count,
		Servers:         r.config.Servers.Count,
		RequestRate:     r.config.Load.Rate,
	}
	lateness := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i, fl := range r.fleets {
		s.Fleets = append(s.Fleets, r.summarizeFleet(i, fl, lateness))
	}
	s.Lab = r.summarizeLab(lateness)
	r.evaluate(s)
	return s
}

// summarizeLab returns the resource use of the lab itself and the delays with which it sent requests.
func (r *run) summarizeLab(lateness *hdrhistogram.Histogram) Lab {
	lab := Lab{
		LatenessP50Ms:    millisAt(lateness, 50),
		LatenessP99Ms:    millisAt(lateness, 99),
		LatenessMaxMs:    float64(lateness.Max()) / 1000,
		CPUSeconds:       processorTime().Seconds(),
		CoresUsed:        roundTo4Digits(r.coresUsed),
		PeakDescriptors:  r.peakDescriptors,
		DescriptorLimit:  descriptorLimit(),
		RetainedRequests: r.fleets[0].checker.Retained(),
	}
	lab.TooLate = lab.LatenessP99Ms > millis(r.config.MaxLateness)
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		lab.PeakRSSMB = float64(usage.Maxrss) / 1024
	}
	return lab
}

// findRow returns the row of a window and a class, where "" means "all", or an empty row if there is none.
func (s *FleetSummary) findRow(window, class string) Row {
	window, class = cmp.Or(window, windowAll), cmp.Or(class, classAll)
	for _, row := range s.Rows {
		if row.Window == window && row.Class == class {
			return row
		}
	}
	return Row{}
}

// summarizeFleet returns the result of one fleet and adds the lateness of its requests to the histogram. It
// must be called only once, because it changes the planned times of the results to count from the beginning
// of the load.
func (r *run) summarizeFleet(index int, fl *fleet, lateness *hdrhistogram.Histogram) FleetSummary {
	for i := range fl.results {
		fl.results[i].Planned -= r.loadStart
		recordLatency(lateness, fl.results[i].SendDelay)
	}
	summary := FleetSummary{Name: fl.name, Recovery: map[string]float64{}, Events: []EventLine{}}
	summary.Total = fl.totals() // must come before Breaches, because it may report some
	summary.Examples, summary.Breaches = fl.checker.Breaches()
	for i := range summary.Examples {
		summary.Examples[i].AtS = roundTo4Digits(summary.Examples[i].AtS - r.loadStart.Seconds())
	}
	if summary.Examples == nil {
		summary.Examples = []check.Breach{}
	}
	for _, e := range fl.events.recorded() {
		summary.Events = append(summary.Events, EventLine{roundTo4Digits((e.At - r.loadStart).Seconds()), e.Name})
	}
	windows := r.config.faultWindows(r.applied[index])
	summary.Rows = r.countRows(fl.results, windows)
	summary.Total.Crashes = summary.Breaches[check.RuleCrash]
	summary.Series = r.series(fl.results, r.samples[index])
	for name, window := range windows {
		summary.Recovery[name] = recoverySeconds(summary.Series, window.from, r.config.Warmup)
	}
	return summary
}

// totals returns the totals of the servers, discovery, clients and agents over the whole run.
func (fl *fleet) totals() Total {
	var t Total
	for _, srv := range fl.servers {
		t.Connections += srv.Connections.Load()
		t.Probes += srv.Probes.Load()
		t.ServerAttempts += srv.Arrived.Load()
		t.Rejected += srv.Rejected.Load()
		t.Repeated += srv.Repeated.Load()
		t.Overloads += srv.State().Overloads
		t.ServerWorkSeconds += float64(srv.WorkMicros.Load()) / 1e6
	}
	counters := &fl.discovery.Counters
	t.ListCalls, t.ListLines, t.ListCallsFailed = counters.Calls.Load(), counters.EntriesSent.Load(), counters.FailedCalls.Load()
	for i, c := range fl.clients {
		skipped, attempts := c.Counts()
		t.SkippedAgentDown += skipped
		t.ClientAttempts += attempts
		t.ClientConnections += fl.senders[i].OpenedConnections()
	}
	if fl.controlPlane != nil {
		fl.controlPlane.addTotals(&t)
		if fl.workers != nil {
			fl.workers.addTotals(&t)
		}
	}
	t.DuplicatesDropped, t.DuplicatedEffects = fl.effects.Counts()
	for _, a := range fl.agents {
		_, peak, _ := a.process.SampleUsage()
		t.AgentPeakRSSMB = max(t.AgentPeakRSSMB, peak.RSSMB)
		t.AgentPeakFDs = max(t.AgentPeakFDs, peak.Descriptors)
		t.AgentCPUSeconds += peak.CPU.Seconds()
	}
	return t
}

// roundTo4Digits rounds to four decimal places.
func roundTo4Digits(x float64) float64 { return math.Round(x*1e4) / 1e4 }
