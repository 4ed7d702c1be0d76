package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawTaskCommand makes one command on duties, sound or not.
func drawTaskCommand(t *rapid.T, s *State, at time.Duration) Command {
	c := Command{FormatVersion: FormatVersion, At: at, Kind: rapid.SampledFrom([]Kind{OpenSession, OpenSession, CloseSession, DrainSession, DefineTask, DefineTask, DeleteTask, GrantTerm, GrantTerm, GrantTerm,
		ExpireTerm, ReleaseTerm, TransferTask, AcceptTransfer, RevokeTerm, Suspend, Resume, RaiseRevision, SetOverride}).Draw(t, "kind")}
	process := func() string { return fmt.Sprint("p-", rapid.IntRange(0, 3).Draw(t, "process")) }
	id := func(p string) string { return fmt.Sprint(p, "-", rapid.IntRange(0, 1).Draw(t, "life")) }
	name := func() string { return fmt.Sprint("d-", rapid.IntRange(0, 3).Draw(t, "duty")) }
	fence := func() int64 { return int64(rapid.IntRange(0, 12).Draw(t, "fence")) }
	switch c.Kind {
	case OpenSession, CloseSession, DrainSession:
		p := process()
		c.Session = &Session{Process: p, ID: id(p), MaxTasks: rapid.IntRange(-1, 3).Draw(t, "cap")}
	case DefineTask:
		c.LeasedTask = &LeasedTask{Name: name(), TTL: rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second, time.Hour}).Draw(t, "ttl")}
	case DeleteTask, RevokeTerm, Suspend, Resume:
		c.Name = name()
	case RaiseRevision:
		c.Seq = int64(rapid.IntRange(0, 8).Draw(t, "floor"))
	case SetOverride:
		share := 1.0
		c.Name, c.Weight, c.UnderTask, c.Fence = "s", &share, name(), fence()
	default:
		for range rapid.IntRange(0, 3).Draw(t, "ties") {
			p := process()
			tie := TermRef{Name: name(), Process: p, Session: id(p), Fence: fence(), CountDeath: rapid.Bool().Draw(t, "blame")}
			if d := s.LeasedTasks[tie.Name]; d != nil && rapid.Bool().Draw(t, "as it is") {
				tie.Fence, tie.Session = d.Fence, d.Session
			}
			c.Terms = append(c.Terms, tie)
		}
		c.Reason = rapid.SampledFrom([]string{"", ReasonFailed, ReasonTransferred}).Draw(t, "why")
	}
	return c
}

// Whatever is said of duties, in whatever order and however often: one has one holder, which
// has an open session; its fence only grows and no two terms share one; a term ends only by
// its own holder's word, by its lapse, or with its session; an act under an older fence is
// refused and changes nothing; what a session is told changes with its revision; a replay,
// and a snapshot with the rest of the log, give the same state.
func TestTaskLogs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		apply(s, 0, Command{Kind: Register, Endpoint: endpoint("s", 1)})
		restored := New()
		apply(restored, 0, Command{Kind: Register, Endpoint: endpoint("s", 1)})
		terms := map[int64]string{}
		beyond := int64(0) // what each term that begins has to be beyond: all before it, and each floor
		told := map[string]string{}
		cut := rapid.IntRange(0, 60).Draw(t, "snapshot at")
		for i := range rapid.IntRange(1, 120).Draw(t, "commands") {
			if i == cut {
				text, err := s.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if restored, err = Decode(text); err != nil {
					t.Fatal(err)
				}
			}
			c := drawTaskCommand(t, s, time.Duration(i*rapid.IntRange(0, 2000).Draw(t, "ms"))*time.Millisecond)
			before := map[string]LeasedTask{}
			for name, d := range s.LeasedTasks {
				before[name] = *d
			}
			text, _ := json.Marshal(c)
			var read Command
			if err := json.Unmarshal(text, &read); err != nil {
				t.Fatal(err)
			}
			seq := s.Seq
			r := s.Apply(&c)
			if again := restored.Apply(&read); again != r {
				t.Fatalf("%s: %+v, and elsewhere %+v", c.Kind, r, again)
			}
			if c.Kind == OpenSession && r.Code == Done && s.Sessions[c.Session.Process].ID != c.Session.ID {
				t.Fatalf("%s is told that it has the name that %s has", c.Session.ID, s.Sessions[c.Session.Process].ID)
			}
			if c.UnderTask != "" {
				d := s.LeasedTasks[c.UnderTask]
				if present := d != nil && d.Holder != "" && d.Fence == c.Fence; present != (r.Code == Done) || !present && s.Seq != seq {
					t.Fatalf("an act under fence %d of %+v: %+v", c.Fence, d, r)
				}
			}
			if c.Kind == RaiseRevision {
				beyond = max(beyond, c.Seq)
			}
			begun := beyond
			for name, d := range s.LeasedTasks {
				was, known := before[name]
				if d.Holder != "" && (was.Holder == "" || was.Fence != d.Fence) {
					if d.Fence <= beyond {
						t.Fatalf("%s is granted under fence %d, there was %d", name, d.Fence, beyond)
					}
					begun = max(begun, d.Fence)
				}
				switch {
				case known && d.Fence < was.Fence:
					t.Fatalf("%s: fence %d after %d", name, d.Fence, was.Fence)
				case d.Holder == "":
				case s.Sessions[d.Holder] == nil || s.Sessions[d.Holder].ID != d.Session:
					t.Fatalf("%s is held by %s, %s, which is not there", name, d.Holder, d.Session)
				case terms[d.Fence] == "":
					terms[d.Fence] = name + d.Session
				case terms[d.Fence] != name+d.Session:
					t.Fatalf("fence %d is %s's and %s's", d.Fence, terms[d.Fence], name+d.Session)
				}
				if d.SuspendReason != "" && d.Holder != "" && d.Fence != was.Fence {
					t.Fatalf("%s is parked and was granted: %+v", name, d)
				}
				if known && was.Holder != "" && (d.Holder != was.Holder || d.Fence != was.Fence) {
					own := false
					for _, tie := range c.Terms {
						own = own || (c.Kind == ExpireTerm || c.Kind == ReleaseTerm) && tie.Name == name && tie.Fence == was.Fence
					}
					if !own && !(c.Kind == CloseSession && c.Session.Process == was.Holder && c.Session.ID == was.Session) {
						t.Fatalf("%s took %s from %s", c.Kind, name, was.Holder)
					}
				}
			}
			beyond = begun
			for _, p := range s.ProcessNames() {
				o := s.Sessions[p]
				tasks, rev, _ := s.Assignments(p, o.ID)
				key, now := fmt.Sprint(o.ID, rev), fmt.Sprint(tasks)
				if was, some := told[key]; some && was != now {
					t.Fatalf("at revision %d %s is to do %s, and was to do %s", rev, p, now, was)
				}
				told[key] = now
			}
		}
		a, _ := s.Encode()
		b, _ := restored.Encode()
		if !bytes.Equal(a, b) {
			t.Fatalf("elsewhere:\n%s\n%s", a, b)
		}
		if _, err := Decode(a); err != nil {
			t.Fatalf("can't read its own snapshot: %v", err)
		}
	})
}

// A leader's decisions, over processes that come, fall silent, rest and go: nobody is freed
// before its time since it was heard last is over, counted by a new leader from its own
// beginning; nobody has more than it has room for; all that can be held is, in the end, and
// then nothing changes hands.
func TestTaskLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		now := time.Duration(rapid.IntRange(0, 100).Draw(t, "from")) * time.Hour
		tenures := NewTaskLeases(now)
		heard := map[string]time.Duration{}
		began := now
		n := rapid.IntRange(1, 40).Draw(t, "duties")
		for i := range n {
			apply(s, now, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: fmt.Sprintf("d-%02d", i), TTL: time.Duration(1+i%3) * time.Second,
				PreferredZone: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "zone")}})
		}
		lives := 0
		up := map[string]string{}
		step := func() (grants int) {
			for p, id := range up {
				if code := tenures.Renew(s, p, id, now); code == Done {
					heard[id] = now
				}
			}
			for _, c := range tenures.Decide(s, now) {
				for _, tie := range c.Terms {
					if d := s.LeasedTasks[tie.Name]; c.Kind == ExpireTerm {
						if last := max(heard[d.Session], began); now < last+d.TTL {
							t.Fatalf("%s is freed %v after %s was heard, its time is %v", tie.Name, now-last, d.Holder, d.TTL)
						}
					}
				}
				for _, tie := range c.Terms {
					if last := max(heard[tie.Session], began); c.Kind == GrantTerm && now >= last+maxGrantSilence {
						t.Fatalf("%s is granted to %s, which was heard %v ago", tie.Name, tie.Process, now-last)
					}
				}
				if c.Kind == GrantTerm || c.Kind == TransferTask && len(c.Terms) > 0 && c.Terms[0].Process != "" {
					grants += len(c.Terms)
				}
				apply(s, now, c)
			}
			load := map[string]int{}
			for _, d := range s.LeasedTasks {
				if d.Successor != "" { // the next is ready at once, and the holder stops at once
					o := s.Sessions[d.Successor]
					apply(s, now, Command{Kind: AcceptTransfer, Terms: []TermRef{{Name: d.Name, Process: d.Successor, Session: o.ID}}})
					apply(s, now, Command{Kind: ReleaseTerm, Terms: []TermRef{{Name: d.Name, Fence: d.Fence}}})
				}
				if d.Holder != "" {
					load[d.Holder]++
				}
			}
			for p, k := range load {
				if o := s.Sessions[p]; k > o.MaxTasks {
					t.Fatalf("%s holds %d, and has room for %d", p, k, o.MaxTasks)
				}
			}
			now += 100 * time.Millisecond
			return grants
		}
		for range rapid.IntRange(0, 25).Draw(t, "changes") {
			p := fmt.Sprint("p-", rapid.IntRange(0, 4).Draw(t, "process"))
			switch rapid.SampledFrom([]string{"open", "open", "die", "rest", "close", "leader"}).Draw(t, "change") {
			case "open":
				lives++
				id := fmt.Sprint(p, "-", lives)
				if r := apply(s, now, Command{Kind: OpenSession, Session: &Session{Process: p, ID: id, MaxTasks: rapid.IntRange(1, 30).Draw(t, "cap"),
					Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")}}); r.Code == Done {
					up[p], heard[id] = id, now
				}
			case "die":
				delete(up, p)
			case "rest":
				apply(s, now, Command{Kind: DrainSession, Session: &Session{Process: p, ID: up[p]}})
			case "close":
				apply(s, now, Command{Kind: CloseSession, Session: &Session{Process: p, ID: up[p]}})
				delete(up, p)
			case "leader":
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "without")) * time.Millisecond
				tenures, began = NewTaskLeases(now), now
			}
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				step()
			}
		}
		for range 400 { // what had to be evened out is, and what was backed off
			step()
		}
		room, held := 0, 0
		for p := range up {
			if o := s.Sessions[p]; o != nil && !o.Draining {
				room += o.MaxTasks
			}
		}
		for _, d := range s.LeasedTasks {
			if d.Holder != "" || d.SuspendReason != "" {
				held++
			}
		}
		if held < min(n, room) {
			t.Fatalf("%d of %d are held, there is room for %d", held, n, room)
		}
		for range 50 {
			if moved := step(); moved > 0 {
				t.Fatalf("%d change hands though nothing happens", moved)
			}
		}
	})
}

// A duty that fails is backed off, longer each time; one that ends its holders is parked,
// and what they held beside it is not.
func TestTasksThatEndTheirHoldersAreSuspended(t *testing.T) {
	s := New()
	apply(s, 0, Command{Kind: OpenSession, Session: &Session{Process: "p", ID: "i", MaxTasks: 9}})
	apply(s, 0, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: "f", TTL: time.Second}})
	var waits []time.Duration
	for range 4 {
		d := s.LeasedTasks["f"]
		apply(s, max(d.NotBefore, s.Clock), Command{Kind: GrantTerm, Terms: []TermRef{{Name: "f", Process: "p", Session: "i"}}})
		apply(s, s.Clock, Command{Kind: ReleaseTerm, Reason: ReasonFailed, Terms: []TermRef{{Name: "f", Session: "i", Fence: d.Fence}}})
		waits = append(waits, d.NotBefore-s.Clock)
	}
	if fmt.Sprint(waits) != "[1s 2s 4s 8s]" {
		t.Errorf("waits %v", waits)
	}
	now := s.Clock
	tenures := NewTaskLeases(now)
	for _, name := range []string{"innocent", "killer"} {
		apply(s, now, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: name, TTL: time.Second}})
	}
	for life := range 4 {
		id := fmt.Sprint("k-", life)
		apply(s, now, Command{Kind: OpenSession, Session: &Session{Process: "q", ID: id, MaxTasks: 9}})
		apply(s, now, Command{Kind: GrantTerm, Terms: []TermRef{{Name: "innocent", Process: "q", Session: id}}})
		apply(s, now, Command{Kind: GrantTerm, Terms: []TermRef{{Name: "killer", Process: "q", Session: id}}})
		for range 60 { // it is not heard of again
			now += 100 * time.Millisecond
			for _, c := range tenures.Decide(s, now) {
				if c.Kind != GrantTerm {
					apply(s, now, c)
				}
			}
		}
	}
	if s.LeasedTasks["killer"].SuspendReason == "" || s.LeasedTasks["innocent"].SuspendReason != "" {
		t.Errorf("the one that kills: %+v; the one beside it: %+v", s.LeasedTasks["killer"], s.LeasedTasks["innocent"])
	}
}

// Whom the view doesn't have as present gets a duty only where nobody else has room.
func TestAbsentProcessesAreChosenLast(t *testing.T) {
	s := New()
	for _, p := range []string{"a", "b"} {
		apply(s, 0, Command{Kind: OpenSession, Session: &Session{Process: p, ID: p, MaxTasks: 2}})
	}
	for i := range 3 {
		apply(s, 0, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: fmt.Sprint("d-", i), TTL: time.Second, PreferredProcess: "a"}})
	}
	tenures := NewTaskLeases(0)
	tenures.Absent = map[string]bool{"a": true}
	for _, c := range tenures.Decide(s, 0) {
		apply(s, 0, c)
	}
	held := map[string]int{}
	for _, d := range s.LeasedTasks {
		held[d.Holder]++
	}
	if held["b"] != 2 || held["a"] != 1 {
		t.Errorf("held: %v", held)
	}
}
