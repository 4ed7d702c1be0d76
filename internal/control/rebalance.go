package control

import "time"

// drainSteps is the number of steps in which drain migrates the watches to other servers.
const drainSteps = 20

// watchLoop migrates watches to other servers: all watches if this server is stale and another server
// can serve, otherwise a few at a time while other servers have fewer watches. It also measures this server's
// replication lag, and rejoins the raft configuration if this server was removed from it. It
// returns when the server stops.
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

// recordLeaderCommitIndex records the leader's commit index, against which this server's replication
// lag is measured.
func (s *Server) recordLeaderCommitIndex(leaderCommits *commitHistory, statuses []Status) {
	for i := range statuses {
		if st := &statuses[i]; st.State == stateLeader && st.Term >= s.raft().CurrentTerm() {
			leaderCommits.record(time.Since(s.startedAt), st.Committed)
		}
	}
}

// endWatches ends all watches because this server is stale, so that their readers reconnect to
// another server.
func (s *Server) endWatches() {
	ended := s.broadcaster.endAll()
	if ended == 0 {
		return
	}
	s.log.Warn("stale: ended all watches so that their readers switch to another server", "watches", ended,
		"since_leader_contact", s.sinceLeaderContact().Round(time.Millisecond),
		"replication_lag", time.Duration(s.replicationLag.Load()).Round(time.Millisecond))
}

// rebalance ends a small part of the watches if other servers have fewer, so that the readers
// reconnect to those servers.
func (s *Server) rebalance(statuses []Status) {
	migrated := s.broadcaster.migrate(excessWatches(s.broadcaster.load(), peerLoads(statuses)))
	if migrated == 0 {
		return
	}
	s.metrics.watchesMigrated.Add(float64(migrated))
	s.log.Info("ended some watches so that their readers switch to less loaded servers", "watches", migrated, "remaining", s.broadcaster.watchCount())
}

// peerLoads returns the loads of the servers that watches can migrate to.
func peerLoads(statuses []Status) (loads []watchLoad) {
	for i := range statuses {
		if st := &statuses[i]; canServe(st) {
			loads = append(loads, watchLoad{st.Watches, st.Movable})
		}
	}
	return loads
}

// drain sets the draining flag and, if a drain time is configured and another server can serve, ends
// the watches whose readers know other servers. It does so in steps spread over the drain time, so that
// the other servers don't get all of the watches at once.
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
