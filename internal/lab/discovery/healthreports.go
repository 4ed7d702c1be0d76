package discovery

import (
	"context"
	"time"

	"knotrouter/internal/endpoints"
)

// ReportHealth reports a server's new health to the service, which lists it after a delay unless a newer
// report of the same server arrives first. isolated means that the server's machine was cut off from the
// network.
func (s *Service) ReportHealth(server int, health string, startedMs int64, isolated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := s.drawDelay(health, isolated)
	s.latestReport[server]++
	report := s.latestReport[server]
	timer := time.AfterFunc(delay, func() { s.applyHealth(server, report, health, startedMs) })
	context.AfterFunc(s.ctx, func() { timer.Stop() })
}

// drawDelay draws the delay after which the service lists a change. The caller holds s.mu.
func (s *Service) drawDelay(health string, isolated bool) time.Duration {
	delays := s.config.RemovalDelay
	switch {
	case isolated:
		delays = s.config.SilentRemovalDelay
	case health == endpoints.Ready:
		delays = s.config.StartDelay
	}
	if len(delays) != 2 {
		return 0
	}
	shortest, longest := delays[0], delays[1]
	return shortest + time.Duration(s.rng.Float64()*float64(longest-shortest))
}

// applyHealth updates a server's health in the list and wakes up the watches, if the report is still the
// server's latest one.
func (s *Service) applyHealth(server, report int, health string, startedMs int64) {
	s.mu.Lock()
	if s.latestReport[server] != report || !s.list.setHealth(server, health, startedMs) {
		s.mu.Unlock()
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	name := s.list.entries[server].Name
	s.mu.Unlock()
	s.env.Checker.RecordDiscovery(server, health, startedMs)
	s.env.RecordEvent("discovery lists " + name + " " + health)
}
