package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/report"
)

// Verdict is the outcome of the run of a seed.
type Verdict string

// The verdicts.
const (
	Passed    Verdict = "held"
	Violated  Verdict = "broke"
	Void      Verdict = "void"   // the machine was too busy for a meaningful run
	RunFailed Verdict = "failed" // the experiment could not be run
)

// Result is the result of one seed.
type Result struct {
	Seed    uint64
	Verdict Verdict
	Reason  string // the first violation, or why there is no verdict
	Dir     string // directory of the experiment file, logs and report
}

// Run runs an experiment with the given agent executable, and writes the experiment file and the results
// into a directory. The seed only labels the result.
func Run(ctx context.Context, e *Experiment, seed uint64, agent, dir string) Result {
	result := Result{Seed: seed, Verdict: RunFailed, Dir: dir}
	config, err := experiment.Parse([]byte(e.Text()))
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, e.Name+".toml"), []byte(e.Text()), 0o644)
	}
	if err != nil {
		result.Reason = err.Error()
		return result
	}
	config.Agents.Command = agent
	summary, err := experiment.Run(ctx, config, experiment.Options{OutputDir: dir})
	if err != nil {
		result.Reason = err.Error()
		return result
	}
	if err := report.Write(dir, summary); err != nil {
		result.Reason = err.Error()
		return result
	}
	result.Verdict, result.Reason = verdictOf(summary)
	return result
}

// verdictOf returns the verdict on a run. A run in which the lab itself was late is void, because the lab may
// have caused the violations itself.
func verdictOf(summary *experiment.Summary) (verdict Verdict, reason string) {
	lab := &summary.Lab
	if lab.TooLate {
		return Void, fmt.Sprintf("the lab sent requests %.1f ms late at p99", lab.LatenessP99Ms)
	}
	if summary.Passed {
		return Passed, ""
	}
	reason = summary.Violations[0]
	if examples := summary.Fleets[0].Examples; len(examples) > 0 {
		first := &examples[0]
		reason += fmt.Sprintf("; first at %.3f s: %s %s %s: %s", first.AtS, first.Agent, first.Server, first.Request, first.Text)
	}
	return Violated, reason
}

// Shrink minimizes an experiment whose run ended with violations. It removes the faults one by one and keeps
// each removal after which the run still ends with violations, until the time limit. It returns the smallest
// such experiment found.
func Shrink(ctx context.Context, e *Experiment, seed uint64, agent, dir string, limit time.Duration) *Experiment {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := 0; i < len(e.Faults) && ctx.Err() == nil; {
		smaller := e.Without(i)
		if result := Run(ctx, smaller, seed, agent, filepath.Join(dir, fmt.Sprintf("without-%s", e.Faults[i].Name))); result.Verdict == Violated {
			e = smaller
			continue
		}
		i++
	}
	return e
}
