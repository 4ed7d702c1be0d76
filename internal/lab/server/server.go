package server

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/loopback"
)

// Counters are the totals since the server was created.
type Counters struct {
	Arrived     atomic.Int64 // requests that arrived
	Served      atomic.Int64 // complete and truncated responses
	Rejected    atomic.Int64 // requests that were rejected without being started
	Errors      atomic.Int64 // responses with 500
	Aborted     atomic.Int64 // canceled requests, and responses that a fault lost or broke
	Repeated    atomic.Int64 // responses that a fault sent a second time
	Connections atomic.Int64 // accepted connections
	Probes      atomic.Int64
	WorkMicros  atomic.Int64 // work of completed requests, in standard-core microseconds
}

// Server is one emulated application server. It is safe for concurrent use.
type Server struct {
	Config
	Counters

	// Operations records the operations that the holders of leased tasks performed at this server. The log
	// belongs to the machine, so it outlives a process.
	Operations *check.OperationLog

	env        *Env
	listener   *loopback.Listener
	accepted   *loopback.SharedListener // passes connections from the listener to the HTTP server
	openConns  loopback.ConnSet
	httpServer *http.Server
	network    *networkGate
	background sync.WaitGroup

	mu                sync.Mutex
	model             *Model // nil until the first start or query
	version           Version
	faults            Faults
	health            string
	startedMs         int64
	incarnation       int                // number of the current or last process; 0: no process yet
	cancelIncarnation context.CancelFunc // cancels the context of the process; nil without a process
	jobTimer          *time.Timer        // advances the model to its next event; nil before the first
	loadSamples       []loadSample
	rng               *rand.Rand
	neighbourShare    float64
	slowdown          float64 // slowdown by a fault, in addition to the version's
}

// New returns a server that listens at the address and is not started: it refuses connections
// until Start. The seed and the server's index determine the noise of its work and reports and which
// responses its faults affect. It returns an error if it can't listen. The caller must close the server.
func New(config Config, env *Env, addr string, seed uint64) (*Server, error) {
	s := &Server{
		Config:     config,
		Operations: check.NewOperationLog(),
		env:        env,
		accepted:   loopback.NewSharedListener(),
		network:    newNetworkGate(),
		rng:        rand.New(rand.NewPCG(seed, uint64(config.Index))),
		slowdown:   1,
	}
	listener, err := loopback.Listen(addr, s.accepted.Deliver)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", config.Name, err)
	}
	s.listener = listener
	listener.Refuse()
	s.httpServer = s.newHTTPServer()
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		_ = s.httpServer.Serve(&connListener{s.accepted, s})
	}()
	return s, nil
}

// newHTTPServer returns the HTTP server. It passes each request its conn in the context, and notifies
// the conn when the first byte of a request arrived and when a response was completely written.
func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		IdleTimeout:       s.ConnectionPolicy.IdleTimeout,
		ReadHeaderTimeout: s.ConnectionPolicy.IdleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, nc)
		},
		ConnState: func(nc net.Conn, state http.ConnState) {
			c, ok := nc.(*conn)
			switch {
			case ok && state == http.StateActive:
				c.firstByteAt.Store(int64(s.env.Clock()))
			case ok && state == http.StateIdle:
				c.endResponse()
			}
		},
	}
}

// Close ends the process and the listener, and waits for the server's goroutines.
func (s *Server) Close() {
	s.Kill()
	s.listener.Close()
	s.accepted.Close()
	s.httpServer.Close()
	s.openConns.Reset()
	s.background.Wait()
}

// Addr returns the address on which the server listens. It is the same for all its processes.
func (s *Server) Addr() string { return s.listener.Addr() }

// StartedMs returns when the current or last process started, in Unix milliseconds, or 0 if it counts
// as started long ago.
func (s *Server) StartedMs() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedMs
}

// Health returns the health as in the endpoint list, or "" before the server is ready.
func (s *Server) Health() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health
}

// VersionName returns the name of the version of the current or last process.
func (s *Server) VersionName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version.Name
}

// SetNeighbourShare sets the share of the machine that another program takes from now on, for the
// current and later processes. 0 ends it.
func (s *Server) SetNeighbourShare(share float64) {
	s.updateModel(func(m *Model, now time.Duration) {
		s.neighbourShare = share
		m.SetNeighbourShare(now, share)
	})
}

// SetSlowdown multiplies the time that work takes by the factor from now on, for the current and later
// processes and in addition to the slowdown of their versions. 1 ends it.
func (s *Server) SetSlowdown(factor float64) {
	s.updateModel(func(_ *Model, now time.Duration) {
		s.slowdown = factor
		s.applySlowdown(now)
	})
}

// applySlowdown sets the model's slowdown from the version and the fault. The caller holds s.mu.
func (s *Server) applySlowdown(now time.Duration) {
	factor := s.slowdown
	if s.version.Slowdown > 0 {
		factor *= s.version.Slowdown
	}
	s.model.SetSlowdown(now, factor)
}

// SetFaults sets the shares of the responses that faults affect from now on.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// State is the state of a server at a point in time.
type State struct {
	Name            string
	Health          string
	Version         string
	InFlight        int // requests in the server, including queued ones
	Queued          int
	Utilization     float64
	WarmupFactor    float64
	Overloaded      bool
	Overloads       int // number of overloads since the process started
	OpenConnections int
}

// State returns the current state.
func (s *Server) State() State {
	state := State{Name: s.Name, OpenConnections: s.openConns.Len()}
	s.updateModel(func(m *Model, _ time.Duration) {
		state.Health, state.Version = s.health, s.version.Name
		state.InFlight, state.Queued = m.InFlight()
		state.Utilization, state.WarmupFactor = m.Utilization(), m.WarmupFactor()
		state.Overloaded, state.Overloads = m.Overloaded(), m.Overloads()
	})
	return state
}

// updateModel calls update with the model and the current time while it holds s.mu. It then signals the
// end of the jobs that have ended and sets the timer for the model's next event.
func (s *Server) updateModel(update func(m *Model, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model == nil {
		s.model = NewModel(s.Spec, s.env.Clock(), false)
	}
	now := max(s.env.Clock(), s.model.now)
	update(s.model, now)
	for _, job := range s.model.Advance(now) {
		close(job.done)
	}
	s.setJobTimer(now)
}

// setJobTimer sets the timer for the model's next event, or stops it if there is no event or no process.
// The caller holds s.mu.
func (s *Server) setJobTimer(now time.Duration) {
	next, ok := s.model.NextEvent()
	switch {
	case !ok || s.cancelIncarnation == nil:
		if s.jobTimer != nil {
			s.jobTimer.Stop()
		}
	case s.jobTimer == nil:
		s.jobTimer = time.AfterFunc(next-now, s.advanceModel)
	default:
		s.jobTimer.Reset(next - now)
	}
}

// advanceModel advances the model to the current time.
func (s *Server) advanceModel() { s.updateModel(func(*Model, time.Duration) {}) }
