package leaderelection

import (
	"maps"
	"slices"
	"time"

	"knotrouter/internal/catalog"
)

const (
	// maxRenewInterval is the longest interval between renewals. It also applies to a session
	// without tasks.
	maxRenewInterval = 500 * time.Millisecond
	// renewalsPerLease is how often a session is renewed within its shortest lease.
	renewalsPerLease = 3
	// clockDriftDivisor sets the part of a lease that is reserved for clock drift, a tenth: the
	// clocks of the leader and of the holder may each run up to 5 % fast or slow.
	clockDriftDivisor = 10
	// cancelAllowance is the time allowed for a function to notice that its context has ended.
	cancelAllowance = 20 * time.Millisecond
)

// SafetyMargin returns how long before the end of a lease of duration ttl its holder stops: the
// maximum clock drift plus cancelAllowance.
func SafetyMargin(ttl time.Duration) time.Duration { return ttl/clockDriftDivisor + cancelAllowance }

// Action is a step that the Participant wants its caller to perform.
type Action struct {
	Kind   ActionKind
	Name   string // the task's name
	Fence  int64  // the term's fencing token; 0 for Accept
	Reason string // why the term ends, one of catalog's Reason constants; empty for Start and Accept
}

// ActionKind identifies the step that an Action stands for.
type ActionKind uint8

// The kinds of actions.
const (
	Start   ActionKind = iota // run the task's function under the fencing token
	Cancel                    // cancel the context of the running function
	Release                   // report to the control plane that the term has ended
	Accept                    // report to the control plane that this process is ready to take over the task
)

// Participant decides which functions run during one session. It has no side effects: it
// takes the control plane's answers, the functions' results and the time, and returns Actions.
// All times are readings of one monotonic clock. It is not safe for concurrent use.
//
// A term's validity starts when the last answered renewal was sent, and lasts for the lease's
// duration less the safety margin. Assignments arrive with renewals and watch events, in any
// order; assignments whose revision is not newer than the known revision are ignored.
type Participant struct {
	lastRenewalSent time.Duration // when the last answered renewal was sent
	renewed         bool          // whether any renewal has been answered
	revision        int64
	assignments     []catalog.Assignment
	terms           map[string]*term // by task
	// endedFences maps a task to the highest fencing token whose term has ended in this process.
	endedFences map[string]int64
	// acceptedRevisions maps a task to the revision at which this process last accepted its transfer.
	acceptedRevisions map[string]int64
	safetyMargin      func(ttl time.Duration) time.Duration
}

// term is a term whose function is running. The function may have been cancelled without having
// returned yet.
type term struct {
	catalog.Assignment
	cancelled bool
	endReason string // set when the term is cancelled
}

// NewParticipant returns a Participant for one session, without assignments.
func NewParticipant() *Participant {
	return &Participant{
		terms:             map[string]*term{},
		endedFences:       map[string]int64{},
		acceptedRevisions: map[string]int64{},
		safetyMargin:      SafetyMargin,
	}
}

// Renewed handles the answer to a renewal that was sent at the time sent: it extends the
// terms, and updates the assignments as Update does.
func (p *Participant) Renewed(now, sent time.Duration, revision int64, assignments []catalog.Assignment) []Action {
	if !p.renewed || sent > p.lastRenewalSent {
		p.lastRenewalSent, p.renewed = sent, true
	}
	return p.Update(now, revision, assignments)
}

// Update replaces the assignments if revision is newer than the known one and assignments is not
// nil; nil means that they have not changed.
func (p *Participant) Update(now time.Duration, revision int64, assignments []catalog.Assignment) []Action {
	if revision > p.revision && assignments != nil {
		p.revision, p.assignments = revision, assignments
	}
	return p.reconcile(now)
}

// Revision returns the revision of the assignments that are known.
func (p *Participant) Revision() int64 { return p.revision }

// SessionExpired drops all assignments and cancels all terms.
func (p *Participant) SessionExpired() (actions []Action) {
	p.assignments = nil
	for _, name := range p.termNames() {
		actions = p.cancel(actions, p.terms[name], catalog.ReasonExpired)
	}
	return actions
}

// FunctionReturned handles the return of a term's function: it releases the term. failed
// means that the function returned an error before its context was cancelled. If the term is not
// known, FunctionReturned does nothing and returns nil.
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
	release := Action{Kind: Release, Name: name, Fence: fence, Reason: reason}
	return append([]Action{release}, p.reconcile(now)...)
}

// ValidUntil returns when the running term of a task ends by this process's clock, or 0 if
// the task has no running term or no renewal was answered.
func (p *Participant) ValidUntil(name string) time.Duration {
	t := p.terms[name]
	if t == nil || !p.renewed {
		return 0
	}
	return p.validUntil(t.TTL)
}

// validUntil returns when a lease of the duration ttl ends by this process's clock.
func (p *Participant) validUntil(ttl time.Duration) time.Duration {
	return p.lastRenewalSent + ttl - p.safetyMargin(ttl)
}

// Tick cancels the terms that have ended by this process's clock. next is the time at which the next
// term ends, by which Tick has to be called again; pending is false if no term is valid.
func (p *Participant) Tick(now time.Duration) (actions []Action, next time.Duration, pending bool) {
	actions = p.reconcile(now)
	for _, t := range p.terms {
		if end := p.validUntil(t.TTL); !t.cancelled && (!pending || end < next) {
			next, pending = end, true
		}
	}
	return actions, next, pending
}

// RenewInterval returns the time between two renewals of the session: a third of the shortest
// assigned lease, so that two renewals can fail before the lease ends, and at most
// maxRenewInterval.
func (p *Participant) RenewInterval() time.Duration {
	interval := maxRenewInterval
	for _, task := range p.assignments {
		interval = min(interval, task.TTL/renewalsPerLease)
	}
	return interval
}

// Active returns the number of running functions, including cancelled ones that have not returned.
func (p *Participant) Active() int { return len(p.terms) }

// termNames returns the tasks of the running terms, sorted so that actions have a stable order.
func (p *Participant) termNames() []string {
	return slices.Sorted(maps.Keys(p.terms))
}

// cancel appends the cancellation of a term, unless the term is already cancelled.
func (p *Participant) cancel(actions []Action, t *term, reason string) []Action {
	if t.cancelled {
		return actions
	}
	t.cancelled, t.endReason = true, reason
	return append(actions, Action{Kind: Cancel, Name: t.Name, Fence: t.Fence, Reason: reason})
}

// reconcile returns the actions that bring the running terms in line with the assignments.
func (p *Participant) reconcile(now time.Duration) []Action {
	actions := p.cancelTerms(nil, now)
	for _, task := range p.assignments {
		actions = p.reconcileAssignment(actions, now, task)
	}
	return actions
}

// cancelTerms cancels the terms that have ended, that are no longer assigned to this process, or
// that the control plane asks this process to stop.
func (p *Participant) cancelTerms(actions []Action, now time.Duration) []Action {
	assignments := map[string]catalog.Assignment{}
	for _, task := range p.assignments {
		assignments[task.Name] = task
	}
	for _, name := range p.termNames() {
		t := p.terms[name]
		task, assigned := assignments[name]
		switch {
		case now >= p.validUntil(t.TTL) || !assigned || task.Fence != t.Fence:
			actions = p.cancel(actions, t, catalog.ReasonExpired)
		case task.Stop:
			actions = p.cancel(actions, t, catalog.ReasonTransferred)
		}
	}
	return actions
}

// reconcileAssignment starts, accepts or releases one assigned task.
func (p *Participant) reconcileAssignment(actions []Action, now time.Duration, task catalog.Assignment) []Action {
	switch {
	case p.terms[task.Name] != nil:
		// The function of the running term has to return first.
	case task.Ready:
		// The transfer is accepted once for each revision, so that a lost report is repeated at the
		// next revision.
		if p.acceptedRevisions[task.Name] != p.revision {
			p.acceptedRevisions[task.Name] = p.revision
			actions = append(actions, Action{Kind: Accept, Name: task.Name})
		}
	case task.Fence <= p.endedFences[task.Name], task.Stop:
		// The term has ended in this process, and the control plane has not applied its release yet.
		p.endedFences[task.Name] = max(p.endedFences[task.Name], task.Fence)
		actions = append(actions, Action{Kind: Release, Name: task.Name, Fence: task.Fence, Reason: catalog.ReasonTransferred})
	case p.renewed && now < p.validUntil(task.TTL):
		p.terms[task.Name] = &term{Assignment: task}
		actions = append(actions, Action{Kind: Start, Name: task.Name, Fence: task.Fence})
	}
	return actions
}
