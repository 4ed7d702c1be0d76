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

const maxBody = 64 << 10

// Connections is what a server does with its connections.
type Connections struct {
	Cap           int           `koanf:"cap"`            // open at once; what is over gets 503
	Idle          time.Duration `koanf:"idle"`           // closed after
	HandshakeTime time.Duration `koanf:"handshake_time"` // the first request on one waits
	HandshakeWork float64       `koanf:"handshake_work"` // standard-core ms
}

// Reports is how a server tells its load.
type Reports struct {
	How       string        `koanf:"how"` // "inline", "on_probe" or "off"
	Names     []string      `koanf:"names"`
	Period    time.Duration `koanf:"period"`
	Delay     time.Duration `koanf:"delay"`
	Noise     float64       `koanf:"noise"`
	Probes    bool          `koanf:"probes"`
	ProbeWork float64       `koanf:"probe_work"` // standard-core ms
}

// Version is a build of the programme server with what may be wrong with it.
type Version struct {
	Name       string             `koanf:"name"`
	Slower     float64            `koanf:"slower"` // times; 0: as it should be
	Errors     map[string]float64 `koanf:"errors"` // share of a class's requests that end in 500
	CrashAfter time.Duration      `koanf:"crash_after"`
	ReadyAfter time.Duration      `koanf:"ready_after"`
	NeverReady bool               `koanf:"never_ready"`
}

// Faults is what goes wrong with answers, beside the version's own.
type Faults struct {
	Errors float64 // 500 at once
	Resets float64 // the connection breaks once the work is done
	Lost   float64 // the work is done and no answer comes
	Spoilt float64 // the answer ends before its length
}

// Config is one server.
type Config struct {
	Index     int
	Name      string
	Zone      string
	ZoneNum   int
	Kind      string
	Cell      int
	Share     float64
	Spec      Spec
	Conns     Connections
	Reports   Reports
	Noise     float64 // of an attempt's work, as a part
	ErrorRate float64 // share of all requests that end in 500
}

// Env is the world that servers are in.
type Env struct {
	Clock   check.Clock
	Epoch   time.Time // the clock's zero
	Checker *check.Checker
	Classes []string
	Keyed   []bool // by class: repeats of a key are dropped for KeyTTL
	KeyTTL  []time.Duration
	Effects *Effects
	// Clear tells whether nothing of the lab can have kept back what the agent sent to
	// the server; nil: always.
	Clear func(agent, server int) bool
	// Changed is told each time that a server comes up, drains or ends.
	Changed func(s *Server, health string, silent bool)
	Event   func(name string)
}

// Effects remembers the keys whose effect was carried out, for all servers together.
type Effects struct {
	mu      sync.Mutex
	last    map[string]time.Duration
	order   []string
	dropped atomic.Int64
	doubled atomic.Int64
}

// mostKeys bounds what Effects remembers; the oldest go first.
const mostKeys = 1 << 18

// NewEffects makes one that has met no key.
func NewEffects() *Effects { return &Effects{last: map[string]time.Duration{}} }

// Counts tells how many repeats were dropped, and how many keys took effect again.
func (e *Effects) Counts() (dropped, doubled int64) { return e.dropped.Load(), e.doubled.Load() }

// commit is told that a keyed request was carried out.
func (e *Effects) commit(key string, now, ttl time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, met := e.last[key]
	if met && now-last <= ttl {
		e.dropped.Add(1)
		return
	}
	if met {
		e.doubled.Add(1)
	} else {
		if len(e.order) >= mostKeys {
			delete(e.last, e.order[0])
			e.order = e.order[1:]
		}
		e.order = append(e.order, key)
	}
	e.last[key] = now
}

// Counters is what a server counted since the experiment began.
type Counters struct {
	Arrived, Served, Away, Errors, Broken atomic.Int64
	Connections, Probes                   atomic.Int64
	WorkMicros                            atomic.Int64 // of answers given, in standard-core µs
}

// Server is one programme server.
type Server struct {
	Config
	Counters

	// Acts is what was done here under duties. The machine keeps it: a new process knows it.
	Acts *check.OperationLog

	env   *Env
	ln    *loopback.Listener
	conns loopback.Set
	in    *loopback.Conns
	http  *http.Server
	gate  gate

	mu       sync.Mutex
	model    *Model
	version  Version
	faults   Faults
	health   string // "ready", "draining", "gone"; "" while it is not ready yet
	bornMs   int64
	life     int // counts starts
	timer    *time.Timer
	lifeEnds context.CancelFunc
	snaps    []snap
	rng      *rand.Rand
	served   sync.WaitGroup
	taken    float64
	slower   float64
}

type snap struct {
	at              time.Duration
	util            float64
	inflight, queue int
}

// snaps kept: enough for the longest delay over the shortest period.
const mostSnaps = 32

// New makes a server that listens at an address of its own and is not started. The
// seed draws the noise of its work and its reports.
func New(c Config, env *Env, addr string, seed uint64) (*Server, error) {
	s := &Server{Config: c, Acts: check.NewOperationLog(), env: env, in: loopback.NewConns(), rng: rand.New(rand.NewPCG(seed, uint64(c.Index))), slower: 1}
	s.gate.open = make(chan struct{})
	close(s.gate.open)
	ln, err := loopback.Listen(addr, s.in.Put)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", c.Name, err)
	}
	s.ln = ln
	ln.Refuse()
	s.http = &http.Server{Handler: s, IdleTimeout: c.Conns.Idle, ReadHeaderTimeout: c.Conns.Idle, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
		ConnState: func(nc net.Conn, state http.ConnState) {
			if c, ok := nc.(*conn); ok && state == http.StateActive {
				c.first.Store(int64(env.Clock()))
			}
		}}
	s.served.Add(1)
	go func() {
		defer s.served.Done()
		_ = s.http.Serve(&wrapper{s.in, s})
	}()
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.ln.Addr() }

// BornMs is when its process began, as Unix time; 0: long ago.
func (s *Server) BornMs() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bornMs
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
	s.life++
	life := s.life
	s.model = NewModel(s.Spec, now, cold)
	s.model.Take(now, s.taken)
	s.version, s.snaps = v, nil
	s.slow(now)
	s.bornMs = 0
	if cold {
		s.bornMs = s.env.Epoch.Add(now).UnixMilli()
	}
	ctx, ends := context.WithCancel(context.Background())
	s.lifeEnds = ends
	s.health = ""
	s.mu.Unlock()
	s.gate.set(true)
	if err := s.ln.Open(); err != nil {
		ends()
		return err
	}
	s.served.Add(1)
	go s.look(ctx)
	// What the version does after a while ends with its process.
	later := func(after time.Duration, do func()) {
		t := time.AfterFunc(after, do)
		context.AfterFunc(ctx, func() { t.Stop() })
	}
	switch {
	case v.NeverReady:
	case v.ReadyAfter > 0:
		later(v.ReadyAfter, func() { s.ready(life) })
	default:
		s.ready(life)
	}
	if v.CrashAfter > 0 {
		later(v.CrashAfter, func() {
			s.env.Event("server " + s.Name + " crashed")
			s.end(life, false)
		})
	}
	return nil
}

func (s *Server) ready(life int) {
	s.mu.Lock()
	is := s.life == life && s.health == ""
	if is {
		s.health = "ready"
	}
	s.mu.Unlock()
	if is {
		s.changed("ready", false)
	}
}

func (s *Server) changed(health string, silent bool) {
	if s.env.Changed != nil {
		s.env.Changed(s, health, silent)
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
		s.changed("draining", false)
	}
}

// Kill ends the process: its connections are reset, new ones refused.
func (s *Server) Kill() { s.end(s.lifeNow(), false) }

// Vanish cuts the machine off: what is open stays open and silent, new connections
// never come up. The process goes on, unheard.
func (s *Server) Vanish() error {
	s.gate.set(false)
	if err := s.ln.Silence(); err != nil {
		return err
	}
	s.changed("gone", true)
	return nil
}

// Return ends Vanish: the machine is heard again.
func (s *Server) Return() error {
	s.gate.set(true)
	if err := s.ln.Open(); err != nil {
		return err
	}
	if h := s.Health(); h == "ready" || h == "draining" {
		s.changed(h, false)
	}
	return nil
}

// Running tells whether there is a process.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifeEnds != nil
}

func (s *Server) lifeNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

func (s *Server) end(life int, silent bool) {
	s.mu.Lock()
	if s.life != life || s.lifeEnds == nil {
		s.mu.Unlock()
		return
	}
	s.lifeEnds()
	s.lifeEnds = nil
	s.health = "gone"
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Unlock()
	s.ln.Refuse()
	s.conns.Reset()
	s.gate.set(true)
	s.changed("gone", silent)
}

// Close ends the server for good and waits for its goroutines.
func (s *Server) Close() {
	s.Kill()
	s.ln.Close()
	s.in.Close()
	s.http.Close()
	s.conns.Reset()
	s.served.Wait()
}

// Take gives a part of the machine to another program; 0 gives it back.
func (s *Server) Take(part float64) {
	s.do(func(m *Model, now time.Duration) {
		s.taken = part
		m.Take(now, part)
	})
}

// Slow makes the server that many times slower, whatever its version; 1 ends that.
func (s *Server) Slow(times float64) {
	s.do(func(m *Model, now time.Duration) {
		s.slower = times
		s.slow(now)
	})
}

func (s *Server) slow(now time.Duration) {
	times := s.slower
	if s.version.Slower > 0 {
		times *= s.version.Slower
	}
	s.model.Slow(now, times)
}

// Spoil sets what goes wrong with answers from now on.
func (s *Server) Spoil(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// State is how a server stands.
type State struct {
	Name     string
	Health   string
	Version  string
	Inflight int
	Waiting  int
	Util     float64
	Ramp     float64
	Choked   bool
	Chokes   int
	Conns    int
}

// State tells how the server stands now.
func (s *Server) State() State {
	st := State{Name: s.Name, Conns: s.conns.Len()}
	s.do(func(m *Model, _ time.Duration) {
		st.Health, st.Version, st.Util, st.Ramp = s.health, s.version.Name, m.Util(), m.Ramp()
		st.Choked, st.Chokes = m.Choked(), m.Chokes()
		st.Inflight, st.Waiting = m.Held()
	})
	return st
}

// do changes the model at this moment, then ends the jobs that have come to their end
// and looks when the next will.
func (s *Server) do(f func(m *Model, now time.Duration)) {
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
	next, more := s.model.Next()
	switch {
	case !more || s.lifeEnds == nil:
		if s.timer != nil {
			s.timer.Stop()
		}
	case s.timer == nil:
		s.timer = time.AfterFunc(next-now, s.tick)
	default:
		s.timer.Reset(next - now)
	}
}

func (s *Server) tick() { s.do(func(*Model, time.Duration) {}) }

// look takes the load now and then, as reports tell it.
func (s *Server) look(ctx context.Context) {
	defer s.served.Done()
	if s.Reports.Period <= 0 {
		return
	}
	t := time.NewTicker(s.Reports.Period)
	defer t.Stop()
	for {
		s.do(func(m *Model, now time.Duration) {
			all, waiting := m.Held()
			if len(s.snaps) >= mostSnaps {
				s.snaps = s.snaps[1:]
			}
			s.snaps = append(s.snaps, snap{now, m.Util(), all, waiting})
		})
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// report words the load as it was known a while ago.
func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, at := s.env.Clock(), 0
	if len(s.snaps) == 0 {
		return ""
	}
	for i := range s.snaps {
		if s.snaps[i].at <= now-s.Reports.Delay {
			at = i
		}
	}
	noisy := func(x float64) float64 { return max(x*(1+s.Reports.Noise*s.rng.NormFloat64()), 0) }
	var parts []string
	for _, name := range s.Reports.Names {
		switch sn := &s.snaps[at]; name {
		case "util":
			parts = append(parts, fmt.Sprintf("util=%.3f", noisy(sn.util)))
		case "inflight":
			parts = append(parts, fmt.Sprintf("inflight=%.0f", noisy(float64(sn.inflight))))
		case "queue":
			parts = append(parts, fmt.Sprintf("queue=%.0f", noisy(float64(sn.queue))))
		}
	}
	return "TEXT " + strings.Join(parts, ", ")
}
