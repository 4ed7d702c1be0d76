package member

import "time"

// Config configures a Tracker. All durations are required; Defaults has them.
type Config struct {
	Self Info
	// PeerTimeout is how long a peer may leave this process's own pings unanswered before it
	// is suspected.
	PeerTimeout time.Duration
	// SessionGrace is how long a member may be without a session, while its session moves from one
	// server of the control plane to another, before it is suspected. SuspicionTimeout is how
	// long it is suspected before it counts as failed.
	SessionGrace, SuspicionTimeout time.Duration
	// MassFailureShare is the share of the gossiping members, 0 to 1, that may fail within
	// MassFailureWindow. If more of them do, each of these members is Suspect until all observers
	// agree on its failure, or until most of them do and MassFailureDelay is over.
	MassFailureShare                    float64
	MassFailureWindow, MassFailureDelay time.Duration
	// ReportRetention is how long another observer's observation counts after its last report.
	ReportRetention time.Duration
	// TombstoneRetention is how long the record of a member that failed or left is kept.
	TombstoneRetention time.Duration
}

// Defaults returns the configuration for processes within one site.
func Defaults(self Info) Config {
	return Config{
		Self:               self,
		PeerTimeout:        3 * time.Second,
		SessionGrace:       2 * time.Second,
		SuspicionTimeout:   time.Second,
		MassFailureShare:   0.4,
		MassFailureWindow:  5 * time.Second,
		MassFailureDelay:   3 * time.Second,
		ReportRetention:    16 * time.Second,
		TombstoneRetention: 10 * time.Minute,
	}
}

// Tracker holds what one process knows about the members of the fleet. Its times are those
// of one monotonic clock of the caller; each method's now must not be before that of an
// earlier call. It is pure, and not safe for concurrent use.
type Tracker struct {
	config                 Config
	members                map[string]*memberRecord    // by name, without this process
	observers              map[string]observerProgress // by the observer's name
	recentFailures         []failureEvent              // of gossiping members, within the mass failure window
	version                int64                       // of the view
	reportSeq              int64                       // of the last report that was made
	suppressSuspicionUntil time.Duration               // until then this process counts as slow and suspects no member for unanswered pings
	counts                 Counts
}

// Counts holds a Tracker's counters since its start.
type Counts struct {
	Stale          int64 // messages of an earlier incarnation, or out of order
	Deferred       int64 // failures that were not believed at once: a mass failure, or this process was paused
	Suspects       int64 // times that a gossiping member became suspect
	FalsePositives int64 // times that a suspect gossiping member became present again
	Overflow       int64 // new members that were ignored, as there were MaxMembers already
	UnknownSenders int64 // reports from a sender that is not a known server of the control plane
}

// failureEvent is a report by the gossip library that a member is dead.
type failureEvent struct {
	at   time.Duration
	name string
}

// memberRecord is what the Tracker knows about one member.
type memberRecord struct {
	info          Info
	ownState      State // as this process observes it; empty without an observation
	ownStateSince time.Duration
	openSessions  int // sessions of the member at this process
	// lastContact is when the member last answered a ping of this process, renewed or had a session
	// here. It also starts, without a contact, when this process first learns of the member or begins
	// to ping it, and moves with a pause of this process.
	lastContact  time.Duration
	directPeer   bool // this process pings the member itself
	reportedDead bool // by the gossip library
	// deadline is the time, or 0 for none, at which a deferred failure of a member that gossips may
	// be believed, or at which the own state of a member that has sessions changes from present to
	// suspect or from suspect to failed.
	deadline         time.Duration
	peerObservations map[string]peerObservation // by the observer's name
	lastReported     State                      // the own state in the last partial report
	lastPublished    State                      // the combined state at the last Tick
}

// NewTracker returns a Tracker that knows no member but this process.
func NewTracker(c Config) *Tracker {
	return &Tracker{config: c, members: map[string]*memberRecord{}, observers: map[string]observerProgress{}}
}

// Counts returns the counters.
func (t *Tracker) Counts() Counts { return t.counts }

// UpdateSelf replaces what this process announces about itself.
func (t *Tracker) UpdateSelf(info Info) {
	if info.Incarnation != t.config.Self.Incarnation {
		// The others may have ignored reports under the earlier incarnation: all are repeated.
		for _, m := range t.members {
			m.lastReported = ""
		}
	}
	t.config.Self = info
}

// InstanceID returns the instance ID of the process with a name, and whether that process
// may be alive. Both are zero if no such member is known.
func (t *Tracker) InstanceID(name string) (id string, mayBeAlive bool) {
	if name == t.config.Self.Name {
		return t.config.Self.InstanceID, true
	}
	m := t.members[name]
	if m == nil {
		return "", false
	}
	state := t.combinedState(m)
	return m.info.InstanceID, state != Failed && state != Left
}

// AddAbsent adds to the set names the gossiping members that are neither present nor joining in the
// view.
func (t *Tracker) AddAbsent(names map[string]bool) {
	for name, m := range t.members {
		if state := t.combinedState(m); m.info.Role.Gossips() && state != Present && state != Joining {
			names[name] = true
		}
	}
}

// upsert returns the record of a member, created if it is new, and stores info in it. It
// returns nil if info is about this process or of an earlier incarnation, or if there are
// too many members.
func (t *Tracker) upsert(now time.Duration, info Info) *memberRecord {
	if info.Name == t.config.Self.Name && info.Role == t.config.Self.Role {
		return nil
	}
	m := t.members[info.Name]
	switch {
	case m == nil:
		if len(t.members) >= MaxMembers {
			t.counts.Overflow++
			return nil
		}
		m = t.addRecord(now, info)
	case info.Incarnation < m.info.Incarnation:
		t.counts.Stale++
		return nil
	case info.Incarnation > m.info.Incarnation:
		// A failure of the earlier incarnation does not concern this one, unless the member
		// was joining and has only now received its number.
		if m.info.Incarnation > 0 || info.Incarnation > 0 && m.ownState != Joining {
			m.reportedDead, m.deadline = false, 0
		}
	}
	m.info = info
	return m
}

// addRecord adds a record of a member without any observation.
func (t *Tracker) addRecord(now time.Duration, info Info) *memberRecord {
	m := &memberRecord{info: info, peerObservations: map[string]peerObservation{}, ownStateSince: now}
	t.members[info.Name] = m
	return m
}

// setOwnState sets the state of a member as this process observes it.
func (t *Tracker) setOwnState(now time.Duration, m *memberRecord, state State) {
	if m.ownState == state {
		return
	}
	// A session that moves is suspected each time, so sessions are not counted.
	if m.info.Role.Gossips() {
		switch {
		case state == Suspect:
			t.counts.Suspects++
		case state == Present && m.ownState == Suspect:
			t.counts.FalsePositives++
		}
	}
	m.ownState, m.ownStateSince = state, now
	t.version++
}

// dropOwnState withdraws this process's observation of a member.
func (t *Tracker) dropOwnState(m *memberRecord) {
	m.ownState, m.deadline = "", 0
	t.version++
}
