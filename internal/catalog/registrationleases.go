package catalog

import (
	"math"
	"sort"
	"time"
)

// LeaseConfig configures when registrations expire and when they are quarantined instead.
type LeaseConfig struct {
	TTL time.Duration // how long a lease lasts after its last renewal
	// MassFailureShare is the share of the listed servers, 0 to 1, that may expire within
	// MassFailureWindow. If more would expire, they are quarantined until they renew or an operator
	// confirms their removal. The same share applies within each service of at least
	// MinServiceSizeForQuarantine servers.
	MassFailureShare  float64
	MassFailureWindow time.Duration
}

// RegistrationLeases holds the leases of the registered servers. They exist only in the leader's
// memory: renewals do not go through the log, and a new leader gives every lease its full TTL.
// The methods do no I/O and take the time, on the state's clock, as an argument. It is not safe for
// concurrent use.
type RegistrationLeases struct {
	config LeaseConfig
	leases map[string]registrationLease // by server
	// expiries holds the recent expiries of the whole fleet, expiriesByService those of each service.
	expiries          expiryWindow
	expiriesByService map[string]*expiryWindow
	// rotation counts the calls of Suspected that found more than maxSuspects servers. It selects which
	// of the servers are returned.
	rotation int

	// The last decision scanned scannedState after it had applied scannedCommands commands. As long as
	// neither has changed, no lease becomes late and no damping ends before nextDue.
	scannedState    *State
	scannedCommands int64
	nextDue         time.Duration

	// Retained and Undecided are the numbers of servers that the last decision kept listed although
	// their leases have expired. The evidence about them was Alive if they are counted in Retained, and
	// Inconclusive if they are counted in Undecided.
	Retained, Undecided int
}

// registrationLease is the lease of one instance of a server.
type registrationLease struct {
	startedMs float64 // start of the instance, Unix time in milliseconds
	expiresAt time.Duration
}

// Decision holds the changes that the leader should propose. Each list is sorted by name.
type Decision struct {
	Expire, Quarantine, Recover, EndDamping []InstanceRef
	// QuarantineByService lists the instances to quarantine for a mass failure of their service alone.
	QuarantineByService []InstanceRef
}

// Empty reports whether the decision proposes no change.
func (d *Decision) Empty() bool {
	return len(d.Expire)+len(d.Quarantine)+len(d.QuarantineByService)+len(d.Recover)+len(d.EndDamping) == 0
}

// FailureEvidence summarizes the observations, by other processes, of a server that does not renew
// its lease.
type FailureEvidence uint8

// Values of FailureEvidence.
const (
	Inconclusive FailureEvidence = iota // too few observations: the server stays listed for now
	Alive                               // most processes can reach the server: it stays listed
	Failed                              // most processes cannot reach the server: it is removed
)

// ExpiryDecider returns the evidence about a server whose lease has expired or, if expired is
// false, is late.
type ExpiryDecider func(ref InstanceRef, expired bool) FailureEvidence

// ExpireByLeaseOnly is the ExpiryDecider for a fleet without observations by other processes: a
// server has failed when its lease has expired.
func ExpireByLeaseOnly(_ InstanceRef, expired bool) FailureEvidence {
	if expired {
		return Failed
	}
	return Inconclusive
}

// NewRegistrationLeases returns the leases of a new leader. Each lasts for its full TTL from now, a
// time on the state's clock.
func NewRegistrationLeases(c LeaseConfig, s *State, now time.Duration) *RegistrationLeases {
	l := &RegistrationLeases{config: c, leases: map[string]registrationLease{}, expiriesByService: map[string]*expiryWindow{}}
	for _, entry := range s.Entries {
		if !entry.Removed {
			l.renew(entry, now)
		}
	}
	return l
}

// Renew extends the lease of an instance to a full TTL from now. It returns Done, Superseded if a
// newer instance has the name, or Unknown if the instance is not registered.
func (l *RegistrationLeases) Renew(s *State, ref InstanceRef, now time.Duration) Code {
	entry := s.Entries[ref.Name]
	switch {
	case entry != nil && entry.Endpoint.StartedMs > ref.StartedMs:
		return Superseded
	case !entry.isCurrentInstance(ref):
		return Unknown
	}
	l.renew(entry, now)
	return Done
}

// renew extends the lease of an entry's current instance to a full TTL from now.
func (l *RegistrationLeases) renew(entry *Entry, now time.Duration) {
	l.leases[entry.Endpoint.Name] = registrationLease{entry.Endpoint.StartedMs, now + l.config.TTL}
}

// lease returns the lease of an entry's current instance. It returns false if there is none yet.
func (l *RegistrationLeases) lease(entry *Entry) (registrationLease, bool) {
	lease, known := l.leases[entry.Endpoint.Name]
	return lease, known && lease.startedMs == entry.Endpoint.StartedMs
}

// lateAt returns the time after which a lease is late: half a TTL after the last renewal, since
// servers renew three times per TTL. In a mass failure, the leases of all failed servers are
// therefore late by the time the first of them expires.
func (l *RegistrationLeases) lateAt(lease registrationLease) time.Duration {
	return lease.expiresAt - l.config.TTL/2
}

// maxSuspects is the maximum number of servers about which an observer is asked in one request. At one
// request per second, it must be high enough to decide on all servers of a zone of the largest fleet
// within seconds.
const maxSuspects = 256

// Suspected returns the servers about which other processes should be asked because their leases
// are late or have expired. It returns at most maxSuspects, in the order in which their leases
// expire. If there are more, successive calls return different parts of them in rotation.
func (l *RegistrationLeases) Suspected(s *State, now time.Duration) []InstanceRef {
	if l.canSkipScan(s, now) {
		return nil
	}
	type suspect struct {
		ref       InstanceRef
		expiresAt time.Duration
	}
	var suspects []suspect
	for _, entry := range s.Entries {
		if lease, known := l.lease(entry); known && !entry.Removed && now > l.lateAt(lease) {
			suspects = append(suspects, suspect{entry.ref(), lease.expiresAt})
		}
	}
	sort.Slice(suspects, func(i, j int) bool {
		a, b := suspects[i], suspects[j]
		return a.expiresAt < b.expiresAt || a.expiresAt == b.expiresAt && a.ref.Name < b.ref.Name
	})
	// Rotate the servers, so that those that stay suspected do not keep the others from being returned.
	if len(suspects) > maxSuspects {
		l.rotation++
		first := (l.rotation * maxSuspects) % len(suspects)
		suspects = append(suspects[first:], suspects[:first]...)[:maxSuspects]
	}
	refs := make([]InstanceRef, 0, len(suspects))
	for _, suspect := range suspects {
		refs = append(refs, suspect.ref)
	}
	return refs
}

// canSkipScan reports whether a decision would certainly find nothing to do, without a scan of all
// servers: the state has not changed since the last decision, no entry is quarantined, and no lease
// can have become late, because a renewal only postpones the time at which a lease becomes late.
func (l *RegistrationLeases) canSkipScan(s *State, now time.Duration) bool {
	return l.scannedState == s && l.scannedCommands == s.appliedCommands && s.quarantinedCount == 0 && now <= l.nextDue
}

// Decide returns what the leader should propose now: which registrations expire, which are
// quarantined instead because of a mass failure, which have recovered from quarantine, and which
// servers are no longer damped. A server expires only if decide returns Failed and its lease has
// expired or is late. A server whose lease is only late does not expire in a mass failure of the fleet
// or of its service.
func (l *RegistrationLeases) Decide(s *State, now time.Duration, decide ExpiryDecider) Decision {
	if l.canSkipScan(s, now) {
		return Decision{}
	}
	scan := l.scan(s, now, decide)
	l.expiries.advance(now, l.config.MassFailureWindow)
	if l.expiries.isEmpty() {
		l.expiries.listedAtStart = scan.listed
	}
	decision := Decision{Recover: scan.recovered, EndDamping: scan.undamped}
	if l.isMassFailure(scan) {
		decision.Quarantine = scan.expired
		return decision
	}
	decision.Expire, decision.QuarantineByService = l.splitByMassFailure(s, now, scan)
	for _, ref := range decision.Expire {
		l.recordExpiry(s, s.Entries[ref.Name].Endpoint.Service, now)
	}
	return decision
}

// leaseScan holds the result of a scan of all servers for one decision.
type leaseScan struct {
	recovered, undamped []InstanceRef // servers whose quarantine or damping can end
	expired             []InstanceRef // servers with an expired lease and the evidence Failed
	failedEarly         []InstanceRef // servers with a late lease and the evidence Failed
	inconclusive        int           // servers with a late or expired lease and the evidence Inconclusive
	retained, undecided int           // see RegistrationLeases
	listed              int
	quarantined         int // servers quarantined in a mass failure of the fleet and not renewed since
	services            map[string]*serviceSuspects
}

// scan examines all servers and starts the leases of those that have none yet.
func (l *RegistrationLeases) scan(s *State, now time.Duration, decide ExpiryDecider) *leaseScan {
	l.scannedState, l.scannedCommands, l.nextDue = s, s.appliedCommands, math.MaxInt64
	scan := &leaseScan{services: map[string]*serviceSuspects{}}
	for name, entry := range s.Entries {
		if entry.Removed {
			delete(l.leases, name)
			continue
		}
		if entry.isListed() {
			scan.listed++
		}
		if entry.DampedUntil > 0 {
			l.nextDue = min(l.nextDue, entry.DampedUntil-1)
			if now >= entry.DampedUntil {
				scan.undamped = append(scan.undamped, entry.ref())
			}
		}
		l.scanLease(scan, entry, now, decide)
	}
	sortByName(scan.recovered)
	sortByName(scan.undamped)
	sortByName(scan.expired)
	l.Retained, l.Undecided = scan.retained, scan.undecided
	return scan
}

// scanLease examines the lease of one server.
func (l *RegistrationLeases) scanLease(scan *leaseScan, entry *Entry, now time.Duration, decide ExpiryDecider) {
	lease, known := l.lease(entry)
	if !known { // registered since the last decision
		l.renew(entry, now)
		lease, _ = l.lease(entry)
		l.nextDue = min(l.nextDue, l.lateAt(lease))
		return
	}
	l.nextDue = min(l.nextDue, l.lateAt(lease))
	expired := now >= lease.expiresAt
	if !expired && now <= l.lateAt(lease) {
		if entry.Quarantined {
			scan.recovered = append(scan.recovered, entry.ref())
		}
		return
	}
	scan.addSuspect(entry, expired, decide(entry.ref(), expired))
}

// addSuspect adds a server to the scan whose lease has expired or, if expired is false, is late.
func (scan *leaseScan) addSuspect(entry *Entry, expired bool, evidence FailureEvidence) {
	service := scan.service(entry.Endpoint.Service)
	switch {
	case entry.Quarantined && (!expired || evidence == Alive):
		scan.recovered = append(scan.recovered, entry.ref())
	case entry.QuarantinedByService:
		service.quarantined++
	case entry.Quarantined:
		scan.quarantined++
	case evidence == Alive:
		if expired {
			scan.retained++
		}
	case evidence == Failed && expired:
		scan.expired = append(scan.expired, entry.ref())
		service.unresponsive++
	case evidence == Failed:
		scan.failedEarly = append(scan.failedEarly, entry.ref())
		service.unresponsive++
	default:
		scan.inconclusive++
		service.unresponsive++
		if expired {
			scan.undecided++
		}
	}
}

// service returns the counts of a service, and creates them if there are none.
func (scan *leaseScan) service(name string) *serviceSuspects {
	counts := scan.services[name]
	if counts == nil {
		counts = &serviceSuspects{}
		scan.services[name] = counts
	}
	return counts
}

// sortByName sorts instances by server name.
func sortByName(refs []InstanceRef) {
	sort.Slice(refs, func(i, j int) bool { return refs[i].Name < refs[j].Name })
}
