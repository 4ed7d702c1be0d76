package client

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The parameters of the arrival tests.
const (
	testAgents   = 7
	testDuration = 60 * time.Second
	testSeed     = 5
)

// expectNear fails the test unless got differs from want by at most maxRelativeError.
func expectNear(t *testing.T, what string, got, want, maxRelativeError float64) {
	t.Helper()
	if math.Abs(got-want) > maxRelativeError*want {
		t.Errorf("%s: %.4g, want %.4g", what, got, want)
	}
}

// The seed alone determines the arrivals.
func TestSeedDeterminesArrivals(t *testing.T) {
	l := testLoad()
	first := DrawArrivals(l, testAgents, testDuration, nil, testSeed)
	if !reflect.DeepEqual(first, DrawArrivals(l, testAgents, testDuration, nil, testSeed)) {
		t.Error("the same seed yields different arrivals")
	}
	if reflect.DeepEqual(first, DrawArrivals(l, testAgents, testDuration, nil, testSeed+1)) {
		t.Error("different seeds yield the same arrivals")
	}
}

// Arrivals follow the distributions that the load specifies.
func TestArrivalsFollowTheLoad(t *testing.T) {
	arrivals := slices.Concat(DrawArrivals(testLoad(), testAgents, testDuration, nil, testSeed)...)
	expectNear(t, "arrivals", float64(len(arrivals)), 120_000, 0.02)
	var work, count [2]float64 // by class
	mostPopular := 0.0
	for i := range arrivals {
		a := &arrivals[i]
		work[a.Class] += a.Work
		count[a.Class]++
		if a.Key == 1 {
			mostPopular++
		}
		if a.AttemptTimeout < 500*time.Millisecond || a.AttemptTimeout > time.Second || a.CancelAfter > a.AttemptTimeout || a.At < 0 || a.At >= testDuration {
			t.Fatalf("arrival out of its bounds: %+v", a)
		}
	}
	expectNear(t, "share of a class", count[0]/count[1], 3, 0.05)
	expectNear(t, "mean work, exponential", work[0]/count[0], 10, 0.03)
	expectNear(t, "mean work, lognormal", work[1]/count[1], 20, 0.05)
	harmonic := 0.0
	for rank := 1; rank <= 1000; rank++ {
		harmonic += 1 / float64(rank)
	}
	expectNear(t, "share of the most popular key", mostPopular/float64(len(arrivals)), 1/harmonic, 0.05)
}

// The agents have different shares of the load, and each agent's arrivals are in order.
func TestArrivalsByAgent(t *testing.T) {
	byAgent := DrawArrivals(testLoad(), testAgents, testDuration, nil, testSeed)
	byCount := func(a, b []Arrival) int { return len(a) - len(b) }
	if least, most := len(slices.MinFunc(byAgent, byCount)), len(slices.MaxFunc(byAgent, byCount)); most < least*3/2 {
		t.Errorf("agents with uneven shares have %d to %d arrivals, want a maximum of at least 1.5 times the minimum", least, most)
	}
	for i := range byAgent {
		if !slices.IsSortedFunc(byAgent[i], func(x, y Arrival) int { return int(x.At - y.At) }) {
			t.Error("arrivals out of order")
		}
	}
}

// A load change affects the arrivals within its time span, and leaves the distribution of the others
// unchanged.
func TestLoadChangeAffectsOnlyItsTime(t *testing.T) {
	const from, to = 20 * time.Second, 40 * time.Second
	changes := []LoadChange{{From: from, To: to, Factor: 2}, {From: from, To: to, Class: "a", HeavyShare: 0.1, WorkFactor: 50}}
	arrivals := slices.Concat(DrawArrivals(testLoad(), testAgents, testDuration, changes, testSeed)...)
	within, heavy := 0.0, 0.0
	for _, a := range arrivals {
		if a.At >= from && a.At < to {
			within++
			if a.Class == 0 && a.Work > 150 { // exceeded by only e^-15 of the regular requests
				heavy++
			}
		}
	}
	expectNear(t, "arrivals in a burst", within, 80_000, 0.03)
	expectNear(t, "arrivals outside of it", float64(len(arrivals))-within, 80_000, 0.03)
	expectNear(t, "heavy arrivals", heavy, 80_000*0.75*0.1*math.Exp(-150.0/500), 0.1)
}

// The weights of any number of agents add up to 1.
func TestAgentWeightsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Load{AgentCV: rapid.Float64Range(0, 3).Draw(t, "cv")}
		sum := 0.0
		for _, w := range AgentWeights(l, rapid.IntRange(1, 300).Draw(t, "agents"), rapid.Uint64().Draw(t, "seed")) {
			if w <= 0 {
				t.Fatal("an agent has no share of the load")
			}
			sum += w
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("weights add up to %v", sum)
		}
	})
}

// The rate rises from the start of a load change, falls back before its end, and is unchanged outside of it.
func TestRateRampsUpAndDown(t *testing.T) {
	change := LoadChange{From: 10 * time.Second, To: 30 * time.Second, Factor: 3, RampTime: 4 * time.Second}
	for at, want := range map[time.Duration]float64{
		9 * time.Second: 1, 10 * time.Second: 1, 12 * time.Second: 2, 14 * time.Second: 3,
		26 * time.Second: 3, 28 * time.Second: 2, 30 * time.Second: 1,
	} {
		if got := change.rateFactor(at); got != want {
			t.Errorf("rate factor %v after %v, want %v", got, at, want)
		}
	}
}
