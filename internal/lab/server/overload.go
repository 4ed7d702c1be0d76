package server

import "time"

// notSet is the start time of a state that does not apply.
const notSet = -1

// overloadState tracks whether a server is overloaded or above the threshold of an overload.
type overloadState struct {
	exceededSince       time.Duration // when the requests in flight rose above the threshold, or notSet
	overloadedSince     time.Duration // when the overload began, or notSet
	recoveryPeriodStart time.Duration // valid while the server is overloaded
	recoveryBusySeconds float64       // integral of the busy share of the cores over this recovery period
	count               int           // number of overloads
}

// Overloaded reports whether the server is slowed down because too many requests were in flight.
func (m *Model) Overloaded() bool { return m.overload.overloadedSince >= 0 }

// Overloads returns how often the server has become overloaded.
func (m *Model) Overloads() int { return m.overload.count }

// checkOverloadThreshold records when the requests in flight rose above the threshold, or that they are not
// above it.
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

// nextOverloadChange returns when the server becomes overloaded or its recovery is checked next, or
// noChange if it is neither overloaded nor above the threshold.
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

// updateOverload starts or ends an overload if the conditions are met.
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
