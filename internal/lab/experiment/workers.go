package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/process"
)

// workerName returns the name of the worker with an index.
func workerName(i int) string { return fmt.Sprintf("w-%d", i+1) }

// workers runs the worker processes of a fleet, which hold leased tasks.
type workers struct {
	fleet     *fleet
	processes []*process.Process
}

// newWorkers prepares the worker processes and their links. It starts nothing.
func newWorkers(fl *fleet) (*workers, error) {
	w := &workers{fleet: fl}
	tasks := &fl.config.LeasedTasks
	command, err := findProgram("duties.command", tasks.Command)
	if err != nil {
		return nil, err
	}
	var operationAddrs []string
	for _, srv := range fl.servers {
		operationAddrs = append(operationAddrs, srv.Addr())
	}
	for i := range tasks.Workers {
		controlPlaneAddrs, err := w.controlPlaneAddrs(i)
		if err != nil {
			return nil, err
		}
		name := workerName(i)
		w.processes = append(w.processes, fl.supervisor.Add(process.Spec{Name: name, Path: command, Log: filepath.Join(fl.dir, "logs", name+".log"),
			Args: []string{"worker", "--name", name, "--zone", fl.config.Zones[i%len(fl.config.Zones)], "--at", strings.Join(controlPlaneAddrs, ","),
				"--place", strings.Join(operationAddrs, ","), "--cap", fmt.Sprint(tasks.MaxTasksPerWorker),
				"--clock", fmt.Sprint(tasks.ClockRates[i%len(tasks.ClockRates)])}}))
	}
	return w, nil
}

// controlPlaneAddrs returns the addresses at which a worker reaches the control-plane servers.
func (w *workers) controlPlaneAddrs(worker int) ([]string, error) {
	var addresses []string
	for server, target := range w.fleet.controlPlane.addresses {
		address, err := w.fleet.controlPlane.linkedAddress(linkKey{kind: linkWorkerToControlPlane, from: worker, to: server}, target, false)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// start starts the workers and defines the leased tasks. It returns once operations of as many terms as
// there are tasks have been recorded, and returns an error if that takes longer than readyTimeout.
func (w *workers) start(ctx context.Context) error {
	for _, p := range w.processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range w.fleet.config.LeasedTasks.Count {
		name := fmt.Sprint("work.", i)
		err := retry(ctx, "duty "+name+" could not be defined", func() error {
			return w.fleet.controlPlane.client.DefineTask(ctx, name, control.TaskDefinition{TTLMs: w.fleet.config.LeasedTasks.TTL.Milliseconds()})
		})
		if err != nil {
			return err
		}
	}
	return retry(ctx, "duties", func() error {
		if n := w.analyzeOperations().Terms; n < w.fleet.config.LeasedTasks.Count {
			return fmt.Errorf("operations were recorded for %d of %d", n, w.fleet.config.LeasedTasks.Count)
		}
		return nil
	})
}

// retryInterval is the time between two calls that retry makes.
const retryInterval = 50 * time.Millisecond

// retry calls do until it succeeds. If the context ends first, it returns the last error, prefixed with the
// description.
func retry(ctx context.Context, description string, do func() error) error {
	for {
		err := do()
		if err == nil {
			return nil
		}
		if !sleep(ctx, retryInterval) {
			return fmt.Errorf("%s: %w", description, err)
		}
	}
}

// analyzeOperations combines the analyses of the operations recorded by all servers.
func (w *workers) analyzeOperations() (all check.Analysis) {
	for _, srv := range w.fleet.servers {
		analysis := srv.Operations.Analyze()
		all.Violations = append(all.Violations, analysis.Violations...)
		all.HandoverGaps = append(all.HandoverGaps, analysis.HandoverGaps...)
		all.Terms, all.Rejected, all.Idle, all.Total = all.Terms+analysis.Terms, all.Rejected+analysis.Rejected, all.Idle+analysis.Idle, all.Total+analysis.Total
	}
	slices.Sort(all.HandoverGaps)
	return all
}

// addTotals fills in the results of the analysis of the operations. It reports overlapping terms as breaches.
func (w *workers) addTotals(t *Total) {
	analysis := w.analyzeOperations()
	for _, violation := range analysis.Violations {
		w.fleet.checker.ReportBreach(check.RuleTaskOverlap, -1, violation)
	}
	t.TaskTerms, t.FencedOperations = analysis.Terms, analysis.Rejected
	if analysis.Total > 0 {
		t.TaskIdleShare = roundTo4Digits(float64(analysis.Idle) / float64(analysis.Total))
	}
	if n := len(analysis.HandoverGaps); n > 0 {
		t.HandoverGapP50Ms, t.HandoverGapP99Ms, t.HandoverGapMaxMs = millis(analysis.HandoverGaps[n/2]), millis(analysis.HandoverGaps[n*99/100]), millis(analysis.HandoverGaps[n-1])
	}
}

// applyFault injects a fault into worker processes and returns the number of targets.
func (w *workers) applyFault(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	return w.fleet.applyProcessFault(ctx, w.processes, f, rng)
}
