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
	Open   Kind = "open"    // Session: a process that can hold duties is there
	Close  Kind = "close"   // Session: it ends, and holds nothing any more
	Rest   Kind = "rest"    // Session: it wants to be rid of its duties
	Define Kind = "define"  // Duty: there is such a duty
	Drop   Kind = "drop"    // Name: there is none any more
	Grant  Kind = "grant"   // Grants
	Free   Kind = "free"    // Grants: their holders were not heard for their time
	GiveUp Kind = "give up" // Grants, Why: the holder has stopped
	Move   Kind = "move"    // Grants: they are to go to the process named
	Accept Kind = "accept"  // Grants: that process is ready
	Revoke Kind = "revoke"  // Name: an operator wants the holder to stop
	Park   Kind = "park"    // Name, Why: nobody is to have it
	Unpark Kind = "unpark"  // Name
)

// Why a term of a duty ended.
const (
	WhyDone    = "done"    // its function returned
	WhyFailed  = "failed"  // its function returned an error
	WhyMoved   = "moved"   // another was to have it
	WhyLapsed  = "lapsed"  // its holder was not heard for its time
	WhyClosed  = "closed"  // its holder ended in order
	WhyRevoked = "revoked" // an operator wanted it
)

// Codes of duties.
const (
	Fenced Code = "fenced" // the act is of an older term, or of none
	Taken  Code = "taken"  // another process has the name, and its time is not over
)

// Bounds of duties.
const (
	MaxDuties   = 20_000
	MaxSessions = 256
	MinTTL      = 500 * time.Millisecond
	MaxTTL      = 10 * time.Minute
	mostKinds   = 32
	mostTerms   = 8 // kept of a duty's past
	// A term that fails sooner than quick is backed off, from failFirst, doubled up to
	// failMost; after killAfter holders in a row that ended so soon in it, it is parked.
	quick     = 30 * time.Second
	failFirst = time.Second
	failMost  = 5 * time.Minute
	killAfter = 3
)

// Session is a process that can hold duties, from its start to its end.
type Session struct {
	Process string        `json:"process"`
	ID      string        `json:"id"` // drawn at its start: another process of that name has another
	Zone    string        `json:"zone,omitempty"`
	Kinds   []string      `json:"kinds,omitempty"` // what it can do: the first parts of duties' names, up to a dot; none: all
	Cap     int           `json:"cap"`             // duties that it holds at most
	Resting bool          `json:"resting,omitempty"`
	Opened  time.Duration `json:"opened,omitempty"`
	Rev     int64         `json:"rev"` // of what it is to do: it changes with each change of that
}

// Does tells whether the process can do a duty.
func (o *Session) Does(duty string) bool {
	kind, _, _ := strings.Cut(duty, ".")
	return len(o.Kinds) == 0 || slices.Contains(o.Kinds, kind)
}

// Duty is work that one process at a time may hold.
type Duty struct {
	Name    string        `json:"name"`
	TTL     time.Duration `json:"ttl"`
	Zone    string        `json:"zone,omitempty"`    // where it had best be
	Process string        `json:"process,omitempty"` // who had best have it

	Holder   string        `json:"holder,omitempty"` // "": nobody
	Session  string        `json:"session,omitempty"`
	Fence    int64         `json:"fence"` // of the last term; it only grows
	Since    time.Duration `json:"since,omitempty"`
	Next     string        `json:"next,omitempty"` // who is to have it after the holder
	NextFrom time.Duration `json:"next_from,omitempty"`
	Accepted bool          `json:"accepted,omitempty"` // Next is ready
	Stop     bool          `json:"stop,omitempty"`     // the holder is to stop in any case
	Wait     time.Duration `json:"wait,omitempty"`     // nobody gets it before then
	Avoid    string        `json:"avoid,omitempty"`    // where it failed last
	Fails    int           `json:"fails,omitempty"`
	Deaths   int           `json:"deaths,omitempty"`
	Parked   string        `json:"parked,omitempty"` // why nobody is to have it
	Past     []Term        `json:"past,omitempty"`
}

// Term is one holder's time with a duty.
type Term struct {
	Process string        `json:"process"`
	Fence   int64         `json:"fence"`
	From    time.Duration `json:"from"`
	To      time.Duration `json:"to"`
	Why     string        `json:"why"`
}

// Tie names a duty's term, or who is to have it.
type Tie struct {
	Name    string `json:"name"`
	Process string `json:"process,omitempty"`
	Session string `json:"session,omitempty"`
	Fence   int64  `json:"fence,omitempty"`
	Blame   bool   `json:"blame,omitempty"` // of a lapsed one: its holder may have died of it
}

// duties carries out a command on duties; not ok is one of another kind.
func (s *State) duties(c *Command) (Result, bool) {
	switch c.Kind {
	case Open:
		return s.open(c.Session), true
	case Close, Rest:
		return s.leave(c), true
	case Define:
		return s.define(c.Duty), true
	case Drop, Revoke, Park, Unpark:
		return s.order(c), true
	case Grant, Free, GiveUp, Move, Accept:
		return s.ties(c), true
	}
	return Result{}, false
}

// fenced tells why an act under a duty must not be carried out: its term is not the present
// one. A command that names no duty is not an act under one.
func (s *State) fenced(c *Command) (Result, bool) {
	if c.Under == "" {
		return Result{}, false
	}
	d := s.Duties[c.Under]
	if d == nil {
		return s.result(Unknown, fmt.Sprintf("no duty %s", c.Under)), true
	}
	if d.Holder == "" || d.Fence != c.Fence {
		return s.result(Fenced, fmt.Sprintf("fence %d of duty %s is not the present one, %d", c.Fence, d.Name, d.Fence)), true
	}
	return Result{}, false
}

// open takes a process in. A name is one process's until that has closed its session or
// lapsed: whoever comes with it meanwhile is told so.
func (s *State) open(o *Session) Result {
	switch {
	case o == nil || !endpoints.IsWord(o.Process, endpoints.MaxName) || !endpoints.IsWord(o.ID, endpoints.MaxName):
		return s.result(Invalid, "process, id: must be words")
	case o.Zone != "" && !endpoints.IsWord(o.Zone, endpoints.MaxWord):
		return s.result(Invalid, "zone: must be a word")
	case len(o.Kinds) > mostKinds || slices.ContainsFunc(o.Kinds, func(k string) bool { return !endpoints.IsWord(k, endpoints.MaxWord) }):
		return s.result(Invalid, fmt.Sprintf("kinds: must be at most %d words", mostKinds))
	case o.Cap < 0 || o.Cap > MaxDuties:
		return s.result(Invalid, fmt.Sprintf("cap: must be 0 to %d, is %d", MaxDuties, o.Cap))
	}
	if was := s.Sessions[o.Process]; was != nil {
		if was.ID != o.ID {
			return s.result(Taken, fmt.Sprintf("another process is called %s, and is there", o.Process))
		}
		was.Zone, was.Kinds, was.Cap, was.Resting = o.Zone, o.Kinds, o.Cap, false
		return s.result(Done, "")
	}
	if len(s.Sessions) >= MaxSessions {
		return s.result(TooMany, fmt.Sprintf("%d processes, which is all there is room for", MaxSessions))
	}
	s.Sessions[o.Process] = &Session{Process: o.Process, ID: o.ID, Zone: o.Zone, Kinds: o.Kinds, Cap: o.Cap, Opened: s.Clock, Rev: s.revision()}
	return s.result(Done, "")
}

// revision gives a number that no session had before.
func (s *State) revision() int64 {
	s.Rev++
	return s.Rev
}

// stir tells a session that what it is to do has changed.
func (s *State) stir(process string) {
	if o := s.Sessions[process]; o != nil {
		o.Rev = s.revision()
	}
}

func (s *State) leave(c *Command) Result {
	if c.Session == nil {
		return s.result(Invalid, "no session")
	}
	o := s.Sessions[c.Session.Process]
	if o == nil || o.ID != c.Session.ID {
		return s.result(Unknown, fmt.Sprintf("no session of %s", c.Session.Process))
	}
	if c.Kind == Rest {
		o.Resting = true
		return s.result(Done, "")
	}
	why := cmp.Or(c.Why, WhyClosed)
	for _, name := range s.DutyNames() {
		d := s.Duties[name]
		if d.Next == o.Process {
			s.unmove(d)
		}
		if d.Holder == o.Process {
			s.vacate(d, why)
		}
	}
	delete(s.Sessions, o.Process)
	return s.result(Done, "")
}

// define makes a duty, or changes whom it prefers. Its time is part of what its holder
// relies on, so that stays while somebody has it.
func (s *State) define(n *Duty) Result {
	switch {
	case n == nil || !endpoints.IsWord(n.Name, endpoints.MaxName):
		return s.result(Invalid, "name: must be a word")
	case n.TTL < MinTTL || n.TTL > MaxTTL:
		return s.result(Invalid, fmt.Sprintf("ttl: must be %v to %v, is %v", MinTTL, MaxTTL, n.TTL))
	case n.Zone != "" && !endpoints.IsWord(n.Zone, endpoints.MaxWord), n.Process != "" && !endpoints.IsWord(n.Process, endpoints.MaxName):
		return s.result(Invalid, "zone, process: must be words")
	}
	d := s.Duties[n.Name]
	switch {
	case d == nil && len(s.Duties) >= MaxDuties:
		return s.result(TooMany, fmt.Sprintf("%d duties, which is all there is room for", MaxDuties))
	case d == nil:
		s.Duties[n.Name] = &Duty{Name: n.Name, TTL: n.TTL, Zone: n.Zone, Process: n.Process, Fence: s.Fence}
		return s.result(Done, "")
	case d.TTL != n.TTL && d.Holder != "":
		return s.result(Conflict, fmt.Sprintf("duty %s is held for %v a time; its time can't change", n.Name, d.TTL))
	}
	d.TTL, d.Zone, d.Process = n.TTL, n.Zone, n.Process
	return s.result(Done, "")
}

// order carries out an operator's word on a duty.
func (s *State) order(c *Command) Result {
	d := s.Duties[c.Name]
	if d == nil {
		return s.result(Unknown, fmt.Sprintf("no duty %s", c.Name))
	}
	switch c.Kind {
	case Drop:
		if d.Holder != "" {
			return s.result(Conflict, fmt.Sprintf("duty %s is held by %s; park it first", d.Name, d.Holder))
		}
		delete(s.Duties, d.Name)
	case Revoke:
		if d.Holder == "" {
			return s.result(Conflict, fmt.Sprintf("nobody holds duty %s", d.Name))
		}
		d.Stop = true
		s.stir(d.Holder)
	case Park:
		d.Parked = cmp.Or(c.Why, "an operator's word")
		s.unmove(d)
		if d.Holder != "" {
			d.Stop = true
			s.stir(d.Holder)
		}
	case Unpark:
		d.Parked, d.Fails, d.Deaths, d.Wait, d.Avoid = "", 0, 0, 0, ""
	}
	return s.result(Done, "")
}

// ties carries out what names terms of duties. Of a single one the result tells what became
// of it; of several, those that are not so any more are passed over.
func (s *State) ties(c *Command) Result {
	r := s.result(Done, "")
	for _, t := range c.Ties {
		d := s.Duties[t.Name]
		one := s.result(Done, "")
		switch {
		case d == nil:
			one = s.result(Unknown, fmt.Sprintf("no duty %s", t.Name))
		case c.Kind == Grant:
			one = s.grant(d, t.Process, t.Session)
		case c.Kind == Move:
			one = s.move(d, t.Process)
		case c.Kind == Accept:
			if o := s.Sessions[t.Process]; d.Next != t.Process || o == nil || o.ID != t.Session {
				one = s.result(Conflict, fmt.Sprintf("duty %s is not to go to %s", d.Name, t.Process))
			} else if !d.Accepted {
				d.Accepted = true
				s.stir(d.Holder)
			}
		case d.Holder == "" || d.Fence != t.Fence || t.Session != "" && d.Session != t.Session:
			one = s.result(Fenced, fmt.Sprintf("fence %d of duty %s is not the present one, %d", t.Fence, d.Name, d.Fence))
		case c.Kind == Free:
			s.vacate(d, WhyLapsed)
			if t.Blame {
				s.blame(d)
			}
		default:
			s.vacate(d, cmp.Or(c.Why, WhyDone))
		}
		if len(c.Ties) == 1 {
			r = one
		}
	}
	return r
}

// grant gives a free duty to a session that has room. The fence is a number that no term of
// any duty had before.
func (s *State) grant(d *Duty, process, id string) Result {
	o := s.Sessions[process]
	switch {
	case d.Holder == process && d.Session == id: // asked again, as the answer was lost
		r := s.result(Done, "")
		r.Fence = d.Fence
		return r
	case d.Holder != "":
		return s.result(Taken, fmt.Sprintf("duty %s is held by %s", d.Name, d.Holder))
	case d.Parked != "":
		return s.result(Conflict, fmt.Sprintf("duty %s is parked: %s", d.Name, d.Parked))
	case s.Clock < d.Wait:
		return s.result(Conflict, fmt.Sprintf("duty %s waits for another %v", d.Name, d.Wait-s.Clock))
	case o == nil || o.ID != id || o.Resting || !o.Does(d.Name):
		return s.result(Unknown, fmt.Sprintf("no session of %s that takes duties", process))
	}
	s.Fence++
	d.Holder, d.Session, d.Fence, d.Since = process, id, s.Fence, s.Clock
	d.Next, d.NextFrom, d.Accepted, d.Stop = "", 0, false, false
	s.stir(process)
	r := s.result(Done, "")
	r.Fence = d.Fence
	return r
}

// move has a duty go to another process: that confirms first that it is ready, then the
// holder is told to stop, and its giving up is the other's grant.
func (s *State) move(d *Duty, to string) Result {
	if to == "" {
		s.unmove(d)
		return s.result(Done, "")
	}
	o := s.Sessions[to]
	switch {
	case d.Holder == "":
		return s.result(Conflict, fmt.Sprintf("nobody holds duty %s", d.Name))
	case d.Parked != "":
		return s.result(Conflict, fmt.Sprintf("duty %s is parked: %s", d.Name, d.Parked))
	case d.Holder == to:
		return s.result(Conflict, fmt.Sprintf("%s holds duty %s already", to, d.Name))
	case o == nil || o.Resting || !o.Does(d.Name):
		return s.result(Unknown, fmt.Sprintf("no session of %s that takes duties", to))
	}
	s.unmove(d)
	d.Next, d.NextFrom = to, s.Clock
	s.stir(to)
	return s.result(Done, "")
}

func (s *State) unmove(d *Duty) {
	if d.Next == "" {
		return
	}
	s.stir(d.Next)
	s.stir(d.Holder)
	d.Next, d.NextFrom, d.Accepted = "", 0, false
}

// vacate ends a term. A duty that was to move, and whose next holder is ready, is that
// one's at once.
func (s *State) vacate(d *Duty, why string) {
	if d.Stop && why == WhyDone {
		why = WhyRevoked
	}
	soon := s.Clock-d.Since < quick
	d.Past = append(d.Past, Term{d.Holder, d.Fence, d.Since, s.Clock, why})
	if len(d.Past) > mostTerms {
		d.Past = slices.Delete(d.Past, 0, len(d.Past)-mostTerms)
	}
	s.stir(d.Holder)
	from := d.Holder
	d.Holder, d.Session, d.Since, d.Stop = "", "", 0, false
	switch {
	case why == WhyFailed && soon:
		d.Fails++
		d.Wait, d.Avoid = s.Clock+min(failFirst<<min(d.Fails-1, 20), failMost), from
	case why == WhyFailed || why == WhyLapsed:
		d.Avoid = from
		if !soon {
			d.Fails, d.Deaths = 0, 0
		}
	default:
		if !soon {
			d.Fails, d.Deaths, d.Avoid = 0, 0, ""
		}
	}
	next, ready := d.Next, d.Accepted
	if next != "" {
		s.unmove(d)
	}
	if o := s.Sessions[next]; ready && o != nil && d.Parked == "" && why != WhyFailed {
		s.grant(d, next, o.ID)
	}
}

// checkDuties refuses what Apply could not have made.
func (s *State) checkDuties() error {
	if s.Sessions == nil {
		s.Sessions = map[string]*Session{}
	}
	if s.Duties == nil {
		s.Duties = map[string]*Duty{}
	}
	for name, o := range s.Sessions {
		if o == nil || o.Process != name || o.ID == "" || o.Cap < 0 || o.Rev > s.Rev {
			return fmt.Errorf("session %q is not itself", name)
		}
	}
	for name, d := range s.Duties {
		if d == nil || d.Name != name || d.TTL < MinTTL || d.TTL > MaxTTL || d.Fence > s.Fence {
			return fmt.Errorf("duty %q is not itself", name)
		}
		if (d.Holder == "") != (d.Session == "") || d.Next != "" && (d.Holder == "" || s.Sessions[d.Next] == nil) {
			return fmt.Errorf("duty %q: its holder makes no sense", name)
		}
	}
	return nil
}

// blame counts a holder that ended soon after it was granted this duty last of all. After a
// few in a row nobody gets it any more before an operator has looked.
func (s *State) blame(d *Duty) {
	if d.Deaths++; d.Deaths >= killAfter && d.Holder == "" {
		d.Parked = fmt.Sprintf("its last %d holders ended in it", d.Deaths)
	}
}

// DutyNames returns the names of all duties in order.
func (s *State) DutyNames() []string {
	names := make([]string, 0, len(s.Duties))
	for name := range s.Duties {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Task is what a session is to do about one duty.
type Task struct {
	Name  string        `json:"name"`
	TTL   time.Duration `json:"ttl"`
	Fence int64         `json:"fence,omitempty"` // held, under this fence
	Stop  bool          `json:"stop,omitempty"`  // held, and to be given up
	Ready bool          `json:"ready,omitempty"` // not held yet: to be confirmed
}

// Tasks is what a session is to do, and its revision.
func (s *State) Tasks(process, id string) (tasks []Task, rev int64, ok bool) {
	o := s.Sessions[process]
	if o == nil || o.ID != id {
		return nil, 0, false
	}
	tasks = []Task{}
	for _, name := range s.DutyNames() {
		switch d := s.Duties[name]; {
		case d.Holder == process:
			tasks = append(tasks, Task{Name: name, TTL: d.TTL, Fence: d.Fence, Stop: d.Stop || d.Accepted})
		case d.Next == process && !d.Accepted:
			tasks = append(tasks, Task{Name: name, TTL: d.TTL, Ready: true})
		}
	}
	return tasks, o.Rev, true
}
