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

// Applied is a fault as it was injected.
type Applied struct {
	Name    string  `json:"name"`
	Kind    string  `json:"kind"`
	Targets int     `json:"targets"`
	PlanS   float64 `json:"plan_s"` // -1: it waited for an event
	FromS   float64 `json:"from_s"` // when it was; -1: never
	ToS     float64 `json:"to_s"`
	Error   string  `json:"error,omitempty"`
}

// changes are the faults of the load, which the arrivals are drawn with.
func (c *Config) changes() []client.Change {
	var out []client.Change
	for i := range c.Fault {
		f := &c.Fault[i]
		to := f.At + f.For
		if f.For == 0 {
			to = c.Duration
		}
		switch f.Kind {
		case "burst":
			out = append(out, client.Change{From: f.At, To: to, Factor: f.Size, Rise: f.Rise})
		case "heavy":
			out = append(out, client.Change{From: f.At, To: to, Class: f.Class, Heavy: f.Share, Times: f.Size})
		}
	}
	return out
}

// timeline plays the faults of a lane from its zero on, and returns when all have ended.
func (l *lane) timeline(ctx context.Context, zero time.Duration) []Applied {
	out := make([]Applied, len(l.c.Fault))
	var all sync.WaitGroup
	for i := range l.c.Fault {
		f := &l.c.Fault[i]
		a := &out[i]
		*a = Applied{Name: f.Name, Kind: f.Kind, PlanS: f.At.Seconds(), FromS: -1, ToS: -1}
		all.Add(1)
		go func() {
			defer all.Done()
			l.play(ctx, zero, f, a)
		}()
	}
	all.Wait()
	return out
}

func (l *lane) play(ctx context.Context, zero time.Duration, f *Fault, a *Applied) {
	if f.After != "" {
		a.PlanS = -1
		select {
		case <-l.events.on(f.After):
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, f.Wait) {
			return
		}
	} else if !sleep(ctx, zero+f.At-l.clock()) {
		return
	}
	a.FromS = (l.clock() - zero).Seconds()
	l.events.tell("fault " + f.Name + " begins")
	n, err := l.apply(ctx, f, a)
	a.Targets = n
	if a.ToS < 0 {
		a.ToS = (l.clock() - zero).Seconds()
	}
	if err != nil && ctx.Err() == nil {
		a.Error = err.Error()
	}
	l.events.tell("fault " + f.Name + " ends")
}

// apply injects a fault, waits for its time and ends it. The first error is returned; it
// does not keep the others of the targets from their fault.
func (l *lane) apply(ctx context.Context, f *Fault, a *Applied) (int, error) {
	sort, err := l.c.sortOf(f)
	if err != nil {
		return 0, err
	}
	rng := f.rng(l.seed)
	switch sort {
	case "load": // drawn with the arrivals
		l.last(ctx, f)
		return 1, nil
	case "discovery":
		l.disc.Down()
		l.last(ctx, f)
		if f.For == 0 {
			return 1, nil
		}
		return 1, l.disc.Up()
	case "link":
		return l.cut(ctx, f)
	case "agents":
		if l.policy != "" {
			return 0, nil // a baseline has no process
		}
		return l.strike(ctx, f, rng)
	case "stewards":
		if l.list == nil {
			return 0, nil // a baseline's list is the stand-in's
		}
		return l.list.strike(ctx, f, rng)
	case "workers":
		if l.workers == nil {
			return 0, nil
		}
		return l.workers.strike(ctx, f, rng)
	}
	return l.harm(ctx, f, rng)
}

// last waits for as long as the fault lasts.
func (l *lane) last(ctx context.Context, f *Fault) {
	if f.For > 0 {
		sleep(ctx, f.For)
	}
}

// firsts keeps the first error of several.
type firsts struct {
	mu  sync.Mutex
	err error
}

func (e *firsts) add(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
	}
}

// each runs do for all targets, together or, with a time between, one after the other
// without waiting for the one before.
func each(ctx context.Context, targets []int, every time.Duration, do func(int) error) error {
	var all sync.WaitGroup
	var first firsts
	for i, t := range targets {
		if i > 0 && every > 0 && !sleep(ctx, every) {
			break
		}
		all.Add(1)
		go func() {
			defer all.Done()
			first.add(do(t))
		}()
	}
	all.Wait()
	return first.err
}

// harm does something to servers.
func (l *lane) harm(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	targets := l.c.choose(f.Target, rng)
	// again starts a server anew: with the version that the fault names, or its last one.
	again := func(s *server.Server) error {
		v := server.Version{Name: s.VersionName()}
		for _, name := range []string{v.Name, f.Version} {
			if named := l.c.version(name); named != nil {
				v = *named
			}
		}
		return s.Start(v, true)
	}
	every := time.Duration(0)
	if f.Kind == "replace" {
		every = f.Every
	}
	// Every server's draws are made before any of them, so that they don't depend on
	// which goroutine comes first.
	offsets := map[int]float64{}
	for _, t := range targets {
		offsets[t] = rng.Float64()
	}
	return len(targets), each(ctx, targets, every, func(t int) error {
		s := l.servers[t]
		switch f.Kind {
		case "kill":
			s.Kill()
			l.last(ctx, f)
			if f.For > 0 {
				return again(s)
			}
		case "vanish":
			if err := s.Vanish(); err != nil {
				return err
			}
			l.last(ctx, f)
			if f.For == 0 {
				return nil
			}
			return s.Return()
		case "drain":
			s.Drain()
			l.last(ctx, f)
			if f.For > 0 {
				s.Kill()
				return again(s)
			}
		case "replace":
			s.Drain()
			if !sleep(ctx, l.longest()) {
				return nil
			}
			s.Kill()
			if f.Delay > 0 && !sleep(ctx, f.Delay) {
				return nil
			}
			return again(s)
		case "mute":
			if l.list == nil {
				return nil // nobody renews in a baseline's lane
			}
			l.list.hush(t, true)
			l.last(ctx, f)
			if f.For > 0 {
				l.list.hush(t, false)
			}
		case "slow":
			s.Slow(f.Size)
			l.last(ctx, f)
			if f.For > 0 {
				s.Slow(1)
			}
		case "neighbour":
			l.neighbour(ctx, f, s, offsets[t])
		default:
			spoil := server.Faults{}
			switch f.Kind {
			case "errors":
				spoil.Errors = f.Size
			case "resets":
				spoil.Resets = f.Size
			case "lost":
				spoil.Lost = f.Size
			case "spoilt":
				spoil.Spoilt = f.Size
			}
			s.Spoil(spoil)
			l.last(ctx, f)
			if f.For > 0 {
				s.Spoil(server.Faults{})
			}
		}
		return nil
	})
}

// neighbour takes part of a machine, on and off, beginning at a drawn point of its turn.
func (l *lane) neighbour(ctx context.Context, f *Fault, s *server.Server, offset float64) {
	defer s.Take(0)
	if f.Every <= 0 {
		s.Take(f.Size)
		if f.For > 0 {
			sleep(ctx, f.For)
		} else {
			<-ctx.Done()
		}
		return
	}
	if f.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.For)
		defer cancel()
	}
	for wait := time.Duration(offset * float64(f.Every)); sleep(ctx, wait); wait = f.Every {
		s.Take(f.Size)
		if !sleep(ctx, f.Every) {
			return
		}
		s.Take(0)
	}
}

// strike does something to agents' processes.
func (l *lane) strike(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	targets := l.c.choose(f.Target, rng)
	draws := map[int]float64{}
	for _, t := range targets {
		draws[t] = rng.Float64()
	}
	every := time.Duration(0)
	if f.Kind == "restart" || f.Kind == "hup" {
		every = f.Every
	}
	return len(targets), each(ctx, targets, every, func(t int) error {
		a := l.agents[t]
		switch f.Kind {
		case "kill":
			a.mu.Lock()
			defer a.mu.Unlock()
			ended := a.proc.Ended()
			l.kill(a)
			l.last(ctx, f)
			if f.For == 0 || ctx.Err() != nil {
				return nil
			}
			<-ended
			return l.start(ctx, a)
		case "stop":
			// What it held is late for a while after it goes on.
			from, to := l.clock(), l.clock()+f.For+time.Second
			if f.For == 0 {
				to = time.Hour
			}
			l.checker.Stopped(t, from, to)
			if err := a.proc.Signal(syscall.SIGSTOP); err != nil {
				return err
			}
			l.last(ctx, f)
			if f.For == 0 {
				return nil
			}
			return a.proc.Signal(syscall.SIGCONT)
		case "hup":
			return l.hup(a)
		}
		return l.restart(ctx, a, draws[t])
	})
}

// cut does something to links.
func (l *lane) cut(ctx context.Context, f *Fault) (int, error) {
	pairs := l.pairs(f)
	if l.policy != "" || len(pairs) == 0 {
		return 0, nil
	}
	wires := l.wiresOf(pairs)
	sh := link.Shape{}
	switch f.Kind {
	case "cut":
		sh.Cut = true
	case "delay":
		sh.Delay, sh.Jitter = f.Delay, f.Jitter
	case "slow":
		sh.Rate = f.Size
	case "reset":
		sh.ResetAfter = int64(f.Size)
	case "loss": // of datagrams; streams are late by as much as it takes to send again
		sh.Loss, sh.Delay, sh.Jitter = f.Size, f.Delay, f.Jitter
	}
	var forward, back link.Shape
	if f.Way != "back" {
		forward = sh
	}
	if f.Way != "forward" {
		back = sh
	}
	all := func(do func(wire) error) error {
		targets := make([]int, len(wires))
		for i := range targets {
			targets[i] = i
		}
		// Together: to fill a queue takes some time, and there may be thousands.
		return each(ctx, targets, 0, func(i int) error { return do(wires[i]) })
	}
	off := func(is bool) {
		for _, p := range pairs {
			if p.to == toDiscovery && (f.Kind == "cut" || f.Kind == "refuse") {
				l.checker.Cut(p.agent, is)
			}
		}
	}
	off(true)
	err := all(func(k wire) error {
		if f.Kind == "refuse" {
			return k.Refuse()
		}
		return k.Set(forward, back)
	})
	l.last(ctx, f)
	if f.For > 0 {
		if e := all(func(k wire) error { return k.Set(link.Shape{}, link.Shape{}) }); err == nil {
			err = e
		}
		off(false)
	}
	return len(pairs), err
}

// windows are the spans of the run whose figures are taken apart.
func (c *Config) windows(applied []Applied) map[string][2]time.Duration {
	w := map[string][2]time.Duration{}
	for i := range c.Fault {
		f, a := &c.Fault[i], &applied[i]
		if a.FromS < 0 {
			continue
		}
		from := time.Duration(a.FromS * float64(time.Second))
		to := from + f.Window
		if f.Window == 0 {
			to = max(time.Duration(a.ToS*float64(time.Second)), from+defaultWindow)
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
	if f.For > 0 {
		text += fmt.Sprintf(" for %v", f.For)
	}
	return text
}
