package catalog

import (
	"fmt"
	"slices"
	"time"

	"knotrouter/internal/endpoints"
)

// State is the state on which all replicas of the control plane agree. It is not safe for
// concurrent use.
type State struct {
	FormatVersion int               `json:"form"`
	Seq           int64             `json:"seq"` // revision of the endpoint list
	Clock         time.Duration     `json:"clock"`
	Entries       map[string]*Entry `json:"entries"` // by server, including recently removed ones
	History       []entryChange     `json:"history"` // sorted by revision
	// QuarantinedSince is the time from which at least one entry has been quarantined without
	// interruption, or 0 if none is.
	QuarantinedSince time.Duration `json:"held_since,omitempty"`

	Sessions        map[string]*Session    `json:"sessions,omitempty"`    // by process
	LeasedTasks     map[string]*LeasedTask `json:"duties,omitempty"`      // by name
	Fence           int64                  `json:"fence,omitempty"`       // last fencing token issued
	SessionRevision int64                  `json:"rev,omitempty"`         // last session revision issued
	Members         map[string]*Member     `json:"members,omitempty"`     // by name
	Incarnation     int64                  `json:"incarnation,omitempty"` // last incarnation issued
	// ServiceHistory is nil only in snapshots from before services existed.
	ServiceHistory *ServiceHistory `json:"scopes,omitempty"`

	// The fields below are derived from those above and rebuilt when a snapshot is decoded.

	serviceIndexes   map[string]*serviceIndex
	listedCount      int // number of listed entries
	quarantinedCount int // number of quarantined entries

	// appliedCommands counts the commands that this process applied, except commands on sessions and
	// tasks. RegistrationLeases uses it to detect that an entry may have changed.
	appliedCommands int64
}

// New returns an empty state.
func New() *State {
	return &State{
		FormatVersion:  FormatVersion,
		Entries:        map[string]*Entry{},
		Sessions:       map[string]*Session{},
		LeasedTasks:    map[string]*LeasedTask{},
		Members:        map[string]*Member{},
		ServiceHistory: &ServiceHistory{},
		serviceIndexes: map[string]*serviceIndex{},
	}
}

// Apply applies one command and returns its outcome. A rejected command changes only the clock; a
// command of an unknown format changes nothing.
func (s *State) Apply(c *Command) Result {
	if c.FormatVersion != FormatVersion {
		return s.reject(Unsupported, "%s", (&FormatError{c.FormatVersion}).Error())
	}
	s.Clock = max(s.Clock, c.At)
	if result, stale := s.rejectStaleTerm(c); stale {
		return result
	}
	if result, known := s.applyTaskCommand(c); known {
		return result
	}
	s.appliedCommands++
	switch c.Kind {
	case RaiseRevision:
		return s.raiseRevision(c.Seq)
	case Register:
		return s.registerEndpoint(c.Endpoint)
	case Drain, Deregister, ExpireRegistration, Quarantine, Recover, EndDamping:
		return s.applyToInstances(c)
	case ConfirmRemoval:
		return s.confirmRemovals()
	case SetOverride:
		return s.setOverride(c)
	case RegisterMember:
		return s.registerMember(c.Member)
	case CheckTerm:
		return s.done()
	}
	return s.reject(Unsupported, "unknown command %q", c.Kind)
}

// applyTaskCommand applies a command on sessions or leased tasks. It returns false for commands of
// other kinds.
func (s *State) applyTaskCommand(c *Command) (Result, bool) {
	switch c.Kind {
	case OpenSession:
		return s.openSession(c.Session), true
	case CloseSession:
		return s.closeSession(c.Session, c.Reason), true
	case DrainSession:
		return s.drainSession(c.Session), true
	case DefineTask:
		return s.defineTask(c.LeasedTask), true
	case DeleteTask, RevokeTerm, Suspend, Resume:
		return s.applyOperatorCommand(c), true
	case GrantTerm, ExpireTerm, ReleaseTerm, TransferTask, AcceptTransfer:
		return s.applyToTerms(c), true
	}
	return Result{}, false
}

// rejectStaleTerm rejects a command that was proposed under a term that is not the task's current
// one. It returns false if the command may be applied.
func (s *State) rejectStaleTerm(c *Command) (Result, bool) {
	if c.UnderTask == "" {
		return Result{}, false
	}
	task := s.LeasedTasks[c.UnderTask]
	if task == nil {
		return s.reject(Unknown, "no duty %s", c.UnderTask), true
	}
	if task.Holder == "" || task.Fence != c.Fence {
		return s.rejectFence(task, c.Fence), true
	}
	return Result{}, false
}

// raiseRevision raises all numbers that the state issues to at least revision, so that they stay
// above the numbers that a previous, lost state issued.
func (s *State) raiseRevision(revision int64) Result {
	s.Fence, s.SessionRevision = max(s.Fence, revision), max(s.SessionRevision, revision)
	s.Incarnation = max(s.Incarnation, revision)
	if revision > s.Seq {
		// A reader with an older revision may have received it from the previous state. This state
		// has no changes that apply to that list, so the reader must get the full list.
		s.Seq, s.History = revision, nil
		s.resetServiceHistory(revision)
	}
	return s.done()
}

// done returns the result of a command that was applied.
func (s *State) done() Result { return Result{Seq: s.Seq} }

// doneWithNumber returns the result of a command that assigned a fencing token or an incarnation.
func (s *State) doneWithNumber(number int64) Result {
	return Result{Seq: s.Seq, Fence: number}
}

// reject returns the result of a rejected command, with the formatted reason.
func (s *State) reject(code Code, format string, args ...any) Result {
	return Result{Code: code, Seq: s.Seq, Text: fmt.Sprintf(format, args...)}
}

// rejectFence rejects a command with a fencing token that is not the task's current one.
func (s *State) rejectFence(task *LeasedTask, fence int64) Result {
	return s.reject(Fenced, "fence %d of duty %s is not the present one, %d", fence, task.Name, task.Fence)
}

// isName reports whether text is valid as the name or ID of a server, process or task.
func isName(text string) bool { return endpoints.IsToken(text, endpoints.MaxName) }

// isLabel reports whether text is valid as a zone or a kind of task.
func isLabel(text string) bool { return endpoints.IsToken(text, endpoints.MaxLabel) }

// isServiceName reports whether text is valid as the name of a service; "" is the default service.
func isServiceName(text string) bool { return text == "" || isLabel(text) }

// sortedKeys returns the sorted keys of a table. Iterating in this order keeps decisions deterministic.
func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
