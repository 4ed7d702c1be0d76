package soak

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/lab/experiment"
)

// Every seed draws a valid experiment. The same seed always draws the same experiment, and different seeds draw
// different experiments.
func TestDrawnExperimentsAreValid(t *testing.T) {
	texts := map[string]uint64{}
	for seed := range uint64(300) {
		for _, duration := range []time.Duration{MinDuration, time.Minute} {
			e := Draw(seed, duration)
			if _, err := experiment.Parse([]byte(e.Text())); err != nil {
				t.Fatalf("seed %d for %v: %v in\n%s", seed, duration, err, e.Text())
			}
			if again := Draw(seed, duration).Text(); again != e.Text() {
				t.Fatalf("seed %d for %v draws a different experiment the second time", seed, duration)
			}
			text := strings.ReplaceAll(e.Text(), e.Name, "")
			if other, known := texts[text]; known {
				t.Errorf("seeds %d and %d draw the same experiment", seed, other)
			}
			texts[text] = seed
		}
	}
}

// An experiment without one of its faults is valid and keeps the other faults.
func TestWithoutDropsOneFault(t *testing.T) {
	e := Draw(1, time.Minute)
	for i := range e.Faults {
		smaller := e.Without(i)
		if _, err := experiment.Parse([]byte(smaller.Text())); err != nil {
			t.Fatal(err)
		}
		if len(smaller.Faults) != len(e.Faults)-1 || strings.Contains(smaller.Text(), `"`+e.Faults[i].Name+`"`) {
			t.Errorf("without %s: %d faults of %d", e.Faults[i].Name, len(smaller.Faults), len(e.Faults))
		}
	}
}

// Of the seeds that CI runs, at least two draw repeated answers and at least one draws a flood of idle
// connections together with signals.
func TestSeedsOfCIDrawRareFaults(t *testing.T) {
	const lastSeed, duration = 9, 20 * time.Second // as in .ci/run
	repeated, floods := 0, 0
	for seed := uint64(1); seed <= lastSeed; seed++ {
		text := Draw(seed, duration).Text()
		if strings.Contains(text, `kind = "repeated"`) {
			repeated++
		}
		if floodBesideSignals.MatchString(text) {
			floods++
		}
	}
	if repeated < 2 || floods < 1 {
		t.Errorf("%d of the seeds repeat answers and %d have a flood together with signals, want at least 2 and 1", repeated, floods)
	}
}

// floodBesideSignals matches a flood that is drawn together with a series of signals: the two faults are
// adjacent in the file.
var floodBesideSignals = regexp.MustCompile(`kind = "flood".*\n.*\n.*\n.*\n.*\n\[\[fault\]\]\n.*\nkind = "signals"`)
