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
	Name      string    `json:"name"`
	About     string    `json:"about"`
	Seed      uint64    `json:"seed"`
	DurationS float64   `json:"duration_s"`
	Held      bool      `json:"held"`
	Broke     []string  `json:"broke"`
	Expect    []Outcome `json:"expect"`
	Faults    []Applied `json:"faults"`
	Lanes     []Lane    `json:"lanes"`
	Lab       Lab       `json:"lab"`
	Build     string    `json:"build"`
	Machine   Machine   `json:"machine"`
	Agents    int       `json:"agents"`
	Servers   int       `json:"servers"`
	RateAsked float64   `json:"rate"`
}

// Lab is what the lab itself did and cost.
type Lab struct {
	LatenessP50Ms float64 `json:"lateness_p50_ms"`
	LatenessP99Ms float64 `json:"lateness_p99_ms"`
	LatenessMaxMs float64 `json:"lateness_max_ms"`
	TooLate       bool    `json:"too_late"`
	CPUSeconds    float64 `json:"cpu_s"`
	Cores         float64 `json:"cores"` // processors in use, on the mean, while requests were asked
	Descriptors   int     `json:"peak_descriptors"`
	DescriptorCap int     `json:"descriptor_limit"`
	PeakRSSMB     float64 `json:"peak_rss_mb"`
	Remembered    int64   `json:"remembered_requests"`
}

// Outcome is an expectation and what came of it.
type Outcome struct {
	Text   string  `json:"text"`
	Figure float64 `json:"figure"`
	Bound  float64 `json:"bound"`
	Held   bool    `json:"held"`
}

// Lane is the figures of one fleet.
type Lane struct {
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
	Window   string  `json:"window"`
	Class    string  `json:"class"` // "all" is all of them
	Asked    int     `json:"asked"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Void     int     `json:"void"` // killed with their client, or left by it: not asked
	Served   float64 `json:"served_share"`
	Worth    float64 `json:"worth_share"`
	MeanMs   float64 `json:"mean_ms"`
	P50Ms    float64 `json:"p50_ms"`
	P99Ms    float64 `json:"p99_ms"`
	Attempts float64 `json:"attempts_per_request"`
}

// Total is what was counted over the whole run.
type Total struct {
	Connections    int64   `json:"connections_to_servers"`
	ClientConns    int64   `json:"connections_of_clients"`
	ListCalls      int64   `json:"list_calls"`
	ListLines      int64   `json:"list_lines"`
	ListFailed     int64   `json:"list_calls_failed"`
	Probes         int64   `json:"probes"`
	Arrived        int64   `json:"attempts_at_servers"`
	TurnedAway     int64   `json:"turned_away"`
	Skipped        int64   `json:"not_asked_agent_down"`
	Tries          int64   `json:"tries"`
	Repeats        int64   `json:"effects_dropped"`
	Doubled        int64   `json:"effects_doubled"`
	Chokes         int     `json:"chokes"`
	Crashes        int     `json:"crashes"`
	SpreadP50Ms    float64 `json:"spread_p50_ms"` // of a change, from its being sent to each watch of the lab's own
	SpreadP99Ms    float64 `json:"spread_p99_ms"`
	SpreadLastMs   float64 `json:"spread_last_p99_ms"` // to the last of them, p99 of the changes
	Spreads        int64   `json:"spread_samples"`
	LearntP50Ms    float64 `json:"learnt_p50_ms"` // of a change, from its being sent to each agent's taking it
	LearntP99Ms    float64 `json:"learnt_p99_ms"`
	LastAgentP50Ms float64 `json:"last_agent_p50_ms"` // to the last agent, over the changes
	LastAgentP99Ms float64 `json:"last_agent_p99_ms"`
	Changes        int64   `json:"changes"`
	AgentsPresent  int     `json:"agents_present"` // in the end, by the steward that knows least
	DutyTerms      int     `json:"duty_terms"`
	DutyRefused    int     `json:"duty_acts_refused"` // for their fence
	DutyIdle       float64 `json:"duty_idle_share"`   // of the time between the first act and the last, in which nobody acted
	DutyGapP50Ms   float64 `json:"duty_gap_p50_ms"`   // between two holders' acts
	DutyGapP99Ms   float64 `json:"duty_gap_p99_ms"`
	DutyGapMaxMs   float64 `json:"duty_gap_max_ms"`
	AgentPeakRSSMB float64 `json:"agent_peak_rss_mb"`
	AgentPeakFDs   int     `json:"agent_peak_descriptors"`
	AgentCPUS      float64 `json:"agent_cpu_s"`
	WorkS          float64 `json:"server_work_s"`
}

// Point is one second of a run.
type Point struct {
	AtS         float64 `json:"at_s"`
	Asked       int     `json:"asked"`
	Served      float64 `json:"served_share"`
	Refused     float64 `json:"refused_share"`
	P50Ms       float64 `json:"p50_ms"`
	P99Ms       float64 `json:"p99_ms"`
	Attempts    float64 `json:"attempts_per_s"`
	Connections float64 `json:"connections_per_s"`
	Open        int     `json:"open_connections"`
	ListCalls   float64 `json:"list_calls_per_s"`
	Probes      float64 `json:"probes_per_s"`
	Cold        int     `json:"cold_servers"`
	Choked      int     `json:"choked_servers"`
	Down        int     `json:"down_servers"`
	Agents      int     `json:"agents"`
}

func (r *run) summarize() (*Summary, error) {
	s := &Summary{Name: r.c.Name, About: r.c.About, Seed: r.seed, DurationS: r.c.Duration.Seconds(), Broke: []string{},
		Expect: []Outcome{}, Faults: r.applied[0], Machine: machine(), Build: buildOf(r.c.Agents.Command),
		Agents: r.c.Agents.Count, Servers: r.c.Servers.Count, RateAsked: r.c.Load.Rate}
	late := hdrhistogram.New(1, 60_000_000, 3)
	for i, l := range r.lanes {
		s.Lanes = append(s.Lanes, r.lane(i, l, late))
	}
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) == nil {
		s.Lab.PeakRSSMB = float64(use.Maxrss) / 1024
	}
	s.Lab.CPUSeconds, s.Lab.Cores = processorTime().Seconds(), round(r.cores)
	s.Lab.Descriptors, s.Lab.DescriptorCap = r.descriptors, descriptorLimit()
	s.Lab.LatenessP50Ms = float64(late.ValueAtQuantile(50)) / 1000
	s.Lab.LatenessP99Ms = float64(late.ValueAtQuantile(99)) / 1000
	s.Lab.LatenessMaxMs = float64(late.Max()) / 1000
	s.Lab.TooLate = s.Lab.LatenessP99Ms > millis(r.c.Lateness)
	s.Lab.Remembered = r.lanes[0].checker.Held()
	r.judge(s)
	return s, nil
}

// judge holds the run against the rules and against what its file expects.
func (r *run) judge(s *Summary) {
	l := &s.Lanes[0]
	rules := make([]string, 0, len(l.Breaches))
	for rule := range l.Breaches {
		rules = append(rules, rule)
	}
	sort.Strings(rules)
	for _, rule := range rules {
		s.Broke = append(s.Broke, fmt.Sprintf("rule %s, %d against 0", rule, l.Breaches[rule]))
	}
	if s.Lab.TooLate {
		s.Broke = append(s.Broke, fmt.Sprintf("the lab ran late, p99 %.1f ms against %.1f", s.Lab.LatenessP99Ms, millis(r.c.Lateness)))
	}
	if s.Lab.Descriptors >= s.Lab.DescriptorCap*95/100 {
		s.Broke = append(s.Broke, fmt.Sprintf("the lab ran out of descriptors, %d against %d", s.Lab.Descriptors, s.Lab.DescriptorCap))
	}
	for _, f := range s.Faults {
		if f.Error != "" {
			s.Broke = append(s.Broke, fmt.Sprintf("fault %s could not be injected: %s", f.Name, f.Error))
		} else if f.FromS < 0 {
			s.Broke = append(s.Broke, fmt.Sprintf("fault %s never came: its event was not seen", f.Name))
		}
	}
	for i := range r.c.Expect {
		e := &r.c.Expect[i]
		x := s.figure(e)
		for _, b := range []struct {
			bound *float64
			word  string
			ok    func(x, b float64) bool
		}{{e.AtLeast, "at least", func(x, b float64) bool { return x >= b }}, {e.AtMost, "at most", func(x, b float64) bool { return x <= b }}} {
			if b.bound == nil {
				continue
			}
			o := Outcome{Text: e.text() + " " + b.word, Figure: round(x), Bound: *b.bound, Held: !math.IsNaN(x) && b.ok(x, *b.bound)}
			if math.IsNaN(x) {
				o.Figure = -1
			}
			s.Expect = append(s.Expect, o)
			if !o.Held {
				s.Broke = append(s.Broke, fmt.Sprintf("%s, %v against %v", o.Text, o.Figure, o.Bound))
			}
		}
	}
	s.Held = len(s.Broke) == 0
}

func round(x float64) float64 { return math.Round(x*1e4) / 1e4 }

func (e *Expect) text() string {
	t := e.What
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

// figure is what an expectation bounds; not a number where there is nothing to see.
func (s *Summary) figure(e *Expect) float64 {
	l := &s.Lanes[0]
	asked := float64(max(l.row("all", "all").Asked, 1))
	row := l.row(e.Window, e.Class)
	share := func(n int) float64 {
		if row.Asked == 0 {
			return math.NaN()
		}
		return float64(n) / float64(row.Asked)
	}
	switch e.What {
	case "served":
		return share(row.InTime)
	case "refused":
		return share(row.Refused)
	case "failed":
		return share(row.Failed)
	case "late":
		return share(row.Late)
	case "p50_ms":
		return row.P50Ms
	case "p99_ms":
		return row.P99Ms
	case "attempts":
		return row.Attempts
	case "probes":
		return float64(l.Total.Probes) / asked
	case "connections":
		return float64(l.Total.Connections) / asked
	case "list_calls":
		return float64(l.Total.ListCalls)
	case "lab_cores":
		return s.Lab.Cores
	case "crashes":
		return float64(l.Total.Crashes)
	case "doubled":
		return float64(l.Total.Doubled)
	case "recovery_s":
		if x, ok := l.Recovery[e.Window]; ok && x >= 0 {
			return x
		}
		return math.NaN()
	case "spread_p50_ms":
		return l.Total.SpreadP50Ms
	case "spread_p99_ms":
		return l.Total.SpreadP99Ms
	case "last_agent_p50_ms":
		return l.Total.LastAgentP50Ms
	case "last_agent_p99_ms":
		return l.Total.LastAgentP99Ms
	case "agents_present":
		return float64(l.Total.AgentsPresent)
	case "duty_idle":
		return l.Total.DutyIdle
	case "duty_gap_max_ms":
		return l.Total.DutyGapMaxMs
	case "duty_terms":
		return float64(l.Total.DutyTerms)
	case "worth":
		return row.Worth
	case "worth_ratio":
		for i := range s.Lanes {
			if other := s.Lanes[i].row(e.Window, e.Class); s.Lanes[i].Name == e.Baseline && other.Worth > 0 {
				return row.Worth / other.Worth
			}
		}
	}
	return math.NaN()
}

// row finds the figures of a window and a class; "" is all.
func (l *Lane) row(window, class string) Row {
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

// lane makes the figures of one lane.
func (r *run) lane(i int, l *lane, late *hdrhistogram.Histogram) Lane {
	for k := range l.results {
		l.results[k].Planned -= r.zero
		_ = late.RecordValue(max(l.results[k].Late.Microseconds(), 1))
	}
	out := Lane{Name: l.name, Recovery: map[string]float64{}, Events: []EventLine{}}
	out.Total = l.total() // which may find that a rule was broken
	out.Examples, out.Breaches = l.checker.Breaches()
	for k := range out.Examples {
		out.Examples[k].AtS = round(out.Examples[k].AtS - r.zero.Seconds())
	}
	if out.Examples == nil {
		out.Examples = []check.Breach{}
	}
	for _, e := range l.events.seenSoFar() {
		out.Events = append(out.Events, EventLine{round((e.At - r.zero).Seconds()), e.Name})
	}
	windows := r.c.windows(r.applied[i])
	out.Rows = r.rows(l, windows)
	out.Total.Crashes = out.Breaches[check.RuleCrash]
	out.Series = r.series(l.results, r.samples[i])
	for name, w := range windows {
		out.Recovery[name] = recovery(out.Series, w[0], r.c.Warmup)
	}
	return out
}

// rows counts each class in each window, by the planned time.
func (r *run) rows(l *lane, windows map[string][2]time.Duration) []Row {
	names := []string{"all", "calm"}
	for i := range r.c.Fault {
		if _, ok := windows[r.c.Fault[i].Name]; ok {
			names = append(names, r.c.Fault[i].Name)
		}
	}
	var rows []Row
	for _, name := range names {
		in := func(t time.Duration) bool {
			switch name {
			case "all":
				return t >= r.c.Warmup
			case "calm":
				for _, w := range windows {
					if t >= w[0] && t < w[1] {
						return false
					}
				}
				return t >= r.c.Warmup
			}
			return t >= windows[name][0] && t < windows[name][1]
		}
		for class := -1; class < len(r.c.Load.Class); class++ {
			rows = append(rows, r.count(l.results, name, class, in))
		}
	}
	return rows
}

func (r *run) count(results []client.Result, window string, class int, in func(time.Duration) bool) Row {
	row := Row{Window: window, Class: "all"}
	if class >= 0 {
		row.Class = r.c.Load.Class[class].Name
	}
	h := hdrhistogram.New(1, 120_000_000, 3)
	worth, all, attempts := 0.0, 0.0, 0
	for i := range results {
		x := &results[i]
		if class >= 0 && int(x.Class) != class || !in(x.Planned) {
			continue
		}
		if x.Kind == check.Void || x.Kind == check.Left {
			row.Void++
			continue
		}
		w := r.c.Load.Class[x.Class].Worth
		row.Asked++
		all += w
		attempts += int(x.Attempts)
		if x.Kind == check.Served {
			_ = h.RecordValue(max(x.Latency.Microseconds(), 1))
		}
		switch {
		case x.InTime:
			row.InTime++
			worth += w
		case x.Kind == check.Served:
			row.Late++
		case x.Kind == check.Refused:
			row.Refused++
		default:
			row.Failed++
		}
	}
	if row.Asked > 0 {
		row.Served = round(float64(row.InTime) / float64(row.Asked))
		row.Attempts = round(float64(attempts) / float64(row.Asked))
	}
	if all > 0 {
		row.Worth = round(worth / all)
	}
	row.MeanMs = round(h.Mean() / 1000)
	row.P50Ms = float64(h.ValueAtQuantile(50)) / 1000
	row.P99Ms = float64(h.ValueAtQuantile(99)) / 1000
	return row
}

func (l *lane) total() Total {
	var t Total
	for _, s := range l.servers {
		t.Connections += s.Connections.Load()
		t.Probes += s.Probes.Load()
		t.Arrived += s.Arrived.Load()
		t.TurnedAway += s.Away.Load()
		t.Chokes += s.State().Chokes
		t.WorkS += float64(s.WorkMicros.Load()) / 1e6
	}
	d := &l.disc.Counters
	t.ListCalls, t.ListLines, t.ListFailed = d.Calls.Load(), d.Lines.Load(), d.Failed.Load()
	for i, c := range l.clients {
		skipped, tries := c.Counts()
		t.Skipped += skipped
		t.Tries += tries
		t.ClientConns += l.senders[i].Opened()
	}
	if l.list != nil {
		l.list.figures(&t)
		if l.workers != nil {
			l.workers.figures(&t)
		}
	}
	t.Repeats, t.Doubled = l.effects.Counts()
	for _, a := range l.agents {
		_, peak, _ := a.proc.Look()
		t.AgentPeakRSSMB = max(t.AgentPeakRSSMB, peak.RSSMB)
		t.AgentPeakFDs = max(t.AgentPeakFDs, peak.Descriptors)
		t.AgentCPUS += peak.CPU.Seconds()
	}
	return t
}

// series puts each second of the run together.
func (r *run) series(results []client.Result, samples []sample) []Point {
	n := int(math.Ceil(r.c.Duration.Seconds()))
	points := make([]Point, n)
	hist := make([][]time.Duration, n)
	inTime, refused := make([]int, n), make([]int, n)
	for i := range results {
		x := &results[i]
		s := int(x.Planned / time.Second)
		if s < 0 || s >= n || x.Kind == check.Void || x.Kind == check.Left {
			continue
		}
		points[s].Asked++
		switch {
		case x.InTime:
			inTime[s]++
		case x.Kind == check.Refused:
			refused[s]++
		}
		if x.Kind == check.Served {
			hist[s] = append(hist[s], x.Latency)
		}
	}
	for s := range points {
		p := &points[s]
		p.AtS = float64(s)
		if p.Asked > 0 {
			p.Served = round(float64(inTime[s]) / float64(p.Asked))
			p.Refused = round(float64(refused[s]) / float64(p.Asked))
		}
		if h := hist[s]; len(h) > 0 {
			slices.Sort(h)
			p.P50Ms, p.P99Ms = millis(h[len(h)/2]), millis(h[len(h)*99/100])
		}
		from, to := around(samples, time.Duration(s)*time.Second, time.Duration(s+1)*time.Second)
		if span := (to.at - from.at).Seconds(); span > 0 {
			rate := func(a, b int64) float64 { return round(float64(b-a) / span) }
			p.Attempts, p.Connections = rate(from.arrived, to.arrived), rate(from.conns, to.conns)
			p.ListCalls, p.Probes = rate(from.calls, to.calls), rate(from.probes, to.probes)
		}
		// What stands rather than passes is shown as it was in the middle of the second.
		mid, _ := around(samples, time.Duration(s)*time.Second+sampleEvery, 0)
		p.Open, p.Cold, p.Choked, p.Down, p.Agents = mid.open, mid.cold, mid.choked, mid.down, mid.agents
	}
	return points
}

// around gives the samples next to the two times.
func around(samples []sample, from, to time.Duration) (a, b sample) {
	if len(samples) == 0 {
		return
	}
	at := func(t time.Duration) sample {
		i := sort.Search(len(samples), func(i int) bool { return samples[i].at >= t })
		return samples[min(i, len(samples)-1)]
	}
	return at(from), at(to)
}

// recovery is the time from a fault's beginning to the first of three seconds in a row in
// which nine tenths of the share served before it are served again; 0 where it never
// fell, -1 where it never came back.
func recovery(series []Point, from, warmup time.Duration) float64 {
	start := int(from / time.Second)
	before, n := 0.0, 0
	for s := max(int(warmup/time.Second), start-5); s < start && s < len(series); s++ {
		before, n = before+series[s].Served, n+1
	}
	if n == 0 {
		return -1
	}
	bound := 0.9 * before / float64(n)
	fell := -1
	good := 0
	for s := start; s < len(series); s++ {
		if series[s].Asked == 0 {
			continue
		}
		if series[s].Served >= bound {
			if good++; fell >= 0 && good == 3 {
				return math.Max(0, float64(s-2)-from.Seconds())
			}
			continue
		}
		good = 0
		if fell < 0 {
			fell = s
		}
	}
	if fell < 0 {
		return 0
	}
	return -1
}
