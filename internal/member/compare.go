package member

import (
	"slices"
	"strings"
)

// Difference describes a member about which observers disagree. Operators read its JSON form, so the
// keys must not change.
type Difference struct {
	Name      string            `json:"name"`
	Role      Role              `json:"role"`
	States    map[string]string `json:"says"`             // the member's state, by observer
	ForMs     int64             `json:"for_ms"`           // time since an observer last changed its opinion
	Dissenter string            `json:"alone,omitempty"`  // the only observer that disagrees with all others, if any
	UnknownTo []string          `json:"absent,omitempty"` // observers without an opinion of the member
}

// ownOpinion is an observer's own opinion of a member.
type ownOpinion struct {
	Opinion
	role Role // role of the member
}

// CompareViews returns the members about which the views of several processes differ, sorted by
// name. It uses only each process's own opinions: opinions that a view contains from other
// observers would be counted twice.
func CompareViews(views []View) (differences []Difference) {
	for name, opinions := range ownOpinions(views) {
		if d, differs := compareOpinions(views, name, opinions); differs {
			differences = append(differences, d)
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return strings.Compare(a.Name, b.Name) })
	return differences
}

// opinionsByObserver maps the name of an observer to its opinion of one member.
type opinionsByObserver map[string]ownOpinion

// ownOpinions returns the observers' own opinions of other members, by member.
func ownOpinions(views []View) map[string]opinionsByObserver {
	opinions := map[string]opinionsByObserver{}
	for i := range views {
		observer := views[i].From
		for j := range views[i].Members {
			e := &views[i].Members[j]
			for _, o := range e.Observers {
				if o.Observer != observer || e.Name == observer {
					continue
				}
				if opinions[e.Name] == nil {
					opinions[e.Name] = opinionsByObserver{}
				}
				opinions[e.Name][observer] = ownOpinion{o, e.Role}
			}
		}
	}
	return opinions
}

// compareOpinions compares the opinions about one member, and reports whether they differ.
func compareOpinions(views []View, name string, opinions opinionsByObserver) (Difference, bool) {
	d := Difference{Name: name, States: map[string]string{}, ForMs: -1}
	observers := map[State][]string{}
	incarnations := map[int64]bool{}
	for from, o := range opinions {
		d.Role = o.role
		incarnations[o.Incarnation] = true
		observers[o.State] = append(observers[o.State], from)
		if d.ForMs < 0 || o.ForMs < d.ForMs {
			d.ForMs = o.ForMs
		}
		d.States[from] = string(o.State)
	}
	if d.Role.Gossips() {
		d.UnknownTo = observersWithoutOpinion(views, name, opinions)
	}
	if len(observers) < 2 && len(incarnations) < 2 && len(d.UnknownTo) == 0 {
		return Difference{}, false
	}
	if !d.Role.Gossips() && len(observers[Present]) > 0 && len(incarnations) < 2 {
		// The member's session has moved, so the observer that had the session before does not
		// contradict the observer that has the session now.
		return Difference{}, false
	}
	d.Dissenter = dissenter(observers, len(opinions), d.UnknownTo)
	return d, true
}

// observersWithoutOpinion returns the processes, other than the member itself, that have no opinion
// of the member, in the order of the views.
func observersWithoutOpinion(views []View, name string, opinions opinionsByObserver) (absent []string) {
	for i := range views {
		from := views[i].From
		if _, has := opinions[from]; from != name && !has {
			absent = append(absent, from)
		}
	}
	return absent
}

// dissenter returns the only observer that disagrees with all others, or "". observers maps a state
// to the observers that see the member in it, total is the number of these observers, and absent
// lists the observers without an opinion.
func dissenter(observers map[State][]string, total int, absent []string) string {
	if len(observers) == 2 && total > 2 {
		for _, names := range observers {
			if len(names) == 1 {
				return names[0]
			}
		}
	}
	if len(observers) == 1 && len(absent) == 1 && total > 1 {
		return absent[0]
	}
	return ""
}
