package policy

import (
	"fmt"
	"slices"
	"testing"
)

// slowStartContracts are contracts with different slow-start parameters.
var slowStartContracts = []struct {
	name     string
	contract Contract
}{
	{"wide", Contract{SlowStartFrom: 0.13, SlowStartMs: 24000, CrashLoadMultiple: 4, CrashWindowMs: 1000}},
	{"narrow", Contract{SlowStartFrom: 0.2, SlowStartMs: 9000, CrashLoadMultiple: 2.5, CrashWindowMs: 800}},
	{"long", Contract{SlowStartFrom: 0.34, SlowStartMs: 9000, CrashLoadMultiple: 3, CrashWindowMs: 3000}},
}

// startServers starts the first n servers. Each agent is notified of each start within the given time in ms.
func startServers(f *slowStartFleet, n int, within float64) {
	for s := range n {
		f.startServer(s, within)
	}
}

// failBetween starts server 0, and makes attempts to the matching servers end with the status if they are sent
// between two times, both in ms from now.
func failBetween(f *slowStartFleet, from, to float64, status Status, matches func(a Addr) bool) {
	f.startServer(0, 50)
	from, to = f.now+from, f.now+to
	f.status = func(a Addr, now float64) Status {
		if matches(a) && now > from && now < to {
			return status
		}
		return OK
	}
}

// slowStartScenarios are sequences of events in a fleet: servers start, and then agents or servers fail or the
// load changes.
var slowStartScenarios = []struct {
	name  string
	begin func(t *testing.T, f *slowStartFleet)
}{
	{"start", func(_ *testing.T, f *slowStartFleet) { f.startServer(0, 50) }},
	{"start in a lull", func(_ *testing.T, f *slowStartFleet) {
		f.scaleLoad(0.2)
		f.startServer(0, 50)
		f.after(6000, func() { f.scaleLoad(8) })
	}},
	{"half start at once", func(_ *testing.T, f *slowStartFleet) { startServers(f, f.servers/2, 50) }},
	{"all but two start", func(_ *testing.T, f *slowStartFleet) { startServers(f, f.servers-2, 1000) }},
	{"half start", func(_ *testing.T, f *slowStartFleet) { startServers(f, f.servers/2, 3000) }},
	{"restarts in slow start", func(t *testing.T, f *slowStartFleet) {
		f.startServer(0, 50)
		for i := range f.agents {
			f.after(1000+f.rng.Float64()*4000, func() { f.restart(t, i) })
		}
	}},
	{"all restart at once in slow start, in a burst", func(t *testing.T, f *slowStartFleet) {
		f.startServer(0, 50)
		f.after(1500, func() {
			f.scaleLoad(6)
			for i := range f.agents {
				f.restart(t, i)
			}
		})
	}},
	{"unresponsive in slow start", func(_ *testing.T, f *slowStartFleet) {
		failBetween(f, 1000, 3500, ConnectFailed, func(a Addr) bool { return a == addr(0) })
	}},
	{"the warm ones fail", func(_ *testing.T, f *slowStartFleet) {
		failBetween(f, 1500, 4000, Error, func(a Addr) bool { return a != addr(0) && a[3]%2 == 0 })
	}},
	{"the warm ones are full", func(_ *testing.T, f *slowStartFleet) {
		failBetween(f, 1500, 4000, Full, func(a Addr) bool { return a != addr(0) })
	}},
}

// All agents together never send a server in slow start more calls than it can handle in a crash window: N calls,
// plus 2*sqrt(N) + 2 for random variation. This holds even when one call per agent without a budget would exceed
// the limit.
func TestFleetKeepsSlowStartBudgets(t *testing.T) {
	for _, c := range slowStartContracts {
		for _, agents := range []int{5, 20, 30} {
			for _, scenario := range slowStartScenarios {
				t.Run(fmt.Sprint(c.name, "/", agents, "/", scenario.name), func(t *testing.T) {
					t.Parallel()
					checkSlowStartBudgets(t, c.contract, agents, scenario.begin)
				})
			}
		}
	}
}

// checkSlowStartBudgets runs a scenario with six seeds and checks the worst window of all runs.
func checkSlowStartBudgets(t *testing.T, contract Contract, agents int, begin func(t *testing.T, f *slowStartFleet)) {
	t.Helper()
	var worst []float64
	worstWindow := ""
	for seed := range uint64(6) {
		f := newSlowStartFleet(t, seed, agents, 14, 0.75, slowStartSettings(contract))
		f.run(f.now + 15000)
		begin(t, f)
		f.run(f.now + contract.SlowStartMs)
		used, window := f.worstWindow()
		if len(worst) == 0 || used > slices.Max(worst) {
			worstWindow = fmt.Sprintf("seed %d: %s", seed, window)
		}
		worst = append(worst, used)
	}
	slices.Sort(worst)
	t.Logf("fractions of the slack used: median %.2f, maximum %.2f (%s)", worst[len(worst)/2], worst[len(worst)-1], worstWindow)
	if worst[len(worst)-1] > 1 {
		t.Errorf("a server in slow start was overloaded: %s", worstWindow)
	}
}

// slowStartSettings returns the settings of a fleet under the contract.
func slowStartSettings(contract Contract) Settings {
	set := testSettings()
	set.Contract = contract
	set.Contract.ListPollWithinMs, set.Contract.DrainGraceMs = 8000, 500
	set.Classes[0].TargetMs, set.Classes[0].DeadlineMs = 1200, 5000
	set.Limits.KeepaliveMs, set.Limits.MaxAttempts = 30000, 6
	return set
}
