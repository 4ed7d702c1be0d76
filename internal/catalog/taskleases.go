package catalog

import "time"

const (
	// idleSessionTimeout is how long a session that holds no task stays open without a renewal.
	// Processes without a task renew twice a second.
	idleSessionTimeout = 3 * time.Second
	// grantRenewalWindow is how long after the last renewal of its session a process may be given a
	// task.
	grantRenewalWindow = time.Second
	// maxTermsPerCommand bounds the terms of one command, so that an entry of the log stays small:
	// the terms of a process that held a thousand tasks expire by several decisions.
	maxTermsPerCommand = 256
	// acceptTimeout is how long a successor may take to accept a transfer.
	acceptTimeout = 2 * time.Second
	// deathAttributionWindow is the time after a grant within which the task counts as the cause of
	// its holder's death.
	deathAttributionWindow = 2 * time.Second
)

// TaskLeases holds the leases of the sessions that run tasks. Like RegistrationLeases they exist
// in the leader's memory only. A new leader gives each its full TTL, so that every lease that its
// predecessor extended has expired before the new leader grants the task to another process. Times
// are on the state's clock. It is not safe for concurrent use.
type TaskLeases struct {
	// Absent is set by the caller before each Decide: the processes that are not present in the
	// membership view. They are given a task only if no other process can take it.
	Absent map[string]bool
	// Essential is set by the caller: the tasks of the control plane itself, by name. They are not
	// suspended for the deaths of their holders, as nothing else would do their work.
	Essential map[string]bool

	leaderSince time.Duration
	lastRenewal map[string]time.Duration // by session ID
	// expiringTerms and closingSessions are the terms and sessions whose end Decide has proposed and
	// the state may not have applied yet. Until it has, renewals by their holders are rejected.
	expiringTerms   map[string]int64 // fencing tokens, by task
	closingSessions map[string]bool  // by session ID
	// expiredAt is, by session ID, when a term of the session expired. The session is not given
	// another task before it is renewed.
	expiredAt map[string]time.Duration
}

// NewTaskLeases returns the leases of a new leader: each lasts for its full TTL from now, a time on
// the state's clock.
func NewTaskLeases(now time.Duration) *TaskLeases {
	return &TaskLeases{
		leaderSince:     now,
		lastRenewal:     map[string]time.Duration{},
		expiringTerms:   map[string]int64{},
		closingSessions: map[string]bool{},
		expiredAt:       map[string]time.Duration{},
	}
}

// Renew extends the leases of a session, by its process and ID. It returns Done, Unknown if the
// process has no session, Taken if its session has another ID, or Conflict while the end of the
// session or of one of its terms is proposed but not yet applied; the process then retries.
func (t *TaskLeases) Renew(s *State, process, id string, now time.Duration) Code {
	session := s.Sessions[process]
	switch {
	case session == nil:
		return Unknown
	case session.ID != id:
		return Taken
	case t.closingSessions[id]:
		return Conflict
	}
	for name, fence := range t.expiringTerms {
		switch task := s.LeasedTasks[name]; {
		case task == nil || task.Holder == "" || task.Fence != fence:
			delete(t.expiringTerms, name)
		case task.Holder == process:
			return Conflict
		}
	}
	t.lastRenewal[id] = max(t.lastRenewal[id], now)
	return Done
}

// latestRenewal returns the latest time at which a session can have been renewed. A new leader does
// not know of renewals by its predecessor, so it assumes one at its election.
func (t *TaskLeases) latestRenewal(session *Session) time.Duration {
	return max(t.lastRenewal[session.ID], t.leaderSince, session.Opened)
}

// canTakeTasks reports whether a session may be given a task: it is not draining, was renewed
// within grantRenewalWindow, and if a term of it has expired, was renewed after that.
func (t *TaskLeases) canTakeTasks(session *Session, now time.Duration) bool {
	expiredAt, expired := t.expiredAt[session.ID]
	return !session.Draining && now < t.latestRenewal(session)+grantRenewalWindow && (!expired || t.lastRenewal[session.ID] > expiredAt)
}

// isExpired reports whether the current term of a task has expired. The holder counts the TTL
// from when it sent a renewal, which is not later than latestRenewal. A term that has just been
// granted lasts for its TTL though the session may not have been renewed since.
func (t *TaskLeases) isExpired(s *State, task *LeasedTask, now time.Duration) bool {
	session := s.holderSession(task)
	return session == nil || now >= max(t.latestRenewal(session), task.HolderSince)+task.TTL
}

// holderSession returns the session in which a task is held, or nil if it is not open.
func (s *State) holderSession(task *LeasedTask) *Session {
	if session := s.Sessions[task.Holder]; session != nil && session.ID == task.Session {
		return session
	}
	return nil
}

// Decide returns the commands that the leader is to propose now, in order: terms that expire,
// transfers that were not accepted in time, essential tasks to resume, sessions to close, and then the grants of tasks
// that no process holds, or else transfers from draining processes, or else transfers that even
// out the load.
func (t *TaskLeases) Decide(s *State, now time.Duration) []Command {
	scan := t.scan(s, now)
	commands := appendTerms(nil, ExpireTerm, scan.expired)
	commands = appendTerms(commands, TransferTask, scan.unaccepted)
	commands = t.appendResumes(commands, s)
	t.dropClosedSessions(s)
	commands = t.appendIdleSessions(commands, s, now, scan.sessionsWithTasks)

	p := placement{state: s, now: now, absent: t.Absent, candidates: t.candidates(s, now), taskNames: scan.taskNames, load: scan.load}
	if len(p.candidates) == 0 {
		return commands
	}
	if grants := p.grants(); len(grants) > 0 {
		return appendTerms(commands, GrantTerm, grants)
	}
	transfers := p.drainTransfers(maxDrainTransfers - scan.transfers)
	if len(transfers) == 0 {
		transfers = p.rebalanceTransfers(maxRebalanceTransfers - scan.transfers)
	}
	return appendTerms(commands, TransferTask, transfers)
}

// appendTerms appends a command on terms, if there are any.
func appendTerms(commands []Command, kind Kind, terms []TermRef) []Command {
	if len(terms) == 0 {
		return commands
	}
	return append(commands, Command{Kind: kind, Terms: terms})
}

// taskScan is what one decision finds, task by task.
type taskScan struct {
	taskNames  []string
	expired    []TermRef // at most maxTermsPerCommand
	unaccepted []TermRef // transfers to cancel: the successor did not accept in time
	transfers  int       // that have begun and not ended
	// sessionsWithTasks are the IDs of the sessions that hold a task, expired or not.
	sessionsWithTasks map[string]bool
	// load is the number of tasks of each process once all transfers are done.
	load map[string]int
}

// scan looks at each task, in order of names.
func (t *TaskLeases) scan(s *State, now time.Duration) *taskScan {
	scan := &taskScan{taskNames: s.TaskNames(), sessionsWithTasks: map[string]bool{}, load: map[string]int{}}
	for _, name := range scan.taskNames {
		task := s.LeasedTasks[name]
		if task.Successor != "" {
			scan.load[task.Successor]++
			scan.transfers++
			if now-task.SuccessorSince > acceptTimeout && !task.SuccessorReady {
				scan.unaccepted = append(scan.unaccepted, TermRef{Name: name})
			}
		}
		if task.Holder == "" {
			continue
		}
		scan.sessionsWithTasks[task.Session] = true
		if t.isExpired(s, task, now) {
			t.expire(scan, task, now)
			continue
		}
		if task.Successor == "" {
			scan.load[task.Holder]++
		}
	}
	t.attributeDeaths(s, scan)
	return scan
}

// expire adds the current term of a task to those that expire, unless there are too many.
func (t *TaskLeases) expire(scan *taskScan, task *LeasedTask, now time.Duration) {
	t.expiredAt[task.Session] = now
	if len(scan.expired) < maxTermsPerCommand {
		scan.expired = append(scan.expired, TermRef{Name: task.Name, Fence: task.Fence})
		t.expiringTerms[task.Name] = task.Fence
	}
}

// attributeDeaths marks, of each session's expired terms, the one that may have killed the
// process: the last that was granted, if the session was last renewed less than
// deathAttributionWindow after the grant. An essential task is never marked.
func (t *TaskLeases) attributeDeaths(s *State, scan *taskScan) {
	lastGranted := map[string]int{} // index in expired, by session ID
	for i, term := range scan.expired {
		session := s.LeasedTasks[term.Name].Session
		if last, found := lastGranted[session]; !found || scan.expired[last].Fence < term.Fence {
			lastGranted[session] = i
		}
	}
	for _, i := range lastGranted {
		task := s.LeasedTasks[scan.expired[i].Name]
		if t.Essential[task.Name] {
			continue
		}
		session := s.holderSession(task)
		scan.expired[i].CountDeath = session == nil || t.latestRenewal(session) < task.HolderSince+deathAttributionWindow
	}
}

// appendResumes appends commands that resume the essential tasks that a leader of an earlier build
// has had suspended for the deaths of their holders.
func (t *TaskLeases) appendResumes(commands []Command, s *State) []Command {
	for _, name := range sortedKeys(t.Essential) {
		if s.SuspendedForDeaths(name) {
			commands = append(commands, Command{Kind: Resume, Name: name})
		}
	}
	return commands
}

// dropClosedSessions drops what is recorded of sessions that are not open any more.
func (t *TaskLeases) dropClosedSessions(s *State) {
	open := map[string]bool{}
	for _, session := range s.Sessions {
		open[session.ID] = true
	}
	for id := range t.lastRenewal {
		if !open[id] {
			delete(t.lastRenewal, id)
			delete(t.closingSessions, id)
			delete(t.expiredAt, id)
		}
	}
}

// appendIdleSessions appends commands that close the sessions which hold no task and were not
// renewed for idleSessionTimeout.
func (t *TaskLeases) appendIdleSessions(commands []Command, s *State, now time.Duration, withTasks map[string]bool) []Command {
	for _, process := range s.ProcessNames() {
		session := s.Sessions[process]
		if now < t.latestRenewal(session)+idleSessionTimeout || withTasks[session.ID] {
			continue
		}
		t.closingSessions[session.ID] = true
		closed := &Session{Process: session.Process, ID: session.ID}
		commands = append(commands, Command{Kind: CloseSession, Session: closed, Reason: ReasonExpired})
	}
	return commands
}

// candidates returns the sessions that may be given a task, in order of processes.
func (t *TaskLeases) candidates(s *State, now time.Duration) []*Session {
	var candidates []*Session
	for _, process := range s.ProcessNames() {
		if session := s.Sessions[process]; t.canTakeTasks(session, now) {
			candidates = append(candidates, session)
		}
	}
	return candidates
}

// PreferredSuccessor returns the process that should have a task after its holder, or "" if no
// process holds the task or no other process can take it.
func (t *TaskLeases) PreferredSuccessor(s *State, name string, now time.Duration) string {
	task := s.LeasedTasks[name]
	if task == nil || task.Holder == "" {
		return ""
	}
	p := placement{state: s, now: now, absent: t.Absent, candidates: t.candidates(s, now), load: map[string]int{}}
	for _, other := range s.LeasedTasks {
		p.load[other.Holder]++
	}
	if session := p.bestCandidate(task); session != nil {
		return session.Process
	}
	return ""
}
