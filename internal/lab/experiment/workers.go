package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/process"
)

// LeasedTasks is processes that hold duties of the stewards', and act under them at the emulated
// servers, which look at the fence.
type LeasedTasks struct {
	Count             int           `koanf:"count"` // 0: none
	TTL               time.Duration `koanf:"ttl"`
	Workers           int           `koanf:"workers"`
	MaxTasksPerWorker int           `koanf:"cap"`
	Command           string        `koanf:"command"`
	ClockRates        []float64     `koanf:"clocks"` // rates of the workers' clocks, in turn
}

func workerName(i int) string { return fmt.Sprintf("w-%d", i+1) }

// workers runs the processes of a lane that hold duties.
type workers struct {
	fleet     *fleet
	processes []*process.Process
}

func newWorkers(fl *fleet) (*workers, error) {
	w := &workers{fleet: fl}
	d := &fl.config.LeasedTasks
	command, err := findProgram("duties.command", d.Command)
	if err != nil {
		return nil, err
	}
	var places []string
	for _, s := range fl.servers {
		places = append(places, s.Addr())
	}
	for i := range d.Workers {
		var at []string
		for j := range fl.controlPlane.addresses {
			addr, err := fl.controlPlane.linkedAddress(linkKey{kind: linkWorkerToControlPlane, from: i, to: j}, fl.controlPlane.addresses[j], false)
			if err != nil {
				return nil, err
			}
			at = append(at, addr)
		}
		w.processes = append(w.processes, fl.supervisor.Add(process.Spec{Name: workerName(i), Path: command, Log: filepath.Join(fl.dir, "logs", workerName(i)+".log"),
			Args: []string{"worker", "--name", workerName(i), "--zone", fl.config.Zones[i%len(fl.config.Zones)], "--at", strings.Join(at, ","),
				"--place", strings.Join(places, ","), "--cap", fmt.Sprint(d.MaxTasksPerWorker), "--clock", fmt.Sprint(d.ClockRates[i%len(d.ClockRates)])}}))
	}
	return w, nil
}

// start defines the duties and waits until each is done.
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
		err := retry(ctx, "duty "+name+" was not taken", func() error {
			return w.fleet.controlPlane.client.DefineTask(ctx, name, control.TaskDefinition{TTLMs: w.fleet.config.LeasedTasks.TTL.Milliseconds()})
		})
		if err != nil {
			return err
		}
	}
	return retry(ctx, "duties", func() error {
		if n := w.evaluate().Terms; n < w.fleet.config.LeasedTasks.Count {
			return fmt.Errorf("%d of %d are done", n, w.fleet.config.LeasedTasks.Count)
		}
		return nil
	})
}

// retry does something until it is done or the context ends.
func retry(ctx context.Context, what string, do func() error) error {
	for {
		err := do()
		if err == nil {
			return nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
}

// evaluate puts together what the acts at all servers show.
func (w *workers) evaluate() (v check.Analysis) {
	for _, s := range w.fleet.servers {
		one := s.Acts.Analyze()
		v.Violations = append(v.Violations, one.Violations...)
		v.HandoverGaps = append(v.HandoverGaps, one.HandoverGaps...)
		v.Terms, v.Rejected, v.Idle, v.Total = v.Terms+one.Terms, v.Rejected+one.Rejected, v.Idle+one.Idle, v.Total+one.Total
	}
	slices.Sort(v.HandoverGaps)
	return v
}

// addTotals tells what the acts show; an overlap breaks a rule.
func (w *workers) addTotals(t *Total) {
	v := w.evaluate()
	for _, b := range v.Violations {
		w.fleet.checker.ReportBreach(check.RuleTaskOverlap, -1, b)
	}
	t.TaskTerms, t.FencedOperations = v.Terms, v.Rejected
	if v.Total > 0 {
		t.TaskIdleShare = roundTo4Digits(float64(v.Idle) / float64(v.Total))
	}
	if n := len(v.HandoverGaps); n > 0 {
		t.HandoverGapP50Ms, t.HandoverGapP99Ms, t.HandoverGapMaxMs = millis(v.HandoverGaps[n/2]), millis(v.HandoverGaps[n*99/100]), millis(v.HandoverGaps[n-1])
	}
}

func (w *workers) applyFault(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	return applyProcessFault(ctx, w.fleet, w.processes, f, rng)
}

// applyProcessFault does something to processes of one sort.
func applyProcessFault(ctx context.Context, fl *fleet, procs []*process.Process, f *Fault, rng *rand.Rand) (int, error) {
	targets := fl.config.selectTargets(f.Target, rng)
	interval := time.Duration(0)
	if f.Kind == "restart" {
		interval = f.Interval
	}
	return len(targets), forEachTarget(ctx, targets, interval, func(i int) error {
		p := procs[i]
		ended := p.Ended()
		switch f.Kind {
		case "stop":
			if err := p.Signal(syscall.SIGSTOP); err != nil {
				return err
			}
			fl.waitDuration(ctx, f)
			if f.Duration == 0 {
				return nil
			}
			return p.Signal(syscall.SIGCONT)
		case "kill":
			p.Kill()
			<-ended
			fl.waitDuration(ctx, f)
			if f.Duration == 0 || ctx.Err() != nil {
				return nil
			}
		default:
			if err := p.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			<-ended
		}
		return p.Start()
	})
}
