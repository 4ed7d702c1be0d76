package capacity

import (
	"fmt"
	"math"

	"knotrouter/internal/control"
)

// replacementHours is an assumption: how long a control machine that failed stays without
// a replacement, where no spare stands ready.
const replacementHours = 1

// Arrangement is a way to place the control machines.
type Arrangement struct {
	Name   string
	Voters float64 // of each quorum
	// PerRegion says that each region has a quorum of its own.
	PerRegion bool
}

var arrangements = []Arrangement{
	{Name: "one quorum across regions, non-voting replicas in each", Voters: 5},
	{Name: "a quorum per region, summaries between", Voters: 3, PerRegion: true},
}

// placementTable compares the arrangements.
func placementTable(t *Target) string {
	rows := []struct {
		what  string
		value func(Arrangement) string
	}{
		{"voters", func(a Arrangement) string { return formatNumber(a.quorums(t) * a.Voters) }},
		{"replicas that don't vote, and spares", func(a Arrangement) string { return formatNumber(t.ControlMachines - a.quorums(t)*a.Voters) }},
		{"entries in a voter's state", func(a Arrangement) string { return formatNumber(t.Servers/a.quorums(t)) + a.summaries() }},
		{"renewals a second at a leader, one call each", func(a Arrangement) string { return formatNumber(t.rates().renewalsPerSec / a.quorums(t)) }},
		{"log entries a second at a leader", func(a Arrangement) string {
			return formatNumber(t.rates().changesPerSecond/a.quorums(t)) + a.summaries()
		}},
		{"watches a machine, in the region that has fewest", func(a Arrangement) string { return formatNumber(t.watchesPerMachine(0)) }},
		{"the same with one of its machines lost", func(a Arrangement) string { return formatNumber(t.watchesPerMachine(1)) }},
		{"a write waits for", func(a Arrangement) string {
			return a.either("a zone of its region: unknown", "the nearest two other regions: unknown")
		}},
		{"**a zone lost**: servers gone", func(Arrangement) string { return formatNumber(t.Servers / t.Zones) }},
		{"voters lost at most, of a quorum", func(a Arrangement) string { return "1 of " + formatNumber(a.Voters) }},
		{"voters that may fail besides, before a spare votes", func(a Arrangement) string { return formatNumber(a.tolerated() - 1) }},
		{"**a region cut off**: servers in it that can't register or renew", func(a Arrangement) string { return a.either("0", formatNumber(t.Servers/t.Regions)) }},
		{"its servers, for all others", func(a Arrangement) string { return a.either("kept as of the last summary", t.lapsing()) }},
		{"restarts in it that aren't listed in it", func(a Arrangement) string { return a.either("0", formatNumber(t.restartsInPartition())) }},
		{"watches in it", func(a Arrangement) string {
			return a.either("go on, its own changes arrive", "stand still, nothing arrives")
		}},
		{"exclusive leases in it", func(a Arrangement) string {
			return a.either("go on for leases of the region; one for all regions has to live in one", "none is granted or renewed")
		}},
		{"quorums that go on elsewhere", func(a Arrangement) string {
			return a.either(formatNumber(a.quorums(t)-1)+" of "+formatNumber(a.quorums(t)), "1 of 1")
		}},
		{"**an ordinary day**: control machines that fail", func(Arrangement) string { return formatNumber(t.rates().controlPerDay) }},
		{"voters that fail a day", func(a Arrangement) string { return formatNumber(t.rates().machinePerDay * a.Voters * a.quorums(t)) }},
		{fmt.Sprintf("quorums lost a year by independent failures, replaced within %d h", replacementHours), func(a Arrangement) string { return formatNumber(a.quorumsLostPerYear(t)) }},
		{"has to be built", func(a Arrangement) string {
			return a.either(string(mechanismReplicas+"; "+mechanismRegions), string(mechanismReplicas))
		}},
	}
	head := []string{"derived"}
	for _, a := range arrangements {
		head = append(head, a.Name)
	}
	var table [][]string
	for _, row := range rows {
		cells := []string{row.what}
		for _, a := range arrangements {
			cells = append(cells, row.value(a))
		}
		table = append(table, cells)
	}
	return markdownTable(head, table)
}

// quorums is how many quorums there are for the target's regions.
func (a Arrangement) quorums(t *Target) float64 {
	if a.PerRegion {
		return t.Regions
	}
	return 1
}

func (a Arrangement) either(perRegion, across string) string {
	if a.PerRegion {
		return perRegion
	}
	return across
}

func (a Arrangement) summaries() string { return a.either(", and summaries: unknown", "") }

// tolerated is how many voters may fail at a time.
func (a Arrangement) tolerated() float64 { return math.Floor((a.Voters - 1) / 2) }

// quorumsLostPerYear is the rate at which one voter more than tolerated fails within the
// time that the first ones stay without a replacement.
func (a Arrangement) quorumsLostPerYear(t *Target) float64 {
	perDay := t.rates().machinePerDay
	rate := a.quorums(t) * a.Voters * perDay * daysPerYear
	for failed := 1.0; failed <= a.tolerated(); failed++ {
		rate *= (a.Voters - failed) * perDay * replacementHours / hoursPerDay
	}
	return rate
}

// watchesPerMachine is for a region with the fewest machines, of which some are lost.
func (t *Target) watchesPerMachine(lost float64) float64 {
	machines := math.Floor(t.ControlMachines / t.Regions)
	return t.Servers / t.Regions / (machines - lost)
}

// lapsing compares the share of the servers that one region has with the guard's.
func (t *Target) lapsing() string {
	share, guard := 1/t.Regions, control.Defaults().GuardShare
	if share > guard {
		return fmt.Sprintf("held by the guard: %s of the list, guard at %s", formatNumber(share), formatNumber(guard))
	}
	return fmt.Sprintf("lapse: %s of the list, guard at %s", formatNumber(share), formatNumber(guard))
}

func (t *Target) restartsInPartition() float64 {
	perDay := t.Failures.RestartsPerDay + t.Failures.MachinesPerDay
	return perDay / hoursPerDay * t.Failures.RegionPartitionHours / t.Regions
}
