// Package cost measures the cost of one real agent as a function of the number of servers that it
// knows: the processor time per call, the memory, and the latency that it adds to a call.
//
// Each call is made twice, once through the agent and once directly to an emulated server. The two
// calls are in random order and pairGap apart, so that both see the machine in the same state. The
// arrival times are drawn from the seed in advance and no call waits for the response to another (an
// open loop). The direct calls reuse their connections and don't select a server, so their latency is
// the lower bound for a call. The listed servers share a few listeners; see Fleet.
//
// A measurement is a matrix of cells, one for each combination of a number of servers and a call
// rate. Run iterates over the cells. For each cell, measure starts an agent and collects its figures:
// newSchedule draws the calls, caller sends them and summarize aggregates their results. The figures
// are added to a capacity.Results, from which the capacity page is generated.
package cost

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"knotrouter/internal/lab/capacity"
)

// Experiment is the name of the measurement in the results.
const Experiment = "agent-cost"

// Bounds of Options.
const (
	MaxServers = 100_000
	MaxRate    = 20_000 // calls a second
	MinWindow  = 100 * time.Millisecond
	MaxWindow  = 10 * time.Minute
	maxCells   = 100
)

// Options says what to measure.
type Options struct {
	Agent    string        // path of the agent's executable
	Servers  []int         // numbers of servers that the agent knows
	Rates    []float64     // calls a second
	Window   time.Duration // length of the measured load of each cell
	Seed     uint64        // seed of the arrival times, the keys and the order of the calls
	Variant  string        // value of capacity.Results.Variant
	Command  string        // command line that repeats the measurement
	Progress func(Step)    // called for each step; may be nil
}

// Step reports that the measurement of a cell begins or has ended.
type Step struct {
	Number  int // number of the cell, counted from 1
	Total   int // number of cells
	Servers int
	Rate    float64 // calls a second
	Cell    *Cell   // the result; nil when the cell begins
}

// idleWindow is the time for which an agent is measured without load.
func (o *Options) idleWindow() time.Duration { return max(o.Window/3, MinWindow) }

// warmup is the length of the load before the measured window. An agent keeps idle connections for
// 15 s, so the number of its connections is steady only if warm-up and window together are longer.
func (o *Options) warmup() time.Duration { return o.Window }

// Validate returns an error that names the flag of the first invalid option, or nil.
func (o *Options) Validate() error {
	if err := o.validateCells(); err != nil {
		return err
	}
	if o.Window < MinWindow || o.Window > MaxWindow {
		return fmt.Errorf("--for: must be %v to %v, is %v", MinWindow, MaxWindow, o.Window)
	}
	if info, err := os.Stat(o.Agent); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("--agent: %s: no program there; build it first", o.Agent)
	}
	return nil
}

// validateCells checks the numbers of servers, the rates, and the number of cells.
func (o *Options) validateCells() error {
	if len(o.Servers) == 0 {
		return errors.New("--servers: none given")
	}
	if len(o.Rates) == 0 {
		return errors.New("--rates: none given")
	}
	for _, servers := range o.Servers {
		if servers < 1 || servers > MaxServers {
			return fmt.Errorf("--servers: must be 1 to %d, is %d", MaxServers, servers)
		}
	}
	for _, rate := range o.Rates {
		if !(rate > 0) || rate > MaxRate { // the negation also holds for NaN
			return fmt.Errorf("--rates: must be above 0 and at most %d, is %v", MaxRate, rate)
		}
	}
	if cells := len(o.Servers) * len(o.Rates); cells > maxCells {
		return fmt.Errorf("--servers: %d cells with --rates, at most %d", cells, maxCells)
	}
	return nil
}

// Run measures each number of servers at each rate, one cell after the other. It returns the results
// and the violations of all cells, one line each. A cell that could not be measured counts as a
// violation, and the remaining cells are still measured. Run returns an error for invalid options, and
// the context's error if the context ends first; see Interrupted.
func Run(ctx context.Context, o *Options) (*capacity.Results, []string, error) {
	if err := o.Validate(); err != nil {
		return nil, nil, err
	}
	program, err := filepath.Abs(o.Agent)
	if err != nil {
		return nil, nil, fmt.Errorf("--agent: %w", err)
	}
	o.Agent = program
	results := &capacity.Results{Experiment: Experiment, Variant: o.Variant, Command: o.Command, Seed: o.Seed,
		Machine: describeMachine(), Started: time.Now().UTC().Truncate(time.Second)}
	results.Commit, results.Dirty = buildCommit(program)
	var violations []string
	for i, servers := range o.Servers {
		run, runViolations, err := runSize(ctx, o, servers, i*len(o.Rates))
		if err != nil {
			return nil, nil, err
		}
		results.Runs = append(results.Runs, *run)
		violations = append(violations, runViolations...)
	}
	return results, violations, nil
}

// runSize measures one number of servers at each rate. measuredCells is the number of cells measured before.
// The reasons for cells that could not be measured are in the run's NotRun and among the violations.
func runSize(ctx context.Context, o *Options, servers, measuredCells int) (*capacity.Run, []string, error) {
	run := &capacity.Run{Servers: servers, Watches: 1, Services: 1}
	fleet, err := NewFleet(servers)
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	var violations, notRun []string
	for i, rate := range o.Rates {
		step := Step{Number: measuredCells + i + 1, Total: len(o.Servers) * len(o.Rates), Servers: servers, Rate: rate}
		o.reportProgress(step)
		cell, err := measure(ctx, o, fleet, servers, rate)
		if Interrupted(ctx, err) {
			return nil, nil, err
		}
		prefix := fmt.Sprintf("%d servers, %s: ", servers, loadName(rate))
		if err != nil {
			notRun = append(notRun, prefix+err.Error())
			continue
		}
		cell.addTo(run)
		for _, violation := range cell.Violations {
			violations = append(violations, prefix+violation)
		}
		step.Cell = cell
		o.reportProgress(step)
	}
	run.NotRun = strings.Join(notRun, "; ")
	return run, append(violations, notRun...), nil
}

func (o *Options) reportProgress(step Step) {
	if o.Progress != nil {
		o.Progress(step)
	}
}

// Interrupted reports whether a measurement returned err because its context had ended.
func Interrupted(ctx context.Context, err error) bool {
	return ctx.Err() != nil && errors.Is(err, ctx.Err())
}
