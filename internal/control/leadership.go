package control

import (
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
)

// decisionInterval is how often the leader decides on sessions and leased tasks.
const decisionInterval = 100 * time.Millisecond

// voters returns the names of the voters in the latest raft configuration that this server has,
// or nil if there is none.
func (s *Server) voters() []string {
	future := s.raft().GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	var names []string
	for _, replica := range future.Configuration().Servers {
		if replica.Suffrage == raft.Voter {
			names = append(names, string(replica.ID))
		}
	}
	return names
}

// leader returns the name of the leader, or "" if none is known.
func (s *Server) leader() string {
	if s.raft() == nil {
		return ""
	}
	_, id := s.raft().LeaderWithID()
	return string(id)
}

// leaderLoop follows raft's leadership changes and, while this server leads, proposes the decisions
// on sessions and leased tasks. It returns when the server stops.
func (s *Server) leaderLoop() {
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		select {
		case leads := <-s.raft().LeaderCh():
			if leads {
				s.becomeLeader()
			} else {
				s.stepDown()
			}
		case <-ticker.C:
			s.assignTasks()
		case <-s.ctx.Done():
			s.stepDown()
			return
		}
	}
}

// becomeLeader starts the leader's work once every entry committed by earlier leaders is applied
// here. All leases and sessions start with their full duration.
func (s *Server) becomeLeader() {
	term := s.raft().CurrentTerm()
	if err := s.raft().Barrier(applyTimeout).Error(); err != nil {
		s.log.Warn("lost leadership before taking over", "err", err)
		return
	}
	if s.raft().CurrentTerm() != term {
		s.log.Warn("lost leadership before taking over", "term", term)
		return // if this server has been elected again, LeaderCh reports that next
	}
	s.leaderMu.Lock()
	var version int64
	s.fsm.read(func(state *catalog.State) {
		s.clockAtElection, version = state.Clock, state.Seq
		s.electedAt, s.leaderTerm = time.Now(), term
		s.registrationLeases = catalog.NewRegistrationLeases(s.config.leaseConfig(), state, state.Clock)
		s.taskLeases = newTaskLeases(state.Clock)
	})
	s.leaderMu.Unlock()
	s.metrics.electionsWon.Inc()
	s.log.Info("became leader", "list_version", version, "term", s.raft().CurrentTerm())
	if version == 0 {
		s.raiseRevision(0)
	}
	s.defineControlTasks()
}

// stepDown drops the leader's unreplicated state. It does nothing on a follower.
func (s *Server) stepDown() {
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	if s.registrationLeases != nil {
		s.log.Info("lost leadership")
	}
	s.registrationLeases, s.taskLeases = nil, nil
}

// transferLeadership transfers leadership to another voter, if this server leads and there is
// another voter.
func (s *Server) transferLeadership() {
	if s.raft() == nil || s.raft().State() != raft.Leader || len(s.voters()) <= 1 {
		return
	}
	if err := s.raft().LeadershipTransfer().Error(); err != nil {
		s.log.Warn("leadership transfer failed", "err", err)
	}
}

// leaderClock returns the clock of the replicated state, which the leader advances by its own
// monotonic clock, and whether this server leads. The time is meaningless if this server doesn't lead.
func (s *Server) leaderClock() (now time.Duration, leads bool) {
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	return s.clockAtElection + time.Since(s.electedAt), s.registrationLeases != nil
}
