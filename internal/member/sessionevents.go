package member

import (
	"math"
	"time"
)

// minTime is earlier than any time of the caller's clock.
const minTime = time.Duration(math.MinInt64)

// SessionOpened handles the start of a member's session at this process, such as an agent's
// watch.
func (t *Tracker) SessionOpened(now time.Duration, info Info) {
	if m := t.upsert(now, info); m != nil {
		m.openSessions++
		m.lastContact, m.deadline = now, 0
		t.setOwnState(now, m, Present)
	}
}

// SessionClosed handles the end of a session that was open at this process. The member's grace
// period starts when its last session ends. Without an open session, SessionClosed does nothing.
func (t *Tracker) SessionClosed(now time.Duration, name string) {
	if m := t.members[name]; m != nil && m.openSessions > 0 {
		if m.openSessions--; m.openSessions == 0 {
			m.lastContact = now
			m.deadline = now + t.config.SessionGrace
		}
	}
}

// Heartbeat handles a renewal by a member that has no session. The member is Present for the
// duration validFor.
func (t *Tracker) Heartbeat(now time.Duration, info Info, validFor time.Duration) {
	if m := t.upsert(now, info); m != nil {
		m.lastContact, m.deadline = now, now+validFor
		t.setOwnState(now, m, Present)
	}
}

// Leave handles a member's announcement of its own shutdown. An announcement of an earlier instance
// is counted as stale and ignored.
func (t *Tracker) Leave(now time.Duration, info Info) {
	if m := t.members[info.Name]; m != nil && m.info.InstanceID != info.InstanceID {
		t.counts.Stale++ // a late announcement of an earlier instance
		return
	}
	if m := t.upsert(now, info); m != nil {
		m.info.ShuttingDown, m.deadline, m.openSessions = true, 0, 0
		t.setOwnState(now, m, Left)
	}
}

// updateSessionState updates the state of a member without an open session: a deadline may have passed,
// or another observer may have the member's session now.
func (t *Tracker) updateSessionState(now time.Duration, m *memberRecord) {
	switch {
	case m.openSessions > 0:
	case m.deadline > 0 && now >= m.deadline:
		t.handleSessionDeadline(now, m)
	case (m.ownState == Suspect || m.ownState == Failed || m.ownState == Left) && t.presentElsewhere(m, m.ownStateSince):
		t.dropOwnState(m) // the member's session has moved to another observer
	}
}

// handleSessionDeadline handles a deadline that has passed: if the member's session has moved to
// another observer, this process's observation is dropped; otherwise the state changes from present
// to suspect, or from suspect to failed.
func (t *Tracker) handleSessionDeadline(now time.Duration, m *memberRecord) {
	if m.ownState != Present && m.ownState != Suspect {
		return
	}
	if t.presentElsewhere(m, minTime) {
		t.dropOwnState(m)
		return
	}
	if m.ownState == Present {
		t.setOwnState(now, m, Suspect)
		m.deadline = now + t.config.SuspicionTimeout
		return
	}
	t.setOwnState(now, m, Failed)
	m.deadline = 0
}

// presentElsewhere reports whether another observer sees the member as present. An observation of the
// known incarnation counts only if it began later than after; one of a later incarnation always counts.
func (t *Tracker) presentElsewhere(m *memberRecord, after time.Duration) bool {
	for from, o := range m.peerObservations {
		if t.observerFailedOrLeft(from) || o.State != Present {
			continue
		}
		if o.Incarnation > m.info.Incarnation || o.Incarnation == m.info.Incarnation && o.since > after {
			return true
		}
	}
	return false
}
