// Package hollow runs processes that load the list service as a fleet does, many in one
// process: readers with the real client and a real table but no data path, and programme
// servers that register, renew, drain, leave and are replaced but may serve nothing.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knotrouter/internal/endpoints"
)

// Bounds of one process.
const (
	MaxAgents  = 19_000 // a descriptor each, of 20,000 a process
	MaxServers = 100_000
	maxSources = 250
)

// longestAge bounds what the histogram of ages holds; an older change counts as that old.
const longestAge = 10 * time.Minute

// AgentsConfig describes hollow agents of one process.
type AgentsConfig struct {
	ControlPlane []string      // HTTP addresses of the list service
	Count        int           // hollow agents in this process
	First        int           // index of the first one in the fleet
	Fleet        int           // readers of the whole fleet; 0: Count
	Seed         uint64        // of the order of addresses, the jitter and the subscriptions
	Spread       time.Duration // agents are started evenly over that time; 0: at once
	Services     int           // services that there are
	Subscribed   int           // services that each agent subscribes to; 0: the whole list
	Sources      []string      // local addresses, taken in turn; none: the kernel's choice
}

// Validate reports the first value that makes no sense, by its flag.
func (c *AgentsConfig) Validate() error {
	if err := validateStewards(c.ControlPlane); err != nil {
		return err
	}
	switch {
	case c.Count < 1 || c.Count > MaxAgents:
		return fmt.Errorf("--count: must be 1 to %d, is %d", MaxAgents, c.Count)
	case c.First < 0:
		return fmt.Errorf("--first: must be 0 or above, is %d", c.First)
	case c.Fleet < 0:
		return fmt.Errorf("--fleet: must be 0 or above, is %d", c.Fleet)
	case c.Spread < 0 || c.Spread > time.Hour:
		return fmt.Errorf("--spread: must be 0 to 1h, is %v", c.Spread)
	case c.Services < 1 || c.Services > MaxServers:
		return fmt.Errorf("--services: must be 1 to %d, is %d", MaxServers, c.Services)
	case c.Subscribed < 0 || c.Subscribed > c.Services:
		return fmt.Errorf("--subscribed: must be 0 to the number of services (%d), is %d", c.Services, c.Subscribed)
	case len(c.Sources) > maxSources:
		return fmt.Errorf("--source: %d addresses of at most %d", len(c.Sources), maxSources)
	}
	for _, source := range c.Sources {
		if ip := net.ParseIP(source); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("--source: must be a loopback address, is %q", source)
		}
	}
	return nil
}

func validateStewards(addresses []string) error {
	if len(addresses) == 0 {
		return errors.New("--stewards: missing")
	}
	for _, address := range addresses {
		if !endpoints.IsAddress(address) {
			return fmt.Errorf("--stewards: no address with a port: %q", address)
		}
	}
	return nil
}

// Agents is a process of hollow agents.
type Agents struct {
	config  AgentsConfig
	ctx     context.Context
	log     *slog.Logger
	meter   *meter
	agents  []*Agent
	began   time.Time
	beganMs float64
	counts  struct {
		lines, entries, wholeLists, versions, watchesEnded, failovers atomic.Int64
	}

	running sync.WaitGroup
	ending  sync.Mutex
	ended   bool

	mu   sync.Mutex
	ages *hdrhistogram.Histogram // of changes on receipt, in ms
}

// NewAgents makes hollow agents that do nothing before Run.
func NewAgents(config AgentsConfig, log *slog.Logger) (*Agents, error) {
	if config.Fleet == 0 {
		config.Fleet = config.Count
	}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	began := time.Now()
	p := &Agents{config: config, log: log, began: began, beganMs: float64(began.UnixMicro()) / 1000, ages: newAges()}
	// A connection a call, as the real agent's reader.
	p.meter = newMeter(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, config.Sources)
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

func newAges() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestAge.Milliseconds(), 3)
}

// ServiceName names the service with an index.
func ServiceName(index int) string { return fmt.Sprintf("service-%04d", index) }

// DrawServices draws the services that the reader with an index subscribes to, in order, from
// the seed. It returns nil, the whole list, if subscribed is 0.
func DrawServices(seed uint64, index, services, subscribed int) []string {
	if subscribed == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	drawn := random.Perm(services)[:subscribed]
	slices.Sort(drawn)
	names := make([]string, len(drawn))
	for i, service := range drawn {
		names[i] = ServiceName(service)
	}
	return names
}

// Run starts the agents and returns when the context has ended and all watches with it.
func (p *Agents) Run(ctx context.Context) {
	p.ctx = ctx
	p.log.Info("hollow agents start", "count", p.config.Count, "first", p.config.First, "stewards", p.config.ControlPlane)
	pause := p.config.Spread / time.Duration(p.config.Count)
	for _, agent := range p.agents {
		if !sleep(ctx, pause) {
			break
		}
		agent.start()
	}
	<-ctx.Done()
	p.ending.Lock()
	p.ended = true
	p.ending.Unlock()
	p.running.Wait()
	state := p.State(Expectation{})
	p.log.Info("hollow agents end", "lines", state.Lines, "versions", state.Versions, "calls", state.Total.Calls, "bytes_in", state.Total.BytesIn)
}

func sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// enter counts a goroutine of an agent, unless the process is ending.
func (p *Agents) enter() bool {
	p.ending.Lock()
	defer p.ending.Unlock()
	if p.ended || p.ctx.Err() != nil {
		return false
	}
	p.running.Add(1)
	return true
}

// clock is the time as the real agent tells it to the policy: ms, monotonic.
func (p *Agents) clock() float64 {
	return p.beganMs + float64(time.Since(p.began))/float64(time.Millisecond)
}

func (p *Agents) record(ages []time.Duration) {
	if len(ages) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, age := range ages {
		_ = p.ages.RecordValue(min(age, longestAge).Milliseconds())
	}
}

// Expectation is the list that all agents should have by now: servers 0 to Servers-1 but
// for Absent ones from FirstAbsent on.
type Expectation struct {
	Servers     int
	FirstAbsent int
	Absent      int
	Version     int64 // agents that have it, or a later one, are counted
}

// listed is how many servers an agent with the subscription should know.
func (e *Expectation) listed(services []string, byService map[string]int) int {
	if len(services) == 0 {
		return e.Servers - e.Absent
	}
	total := 0
	for _, service := range services {
		total += byService[service]
	}
	return total
}

// byService counts the servers that should be listed by service.
func (e *Expectation) byService(services int) map[string]int {
	counts := map[string]int{}
	for i := range e.Servers {
		if i < e.FirstAbsent || i >= e.FirstAbsent+e.Absent {
			counts[ServiceName(i%services)]++
		}
	}
	return counts
}

// AgentsState is what the hollow agents of a process really did.
type AgentsState struct {
	Agents          int                    `json:"agents"`
	WatchesOpen     int                    `json:"watches_open"` // served at their present address
	WatchesEnded    int64                  `json:"watches_ended"`
	Lines           int64                  `json:"lines"`   // lists and changes, not the empty lines of a quiet watch
	Entries         int64                  `json:"entries"` // parsed and taken into tables
	FullLists       int64                  `json:"whole_lists"`
	Versions        int64                  `json:"versions"` // lines that brought a later version
	Failovers       int64                  `json:"failovers"`
	BudgetExhausted int64                  `json:"held_back"` // rounds that the reader's budget ended
	VersionMin      int64                  `json:"version_min"`
	VersionMax      int64                  `json:"version_max"`
	ListedMin       int                    `json:"listed_min"`
	ListedMax       int                    `json:"listed_max"`
	AsExpected      int                    `json:"as_expected"` // agents whose table has the size that was asked for
	AtVersion       int                    `json:"at_version"`  // agents at the version that was asked for, or a later one
	ListAgeMaxSec   float64                `json:"list_age_max_s"`
	ListAgeMeanSec  float64                `json:"list_age_mean_s"`
	Total           Traffic                `json:"total"`
	ByAddress       map[string]Traffic     `json:"by_address"`
	Changes         int64                  `json:"changes"` // receipts of changes, over all agents
	ChangeP50Ms     int64                  `json:"change_p50_ms"`
	ChangeP99Ms     int64                  `json:"change_p99_ms"`
	ChangeLastMs    int64                  `json:"change_last_ms"`
	Ages            *hdrhistogram.Snapshot `json:"ages,omitempty"`
}

// State tells what the agents did so far.
func (p *Agents) State(expected Expectation) AgentsState {
	state := AgentsState{
		Agents:       len(p.agents),
		WatchesEnded: p.counts.watchesEnded.Load(),
		Lines:        p.counts.lines.Load(),
		Entries:      p.counts.entries.Load(),
		FullLists:    p.counts.wholeLists.Load(),
		Versions:     p.counts.versions.Load(),
		Failovers:    p.counts.failovers.Load(),
		ByAddress:    p.meter.read(),
	}
	for _, traffic := range state.ByAddress {
		state.Total.Add(traffic)
	}
	byService := expected.byService(p.config.Services)
	for i, agent := range p.agents {
		agent.addTo(&state, i == 0, &expected, byService)
	}
	state.ListAgeMeanSec /= float64(len(p.agents))
	p.mu.Lock()
	defer p.mu.Unlock()
	state.Changes = p.ages.TotalCount()
	state.ChangeP50Ms, state.ChangeP99Ms, state.ChangeLastMs = p.ages.ValueAtQuantile(50), p.ages.ValueAtQuantile(99), p.ages.Max()
	return state
}

// addTo adds an agent to the state of its process.
func (a *Agent) addTo(state *AgentsState, first bool, expected *Expectation, byService map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open {
		state.WatchesOpen++
	}
	listed := len(a.table)
	if first {
		state.VersionMin, state.ListedMin = a.version, listed
	}
	state.VersionMin, state.VersionMax = min(state.VersionMin, a.version), max(state.VersionMax, a.version)
	state.ListedMin, state.ListedMax = min(state.ListedMin, listed), max(state.ListedMax, listed)
	if a.version > 0 && listed == expected.listed(a.services, byService) {
		state.AsExpected++
	}
	if a.version > 0 && a.version >= expected.Version {
		state.AtVersion++
	}
	if !a.taken.IsZero() {
		age := time.Since(a.taken).Seconds()
		state.ListAgeMaxSec = max(state.ListAgeMaxSec, age)
		state.ListAgeMeanSec += age
	}
	state.BudgetExhausted += a.client.BudgetExhausted()
}

// resetAges begins a new measurement of ages.
func (p *Agents) resetAges() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ages.Reset()
}

// Handler serves the state as JSON at GET /v1/state, with servers, first_absent, absent
// and version in the query and the histogram of ages if ages=1, and begins a new measurement of ages at POST /v1/reset.
func (p *Agents) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, r *http.Request) {
		expected, err := parseExpectation(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		state := p.State(expected)
		if r.URL.Query().Get("ages") == "1" {
			p.mu.Lock()
			state.Ages = p.ages.Export()
			p.mu.Unlock()
		}
		writeJSON(w, state)
	})
	mux.HandleFunc("POST /v1/reset", func(w http.ResponseWriter, _ *http.Request) {
		p.resetAges()
		writeJSON(w, struct{}{})
	})
	return mux
}

func parseExpectation(r *http.Request) (Expectation, error) {
	var e Expectation
	query := r.URL.Query()
	for key, into := range map[string]*int{"servers": &e.Servers, "first_absent": &e.FirstAbsent, "absent": &e.Absent} {
		if text := query.Get(key); text != "" {
			value, err := strconv.Atoi(text)
			if err != nil || value < 0 || value > MaxServers {
				return e, fmt.Errorf("%s: must be 0 to %d, is %q", key, MaxServers, text)
			}
			*into = value
		}
	}
	if text := query.Get("version"); text != "" {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return e, fmt.Errorf("version: no number: %q", text)
		}
		e.Version = value
	}
	return e, nil
}
