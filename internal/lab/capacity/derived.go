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
	// renewalsPerLease is the number of renewals that a server sends within the TTL of its lease.
	renewalsPerLease = 3
	// changesPerRestart is the number of list changes per restart: the removal of the old process and
	// the registration of the new one.
	changesPerRestart = 2
	// rackServers is the number of servers in a rack, from issue 23.
	rackServers = 40
	// readersPerSlowReader is the number of readers per slow reader: one in 100 is assumed to be slow.
	readersPerSlowReader = 100
)

// derivedFigure is a figure that is computed from others instead of being measured.
type derivedFigure struct {
	name    string // with the unit, as the table prints it
	formula string // as the table prints it
	value   Estimate
}

// exact returns the estimate for a value that depends only on constants and the target. Its basis is
// Fitted, so that the tables print it without a mark, like a value within the measured sizes.
func exact(value float64) Estimate { return Estimate{Value: value, Basis: Fitted} }

// times returns the estimate multiplied by a factor, on the same basis.
func (e Estimate) times(factor float64) Estimate {
	e.Value *= factor
	return e
}

// rates holds the rates of changes, renewals and failures in the target's fleet.
type rates struct {
	configPerSecond   float64 // configuration changes
	changesPerSecond  float64 // list changes by configuration, restarts and failures
	renewalsPerSecond float64
	controlPerDay     float64 // expected failures of control machines
	machinePerDay     float64 // probability that a given machine fails on a day
}

func (t *Target) rates() rates {
	machine := t.Failures.MachinesPerDay / (t.Servers + t.ControlMachines)
	restarts := t.Failures.RestartsPerDay + t.Failures.MachinesPerDay
	return rates{
		configPerSecond:   t.ConfigChangesPerDay / secondsPerDay,
		changesPerSecond:  (t.ConfigChangesPerDay + changesPerRestart*restarts) / secondsPerDay,
		renewalsPerSecond: t.Servers / (control.Defaults().LeaseTTL.Seconds() / renewalsPerLease),
		machinePerDay:     machine,
		controlPerDay:     machine * t.ControlMachines,
	}
}

// derivedTable lists the derived figures with and without lastMechanism.
func derivedTable(target *Target, data Dataset) string {
	earliest, latest := derive(target, data, data.earliestVariant), derive(target, data, data.latestVariant)
	var rows [][]string
	for i, now := range latest {
		before := emptyCell
		if earliest[i].value != now.value {
			before = earliest[i].value.String()
		}
		rows = append(rows, []string{now.name, now.formula, now.value.String(), before})
	}
	return markdownTable([]string{"derived, not run", "arithmetic", "value", "before the last mechanism"}, rows)
}

// derive computes all derived figures from the selected variant of each experiment. Their number and
// order depend on the loads in the data but not on the variant.
func derive(t *Target, data Dataset, variant variantSelector) []derivedFigure {
	return slices.Concat(
		deriveOrdinaryDay(t),
		deriveLosses(t),
		deriveListTransfer(t, data, variant),
		deriveRegionPartition(t),
		deriveRegionReturn(t, data, variant),
		deriveCallCosts(t, data, variant))
}

// deriveOrdinaryDay computes the rates on a day without mass failures.
func deriveOrdinaryDay(t *Target) []derivedFigure {
	r := t.rates()
	return []derivedFigure{
		{"configuration changes a second, mean", "changes a day / 86,400", exact(r.configPerSecond)},
		{"all changes of the list a second, mean", "(configuration + 2 x (restarts + failures)) / 86,400", exact(r.changesPerSecond)},
		{"renewals a second at one leader", "servers / (`lease_ttl` / 3)", exact(r.renewalsPerSecond)},
		{"renewals a second at a leader per region", "the same / regions", exact(r.renewalsPerSecond / t.Regions)},
		{"control machines that fail a day", "failures x control machines / all machines", exact(r.controlPerDay)},
		{"probability that one fails on a day", "1 - exp(-that)", exact(1 - math.Exp(-r.controlPerDay))},
		{"days from one such failure to the next", "1 / that", exact(1 / r.controlPerDay)},
		{"share of a day's racks lost that hold one given control machine", "rack / all machines",
			exact(t.Failures.RacksPerDay * rackServers / (t.Servers + t.ControlMachines))},
	}
}

// deriveLosses computes the number of watches or list changes that each kind of loss causes.
func deriveLosses(t *Target) []derivedFigure {
	zone, region := t.Servers/t.Zones, t.Servers/t.Regions
	return []derivedFigure{
		{"steward killed: watches that move, spread over all control machines", "agents / control machines", exact(t.Servers / t.ControlMachines)},
		{"slow readers, one in a hundred", "agents / 100", exact(t.Servers / readersPerSlowReader)},
		{"rack lost: changes at once", "servers of a rack", exact(rackServers)},
		{"zone lost: changes at once", "servers / zones", exact(zone)},
		{"region lost: changes at once", "servers / regions", exact(region)},
		{"zone lost: part of the history kept", "that / `catalog.MaxHistory`", exact(zone / catalog.MaxHistory)},
		{"region lost: part of the history kept; above 1 all get the whole list", "that / `catalog.MaxHistory`", exact(region / catalog.MaxHistory)},
	}
}

// deriveListTransfer computes the sizes of lists in bytes and the seconds that an agent takes to receive
// them at its limit of bytes a second.
func deriveListTransfer(t *Target, data Dataset, variant variantSelector) []derivedFigure {
	zone, region := t.Servers/t.Zones, t.Servers/t.Regions
	firstList, perServer := data.firstList(t, variant), data.listBytesPerServer(t, variant)
	return []derivedFigure{
		{"bytes of the whole list", "`list_bytes` at the target", data.fullList(t, variant)},
		{"bytes of a reader's first list", "that x its services / services, where it reads services", firstList},
		{"seconds for that at an agent's limit", "that / limit", firstList.times(1 / t.AgentBytesPerSecond)},
		{"seconds for a zone lost at an agent's limit", "changes x bytes of its list / servers / limit", perServer.times(zone / t.AgentBytesPerSecond)},
		{"seconds for a region lost at an agent's limit", "changes x bytes of its list / servers / limit", perServer.times(region / t.AgentBytesPerSecond)},
	}
}

// partitionSeconds is the length of a region's partition in seconds.
func (t *Target) partitionSeconds() float64 {
	return t.Failures.RegionPartitionHours * secondsPerDay / hoursPerDay
}

// changesInPartition is the number of list changes in the whole fleet during a region's partition.
func (t *Target) changesInPartition() float64 {
	return t.rates().changesPerSecond * t.partitionSeconds()
}

// shareOutsideRegion is the share of the fleet that is outside a given region.
func (t *Target) shareOutsideRegion() float64 { return (t.Regions - 1) / t.Regions }

// deriveRegionPartition computes the list changes during a region's partition, and how many of them the region
// and the rest of the fleet miss.
func deriveRegionPartition(t *Target) []derivedFigure {
	changes, outside := t.changesInPartition(), t.shareOutsideRegion()
	return []derivedFigure{
		{"region cut off: configuration changes meanwhile", "rate x time", exact(t.rates().configPerSecond * t.partitionSeconds())},
		{"region cut off: all changes meanwhile", "rate x time", exact(changes)},
		{"of them outside of it, which it misses", "that x (regions - 1) / regions", exact(changes * outside)},
		{"region cut off: its own changes, which all others miss", "that / regions", exact(changes * (1 - outside))},
		{"part of the history kept that the changes meanwhile are; above 1 all get the whole list",
			"all changes / `catalog.MaxHistory`", exact(changes / catalog.MaxHistory)},
	}
}

// deriveRegionReturn computes the bytes and the time for bringing a region's agents up to date after a
// partition.
func deriveRegionReturn(t *Target, data Dataset, variant variantSelector) []derivedFigure {
	region := t.Servers / t.Regions
	missed := t.changesInPartition() * t.shareOutsideRegion()
	callsPerSecond := control.Defaults().CallRate * controlPlaneServersToday
	_, callsPerList := readerShare(t, variant)
	return []derivedFigure{
		{"region back: bytes to each of its agents, changes only", "changes missed x bytes of its list / servers",
			data.listBytesPerServer(t, variant).times(missed)},
		{"region back: bytes out of control, first lists", "agents of the region x bytes of its list",
			data.firstList(t, variant).times(region)},
		{fmt.Sprintf("region back: seconds until %d stewards admitted the first list of each of its agents", controlPlaneServersToday),
			"agents x calls that a list counts as / (stewards x `call_rate`)", exact(region * callsPerList / callsPerSecond)},
	}
}

// readerShare returns the share of the full list that a reader receives, and the number of calls that
// admission counts for the reader's first list. Only the variant After has lists by service.
func readerShare(t *Target, variant variantSelector) (share, calls float64) {
	if variant(fleetAhead) == After {
		return subscribedServices / t.Services, t.firstListCost()
	}
	return 1, 1 + t.Servers/entriesPerCallBefore
}

// fullList estimates the size of the full list at the target in bytes, from the first load that allows
// an estimate. If none does, the result is Unknown, with the largest number of measured sizes.
func (d Dataset) fullList(t *Target, variant variantSelector) Estimate {
	var tooFew Estimate
	for _, load := range d.loads(fleetRuns) {
		estimate := d.bestSeries(fullListRole, fullListBytes, load, variant).At(t.Servers)
		if estimate.Basis != Unknown {
			return estimate
		}
		tooFew.Sizes = max(tooFew.Sizes, estimate.Sizes)
	}
	return tooFew
}

// firstList estimates the size of a reader's first list at the target in bytes.
func (d Dataset) firstList(t *Target, variant variantSelector) Estimate {
	share, _ := readerShare(t, variant)
	return d.fullList(t, variant).times(share)
}

// listBytesPerServer estimates the bytes that a reader receives for a change to one server at the
// target. It is the mean over all readers: with lists by service, most readers don't receive the change.
func (d Dataset) listBytesPerServer(t *Target, variant variantSelector) Estimate {
	return d.firstList(t, variant).times(1 / t.Servers)
}

// deriveCallCosts computes the CPU time that an agent spends on calls and the latency that the agents
// on a call's path add to it, under each measured load.
func deriveCallCosts(t *Target, data Dataset, variant variantSelector) []derivedFigure {
	callsPerAgent := t.CallsPerSecond / t.Servers
	figures := []derivedFigure{
		{"calls a second and agent", "calls / agents", exact(callsPerAgent)},
		{"ms that the agents may add to the deepest call", "depth x limit", exact(t.CallDepth * t.AddedLatencyP99Ms)},
	}
	loads := data.loads(costRuns)
	if len(loads) == 0 {
		loads = []string{"any load"}
	}
	for _, load := range loads {
		cpuMs := data.bestSeries(callRole, cpuPerCall, load, variant)
		addedMs := data.bestSeries(callRole, addedMedian, load, variant)
		coresPerMs := callsPerAgent / 1000
		fewServers := fmt.Sprintf("the same with %d servers known", referenceServers)
		figures = append(figures,
			derivedFigure{"cores that an agent spends on calls, all servers known, at " + load, "CPU a call x calls a second and agent",
				cpuMs.At(t.Servers).times(coresPerMs)},
			derivedFigure{fewServers, "CPU a call x calls a second and agent", cpuMs.At(referenceServers).times(coresPerMs)},
			derivedFigure{"ms added to the deepest call at p50, all servers known, at " + load, "depth x added p50",
				addedMs.At(t.Servers).times(t.CallDepth)},
			derivedFigure{fewServers, "depth x added p50", addedMs.At(referenceServers).times(t.CallDepth)})
	}
	return figures
}
