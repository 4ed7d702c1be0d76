package control

import "time"

// drainSteps is in how many steps Close moves the watches to other stewards.
const drainSteps = 20

// watchLoop sends watches to other stewards: all of them once this steward is stale and
// another can serve them, and a few at a time when others have fewer. It also measures the
// lag behind the leader that makes a steward stale. It returns when the steward stops.
func (n *Server) watchLoop() {
	t := time.NewTicker(min(n.c.StaleAfter/4, statusMaxAge))
	defer t.Stop()
	var behind progress
	var rebalanced time.Time
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		found := n.peerStatuses()
		n.noteCommitted(&behind, found)
		n.rejoinLost(found)
		n.lagged.Store(int64(behind.lag(time.Since(n.began), n.raft().AppliedIndex())))
		if n.stale() && anyCanServe(found) {
			n.endWatches()
			continue
		}
		if time.Since(rebalanced) < statusMaxAge {
			continue
		}
		rebalanced = time.Now()
		n.rebalance(found)
	}
}

// noteCommitted records the leader's commit index, against which this steward's lag is
// measured.
func (n *Server) noteCommitted(behind *progress, found []Status) {
	for i := range found {
		if st := &found[i]; st.State == "leader" && st.Term >= n.raft().CurrentTerm() {
			behind.saw(time.Since(n.began), st.Committed)
		}
	}
}

// endWatches ends all watches of a stale steward, so that their readers go to another.
func (n *Server) endWatches() {
	ended := n.hub.endAll()
	if ended == 0 {
		return
	}
	n.log.Warn("without the quorum or behind: watches are sent elsewhere", "watches", ended,
		"silent_for", n.silence().Round(time.Millisecond), "behind_by", time.Duration(n.lagged.Load()).Round(time.Millisecond))
}

// rebalance ends a small part of the watches if other stewards have fewer.
func (n *Server) rebalance(found []Status) {
	moved := n.hub.move(surplus(n.hub.load(), peerLoads(found)))
	if moved == 0 {
		return
	}
	n.m.moved.Add(float64(moved))
	n.log.Info("other stewards have fewer watches", "sent_elsewhere", moved, "left", n.hub.watches())
}

// peerLoads returns the loads of the stewards that a watch can be sent to.
func peerLoads(found []Status) (out []load) {
	for i := range found {
		if st := &found[i]; canServe(st) {
			out = append(out, load{st.Watches, st.Movable})
		}
	}
	return out
}

// drain moves the watches that can go to other stewards, in steps spread over the configured
// time, so that the others aren't hit by all of them at once. It does nothing but set the
// draining flag if no other steward can serve.
func (n *Server) drain() {
	n.draining.Store(true)
	if n.c.Drain <= 0 || !n.betterElsewhere() {
		return
	}
	first := n.hub.load().movable
	t := time.NewTicker(max(n.c.Drain/drainSteps, time.Millisecond))
	defer t.Stop()
	for range drainSteps {
		if n.hub.load().movable == 0 {
			break
		}
		n.m.moved.Add(float64(n.hub.move((first + drainSteps - 1) / drainSteps)))
		<-t.C
	}
	n.log.Info("drained", "watches", first, "left", n.hub.watches())
}
