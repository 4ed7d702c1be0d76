package catalog

import "time"

// When many servers stop renewing at once, a fault of the leader or the network is more likely
// than a failure of the servers. RegistrationLeases then quarantines them, so they stay listed.

// MinServiceSizeForQuarantine is the minimum number of listed servers at which
// LeaseConfig.MassFailureShare also applies to a service by itself. The servers of a smaller service
// are quarantined only in a mass failure of the fleet, so that the last server of a service can expire.
const MinServiceSizeForQuarantine = 5

// expiryWindow holds the times of the expiries within LeaseConfig.MassFailureWindow, oldest first.
type expiryWindow struct {
	expiredAt     []time.Duration
	listedAtStart int // number of servers that were listed when the window was last empty
}

// advance drops the expiries that are older than the window.
func (w *expiryWindow) advance(now, window time.Duration) {
	for len(w.expiredAt) > 0 && now-w.expiredAt[0] > window {
		w.expiredAt = w.expiredAt[1:]
	}
}

// isEmpty reports whether no server expired within the window.
func (w *expiryWindow) isEmpty() bool { return len(w.expiredAt) == 0 }

// serviceSuspects counts the suspected servers of one service.
type serviceSuspects struct {
	unresponsive int // servers with a late or expired lease for which the evidence is not Alive
	quarantined  int // servers that were quarantined by service and have not renewed since
}

// maxExpiries returns the number of servers that may expire within the window, given the number of
// listed servers.
func (c LeaseConfig) maxExpiries(listed int) int {
	return max(int(c.MassFailureShare*float64(listed)), 1)
}

// isMassFailure reports whether too many servers of the fleet are unresponsive at once. A mass
// failure lasts until no server is quarantined because of it.
func (l *RegistrationLeases) isMassFailure(scan *leaseScan) bool {
	unresponsive := len(scan.expired) + len(scan.failedEarly) + scan.inconclusive
	allowed := l.config.maxExpiries(max(l.expiries.listedAtStart, scan.listed))
	return scan.quarantined > 0 || len(l.expiries.expiredAt)+unresponsive > allowed
}

// splitByMassFailure splits the failed servers into those that expire and those that are
// quarantined because their service is in a mass failure. Only servers whose leases have expired
// are quarantined. If the lease of a server in a failing service is only late, the server is in
// neither result, and a later decision considers it again.
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

// servicesInMassFailure returns the services in which too many servers are unresponsive at once.
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

// advanceServiceWindows drops the expiries of each service that are older than the window.
func (l *RegistrationLeases) advanceServiceWindows(now time.Duration) {
	for service, window := range l.expiriesByService {
		window.advance(now, l.config.MassFailureWindow)
		if window.isEmpty() {
			delete(l.expiriesByService, service)
		}
	}
}

// recordExpiry adds the expiry of a server to the windows of the fleet and of the server's service.
func (l *RegistrationLeases) recordExpiry(s *State, service string, now time.Duration) {
	l.expiries.expiredAt = append(l.expiries.expiredAt, now)
	window := l.expiriesByService[service]
	if window == nil {
		window = &expiryWindow{listedAtStart: s.ServiceSize(service)}
		l.expiriesByService[service] = window
	}
	window.expiredAt = append(window.expiredAt, now)
}
