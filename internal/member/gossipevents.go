package member

import "time"

// MemberAlive handles the gossip library's notification that a member is alive or has
// changed its Info. An Info of an earlier incarnation is counted as stale and ignored.
func (t *Tracker) MemberAlive(now time.Duration, info Info) {
	if m := t.members[info.Name]; m != nil && info.Incarnation == 0 {
		// The member has restarted and the catalog has not assigned its new incarnation yet. The
		// library orders its messages, so this one is the latest.
		info.Incarnation = m.info.Incarnation
	}
	m := t.upsert(now, info)
	if m == nil {
		return
	}
	m.reportedDead, m.deadline = false, 0
	if m.lastContact == 0 {
		m.lastContact = now
	}
	t.updateOwnState(now, m)
}

// MemberDead handles the gossip library's notification that a member has failed or left. A failure
// during a mass failure, or while RecentlyPaused returns true, is deferred: the member is Suspect
// until the failure is confirmed. All observers must agree on the failure to confirm it; once
// Config.MassFailureDelay has passed, most of them suffice.
func (t *Tracker) MemberDead(now time.Duration, name string) {
	m := t.members[name]
	if m == nil || m.reportedDead {
		return
	}
	m.reportedDead = true
	if !m.info.ShuttingDown {
		t.recentFailures = append(t.recentFailures, failureEvent{now, name})
		if t.massFailure(now) || now < t.suppressSuspicionUntil {
			t.counts.Deferred++
			m.deadline = now + t.config.MassFailureDelay
		}
	}
	t.updateOwnState(now, m)
}

// ExpectPeer records that this process pings a member from now on. The member becomes Suspect when
// it has not answered for Config.PeerTimeout.
func (t *Tracker) ExpectPeer(now time.Duration, name string) {
	if m := t.members[name]; m != nil && !m.directPeer {
		m.directPeer, m.lastContact = true, now
	}
}

// PeerAnswered handles a member's answer to a ping from this process.
func (t *Tracker) PeerAnswered(now time.Duration, name string) {
	if m := t.members[name]; m != nil {
		m.lastContact = max(m.lastContact, now)
		t.updateOwnState(now, m)
	}
}

// Paused handles a pause of this process that has just ended. All deadlines are extended by its
// duration, and for Config.MassFailureDelay no member is suspected for unanswered pings.
func (t *Tracker) Paused(now, duration time.Duration) {
	t.suppressSuspicionUntil = max(t.suppressSuspicionUntil, now+t.config.MassFailureDelay)
	for _, m := range t.members {
		if m.lastContact > 0 {
			m.lastContact = min(m.lastContact+duration, now)
		}
		if m.deadline > 0 {
			m.deadline += duration
		}
		for from, o := range m.peerObservations {
			o.receivedAt = min(o.receivedAt+duration, now)
			m.peerObservations[from] = o
		}
	}
}

// RecentlyPaused reports whether this process was paused within the last Config.MassFailureDelay. If
// so, an answer that it missed is no evidence against another process.
func (t *Tracker) RecentlyPaused(now time.Duration) bool { return now < t.suppressSuspicionUntil }

// massFailure reports whether more than Config.MassFailureShare of the gossiping members, and more
// than one, failed within Config.MassFailureWindow. It discards failures before the window.
func (t *Tracker) massFailure(now time.Duration) bool {
	for len(t.recentFailures) > 0 && now-t.recentFailures[0].at > t.config.MassFailureWindow {
		t.recentFailures = t.recentFailures[1:]
	}
	failed := t.recentlyFailed()
	allowed := max(int(t.config.MassFailureShare*float64(t.countGossiping(failed))), 1)
	return len(failed) > allowed
}

// recentlyFailed returns the names of the members that failed within the window and have not
// recovered.
func (t *Tracker) recentlyFailed() map[string]bool {
	failed := map[string]bool{}
	for _, failure := range t.recentFailures {
		if m := t.members[failure.name]; m != nil && m.reportedDead {
			failed[failure.name] = true
		}
	}
	return failed
}

// countGossiping returns the number of gossiping members, including this process, that this process
// sees as present, suspect or joining, or that are in failed.
func (t *Tracker) countGossiping(failed map[string]bool) int {
	members := 1 // this process
	for name, m := range t.members {
		if m.info.Role.Gossips() && (failed[name] || m.ownState == Present || m.ownState == Suspect || m.ownState == Joining) {
			members++
		}
	}
	return members
}

// updateOwnState updates this process's observation of a gossiping member, and ignores other members.
func (t *Tracker) updateOwnState(now time.Duration, m *memberRecord) {
	if m.info.Role.Gossips() {
		t.setOwnState(now, m, t.gossipState(now, m))
	}
}

// gossipState returns the state of a gossiping member as this process observes it. It clears the
// deadline of a confirmed failure.
func (t *Tracker) gossipState(now time.Duration, m *memberRecord) State {
	switch {
	case m.info.ShuttingDown && m.reportedDead:
		return Left
	case m.reportedDead && m.directPeer && now-m.lastContact < t.config.PeerTimeout/2:
		// The member has just answered a ping, so the report may be about an earlier incarnation.
		return Suspect
	case m.reportedDead && m.deadline > 0 && !t.failureConfirmed(now, m):
		return Suspect
	case m.reportedDead:
		m.deadline = 0
		return Failed
	case m.directPeer && now-m.lastContact >= t.config.PeerTimeout && now >= t.suppressSuspicionUntil:
		return Suspect
	case m.info.Incarnation == 0:
		return Joining
	}
	return Present
}

// minAgreeingObservers is the minimum number of observers, including this process, that must agree
// to confirm a deferred failure.
const minAgreeingObservers = 2

// failureConfirmed reports whether a deferred failure is confirmed: most of the observers that are
// present or joining, and at least minAgreeingObservers, must agree. Before the deadline all of them
// must agree.
func (t *Tracker) failureConfirmed(now time.Duration, m *memberRecord) bool {
	agreeing, observers := 1, 1 // this process
	for name, observer := range t.members {
		if observer == m || observer.info.Role != RoleControlPlane || observer.ownState != Present && observer.ownState != Joining {
			continue
		}
		observers++
		o, ok := m.peerObservations[name]
		agrees := ok && o.Incarnation == m.info.Incarnation && (o.State == Failed || o.State == Suspect)
		if agrees && now-o.receivedAt < t.config.ReportRetention {
			agreeing++
		}
	}
	return agreeing >= minAgreeingObservers && 2*agreeing > observers && (now >= m.deadline || agreeing == observers)
}
