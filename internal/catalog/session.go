package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// MaxSessions is the maximum number of open sessions.
	MaxSessions = 256
	// maxTaskKinds is the maximum length of Session.TaskKinds.
	maxTaskKinds = 32
)

// Session represents a process that can run leased tasks. The process opens the session; the process
// or the leader closes it.
type Session struct {
	Process string `json:"process"`
	ID      string `json:"id"` // random identifier drawn by the process
	Zone    string `json:"zone,omitempty"`
	// TaskKinds lists the kinds of tasks that the process can run; an empty list means all tasks. The
	// kind of a task is the part of its name before the first dot.
	TaskKinds []string      `json:"kinds,omitempty"`
	MaxTasks  int           `json:"cap"`               // maximum number of tasks that the process may hold
	Draining  bool          `json:"resting,omitempty"` // whether the process's tasks are to be transferred
	Opened    time.Duration `json:"opened,omitempty"`
	Revision  int64         `json:"rev"` // changes whenever the session's assignments change
}

// CanRun reports whether the process can run the task with the given name.
func (session *Session) CanRun(task string) bool {
	kind, _, _ := strings.Cut(task, ".")
	return len(session.TaskKinds) == 0 || slices.Contains(session.TaskKinds, kind)
}

// ProcessNames returns the processes of all open sessions, sorted.
func (s *State) ProcessNames() []string { return sortedKeys(s.Sessions) }

// openSession opens a session, or updates the open one with the same ID. A process name belongs to
// one session until that session is closed; another ID is rejected as Taken.
func (s *State) openSession(request *Session) Result {
	switch {
	case request == nil || !isName(request.Process) || !isName(request.ID):
		return s.reject(Invalid, "process, id: must be words")
	case request.Zone != "" && !isLabel(request.Zone):
		return s.reject(Invalid, "zone: must be a word")
	case len(request.TaskKinds) > maxTaskKinds || slices.ContainsFunc(request.TaskKinds, func(kind string) bool { return !isLabel(kind) }):
		return s.reject(Invalid, "kinds: must be at most %d words", maxTaskKinds)
	case request.MaxTasks < 0 || request.MaxTasks > MaxTasks:
		return s.reject(Invalid, "cap: must be 0 to %d, is %d", MaxTasks, request.MaxTasks)
	}
	if session := s.Sessions[request.Process]; session != nil {
		if session.ID != request.ID {
			return s.rejectNameTaken(request.Process)
		}
		session.Zone, session.TaskKinds, session.MaxTasks, session.Draining = request.Zone, request.TaskKinds, request.MaxTasks, false
		return s.done()
	}
	if len(s.Sessions) >= MaxSessions {
		return s.reject(TooMany, "%d processes, which is all there is room for", MaxSessions)
	}
	s.Sessions[request.Process] = &Session{
		Process:   request.Process,
		ID:        request.ID,
		Zone:      request.Zone,
		TaskKinds: request.TaskKinds,
		MaxTasks:  request.MaxTasks,
		Opened:    s.Clock,
		Revision:  s.nextSessionRevision(),
	}
	return s.done()
}

// drainSession marks a session as draining, until its process opens the session again.
func (s *State) drainSession(request *Session) Result {
	session, rejection := s.findSession(request)
	if session == nil {
		return rejection
	}
	session.Draining = true
	return s.done()
}

// closeSession closes a session and ends its terms. A task whose successor is ready is granted to
// that successor.
func (s *State) closeSession(request *Session, reason string) Result {
	session, rejection := s.findSession(request)
	if session == nil {
		return rejection
	}
	for _, name := range s.TaskNames() {
		task := s.LeasedTasks[name]
		if task.Successor == session.Process {
			s.cancelTransfer(task)
		}
		if task.Holder == session.Process {
			s.endTerm(task, cmp.Or(reason, ReasonSessionClosed))
		}
	}
	delete(s.Sessions, session.Process)
	return s.done()
}

// findSession returns the open session with the process and ID of a command. If there is none, it
// returns nil and the result that rejects the command.
func (s *State) findSession(request *Session) (*Session, Result) {
	if request == nil {
		return nil, s.reject(Invalid, "no session")
	}
	session := s.Sessions[request.Process]
	if session == nil || session.ID != request.ID {
		return nil, s.reject(Unknown, "no session of %s", request.Process)
	}
	return session, Result{}
}

// nextSessionRevision returns a revision that no session has had before.
func (s *State) nextSessionRevision() int64 {
	s.SessionRevision++
	return s.SessionRevision
}

// bumpSessionRevision assigns a new revision to the open session of a process, if there is one,
// because its assignments change.
func (s *State) bumpSessionRevision(process string) {
	if session := s.Sessions[process]; session != nil {
		session.Revision = s.nextSessionRevision()
	}
}
