package member

import (
	"slices"
	"strings"
	"time"
)

// Change is a change of a member's state in the view.
type Change struct {
	Name     string
	Role     Role
	From, To State // From is empty for a member that is new in the view
}

// Tick updates everything that depends on the time: it expires old observations, changes the states
// whose deadlines have passed, and removes the records of members that failed or left longer than
// Config.TombstoneRetention ago. It returns the members whose state in the view has changed since
// the last Tick, sorted by name. It must be called a few times a second.
func (t *Tracker) Tick(now time.Duration) (changes []Change) {
	for name, m := range t.members {
		t.expireObservations(now, m)
		if m.info.Role.Gossips() {
			t.updateOwnState(now, m)
		} else {
			t.updateSessionState(now, m)
		}
		if t.tombstoneExpired(now, m) {
			delete(t.members, name)
			t.version++
			continue
		}
		if change, ok := t.publishState(now, m); ok {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	return changes
}

// expireObservations removes observations that their observers have not renewed in time.
func (t *Tracker) expireObservations(now time.Duration, m *memberRecord) {
	for from, o := range m.peerObservations {
		if now-o.receivedAt >= t.config.ReportRetention {
			delete(m.peerObservations, from)
			t.version++
		}
	}
}

// tombstoneExpired reports whether a member failed or left so long ago that its record is removed.
func (t *Tracker) tombstoneExpired(now time.Duration, m *memberRecord) bool {
	ended := m.ownState == Failed || m.ownState == Left || m.ownState == ""
	return ended && now-m.ownStateSince > t.config.TombstoneRetention && len(m.peerObservations) == 0
}

// publishState records a member's state in the view, and returns its change since the last Tick. It
// returns false if the state is unchanged, or if no observer has an observation of the member any
// more.
func (t *Tracker) publishState(now time.Duration, m *memberRecord) (Change, bool) {
	if t.combinedState(m) == "" && m.lastPublished == Present && !m.info.Role.Gossips() {
		// No remaining observer sees the member, for example because the only observer that did has
		// failed. The member's session may move to another observer until the grace period and the
		// suspicion timeout have passed.
		t.setOwnState(now, m, Suspect)
		m.deadline = now + t.config.SessionGrace + t.config.SuspicionTimeout
	}
	state := t.combinedState(m)
	if state == m.lastPublished {
		return Change{}, false
	}
	change := Change{Name: m.info.Name, Role: m.info.Role, From: m.lastPublished, To: state}
	m.lastPublished = state
	t.version++
	return change, state != ""
}
