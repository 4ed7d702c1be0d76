package experiment

import (
	"context"
	"sync"
	"time"

	"knotrouter/internal/lab/client"
)

// InjectedFault is a fault as it was injected.
type InjectedFault struct {
	Name           string  `json:"name"`
	Kind           string  `json:"kind"`
	Targets        int     `json:"targets"`
	PlannedSeconds float64 `json:"plan_s"` // planned time since the load began; -1 if the fault waited for an event
	BeganSeconds   float64 `json:"from_s"` // actual time since the load began; -1 if the fault was not injected
	EndedSeconds   float64 `json:"to_s"`
	Error          string  `json:"error,omitempty"`
}

// loadChanges returns the faults whose target is the load. They take effect when the arrivals are drawn.
func (c *Config) loadChanges() []client.LoadChange {
	var changes []client.LoadChange
	for i := range c.Faults {
		f := &c.Faults[i]
		to := f.At + f.Duration
		if f.Duration == 0 {
			to = c.Duration
		}
		switch f.Kind {
		case faultBurst:
			changes = append(changes, client.LoadChange{From: f.At, To: to, Factor: f.Size, RampTime: f.RiseTime})
		case faultHeavy:
			changes = append(changes, client.LoadChange{From: f.At, To: to, Class: f.Class, HeavyShare: f.Share, WorkFactor: f.Size})
		}
	}
	return changes
}

// runTimeline injects the faults of the timeline at their times, counted from loadStart. Once all have
// ended, it returns the record of each fault.
func (fl *fleet) runTimeline(ctx context.Context, loadStart time.Duration) []InjectedFault {
	results := make([]InjectedFault, len(fl.config.Faults))
	var running sync.WaitGroup
	for i := range fl.config.Faults {
		f := &fl.config.Faults[i]
		injected := &results[i]
		*injected = InjectedFault{Name: f.Name, Kind: f.Kind, PlannedSeconds: f.At.Seconds(), BeganSeconds: -1, EndedSeconds: -1}
		running.Add(1)
		go func() {
			defer running.Done()
			fl.runFault(ctx, loadStart, f, injected)
		}()
	}
	running.Wait()
	return results
}

// runFault waits for a fault's time or event, injects the fault, and records the result in injected. If the
// context ends first, it injects nothing.
func (fl *fleet) runFault(ctx context.Context, loadStart time.Duration, f *Fault, injected *InjectedFault) {
	if f.AfterEvent != "" {
		injected.PlannedSeconds = -1
		select {
		case <-fl.events.occurred(f.AfterEvent):
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, f.EventDelay) {
			return
		}
	} else if !sleep(ctx, loadStart+f.At-fl.clock()) {
		return
	}
	injected.BeganSeconds = (fl.clock() - loadStart).Seconds()
	fl.events.record("fault " + f.Name + " begins")
	targets, err := fl.applyFault(ctx, f)
	injected.Targets = targets
	if injected.EndedSeconds < 0 {
		injected.EndedSeconds = (fl.clock() - loadStart).Seconds()
	}
	if err != nil && ctx.Err() == nil {
		injected.Error = err.Error()
	}
	fl.events.record("fault " + f.Name + " ends")
}

// applyFault injects a fault into all its targets, waits for its duration and ends it. It returns the number
// of targets and the first error; an error at one target does not prevent the fault at the others. In the
// fleet of a baseline, faults of processes have no targets.
func (fl *fleet) applyFault(ctx context.Context, f *Fault) (int, error) {
	kind, err := fl.config.faultTargetKind(f)
	if err != nil {
		return 0, err
	}
	rng := f.rng(fl.seed)
	switch kind {
	case targetLoad: // took effect when the arrivals were drawn
		fl.waitDuration(ctx, f)
		return 1, nil
	case targetDiscovery:
		fl.discovery.StartOutage()
		fl.waitDuration(ctx, f)
		if f.Duration == 0 {
			return 1, nil
		}
		return 1, fl.discovery.EndOutage()
	case targetLink:
		return fl.applyLinkFault(ctx, f)
	case targetAgents:
		if fl.policy != "" {
			return 0, nil
		}
		return fl.applyAgentFault(ctx, f, rng)
	case targetControlPlane:
		if fl.controlPlane == nil {
			return 0, nil
		}
		return fl.controlPlane.applyFault(ctx, f, rng)
	case targetWorkers:
		if fl.workers == nil {
			return 0, nil
		}
		return fl.workers.applyFault(ctx, f, rng)
	}
	return fl.applyServerFault(ctx, f, rng)
}

// waitDuration waits for the fault's duration. It returns at once for a fault that lasts to the end of the run.
func (fl *fleet) waitDuration(ctx context.Context, f *Fault) {
	if f.Duration > 0 {
		sleep(ctx, f.Duration)
	}
}

// firstError holds the first error that one of several goroutines added.
type firstError struct {
	mu  sync.Mutex
	err error
}

func (e *firstError) add(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
	}
}

// forEachTarget calls apply for each target in a goroutine of its own. With an interval above 0, it starts
// the calls at that interval, without waiting for the previous ones. Once all have returned, it returns the
// first error.
func forEachTarget(ctx context.Context, targets []int, interval time.Duration, apply func(int) error) error {
	var running sync.WaitGroup
	var firstErr firstError
	for i, t := range targets {
		if i > 0 && interval > 0 && !sleep(ctx, interval) {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			firstErr.add(apply(t))
		}()
	}
	running.Wait()
	return firstErr.err
}

// timeWindow is a span of the run, counted from the beginning of the load.
type timeWindow struct{ from, to time.Duration }

// contains reports whether t lies in [from, to).
func (w timeWindow) contains(t time.Duration) bool { return t >= w.from && t < w.to }

// faultWindows returns the separately measured window of each injected fault, by the fault's name.
func (c *Config) faultWindows(applied []InjectedFault) map[string]timeWindow {
	windows := map[string]timeWindow{}
	for i := range c.Faults {
		f, injected := &c.Faults[i], &applied[i]
		if injected.BeganSeconds < 0 {
			continue
		}
		from := time.Duration(injected.BeganSeconds * float64(time.Second))
		to := from + f.Window
		if f.Window == 0 {
			to = max(time.Duration(injected.EndedSeconds*float64(time.Second)), from+defaultWindow)
		}
		windows[f.Name] = timeWindow{from, min(to, c.Duration)}
	}
	return windows
}

// defaultWindow is the minimum length of a fault's window if the file sets none.
const defaultWindow = 5 * time.Second
