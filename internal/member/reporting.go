package member

import (
	"slices"
	"strings"
	"time"
)

// FullReport returns a report of all observations of this process, sorted by name. The caller sets
// the report's boot ID.
func (t *Tracker) FullReport(now time.Duration) Report {
	r := t.newReport(true)
	for _, m := range t.members {
		if m.ownState != "" {
			r.Observations = append(r.Observations, m.observation(now))
		}
	}
	slices.SortFunc(r.Observations, func(a, b Observation) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// PendingReport returns a partial report of the observations whose states have changed since they
// were last in a partial report, at most maxObservations, and whether there are any. The caller sets
// the report's boot ID.
func (t *Tracker) PendingReport(now time.Duration, maxObservations int) (r Report, pending bool) {
	var names []string
	for name, m := range t.members {
		if m.ownState != m.lastReported {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return Report{}, false
	}
	slices.Sort(names)
	r = t.newReport(false)
	for _, name := range names[:min(maxObservations, len(names))] {
		m := t.members[name]
		m.lastReported = m.ownState
		r.Observations = append(r.Observations, m.observation(now))
	}
	return r, true
}

// newReport returns a report without observations, with the next sequence number.
func (t *Tracker) newReport(full bool) Report {
	t.reportSeq++
	return Report{
		ProtocolVersion: ProtocolVersion,
		From:            t.config.Self.Name,
		Incarnation:     t.config.Self.Incarnation,
		Seq:             t.reportSeq,
		Full:            full,
	}
}

// observation returns this process's observation of a member.
func (m *memberRecord) observation(now time.Duration) Observation {
	return Observation{
		Name:        m.info.Name,
		Role:        m.info.Role,
		Zone:        m.info.Zone,
		Incarnation: m.info.Incarnation,
		State:       m.ownState,
		ForMs:       (now - m.ownStateSince).Milliseconds(),
	}
}
