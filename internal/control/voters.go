package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"molepaddle/internal/catalog"
	"molepaddle/internal/member"
)

// failures is since when the leader has had members as failed.
type failures struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// fleet is the stewards as the leader knows them.
func (n *Node) fleet() member.Fleet {
	f := member.Fleet{Failed: map[string]time.Duration{}, There: map[string]bool{}, Leader: n.c.Name, Wanted: n.c.Voters, After: n.c.ReplaceAfter}
	conf := n.raft().GetConfiguration()
	if conf.Error() != nil {
		return f
	}
	committed := n.raft().CommitIndex()
	caught := map[string]bool{n.c.Name: true}
	for _, st := range n.peerStatuses() {
		caught[st.Name] = st.Applied > 0 && st.Applied+16 >= committed
	}
	v := n.gossip.View()
	n.failed.mu.Lock()
	defer n.failed.mu.Unlock()
	if n.failed.since == nil {
		n.failed.since = map[string]time.Time{}
	}
	for _, s := range conf.Configuration().Servers {
		name := string(s.ID)
		state := v.State(name)
		if name == n.c.Name {
			state = member.Present
		}
		f.There[name] = state == member.Present && caught[name]
		if s.Suffrage == raft.Voter {
			f.Voters = append(f.Voters, name)
		} else {
			f.Spares = append(f.Spares, name)
		}
		if state != member.Failed && state != member.Left {
			delete(n.failed.since, name)
			continue
		}
		if n.failed.since[name].IsZero() {
			n.failed.since[name] = time.Now()
		}
		f.Failed[name] = time.Since(n.failed.since[name])
	}
	return f
}

// stepVoters takes one step towards as many voters as are wanted, all of them alive.
func (n *Node) stepVoters(w http.ResponseWriter, r *http.Request) error {
	var b fenceBody
	if err := body(w, r, &b); err != nil {
		return err
	}
	if n.gossip == nil || n.c.Voters == 0 {
		answer(w, struct{}{})
		return nil
	}
	f := n.fleet()
	step, some := member.Replace(&f)
	if !some {
		answer(w, step)
		return nil
	}
	// The step is this duty's, and this steward leads: shown by an entry of the log.
	res, err := n.propose(catalog.Command{Kind: catalog.Check, Under: votersDuty, Fence: b.Fence})
	if err != nil {
		return err
	}
	if res.Code != catalog.Done {
		return &refusal{res}
	}
	switch {
	case step.Add != "":
		err = n.raft().AddVoter(raft.ServerID(step.Add), raft.ServerAddress(step.Add), 0, applyWait).Error()
	case step.Demote != "":
		err = n.raft().DemoteVoter(raft.ServerID(step.Demote), 0, applyWait).Error()
	default:
		err = n.raft().RemoveServer(raft.ServerID(step.Remove), 0, applyWait).Error()
	}
	if err != nil {
		return membership(err)
	}
	n.m.replaced.Inc()
	n.log.Warn("voters", "added", step.Add, "removed", step.Remove, "demoted", step.Demote, "wanted", f.Wanted, "fence", b.Fence)
	answer(w, step)
	return nil
}

// rejoinLost asks to be a spare where this steward was replaced while it was away.
func (n *Node) rejoinLost(found []Status) {
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
