package member

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// View is the state of all members as one process sees them. Operators read its JSON form, so the keys
// must not change.
type View struct {
	From    string  `json:"from"`    // name of the process that has this view
	Version int64   `json:"version"` // increases with each change, and restarts with the process
	Members []Entry `json:"members"` // sorted by role and name
}

// Entry is one member in a View.
type Entry struct {
	Name           string           `json:"name"`
	Role           Role             `json:"role"`
	Zone           string           `json:"zone,omitempty"`
	ProgramVersion string           `json:"program,omitempty"`
	Versions       ProtocolVersions `json:"speaks,omitzero"`
	Incarnation    int64            `json:"incarnation"`
	State          State            `json:"state"`     // state combined from all opinions
	Observers      []Opinion        `json:"observers"` // the own opinion of this process first, if any, then sorted by observer
}

// Opinion is the state of a member as one observer sees it, and for how long the observer
// has seen that state.
type Opinion struct {
	Observer    string `json:"observer"`
	State       State  `json:"state"`
	Incarnation int64  `json:"incarnation"`
	ForMs       int64  `json:"for_ms"`
}

// View returns the current view, with this process itself in it.
func (t *Tracker) View(now time.Duration) View {
	v := View{From: t.config.Self.Name, Version: t.version, Members: []Entry{t.selfEntry()}}
	for _, m := range t.members {
		if state := t.combinedState(m); state != "" {
			v.Members = append(v.Members, t.entry(now, m, state))
		}
	}
	slices.SortFunc(v.Members, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), strings.Compare(a.Name, b.Name))
	})
	return v
}

// newEntry returns the entry of a member without observers.
func newEntry(info *Info, state State) Entry {
	return Entry{
		Name:           info.Name,
		Role:           info.Role,
		Zone:           info.Zone,
		ProgramVersion: info.ProgramVersion,
		Versions:       info.Versions,
		Incarnation:    info.Incarnation,
		State:          state,
		Observers:      []Opinion{},
	}
}

// selfEntry returns the entry of this process.
func (t *Tracker) selfEntry() Entry {
	self := t.config.Self
	state := Present
	switch {
	case self.ShuttingDown:
		state = Left
	case self.Incarnation == 0:
		state = Joining
	}
	e := newEntry(&self, state)
	e.Observers = append(e.Observers, Opinion{Observer: self.Name, State: state, Incarnation: self.Incarnation})
	return e
}

// entry returns the entry of a member with all opinions.
func (t *Tracker) entry(now time.Duration, m *memberRecord, state State) Entry {
	e := newEntry(&m.info, state)
	for from, o := range m.peerObservations {
		if o.State == "" {
			continue
		}
		e.Observers = append(e.Observers, Opinion{from, o.State, o.Incarnation, (now - o.since).Milliseconds()})
	}
	slices.SortFunc(e.Observers, func(a, b Opinion) int { return strings.Compare(a.Observer, b.Observer) })
	if m.ownState != "" {
		own := Opinion{t.config.Self.Name, m.ownState, m.info.Incarnation, (now - m.ownStateSince).Milliseconds()}
		e.Observers = slices.Insert(e.Observers, 0, own)
	}
	return e
}

// combinedState combines all observations of a member's latest incarnation into its state, or
// returns "" if there are none. Observers that have failed or left do not count.
func (t *Tracker) combinedState(m *memberRecord) State {
	latest := m.info.Incarnation
	states := map[State]int{}
	total := 0
	count := func(state State, incarnation int64) {
		if state != "" && incarnation >= latest {
			states[state]++
			total++
		}
	}
	count(m.ownState, m.info.Incarnation)
	for from, o := range m.peerObservations {
		if !t.observerFailedOrLeft(from) {
			count(o.State, o.Incarnation)
		}
	}
	switch {
	case total == 0:
		return ""
	case m.info.Role.Gossips():
		aliveLocally := m.ownState == Present || m.ownState == Joining
		return combineGossipStates(states, total, aliveLocally)
	}
	return combineSessionStates(states)
}

// combineSessionStates combines the observations of a member that has sessions. A session is
// open at one observer only, so the member is present if any observer sees it as present.
func combineSessionStates(states map[State]int) State {
	switch {
	case states[Present]+states[Joining] > 0:
		return Present
	case states[Left] > 0:
		return Left
	case states[Suspect] > 0:
		return Suspect
	}
	return Failed
}

// combineGossipStates combines the observations of a member that gossips. total is their number, and
// aliveLocally tells whether this process sees the member alive. The member has left if any observer
// sees it as left. Otherwise it has the state that the majority observes. If exactly half of the
// observers, including this process, see it alive, it is alive. Without a majority it is suspect.
func combineGossipStates(states map[State]int, total int, aliveLocally bool) State {
	alive := states[Present] + states[Joining]
	if aliveLocally && 2*alive == total {
		total--
	}
	switch {
	case states[Left] > 0:
		return Left
	case 2*alive > total && states[Present] == 0:
		return Joining
	case 2*alive > total:
		return Present
	case 2*states[Failed] > total:
		return Failed
	}
	return Suspect
}

// State returns the state of a member, or "" if the view does not contain it.
func (v *View) State(name string) State {
	for i := range v.Members {
		if v.Members[i].Name == name {
			return v.Members[i].State
		}
	}
	return ""
}

// Count returns how many members of a role are in a state.
func (v *View) Count(role Role, state State) (n int) {
	for i := range v.Members {
		if v.Members[i].Role == role && v.Members[i].State == state {
			n++
		}
	}
	return n
}
