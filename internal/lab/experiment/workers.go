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

// Duties is processes that hold duties of the stewards', and act under them at the emulated
// servers, which look at the fence.
type Duties struct {
	Count   int           `koanf:"count"` // 0: none
	TTL     time.Duration `koanf:"ttl"`
	Workers int           `koanf:"workers"`
	Cap     int           `koanf:"cap"`
	Command string        `koanf:"command"`
	Clocks  []float64     `koanf:"clocks"` // rates of the workers' clocks, in turn
}

func workerName(i int) string { return fmt.Sprintf("w-%d", i+1) }

// workers runs the processes of a lane that hold duties.
type workers struct {
	l     *lane
	procs []*process.Process
}

func newWorkers(l *lane) (*workers, error) {
	w := &workers{l: l}
	d := &l.c.Duties
	command, err := program("duties.command", d.Command)
	if err != nil {
		return nil, err
	}
	var places []string
	for _, s := range l.servers {
		places = append(places, s.Addr())
	}
	for i := range d.Workers {
		var at []string
		for j := range l.list.addrs {
			addr, err := l.list.reach(pair{kind: workerToSteward, agent: i, to: j}, l.list.addrs[j], false)
			if err != nil {
				return nil, err
			}
			at = append(at, addr)
		}
		w.procs = append(w.procs, l.sup.Add(process.Spec{Name: workerName(i), Path: command, Log: filepath.Join(l.dir, "logs", workerName(i)+".log"),
			Args: []string{"worker", "--name", workerName(i), "--zone", l.c.Zones[i%len(l.c.Zones)], "--at", strings.Join(at, ","),
				"--place", strings.Join(places, ","), "--cap", fmt.Sprint(d.Cap), "--clock", fmt.Sprint(d.Clocks[i%len(d.Clocks)])}}))
	}
	return w, nil
}

// start defines the duties and waits until each is done.
func (w *workers) start(ctx context.Context) error {
	for _, p := range w.procs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for i := range w.l.c.Duties.Count {
		name := fmt.Sprint("work.", i)
		err := again(ctx, "duty "+name+" was not taken", func() error {
			return w.l.list.client.DefineTask(ctx, name, control.TaskDefinition{TTLMs: w.l.c.Duties.TTL.Milliseconds()})
		})
		if err != nil {
			return err
		}
	}
	return again(ctx, "duties", func() error {
		if n := w.judge().Terms; n < w.l.c.Duties.Count {
			return fmt.Errorf("%d of %d are done", n, w.l.c.Duties.Count)
		}
		return nil
	})
}

// again does something until it is done or the context ends.
func again(ctx context.Context, what string, do func() error) error {
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

// judge puts together what the acts at all servers show.
func (w *workers) judge() (v check.Verdict) {
	for _, s := range w.l.servers {
		one := s.Acts.Judge()
		v.Broke = append(v.Broke, one.Broke...)
		v.Gaps = append(v.Gaps, one.Gaps...)
		v.Terms, v.Refused, v.Idle, v.All = v.Terms+one.Terms, v.Refused+one.Refused, v.Idle+one.Idle, v.All+one.All
	}
	slices.Sort(v.Gaps)
	return v
}

// figures tells what the acts show; an overlap breaks a rule.
func (w *workers) figures(t *Total) {
	v := w.judge()
	for _, b := range v.Broke {
		w.l.checker.Report(check.RuleDuty, -1, b)
	}
	t.DutyTerms, t.DutyRefused = v.Terms, v.Refused
	if v.All > 0 {
		t.DutyIdle = round(float64(v.Idle) / float64(v.All))
	}
	if n := len(v.Gaps); n > 0 {
		t.DutyGapP50Ms, t.DutyGapP99Ms, t.DutyGapMaxMs = millis(v.Gaps[n/2]), millis(v.Gaps[n*99/100]), millis(v.Gaps[n-1])
	}
}

func (w *workers) strike(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	return strikeAll(ctx, w.l, w.procs, f, rng)
}

// strikeAll does something to processes of one sort.
func strikeAll(ctx context.Context, l *lane, procs []*process.Process, f *Fault, rng *rand.Rand) (int, error) {
	targets := l.c.choose(f.Target, rng)
	every := time.Duration(0)
	if f.Kind == "restart" {
		every = f.Every
	}
	return len(targets), each(ctx, targets, every, func(i int) error {
		p := procs[i]
		ended := p.Ended()
		switch f.Kind {
		case "stop":
			if err := p.Signal(syscall.SIGSTOP); err != nil {
				return err
			}
			l.last(ctx, f)
			if f.For == 0 {
				return nil
			}
			return p.Signal(syscall.SIGCONT)
		case "kill":
			p.Kill()
			<-ended
			l.last(ctx, f)
			if f.For == 0 || ctx.Err() != nil {
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
