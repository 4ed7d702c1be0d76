package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"knotrouter/internal/endpoints"
)

// The commands on duties: work that one process at a time may hold.
const (
	OpenSession    Kind = "open"    // Session: a process that can hold duties is there
	CloseSession   Kind = "close"   // Session: it ends, and holds nothing any more
	DrainSession   Kind = "rest"    // Session: it wants to be rid of its duties
	DefineTask     Kind = "define"  // Duty: there is such a duty
	DeleteTask     Kind = "drop"    // Name: there is none any more
	GrantTerm      Kind = "grant"   // Grants
	ExpireTerm     Kind = "free"    // Grants: their holders were not heard for their time
	ReleaseTerm    Kind = "give up" // Grants, Why: the holder has stopped
	TransferTask   Kind = "move"    // Grants: they are to go to the process named
	AcceptTransfer Kind = "accept"  // Grants: that process is ready
	RevokeTerm     Kind = "revoke"  // Name: an operator wants the holder to stop
	Suspend        Kind = "park"    // Name, Why: nobody is to have it
	Resume         Kind = "unpark"  // Name
)

// Why a term of a duty ended.
const (
	ReasonCompleted     = "done"    // its function returned
	ReasonFailed        = "failed"  // its function returned an error
	ReasonTransferred   = "moved"   // another was to have it
	ReasonExpired       = "lapsed"  // its holder was not heard for its time
	ReasonSessionClosed = "closed"  // its holder ended in order
	ReasonRevoked       = "revoked" // an operator wanted it
)

// Codes of duties.
const (
	Fenced Code = "fenced" // the act is of an older term, or of none
	Taken  Code = "taken"  // another process has the name, and its time is not over
)

// Bounds of duties.
const (
	MaxTasks       = 20_000
	MaxSessions    = 256
	MinTTL         = 500 * time.Millisecond
	MaxTTL         = 10 * time.Minute
	maxTaskKinds   = 32
	maxTermHistory = 8 // kept of a duty's past
	// A term that fails sooner than shortTermDuration is backed off, from minRetryBackoff, doubled up to
	// maxRetryBackoff; after suspendAfterDeaths holders in a row that ended so soon in it, it is parked.
	shortTermDuration  = 30 * time.Second
	minRetryBackoff    = time.Second
	maxRetryBackoff    = 5 * time.Minute
	suspendAfterDeaths = 3
)

// Session is a process that can hold duties, from its start to its end.
type Session struct {
	Process   string        `json:"process"`
	ID        string        `json:"id"` // drawn at its start: another process of that name has another
	Zone      string        `json:"zone,omitempty"`
	TaskKinds []string      `json:"kinds,omitempty"` // what it can do: the first parts of duties' names, up to a dot; none: all
	MaxTasks  int           `json:"cap"`             // duties that it holds at most
	Draining  bool          `json:"resting,omitempty"`
	Opened    time.Duration `json:"opened,omitempty"`
	Revision  int64         `json:"rev"` // of what it is to do: it changes with each change of that
}

// CanRun tells whether the process can do a duty.
func (o *Session) CanRun(duty string) bool {
	kind, _, _ := strings.Cut(duty, ".")
	return len(o.TaskKinds) == 0 || slices.Contains(o.TaskKinds, kind)
}

// LeasedTask is work that one process at a time may hold.
type LeasedTask struct {
	Name             string        `json:"name"`
	TTL              time.Duration `json:"ttl"`
	PreferredZone    string        `json:"zone,omitempty"`    // where it had best be
	PreferredProcess string        `json:"process,omitempty"` // who had best have it

	Holder         string        `json:"holder,omitempty"` // "": nobody
	Session        string        `json:"session,omitempty"`
	Fence          int64         `json:"fence"` // of the last term; it only grows
	HolderSince    time.Duration `json:"since,omitempty"`
	Successor      string        `json:"next,omitempty"` // who is to have it after the holder
	SuccessorSince time.Duration `json:"next_from,omitempty"`
	SuccessorReady bool          `json:"accepted,omitempty"` // Next is ready
	StopRequested  bool          `json:"stop,omitempty"`     // the holder is to stop in any case
	NotBefore      time.Duration `json:"wait,omitempty"`     // nobody gets it before then
	AvoidProcess   string        `json:"avoid,omitempty"`    // where it failed last
	Failures       int           `json:"fails,omitempty"`
	HolderDeaths   int           `json:"deaths,omitempty"`
	SuspendReason  string        `json:"parked,omitempty"` // why nobody is to have it
	History        []Term        `json:"past,omitempty"`
}

// Term is one holder's time with a duty.
type Term struct {
	Process string        `json:"process"`
	Fence   int64         `json:"fence"`
	From    time.Duration `json:"from"`
	To      time.Duration `json:"to"`
	Reason  string        `json:"why"`
}

// TermRef names a duty's term, or who is to have it.
type TermRef struct {
	Name       string `json:"name"`
	Process    string `json:"process,omitempty"`
	Session    string `json:"session,omitempty"`
	Fence      int64  `json:"fence,omitempty"`
	CountDeath bool   `json:"blame,omitempty"` // of a lapsed one: its holder may have died of it
}

// applyTaskCommand carries out a command on applyTaskCommand; not ok is one of another kind.
func (s *State) applyTaskCommand(c *Command) (Result, bool) {
	switch c.Kind {
	case OpenSession:
		return s.openSession(c.Session), true
	case CloseSession, DrainSession:
		return s.closeOrDrainSession(c), true
	case DefineTask:
		return s.defineTask(c.LeasedTask), true
	case DeleteTask, RevokeTerm, Suspend, Resume:
		return s.applyOperatorCommand(c), true
	case GrantTerm, ExpireTerm, ReleaseTerm, TransferTask, AcceptTransfer:
		return s.applyTermCommand(c), true
	}
	return Result{}, false
}

// rejectStaleTerm tells why an act under a duty must not be carried out: its term is not the present
// one. A command that names no duty is not an act under one.
func (s *State) rejectStaleTerm(c *Command) (Result, bool) {
	if c.UnderTask == "" {
		return Result{}, false
	}
	d := s.LeasedTasks[c.UnderTask]
	if d == nil {
		return s.result(Unknown, fmt.Sprintf("no duty %s", c.UnderTask)), true
	}
	if d.Holder == "" || d.Fence != c.Fence {
		return s.result(Fenced, fmt.Sprintf("fence %d of duty %s is not the present one, %d", c.Fence, d.Name, d.Fence)), true
	}
	return Result{}, false
}

// openSession takes a process in. A name is one process's until that has closed its session or
// lapsed: whoever comes with it meanwhile is told so.
func (s *State) openSession(o *Session) Result {
	switch {
	case o == nil || !endpoints.IsToken(o.Process, endpoints.MaxName) || !endpoints.IsToken(o.ID, endpoints.MaxName):
		return s.result(Invalid, "process, id: must be words")
	case o.Zone != "" && !endpoints.IsToken(o.Zone, endpoints.MaxLabel):
		return s.result(Invalid, "zone: must be a word")
	case len(o.TaskKinds) > maxTaskKinds || slices.ContainsFunc(o.TaskKinds, func(k string) bool { return !endpoints.IsToken(k, endpoints.MaxLabel) }):
		return s.result(Invalid, fmt.Sprintf("kinds: must be at most %d words", maxTaskKinds))
	case o.MaxTasks < 0 || o.MaxTasks > MaxTasks:
		return s.result(Invalid, fmt.Sprintf("cap: must be 0 to %d, is %d", MaxTasks, o.MaxTasks))
	}
	if was := s.Sessions[o.Process]; was != nil {
		if was.ID != o.ID {
			return s.result(Taken, fmt.Sprintf("another process is called %s, and is there", o.Process))
		}
		was.Zone, was.TaskKinds, was.MaxTasks, was.Draining = o.Zone, o.TaskKinds, o.MaxTasks, false
		return s.result(Done, "")
	}
	if len(s.Sessions) >= MaxSessions {
		return s.result(TooMany, fmt.Sprintf("%d processes, which is all there is room for", MaxSessions))
	}
	s.Sessions[o.Process] = &Session{Process: o.Process, ID: o.ID, Zone: o.Zone, TaskKinds: o.TaskKinds, MaxTasks: o.MaxTasks, Opened: s.Clock, Revision: s.nextSessionRevision()}
	return s.result(Done, "")
}

// nextSessionRevision gives a number that no session had before.
func (s *State) nextSessionRevision() int64 {
	s.SessionRevision++
	return s.SessionRevision
}

// bumpSessionRevision tells a session that what it is to do has changed.
func (s *State) bumpSessionRevision(process string) {
	if o := s.Sessions[process]; o != nil {
		o.Revision = s.nextSessionRevision()
	}
}

func (s *State) closeOrDrainSession(c *Command) Result {
	if c.Session == nil {
		return s.result(Invalid, "no session")
	}
	o := s.Sessions[c.Session.Process]
	if o == nil || o.ID != c.Session.ID {
		return s.result(Unknown, fmt.Sprintf("no session of %s", c.Session.Process))
	}
	if c.Kind == DrainSession {
		o.Draining = true
		return s.result(Done, "")
	}
	why := cmp.Or(c.Reason, ReasonSessionClosed)
	for _, name := range s.TaskNames() {
		d := s.LeasedTasks[name]
		if d.Successor == o.Process {
			s.cancelTransfer(d)
		}
		if d.Holder == o.Process {
			s.endTerm(d, why)
		}
	}
	delete(s.Sessions, o.Process)
	return s.result(Done, "")
}

// defineTask makes a duty, or changes whom it prefers. Its time is part of what its holder
// relies on, so that stays while somebody has it.
func (s *State) defineTask(n *LeasedTask) Result {
	switch {
	case n == nil || !endpoints.IsToken(n.Name, endpoints.MaxName):
		return s.result(Invalid, "name: must be a word")
	case n.TTL < MinTTL || n.TTL > MaxTTL:
		return s.result(Invalid, fmt.Sprintf("ttl: must be %v to %v, is %v", MinTTL, MaxTTL, n.TTL))
	case n.PreferredZone != "" && !endpoints.IsToken(n.PreferredZone, endpoints.MaxLabel), n.PreferredProcess != "" && !endpoints.IsToken(n.PreferredProcess, endpoints.MaxName):
		return s.result(Invalid, "zone, process: must be words")
	}
	d := s.LeasedTasks[n.Name]
	switch {
	case d == nil && len(s.LeasedTasks) >= MaxTasks:
		return s.result(TooMany, fmt.Sprintf("%d duties, which is all there is room for", MaxTasks))
	case d == nil:
		s.LeasedTasks[n.Name] = &LeasedTask{Name: n.Name, TTL: n.TTL, PreferredZone: n.PreferredZone, PreferredProcess: n.PreferredProcess, Fence: s.Fence}
		return s.result(Done, "")
	case d.TTL != n.TTL && d.Holder != "":
		return s.result(Conflict, fmt.Sprintf("duty %s is held for %v a time; its time can't change", n.Name, d.TTL))
	}
	d.TTL, d.PreferredZone, d.PreferredProcess = n.TTL, n.PreferredZone, n.PreferredProcess
	return s.result(Done, "")
}

// applyOperatorCommand carries out an operator's word on a duty.
func (s *State) applyOperatorCommand(c *Command) Result {
	d := s.LeasedTasks[c.Name]
	if d == nil {
		return s.result(Unknown, fmt.Sprintf("no duty %s", c.Name))
	}
	switch c.Kind {
	case DeleteTask:
		if d.Holder != "" {
			return s.result(Conflict, fmt.Sprintf("duty %s is held by %s; park it first", d.Name, d.Holder))
		}
		delete(s.LeasedTasks, d.Name)
	case RevokeTerm:
		if d.Holder == "" {
			return s.result(Conflict, fmt.Sprintf("nobody holds duty %s", d.Name))
		}
		d.StopRequested = true
		s.bumpSessionRevision(d.Holder)
	case Suspend:
		d.SuspendReason = cmp.Or(c.Reason, "an operator's word")
		s.cancelTransfer(d)
		if d.Holder != "" {
			d.StopRequested = true
			s.bumpSessionRevision(d.Holder)
		}
	case Resume:
		d.SuspendReason, d.Failures, d.HolderDeaths, d.NotBefore, d.AvoidProcess = "", 0, 0, 0, ""
	}
	return s.result(Done, "")
}

// applyTermCommand carries out what names terms of duties. Of a single one the result tells what became
// of it; of several, those that are not so any more are passed over.
func (s *State) applyTermCommand(c *Command) Result {
	r := s.result(Done, "")
	for _, t := range c.Terms {
		d := s.LeasedTasks[t.Name]
		one := s.result(Done, "")
		switch {
		case d == nil:
			one = s.result(Unknown, fmt.Sprintf("no duty %s", t.Name))
		case c.Kind == GrantTerm:
			one = s.grantTerm(d, t.Process, t.Session)
		case c.Kind == TransferTask:
			one = s.transferTask(d, t.Process)
		case c.Kind == AcceptTransfer:
			if o := s.Sessions[t.Process]; d.Successor != t.Process || o == nil || o.ID != t.Session {
				one = s.result(Conflict, fmt.Sprintf("duty %s is not to go to %s", d.Name, t.Process))
			} else if !d.SuccessorReady {
				d.SuccessorReady = true
				s.bumpSessionRevision(d.Holder)
			}
		case d.Holder == "" || d.Fence != t.Fence || t.Session != "" && d.Session != t.Session:
			one = s.result(Fenced, fmt.Sprintf("fence %d of duty %s is not the present one, %d", t.Fence, d.Name, d.Fence))
		case c.Kind == ExpireTerm:
			s.endTerm(d, ReasonExpired)
			if t.CountDeath {
				s.countHolderDeath(d)
			}
		default:
			s.endTerm(d, cmp.Or(c.Reason, ReasonCompleted))
		}
		if len(c.Terms) == 1 {
			r = one
		}
	}
	return r
}

// grantTerm gives a free duty to a session that has room. The fence is a number that no term of
// any duty had before.
func (s *State) grantTerm(d *LeasedTask, process, id string) Result {
	o := s.Sessions[process]
	switch {
	case d.Holder == process && d.Session == id: // asked again, as the answer was lost
		r := s.result(Done, "")
		r.Fence = d.Fence
		return r
	case d.Holder != "":
		return s.result(Taken, fmt.Sprintf("duty %s is held by %s", d.Name, d.Holder))
	case d.SuspendReason != "":
		return s.result(Conflict, fmt.Sprintf("duty %s is parked: %s", d.Name, d.SuspendReason))
	case s.Clock < d.NotBefore:
		return s.result(Conflict, fmt.Sprintf("duty %s waits for another %v", d.Name, d.NotBefore-s.Clock))
	case o == nil || o.ID != id || o.Draining || !o.CanRun(d.Name):
		return s.result(Unknown, fmt.Sprintf("no session of %s that takes duties", process))
	}
	s.Fence++
	d.Holder, d.Session, d.Fence, d.HolderSince = process, id, s.Fence, s.Clock
	d.Successor, d.SuccessorSince, d.SuccessorReady, d.StopRequested = "", 0, false, false
	s.bumpSessionRevision(process)
	r := s.result(Done, "")
	r.Fence = d.Fence
	return r
}

// transferTask has a duty go to another process: that confirms first that it is ready, then the
// holder is told to stop, and its giving up is the other's grant.
func (s *State) transferTask(d *LeasedTask, to string) Result {
	if to == "" {
		s.cancelTransfer(d)
		return s.result(Done, "")
	}
	o := s.Sessions[to]
	switch {
	case d.Holder == "":
		return s.result(Conflict, fmt.Sprintf("nobody holds duty %s", d.Name))
	case d.SuspendReason != "":
		return s.result(Conflict, fmt.Sprintf("duty %s is parked: %s", d.Name, d.SuspendReason))
	case d.Holder == to:
		return s.result(Conflict, fmt.Sprintf("%s holds duty %s already", to, d.Name))
	case o == nil || o.Draining || !o.CanRun(d.Name):
		return s.result(Unknown, fmt.Sprintf("no session of %s that takes duties", to))
	}
	s.cancelTransfer(d)
	d.Successor, d.SuccessorSince = to, s.Clock
	s.bumpSessionRevision(to)
	return s.result(Done, "")
}

func (s *State) cancelTransfer(d *LeasedTask) {
	if d.Successor == "" {
		return
	}
	s.bumpSessionRevision(d.Successor)
	s.bumpSessionRevision(d.Holder)
	d.Successor, d.SuccessorSince, d.SuccessorReady = "", 0, false
}

// endTerm ends a term. A duty that was to move, and whose next holder is ready, is that
// one's at once.
func (s *State) endTerm(d *LeasedTask, why string) {
	if d.StopRequested && why == ReasonCompleted {
		why = ReasonRevoked
	}
	soon := s.Clock-d.HolderSince < shortTermDuration
	d.History = append(d.History, Term{d.Holder, d.Fence, d.HolderSince, s.Clock, why})
	if len(d.History) > maxTermHistory {
		d.History = slices.Delete(d.History, 0, len(d.History)-maxTermHistory)
	}
	s.bumpSessionRevision(d.Holder)
	from := d.Holder
	d.Holder, d.Session, d.HolderSince, d.StopRequested = "", "", 0, false
	switch {
	case why == ReasonFailed && soon:
		d.Failures++
		d.NotBefore, d.AvoidProcess = s.Clock+min(minRetryBackoff<<min(d.Failures-1, 20), maxRetryBackoff), from
	case why == ReasonFailed || why == ReasonExpired:
		d.AvoidProcess = from
		if !soon {
			d.Failures, d.HolderDeaths = 0, 0
		}
	default:
		if !soon {
			d.Failures, d.HolderDeaths, d.AvoidProcess = 0, 0, ""
		}
	}
	next, ready := d.Successor, d.SuccessorReady
	if next != "" {
		s.cancelTransfer(d)
	}
	if o := s.Sessions[next]; ready && o != nil && d.SuspendReason == "" && why != ReasonFailed {
		s.grantTerm(d, next, o.ID)
	}
}

// checkTasks refuses what Apply could not have made.
func (s *State) checkTasks() error {
	if s.Sessions == nil {
		s.Sessions = map[string]*Session{}
	}
	if s.LeasedTasks == nil {
		s.LeasedTasks = map[string]*LeasedTask{}
	}
	for name, o := range s.Sessions {
		if o == nil || o.Process != name || o.ID == "" || o.MaxTasks < 0 || o.Revision > s.SessionRevision {
			return fmt.Errorf("session %q is not itself", name)
		}
	}
	for name, d := range s.LeasedTasks {
		if d == nil || d.Name != name || d.TTL < MinTTL || d.TTL > MaxTTL || d.Fence > s.Fence {
			return fmt.Errorf("duty %q is not itself", name)
		}
		if (d.Holder == "") != (d.Session == "") || d.Successor != "" && (d.Holder == "" || s.Sessions[d.Successor] == nil) {
			return fmt.Errorf("duty %q: its holder makes no sense", name)
		}
	}
	return nil
}

// countHolderDeath counts a holder that ended soon after it was granted this duty last of all. After a
// few in a row nobody gets it any more before an operator has looked.
func (s *State) countHolderDeath(d *LeasedTask) {
	if d.HolderDeaths++; d.HolderDeaths >= suspendAfterDeaths && d.Holder == "" {
		d.SuspendReason = fmt.Sprintf("its last %d holders ended in it", d.HolderDeaths)
	}
}

// TaskNames returns the names of all duties in order.
func (s *State) TaskNames() []string {
	names := make([]string, 0, len(s.LeasedTasks))
	for name := range s.LeasedTasks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Assignment is what a session is to do about one duty.
type Assignment struct {
	Name  string        `json:"name"`
	TTL   time.Duration `json:"ttl"`
	Fence int64         `json:"fence,omitempty"` // held, under this fence
	Stop  bool          `json:"stop,omitempty"`  // held, and to be given up
	Ready bool          `json:"ready,omitempty"` // not held yet: to be confirmed
}

// Assignments is what a session is to do, and its revision.
func (s *State) Assignments(process, id string) (tasks []Assignment, rev int64, ok bool) {
	o := s.Sessions[process]
	if o == nil || o.ID != id {
		return nil, 0, false
	}
	tasks = []Assignment{}
	for _, name := range s.TaskNames() {
		switch d := s.LeasedTasks[name]; {
		case d.Holder == process:
			tasks = append(tasks, Assignment{Name: name, TTL: d.TTL, Fence: d.Fence, Stop: d.StopRequested || d.SuccessorReady})
		case d.Successor == process && !d.SuccessorReady:
			tasks = append(tasks, Assignment{Name: name, TTL: d.TTL, Ready: true})
		}
	}
	return tasks, o.Revision, true
}
