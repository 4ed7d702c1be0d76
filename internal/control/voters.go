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
	maxReplicaLag  = 16          // entries by which a steward may lag and still become a voter
)

// failures holds since when the leader has seen each failed member as failed.
type failures struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// voterFleet returns what the leader knows of the stewards in the raft configuration: which
// vote, which are present and caught up, and for how long others have failed.
func (n *Server) voterFleet() member.VoterSet {
	f := member.VoterSet{
		Failed:        map[string]time.Duration{},
		Present:       map[string]bool{},
		Leader:        n.c.Name,
		DesiredVoters: n.c.Voters,
		ReplaceAfter:  n.c.ReplaceAfter,
	}
	conf := n.raft().GetConfiguration()
	if conf.Error() != nil {
		return f
	}
	committed := n.raft().CommitIndex()
	caughtUp := map[string]bool{n.c.Name: true}
	for _, st := range n.peerStatuses() {
		caughtUp[st.Name] = st.Applied > 0 && st.Applied+maxReplicaLag >= committed
	}
	v := n.gossip.View()
	n.failures.mu.Lock()
	defer n.failures.mu.Unlock()
	if n.failures.since == nil {
		n.failures.since = map[string]time.Time{}
	}
	for _, s := range conf.Configuration().Servers {
		name := string(s.ID)
		state := v.State(name)
		if name == n.c.Name {
			state = member.Present
		}
		f.Present[name] = state == member.Present && caughtUp[name]
		if s.Suffrage == raft.Voter {
			f.Voters = append(f.Voters, name)
		} else {
			f.NonVoters = append(f.NonVoters, name)
		}
		if state != member.Failed && state != member.Left {
			delete(n.failures.since, name)
			continue
		}
		if n.failures.since[name].IsZero() {
			n.failures.since[name] = time.Now()
		}
		f.Failed[name] = time.Since(n.failures.since[name])
	}
	return f
}

// stepVoters changes the raft configuration by one step towards the wanted number of voters,
// all of them alive, and answers with that step. It refuses an outdated fencing token.
func (n *Server) stepVoters(w http.ResponseWriter, r *http.Request) error {
	var b fenceBody
	if err := body(w, r, &b); err != nil {
		return err
	}
	if n.gossip == nil || n.c.Voters == 0 {
		answer(w, struct{}{})
		return nil
	}
	f := n.voterFleet()
	step, some := member.NextReconfiguration(&f)
	if !some {
		answer(w, step)
		return nil
	}
	// A committed entry shows that the fencing token is valid and that this steward leads.
	res, err := n.propose(catalog.Command{Kind: catalog.CheckTerm, UnderTask: votersDuty, Fence: b.Fence})
	if err != nil {
		return err
	}
	if res.Code != catalog.Done {
		return &refusal{res}
	}
	if err := n.changeVoters(step); err != nil {
		return membership(err)
	}
	n.m.replaced.Inc()
	n.log.Warn("voters", "added", step.Add, "removed", step.Remove, "demoted", step.Demote, "wanted", f.DesiredVoters, "fence", b.Fence)
	answer(w, step)
	return nil
}

// changeVoters applies one step to the raft configuration.
func (n *Server) changeVoters(step member.Reconfiguration) error {
	switch {
	case step.Add != "":
		return n.raft().AddVoter(raft.ServerID(step.Add), raft.ServerAddress(step.Add), 0, applyWait).Error()
	case step.Demote != "":
		return n.raft().DemoteVoter(raft.ServerID(step.Demote), 0, applyWait).Error()
	default:
		return n.raft().RemoveServer(raft.ServerID(step.Remove), 0, applyWait).Error()
	}
}

// rejoinLost asks the leader to add this steward as a spare if it was removed from the raft
// configuration while it was away.
func (n *Server) rejoinLost(found []Status) {
	if n.c.Voters == 0 || n.raft() == nil {
		return
	}
	for i := range found {
		st := &found[i]
		if st.State != "leader" || st.Term < n.raft().CurrentTerm() && n.silence() < n.c.StaleAfter {
			continue
		}
		if _, in := st.Peers[n.c.Name]; in || len(st.Peers) == 0 {
			return
		}
		p, known := (*n.table.Load())[st.Name]
		if !known {
			return
		}
		ctx, cancel := context.WithTimeout(n.ctx, peerWait)
		defer cancel()
		if err := call(ctx, n.peers, http.MethodPut, "http://"+p.HTTP+"/v1/peers/"+n.c.Name+"?spare=1", nil, nil); err != nil {
			n.log.Warn("replaced while away, and not taken in as a spare yet", "err", err)
			return
		}
		n.log.Info("replaced while away: a spare from now on")
		return
	}
}
