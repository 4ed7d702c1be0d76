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

// Act is what a process does under a duty, at a place that looks at the fence.
type Act struct {
	Duty    string        `json:"duty"`
	Process string        `json:"process"`
	Fence   int64         `json:"fence"`
	Mono    time.Duration `json:"mono"` // the machine's one monotonic clock, when the process last saw that it may act
}

const (
	mostDuties = 10_000 // that a place remembers
	mostActs   = 200_000
	mostAct    = 4 << 10 // bytes of an act
)

// Acts is a place where acts land. It keeps the highest fence of each duty and refuses
// lower ones, and remembers the acts that it took, to judge them.
type Acts struct {
	mu      sync.Mutex
	highest map[string]int64
	spans   map[string]map[int64]*actSpan
	last    map[string]Act
	kept    int
	refused int
}

// actSpan is the time from the first act of a term to its last.
type actSpan struct {
	process  string
	also     string // another process that acted under the same fence
	from, to time.Duration
}

// NewActs makes a place at which nothing has been done.
func NewActs() *Acts {
	return &Acts{highest: map[string]int64{}, spans: map[string]map[int64]*actSpan{}, last: map[string]Act{}}
}

// Take takes an act, or refuses it for its fence.
func (a *Acts) Take(act Act) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	high, known := a.highest[act.Duty]
	switch {
	case act.Duty == "" || act.Process == "" || act.Fence <= 0:
		return fmt.Errorf("duty, process, fence: missing")
	case !known && len(a.highest) >= mostDuties || a.kept >= mostActs:
		return fmt.Errorf("no room for more")
	case act.Fence < high:
		a.refused++
		return fmt.Errorf("fenced: %d is older than %d", act.Fence, high)
	}
	a.highest[act.Duty], a.last[act.Duty] = act.Fence, act
	if a.spans[act.Duty] == nil {
		a.spans[act.Duty] = map[int64]*actSpan{}
	}
	s := a.spans[act.Duty][act.Fence]
	if s == nil {
		a.kept++
		s = &actSpan{process: act.Process, from: act.Mono, to: act.Mono}
		a.spans[act.Duty][act.Fence] = s
	}
	if s.process != act.Process {
		s.also = act.Process
	}
	s.from, s.to = min(s.from, act.Mono), max(s.to, act.Mono)
	return nil
}

// Last is the last act under a duty that was taken.
func (a *Acts) Last(duty string) Act {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last[duty]
}

// Verdict is what the acts show.
type Verdict struct {
	Broke   []string      // acts of two terms at one time, or of two processes in one
	Terms   int           // of all duties
	Refused int           // acts, for their fence
	Idle    time.Duration // between one term's last act and the next one's first, over all duties
	All     time.Duration // from each duty's first act to its last
	Gaps    []time.Duration
}

// Judge looks at all that was taken.
func (a *Acts) Judge() (v Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v.Refused = a.refused
	for duty, by := range a.spans {
		var fences []int64
		for f, s := range by {
			fences = append(fences, f)
			if s.also != "" {
				v.Broke = append(v.Broke, fmt.Sprintf("%s: fence %d was %s's and %s's", duty, f, s.process, s.also))
			}
		}
		slices.Sort(fences)
		for i, f := range fences[1:] {
			was, is := by[fences[i]], by[f]
			if is.from <= was.to {
				v.Broke = append(v.Broke, fmt.Sprintf("%s: %s acted under fence %d until %v, %s under %d from %v on",
					duty, was.process, fences[i], was.to, is.process, f, is.from))
			}
			v.Gaps = append(v.Gaps, is.from-was.to)
			v.Idle += is.from - was.to
		}
		v.Terms += len(fences)
		v.All += by[fences[len(fences)-1]].to - by[fences[0]].from
	}
	return v
}

// ServeHTTP takes an act as JSON.
func (a *Acts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostAct))
	var act Act
	if err == nil {
		err = json.Unmarshal(text, &act)
	}
	if err != nil {
		http.Error(w, "act: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Take(act); err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	}
}
