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

// maxAge is the highest age in the histogram of ages. Higher ages are recorded as maxAge.
const maxAge = 10 * time.Minute

// Agents runs the hollow agents of one process.
type Agents struct {
	config    AgentsConfig
	ctx       context.Context // the context of Run
	log       *slog.Logger
	meter     *meteredTransport
	agents    []*Agent
	started   time.Time
	startedMs float64 // wall-clock time of started, in Unix milliseconds
	counts    struct {
		lines, entries, fullLists, versions, watchesEnded, failovers atomic.Int64
	}

	watches sync.WaitGroup // goroutines of the agents' watches
	stopMu  sync.Mutex
	stopped bool // no new watch may start

	mu   sync.Mutex
	ages *hdrhistogram.Histogram // ages of changes on receipt, in ms
}

// NewAgents creates hollow agents, which are idle until Run. Its error names the flag of the first invalid
// value in the configuration.
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
	// Each call uses its own connection, as in the real agent's list client.
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

// Run starts the agents. It returns after the context and all watches have ended.
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

// beginWatch registers the goroutine of a new watch. It returns false if the process is ending and no watch
// may start. Otherwise the goroutine must call watches.Done at its end.
func (p *Agents) beginWatch() bool {
	p.stopMu.Lock()
	defer p.stopMu.Unlock()
	if p.stopped || p.ctx.Err() != nil {
		return false
	}
	p.watches.Add(1)
	return true
}

// stopNewWatches makes beginWatch return false from now on.
func (p *Agents) stopNewWatches() {
	p.stopMu.Lock()
	defer p.stopMu.Unlock()
	p.stopped = true
}

// nowMs returns the time that a real agent passes to the balancer: milliseconds since 1970 by a monotonic
// clock.
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

// resetAges discards the recorded ages.
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
