package control

import (
	"time"

	"github.com/hashicorp/raft"

	"molepaddle/internal/catalog"
	"molepaddle/internal/endpoints"
)

// Status is how a steward stands.
type Status struct {
	Name      string            `json:"name"`
	State     string            `json:"state"` // "leader", "follower", "candidate" or "starting"
	Leader    string            `json:"leader"`
	Term      uint64            `json:"term"`
	Seq       int64             `json:"seq"`
	Applied   uint64            `json:"applied"`
	Committed uint64            `json:"committed"`
	HasState  bool              `json:"has_state"`
	Stale     bool              `json:"stale"`
	SilentMs  int64             `json:"silent_ms"`
	Voters    []string          `json:"voters"`
	Peers     map[string]string `json:"peers"`    // suffrage by name
	LagMs     int64             `json:"lag_ms"`   // behind what the leader had committed
	Draining  bool              `json:"draining"` // it is about to end
	Watches   int               `json:"watches"`
	Movable   int               `json:"movable"` // watches that can go to another steward
	Listed    int               `json:"listed"`
	Held      int               `json:"held"` // that would have lapsed in a mass failure
	Damped    int               `json:"damped"`
	HeldForMs int64             `json:"held_for_ms"`
}

func (n *Node) status() Status {
	st := Status{Name: n.c.Name, State: "starting", Watches: n.hub.watches(), Movable: n.hub.load().movable, Draining: n.draining.Load(), Peers: map[string]string{}}
	var clock, since time.Duration
	n.fsm.read(func(s *catalog.State) {
		st.Seq, clock, since = s.Seq, s.Clock, s.HeldSince
		for _, e := range s.Entries {
			switch {
			case e.Ended:
			case e.Damped > 0:
				st.Damped++
			case e.Listed().Health != endpoints.Gone:
				st.Listed++
			}
			if e.Held {
				st.Held++
			}
		}
	})
	if since > 0 {
		st.HeldForMs = (clock - since).Milliseconds()
	}
	if n.raft() == nil {
		return st
	}
	states := map[raft.RaftState]string{raft.Leader: "leader", raft.Follower: "follower", raft.Candidate: "candidate", raft.Shutdown: "ended"}
	st.State, st.Leader, st.Term = states[n.raft().State()], n.leader(), n.raft().CurrentTerm()
	st.Applied, st.Committed = n.raft().AppliedIndex(), n.raft().CommitIndex()
	st.Stale, st.SilentMs = n.stale(), n.silence().Milliseconds()
	st.LagMs = time.Duration(n.lagged.Load()).Milliseconds()
	if f := n.raft().GetConfiguration(); f.Error() == nil {
		for _, s := range f.Configuration().Servers {
			st.Peers[string(s.ID)] = s.Suffrage.String()
			if s.Suffrage == raft.Voter {
				st.Voters = append(st.Voters, string(s.ID))
			}
		}
	}
	// The first entry is the configuration that each writes for itself; what comes after it
	// took a quorum.
	st.HasState = n.raft().LastIndex() > 1
	return st
}
