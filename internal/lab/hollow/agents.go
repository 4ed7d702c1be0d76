package hollow

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxAge is the longest age that the histogram of ages holds; an older change counts as that old.
const maxAge = 10 * time.Minute

// Agents is a process of hollow agents.
type Agents struct {
	config    AgentsConfig
	ctx       context.Context // of Run
	log       *slog.Logger
	meter     *meteredTransport
	agents    []*Agent
	started   time.Time
	startedMs float64 // the same by the wall clock
	counts    struct {
		lines, entries, fullLists, versions, watchesEnded, failovers atomic.Int64
	}

	watches sync.WaitGroup // goroutines of the agents' watches
	stopMu  sync.Mutex
	stopped bool // no watch is begun any more

	mu   sync.Mutex
	ages *hdrhistogram.Histogram // of changes on receipt, in ms
}

// NewAgents makes hollow agents that do nothing before Run. Its error names the flag of the first
// value of the configuration that is out of bounds.
func NewAgents(config AgentsConfig, log *slog.Logger) (*Agents, error) {
	if config.Fleet == 0 {
		config.Fleet = config.Count
	}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	started := time.Now()
	p := &Agents{
		config:    config,
		log:       log,
		started:   started,
		startedMs: float64(started.UnixMicro()) / 1000,
		ages:      hdrhistogram.New(1, maxAge.Milliseconds(), 3),
	}
	// A connection a call, as the real agent's reader.
	p.meter = newMeteredTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, config.Sources)
	for i := range config.Count {
		index := config.First + i
		agent, err := newAgent(p, index, DrawServices(config.Seed, index, config.Services, config.Subscribed), p.meter)
		if err != nil {
			return nil, err
		}
		p.agents = append(p.agents, agent)
	}
	return p, nil
}

// Run starts the agents and returns when the context has ended and all watches with it.
func (p *Agents) Run(ctx context.Context) {
	p.ctx = ctx
	p.log.Info("hollow agents start", "count", p.config.Count, "first", p.config.First, "control_plane", p.config.ControlPlane)
	pause := p.config.StartSpread / time.Duration(p.config.Count)
	for _, agent := range p.agents {
		if !Sleep(ctx, pause) {
			break
		}
		agent.start()
	}
	<-ctx.Done()
	p.stopNewWatches()
	p.watches.Wait()
	state := p.State(ExpectedList{})
	p.log.Info("hollow agents end", "lines", state.Lines, "versions", state.Versions, "calls", state.Total.Calls, "bytes_in", state.Total.BytesIn)
}

// beginWatch counts the goroutine of a watch that is about to begin. It returns false if none may
// begin, as the process ends; else the goroutine calls watches.Done at its end.
func (p *Agents) beginWatch() bool {
	p.stopMu.Lock()
	defer p.stopMu.Unlock()
	if p.stopped || p.ctx.Err() != nil {
		return false
	}
	p.watches.Add(1)
	return true
}

// stopNewWatches has beginWatch return false from now on.
func (p *Agents) stopNewWatches() {
	p.stopMu.Lock()
	defer p.stopMu.Unlock()
	p.stopped = true
}

// nowMs returns the time as the real agent gives it to the policy: in ms since 1970 by a clock
// that is monotonic.
func (p *Agents) nowMs() float64 {
	return p.startedMs + float64(time.Since(p.started))/float64(time.Millisecond)
}

// recordAges adds the ages of changes to the histogram.
func (p *Agents) recordAges(ages []time.Duration) {
	if len(ages) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, age := range ages {
		_ = p.ages.RecordValue(min(age, maxAge).Milliseconds())
	}
}

// resetAges begins a new measurement of ages.
func (p *Agents) resetAges() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ages.Reset()
}

// exportAges copies the histogram of ages.
func (p *Agents) exportAges() *hdrhistogram.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ages.Export()
}
