package control

import (
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// Values of Status.State.
const (
	stateLeader    = "leader"
	stateFollower  = "follower"
	stateCandidate = "candidate"
	stateEnded     = "ended"
	stateStarting  = "starting"
)

// stateNames are the values of Status.State by raft state.
var stateNames = map[raft.RaftState]string{
	raft.Leader:    stateLeader,
	raft.Follower:  stateFollower,
	raft.Candidate: stateCandidate,
	raft.Shutdown:  stateEnded,
}

// Status describes a control-plane server as it sees itself.
type Status struct {
	Name                 string            `json:"name"`
	State                string            `json:"state"` // "leader", "follower", "candidate", "ended" or "starting"
	Leader               string            `json:"leader"`
	Term                 uint64            `json:"term"`      // raft's
	Seq                  int64             `json:"seq"`       // version of the list
	Applied              uint64            `json:"applied"`   // index of the last log entry that is applied here
	Committed            uint64            `json:"committed"` // index of the last log entry that is known here to be committed
	HasState             bool              `json:"has_state"` // its raft log holds more than the first configuration
	Stale                bool              `json:"stale"`
	SinceLeaderContactMs int64             `json:"silent_ms"` // see sinceLeaderContact
	Voters               []string          `json:"voters"`
	Peers                map[string]string `json:"peers"`    // suffrage by name
	LagMs                int64             `json:"lag_ms"`   // behind what the leader had committed
	Draining             bool              `json:"draining"` // it is about to stop
	Watches              int               `json:"watches"`
	Movable              int               `json:"movable"` // watches that can migrate to another server
	Listed               int               `json:"listed"`  // servers that are listed
	Quarantined          int               `json:"held"`    // servers that the mass-failure guard keeps although their leases expired
	Damped               int               `json:"damped"`  // servers that are kept off the list for restarting too often
	QuarantinedForMs     int64             `json:"held_for_ms"`
}

// status returns this server's status. Without raft only the fields about the state and the
// watches are set.
func (s *Server) status() Status {
	st := Status{
		Name:     s.config.Name,
		State:    stateStarting,
		Watches:  s.broadcaster.watchCount(),
		Movable:  s.broadcaster.load().movable,
		Draining: s.draining.Load(),
		Peers:    map[string]string{},
	}
	s.fsm.read(func(state *catalog.State) { countEntries(&st, state) })
	if s.raft() == nil {
		return st
	}
	s.addRaftStatus(&st)
	return st
}

// countEntries fills in what the replicated state holds.
func countEntries(st *Status, state *catalog.State) {
	st.Seq = state.Seq
	for _, e := range state.Entries {
		switch {
		case e.Removed:
		case e.DampedUntil > 0:
			st.Damped++
		case e.Listed().Health != endpoints.Removed:
			st.Listed++
		}
		if e.Quarantined {
			st.Quarantined++
		}
	}
	if state.QuarantinedSince > 0 {
		st.QuarantinedForMs = (state.Clock - state.QuarantinedSince).Milliseconds()
	}
}

// addRaftStatus fills in the state of raft. It requires that raft has started.
func (s *Server) addRaftStatus(st *Status) {
	r := s.raft()
	st.State, st.Leader, st.Term = stateNames[r.State()], s.leader(), r.CurrentTerm()
	st.Applied, st.Committed = r.AppliedIndex(), r.CommitIndex()
	st.Stale, st.SinceLeaderContactMs = s.stale(), s.sinceLeaderContact().Milliseconds()
	st.LagMs = time.Duration(s.replicationLag.Load()).Milliseconds()
	if f := r.GetConfiguration(); f.Error() == nil {
		for _, replica := range f.Configuration().Servers {
			st.Peers[string(replica.ID)] = replica.Suffrage.String()
			if replica.Suffrage == raft.Voter {
				st.Voters = append(st.Voters, string(replica.ID))
			}
		}
	}
	// The first entry is the configuration that each server writes at bootstrap; any later one
	// took a quorum.
	st.HasState = r.LastIndex() > 1
}
