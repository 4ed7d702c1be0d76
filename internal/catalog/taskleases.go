package catalog

import "time"

const (
	// idleSessionTimeout is how long a session that holds no task stays open without a renewal.
	// Processes without a task renew twice a second.
	idleSessionTimeout = 3 * time.Second
	// grantRenewalWindow is how long after the last renewal of its session a process may be given a
	// task.
	grantRenewalWindow = time.Second
	// maxTermsPerCommand is the maximum number of terms in one command. It keeps entries of the log
	// small: the terms of a process that held a thousand tasks expire in several decisions.
	maxTermsPerCommand = 256
	// acceptTimeout is how long a successor may take to accept a transfer.
	acceptTimeout = 2 * time.Second
	// deathAttributionWindow is the time after a grant within which the death of the holder is
	// attributed to the task.
	deathAttributionWindow = 2 * time.Second
)

// TaskLeases holds the leases of the sessions that run tasks. Like RegistrationLeases, they exist only
// in the leader's memory. A new leader gives every lease its full TTL, so that a lease that its
// predecessor extended has expired before the new leader grants the task to another process. Times
// are on the state's clock. It is not safe for concurrent use.
type TaskLeases struct {
	// Absent contains the processes that are not present in the membership view. The caller sets it
	// before each Decide. An absent process is given a task only if no other process can take it.
	Absent map[string]bool
	// Essential contains the names of the control plane's own tasks. The caller sets it. These tasks
	// are not suspended for the deaths of their holders, because nothing else would do their work.
	Essential map[string]bool

	leaderSince time.Duration
	lastRenewal map[string]time.Duration // by session ID
	// expiringTerms and closingSessions contain the terms and sessions whose end Decide has proposed
	// but the state may not have applied yet. Until then, renewals by their holders are rejected.
	expiringTerms   map[string]int64 // fencing tokens, by task
	closingSessions map[string]bool  // by session ID
	// expiredAt maps a session ID to the time at which a term of the session expired. The session is
	// given no further task until it is renewed.
	expiredAt map[string]time.Duration
}

// NewTaskLeases returns the leases of a new leader. Each lasts for its full TTL from now, a time on
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

// Renew extends the leases of the session with a process and ID. It returns Done, Unknown if the
// process has no session, Taken if its session has another ID, or Conflict while the end of the
// session or of one of its terms is proposed but not yet applied. After a Conflict, the process
// retries.
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

// latestRenewal returns the latest time at which the session may have been renewed. A new leader does
// not know the renewals that its predecessor confirmed, so it assumes a renewal at its election.
func (t *TaskLeases) latestRenewal(session *Session) time.Duration {
	return max(t.lastRenewal[session.ID], t.leaderSince, session.Opened)
}

// canTakeTasks reports whether a session may be given a task. The session must not be draining and must
// have been renewed within grantRenewalWindow. If one of its terms has expired, the session must have
// been renewed after the expiry.
func (t *TaskLeases) canTakeTasks(session *Session, now time.Duration) bool {
	expiredAt, expired := t.expiredAt[session.ID]
	return !session.Draining && now < t.latestRenewal(session)+grantRenewalWindow && (!expired || t.lastRenewal[session.ID] > expiredAt)
}

// isExpired reports whether the current term of a task has expired. The holder counts the TTL
// from the time at which it sent a renewal, which is not later than latestRenewal. A new term lasts
// for at least its TTL even if the session has not been renewed since the grant.
func (t *TaskLeases) isExpired(s *State, task *LeasedTask, now time.Duration) bool {
	session := s.holderSession(task)
	return session == nil || now >= max(t.latestRenewal(session), task.HolderSince)+task.TTL
}

// holderSession returns the session that holds a task, or nil if that session is not open.
func (s *State) holderSession(task *LeasedTask) *Session {
	if session := s.Sessions[task.Holder]; session != nil && session.ID == task.Session {
		return session
	}
	return nil
}

// Decide returns the commands that the leader should propose now, in this order: expire terms, cancel
// transfers that were not accepted in time, resume essential tasks, close sessions, and grant the
// tasks that no process holds. Only without grants, it proposes transfers from draining processes, and
// only without those, transfers that balance the load.
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

// appendTerms appends a command on the terms, unless there are none.
func appendTerms(commands []Command, kind Kind, terms []TermRef) []Command {
	if len(terms) == 0 {
		return commands
	}
	return append(commands, Command{Kind: kind, Terms: terms})
}

// taskScan holds the result of a scan of all tasks for one decision.
type taskScan struct {
	taskNames  []string
	expired    []TermRef // at most maxTermsPerCommand
	unaccepted []TermRef // transfers to cancel because the successor did not accept in time
	transfers  int       // number of transfers in progress, including those to cancel
	// sessionsWithTasks contains the IDs of the sessions that hold a task, expired or not.
	sessionsWithTasks map[string]bool
	// load is the number of tasks of each process after all transfers in progress.
	load map[string]int
}

// scan examines all tasks in order of names.
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

// expire records that the current term of a task has expired, and adds it to scan.expired unless
// scan.expired is full.
func (t *TaskLeases) expire(scan *taskScan, task *LeasedTask, now time.Duration) {
	t.expiredAt[task.Session] = now
	if len(scan.expired) < maxTermsPerCommand {
		scan.expired = append(scan.expired, TermRef{Name: task.Name, Fence: task.Fence})
		t.expiringTerms[task.Name] = task.Fence
	}
}

// attributeDeaths marks the expired terms whose tasks may have killed their holders. Of the terms of one
// session, only the term granted last can be marked. It is marked if the session's last renewal was less
// than deathAttributionWindow after the grant, or if the session is no longer open. The term of an
// essential task is never marked.
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
// suspended for the deaths of their holders.
func (t *TaskLeases) appendResumes(commands []Command, s *State) []Command {
	for _, name := range sortedKeys(t.Essential) {
		if s.SuspendedForDeaths(name) {
			commands = append(commands, Command{Kind: Resume, Name: name})
		}
	}
	return commands
}

// dropClosedSessions drops the records of sessions that are no longer open.
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

// appendIdleSessions appends commands that close the sessions that hold no task and have not been
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

// candidates returns the sessions that may be given a task, sorted by process.
func (t *TaskLeases) candidates(s *State, now time.Duration) []*Session {
	var candidates []*Session
	for _, process := range s.ProcessNames() {
		if session := s.Sessions[process]; t.canTakeTasks(session, now) {
			candidates = append(candidates, session)
		}
	}
	return candidates
}

// PreferredSuccessor returns the process that should take over a task from its holder, or "" if no
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
