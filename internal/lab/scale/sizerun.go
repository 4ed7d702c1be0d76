package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"knotrouter/internal/lab/capacity"
	"knotrouter/internal/lab/hollow"
)

// memoryCheckInterval is the time between two checks of the memory guard.
const memoryCheckInterval = time.Second

// sizeRun is the run of one size. The goroutine that calls run owns it, except for cancelReason, which
// the memory guard sets.
type sizeRun struct {
	*runner
	name         string // name of the size in progress lines
	size         Size
	fleet        *fleet
	result       *capacity.Run
	cancelReason atomic.Pointer[string] // why the memory guard canceled the run; nil if it did not
}

// run starts the fleet, runs all phases and stops the fleet. It returns a *notRunError if the size
// can't be run.
func (r *sizeRun) run(ctx context.Context) error {
	dir := filepath.Join(r.out, fmt.Sprintf("%d-servers", r.size.Servers))
	if err := os.RemoveAll(dir); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	fleet, err := newFleet(r.config, r.size, r.seed, dir)
	if err != nil {
		return err
	}
	defer fleet.close()
	r.fleet = fleet
	sizeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.guardMemory(sizeCtx, cancel)
	err = r.runPhases(sizeCtx)
	if reason := r.cancelReason.Load(); reason != nil {
		return &notRunError{*reason}
	}
	return err
}

// guardMemory cancels the run of the size if its processes use more memory than the file allows.
func (r *sizeRun) guardMemory(ctx context.Context, cancel context.CancelFunc) {
	for hollow.Sleep(ctx, memoryCheckInterval) {
		if used := r.fleet.memoryMiB(); used > float64(r.config.Scale.MemoryMiB) {
			reason := fmt.Sprintf("memory: all processes hold %.0f MiB of at most %d", used, r.config.Scale.MemoryMiB)
			r.cancelReason.Store(&reason)
			cancel()
			return
		}
	}
}

// runPhases starts the control plane and the hollow servers and runs the phases of the file. It adds
// the name of the phase to a *notRunError.
func (r *sizeRun) runPhases(ctx context.Context) error {
	if err := r.fleet.startControlPlane(ctx); err != nil {
		return err
	}
	if err := r.fleet.startServers(ctx); err != nil {
		return err
	}
	for _, phase := range r.config.Scale.Phases {
		r.progress(r.name + ": " + phase)
		err := r.runPhase(ctx, phase)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var notRun *notRunError
		if errors.As(err, &notRun) {
			return &notRunError{phase + ": " + notRun.reason}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *sizeRun) runPhase(ctx context.Context, phase string) error {
	switch phase {
	case FirstStart:
		return r.firstStart(ctx)
	case Steady:
		return r.steady(ctx, phase, 1)
	case SteadyTen:
		return r.steady(ctx, phase, 10)
	case LeaderKilled:
		return r.leaderKilled(ctx)
	case ZoneLost:
		return r.serversLost(ctx, phase, hollow.ZoneRange(0, r.size.Servers))
	case ConfigBurst:
		return r.configBurst(ctx)
	case FollowerKilled:
		return r.followerKilled(ctx)
	case RegionLost:
		return r.serversLost(ctx, phase, hollow.Range{Count: hollow.ZoneRange(zonesPerRegion, r.size.Servers).First})
	}
	return nil
}

// measure takes a sample, runs a phase, takes another sample and adds the difference to the results. If
// the phase fails, it returns the measurement along with the error of the phase. The measurement is nil
// if one of the samples could not be taken.
func (r *sizeRun) measure(ctx context.Context, load string, phase func() error) (*measurement, error) {
	if err := r.fleet.resetAges(ctx); err != nil {
		return nil, err
	}
	r.takeRequestFigures() // discards the figures from before the phase
	before, err := r.fleet.sample(ctx, false)
	if err != nil {
		return nil, err
	}
	phaseErr := phase()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	after, err := r.fleet.sample(ctx, true)
	if err != nil {
		return nil, err
	}
	m := &measurement{
		fleet:   r.fleet,
		result:  r.result,
		load:    load,
		before:  before,
		after:   after,
		seconds: after.at.Sub(before.at).Seconds(),
	}
	m.addAll(r.fleet.leader(ctx), r.takeRequestFigures())
	return m, phaseErr
}

// takeRequestFigures returns the figures of the requests since the last call. They are zero until
// firstStart has started the load generator.
func (r *sizeRun) takeRequestFigures() requestFigures {
	if r.fleet.loadGenerator == nil {
		return requestFigures{}
	}
	return r.fleet.loadGenerator.takeFigures()
}
