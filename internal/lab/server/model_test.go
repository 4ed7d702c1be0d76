package server

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// play hands in jobs at their times and returns all of them, ended.
func play(m *Model, arrivals []time.Duration, work func(i int) float64) []*Job {
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

// erlangWait is the mean wait of an M/M/c queue, in units of the mean service time.
func erlangWait(c int, load float64) float64 {
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

// The waiting times of one server under Poisson load are the known ones: Erlang's C
// formula for M/M/c, Pollaczek and Khinchine's for M/D/1.
func TestKnownQueues(t *testing.T) {
	const n, mean = 400_000, 10.0
	for _, q := range []struct {
		cores int
		load  float64
		fixed bool
	}{{1, 0.5, false}, {1, 0.8, false}, {3, 0.8, false}, {1, 0.5, true}, {1, 0.8, true}} {
		t.Run(fmt.Sprint(q), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(11, 12))
			m := NewModel(Spec{Cores: q.cores, Speed: 2, Slots: q.cores, QueueCapacity: n}, 0, false)
			at, arrivals := 0.0, make([]time.Duration, n)
			for i := range arrivals {
				at += rng.ExpFloat64() * mean / 2 / (q.load * float64(q.cores))
				arrivals[i] = time.Duration(at * float64(ms))
			}
			jobs := play(m, arrivals, func(int) float64 {
				if q.fixed {
					return mean
				}
				return rng.ExpFloat64() * mean
			})
			waited := 0.0
			for _, j := range jobs {
				waited += float64(j.StartedAt-j.ArrivedAt) / float64(ms)
			}
			got, want := waited/n, erlangWait(q.cores, q.load)*mean/2
			if q.fixed {
				want = q.load / (2 * (1 - q.load)) * mean / 2
			}
			t.Logf("mean wait %.3f ms, known %.3f ms", got, want)
			if math.Abs(got-want) > 0.05*want {
				t.Errorf("mean wait %.3f ms, known %.3f ms: more than 5 %% apart", got, want)
			}
		})
	}
}

// A cold server does what its ramp says: with work always waiting, the work done by a
// time is the integral of the ramp up to it.
func TestColdRamp(t *testing.T) {
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
			t.Errorf("after %d s %.0f ms of work done, the ramp says %.0f", s, done, want)
		}
	}
	if m.WarmupFactor() != 1 {
		t.Errorf("ramp %v after its time", m.WarmupFactor())
	}
	byWork := NewModel(Spec{Cores: 1, Speed: 1, Slots: 1, QueueCapacity: 100, WarmupStartFactor: 0.5, WarmupDuration: time.Hour, WarmupWork: 1000}, 0, true)
	for range 20 {
		byWork.Arrive(0, &Job{Work: 100})
	}
	// With work w done the rate is 0.5+0.5w/1000, so w(t) = 1000(e^(t/2)-1): warm at 2 ln 2 s.
	warm := 2 * math.Ln2 * float64(time.Second)
	byWork.Advance(time.Duration(0.98 * warm))
	if r := byWork.WarmupFactor(); r >= 1 || r < 0.96 {
		t.Errorf("ramp %.3f just before the work that warms it", r)
	}
	byWork.Advance(time.Duration(1.03 * warm))
	if r := byWork.WarmupFactor(); r != 1 {
		t.Errorf("ramp %.3f just after the work that warms it", r)
	}
}

// A crowded server turns slower after its time, no sooner, and is itself again after a
// rest or, at the latest, after the longest time.
func TestChoke(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 1, Slots: 20, QueueCapacity: 20, Overload: Overload{RequestsPerCore: 4, After: 2 * time.Second,
		Slowdown: 3, RecoveryUtilization: 0.3, RecoveryPeriod: 3 * time.Second, MaxDuration: 20 * time.Second}}
	m := NewModel(spec, 0, false)
	jobs := make([]*Job, 5)
	for i := range jobs {
		jobs[i] = &Job{Work: 1000}
		m.Arrive(0, jobs[i])
	}
	m.Advance(1999 * ms)
	if m.Overloaded() {
		t.Fatal("choked before its time")
	}
	m.Advance(2001 * ms)
	if !m.Overloaded() {
		t.Fatal("not choked after 2 s of crowd")
	}
	// 5000 ms of work: 2000 done, the rest at a third of the speed takes 9 s.
	m.Advance(12 * time.Second)
	if end := jobs[0].EndedAt; end < 10990*ms || end > 11010*ms {
		t.Errorf("crowded jobs ended at %v, want 11 s", end)
	}
	for now := 12 * time.Second; m.Overloaded(); now += 100 * ms {
		if m.Advance(now); now > 15*time.Second {
			t.Fatal("still choked after a rest")
		}
	}
	busy := NewModel(spec, 0, false)
	for range 5 {
		busy.Arrive(0, &Job{Work: 1e9})
	}
	busy.Advance(21 * time.Second)
	if !busy.Overloaded() {
		t.Error("a busy server is itself again without a rest")
	}
	busy.Advance(22*time.Second + ms)
	if busy.Overloads() != 1 || busy.Overloaded() {
		t.Errorf("choked %d times, still %v, after the longest time", busy.Overloads(), busy.Overloaded())
	}
}

// The fourth rule: a cold server goes down when more than its budget comes, and only then.
func TestFall(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 1, Slots: 2, QueueCapacity: 2, WarmupStartFactor: 0.25, WarmupDuration: 100 * time.Second,
		CrashLoadMultiple: 4, CrashWindow: time.Second, CrashSlack: 100}
	push := func(perSecond int, cold bool) *WarmupCrash {
		m := NewModel(spec, 0, cold)
		for i := range perSecond * 3 {
			m.Arrive(time.Duration(i)*time.Second/time.Duration(perSecond), &Job{Work: 100, SenderNotified: i%4 > 0})
		}
		return m.Crash()
	}
	if f := push(10, true); f != nil {
		t.Errorf("fell under 1000 ms a second, which is its budget: %+v", f)
	}
	if f := push(16, true); f == nil || f.NotifiedShare < 0.6 || f.NotifiedShare > 0.8 {
		t.Errorf("stood, or was told wrongly, under 1600 ms a second: %+v", f)
	}
	if f := push(50, false); f != nil {
		t.Errorf("a warm server fell: %+v", f)
	}
}

// Whatever comes, no job is done sooner than its work takes on an idle machine, none is
// lost, and the work done never exceeds what the cores can do.
func TestModelKeepsItsBooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{Cores: rapid.IntRange(1, 3).Draw(t, "cores"), Speed: 2, Slots: rapid.IntRange(1, 6).Draw(t, "slots"),
			QueueCapacity: rapid.IntRange(0, 8).Draw(t, "queue"), ThrashFactor: 0.2, ThrashThreshold: 3, PauseInterval: 300 * ms, PauseDuration: 30 * ms,
			AffinityGain: 0.5, AffinityTTL: time.Second, AffinityKeys: 3,
			Overload: Overload{RequestsPerCore: 3, After: 100 * ms, Slowdown: 2, RecoveryUtilization: 0.3, RecoveryPeriod: 200 * ms, MaxDuration: time.Second}}
		m := NewModel(spec, 0, rapid.Bool().Draw(t, "cold"))
		now, in, cancelled, ended, done := time.Duration(0), map[*Job]bool{}, 0, 0, 0.0
		take := func(jobs []*Job) {
			for _, j := range jobs {
				if !in[j] {
					t.Fatal("ended twice, or never taken")
				}
				delete(in, j)
				ended++
				if j.Expired() {
					continue
				}
				least := time.Duration(j.Work * 0.5 / 2 * float64(ms))
				if j.EndedAt-j.StartedAt < least {
					t.Fatalf("%v ms of work done in %v", j.Work, j.EndedAt-j.StartedAt)
				}
				done += j.Work * 0.5
			}
		}
		taken, order := 0, []*Job(nil)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if len(order) == 0 {
					break
				}
				j := order[rapid.IntRange(0, len(order)-1).Draw(t, "which")]
				if m.Cancel(now, j); in[j] && j.EndedAt == 0 {
					delete(in, j)
					cancelled++
				}
			case 1:
				m.SetNeighbourShare(now, rapid.Float64Range(0, 0.8).Draw(t, "part"))
			case 2:
				m.AddOverhead(now, 5)
			default:
				j := &Job{Work: rapid.Float64Range(1, 100).Draw(t, "work"), Key: uint64(rapid.IntRange(0, 5).Draw(t, "key")),
					ExpiresAt: now + time.Duration(rapid.IntRange(0, 400).Draw(t, "expires"))*ms}
				if m.Arrive(now, j) == Admitted {
					in[j], order = true, append(order, j)
					taken++
				}
			}
			take(m.Advance(now))
			if all, _ := m.InFlight(); all != len(in) {
				t.Fatalf("holds %d, of the taken %d have not ended", all, len(in))
			}
		}
		for range 10000 {
			next, more := m.NextEvent()
			if !more {
				break
			}
			take(m.Advance(next))
			now = next
		}
		if len(in) > 0 || ended+cancelled != taken {
			t.Fatalf("%d taken, %d ended, %d cancelled, %d left", taken, ended, cancelled, len(in))
		}
		if most := now.Seconds() * 1000 * float64(spec.Cores) * 2; done > most+1 {
			t.Fatalf("%.0f ms of work done, the cores can do %.0f", done, most)
		}
	})
}
