package capacity

import (
	"fmt"
	"math"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
)

// Copies of unexported constants of other packages.
const (
	// maxListBytes is endpoints.maxListBytes: the largest full list that a reader accepts.
	maxListBytes = 4 << 20
	// bytesPerCall is control.bytesPerCall: the number of bytes of a list that admission counts as a call.
	bytesPerCall = 24_000
	// entryBytes is control.estimatedScopedEntryBytes: admission's estimate of an entry's size.
	entryBytes = 140
)

const (
	// controlPlaneServersToday is the number of control-plane servers that the operators run.
	controlPlaneServersToday = 3
	// entriesPerCallBefore is the number of entries of the full list that admission counted as one call
	// before lists by service were introduced.
	entriesPerCallBefore = 200
	// subscribedServices is the number of services that an agent subscribes to, from issue 23.
	subscribedServices = 20
	// maxCallCostRatio is the goal for the CPU time per call, relative to an agent that knows
	// referenceServers servers.
	maxCallCostRatio = 1.2
	referenceServers = 20
)

// constantLimits returns the limits that depend only on constants in the code and the target.
func constantLimits(target *Target) []ScalingLimit {
	config := control.Defaults()
	constantLimit := func(name, source string, size float64, needs ...Mechanism) ScalingLimit {
		threshold := thresholdAt(target, size, Fitted, source)
		return ScalingLimit{Name: name, Needs: needs, Before: threshold, Now: threshold}
	}
	return append([]ScalingLimit{
		constantLimit("names in the replicated state", "`catalog.MaxEntries`", catalog.MaxEntries, mechanismEntries),
		constantLimit("a zone lost is more than the changes kept: each reader gets its whole list",
			"`catalog.MaxHistory`, servers over zones", catalog.MaxHistory*target.Zones, mechanismHistory),
		constantLimit("a region lost is more than the changes kept: each reader gets its whole list",
			"`catalog.MaxHistory`, servers over regions", catalog.MaxHistory*target.Regions, mechanismHistory),
		constantLimit(fmt.Sprintf("watches a steward, one of %d stewards lost", controlPlaneServersToday),
			"`control.Defaults().MaxWatches`", float64(config.MaxWatches*(controlPlaneServersToday-1)), mechanismReplicas),
		firstListsLimit(target, config.CallRate),
	}, controlPlaneLimits(target)...)
}

// controlPlaneLimits returns the limits that depend on the arrangement of the control plane instead of
// on the number of servers.
func controlPlaneLimits(target *Target) []ScalingLimit {
	region := Threshold{Status: Structural, Text: "any size, with two regions", Source: "placement table"}
	processes := fmt.Sprintf("not at the target: %s processes", formatNumber(target.ControlMachines))
	members := Threshold{Status: NotReached, Size: catalog.MaxMembers, Text: processes, Source: "`catalog.MaxMembers`"}
	sessions := Threshold{Status: NotReached, Size: catalog.MaxSessions, Text: processes, Source: "`catalog.MaxSessions`"}
	return []ScalingLimit{
		{Name: "a region that is cut off registers and renews nobody", Needs: []Mechanism{mechanismRegions}, Before: region, Now: region},
		{Name: "members of control", Needs: []Mechanism{mechanismMembers}, Before: members, Now: members},
		{Name: "sessions of lease holders, if control alone holds leases", Needs: []Mechanism{mechanismMembers}, Before: sessions, Now: sessions},
	}
}

// firstListsLimit returns the limit on the fleet size above which the current number of control-plane
// servers cannot admit the first lists of all agents within Target.ConfigInForceSeconds. The first list
// has the servers of the agent's services; before lists by service were introduced, it had all servers.
func firstListsLimit(target *Target, callRate float64) ScalingLimit {
	admittedCalls := callRate * controlPlaneServersToday * target.ConfigInForceSeconds
	const source = "`control.Defaults().CallRate`, without its burst"
	return ScalingLimit{
		Name: fmt.Sprintf("first lists admitted for all agents within %s s, by %d stewards",
			formatNumber(target.ConfigInForceSeconds), controlPlaneServersToday),
		Needs:  []Mechanism{mechanismReplicas},
		Before: thresholdAt(target, fullListsAdmitted(admittedCalls), Fitted, source),
		Now:    thresholdAt(target, admittedCalls/target.firstListCost(), Fitted, source),
	}
}

// firstListCost returns the number of calls that admission counts for the first list of an agent's
// services.
func (t *Target) firstListCost() float64 {
	entries := subscribedServices * t.Servers / t.Services
	return 1 + math.Floor(entries*entryBytes/bytesPerCall)
}

// fullListsAdmitted returns the fleet size n at which n full lists of n entries each count as the given
// number of calls, that is, the solution of n (1 + n/entriesPerCallBefore) = calls.
func fullListsAdmitted(calls float64) float64 {
	return entriesPerCallBefore / 2 * (math.Sqrt(1+4*calls/entriesPerCallBefore) - 1)
}

// fittedLimits returns the limits that depend on measured figures: those of the roles, those on the full
// list, and the one on the cost of a call.
func fittedLimits(target *Target, data Dataset) []ScalingLimit {
	var limits []ScalingLimit
	for _, role := range roles(target) {
		for _, figure := range role.Figures {
			if figure.Limit.Value == 0 {
				continue
			}
			name := fmt.Sprintf("%s: %s, limit %s", role.Name, figure.Name, figure.Limit.Text)
			limits = append(limits, data.figureLimit(target, name, role, figure, figure.Limit.Value))
		}
	}
	limits = append(limits, fullListLimits(target, data)...)
	return append(limits, data.callCostLimit(target))
}

// fullListLimits returns the limits on the size of the full list: the largest that a reader accepts, and
// the largest that it can receive within Target.ConfigInForceSeconds.
func fullListLimits(target *Target, data Dataset) []ScalingLimit {
	role := fullListRole
	role.Needs = []Mechanism{mechanismScope}
	accepted := fmt.Sprintf("a whole list of %s MB, which a reader without services refuses", formatNumber(maxListBytes/1e6))
	received := fmt.Sprintf("a whole list, for a reader without services, in %s s at %s B/s",
		formatNumber(target.ConfigInForceSeconds), formatNumber(target.AgentBytesPerSecond))
	return []ScalingLimit{
		data.figureLimit(target, accepted, role, fullListBytes, maxListBytes),
		data.figureLimit(target, received, role, fullListBytes, target.AgentBytesPerSecond*target.ConfigInForceSeconds),
	}
}

// figureLimit returns the fleet size at which a figure reaches a limit, under the load that reaches it
// first.
func (d Dataset) figureLimit(target *Target, name string, role Role, figure Figure, limit float64) ScalingLimit {
	return ScalingLimit{
		Name:   name,
		Needs:  role.Needs,
		Before: d.firstThreshold(target, role, figure, limit, d.earliestVariant),
		Now:    d.firstThreshold(target, role, figure, limit, d.latestVariant),
	}
}

// firstThreshold returns the smallest threshold of a figure over all loads. If no load has one, the text
// says how many sizes were measured.
func (d Dataset) firstThreshold(target *Target, role Role, figure Figure, limit float64, variant variantSelector) Threshold {
	first := unmeasuredThreshold()
	for _, load := range d.loads(role.Experiments) {
		series := d.bestSeries(role, figure, load, variant)
		threshold := series.threshold(target, limit)
		if threshold.before(first) {
			first = threshold
		}
		if first.Status == Unmeasured && series.Fit.Sizes > 0 {
			first.Text = tooFewSizes(series.Fit.Sizes)
		}
	}
	return first
}

// before reports whether the threshold is known and smaller than another, or the other is unknown.
func (t Threshold) before(other Threshold) bool {
	return t.Status != Unmeasured && (other.Status == Unmeasured || t.Size < other.Size)
}

// callCostLimit returns the fleet size at which the CPU time per call reaches maxCallCostRatio times
// that of an agent that knows referenceServers servers, under the load that reaches it first.
func (d Dataset) callCostLimit(target *Target) ScalingLimit {
	limit := ScalingLimit{
		Name: fmt.Sprintf("Agent, calls: CPU a call %s times that with %d servers known",
			formatNumber(maxCallCostRatio), referenceServers),
		Needs:  []Mechanism{mechanismIndex},
		Before: unmeasuredThreshold(),
		Now:    unmeasuredThreshold(),
	}
	for _, load := range d.loads(costRuns) {
		now := d.callCostThreshold(target, load, d.latestVariant)
		if now.before(limit.Now) {
			limit.Before, limit.Now = d.callCostThreshold(target, load, d.earliestVariant), now
		}
	}
	return limit
}

// callCostThreshold returns the threshold of callCostLimit under one load.
func (d Dataset) callCostThreshold(target *Target, load string, variant variantSelector) Threshold {
	series := d.bestSeries(callRole, cpuPerCall, load, variant)
	reference := series.At(referenceServers)
	if reference.Basis == Unknown {
		return unmeasuredThreshold()
	}
	return series.threshold(target, maxCallCostRatio*reference.Value)
}
