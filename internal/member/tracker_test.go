package member

import (
	"testing"
	"time"
)

func controlPlaneServer(name string, incarnation int64) Info {
	return Info{ProtocolVersion: ProtocolVersion, Name: name, Role: RoleControlPlane, Incarnation: incarnation, InstanceID: "f-" + name}
}

func agentInfo(name, bootID string) Info {
	return Info{ProtocolVersion: ProtocolVersion, Name: name, Role: RoleAgent, InstanceID: bootID}
}

// newTrackerOfFive returns the Tracker of the server a, to which four others are present and
// were heard just now.
func newTrackerOfFive(now time.Duration) *Tracker {
	t := NewTracker(Defaults(controlPlaneServer("a", 1)))
	for _, name := range []string{"b", "c", "d", "e"} {
		t.MemberAlive(now, controlPlaneServer(name, 1))
		t.ExpectPeer(now, name)
	}
	t.Tick(now)
	return t
}

// newReportFrom returns a partial report in which an observer sees each member in one state.
// Members whose name begins with n are agents, the others servers of the control plane.
func newReportFrom(observer string, seq int64, state State, incarnation int64, members ...string) *Report {
	r := &Report{ProtocolVersion: ProtocolVersion, From: observer, Incarnation: 1, Seq: seq, BootID: observer}
	for _, name := range members {
		role := RoleControlPlane
		if name[0] == 'n' {
			role = RoleAgent
		}
		r.Observations = append(r.Observations, Observation{Name: name, Role: role, State: state, Incarnation: incarnation})
	}
	return r
}

// TestTrackerStates shows the states that one observer derives from a sequence of events.
func TestTrackerStates(t *testing.T) {
	const s = time.Second
	type want struct {
		at    time.Duration
		name  string
		state State
	}
	for name, c := range map[string]struct {
		do   map[time.Duration]func(t *Tracker, now time.Duration)
		want []want
	}{
		"a failure is believed once the member was silent for a while, and a return at once": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) { t.MemberDead(now, "b") },
				10 * s: func(t *Tracker, now time.Duration) {
					t.MemberAlive(now, controlPlaneServer("b", 2))
					t.PeerAnswered(now, "b")
				}},
			[]want{{1 * s, "b", Suspect}, {2 * s, "b", Failed}, {9 * s, "b", Failed}, {10 * s, "b", Present}}},
		"a member that does not answer pings is suspect, and not failed by that alone": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					t.PeerAnswered(now, "c")
					t.PeerAnswered(now, "d")
					t.PeerAnswered(now, "e")
				}},
			[]want{{2 * s, "b", Present}, {3 * s, "b", Suspect}, {3 * s, "c", Present}, {30 * s, "b", Suspect}}},
		"suspected by one of four observers, it is present": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					for i, from := range []string{"c", "d", "e"} {
						t.MergeReport(now, newReportFrom(from, int64(i+1), Present, 1, "b"))
					}
				}},
			[]want{{3 * s, "b", Present}, {9 * s, "b", Present}}},
		"failed for most observers": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					t.MergeReport(now, newReportFrom("c", 1, Failed, 1, "b"))
					t.MergeReport(now, newReportFrom("d", 1, Failed, 1, "b"))
				}},
			[]want{{1 * s, "b", Failed}}},
		"a mass failure is not believed, however long it lasts": {
			map[time.Duration]func(*Tracker, time.Duration){
				4 * s: func(t *Tracker, now time.Duration) {
					t.MemberDead(now, "b")
					t.MemberDead(now, "c")
					t.MemberDead(now, "d")
					t.MemberDead(now, "e")
				}},
			[]want{{5 * s, "e", Suspect}, {60 * s, "e", Suspect}, {60 * s, "d", Suspect}}},
		"a mass failure is believed once most remaining observers agree": {
			map[time.Duration]func(*Tracker, time.Duration){
				4 * s: func(t *Tracker, now time.Duration) {
					t.PeerAnswered(now, "e")
					t.MemberDead(now, "b")
					t.MemberDead(now, "c")
					t.MemberDead(now, "d")
				},
				5 * s: func(t *Tracker, now time.Duration) {
					t.PeerAnswered(now, "e")
					t.MergeReport(now, newReportFrom("e", 1, Suspect, 1, "b", "c", "d"))
				},
				6 * s: func(t *Tracker, now time.Duration) {
					t.PeerAnswered(now, "e")
					t.MergeReport(now, newReportFrom("e", 2, Failed, 1, "b", "c", "d"))
				}},
			[]want{{4 * s, "d", Suspect}, {5 * s, "d", Suspect}, {6 * s, "d", Failed}}},
		"after a pause of this process no member is suspected of silence": {
			map[time.Duration]func(*Tracker, time.Duration){
				10 * s: func(t *Tracker, now time.Duration) { t.Paused(now, 10*s); t.MemberDead(now, "b") },
				11 * s: func(t *Tracker, now time.Duration) {
					t.MemberAlive(now, controlPlaneServer("b", 1))
					for _, n := range []string{"b", "c", "d", "e"} {
						t.PeerAnswered(now, n)
					}
				}},
			[]want{{10 * s, "b", Suspect}, {10 * s, "c", Present}, {12 * s, "b", Present}}},
		"reports about an earlier incarnation change nothing": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) { t.MemberAlive(now, controlPlaneServer("b", 5)) },
				2 * s: func(t *Tracker, now time.Duration) {
					for i, from := range []string{"c", "d", "e"} {
						t.MergeReport(now, newReportFrom(from, int64(i+1), Left, 4, "b"))
					}
					old := controlPlaneServer("b", 4)
					old.ShuttingDown = true
					t.MemberAlive(now, old)
				}},
			[]want{{2 * s, "b", Present}}},
		"a planned shutdown": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					i := controlPlaneServer("b", 1)
					i.ShuttingDown = true
					t.MemberAlive(now, i)
				},
				2 * s: func(t *Tracker, now time.Duration) { t.MemberDead(now, "b") }},
			[]want{{1 * s, "b", Present}, {2 * s, "b", Left}}},
		"restarted and without an incarnation, it is present": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) { t.MemberDead(now, "b") },
				3 * s: func(t *Tracker, now time.Duration) {
					restarted := controlPlaneServer("b", 0)
					restarted.InstanceID = "another instance"
					t.MemberAlive(now, restarted)
					t.PeerAnswered(now, "b")
					if id, mayBeAlive := t.InstanceID("b"); !mayBeAlive || id != restarted.InstanceID {
						panic("its instance ID is " + id)
					}
				}},
			[]want{{2 * s, "b", Failed}, {3 * s, "b", Present}}},
		"a new member without an incarnation is joining": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) { t.MemberAlive(now, controlPlaneServer("f", 0)) },
				2 * s: func(t *Tracker, now time.Duration) { t.MemberAlive(now, controlPlaneServer("f", 9)) }},
			[]want{{1 * s, "f", Joining}, {2 * s, "f", Present}}},
		"a session that ends and is not opened elsewhere": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) { t.SessionOpened(now, agentInfo("n1", "x")) },
				5 * s: func(t *Tracker, now time.Duration) { t.SessionClosed(now, "n1") }},
			[]want{{4 * s, "n1", Present}, {6 * s, "n1", Present}, {7 * s, "n1", Suspect}, {8 * s, "n1", Failed}}},
		"a session that moves": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) { t.SessionOpened(now, agentInfo("n1", "x")) },
				5 * s: func(t *Tracker, now time.Duration) { t.SessionClosed(now, "n1") },
				6 * s: func(t *Tracker, now time.Duration) { t.MergeReport(now, newReportFrom("c", 1, Present, 0, "n1")) }},
			[]want{{6 * s, "n1", Present}, {8 * s, "n1", Present}, {21 * s, "n1", Present}, {23 * s, "n1", Suspect}}},
		"members that only a failed observer saw are suspect, then failed": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					t.MergeReport(now, newReportFrom("c", 1, Present, 0, "n1", "n2"))
					for i, from := range []string{"d", "e"} {
						t.MergeReport(now, newReportFrom(from, int64(i+1), Failed, 1, "b"))
					}
				},
				2 * s: func(t *Tracker, now time.Duration) { t.MemberDead(now, "c") },
				4 * s: func(t *Tracker, now time.Duration) { t.MergeReport(now, newReportFrom("d", 9, Present, 0, "n2")) }},
			[]want{{1 * s, "n1", Present}, {2 * s, "n1", Suspect}, {2 * s, "n2", Suspect}, {4 * s, "n2", Present}, {4 * s, "n1", Suspect}, {5 * s, "n1", Failed}, {9 * s, "n2", Present}}},
		"a late announcement of an earlier shutdown changes nothing": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					t.SessionOpened(now, agentInfo("n1", "x"))
					t.Leave(now, agentInfo("n1", "x"))
				},
				2 * s: func(t *Tracker, now time.Duration) { t.SessionOpened(now, agentInfo("n1", "y")) },
				3 * s: func(t *Tracker, now time.Duration) { t.Leave(now, agentInfo("n1", "x")) }},
			[]want{{1 * s, "n1", Left}, {2 * s, "n1", Present}, {4 * s, "n1", Present}}},
		"reports of a worker, out of order, and of an earlier boot change nothing": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					t.MemberAlive(now, Info{ProtocolVersion: ProtocolVersion, Name: "w", Role: RoleWorker, Incarnation: 1})
					t.MergeReport(now, newReportFrom("w", 1, Present, 0, "n1"))
					t.MergeReport(now, newReportFrom("z", 1, Present, 0, "n1"))
					t.MergeReport(now, newReportFrom("c", 2, Failed, 0, "n2"))
					t.MergeReport(now, newReportFrom("c", 1, Present, 0, "n2"))
					other := newReportFrom("c", 9, Present, 0, "n2")
					other.BootID = "another"
					t.MergeReport(now, other)
				}},
			[]want{{1 * s, "n1", ""}, {1 * s, "n2", Failed}}},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTrackerOfFive(0)
			for now := time.Duration(0); now <= 61*s; now += s {
				if do := c.do[now]; do != nil {
					do(tr, now)
				}
				tr.Tick(now)
				for _, w := range c.want {
					if v := tr.View(now); w.at == now && v.State(w.name) != w.state {
						t.Errorf("at %v %s is %q, want %q: %+v", now, w.name, v.State(w.name), w.state, v.Members)
					}
				}
			}
		})
	}
}
