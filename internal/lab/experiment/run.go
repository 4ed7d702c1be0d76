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
	Seed     uint64 // 0: the file's
	Out      string // the folder of the results
	Progress func(Progress)
}

// Progress is how far a run is.
type Progress struct {
	Phase   string   `json:"phase"` // "starting", "running" or "ending"
	Elapsed float64  `json:"elapsed_s"`
	Total   float64  `json:"total_s"`
	Asked   int      `json:"asked"`
	InTime  int      `json:"in_time"`
	Late    int      `json:"late"`
	Refused int      `json:"refused"`
	Failed  int      `json:"failed"`
	Breach  int      `json:"breaches"`
	Faults  []string `json:"faults"` // that are on
}

const (
	sampleEvery   = 500 * time.Millisecond
	progressEvery = 250 * time.Millisecond
	sweepEvery    = 5 * time.Second
	// lead is the time from the last agent's being ready to the first request.
	lead = 200 * time.Millisecond
)

// Run plays an experiment and returns what was seen. An error is one of setting it up;
// whatever happens, nothing that it started is left.
func Run(ctx context.Context, c *Config, o Options) (*Summary, error) {
	seed := o.Seed
	if seed == 0 {
		seed = c.Seed
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, fmt.Errorf("--out: %w", err)
	}
	probe := filepath.Join(o.Out, ".writable")
	if err := os.WriteFile(probe, []byte("x"), 0o644); err != nil {
		return nil, fmt.Errorf("--out: %w", err)
	}
	os.Remove(probe)
	r := &run{c: c, seed: seed, out: o.Out, progress: o.Progress, epoch: time.Now()}
	defer r.close()
	if err := r.listen(); err != nil {
		return nil, err
	}
	if err := r.build(); err != nil {
		return nil, err
	}
	r.tell("starting")
	if err := r.start(ctx); err != nil {
		if ctx.Err() != nil {
			return nil, errInterrupted
		}
		return nil, err
	}
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return r.summarize()
}

// run is one play of an experiment.
type run struct {
	c        *Config
	seed     uint64
	out      string
	progress func(Progress)
	epoch    time.Time
	zero     time.Duration // by the clock, when the load begins
	addrs    *loopback.Net
	lanes    []*lane
	samples  [][]sample // by lane
	applied  [][]Applied
	status   *http.Server
	cores    float64 // the lab's own processors in use while it played

	descriptors int // the lab's own, at most
	owned       sync.WaitGroup

	mu   sync.Mutex
	last Progress
}

func (r *run) clock() time.Duration { return time.Since(r.epoch) }

func (r *run) close() {
	var all sync.WaitGroup
	for _, l := range r.lanes {
		all.Add(1)
		go func() { defer all.Done(); l.close() }()
	}
	all.Wait()
	if r.addrs != nil {
		r.addrs.Close()
	}
	if r.status != nil {
		r.status.Close()
	}
	r.owned.Wait()
}

// listen offers the run's state as JSON, where the file asks for it.
func (r *run) listen() error {
	if r.c.Listen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", r.c.Listen)
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
	r.owned.Add(1)
	go func() {
		defer r.owned.Done()
		_ = r.status.Serve(ln)
	}()
	return nil
}

func (r *run) build() error {
	raiseLimit()
	var err error
	if r.addrs, err = loopback.Claim(); err != nil {
		return err
	}
	for _, policyName := range append([]string{""}, r.c.Baselines...) {
		l, err := newLane(r.c, policyName, r.out, r.seed, r.addrs, r.clock, r.epoch)
		if err != nil {
			return err
		}
		r.lanes = append(r.lanes, l)
	}
	r.samples, r.applied = make([][]sample, len(r.lanes)), make([][]Applied, len(r.lanes))
	return nil
}

// raiseLimit asks for as many descriptors as the servers of a large fleet hold, if it may.
func raiseLimit() {
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

// startTogether is how many processes are started at once: what hundreds do in their
// first moments would keep each of them from being ready in time.
const startTogether = 24

func (r *run) start(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(startTogether)
	for _, l := range r.lanes {
		if l.list != nil {
			if err := l.list.start(ctx); err != nil {
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
				l.checker.Started(i)
				l.clients[i].Up()
				continue
			}
			g.Go(func() error { return l.start(ctx, l.agents[i]) })
		}
	}
	return g.Wait()
}

// play runs load and faults, and returns when the last request has its end.
func (r *run) play(ctx context.Context) error {
	arrivals := client.Draw(&r.c.Load, r.c.Agents.Count, r.c.Duration, r.c.changes(), r.seed)
	r.zero = r.clock() + lead
	for i := range arrivals {
		for j := range arrivals[i] {
			arrivals[i][j].At += r.zero
		}
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	faultCtx, stopFaults := context.WithTimeout(ctx, r.zero+r.c.Duration-r.clock())
	defer stopFaults()
	lookCtx, stopLook := context.WithCancel(ctx)
	var load, faults, looks sync.WaitGroup
	for i, l := range r.lanes {
		for j, cl := range l.clients {
			load.Add(1)
			go func() { defer load.Done(); cl.Run(loadCtx, arrivals[j]) }()
		}
		faults.Add(1)
		go func() { defer faults.Done(); r.applied[i] = l.timeline(faultCtx, r.zero) }()
		looks.Add(1)
		go func() { defer looks.Done(); r.samples[i] = l.sampleAll(lookCtx, r.zero) }()
	}
	looks.Add(1)
	go func() { defer looks.Done(); r.tellAll(lookCtx) }()
	used, began := processorTime(), time.Now()
	faults.Wait()
	load.Wait()
	r.cores = float64(processorTime()-used) / float64(time.Since(began))
	stopLook()
	looks.Wait()
	r.tell("ending")
	return ctx.Err()
}

// tellAll reports progress until the context ends.
func (r *run) tellAll(ctx context.Context) {
	for n := 0; sleep(ctx, progressEvery); n++ {
		r.tell("running")
		if n%4 == 0 {
			r.descriptors = max(r.descriptors, openDescriptors())
		}
	}
}

func (r *run) tell(phase string) {
	t := r.lanes[0].counts()
	_, breaches := r.lanes[0].checker.Breaches()
	p := Progress{Phase: phase, Total: r.c.Duration.Seconds(), Asked: t.Asked, InTime: t.InTime, Late: t.Late,
		Refused: t.Refused, Failed: t.Failed, Faults: []string{}}
	if r.zero > 0 {
		p.Elapsed = min(max((r.clock()-r.zero).Seconds(), 0), p.Total)
	}
	for _, n := range breaches {
		p.Breach += n
	}
	for i := range r.c.Fault {
		if f := &r.c.Fault[i]; f.After == "" && p.Elapsed >= f.At.Seconds() && p.Elapsed < (f.At+max(f.For, time.Second)).Seconds() {
			p.Faults = append(p.Faults, f.Name)
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
	at                                 time.Duration
	arrived, conns, probes, away       int64
	calls, wholes, lines               int64
	open, inflight, cold, choked, down int
	watches                            int64
	rssMax, cpu                        float64
	agents                             int
}

// sampleAll takes a sample now and then, watches what the processes use, and lets the
// checker forget what is long over.
func (l *lane) sampleAll(ctx context.Context, zero time.Duration) []sample {
	var out []sample
	swept := time.Duration(0)
	for {
		s := l.sample()
		s.at = l.clock() - zero
		out = append(out, s)
		if l.clock()-swept > sweepEvery {
			swept = l.clock()
			l.checker.Sweep()
		}
		if !sleep(ctx, sampleEvery) {
			s := l.sample()
			s.at = l.clock() - zero
			return append(out, s)
		}
	}
}

func (l *lane) sample() sample {
	var s sample
	for _, sv := range l.servers {
		st := sv.State()
		s.arrived += sv.Arrived.Load()
		s.conns += sv.Connections.Load()
		s.probes += sv.Probes.Load()
		s.away += sv.Away.Load()
		s.open += st.Conns
		s.inflight += st.Inflight
		switch {
		case st.Health == "gone":
			s.down++
		case st.Choked:
			s.choked++
		case st.Ramp < 1:
			s.cold++
		}
	}
	d := &l.disc.Counters
	s.calls, s.wholes, s.lines, s.watches = d.Calls.Load(), d.Wholes.Load(), d.Lines.Load(), d.Watches.Load()
	for i, a := range l.agents {
		use, _, over := a.proc.Look()
		if a.proc.Runs() {
			s.agents++
		}
		s.rssMax = max(s.rssMax, use.RSSMB)
		s.cpu += use.CPU.Seconds()
		if over {
			l.checker.Report(check.RuleLimit, i, fmt.Sprintf("killed at %.0f MB of at most %.0f", use.RSSMB, l.c.Agents.MemoryMB))
		}
		if use.Descriptors > l.c.Agents.Sockets {
			l.checker.Report(check.RuleLimit, i, fmt.Sprintf("%d descriptors of at most %d", use.Descriptors, l.c.Agents.Sockets))
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

func machine() Machine {
	m := Machine{CPUs: runtime.NumCPU(), Go: runtime.Version()}
	if text, err := os.ReadFile("/proc/sys/kernel/osrelease"); err == nil {
		m.Kernel = strings.TrimSpace(string(text))
	}
	return m
}

// buildOf names a program by its contents.
func buildOf(path string) string {
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
