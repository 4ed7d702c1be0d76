package check

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Operation is an operation that a process performs under a leased task, at a server that checks the
// fencing token.
type Operation struct {
	Task    string        `json:"duty"`
	Process string        `json:"process"`
	Fence   int64         `json:"fence"`
	Mono    time.Duration `json:"mono"` // machine's monotonic clock when the process last verified that its lease was valid
}

const (
	maxTasks          = 10_000  // highest number of tasks in an OperationLog
	maxTerms          = 200_000 // highest number of terms in an OperationLog, over all tasks
	maxOperationBytes = 4 << 10 // highest size of an operation encoded as JSON
)

// Errors returned by OperationLog.Record.
var (
	ErrIncompleteOperation = errors.New("duty, process, fence: missing")
	ErrOperationLogFull    = errors.New("no room for more")
)

// FencedError is the error of an operation whose fencing token is older than one already used.
type FencedError struct{ Fence, Highest int64 }

// Error names the rejected token and the highest token used before.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fenced: %d is older than %d", e.Fence, e.Highest)
}

// OperationLog accepts operations under leased tasks. It rejects those with a fencing token lower
// than the highest of the task, and records the terms of the others for Analyze. It is safe for
// concurrent use.
type OperationLog struct {
	mu            sync.Mutex
	highestFence  map[string]int64           // by task
	terms         map[string]map[int64]*term // by task and fencing token
	lastOperation map[string]Operation       // by task
	termCount     int
	rejected      int
}

// term is the time from the first to the last operation under one fencing token.
type term struct {
	process      string
	otherProcess string // a second process that used the term's token; "": none
	first, last  time.Duration
}

// NewOperationLog returns an empty log.
func NewOperationLog() *OperationLog {
	return &OperationLog{highestFence: map[string]int64{}, terms: map[string]map[int64]*term{}, lastOperation: map[string]Operation{}}
}

// Record accepts an operation. It returns ErrIncompleteOperation, ErrOperationLogFull, or a
// *FencedError if the task has a newer fencing token.
func (l *OperationLog) Record(operation Operation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	highest, known := l.highestFence[operation.Task]
	switch {
	case operation.Task == "" || operation.Process == "" || operation.Fence <= 0:
		return ErrIncompleteOperation
	case !known && len(l.highestFence) >= maxTasks || l.termCount >= maxTerms:
		return ErrOperationLogFull
	case operation.Fence < highest:
		l.rejected++
		return &FencedError{Fence: operation.Fence, Highest: highest}
	}
	l.highestFence[operation.Task], l.lastOperation[operation.Task] = operation.Fence, operation
	t := l.termOf(operation)
	if t.process != operation.Process {
		t.otherProcess = operation.Process
	}
	t.first, t.last = min(t.first, operation.Mono), max(t.last, operation.Mono)
	return nil
}

// termOf returns the term of an operation, and adds one for a new fencing token. The caller holds l.mu.
func (l *OperationLog) termOf(operation Operation) *term {
	terms := l.terms[operation.Task]
	if terms == nil {
		terms = map[int64]*term{}
		l.terms[operation.Task] = terms
	}
	t := terms[operation.Fence]
	if t == nil {
		l.termCount++
		t = &term{process: operation.Process, first: operation.Mono, last: operation.Mono}
		terms[operation.Fence] = t
	}
	return t
}

// Last returns the last operation accepted under a task, or an empty one if there is none.
func (l *OperationLog) Last(task string) Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastOperation[task]
}

// Analysis summarizes the accepted operations of all tasks.
type Analysis struct {
	Violations   []string        // overlapping terms, and tokens used by two processes
	Terms        int             // number of terms, over all tasks
	Rejected     int             // operations rejected for their fencing token
	Idle         time.Duration   // sum of HandoverGaps
	Total        time.Duration   // time from the first to the last operation of a task, summed over all tasks
	HandoverGaps []time.Duration // time from a term's last operation to the next term's first; negative if the terms overlap
}

// Analyze analyzes the operations accepted so far.
func (l *OperationLog) Analyze() Analysis {
	l.mu.Lock()
	defer l.mu.Unlock()
	analysis := Analysis{Rejected: l.rejected}
	for task, terms := range l.terms {
		analysis.addTask(task, terms)
	}
	return analysis
}

// addTask adds the terms of one task, of which there is at least one.
func (v *Analysis) addTask(task string, terms map[int64]*term) {
	var fences []int64
	for fence, t := range terms {
		fences = append(fences, fence)
		if t.otherProcess != "" {
			v.Violations = append(v.Violations, fmt.Sprintf("%s: fence %d was %s's and %s's", task, fence, t.process, t.otherProcess))
		}
	}
	slices.Sort(fences)
	for i, fence := range fences[1:] {
		previous, next := terms[fences[i]], terms[fence]
		if next.first <= previous.last {
			v.Violations = append(v.Violations, fmt.Sprintf("%s: %s acted under fence %d until %v, %s under %d from %v on",
				task, previous.process, fences[i], previous.last, next.process, fence, next.first))
		}
		gap := next.first - previous.last
		v.HandoverGaps = append(v.HandoverGaps, gap)
		v.Idle += gap
	}
	v.Terms += len(fences)
	v.Total += terms[fences[len(fences)-1]].last - terms[fences[0]].first
}

// ServeHTTP accepts an operation as JSON. It answers 400 if the JSON is invalid, and 412 if the operation
// is not accepted.
func (l *OperationLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOperationBytes))
	var operation Operation
	if err == nil {
		err = json.Unmarshal(text, &operation)
	}
	if err != nil {
		http.Error(w, "act: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := l.Record(operation); err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	}
}
