package server

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	invariantSpeed = 2
	// invariantAffinityGain is the share of a job's work that a recently used key saves.
	invariantAffinityGain = 0.5
	// maxInvariantEvents bounds the number of events between the last operation and the end of the last job.
	maxInvariantEvents = 10_000
)

// modelRun applies random operations to a model and tracks the jobs.
type modelRun struct {
	t     *rapid.T
	spec  Spec
	model *Model
	now   time.Duration

	admitted  []*Job        // admitted jobs in the order of arrival
	inFlight  map[*Job]bool // admitted jobs that have neither ended nor been canceled
	canceled  int
	ended     int
	leastWork float64 // least possible work of the ended jobs, if each saved the affinity gain
}

func newModelRun(t *rapid.T) *modelRun {
	spec := Spec{
		Cores:         rapid.IntRange(1, 3).Draw(t, "cores"),
		Speed:         invariantSpeed,
		Slots:         rapid.IntRange(1, 6).Draw(t, "slots"),
		QueueCapacity: rapid.IntRange(0, 8).Draw(t, "queue"),
		ThrashFactor:  0.2, ThrashThreshold: 3,
		PauseInterval: 300 * ms, PauseDuration: 30 * ms,
		AffinityGain: invariantAffinityGain, AffinityTTL: time.Second, AffinityKeys: 3,
		Overload: Overload{RequestsPerCore: 3, After: 100 * ms, Slowdown: 2, RecoveryUtilization: 0.3,
			RecoveryPeriod: 200 * ms, MaxDuration: time.Second},
	}
	model := NewModel(spec, 0, rapid.Bool().Draw(t, "cold"))
	return &modelRun{t: t, spec: spec, model: model, inFlight: map[*Job]bool{}}
}

// step applies a random operation after a random time, and checks the number of jobs in flight after it.
func (r *modelRun) step() {
	r.now += time.Duration(rapid.IntRange(0, 80).Draw(r.t, "ms")) * ms
	switch rapid.IntRange(0, 9).Draw(r.t, "operation") {
	case 0:
		r.cancelJob()
	case 1:
		r.model.SetNeighbourShare(r.now, rapid.Float64Range(0, 0.8).Draw(r.t, "share"))
	case 2:
		r.model.AddOverhead(r.now, 5)
	default:
		r.addJob()
	}
	r.endJobs(r.model.Advance(r.now))
	if total, _ := r.model.InFlight(); total != len(r.inFlight) {
		r.t.Fatalf("the model has %d jobs in flight, want %d", total, len(r.inFlight))
	}
}

// cancelJob cancels one of the admitted jobs, which may have ended already.
func (r *modelRun) cancelJob() {
	if len(r.admitted) == 0 {
		return
	}
	j := r.admitted[rapid.IntRange(0, len(r.admitted)-1).Draw(r.t, "which")]
	r.model.Cancel(r.now, j)
	if r.inFlight[j] && j.EndedAt == 0 {
		delete(r.inFlight, j)
		r.canceled++
	}
}

func (r *modelRun) addJob() {
	j := &Job{
		Work:      rapid.Float64Range(1, 100).Draw(r.t, "work"),
		Key:       uint64(rapid.IntRange(0, 5).Draw(r.t, "key")),
		ExpiresAt: r.now + time.Duration(rapid.IntRange(0, 400).Draw(r.t, "expires"))*ms,
	}
	if r.model.Arrive(r.now, j) == Admitted {
		r.inFlight[j] = true
		r.admitted = append(r.admitted, j)
	}
}

// endJobs checks that each job was in flight and took at least the shortest possible time.
func (r *modelRun) endJobs(jobs []*Job) {
	for _, j := range jobs {
		if !r.inFlight[j] {
			r.t.Fatal("a job ended twice or was never admitted")
		}
		delete(r.inFlight, j)
		r.ended++
		if j.Expired() {
			continue
		}
		leastWork := j.Work * (1 - invariantAffinityGain)
		if took := j.EndedAt - j.StartedAt; took < time.Duration(leastWork/invariantSpeed*float64(ms)) {
			r.t.Fatalf("%v ms of work done in %v", j.Work, took)
		}
		r.leastWork += leastWork
	}
}

// finish advances the model until no jobs are left, for at most maxInvariantEvents events.
func (r *modelRun) finish() {
	for range maxInvariantEvents {
		next, ok := r.model.NextEvent()
		if !ok {
			return
		}
		r.endJobs(r.model.Advance(next))
		r.now = next
	}
}

// Under any operations no job ends earlier than it would on an idle machine, no job is lost, and the work
// done does not exceed the capacity of the cores.
func TestModelInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newModelRun(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.step()
		}
		run.finish()
		if len(run.inFlight) > 0 || run.ended+run.canceled != len(run.admitted) {
			t.Fatalf("%d admitted, %d ended, %d canceled, %d still in flight", len(run.admitted), run.ended, run.canceled, len(run.inFlight))
		}
		capacity := run.now.Seconds() * 1000 * float64(run.spec.Cores) * invariantSpeed
		if run.leastWork > capacity+1 {
			t.Fatalf("%.0f ms of work done, the capacity of the cores is %.0f", run.leastWork, capacity)
		}
	})
}
