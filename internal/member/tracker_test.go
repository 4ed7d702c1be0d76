package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func controlPlaneServer(name string, incarnation int64) Info {
	return Info{ProtocolVersion: ProtocolVersion, Name: name, Role: RoleControlPlane, Incarnation: incarnation, InstanceID: "f-" + name}
}

func agentInfo(name, life string) Info {
	return Info{ProtocolVersion: ProtocolVersion, Name: name, Role: RoleAgent, InstanceID: life}
}

// newTrackerOfFive is a steward that has four others as present, all heard just now.
func newTrackerOfFive(now time.Duration) *Tracker {
	t := NewTracker(Defaults(controlPlaneServer("a", 1)))
	for _, name := range []string{"b", "c", "d", "e"} {
		t.MemberAlive(now, controlPlaneServer(name, 1))
		t.ExpectPeer(now, name)
	}
	t.Tick(now)
	return t
}

func newReportFrom(from string, seq int64, state State, incarnation int64, names ...string) *Report {
	r := &Report{ProtocolVersion: ProtocolVersion, From: from, Incarnation: 1, Seq: seq, BootID: from}
	for _, n := range names {
		role := RoleControlPlane
		if n[0] == 'n' {
			role = RoleAgent
		}
		r.Observations = append(r.Observations, Observation{Name: n, Role: role, State: state, Incarnation: incarnation})
	}
	return r
}

// What one observer makes of what it hears, step by step.
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
		"a death is believed once the dead was not heard for a while, and a return too": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) { t.MemberDead(now, "b") },
				10 * s: func(t *Tracker, now time.Duration) {
					t.MemberAlive(now, controlPlaneServer("b", 2))
					t.PeerAnswered(now, "b")
				}},
			[]want{{1 * s, "b", Suspect}, {2 * s, "b", Failed}, {9 * s, "b", Failed}, {10 * s, "b", Present}}},
		"who doesn't answer this one itself is in doubt, and never dead by that alone": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					t.PeerAnswered(now, "c")
					t.PeerAnswered(now, "d")
					t.PeerAnswered(now, "e")
				}},
			[]want{{2 * s, "b", Present}, {3 * s, "b", Suspect}, {3 * s, "c", Present}, {30 * s, "b", Suspect}}},
		"one of four observers has its doubts: it is present": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					for i, from := range []string{"c", "d", "e"} {
						t.MergeReport(now, newReportFrom(from, int64(i+1), Present, 1, "b"))
					}
				}},
			[]want{{3 * s, "b", Present}, {9 * s, "b", Present}}},
		"most have it as failed": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					t.MergeReport(now, newReportFrom("c", 1, Failed, 1, "b"))
					t.MergeReport(now, newReportFrom("d", 1, Failed, 1, "b"))
				}},
			[]want{{1 * s, "b", Failed}}},
		"too many deaths at once are not believed, not even after long": {
			map[time.Duration]func(*Tracker, time.Duration){
				4 * s: func(t *Tracker, now time.Duration) {
					t.MemberDead(now, "b")
					t.MemberDead(now, "c")
					t.MemberDead(now, "d")
					t.MemberDead(now, "e")
				}},
			[]want{{5 * s, "e", Suspect}, {60 * s, "e", Suspect}, {60 * s, "d", Suspect}}},
		"unless most that are left say the same": {
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
		"who stood still accuses nobody of silence": {
			map[time.Duration]func(*Tracker, time.Duration){
				10 * s: func(t *Tracker, now time.Duration) { t.Paused(now, 10*s); t.MemberDead(now, "b") },
				11 * s: func(t *Tracker, now time.Duration) {
					t.MemberAlive(now, controlPlaneServer("b", 1))
					for _, n := range []string{"b", "c", "d", "e"} {
						t.PeerAnswered(now, n)
					}
				}},
			[]want{{10 * s, "b", Suspect}, {10 * s, "c", Present}, {12 * s, "b", Present}}},
		"news of an earlier life changes nothing": {
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
		"a planned leave": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					i := controlPlaneServer("b", 1)
					i.ShuttingDown = true
					t.MemberAlive(now, i)
				},
				2 * s: func(t *Tracker, now time.Duration) { t.MemberDead(now, "b") }},
			[]want{{1 * s, "b", Present}, {2 * s, "b", Left}}},
		"started again and without a number, it is there": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) { t.MemberDead(now, "b") },
				3 * s: func(t *Tracker, now time.Duration) {
					i := controlPlaneServer("b", 0)
					i.InstanceID = "another folder"
					t.MemberAlive(now, i)
					t.PeerAnswered(now, "b")
					if id, is := t.InstanceID("b"); !is || id != i.InstanceID {
						panic("its folder is " + id)
					}
				}},
			[]want{{2 * s, "b", Failed}, {3 * s, "b", Present}}},
		"without a number it is joining": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) { t.MemberAlive(now, controlPlaneServer("f", 0)) },
				2 * s: func(t *Tracker, now time.Duration) { t.MemberAlive(now, controlPlaneServer("f", 9)) }},
			[]want{{1 * s, "f", Joining}, {2 * s, "f", Present}}},
		"a session that ends, and nobody has it": {
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
		"an observer that dies, and what it alone saw": {
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
		"an agent that leaves, and whose old word comes late": {
			map[time.Duration]func(*Tracker, time.Duration){
				1 * s: func(t *Tracker, now time.Duration) {
					t.SessionOpened(now, agentInfo("n1", "x"))
					t.Leave(now, agentInfo("n1", "x"))
				},
				2 * s: func(t *Tracker, now time.Duration) { t.SessionOpened(now, agentInfo("n1", "y")) },
				3 * s: func(t *Tracker, now time.Duration) { t.Leave(now, agentInfo("n1", "x")) }},
			[]want{{1 * s, "n1", Left}, {2 * s, "n1", Present}, {4 * s, "n1", Present}}},
		"a report of one that is no steward, one out of order, one of a life before": {
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

// Three observers between whom sessions move, whose news is lost and comes late: a session that
// is open anywhere is present everywhere within moments, however it went; a life never goes
// back; and once nothing happens any more all views are equal, and say how it is.
func TestObserversAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		all := map[string]*Tracker{}
		for _, n := range names {
			all[n] = NewTracker(Defaults(controlPlaneServer(n, 1)))
			for _, o := range names {
				if o != n {
					all[n].MemberAlive(0, controlPlaneServer(o, 1))
				}
			}
		}
		type note struct {
			due  time.Duration
			to   string
			text []byte
		}
		var notes []note
		open := map[string]string{} // at which observer
		ever := map[string]bool{}
		lives := map[string]int64{}
		now := time.Duration(0)
		pass := func(lossy bool) {
			now += 100 * time.Millisecond
			for _, n := range names {
				r, some := all[n].PendingReport(now, 4)
				if now%time.Second == 0 {
					r, some = all[n].FullReport(now), true
				}
				r.BootID = n
				text, _ := json.Marshal(r)
				for _, o := range names {
					if o == n || !some || lossy && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
						continue
					}
					late := time.Duration(0)
					if lossy {
						late = time.Duration(rapid.IntRange(0, 3).Draw(t, "late")) * 100 * time.Millisecond
					}
					notes = append(notes, note{now + late, o, text})
				}
			}
			var rest []note
			for _, x := range notes {
				if x.due > now {
					rest = append(rest, x)
					continue
				}
				if r, err := DecodeReport(x.text); err != nil {
					t.Fatal(err)
				} else {
					all[x.to].MergeReport(now, &r)
				}
			}
			notes = rest
			for _, n := range names {
				all[n].Tick(now)
				for _, e := range func() []Entry { v := all[n].View(now); return v.Members }() {
					if e.Role != RoleControlPlane && e.Incarnation < lives[n+e.Name] {
						t.Fatalf("%s: %s is of life %d, and was of %d", n, e.Name, e.Incarnation, lives[n+e.Name])
					}
					lives[n+e.Name] = e.Incarnation
				}
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			who, at := fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "agent")), rapid.SampledFrom(names).Draw(t, "at")
			switch rapid.SampledFrom([]string{"open", "move", "close", "server"}).Draw(t, "event") {
			case "open", "move":
				if was := open[who]; was != "" {
					all[was].SessionClosed(now, who)
				}
				all[at].SessionOpened(now, agentInfo(who, who))
				open[who], ever[who] = at, true
			case "close":
				if was := open[who]; was != "" {
					all[was].SessionClosed(now, who)
					delete(open, who)
				}
			case "server":
				born := int64(rapid.IntRange(1, 5).Draw(t, "born"))
				all[at].Heartbeat(now, Info{ProtocolVersion: ProtocolVersion, Name: "s", Role: RoleServer, Incarnation: born}, 2*time.Second)
			}
			for range rapid.IntRange(0, 20).Draw(t, "passes") {
				pass(true)
			}
			for who, at := range open {
				if v := all[at].View(now); v.State(who) != Present {
					t.Fatalf("%s watches at %s, which has it as %q", who, at, v.State(who))
				}
			}
		}
		for range 200 {
			pass(false)
		}
		for _, n := range names {
			v := all[n].View(now)
			for i := range 3 {
				who := fmt.Sprint("n", i)
				if st := v.State(who); (open[who] != "") != (st == Present) || ever[who] && open[who] == "" && st != Failed {
					t.Fatalf("in the end %s is open at %q, %s has it as %q: %+v", who, open[who], n, st, v.Members)
				}
			}
			if w := all["a"].View(now); w.State("s") != v.State("s") {
				t.Fatalf("in the end s is %q and %q", w.State("s"), v.State("s"))
			}
		}
	})
}

// What differs between views, since when, and who is alone.
func TestCompareViews(t *testing.T) {
	view := func(from string, of map[string]State) View {
		v := View{From: from}
		for name, st := range of {
			role := RoleControlPlane
			if name[0] == 'n' {
				role = RoleAgent
			}
			v.Members = append(v.Members, Entry{Name: name, Role: role, State: st, Observers: []Opinion{{from, st, 1, int64(from[0]-'a'+1) * 1000}, {"x", Failed, 1, 1}}})
		}
		return v
	}
	got := CompareViews([]View{view("a", map[string]State{"b": Present, "c": Suspect, "d": Present, "n1": Present}), view("b", map[string]State{"a": Present, "c": Present, "d": Present, "n1": Failed}),
		view("c", map[string]State{"a": Present, "b": Present, "d": Present}), view("d", map[string]State{"a": Present, "b": Present, "c": Present, "n1": Suspect})})
	if len(got) != 1 || got[0].Name != "c" || got[0].Dissenter != "a" || got[0].ForMs != 1000 || got[0].States["b"] != "present" {
		t.Errorf("%+v", got)
	}
	if got := CompareViews([]View{view("a", map[string]State{"b": Present}), view("b", map[string]State{"a": Present})}); len(got) != 0 {
		t.Errorf("of one mind: %+v", got)
	}
	if got := CompareViews([]View{view("a", map[string]State{"b": Present, "c": Present}), view("b", map[string]State{"a": Present}), view("c", map[string]State{"a": Present, "b": Present})}); len(got) != 1 ||
		got[0].Name != "c" || len(got[0].Absent) != 1 || got[0].Absent[0] != "b" {
		t.Errorf("one that is not known to all: %+v", got)
	}
}

// FuzzDecodeMessages: what others send makes sense or is refused, and what is taken harms nobody.
func FuzzDecodeMessages(f *testing.F) {
	tr := newTrackerOfFive(0)
	tr.SessionOpened(0, agentInfo("n1", "x"))
	own, _ := json.Marshal(tr.FullReport(0))
	info, _ := json.Marshal(controlPlaneServer("b", 3))
	for _, seed := range [][]byte{own, info, []byte("{}"), []byte(`{"f":2,"n":"b"}`), []byte(`{"f":1,"n":"b","o":[{"n":"c","r":"steward","s":"present","t":-1}]}`), nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		tr := newTrackerOfFive(0)
		if i, err := DecodeInfo(text); err == nil {
			tr.MemberAlive(time.Second, i)
		}
		if r, err := DecodeReport(text); err == nil {
			tr.MergeReport(time.Second, &r)
		}
		tr.MemberDead(2*time.Second, "b")
		tr.Tick(5 * time.Second)
		v := tr.View(5 * time.Second)
		if v.State("a") != Present || len(v.Members) > MaxMembers+5 {
			t.Errorf("%+v", v)
		}
	})
}
