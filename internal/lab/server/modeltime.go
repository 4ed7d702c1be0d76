package server

import (
	"math"
	"time"
)

const (
	// utilizationTimeConstant is the time constant of the moving average of the utilization in load reports.
	utilizationTimeConstant = 200 * time.Millisecond
	// minRemainingWork is the remaining work up to which a job counts as done, to absorb rounding errors.
	minRemainingWork = 1e-9
	// noChange stands for the time of a change that will not happen.
	noChange time.Duration = math.MaxInt64
)

// rates are the speeds at which work proceeds until the next change.
type rates struct {
	job      float64 // rate of each running job, in standard-core milliseconds per second
	overhead float64 // rate of the work of handshakes and probes, in the same unit
	busy     float64 // busy share of the cores
}

// currentRates returns the rates at the model's current time. They are 0 while the server is idle or paused.
func (m *Model) currentRates() rates {
	tasks := float64(len(m.running))
	if m.overheadWork > 0 {
		tasks++
	}
	if tasks == 0 || m.now < m.pausedUntil {
		return rates{}
	}
	cores := float64(m.spec.Cores)
	r := rates{job: m.coreRate() * min(1, cores/tasks), busy: min(tasks/cores, 1)}
	if m.overheadWork > 0 {
		r.overhead = r.job
	}
	return r
}

// coreRate returns the work that one core does in a second, in standard-core milliseconds.
func (m *Model) coreRate() float64 {
	rate := msPerSecond * m.spec.Speed * m.WarmupFactor() * (1 - m.neighbourShare) / m.slowdown
	inFlightPerCore := float64(len(m.running)+len(m.queue)) / float64(m.spec.Cores)
	if m.spec.ThrashFactor > 0 && m.spec.ThrashThreshold > 0 && inFlightPerCore > m.spec.ThrashThreshold {
		rate /= 1 + m.spec.ThrashFactor*(inFlightPerCore-m.spec.ThrashThreshold)/m.spec.ThrashThreshold
	}
	if m.Overloaded() {
		rate /= max(m.spec.Overload.Slowdown, 1)
	}
	return rate
}

// NextEvent returns the time to which the model has to be advanced next unless a job arrives earlier. It
// returns false while there are no jobs.
func (m *Model) NextEvent() (time.Duration, bool) {
	if len(m.running) == 0 && len(m.queue) == 0 {
		return 0, false
	}
	return m.nextChange(noChange), true
}

// nextChange returns the time until which the current rates are valid, but at most limit.
func (m *Model) nextChange(limit time.Duration) time.Duration {
	next := min(limit, m.nextCompletion(), m.nextPauseChange(), m.nextOverloadChange())
	if m.warmingUp {
		next = min(next, m.now+warmupStep)
	}
	return next
}

// nextCompletion returns when the first of the running jobs and the overhead work is done at the current
// rates, or noChange if no work proceeds.
func (m *Model) nextCompletion() time.Duration {
	r := m.currentRates()
	next := noChange
	if r.job > 0 {
		for _, j := range m.running {
			next = min(next, m.completionAt(j.remainingWork, r.job))
		}
	}
	if r.overhead > 0 {
		next = min(next, m.completionAt(m.overheadWork, r.overhead))
	}
	return next
}

// completionAt returns a time at which the work is certainly done at the rate; it rounds up.
func (m *Model) completionAt(work, rate float64) time.Duration {
	return m.now + time.Duration(math.Ceil(work/rate*1e9)) + 1
}

// hasPauses reports whether the server pauses at intervals.
func (m *Model) hasPauses() bool { return m.spec.PauseInterval > 0 && m.spec.PauseDuration > 0 }

// nextPauseChange returns when the current pause ends or the next one begins, or noChange if the server
// has no pauses.
func (m *Model) nextPauseChange() time.Duration {
	if !m.hasPauses() {
		return noChange
	}
	next := max(m.nextPauseAt, m.now+1)
	if m.now < m.pausedUntil {
		next = min(next, m.pausedUntil)
	}
	return next
}

// startPause starts a pause if one is due.
func (m *Model) startPause() {
	if m.hasPauses() && m.now >= m.nextPauseAt {
		m.pausedUntil = m.now + m.spec.PauseDuration
		m.nextPauseAt = m.pausedUntil + m.spec.PauseInterval
	}
}

// advance advances the model to now in steps from one change of the rates to the next.
func (m *Model) advance(now time.Duration) {
	for m.now < now {
		if m.isIdle() {
			m.recordUtilization(now, 0)
			m.now = now
			break
		}
		m.advanceToChange(m.nextChange(now))
	}
	m.endWarmup()
}

// isIdle reports whether the state can't change without a new job, apart from the warm-up by time.
func (m *Model) isIdle() bool {
	return len(m.running) == 0 && m.overheadWork <= 0 && !m.Overloaded() && m.spec.PauseInterval <= 0
}

// advanceToChange advances the model to a time until which the current rates are valid.
func (m *Model) advanceToChange(end time.Duration) {
	r := m.currentRates()
	seconds := (end - m.now).Seconds()
	for _, j := range m.running {
		j.remainingWork -= r.job * seconds
		m.workDone += r.job * seconds
	}
	m.overheadWork = max(m.overheadWork-r.overhead*seconds, 0)
	m.recordUtilization(end, r.busy)
	m.now = end
	m.finishJobs()
	m.startPause()
	m.updateOverload()
}

// recordUtilization adds the time up to end, with the given busy share of the cores, to the average
// utilization and, during an overload, to the current recovery period.
func (m *Model) recordUtilization(end time.Duration, busy float64) {
	decay := math.Exp(-float64(end-m.now) / float64(utilizationTimeConstant))
	m.utilization = m.utilization*decay + busy*(1-decay)
	if m.Overloaded() {
		m.overload.recoveryBusySeconds += busy * (end - m.now).Seconds()
	}
}

// finishJobs ends the running jobs that are done and starts queued jobs in the free slots.
func (m *Model) finishJobs() {
	remaining := m.running[:0]
	for _, j := range m.running {
		if j.remainingWork > minRemainingWork {
			remaining = append(remaining, j)
			continue
		}
		j.remainingWork, j.state, j.EndedAt = 0, jobInactive, m.now
		m.ended = append(m.ended, j)
	}
	clear(m.running[len(remaining):])
	m.running = remaining
	m.startQueuedJobs()
	m.checkOverloadThreshold()
}
