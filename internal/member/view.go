package member

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// View is who a process takes to be there, and who says so.
type View struct {
	From    string  `json:"from"`
	Version int64   `json:"version"` // of this view: it grows with each change, within one life of the process
	Members []Entry `json:"members"`
}

// Entry is one member.
type Entry struct {
	Name           string           `json:"name"`
	Role           Role             `json:"role"`
	Zone           string           `json:"zone,omitempty"`
	ProgramVersion string           `json:"program,omitempty"`
	Versions       ProtocolVersions `json:"speaks,omitzero"`
	Incarnation    int64            `json:"incarnation"`
	State          State            `json:"state"`
	Observers      []Opinion        `json:"observers"` // this process's own first, if it has one
}

// Opinion is what one observer thinks of a member, and for how long.
type Opinion struct {
	Observer    string `json:"observer"`
	State       State  `json:"state"`
	Incarnation int64  `json:"incarnation"`
	ForMs       int64  `json:"for_ms"`
}

func compareNames(a, b string) int { return strings.Compare(a, b) }

// combinedState is what all opinions together come to; "" is nothing.
//
// Only those of the member's latest life count. It has left if it told anybody so. A session
// is at one observer, so one that sees its owner is enough. Of those that gossip, what most
// observers think counts, and of two halves the one that this process is of itself; where no
// opinion has most, they are in doubt.
func (t *Tracker) combinedState(s *memberRecord) State {
	latest := s.info.Incarnation
	n := map[State]int{}
	all := 0
	add := func(st State, incarnation int64) {
		if st != "" && incarnation >= latest {
			n[st]++
			all++
		}
	}
	if s.ownState != "" {
		add(s.ownState, s.info.Incarnation)
	}
	for from, o := range s.peerObservations {
		if !t.observerEnded(from) {
			add(o.State, o.Incarnation)
		}
	}
	if all == 0 {
		return ""
	}
	there := n[Present] + n[Joining]
	if own := s.ownState == Present || s.ownState == Joining; own && 2*there == all {
		all-- // half and half: what this process sees itself decides
	}
	switch {
	case !s.info.Role.Gossips() && there > 0:
		return Present
	case n[Left] > 0:
		return Left
	case !s.info.Role.Gossips() && n[Suspect] > 0:
		return Suspect
	case !s.info.Role.Gossips():
		return Failed
	case 2*there > all && n[Present] == 0:
		return Joining
	case 2*there > all:
		return Present
	case 2*n[Failed] > all:
		return Failed
	}
	return Suspect
}

// View is what this process knows now, itself included.
func (t *Tracker) View(now time.Duration) View {
	self := t.config.Self
	v := View{From: self.Name, Version: t.version, Members: []Entry{}}
	state := Present
	switch {
	case self.ShuttingDown:
		state = Left
	case self.Incarnation == 0:
		state = Joining
	}
	v.Members = append(v.Members, Entry{self.Name, self.Role, self.Zone, self.ProgramVersion, self.Versions, self.Incarnation, state,
		[]Opinion{{self.Name, state, self.Incarnation, 0}}})
	for name, s := range t.members {
		st := t.combinedState(s)
		if st == "" {
			continue
		}
		e := Entry{name, s.info.Role, s.info.Zone, s.info.ProgramVersion, s.info.Versions, s.info.Incarnation, st, []Opinion{}}
		for from, o := range s.peerObservations {
			if o.State == "" {
				continue
			}
			e.Observers = append(e.Observers, Opinion{from, o.State, o.Incarnation, (now - o.since).Milliseconds()})
		}
		slices.SortFunc(e.Observers, func(a, b Opinion) int { return compareNames(a.Observer, b.Observer) })
		if s.ownState != "" {
			e.Observers = slices.Insert(e.Observers, 0, Opinion{self.Name, s.ownState, s.info.Incarnation, (now - s.ownStateSince).Milliseconds()})
		}
		v.Members = append(v.Members, e)
	}
	slices.SortFunc(v.Members, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Role, b.Role), compareNames(a.Name, b.Name)) })
	return v
}

// State is how a member is in the view; "" is one that is not known.
func (v *View) State(name string) State {
	for i := range v.Members {
		if v.Members[i].Name == name {
			return v.Members[i].State
		}
	}
	return ""
}

// Count is how many members of a role are in a state.
func (v *View) Count(role Role, state State) (n int) {
	for i := range v.Members {
		if v.Members[i].Role == role && v.Members[i].State == state {
			n++
		}
	}
	return n
}

// Difference is a member about which observers are of different minds.
type Difference struct {
	Name      string            `json:"name"`
	Role      Role              `json:"role"`
	States    map[string]string `json:"says"`            // by observer: the state, and the life it is about where they differ
	ForMs     int64             `json:"for_ms"`          // since the last of them changed its mind
	Dissenter string            `json:"alone,omitempty"` // who alone is of another mind than all others
	Absent    []string          `json:"absent,omitempty"`
}

// CompareViews tells where the views of several processes differ. Each is taken by its own
// opinion only: what it has from others would count twice. Sessions are at one observer at a
// time, so of those only states count that deny each other.
func CompareViews(views []View) (out []Difference) {
	type said struct {
		o    Opinion
		role Role
	}
	by := map[string]map[string]said{}
	for i := range views {
		v := &views[i]
		for j := range v.Members {
			e := &v.Members[j]
			for _, o := range e.Observers {
				if o.Observer != v.From || e.Name == v.From {
					continue
				}
				if by[e.Name] == nil {
					by[e.Name] = map[string]said{}
				}
				by[e.Name][v.From] = said{o, e.Role}
			}
		}
	}
	for name, all := range by {
		d := Difference{Name: name, States: map[string]string{}, ForMs: -1}
		words := map[string][]string{}
		lives := map[int64]bool{}
		for from, s := range all {
			d.Role = s.role
			lives[s.o.Incarnation] = true
			words[string(s.o.State)] = append(words[string(s.o.State)], from)
			if d.ForMs < 0 || s.o.ForMs < d.ForMs {
				d.ForMs = s.o.ForMs
			}
			d.States[from] = string(s.o.State)
		}
		if d.Role.Gossips() {
			for i := range views {
				if from := views[i].From; from != name && all[from].o.Observer == "" {
					d.Absent = append(d.Absent, from)
				}
			}
		}
		if len(words) < 2 && len(lives) < 2 && len(d.Absent) == 0 {
			continue
		}
		if !d.Role.Gossips() && len(words[string(Present)]) > 0 && len(lives) < 2 {
			continue // it has moved: who has lost it has nothing against it
		}
		for _, who := range words {
			if len(who) == 1 && len(all) > 2 && len(words) == 2 {
				d.Dissenter = who[0]
			}
		}
		if d.Dissenter == "" && len(words) == 1 && len(d.Absent) == 1 && len(all) > 1 {
			d.Dissenter = d.Absent[0]
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Difference) int { return compareNames(a.Name, b.Name) })
	return out
}
