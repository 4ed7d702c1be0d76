package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/capacity"
	"knotrouter/internal/lab/cost"
)

// costCommand returns the command that measures the CPU time, memory and added latency of an agent.
func costCommand(out, progress io.Writer) *cobra.Command {
	options := cost.Options{}
	var file, profile string
	cmd := &cobra.Command{Use: "cost", Short: "Measure what one agent costs by the number of servers it knows", Args: cobra.NoArgs,
		Long: "cost starts a real agent for each number of known servers and each rate, and measures its\n" +
			"processor time a call, its memory and the latency that it adds: each call is made once\n" +
			"through the agent and once directly. The figures are those of this machine, which has to\n" +
			"be idle otherwise. The last line is the verdict: held with exit code 0, or what broke with\n" +
			"exit code 1. A flag that makes no sense is one line that names it, and exit code 2.",
		Example: "  lab cost\n  lab cost --servers 20,39000 --rates 115 --for 30s --seed 7 --out docs/capacity/agent-cost.json\n" +
			"  lab cost --profile found/profiles",
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Command = commandLine(&options)
			options.Progress = func(step cost.Step) { printStep(progress, step) }
			if file == "" {
				file = filepath.Join(resultsDir, cost.Experiment+"-"+time.Now().Format(fileTimeLayout)+".json")
			}
			return measureCost(cmd.Context(), out, &options, file, profile)
		}}
	flags := cmd.Flags()
	flags.StringVar(&options.Agent, "agent", "bin/agent", "the agent's program")
	flags.IntSliceVar(&options.Servers, "servers", []int{20, 200, 2000, 10000, 39000}, "numbers of servers that the agent knows")
	flags.Float64SliceVar(&options.Rates, "rates", []float64{115, 1150}, "calls a second")
	flags.DurationVar(&options.Window, "for", 10*time.Second, "how long each number is measured at each rate")
	flags.Uint64Var(&options.Seed, "seed", 1, "draw arrivals, keys and order from this seed")
	flags.StringVar(&options.Variant, "variant", "", "what distinguishes this result from others, such as before and after")
	flags.StringVar(&file, "out", "", "file for the results (default: found/agent-cost-TIME.json)")
	flags.StringVar(&profile, "profile", "", "folder for CPU profiles of the agent's benchmark, made after the measurement; needs the source tree")
	return cmd
}

// measureCost runs the measurement and writes the results to a file. Unless profile is "", it then writes
// CPU profiles to the folder profile. The last line that it prints says whether the limits held; if they
// did not, or the measurement was interrupted, it returns errChecksFailed.
func measureCost(ctx context.Context, out io.Writer, options *cost.Options, file, profile string) error {
	results, violations, err := cost.Run(ctx, options)
	if cost.Interrupted(ctx, err) {
		fmt.Fprintf(out, "%s seed %d: broke: interrupted before its end\n", cost.Experiment, options.Seed)
		return errChecksFailed
	}
	if err != nil {
		return err
	}
	if err := capacity.Write(file, results); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	fmt.Fprintln(out, "results in", file)
	if profile != "" {
		if err := cost.Profile(ctx, profile, options.Servers, out); err != nil {
			return fmt.Errorf("--profile: %w", err)
		}
	}
	if len(violations) > 0 {
		fmt.Fprintf(out, "%s seed %d: broke: %s\n", cost.Experiment, options.Seed, strings.Join(violations, "; "))
		return errChecksFailed
	}
	fmt.Fprintf(out, "%s seed %d: held\n", cost.Experiment, options.Seed)
	return nil
}

// commandLine returns the command line that repeats a measurement.
func commandLine(o *cost.Options) string {
	var servers, rates []string
	for _, number := range o.Servers {
		servers = append(servers, strconv.Itoa(number))
	}
	for _, rate := range o.Rates {
		rates = append(rates, strconv.FormatFloat(rate, 'g', -1, 64))
	}
	return fmt.Sprintf("bin/lab cost --servers %s --rates %s --for %v --seed %d",
		strings.Join(servers, ","), strings.Join(rates, ","), o.Window, o.Seed)
}

// printStep prints a line when the measurement of a cell begins, and one with its result when it ends.
func printStep(progress io.Writer, step cost.Step) {
	if step.Cell == nil {
		fmt.Fprintf(progress, "[%d/%d] %d servers, %g calls/s ...\n", step.Number, step.Total, step.Servers, step.Rate)
		return
	}
	fmt.Fprintf(progress, "[%d/%d] %v\n", step.Number, step.Total, step.Cell)
}
