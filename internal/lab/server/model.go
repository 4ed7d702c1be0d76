package server

import "time"

const (
	// msPerSecond is the work that a standard core does in a second.
	msPerSecond = 1000
	// maxNeighbourShare bounds the share of a machine that another program can take.
	maxNeighbourShare = 0.99
	// minSlowdown is the smallest slowdown factor; a factor below 1 speeds the server up.
	minSlowdown = 0.01
)

// Model simulates the queue of one server. It has no clock: each call with a time argument advances the
// model to that time, and the times must not decrease. It is not safe for concurrent use.
type Model struct {
	spec           Spec
	now            time.Duration
	startedAt      time.Duration
	neighbourShare float64 // share of the machine that another program takes
	slowdown       float64 // factor by which all work takes longer, due to the version or a fault

	running      []*Job
	queue        []*Job
	ended        []*Job  // ended jobs that Advance has not returned yet
	workDone     float64 // work done for requests since the start
	overheadWork float64 // remaining work of handshakes and probes
	utilization  float64
	pausedUntil  time.Duration
	nextPauseAt  time.Duration

	overload   overloadState
	recentKeys keyCache

	warmingUp      bool
	warmupArrivals []warmupArrival // jobs that arrived within the last CrashWindow
	crash          *WarmupCrash    // nil: the server has not crashed
}

// NewModel returns the model of a server that starts at the given time. A cold server starts with its
// warm-up; any other server has its full capacity at once.
func NewModel(spec Spec, now time.Duration, cold bool) *Model {
	return &Model{
		spec:        spec,
		now:         now,
		startedAt:   now,
		slowdown:    1,
		nextPauseAt: now + spec.PauseInterval,
		overload:    overloadState{exceededSince: notSet, overloadedSince: notSet},
		recentKeys:  newKeyCache(spec.AffinityKeys),
		warmingUp:   cold && spec.WarmupDuration > 0,
	}
}

// Capacity returns the work that the server does in a second with all cores busy, in standard-core
// milliseconds. It does not account for overload and thrashing.
func (m *Model) Capacity() float64 {
	return msPerSecond * float64(m.spec.Cores) * m.spec.Speed * m.WarmupFactor() * (1 - m.neighbourShare) / m.slowdown
}

// InFlight returns the number of requests in the server, running or queued, and the number of queued ones.
func (m *Model) InFlight() (total, queued int) { return len(m.running) + len(m.queue), len(m.queue) }

// Utilization returns the busy share of the cores, as an exponential moving average.
func (m *Model) Utilization() float64 { return m.utilization }

// SetNeighbourShare sets the share of the machine that another program takes from now on.
func (m *Model) SetNeighbourShare(now time.Duration, share float64) {
	m.advance(now)
	m.neighbourShare = min(max(share, 0), maxNeighbourShare)
}

// SetSlowdown sets the factor by which all work takes longer from now on; 1 is the normal speed.
func (m *Model) SetSlowdown(now time.Duration, factor float64) {
	m.advance(now)
	m.slowdown = max(factor, minSlowdown)
}

// AddOverhead adds work that belongs to no request, such as the work of a handshake or a probe.
func (m *Model) AddOverhead(now time.Duration, work float64) {
	m.advance(now)
	m.overheadWork += work
}

// Arrive adds a job, or rejects it if the slots and the queue are full or the server has crashed. The
// work of rejected jobs also counts towards a crash during the warm-up.
func (m *Model) Arrive(now time.Duration, j *Job) Admission {
	m.advance(now)
	m.recordWarmupArrival(j)
	j.ArrivedAt, j.remainingWork = now, j.Work
	switch {
	case m.crash != nil:
		return Rejected
	case len(m.running) < m.spec.Slots:
		m.startJob(j)
	case len(m.queue) < m.spec.QueueCapacity:
		j.state = jobQueued
		m.queue = append(m.queue, j)
	default:
		return Rejected
	}
	m.checkOverloadThreshold()
	return Admitted
}

// Cancel removes a job whose result is no longer needed and stops its work. It has no effect on a job
// that has ended.
func (m *Model) Cancel(now time.Duration, j *Job) {
	m.advance(now)
	switch j.state {
	case jobQueued:
		m.queue = removeJob(m.queue, j)
	case jobRunning:
		m.running = removeJob(m.running, j)
		m.startQueuedJobs()
	}
	j.state = jobInactive
	m.checkOverloadThreshold()
}

// Advance advances the model to now and returns the jobs that have ended since the last call, including
// those that expired in the queue.
func (m *Model) Advance(now time.Duration) []*Job {
	m.advance(now)
	ended := m.ended
	m.ended = nil
	return ended
}

// startJob starts the work on a job. A recently used key reduces the work by the affinity gain.
func (m *Model) startJob(j *Job) {
	j.state, j.StartedAt = jobRunning, max(m.now, 1)
	if j.Key != 0 && m.spec.AffinityGain > 0 {
		if m.recentKeys.usedWithin(j.Key, m.spec.AffinityTTL, m.now) {
			j.remainingWork *= 1 - m.spec.AffinityGain
		}
		m.recentKeys.use(j.Key, m.now)
	}
	m.running = append(m.running, j)
}

// startQueuedJobs moves jobs from the queue to free slots. Expired jobs end without being started.
func (m *Model) startQueuedJobs() {
	for len(m.queue) > 0 && len(m.running) < m.spec.Slots {
		j := m.queue[0]
		m.queue = m.queue[1:]
		if j.ExpiresAt > 0 && m.now >= j.ExpiresAt {
			j.state, j.EndedAt = jobInactive, m.now
			m.ended = append(m.ended, j)
			continue
		}
		m.startJob(j)
	}
}
