package capacity

import (
	"slices"
	"strings"
)

// Quantity is a kind of resource or quality that a role's table reports.
type Quantity string

// The quantities of the role tables.
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

// requiredQuantities are the quantities that the page has to give for each role, either with a value or
// as unknown. State is not among them, since Role.State describes it.
var requiredQuantities = []Quantity{Messages, Bytes, CPU, Memory, Disk}

// Limit is the upper bound of a value.
type Limit struct {
	Value float64 // in the unit of the limited value; 0 means no limit
	Text  string  // the bound with its unit, as the tables print it
}

// noLimit marks a figure without an upper bound.
var noLimit = Limit{}

// Roles of Measurement.Role.
const (
	measuredAgent        = "agent"        // a real agent whose calls are measured
	measuredRealAgent    = "real agent"   // a real agent of a scale run
	measuredHollowAgent  = "hollow agent" // an emulated agent of a scale run, which handles no calls
	measuredHollowServer = "hollow server"
	measuredFollower     = "steward follower"
	measuredLeader       = "steward leader"
	measuredReaders      = "readers"
	measuredRequests     = "requests"
)

// Figure is one measured value of a role.
type Figure struct {
	Quantity Quantity
	Name     string // name of the figure with its unit, as the tables print it
	Role     string // Measurement.Role
	Metric   string // Measurement.Metric
	Limit    Limit
}

// The figures that derived values and limits are computed from.
var (
	fullListBytes = Figure{Role: measuredLeader, Metric: "list_bytes"}
	cpuPerCall    = Figure{Role: measuredAgent, Metric: "cpu_ms_per_call"}
	addedMedian   = Figure{Role: measuredAgent, Metric: "added_p50_ms"}
)

// callRole selects the measurements of an agent's calls.
var callRole = Role{Experiments: costRuns, Variables: overServers}

// fullListRole selects the measurements of the full list.
var fullListRole = Role{Experiments: fleetRuns, Variables: overServers}

// Quoted is a figure that is not in the results, such as that of a benchmark quoted in docs/ROADMAP.md.
type Quoted struct {
	Quantity Quantity
	Name     string
	Value    float64
	Source   string
	Limit    Limit
	AnyFleet bool // whether the value applies to every fleet of the page
}

// Role is a part of the system whose needs the page reports.
type Role struct {
	Name          string
	State         string      // the state that the role holds
	Mechanism     string      // the mechanism that serves the role at the target
	Needs         []Mechanism // mechanisms that the target needs and that are missing or were built last
	NotApplicable []Quantity  // required quantities that don't apply to the role
	Experiments   []string    // the experiments that measure the role, in order of preference
	Variables     []Variable  // the variables to fit over, in order of preference
	Figures       []Figure
	Quoted        []Quoted
}

// Mechanism is the description of a mechanism that the target needs.
type Mechanism string

// The mechanisms that were missing when the page was first written.
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

// lastMechanism is the mechanism that was built between the scale runs of the variants Before and After.
const lastMechanism = mechanismScope

// describe lists mechanisms, each with whether it is missing or built.
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

// unmeasuredLoads returns the loads of fleetLoads under which no figure of the role was measured. It
// returns nil for roles that the experiment fleetAhead doesn't measure.
func (d Dataset) unmeasuredLoads(role Role) []string {
	if !slices.Contains(role.Experiments, fleetAhead) {
		return nil
	}
	var unmeasured []string
	for _, load := range fleetLoads {
		if len(d.measuredQuantities(role, load)) == 0 {
			unmeasured = append(unmeasured, load)
		}
	}
	return unmeasured
}

// knownQuantities returns the quantities of a role that were quoted, or measured under any load.
func (d Dataset) knownQuantities(role Role) map[Quantity]bool {
	known := map[Quantity]bool{}
	for _, quoted := range role.Quoted {
		known[quoted.Quantity] = true
	}
	for _, load := range d.loads(role.Experiments) {
		for quantity := range d.measuredQuantities(role, load) {
			known[quantity] = true
		}
	}
	return known
}

// measuredQuantities returns the quantities of a role that were measured under a load.
func (d Dataset) measuredQuantities(role Role, load string) map[Quantity]bool {
	measured := map[Quantity]bool{}
	for _, figure := range role.Figures {
		if len(d.bestSeries(role, figure, load, d.latestVariant).Points) > 0 {
			measured[figure.Quantity] = true
		}
	}
	return measured
}

// unmeasuredQuantities returns the required quantities that apply to a role and are not known.
func (r Role) unmeasuredQuantities(known map[Quantity]bool) []string {
	var unmeasured []string
	for _, quantity := range requiredQuantities {
		if !known[quantity] && !slices.Contains(r.NotApplicable, quantity) {
			unmeasured = append(unmeasured, string(quantity))
		}
	}
	return unmeasured
}
