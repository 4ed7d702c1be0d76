package server

import "time"

// warmupStep is the time step during which the rate is taken as constant while the server warms up.
const warmupStep = 20 * time.Millisecond

// warmupArrival is a job that arrived while the server warmed up.
type warmupArrival struct {
	at             time.Duration
	work           float64
	senderNotified bool
}

// WarmupCrash describes the crash of a server that got too much work while it warmed up.
type WarmupCrash struct {
	Work          float64 // work that arrived within the window, in standard-core milliseconds
	Limit         float64 // work that the server withstands in a window
	NotifiedShare float64 // share of the work whose senders had been notified of the server's start
}

// WarmupFactor returns the share of its capacity that the server has reached since its start. It is 1 after the
// warm-up.
func (m *Model) WarmupFactor() float64 {
	if !m.warmingUp {
		return 1
	}
	progress := float64(m.now-m.startedAt) / float64(m.spec.WarmupDuration)
	if m.spec.WarmupWork > 0 {
		progress = max(progress, m.workDone/m.spec.WarmupWork)
	}
	return min(m.spec.WarmupStartFactor+(1-m.spec.WarmupStartFactor)*progress, 1)
}

// Crash returns the server's crash, or nil if it has not crashed.
func (m *Model) Crash() *WarmupCrash { return m.crash }

// recordWarmupArrival adds a job to the work that arrived at a warming server within the window, and
// crashes the server if the sum exceeds the limit.
func (m *Model) recordWarmupArrival(j *Job) {
	if m.spec.CrashLoadMultiple <= 0 || m.crash != nil || m.WarmupFactor() >= 1 {
		return
	}
	from := 0
	for from < len(m.warmupArrivals) && m.warmupArrivals[from].at <= m.now-m.spec.CrashWindow {
		from++
	}
	m.warmupArrivals = append(m.warmupArrivals[from:], warmupArrival{m.now, j.Work, j.SenderNotified})
	work, notifiedWork := 0.0, 0.0
	for _, arrival := range m.warmupArrivals {
		work += arrival.work
		if arrival.senderNotified {
			notifiedWork += arrival.work
		}
	}
	limit := m.spec.CrashLoadMultiple*m.Capacity()*m.spec.CrashWindow.Seconds() + m.spec.CrashSlack
	if work > limit {
		m.crash = &WarmupCrash{Work: work, Limit: limit, NotifiedShare: notifiedWork / work}
	}
}

// endWarmup ends the warm-up once the server has its full capacity.
func (m *Model) endWarmup() {
	if m.warmingUp && m.WarmupFactor() >= 1 {
		m.warmingUp, m.warmupArrivals = false, nil
	}
}
