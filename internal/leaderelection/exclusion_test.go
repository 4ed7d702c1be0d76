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

// mechanisms is a set of safety mechanisms that are disabled in a run.
type mechanisms struct {
	safetyMargin, fencing, newLeaderWait, leadershipCheck bool
}

// outcome aggregates the runs of all fault combinations.
type outcome struct {
	mu        sync.Mutex
	runs      int
	terms     int    // number of terms started in all runs
	violation string // first violation found, or empty
}

// add records one run, and reports whether any run has found a violation, so that the caller
// can stop.
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

// runAllCombinations runs all fault combinations with some mechanisms disabled, until a run
// violates an invariant.
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

// TestLeasesExcludeTwoHoldersUnderFaults checks two invariants for each combination of a
// process pause, a lost or late message, a leader change and clocks that run 5 % fast or slow:
// no two processes believe at the same time, each by its own clock, that they hold the task,
// and a resource that remembers the highest fencing token accepts no write of an older term.
// With the safety margin, the fencing, the new leader's wait or the leadership check disabled,
// one at a time, some run must violate an invariant. The environment variable EXPLORE sets the
// number of steps between the times at which a fault is tried.
func TestLeasesExcludeTwoHoldersUnderFaults(t *testing.T) {
	stride := coarseStride
	if text := os.Getenv("EXPLORE"); text != "" {
		var err error
		if stride, err = strconv.Atoi(text); err != nil || stride < 1 {
			t.Fatalf("EXPLORE is %q, want a positive number of steps", text)
		}
	}
	result := runAllCombinations(mechanisms{}, stride)
	if result.violation != "" {
		t.Fatalf("after %d runs: %s", result.runs, result.violation)
	}
	if 4*result.terms < 5*result.runs {
		t.Errorf("%d terms in %d runs, want at least 5 terms in 4 runs: the task is hardly ever transferred", result.terms, result.runs)
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
			t.Errorf("without the %s, no invariant was violated in %d runs", mechanism, result.runs)
		} else {
			t.Logf("without the %s, after %d runs: %s", mechanism, result.runs, result.violation)
		}
	}
}
