package member

import (
	"slices"
	"time"
)

// peerObservation is the last observation of a member that another observer reported.
type peerObservation struct {
	Observation
	since      time.Duration // when the observer first saw the state, by this process's clock
	receivedAt time.Duration
	// seq is the sequence number of the report. Partial reports arrive in any order, so each
	// observation is compared with the last one about the same member.
	seq int64
}

// observerProgress identifies the latest boot of an observer, which is one run of its process, and the
// last full report received from the observer.
type observerProgress struct {
	incarnation int64
	bootID      string
	fullSeq     int64 // the sequence number of the last full report of this boot
}

// MergeReport stores the observations of another observer. It returns true if any of them was new,
// in which case a partial report should be forwarded. Stale reports, and reports of a sender
// that is not a known server of the control plane, are counted and ignored.
func (t *Tracker) MergeReport(now time.Duration, r *Report) (changed bool) {
	sender := t.members[r.From]
	if sender == nil || sender.info.Role != RoleControlPlane {
		t.counts.UnknownSenders++
		return false
	}
	if !t.acceptReport(r) {
		t.counts.Stale++
		return false
	}
	if r.Full {
		t.dropOmitted(r)
	}
	for _, o := range r.Observations {
		if t.mergeObservation(now, r, o) {
			changed = true
		}
	}
	return changed
}

// acceptReport updates the progress of the report's observer. It returns false, and changes
// nothing, if the report is from an earlier boot of the observer or not newer than the observer's
// last full report.
func (t *Tracker) acceptReport(r *Report) bool {
	progress := t.observers[r.From]
	incarnation := r.Incarnation
	if incarnation == 0 { // the observer has just started and has no incarnation yet
		incarnation = progress.incarnation
	}
	sameBoot := r.BootID == progress.bootID
	switch {
	case incarnation < progress.incarnation:
		return false
	case sameBoot && r.Seq <= progress.fullSeq:
		return false
	case incarnation == progress.incarnation && !sameBoot && progress.bootID != "" && !r.Full:
		// Two boots with the same incarnation can't be ordered. A full report comes from the
		// observer itself, so its boot is the current one; a partial report is forwarded by
		// other members and may be from the earlier boot.
		return false
	}
	if !sameBoot {
		progress.fullSeq = 0
		t.resetSequence(r.From)
	}
	if r.Full {
		progress.fullSeq = r.Seq
	}
	t.observers[r.From] = observerProgress{incarnation: incarnation, bootID: r.BootID, fullSeq: progress.fullSeq}
	return true
}

// resetSequence makes any report of the observer newer than its stored observations, as a new
// boot restarts the sequence numbers.
func (t *Tracker) resetSequence(observer string) {
	for _, m := range t.members {
		if o, ok := m.peerObservations[observer]; ok {
			o.seq = 0
			m.peerObservations[observer] = o
		}
	}
}

// dropOmitted removes the sender's earlier observations of members that its full report
// omits.
func (t *Tracker) dropOmitted(r *Report) {
	for _, m := range t.members {
		o, ok := m.peerObservations[r.From]
		if !ok || o.seq >= r.Seq {
			continue
		}
		if !slices.ContainsFunc(r.Observations, func(o Observation) bool { return o.Name == m.info.Name }) {
			delete(m.peerObservations, r.From)
			t.version++
		}
	}
}

// mergeObservation stores one observation of a report. It returns false, and changes nothing, if
// the observation is not newer than the stored one or is about a member that is not tracked.
func (t *Tracker) mergeObservation(now time.Duration, r *Report, o Observation) bool {
	if o.Name == t.config.Self.Name || o.Name == r.From {
		return false
	}
	m := t.observedRecord(now, o)
	if m == nil {
		return false
	}
	previous, known := m.peerObservations[r.From]
	if known && previous.seq >= r.Seq {
		return false
	}
	if !known || previous.State != o.State || previous.Incarnation != o.Incarnation {
		t.version++
	}
	m.peerObservations[r.From] = peerObservation{
		Observation: o,
		since:       now - time.Duration(o.ForMs)*time.Millisecond,
		receivedAt:  now,
		seq:         r.Seq,
	}
	if o.Incarnation > m.info.Incarnation && !o.Role.Gossips() {
		m.info.Incarnation = o.Incarnation
	}
	if m.ownState == Left && o.Incarnation > m.info.Incarnation {
		m.ownState = ""
	}
	return true
}

// observedRecord returns the record of an observed member, created if it is new. It returns
// nil for an unknown member that gossips, because only the gossip library adds gossiping members.
// It also returns nil if there are too many members.
func (t *Tracker) observedRecord(now time.Duration, o Observation) *memberRecord {
	if m := t.members[o.Name]; m != nil {
		return m
	}
	if o.Role.Gossips() || len(t.members) >= MaxMembers {
		return nil
	}
	return t.addRecord(now, Info{
		ProtocolVersion: ProtocolVersion,
		Name:            o.Name,
		Role:            o.Role,
		Zone:            o.Zone,
		Incarnation:     o.Incarnation,
	})
}

// observerFailedOrLeft reports whether this process sees an observer as failed or left. The
// observations of such an observer no longer count.
func (t *Tracker) observerFailedOrLeft(observer string) bool {
	m := t.members[observer]
	return m != nil && (m.ownState == Failed || m.ownState == Left)
}
