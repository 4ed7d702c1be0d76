package server

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// runJobs adds a job at each of the given times, advances the model until all have ended, and returns them.
func runJobs(m *Model, arrivals []time.Duration, work func(i int) float64) []*Job {
	jobs := make([]*Job, len(arrivals))
	for i, at := range arrivals {
		jobs[i] = &Job{Work: work(i)}
		m.Arrive(at, jobs[i])
	}
	for {
		next, more := m.NextEvent()
		if !more {
			return jobs
		}
		m.Advance(next)
	}
}

// erlangCMeanWait returns the mean wait of an M/M/c queue by Erlang's C formula, in units of the mean
// service time.
func erlangCMeanWait(c int, load float64) float64 {
	a := load * float64(c)
	sum, term := 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= a / float64(k)
		}
		sum += term
	}
	last := term * a / float64(c) / (1 - load)
	return last / (sum + last) / (float64(c) * (1 - load))
}

// meanWait returns the mean waiting time of the jobs, in milliseconds.
func meanWait(jobs []*Job) float64 {
	total := 0.0
	for _, j := range jobs {
		total += float64(j.StartedAt-j.ArrivedAt) / float64(ms)
	}
	return total / float64(len(jobs))
}

// Under Poisson arrivals the mean waiting time agrees with Erlang's C formula for M/M/c and with the
// Pollaczek-Khinchine formula for M/D/1.
func TestWaitingTimesMatchQueueingTheory(t *testing.T) {
	const n, meanWork, speed = 400_000, 10.0, 2
	for _, queue := range []struct {
		cores     int
		load      float64
		fixedWork bool
	}{{1, 0.5, false}, {1, 0.8, false}, {3, 0.8, false}, {1, 0.5, true}, {1, 0.8, true}} {
		t.Run(fmt.Sprint(queue), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(11, 12))
			m := NewModel(Spec{Cores: queue.cores, Speed: speed, Slots: queue.cores, QueueCapacity: n}, 0, false)
			at, arrivals := 0.0, make([]time.Duration, n)
			for i := range arrivals {
				at += rng.ExpFloat64() * meanWork / speed / (queue.load * float64(queue.cores))
				arrivals[i] = time.Duration(at * float64(ms))
			}
			jobs := runJobs(m, arrivals, func(int) float64 {
				if queue.fixedWork {
					return meanWork
				}
				return rng.ExpFloat64() * meanWork
			})
			got, want := meanWait(jobs), erlangCMeanWait(queue.cores, queue.load)*meanWork/speed
			if queue.fixedWork {
				want = queue.load / (2 * (1 - queue.load)) * meanWork / speed
			}
			t.Logf("mean wait %.3f ms, theory %.3f ms", got, want)
			if math.Abs(got-want) > 0.05*want {
				t.Errorf("mean wait %.3f ms, theory %.3f ms: more than 5 %% apart", got, want)
			}
		})
	}
}

// While the queue is never empty, the work done up to a time is proportional to the integral of the warm-up
// factor from the start to this time.
func TestWarmupByTime(t *testing.T) {
	spec := Spec{Cores: 2, Speed: 1.5, Slots: 4, QueueCapacity: 1 << 20, WarmupStartFactor: 0.2, WarmupDuration: 10 * time.Second}
	m := NewModel(spec, 0, true)
	for range 4000 {
		m.Arrive(0, &Job{Work: 10})
	}
	done := 0.0
	for s := 1; s <= 12; s++ {
		for _, j := range m.Advance(time.Duration(s) * time.Second) {
			done += j.Work
		}
		x := min(float64(s), 10)
		want := 3000 * (0.2*x + 0.8*x*x/20 + float64(s) - x)
		if math.Abs(done-want) > 0.01*want+40 {
			t.Errorf("after %d s %.0f ms of work done, want %.0f by the warm-up factor", s, done, want)
		}
	}
	if m.WarmupFactor() != 1 {
		t.Errorf("warm-up factor %v after the warm-up duration, want 1", m.WarmupFactor())
	}
}

func TestWarmupByWork(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 1, Slots: 1, QueueCapacity: 100, WarmupStartFactor: 0.5, WarmupDuration: time.Hour, WarmupWork: 1000}
	m := NewModel(spec, 0, true)
	for range 20 {
		m.Arrive(0, &Job{Work: 100})
	}
	// After work w the rate is 0.5+0.5w/1000, so w(t) = 1000(e^(t/2)-1), and the server is warm at 2 ln 2 s.
	warmAt := 2 * math.Ln2 * float64(time.Second)
	m.Advance(time.Duration(0.98 * warmAt))
	if factor := m.WarmupFactor(); factor >= 1 || factor < 0.96 {
		t.Errorf("warm-up factor %.3f just before the work that ends the warm-up", factor)
	}
	m.Advance(time.Duration(1.03 * warmAt))
	if factor := m.WarmupFactor(); factor != 1 {
		t.Errorf("warm-up factor %.3f just after the work that ends the warm-up", factor)
	}
}

// overloadSpec describes a server that becomes overloaded after 2 s with more than four requests.
var overloadSpec = Spec{Cores: 1, Speed: 1, Slots: 20, QueueCapacity: 20, Overload: Overload{RequestsPerCore: 4, After: 2 * time.Second,
	Slowdown: 3, RecoveryUtilization: 0.3, RecoveryPeriod: 3 * time.Second, MaxDuration: 20 * time.Second}}

// arriveTogether adds n jobs at time 0 and returns them.
func arriveTogether(m *Model, n int, work float64) []*Job {
	jobs := make([]*Job, n)
	for i := range jobs {
		jobs[i] = &Job{Work: work}
		m.Arrive(0, jobs[i])
	}
	return jobs
}

func TestOverloadSlowsTheServerUntilItRecovers(t *testing.T) {
	m := NewModel(overloadSpec, 0, false)
	jobs := arriveTogether(m, 5, 1000)
	m.Advance(1999 * ms)
	if m.Overloaded() {
		t.Fatal("overloaded before 2 s above the threshold")
	}
	m.Advance(2001 * ms)
	if !m.Overloaded() {
		t.Fatal("not overloaded after 2 s above the threshold")
	}
	// Of 5000 ms of work 2000 are done; the rest takes 9 s at a third of the speed.
	m.Advance(12 * time.Second)
	if end := jobs[0].EndedAt; end < 10990*ms || end > 11010*ms {
		t.Errorf("the jobs ended at %v, want 11 s", end)
	}
	for now := 12 * time.Second; m.Overloaded(); now += 100 * ms {
		if m.Advance(now); now > 15*time.Second {
			t.Fatal("still overloaded after a recovery period without load")
		}
	}
}

func TestOverloadOfABusyServerEndsAfterItsMaximum(t *testing.T) {
	m := NewModel(overloadSpec, 0, false)
	arriveTogether(m, 5, 1e9)
	m.Advance(21 * time.Second)
	if !m.Overloaded() {
		t.Error("a busy server recovered before the maximum duration")
	}
	m.Advance(22*time.Second + ms)
	if m.Overloads() != 1 || m.Overloaded() {
		t.Errorf("after the maximum duration: overloaded %d times, want 1; still overloaded: %v", m.Overloads(), m.Overloaded())
	}
}

// A server crashes if the work that arrives during its warm-up exceeds the limit, and only then.
func TestCrashDuringWarmup(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 1, Slots: 2, QueueCapacity: 2, WarmupStartFactor: 0.25, WarmupDuration: 100 * time.Second,
		CrashLoadMultiple: 4, CrashWindow: time.Second, CrashSlack: 100}
	// Three quarters of the jobs come from senders that were notified of the start.
	crashUnder := func(jobsPerSecond int, cold bool) *WarmupCrash {
		m := NewModel(spec, 0, cold)
		for i := range jobsPerSecond * 3 {
			m.Arrive(time.Duration(i)*time.Second/time.Duration(jobsPerSecond), &Job{Work: 100, SenderNotified: i%4 > 0})
		}
		return m.Crash()
	}
	if crash := crashUnder(10, true); crash != nil {
		t.Errorf("crashed at 1000 ms a second, which is the limit: %+v", crash)
	}
	if crash := crashUnder(16, true); crash == nil || crash.NotifiedShare < 0.6 || crash.NotifiedShare > 0.8 {
		t.Errorf("crash at 1600 ms a second: %+v, want one with a notified share of 0.6 to 0.8", crash)
	}
	if crash := crashUnder(50, false); crash != nil {
		t.Errorf("a warm server crashed: %+v", crash)
	}
}

// A job that is still queued at its expiry ends without being started when a slot becomes free for it.
func TestQueuedJobsExpire(t *testing.T) {
	m := NewModel(Spec{Cores: 1, Speed: 1, Slots: 1, QueueCapacity: 2}, 0, false)
	for _, j := range []*Job{{Work: 100}, {Work: 10, ExpiresAt: 99 * ms}, {Work: 10, ExpiresAt: 200 * ms}} {
		m.Arrive(0, j)
	}
	var expired []bool
	for _, j := range m.Advance(time.Second) {
		expired = append(expired, j.Expired())
	}
	if want := []bool{false, true, false}; !slices.Equal(expired, want) {
		t.Errorf("Expired of the ended jobs: %v, want %v", expired, want)
	}
}
