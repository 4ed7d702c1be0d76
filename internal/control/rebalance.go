package control

import "time"

// drainSteps is the number of steps in which Close migrates the watches to other servers.
const drainSteps = 20

// watchLoop migrates watches to other servers: all of them once this server is stale and another
// one can serve them, and a few at a time when others have fewer. It also measures the lag
// behind the leader that makes a server stale. It returns when the server stops.
func (s *Server) watchLoop() {
	ticker := time.NewTicker(s.statusInterval())
	defer ticker.Stop()
	var leaderCommits commitHistory
	var lastRebalance time.Time
	for {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		statuses := s.peerStatuses()
		s.recordLeaderCommitIndex(&leaderCommits, statuses)
		s.rejoinIfRemoved(statuses)
		s.replicationLag.Store(int64(leaderCommits.lag(time.Since(s.startedAt), s.raft().AppliedIndex())))
		if s.stale() && anyCanServe(statuses) {
			s.endWatches()
			continue
		}
		if time.Since(lastRebalance) < statusMaxAge {
			continue
		}
		lastRebalance = time.Now()
		s.rebalance(statuses)
	}
}

// recordLeaderCommitIndex records the leader's commit index, against which this server's lag is measured.
func (s *Server) recordLeaderCommitIndex(leaderCommits *commitHistory, statuses []Status) {
	for i := range statuses {
		if st := &statuses[i]; st.State == stateLeader && st.Term >= s.raft().CurrentTerm() {
			leaderCommits.record(time.Since(s.startedAt), st.Committed)
		}
	}
}

// endWatches ends all watches of this server, which is stale, so that their readers go to
// another one.
func (s *Server) endWatches() {
	ended := s.broadcaster.endAll()
	if ended == 0 {
		return
	}
	s.log.Warn("stale: all watches ended, for their readers to go to another server", "watches", ended,
		"since_leader_contact", s.sinceLeaderContact().Round(time.Millisecond),
		"replication_lag", time.Duration(s.replicationLag.Load()).Round(time.Millisecond))
}

// rebalance ends a small part of the watches if other servers have fewer.
func (s *Server) rebalance(statuses []Status) {
	migrated := s.broadcaster.migrate(excessWatches(s.broadcaster.load(), peerLoads(statuses)))
	if migrated == 0 {
		return
	}
	s.metrics.watchesMigrated.Add(float64(migrated))
	s.log.Info("watches ended, for their readers to go to less loaded servers", "watches", migrated, "remaining", s.broadcaster.watchCount())
}

// peerLoads returns the loads of the servers that a watch can migrate to.
func peerLoads(statuses []Status) (loads []watchLoad) {
	for i := range statuses {
		if st := &statuses[i]; canServe(st) {
			loads = append(loads, watchLoad{st.Watches, st.Movable})
		}
	}
	return loads
}

// drain ends the watches whose readers know other servers, in steps spread over the configured
// time, so that the others don't get all of them at once. It does nothing but set the draining
// flag if no other server can serve.
func (s *Server) drain() {
	s.draining.Store(true)
	if s.config.Drain <= 0 || !s.peerCanServe() {
		return
	}
	movable := s.broadcaster.load().movable
	ticker := time.NewTicker(max(s.config.Drain/drainSteps, time.Millisecond))
	defer ticker.Stop()
	for range drainSteps {
		if s.broadcaster.load().movable == 0 {
			break
		}
		s.metrics.watchesMigrated.Add(float64(s.broadcaster.migrate((movable + drainSteps - 1) / drainSteps)))
		<-ticker.C
	}
	s.log.Info("drained", "watches", movable, "remaining", s.broadcaster.watchCount())
}
