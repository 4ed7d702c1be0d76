package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Reasons for the end of a term. They are stored in logs and snapshots and must not change.
const (
	ReasonCompleted     = "done"    // the task's function returned
	ReasonFailed        = "failed"  // the task's function returned an error
	ReasonTransferred   = "moved"   // the holder stopped for its successor
	ReasonExpired       = "lapsed"  // the holder did not renew its session for the TTL
	ReasonSessionClosed = "closed"  // the holder shut down
	ReasonRevoked       = "revoked" // the holder was asked to stop
)

const (
	// maxTermHistory is the maximum number of ended terms that a task remembers.
	maxTermHistory = 8

	// A term is short if it is shorter than shortTermDuration. After a short term that failed, a task
	// is not granted for minRetryBackoff. The backoff doubles with each consecutive short term that
	// failed, up to maxRetryBackoff.
	shortTermDuration = 30 * time.Second
	minRetryBackoff   = time.Second
	maxRetryBackoff   = 5 * time.Minute
	maxRetryDoublings = 20 // keeps the shift from overflowing; more than enough to reach maxRetryBackoff

	// suspendAfterDeaths is the number of consecutive holders that die soon after the grant before
	// the task is suspended.
	suspendAfterDeaths = 3
)

// Term records an ended term: the process that held the task, when, and why the term ended.
type Term struct {
	Process string        `json:"process"`
	Fence   int64         `json:"fence"`
	From    time.Duration `json:"from"`
	To      time.Duration `json:"to"`
	Reason  string        `json:"why"`
}

// TermRef refers to the current term of a task, or to one that is about to begin. GrantTerm and
// AcceptTransfer read Process and Session, and TransferTask reads Process, to identify the process
// that is about to hold the task. ExpireTerm and ReleaseTerm read Fence and Session, which must be
// those of the current term; an empty Session matches any.
type TermRef struct {
	Name       string `json:"name"` // name of the task
	Process    string `json:"process,omitempty"`
	Session    string `json:"session,omitempty"`
	Fence      int64  `json:"fence,omitempty"`
	CountDeath bool   `json:"blame,omitempty"` // for ExpireTerm: the task may have killed its holder
}

// applyToTerms applies a command to its terms. A command with a single term has the result of that
// term. In a command with several terms, those to which it can't be applied are skipped.
func (s *State) applyToTerms(c *Command) Result {
	for _, term := range c.Terms {
		result := s.applyToTerm(c, term)
		if len(c.Terms) == 1 {
			return result
		}
	}
	return s.done()
}

// applyToTerm applies a command to one term.
func (s *State) applyToTerm(c *Command, term TermRef) Result {
	task := s.LeasedTasks[term.Name]
	if task == nil {
		return s.reject(Unknown, "no duty %s", term.Name)
	}
	switch c.Kind {
	case GrantTerm:
		return s.grantTerm(task, term.Process, term.Session)
	case TransferTask:
		return s.transferTask(task, term.Process)
	case AcceptTransfer:
		return s.acceptTransfer(task, term.Process, term.Session)
	}
	if !task.isCurrentTerm(term) {
		return s.rejectFence(task, term.Fence)
	}
	if c.Kind == ExpireTerm {
		s.endTerm(task, ReasonExpired)
		if term.CountDeath {
			s.countHolderDeath(task)
		}
		return s.done()
	}
	s.endTerm(task, cmp.Or(c.Reason, ReasonCompleted))
	return s.done()
}

// isCurrentTerm reports whether ref refers to the current term of the task.
func (task *LeasedTask) isCurrentTerm(ref TermRef) bool {
	return task.Holder != "" && task.Fence == ref.Fence && (ref.Session == "" || task.Session == ref.Session)
}

// grantTerm grants a task that no process holds to a session. Result.Fence is the term's fencing
// token, which no earlier term of any task had.
func (s *State) grantTerm(task *LeasedTask, process, sessionID string) Result {
	session := s.Sessions[process]
	switch {
	case task.Holder == process && task.Session == sessionID:
		return s.doneWithNumber(task.Fence) // a retry after a lost response
	case task.Holder != "":
		return s.reject(Taken, "duty %s is held by %s", task.Name, task.Holder)
	case task.SuspendReason != "":
		return s.rejectSuspended(task)
	case s.Clock < task.NotBefore:
		return s.reject(Conflict, "duty %s waits for another %v", task.Name, task.NotBefore-s.Clock)
	case session == nil || session.ID != sessionID || session.Draining || !session.CanRun(task.Name):
		return s.rejectIneligibleProcess(process)
	}
	s.Fence++
	task.Holder, task.Session, task.Fence, task.HolderSince = process, sessionID, s.Fence, s.Clock
	task.Successor, task.SuccessorSince, task.SuccessorReady, task.StopRequested = "", 0, false, false
	s.bumpSessionRevision(process)
	return s.doneWithNumber(task.Fence)
}

// transferTask sets the successor of a task, the process that will take it over. The successor gets
// ready and accepts the transfer, then the holder is asked to stop, and when the holder has
// released its term, the task is granted to the successor. An empty process cancels the transfer.
func (s *State) transferTask(task *LeasedTask, process string) Result {
	if process == "" {
		s.cancelTransfer(task)
		return s.done()
	}
	session := s.Sessions[process]
	switch {
	case task.Holder == "":
		return s.rejectWithoutHolder(task)
	case task.SuspendReason != "":
		return s.rejectSuspended(task)
	case task.Holder == process:
		return s.reject(Conflict, "%s holds duty %s already", process, task.Name)
	case session == nil || session.Draining || !session.CanRun(task.Name):
		return s.rejectIneligibleProcess(process)
	}
	s.cancelTransfer(task)
	task.Successor, task.SuccessorSince = process, s.Clock
	s.bumpSessionRevision(process)
	return s.done()
}

// acceptTransfer records that the successor of a task is ready, so that the holder is asked to
// stop. The successor's own assignments do not change.
func (s *State) acceptTransfer(task *LeasedTask, process, sessionID string) Result {
	session := s.Sessions[process]
	if task.Successor != process || session == nil || session.ID != sessionID {
		return s.reject(Conflict, "duty %s is not to go to %s", task.Name, process)
	}
	if !task.SuccessorReady {
		task.SuccessorReady = true
		s.bumpSessionRevision(task.Holder)
	}
	return s.done()
}

// cancelTransfer removes the successor of a task, if there is one.
func (s *State) cancelTransfer(task *LeasedTask) {
	if task.Successor == "" {
		return
	}
	s.bumpSessionRevision(task.Successor)
	s.bumpSessionRevision(task.Holder)
	task.Successor, task.SuccessorSince, task.SuccessorReady = "", 0, false
}

// endTerm ends the current term of a task for a reason. If the task has a successor that is ready and
// the reason is not ReasonFailed, the task is granted to the successor immediately.
func (s *State) endTerm(task *LeasedTask, reason string) {
	if task.StopRequested && reason == ReasonCompleted {
		reason = ReasonRevoked
	}
	term := Term{Process: task.Holder, Fence: task.Fence, From: task.HolderSince, To: s.Clock, Reason: reason}
	task.recordTerm(term)
	s.bumpSessionRevision(task.Holder)
	task.Holder, task.Session, task.HolderSince, task.StopRequested = "", "", 0, false
	s.updateBackoff(task, term)

	successor, ready := task.Successor, task.SuccessorReady
	s.cancelTransfer(task)
	if session := s.Sessions[successor]; ready && session != nil && task.SuspendReason == "" && reason != ReasonFailed {
		s.grantTerm(task, successor, session.ID)
	}
}

// recordTerm adds an ended term to the task's history.
func (task *LeasedTask) recordTerm(term Term) {
	task.History = append(task.History, term)
	if excess := len(task.History) - maxTermHistory; excess > 0 {
		task.History = slices.Delete(task.History, 0, excess)
	}
}

// updateBackoff sets when the task may be granted again after an ended term, and which process is
// avoided then. A term that was not short clears earlier failures.
func (s *State) updateBackoff(task *LeasedTask, term Term) {
	short := term.To-term.From < shortTermDuration
	switch {
	case term.Reason == ReasonFailed && short:
		task.Failures++
		doublings := min(task.Failures-1, maxRetryDoublings)
		task.NotBefore = s.Clock + min(minRetryBackoff<<doublings, maxRetryBackoff)
		task.AvoidProcess = term.Process
	case term.Reason == ReasonFailed || term.Reason == ReasonExpired:
		task.AvoidProcess = term.Process
		if !short {
			task.Failures, task.HolderDeaths = 0, 0
		}
	default:
		if !short {
			task.Failures, task.HolderDeaths, task.AvoidProcess = 0, 0, ""
		}
	}
}

// countHolderDeath counts a holder that died soon after the task was granted to it. After
// suspendAfterDeaths consecutive deaths, the task is suspended until an operator resumes it.
func (s *State) countHolderDeath(task *LeasedTask) {
	task.HolderDeaths++
	if task.HolderDeaths >= suspendAfterDeaths && task.Holder == "" {
		task.SuspendReason = deathsReason(task.HolderDeaths)
	}
}

// deathsReason returns the SuspendReason of a task that is suspended for the deaths of its holders.
func deathsReason(deaths int) string {
	return fmt.Sprintf("its last %d holders ended in it", deaths)
}

// SuspendedForDeaths reports whether a task is suspended for the deaths of its holders, and not by
// an operator.
func (s *State) SuspendedForDeaths(name string) bool {
	task := s.LeasedTasks[name]
	return task != nil && task.HolderDeaths >= suspendAfterDeaths && task.SuspendReason == deathsReason(task.HolderDeaths)
}

// rejectIneligibleProcess rejects a process that has no session or whose session can't be granted the
// task.
func (s *State) rejectIneligibleProcess(process string) Result {
	return s.reject(Unknown, "no session of %s that takes duties", process)
}
