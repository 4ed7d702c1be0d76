package catalog

import "time"

// When many servers stop renewing at once, the leader or the network is more likely at fault
// than the servers. RegistrationLeases then quarantines the servers: they stay listed.

// MinServiceSizeForQuarantine is the number of listed servers from which on LeaseConfig's share applies to a
// service by itself. For a smaller service only the fleet's share counts, so that its last server
// can expire.
const MinServiceSizeForQuarantine = 5

// expiryWindow holds the times of the expiries within LeaseConfig.MassFailureWindow, in order.
type expiryWindow struct {
	expiredAt     []time.Duration
	listedAtStart int // servers that were listed when the window was empty
}

// advance drops the expiries that have left the window.
func (w *expiryWindow) advance(now, window time.Duration) {
	for len(w.expiredAt) > 0 && now-w.expiredAt[0] > window {
		w.expiredAt = w.expiredAt[1:]
	}
}

// isEmpty reports whether there was no expiry within the window.
func (w *expiryWindow) isEmpty() bool { return len(w.expiredAt) == 0 }

// serviceSuspects counts the suspected servers of one service.
type serviceSuspects struct {
	unresponsive int // their leases are late or expired, and the evidence is not Alive
	quarantined  int // by the service's share, and still without a renewal
}

// maxExpiries returns how many of a number of listed servers may expire within the window.
func (c LeaseConfig) maxExpiries(listed int) int {
	return max(int(c.MassFailureShare*float64(listed)), 1)
}

// isMassFailure reports whether too many servers of the fleet are unresponsive at once. The mass
// failure lasts as long as a server is quarantined because of it.
func (l *RegistrationLeases) isMassFailure(scan *leaseScan) bool {
	unresponsive := len(scan.expired) + len(scan.failedEarly) + scan.inconclusive
	allowed := l.config.maxExpiries(max(l.expiries.listedAtStart, scan.listed))
	return scan.quarantined > 0 || len(l.expiries.expiredAt)+unresponsive > allowed
}

// splitByMassFailure splits the failed servers into those that expire and those that are
// quarantined since their service is in a mass failure. Only servers whose leases have expired are
// quarantined: a server of such a service whose lease is late is in neither result, and is decided
// on again later.
func (l *RegistrationLeases) splitByMassFailure(s *State, now time.Duration, scan *leaseScan) (expire, quarantine []InstanceRef) {
	failing := l.servicesInMassFailure(s, now, scan)
	isFailing := func(ref InstanceRef) bool { return failing[s.Entries[ref.Name].Endpoint.Service] }
	for _, ref := range scan.expired {
		if isFailing(ref) {
			quarantine = append(quarantine, ref)
		} else {
			expire = append(expire, ref)
		}
	}
	for _, ref := range scan.failedEarly {
		if !isFailing(ref) {
			expire = append(expire, ref)
		}
	}
	sortByName(expire)
	return expire, quarantine
}

// servicesInMassFailure returns the services of which too many servers are unresponsive at once.
func (l *RegistrationLeases) servicesInMassFailure(s *State, now time.Duration, scan *leaseScan) map[string]bool {
	l.advanceServiceWindows(now)
	failing := map[string]bool{}
	for service, suspects := range scan.services {
		listed, expiries := s.ServiceSize(service), 0
		if window := l.expiriesByService[service]; window != nil {
			listed, expiries = max(listed, window.listedAtStart), len(window.expiredAt)
		}
		if listed < MinServiceSizeForQuarantine {
			continue
		}
		allowed := l.config.maxExpiries(listed)
		failing[service] = suspects.quarantined > 0 || expiries+suspects.unresponsive > allowed
	}
	return failing
}

// advanceServiceWindows drops the services' expiries that have left the window.
func (l *RegistrationLeases) advanceServiceWindows(now time.Duration) {
	for service, window := range l.expiriesByService {
		window.advance(now, l.config.MassFailureWindow)
		if window.isEmpty() {
			delete(l.expiriesByService, service)
		}
	}
}

// recordExpiry counts the expiry of a server of a service within the windows.
func (l *RegistrationLeases) recordExpiry(s *State, service string, now time.Duration) {
	l.expiries.expiredAt = append(l.expiries.expiredAt, now)
	window := l.expiriesByService[service]
	if window == nil {
		window = &expiryWindow{listedAtStart: s.ServiceSize(service)}
		l.expiriesByService[service] = window
	}
	window.expiredAt = append(window.expiredAt, now)
}
