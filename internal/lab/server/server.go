package server

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/loopback"
)

const maxBodyBytes = 64 << 10

// Connections is what a server does with its connections.
type ConnectionPolicy struct {
	MaxOpen        int           `koanf:"cap"`            // open at once; what is over gets 503
	IdleTimeout    time.Duration `koanf:"idle"`           // closed after
	HandshakeDelay time.Duration `koanf:"handshake_time"` // the first request on one waits
	HandshakeWork  float64       `koanf:"handshake_work"` // standard-core ms
}

// Reports is how a server tells its load.
type LoadReports struct {
	Mode          string        `koanf:"how"` // "inline", "on_probe" or "off"
	Metrics       []string      `koanf:"names"`
	Interval      time.Duration `koanf:"period"`
	Delay         time.Duration `koanf:"delay"`
	Noise         float64       `koanf:"noise"`
	ProbesEnabled bool          `koanf:"probes"`
	ProbeWork     float64       `koanf:"probe_work"` // standard-core ms
}

// Version is a build of the programme server with what may be wrong with it.
type Version struct {
	Name        string             `koanf:"name"`
	Slowdown    float64            `koanf:"slower"` // times; 0: as it should be
	ErrorShares map[string]float64 `koanf:"errors"` // share of a class's requests that end in 500
	CrashAfter  time.Duration      `koanf:"crash_after"`
	ReadyAfter  time.Duration      `koanf:"ready_after"`
	NeverReady  bool               `koanf:"never_ready"`
}

// Faults is what goes wrong with answers, beside the version's own.
type Faults struct {
	ErrorShare     float64 // 500 at once
	ResetShare     float64 // the connection breaks once the work is done
	LostShare      float64 // the work is done and no answer comes
	TruncatedShare float64 // the answer ends before its length
}

// Config is one server.
type Config struct {
	Index            int
	Name             string
	Zone             string
	ZoneIndex        int
	MachineType      string
	Cell             int
	Weight           float64
	Spec             Spec
	ConnectionPolicy ConnectionPolicy
	LoadReports      LoadReports
	WorkNoise        float64 // of an attempt's work, as a part
	ErrorRate        float64 // share of all requests that end in 500
}

// Env is the world that servers are in.
type Env struct {
	Clock        check.Clock
	Epoch        time.Time // the clock's zero
	Checker      *check.Checker
	Classes      []string
	Deduplicated []bool // by class: repeats of a key are dropped for KeyTTL
	DedupWindow  []time.Duration
	Effects      *Effects
	// Clear tells whether nothing of the lab can have kept back what the agent sent to
	// the server; nil: always.
	LinkClear func(agent, server int) bool
	// Changed is told each time that a server comes up, drains or ends.
	HealthChanged func(s *Server, health string, silent bool)
	RecordEvent   func(name string)
}

// Effects remembers the keys whose effect was carried out, for all servers together.
type Effects struct {
	mu                sync.Mutex
	lastCommittedAt   map[string]time.Duration
	order             []string
	droppedRepeats    atomic.Int64
	duplicatedEffects atomic.Int64
}

// mostKeys bounds what Effects remembers; the oldest go first.
const maxRememberedKeys = 1 << 18

// NewEffects makes one that has met no key.
func NewEffects() *Effects { return &Effects{lastCommittedAt: map[string]time.Duration{}} }

// Counts tells how many repeats were dropped, and how many keys took effect again.
func (e *Effects) Counts() (dropped, doubled int64) {
	return e.droppedRepeats.Load(), e.duplicatedEffects.Load()
}

// commit is told that a keyed request was carried out.
func (e *Effects) commit(key string, now, ttl time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, met := e.lastCommittedAt[key]
	if met && now-last <= ttl {
		e.droppedRepeats.Add(1)
		return
	}
	if met {
		e.duplicatedEffects.Add(1)
	} else {
		if len(e.order) >= maxRememberedKeys {
			delete(e.lastCommittedAt, e.order[0])
			e.order = e.order[1:]
		}
		e.order = append(e.order, key)
	}
	e.lastCommittedAt[key] = now
}

// Counters is what a server counted since the experiment began.
type Counters struct {
	Arrived, Served, Rejected, Errors, Aborted atomic.Int64
	Connections, Probes                        atomic.Int64
	WorkMicros                                 atomic.Int64 // of answers given, in standard-core µs
}

// Server is one programme server.
type Server struct {
	Config
	Counters

	// Acts is what was done here under duties. The machine keeps it: a new process knows it.
	Operations *check.OperationLog

	env        *Env
	listener   *loopback.Listener
	openConns  loopback.Set
	accepted   *loopback.Conns
	httpServer *http.Server
	network    networkGate

	mu             sync.Mutex
	model          *Model
	version        Version
	faults         Faults
	health         string // "ready", "draining", "gone"; "" while it is not ready yet
	startedMs      int64
	incarnation    int // counts starts
	timer          *time.Timer
	endIncarnation context.CancelFunc
	loadSamples    []loadSample
	rng            *rand.Rand
	background     sync.WaitGroup
	neighbourShare float64
	slowdown       float64
}

type loadSample struct {
	at               time.Duration
	utilization      float64
	inFlight, queued int
}

// snaps kept: enough for the longest delay over the shortest period.
const maxLoadSamples = 32

// New makes a server that listens at an address of its own and is not started. The
// seed draws the noise of its work and its reports.
func New(c Config, env *Env, addr string, seed uint64) (*Server, error) {
	s := &Server{Config: c, Operations: check.NewOperationLog(), env: env, accepted: loopback.NewConns(), rng: rand.New(rand.NewPCG(seed, uint64(c.Index))), slowdown: 1}
	s.network.open = make(chan struct{})
	close(s.network.open)
	ln, err := loopback.Listen(addr, s.accepted.Put)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", c.Name, err)
	}
	s.listener = ln
	ln.Refuse()
	s.httpServer = &http.Server{Handler: s, IdleTimeout: c.ConnectionPolicy.IdleTimeout, ReadHeaderTimeout: c.ConnectionPolicy.IdleTimeout, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, nc)
		},
		ConnState: func(nc net.Conn, state http.ConnState) {
			if c, ok := nc.(*conn); ok && state == http.StateActive {
				c.firstByteAt.Store(int64(env.Clock()))
			}
		}}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		_ = s.httpServer.Serve(&connListener{s.accepted, s})
	}()
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.listener.Addr() }

// BornMs is when its process began, as Unix time; 0: long ago.
func (s *Server) StartedMs() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedMs
}

// Health is what discovery would say of it.
func (s *Server) Health() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health
}

// VersionName is the version that runs, or ran last.
func (s *Server) VersionName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version.Name
}

// Start begins a process of a version. One that is cold was born now.
func (s *Server) Start(v Version, cold bool) error {
	now := s.env.Clock()
	s.mu.Lock()
	if s.health == "ready" || s.health == "draining" {
		s.mu.Unlock()
		return fmt.Errorf("server %s: it runs already", s.Name)
	}
	s.incarnation++
	life := s.incarnation
	s.model = NewModel(s.Spec, now, cold)
	s.model.SetNeighbourShare(now, s.neighbourShare)
	s.version, s.loadSamples = v, nil
	s.applySlowdown(now)
	s.startedMs = 0
	if cold {
		s.startedMs = s.env.Epoch.Add(now).UnixMilli()
	}
	ctx, ends := context.WithCancel(context.Background())
	s.endIncarnation = ends
	s.health = ""
	s.mu.Unlock()
	s.network.setOpen(true)
	if err := s.listener.Open(); err != nil {
		ends()
		return err
	}
	s.background.Add(1)
	go s.sampleLoad(ctx)
	// What the version does after a while ends with its process.
	later := func(after time.Duration, do func()) {
		t := time.AfterFunc(after, do)
		context.AfterFunc(ctx, func() { t.Stop() })
	}
	switch {
	case v.NeverReady:
	case v.ReadyAfter > 0:
		later(v.ReadyAfter, func() { s.markReady(life) })
	default:
		s.markReady(life)
	}
	if v.CrashAfter > 0 {
		later(v.CrashAfter, func() {
			s.env.RecordEvent("server " + s.Name + " crashed")
			s.endProcess(life, false)
		})
	}
	return nil
}

func (s *Server) markReady(life int) {
	s.mu.Lock()
	is := s.incarnation == life && s.health == ""
	if is {
		s.health = "ready"
	}
	s.mu.Unlock()
	if is {
		s.notifyHealthChanged("ready", false)
	}
}

func (s *Server) notifyHealthChanged(health string, silent bool) {
	if s.env.HealthChanged != nil {
		s.env.HealthChanged(s, health, silent)
	}
}

// Drain makes the server take nothing new; what it holds it completes.
func (s *Server) Drain() {
	s.mu.Lock()
	is := s.health == "ready"
	if is {
		s.health = "draining"
	}
	s.mu.Unlock()
	if is {
		s.notifyHealthChanged("draining", false)
	}
}

// Kill ends the process: its connections are reset, new ones refused.
func (s *Server) Kill() { s.endProcess(s.currentIncarnation(), false) }

// Vanish cuts the machine off: what is open stays open and silent, new connections
// never come up. The process goes on, unheard.
func (s *Server) Isolate() error {
	s.network.setOpen(false)
	if err := s.listener.Silence(); err != nil {
		return err
	}
	s.notifyHealthChanged("gone", true)
	return nil
}

// Return ends Vanish: the machine is heard again.
func (s *Server) Rejoin() error {
	s.network.setOpen(true)
	if err := s.listener.Open(); err != nil {
		return err
	}
	if h := s.Health(); h == "ready" || h == "draining" {
		s.notifyHealthChanged(h, false)
	}
	return nil
}

// Running tells whether there is a process.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endIncarnation != nil
}

func (s *Server) currentIncarnation() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

func (s *Server) endProcess(life int, silent bool) {
	s.mu.Lock()
	if s.incarnation != life || s.endIncarnation == nil {
		s.mu.Unlock()
		return
	}
	s.endIncarnation()
	s.endIncarnation = nil
	s.health = "gone"
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Unlock()
	s.listener.Refuse()
	s.openConns.Reset()
	s.network.setOpen(true)
	s.notifyHealthChanged("gone", silent)
}

// Close ends the server for good and waits for its goroutines.
func (s *Server) Close() {
	s.Kill()
	s.listener.Close()
	s.accepted.Close()
	s.httpServer.Close()
	s.openConns.Reset()
	s.background.Wait()
}

// Take gives a part of the machine to another program; 0 gives it back.
func (s *Server) SetNeighbourShare(part float64) {
	s.updateModel(func(m *Model, now time.Duration) {
		s.neighbourShare = part
		m.SetNeighbourShare(now, part)
	})
}

// Slow makes the server that many times slower, whatever its version; 1 ends that.
func (s *Server) SetSlowdown(times float64) {
	s.updateModel(func(m *Model, now time.Duration) {
		s.slowdown = times
		s.applySlowdown(now)
	})
}

func (s *Server) applySlowdown(now time.Duration) {
	times := s.slowdown
	if s.version.Slowdown > 0 {
		times *= s.version.Slowdown
	}
	s.model.SetSlowdown(now, times)
}

// Spoil sets what goes wrong with answers from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// State is how a server stands.
type State struct {
	Name            string
	Health          string
	Version         string
	InFlight        int
	Queued          int
	Utilization     float64
	WarmupFactor    float64
	Overloaded      bool
	Overloads       int
	OpenConnections int
}

// State tells how the server stands now.
func (s *Server) State() State {
	st := State{Name: s.Name, OpenConnections: s.openConns.Len()}
	s.updateModel(func(m *Model, _ time.Duration) {
		st.Health, st.Version, st.Utilization, st.WarmupFactor = s.health, s.version.Name, m.Utilization(), m.WarmupFactor()
		st.Overloaded, st.Overloads = m.Overloaded(), m.Overloads()
		st.InFlight, st.Queued = m.InFlight()
	})
	return st
}

// do changes the model at this moment, then ends the jobs that have come to their end
// and looks when the next will.
func (s *Server) updateModel(f func(m *Model, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model == nil {
		s.model = NewModel(s.Spec, s.env.Clock(), false)
	}
	now := max(s.env.Clock(), s.model.now)
	f(s.model, now)
	for _, j := range s.model.Advance(now) {
		close(j.done)
	}
	next, more := s.model.NextEvent()
	switch {
	case !more || s.endIncarnation == nil:
		if s.timer != nil {
			s.timer.Stop()
		}
	case s.timer == nil:
		s.timer = time.AfterFunc(next-now, s.advanceModel)
	default:
		s.timer.Reset(next - now)
	}
}

func (s *Server) advanceModel() { s.updateModel(func(*Model, time.Duration) {}) }

// look takes the load now and then, as reports tell it.
func (s *Server) sampleLoad(ctx context.Context) {
	defer s.background.Done()
	if s.LoadReports.Interval <= 0 {
		return
	}
	t := time.NewTicker(s.LoadReports.Interval)
	defer t.Stop()
	for {
		s.updateModel(func(m *Model, now time.Duration) {
			all, waiting := m.InFlight()
			if len(s.loadSamples) >= maxLoadSamples {
				s.loadSamples = s.loadSamples[1:]
			}
			s.loadSamples = append(s.loadSamples, loadSample{now, m.Utilization(), all, waiting})
		})
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// report words the load as it was known a while ago.
func (s *Server) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, at := s.env.Clock(), 0
	if len(s.loadSamples) == 0 {
		return ""
	}
	for i := range s.loadSamples {
		if s.loadSamples[i].at <= now-s.LoadReports.Delay {
			at = i
		}
	}
	noisy := func(x float64) float64 { return max(x*(1+s.LoadReports.Noise*s.rng.NormFloat64()), 0) }
	var parts []string
	for _, name := range s.LoadReports.Metrics {
		switch sn := &s.loadSamples[at]; name {
		case "util":
			parts = append(parts, fmt.Sprintf("util=%.3f", noisy(sn.utilization)))
		case "inflight":
			parts = append(parts, fmt.Sprintf("inflight=%.0f", noisy(float64(sn.inFlight))))
		case "queue":
			parts = append(parts, fmt.Sprintf("queue=%.0f", noisy(float64(sn.queued))))
		}
	}
	return "TEXT " + strings.Join(parts, ", ")
}
