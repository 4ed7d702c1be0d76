package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/report"
	"knotrouter/internal/lab/scale"
)

const (
	// resultsDir is the default parent folder of results.
	resultsDir = "found"
	// fileTimeLayout is the time layout in the names of result files and folders.
	fileTimeLayout = "20060102-150405"
)

// runCommand returns the command that runs an experiment or a scale run.
func runCommand(out, progress io.Writer) *cobra.Command {
	var options experiment.Options
	var quiet bool
	cmd := &cobra.Command{Use: "run FILE.toml", Short: "Play an experiment and judge it", Args: cobra.ExactArgs(1),
		Long: "run plays an experiment, writes summary.json, report.md and plots into a folder, and\n" +
			"prints last one line: held with exit code 0, or what broke with exit code 1. A file that\n" +
			"makes no sense is one line that names the key, and exit code 2.",
		Example: "  lab run experiments/steady.toml\n  lab run experiments/herd.toml --seed 7 --out /tmp/herd-7 --quiet",
		RunE: func(cmd *cobra.Command, args []string) error {
			if scale.IsExperiment(args[0]) {
				return runScale(cmd.Context(), out, progress, args[0], options, quiet)
			}
			return runExperiment(cmd.Context(), out, progress, args[0], options, quiet)
		}}
	cmd.Flags().Uint64Var(&options.Seed, "seed", 0, "draw servers, arrivals and faults from this seed (default: the file's)")
	cmd.Flags().StringVar(&options.OutputDir, "out", "", "folder for the results (default: found/NAME-TIME)")
	cmd.Flags().BoolVar(&quiet, "quiet", false, "print the verdict only")
	return cmd
}

// runExperiment runs the experiment of a file, writes its results and prints them. It returns
// errChecksFailed if the experiment's checks failed or it was interrupted.
func runExperiment(ctx context.Context, out, progress io.Writer, path string, options experiment.Options, quiet bool) error {
	config, err := experiment.Load(path)
	if err != nil {
		return err
	}
	if options.OutputDir == "" {
		options.OutputDir = filepath.Join(resultsDir, fmt.Sprintf("%s-%s", config.Name, time.Now().Format(fileTimeLayout)))
	}
	stopProgress := func() {}
	if !quiet {
		options.Progress, stopProgress = newProgress(progress, config)
	}
	summary, err := experiment.Run(ctx, config, options)
	stopProgress()
	if experiment.Interrupted(err) {
		fmt.Fprintf(out, "%s seed %d: broke: interrupted before its end\n", config.Name, effectiveSeed(config, options))
		return errChecksFailed
	}
	if err != nil {
		return err
	}
	if err := report.Write(options.OutputDir, summary); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	return printSummary(out, options.OutputDir, summary, quiet)
}

// effectiveSeed returns the seed of the options, or the experiment file's seed if that is 0.
func effectiveSeed(config *experiment.Config, options experiment.Options) uint64 {
	if options.Seed != 0 {
		return options.Seed
	}
	return config.Seed
}

// printSummary prints the results of an experiment. The last line says whether its checks passed; if
// they did not, it returns errChecksFailed.
func printSummary(out io.Writer, dir string, summary *experiment.Summary, quiet bool) error {
	if !quiet {
		if err := report.Tables(out, summary); err != nil {
			return err
		}
		fmt.Fprintf(out, "\nlab: requests left %.2f ms late at p99; results and plots in %s\n", summary.Lab.LatenessP99Ms, dir)
		for _, violation := range summary.Violations {
			fmt.Fprintln(out, "broke:", violation)
		}
	}
	fmt.Fprintln(out, report.ResultLine(summary))
	if !summary.Passed {
		return errChecksFailed
	}
	return nil
}
