// Package cost measures what one real agent costs by the number of servers that it knows:
// processor time a call, memory, and the latency that it adds.
//
// Each call is made twice, through the agent and directly to an emulated server, in random
// order a few milliseconds apart, so that both see the same machine. Arrivals are drawn ahead
// from the seed and no call waits for another's answer (an open loop). The direct calls keep
// their connections and choose no server, so they are the least that a call can take. The
// listed servers share a handful of listeners; see Fleet.
package cost

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"knotrouter/internal/lab/capacity"
)

// Experiment is the name of the measurement in the results.
const Experiment = "agent-cost"

// Bounds of what can be asked for.
const (
	MaxServers = 100_000
	MaxRate    = 20_000
	MinWindow  = 100 * time.Millisecond
	MaxWindow  = 10 * time.Minute
	maxCells   = 100
)

// Options is what to measure.
type Options struct {
	Agent    string // path of the agent's program
	Servers  []int
	Rates    []float64
	Window   time.Duration // of each cell
	Seed     uint64
	Variant  string
	Command  string     // that repeats the measurement
	Progress func(Step) // told of each step; it may be nil
}

// Step says that a cell begins, or has ended with the result Cell.
type Step struct {
	Number, Of int
	Servers    int
	Rate       float64
	Cell       *Cell
}

// idleWindow is how long an agent is measured without load.
func (o *Options) idleWindow() time.Duration { return max(o.Window/3, MinWindow) }

// warmup is how long the load lasts before the measured window. An agent keeps idle
// connections for 15 s: the number of those that it holds is steady only once warm-up and
// window together are longer than that.
func (o *Options) warmup() time.Duration { return o.Window }

// Validate reports the first option that makes no sense by its flag.
func (o *Options) Validate() error {
	if len(o.Servers) == 0 {
		return fmt.Errorf("--servers: none given")
	}
	if len(o.Rates) == 0 {
		return fmt.Errorf("--rates: none given")
	}
	for _, n := range o.Servers {
		if n < 1 || n > MaxServers {
			return fmt.Errorf("--servers: must be 1 to %d, is %d", MaxServers, n)
		}
	}
	for _, rate := range o.Rates {
		if !(rate > 0) || rate > MaxRate {
			return fmt.Errorf("--rates: must be above 0 and at most %d, is %v", MaxRate, rate)
		}
	}
	if cells := len(o.Servers) * len(o.Rates); cells > maxCells {
		return fmt.Errorf("--servers: %d cells with --rates, at most %d", cells, maxCells)
	}
	if o.Window < MinWindow || o.Window > MaxWindow {
		return fmt.Errorf("--for: must be %v to %v, is %v", MinWindow, MaxWindow, o.Window)
	}
	if st, err := os.Stat(o.Agent); err != nil || st.IsDir() || st.Mode()&0o111 == 0 {
		return fmt.Errorf("--agent: %s: no program there; build it first", o.Agent)
	}
	return nil
}

// Run measures each number of servers at each rate, one cell after the other. It returns the
// results and what broke, a line each.
func Run(ctx context.Context, o *Options) (*capacity.Results, []string, error) {
	if err := o.Validate(); err != nil {
		return nil, nil, err
	}
	agent, err := filepath.Abs(o.Agent)
	if err != nil {
		return nil, nil, fmt.Errorf("--agent: %w", err)
	}
	o.Agent = agent
	results := &capacity.Results{Experiment: Experiment, Variant: o.Variant, Command: o.Command, Seed: o.Seed,
		Machine: machine(), Started: time.Now().UTC().Truncate(time.Second)}
	results.Commit, results.Dirty = builtFrom(agent)
	var broke []string
	for i, servers := range o.Servers {
		run, failed, err := runSize(ctx, o, servers, i*len(o.Rates))
		if err != nil {
			return nil, nil, err
		}
		results.Runs = append(results.Runs, *run)
		broke = append(broke, failed...)
	}
	return results, broke, nil
}

// runSize measures one number of servers at each rate. An agent that can't be run there is
// said so in the run.
func runSize(ctx context.Context, o *Options, servers, done int) (*capacity.Run, []string, error) {
	run := &capacity.Run{Servers: servers, Watches: 1, Services: 1}
	fleet, err := NewFleet(servers)
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	var broke, notRun []string
	for i, rate := range o.Rates {
		step := Step{Number: done + i + 1, Of: len(o.Servers) * len(o.Rates), Servers: servers, Rate: rate}
		o.tell(step)
		cell, err := measure(ctx, o, fleet, servers, rate)
		if Interrupted(ctx, err) {
			return nil, nil, err
		}
		at := fmt.Sprintf("%d servers, %s: ", servers, loadName(rate))
		if err != nil {
			notRun = append(notRun, at+err.Error())
			continue
		}
		cell.addTo(run)
		for _, text := range cell.Broke {
			broke = append(broke, at+text)
		}
		step.Cell = cell
		o.tell(step)
	}
	run.NotRun = strings.Join(notRun, "; ")
	return run, append(broke, notRun...), nil
}

func (o *Options) tell(s Step) {
	if o.Progress != nil {
		o.Progress(s)
	}
}
