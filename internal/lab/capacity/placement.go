package capacity

import (
	"fmt"
	"math"

	"knotrouter/internal/control"
)

// replacementHours is the assumed time until a failed control machine is replaced if there is no standby.
const replacementHours = 1

// Arrangement is a placement of the control machines in the regions.
type Arrangement struct {
	Name      string
	Voters    float64 // number of voters of each quorum
	PerRegion bool    // whether each region has its own quorum; if not, there is one for all regions
}

var arrangements = []Arrangement{
	{Name: "one quorum across regions, non-voting replicas in each", Voters: 5},
	{Name: "a quorum per region, summaries between", Voters: 3, PerRegion: true},
}

// placementRow is a row of the placement table, with one property of the arrangements.
type placementRow struct {
	name  string
	value func(Arrangement) string
}

// placementTable compares the arrangements for the target.
func placementTable(t *Target) string {
	header := []string{"derived"}
	for _, arrangement := range arrangements {
		header = append(header, arrangement.Name)
	}
	var table [][]string
	for _, row := range placementRows(t) {
		cells := []string{row.name}
		for _, arrangement := range arrangements {
			cells = append(cells, row.value(arrangement))
		}
		table = append(table, cells)
	}
	return markdownTable(header, table)
}

func placementRows(t *Target) []placementRow {
	var rows []placementRow
	rows = append(rows, sizeRows(t)...)
	rows = append(rows, zoneLossRows(t)...)
	rows = append(rows, regionPartitionRows(t)...)
	rows = append(rows, ordinaryDayRows(t)...)
	return append(rows, placementRow{"has to be built", func(a Arrangement) string {
		return a.chooseText(string(mechanismReplicas+"; "+mechanismRegions), string(mechanismReplicas))
	}})
}

// sizeRows returns the rows on the sizes and loads of quorums and replicas.
func sizeRows(t *Target) []placementRow {
	return []placementRow{
		{"voters", func(a Arrangement) string { return formatNumber(a.totalVoters(t)) }},
		{"replicas that don't vote, and spares", func(a Arrangement) string { return formatNumber(t.ControlMachines - a.totalVoters(t)) }},
		{"entries in a voter's state", func(a Arrangement) string { return formatNumber(t.Servers/a.quorums(t)) + a.summariesSuffix() }},
		{"renewals a second at a leader, one call each", func(a Arrangement) string {
			return formatNumber(t.rates().renewalsPerSecond / a.quorums(t))
		}},
		{"log entries a second at a leader", func(a Arrangement) string {
			return formatNumber(t.rates().changesPerSecond/a.quorums(t)) + a.summariesSuffix()
		}},
		{"watches a machine, in the region that has fewest", func(Arrangement) string { return formatNumber(t.watchesPerMachine(0)) }},
		{"the same with one of its machines lost", func(Arrangement) string { return formatNumber(t.watchesPerMachine(1)) }},
		{"a write waits for", func(a Arrangement) string {
			return a.chooseText("a zone of its region: unknown", "the nearest two other regions: unknown")
		}},
	}
}

// zoneLossRows returns the rows on the effects of the loss of a zone.
func zoneLossRows(t *Target) []placementRow {
	return []placementRow{
		{"**a zone lost**: servers gone", func(Arrangement) string { return formatNumber(t.Servers / t.Zones) }},
		{"voters lost at most, of a quorum", func(a Arrangement) string { return "1 of " + formatNumber(a.Voters) }},
		{"voters that may fail besides, before a spare votes", func(a Arrangement) string { return formatNumber(a.toleratedFailures() - 1) }},
	}
}

// regionPartitionRows returns the rows on the effects of a region's partition.
func regionPartitionRows(t *Target) []placementRow {
	return []placementRow{
		{"**a region cut off**: servers in it that can't register or renew", func(a Arrangement) string {
			return a.chooseText("0", formatNumber(t.Servers/t.Regions))
		}},
		{"its servers, for all others", func(a Arrangement) string {
			return a.chooseText("kept as of the last summary", t.partitionedServersText())
		}},
		{"restarts in it that aren't listed in it", func(a Arrangement) string { return a.chooseText("0", formatNumber(t.restartsInPartition())) }},
		{"watches in it", func(a Arrangement) string {
			return a.chooseText("go on, its own changes arrive", "stand still, nothing arrives")
		}},
		{"exclusive leases in it", func(a Arrangement) string {
			return a.chooseText("go on for leases of the region; one for all regions has to live in one", "none is granted or renewed")
		}},
		{"quorums that go on elsewhere", func(a Arrangement) string {
			return a.chooseText(formatNumber(a.quorums(t)-1)+" of "+formatNumber(a.quorums(t)), "1 of 1")
		}},
	}
}

// ordinaryDayRows returns the rows on the effects of independent failures of single machines.
func ordinaryDayRows(t *Target) []placementRow {
	quorumsLost := fmt.Sprintf("quorums lost a year by independent failures, replaced within %d h", replacementHours)
	return []placementRow{
		{"**an ordinary day**: control machines that fail", func(Arrangement) string { return formatNumber(t.rates().controlPerDay) }},
		{"voters that fail a day", func(a Arrangement) string {
			return formatNumber(t.rates().machinePerDay * a.Voters * a.quorums(t))
		}},
		{quorumsLost, func(a Arrangement) string { return formatNumber(a.quorumsLostPerYear(t)) }},
	}
}

// quorums is the number of quorums in all regions of the target.
func (a Arrangement) quorums(t *Target) float64 {
	if a.PerRegion {
		return t.Regions
	}
	return 1
}

// totalVoters is the number of voters of all quorums.
func (a Arrangement) totalVoters(t *Target) float64 { return a.quorums(t) * a.Voters }

// chooseText returns perRegion if each region has its own quorum, else acrossRegions.
func (a Arrangement) chooseText(perRegion, acrossRegions string) string {
	if a.PerRegion {
		return perRegion
	}
	return acrossRegions
}

// summariesSuffix returns the end of a cell on the summaries that the quorums of the regions exchange. It
// returns "" if there is one quorum for all regions.
func (a Arrangement) summariesSuffix() string { return a.chooseText(", and summaries: unknown", "") }

// toleratedFailures is the number of voters of a quorum that may be down at the same time.
func (a Arrangement) toleratedFailures() float64 { return math.Floor((a.Voters - 1) / 2) }

// quorumsLostPerYear is the expected number of times a year that any quorum loses one voter more than it
// tolerates, with all of these failures within replacementHours of each other. Failures are assumed to be
// independent.
func (a Arrangement) quorumsLostPerYear(t *Target) float64 {
	perDay := t.rates().machinePerDay
	rate := a.quorums(t) * a.Voters * perDay * daysPerYear
	for failed := 1.0; failed <= a.toleratedFailures(); failed++ {
		rate *= (a.Voters - failed) * perDay * replacementHours / hoursPerDay
	}
	return rate
}

// watchesPerMachine is the number of watches per control machine in the region with the fewest control
// machines, after the loss of lostMachines of them.
func (t *Target) watchesPerMachine(lostMachines float64) float64 {
	machines := math.Floor(t.ControlMachines / t.Regions)
	return t.Servers / t.Regions / (machines - lostMachines)
}

// partitionedServersText says whether a single quorum removes the servers of a partitioned region from
// the list, or its guard against mass failures keeps them.
func (t *Target) partitionedServersText() string {
	share, guard := 1/t.Regions, control.Defaults().GuardShare
	if share > guard {
		return fmt.Sprintf("held by the guard: %s of the list, guard at %s", formatNumber(share), formatNumber(guard))
	}
	return fmt.Sprintf("lapse: %s of the list, guard at %s", formatNumber(share), formatNumber(guard))
}

// restartsInPartition is the number of processes that are restarted or replaced in a region during its
// partition.
func (t *Target) restartsInPartition() float64 {
	perDay := t.Failures.RestartsPerDay + t.Failures.MachinesPerDay
	return perDay / hoursPerDay * t.Failures.RegionPartitionHours / t.Regions
}
