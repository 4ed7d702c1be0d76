package experiment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/loopback"
)

// Options holds the options of a run.
type Options struct {
	Seed      uint64         // 0: the seed of the experiment file
	OutputDir string         // directory of the results
	Progress  func(Progress) // called several times a second; may be nil
}

// loadStartDelay is the time from the readiness of the last agent to the beginning of the load.
const loadStartDelay = 200 * time.Millisecond

// Run runs an experiment and returns its summary, even if a rule was broken or an expectation was not
// met. It returns an error if the experiment could not be set up or was interrupted (see Interrupted).
// When it returns, all processes that it started have exited.
func Run(ctx context.Context, config *Config, options Options) (*Summary, error) {
	seed := options.Seed
	if seed == 0 {
		seed = config.Seed
	}
	if err := prepareOutputDir(options.OutputDir); err != nil {
		return nil, fmt.Errorf("--out: %w", err)
	}
	current := &run{config: config, seed: seed, outputDir: options.OutputDir, progress: options.Progress, epoch: time.Now()}
	defer current.close()
	if err := current.serveStatus(); err != nil {
		return nil, err
	}
	if err := current.buildFleets(); err != nil {
		return nil, err
	}
	current.publishProgress(phaseStarting)
	if err := current.start(ctx); err != nil {
		if ctx.Err() != nil {
			return nil, errInterrupted
		}
		return nil, err
	}
	if err := current.execute(ctx); err != nil {
		return nil, err
	}
	return current.summarize(), nil
}

// prepareOutputDir creates the directory of the results. It returns an error if that is not writable.
func prepareOutputDir(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	probe := filepath.Join(dir, ".writable")
	if err := os.WriteFile(probe, []byte("x"), 0o644); err != nil {
		return err
	}
	os.Remove(probe)
	return nil
}

// errInterrupted is the error of a run whose context ended before the load began.
var errInterrupted = errors.New("interrupted")

// Interrupted reports whether an error of Run means that its context ended.
func Interrupted(err error) bool {
	return errors.Is(err, errInterrupted) || errors.Is(err, context.Canceled)
}

// run is one run of an experiment.
type run struct {
	config    *Config
	seed      uint64
	outputDir string
	progress  func(Progress)
	epoch     time.Time     // time at which the clock was 0
	loadStart time.Duration // clock time at which the load begins; 0 until execute sets it
	addresses *loopback.AddressBlock
	fleets    []*fleet          // the fleet of the agents is the first
	samples   [][]sample        // by fleet
	applied   [][]InjectedFault // by fleet and fault
	status    *http.Server
	coresUsed float64 // processor cores that the lab itself used on average under load

	peakDescriptors int // highest number of descriptors that the lab itself had open
	background      sync.WaitGroup

	mu           sync.Mutex
	lastProgress Progress // last published progress
}

// clock returns the time since the run began.
func (r *run) clock() time.Duration { return time.Since(r.epoch) }

// close ends everything that the run started, and waits for it.
func (r *run) close() {
	var all sync.WaitGroup
	for _, fl := range r.fleets {
		all.Add(1)
		go func() { defer all.Done(); fl.close() }()
	}
	all.Wait()
	if r.addresses != nil {
		r.addresses.Close()
	}
	if r.status != nil {
		r.status.Close()
	}
	r.background.Wait()
}

// buildFleets builds the fleet of the agents and one for each baseline.
func (r *run) buildFleets() error {
	raiseDescriptorLimit()
	var err error
	if r.addresses, err = loopback.Claim(); err != nil {
		return err
	}
	for _, policyName := range append([]string{""}, r.config.Baselines...) {
		fl, err := newFleet(fleetOptions{config: r.config, policy: policyName, dir: r.outputDir, seed: r.seed,
			addresses: r.addresses, clock: r.clock, epoch: r.epoch})
		if err != nil {
			return err
		}
		r.fleets = append(r.fleets, fl)
	}
	r.samples, r.applied = make([][]sample, len(r.fleets)), make([][]InjectedFault, len(r.fleets))
	return nil
}

// maxParallelStarts bounds how many agents start concurrently. Hundreds that start together would slow each
// other down so much that they are not ready in time.
const maxParallelStarts = 24

// start starts the processes of all fleets, with the control plane and the workers first. It returns once
// all are ready.
func (r *run) start(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelStarts)
	for _, fl := range r.fleets {
		if fl.controlPlane != nil {
			if err := fl.controlPlane.start(ctx); err != nil {
				return err
			}
			if fl.workers != nil {
				if err := fl.workers.start(ctx); err != nil {
					return err
				}
			}
		}
		for i := range fl.clients {
			if fl.policy != "" {
				fl.checker.AgentStarted(i)
				fl.clients[i].Start()
				continue
			}
			group.Go(func() error { return fl.startAgent(ctx, fl.agents[i]) })
		}
	}
	return group.Wait()
}

// execute runs the load and the faults in all fleets. It returns when the last request and the last fault
// have ended. If the context ends first, it returns the context's error.
func (r *run) execute(ctx context.Context) error {
	arrivals := client.DrawArrivals(&r.config.Load, r.config.Agents.Count, r.config.Duration, r.config.loadChanges(), r.seed)
	r.loadStart = r.clock() + loadStartDelay
	for i := range arrivals {
		for j := range arrivals[i] {
			arrivals[i][j].At += r.loadStart
		}
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	faultCtx, stopFaults := context.WithTimeout(ctx, r.loadStart+r.config.Duration-r.clock())
	defer stopFaults()
	observeCtx, stopObserving := context.WithCancel(ctx)
	defer stopObserving()
	var load, faults, observers sync.WaitGroup
	for i, fl := range r.fleets {
		for agent, c := range fl.clients {
			load.Go(func() { c.Run(loadCtx, arrivals[agent]) })
		}
		faults.Go(func() { r.applied[i] = fl.runTimeline(faultCtx, r.loadStart) })
		observers.Go(func() { r.samples[i] = fl.collectSamples(observeCtx, r.loadStart) })
	}
	observers.Go(func() { r.reportProgress(observeCtx) })
	usedBefore, began := processorTime(), time.Now()
	faults.Wait()
	load.Wait()
	r.coresUsed = float64(processorTime()-usedBefore) / float64(time.Since(began))
	stopObserving()
	observers.Wait()
	r.publishProgress(phaseEnding)
	return ctx.Err()
}
