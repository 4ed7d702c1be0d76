package hollow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ExpectedList describes the list that all agents should have: the servers 0 to Servers-1 without the
// Absent servers from FirstAbsent on.
type ExpectedList struct {
	Servers     int
	FirstAbsent int
	Absent      int
	Version     int64 // lowest version at which an agent counts as up to date
}

// serverCount returns the number of servers that an agent with the subscription should have in its table.
func (e *ExpectedList) serverCount(services []string, byService map[string]int) int {
	if len(services) == 0 {
		return e.Servers - e.Absent
	}
	total := 0
	for _, service := range services {
		total += byService[service]
	}
	return total
}

// countByService returns the number of servers that should be listed for each of the services.
func (e *ExpectedList) countByService(services int) map[string]int {
	counts := map[string]int{}
	for i := range e.Servers {
		if i < e.FirstAbsent || i >= e.FirstAbsent+e.Absent {
			counts[ServiceName(i%services)]++
		}
	}
	return counts
}

// AgentsState is the state and the totals of the hollow agents of a process, as sent to the process of a
// scale run.
type AgentsState struct {
	Agents          int                    `json:"agents"`
	WatchesOpen     int                    `json:"watches_open"` // open watches that have received a list at their current address
	WatchesEnded    int64                  `json:"watches_ended"`
	Lines           int64                  `json:"lines"`   // received lists and changes, without the empty lines of an idle watch
	Entries         int64                  `json:"entries"` // entries parsed and merged into tables
	FullLists       int64                  `json:"whole_lists"`
	Versions        int64                  `json:"versions"` // lines with a newer version than the agent's table
	Failovers       int64                  `json:"failovers"`
	BudgetExhausted int64                  `json:"held_back"` // rounds that ended because the client's retry budget was exhausted
	VersionMin      int64                  `json:"version_min"`
	VersionMax      int64                  `json:"version_max"`
	ListedMin       int                    `json:"listed_min"`
	ListedMax       int                    `json:"listed_max"`
	AsExpected      int                    `json:"as_expected"` // agents whose table has the size of the ExpectedList
	AtVersion       int                    `json:"at_version"`  // agents at the version of the ExpectedList or a later one
	ListAgeMaxSec   float64                `json:"list_age_max_s"`
	ListAgeMeanSec  float64                `json:"list_age_mean_s"`
	Total           Traffic                `json:"total"`
	ByAddress       map[string]Traffic     `json:"by_address"`
	Changes         int64                  `json:"changes"` // received changes, summed over all agents
	ChangeP50Ms     int64                  `json:"change_p50_ms"`
	ChangeP99Ms     int64                  `json:"change_p99_ms"`
	ChangeLastMs    int64                  `json:"change_last_ms"`
	Ages            *hdrhistogram.Snapshot `json:"ages,omitempty"`
}

// SetAges sets the statistics of changes from a histogram of their ages in ms.
func (s *AgentsState) SetAges(ages *hdrhistogram.Histogram) {
	s.Changes = ages.TotalCount()
	s.ChangeP50Ms = ages.ValueAtQuantile(50)
	s.ChangeP99Ms = ages.ValueAtQuantile(99)
	s.ChangeLastMs = ages.Max()
}

// State returns the state and the totals of the agents, compared with the expected list.
func (p *Agents) State(expected ExpectedList) AgentsState {
	state := AgentsState{
		Agents:       len(p.agents),
		WatchesEnded: p.counts.watchesEnded.Load(),
		Lines:        p.counts.lines.Load(),
		Entries:      p.counts.entries.Load(),
		FullLists:    p.counts.fullLists.Load(),
		Versions:     p.counts.versions.Load(),
		Failovers:    p.counts.failovers.Load(),
	}
	state.ByAddress, state.Total = p.meter.traffic()
	byService := expected.countByService(p.config.Services)
	for i, agent := range p.agents {
		agent.addToState(&state, i == 0, &expected, byService)
	}
	state.ListAgeMeanSec /= float64(len(p.agents))
	p.mu.Lock()
	defer p.mu.Unlock()
	state.SetAges(p.ages)
	return state
}

// addToState adds an agent to the state of its process. The means in the state are sums until all agents
// are added.
func (a *Agent) addToState(state *AgentsState, first bool, expected *ExpectedList, byService map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watchOpen {
		state.WatchesOpen++
	}
	listed := len(a.table)
	if first {
		state.VersionMin, state.ListedMin = a.version, listed
	}
	state.VersionMin, state.VersionMax = min(state.VersionMin, a.version), max(state.VersionMax, a.version)
	state.ListedMin, state.ListedMax = min(state.ListedMin, listed), max(state.ListedMax, listed)
	if a.version > 0 && listed == expected.serverCount(a.services, byService) {
		state.AsExpected++
	}
	if a.version > 0 && a.version >= expected.Version {
		state.AtVersion++
	}
	if !a.updatedAt.IsZero() {
		age := time.Since(a.updatedAt).Seconds()
		state.ListAgeMaxSec = max(state.ListAgeMaxSec, age)
		state.ListAgeMeanSec += age
	}
	state.BudgetExhausted += a.client.BudgetExhausted()
}
