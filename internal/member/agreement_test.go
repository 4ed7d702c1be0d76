package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// agreementFleet simulates three observers that send each other reports over a network that loses
// and delays them, and the three agents and one server that they observe.
type agreementFleet struct {
	now           time.Duration
	observerNames []string
	trackers      map[string]*Tracker
	inFlight      []sentReport
	sessions      map[string]string // observer at which the session of an agent is open, by agent
	everOpened    map[string]bool   // whether a session was ever opened, by agent
	incarnations  map[string]int64  // by observer and member, as last seen in the observer's view
}

type sentReport struct {
	due  time.Duration
	to   string
	text []byte
}

func newAgreementFleet() *agreementFleet {
	f := &agreementFleet{
		observerNames: []string{"a", "b", "c"},
		trackers:      map[string]*Tracker{},
		sessions:      map[string]string{},
		everOpened:    map[string]bool{},
		incarnations:  map[string]int64{},
	}
	for _, name := range f.observerNames {
		f.trackers[name] = NewTracker(Defaults(controlPlaneServer(name, 1)))
		for _, other := range f.observerNames {
			if other != name {
				f.trackers[name].MemberAlive(0, controlPlaneServer(other, 1))
			}
		}
	}
	return f
}

// step advances the time by 100 ms: reports are sent and delivered, and the Trackers tick.
func (f *agreementFleet) step(t *rapid.T, lossy bool) {
	f.now += 100 * time.Millisecond
	for _, name := range f.observerNames {
		f.sendReport(t, name, lossy)
	}
	f.deliverReports(t)
	for _, name := range f.observerNames {
		f.trackers[name].Tick(f.now)
		f.checkIncarnations(t, name)
	}
}

// sendReport sends an observer's pending report, or once a second a full report.
func (f *agreementFleet) sendReport(t *rapid.T, observer string, lossy bool) {
	r, pending := f.trackers[observer].PendingReport(f.now, 4)
	if f.now%time.Second == 0 {
		r, pending = f.trackers[observer].FullReport(f.now), true
	}
	r.BootID = observer
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	for _, to := range f.observerNames {
		if to == observer || !pending || lossy && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
			continue
		}
		delay := time.Duration(0)
		if lossy {
			delay = time.Duration(rapid.IntRange(0, 3).Draw(t, "delay")) * 100 * time.Millisecond
		}
		f.inFlight = append(f.inFlight, sentReport{f.now + delay, to, text})
	}
}

func (f *agreementFleet) deliverReports(t *rapid.T) {
	var later []sentReport
	for _, sent := range f.inFlight {
		if sent.due > f.now {
			later = append(later, sent)
			continue
		}
		r, err := DecodeReport(sent.text)
		if err != nil {
			t.Fatal(err)
		}
		f.trackers[sent.to].MergeReport(f.now, &r)
	}
	f.inFlight = later
}

// checkIncarnations fails if a member's incarnation in an observer's view has decreased.
func (f *agreementFleet) checkIncarnations(t *rapid.T, observer string) {
	for _, e := range f.trackers[observer].View(f.now).Members {
		key := observer + e.Name
		if e.Role != RoleControlPlane && e.Incarnation < f.incarnations[key] {
			t.Fatalf("%s: the incarnation of %s is %d, and was %d before", observer, e.Name, e.Incarnation, f.incarnations[key])
		}
		f.incarnations[key] = e.Incarnation
	}
}

// applyRandomEvent draws and applies one event: a session opens, moves or closes, or a server sends a
// heartbeat.
func (f *agreementFleet) applyRandomEvent(t *rapid.T) {
	agent, at := fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "agent")), rapid.SampledFrom(f.observerNames).Draw(t, "at")
	switch rapid.SampledFrom([]string{"open", "move", "close", "server"}).Draw(t, "event") {
	case "open", "move":
		if open := f.sessions[agent]; open != "" {
			f.trackers[open].SessionClosed(f.now, agent)
		}
		f.trackers[at].SessionOpened(f.now, agentInfo(agent, agent))
		f.sessions[agent], f.everOpened[agent] = at, true
	case "close":
		if open := f.sessions[agent]; open != "" {
			f.trackers[open].SessionClosed(f.now, agent)
			delete(f.sessions, agent)
		}
	case "server":
		incarnation := int64(rapid.IntRange(1, 5).Draw(t, "incarnation"))
		server := Info{ProtocolVersion: ProtocolVersion, Name: "s", Role: RoleServer, Incarnation: incarnation}
		f.trackers[at].Heartbeat(f.now, server, 2*time.Second)
	}
}

// checkSessions fails if an agent is not present for the observer that has its session.
func (f *agreementFleet) checkSessions(t *rapid.T) {
	for agent, at := range f.sessions {
		if v := f.trackers[at].View(f.now); v.State(agent) != Present {
			t.Fatalf("%s has an open session at %s, which sees it as %q", agent, at, v.State(agent))
		}
	}
}

// checkAgreement fails if the views differ, or if they do not match the open sessions.
func (f *agreementFleet) checkAgreement(t *rapid.T) {
	for _, name := range f.observerNames {
		v := f.trackers[name].View(f.now)
		for i := range 3 {
			agent := fmt.Sprint("n", i)
			state, open := v.State(agent), f.sessions[agent] != ""
			if open != (state == Present) || f.everOpened[agent] && !open && state != Failed {
				t.Fatalf("at the end the session of %s is open at %q, but %s sees it as %q: %+v", agent, f.sessions[agent], name, state, v.Members)
			}
		}
		if first := f.trackers["a"].View(f.now); first.State("s") != v.State("s") {
			t.Fatalf("at the end s is %q for one observer and %q for another", first.State("s"), v.State("s"))
		}
	}
}

// TestObserversAgree checks, with sessions that move and reports that are lost and delayed, that a
// member with an open session is present for the observer that has the session, and that an
// incarnation never decreases. Once events and losses stop, all views must be equal and correct.
func TestObserversAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newAgreementFleet()
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			f.applyRandomEvent(t)
			for range rapid.IntRange(0, 20).Draw(t, "steps") {
				f.step(t, true)
			}
			f.checkSessions(t)
		}
		for range 200 {
			f.step(t, false)
		}
		f.checkAgreement(t)
	})
}
