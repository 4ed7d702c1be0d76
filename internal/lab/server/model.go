// Package server emulates programme servers: each has an address and a queue of its own
// and answers over HTTP as PROTOCOL says. Work is a queue in time and burns no CPU.
package server

import (
	"math"
	"time"
)

// Choke makes a server slower that was crowded for too long.
type Choke struct {
	At     float64       `koanf:"at"`      // requests held a core from which it counts as crowded; 0: never
	Over   time.Duration `koanf:"over"`    // for how long it has to be
	Slower float64       `koanf:"slower"`  // times slower then
	Below  float64       `koanf:"below"`   // busy share under which it rests
	Rest   time.Duration `koanf:"rest"`    // one such time of rest ends it
	AtMost time.Duration `koanf:"at_most"` // and this ends it without
}

// Spec is what a server can do. Work is counted in milliseconds of a standard core.
type Spec struct {
	Cores        int           `koanf:"cores"`
	Speed        float64       `koanf:"speed"`  // of a core, the standard being 1
	Slots        int           `koanf:"slots"`  // requests in work at once
	Queue        int           `koanf:"queue"`  // places in the waiting room
	Thrash       float64       `koanf:"thrash"` // slower by this part for each ThrashAt that is held beyond it
	ThrashAt     float64       `koanf:"thrash_at"`
	ColdFrom     float64       `koanf:"cold_from"`
	ColdFor      time.Duration `koanf:"cold_for"`
	WarmByWork   float64       `koanf:"warm_by_work"` // standard-core ms that warm it fully; 0: by time alone
	Choke        Choke         `koanf:"choke"`
	AffinityGain float64       `koanf:"affinity_gain"`
	AffinityFor  time.Duration `koanf:"affinity_for"`
	AffinityKeys int           `koanf:"affinity_keys"`
	PauseEvery   time.Duration `koanf:"pause_every"`
	PauseFor     time.Duration `koanf:"pause_for"`
	FallMultiple float64       `koanf:"-"` // of the fourth rule; 0: it never falls over
	FallWindow   time.Duration `koanf:"-"`
	FallSlack    float64       `koanf:"fall_slack"` // standard-core ms on top, for chance
}

// Job is a request in a server.
type Job struct {
	Work    float64
	Key     uint64        // 0: none
	Expires time.Duration // work has no use afterwards; 0: never
	Told    bool          // who sent it knew that the server is cold

	left    float64
	place   place
	done    chan struct{} // closed at its end, where somebody waits
	Arrived time.Duration
	Started time.Duration
	Ended   time.Duration
}

type place uint8

const (
	nowhere place = iota
	queued
	running
)

// Verdict is what becomes of an arriving job.
type Verdict uint8

// The verdicts.
const (
	Taken Verdict = iota
	Full
)

// coldStep is how long a rate is taken for constant while it rises by itself.
const coldStep = 20 * time.Millisecond

// utilOver is the time constant of the busy share that load reports tell.
const utilOver = 200 * time.Millisecond

// Model is one server's queue. It has no clock: each call says what time it is, and
// times never go back. It is not safe for concurrent use.
type Model struct {
	spec  Spec
	now   time.Duration
	born  time.Duration
	cold  bool
	work  float64 // done since it was born
	taken float64 // part of the machine that another program has
	slow  float64 // times slower, by its version or a fault

	run    []*Job
	queue  []*Job
	ended  []*Job
	aside  float64 // work beside the requests: handshakes and probes
	util   float64
	paused time.Duration // until then it stands still
	pause  time.Duration // the next one begins

	crowded   time.Duration // since when; -1: it is not
	choked    time.Duration // since when; -1: it is not
	restFrom  time.Duration
	restBusy  float64 // busy time in this look for rest, in seconds
	chokes    int
	warm      map[uint64]time.Duration
	warmOrder []uint64

	pressure []arrival // of the last window while cold
	fell     *Fall
}

type arrival struct {
	at   time.Duration
	work float64
	told bool
}

// Fall is how a cold server was pushed over.
type Fall struct {
	Sent, Bound float64 // work within the window, and the most it takes, in ms
	Told        float64 // part of it from who knew
}

// NewModel makes a server born now. One that is warm has stood for long.
func NewModel(spec Spec, now time.Duration, cold bool) *Model {
	m := &Model{spec: spec, now: now, born: now, slow: 1, crowded: -1, choked: -1,
		cold: cold && spec.ColdFor > 0, warm: map[uint64]time.Duration{}}
	m.pause = now + spec.PauseEvery
	return m
}

// Ramp is the part of its capacity that a server has reached since it was born.
func (m *Model) Ramp() float64 {
	if !m.cold {
		return 1
	}
	part := float64(m.now-m.born) / float64(m.spec.ColdFor)
	if m.spec.WarmByWork > 0 {
		part = max(part, m.work/m.spec.WarmByWork)
	}
	return min(m.spec.ColdFrom+(1-m.spec.ColdFrom)*part, 1)
}

// Capacity is what the server does in a second now with all cores busy, in standard-core
// milliseconds, but for crowding.
func (m *Model) Capacity() float64 {
	return 1000 * float64(m.spec.Cores) * m.spec.Speed * m.Ramp() * (1 - m.taken) / m.slow
}

// Choked tells whether it is slower for having been crowded; Chokes how often it was.
func (m *Model) Choked() bool { return m.choked >= 0 }

// Chokes is how often the server was choked.
func (m *Model) Chokes() int { return m.chokes }

// Held is how many requests it holds, and how many of them wait.
func (m *Model) Held() (all, waiting int) { return len(m.run) + len(m.queue), len(m.queue) }

// Util is the busy share of its cores of late.
func (m *Model) Util() float64 { return m.util }

// Fell tells how the server was pushed over, or nil.
func (m *Model) Fell() *Fall { return m.fell }

// Take sets the part of the machine that another program has from now on.
func (m *Model) Take(now time.Duration, part float64) {
	m.advance(now)
	m.taken = min(max(part, 0), 0.99)
}

// Slow makes all work take that many times as long from now on.
func (m *Model) Slow(now time.Duration, times float64) {
	m.advance(now)
	m.slow = max(times, 0.01)
}

// Aside adds work that no request is answered for: a handshake or a probe.
func (m *Model) Aside(now time.Duration, work float64) {
	m.advance(now)
	m.aside += work
}

// Arrive hands in a job. What is turned away presses on a cold server all the same.
func (m *Model) Arrive(now time.Duration, j *Job) Verdict {
	m.advance(now)
	m.press(j)
	j.Arrived, j.left = now, j.Work
	switch {
	case m.fell != nil:
		return Full
	case len(m.run) < m.spec.Slots:
		m.start(j)
	case len(m.queue) < m.spec.Queue:
		j.place = queued
		m.queue = append(m.queue, j)
	default:
		return Full
	}
	m.crowd()
	return Taken
}

// press counts what reaches a cold server against its budget.
func (m *Model) press(j *Job) {
	if m.spec.FallMultiple <= 0 || m.fell != nil || m.Ramp() >= 1 {
		return
	}
	from := 0
	for from < len(m.pressure) && m.pressure[from].at <= m.now-m.spec.FallWindow {
		from++
	}
	m.pressure = append(m.pressure[from:], arrival{m.now, j.Work, j.Told})
	sent, told := 0.0, 0.0
	for _, a := range m.pressure {
		sent += a.work
		if a.told {
			told += a.work
		}
	}
	bound := m.spec.FallMultiple*m.Capacity()*m.spec.FallWindow.Seconds() + m.spec.FallSlack
	if sent > bound {
		m.fell = &Fall{Sent: sent, Bound: bound, Told: told / sent}
	}
}

// Cancel drops a job; its work stops.
func (m *Model) Cancel(now time.Duration, j *Job) {
	m.advance(now)
	switch j.place {
	case queued:
		m.queue = without(m.queue, j)
	case running:
		m.run = without(m.run, j)
		m.refill()
	}
	j.place = nowhere
	m.crowd()
}

func without(jobs []*Job, j *Job) []*Job {
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
func (j *Job) Expired() bool { return j.Started == 0 && j.left > 0 }

// start begins work on a job; a key met of late makes it less.
func (m *Model) start(j *Job) {
	j.place, j.Started = running, max(m.now, 1)
	if j.Key != 0 && m.spec.AffinityGain > 0 {
		if met, ok := m.warm[j.Key]; ok && m.now-met <= m.spec.AffinityFor {
			j.left *= 1 - m.spec.AffinityGain
		}
		m.remember(j.Key)
	}
	m.run = append(m.run, j)
}

// remember keeps the keys met last, as many as it has room for.
func (m *Model) remember(key uint64) {
	if _, known := m.warm[key]; known {
		for i, k := range m.warmOrder {
			if k == key {
				m.warmOrder = append(m.warmOrder[:i], m.warmOrder[i+1:]...)
				break
			}
		}
	} else if len(m.warmOrder) >= max(m.spec.AffinityKeys, 1) {
		delete(m.warm, m.warmOrder[0])
		m.warmOrder = m.warmOrder[1:]
	}
	m.warm[key] = m.now
	m.warmOrder = append(m.warmOrder, key)
}

// refill starts what waits while there are slots.
func (m *Model) refill() {
	for len(m.queue) > 0 && len(m.run) < m.spec.Slots {
		j := m.queue[0]
		m.queue = m.queue[1:]
		if j.Expires > 0 && m.now >= j.Expires {
			j.place, j.Ended = nowhere, m.now
			m.ended = append(m.ended, j)
			continue
		}
		m.start(j)
	}
}

// rates gives how fast one job and the work aside go on, in standard ms a second, and
// the busy share of the cores.
func (m *Model) rates() (each, aside, busy float64) {
	n := float64(len(m.run))
	if m.aside > 0 {
		n++
	}
	if n == 0 || m.now < m.paused {
		return 0, 0, 0
	}
	cores := float64(m.spec.Cores)
	held := float64(len(m.run)+len(m.queue)) / cores
	per := 1000 * m.spec.Speed * m.Ramp() * (1 - m.taken) / m.slow
	if m.spec.Thrash > 0 && m.spec.ThrashAt > 0 && held > m.spec.ThrashAt {
		per /= 1 + m.spec.Thrash*(held-m.spec.ThrashAt)/m.spec.ThrashAt
	}
	if m.choked >= 0 {
		per /= max(m.spec.Choke.Slower, 1)
	}
	each = per * min(1, cores/n)
	if m.aside > 0 {
		aside = each
	}
	return each, aside, min(n/cores, 1)
}

// Next is when something happens by itself, if nothing arrives before.
func (m *Model) Next() (time.Duration, bool) {
	if len(m.run) == 0 && len(m.queue) == 0 {
		return 0, false
	}
	return m.step(math.MaxInt64), true
}

// step is how far the present rates hold, and at most to.
func (m *Model) step(to time.Duration) time.Duration {
	each, aside, _ := m.rates()
	end := to
	until := func(left, rate float64) {
		if rate > 0 {
			// Rounded up, so that the work is done by then.
			end = min(end, m.now+time.Duration(math.Ceil(left/rate*1e9))+1)
		}
	}
	for _, j := range m.run {
		until(j.left, each)
	}
	until(m.aside, aside)
	if m.cold {
		end = min(end, m.now+coldStep)
	}
	if m.spec.PauseEvery > 0 && m.spec.PauseFor > 0 {
		if m.now < m.paused {
			end = min(end, m.paused)
		}
		end = min(end, max(m.pause, m.now+1))
	}
	if m.crowded >= 0 && m.choked < 0 {
		end = min(end, max(m.crowded+m.spec.Choke.Over, m.now+1))
	}
	if m.choked >= 0 {
		end = min(end, max(m.restFrom+m.spec.Choke.Rest, m.now+1), max(m.choked+m.spec.Choke.AtMost, m.now+1))
	}
	return end
}

// advance moves to now, from one change of the rates to the next.
func (m *Model) advance(now time.Duration) {
	for m.now < now {
		if len(m.run) == 0 && m.aside <= 0 && m.choked < 0 && m.spec.PauseEvery <= 0 {
			// Nothing goes on: the time passes at once.
			m.settle(now, 0)
			m.now = now
			break
		}
		end := m.step(now)
		each, aside, busy := m.rates()
		secs := (end - m.now).Seconds()
		for _, j := range m.run {
			j.left -= each * secs
			m.work += each * secs
		}
		m.aside = max(m.aside-aside*secs, 0)
		m.settle(end, busy)
		m.now = end
		m.finish()
		m.turn()
	}
	if m.cold && m.Ramp() >= 1 {
		m.cold, m.pressure = false, nil
	}
}

// settle books the busy share up to end.
func (m *Model) settle(end time.Duration, busy float64) {
	keep := math.Exp(-float64(end-m.now) / float64(utilOver))
	m.util = m.util*keep + busy*(1-keep)
	if m.choked >= 0 {
		m.restBusy += busy * (end - m.now).Seconds()
	}
}

// finish ends what has no work left, and starts what waits.
func (m *Model) finish() {
	kept := m.run[:0]
	for _, j := range m.run {
		if j.left > 1e-9 {
			kept = append(kept, j)
			continue
		}
		j.left, j.place, j.Ended = 0, nowhere, m.now
		m.ended = append(m.ended, j)
	}
	clear(m.run[len(kept):])
	m.run = kept
	m.refill()
	m.crowd()
}

// crowd notes since when too many are held.
func (m *Model) crowd() {
	c := &m.spec.Choke
	crowded := c.At > 0 && float64(len(m.run)+len(m.queue)) > c.At*float64(m.spec.Cores)
	switch {
	case !crowded:
		m.crowded = -1
	case m.crowded < 0:
		m.crowded = m.now
	}
}

// turn makes the changes that come by time: pauses, choking and its end.
func (m *Model) turn() {
	if m.spec.PauseEvery > 0 && m.spec.PauseFor > 0 && m.now >= m.pause {
		m.paused, m.pause = m.now+m.spec.PauseFor, m.now+m.spec.PauseEvery+m.spec.PauseFor
	}
	c := &m.spec.Choke
	if m.choked < 0 {
		if m.crowded >= 0 && m.now-m.crowded >= c.Over {
			m.choked, m.restFrom, m.restBusy = m.now, m.now, 0
			m.chokes++
		}
		return
	}
	look := m.now - m.restFrom
	rested := look >= c.Rest && m.restBusy < c.Below*look.Seconds()
	switch {
	case rested, m.now-m.choked >= c.AtMost:
		m.choked, m.crowded = -1, -1
		m.crowd()
	case look >= c.Rest:
		m.restFrom, m.restBusy = m.now, 0
	}
}
