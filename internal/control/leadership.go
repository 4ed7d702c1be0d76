package control

import (
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
)

// decisionInterval is how often the leader decides on sessions and leased tasks.
const decisionInterval = 100 * time.Millisecond

// maxSeq is the highest version that is accepted from a reader. JSON numbers are exact up to
// it, and it keeps one reader with an invalid version from exhausting the range.
const maxSeq = 1 << 52

// voters returns the names of the voters in the latest raft configuration that this steward
// has, or nil if there is none.
func (n *Server) voters() []string {
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

// leader returns the name of the leader, or "" if none is known.
func (n *Server) leader() string {
	if n.raft() == nil {
		return ""
	}
	_, id := n.raft().LeaderWithID()
	return string(id)
}

// leaderLoop follows raft's leadership changes and, while this steward leads, proposes what
// sessions and leased tasks call for. It returns when the steward stops.
func (n *Server) leaderLoop() {
	tick := time.NewTicker(decisionInterval)
	defer tick.Stop()
	for {
		select {
		case leads := <-n.raft().LeaderCh():
			if leads {
				n.becomeLeader()
			} else {
				n.stepDown()
			}
		case <-tick.C:
			n.assign()
		case <-n.ctx.Done():
			n.stepDown()
			return
		}
	}
}

// becomeLeader starts the leader's work once every entry committed by earlier leaders is
// applied here. All leases and sessions start with their full time.
func (n *Server) becomeLeader() {
	if err := n.raft().Barrier(applyWait).Error(); err != nil {
		n.log.Warn("leads no longer before it began", "err", err)
		return
	}
	n.lead.Lock()
	var seq int64
	n.fsm.read(func(s *catalog.State) {
		n.base, seq = s.Clock, s.Seq
		n.ledSince = time.Now()
		n.leases = catalog.NewRegistrationLeases(n.c.leases(), s, s.Clock)
		n.tenures = catalog.NewTaskLeases(s.Clock)
	})
	n.lead.Unlock()
	n.m.elections.Inc()
	n.log.Info("leads", "version", seq, "term", n.raft().CurrentTerm())
	if seq == 0 {
		n.raise(0)
	}
	n.defineOwn()
}

// stepDown drops the leader's unreplicated state. It does nothing on a follower.
func (n *Server) stepDown() {
	n.lead.Lock()
	defer n.lead.Unlock()
	if n.leases != nil {
		n.log.Info("leads no longer")
	}
	n.leases, n.tenures = nil, nil
}

// transferLeadership hands leadership to another voter, if this steward leads and there is
// one.
func (n *Server) transferLeadership() {
	if n.raft() == nil || n.raft().State() != raft.Leader || len(n.voters()) <= 1 {
		return
	}
	if err := n.raft().LeadershipTransfer().Error(); err != nil {
		n.log.Warn("leadership was not handed over", "err", err)
	}
}

// raise advances the version past every one that a reader can have seen, so that versions
// never decrease after the state was lost or restored. The wall clock in microseconds is a
// first guess; seen, the highest version that a reader reported, is a lower bound.
func (n *Server) raise(seen int64) {
	version := max(n.c.Now().UnixMicro(), seen+1)
	if version > maxSeq {
		return // no steward has ever issued such a version
	}
	if _, err := n.propose(catalog.Command{Kind: catalog.RaiseRevision, Seq: version}); err != nil {
		n.log.Warn("the version was not raised", "err", err)
		return
	}
	n.log.Info("version raised", "to", version, "seen_by_a_reader", seen)
}

// elapsed returns the state's clock as the leader continues it by its monotonic time, and
// whether this steward leads. The time is meaningless if it doesn't.
func (n *Server) elapsed() (time.Duration, bool) {
	n.lead.Lock()
	defer n.lead.Unlock()
	return n.base + time.Since(n.ledSince), n.leases != nil
}
