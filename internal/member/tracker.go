package member

import "time"

// Config configures a Tracker. All durations are required; Defaults sets them.
type Config struct {
	Self Info
	// PeerTimeout is how long a peer may leave this process's own pings unanswered before it
	// is suspected.
	PeerTimeout time.Duration
	// SessionGrace is how long a member may be without a session, while its session moves from one
	// server of the control plane to another, before it is suspected. SuspicionTimeout is how
	// long it is suspected before it is considered failed.
	SessionGrace, SuspicionTimeout time.Duration
	// MassFailureShare is the share of the gossiping members, 0 to 1, that may fail within
	// MassFailureWindow. If more fail, each of the failed members is Suspect until all observers agree
	// on its failure; once MassFailureDelay has passed, most observers suffice. For MassFailureDelay
	// after a pause of this process, no member is suspected for unanswered pings.
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

// Tracker holds what one process knows about the members of the fleet. All times are those of one
// monotonic clock of the caller; now must not be earlier than in a previous call. A Tracker does no
// I/O and is not safe for concurrent use.
type Tracker struct {
	config                 Config
	members                map[string]*memberRecord    // by name, without this process
	observers              map[string]observerProgress // by the observer's name
	recentFailures         []failureEvent              // failures of gossiping members within the mass failure window
	version                int64                       // version of the view
	reportSeq              int64                       // sequence number of the last report
	suppressSuspicionUntil time.Duration               // end of the time after a pause in which unanswered pings are ignored
	counts                 Counts
}

// Counts holds a Tracker's counters since its start.
type Counts struct {
	Stale          int64 // messages of an earlier incarnation, or out of order
	Deferred       int64 // failures deferred by a mass failure or after a pause of this process
	Suspects       int64 // times that a gossiping member became suspect
	FalsePositives int64 // times that a suspect gossiping member became present again
	Overflow       int64 // new members ignored because there were already MaxMembers
	UnknownSenders int64 // reports from a sender that is not a known server of the control plane
}

// failureEvent is a report by the gossip library that a member is dead.
type failureEvent struct {
	at   time.Duration
	name string
}

// memberRecord holds what the Tracker knows about one member.
type memberRecord struct {
	info          Info
	ownState      State // state as this process observes it; empty without an observation
	ownStateSince time.Duration
	openSessions  int // number of open sessions of the member at this process
	// lastContact is when the member last answered a ping from this process, sent a heartbeat to this
	// process, or opened or closed a session at this process. It is also set, without any contact, when
	// this process first learns of the member or starts to ping it. A pause of this process shifts it.
	lastContact  time.Duration
	directPeer   bool // whether this process pings the member itself
	reportedDead bool // whether the gossip library reports the member as dead
	// deadline is 0 if there is none. For a member that gossips, it is the time from which the
	// agreement of most observers, instead of all, confirms a deferred failure. For other members, it
	// is the time at which ownState changes from present to suspect or from suspect to failed.
	deadline         time.Duration
	peerObservations map[string]peerObservation // by the observer's name
	lastReported     State                      // ownState in the last partial report
	lastPublished    State                      // the combined state at the last Tick
}

// NewTracker returns a Tracker that knows only this process.
func NewTracker(c Config) *Tracker {
	return &Tracker{config: c, members: map[string]*memberRecord{}, observers: map[string]observerProgress{}}
}

// Counts returns the counters.
func (t *Tracker) Counts() Counts { return t.counts }

// UpdateSelf replaces the Info that this process announces.
func (t *Tracker) UpdateSelf(info Info) {
	if info.Incarnation != t.config.Self.Incarnation {
		// Other observers may have ignored reports of the earlier incarnation, so all observations are
		// reported again.
		for _, m := range t.members {
			m.lastReported = ""
		}
	}
	t.config.Self = info
}

// InstanceID returns the instance ID of the process with the given name, and whether that process
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

// AddAbsent adds to names the gossiping members that are neither present nor joining in the view.
func (t *Tracker) AddAbsent(names map[string]bool) {
	for name, m := range t.members {
		if state := t.combinedState(m); m.info.Role.Gossips() && state != Present && state != Joining {
			names[name] = true
		}
	}
}

// upsert stores info in the member's record, which it adds if the member is new, and returns the
// record. It returns nil if info is about this process or of an earlier incarnation, or if there
// are too many members.
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
		// A failure of the earlier incarnation does not apply to this one, unless the member
		// was joining and has only now been assigned its incarnation.
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
	// A member may become suspect each time its session moves, so members with sessions are not counted.
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
