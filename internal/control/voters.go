package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
	"knotrouter/internal/member"
)

// votersInterval is the time between two reconfiguration steps of the voters task.
const votersInterval = time.Second

// memberFailures holds, for each failed member, the time since which the leader has seen it as failed.
type memberFailures struct {
	mu          sync.Mutex
	failedSince map[string]time.Time // guarded by mu
}

// recordFailed records that a member currently counts as failed, and returns for how long it has been
// failed. The caller holds the lock.
func (f *memberFailures) recordFailed(name string) time.Duration {
	if f.failedSince == nil {
		f.failedSince = map[string]time.Time{}
	}
	if f.failedSince[name].IsZero() {
		f.failedSince[name] = time.Now()
	}
	return time.Since(f.failedSince[name])
}

// clear records that a member currently doesn't count as failed. The caller holds the lock.
func (f *memberFailures) clear(name string) { delete(f.failedSince, name) }

// voterSet returns the leader's view of the servers in the raft configuration: which ones vote,
// which ones are present and caught up, and for how long others have failed.
func (s *Server) voterSet() member.VoterSet {
	set := member.VoterSet{
		Failed:        map[string]time.Duration{},
		Present:       map[string]bool{},
		Leader:        s.config.Name,
		DesiredVoters: s.config.Voters,
		ReplaceAfter:  s.config.ReplaceAfter,
	}
	future := s.raft().GetConfiguration()
	if future.Error() != nil {
		return set
	}
	upToDate := s.upToDateServers()
	view := s.gossip().View()
	s.memberFailures.mu.Lock()
	defer s.memberFailures.mu.Unlock()
	for _, replica := range future.Configuration().Servers {
		name := string(replica.ID)
		state := view.State(name)
		if name == s.config.Name {
			state = member.Present
		}
		set.Present[name] = state == member.Present && upToDate[name]
		if replica.Suffrage == raft.Voter {
			set.Voters = append(set.Voters, name)
		} else {
			set.NonVoters = append(set.NonVoters, name)
		}
		if state == member.Failed || state == member.Left {
			set.Failed[name] = s.memberFailures.recordFailed(name)
		} else {
			s.memberFailures.clear(name)
		}
	}
	return set
}

// upToDateServers returns by name which servers have caught up: this server, which is the leader, and
// the peers that answer and have caught up.
func (s *Server) upToDateServers() map[string]bool {
	committed := s.raft().CommitIndex()
	upToDate := map[string]bool{s.config.Name: true}
	for _, status := range s.peerStatuses() {
		upToDate[status.Name] = caughtUp(&status, committed)
	}
	return upToDate
}

// handleReconfigureVoters changes the raft configuration by one step towards the desired number of
// live voters, and answers with that step. It rejects an outdated fencing token.
func (s *Server) handleReconfigureVoters(w http.ResponseWriter, r *http.Request) error {
	var b fenceBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if s.gossip() == nil || s.config.Voters == 0 {
		writeJSON(w, struct{}{})
		return nil
	}
	voters := s.voterSet()
	step, needed := member.NextReconfiguration(&voters)
	if !needed {
		writeJSON(w, step)
		return nil
	}
	// Once this command is committed with the code Done, the fencing token is valid and this server is
	// the leader.
	result, err := s.propose(catalog.Command{Kind: catalog.CheckTerm, UnderTask: votersTask, Fence: b.Fence})
	if err != nil {
		return err
	}
	if result.Code != catalog.Done {
		return &rejectedError{result}
	}
	if err := s.reconfigure(step); err != nil {
		return raftConfigurationError(err)
	}
	s.metrics.reconfigurations.Inc()
	s.log.Warn("voters changed", "added", step.Add, "removed", step.Remove, "demoted", step.Demote,
		"desired_voters", voters.DesiredVoters, "fence", b.Fence)
	writeJSON(w, step)
	return nil
}

// reconfigure applies one step to the raft configuration and returns raft's error, if any.
func (s *Server) reconfigure(step member.Reconfiguration) error {
	switch {
	case step.Add != "":
		return s.raft().AddVoter(raft.ServerID(step.Add), raft.ServerAddress(step.Add), 0, applyTimeout).Error()
	case step.Demote != "":
		return s.raft().DemoteVoter(raft.ServerID(step.Demote), 0, applyTimeout).Error()
	default:
		return s.raft().RemoveServer(raft.ServerID(step.Remove), 0, applyTimeout).Error()
	}
}

// rejoinIfRemoved asks the leader to add this server as a non-voter if it was removed from the
// raft configuration while it was down or unreachable.
func (s *Server) rejoinIfRemoved(statuses []Status) {
	if s.config.Voters == 0 || s.raft() == nil {
		return
	}
	leader := s.findLeader(statuses)
	if leader == nil {
		return
	}
	if _, configured := leader.Peers[s.config.Name]; configured || len(leader.Peers) == 0 {
		return
	}
	p, known := s.peer(leader.Name)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, peerTimeout)
	defer cancel()
	if err := call(ctx, s.peerClient, http.MethodPut, "http://"+p.HTTP+"/v1/peers/"+s.config.Name+"?spare=1", nil, nil); err != nil {
		s.log.Warn("rejoining as a non-voter after a replacement failed", "err", err)
		return
	}
	s.log.Info("rejoined as a non-voter after a replacement")
}

// findLeader returns the status of the first server that is the leader, or nil if there is none. It
// ignores a leader whose term is earlier than this server's, unless this server has had no contact with
// a leader for StaleAfter.
func (s *Server) findLeader(statuses []Status) *Status {
	for i := range statuses {
		st := &statuses[i]
		if st.State != stateLeader || st.Term < s.raft().CurrentTerm() && s.sinceLeaderContact() < s.config.StaleAfter {
			continue
		}
		return st
	}
	return nil
}
