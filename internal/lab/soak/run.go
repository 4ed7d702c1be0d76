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

// Verdict is how a seed's run ended.
type Verdict string

// The verdicts.
const (
	Passed    Verdict = "held"
	Violated  Verdict = "broke"
	Void      Verdict = "void"   // the machine was too busy to judge
	RunFailed Verdict = "failed" // the run could not be made
)

// Result is the result of one seed.
type Result struct {
	Seed    uint64
	Verdict Verdict
	Reason  string // what broke, or why there is no verdict
	Dir     string // of the experiment's file, logs and report
}

// Run runs an experiment with a seed and an agent's program, and writes its file and its results into a
// folder.
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

// verdictOf returns the verdict on a run. One in which the lab itself was late is void: what it saw may be
// its own doing.
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

// Shrink drops the faults of an experiment that broke, one by one, as long as it still breaks without
// them and the time lasts. It returns the smallest experiment that broke.
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
