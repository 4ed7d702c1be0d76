package catalog

import (
	"sort"
	"time"

	"molepaddle/internal/endpoints"
)

// LeaseConfig is how leases end.
type LeaseConfig struct {
	TTL time.Duration // from one renewal on
	// Share of the listed servers that may lapse within Window; of more, all that would are
	// kept until they are heard again or an operator confirms.
	Share  float64
	Window time.Duration
}

// Leases is what the leader alone knows: when each server was heard last. It goes through
// no log; a new leader gives every lease its full time again. Like the state it is pure.
type Leases struct {
	c      LeaseConfig
	until  map[string]lease
	lapsed []time.Duration // the lapses within the window, in order
	listed int             // servers that were listed when the window began
}

type lease struct {
	bornMs  float64
	expires time.Duration
}

// Decision is what the leader should propose.
type Decision struct {
	Lapse, Hold, Seen, Admit []Ref
}

// Empty tells whether there is nothing to propose.
func (d *Decision) Empty() bool {
	return len(d.Lapse)+len(d.Hold)+len(d.Seen)+len(d.Admit) == 0
}

// Lead begins a leader's time: every lease has its full time from now on.
func Lead(c LeaseConfig, s *State, now time.Duration) *Leases {
	l := &Leases{c: c, until: map[string]lease{}}
	for name, e := range s.Entries {
		if !e.Ended {
			l.until[name] = lease{e.Host.BornMs, now + c.TTL}
		}
	}
	return l
}

// Renew notes that a process was heard. It is refused if another has the name by now, or
// if nobody has.
func (l *Leases) Renew(s *State, ref Ref, now time.Duration) Code {
	e := s.Entries[ref.Name]
	switch {
	case e != nil && e.Host.BornMs > ref.BornMs:
		return Superseded
	case e == nil || e.Ended || e.Host.BornMs != ref.BornMs:
		return Unknown
	}
	l.until[ref.Name] = lease{ref.BornMs, now + l.c.TTL}
	return Done
}

// Decide tells what has to be proposed now: which leases ended, which of them are held
// back as a mass failure, which held ones were heard again, whose damping is over.
func (l *Leases) Decide(s *State, now time.Duration) Decision {
	var d Decision
	var ended []Ref
	listed, held, late := 0, 0, 0
	for name, e := range s.Entries {
		if e.Ended {
			delete(l.until, name)
			continue
		}
		if e.Listed().Health != endpoints.Gone {
			listed++
		}
		ref := Ref{name, e.Host.BornMs}
		if e.Damped > 0 && now >= e.Damped {
			d.Admit = append(d.Admit, ref)
		}
		at, known := l.until[name]
		if !known || at.bornMs != e.Host.BornMs { // registered since: its time begins now
			l.until[name] = lease{e.Host.BornMs, now + l.c.TTL}
			continue
		}
		switch over := now >= at.expires; {
		case e.Held && !over:
			d.Seen = append(d.Seen, ref)
		case e.Held:
			held++
		case over:
			ended = append(ended, ref)
		case at.expires-now < l.c.TTL/2:
			// Servers renew thrice a lease, so one that was not heard for half of it is late.
			// Of a mass failure all are, by the time that the first lease ends.
			late++
		}
	}
	for len(l.lapsed) > 0 && now-l.lapsed[0] > l.c.Window {
		l.lapsed = l.lapsed[1:]
	}
	if len(l.lapsed) == 0 {
		l.listed = listed
	}
	byName := func(refs []Ref) {
		sort.Slice(refs, func(i, j int) bool { return refs[i].Name < refs[j].Name })
	}
	byName(ended)
	byName(d.Seen)
	byName(d.Admit)
	if len(ended) == 0 {
		return d
	}
	// While some are held the observer or the network is in doubt, so more are held too.
	most := max(int(l.c.Share*float64(max(l.listed, listed))), 1)
	if held > 0 || len(l.lapsed)+len(ended)+late > most {
		d.Hold = ended
		return d
	}
	d.Lapse = ended
	for range ended {
		l.lapsed = append(l.lapsed, now)
	}
	return d
}
