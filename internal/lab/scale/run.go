package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"knotrouter/internal/lab/capacity"
)

// Options says how an experiment is run.
type Options struct {
	Seed     uint64            // seed of the run; 0 selects the seed of the experiment file
	Out      string            // folder of the results
	Command  string            // command line that repeats the run
	Progress func(line string) // called for each step of the run; may be nil
}

// ResultsFile is the name of the results file in the folder of a run.
const ResultsFile = "results.json"

// ErrInterrupted is returned by Run if its context ends first.
var ErrInterrupted = errors.New("interrupted before its end")

// Run runs all sizes one after the other, writes the results to ResultsFile in the folder options.Out
// and returns them, with a text for each required size that was not run. Its error is ErrInterrupted or
// a setup error. All processes that it started have ended when it returns.
func Run(ctx context.Context, config *Config, options Options) (*capacity.Results, []string, error) {
	seed := options.Seed
	if seed == 0 {
		seed = config.Seed
	}
	if options.Progress == nil {
		options.Progress = func(string) {}
	}
	if err := os.MkdirAll(options.Out, 0o755); err != nil {
		return nil, nil, fmt.Errorf("--out: %w", err)
	}
	commit, dirty := gitCommit()
	results := &capacity.Results{
		Experiment: config.Name,
		Variant:    config.Scale.Variant,
		Command:    options.Command,
		Commit:     commit,
		Dirty:      dirty,
		Seed:       seed,
		Machine:    describeMachine(),
		Started:    time.Now().UTC().Truncate(time.Second),
	}
	r := &runner{config: config, seed: seed, out: options.Out, progress: options.Progress, results: results}
	for _, size := range config.Scale.Sizes {
		if err := r.runSize(ctx, size); err != nil {
			if ctx.Err() != nil {
				return nil, nil, ErrInterrupted
			}
			return nil, nil, err
		}
		// Written after each size, so that an interrupted run keeps the results of the completed sizes.
		if err := capacity.Write(filepath.Join(options.Out, ResultsFile), results); err != nil {
			return nil, nil, fmt.Errorf("--out: %w", err)
		}
	}
	return results, r.failures, nil
}

// runner runs sizes and collects their results.
type runner struct {
	config   *Config
	seed     uint64
	out      string
	progress func(string)
	results  *capacity.Results
	failures []string // a text for each required size that was not run
}

// notRunError is the error of a size that can't be run to its end because a resource or a time limit
// was exceeded. The reason is stored in the results and the run continues with the next size.
type notRunError struct{ reason string }

// Error returns the reason.
func (e *notRunError) Error() string { return e.reason }

// runSize runs one size and adds its run to the results. Its error ends the whole run.
func (r *runner) runSize(ctx context.Context, size Size) error {
	s := &r.config.Scale
	wantedWatches := size.Watches
	size.Watches = min(size.Watches, maxWatchesInMemory(s, size))
	result := capacity.Run{
		Servers:          size.Servers,
		Watches:          size.Watches,
		Services:         size.Services,
		Subscribed:       s.Subscribed,
		ChangesPerSecond: (s.ConfigurationsPerDay + s.RestartsPerDay) / secondsPerDay,
		Measurements:     []capacity.Measurement{},
	}
	name := fmt.Sprintf("%d servers, %d watches", size.Servers, size.Watches)
	r.progress(name + ": starting")
	if size.Watches < wantedWatches {
		r.progress(fmt.Sprintf("%s: %d watches were asked for; %d MiB of memory carry %d", name, wantedWatches, s.MemoryMiB, size.Watches))
	}
	current := &sizeRun{runner: r, name: name, size: size, result: &result}
	err := current.run(ctx)
	var notRun *notRunError
	switch {
	case errors.As(err, &notRun):
		result.NotRun = notRun.reason
		r.progress(name + ": not run: " + notRun.reason)
		if s.RequireAll {
			r.failures = append(r.failures, fmt.Sprintf("%s not run: %s", name, notRun.reason))
		}
	case err != nil:
		return err
	}
	r.results.Runs = append(r.results.Runs, result)
	return nil
}

// tableCopies is the number of copies of an entry that a reader with a subscription keeps in memory:
// one in its table and, as in a real agent, one in the table by service.
const tableCopies = 2

// readersMemoryShare is the share of the memory limit that is reserved for hollow readers. The rest
// is for control-plane servers and real agents.
const readersMemoryShare = 0.8

// maxWatchesInMemory returns the number of readers whose lists fit in the memory limit, but at least 1.
// It is estimated from the number of entries that each reader keeps.
func maxWatchesInMemory(s *Scale, size Size) int {
	entries := float64(size.Servers)
	if s.Subscribed > 0 {
		entries *= tableCopies * float64(s.Subscribed) / float64(size.Services)
	}
	bytes := readersMemoryShare * float64(s.MemoryMiB) * (1 << 20)
	return max(int(math.Floor(bytes/(entries*float64(s.EntryBytes)))), 1)
}
