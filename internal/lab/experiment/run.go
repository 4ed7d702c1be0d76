package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/loopback"
)

// Options is how an experiment is played.
type Options struct {
	Seed      uint64 // 0: the file's
	OutputDir string // the folder of the results
	Progress  func(Progress)
}

// Progress is how far a run is.
type Progress struct {
	Phase          string   `json:"phase"` // "starting", "running" or "ending"
	ElapsedSeconds float64  `json:"elapsed_s"`
	TotalSeconds   float64  `json:"total_s"`
	Requests       int      `json:"asked"`
	InTime         int      `json:"in_time"`
	Late           int      `json:"late"`
	Rejected       int      `json:"refused"`
	Failed         int      `json:"failed"`
	Breaches       int      `json:"breaches"`
	ActiveFaults   []string `json:"faults"` // that are on
}

const (
	sampleInterval   = 500 * time.Millisecond
	progressInterval = 250 * time.Millisecond
	sweepInterval    = 5 * time.Second
	// loadStartDelay is the time from the last agent's being ready to the first request.
	loadStartDelay = 200 * time.Millisecond
)

// Run plays an experiment and returns what was seen. An error is one of setting it up;
// whatever happens, nothing that it started is left.
func Run(ctx context.Context, config *Config, options Options) (*Summary, error) {
	seed := options.Seed
	if seed == 0 {
		seed = config.Seed
	}
	if err := os.MkdirAll(options.OutputDir, 0o755); err != nil {
		return nil, fmt.Errorf("--out: %w", err)
	}
	probe := filepath.Join(options.OutputDir, ".writable")
	if err := os.WriteFile(probe, []byte("x"), 0o644); err != nil {
		return nil, fmt.Errorf("--out: %w", err)
	}
	os.Remove(probe)
	current := &run{config: config, seed: seed, outputDir: options.OutputDir, progress: options.Progress, epoch: time.Now()}
	defer current.close()
	if err := current.serveStatus(); err != nil {
		return nil, err
	}
	if err := current.buildFleets(); err != nil {
		return nil, err
	}
	current.publishProgress("starting")
	if err := current.start(ctx); err != nil {
		if ctx.Err() != nil {
			return nil, errInterrupted
		}
		return nil, err
	}
	if err := current.execute(ctx); err != nil {
		return nil, err
	}
	return current.summarize()
}

// run is one play of an experiment.
type run struct {
	config    *Config
	seed      uint64
	outputDir string
	progress  func(Progress)
	epoch     time.Time
	loadStart time.Duration // by the clock, when the load begins
	addresses *loopback.Net
	fleets    []*fleet
	samples   [][]sample // by lane
	applied   [][]InjectedFault
	status    *http.Server
	coresUsed float64 // the lab's own processors in use while it played

	peakDescriptors int // the lab's own, at most
	background      sync.WaitGroup

	mu   sync.Mutex
	last Progress
}

func (r *run) clock() time.Duration { return time.Since(r.epoch) }

func (r *run) close() {
	var all sync.WaitGroup
	for _, l := range r.fleets {
		all.Add(1)
		go func() { defer all.Done(); l.close() }()
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

// serveStatus offers the run's state as JSON, where the file asks for it.
func (r *run) serveStatus() error {
	if r.config.Listen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", r.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	r.status = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		p := r.last
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p)
	})}
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		_ = r.status.Serve(ln)
	}()
	return nil
}

func (r *run) buildFleets() error {
	raiseDescriptorLimit()
	var err error
	if r.addresses, err = loopback.Claim(); err != nil {
		return err
	}
	for _, policyName := range append([]string{""}, r.config.Baselines...) {
		l, err := newFleet(r.config, policyName, r.outputDir, r.seed, r.addresses, r.clock, r.epoch)
		if err != nil {
			return err
		}
		r.fleets = append(r.fleets, l)
	}
	r.samples, r.applied = make([][]sample, len(r.fleets)), make([][]InjectedFault, len(r.fleets))
	return nil
}

// raiseDescriptorLimit asks for as many descriptors as the servers of a large fleet hold, if it may.
func raiseDescriptorLimit() {
	want := uint64(200_000)
	var lim syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim) != nil || lim.Cur >= want {
		return
	}
	if syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: want, Max: max(want, lim.Max)}) != nil {
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: lim.Max, Max: lim.Max})
	}
}

// descriptorLimit is how many descriptors the lab may hold.
func descriptorLimit() int {
	var lim syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim) != nil {
		return 0
	}
	return int(lim.Cur)
}

func openDescriptors() int {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer dir.Close()
	names, _ := dir.Readdirnames(-1)
	return len(names)
}

// processorTime is what the lab has used of the processors.
func processorTime() time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// maxParallelStarts is how many processes are started at once: what hundreds do in their
// first moments would keep each of them from being ready in time.
const maxParallelStarts = 24

func (r *run) start(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelStarts)
	for _, l := range r.fleets {
		if l.controlPlane != nil {
			if err := l.controlPlane.start(ctx); err != nil {
				return err
			}
			if l.workers != nil {
				if err := l.workers.start(ctx); err != nil {
					return err
				}
			}
		}
		for i := range l.clients {
			if l.policy != "" {
				l.checker.AgentStarted(i)
				l.clients[i].Start()
				continue
			}
			g.Go(func() error { return l.startAgent(ctx, l.agents[i]) })
		}
	}
	return g.Wait()
}

// execute runs load and faults, and returns when the last request has its end.
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
	lookCtx, stopLook := context.WithCancel(ctx)
	var load, faults, looks sync.WaitGroup
	for i, l := range r.fleets {
		for j, cl := range l.clients {
			load.Add(1)
			go func() { defer load.Done(); cl.Run(loadCtx, arrivals[j]) }()
		}
		faults.Add(1)
		go func() { defer faults.Done(); r.applied[i] = l.runTimeline(faultCtx, r.loadStart) }()
		looks.Add(1)
		go func() { defer looks.Done(); r.samples[i] = l.collectSamples(lookCtx, r.loadStart) }()
	}
	looks.Add(1)
	go func() { defer looks.Done(); r.reportProgress(lookCtx) }()
	used, began := processorTime(), time.Now()
	faults.Wait()
	load.Wait()
	r.coresUsed = float64(processorTime()-used) / float64(time.Since(began))
	stopLook()
	looks.Wait()
	r.publishProgress("ending")
	return ctx.Err()
}

// reportProgress reports progress until the context ends.
func (r *run) reportProgress(ctx context.Context) {
	for n := 0; sleep(ctx, progressInterval); n++ {
		r.publishProgress("running")
		if n%4 == 0 {
			r.peakDescriptors = max(r.peakDescriptors, openDescriptors())
		}
	}
}

func (r *run) publishProgress(phase string) {
	t := r.fleets[0].currentTally()
	_, breaches := r.fleets[0].checker.Breaches()
	p := Progress{Phase: phase, TotalSeconds: r.config.Duration.Seconds(), Requests: t.Requests, InTime: t.InTime, Late: t.Late,
		Rejected: t.Rejected, Failed: t.Failed, ActiveFaults: []string{}}
	if r.loadStart > 0 {
		p.ElapsedSeconds = min(max((r.clock()-r.loadStart).Seconds(), 0), p.TotalSeconds)
	}
	for _, n := range breaches {
		p.Breaches += n
	}
	for i := range r.config.Faults {
		if f := &r.config.Faults[i]; f.AfterEvent == "" && p.ElapsedSeconds >= f.At.Seconds() && p.ElapsedSeconds < (f.At+max(f.Duration, time.Second)).Seconds() {
			p.ActiveFaults = append(p.ActiveFaults, f.Name)
		}
	}
	r.mu.Lock()
	r.last = p
	r.mu.Unlock()
	if r.progress != nil {
		r.progress(p)
	}
}

// sample is what a lane's counters stood at.
type sample struct {
	at                                                     time.Duration
	attempts, connections, probes, rejected                int64
	listCalls, fullLists, listLines                        int64
	openConnections, inFlight, warmingUp, overloaded, down int
	watches                                                int64
	rssMax, cpu                                            float64
	agents                                                 int
}

// collectSamples takes a sample now and then, watches what the processes use, and lets the
// checker forget what is long over.
func (fl *fleet) collectSamples(ctx context.Context, loadStart time.Duration) []sample {
	var out []sample
	swept := time.Duration(0)
	for {
		s := fl.takeSample()
		s.at = fl.clock() - loadStart
		out = append(out, s)
		if fl.clock()-swept > sweepInterval {
			swept = fl.clock()
			fl.checker.Sweep()
		}
		if !sleep(ctx, sampleInterval) {
			s := fl.takeSample()
			s.at = fl.clock() - loadStart
			return append(out, s)
		}
	}
}

func (fl *fleet) takeSample() sample {
	var s sample
	for _, sv := range fl.servers {
		st := sv.State()
		s.attempts += sv.Arrived.Load()
		s.connections += sv.Connections.Load()
		s.probes += sv.Probes.Load()
		s.rejected += sv.Away.Load()
		s.openConnections += st.Conns
		s.inFlight += st.Inflight
		switch {
		case st.Health == "gone":
			s.down++
		case st.Choked:
			s.overloaded++
		case st.Ramp < 1:
			s.warmingUp++
		}
	}
	d := &fl.discovery.Counters
	s.listCalls, s.fullLists, s.listLines, s.watches = d.Calls.Load(), d.Wholes.Load(), d.Lines.Load(), d.Watches.Load()
	for i, a := range fl.agents {
		use, _, over := a.process.Look()
		if a.process.Runs() {
			s.agents++
		}
		s.rssMax = max(s.rssMax, use.RSSMB)
		s.cpu += use.CPU.Seconds()
		if over {
			fl.checker.ReportBreach(check.RuleLimit, i, fmt.Sprintf("killed at %.0f MB of at most %.0f", use.RSSMB, fl.config.Agents.MemoryMB))
		}
		if use.Descriptors > fl.config.Agents.Sockets {
			fl.checker.ReportBreach(check.RuleLimit, i, fmt.Sprintf("%d descriptors of at most %d", use.Descriptors, fl.config.Agents.Sockets))
		}
	}
	return s
}

// Machine is where a run was played.
type Machine struct {
	CPUs   int    `json:"cpus"`
	Go     string `json:"go"`
	Kernel string `json:"kernel"`
}

func describeMachine() Machine {
	m := Machine{CPUs: runtime.NumCPU(), Go: runtime.Version()}
	if text, err := os.ReadFile("/proc/sys/kernel/osrelease"); err == nil {
		m.Kernel = strings.TrimSpace(string(text))
	}
	return m
}

// programDigest names a program by its contents.
func programDigest(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return "unknown"
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "unknown"
	}
	return hex.EncodeToString(h.Sum(nil))[:12]
}

// Interrupted tells whether a run ended because it was told to.
func Interrupted(err error) bool {
	return errors.Is(err, errInterrupted) || errors.Is(err, context.Canceled)
}
