package control

import (
	"knotrouter/internal/catalog"
)

// sweep decides on the servers' leases and proposes the decisions with the fencing token of the sweep
// task: expiries, quarantines by the mass-failure guard, recoveries from quarantine and ends of
// damping. It returns a rejectedError if the token is no longer valid, and errNoLeader if this server
// doesn't lead.
func (s *Server) sweep(fence int64) error {
	now, leads := s.leaderClock()
	if !leads {
		return errNoLeader
	}
	var d catalog.Decision
	s.leaderMu.Lock()
	if s.registrationLeases != nil {
		s.fsm.read(func(state *catalog.State) { d = s.registrationLeases.Decide(state, now, s.expiryDecider()) })
	}
	s.leaderMu.Unlock()
	commands := []catalog.Command{
		{Kind: catalog.ExpireRegistration, Refs: d.Expire},
		{Kind: catalog.Quarantine, Refs: d.Quarantine},
		{Kind: catalog.Quarantine, Reason: catalog.QuarantineByService, Refs: d.QuarantineByService},
		{Kind: catalog.Recover, Refs: d.Recover},
		{Kind: catalog.EndDamping, Refs: d.EndDamping},
	}
	for _, c := range commands {
		if len(c.Refs) == 0 {
			continue
		}
		c.UnderTask, c.Fence = sweepTask, fence
		if err := s.proposeFenced(c); err != nil {
			return err
		}
	}
	return nil
}

// proposeFenced commits a decision of the sweep task, and counts and logs it. It returns a
// rejectedError if the command's fencing token is no longer valid.
func (s *Server) proposeFenced(c catalog.Command) error {
	r, err := s.propose(c)
	if err != nil {
		return err
	}
	if r.Code == catalog.Fenced {
		return &rejectedError{r}
	}
	s.metrics.leaseDecisions.WithLabelValues(string(c.Kind)).Add(float64(len(c.Refs)))
	s.log.Info("lease command committed", "command", c.Kind, "count", len(c.Refs), "server", c.Refs[0].Name, "fence", c.Fence)
	return nil
}

// renew extends the leases of servers and returns a code for each. Renewals are kept only in the
// leader's memory and are not replicated. It returns errNoLeader if this server doesn't lead.
func (s *Server) renew(refs []catalog.InstanceRef) ([]catalog.Code, error) {
	now, leads := s.leaderClock()
	if !leads {
		return nil, errNoLeader
	}
	codes := make([]catalog.Code, len(refs))
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	if s.registrationLeases == nil {
		return nil, errNoLeader
	}
	s.fsm.read(func(state *catalog.State) {
		for i, ref := range refs {
			codes[i] = s.registrationLeases.Renew(state, ref, now)
		}
	})
	return codes, nil
}
