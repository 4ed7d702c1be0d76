// Package leaderelection is the holder's side of exclusive duties: it runs the functions of those that
// this process holds, and ends them before anybody else can be granted them.
package leaderelection

import (
	"slices"
	"time"

	"knotrouter/internal/catalog"
)

// SafetyMargin is how much sooner than a lease's time its holder stops. The leader's clock and the
// holder's may each be 5 % off, so that a tenth of the time is lost between them at most;
// the rest is for the function to hear of it.
func SafetyMargin(ttl time.Duration) time.Duration { return ttl/10 + 20*time.Millisecond }

// Action is something that the keeper wants done.
type Action struct {
	Kind   ActionKind
	Name   string
	Fence  int64
	Reason string
}

// ActionKind is what that is.
type ActionKind uint8

// What a keeper may want done.
const (
	Start   ActionKind = iota // run the function under this fence
	Cancel                    // end its context
	Release                   // tell the service that the term is over
	Accept                    // tell it that this process is ready for the duty
)

// Participant decides which functions run. It is pure: what the service says, what functions do
// and the time go in, acts come out.
//
// A term is valid from when the last renewal that was answered was sent, for the lease's
// time less a margin. What the service says of the terms themselves may come by other ways
// and late; it has a revision, and an older one than is known counts for nothing.
type Participant struct {
	sent   time.Duration // of the last renewal that was answered
	some   bool          // whether there was any
	rev    int64
	tasks  []catalog.Assignment
	terms  map[string]*term
	ended  map[string]int64 // the highest fence of a duty that is over here
	asked  map[string]int64 // the revision by which this process said that it is ready
	margin func(time.Duration) time.Duration
}

type term struct {
	catalog.Assignment
	cancelled bool
	why       string // of the end, when it was cancelled
}

// NewParticipant makes a keeper for one session.
func NewParticipant() *Participant {
	return &Participant{terms: map[string]*term{}, ended: map[string]int64{}, asked: map[string]int64{}, margin: SafetyMargin}
}

// Renewed is told of an answer to the renewal that was sent then: the session is there, and
// what it is to do, if that is newer than what is known (tasks is nil otherwise).
func (k *Participant) Renewed(now, sent time.Duration, rev int64, tasks []catalog.Assignment) []Action {
	if !k.some || sent > k.sent {
		k.sent, k.some = sent, true
	}
	return k.Update(now, rev, tasks)
}

// Update is told what the session is to do, by whatever way.
func (k *Participant) Update(now time.Duration, rev int64, tasks []catalog.Assignment) []Action {
	if rev > k.rev && tasks != nil {
		k.rev, k.tasks = rev, tasks
	}
	return k.settle(now)
}

// Revision is the revision that is known.
func (k *Participant) Revision() int64 { return k.rev }

// SessionExpired is told that the session is over: nothing is held any more.
func (k *Participant) SessionExpired() (acts []Action) {
	k.tasks = nil
	for _, name := range k.names() {
		acts = k.cancel(acts, k.terms[name], catalog.ReasonExpired)
	}
	return acts
}

// FunctionReturned is told that a function has returned.
func (k *Participant) FunctionReturned(now time.Duration, name string, fence int64, failed bool) []Action {
	t := k.terms[name]
	if t == nil || t.Fence != fence {
		return nil
	}
	why := catalog.ReasonCompleted
	switch {
	case t.cancelled:
		why = t.why
	case failed:
		why = catalog.ReasonFailed
	}
	delete(k.terms, name)
	k.ended[name] = max(k.ended[name], fence)
	return append([]Action{{Release, name, fence, why}}, k.settle(now)...)
}

// ValidUntil is when a term is over by this process's clock.
func (k *Participant) ValidUntil(name string) time.Duration {
	t := k.terms[name]
	if t == nil || !k.some {
		return 0
	}
	return k.until(t.TTL)
}

func (k *Participant) until(ttl time.Duration) time.Duration { return k.sent + ttl - k.margin(ttl) }

// Tick is told the time. The second result is when it wants to be told again at the latest,
// for as long as something is held.
func (k *Participant) Tick(now time.Duration) (acts []Action, next time.Duration, some bool) {
	acts = k.settle(now)
	for _, t := range k.terms {
		if at := k.until(t.TTL); !t.cancelled && (!some || at < next) {
			next, some = at, true
		}
	}
	return acts, next, some
}

// RenewInterval is how often the session is to be renewed: well before the middle of the shortest
// time that it holds.
func (k *Participant) RenewInterval() time.Duration {
	every := 500 * time.Millisecond
	for _, t := range k.tasks {
		every = min(every, t.TTL/3)
	}
	return every
}

// Active is how many functions run or have not returned yet.
func (k *Participant) Active() int { return len(k.terms) }

func (k *Participant) names() []string {
	names := make([]string, 0, len(k.terms))
	for name := range k.terms {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (k *Participant) cancel(acts []Action, t *term, why string) []Action {
	if t.cancelled {
		return acts
	}
	t.cancelled, t.why = true, why
	return append(acts, Action{Cancel, t.Name, t.Fence, why})
}

// settle compares what is to be with what is, and takes the steps between.
func (k *Participant) settle(now time.Duration) (acts []Action) {
	listed := map[string]catalog.Assignment{}
	for _, task := range k.tasks {
		listed[task.Name] = task
	}
	for _, name := range k.names() {
		t := k.terms[name]
		task, is := listed[name]
		switch {
		case now >= k.until(t.TTL) || !is || task.Fence != t.Fence:
			acts = k.cancel(acts, t, catalog.ReasonExpired)
		case task.Stop:
			acts = k.cancel(acts, t, catalog.ReasonTransferred)
		}
	}
	for _, task := range k.tasks {
		switch {
		case k.terms[task.Name] != nil: // its function has to return first
		case task.Ready:
			if k.asked[task.Name] != k.rev {
				k.asked[task.Name] = k.rev
				acts = append(acts, Action{Accept, task.Name, 0, ""})
			}
		case task.Fence <= k.ended[task.Name], task.Stop:
			// It is over here, and the service doesn't know it yet.
			k.ended[task.Name] = max(k.ended[task.Name], task.Fence)
			acts = append(acts, Action{Release, task.Name, task.Fence, catalog.ReasonTransferred})
		case k.some && now < k.until(task.TTL):
			k.terms[task.Name] = &term{Assignment: task}
			acts = append(acts, Action{Start, task.Name, task.Fence, ""})
		}
	}
	return acts
}
