package control

import "time"

// tend looks after the watches: they are ended once this steward has become stale while a
// better one is there, and some of them, in small steps, when others have fewer.
func (n *Node) tend() {
	t := time.NewTicker(min(n.c.StaleAfter/4, lookAgain))
	defer t.Stop()
	var behind progress
	var spread time.Time
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		found := n.look()
		for i := range found {
			if st := &found[i]; st.State == "leader" && st.Term >= n.raft().CurrentTerm() {
				behind.saw(time.Since(n.began), st.Committed)
			}
		}
		n.rejoinLost(found)
		n.lagged.Store(int64(behind.lag(time.Since(n.began), n.raft().AppliedIndex())))
		if n.stale() && better(found) {
			if ended := n.hub.endAll(); ended > 0 {
				n.log.Warn("without the quorum or behind: watches are sent elsewhere", "watches", ended,
					"silent_for", n.silence().Round(time.Millisecond), "behind_by", time.Duration(n.lagged.Load()).Round(time.Millisecond))
			}
			continue
		}
		if time.Since(spread) < lookAgain {
			continue
		}
		spread = time.Now()
		if moved := n.hub.move(surplus(n.hub.load(), loads(found))); moved > 0 {
			n.m.moved.Add(float64(moved))
			n.log.Info("other stewards have fewer watches", "sent_elsewhere", moved, "left", n.hub.watches())
		}
	}
}

// loads is what the stewards have to which a watch can go.
func loads(found []Status) (out []load) {
	for i := range found {
		if st := &found[i]; serves(st) {
			out = append(out, load{st.Watches, st.Movable})
		}
	}
	return out
}

// drain sends the watches elsewhere that can go there, a few at a time, before this steward
// ends: all at once they would be a herd at the others.
func (n *Node) drain() {
	n.draining.Store(true)
	if n.c.Drain <= 0 || !n.betterElsewhere() {
		return
	}
	const steps = 20
	first := n.hub.load().movable
	t := time.NewTicker(max(n.c.Drain/steps, time.Millisecond))
	defer t.Stop()
	for range steps {
		if n.hub.load().movable == 0 {
			break
		}
		n.m.moved.Add(float64(n.hub.move((first + steps - 1) / steps)))
		<-t.C
	}
	n.log.Info("drained", "watches", first, "left", n.hub.watches())
}
