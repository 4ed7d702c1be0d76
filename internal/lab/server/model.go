// Package server emulates programme servers: each has an address and a queue of its own
// and answers over HTTP as PROTOCOL says. Work is a queue in time and burns no CPU.
package server

import (
	"math"
	"time"
)

// Choke makes a server slower that was crowded for too long.
type Overload struct {
	RequestsPerCore     float64       `koanf:"at"`      // requests held a core from which it counts as crowded; 0: never
	After               time.Duration `koanf:"over"`    // for how long it has to be
	Slowdown            float64       `koanf:"slower"`  // times slower then
	RecoveryUtilization float64       `koanf:"below"`   // busy share under which it rests
	RecoveryPeriod      time.Duration `koanf:"rest"`    // one such time of rest ends it
	MaxDuration         time.Duration `koanf:"at_most"` // and this ends it without
}

// Spec is what a server can do. Work is counted in milliseconds of a standard core.
type Spec struct {
	Cores             int           `koanf:"cores"`
	Speed             float64       `koanf:"speed"`  // of a core, the standard being 1
	Slots             int           `koanf:"slots"`  // requests in work at once
	QueueCapacity     int           `koanf:"queue"`  // places in the waiting room
	ThrashFactor      float64       `koanf:"thrash"` // slower by this part for each ThrashAt that is held beyond it
	ThrashThreshold   float64       `koanf:"thrash_at"`
	WarmupStartFactor float64       `koanf:"cold_from"`
	WarmupDuration    time.Duration `koanf:"cold_for"`
	WarmupWork        float64       `koanf:"warm_by_work"` // standard-core ms that warm it fully; 0: by time alone
	Overload          Overload      `koanf:"choke"`
	AffinityGain      float64       `koanf:"affinity_gain"`
	AffinityTTL       time.Duration `koanf:"affinity_for"`
	AffinityKeys      int           `koanf:"affinity_keys"`
	PauseInterval     time.Duration `koanf:"pause_every"`
	PauseDuration     time.Duration `koanf:"pause_for"`
	CrashLoadMultiple float64       `koanf:"-"` // of the fourth rule; 0: it never falls over
	CrashWindow       time.Duration `koanf:"-"`
	CrashSlack        float64       `koanf:"fall_slack"` // standard-core ms on top, for chance
}

// Job is a request in a server.
type Job struct {
	Work           float64
	Key            uint64        // 0: none
	ExpiresAt      time.Duration // work has no use afterwards; 0: never
	SenderNotified bool          // who sent it knew that the server is cold

	remainingWork float64
	state         jobState
	done          chan struct{} // closed at its end, where somebody waits
	ArrivedAt     time.Duration
	StartedAt     time.Duration
	EndedAt       time.Duration
}

type jobState uint8

const (
	jobInactive jobState = iota
	jobQueued
	jobRunning
)

// Verdict is what becomes of an arriving job.
type Admission uint8

// The verdicts.
const (
	Admitted Admission = iota
	Rejected
)

// coldStep is how long a rate is taken for constant while it rises by itself.
const warmupStep = 20 * time.Millisecond

// utilOver is the time constant of the busy share that load reports tell.
const utilizationTimeConstant = 200 * time.Millisecond

// Model is one server's queue. It has no clock: each call says what time it is, and
// times never go back. It is not safe for concurrent use.
type Model struct {
	spec           Spec
	now            time.Duration
	startedAt      time.Duration
	warmingUp      bool
	workDone       float64 // done since it was born
	neighbourShare float64 // part of the machine that another program has
	slowdown       float64 // times slower, by its version or a fault

	running      []*Job
	queue        []*Job
	ended        []*Job
	overheadWork float64 // work beside the requests: handshakes and probes
	utilization  float64
	pausedUntil  time.Duration // until then it stands still
	nextPauseAt  time.Duration // the next one begins

	thresholdExceededSince time.Duration // since when; -1: it is not
	overloadedSince        time.Duration // since when; -1: it is not
	recoveryPeriodStart    time.Duration
	recoveryBusySeconds    float64 // busy time in this look for rest, in seconds
	overloads              int
	keyLastUsedAt          map[uint64]time.Duration
	keysByLastUse          []uint64

	warmupArrivals []arrival // of the last window while cold
	crash          *WarmupCrash
}

type arrival struct {
	at             time.Duration
	work           float64
	senderNotified bool
}

// Fall is how a cold server was pushed over.
type WarmupCrash struct {
	Work, Limit   float64 // work within the window, and the most it takes, in ms
	NotifiedShare float64 // part of it from who knew
}

// NewModel makes a server born now. One that is warm has stood for long.
func NewModel(spec Spec, now time.Duration, cold bool) *Model {
	m := &Model{spec: spec, now: now, startedAt: now, slowdown: 1, thresholdExceededSince: -1, overloadedSince: -1,
		warmingUp: cold && spec.WarmupDuration > 0, keyLastUsedAt: map[uint64]time.Duration{}}
	m.nextPauseAt = now + spec.PauseInterval
	return m
}

// Ramp is the part of its capacity that a server has reached since it was born.
func (m *Model) WarmupFactor() float64 {
	if !m.warmingUp {
		return 1
	}
	part := float64(m.now-m.startedAt) / float64(m.spec.WarmupDuration)
	if m.spec.WarmupWork > 0 {
		part = max(part, m.workDone/m.spec.WarmupWork)
	}
	return min(m.spec.WarmupStartFactor+(1-m.spec.WarmupStartFactor)*part, 1)
}

// Capacity is what the server does in a second now with all cores busy, in standard-core
// milliseconds, but for crowding.
func (m *Model) Capacity() float64 {
	return 1000 * float64(m.spec.Cores) * m.spec.Speed * m.WarmupFactor() * (1 - m.neighbourShare) / m.slowdown
}

// Choked tells whether it is slower for having been crowded; Chokes how often it was.
func (m *Model) Overloaded() bool { return m.overloadedSince >= 0 }

// Chokes is how often the server was choked.
func (m *Model) Overloads() int { return m.overloads }

// Held is how many requests it holds, and how many of them wait.
func (m *Model) InFlight() (all, waiting int) { return len(m.running) + len(m.queue), len(m.queue) }

// Util is the busy share of its cores of late.
func (m *Model) Utilization() float64 { return m.utilization }

// Fell tells how the server was pushed over, or nil.
func (m *Model) Crash() *WarmupCrash { return m.crash }

// Take sets the part of the machine that another program has from now on.
func (m *Model) SetNeighbourShare(now time.Duration, part float64) {
	m.advance(now)
	m.neighbourShare = min(max(part, 0), 0.99)
}

// Slow makes all work take that many times as long from now on.
func (m *Model) SetSlowdown(now time.Duration, times float64) {
	m.advance(now)
	m.slowdown = max(times, 0.01)
}

// Aside adds work that no request is answered for: a handshake or a probe.
func (m *Model) AddOverhead(now time.Duration, work float64) {
	m.advance(now)
	m.overheadWork += work
}

// Arrive hands in a job. What is turned away presses on a cold server all the same.
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

// press counts what reaches a cold server against its budget.
func (m *Model) recordWarmupArrival(j *Job) {
	if m.spec.CrashLoadMultiple <= 0 || m.crash != nil || m.WarmupFactor() >= 1 {
		return
	}
	from := 0
	for from < len(m.warmupArrivals) && m.warmupArrivals[from].at <= m.now-m.spec.CrashWindow {
		from++
	}
	m.warmupArrivals = append(m.warmupArrivals[from:], arrival{m.now, j.Work, j.SenderNotified})
	sent, told := 0.0, 0.0
	for _, a := range m.warmupArrivals {
		sent += a.work
		if a.senderNotified {
			told += a.work
		}
	}
	bound := m.spec.CrashLoadMultiple*m.Capacity()*m.spec.CrashWindow.Seconds() + m.spec.CrashSlack
	if sent > bound {
		m.crash = &WarmupCrash{Work: sent, Limit: bound, NotifiedShare: told / sent}
	}
}

// Cancel drops a job; its work stops.
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

func removeJob(jobs []*Job, j *Job) []*Job {
	for i := range jobs {
		if jobs[i] == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// Advance moves to now and returns the jobs that ended: those with work left expired in
// the queue and never started. The slice is good until the next call.
func (m *Model) Advance(now time.Duration) []*Job {
	m.advance(now)
	ended := m.ended
	m.ended = nil
	return ended
}

// Expired tells of an ended job that it never started.
func (j *Job) Expired() bool { return j.StartedAt == 0 && j.remainingWork > 0 }

// start begins work on a job; a key met of late makes it less.
func (m *Model) startJob(j *Job) {
	j.state, j.StartedAt = jobRunning, max(m.now, 1)
	if j.Key != 0 && m.spec.AffinityGain > 0 {
		if met, ok := m.keyLastUsedAt[j.Key]; ok && m.now-met <= m.spec.AffinityTTL {
			j.remainingWork *= 1 - m.spec.AffinityGain
		}
		m.rememberKey(j.Key)
	}
	m.running = append(m.running, j)
}

// remember keeps the keys met last, as many as it has room for.
func (m *Model) rememberKey(key uint64) {
	if _, known := m.keyLastUsedAt[key]; known {
		for i, k := range m.keysByLastUse {
			if k == key {
				m.keysByLastUse = append(m.keysByLastUse[:i], m.keysByLastUse[i+1:]...)
				break
			}
		}
	} else if len(m.keysByLastUse) >= max(m.spec.AffinityKeys, 1) {
		delete(m.keyLastUsedAt, m.keysByLastUse[0])
		m.keysByLastUse = m.keysByLastUse[1:]
	}
	m.keyLastUsedAt[key] = m.now
	m.keysByLastUse = append(m.keysByLastUse, key)
}

// refill starts what waits while there are slots.
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

// rates gives how fast one job and the work aside go on, in standard ms a second, and
// the busy share of the cores.
func (m *Model) rates() (each, aside, busy float64) {
	n := float64(len(m.running))
	if m.overheadWork > 0 {
		n++
	}
	if n == 0 || m.now < m.pausedUntil {
		return 0, 0, 0
	}
	cores := float64(m.spec.Cores)
	held := float64(len(m.running)+len(m.queue)) / cores
	per := 1000 * m.spec.Speed * m.WarmupFactor() * (1 - m.neighbourShare) / m.slowdown
	if m.spec.ThrashFactor > 0 && m.spec.ThrashThreshold > 0 && held > m.spec.ThrashThreshold {
		per /= 1 + m.spec.ThrashFactor*(held-m.spec.ThrashThreshold)/m.spec.ThrashThreshold
	}
	if m.overloadedSince >= 0 {
		per /= max(m.spec.Overload.Slowdown, 1)
	}
	each = per * min(1, cores/n)
	if m.overheadWork > 0 {
		aside = each
	}
	return each, aside, min(n/cores, 1)
}

// Next is when something happens by itself, if nothing arrives before.
func (m *Model) NextEvent() (time.Duration, bool) {
	if len(m.running) == 0 && len(m.queue) == 0 {
		return 0, false
	}
	return m.nextChange(math.MaxInt64), true
}

// step is how far the present rates hold, and at most to.
func (m *Model) nextChange(to time.Duration) time.Duration {
	each, aside, _ := m.rates()
	end := to
	until := func(left, rate float64) {
		if rate > 0 {
			// Rounded up, so that the work is done by then.
			end = min(end, m.now+time.Duration(math.Ceil(left/rate*1e9))+1)
		}
	}
	for _, j := range m.running {
		until(j.remainingWork, each)
	}
	until(m.overheadWork, aside)
	if m.warmingUp {
		end = min(end, m.now+warmupStep)
	}
	if m.spec.PauseInterval > 0 && m.spec.PauseDuration > 0 {
		if m.now < m.pausedUntil {
			end = min(end, m.pausedUntil)
		}
		end = min(end, max(m.nextPauseAt, m.now+1))
	}
	if m.thresholdExceededSince >= 0 && m.overloadedSince < 0 {
		end = min(end, max(m.thresholdExceededSince+m.spec.Overload.After, m.now+1))
	}
	if m.overloadedSince >= 0 {
		end = min(end, max(m.recoveryPeriodStart+m.spec.Overload.RecoveryPeriod, m.now+1), max(m.overloadedSince+m.spec.Overload.MaxDuration, m.now+1))
	}
	return end
}

// advance moves to now, from one change of the rates to the next.
func (m *Model) advance(now time.Duration) {
	for m.now < now {
		if len(m.running) == 0 && m.overheadWork <= 0 && m.overloadedSince < 0 && m.spec.PauseInterval <= 0 {
			// Nothing goes on: the time passes at once.
			m.recordUtilization(now, 0)
			m.now = now
			break
		}
		end := m.nextChange(now)
		each, aside, busy := m.rates()
		secs := (end - m.now).Seconds()
		for _, j := range m.running {
			j.remainingWork -= each * secs
			m.workDone += each * secs
		}
		m.overheadWork = max(m.overheadWork-aside*secs, 0)
		m.recordUtilization(end, busy)
		m.now = end
		m.finishJobs()
		m.applyTimedChanges()
	}
	if m.warmingUp && m.WarmupFactor() >= 1 {
		m.warmingUp, m.warmupArrivals = false, nil
	}
}

// settle books the busy share up to end.
func (m *Model) recordUtilization(end time.Duration, busy float64) {
	keep := math.Exp(-float64(end-m.now) / float64(utilizationTimeConstant))
	m.utilization = m.utilization*keep + busy*(1-keep)
	if m.overloadedSince >= 0 {
		m.recoveryBusySeconds += busy * (end - m.now).Seconds()
	}
}

// finish ends what has no work left, and starts what waits.
func (m *Model) finishJobs() {
	kept := m.running[:0]
	for _, j := range m.running {
		if j.remainingWork > 1e-9 {
			kept = append(kept, j)
			continue
		}
		j.remainingWork, j.state, j.EndedAt = 0, jobInactive, m.now
		m.ended = append(m.ended, j)
	}
	clear(m.running[len(kept):])
	m.running = kept
	m.startQueuedJobs()
	m.checkOverloadThreshold()
}

// crowd notes since when too many are held.
func (m *Model) checkOverloadThreshold() {
	c := &m.spec.Overload
	crowded := c.RequestsPerCore > 0 && float64(len(m.running)+len(m.queue)) > c.RequestsPerCore*float64(m.spec.Cores)
	switch {
	case !crowded:
		m.thresholdExceededSince = -1
	case m.thresholdExceededSince < 0:
		m.thresholdExceededSince = m.now
	}
}

// turn makes the changes that come by time: pauses, choking and its end.
func (m *Model) applyTimedChanges() {
	if m.spec.PauseInterval > 0 && m.spec.PauseDuration > 0 && m.now >= m.nextPauseAt {
		m.pausedUntil, m.nextPauseAt = m.now+m.spec.PauseDuration, m.now+m.spec.PauseInterval+m.spec.PauseDuration
	}
	c := &m.spec.Overload
	if m.overloadedSince < 0 {
		if m.thresholdExceededSince >= 0 && m.now-m.thresholdExceededSince >= c.After {
			m.overloadedSince, m.recoveryPeriodStart, m.recoveryBusySeconds = m.now, m.now, 0
			m.overloads++
		}
		return
	}
	look := m.now - m.recoveryPeriodStart
	rested := look >= c.RecoveryPeriod && m.recoveryBusySeconds < c.RecoveryUtilization*look.Seconds()
	switch {
	case rested, m.now-m.overloadedSince >= c.MaxDuration:
		m.overloadedSince, m.thresholdExceededSince = -1, -1
		m.checkOverloadThreshold()
	case look >= c.RecoveryPeriod:
		m.recoveryPeriodStart, m.recoveryBusySeconds = m.now, 0
	}
}
