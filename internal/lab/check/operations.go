package check

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Operation is what a process does under a duty, at a place that looks at the fence.
type Operation struct {
	Task    string        `json:"duty"`
	Process string        `json:"process"`
	Fence   int64         `json:"fence"`
	Mono    time.Duration `json:"mono"` // the machine's one monotonic clock, when the process last saw that it may act
}

const (
	maxTasks          = 10_000 // that a place remembers
	maxTerms          = 200_000
	maxOperationBytes = 4 << 10 // bytes of an act
)

// OperationLog is a place where acts land. It keeps the highest fence of each duty and refuses
// lower ones, and remembers the acts that it took, to judge them.
type OperationLog struct {
	mu            sync.Mutex
	highestFence  map[string]int64
	terms         map[string]map[int64]*term
	lastOperation map[string]Operation
	retainedTerms int
	rejected      int
}

// term is the time from the first act of a term to its last.
type term struct {
	process      string
	otherProcess string // another process that acted under the same fence
	first, last  time.Duration
}

// NewOperationLog makes a place at which nothing has been done.
func NewOperationLog() *OperationLog {
	return &OperationLog{highestFence: map[string]int64{}, terms: map[string]map[int64]*term{}, lastOperation: map[string]Operation{}}
}

// Record takes an act, or refuses it for its fence.
func (a *OperationLog) Record(act Operation) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	high, known := a.highestFence[act.Task]
	switch {
	case act.Task == "" || act.Process == "" || act.Fence <= 0:
		return fmt.Errorf("duty, process, fence: missing")
	case !known && len(a.highestFence) >= maxTasks || a.retainedTerms >= maxTerms:
		return fmt.Errorf("no room for more")
	case act.Fence < high:
		a.rejected++
		return fmt.Errorf("fenced: %d is older than %d", act.Fence, high)
	}
	a.highestFence[act.Task], a.lastOperation[act.Task] = act.Fence, act
	if a.terms[act.Task] == nil {
		a.terms[act.Task] = map[int64]*term{}
	}
	s := a.terms[act.Task][act.Fence]
	if s == nil {
		a.retainedTerms++
		s = &term{process: act.Process, first: act.Mono, last: act.Mono}
		a.terms[act.Task][act.Fence] = s
	}
	if s.process != act.Process {
		s.otherProcess = act.Process
	}
	s.first, s.last = min(s.first, act.Mono), max(s.last, act.Mono)
	return nil
}

// Last is the last act under a duty that was taken.
func (a *OperationLog) Last(duty string) Operation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastOperation[duty]
}

// Analysis is what the acts show.
type Analysis struct {
	Violations   []string      // acts of two terms at one time, or of two processes in one
	Terms        int           // of all duties
	Rejected     int           // acts, for their fence
	Idle         time.Duration // between one term's last act and the next one's first, over all duties
	Total        time.Duration // from each duty's first act to its last
	HandoverGaps []time.Duration
}

// Analyze looks at all that was taken.
func (a *OperationLog) Analyze() (analysis Analysis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	analysis.Rejected = a.rejected
	for duty, terms := range a.terms {
		var fences []int64
		for fence, current := range terms {
			fences = append(fences, fence)
			if current.otherProcess != "" {
				analysis.Violations = append(analysis.Violations, fmt.Sprintf("%s: fence %d was %s's and %s's", duty, fence, current.process, current.otherProcess))
			}
		}
		slices.Sort(fences)
		for i, fence := range fences[1:] {
			previous, next := terms[fences[i]], terms[fence]
			if next.first <= previous.last {
				analysis.Violations = append(analysis.Violations, fmt.Sprintf("%s: %s acted under fence %d until %v, %s under %d from %v on",
					duty, previous.process, fences[i], previous.last, next.process, fence, next.first))
			}
			analysis.HandoverGaps = append(analysis.HandoverGaps, next.first-previous.last)
			analysis.Idle += next.first - previous.last
		}
		analysis.Terms += len(fences)
		analysis.Total += terms[fences[len(fences)-1]].last - terms[fences[0]].first
	}
	return analysis
}

// ServeHTTP takes an act as JSON.
func (a *OperationLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOperationBytes))
	var act Operation
	if err == nil {
		err = json.Unmarshal(text, &act)
	}
	if err != nil {
		http.Error(w, "act: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Record(act); err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	}
}
