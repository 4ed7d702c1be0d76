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
	lastRenewalSent   time.Duration // of the last renewal that was answered
	renewed           bool          // whether there was any
	revision          int64
	assignments       []catalog.Assignment
	terms             map[string]*term
	endedFences       map[string]int64 // the highest fence of a duty that is over here
	acceptedRevisions map[string]int64 // the revision by which this process said that it is ready
	safetyMargin      func(time.Duration) time.Duration
}

type term struct {
	catalog.Assignment
	cancelled bool
	endReason string // of the end, when it was cancelled
}

// NewParticipant makes a keeper for one session.
func NewParticipant() *Participant {
	return &Participant{terms: map[string]*term{}, endedFences: map[string]int64{}, acceptedRevisions: map[string]int64{}, safetyMargin: SafetyMargin}
}

// Renewed is told of an answer to the renewal that was sent then: the session is there, and
// what it is to do, if that is newer than what is known (tasks is nil otherwise).
func (p *Participant) Renewed(now, sent time.Duration, revision int64, assignments []catalog.Assignment) []Action {
	if !p.renewed || sent > p.lastRenewalSent {
		p.lastRenewalSent, p.renewed = sent, true
	}
	return p.Update(now, revision, assignments)
}

// Update is told what the session is to do, by whatever way.
func (p *Participant) Update(now time.Duration, revision int64, assignments []catalog.Assignment) []Action {
	if revision > p.revision && assignments != nil {
		p.revision, p.assignments = revision, assignments
	}
	return p.reconcile(now)
}

// Revision is the revision that is known.
func (p *Participant) Revision() int64 { return p.revision }

// SessionExpired is told that the session is over: nothing is held any more.
func (p *Participant) SessionExpired() (actions []Action) {
	p.assignments = nil
	for _, name := range p.termNames() {
		actions = p.cancel(actions, p.terms[name], catalog.ReasonExpired)
	}
	return actions
}

// FunctionReturned is told that a function has returned.
func (p *Participant) FunctionReturned(now time.Duration, name string, fence int64, failed bool) []Action {
	t := p.terms[name]
	if t == nil || t.Fence != fence {
		return nil
	}
	reason := catalog.ReasonCompleted
	switch {
	case t.cancelled:
		reason = t.endReason
	case failed:
		reason = catalog.ReasonFailed
	}
	delete(p.terms, name)
	p.endedFences[name] = max(p.endedFences[name], fence)
	return append([]Action{{Release, name, fence, reason}}, p.reconcile(now)...)
}

// ValidUntil is when a term is over by this process's clock.
func (p *Participant) ValidUntil(name string) time.Duration {
	t := p.terms[name]
	if t == nil || !p.renewed {
		return 0
	}
	return p.validUntil(t.TTL)
}

func (p *Participant) validUntil(ttl time.Duration) time.Duration {
	return p.lastRenewalSent + ttl - p.safetyMargin(ttl)
}

// Tick is told the time. The second result is when it wants to be told again at the latest,
// for as long as something is held.
func (p *Participant) Tick(now time.Duration) (actions []Action, next time.Duration, some bool) {
	actions = p.reconcile(now)
	for _, t := range p.terms {
		if at := p.validUntil(t.TTL); !t.cancelled && (!some || at < next) {
			next, some = at, true
		}
	}
	return actions, next, some
}

// RenewInterval is how often the session is to be renewed: well before the middle of the shortest
// time that it holds.
func (p *Participant) RenewInterval() time.Duration {
	every := 500 * time.Millisecond
	for _, t := range p.assignments {
		every = min(every, t.TTL/3)
	}
	return every
}

// Active is how many functions run or have not returned yet.
func (p *Participant) Active() int { return len(p.terms) }

func (p *Participant) termNames() []string {
	names := make([]string, 0, len(p.terms))
	for name := range p.terms {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (p *Participant) cancel(actions []Action, t *term, reason string) []Action {
	if t.cancelled {
		return actions
	}
	t.cancelled, t.endReason = true, reason
	return append(actions, Action{Cancel, t.Name, t.Fence, reason})
}

// reconcile compares what is to be with what is, and takes the steps between.
func (p *Participant) reconcile(now time.Duration) (actions []Action) {
	listed := map[string]catalog.Assignment{}
	for _, task := range p.assignments {
		listed[task.Name] = task
	}
	for _, name := range p.termNames() {
		t := p.terms[name]
		task, assigned := listed[name]
		switch {
		case now >= p.validUntil(t.TTL) || !assigned || task.Fence != t.Fence:
			actions = p.cancel(actions, t, catalog.ReasonExpired)
		case task.Stop:
			actions = p.cancel(actions, t, catalog.ReasonTransferred)
		}
	}
	for _, task := range p.assignments {
		switch {
		case p.terms[task.Name] != nil: // its function has to return first
		case task.Ready:
			if p.acceptedRevisions[task.Name] != p.revision {
				p.acceptedRevisions[task.Name] = p.revision
				actions = append(actions, Action{Accept, task.Name, 0, ""})
			}
		case task.Fence <= p.endedFences[task.Name], task.Stop:
			// It is over here, and the service doesn't know it yet.
			p.endedFences[task.Name] = max(p.endedFences[task.Name], task.Fence)
			actions = append(actions, Action{Release, task.Name, task.Fence, catalog.ReasonTransferred})
		case p.renewed && now < p.validUntil(task.TTL):
			p.terms[task.Name] = &term{Assignment: task}
			actions = append(actions, Action{Start, task.Name, task.Fence, ""})
		}
	}
	return actions
}
