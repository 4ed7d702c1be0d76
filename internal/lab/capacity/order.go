package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
)

// Constants of other packages that are not exported, as they stand there.
const (
	maxListBytes  = 4 << 20 // endpoints.maxListBytes: bytes of a full list that a reader takes
	bytesPerCall  = 24_000  // control.bytesPerCall: bytes of a list that cost as much as a call
	entryBytes    = 140     // control.estimatedScopedEntryBytes: what admission reckons an entry with
	stewardsToday = 3
	// entriesPerCallBefore is the entries of the whole fleet that cost as much as a call before
	// lists by service.
	entriesPerCallBefore = 200
	// subscribedServices is the services that an agent subscribes to, from issue 23.
	subscribedServices = 20
	// callCostFactor is the goal for CPU a call, over that with referenceKnown servers known.
	callCostFactor = 1.2
	referenceKnown = 20
)

// Reach says whether a limit is met as the fleet grows.
type Reach int

// The reaches, in the order of the table.
const (
	ReachedAt  Reach = iota // at Crossing.Size
	Structural              // whatever the size is
	NotKnown
	NotMet // below the target
)

// Crossing is the fleet size at which a limit is met.
type Crossing struct {
	Reach  Reach
	Size   float64
	Text   string
	Source string
}

// Bound is a limit with the mechanism that moves it.
type Bound struct {
	What   string
	Needs  []Mechanism
	Before Crossing // before the mechanism that was built last; as Now where only one is known
	Now    Crossing
}

// orderTable ranks the limits by the fleet size at which they are met.
func orderTable(target *Target, data Dataset) string {
	bounds := append(constantBounds(target), fittedBounds(target, data)...)
	slices.SortStableFunc(bounds, func(a, b Bound) int {
		if a.Now.Reach != b.Now.Reach {
			return cmp.Compare(a.Now.Reach, b.Now.Reach)
		}
		return cmp.Compare(a.Now.Size, b.Now.Size)
	})
	var rows [][]string
	for i, b := range bounds {
		before := none
		if b.Before != b.Now {
			before = b.Before.Text
		}
		rows = append(rows, []string{fmt.Sprint(i + 1), b.What, b.Now.Text, before, b.mechanism(data), b.Now.Source})
	}
	return markdownTable([]string{"", "limit", "met at a fleet of", "before the last mechanism", "mechanism", "source"}, rows)
}

// mechanism says what moves the limit. Where it is met without any server, what has to
// shrink is the part of the cost that doesn't grow with the fleet.
func (b Bound) mechanism(data Dataset) string {
	switch {
	case b.Now.Reach == NotMet:
		return none
	case b.Now.Reach == ReachedAt && b.Now.Size == 0:
		return "the constant part of the cost first; " + data.describe(b.Needs)
	}
	return data.describe(b.Needs)
}

// crossingAt says that a limit is met at a size, or that the target stays below it.
func crossingAt(target *Target, size float64, basis Basis, source string) Crossing {
	text := Estimate{Value: size, Basis: basis}.String()
	switch {
	case size > target.Servers:
		return Crossing{NotMet, size, "not at the target; at " + text, source}
	case size == 0:
		return Crossing{ReachedAt, size, "any size", source}
	}
	return Crossing{ReachedAt, size, text, source}
}

// constantBounds are the limits that follow from constants of the code.
func constantBounds(target *Target) []Bound {
	config := control.Defaults()
	atConstant := func(what, source string, size float64, needs ...Mechanism) Bound {
		crossing := crossingAt(target, size, Fitted, source)
		return Bound{what, needs, crossing, crossing}
	}
	region := Crossing{Structural, 0, "any size, with two regions", "placement table"}
	members := Crossing{NotMet, catalog.MaxMembers, fmt.Sprintf("not at the target: %s processes", formatNumber(target.ControlMachines)), "`catalog.MaxMembers`"}
	sessions := Crossing{NotMet, catalog.MaxSessions, members.Text, "`catalog.MaxSessions`"}
	return []Bound{
		atConstant("names in the replicated state", "`catalog.MaxEntries`", catalog.MaxEntries, mechanismEntries),
		atConstant("a zone lost is more than the changes kept: each reader gets its whole list",
			"`catalog.MaxHistory`, servers over zones", catalog.MaxHistory*target.Zones, mechanismHistory),
		atConstant("a region lost is more than the changes kept: each reader gets its whole list",
			"`catalog.MaxHistory`, servers over regions", catalog.MaxHistory*target.Regions, mechanismHistory),
		atConstant(fmt.Sprintf("watches a steward, one of %d stewards lost", stewardsToday),
			"`control.Defaults().MaxWatches`", float64(config.MaxWatches*(stewardsToday-1)), mechanismReplicas),
		firstListsBound(target, config.CallRate),
		{"a region that is cut off registers and renews nobody", []Mechanism{mechanismRegions}, region, region},
		{"members of control", []Mechanism{mechanismMembers}, members, members},
		{"sessions of lease holders, if control alone holds leases", []Mechanism{mechanismMembers}, sessions, sessions},
	}
}

// firstListsBound is the fleet size at which not all agents are admitted to their first lists
// within the time for a change, by today's stewards: now to the lists of their services, before to
// the list of all servers.
func firstListsBound(target *Target, callRate float64) Bound {
	calls := callRate * stewardsToday * target.ConfigInForceSeconds
	const source = "`control.Defaults().CallRate`, without its burst"
	return Bound{
		What: fmt.Sprintf("first lists admitted for all agents within %s s, by %d stewards",
			formatNumber(target.ConfigInForceSeconds), stewardsToday),
		Needs:  []Mechanism{mechanismReplicas},
		Before: crossingAt(target, wholeListsAdmitted(calls), Fitted, source),
		Now:    crossingAt(target, calls/target.firstListCost(), Fitted, source),
	}
}

// firstListCost is the calls that the first list of an agent's services counts as.
func (t *Target) firstListCost() float64 {
	entries := subscribedServices * t.Servers / t.Services
	return 1 + math.Floor(entries*entryBytes/bytesPerCall)
}

// wholeListsAdmitted is the fleet size n at which n whole lists of n entries cost as much
// as the calls that are admitted: n (1 + n/entriesPerCallBefore) = calls.
func wholeListsAdmitted(calls float64) float64 {
	return entriesPerCallBefore / 2 * (math.Sqrt(1+4*calls/entriesPerCallBefore) - 1)
}

// fittedBounds are the limits of the roles' figures, each under the load that meets it first.
func fittedBounds(target *Target, data Dataset) []Bound {
	var bounds []Bound
	for _, role := range roles(target) {
		for _, figure := range role.Figures {
			if figure.Limit.Value == 0 {
				continue
			}
			what := fmt.Sprintf("%s: %s, limit %s", role.Name, figure.Name, figure.Limit.Text)
			bounds = append(bounds, data.bound(target, what, role, figure, figure.Limit.Value))
		}
	}
	readers := Role{Experiments: fleetRuns, Variables: overServers, Needs: []Mechanism{mechanismScope}}
	list := Figure{Role: "steward leader", Metric: "list_bytes"}
	bytes := target.AgentBytesPerSecond * target.ConfigInForceSeconds
	bounds = append(bounds,
		data.bound(target, fmt.Sprintf("a whole list of %s MB, which a reader without services refuses", formatNumber(maxListBytes/1e6)), readers, list, maxListBytes),
		data.bound(target, fmt.Sprintf("a whole list, for a reader without services, in %s s at %s B/s", formatNumber(target.ConfigInForceSeconds), formatNumber(target.AgentBytesPerSecond)), readers, list, bytes))
	return append(bounds, data.callCostBound(target))
}

// bound finds where a figure meets a limit, before and now.
func (d Dataset) bound(target *Target, what string, role Role, figure Figure, limit float64) Bound {
	find := func(variant variantOf) Crossing {
		first := Crossing{Reach: NotKnown, Text: unknown, Source: "not measured"}
		for _, load := range d.loads(role.Experiments) {
			series := d.resolve(role, figure, load, variant)
			crossing := series.crossing(target, limit)
			if crossing.Reach != NotKnown && (first.Reach == NotKnown || crossing.Size < first.Size) {
				first = crossing
			}
			if first.Reach == NotKnown && series.Fit.Sizes > 0 {
				first.Text = fmt.Sprintf("unknown: %d sizes", series.Fit.Sizes)
			}
		}
		return first
	}
	return Bound{what, role.Needs, find(d.earliestVariant), find(d.latestVariant)}
}

// earliestVariant is Before where the experiment has it, else the latest.
func (d Dataset) earliestVariant(experiment string) string {
	for _, source := range d {
		if source.Experiment == experiment && source.Variant == Before {
			return Before
		}
	}
	return d.latestVariant(experiment)
}

// crossing is where a series meets a limit: the smallest measured size with a value at the
// limit or above, or where the line gets there, whichever is less.
func (s Series) crossing(target *Target, limit float64) Crossing {
	source := label(s.Key) + ", " + s.Load + ", over " + string(s.Variable)
	measured := math.Inf(1)
	for _, p := range s.Points {
		if p.Value >= limit {
			measured = min(measured, p.Size)
		}
	}
	if !s.Fit.Known() {
		if math.IsInf(measured, 1) {
			return Crossing{Reach: NotKnown, Text: unknown, Source: source}
		}
		return crossingAt(target, measured, Measured, source+", measured")
	}
	size, rises := s.Fit.SizeAt(limit)
	switch {
	case !rises && math.IsInf(measured, 1):
		return Crossing{NotMet, math.Inf(1), "not at the target: it doesn't rise", source}
	case !rises || measured < size:
		return crossingAt(target, measured, Measured, source+", measured")
	}
	basis := Fitted
	if size > farFactor*s.Fit.Largest {
		basis = Extrapolated
	}
	return crossingAt(target, size, basis, source)
}

// callCostBound is where CPU a call gets above its goal, relative to few known servers.
func (d Dataset) callCostBound(target *Target) Bound {
	what := fmt.Sprintf("Agent, calls: CPU a call %s times that with %d servers known", formatNumber(callCostFactor), referenceKnown)
	role := Role{Experiments: costRuns, Variables: overServers, Needs: []Mechanism{mechanismIndex}}
	figure := Figure{Role: "agent", Metric: "cpu_ms_per_call"}
	unknownBound := Crossing{Reach: NotKnown, Text: unknown, Source: "not measured"}
	bound := Bound{what, role.Needs, unknownBound, unknownBound}
	for _, load := range d.loads(costRuns) {
		find := func(variant variantOf) Crossing {
			series := d.resolve(role, figure, load, variant)
			reference := series.At(referenceKnown)
			if reference.Basis == Unknown {
				return unknownBound
			}
			return series.crossing(target, callCostFactor*reference.Value)
		}
		before, now := find(d.earliestVariant), find(d.latestVariant)
		if now.Reach != NotKnown && (bound.Now.Reach == NotKnown || now.Size < bound.Now.Size) {
			bound.Before, bound.Now = before, now
		}
	}
	return bound
}
