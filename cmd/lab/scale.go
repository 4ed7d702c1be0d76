package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"knotrouter/internal/lab/capacity"
	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/scale"
)

// runScale runs an experiment that has a [scale] table and prints its verdict. It returns errChecksFailed
// if the run was interrupted or a required size was not run.
func runScale(ctx context.Context, out, progress io.Writer, path string, o experiment.Options, quiet bool) error {
	config, err := scale.Load(path)
	if err != nil {
		return err
	}
	seed := o.Seed
	if seed == 0 {
		seed = config.Seed
	}
	options := scale.Options{Seed: seed, Out: o.OutputDir, Command: fmt.Sprintf("bin/lab run %s --seed %d", path, seed)}
	if options.Out == "" {
		options.Out = filepath.Join(resultsDir, fmt.Sprintf("%s-%s", config.Name, time.Now().Format(fileTimeLayout)))
	}
	startedAt := time.Now()
	if !quiet {
		options.Progress = func(line string) { fmt.Fprintf(progress, "%6.1f s  %s\n", time.Since(startedAt).Seconds(), line) }
	}
	results, notRun, err := scale.Run(ctx, config, options)
	if errors.Is(err, scale.ErrInterrupted) {
		fmt.Fprintf(out, "%s seed %d: broke: %v\n", config.Name, seed, err)
		return errChecksFailed
	}
	if err != nil {
		return err
	}
	if !quiet {
		if err := scale.Table(out, results); err != nil {
			return err
		}
		fmt.Fprintf(out, "\nlab: results in %s\n", filepath.Join(options.Out, scale.ResultsFile))
	}
	if len(notRun) > 0 {
		fmt.Fprintf(out, "%s seed %d: broke: %s\n", config.Name, seed, strings.Join(notRun, "; "))
		return errChecksFailed
	}
	fmt.Fprintf(out, "%s seed %d: held\n", config.Name, seed)
	return nil
}

// listScaleExperiment prints a line about a scale experiment, or the error if its file cannot be read.
func listScaleExperiment(out io.Writer, path string) {
	config, err := scale.Load(path)
	if err != nil {
		fmt.Fprintf(out, "%-28s cannot be read: %v\n", filepath.Base(path), err)
		return
	}
	description, _, _ := strings.Cut(strings.TrimSpace(config.About), "\n")
	sizes := config.Scale.Sizes
	fmt.Fprintf(out, "%-28s scale  %3d sizes, to %d servers  %s\n", filepath.Base(path), len(sizes), sizes[len(sizes)-1].Servers, description)
}

// isScaleResult reports whether a folder has the results of a scale run.
func isScaleResult(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, scale.ResultsFile))
	return err == nil
}

// compareScaleResults prints the results in the folders of two scale runs side by side.
func compareScaleResults(out io.Writer, first, second string) error {
	a, err := capacity.Read(filepath.Join(first, scale.ResultsFile))
	if err != nil {
		return err
	}
	b, err := capacity.Read(filepath.Join(second, scale.ResultsFile))
	if err != nil {
		return err
	}
	return scale.Compare(out, a, b)
}
