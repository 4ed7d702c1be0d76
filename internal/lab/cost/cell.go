package cost

import (
	"context"
	"fmt"
	"os"
	"time"

	"knotrouter/internal/lab/process"
)

const (
	// maxLateness is the limit on the p99 of the lateness of the lab's sends. Above it the machine was
	// too busy and the cell is invalid.
	maxLateness = 10 * time.Millisecond
	// minServedShare is the least share of the calls through the agent that has to be served.
	minServedShare = 0.99
)

// Cell is the result of measuring one agent with one number of known servers and one call rate.
type Cell struct {
	Servers    int
	Rate       float64  // calls a second
	Violations []string // reasons why the cell is invalid, one line each

	idleCores float64       // cores that the agent used without load
	cores     float64       // mean number of cores that the agent used in the window
	window    time.Duration // time from the start of the load to the last response
	cpu       time.Duration // processor time that the agent used in the window
	rssMB     float64       // resident memory at the window's end
	peakRSSMB float64       // largest resident memory since the agent's start
	counts    eventCounts   // events in the window
	load      *summary      // results of the calls in the window
}

// eventCounts holds numbers of events at the emulated servers and at the list service.
type eventCounts struct{ probes, connections, fullLists, watches int64 }

// counts returns the counts since the start of the fleet, without the connections that the caller
// opened itself.
func (f *Fleet) counts(c *caller) eventCounts {
	return eventCounts{
		probes:      f.Counters.Probes.Load(),
		connections: f.Counters.Connections.Load() - c.directDials.Load(),
		fullLists:   f.Counters.FullLists.Load(),
		watches:     f.Counters.Watches.Load(),
	}
}

func (c eventCounts) sub(earlier eventCounts) eventCounts {
	return eventCounts{
		probes:      c.probes - earlier.probes,
		connections: c.connections - earlier.connections,
		fullLists:   c.fullLists - earlier.fullLists,
		watches:     c.watches - earlier.watches,
	}
}

// measure starts an agent and measures it without load and then, after a warm-up, under load. Each cell
// has its own agent, so that memory and connections of earlier cells don't count.
func measure(ctx context.Context, o *Options, fleet *Fleet, servers int, rate float64) (*Cell, error) {
	dir, err := os.MkdirTemp("", "agent-cost-")
	if err != nil {
		return nil, fmt.Errorf("folder of the agent: %w", err)
	}
	defer os.RemoveAll(dir)
	supervisor := process.New(nil)
	defer supervisor.Close()
	agent, addr, err := startAgent(ctx, o, fleet, supervisor, dir)
	if err != nil {
		return nil, err
	}
	cell := &Cell{Servers: servers, Rate: rate}
	if cell.idleCores, err = measureIdleCores(ctx, agent, o.idleWindow()); err != nil {
		return nil, err
	}
	caller := newCaller(addr, fleet.Addresses)
	defer caller.close()
	if _, err := caller.run(ctx, newSchedule(rate, o.warmup(), o.Seed+1)); err != nil {
		return nil, err
	}
	if err := cell.measureUnderLoad(ctx, o, fleet, agent, caller); err != nil {
		return nil, err
	}
	cell.checkLimits()
	return cell, nil
}

// measureUnderLoad makes the calls of the window and sets the cell's figures. The window ends with the
// last response.
func (c *Cell) measureUnderLoad(ctx context.Context, o *Options, fleet *Fleet, agent *process.Process, caller *caller) error {
	schedule := newSchedule(c.Rate, o.Window, o.Seed)
	countsBefore, usageBefore, start := fleet.counts(caller), usage(agent), time.Now()
	results, err := caller.run(ctx, schedule)
	if err != nil {
		return err
	}
	usageAfter := usage(agent)
	c.window, c.cpu = time.Since(start), usageAfter.CPU-usageBefore.CPU
	c.cores = c.cpu.Seconds() / c.window.Seconds()
	c.rssMB = usageAfter.RSSMB
	c.counts = fleet.counts(caller).sub(countsBefore)
	c.load = summarize(results)
	c.peakRSSMB, err = agent.PeakRSSMB()
	if err != nil && !agent.Running() {
		c.Violations = append(c.Violations, "the agent ended: "+agent.LastLogLine())
		return nil
	}
	return err
}

// checkLimits adds a violation for each figure beyond its limit.
func (c *Cell) checkLimits() {
	violate := func(format string, args ...any) { c.Violations = append(c.Violations, fmt.Sprintf(format, args...)) }
	if share := c.servedShare(); share < minServedShare {
		violate("served share %.4f, at least %.2f (refused %.4f, failed %.4f, unanswered %.4f)", share, minServedShare,
			c.load.share(throughAgent, refused), c.load.share(throughAgent, failed), c.load.share(throughAgent, unanswered))
	}
	if unserved := c.load.pairs - c.load.outcomes[direct][served]; unserved > 0 {
		violate("%d of %d direct calls not served", unserved, c.load.pairs)
	}
	if c.peakRSSMB > AgentMemoryMB {
		violate("peak memory %.0f MB, at most %d", c.peakRSSMB, AgentMemoryMB)
	}
	if lateness := quantileMs(c.load.lateness, 99); lateness > milliseconds(maxLateness) {
		violate("the lab sent %.1f ms late at p99, at most %.0f: the machine is too busy", lateness, milliseconds(maxLateness))
	}
}

// servedShare returns the share of calls through the agent that were served.
func (c *Cell) servedShare() float64 { return c.load.share(throughAgent, served) }

// perCall divides a figure of the window by the number of calls made through the agent.
func (c *Cell) perCall(figure float64) float64 { return figure / max(float64(c.load.pairs), 1) }
