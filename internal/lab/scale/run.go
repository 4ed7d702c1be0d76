package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/capacity"
	"knotrouter/internal/lab/hollow"
)

// Options is how an experiment is run.
type Options struct {
	Seed     uint64 // 0: the file's
	Out      string // folder of the results
	Command  string // that repeats the run
	Progress func(line string)
}

// ResultsFile is the name of the results in the folder of a run.
const ResultsFile = "results.json"

// ErrInterrupted is the end of a run that was not let finish.
var ErrInterrupted = errors.New("interrupted before its end")

// Run plays all sizes one after the other, writes the results and returns them with what
// did not hold. An error is one of setting up; nothing that was started is left.
func Run(ctx context.Context, config *Config, options Options) (*capacity.Results, []string, error) {
	seed := options.Seed
	if seed == 0 {
		seed = config.Seed
	}
	if options.Progress == nil {
		options.Progress = func(string) {}
	}
	if err := os.MkdirAll(options.Out, 0o755); err != nil {
		return nil, nil, fmt.Errorf("--out: %w", err)
	}
	commit, dirty := revision()
	results := &capacity.Results{Experiment: config.Name, Variant: config.Scale.Variant, Command: options.Command,
		Commit: commit, Dirty: dirty, Seed: seed, Machine: machine(), Started: time.Now().UTC().Truncate(time.Second)}
	r := &runner{config: config, seed: seed, out: options.Out, progress: options.Progress, results: results}
	for _, size := range config.Scale.Sizes {
		if err := r.playSize(ctx, size); err != nil {
			if ctx.Err() != nil {
				return nil, nil, ErrInterrupted
			}
			return nil, nil, err
		}
		// After each size, so that an interrupted run leaves what it measured.
		if err := capacity.Write(filepath.Join(options.Out, ResultsFile), results); err != nil {
			return nil, nil, fmt.Errorf("--out: %w", err)
		}
	}
	return results, r.broke, nil
}

// revision is the commit of the working tree, and whether it has changes beside.
func revision() (commit string, dirty bool) {
	text, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return "unknown", false
	}
	status, err := exec.Command("git", "status", "--porcelain").Output()
	return strings.TrimSpace(string(text)), err != nil || len(status) > 0
}

func machine() string {
	memory := "unknown memory"
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		var kib int
		if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kib); err == nil {
			memory = fmt.Sprintf("%.0f GiB", float64(kib)/(1<<20))
		}
	}
	return fmt.Sprintf("%d processors, %s, %s", runtime.NumCPU(), memory, runtime.Version())
}

// runner plays sizes.
type runner struct {
	config   *Config
	seed     uint64
	out      string
	progress func(string)
	results  *capacity.Results
	broke    []string
}

// spent is the error of a resource that ran out: the size is not run, the next one is.
type spent struct{ what string }

func (s *spent) Error() string { return s.what }

// playSize plays one size and adds its run to the results.
func (r *runner) playSize(ctx context.Context, size Size) error {
	s := &r.config.Scale
	asked := size.Watches
	size.Watches = min(size.Watches, carried(s, size))
	run := capacity.Run{Servers: size.Servers, Watches: size.Watches, Services: size.Services, Subscribed: s.Subscribed,
		ChangesPerSecond: (s.ConfigurationsPerDay + s.RestartsPerDay) / secondsPerDay, Measurements: []capacity.Measurement{}}
	name := fmt.Sprintf("%d servers, %d watches", size.Servers, size.Watches)
	r.progress(name + ": starting")
	if size.Watches < asked {
		r.progress(fmt.Sprintf("%s: %d watches were asked for; %d MiB of memory carry %d", name, asked, s.MemoryMiB, size.Watches))
	}
	p := &play{runner: r, name: name, size: size, run: &run}
	err := p.play(ctx)
	var ranOut *spent
	switch {
	case errors.As(err, &ranOut):
		run.NotRun = ranOut.what
		r.progress(name + ": not run: " + ranOut.what)
		if s.RequireAll {
			r.broke = append(r.broke, fmt.Sprintf("%s not run: %s", name, ranOut.what))
		}
	case err != nil:
		return err
	}
	r.results.Runs = append(r.results.Runs, run)
	return nil
}

// copiesHeld is how often a reader with a subscription holds an entry: in its table and, as a
// real agent, in the one by service.
const copiesHeld = 2

// carried is how many readers the memory carries, by what each holds of the list.
func carried(s *Scale, size Size) int {
	const forReaders = 0.8 // the rest is for stewards and agents
	known := float64(size.Servers)
	if s.Subscribed > 0 {
		known *= copiesHeld * float64(s.Subscribed) / float64(size.Services)
	}
	bytes := forReaders * float64(s.MemoryMiB) * (1 << 20)
	return max(int(math.Floor(bytes/(known*float64(s.EntryBytes)))), 1)
}

// play is one size under way.
type play struct {
	*runner
	name  string
	size  Size
	fleet *fleet
	run   *capacity.Run
	ended atomic.Pointer[string] // why the memory guard ended it
}

func (p *play) play(ctx context.Context) error {
	dir := filepath.Join(p.out, fmt.Sprintf("%d-servers", p.size.Servers))
	if err := os.RemoveAll(dir); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	fleet, err := newFleet(p.config, p.size, p.seed, dir)
	if err != nil {
		return err
	}
	defer fleet.close()
	p.fleet = fleet
	guarded, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.guardMemory(guarded, cancel)
	err = p.phases(guarded)
	if reason := p.ended.Load(); reason != nil {
		return &spent{*reason}
	}
	return err
}

// guardMemory ends the play when its processes hold more than they may.
func (p *play) guardMemory(ctx context.Context, cancel context.CancelFunc) {
	for hollow.Sleep(ctx, time.Second) {
		if held := p.fleet.memoryMiB(); held > float64(p.config.Scale.MemoryMiB) {
			reason := fmt.Sprintf("memory: all processes hold %.0f MiB of at most %d", held, p.config.Scale.MemoryMiB)
			p.ended.Store(&reason)
			cancel()
			return
		}
	}
}

func (p *play) phases(ctx context.Context) error {
	if err := p.fleet.startStewards(ctx); err != nil {
		return err
	}
	if err := p.fleet.startServers(ctx); err != nil {
		return err
	}
	for _, phase := range p.config.Scale.Phases {
		p.progress(p.name + ": " + phase)
		var err error
		switch phase {
		case FirstStart:
			err = p.firstStart(ctx)
		case Steady:
			err = p.steady(ctx, phase, 1)
		case SteadyTen:
			err = p.steady(ctx, phase, 10)
		case LeaderKilled:
			err = p.leaderKilled(ctx)
		case ZoneLost:
			err = p.serversLost(ctx, phase, hollow.ZoneRange(0, p.size.Servers))
		case ConfigBurst:
			err = p.configBurst(ctx)
		case FollowerKilled:
			err = p.stewardKilled(ctx)
		case RegionLost:
			err = p.serversLost(ctx, phase, hollow.Range{Count: hollow.ZoneRange(regionZones, p.size.Servers).First})
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var ranOut *spent
		if errors.As(err, &ranOut) {
			return &spent{phase + ": " + ranOut.what}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// measured runs a phase between two samples and adds the difference to the results.
func (p *play) measured(ctx context.Context, load string, do func() error) (*measurement, error) {
	if err := p.fleet.resetAges(ctx); err != nil {
		return nil, err
	}
	p.takeRequests()
	before, err := p.fleet.take(ctx, false)
	if err != nil {
		return nil, err
	}
	failure := do()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	after, err := p.fleet.take(ctx, true)
	if err != nil {
		return nil, err
	}
	m := &measurement{fleet: p.fleet, run: p.run, load: load, before: before, after: after, seconds: after.at.Sub(before.at).Seconds()}
	m.addAll(p.fleet.leader(ctx), p.takeRequests())
	return m, failure
}

func (p *play) takeRequests() requestFigures {
	if p.fleet.requests == nil {
		return requestFigures{}
	}
	return p.fleet.requests.take()
}

// firstStart registers all servers and starts all readers and agents at once.
func (p *play) firstStart(ctx context.Context) error {
	f := p.fleet
	var registered hollow.RegistrationResult
	if err := f.command(ctx, "/v1/register", hollow.Range{Count: p.size.Servers}, &registered); err != nil {
		return err
	}
	p.run.Add(roleServer, FirstStart, "registrations_per_second", float64(registered.Servers)/registered.Seconds)
	if registered.Refused != "" {
		return &spent{fmt.Sprintf("registration refused: %s; %d of %d servers were registered", registered.Refused, registered.Servers, p.size.Servers)}
	}
	p.progress(fmt.Sprintf("%s: registered in %.1f s", p.name, registered.Seconds))
	if err := f.addAgents(); err != nil {
		return err
	}
	var took time.Duration
	m, err := p.measured(ctx, FirstStart, func() error {
		if err := f.startAgents(); err != nil {
			return err
		}
		if err := f.startReaders(ctx); err != nil {
			return err
		}
		var err error
		took, err = p.waitReaders(ctx, hollow.Expectation{Servers: p.size.Servers})
		return err
	})
	if m != nil {
		if err := m.addSizes(ctx, f.leader(ctx)); err != nil {
			return err
		}
	}
	if err != nil {
		return p.unread(ctx, err)
	}
	m.add(roleReaders, "recovered_s", took.Seconds())
	if err := f.waitAgents(ctx, p.config.Scale.RecoveryTimeout); err != nil {
		return &spent{"real agents: " + err.Error()}
	}
	if len(f.agents) > 0 {
		f.requests = newRequester(f.agentsAt, p.config.Scale.RequestRate)
	}
	return nil
}

// maxList is the longest list that readers take (internal/endpoints).
const maxList = 4 << 20

// unread says why readers did not get the list, where the size of the list is the reason.
func (p *play) unread(ctx context.Context, err error) error {
	var ranOut *spent
	leader := p.fleet.leader(ctx)
	if !errors.As(err, &ranOut) || leader < 0 || p.config.Scale.Subscribed > 0 {
		return err
	}
	text, failed := p.fleet.getAdmitted(ctx, leader, "/v1/endpoints")
	if failed == nil && len(text) > maxList {
		return &spent{fmt.Sprintf("whole list of %d bytes is over %d: readers refuse it", len(text), maxList)}
	}
	return err
}

// waitReaders waits until all readers have open watches and the list that is expected, at
// the version that the leader has.
func (p *play) waitReaders(ctx context.Context, expected hollow.Expectation) (time.Duration, error) {
	var state hollow.AgentsState
	var failure error
	took, ok := poll(ctx, p.config.Scale.RecoveryTimeout, func() bool {
		leader := p.fleet.leader(ctx)
		if leader < 0 {
			return false
		}
		status, err := p.fleet.status(ctx, leader)
		if err != nil {
			return false
		}
		if p.config.Scale.Subscribed == 0 {
			expected.Version = status.Seq
		}
		state, failure = p.fleet.readersState(ctx, expected, false)
		return failure == nil && state.AsExpected == state.Agents && state.WatchesOpen == state.Agents && state.AtVersion == state.Agents
	})
	switch {
	case ctx.Err() != nil:
		return took, ctx.Err()
	case ok:
		return took, nil
	case failure != nil:
		return took, failure
	}
	return took, &spent{fmt.Sprintf("readers: after %v, of %d readers %d had the list, %d were at the last version, %d had an open watch",
		p.config.Scale.RecoveryTimeout, state.Agents, state.AsExpected, state.AtVersion, state.WatchesOpen)}
}

// steady measures a fleet in which servers change at a multiple of the target's rates.
func (p *play) steady(ctx context.Context, load string, times float64) error {
	if err := p.fleet.setRates(ctx, times); err != nil {
		return err
	}
	_, err := p.measured(ctx, load, func() error {
		hollow.Sleep(ctx, p.config.Scale.SteadyDuration)
		return nil
	})
	if err != nil {
		return err
	}
	return p.fleet.setRates(ctx, 1)
}

// leaderKilled kills the steward that leads, and starts it again once another takes writes.
func (p *play) leaderKilled(ctx context.Context) error {
	f := p.fleet
	leader := f.leader(ctx)
	if leader < 0 {
		return &spent{"no steward leads"}
	}
	var writable, back time.Duration
	m, err := p.measured(ctx, LeaderKilled, func() error {
		began := time.Now()
		f.stewards[leader].Kill()
		<-f.stewards[leader].Ended()
		var err error
		if writable, err = p.waitWrite(ctx, leader); err != nil {
			return err
		}
		if err := f.stewards[leader].Start(); err != nil {
			return err
		}
		_, err = p.waitReaders(ctx, hollow.Expectation{Servers: p.size.Servers})
		back = time.Since(began)
		return err
	})
	if err != nil {
		return err
	}
	m.add(roleLeader, "recovered_s", writable.Seconds())
	m.add(roleReaders, "recovered_s", back.Seconds())
	return nil
}

// waitWrite waits until one of the other stewards takes a write.
func (p *play) waitWrite(ctx context.Context, killed int) (time.Duration, error) {
	others := slices.Delete(slices.Clone(p.fleet.stewardsAt), killed, killed+1)
	client := control.NewClient(others, statusWait)
	share := 1.0
	took, ok := poll(ctx, p.config.Scale.RecoveryTimeout, func() bool {
		_, err := client.SetOverride(ctx, "hollow-00000", control.ServerOverride{Weight: &share})
		return err == nil
	})
	if !ok {
		return took, errors.Join(ctx.Err(), &spent{fmt.Sprintf("no write was taken within %v of the leader's end", p.config.Scale.RecoveryTimeout)})
	}
	return took, nil
}

// regionZones is how many zones a region has: 22 in 6 regions, rounded up.
const regionZones = 4

// serversLost has some servers fall silent, all of a zone or more, and come back.
func (p *play) serversLost(ctx context.Context, load string, lost hollow.Range) error {
	f := p.fleet
	var gone, back time.Duration
	m, err := p.measured(ctx, load, func() error {
		if err := f.command(ctx, "/v1/silence", lost, &lost); err != nil {
			return err
		}
		var err error
		if gone, err = p.waitReaders(ctx, hollow.Expectation{Servers: p.size.Servers, Absent: lost.Count}); err != nil {
			return err
		}
		began := time.Now()
		var registered hollow.RegistrationResult
		if err := f.command(ctx, "/v1/register", lost, &registered); err != nil {
			return err
		}
		if registered.Refused != "" {
			return &spent{"their return was refused: " + registered.Refused}
		}
		_, err = p.waitReaders(ctx, hollow.Expectation{Servers: p.size.Servers})
		back = time.Since(began)
		return err
	})
	if err != nil {
		return err
	}
	m.add(roleReaders, "gone_s", gone.Seconds())
	m.add(roleReaders, "recovered_s", back.Seconds())
	return nil
}

// burstPerSecond is the rate of configuration changes in a burst, which lasts burstFor.
const (
	burstPerSecond = 200
	burstFor       = 2 * time.Second
)

// configBurst makes many configuration changes and waits until all readers have the last.
func (p *play) configBurst(ctx context.Context) error {
	var took time.Duration
	m, err := p.measured(ctx, ConfigBurst, func() error {
		rates := hollow.Rates{ConfigurationsPerSecond: burstPerSecond}
		if err := p.fleet.command(ctx, "/v1/rates", rates, &rates); err != nil {
			return err
		}
		hollow.Sleep(ctx, burstFor)
		if err := p.fleet.setRates(ctx, 1); err != nil {
			return err
		}
		var err error
		took, err = p.waitReaders(ctx, hollow.Expectation{Servers: p.size.Servers})
		return err
	})
	if err != nil {
		return err
	}
	m.add(roleReaders, "recovered_s", took.Seconds())
	return nil
}

// waitFailovers waits until readers left their stewards so often: what they say of their
// watches before that is of the time before the steward's end.
func (p *play) waitFailovers(ctx context.Context, wanted int64) error {
	var state hollow.AgentsState
	var err error
	_, ok := poll(ctx, p.config.Scale.RecoveryTimeout, func() bool {
		state, err = p.fleet.readersState(ctx, hollow.Expectation{}, false)
		return err == nil && state.Failovers >= wanted
	})
	if !ok {
		return errors.Join(ctx.Err(), err, &spent{fmt.Sprintf("readers left stewards %d times, not %d, after one was gone", state.Failovers, wanted)})
	}
	return nil
}

// stewardKilled kills a steward that doesn't lead, and starts it again once its watches
// have moved to others.
func (p *play) stewardKilled(ctx context.Context) error {
	f := p.fleet
	killed := (f.leader(ctx) + 1) % len(f.stewards)
	status, err := f.status(ctx, killed)
	if err != nil {
		return err
	}
	before, err := f.readersState(ctx, hollow.Expectation{}, false)
	if err != nil {
		return err
	}
	watches := status.Watches - len(f.agents) // at least, of hollow agents
	var moved time.Duration
	m, err := p.measured(ctx, FollowerKilled, func() error {
		began := time.Now()
		f.stewards[killed].Kill()
		<-f.stewards[killed].Ended()
		if err := p.waitFailovers(ctx, before.Failovers+int64(watches)); err != nil {
			return err
		}
		_, err := p.waitReaders(ctx, hollow.Expectation{Servers: p.size.Servers})
		moved = time.Since(began)
		return errors.Join(err, f.stewards[killed].Start())
	})
	if err != nil {
		return err
	}
	m.add(roleReaders, "recovered_s", moved.Seconds())
	return nil
}
