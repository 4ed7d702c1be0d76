package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/server"
)

// InjectedFault is a fault as it was injected.
type InjectedFault struct {
	Name           string  `json:"name"`
	Kind           string  `json:"kind"`
	Targets        int     `json:"targets"`
	PlannedSeconds float64 `json:"plan_s"` // -1: it waited for an event
	BeganSeconds   float64 `json:"from_s"` // when it was; -1: never
	EndedSeconds   float64 `json:"to_s"`
	Error          string  `json:"error,omitempty"`
}

// loadChanges are the faults of the load, which the arrivals are drawn with.
func (c *Config) loadChanges() []client.LoadChange {
	var out []client.LoadChange
	for i := range c.Faults {
		f := &c.Faults[i]
		to := f.At + f.Duration
		if f.Duration == 0 {
			to = c.Duration
		}
		switch f.Kind {
		case "burst":
			out = append(out, client.LoadChange{From: f.At, To: to, Factor: f.Size, RampTime: f.RampTime})
		case "heavy":
			out = append(out, client.LoadChange{From: f.At, To: to, Class: f.Class, HeavyShare: f.Share, WorkFactor: f.Size})
		}
	}
	return out
}

// runTimeline plays the faults of a lane from its zero on, and returns when all have ended.
func (fl *fleet) runTimeline(ctx context.Context, loadStart time.Duration) []InjectedFault {
	out := make([]InjectedFault, len(fl.config.Faults))
	var running sync.WaitGroup
	for i := range fl.config.Faults {
		f := &fl.config.Faults[i]
		injected := &out[i]
		*injected = InjectedFault{Name: f.Name, Kind: f.Kind, PlannedSeconds: f.At.Seconds(), BeganSeconds: -1, EndedSeconds: -1}
		running.Add(1)
		go func() {
			defer running.Done()
			fl.runFault(ctx, loadStart, f, injected)
		}()
	}
	running.Wait()
	return out
}

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
	n, err := fl.applyFault(ctx, f, injected)
	injected.Targets = n
	if injected.EndedSeconds < 0 {
		injected.EndedSeconds = (fl.clock() - loadStart).Seconds()
	}
	if err != nil && ctx.Err() == nil {
		injected.Error = err.Error()
	}
	fl.events.record("fault " + f.Name + " ends")
}

// applyFault injects a fault, waits for its time and ends it. The first error is returned; it
// does not keep the others of the targets from their fault.
func (fl *fleet) applyFault(ctx context.Context, f *Fault, injected *InjectedFault) (int, error) {
	kind, err := fl.config.faultTargetKind(f)
	if err != nil {
		return 0, err
	}
	rng := f.rng(fl.seed)
	switch kind {
	case "load": // drawn with the arrivals
		fl.waitDuration(ctx, f)
		return 1, nil
	case "discovery":
		fl.discovery.Down()
		fl.waitDuration(ctx, f)
		if f.Duration == 0 {
			return 1, nil
		}
		return 1, fl.discovery.Up()
	case "link":
		return fl.applyLinkFault(ctx, f)
	case "agents":
		if fl.policy != "" {
			return 0, nil // a baseline has no process
		}
		return fl.applyAgentFault(ctx, f, rng)
	case "stewards":
		if fl.controlPlane == nil {
			return 0, nil // a baseline's list is the stand-in's
		}
		return fl.controlPlane.applyFault(ctx, f, rng)
	case "workers":
		if fl.workers == nil {
			return 0, nil
		}
		return fl.workers.applyFault(ctx, f, rng)
	}
	return fl.applyServerFault(ctx, f, rng)
}

// waitDuration waits for as long as the fault lasts.
func (fl *fleet) waitDuration(ctx context.Context, f *Fault) {
	if f.Duration > 0 {
		sleep(ctx, f.Duration)
	}
}

// firstError keeps the first error of several.
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

// forEachTarget runs do for all targets, together or, with a time between, one after the other
// without waiting for the one before.
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

// applyServerFault does something to servers.
func (fl *fleet) applyServerFault(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	targets := fl.config.selectTargets(f.Target, rng)
	// again starts a server anew: with the version that the fault names, or its last one.
	startAgain := func(s *server.Server) error {
		v := server.Version{Name: s.VersionName()}
		for _, name := range []string{v.Name, f.Version} {
			if named := fl.config.findVersion(name); named != nil {
				v = *named
			}
		}
		return s.Start(v, true)
	}
	interval := time.Duration(0)
	if f.Kind == "replace" {
		interval = f.Interval
	}
	// Every server's draws are made before any of them, so that they don't depend on
	// which goroutine comes first.
	offsets := map[int]float64{}
	for _, t := range targets {
		offsets[t] = rng.Float64()
	}
	return len(targets), forEachTarget(ctx, targets, interval, func(t int) error {
		s := fl.servers[t]
		switch f.Kind {
		case "kill":
			s.Kill()
			fl.waitDuration(ctx, f)
			if f.Duration > 0 {
				return startAgain(s)
			}
		case "vanish":
			if err := s.Vanish(); err != nil {
				return err
			}
			fl.waitDuration(ctx, f)
			if f.Duration == 0 {
				return nil
			}
			return s.Return()
		case "drain":
			s.Drain()
			fl.waitDuration(ctx, f)
			if f.Duration > 0 {
				s.Kill()
				return startAgain(s)
			}
		case "replace":
			s.Drain()
			if !sleep(ctx, fl.maxRequestDuration()) {
				return nil
			}
			s.Kill()
			if f.Delay > 0 && !sleep(ctx, f.Delay) {
				return nil
			}
			return startAgain(s)
		case "mute":
			if fl.controlPlane == nil {
				return nil // nobody renews in a baseline's lane
			}
			fl.controlPlane.setMuted(t, true)
			fl.waitDuration(ctx, f)
			if f.Duration > 0 {
				fl.controlPlane.setMuted(t, false)
			}
		case "slow":
			s.Slow(f.Size)
			fl.waitDuration(ctx, f)
			if f.Duration > 0 {
				s.Slow(1)
			}
		case "neighbour":
			fl.runNeighbour(ctx, f, s, offsets[t])
		default:
			faults := server.Faults{}
			switch f.Kind {
			case "errors":
				faults.Errors = f.Size
			case "resets":
				faults.Resets = f.Size
			case "lost":
				faults.Lost = f.Size
			case "spoilt":
				faults.Spoilt = f.Size
			}
			s.Spoil(faults)
			fl.waitDuration(ctx, f)
			if f.Duration > 0 {
				s.Spoil(server.Faults{})
			}
		}
		return nil
	})
}

// runNeighbour takes part of a machine, on and off, beginning at a drawn point of its turn.
func (fl *fleet) runNeighbour(ctx context.Context, f *Fault, s *server.Server, offset float64) {
	defer s.Take(0)
	if f.Interval <= 0 {
		s.Take(f.Size)
		if f.Duration > 0 {
			sleep(ctx, f.Duration)
		} else {
			<-ctx.Done()
		}
		return
	}
	if f.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.Duration)
		defer cancel()
	}
	for wait := time.Duration(offset * float64(f.Interval)); sleep(ctx, wait); wait = f.Interval {
		s.Take(f.Size)
		if !sleep(ctx, f.Interval) {
			return
		}
		s.Take(0)
	}
}

// applyAgentFault does something to agents' processes.
func (fl *fleet) applyAgentFault(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	targets := fl.config.selectTargets(f.Target, rng)
	draws := map[int]float64{}
	for _, t := range targets {
		draws[t] = rng.Float64()
	}
	interval := time.Duration(0)
	if f.Kind == "restart" || f.Kind == "hup" {
		interval = f.Interval
	}
	return len(targets), forEachTarget(ctx, targets, interval, func(t int) error {
		a := fl.agents[t]
		switch f.Kind {
		case "kill":
			a.mu.Lock()
			defer a.mu.Unlock()
			ended := a.process.Ended()
			fl.killAgent(a)
			fl.waitDuration(ctx, f)
			if f.Duration == 0 || ctx.Err() != nil {
				return nil
			}
			<-ended
			return fl.startAgent(ctx, a)
		case "stop":
			// What it held is late for a while after it goes on.
			from, to := fl.clock(), fl.clock()+f.Duration+time.Second
			if f.Duration == 0 {
				to = time.Hour
			}
			fl.checker.AgentPaused(t, from, to)
			if err := a.process.Signal(syscall.SIGSTOP); err != nil {
				return err
			}
			fl.waitDuration(ctx, f)
			if f.Duration == 0 {
				return nil
			}
			return a.process.Signal(syscall.SIGCONT)
		case "hup":
			return fl.reloadAgent(a)
		}
		return fl.restartAgent(ctx, a, draws[t])
	})
}

// applyLinkFault does something to links.
func (fl *fleet) applyLinkFault(ctx context.Context, f *Fault) (int, error) {
	pairs := fl.linkKeys(f)
	if fl.policy != "" || len(pairs) == 0 {
		return 0, nil
	}
	wires := fl.controlledLinks(pairs)
	shape := link.Shape{}
	switch f.Kind {
	case "cut":
		shape.Cut = true
	case "delay":
		shape.Delay, shape.Jitter = f.Delay, f.Jitter
	case "slow":
		shape.Rate = f.Size
	case "reset":
		shape.ResetAfter = int64(f.Size)
	case "loss": // of datagrams; streams are late by as much as it takes to send again
		shape.Loss, shape.Delay, shape.Jitter = f.Size, f.Delay, f.Jitter
	}
	var forward, back link.Shape
	if f.Direction != "back" {
		forward = shape
	}
	if f.Direction != "forward" {
		back = shape
	}
	all := func(do func(controllableLink) error) error {
		targets := make([]int, len(wires))
		for i := range targets {
			targets[i] = i
		}
		// Together: to fill a queue takes some time, and there may be thousands.
		return forEachTarget(ctx, targets, 0, func(i int) error { return do(wires[i]) })
	}
	setCut := func(is bool) {
		for _, p := range pairs {
			if p.to == discoveryIndex && (f.Kind == "cut" || f.Kind == "refuse") {
				fl.checker.SetDiscoveryCut(p.from, is)
			}
		}
	}
	setCut(true)
	err := all(func(k controllableLink) error {
		if f.Kind == "refuse" {
			return k.Refuse()
		}
		return k.Set(forward, back)
	})
	fl.waitDuration(ctx, f)
	if f.Duration > 0 {
		if e := all(func(k controllableLink) error { return k.Set(link.Shape{}, link.Shape{}) }); err == nil {
			err = e
		}
		setCut(false)
	}
	return len(pairs), err
}

// faultWindows are the spans of the run whose figures are taken apart.
func (c *Config) faultWindows(applied []InjectedFault) map[string][2]time.Duration {
	w := map[string][2]time.Duration{}
	for i := range c.Faults {
		f, a := &c.Faults[i], &applied[i]
		if a.BeganSeconds < 0 {
			continue
		}
		from := time.Duration(a.BeganSeconds * float64(time.Second))
		to := from + f.Window
		if f.Window == 0 {
			to = max(time.Duration(a.EndedSeconds*float64(time.Second)), from+defaultWindow)
		}
		w[f.Name] = [2]time.Duration{from, min(to, c.Duration)}
	}
	return w
}

// defaultWindow is how long a fault's figures are taken apart at least.
const defaultWindow = 5 * time.Second

// Describe is a fault in a few words.
func (f *Fault) Describe() string {
	text := f.Kind + " " + f.Target
	if f.To != "" {
		text += " to " + f.To
	}
	if f.Duration > 0 {
		text += fmt.Sprintf(" for %v", f.Duration)
	}
	return text
}
