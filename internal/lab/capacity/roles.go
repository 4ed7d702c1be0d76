package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Names of experiments.
const (
	fleetAhead      = "fleet-ahead"
	fleetAheadSmall = "fleet-ahead-small"
	agentCost       = "agent-cost"
)

// Choices of experiments and variables; of each the first with sizes enough is taken.
var (
	fleetRuns = []string{fleetAhead, fleetAheadSmall}
	costRuns  = []string{agentCost}

	overServers = []Variable{Servers}
	overWatches = []Variable{Watches, Servers}
)

// Quantity is a column of a role's needs.
type Quantity string

// The quantities that the page gives for each role.
const (
	State    Quantity = "state"
	Messages Quantity = "messages"
	Bytes    Quantity = "bytes"
	CPU      Quantity = "CPU"
	Memory   Quantity = "memory"
	Disk     Quantity = "disk"
	Delay    Quantity = "delay"
	Service  Quantity = "service"
)

// quantities are those that the page has to give for each role. The state is worded.
var quantities = []Quantity{Messages, Bytes, CPU, Memory, Disk}

// Limit is what a value has to stay under; the zero limit is none.
type Limit struct {
	Value float64
	Text  string
}

// Figure is one measured value of a role.
type Figure struct {
	Quantity Quantity
	Name     string // what it is, with its unit
	Role     string // as in the results
	Metric   string
	Limit    Limit
}

// Quoted is a figure from a run that is not among the results, such as a benchmark whose
// figure stands in docs/ROADMAP.md.
type Quoted struct {
	Quantity Quantity
	Name     string
	Value    float64
	Source   string
	Limit    Limit
	// AnyFleet says that the value stands for each of the page's fleets.
	AnyFleet bool
}

// Role is a part of the system with its needs.
type Role struct {
	Name        string
	State       string      // what it holds
	Mechanism   string      // what carries it at the target
	Needs       []Mechanism // that it lacks, or that were built last
	Without     []Quantity  // that the role doesn't have at all
	Experiments []string
	Variables   []Variable // the first with sizes enough is taken
	Figures     []Figure
	Quoted      []Quoted
}

// Mechanism is something that has to be built for the target.
type Mechanism string

// The mechanisms that were missing when the page was begun.
const (
	mechanismScope    Mechanism = "scope: a reader gets the services that it subscribes to"
	mechanismReplicas Mechanism = "non-voting replicas in each region, chosen by the readers of that region"
	mechanismBatching Mechanism = "renewals batched at the steward that a server talks to"
	mechanismEntries  Mechanism = "a larger bound on names, with snapshot and start measured at it"
	mechanismHistory  Mechanism = "history by service, longer than the largest loss"
	mechanismRegions  Mechanism = "a quorum per region, with summaries between regions"
	mechanismIndex    Mechanism = "agent: per-call work that is independent of the number of known servers"
	mechanismMembers  Mechanism = "sessions and members by region"
	mechanismReleases Mechanism = "all of it"
)

// lastMechanism is the one that the variant After of the scale runs has and Before lacks.
const lastMechanism = mechanismScope

// describe says of each mechanism whether it is missing or was built last.
func (d Dataset) describe(mechanisms []Mechanism) string {
	var parts []string
	for _, mechanism := range mechanisms {
		state := "**missing**"
		if mechanism == lastMechanism && d.latestVariant(fleetAhead) == After {
			state = "built, off by default"
		}
		parts = append(parts, state+": "+string(mechanism))
	}
	return strings.Join(parts, "; ")
}

// controlCores is an assumption: the operators name no cores for a control machine, so it
// is taken for one of 8 cores, as the machine of the measurements.
const controlCores = 8

// Quoted runs of docs/ROADMAP.md.
const (
	sourceNotice = "ROADMAP, `BenchmarkFailureDetection`, 50 processes"
	sourceDuties = "ROADMAP, `BenchmarkLeasedTasks`"

	gossipCoresAtRest   = 0.005
	gossipNoticeP99     = 3.76
	gossipNoticeGoal    = 3.0
	leases1000Cores     = 0.15
	leases5000Cores     = 0.27
	leases1000MB        = 25.0
	leases5000MB        = 31.0
	leases1000RecoveryS = 2.8
	leases5000RecoveryS = 3.2
)

// roles is the table of roles for a target.
func roles(t *Target) []Role {
	agentCPU := Limit{t.AgentCoreShare, fmt.Sprintf("%s core", formatNumber(t.AgentCoreShare))}
	agentMemory := Limit{t.AgentMemoryMB, formatNumber(t.AgentMemoryMB) + " MB"}
	agentBytes := Limit{t.AgentBytesPerSecond, formatNumber(t.AgentBytesPerSecond) + " B/s"}
	inForce := Limit{t.ConfigInForceSeconds * 1000, formatNumber(t.ConfigInForceSeconds) + " s"}
	added := Limit{t.AddedLatencyP99Ms, formatNumber(t.AddedLatencyP99Ms) + " ms"}
	machine := Limit{controlCores, fmt.Sprintf("one machine (%d cores)", controlCores)}
	return []Role{
		{Name: "Agent, control", Experiments: fleetRuns, Variables: overServers,
			State:     "the list of servers; one watch. Nothing on the disk",
			Without:   []Quantity{Disk},
			Mechanism: "`endpoints.Client`: one watch, changes only, back-off, retry budget", Needs: []Mechanism{mechanismScope},
			Figures: []Figure{
				{Messages, "calls/s", "hollow agent", "calls_per_second", Limit{}},
				{Messages, "lines/s", "hollow agent", "lines_per_second", Limit{}},
				{Bytes, "bytes in/s", "hollow agent", "bytes_in_per_second", agentBytes},
				{Bytes, "bytes in/s, real agent", "real agent", "bytes_in_per_second", agentBytes},
				{CPU, "cores", "hollow agent", "cpu_cores", agentCPU},
				{CPU, "cores, real agent with its calls", "real agent", "cpu_cores", Limit{}},
				{Memory, "MB", "hollow agent", "rss_mb", agentMemory},
				{Memory, "MB, real agent with its calls", "real agent", "rss_mb", agentMemory},
			}},
		{Name: "Agent, calls", Experiments: costRuns, Variables: overServers,
			State:     "an entry for each known server; connections, queue, retry budget. Nothing on the disk",
			Without:   []Quantity{Messages, Bytes, Disk},
			Mechanism: "`policy/`: ranks the known servers for each call", Needs: []Mechanism{mechanismIndex},
			Figures: []Figure{
				{CPU, "ms of CPU a call", "agent", "cpu_ms_per_call", Limit{}},
				{CPU, "cores", "agent", "cpu_cores", Limit{}},
				{Memory, "MB", "agent", "rss_mb", agentMemory},
				{Delay, "added ms, p50", "agent", "added_p50_ms", Limit{}},
				{Delay, "added ms, p99", "agent", "added_p99_ms", added},
			}},
		{Name: "Programme server's registration", Experiments: fleetRuns, Variables: overServers,
			State:     "its own entry and lease. Nothing on the disk",
			Without:   []Quantity{Disk},
			Mechanism: "`POST /v1/renewals` every third of the lease, forwarded to the leader", Needs: []Mechanism{mechanismBatching},
			Figures: []Figure{
				{Messages, "calls/s", "hollow server", "calls_per_second", Limit{}},
				{Bytes, "bytes out/s", "hollow server", "bytes_out_per_second", Limit{}},
				{Bytes, "bytes in/s", "hollow server", "bytes_in_per_second", Limit{}},
				{CPU, "cores", "hollow server", "cpu_cores", Limit{}},
				{Memory, "MB", "hollow server", "rss_mb", Limit{}},
			}},
		{Name: "Steward as voter", Experiments: fleetRuns, Variables: overServers,
			State:     "all entries (`catalog.MaxEntries` at most), the last changes (`catalog.MaxHistory`), log, snapshot",
			Mechanism: "raft log on bolt, snapshots, `internal/catalog`", Needs: []Mechanism{mechanismEntries, mechanismRegions},
			Figures: []Figure{
				{State, "log entries", "steward follower", "log_entries", Limit{}},
				{Bytes, "bytes in/s", "steward follower", "bytes_in_per_second", Limit{}},
				{Bytes, "bytes out/s", "steward follower", "bytes_out_per_second", Limit{}},
				{CPU, "cores", "steward follower", "cpu_cores", machine},
				{Memory, "MB", "steward follower", "rss_mb", Limit{}},
				{Disk, "snapshot bytes", "steward follower", "snapshot_bytes", Limit{}},
			}},
		{Name: "Steward as leader", Experiments: fleetRuns, Variables: overServers,
			State:     "as a voter; a lease for each server, in memory only",
			Mechanism: "leases in memory, no log entry for a renewal; guard against mass failure", Needs: []Mechanism{mechanismBatching},
			Figures: []Figure{
				{State, "log entries", "steward leader", "log_entries", Limit{}},
				{Messages, "calls/s", "steward leader", "calls_per_second", Limit{}},
				{Messages, "refused calls", "steward leader", "refused_calls", Limit{}},
				{Bytes, "bytes in/s", "steward leader", "bytes_in_per_second", Limit{}},
				{Bytes, "bytes out/s", "steward leader", "bytes_out_per_second", Limit{}},
				{CPU, "cores", "steward leader", "cpu_cores", machine},
				{Memory, "MB", "steward leader", "rss_mb", Limit{}},
				{Disk, "snapshot bytes", "steward leader", "snapshot_bytes", Limit{}},
			}},
		{Name: "Steward as server of watches", Experiments: fleetRuns, Variables: overWatches,
			State:     "open watches; the lines of the last changes, encoded once; the whole list, encoded once",
			Mechanism: "coalesced lines, encoded once for all watches; watches spread by rendezvous hashing; admission by bytes", Needs: []Mechanism{mechanismReplicas},
			Figures: []Figure{
				{Messages, "lines/s", "steward follower", "lines_per_second", Limit{}},
				{Messages, "refused calls", "steward follower", "refused_calls", Limit{}},
				{Messages, "refused calls, all readers", "readers", "refused_calls", Limit{}},
				{Bytes, "bytes out/s", "steward follower", "bytes_out_per_second", Limit{}},
				{Bytes, "bytes of the whole list", "steward leader", "list_bytes", Limit{}},
				{CPU, "cores", "steward follower", "cpu_cores", machine},
				{Delay, "change to a reader, ms, p50", "readers", "change_p50_ms", Limit{}},
				{Delay, "change to a reader, ms, p99", "readers", "change_p99_ms", inForce},
				{Delay, "change to the last reader, ms", "readers", "change_last_ms", inForce},
				{Delay, "s until all are back", "readers", "recovered_s", Limit{}},
				{Service, "share of requests served meanwhile", "requests", "served_share", Limit{}},
				{Service, "requests, ms, p50", "requests", "p50_ms", Limit{}},
				{Service, "requests, ms, p99", "requests", "p99_ms", Limit{}},
			}},
		{Name: "Gossip among control processes",
			State:     "observations of each control process (`catalog.MaxMembers` at most). Nothing on the disk",
			Without:   []Quantity{Disk},
			Mechanism: "SWIM (memberlist) among control processes only; its size is that of control, not of the fleet",
			Quoted: []Quoted{
				{CPU, "cores a process at rest", gossipCoresAtRest, sourceNotice, machine, true},
				{Delay, "s until a kill is noticed, p99", gossipNoticeP99, sourceNotice, Limit{gossipNoticeGoal, formatNumber(gossipNoticeGoal) + " s (own goal)"}, true},
			}},
		{Name: "Exclusive leases",
			State:     "leases (`catalog.MaxTasks` at most) and sessions of their holders (`catalog.MaxSessions` at most), replicated",
			Mechanism: "`internal/leaderelection`; no log entry while nothing changes. Their number at the target is not told", Needs: []Mechanism{mechanismMembers},
			Quoted: []Quoted{
				{CPU, "leader's cores, 1,000 leases", leases1000Cores, sourceDuties, machine, false},
				{CPU, "leader's cores, 5,000 leases", leases5000Cores, sourceDuties, machine, false},
				{Memory, "leader's MB, 1,000 leases", leases1000MB, sourceDuties, Limit{}, false},
				{Memory, "leader's MB, 5,000 leases", leases5000MB, sourceDuties, Limit{}, false},
				{Delay, "s until all are held again, a ninth lost, 1,000 leases", leases1000RecoveryS, sourceDuties, Limit{}, false},
				{Delay, "s until all are held again, a ninth lost, 5,000 leases", leases5000RecoveryS, sourceDuties, Limit{}, false},
			}},
		{Name: "Releases", State: unknown, Mechanism: "planned: parts 5 and 6 of ROADMAP", Needs: []Mechanism{mechanismReleases}},
	}
}

// resolve finds the series of a figure under a load: of the first variable and experiment
// with sizes enough for a line, else of those with most sizes.
func (d Dataset) resolve(role Role, figure Figure, load string, variant variantOf) Series {
	var best Series
	for _, variable := range role.Variables {
		for _, experiment := range role.Experiments {
			series := d.Series(Key{experiment, variant(experiment), figure.Role, load, figure.Metric, variable})
			if series.Fit.Known() {
				return series
			}
			if best.Key == (Key{}) || series.Fit.Sizes > best.Fit.Sizes {
				best = series
			}
		}
	}
	return best
}

// usedSeries returns the latest series behind all figures of the page, each once.
func (d Dataset) usedSeries(t *Target) []Series {
	var used []Series
	seen := map[Key]bool{}
	for _, role := range roles(t) {
		for _, load := range d.loads(role.Experiments) {
			for _, figure := range role.Figures {
				series := d.resolve(role, figure, load, d.latestVariant)
				if len(series.Points) > 0 && !seen[series.Key] {
					seen[series.Key] = true
					used = append(used, series)
				}
			}
		}
	}
	return used
}

// unknownLoads returns the loads that the page asks for and no figure of the role has.
func unknownLoads(d Dataset, role Role) []string {
	if len(role.Experiments) == 0 || !slices.Contains(role.Experiments, fleetAhead) {
		return nil
	}
	var left []string
	for _, load := range fleetLoads {
		if !slices.ContainsFunc(role.Figures, func(f Figure) bool {
			return len(d.resolve(role, f, load, d.latestVariant).Points) > 0
		}) {
			left = append(left, load)
		}
	}
	return left
}

// knownQuantities returns the quantities of a role that are known under any load.
func (d Dataset) knownQuantities(role Role) map[Quantity]bool {
	known := map[Quantity]bool{}
	for _, q := range role.Quoted {
		known[q.Quantity] = true
	}
	for _, load := range d.loads(role.Experiments) {
		for _, figure := range role.Figures {
			if len(d.resolve(role, figure, load, d.latestVariant).Points) > 0 {
				known[figure.Quantity] = true
			}
		}
	}
	return known
}

// unmeasured returns the quantities that the page asks for and that are not known.
func unmeasured(known map[Quantity]bool, without []Quantity) string {
	var left []string
	for _, quantity := range quantities {
		if !known[quantity] && !slices.Contains(without, quantity) {
			left = append(left, string(quantity))
		}
	}
	return strings.Join(left, ", ")
}
