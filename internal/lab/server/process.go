package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"knotrouter/internal/endpoints"
)

// healthStarting is the health of a process that is not ready yet and of a server that was never started.
// The other values of a health are the constants of package endpoints.
const healthStarting = ""

// ErrAlreadyRunning is returned by Start while the server is ready or draining.
var ErrAlreadyRunning = errors.New("already running")

// Start starts a process of the version. A cold process has a start time of now and warms up; any other
// process counts as started long ago. It returns an error if the server is ready or draining, or can't
// listen.
func (s *Server) Start(version Version, cold bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	incarnation, err := s.beginIncarnation(version, cold, cancel)
	if err != nil {
		cancel()
		return fmt.Errorf("server %s: %w", s.Name, err)
	}
	s.network.setOpen(true)
	if err := s.listener.Open(); err != nil {
		cancel()
		return err
	}
	s.background.Add(1)
	go s.sampleLoad(ctx)
	switch {
	case version.NeverReady:
	case version.ReadyAfter > 0:
		callLater(ctx, version.ReadyAfter, func() { s.markReady(incarnation) })
	default:
		s.markReady(incarnation)
	}
	if version.CrashAfter > 0 {
		callLater(ctx, version.CrashAfter, func() {
			s.env.RecordEvent("server " + s.Name + " crashed")
			s.endProcess(incarnation)
		})
	}
	return nil
}

// beginIncarnation sets up the state of a new process and returns its incarnation number. cancel cancels
// the context of the process. It returns ErrAlreadyRunning if the server is ready or draining.
func (s *Server) beginIncarnation(version Version, cold bool, cancel context.CancelFunc) (int, error) {
	now := s.env.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if isServing(s.health) {
		return 0, ErrAlreadyRunning
	}
	s.incarnation++
	s.cancelIncarnation = cancel
	s.health = healthStarting
	s.version = version
	s.loadSamples = nil
	s.model = NewModel(s.Spec, now, cold)
	s.model.SetNeighbourShare(now, s.neighbourShare)
	s.applySlowdown(now)
	s.startedMs = 0
	if cold {
		s.startedMs = s.env.Epoch.Add(now).UnixMilli()
	}
	return s.incarnation, nil
}

// isServing reports whether a server with the health has a process that became ready.
func isServing(health string) bool {
	return health == endpoints.Ready || health == endpoints.Draining
}

// callLater calls f in its own goroutine after the delay, unless the context ends first.
func callLater(ctx context.Context, delay time.Duration, f func()) {
	timer := time.AfterFunc(delay, f)
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// markReady makes the process ready if it is still the current one and is starting.
func (s *Server) markReady(incarnation int) {
	s.changeHealth(endpoints.Ready, func() bool { return s.incarnation == incarnation && s.health == healthStarting })
}

// Drain makes a ready server reject new requests. It completes the requests in flight.
func (s *Server) Drain() {
	s.changeHealth(endpoints.Draining, func() bool { return s.health == endpoints.Ready })
}

// changeHealth sets the health and calls Env.HealthChanged if the condition is met. The condition is
// evaluated with s.mu held.
func (s *Server) changeHealth(health string, condition func() bool) {
	s.mu.Lock()
	changed := condition()
	if changed {
		s.health = health
	}
	s.mu.Unlock()
	if changed {
		s.notifyHealthChanged(health, false)
	}
}

// Kill ends the process: its connections are reset and new connections are refused. Without a process
// it has no effect.
func (s *Server) Kill() {
	s.mu.Lock()
	incarnation := s.incarnation
	s.mu.Unlock()
	s.endProcess(incarnation)
}

// endProcess ends the process if it is still the current one.
func (s *Server) endProcess(incarnation int) {
	s.mu.Lock()
	if s.incarnation != incarnation || s.cancelIncarnation == nil {
		s.mu.Unlock()
		return
	}
	s.cancelIncarnation()
	s.cancelIncarnation = nil
	s.health = endpoints.Removed
	if s.jobTimer != nil {
		s.jobTimer.Stop()
	}
	s.mu.Unlock()
	s.listener.Refuse()
	s.openConns.Reset()
	s.network.setOpen(true)
	s.notifyHealthChanged(endpoints.Removed, false)
}

// Isolate cuts the machine off from the network: open connections stay open without traffic, and new
// ones are never established. The process continues to run. It returns an error if the listener can't be
// silenced.
func (s *Server) Isolate() error {
	s.network.setOpen(false)
	if err := s.listener.StopAnswering(); err != nil {
		return err
	}
	s.notifyHealthChanged(endpoints.Removed, true)
	return nil
}

// Rejoin ends Isolate. It returns an error if the server can't listen again.
func (s *Server) Rejoin() error {
	s.network.setOpen(true)
	if err := s.listener.Open(); err != nil {
		return err
	}
	if health := s.Health(); isServing(health) {
		s.notifyHealthChanged(health, false)
	}
	return nil
}

// Running reports whether there is a process.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelIncarnation != nil
}

// notifyHealthChanged calls Env.HealthChanged. The caller must not hold s.mu.
func (s *Server) notifyHealthChanged(health string, isolated bool) {
	if s.env.HealthChanged != nil {
		s.env.HealthChanged(s, health, isolated)
	}
}
