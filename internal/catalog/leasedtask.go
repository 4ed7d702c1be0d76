package catalog

import (
	"cmp"
	"time"
)

const (
	// MaxTasks is the maximum number of leased tasks, and the maximum of Session.MaxTasks.
	MaxTasks = 20_000
	// MinTTL and MaxTTL bound the TTL of a task.
	MinTTL = 500 * time.Millisecond
	MaxTTL = 10 * time.Minute
)

// LeasedTask is work that at most one process, its holder, runs at a time under a lease. The period
// in which a process holds the task is a term; each term has its own fencing token.
type LeasedTask struct {
	Name string `json:"name"`
	// TTL is how long a holder keeps the task after the last renewal of its session.
	TTL              time.Duration `json:"ttl"`
	PreferredZone    string        `json:"zone,omitempty"`
	PreferredProcess string        `json:"process,omitempty"`

	// The current term. Holder and Session are empty if no process holds the task.

	Holder      string        `json:"holder,omitempty"`  // name of the process that holds the task
	Session     string        `json:"session,omitempty"` // ID of the holder's session
	Fence       int64         `json:"fence"`             // the fencing token of the current or last term
	HolderSince time.Duration `json:"since,omitempty"`

	// A transfer in progress. Successor is empty if there is none.

	Successor      string        `json:"next,omitempty"` // the process that will take over
	SuccessorSince time.Duration `json:"next_from,omitempty"`
	SuccessorReady bool          `json:"accepted,omitempty"` // the successor has accepted; the holder is asked to stop

	StopRequested bool `json:"stop,omitempty"` // the holder is asked to stop, with or without a successor

	// Conditions that delay or prevent the next grant, or make a process a less likely holder.

	NotBefore     time.Duration `json:"wait,omitempty"`   // end of the backoff after failures
	AvoidProcess  string        `json:"avoid,omitempty"`  // process in which the task last failed
	Failures      int           `json:"fails,omitempty"`  // consecutive short terms that failed
	HolderDeaths  int           `json:"deaths,omitempty"` // consecutive holders that died soon after the grant
	SuspendReason string        `json:"parked,omitempty"` // empty if the task is not suspended

	History []Term `json:"past,omitempty"` // the last ended terms, oldest first
}

// Assignment tells a session's process to run, stop or prepare for one task.
type Assignment struct {
	Name  string        `json:"name"`
	TTL   time.Duration `json:"ttl"`
	Fence int64         `json:"fence,omitempty"` // fencing token of the term, if the process holds the task
	Stop  bool          `json:"stop,omitempty"`  // the process must stop the task and then release its term
	// Ready tells the process to get ready and then to accept the transfer. It stays set until the
	// task is granted to the process or the transfer is cancelled; accepting again has no effect.
	Ready bool `json:"ready,omitempty"`
}

// TaskNames returns the names of all tasks, sorted.
func (s *State) TaskNames() []string { return sortedKeys(s.LeasedTasks) }

// Assignments returns the assignments of a session, sorted by task name, and the session's
// revision. ok is false if the process has no open session with that ID.
func (s *State) Assignments(process, id string) (assignments []Assignment, revision int64, ok bool) {
	session := s.Sessions[process]
	if session == nil || session.ID != id {
		return nil, 0, false
	}
	assignments = []Assignment{}
	for _, name := range s.TaskNames() {
		switch task := s.LeasedTasks[name]; {
		case task.Holder == process:
			stop := task.StopRequested || task.SuccessorReady
			assignments = append(assignments, Assignment{Name: name, TTL: task.TTL, Fence: task.Fence, Stop: stop})
		case task.Successor == process:
			assignments = append(assignments, Assignment{Name: name, TTL: task.TTL, Ready: true})
		}
	}
	return assignments, session.Revision, true
}

// defineTask creates a task, or changes its TTL and preferences. The TTL can't change while the
// task is held, because the holder relies on it.
func (s *State) defineTask(definition *LeasedTask) Result {
	switch {
	case definition == nil || !isName(definition.Name):
		return s.reject(Invalid, "name: must be a word")
	case definition.TTL < MinTTL || definition.TTL > MaxTTL:
		return s.reject(Invalid, "ttl: must be %v to %v, is %v", MinTTL, MaxTTL, definition.TTL)
	case definition.PreferredZone != "" && !isLabel(definition.PreferredZone),
		definition.PreferredProcess != "" && !isName(definition.PreferredProcess):
		return s.reject(Invalid, "zone, process: must be words")
	}
	task := s.LeasedTasks[definition.Name]
	switch {
	case task == nil && len(s.LeasedTasks) >= MaxTasks:
		return s.reject(TooMany, "%d duties, which is all there is room for", MaxTasks)
	case task == nil:
		task = &LeasedTask{Name: definition.Name, Fence: s.Fence}
		s.LeasedTasks[definition.Name] = task
	case task.TTL != definition.TTL && task.Holder != "":
		return s.reject(Conflict, "duty %s is held for %v a time; its time can't change", task.Name, task.TTL)
	}
	task.TTL, task.PreferredZone, task.PreferredProcess = definition.TTL, definition.PreferredZone, definition.PreferredProcess
	return s.done()
}

// applyOperatorCommand applies an operator's command on a task. DeleteTask requires that the task
// has no holder, RevokeTerm that it has one.
func (s *State) applyOperatorCommand(c *Command) Result {
	task := s.LeasedTasks[c.Name]
	if task == nil {
		return s.reject(Unknown, "no duty %s", c.Name)
	}
	switch c.Kind {
	case DeleteTask:
		if task.Holder != "" {
			return s.reject(Conflict, "duty %s is held by %s; park it first", task.Name, task.Holder)
		}
		delete(s.LeasedTasks, task.Name)
	case RevokeTerm:
		if task.Holder == "" {
			return s.rejectWithoutHolder(task)
		}
		s.requestStop(task)
	case Suspend:
		task.SuspendReason = cmp.Or(c.Reason, "an operator's word")
		s.cancelTransfer(task)
		if task.Holder != "" {
			s.requestStop(task)
		}
	case Resume:
		task.SuspendReason, task.Failures, task.HolderDeaths, task.NotBefore, task.AvoidProcess = "", 0, 0, 0, ""
	}
	return s.done()
}

// requestStop asks the holder of a task to stop, through the assignments of its session.
func (s *State) requestStop(task *LeasedTask) {
	task.StopRequested = true
	s.bumpSessionRevision(task.Holder)
}

// rejectWithoutHolder rejects a command that requires the task to be held.
func (s *State) rejectWithoutHolder(task *LeasedTask) Result {
	return s.reject(Conflict, "nobody holds duty %s", task.Name)
}

// rejectSuspended rejects a command that is not allowed while the task is suspended.
func (s *State) rejectSuspended(task *LeasedTask) Result {
	return s.reject(Conflict, "duty %s is parked: %s", task.Name, task.SuspendReason)
}
