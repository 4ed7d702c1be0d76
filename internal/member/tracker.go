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
	config           Config
	members          map[string]*memberRecord
	observers        map[string]observerProgress // of observers, by name
	recentFailures   []failureEvent
	version          int64
	seq              int64
	selfSuspectUntil time.Duration // until then this process itself was slow, and accuses nobody
	counts           Counts
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

// anyTime is before all that can be.
const anyTime = time.Duration(math.MinInt64)

type failureEvent struct {
	at   time.Duration
	name string
}

// memberRecord is one member.
type memberRecord struct {
	info             Info
	ownState         State // "": this process has no opinion
	ownStateSince    time.Duration
	openSessions     int           // sessions that are open here
	lastHeard        time.Duration // last, by this process itself
	directPeer       bool          // it is asked directly
	reportedDead     bool          // the library says so
	deadline         time.Duration // when its end is believed, if nobody contradicts
	peerObservations map[string]peerObservation
	lastReported     State // what was last reported to others
	lastPublished    State // what the view last showed
}

type peerObservation struct {
	Observation
	since      time.Duration // since when it has thought so, by this process's time
	receivedAt time.Duration // when it came
	// seq is of the report that it came with. News is passed on by many, and comes in any
	// order: each word is held against the one before about the same member.
	seq int64
}

// observerProgress is how far an observer's reports have come.
type observerProgress struct {
	incarnation, fullSeq int64 // whole is the last that told all
	bootID               string
}

// Change is a member whose state in the view is another.
type Change struct {
	Name     string
	Role     Role
	From, To State
}

// NewTracker makes a tracker that knows nobody but this process.
func NewTracker(c Config) *Tracker {
	return &Tracker{config: c, members: map[string]*memberRecord{}, observers: map[string]observerProgress{}}
}

// UpdateSelf changes what this process says of itself.
func (t *Tracker) UpdateSelf(i Info) {
	if i.Incarnation != t.config.Self.Incarnation {
		for _, s := range t.members {
			s.lastReported = "" // what was said without the number may not have counted
		}
	}
	t.config.Self = i
}

// Counts tells what was counted.
func (t *Tracker) Counts() Counts { return t.counts }

// upsert finds a member, or makes room for one. A word of an earlier life than is known counts
// for nothing.
func (t *Tracker) upsert(now time.Duration, i Info) *memberRecord {
	if i.Name == t.config.Self.Name && i.Role == t.config.Self.Role {
		return nil
	}
	s := t.members[i.Name]
	switch {
	case s == nil:
		if len(t.members) >= MaxMembers {
			t.counts.Overflow++
			return nil
		}
		s = &memberRecord{peerObservations: map[string]peerObservation{}, ownStateSince: now}
		t.members[i.Name] = s
	case i.Incarnation < s.info.Incarnation:
		t.counts.Stale++
		return nil
	case i.Incarnation > s.info.Incarnation: // what was said of its earlier life is over
		if s.info.Incarnation > 0 || i.Incarnation > 0 && s.ownState != Joining {
			s.reportedDead, s.deadline = false, 0
		}
	}
	s.info = i
	return s
}

func (t *Tracker) setOwnState(now time.Duration, s *memberRecord, st State) {
	if s.ownState == st {
		return
	}
	switch {
	case !s.info.Role.Gossips(): // a session is doubted whenever it moves
	case st == Suspect:
		t.counts.Suspects++
	case st == Present && s.ownState == Suspect:
		t.counts.FalsePositives++
	}
	s.ownState, s.ownStateSince = st, now
	t.version++
}

// MemberAlive is told by gossip that a member is there, or says something new of itself.
func (t *Tracker) MemberAlive(now time.Duration, i Info) {
	if s := t.members[i.Name]; s != nil && i.Incarnation == 0 {
		// It has started again and has no number yet. Gossip keeps its lives in order itself, so
		// this is the latest, and whose folder it runs over is known from now on.
		i.Incarnation = s.info.Incarnation
	}
	if s := t.upsert(now, i); s != nil {
		s.reportedDead, s.deadline = false, 0
		if s.lastHeard == 0 {
			s.lastHeard = now
		}
		t.updateOwnState(now, s)
	}
}

// MemberDead is told that gossip takes a member for dead or gone.
func (t *Tracker) MemberDead(now time.Duration, name string) {
	s := t.members[name]
	if s == nil || s.reportedDead {
		return
	}
	s.reportedDead = true
	if !s.info.ShuttingDown {
		t.recentFailures = append(t.recentFailures, failureEvent{now, name})
		if t.massFailure(now) || now < t.selfSuspectUntil {
			t.counts.Deferred++
			s.deadline = now + t.config.MassFailureDelay
		}
	}
	t.updateOwnState(now, s)
}

// massFailure tells whether too many members died at once to be believed.
func (t *Tracker) massFailure(now time.Duration) bool {
	for len(t.recentFailures) > 0 && now-t.recentFailures[0].at > t.config.MassFailureWindow {
		t.recentFailures = t.recentFailures[1:]
	}
	dead := map[string]bool{}
	for _, d := range t.recentFailures {
		if s := t.members[d.name]; s != nil && s.reportedDead {
			dead[d.name] = true
		}
	}
	n := 1 // this one
	for name, s := range t.members {
		if s.info.Role.Gossips() && (dead[name] || s.ownState == Present || s.ownState == Suspect || s.ownState == Joining) {
			n++
		}
	}
	return len(dead) > max(int(t.config.MassFailureShare*float64(n)), 1)
}

// PeerAnswered is told that a member answered this process itself; Peer, that it is asked to.
func (t *Tracker) PeerAnswered(now time.Duration, name string) {
	if s := t.members[name]; s != nil {
		s.lastHeard = max(s.lastHeard, now)
		t.updateOwnState(now, s)
	}
}

// ExpectPeer says that a member is asked by this process itself, so that its silence means something.
func (t *Tracker) ExpectPeer(now time.Duration, name string) {
	if s := t.members[name]; s != nil && !s.directPeer {
		s.directPeer, s.lastHeard = true, now
	}
}

// SessionOpened is told of a session that began here: an agent's watch.
func (t *Tracker) SessionOpened(now time.Duration, i Info) {
	if s := t.upsert(now, i); s != nil {
		s.openSessions++
		s.lastHeard, s.deadline = now, 0
		t.setOwnState(now, s, Present)
	}
}

// SessionClosed is told of the end of a session that was open here.
func (t *Tracker) SessionClosed(now time.Duration, name string) {
	if s := t.members[name]; s != nil && s.openSessions > 0 {
		if s.openSessions--; s.openSessions == 0 {
			s.lastHeard = now
			s.deadline = now + t.config.SessionGrace
		}
	}
}

// Heartbeat is told of a member that says now and then that it is there, and for how long that
// counts.
func (t *Tracker) Heartbeat(now time.Duration, i Info, validFor time.Duration) {
	if s := t.upsert(now, i); s != nil {
		s.lastHeard, s.deadline = now, now+validFor
		t.setOwnState(now, s, Present)
	}
}

// Leave is told by a member itself that it ends.
func (t *Tracker) Leave(now time.Duration, i Info) {
	if s := t.members[i.Name]; s != nil && s.info.InstanceID != i.InstanceID {
		t.counts.Stale++ // the word of a life before, which comes late
		return
	}
	if s := t.upsert(now, i); s != nil {
		s.info.ShuttingDown, s.deadline, s.openSessions = true, 0, 0
		t.setOwnState(now, s, Left)
	}
}

// Paused is told that this process stood still, or ran late, for so long: what it did not
// hear meanwhile is held against nobody.
func (t *Tracker) Paused(now, duration time.Duration) {
	t.selfSuspectUntil = max(t.selfSuspectUntil, now+t.config.MassFailureDelay)
	for _, s := range t.members {
		if s.lastHeard > 0 {
			s.lastHeard = min(s.lastHeard+duration, now)
		}
		if s.deadline > 0 {
			s.deadline += duration
		}
		for from, o := range s.peerObservations {
			o.receivedAt = min(o.receivedAt+duration, now)
			s.peerObservations[from] = o
		}
	}
}

// SelfSuspect tells whether this process was slow itself of late, so that it accuses nobody.
func (t *Tracker) SelfSuspect(now time.Duration) bool { return now < t.selfSuspectUntil }

// InstanceID is the folder of the process that has a name, where the view has it as there.
func (t *Tracker) InstanceID(name string) (id string, is bool) {
	if name == t.config.Self.Name {
		return t.config.Self.InstanceID, true
	}
	s := t.members[name]
	if s == nil {
		return "", false
	}
	st := t.combinedState(s)
	return s.info.InstanceID, st != Failed && st != Left // whoever is in doubt may be there
}

// AddAbsent adds those that gossip and are not there by the view.
func (t *Tracker) AddAbsent(to map[string]bool) {
	for name, s := range t.members {
		if st := t.combinedState(s); s.info.Role.Gossips() && st != Present && st != Joining {
			to[name] = true
		}
	}
}

// updateOwnState draws the opinion of a member that gossips from what is known of it.
func (t *Tracker) updateOwnState(now time.Duration, s *memberRecord) {
	if !s.info.Role.Gossips() {
		return
	}
	switch {
	case s.info.ShuttingDown && s.reportedDead:
		t.setOwnState(now, s, Left)
	case s.reportedDead && s.directPeer && now-s.lastHeard < t.config.PeerTimeout/2:
		// It has just answered this process itself, so the news may be of an earlier life of it.
		t.setOwnState(now, s, Suspect)
	case s.reportedDead && s.deadline > 0 && !t.failureConfirmed(now, s):
		t.setOwnState(now, s, Suspect)
	case s.reportedDead:
		s.deadline = 0
		t.setOwnState(now, s, Failed)
	case s.directPeer && now-s.lastHeard >= t.config.PeerTimeout && now >= t.selfSuspectUntil:
		t.setOwnState(now, s, Suspect)
	case s.info.Incarnation == 0:
		t.setOwnState(now, s, Joining)
	default:
		t.setOwnState(now, s, Present)
	}
}

// failureConfirmed tells whether an end that is in doubt is believed: once its time is up, and only
// where most of the observers that are there say the same, two at least with this one.
func (t *Tracker) failureConfirmed(now time.Duration, s *memberRecord) bool {
	agreeing, observers := 1, 1
	for name, o := range t.members {
		if o == s || o.info.Role != RoleControlPlane || o.ownState != Present && o.ownState != Joining {
			continue
		}
		observers++
		if x, ok := s.peerObservations[name]; ok && x.Incarnation == s.info.Incarnation && (x.State == Failed || x.State == Suspect) && now-x.receivedAt < t.config.ReportRetention {
			agreeing++
		}
	}
	return agreeing >= 2 && 2*agreeing > observers && (now >= s.deadline || agreeing == observers)
}

// MergeReport takes what another observer thinks, and tells whether any of it was new.
func (t *Tracker) MergeReport(now time.Duration, r *Report) (fresh bool) {
	o := t.members[r.From]
	if o == nil || o.info.Role != RoleControlPlane {
		t.counts.UnknownSenders++
		return false
	}
	progress := t.observers[r.From]
	incarnation := r.Incarnation
	if incarnation == 0 { // it has just started, and has none yet
		incarnation = progress.incarnation
	}
	switch {
	case incarnation < progress.incarnation, r.BootID == progress.bootID && r.Seq <= progress.fullSeq,
		// Lives that the catalog has not numbered are told apart only: what is whole comes from
		// the observer itself, what is passed on may be of a life before.
		incarnation == progress.incarnation && r.BootID != progress.bootID && progress.bootID != "" && !r.Full:
		t.counts.Stale++
		return false
	}
	if r.BootID != progress.bootID {
		progress.fullSeq = 0
		for _, s := range t.members {
			if o, ok := s.peerObservations[r.From]; ok { // its numbers begin anew
				o.seq = 0
				s.peerObservations[r.From] = o
			}
		}
	}
	if r.Full {
		progress.fullSeq = r.Seq
	}
	t.observers[r.From] = observerProgress{incarnation, progress.fullSeq, r.BootID}
	if r.Full {
		for _, s := range t.members {
			if o, ok := s.peerObservations[r.From]; ok && o.seq < r.Seq && !slices.ContainsFunc(r.Observations, func(y Observation) bool { return y.Name == s.info.Name }) {
				delete(s.peerObservations, r.From)
				t.version++
			}
		}
	}
	for _, x := range r.Observations {
		if x.Name == t.config.Self.Name || x.Name == r.From {
			continue
		}
		s := t.members[x.Name]
		if s == nil {
			if x.Role.Gossips() || len(t.members) >= MaxMembers {
				continue // those that gossip are known by gossip, or not at all
			}
			s = &memberRecord{info: Info{ProtocolVersion: ProtocolVersion, Name: x.Name, Role: x.Role, Zone: x.Zone, Incarnation: x.Incarnation}, peerObservations: map[string]peerObservation{}, ownStateSince: now}
			t.members[x.Name] = s
		}
		was, had := s.peerObservations[r.From]
		if had && was.seq >= r.Seq {
			continue // it came late
		}
		if !had || was.State != x.State || was.Incarnation != x.Incarnation {
			t.version++
		}
		fresh = true
		s.peerObservations[r.From] = peerObservation{x, now - time.Duration(x.ForMs)*time.Millisecond, now, r.Seq}
		if x.Incarnation > s.info.Incarnation && !x.Role.Gossips() { // a later life, seen elsewhere
			s.info.Incarnation = x.Incarnation
		}
		if s.ownState == Left && x.Incarnation > s.info.Incarnation {
			s.ownState = ""
		}
	}
	return fresh
}

// Tick lets time pass, and tells whose state in the view is another.
func (t *Tracker) Tick(now time.Duration) (changes []Change) {
	for name, s := range t.members {
		for from, o := range s.peerObservations {
			if now-o.receivedAt >= t.config.ReportRetention {
				delete(s.peerObservations, from)
				t.version++
			}
		}
		switch {
		case s.info.Role.Gossips():
			t.updateOwnState(now, s)
		case s.openSessions == 0 && s.deadline > 0 && now >= s.deadline:
			switch s.ownState {
			case Present:
				// Whoever is seen elsewhere has moved: this process has no opinion of it any more.
				if t.seenByOthers(s, anyTime) {
					s.ownState, s.deadline = "", 0
					t.version++
					break
				}
				t.setOwnState(now, s, Suspect)
				s.deadline = now + t.config.FailTimeout
			case Suspect:
				if t.seenByOthers(s, anyTime) {
					s.ownState, s.deadline = "", 0
					t.version++
					break
				}
				t.setOwnState(now, s, Failed)
				s.deadline = 0
			}
		case s.openSessions == 0 && (s.ownState == Suspect || s.ownState == Failed || s.ownState == Left) && t.seenByOthers(s, s.ownStateSince): // seen since it ended here
			s.ownState, s.deadline = "", 0
			t.version++
		}
		ended := s.ownState == Failed || s.ownState == Left || s.ownState == ""
		if ended && now-s.ownStateSince > t.config.TombstoneRetention && len(s.peerObservations) == 0 {
			delete(t.members, name)
			t.version++
			continue
		}
		if st := t.combinedState(s); st == "" && s.lastPublished == Present && !s.info.Role.Gossips() {
			// Whoever saw it has ended: it has as long as a session that moves, and longer.
			t.setOwnState(now, s, Suspect)
			s.deadline = now + t.config.SessionGrace + t.config.FailTimeout
		}
		if st := t.combinedState(s); st != s.lastPublished {
			if st != "" {
				changes = append(changes, Change{name, s.info.Role, s.lastPublished, st})
			}
			s.lastPublished = st
			t.version++
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareNames(a.Name, b.Name) })
	return changes
}

// observerEnded tells whether an observer is not there any more: what it last said is of before that.
func (t *Tracker) observerEnded(observer string) bool {
	o := t.members[observer]
	return o != nil && (o.ownState == Failed || o.ownState == Left)
}

// seenByOthers tells whether another observer sees a session's owner, and began to after a time.
func (t *Tracker) seenByOthers(s *memberRecord, after time.Duration) bool {
	for from, o := range s.peerObservations {
		if !t.observerEnded(from) && o.State == Present && (o.Incarnation > s.info.Incarnation || o.Incarnation == s.info.Incarnation && o.since > after) {
			return true
		}
	}
	return false
}

// FullReport is what this process thinks itself, for the others.
func (t *Tracker) FullReport(now time.Duration) Report {
	r := t.newReport(now, true)
	for _, s := range t.members {
		if s.ownState != "" {
			r.Observations = append(r.Observations, t.observationOf(now, s))
		}
	}
	slices.SortFunc(r.Observations, func(a, b Observation) int { return compareNames(a.Name, b.Name) })
	return r
}

// PendingReport is what it thinks otherwise than it last told, at most so many members; not some is
// nothing.
func (t *Tracker) PendingReport(now time.Duration, maxObservations int) (r Report, pending bool) {
	var names []string
	for name, s := range t.members {
		if s.ownState != s.lastReported {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return r, false
	}
	slices.Sort(names)
	r = t.newReport(now, false)
	for _, name := range names[:min(maxObservations, len(names))] {
		s := t.members[name]
		s.lastReported = s.ownState
		r.Observations = append(r.Observations, t.observationOf(now, s))
	}
	return r, true
}

func (t *Tracker) newReport(now time.Duration, full bool) Report {
	t.seq++
	return Report{ProtocolVersion: ProtocolVersion, From: t.config.Self.Name, Incarnation: t.config.Self.Incarnation, Seq: t.seq, Full: full}
}

func (t *Tracker) observationOf(now time.Duration, s *memberRecord) Observation {
	return Observation{s.info.Name, s.info.Role, s.info.Zone, s.info.Incarnation, s.ownState, (now - s.ownStateSince).Milliseconds()}
}
