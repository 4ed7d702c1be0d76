package experiment

import (
	"context"
	"fmt"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
)

const (
	sampleInterval = 500 * time.Millisecond
	// sweepInterval is the interval at which the checker drops requests that ended long ago.
	sweepInterval = 5 * time.Second
)

// sample is the state of a fleet at one time. The int64 counts are totals since the fleet was built.
type sample struct {
	at time.Duration // time since the load began

	attempts    int64 // attempts that arrived at servers
	connections int64 // connections that were opened to servers
	probes      int64
	listCalls   int64

	openConnections int
	warmingUp       int // servers that are warming up
	overloaded      int // servers that are overloaded
	down            int // servers without a process
	agents          int // agents whose process runs
}

// collectSamples takes samples periodically, and a last one when the context ends. It also makes the checker
// drop requests that ended long ago.
func (fl *fleet) collectSamples(ctx context.Context, loadStart time.Duration) []sample {
	var samples []sample
	sweptAt := time.Duration(0)
	for {
		samples = append(samples, fl.takeSample(loadStart))
		if fl.clock()-sweptAt > sweepInterval {
			sweptAt = fl.clock()
			fl.checker.Sweep()
		}
		if !sleep(ctx, sampleInterval) {
			return append(samples, fl.takeSample(loadStart))
		}
	}
}

// takeSample returns the current state of the fleet, and reports agents that exceed their limits.
func (fl *fleet) takeSample(loadStart time.Duration) sample {
	var s sample
	for _, srv := range fl.servers {
		state := srv.State()
		s.attempts += srv.Arrived.Load()
		s.connections += srv.Connections.Load()
		s.probes += srv.Probes.Load()
		s.openConnections += state.OpenConnections
		switch {
		case state.Health == endpoints.Removed:
			s.down++
		case state.Overloaded:
			s.overloaded++
		case state.WarmupFactor < 1:
			s.warmingUp++
		}
	}
	s.listCalls = fl.discovery.Counters.Calls.Load()
	for _, agent := range fl.agents {
		if agent.process.Running() {
			s.agents++
		}
		fl.checkLimits(agent)
	}
	s.at = fl.clock() - loadStart
	return s
}

// checkLimits reports a breach if an agent exceeds its memory or descriptor limit.
func (fl *fleet) checkLimits(agent *agentProcess) {
	usage, _, killed := agent.process.SampleUsage()
	if killed {
		fl.checker.ReportBreach(check.RuleLimit, agent.index, fmt.Sprintf("killed at %.0f MB of at most %.0f", usage.RSSMB, fl.config.Agents.MemoryMB))
	}
	if usage.Descriptors > fl.config.Agents.Sockets {
		fl.checker.ReportBreach(check.RuleLimit, agent.index, fmt.Sprintf("%d descriptors of at most %d", usage.Descriptors, fl.config.Agents.Sockets))
	}
}
