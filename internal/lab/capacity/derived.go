package capacity

import (
	"fmt"
	"math"
	"slices"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
)

const (
	secondsPerDay = 86_400
	hoursPerDay   = 24
	daysPerYear   = 365
	// renewalsPerLease is how often a server renews within the time of its lease.
	renewalsPerLease = 3
	// changesPerRestart: the end of a process and the registration of the next.
	changesPerRestart = 2
	// rackServers is the servers of a rack, from issue 23.
	rackServers = 40
)

// derivation is a figure that follows by arithmetic from others.
type derivation struct {
	what       string
	arithmetic string
	value      Estimate
}

// exact is a value that follows from constants and the target alone.
func exact(value float64) Estimate { return Estimate{Value: value, Basis: Fitted} }

// times multiplies an estimate and keeps its basis.
func (e Estimate) times(factor float64) Estimate {
	e.Value *= factor
	return e
}

// rates are the changes that the target's fleet makes.
type rates struct {
	configPerSecond  float64
	changesPerSecond float64 // configuration, restarts and failures
	renewalsPerSec   float64
	controlPerDay    float64 // control machines that fail
	machinePerDay    float64 // probability that one machine fails
}

func (t *Target) rates() rates {
	machine := t.Failures.MachinesPerDay / (t.Servers + t.ControlMachines)
	restarts := t.Failures.RestartsPerDay + t.Failures.MachinesPerDay
	return rates{
		configPerSecond:  t.ConfigChangesPerDay / secondsPerDay,
		changesPerSecond: (t.ConfigChangesPerDay + changesPerRestart*restarts) / secondsPerDay,
		renewalsPerSec:   t.Servers / (control.Defaults().LeaseTTL.Seconds() / renewalsPerLease),
		machinePerDay:    machine,
		controlPerDay:    machine * t.ControlMachines,
	}
}

// derivedTable gives what was not run and follows by arithmetic.
func derivedTable(target *Target, data Dataset) string {
	earlier, latest := derive(target, data, data.earliestVariant), derive(target, data, data.latestVariant)
	var rows [][]string
	for i, d := range latest {
		before := none
		if was := earlier[i].value; was != d.value {
			before = was.String()
		}
		rows = append(rows, []string{d.what, d.arithmetic, d.value.String(), before})
	}
	return markdownTable([]string{"derived, not run", "arithmetic", "value", "before the last mechanism"}, rows)
}

// derive works out all figures with the variants that are chosen of each experiment.
func derive(t *Target, data Dataset, variant variantOf) []derivation {
	return slices.Concat(ordinaryDay(t), storms(t, data, variant), callCosts(t, data, variant))
}

func ordinaryDay(t *Target) []derivation {
	r := t.rates()
	return []derivation{
		{"configuration changes a second, mean", "changes a day / 86,400", exact(r.configPerSecond)},
		{"all changes of the list a second, mean", "(configuration + 2 x (restarts + failures)) / 86,400", exact(r.changesPerSecond)},
		{"renewals a second at one leader", "servers / (`lease_ttl` / 3)", exact(r.renewalsPerSec)},
		{"renewals a second at a leader per region", "the same / regions", exact(r.renewalsPerSec / t.Regions)},
		{"control machines that fail a day", "failures x control machines / all machines", exact(r.controlPerDay)},
		{"probability that one fails on a day", "1 - exp(-that)", exact(1 - math.Exp(-r.controlPerDay))},
		{"days from one such failure to the next", "1 / that", exact(1 / r.controlPerDay)},
		{"share of a day's racks lost that hold one given control machine", "rack / all machines", exact(t.Failures.RacksPerDay * rackServers / (t.Servers + t.ControlMachines))},
	}
}

// storms are the losses of the target's fleet.
func storms(t *Target, data Dataset, variant variantOf) []derivation {
	r := t.rates()
	partition := t.Failures.RegionPartitionHours * secondsPerDay / hoursPerDay
	missed := r.changesPerSecond * partition
	outside := (t.Regions - 1) / t.Regions
	zone, region := t.Servers/t.Zones, t.Servers/t.Regions
	whole := data.wholeList(t, variant)
	part, lists := readerShare(t, variant)
	list := whole.times(part)
	entry := list.times(1 / t.Servers) // of a change to one server, on the mean over readers
	admitted := control.Defaults().CallRate * stewardsToday
	return []derivation{
		{"steward killed: watches that move, spread over all control machines", "agents / control machines", exact(t.Servers / t.ControlMachines)},
		{"slow readers, one in a hundred", "agents / 100", exact(t.Servers / 100)},
		{"rack lost: changes at once", "servers of a rack", exact(rackServers)},
		{"zone lost: changes at once", "servers / zones", exact(zone)},
		{"region lost: changes at once", "servers / regions", exact(region)},
		{"zone lost: part of the history kept", "that / `catalog.MaxHistory`", exact(zone / catalog.MaxHistory)},
		{"region lost: part of the history kept; above 1 all get the whole list", "that / `catalog.MaxHistory`", exact(region / catalog.MaxHistory)},
		{"bytes of the whole list", "`list_bytes` at the target", whole},
		{"bytes of a reader's first list", "that x its services / services, where it reads services", list},
		{"seconds for that at an agent's limit", "that / limit", list.times(1 / t.AgentBytesPerSecond)},
		{"seconds for a zone lost at an agent's limit", "changes x bytes of its list / servers / limit", entry.times(zone / t.AgentBytesPerSecond)},
		{"seconds for a region lost at an agent's limit", "changes x bytes of its list / servers / limit", entry.times(region / t.AgentBytesPerSecond)},
		{"region cut off: configuration changes meanwhile", "rate x time", exact(r.configPerSecond * partition)},
		{"region cut off: all changes meanwhile", "rate x time", exact(missed)},
		{"of them outside of it, which it misses", "that x (regions - 1) / regions", exact(missed * outside)},
		{"region cut off: its own changes, which all others miss", "that / regions", exact(missed * (1 - outside))},
		{"part of the history kept that the changes meanwhile are; above 1 all get the whole list", "all changes / `catalog.MaxHistory`", exact(missed / catalog.MaxHistory)},
		{"region back: bytes to each of its agents, changes only", "changes missed x bytes of its list / servers", entry.times(missed * outside)},
		{"region back: bytes out of control, first lists", "agents of the region x bytes of its list", list.times(region)},
		{fmt.Sprintf("region back: seconds until %d stewards admitted the first list of each of its agents", stewardsToday),
			"agents x calls that a list counts as / (stewards x `call_rate`)", exact(region * lists / admitted)},
	}
}

// readerShare is the part of the whole list that a reader takes, and the calls that its first
// list counts as.
func readerShare(t *Target, variant variantOf) (part, calls float64) {
	if variant(fleetAhead) == After {
		return subscribedServices / t.Services, t.firstListCost()
	}
	return 1, 1 + t.Servers/entriesPerCallBefore
}

// wholeList is the bytes of a whole list at the target.
func (d Dataset) wholeList(t *Target, variant variantOf) Estimate {
	role := Role{Experiments: fleetRuns, Variables: overServers}
	var best Estimate
	for _, load := range d.loads(fleetRuns) {
		estimate := d.resolve(role, Figure{Role: "steward leader", Metric: "list_bytes"}, load, variant).At(t.Servers)
		if estimate.Basis != Unknown {
			return estimate
		}
		best.Sizes = max(best.Sizes, estimate.Sizes)
	}
	return best
}

// callCosts is what the agents on the way of a call add to it.
func callCosts(t *Target, data Dataset, variant variantOf) []derivation {
	perAgent := t.CallsPerSecond / t.Servers
	group := []derivation{
		{"calls a second and agent", "calls / agents", exact(perAgent)},
		{"ms that the agents may add to the deepest call", "depth x limit", exact(t.CallDepth * t.AddedLatencyP99Ms)},
	}
	role := Role{Experiments: costRuns, Variables: overServers}
	loads := data.loads(costRuns)
	if len(loads) == 0 {
		loads = []string{"any load"}
	}
	for _, load := range loads {
		cost := data.resolve(role, Figure{Role: "agent", Metric: "cpu_ms_per_call"}, load, variant)
		median := data.resolve(role, Figure{Role: "agent", Metric: "added_p50_ms"}, load, variant)
		rows := []derivation{
			{"cores that an agent spends on calls, all servers known, at " + load, "CPU a call x calls a second and agent", cost.At(t.Servers).times(perAgent / 1000)},
			{fmt.Sprintf("the same with %d servers known", referenceKnown), "CPU a call x calls a second and agent", cost.At(referenceKnown).times(perAgent / 1000)},
			{"ms added to the deepest call at p50, all servers known, at " + load, "depth x added p50", median.At(t.Servers).times(t.CallDepth)},
			{fmt.Sprintf("the same with %d servers known", referenceKnown), "depth x added p50", median.At(referenceKnown).times(t.CallDepth)},
		}
		group = append(group, rows...)
	}
	return group
}
