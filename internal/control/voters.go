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

const (
	votersInterval = time.Second // between steps of the voters task
)

// memberFailures holds since when the leader has seen each failed member as failed.
type memberFailures struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// voterSet returns what the leader knows of the stewards in the raft configuration: which
// vote, which are present and caught up, and for how long others have failed.
func (s *Server) voterSet() member.VoterSet {
	set := member.VoterSet{
		Failed:        map[string]time.Duration{},
		Present:       map[string]bool{},
		Leader:        s.config.Name,
		DesiredVoters: s.config.Voters,
		ReplaceAfter:  s.config.ReplaceAfter,
	}
	conf := s.raft().GetConfiguration()
	if conf.Error() != nil {
		return set
	}
	committed := s.raft().CommitIndex()
	caughtUp := map[string]bool{s.config.Name: true}
	for _, status := range s.peerStatuses() {
		caughtUp[status.Name] = status.Applied > 0 && status.Applied+maxReplicaLag >= committed
	}
	view := s.gossip.View()
	s.memberFailures.mu.Lock()
	defer s.memberFailures.mu.Unlock()
	if s.memberFailures.since == nil {
		s.memberFailures.since = map[string]time.Time{}
	}
	for _, replica := range conf.Configuration().Servers {
		name := string(replica.ID)
		state := view.State(name)
		if name == s.config.Name {
			state = member.Present
		}
		set.Present[name] = state == member.Present && caughtUp[name]
		if replica.Suffrage == raft.Voter {
			set.Voters = append(set.Voters, name)
		} else {
			set.NonVoters = append(set.NonVoters, name)
		}
		if state != member.Failed && state != member.Left {
			delete(s.memberFailures.since, name)
			continue
		}
		if s.memberFailures.since[name].IsZero() {
			s.memberFailures.since[name] = time.Now()
		}
		set.Failed[name] = time.Since(s.memberFailures.since[name])
	}
	return set
}

// handleVoterStep changes the raft configuration by one step towards the wanted number of voters,
// all of them alive, and answers with that step. It refuses an outdated fencing token.
func (s *Server) handleVoterStep(w http.ResponseWriter, r *http.Request) error {
	var b fenceBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if s.gossip == nil || s.config.Voters == 0 {
		writeJSON(w, struct{}{})
		return nil
	}
	voters := s.voterSet()
	step, some := member.NextReconfiguration(&voters)
	if !some {
		writeJSON(w, step)
		return nil
	}
	// A committed entry shows that the fencing token is valid and that this steward leads.
	result, err := s.propose(catalog.Command{Kind: catalog.CheckTerm, UnderTask: votersTask, Fence: b.Fence})
	if err != nil {
		return err
	}
	if result.Code != catalog.Done {
		return &rejectedError{result}
	}
	if err := s.reconfigure(step); err != nil {
		return configurationError(err)
	}
	s.metrics.voterSteps.Inc()
	s.log.Warn("voters", "added", step.Add, "removed", step.Remove, "demoted", step.Demote, "wanted", voters.DesiredVoters, "fence", b.Fence)
	writeJSON(w, step)
	return nil
}

// reconfigure applies one step to the raft configuration.
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

// rejoinIfRemoved asks the leader to add this steward as a spare if it was removed from the raft
// configuration while it was away.
func (s *Server) rejoinIfRemoved(statuses []Status) {
	if s.config.Voters == 0 || s.raft() == nil {
		return
	}
	for i := range statuses {
		status := &statuses[i]
		if status.State != "leader" || status.Term < s.raft().CurrentTerm() && s.sinceLeaderContact() < s.config.StaleAfter {
			continue
		}
		if _, in := status.Peers[s.config.Name]; in || len(status.Peers) == 0 {
			return
		}
		p, known := (*s.peerTable.Load())[status.Name]
		if !known {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, peerTimeout)
		defer cancel()
		if err := call(ctx, s.peerClient, http.MethodPut, "http://"+p.HTTP+"/v1/peers/"+s.config.Name+"?spare=1", nil, nil); err != nil {
			s.log.Warn("replaced while away, and not taken in as a spare yet", "err", err)
			return
		}
		s.log.Info("replaced while away: a spare from now on")
		return
	}
}
