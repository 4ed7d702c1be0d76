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

// trackerEvents are the events of a Tracker by time; each is a function of the Tracker and
// of that time.
type trackerEvents map[time.Duration]func(t *Tracker, now time.Duration)

// wantedState is the state of a member that the view has to show at a time.
type wantedState struct {
	at    time.Duration
	name  string
	state State
}

type trackerCase struct {
	events trackerEvents
	want   []wantedState
}

// trackerCases are sequences of events at the server a of five, and the states that follow.
var trackerCases = map[string]trackerCase{
	"a failure is believed once the member was silent for a while, and a return at once": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) { t.MemberDead(now, "b") },
			10 * time.Second: func(t *Tracker, now time.Duration) {
				t.MemberAlive(now, controlPlaneServer("b", 2))
				t.PeerAnswered(now, "b")
			},
		},
		want: []wantedState{
			{1 * time.Second, "b", Suspect},
			{2 * time.Second, "b", Failed},
			{9 * time.Second, "b", Failed},
			{10 * time.Second, "b", Present},
		},
	},
	"a member that does not answer pings is suspect, and not failed by that alone": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) {
				t.PeerAnswered(now, "c")
				t.PeerAnswered(now, "d")
				t.PeerAnswered(now, "e")
			},
		},
		want: []wantedState{
			{2 * time.Second, "b", Present},
			{3 * time.Second, "b", Suspect},
			{3 * time.Second, "c", Present},
			{30 * time.Second, "b", Suspect},
		},
	},
	"suspected by one of four observers, it is present": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) {
				for i, from := range []string{"c", "d", "e"} {
					t.MergeReport(now, newReportFrom(from, int64(i+1), Present, 1, "b"))
				}
			},
		},
		want: []wantedState{
			{3 * time.Second, "b", Present},
			{9 * time.Second, "b", Present},
		},
	},
	"failed for most observers": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) {
				t.MergeReport(now, newReportFrom("c", 1, Failed, 1, "b"))
				t.MergeReport(now, newReportFrom("d", 1, Failed, 1, "b"))
			},
		},
		want: []wantedState{
			{1 * time.Second, "b", Failed},
		},
	},
	"a mass failure is not believed, however long it lasts": {
		events: trackerEvents{
			4 * time.Second: func(t *Tracker, now time.Duration) {
				t.MemberDead(now, "b")
				t.MemberDead(now, "c")
				t.MemberDead(now, "d")
				t.MemberDead(now, "e")
			},
		},
		want: []wantedState{
			{5 * time.Second, "e", Suspect},
			{60 * time.Second, "e", Suspect},
			{60 * time.Second, "d", Suspect},
		},
	},
	"a mass failure is believed once most remaining observers agree": {
		events: trackerEvents{
			4 * time.Second: func(t *Tracker, now time.Duration) {
				t.PeerAnswered(now, "e")
				t.MemberDead(now, "b")
				t.MemberDead(now, "c")
				t.MemberDead(now, "d")
			},
			5 * time.Second: func(t *Tracker, now time.Duration) {
				t.PeerAnswered(now, "e")
				t.MergeReport(now, newReportFrom("e", 1, Suspect, 1, "b", "c", "d"))
			},
			6 * time.Second: func(t *Tracker, now time.Duration) {
				t.PeerAnswered(now, "e")
				t.MergeReport(now, newReportFrom("e", 2, Failed, 1, "b", "c", "d"))
			},
		},
		want: []wantedState{
			{4 * time.Second, "d", Suspect},
			{5 * time.Second, "d", Suspect},
			{6 * time.Second, "d", Failed},
		},
	},
	"after a pause of this process no member is suspected of silence": {
		events: trackerEvents{
			10 * time.Second: func(t *Tracker, now time.Duration) { t.Paused(now, 10*time.Second); t.MemberDead(now, "b") },
			11 * time.Second: func(t *Tracker, now time.Duration) {
				t.MemberAlive(now, controlPlaneServer("b", 1))
				for _, n := range []string{"b", "c", "d", "e"} {
					t.PeerAnswered(now, n)
				}
			},
		},
		want: []wantedState{
			{10 * time.Second, "b", Suspect},
			{10 * time.Second, "c", Present},
			{12 * time.Second, "b", Present},
		},
	},
	"reports about an earlier incarnation change nothing": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) { t.MemberAlive(now, controlPlaneServer("b", 5)) },
			2 * time.Second: func(t *Tracker, now time.Duration) {
				for i, from := range []string{"c", "d", "e"} {
					t.MergeReport(now, newReportFrom(from, int64(i+1), Left, 4, "b"))
				}
				old := controlPlaneServer("b", 4)
				old.ShuttingDown = true
				t.MemberAlive(now, old)
			},
		},
		want: []wantedState{
			{2 * time.Second, "b", Present},
		},
	},
	"a planned shutdown": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) {
				i := controlPlaneServer("b", 1)
				i.ShuttingDown = true
				t.MemberAlive(now, i)
			},
			2 * time.Second: func(t *Tracker, now time.Duration) { t.MemberDead(now, "b") }},
		want: []wantedState{
			{1 * time.Second, "b", Present},
			{2 * time.Second, "b", Left},
		},
	},
	"restarted and without an incarnation, it is present": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) { t.MemberDead(now, "b") },
			3 * time.Second: func(t *Tracker, now time.Duration) {
				restarted := controlPlaneServer("b", 0)
				restarted.InstanceID = "another instance"
				t.MemberAlive(now, restarted)
				t.PeerAnswered(now, "b")
				if id, mayBeAlive := t.InstanceID("b"); !mayBeAlive || id != restarted.InstanceID {
					panic("its instance ID is " + id)
				}
			},
		},
		want: []wantedState{
			{2 * time.Second, "b", Failed},
			{3 * time.Second, "b", Present},
		},
	},
	"a new member without an incarnation is joining": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) { t.MemberAlive(now, controlPlaneServer("f", 0)) },
			2 * time.Second: func(t *Tracker, now time.Duration) { t.MemberAlive(now, controlPlaneServer("f", 9)) }},
		want: []wantedState{
			{1 * time.Second, "f", Joining},
			{2 * time.Second, "f", Present},
		},
	},
	"a session that ends and is not opened elsewhere": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) { t.SessionOpened(now, agentInfo("n1", "x")) },
			5 * time.Second: func(t *Tracker, now time.Duration) { t.SessionClosed(now, "n1") }},
		want: []wantedState{
			{4 * time.Second, "n1", Present},
			{6 * time.Second, "n1", Present},
			{7 * time.Second, "n1", Suspect},
			{8 * time.Second, "n1", Failed},
		},
	},
	"a session that moves": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) { t.SessionOpened(now, agentInfo("n1", "x")) },
			5 * time.Second: func(t *Tracker, now time.Duration) { t.SessionClosed(now, "n1") },
			6 * time.Second: func(t *Tracker, now time.Duration) { t.MergeReport(now, newReportFrom("c", 1, Present, 0, "n1")) }},
		want: []wantedState{
			{6 * time.Second, "n1", Present},
			{8 * time.Second, "n1", Present},
			{21 * time.Second, "n1", Present},
			{23 * time.Second, "n1", Suspect},
		},
	},
	"members that only a failed observer saw are suspect, then failed": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) {
				t.MergeReport(now, newReportFrom("c", 1, Present, 0, "n1", "n2"))
				for i, from := range []string{"d", "e"} {
					t.MergeReport(now, newReportFrom(from, int64(i+1), Failed, 1, "b"))
				}
			},
			2 * time.Second: func(t *Tracker, now time.Duration) { t.MemberDead(now, "c") },
			4 * time.Second: func(t *Tracker, now time.Duration) { t.MergeReport(now, newReportFrom("d", 9, Present, 0, "n2")) }},
		want: []wantedState{
			{1 * time.Second, "n1", Present},
			{2 * time.Second, "n1", Suspect},
			{2 * time.Second, "n2", Suspect},
			{4 * time.Second, "n2", Present},
			{4 * time.Second, "n1", Suspect},
			{5 * time.Second, "n1", Failed},
			{9 * time.Second, "n2", Present},
		},
	},
	"a late announcement of an earlier shutdown changes nothing": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) {
				t.SessionOpened(now, agentInfo("n1", "x"))
				t.Leave(now, agentInfo("n1", "x"))
			},
			2 * time.Second: func(t *Tracker, now time.Duration) { t.SessionOpened(now, agentInfo("n1", "y")) },
			3 * time.Second: func(t *Tracker, now time.Duration) { t.Leave(now, agentInfo("n1", "x")) }},
		want: []wantedState{
			{1 * time.Second, "n1", Left},
			{2 * time.Second, "n1", Present},
			{4 * time.Second, "n1", Present},
		},
	},
	"reports of a worker, out of order, and of an earlier boot change nothing": {
		events: trackerEvents{
			1 * time.Second: func(t *Tracker, now time.Duration) {
				t.MemberAlive(now, Info{ProtocolVersion: ProtocolVersion, Name: "w", Role: RoleWorker, Incarnation: 1})
				t.MergeReport(now, newReportFrom("w", 1, Present, 0, "n1"))
				t.MergeReport(now, newReportFrom("z", 1, Present, 0, "n1"))
				t.MergeReport(now, newReportFrom("c", 2, Failed, 0, "n2"))
				t.MergeReport(now, newReportFrom("c", 1, Present, 0, "n2"))
				other := newReportFrom("c", 9, Present, 0, "n2")
				other.BootID = "another"
				t.MergeReport(now, other)
			},
		},
		want: []wantedState{
			{1 * time.Second, "n1", ""},
			{1 * time.Second, "n2", Failed},
		},
	},
}

// TestTrackerStates shows the states that one observer derives from its events.
func TestTrackerStates(t *testing.T) {
	for name, c := range trackerCases {
		t.Run(name, func(t *testing.T) {
			tracker := newTrackerOfFive(0)
			for now := time.Duration(0); now <= 61*time.Second; now += time.Second {
				if event := c.events[now]; event != nil {
					event(tracker, now)
				}
				tracker.Tick(now)
				for _, want := range c.want {
					v := tracker.View(now)
					if want.at == now && v.State(want.name) != want.state {
						t.Errorf("at %v %s is %q, want %q: %+v", now, want.name, v.State(want.name), want.state, v.Members)
					}
				}
			}
		})
	}
}
