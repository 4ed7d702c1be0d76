package leaderelection

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
)

// mechanisms is a set of safety mechanisms: those that a run goes without.
type mechanisms struct {
	safetyMargin, fencing, newLeaderWait, leadershipCheck bool
}

// outcome sums up the runs of all combinations.
type outcome struct {
	mu        sync.Mutex
	runs      int
	terms     int    // that were started in all runs
	violation string // the first one
}

// add counts one run, and reports whether a violation is known, so that no further run is
// needed.
func (o *outcome) add(s *simulation, violation string, f faults) (stop bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs, o.terms = o.runs+1, o.terms+s.termsStarted
	if violation != "" && o.violation == "" {
		o.violation = fmt.Sprintf("%s, with %+v", violation, f)
	}
	return o.violation != ""
}

func (o *outcome) violated() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violation != ""
}

// runAllCombinations runs all combinations without some mechanisms, until one violates a
// promise.
func runAllCombinations(disabled mechanisms, stride int) *outcome {
	var result outcome
	var workers sync.WaitGroup
	batches := make(chan []faults, 64)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for batch := range batches {
				for _, f := range batch {
					s := newSimulation(f, disabled)
					if result.add(s, s.run(), f) {
						break
					}
				}
			}
		})
	}
	for batch := range slices.Chunk(faultCombinations(stride), runsPerBatch) {
		batches <- batch
		if result.violated() {
			break
		}
	}
	close(batches)
	workers.Wait()
	return &result
}

// TestLeasesExcludeTwoHoldersUnderFaults shows that, for each combination of a pause, a lost
// or late message, a change of leaders and clocks that are 5 % off, no two processes believe
// that they hold the task, each by its own clock, and that a resource which keeps the highest
// fencing token accepts no write of an older term. Without the safety margin, the fencing,
// the new leader's wait or the check of leadership, one at a time, that is violated. The
// environment variable EXPLORE sets the steps between the times that are tried.
func TestLeasesExcludeTwoHoldersUnderFaults(t *testing.T) {
	stride := coarseStride
	if text := os.Getenv("EXPLORE"); text != "" {
		var err error
		if stride, err = strconv.Atoi(text); err != nil || stride < 1 {
			t.Fatalf("EXPLORE: no number of steps: %q", text)
		}
	}
	result := runAllCombinations(mechanisms{}, stride)
	if result.violation != "" {
		t.Fatalf("after %d runs: %s", result.runs, result.violation)
	}
	if 4*result.terms < 5*result.runs {
		t.Errorf("%d terms in %d runs: the task is hardly ever transferred", result.terms, result.runs)
	}
	t.Logf("%d runs, %d terms", result.runs, result.terms)
	for mechanism, disabled := range map[string]mechanisms{
		"safety margin":       {safetyMargin: true},
		"fencing":             {fencing: true},
		"new leader's wait":   {newLeaderWait: true},
		"check of leadership": {leadershipCheck: true},
	} {
		result := runAllCombinations(disabled, stride)
		if result.violation == "" {
			t.Errorf("without the %s nothing was violated in %d runs", mechanism, result.runs)
		} else {
			t.Logf("without the %s, after %d runs: %s", mechanism, result.runs, result.violation)
		}
	}
}
