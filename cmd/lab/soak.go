package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"knotrouter/internal/lab/soak"
)

const (
	// maxSoakSeeds bounds the number of seeds of one command, and maxSoakConcurrency the number that
	// run at a time.
	maxSoakSeeds, maxSoakConcurrency = 10_000, 16
	// maxShrinkTimeFactor is the time limit of --shrink, as a multiple of the duration of a run.
	maxShrinkTimeFactor = 12
)

// soakOptions are the flags of the command soak.
type soakOptions struct {
	seeds       string
	duration    time.Duration
	outputDir   string
	agent       string
	concurrency int
	quiet       bool
	shrink      bool
}

// soakCommand returns the command that runs randomly generated experiments.
func soakCommand(out io.Writer) *cobra.Command {
	var options soakOptions
	cmd := &cobra.Command{Use: "soak", Short: "Play experiments that are drawn from seeds, with all kinds of faults", Args: cobra.NoArgs,
		Long: "soak draws a fleet, its settings and a schedule of faults from each seed, plays it on real\n" +
			"processes and judges it by the rules alone. A seed always draws the same experiment. A run\n" +
			"that the machine was too busy for is void. The last line counts the verdicts. Exit code 1\n" +
			"means that a seed broke a rule, or that none held; a flag that makes no sense is one line\n" +
			"that names it, and exit code 2.",
		Example: "  lab soak --seeds 1-50 --for 60s --quiet\n  lab soak --seeds 17 --for 60s --shrink",
		RunE: func(cmd *cobra.Command, _ []string) error {
			seeds, err := options.parse()
			if err != nil {
				return err
			}
			return runSoak(cmd.Context(), out, &options, seeds)
		}}
	cmd.Flags().StringVar(&options.seeds, "seeds", "", "the seeds, as A-B or A")
	cmd.Flags().DurationVar(&options.duration, "for", time.Minute, "how long each is played")
	cmd.Flags().StringVar(&options.outputDir, "out", "", "folder for the results (default: found/soak-TIME)")
	cmd.Flags().StringVar(&options.agent, "agent", "bin/agent", "the agent's program")
	cmd.Flags().IntVar(&options.concurrency, "beside", 1, "how many are played at once")
	cmd.Flags().BoolVar(&options.quiet, "quiet", false, "print only what broke or is void, and the count")
	cmd.Flags().BoolVar(&options.shrink, "shrink", false, "drop the faults of a seed that broke one by one while it still breaks")
	return cmd
}

// seedRangePattern matches the value of --seeds: A or A-B.
var seedRangePattern = regexp.MustCompile(`^(\d{1,18})(?:-(\d{1,18}))?$`)

// parse validates the flags and returns the seeds. Its error names the invalid flag.
func (o *soakOptions) parse() (seeds []uint64, err error) {
	match := seedRangePattern.FindStringSubmatch(o.seeds)
	if match == nil {
		return nil, fmt.Errorf("--seeds: must be A-B or A, is %q", o.seeds)
	}
	first, _ := strconv.ParseUint(match[1], 10, 64)
	last := first
	if match[2] != "" {
		last, _ = strconv.ParseUint(match[2], 10, 64)
	}
	switch {
	case first > last || last-first >= maxSoakSeeds:
		return nil, fmt.Errorf("--seeds: must be 1 to %d seeds, the first one first, is %q", maxSoakSeeds, o.seeds)
	case o.duration < soak.MinDuration || o.duration > time.Hour:
		return nil, fmt.Errorf("--for: must be %v to 1h, is %v", soak.MinDuration, o.duration)
	case o.concurrency < 1 || o.concurrency > maxSoakConcurrency:
		return nil, fmt.Errorf("--beside: must be 1 to %d, is %d", maxSoakConcurrency, o.concurrency)
	}
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// runSoak runs the experiments of the seeds and prints their results in seed order. It returns
// errChecksFailed if an experiment violated a rule or failed to run, if none passed, or if the soak was
// interrupted.
func runSoak(ctx context.Context, out io.Writer, options *soakOptions, seeds []uint64) error {
	if options.outputDir == "" {
		options.outputDir = filepath.Join(resultsDir, "soak-"+time.Now().Format(fileTimeLayout))
	}
	results := make([]chan soak.Result, len(seeds))
	for i := range results {
		results[i] = make(chan soak.Result, 1)
	}
	var group errgroup.Group
	group.SetLimit(options.concurrency)
	go func() {
		for i, seed := range seeds {
			group.Go(func() error {
				results[i] <- options.runSeed(ctx, out, seed)
				return nil
			})
		}
	}()
	counts := map[soak.Verdict]int{}
	for i := range seeds {
		result := <-results[i]
		if ctx.Err() != nil && result.Verdict == soak.RunFailed {
			break // interrupted
		}
		counts[result.Verdict]++
		options.print(out, result)
	}
	fmt.Fprintf(out, "soak: %d held, %d broke, %d void, %d failed of %d seeds\n",
		counts[soak.Passed], counts[soak.Violated], counts[soak.Void], counts[soak.RunFailed], len(seeds))
	if counts[soak.Violated]+counts[soak.RunFailed] > 0 || counts[soak.Passed] == 0 || ctx.Err() != nil {
		return errChecksFailed
	}
	return nil
}

// runSeed runs the experiment of a seed. If it violates a rule and --shrink is set, runSeed shrinks the
// experiment and prints the result.
func (o *soakOptions) runSeed(ctx context.Context, out io.Writer, seed uint64) soak.Result {
	if ctx.Err() != nil {
		return soak.Result{Seed: seed, Verdict: soak.RunFailed, Reason: "interrupted"}
	}
	e := soak.Draw(seed, o.duration)
	dir := filepath.Join(o.outputDir, e.Name)
	result := soak.Run(ctx, e, seed, o.agent, dir)
	if o.shrink && result.Verdict == soak.Violated {
		shrunk := soak.Shrink(ctx, e, seed, o.agent, filepath.Join(dir, "shrunk"), maxShrinkTimeFactor*o.duration)
		fmt.Fprintf(out, "seed %d still broke with:\n%s", seed, shrunk.Text())
	}
	return result
}

// print prints the result of a seed and, unless it passed, the command that runs the seed again. With
// --quiet it omits seeds that passed.
func (o *soakOptions) print(out io.Writer, result soak.Result) {
	if o.quiet && result.Verdict == soak.Passed {
		return
	}
	fmt.Fprintf(out, "seed %d: %s", result.Seed, result.Verdict)
	if result.Reason != "" {
		fmt.Fprintf(out, ": %s", result.Reason)
	}
	if result.Verdict != soak.Passed {
		fmt.Fprintf(out, "\n  bin/lab soak --seeds %d --for %v; logs and timeline in %s", result.Seed, o.duration, result.Dir)
	}
	fmt.Fprintln(out)
}
