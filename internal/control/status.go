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

// Status is the status of a control-plane server, as reported by that server. JSON keys that differ from
// the names of the fields are fixed by the HTTP API.
type Status struct {
	Name                 string            `json:"name"`
	State                string            `json:"state"` // "leader", "follower", "candidate", "ended" or "starting"
	Leader               string            `json:"leader"`
	Term                 uint64            `json:"term"`      // raft term
	Seq                  int64             `json:"seq"`       // version of the list
	Applied              uint64            `json:"applied"`   // index of the last log entry that this server has applied
	Committed            uint64            `json:"committed"` // highest log index that this server knows to be committed
	HasState             bool              `json:"has_state"` // the raft log holds more than the initial configuration
	Stale                bool              `json:"stale"`
	SinceLeaderContactMs int64             `json:"silent_ms"` // see sinceLeaderContact
	Voters               []string          `json:"voters"`
	Peers                map[string]string `json:"peers"`    // raft suffrage by server name
	LagMs                int64             `json:"lag_ms"`   // replication lag behind the leader's commit index
	Draining             bool              `json:"draining"` // the server is about to stop
	Watches              int               `json:"watches"`
	Movable              int               `json:"movable"` // watches that can migrate to another server
	Listed               int               `json:"listed"`  // servers that are listed
	Quarantined          int               `json:"held"`    // servers that the mass-failure guard keeps listed although their leases have expired
	Damped               int               `json:"damped"`  // servers that are not listed because they restart too often
	QuarantinedForMs     int64             `json:"held_for_ms"`
}

// status returns this server's status. Before raft has started, only the fields about the
// replicated state and the watches are set.
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

// countEntries sets the fields that are derived from the replicated state.
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

// addRaftStatus sets the fields about raft, which must have started.
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
	// The first entry is the configuration that each server writes by itself at bootstrap. Later
	// entries come from a leader that a quorum elected.
	st.HasState = r.LastIndex() > 1
}
