package server

import "time"

// notSet takes the place of a time at which something began that is not the case.
const notSet = -1

// overloadState is whether a server is overloaded, or about to be.
type overloadState struct {
	exceededSince       time.Duration // when the requests in flight rose above the threshold, or notSet
	overloadedSince     time.Duration // or notSet
	recoveryPeriodStart time.Duration // while the server is overloaded
	recoveryBusySeconds float64       // busy share of the cores in this recovery period, times its length
	count               int           // of overloads
}

// Overloaded reports whether the server is slower because too many requests were in flight.
func (m *Model) Overloaded() bool { return m.overload.overloadedSince >= 0 }

// Overloads returns how often the server has become overloaded.
func (m *Model) Overloads() int { return m.overload.count }

// checkOverloadThreshold records since when the requests in flight are above the threshold.
func (m *Model) checkOverloadThreshold() {
	spec, state := &m.spec.Overload, &m.overload
	inFlight := float64(len(m.running) + len(m.queue))
	exceeded := spec.RequestsPerCore > 0 && inFlight > spec.RequestsPerCore*float64(m.spec.Cores)
	switch {
	case !exceeded:
		state.exceededSince = notSet
	case state.exceededSince < 0:
		state.exceededSince = m.now
	}
}

// nextOverloadChange returns when the server becomes overloaded, or when its recovery is checked
// next; noChange if neither is ahead.
func (m *Model) nextOverloadChange() time.Duration {
	spec, state := &m.spec.Overload, &m.overload
	switch {
	case m.Overloaded():
		checkAt := state.recoveryPeriodStart + spec.RecoveryPeriod
		endsAt := state.overloadedSince + spec.MaxDuration
		return max(min(checkAt, endsAt), m.now+1)
	case state.exceededSince >= 0:
		return max(state.exceededSince+spec.After, m.now+1)
	}
	return noChange
}

// updateOverload begins or ends the overload when its time has come.
func (m *Model) updateOverload() {
	spec, state := &m.spec.Overload, &m.overload
	if !m.Overloaded() {
		if state.exceededSince >= 0 && m.now-state.exceededSince >= spec.After {
			state.overloadedSince = m.now
			state.startRecoveryPeriod(m.now)
			state.count++
		}
		return
	}
	elapsed := m.now - state.recoveryPeriodStart
	recovered := elapsed >= spec.RecoveryPeriod && state.recoveryBusySeconds < spec.RecoveryUtilization*elapsed.Seconds()
	switch {
	case recovered, m.now-state.overloadedSince >= spec.MaxDuration:
		state.overloadedSince, state.exceededSince = notSet, notSet
		m.checkOverloadThreshold()
	case elapsed >= spec.RecoveryPeriod:
		state.startRecoveryPeriod(m.now)
	}
}

func (s *overloadState) startRecoveryPeriod(now time.Duration) {
	s.recoveryPeriodStart, s.recoveryBusySeconds = now, 0
}
