package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knotrouter/internal/endpoints"
)

// TestRegistrationsOfOneName verifies, command by command, which instance has a name, what readers
// see of it, and which revisions result.
func TestRegistrationsOfOneName(t *testing.T) {
	s := New()
	step := func(c Command, code Code, revision int64, list string) {
		t.Helper()
		if r := apply(s, s.Clock+time.Second, c); r.Code != code || r.Seq != revision || listed(s) != list {
			t.Fatalf("%s: %+v, listed %q; want %q, revision %d, listed %q", c.Kind, r, listed(s), code, revision, list)
		}
	}
	weight, draining, none := 0.5, endpoints.Draining, ""
	step(Command{Kind: RaiseRevision, Seq: 100}, Done, 100, "")
	step(Command{Kind: RaiseRevision, Seq: 50}, Done, 100, "")
	step(Command{Kind: Register, Endpoint: endpoint("s", 10)}, Done, 101, "s ready 1 10")
	step(Command{Kind: Register, Endpoint: endpoint("s", 10)}, Done, 101, "s ready 1 10") // a retry
	step(Command{Kind: Register, Endpoint: endpoint("s", 9)}, Superseded, 101, "s ready 1 10")
	step(Command{Kind: SetOverride, Name: "s", Weight: &weight, IfVersion: 101}, Done, 102, "s ready 0.5 10")
	step(Command{Kind: SetOverride, Name: "s", Weight: &weight, IfVersion: 101}, Conflict, 102, "s ready 0.5 10")
	step(Command{Kind: SetOverride, Name: "s", Health: &draining}, Done, 103, "s draining 0.5 10")
	step(Command{Kind: Register, Endpoint: endpoint("s", 20)}, Done, 104, "s draining 0.5 20") // an override persists across a restart
	step(Command{Kind: SetOverride, Name: "s", Health: &none}, Done, 105, "s ready 0.5 20")
	step(Command{Kind: ExpireRegistration, Refs: refs("s", 10)}, Superseded, 105, "s ready 0.5 20") // the previous instance
	step(Command{Kind: Drain, Refs: refs("s", 20)}, Done, 106, "s draining 0.5 20")
	step(Command{Kind: Deregister, Refs: refs("s", 20)}, Done, 107, "")
	step(Command{Kind: Deregister, Refs: refs("s", 20)}, Unknown, 107, "")
	step(Command{Kind: SetOverride, Name: "s", Weight: &weight}, Unknown, 107, "")
	step(Command{Kind: Register, Endpoint: endpoint("s", 19)}, Superseded, 107, "") // a late request of an older instance
	step(Command{Kind: Register, Endpoint: endpoint("s", 30)}, Done, 108, "s ready 0.5 30")
	step(Command{Kind: Register, Endpoint: nil}, Invalid, 108, "s ready 0.5 30")
	step(Command{Kind: "later", Endpoint: endpoint("s", 30)}, Unsupported, 108, "s ready 0.5 30")
	removed := *endpoint("s", 40)
	removed.Health = endpoints.Removed
	step(Command{Kind: Register, Endpoint: &removed}, Invalid, 108, "s ready 0.5 30")
	if r := s.Apply(&Command{FormatVersion: FormatVersion + 1, Kind: RaiseRevision, Seq: 999}); r.Code != Unsupported || s.Seq != 108 {
		t.Errorf("command of a later format: %+v", r)
	}
}

// TestDamping verifies that a server that restarts too often stays unlisted, longer each time, and
// is listed when the damping ends.
func TestDamping(t *testing.T) {
	s := New()
	var damped []time.Duration
	startedMs := 0.0
	for range 7 {
		startedMs++
		r := apply(s, s.Clock+time.Second, Command{Kind: Register, Endpoint: endpoint("s", startedMs)})
		damped = append(damped, r.DampedFor)
		apply(s, s.Clock+time.Second, Command{Kind: ExpireRegistration, Refs: refs("s", startedMs)})
	}
	want := []time.Duration{0, 0, 0, 0, 5 * time.Second, 10 * time.Second, 20 * time.Second}
	if !slices.Equal(damped, want) {
		t.Errorf("damped for %v, want %v", damped, want)
	}
	apply(s, s.Clock, Command{Kind: Register, Endpoint: endpoint("s", 100)})
	if listed(s) != "" {
		t.Fatalf("damped server is listed: %s", listed(s))
	}
	until := s.Entries["s"].DampedUntil
	apply(s, until-1, Command{Kind: EndDamping, Refs: refs("s", 100)})
	if listed(s) != "" {
		t.Error("server is listed before the damping ends")
	}
	before := s.Seq
	apply(s, until, Command{Kind: EndDamping, Refs: refs("s", 100)})
	if listed(s) != "s ready 1 100" || s.Seq != before+1 {
		t.Errorf("after the damping: list %q, revision %d after %d", listed(s), s.Seq, before)
	}
	apply(s, s.Clock+time.Hour, Command{Kind: ExpireRegistration, Refs: refs("s", 100)})
	if r := apply(s, s.Clock+time.Second, Command{Kind: Register, Endpoint: endpoint("s", 101)}); r.DampedFor != 0 {
		t.Errorf("damped after an hour without a restart: %+v", r)
	}
}

// TestReplayGivesSameState verifies for random logs: a replay of the log, or of a snapshot and the
// rest of the log, gives the same results and the same state; revisions never go back, and each
// change of the list has its own; and a reader that follows the changes has the full list.
func TestReplayGivesSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, replayed := New(), New()
		var restored *State // decoded from a snapshot; nil before the snapshot
		reader := listReader{endpoints: map[string]endpoints.Endpoint{}}
		snapshotAt := rapid.IntRange(0, 40).Draw(t, "snapshot at")
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			if i == snapshotAt {
				text, err := s.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if restored, err = Decode(text); err != nil {
					t.Fatal(err)
				}
			}
			// Time may stand still or, with a new leader, seem to go back.
			c := drawCommand(t, time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms"))*time.Millisecond)
			text, _ := json.Marshal(c)
			var stored Command
			if err := json.Unmarshal(text, &stored); err != nil {
				t.Fatal(err)
			}
			revision, clock, before := s.Seq, s.Clock, listed(s)
			r := s.Apply(&c)
			if again := replayed.Apply(&stored); again != r {
				t.Fatalf("%s: %+v, replayed: %+v", c.Kind, r, again)
			}
			if restored != nil {
				if again := restored.Apply(&stored); again != r {
					t.Fatalf("%s: %+v, after a snapshot: %+v", c.Kind, r, again)
				}
			}
			switch {
			case s.Seq < revision || s.Clock < clock:
				t.Fatalf("revision %d after %d, clock %v after %v", s.Seq, revision, s.Clock, clock)
			case listed(s) != before && s.Seq == revision:
				t.Fatalf("the list changed without a new revision after %d", revision)
			}
			if rapid.IntRange(0, 3).Draw(t, "reads") == 0 {
				reader.checkRead(t, s)
			}
		}
		a, _ := s.Encode()
		b, _ := replayed.Encode()
		if !bytes.Equal(a, b) {
			t.Fatalf("states differ after the replay:\n%s\n%s", a, b)
		}
		if restored != nil {
			if c, _ := restored.Encode(); !bytes.Equal(a, c) {
				t.Fatalf("states differ after a snapshot and the rest of the log:\n%s\n%s", a, c)
			}
		}
	})
}

// listReader is a reader that follows the changes of the list.
type listReader struct {
	revision  int64
	endpoints map[string]endpoints.Endpoint
}

// checkRead reads the changes since the last read, and compares the reader's list with the full list.
func (r *listReader) checkRead(t *rapid.T, s *State) {
	t.Helper()
	list := s.ListSince(r.revision)
	if list.Full {
		clear(r.endpoints)
	}
	for _, e := range list.Endpoints {
		if r.endpoints[e.Name] = e; e.Health == endpoints.Removed {
			delete(r.endpoints, e.Name)
		}
	}
	r.revision = list.Seq
	want := map[string]endpoints.Endpoint{}
	for _, e := range s.FullList().Endpoints {
		want[e.Name] = e
	}
	if !reflect.DeepEqual(r.endpoints, want) {
		t.Fatalf("reader has %v, want %v", r.endpoints, want)
	}
}

// TestBounds verifies that the history is bounded and that readers with an older revision get the full
// list, and that the table of entries is bounded and old removed entries make room for new ones.
func TestBounds(t *testing.T) {
	s := New()
	weight := 1.0
	apply(s, 0, Command{Kind: Register, Endpoint: endpoint("s", 1)})
	for range 2 * MaxHistory {
		apply(s, 0, Command{Kind: SetOverride, Name: "s", Weight: &weight})
	}
	if len(s.History) != MaxHistory {
		t.Errorf("the history has %d changes", len(s.History))
	}
	oldest := s.oldestRevision()
	if s.ListSince(oldest).Full || !s.ListSince(oldest-1).Full || !s.ListSince(s.Seq+1).Full {
		t.Error("full list for the wrong revisions")
	}
	s = New()
	for i := range MaxEntries {
		apply(s, 0, Command{Kind: Register, Endpoint: endpoint(fmt.Sprint("s-", i), 1)})
	}
	if r := apply(s, 0, Command{Kind: Register, Endpoint: endpoint("more", 1)}); r.Code != TooMany {
		t.Errorf("registration with a full table: %+v", r)
	}
	before := s.Seq
	apply(s, 0, Command{Kind: Deregister, Refs: refs("s-7", 1)})
	r := apply(s, removedEntryRetention+1, Command{Kind: Register, Endpoint: endpoint("more", 1)})
	if r.Code != Done || len(s.Entries) != MaxEntries || !s.ListSince(before).Full {
		t.Errorf("registration in place of an old removed entry: %+v, %d entries", r, len(s.Entries))
	}
}

// FuzzDecode verifies that arbitrary bytes, as a snapshot or a command, are rejected or give a valid
// state.
func FuzzDecode(f *testing.F) {
	_, s, _ := simulateFleet(func(i int) bool { return i < 3 }, 40)
	text, _ := s.Encode()
	f.Add(text)
	f.Add([]byte(`{"form":1,"kind":"register","host":{"host":"s","dial":"127.0.0.1:1","health":"ready"}}`))
	f.Add([]byte(`{"form":1,"entries":{"a":null}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Decode(text)
		if err != nil {
			s = New()
		}
		var c Command
		if json.Unmarshal(text, &c) == nil {
			s.Apply(&c)
		}
		apply(s, s.Clock, Command{Kind: Register, Endpoint: endpoint("new", 1)})
		l := s.ListSince(s.Seq - 1)
		for i := range l.Endpoints {
			if err := l.Endpoints[i].Validate(); err != nil {
				t.Fatalf("list has an invalid endpoint: %v", err)
			}
		}
		again, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("cannot decode the state's own snapshot: %v", err)
		}
	})
}
