package control

import "time"

// drainSteps is in how many steps Close moves the watches to other stewards.
const drainSteps = 20

// watchLoop sends watches to other stewards: all of them once this steward is stale and
// another can serve them, and a few at a time when others have fewer. It also measures the
// lag behind the leader that makes a steward stale. It returns when the steward stops.
func (s *Server) watchLoop() {
	ticker := time.NewTicker(min(s.config.StaleAfter/4, statusMaxAge))
	defer ticker.Stop()
	var leaderProgress commitProgress
	var rebalanced time.Time
	for {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		statuses := s.peerStatuses()
		s.recordCommitted(&leaderProgress, statuses)
		s.rejoinIfRemoved(statuses)
		s.replicationLag.Store(int64(leaderProgress.lag(time.Since(s.startedAt), s.raft().AppliedIndex())))
		if s.stale() && anyCanServe(statuses) {
			s.endWatches()
			continue
		}
		if time.Since(rebalanced) < statusMaxAge {
			continue
		}
		rebalanced = time.Now()
		s.rebalance(statuses)
	}
}

// recordCommitted records the leader's commit index, against which this steward's lag is
// measured.
func (s *Server) recordCommitted(leaderProgress *commitProgress, statuses []Status) {
	for i := range statuses {
		if st := &statuses[i]; st.State == "leader" && st.Term >= s.raft().CurrentTerm() {
			leaderProgress.record(time.Since(s.startedAt), st.Committed)
		}
	}
}

// endWatches ends all watches of a stale steward, so that their readers go to another.
func (s *Server) endWatches() {
	ended := s.broadcaster.endAll()
	if ended == 0 {
		return
	}
	s.log.Warn("without the quorum or behind: watches are sent elsewhere", "watches", ended,
		"silent_for", s.silence().Round(time.Millisecond), "behind_by", time.Duration(s.replicationLag.Load()).Round(time.Millisecond))
}

// rebalance ends a small part of the watches if other stewards have fewer.
func (s *Server) rebalance(statuses []Status) {
	migrated := s.broadcaster.migrate(excessWatches(s.broadcaster.load(), peerLoads(statuses)))
	if migrated == 0 {
		return
	}
	s.metrics.watchesMigrated.Add(float64(migrated))
	s.log.Info("other stewards have fewer watches", "sent_elsewhere", migrated, "left", s.broadcaster.watchCount())
}

// peerLoads returns the loads of the stewards that a watch can be sent to.
func peerLoads(statuses []Status) (out []watchLoad) {
	for i := range statuses {
		if st := &statuses[i]; canServe(st) {
			out = append(out, watchLoad{st.Watches, st.Movable})
		}
	}
	return out
}

// drain moves the watches that can go to other stewards, in steps spread over the configured
// time, so that the others aren't hit by all of them at once. It does nothing but set the
// draining flag if no other steward can serve.
func (s *Server) drain() {
	s.draining.Store(true)
	if s.config.Drain <= 0 || !s.betterElsewhere() {
		return
	}
	first := s.broadcaster.load().movable
	ticker := time.NewTicker(max(s.config.Drain/drainSteps, time.Millisecond))
	defer ticker.Stop()
	for range drainSteps {
		if s.broadcaster.load().movable == 0 {
			break
		}
		s.metrics.watchesMigrated.Add(float64(s.broadcaster.migrate((first + drainSteps - 1) / drainSteps)))
		<-ticker.C
	}
	s.log.Info("drained", "watches", first, "left", s.broadcaster.watchCount())
}
