package capacity

import (
	"fmt"
	"slices"
)

// Names of experiments.
const (
	fleetAhead      = "fleet-ahead"
	fleetAheadSmall = "fleet-ahead-small"
	agentCost       = "agent-cost"
)

// Experiments and variables of the roles, in order of preference: the first one with enough sizes for a
// fit is used.
var (
	fleetRuns = []string{fleetAhead, fleetAheadSmall}
	costRuns  = []string{agentCost}

	overServers = []Variable{Servers}
	overWatches = []Variable{Watches, Servers}
)

// controlCores is the assumed number of cores of a control machine, for which the operators give no number.
// The machine on which the measurements were made has 8 cores.
const controlCores = 8

// Benchmark results quoted from docs/ROADMAP.md.
const (
	failureDetectionSource = "ROADMAP, `BenchmarkFailureDetection`, 50 processes"
	leasedTasksSource      = "ROADMAP, `BenchmarkLeasedTasks`"

	gossipIdleCores           = 0.005
	gossipDetectionP99Seconds = 3.76
	gossipDetectionGoal       = 3.0 // in seconds
	cores1000Leases           = 0.15
	cores5000Leases           = 0.27
	megabytes1000Leases       = 25.0
	megabytes5000Leases       = 31.0
	recovery1000LeasesSeconds = 2.8
	recovery5000LeasesSeconds = 3.2
)

// limits are the upper bounds of the roles' figures at a target.
type limits struct {
	agentCPU       Limit // in cores
	agentMemory    Limit // in MB
	agentBytes     Limit // in bytes a second
	configDelay    Limit // in ms
	addedLatency   Limit // in ms
	controlMachine Limit // in cores
}

func newLimits(t *Target) limits {
	return limits{
		agentCPU:       Limit{t.AgentCoreShare, fmt.Sprintf("%s core", formatNumber(t.AgentCoreShare))},
		agentMemory:    Limit{t.AgentMemoryMB, formatNumber(t.AgentMemoryMB) + " MB"},
		agentBytes:     Limit{t.AgentBytesPerSecond, formatNumber(t.AgentBytesPerSecond) + " B/s"},
		configDelay:    Limit{t.ConfigInForceSeconds * 1000, formatNumber(t.ConfigInForceSeconds) + " s"},
		addedLatency:   Limit{t.AddedLatencyP99Ms, formatNumber(t.AddedLatencyP99Ms) + " ms"},
		controlMachine: Limit{controlCores, fmt.Sprintf("one machine (%d cores)", controlCores)},
	}
}

// roles returns the roles with the limits of a target, in the order of the page.
func roles(t *Target) []Role {
	limits := newLimits(t)
	return []Role{
		agentControlRole(limits),
		agentCallsRole(limits),
		registrationRole(),
		voterRole(limits),
		leaderRole(limits),
		watchServerRole(limits),
		gossipRole(limits),
		leasesRole(limits),
		releasesRole(),
	}
}

// agentControlRole is the part of an agent that watches the list of servers.
func agentControlRole(limits limits) Role {
	return Role{
		Name:          "Agent, control",
		State:         "the list of servers; one watch. Nothing on the disk",
		Mechanism:     "`endpoints.Client`: one watch, changes only, back-off, retry budget",
		Needs:         []Mechanism{mechanismScope},
		NotApplicable: []Quantity{Disk},
		Experiments:   fleetRuns,
		Variables:     overServers,
		Figures: []Figure{
			{Messages, "calls/s", measuredHollowAgent, "calls_per_second", noLimit},
			{Messages, "lines/s", measuredHollowAgent, "lines_per_second", noLimit},
			{Bytes, "bytes in/s", measuredHollowAgent, "bytes_in_per_second", limits.agentBytes},
			{Bytes, "bytes in/s, real agent", measuredRealAgent, "bytes_in_per_second", limits.agentBytes},
			{CPU, "cores", measuredHollowAgent, "cpu_cores", limits.agentCPU},
			{CPU, "cores, real agent with its calls", measuredRealAgent, "cpu_cores", noLimit},
			{Memory, "MB", measuredHollowAgent, "rss_mb", limits.agentMemory},
			{Memory, "MB, real agent with its calls", measuredRealAgent, "rss_mb", limits.agentMemory},
		},
	}
}

// agentCallsRole is the part of an agent that handles calls.
func agentCallsRole(limits limits) Role {
	return Role{
		Name:          "Agent, calls",
		State:         "an entry for each known server; connections, queue, retry budget. Nothing on the disk",
		Mechanism:     "`policy/`: ranks the known servers for each call",
		Needs:         []Mechanism{mechanismIndex},
		NotApplicable: []Quantity{Messages, Bytes, Disk},
		Experiments:   costRuns,
		Variables:     overServers,
		Figures: []Figure{
			{CPU, "ms of CPU a call", measuredAgent, "cpu_ms_per_call", noLimit},
			{CPU, "cores", measuredAgent, "cpu_cores", noLimit},
			{Memory, "MB", measuredAgent, "rss_mb", limits.agentMemory},
			{Delay, "added ms, p50", measuredAgent, "added_p50_ms", noLimit},
			{Delay, "added ms, p99", measuredAgent, "added_p99_ms", limits.addedLatency},
		},
	}
}

// registrationRole is the registration and lease of a server of the fleet.
func registrationRole() Role {
	return Role{
		Name:          "Programme server's registration",
		State:         "its own entry and lease. Nothing on the disk",
		Mechanism:     "`POST /v1/renewals` every third of the lease, forwarded to the leader",
		Needs:         []Mechanism{mechanismBatching},
		NotApplicable: []Quantity{Disk},
		Experiments:   fleetRuns,
		Variables:     overServers,
		Figures: []Figure{
			{Messages, "calls/s", measuredHollowServer, "calls_per_second", noLimit},
			{Bytes, "bytes out/s", measuredHollowServer, "bytes_out_per_second", noLimit},
			{Bytes, "bytes in/s", measuredHollowServer, "bytes_in_per_second", noLimit},
			{CPU, "cores", measuredHollowServer, "cpu_cores", noLimit},
			{Memory, "MB", measuredHollowServer, "rss_mb", noLimit},
		},
	}
}

// voterRole is a control-plane server as a follower in the quorum.
func voterRole(limits limits) Role {
	return Role{
		Name:        "Steward as voter",
		State:       "all entries (`catalog.MaxEntries` at most), the last changes (`catalog.MaxHistory`), log, snapshot",
		Mechanism:   "raft log on bolt, snapshots, `internal/catalog`",
		Needs:       []Mechanism{mechanismEntries, mechanismRegions},
		Experiments: fleetRuns,
		Variables:   overServers,
		Figures:     controlPlaneFigures(measuredFollower, limits),
	}
}

// leaderRole is a control-plane server as the leader of the quorum.
func leaderRole(limits limits) Role {
	return Role{
		Name:        "Steward as leader",
		State:       "as a voter; a lease for each server, in memory only",
		Mechanism:   "leases in memory, no log entry for a renewal; guard against mass failure",
		Needs:       []Mechanism{mechanismBatching},
		Experiments: fleetRuns,
		Variables:   overServers,
		Figures: controlPlaneFigures(measuredLeader, limits,
			Figure{Messages, "calls/s", measuredLeader, "calls_per_second", noLimit},
			Figure{Messages, "refused calls", measuredLeader, "refused_calls", noLimit}),
	}
}

// controlPlaneFigures returns the figures on the state and the resources of a control-plane server, as
// measured on a follower or on the leader, with the given figures on messages between the servers.
func controlPlaneFigures(measured string, limits limits, messages ...Figure) []Figure {
	state := []Figure{{State, "log entries", measured, "log_entries", noLimit}}
	resources := []Figure{
		{Bytes, "bytes in/s", measured, "bytes_in_per_second", noLimit},
		{Bytes, "bytes out/s", measured, "bytes_out_per_second", noLimit},
		{CPU, "cores", measured, "cpu_cores", limits.controlMachine},
		{Memory, "MB", measured, "rss_mb", noLimit},
		{Disk, "snapshot bytes", measured, "snapshot_bytes", noLimit},
	}
	return slices.Concat(state, messages, resources)
}

// watchServerRole is a control-plane server that serves lists and watches to readers.
func watchServerRole(limits limits) Role {
	return Role{
		Name:        "Steward as server of watches",
		State:       "open watches; the lines of the last changes, encoded once; the whole list, encoded once",
		Mechanism:   "coalesced lines, encoded once for all watches; watches spread by rendezvous hashing; admission by bytes",
		Needs:       []Mechanism{mechanismReplicas},
		Experiments: fleetRuns,
		Variables:   overWatches,
		Figures: []Figure{
			{Messages, "lines/s", measuredFollower, "lines_per_second", noLimit},
			{Messages, "refused calls", measuredFollower, "refused_calls", noLimit},
			{Messages, "refused calls, all readers", measuredReaders, "refused_calls", noLimit},
			{Bytes, "bytes out/s", measuredFollower, "bytes_out_per_second", noLimit},
			{Bytes, "bytes of the whole list", measuredLeader, "list_bytes", noLimit},
			{CPU, "cores", measuredFollower, "cpu_cores", limits.controlMachine},
			{Delay, "change to a reader, ms, p50", measuredReaders, "change_p50_ms", noLimit},
			{Delay, "change to a reader, ms, p99", measuredReaders, "change_p99_ms", limits.configDelay},
			{Delay, "change to the last reader, ms", measuredReaders, "change_last_ms", limits.configDelay},
			{Delay, "s until all are back", measuredReaders, "recovered_s", noLimit},
			{Service, "share of requests served meanwhile", measuredRequests, "served_share", noLimit},
			{Service, "requests, ms, p50", measuredRequests, "p50_ms", noLimit},
			{Service, "requests, ms, p99", measuredRequests, "p99_ms", noLimit},
		},
	}
}

// gossipRole is the failure detection among control processes.
func gossipRole(limits limits) Role {
	detectionGoal := Limit{gossipDetectionGoal, formatNumber(gossipDetectionGoal) + " s (own goal)"}
	return Role{
		Name:          "Gossip among control processes",
		State:         "observations of each control process (`catalog.MaxMembers` at most). Nothing on the disk",
		Mechanism:     "SWIM (memberlist) among control processes only; its size is that of control, not of the fleet",
		NotApplicable: []Quantity{Disk},
		Quoted: []Quoted{
			{CPU, "cores a process at rest", gossipIdleCores, failureDetectionSource, limits.controlMachine, true},
			{Delay, "s until a kill is noticed, p99", gossipDetectionP99Seconds, failureDetectionSource, detectionGoal, true},
		},
	}
}

// leasesRole is the leader election for leased tasks.
func leasesRole(limits limits) Role {
	return Role{
		Name:      "Exclusive leases",
		State:     "leases (`catalog.MaxTasks` at most) and sessions of their holders (`catalog.MaxSessions` at most), replicated",
		Mechanism: "`internal/leaderelection`; no log entry while nothing changes. Their number at the target is not told",
		Needs:     []Mechanism{mechanismMembers},
		Quoted: []Quoted{
			{CPU, "leader's cores, 1,000 leases", cores1000Leases, leasedTasksSource, limits.controlMachine, false},
			{CPU, "leader's cores, 5,000 leases", cores5000Leases, leasedTasksSource, limits.controlMachine, false},
			{Memory, "leader's MB, 1,000 leases", megabytes1000Leases, leasedTasksSource, noLimit, false},
			{Memory, "leader's MB, 5,000 leases", megabytes5000Leases, leasedTasksSource, noLimit, false},
			{Delay, "s until all are held again, a ninth lost, 1,000 leases", recovery1000LeasesSeconds, leasedTasksSource, noLimit, false},
			{Delay, "s until all are held again, a ninth lost, 5,000 leases", recovery5000LeasesSeconds, leasedTasksSource, noLimit, false},
		},
	}
}

// releasesRole is the rollout of releases, which is not built.
func releasesRole() Role {
	return Role{
		Name:      "Releases",
		State:     unknown,
		Mechanism: "planned: parts 5 and 6 of ROADMAP",
		Needs:     []Mechanism{mechanismReleases},
	}
}
