package control

import (
	"time"

	"github.com/hashicorp/raft"

	"molepaddle/internal/catalog"
)

// voters are the names that vote, as this steward knows it.
func (n *Node) voters() []string {
	f := n.raft().GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	var names []string
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			names = append(names, string(s.ID))
		}
	}
	return names
}

// follow leads while raft says so: it takes up the leases, and proposes what is decided.
func (n *Node) follow() {
	tick := time.NewTicker(decideEvery)
	defer tick.Stop()
	for {
		select {
		case leads := <-n.raft().LeaderCh():
			if leads {
				n.begin()
			} else {
				n.end()
			}
		case <-tick.C:
			n.assign()
		case <-n.ctx.Done():
			n.end()
			return
		}
	}
}

// begin takes up a leader's work once all that was committed before is applied here.
func (n *Node) begin() {
	if err := n.raft().Barrier(applyWait).Error(); err != nil {
		n.log.Warn("leads no longer before it began", "err", err)
		return
	}
	n.lead.Lock()
	var seq int64
	n.fsm.read(func(s *catalog.State) {
		n.base, seq = s.Clock, s.Seq
		n.ledSince = time.Now()
		n.leases = catalog.Lead(n.c.leases(), s, s.Clock)
		n.tenures = catalog.Succeed(s.Clock)
	})
	n.lead.Unlock()
	n.m.elections.Inc()
	n.log.Info("leads", "version", seq, "term", n.raft().CurrentTerm())
	if seq == 0 {
		n.raise(0)
	}
	n.defineOwn()
}

func (n *Node) end() {
	n.lead.Lock()
	defer n.lead.Unlock()
	if n.leases != nil {
		n.log.Info("leads no longer")
	}
	n.leases, n.tenures = nil, nil
}

// raise brings the version to where no reader has been: versions never go back, also where
// the state is new or an old one. The clock is a hint only; what a reader has seen counts.
func (n *Node) raise(seen int64) {
	floor := max(n.c.Now().UnixMicro(), seen+1)
	if floor > maxSeq {
		return // no service ever said such a version
	}
	if _, err := n.propose(catalog.Command{Kind: catalog.Floor, Seq: floor}); err != nil {
		n.log.Warn("the version was not raised", "err", err)
		return
	}
	n.log.Info("version raised", "to", floor, "seen_by_a_reader", seen)
}

// maxSeq bounds a version that is taken for one: JSON numbers hold no more exactly, and one
// reader's nonsense must not use up all that there are.
const maxSeq = 1 << 52

// elapsed is the leader's time for a command.
func (n *Node) elapsed() (time.Duration, bool) {
	n.lead.Lock()
	defer n.lead.Unlock()
	return n.base + time.Since(n.ledSince), n.leases != nil
}

// sweep proposes what leases and damping call for, under the fence of the duty.
func (n *Node) sweep(fence int64) error {
	now, leads := n.elapsed()
	if !leads {
		return errNoLeader
	}
	var d catalog.Decision
	n.lead.Lock()
	if n.leases != nil {
		n.fsm.read(func(s *catalog.State) { d = n.leases.Decide(s, now, n.judge()) })
	}
	n.lead.Unlock()
	for _, c := range []catalog.Command{{Kind: catalog.Lapse, Refs: d.Lapse}, {Kind: catalog.Hold, Refs: d.Hold},
		{Kind: catalog.Seen, Refs: d.Seen}, {Kind: catalog.Admit, Refs: d.Admit}} {
		if len(c.Refs) == 0 {
			continue
		}
		c.Under, c.Fence = sweepDuty, fence
		r, err := n.propose(c)
		if err != nil {
			return err
		}
		if r.Code == catalog.Fenced {
			return &refusal{r}
		}
		n.m.decided.WithLabelValues(string(c.Kind)).Add(float64(len(c.Refs)))
		n.log.Info("decided", "command", c.Kind, "servers", len(c.Refs), "first", c.Refs[0].Name, "fence", fence)
	}
	return nil
}

// renew notes that a process was heard; on the leader only, and in no log.
func (n *Node) renew(refs []catalog.Ref) ([]catalog.Code, error) {
	now, leads := n.elapsed()
	if !leads {
		return nil, errNoLeader
	}
	codes := make([]catalog.Code, len(refs))
	n.lead.Lock()
	defer n.lead.Unlock()
	if n.leases == nil {
		return nil, errNoLeader
	}
	n.fsm.read(func(s *catalog.State) {
		for i, ref := range refs {
			codes[i] = n.leases.Renew(s, ref, now)
		}
	})
	return codes, nil
}

// leader is the name of the leader, "" if none is known.
func (n *Node) leader() string {
	if n.raft() == nil {
		return ""
	}
	_, id := n.raft().LeaderWithID()
	return string(id)
}
