package catalog

import (
	"cmp"
	"slices"
	"time"
)

const (
	// idleSessionTimeout is how long a session without a duty is kept though it is not heard, and
	// lively how long it is given any: idle ones renew twice a second.
	idleSessionTimeout = 3 * time.Second
	maxGrantSilence    = time.Second
	// maxTermsPerCommand bounds the duties of one decision: a command in the log stays small, and the
	// death of a holder of a thousand is worked off a part at a time.
	maxTermsPerCommand = 256
	// acceptTimeout is how long one that is to have a duty may take to be ready.
	acceptTimeout = 2 * time.Second
	// maxDrainTransfers and maxRebalanceTransfers bound the moves under way: those of processes that rest, and
	// those that only even out.
	maxDrainTransfers, maxRebalanceTransfers = 128, 8
	// deathAttributionWindow is how soon after its grant a duty ends a process, if it does.
	deathAttributionWindow = 2 * time.Second
	// minTermBeforeRebalance is how long a term has to last before it is moved to even out.
	minTermBeforeRebalance = 10 * time.Second
)

// TaskLeases is what the leader alone knows of sessions: when each was heard last. Like
// Leases it goes through no log, and a new leader gives each its full time again, so that
// what another leader promised a holder is over before anybody else is granted its duty.
type TaskLeases struct {
	lastHeard   map[string]time.Duration // by session's id
	leaderSince time.Duration
	// What was decided to be expiringTerms and may not be so in the state yet: until it is, no
	// renewal may promise its holder any more.
	expiringTerms   map[string]int64 // duties, by name, and the fence
	closingSessions map[string]bool  // sessions, by id
	// expiredAt is when a session that held something lapsed: it is dead until it is heard.
	expiredAt map[string]time.Duration
	// Absent is told from outside: processes that the view doesn't have as present. They are
	// given something only where nobody else can do it.
	Absent map[string]bool
}

// NewTaskLeases begins a leader's time.
func NewTaskLeases(now time.Duration) *TaskLeases {
	return &TaskLeases{lastHeard: map[string]time.Duration{}, leaderSince: now, expiringTerms: map[string]int64{}, closingSessions: map[string]bool{}, expiredAt: map[string]time.Duration{}}
}

// Renew notes that a session's process was heard. It is refused where there is no such, and
// for the moment where its end has been decided.
func (t *TaskLeases) Renew(s *State, process, id string, now time.Duration) Code {
	o := s.Sessions[process]
	switch {
	case o == nil:
		return Unknown
	case o.ID != id:
		return Taken
	case t.closingSessions[id]:
		return Conflict
	}
	for name, fence := range t.expiringTerms {
		switch d := s.LeasedTasks[name]; {
		case d == nil || d.Holder == "" || d.Fence != fence:
			delete(t.expiringTerms, name)
		case d.Holder == process:
			return Conflict
		}
	}
	t.lastHeard[id] = max(t.lastHeard[id], now)
	return Done
}

// lastSeen is when a session was heard lastSeen, as far as this leader can tell.
func (t *TaskLeases) lastSeen(o *Session) time.Duration {
	return max(t.lastHeard[o.ID], t.leaderSince, o.Opened)
}

// canTakeTasks tells whether a session can be given something: not one that rests, or has fallen
// silent of late.
func (t *TaskLeases) canTakeTasks(o *Session, now time.Duration) bool {
	at, missed := t.expiredAt[o.ID]
	return !o.Draining && now < t.lastSeen(o)+maxGrantSilence && (!missed || t.lastHeard[o.ID] > at)
}

// Decide tells what has to be proposed now about duties: in the order of the commands.
func (t *TaskLeases) Decide(s *State, now time.Duration) []Command {
	var out []Command
	ties := func(kind Kind, list []TermRef) {
		if len(list) > 0 {
			out = append(out, Command{Kind: kind, Terms: list})
		}
	}
	names := s.TaskNames()
	load := map[string]int{}
	var lapsed, unmove []TermRef
	moving, resting := 0, 0
	held := map[string]bool{}
	latest := map[string]int{} // of the lapsed ones of a session, the one that it was granted last
	for _, name := range names {
		d := s.LeasedTasks[name]
		if d.Successor != "" {
			load[d.Successor]++
			if moving++; now-d.SuccessorSince > acceptTimeout && !d.SuccessorReady {
				unmove = append(unmove, TermRef{Name: name})
			}
		}
		if d.Holder == "" {
			continue
		}
		held[d.Session] = true
		o := s.Sessions[d.Holder]
		// A holder counts its time from a renewal that it sent, so never from later than that;
		// one that has just been granted something may not have been heard for a while.
		if o == nil || o.ID != d.Session || now >= max(t.lastSeen(o), d.HolderSince)+d.TTL {
			t.expiredAt[d.Session] = now
			if len(lapsed) < maxTermsPerCommand {
				if i, some := latest[d.Session]; !some || lapsed[i].Fence < d.Fence {
					latest[d.Session] = len(lapsed)
				}
				lapsed = append(lapsed, TermRef{Name: name, Fence: d.Fence})
				t.expiringTerms[name] = d.Fence
			}
			continue
		}
		if d.Successor == "" {
			load[d.Holder]++
		}
	}
	for _, i := range latest { // if it died of one of them, then of that, and soon
		d := s.LeasedTasks[lapsed[i].Name]
		o := s.Sessions[d.Holder]
		lapsed[i].CountDeath = o == nil || o.ID != d.Session || t.lastSeen(o) < d.HolderSince+deathAttributionWindow
	}
	ties(ExpireTerm, lapsed)
	ties(TransferTask, unmove)
	for id := range t.lastHeard {
		if !slices.ContainsFunc(s.ProcessNames(), func(p string) bool { return s.Sessions[p].ID == id }) {
			delete(t.lastHeard, id)
			delete(t.closingSessions, id)
			delete(t.expiredAt, id)
		}
	}
	var able []*Session
	for _, process := range s.ProcessNames() {
		o := s.Sessions[process]
		gone := now >= t.lastSeen(o)+idleSessionTimeout
		switch {
		case gone && !held[o.ID]:
			t.closingSessions[o.ID] = true
			out = append(out, Command{Kind: CloseSession, Session: &Session{Process: o.Process, ID: o.ID}, Reason: ReasonExpired})
		case !gone && t.canTakeTasks(o, now):
			able = append(able, o)
		}
	}
	if len(able) == 0 {
		return out
	}
	var grants []TermRef
	for _, name := range names {
		d := s.LeasedTasks[name]
		if d.Holder != "" || d.SuspendReason != "" || now < d.NotBefore || len(grants) == maxTermsPerCommand {
			continue
		}
		if o := t.bestSession(able, load, d, ""); o != nil {
			load[o.Process]++
			grants = append(grants, TermRef{Name: name, Process: o.Process, Session: o.ID})
		}
	}
	ties(GrantTerm, grants)
	if len(grants) > 0 {
		return out // first all that nobody has
	}
	var moves []TermRef
	for _, name := range names {
		d := s.LeasedTasks[name]
		o := s.Sessions[d.Holder]
		if d.Holder == "" || d.Successor != "" || d.StopRequested || d.SuspendReason != "" || o == nil || !o.Draining || moving+resting >= maxDrainTransfers {
			continue
		}
		if to := t.bestSession(able, load, d, d.Holder); to != nil {
			load[to.Process]++
			resting++
			moves = append(moves, TermRef{Name: name, Process: to.Process})
		}
	}
	if len(moves) == 0 && moving < maxRebalanceTransfers {
		able = slices.DeleteFunc(able, func(o *Session) bool { return t.Absent[o.Process] })
		moves = rebalance(s, able, load, names, now, maxRebalanceTransfers-moving)
	}
	ties(TransferTask, moves)
	return out
}

// PreferredSuccessor is who had best have a duty after its holder; "" is nobody.
func (t *TaskLeases) PreferredSuccessor(s *State, name string, now time.Duration) string {
	d := s.LeasedTasks[name]
	if d == nil || d.Holder == "" {
		return ""
	}
	load := map[string]int{}
	for _, other := range s.LeasedTasks {
		load[other.Holder]++
	}
	var able []*Session
	for _, process := range s.ProcessNames() {
		if o := s.Sessions[process]; t.canTakeTasks(o, now) {
			able = append(able, o)
		}
	}
	if o := t.bestSession(able, load, d, d.Holder); o != nil {
		return o.Process
	}
	return ""
}

// bestSession is the session that had bestSession have a duty: who is present, the process that it prefers, then its
// zone, not where it failed last, then who has least of what it may have.
func (t *TaskLeases) bestSession(able []*Session, load map[string]int, d *LeasedTask, not string) *Session {
	rank := func(o *Session) (r int) {
		if t.Absent[o.Process] {
			r += 16
		}
		if d.PreferredProcess == "" || d.PreferredProcess != o.Process {
			r += 4
		}
		if o.Process == d.AvoidProcess {
			r += 5 // worse than not to be preferred
		}
		if d.PreferredZone != "" && d.PreferredZone != o.Zone {
			r += 2
		}
		return r
	}
	var found *Session
	for _, o := range able {
		if o.Process == not || load[o.Process] >= o.MaxTasks || !o.CanRun(d.Name) {
			continue
		}
		if found == nil || cmp.Or(cmp.Compare(rank(o), rank(found)), cmp.Compare(load[o.Process]*found.MaxTasks, load[found.Process]*o.MaxTasks)) < 0 {
			found = o
		}
	}
	return found
}

// rebalance moves a few duties to whoever has least of what it may have, from those that have
// much more, while they are far apart; what prefers to be where it is stays.
func rebalance(s *State, able []*Session, load map[string]int, names []string, now time.Duration, most int) (moves []TermRef) {
	for _, name := range names {
		d := s.LeasedTasks[name]
		high := s.Sessions[d.Holder]
		if len(moves) == most {
			break
		}
		if high == nil || d.Successor != "" || d.StopRequested || d.SuspendReason != "" || now-d.HolderSince < minTermBeforeRebalance || d.PreferredProcess == high.Process || high.MaxTasks == 0 {
			continue
		}
		var low *Session
		for _, o := range able {
			if o != high && load[o.Process] < o.MaxTasks && o.Process != d.AvoidProcess && o.CanRun(name) && (d.PreferredZone == "" || d.PreferredZone != high.Zone || d.PreferredZone == o.Zone) &&
				(low == nil || load[o.Process]*low.MaxTasks < load[low.Process]*o.MaxTasks) {
				low = o
			}
		}
		// By how many the one has more than its part by the other's measure.
		if low == nil || load[high.Process]-load[low.Process]*high.MaxTasks/low.MaxTasks <= 2+load[high.Process]/10 {
			continue
		}
		moves = append(moves, TermRef{Name: name, Process: low.Process})
		load[high.Process]--
		load[low.Process]++
	}
	return moves
}
