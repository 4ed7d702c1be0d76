package member

import (
	"testing"
	"time"
)

func controlPlaneServer(name string, incarnation int64) Info {
	return Info{ProtocolVersion: ProtocolVersion, Name: name, Role: RoleControlPlane, Incarnation: incarnation, InstanceID: "f-" + name}
}

func agentInfo(name, instanceID string) Info {
	return Info{ProtocolVersion: ProtocolVersion, Name: name, Role: RoleAgent, InstanceID: instanceID}
}

// newTrackerOfFive returns the Tracker of the server a. Four other servers are present and have just
// answered its pings.
func newTrackerOfFive(now time.Duration) *Tracker {
	t := NewTracker(Defaults(controlPlaneServer("a", 1)))
	for _, name := range []string{"b", "c", "d", "e"} {
		t.MemberAlive(now, controlPlaneServer(name, 1))
		t.ExpectPeer(now, name)
	}
	t.Tick(now)
	return t
}

// newReportFrom returns a partial report in which an observer sees each member in the given state.
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

// trackerEvent applies an event to a Tracker at the time now.
type trackerEvent func(t *testing.T, tracker *Tracker, now time.Duration)

// trackerEvents holds the events of a Tracker by time.
type trackerEvents map[time.Duration][]trackerEvent

// dead returns the event that the gossip library reports members as dead, in this order.
func dead(names ...string) trackerEvent {
	return func(_ *testing.T, tracker *Tracker, now time.Duration) {
		for _, name := range names {
			tracker.MemberDead(now, name)
		}
	}
}

// alive returns the event that the gossip library reports a member as alive or changed.
func alive(info Info) trackerEvent {
	return func(_ *testing.T, tracker *Tracker, now time.Duration) { tracker.MemberAlive(now, info) }
}

// answered returns the event that members answer pings.
func answered(names ...string) trackerEvent {
	return func(_ *testing.T, tracker *Tracker, now time.Duration) {
		for _, name := range names {
			tracker.PeerAnswered(now, name)
		}
	}
}

// reported returns the event that a report is received.
func reported(r *Report) trackerEvent {
	return func(_ *testing.T, tracker *Tracker, now time.Duration) { tracker.MergeReport(now, r) }
}

// reportedBy returns the event that each observer reports a member in the given state.
func reportedBy(observers []string, state State, incarnation int64, member string) trackerEvent {
	return func(_ *testing.T, tracker *Tracker, now time.Duration) {
		for i, from := range observers {
			tracker.MergeReport(now, newReportFrom(from, int64(i+1), state, incarnation, member))
		}
	}
}

// sessionOpened returns the event that a session of an agent begins.
func sessionOpened(info Info) trackerEvent {
	return func(_ *testing.T, tracker *Tracker, now time.Duration) { tracker.SessionOpened(now, info) }
}

// sessionClosed returns the event that a session of an agent ends.
func sessionClosed(name string) trackerEvent {
	return func(_ *testing.T, tracker *Tracker, now time.Duration) { tracker.SessionClosed(now, name) }
}

// agentShutsDown returns the event that an agent announces its shutdown.
func agentShutsDown(info Info) trackerEvent {
	return func(_ *testing.T, tracker *Tracker, now time.Duration) { tracker.Leave(now, info) }
}

// paused returns the event that a pause of this process ends.
func paused(duration time.Duration) trackerEvent {
	return func(_ *testing.T, tracker *Tracker, now time.Duration) { tracker.Paused(now, duration) }
}

// instanceIs returns a check that a member may be alive and has an instance ID.
func instanceIs(name, want string) trackerEvent {
	return func(t *testing.T, tracker *Tracker, _ time.Duration) {
		if id, mayBeAlive := tracker.InstanceID(name); !mayBeAlive || id != want {
			t.Errorf("the instance ID of %s is %q, may be alive: %v; want %q", name, id, mayBeAlive, want)
		}
	}
}

// shuttingDown returns an Info with which a member announces its shutdown.
func shuttingDown(info Info) Info {
	info.ShuttingDown = true
	return info
}

// withInstanceID returns an Info of another instance.
func withInstanceID(info Info, id string) Info {
	info.InstanceID = id
	return info
}

// withBootID returns a report of another boot of the observer.
func withBootID(r *Report, id string) *Report {
	r.BootID = id
	return r
}

// wantedState is the state that the view must show for a member at a time.
type wantedState struct {
	at    time.Duration
	name  string
	state State
}

type trackerCase struct {
	events trackerEvents
	want   []wantedState
}

// trackerCases are sequences of events at the server a of five, and the resulting states in its view.
var trackerCases = map[string]trackerCase{
	"a failure is confirmed once pings are unanswered for a while, and a recovery at once": {
		trackerEvents{
			1 * time.Second:  {dead("b")},
			10 * time.Second: {alive(controlPlaneServer("b", 2)), answered("b")},
		},
		[]wantedState{{1 * time.Second, "b", Suspect}, {2 * time.Second, "b", Failed}, {9 * time.Second, "b", Failed}, {10 * time.Second, "b", Present}},
	},
	"a member that does not answer pings is suspect, and not failed by that alone": {
		trackerEvents{1 * time.Second: {answered("c", "d", "e")}},
		[]wantedState{{2 * time.Second, "b", Present}, {3 * time.Second, "b", Suspect}, {3 * time.Second, "c", Present}, {30 * time.Second, "b", Suspect}},
	},
	"a member suspected by one of four observers is present": {
		trackerEvents{1 * time.Second: {reportedBy([]string{"c", "d", "e"}, Present, 1, "b")}},
		[]wantedState{{3 * time.Second, "b", Present}, {9 * time.Second, "b", Present}},
	},
	"a member that most observers see as failed is failed": {
		trackerEvents{1 * time.Second: {reported(newReportFrom("c", 1, Failed, 1, "b")), reported(newReportFrom("d", 1, Failed, 1, "b"))}},
		[]wantedState{{1 * time.Second, "b", Failed}},
	},
	"a mass failure without agreement is not confirmed, however long it lasts": {
		trackerEvents{4 * time.Second: {dead("b", "c", "d", "e")}},
		[]wantedState{{5 * time.Second, "e", Suspect}, {60 * time.Second, "e", Suspect}, {60 * time.Second, "d", Suspect}},
	},
	"a mass failure is confirmed once most remaining observers agree": {
		trackerEvents{
			4 * time.Second: {answered("e"), dead("b", "c", "d")},
			5 * time.Second: {answered("e"), reported(newReportFrom("e", 1, Suspect, 1, "b", "c", "d"))},
			6 * time.Second: {answered("e"), reported(newReportFrom("e", 2, Failed, 1, "b", "c", "d"))},
		},
		[]wantedState{{4 * time.Second, "d", Suspect}, {5 * time.Second, "d", Suspect}, {6 * time.Second, "d", Failed}},
	},
	"after a pause of this process no member is suspected for unanswered pings": {
		trackerEvents{
			10 * time.Second: {paused(10 * time.Second), dead("b")},
			11 * time.Second: {alive(controlPlaneServer("b", 1)), answered("b", "c", "d", "e")},
		},
		[]wantedState{{10 * time.Second, "b", Suspect}, {10 * time.Second, "c", Present}, {12 * time.Second, "b", Present}},
	},
	"reports about an earlier incarnation change nothing": {
		trackerEvents{
			1 * time.Second: {alive(controlPlaneServer("b", 5))},
			2 * time.Second: {reportedBy([]string{"c", "d", "e"}, Left, 4, "b"), alive(shuttingDown(controlPlaneServer("b", 4)))},
		},
		[]wantedState{{2 * time.Second, "b", Present}},
	},
	"a planned shutdown": {
		trackerEvents{1 * time.Second: {alive(shuttingDown(controlPlaneServer("b", 1)))}, 2 * time.Second: {dead("b")}},
		[]wantedState{{1 * time.Second, "b", Present}, {2 * time.Second, "b", Left}},
	},
	"a restarted member without an incarnation is present": {
		trackerEvents{
			1 * time.Second: {dead("b")},
			3 * time.Second: {
				alive(withInstanceID(controlPlaneServer("b", 0), "another instance")),
				answered("b"),
				instanceIs("b", "another instance"),
			},
		},
		[]wantedState{{2 * time.Second, "b", Failed}, {3 * time.Second, "b", Present}},
	},
	"a new member without an incarnation is joining": {
		trackerEvents{1 * time.Second: {alive(controlPlaneServer("f", 0))}, 2 * time.Second: {alive(controlPlaneServer("f", 9))}},
		[]wantedState{{1 * time.Second, "f", Joining}, {2 * time.Second, "f", Present}},
	},
	"a session that ends and is not opened elsewhere": {
		trackerEvents{1 * time.Second: {sessionOpened(agentInfo("n1", "x"))}, 5 * time.Second: {sessionClosed("n1")}},
		[]wantedState{{4 * time.Second, "n1", Present}, {6 * time.Second, "n1", Present}, {7 * time.Second, "n1", Suspect}, {8 * time.Second, "n1", Failed}},
	},
	"a session that moves": {
		trackerEvents{
			1 * time.Second: {sessionOpened(agentInfo("n1", "x"))},
			5 * time.Second: {sessionClosed("n1")},
			6 * time.Second: {reported(newReportFrom("c", 1, Present, 0, "n1"))},
		},
		[]wantedState{{6 * time.Second, "n1", Present}, {8 * time.Second, "n1", Present}, {21 * time.Second, "n1", Present}, {23 * time.Second, "n1", Suspect}},
	},
	"members that only a failed observer saw are suspect, then failed": {
		trackerEvents{
			1 * time.Second: {reported(newReportFrom("c", 1, Present, 0, "n1", "n2")), reportedBy([]string{"d", "e"}, Failed, 1, "b")},
			2 * time.Second: {dead("c")},
			4 * time.Second: {reported(newReportFrom("d", 9, Present, 0, "n2"))},
		},
		[]wantedState{
			{1 * time.Second, "n1", Present}, {2 * time.Second, "n1", Suspect}, {2 * time.Second, "n2", Suspect}, {4 * time.Second, "n2", Present},
			{4 * time.Second, "n1", Suspect}, {5 * time.Second, "n1", Failed}, {9 * time.Second, "n2", Present},
		},
	},
	"a late announcement of an earlier shutdown changes nothing": {
		trackerEvents{
			1 * time.Second: {sessionOpened(agentInfo("n1", "x")), agentShutsDown(agentInfo("n1", "x"))},
			2 * time.Second: {sessionOpened(agentInfo("n1", "y"))},
			3 * time.Second: {agentShutsDown(agentInfo("n1", "x"))},
		},
		[]wantedState{{1 * time.Second, "n1", Left}, {2 * time.Second, "n1", Present}, {4 * time.Second, "n1", Present}},
	},
	"reports of a worker, out of order, and of an earlier boot change nothing": {
		trackerEvents{1 * time.Second: {
			alive(Info{ProtocolVersion: ProtocolVersion, Name: "w", Role: RoleWorker, Incarnation: 1}),
			reported(newReportFrom("w", 1, Present, 0, "n1")),
			reported(newReportFrom("z", 1, Present, 0, "n1")),
			reported(newReportFrom("c", 2, Failed, 0, "n2")),
			reported(newReportFrom("c", 1, Present, 0, "n2")),
			reported(withBootID(newReportFrom("c", 9, Present, 0, "n2"), "another")),
		}},
		[]wantedState{{1 * time.Second, "n1", ""}, {1 * time.Second, "n2", Failed}},
	},
}

// TestTrackerStates checks the states that one observer derives from its events.
func TestTrackerStates(t *testing.T) {
	for name, c := range trackerCases {
		t.Run(name, func(t *testing.T) {
			tracker := newTrackerOfFive(0)
			for now := time.Duration(0); now <= 61*time.Second; now += time.Second {
				for _, event := range c.events[now] {
					event(t, tracker, now)
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
