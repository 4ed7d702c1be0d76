package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
)

const (
	// writers is how many goroutines register and renew; each speaks to one steward first.
	writers     = 64
	callTimeout = 2 * time.Second
	// registerTries bounds how often one registration is repeated, registerPause apart.
	registerTries = 100
	registerPause = 200 * time.Millisecond
	maxEmulated   = 40
	maxChangeRate = 1000
	// Zones is how many zones the servers are spread over, as the design's target has it.
	Zones = 22
	// rack is how many servers stand together.
	rack = 40
)

// ZoneName names the zone with an index. Servers of a zone have successive indexes.
func ZoneName(index int) string { return fmt.Sprintf("zone-%02d", index) }

// zoneOf is the zone of a server among so many.
func zoneOf(index, count int) int { return index * Zones / count }

// ZoneRange is the servers of a zone among so many.
func ZoneRange(zone, count int) Range {
	first := (zone*count + Zones - 1) / Zones
	return Range{First: first, Count: ((zone+1)*count+Zones-1)/Zones - first}
}

// Class is the class of all hollow servers.
const Class = "standard"

// warmAge is how long ago the processes began that register first: they count as warm.
const warmAge = time.Hour

// ServersConfig describes hollow servers of one process.
type ServersConfig struct {
	ControlPlane    []string      // HTTP addresses of the list service
	Count           int           // hollow servers
	Services        int           // services that they are spread over evenly
	Seed            uint64        // of the order in which servers change
	RenewInterval   time.Duration // between two renewals of a server
	RenewBatch      int           // servers that one call renews
	EmulatedPerZone int           // HTTP servers a zone that answer for its servers; 0: nobody does
	ServiceTime     time.Duration // that an emulated server takes for a request
}

// Validate reports the first value that makes no sense, by its flag.
func (c *ServersConfig) Validate() error {
	if err := validateStewards(c.ControlPlane); err != nil {
		return err
	}
	switch {
	case c.Count < 1 || c.Count > MaxServers:
		return fmt.Errorf("--count: must be 1 to %d, is %d", MaxServers, c.Count)
	case c.Services < 1 || c.Services > c.Count:
		return fmt.Errorf("--services: must be 1 to the number of servers (%d), is %d", c.Count, c.Services)
	case c.RenewInterval < 10*time.Millisecond || c.RenewInterval > time.Minute:
		return fmt.Errorf("--renew: must be 10ms to 1m, is %v", c.RenewInterval)
	case c.RenewBatch < 1 || c.RenewBatch > 2000:
		return fmt.Errorf("--renew-batch: must be 1 to 2000, is %d", c.RenewBatch)
	case c.EmulatedPerZone < 0 || c.EmulatedPerZone > maxEmulated:
		return fmt.Errorf("--emulated: must be 0 to %d, is %d", maxEmulated, c.EmulatedPerZone)
	case c.ServiceTime < 0 || c.ServiceTime > time.Minute:
		return fmt.Errorf("--service-time: must be 0 to 1m, is %v", c.ServiceTime)
	}
	return nil
}

// server is one hollow server.
type server struct {
	host    endpoints.Endpoint
	renewed bool // it is registered and says so; false: it has not registered, left or fell silent
}

// Servers is a process of hollow servers.
type Servers struct {
	config    ServersConfig
	log       *slog.Logger
	meter     *meter
	clients   []*control.Client // by writer
	listeners []net.Listener    // of the emulated servers, zone by zone
	reachable [Zones]atomic.Bool
	counts    struct {
		renewals, renewalsFailed, registrations, configurations, restarts, changesFailed, lapsed, served atomic.Int64
	}

	mu      sync.Mutex
	servers []server
	renewed [Zones]int // servers that are renewed, by zone
	rates   Rates
}

// Rates is how often servers change.
type Rates struct {
	ConfigurationsPerSecond float64 `json:"configurations_per_second"`
	RestartsPerSecond       float64 `json:"restarts_per_second"`
}

// NewServers makes hollow servers, none of them registered.
func NewServers(config ServersConfig, log *slog.Logger) (*Servers, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	p := &Servers{config: config, log: log}
	p.meter = newMeter(&http.Transport{MaxIdleConnsPerHost: writers, DisableCompression: true}, nil)
	for writer := range writers {
		client := control.NewClient(rotate(config.ControlPlane, writer), callTimeout)
		client.HTTP.Transport = p.meter
		p.clients = append(p.clients, client)
	}
	addresses, err := p.emulate()
	if err != nil {
		return nil, err
	}
	for i := range config.Count {
		p.servers = append(p.servers, server{host: endpoints.Endpoint{
			Name:    fmt.Sprintf("hollow-%05d", i),
			Dial:    addresses[p.emulatedOf(i)],
			Site:    ZoneName(zoneOf(i, config.Count)),
			Class:   Class,
			Block:   i / rack,
			Health:  endpoints.Ready,
			Weight:  baseShare,
			Service: ServiceName(i % config.Services),
		}})
	}
	return p, nil
}

// rotate returns the addresses beginning with another one.
func rotate(addresses []string, by int) []string {
	rotated := make([]string, len(addresses))
	for i := range addresses {
		rotated[i] = addresses[(i+by)%len(addresses)]
	}
	return rotated
}

// emulate starts the HTTP servers that answer requests, and returns where the hollow
// servers are reached: nowhere, if there are none.
func (p *Servers) emulate() ([]string, error) {
	if p.config.EmulatedPerZone == 0 {
		return []string{"127.0.0.1:9"}, nil // the discard port
	}
	var addresses []string
	for range Zones * p.config.EmulatedPerZone {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("emulated server: %w", err)
		}
		p.listeners = append(p.listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// emulatedOf is the place of the emulated server that answers for a hollow one.
func (p *Servers) emulatedOf(index int) int {
	if p.config.EmulatedPerZone == 0 {
		return 0
	}
	return zoneOf(index, p.config.Count)*p.config.EmulatedPerZone + index%p.config.EmulatedPerZone
}

// answerOf is the handler of the emulated servers of a zone: it answers after the service
// time, and not at all while the whole zone is silent.
func (p *Servers) answerOf(zone int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxCommand))
		if !p.reachable[zone].Load() {
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/health" {
			return
		}
		time.Sleep(p.config.ServiceTime)
		p.counts.served.Add(1)
		_, _ = io.WriteString(w, "done")
	}
}

// setRenewed notes whether a server is there. The caller holds the lock.
func (p *Servers) setRenewed(index int, renewed bool) {
	s, zone := &p.servers[index], zoneOf(index, p.config.Count)
	switch {
	case renewed && !s.renewed:
		p.renewed[zone]++
	case !renewed && s.renewed:
		p.renewed[zone]--
	}
	s.renewed = renewed
	p.reachable[zone].Store(p.renewed[zone] > 0)
}

// Run serves requests, renews and changes servers until the context ends.
func (p *Servers) Run(ctx context.Context) {
	var running sync.WaitGroup
	for i, listener := range p.listeners {
		backend := &http.Server{Handler: p.answerOf(i / p.config.EmulatedPerZone), ReadHeaderTimeout: time.Minute}
		context.AfterFunc(ctx, func() { backend.Close() })
		go func() { _ = backend.Serve(listener) }()
	}
	for writer := range writers {
		running.Go(func() { p.renewShare(ctx, writer) })
	}
	running.Go(func() { p.change(ctx) })
	p.log.Info("hollow servers start", "count", p.config.Count, "stewards", p.config.ControlPlane)
	running.Wait()
	state := p.State()
	p.log.Info("hollow servers end", "renewals", state.Renewals, "calls", state.Total.Calls)
}

// renewShare renews the servers of one writer, evenly over the time between renewals.
func (p *Servers) renewShare(ctx context.Context, writer int) {
	per := (p.config.Count + writers - 1) / writers
	first, end := min(writer*per, p.config.Count), min((writer+1)*per, p.config.Count)
	batches := (end - first + p.config.RenewBatch - 1) / p.config.RenewBatch
	if batches == 0 {
		return
	}
	pause := p.config.RenewInterval / time.Duration(batches)
	// Writers begin at different times of the interval.
	next := time.Now().Add(p.config.RenewInterval * time.Duration(writer) / writers)
	for batch := 0; sleep(ctx, time.Until(next)) && ctx.Err() == nil; batch = (batch + 1) % batches {
		from := first + batch*p.config.RenewBatch
		p.renew(ctx, writer, from, min(from+p.config.RenewBatch, end))
		if next = next.Add(pause); time.Since(next) > p.config.RenewInterval {
			next = time.Now() // what could not be kept up with is not made up for
		}
	}
}

// renew says which of some servers are there, and registers those whose lease was lost.
func (p *Servers) renew(ctx context.Context, writer, from, to int) {
	var refs []catalog.InstanceRef
	var indexes []int
	p.mu.Lock()
	for i := from; i < to; i++ {
		if s := &p.servers[i]; s.renewed {
			refs = append(refs, catalog.InstanceRef{Name: s.host.Name, StartedMs: s.host.StartedMs})
			indexes = append(indexes, i)
		}
	}
	p.mu.Unlock()
	if len(refs) == 0 {
		return
	}
	answer, err := p.clients[writer].Renew(ctx, refs)
	if err != nil {
		p.counts.renewalsFailed.Add(1)
		return
	}
	p.counts.renewals.Add(int64(len(refs)))
	for i, code := range answer.Codes {
		if code == catalog.Unknown && i < len(indexes) {
			p.counts.lapsed.Add(1)
			_, _ = p.register(ctx, writer, indexes[i])
		}
	}
}

// register puts a server into the list as it stands.
func (p *Servers) register(ctx context.Context, writer, index int) (catalog.Result, error) {
	p.mu.Lock()
	host := p.servers[index].host
	p.mu.Unlock()
	result, err := p.clients[writer].Register(ctx, host)
	if err != nil {
		return result, err
	}
	p.counts.registrations.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[index].host.StartedMs == host.StartedMs {
		p.setRenewed(index, true)
	}
	return result, nil
}

// change makes configuration changes and restarts at the present rates, each of another
// server, in an order drawn from the seed.
func (p *Servers) change(ctx context.Context) {
	random := rand.New(rand.NewPCG(p.config.Seed, 1))
	order := random.Perm(p.config.Count)
	var running sync.WaitGroup
	defer running.Wait()
	for turn := 0; ; turn++ {
		p.mu.Lock()
		rates := p.rates
		p.mu.Unlock()
		total := rates.ConfigurationsPerSecond + rates.RestartsPerSecond
		if total == 0 {
			if !sleep(ctx, 50*time.Millisecond) {
				return
			}
			turn--
			continue
		}
		if !sleep(ctx, time.Duration(float64(time.Second)/total)) {
			return
		}
		index := order[turn%len(order)]
		restarts := random.Float64()*total < rates.RestartsPerSecond
		running.Go(func() {
			if restarts {
				p.restart(ctx, index)
				return
			}
			p.configure(ctx, index)
		})
	}
}

// configure changes the share of a server, as an operator does.
func (p *Servers) configure(ctx context.Context, index int) {
	p.mu.Lock()
	s := &p.servers[index]
	name, listed := s.host.Name, s.renewed
	p.mu.Unlock()
	if !listed {
		return
	}
	share := shareAt(time.Now())
	if p.repeat(ctx, func() error {
		_, err := p.clients[index%writers].SetOverride(ctx, name, control.ServerOverride{Weight: &share})
		return err
	}) {
		p.counts.configurations.Add(1)
	}
}

// restart registers a new process of a server under its name.
func (p *Servers) restart(ctx context.Context, index int) {
	p.mu.Lock()
	s := &p.servers[index]
	listed := s.renewed
	if listed {
		s.host.StartedMs = float64(time.Now().UnixMilli())
	}
	p.mu.Unlock()
	if !listed {
		return
	}
	if p.repeat(ctx, func() error {
		_, err := p.register(ctx, index%writers, index)
		return err
	}) {
		p.counts.restarts.Add(1)
	}
}

// repeat makes a call until it succeeds, is refused for good, or has failed too often.
func (p *Servers) repeat(ctx context.Context, call func() error) bool {
	for range registerTries {
		err := call()
		if err == nil {
			return true
		}
		if final(err) || !sleep(ctx, registerPause) {
			break
		}
	}
	p.counts.changesFailed.Add(1)
	return false
}

// final tells whether a call would be refused again.
func final(err error) bool {
	var refused *control.HTTPError
	return errors.As(err, &refused) && refused.Status != http.StatusServiceUnavailable
}

// Range is some servers by index.
type Range struct {
	First int `json:"first"`
	Count int `json:"count"`
}

// RegistrationResult is what became of registrations.
type RegistrationResult struct {
	Servers int     `json:"servers"` // that are registered
	Refused string  `json:"refused"` // why the first one was not; "": all are
	Seconds float64 `json:"seconds"`
}

// Register registers servers as fast as it goes, and stops at the first that is refused
// for good. A server that registers for the first time has run for long; one that was there
// before is a process that starts now.
func (p *Servers) Register(ctx context.Context, r Range) RegistrationResult {
	began := time.Now()
	var next, done atomic.Int64
	var refusal atomic.Pointer[string]
	var running sync.WaitGroup
	for writer := range writers {
		running.Go(func() {
			for refusal.Load() == nil {
				index := r.First + int(next.Add(1)) - 1
				if index >= r.First+r.Count {
					return
				}
				if err := p.registerNew(ctx, writer, index); err != nil {
					text := err.Error()
					refusal.CompareAndSwap(nil, &text)
					return
				}
				done.Add(1)
			}
		})
	}
	running.Wait()
	registered := RegistrationResult{Servers: int(done.Load()), Seconds: time.Since(began).Seconds()}
	if text := refusal.Load(); text != nil {
		registered.Refused = *text
	}
	return registered
}

// registerNew registers a process of a server.
func (p *Servers) registerNew(ctx context.Context, writer, index int) error {
	p.mu.Lock()
	born := time.Now()
	if p.servers[index].host.StartedMs == 0 {
		born = born.Add(-warmAge)
	}
	p.servers[index].host.StartedMs = float64(born.UnixMilli())
	p.mu.Unlock()
	var err error
	for range registerTries {
		if _, err = p.register(ctx, writer, index); err == nil || final(err) {
			return err
		}
		if !sleep(ctx, registerPause) {
			return ctx.Err()
		}
	}
	return err
}

// Silence has servers stop renewing, as a zone that is cut off.
func (p *Servers) Silence(r Range) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := r.First; i < r.First+r.Count; i++ {
		p.setRenewed(i, false)
	}
}

// End drains servers or has them leave the list in order; it returns how many did.
func (p *Servers) End(ctx context.Context, r Range, drain bool) int {
	ended := 0
	for i := r.First; i < r.First+r.Count; i++ {
		p.mu.Lock()
		s := &p.servers[i]
		ref := catalog.InstanceRef{Name: s.host.Name, StartedMs: s.host.StartedMs}
		p.setRenewed(i, s.renewed && drain)
		p.mu.Unlock()
		if p.repeat(ctx, func() error { return p.endOne(ctx, ref, drain) }) {
			ended++
		}
	}
	return ended
}

// endOne sends the call by which a server drains or leaves.
func (p *Servers) endOne(ctx context.Context, ref catalog.InstanceRef, drain bool) error {
	var err error
	for _, address := range p.config.ControlPlane {
		method, path := http.MethodDelete, "/v1/servers/"+ref.Name
		if drain {
			method, path = http.MethodPost, path+"/drain"
		}
		url := fmt.Sprintf("http://%s%s?born_ms=%.0f", address, path, ref.StartedMs)
		if err = p.send(ctx, method, url); err == nil {
			return nil
		}
	}
	return err
}

func (p *Servers) send(ctx context.Context, method, url string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := newRequest(ctx, method, url, nil)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Transport: p.meter}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, request.URL.Path, response.Status)
	}
	return nil
}

// ServersState is what the hollow servers of a process really did.
type ServersState struct {
	Servers        int                `json:"servers"`
	Renewed        int                `json:"renewed"` // servers that say now that they are there
	Renewals       int64              `json:"renewals"`
	RenewalsFailed int64              `json:"renewals_failed"` // calls
	Registrations  int64              `json:"registrations"`
	Lapsed         int64              `json:"lapsed"` // servers that were unknown at a renewal
	Configurations int64              `json:"configurations"`
	Restarts       int64              `json:"restarts"`
	ChangesFailed  int64              `json:"changes_failed"`
	Served         int64              `json:"served"` // requests, by the emulated servers
	Total          Traffic            `json:"total"`
	ByAddress      map[string]Traffic `json:"by_address"`
}

// State tells what the servers did so far.
func (p *Servers) State() ServersState {
	state := ServersState{
		Servers:        p.config.Count,
		Renewals:       p.counts.renewals.Load(),
		RenewalsFailed: p.counts.renewalsFailed.Load(),
		Registrations:  p.counts.registrations.Load(),
		Lapsed:         p.counts.lapsed.Load(),
		Configurations: p.counts.configurations.Load(),
		Restarts:       p.counts.restarts.Load(),
		ChangesFailed:  p.counts.changesFailed.Load(),
		Served:         p.counts.served.Load(),
		ByAddress:      p.meter.read(),
	}
	for _, traffic := range state.ByAddress {
		state.Total.Add(traffic)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.servers {
		if p.servers[i].renewed {
			state.Renewed++
		}
	}
	return state
}

// Handler serves the state at GET /v1/state, and takes commands: POST /v1/register,
// /v1/silence, /v1/drain and /v1/leave with a range of servers, /v1/rates with rates.
func (p *Servers) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.State()) })
	mux.HandleFunc("POST /v1/register", p.ofRange(func(r Range) any { return p.Register(ctx, r) }))
	mux.HandleFunc("POST /v1/silence", p.ofRange(func(r Range) any {
		p.Silence(r)
		return r
	}))
	mux.HandleFunc("POST /v1/drain", p.ofRange(func(r Range) any { return Range{r.First, p.End(ctx, r, true)} }))
	mux.HandleFunc("POST /v1/leave", p.ofRange(func(r Range) any { return Range{r.First, p.End(ctx, r, false)} }))
	mux.HandleFunc("POST /v1/rates", func(w http.ResponseWriter, r *http.Request) {
		var rates Rates
		err := json.NewDecoder(io.LimitReader(r.Body, maxCommand)).Decode(&rates)
		total := rates.ConfigurationsPerSecond + rates.RestartsPerSecond
		if err != nil || !(rates.ConfigurationsPerSecond >= 0) || !(rates.RestartsPerSecond >= 0) || total > maxChangeRate {
			http.Error(w, fmt.Sprintf("rates: must be 0 or above and at most %d a second", maxChangeRate), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.rates = rates
		p.mu.Unlock()
		writeJSON(w, rates)
	})
	return mux
}

// ofRange is the handler of a command on a range of servers.
func (p *Servers) ofRange(do func(Range) any) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var r Range
		err := json.NewDecoder(io.LimitReader(request.Body, maxCommand)).Decode(&r)
		if err != nil || r.First < 0 || r.Count < 0 || r.First+r.Count > p.config.Count {
			http.Error(w, fmt.Sprintf("first, count: must be a range of %d servers", p.config.Count), http.StatusBadRequest)
			return
		}
		writeJSON(w, do(r))
	}
}

// newRequest makes a request with a JSON body, if there is one.
func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("request: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	return request, nil
}
