package member

import (
	"math"
	"slices"
	"time"
)

// Config is how a tracker judges.
type Config struct {
	Self Info
	// PeerTimeout is how long a peer may not answer this process itself before that is held against it.
	PeerTimeout time.Duration
	// SessionGrace is how long a session may be away, as it moves from one steward to another, and
	// FailTimeout how long after that it counts as failed.
	SessionGrace, FailTimeout time.Duration
	// MassFailureShare of the present members that gossip which may fail within Window; of more, all that
	// do are in doubt, at most for Hold where others say the same.
	MassFailureShare                    float64
	MassFailureWindow, MassFailureDelay time.Duration
	// ReportRetention is how long a report counts that is not renewed.
	ReportRetention time.Duration
	// TombstoneRetention is how long the end of a member is remembered.
	TombstoneRetention time.Duration
}

// Defaults are those for processes of one site.
func Defaults(self Info) Config {
	return Config{Self: self, PeerTimeout: 3 * time.Second, SessionGrace: 2 * time.Second, FailTimeout: time.Second, MassFailureShare: 0.4,
		MassFailureWindow: 5 * time.Second, MassFailureDelay: 3 * time.Second, ReportRetention: 16 * time.Second, TombstoneRetention: 10 * time.Minute}
}

// Tracker keeps what one process knows of the others. It is pure, and not safe for
// concurrent use.
type Tracker struct {
	c       Config
	all     map[string]*subject
	lives   map[string]life // of observers, by name
	deaths  []death
	version int64
	seq     int64
	calm    time.Duration // until then this process itself was slow, and accuses nobody
	counts  Counts
}

// Counts is what a tracker counted.
type Counts struct {
	Stale          int64 // news of an earlier life, which changed nothing
	Deferred       int64 // ends that were not believed at first: too many at once, or this process was slow
	Suspects       int64 // members that gossip and became suspect here
	FalsePositives int64 // of them, those that were present again without having ended
	Overflow       int64 // members that there was no room for
	UnknownSenders int64 // reports by somebody who is no steward
}

// never is before all that can be.
const never = time.Duration(math.MinInt64)

type death struct {
	at   time.Duration
	name string
}

// subject is one member.
type subject struct {
	info   Info
	own    State // "": this process has no opinion
	since  time.Duration
	open   int           // sessions that are open here
	heard  time.Duration // last, by this process itself
	peer   bool          // it is asked directly
	dead   bool          // the library says so
	due    time.Duration // when its end is believed, if nobody contradicts
	others map[string]told
	said   State // what was last reported to others
	shown  State // what the view last showed
}

type told struct {
	Observation
	at time.Duration // since when it has thought so, by this process's time
	in time.Duration // when it came
	// seq is of the report that it came with. News is passed on by many, and comes in any
	// order: each word is held against the one before about the same member.
	seq int64
}

// life is how far an observer's reports have come.
type life struct {
	incarnation, whole int64 // whole is the last that told all
	life               string
}

// Change is a member whose state in the view is another.
type Change struct {
	Name     string
	Role     Role
	From, To State
}

// NewTracker makes a tracker that knows nobody but this process.
func NewTracker(c Config) *Tracker {
	return &Tracker{c: c, all: map[string]*subject{}, lives: map[string]life{}}
}

// UpdateSelf changes what this process says of itself.
func (t *Tracker) UpdateSelf(i Info) {
	if i.Incarnation != t.c.Self.Incarnation {
		for _, s := range t.all {
			s.said = "" // what was said without the number may not have counted
		}
	}
	t.c.Self = i
}

// Counts tells what was counted.
func (t *Tracker) Counts() Counts { return t.counts }

// get finds a member, or makes room for one. A word of an earlier life than is known counts
// for nothing.
func (t *Tracker) get(now time.Duration, i Info) *subject {
	if i.Name == t.c.Self.Name && i.Role == t.c.Self.Role {
		return nil
	}
	s := t.all[i.Name]
	switch {
	case s == nil:
		if len(t.all) >= MaxMembers {
			t.counts.Overflow++
			return nil
		}
		s = &subject{others: map[string]told{}, since: now}
		t.all[i.Name] = s
	case i.Incarnation < s.info.Incarnation:
		t.counts.Stale++
		return nil
	case i.Incarnation > s.info.Incarnation: // what was said of its earlier life is over
		if s.info.Incarnation > 0 || i.Incarnation > 0 && s.own != Joining {
			s.dead, s.due = false, 0
		}
	}
	s.info = i
	return s
}

func (t *Tracker) set(now time.Duration, s *subject, st State) {
	if s.own == st {
		return
	}
	switch {
	case !s.info.Role.Gossips(): // a session is doubted whenever it moves
	case st == Suspect:
		t.counts.Suspects++
	case st == Present && s.own == Suspect:
		t.counts.FalsePositives++
	}
	s.own, s.since = st, now
	t.version++
}

// Alive is told by gossip that a member is there, or says something new of itself.
func (t *Tracker) Alive(now time.Duration, i Info) {
	if s := t.all[i.Name]; s != nil && i.Incarnation == 0 {
		// It has started again and has no number yet. Gossip keeps its lives in order itself, so
		// this is the latest, and whose folder it runs over is known from now on.
		i.Incarnation = s.info.Incarnation
	}
	if s := t.get(now, i); s != nil {
		s.dead, s.due = false, 0
		if s.heard == 0 {
			s.heard = now
		}
		t.settle(now, s)
	}
}

// Dead is told that gossip takes a member for dead or gone.
func (t *Tracker) Dead(now time.Duration, name string) {
	s := t.all[name]
	if s == nil || s.dead {
		return
	}
	s.dead = true
	if !s.info.ShuttingDown {
		t.deaths = append(t.deaths, death{now, name})
		if t.mass(now) || now < t.calm {
			t.counts.Deferred++
			s.due = now + t.c.MassFailureDelay
		}
	}
	t.settle(now, s)
}

// mass tells whether too many members died at once to be believed.
func (t *Tracker) mass(now time.Duration) bool {
	for len(t.deaths) > 0 && now-t.deaths[0].at > t.c.MassFailureWindow {
		t.deaths = t.deaths[1:]
	}
	dead := map[string]bool{}
	for _, d := range t.deaths {
		if s := t.all[d.name]; s != nil && s.dead {
			dead[d.name] = true
		}
	}
	n := 1 // this one
	for name, s := range t.all {
		if s.info.Role.Gossips() && (dead[name] || s.own == Present || s.own == Suspect || s.own == Joining) {
			n++
		}
	}
	return len(dead) > max(int(t.c.MassFailureShare*float64(n)), 1)
}

// PeerAnswered is told that a member answered this process itself; Peer, that it is asked to.
func (t *Tracker) PeerAnswered(now time.Duration, name string) {
	if s := t.all[name]; s != nil {
		s.heard = max(s.heard, now)
		t.settle(now, s)
	}
}

// ExpectPeer says that a member is asked by this process itself, so that its silence means something.
func (t *Tracker) ExpectPeer(now time.Duration, name string) {
	if s := t.all[name]; s != nil && !s.peer {
		s.peer, s.heard = true, now
	}
}

// SessionOpened is told of a session that began here: an agent's watch.
func (t *Tracker) SessionOpened(now time.Duration, i Info) {
	if s := t.get(now, i); s != nil {
		s.open++
		s.heard, s.due = now, 0
		t.set(now, s, Present)
	}
}

// SessionClosed is told of the end of a session that was open here.
func (t *Tracker) SessionClosed(now time.Duration, name string) {
	if s := t.all[name]; s != nil && s.open > 0 {
		if s.open--; s.open == 0 {
			s.heard = now
			s.due = now + t.c.SessionGrace
		}
	}
}

// Heartbeat is told of a member that says now and then that it is there, and for how long that
// counts.
func (t *Tracker) Heartbeat(now time.Duration, i Info, counts time.Duration) {
	if s := t.get(now, i); s != nil {
		s.heard, s.due = now, now+counts
		t.set(now, s, Present)
	}
}

// Leave is told by a member itself that it ends.
func (t *Tracker) Leave(now time.Duration, i Info) {
	if s := t.all[i.Name]; s != nil && s.info.InstanceID != i.InstanceID {
		t.counts.Stale++ // the word of a life before, which comes late
		return
	}
	if s := t.get(now, i); s != nil {
		s.info.ShuttingDown, s.due, s.open = true, 0, 0
		t.set(now, s, Left)
	}
}

// Paused is told that this process stood still, or ran late, for so long: what it did not
// hear meanwhile is held against nobody.
func (t *Tracker) Paused(now, by time.Duration) {
	t.calm = max(t.calm, now+t.c.MassFailureDelay)
	for _, s := range t.all {
		if s.heard > 0 {
			s.heard = min(s.heard+by, now)
		}
		if s.due > 0 {
			s.due += by
		}
		for from, o := range s.others {
			o.in = min(o.in+by, now)
			s.others[from] = o
		}
	}
}

// SelfSuspect tells whether this process was slow itself of late, so that it accuses nobody.
func (t *Tracker) SelfSuspect(now time.Duration) bool { return now < t.calm }

// InstanceID is the folder of the process that has a name, where the view has it as there.
func (t *Tracker) InstanceID(name string) (id string, is bool) {
	if name == t.c.Self.Name {
		return t.c.Self.InstanceID, true
	}
	s := t.all[name]
	if s == nil {
		return "", false
	}
	st := t.combined(s)
	return s.info.InstanceID, st != Failed && st != Left // whoever is in doubt may be there
}

// AddAbsent adds those that gossip and are not there by the view.
func (t *Tracker) AddAbsent(to map[string]bool) {
	for name, s := range t.all {
		if st := t.combined(s); s.info.Role.Gossips() && st != Present && st != Joining {
			to[name] = true
		}
	}
}

// settle draws the opinion of a member that gossips from what is known of it.
func (t *Tracker) settle(now time.Duration, s *subject) {
	if !s.info.Role.Gossips() {
		return
	}
	switch {
	case s.info.ShuttingDown && s.dead:
		t.set(now, s, Left)
	case s.dead && s.peer && now-s.heard < t.c.PeerTimeout/2:
		// It has just answered this process itself, so the news may be of an earlier life of it.
		t.set(now, s, Suspect)
	case s.dead && s.due > 0 && !t.confirmed(now, s):
		t.set(now, s, Suspect)
	case s.dead:
		s.due = 0
		t.set(now, s, Failed)
	case s.peer && now-s.heard >= t.c.PeerTimeout && now >= t.calm:
		t.set(now, s, Suspect)
	case s.info.Incarnation == 0:
		t.set(now, s, Joining)
	default:
		t.set(now, s, Present)
	}
}

// confirmed tells whether an end that is in doubt is believed: once its time is up, and only
// where most of the observers that are there say the same, two at least with this one.
func (t *Tracker) confirmed(now time.Duration, s *subject) bool {
	say, observers := 1, 1
	for name, o := range t.all {
		if o == s || o.info.Role != RoleControlPlane || o.own != Present && o.own != Joining {
			continue
		}
		observers++
		if x, ok := s.others[name]; ok && x.Incarnation == s.info.Incarnation && (x.State == Failed || x.State == Suspect) && now-x.in < t.c.ReportRetention {
			say++
		}
	}
	return say >= 2 && 2*say > observers && (now >= s.due || say == observers)
}

// MergeReport takes what another observer thinks, and tells whether any of it was new.
func (t *Tracker) MergeReport(now time.Duration, r *Report) (fresh bool) {
	o := t.all[r.From]
	if o == nil || o.info.Role != RoleControlPlane {
		t.counts.UnknownSenders++
		return false
	}
	l := t.lives[r.From]
	number := r.Incarnation
	if number == 0 { // it has just started, and has none yet
		number = l.incarnation
	}
	switch {
	case number < l.incarnation, r.BootID == l.life && r.Seq <= l.whole,
		// Lives that the catalog has not numbered are told apart only: what is whole comes from
		// the observer itself, what is passed on may be of a life before.
		number == l.incarnation && r.BootID != l.life && l.life != "" && !r.Full:
		t.counts.Stale++
		return false
	}
	if r.BootID != l.life {
		l.whole = 0
		for _, s := range t.all {
			if o, ok := s.others[r.From]; ok { // its numbers begin anew
				o.seq = 0
				s.others[r.From] = o
			}
		}
	}
	if r.Full {
		l.whole = r.Seq
	}
	t.lives[r.From] = life{number, l.whole, r.BootID}
	if r.Full {
		for _, s := range t.all {
			if o, ok := s.others[r.From]; ok && o.seq < r.Seq && !slices.ContainsFunc(r.Observations, func(y Observation) bool { return y.Name == s.info.Name }) {
				delete(s.others, r.From)
				t.version++
			}
		}
	}
	for _, x := range r.Observations {
		if x.Name == t.c.Self.Name || x.Name == r.From {
			continue
		}
		s := t.all[x.Name]
		if s == nil {
			if x.Role.Gossips() || len(t.all) >= MaxMembers {
				continue // those that gossip are known by gossip, or not at all
			}
			s = &subject{info: Info{ProtocolVersion: ProtocolVersion, Name: x.Name, Role: x.Role, Zone: x.Zone, Incarnation: x.Incarnation}, others: map[string]told{}, since: now}
			t.all[x.Name] = s
		}
		was, had := s.others[r.From]
		if had && was.seq >= r.Seq {
			continue // it came late
		}
		if !had || was.State != x.State || was.Incarnation != x.Incarnation {
			t.version++
		}
		fresh = true
		s.others[r.From] = told{x, now - time.Duration(x.ForMs)*time.Millisecond, now, r.Seq}
		if x.Incarnation > s.info.Incarnation && !x.Role.Gossips() { // a later life, seen elsewhere
			s.info.Incarnation = x.Incarnation
		}
		if s.own == Left && x.Incarnation > s.info.Incarnation {
			s.own = ""
		}
	}
	return fresh
}

// Tick lets time pass, and tells whose state in the view is another.
func (t *Tracker) Tick(now time.Duration) (changes []Change) {
	for name, s := range t.all {
		for from, o := range s.others {
			if now-o.in >= t.c.ReportRetention {
				delete(s.others, from)
				t.version++
			}
		}
		switch {
		case s.info.Role.Gossips():
			t.settle(now, s)
		case s.open == 0 && s.due > 0 && now >= s.due:
			switch s.own {
			case Present:
				// Whoever is seen elsewhere has moved: this process has no opinion of it any more.
				if t.elsewhere(s, never) {
					s.own, s.due = "", 0
					t.version++
					break
				}
				t.set(now, s, Suspect)
				s.due = now + t.c.FailTimeout
			case Suspect:
				if t.elsewhere(s, never) {
					s.own, s.due = "", 0
					t.version++
					break
				}
				t.set(now, s, Failed)
				s.due = 0
			}
		case s.open == 0 && (s.own == Suspect || s.own == Failed || s.own == Left) && t.elsewhere(s, s.since): // seen since it ended here
			s.own, s.due = "", 0
			t.version++
		}
		ended := s.own == Failed || s.own == Left || s.own == ""
		if ended && now-s.since > t.c.TombstoneRetention && len(s.others) == 0 {
			delete(t.all, name)
			t.version++
			continue
		}
		if st := t.combined(s); st == "" && s.shown == Present && !s.info.Role.Gossips() {
			// Whoever saw it has ended: it has as long as a session that moves, and longer.
			t.set(now, s, Suspect)
			s.due = now + t.c.SessionGrace + t.c.FailTimeout
		}
		if st := t.combined(s); st != s.shown {
			if st != "" {
				changes = append(changes, Change{name, s.info.Role, s.shown, st})
			}
			s.shown = st
			t.version++
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareNames(a.Name, b.Name) })
	return changes
}

// ended tells whether an observer is not there any more: what it last said is of before that.
func (t *Tracker) ended(observer string) bool {
	o := t.all[observer]
	return o != nil && (o.own == Failed || o.own == Left)
}

// elsewhere tells whether another observer sees a session's owner, and began to after a time.
func (t *Tracker) elsewhere(s *subject, after time.Duration) bool {
	for from, o := range s.others {
		if !t.ended(from) && o.State == Present && (o.Incarnation > s.info.Incarnation || o.Incarnation == s.info.Incarnation && o.at > after) {
			return true
		}
	}
	return false
}

// FullReport is what this process thinks itself, for the others.
func (t *Tracker) FullReport(now time.Duration) Report {
	r := t.report(now, true)
	for _, s := range t.all {
		if s.own != "" {
			r.Observations = append(r.Observations, t.sight(now, s))
		}
	}
	slices.SortFunc(r.Observations, func(a, b Observation) int { return compareNames(a.Name, b.Name) })
	return r
}

// PendingReport is what it thinks otherwise than it last told, at most so many members; not some is
// nothing.
func (t *Tracker) PendingReport(now time.Duration, most int) (r Report, some bool) {
	var names []string
	for name, s := range t.all {
		if s.own != s.said {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return r, false
	}
	slices.Sort(names)
	r = t.report(now, false)
	for _, name := range names[:min(most, len(names))] {
		s := t.all[name]
		s.said = s.own
		r.Observations = append(r.Observations, t.sight(now, s))
	}
	return r, true
}

func (t *Tracker) report(now time.Duration, whole bool) Report {
	t.seq++
	return Report{ProtocolVersion: ProtocolVersion, From: t.c.Self.Name, Incarnation: t.c.Self.Incarnation, Seq: t.seq, Full: whole}
}

func (t *Tracker) sight(now time.Duration, s *subject) Observation {
	return Observation{s.info.Name, s.info.Role, s.info.Zone, s.info.Incarnation, s.own, (now - s.since).Milliseconds()}
}
