package catalog

import (
	"math"
	"sort"
	"time"
)

// LeaseConfig is how leases end.
type LeaseConfig struct {
	TTL time.Duration // from one renewal on
	// MassFailureShare of the listed servers that may lapse within Window; of more, all that would are
	// kept until they are heard again or an operator confirms. The same share holds for each
	// service of at least MinGuardedService servers, whose own are kept then.
	MassFailureShare  float64
	MassFailureWindow time.Duration
}

// RegistrationLeases is what the leader alone knows: when each server was heard last. It goes through
// no log; a new leader gives every lease its full time again. Like the state it is pure.
type RegistrationLeases struct {
	config              LeaseConfig
	leases              map[string]registrationLease
	recentExpiries      []time.Duration // the lapses within the window, in order
	listedAtWindowStart int             // servers that were listed when the window began
	// expiriesByService are the lapses within the window by service.
	expiriesByService map[string]*serviceExpiries
	rotation          int // of those that are asked about
	// scannedState is the state that the last decision saw, as of its scannedCommands-th command; nothing is
	// late or damped too long before nextDue, unless the state changes.
	scannedState    *State
	scannedCommands int64
	nextDue         time.Duration
	// Retained and Undecided count, at the last decision, the servers whose leases are over and that
	// stay: because most see them, or because too little is known.
	Retained, Undecided int
}

// MinGuardedService is how many servers a service must have listed for the guard to hold them
// by the service's own share. The servers of a smaller one are held by the fleet's share only,
// so that a service of one server can end.
const MinGuardedService = 5

// serviceExpiries is what lapsed of one service within the window.
type serviceExpiries struct {
	recent              []time.Duration
	listedAtWindowStart int // servers that were listed when the window began
}

// serviceSuspects counts the servers of one service that are not heard.
type serviceSuspects struct {
	silent      int // their leases are over, or about to be, and nobody is known to see them
	quarantined int // by the service's share
}

type registrationLease struct {
	startedMs float64
	expiresAt time.Duration
}

// Decision is what the leader should propose.
type Decision struct {
	Expire, Quarantine, Recover, EndDamping []InstanceRef
	// QuarantineByService are those that are held because the failure is of their service alone.
	QuarantineByService []InstanceRef
}

// FailureEvidence is what others say of a server that is not heard.
type FailureEvidence uint8

// The evidence. Where none is asked for, a lease that is over is enough.
const (
	Inconclusive FailureEvidence = iota // too little is known: it stays, and is asked about again
	Alive                               // most see it
	Failed                              // most say that it is gone
)

// ExpiryDecider tells what others say of a server whose lease is over, or is late only.
type ExpiryDecider func(ref InstanceRef, over bool) FailureEvidence

// ExpireByLeaseOnly is the evidence of a fleet in which nobody else is asked.
func ExpireByLeaseOnly(_ InstanceRef, over bool) FailureEvidence {
	if over {
		return Failed
	}
	return Inconclusive
}

// maxSuspects bounds the servers that are asked about at once. A zone of the largest fleet that the
// state holds has to be settled in some seconds, at one question a second.
const maxSuspects = 256

// Suspected is the servers about which others should be asked: late, over, or held. Those that
// have been in doubt for the longest come first.
func (l *RegistrationLeases) Suspected(s *State, now time.Duration) []InstanceRef {
	if l.nothingDue(s, now) {
		return nil
	}
	type doubt struct {
		ref   InstanceRef
		since time.Duration
	}
	var all []doubt
	for name, e := range s.Entries {
		if at, known := l.leases[name]; known && !e.Removed && at.startedMs == e.Endpoint.StartedMs && at.expiresAt-now < l.config.TTL/2 {
			all = append(all, doubt{InstanceRef{name, e.Endpoint.StartedMs}, at.expiresAt})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].since < all[j].since || all[i].since == all[j].since && all[i].ref.Name < all[j].ref.Name
	})
	// Those that stay for long must not keep the others from being asked about.
	if len(all) > maxSuspects {
		l.rotation++
		from := (l.rotation * maxSuspects) % len(all)
		all = append(all[from:], all[:from]...)
	}
	out := make([]InstanceRef, 0, min(len(all), maxSuspects))
	for _, d := range all[:min(len(all), maxSuspects)] {
		out = append(out, d.ref)
	}
	return out
}

// Empty tells whether there is nothing to propose.
func (d *Decision) Empty() bool {
	return len(d.Expire)+len(d.Quarantine)+len(d.QuarantineByService)+len(d.Recover)+len(d.EndDamping) == 0
}

// NewRegistrationLeases begins a leader's time: every lease has its full time from now on.
func NewRegistrationLeases(c LeaseConfig, s *State, now time.Duration) *RegistrationLeases {
	l := &RegistrationLeases{config: c, leases: map[string]registrationLease{}, expiriesByService: map[string]*serviceExpiries{}}
	for name, e := range s.Entries {
		if !e.Removed {
			l.leases[name] = registrationLease{e.Endpoint.StartedMs, now + c.TTL}
		}
	}
	return l
}

// nothingDue tells without looking at each server that a decision would find nothing: since the
// last one the state is the same, nothing is held, and no lease can have become late, as
// renewals only put that off.
func (l *RegistrationLeases) nothingDue(s *State, now time.Duration) bool {
	return l.scannedState == s && l.scannedCommands == s.appliedCommands && s.quarantinedCount == 0 && now <= l.nextDue
}

// Renew notes that a process was heard. It is refused if another has the name by now, or
// if nobody has.
func (l *RegistrationLeases) Renew(s *State, ref InstanceRef, now time.Duration) Code {
	e := s.Entries[ref.Name]
	switch {
	case e != nil && e.Endpoint.StartedMs > ref.StartedMs:
		return Superseded
	case e == nil || e.Removed || e.Endpoint.StartedMs != ref.StartedMs:
		return Unknown
	}
	l.leases[ref.Name] = registrationLease{ref.StartedMs, now + l.config.TTL}
	return Done
}

// Decide tells what has to be proposed now: which leases ended, which of them are held
// back as a mass failure, which held ones were heard again, whose damping is over. A server
// whose lease is over ends only where the evidence doesn't speak against it, and one that is
// merely late where it is plain.
func (l *RegistrationLeases) Decide(s *State, now time.Duration, judge ExpiryDecider) Decision {
	var d Decision
	if l.nothingDue(s, now) {
		return d
	}
	l.scannedState, l.scannedCommands, l.nextDue = s, s.appliedCommands, math.MaxInt64
	var ended, early []InstanceRef
	listed, held, late := 0, 0, 0
	doubts := map[string]*serviceSuspects{}
	doubt := func(e *Entry) *serviceSuspects {
		if doubts[e.Endpoint.Service] == nil {
			doubts[e.Endpoint.Service] = &serviceSuspects{}
		}
		return doubts[e.Endpoint.Service]
	}
	l.Retained, l.Undecided = 0, 0
	for name, e := range s.Entries {
		if e.Removed {
			delete(l.leases, name)
			continue
		}
		if e.isListed() {
			listed++
		}
		ref := e.ref()
		if e.DampedUntil > 0 {
			l.nextDue = min(l.nextDue, e.DampedUntil-1)
		}
		if e.DampedUntil > 0 && now >= e.DampedUntil {
			d.EndDamping = append(d.EndDamping, ref)
		}
		at, known := l.leases[name]
		if !known || at.startedMs != e.Endpoint.StartedMs { // registered since: its time begins now
			l.leases[name] = registrationLease{e.Endpoint.StartedMs, now + l.config.TTL}
			l.nextDue = min(l.nextDue, now+l.config.TTL-l.config.TTL/2)
			continue
		}
		l.nextDue = min(l.nextDue, at.expiresAt-l.config.TTL/2)
		over := now >= at.expiresAt
		// Servers renew thrice a lease, so one that was not heard for half of it is late. Of a
		// mass failure all are, by the time that the first lease ends.
		if !over && at.expiresAt-now >= l.config.TTL/2 {
			if e.Quarantined {
				d.Recover = append(d.Recover, ref)
			}
			continue
		}
		said := judge(ref, over)
		switch {
		case e.Quarantined && (!over || said == Alive):
			d.Recover = append(d.Recover, ref)
		case e.QuarantinedByService:
			doubt(e).quarantined++
		case e.Quarantined:
			held++
		case said == Alive:
			if over {
				l.Retained++
			}
		case over && said == Failed:
			ended = append(ended, ref)
			doubt(e).silent++
		case said == Failed:
			early = append(early, ref)
			doubt(e).silent++
		default:
			late++
			doubt(e).silent++
			if over {
				l.Undecided++
			}
		}
	}
	for len(l.recentExpiries) > 0 && now-l.recentExpiries[0] > l.config.MassFailureWindow {
		l.recentExpiries = l.recentExpiries[1:]
	}
	if len(l.recentExpiries) == 0 {
		l.listedAtWindowStart = listed
	}
	byName := func(refs []InstanceRef) {
		sort.Slice(refs, func(i, j int) bool { return refs[i].Name < refs[j].Name })
	}
	byName(ended)
	byName(d.Recover)
	byName(d.EndDamping)
	// While some are held the observer or the network is in doubt, so more are held too.
	most := max(int(l.config.MassFailureShare*float64(max(l.listedAtWindowStart, listed))), 1)
	if held > 0 || len(l.recentExpiries)+len(ended)+len(early)+late > most {
		d.Quarantine = ended
		return d
	}
	guarded := l.guardedServices(s, now, doubts)
	isGuarded := func(ref InstanceRef) bool { return guarded[s.Entries[ref.Name].Endpoint.Service] }
	for _, ref := range ended {
		if isGuarded(ref) {
			d.QuarantineByService = append(d.QuarantineByService, ref)
		} else {
			d.Expire = append(d.Expire, ref)
		}
	}
	for _, ref := range early {
		if !isGuarded(ref) {
			d.Expire = append(d.Expire, ref)
		}
	}
	byName(d.Expire)
	for _, ref := range d.Expire {
		l.recentExpiries = append(l.recentExpiries, now)
		l.recordServiceExpiry(s, s.Entries[ref.Name].Endpoint.Service, now)
	}
	return d
}

// guardedServices is the services of which too many servers are silent at once to be believed.
func (l *RegistrationLeases) guardedServices(s *State, now time.Duration, doubts map[string]*serviceSuspects) map[string]bool {
	for name, of := range l.expiriesByService {
		for len(of.recent) > 0 && now-of.recent[0] > l.config.MassFailureWindow {
			of.recent = of.recent[1:]
		}
		if len(of.recent) == 0 {
			delete(l.expiriesByService, name)
		}
	}
	guarded := map[string]bool{}
	for name, doubt := range doubts {
		listed, lapsed := s.ServiceSize(name), 0
		if of := l.expiriesByService[name]; of != nil {
			listed, lapsed = max(listed, of.listedAtWindowStart), len(of.recent)
		}
		if listed < MinGuardedService {
			continue
		}
		most := max(int(l.config.MassFailureShare*float64(listed)), 1)
		guarded[name] = doubt.quarantined > 0 || lapsed+doubt.silent > most
	}
	return guarded
}

// recordServiceExpiry counts a lapse of a service's server within the window.
func (l *RegistrationLeases) recordServiceExpiry(s *State, service string, now time.Duration) {
	of := l.expiriesByService[service]
	if of == nil {
		of = &serviceExpiries{listedAtWindowStart: s.ServiceSize(service)}
		l.expiriesByService[service] = of
	}
	of.recent = append(of.recent, now)
}
