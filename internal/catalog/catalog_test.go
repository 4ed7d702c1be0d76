package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knotrouter/internal/endpoints"
)

func endpoint(name string, born float64) *endpoints.Endpoint {
	return &endpoints.Endpoint{Name: name, Dial: "127.0.0.1:80", Site: "a", Class: "k", Health: endpoints.Ready, Weight: 1, StartedMs: born}
}

func apply(s *State, at time.Duration, c Command) Result {
	c.FormatVersion, c.At = FormatVersion, at
	return s.Apply(&c)
}

func refs(name string, born float64) []InstanceRef { return []InstanceRef{{name, born}} }

func listed(s *State) string {
	var out []string
	for _, h := range s.List(0, true).Endpoints {
		out = append(out, fmt.Sprintf("%s %s %g %g", h.Name, h.Health, h.Weight, h.StartedMs))
	}
	return strings.Join(out, ", ")
}

// A story of one name: who has it, what its readers see, what its versions are.
func TestRegistrationsOfOneName(t *testing.T) {
	s := New()
	step := func(c Command, code Code, seq int64, list string) {
		t.Helper()
		if r := apply(s, s.Clock+time.Second, c); r.Code != code || r.Seq != seq || listed(s) != list {
			t.Fatalf("%s: %+v, listed %q; want %q, version %d, listed %q", c.Kind, r, listed(s), code, seq, list)
		}
	}
	share, draining, none := 0.5, endpoints.Draining, ""
	step(Command{Kind: RaiseRevision, Seq: 100}, Done, 100, "")
	step(Command{Kind: RaiseRevision, Seq: 50}, Done, 100, "")
	step(Command{Kind: Register, Endpoint: endpoint("s", 10)}, Done, 101, "s ready 1 10")
	step(Command{Kind: Register, Endpoint: endpoint("s", 10)}, Done, 101, "s ready 1 10") // said again
	step(Command{Kind: Register, Endpoint: endpoint("s", 9)}, Superseded, 101, "s ready 1 10")
	step(Command{Kind: SetOverride, Name: "s", Weight: &share, IfVersion: 101}, Done, 102, "s ready 0.5 10")
	step(Command{Kind: SetOverride, Name: "s", Weight: &share, IfVersion: 101}, Conflict, 102, "s ready 0.5 10")
	step(Command{Kind: SetOverride, Name: "s", Health: &draining}, Done, 103, "s draining 0.5 10")
	step(Command{Kind: Register, Endpoint: endpoint("s", 20)}, Done, 104, "s draining 0.5 20") // an operator's word outlasts a restart
	step(Command{Kind: SetOverride, Name: "s", Health: &none}, Done, 105, "s ready 0.5 20")
	step(Command{Kind: ExpireRegistration, Refs: refs("s", 10)}, Superseded, 105, "s ready 0.5 20") // the one before
	step(Command{Kind: Drain, Refs: refs("s", 20)}, Done, 106, "s draining 0.5 20")
	step(Command{Kind: Deregister, Refs: refs("s", 20)}, Done, 107, "")
	step(Command{Kind: Deregister, Refs: refs("s", 20)}, Unknown, 107, "")
	step(Command{Kind: SetOverride, Name: "s", Weight: &share}, Unknown, 107, "")
	step(Command{Kind: Register, Endpoint: endpoint("s", 19)}, Superseded, 107, "") // it was heard late
	step(Command{Kind: Register, Endpoint: endpoint("s", 30)}, Done, 108, "s ready 0.5 30")
	step(Command{Kind: Register, Endpoint: nil}, Invalid, 108, "s ready 0.5 30")
	step(Command{Kind: "later", Endpoint: endpoint("s", 30)}, Unsupported, 108, "s ready 0.5 30")
	odd := *endpoint("s", 40)
	odd.Health = endpoints.Removed
	step(Command{Kind: Register, Endpoint: &odd}, Invalid, 108, "s ready 0.5 30")
	if r := s.Apply(&Command{FormatVersion: FormatVersion + 1, Kind: RaiseRevision, Seq: 999}); r.Code != Unsupported || s.Seq != 108 {
		t.Errorf("a command of a later form: %+v", r)
	}
}

// A server that comes and goes is kept off the list, longer each time, and is let in again.
func TestDamping(t *testing.T) {
	s := New()
	var damped []time.Duration
	born := 0.0
	for range 7 {
		born++
		r := apply(s, s.Clock+time.Second, Command{Kind: Register, Endpoint: endpoint("s", born)})
		damped = append(damped, r.DampedFor)
		apply(s, s.Clock+time.Second, Command{Kind: ExpireRegistration, Refs: refs("s", born)})
	}
	want := []time.Duration{0, 0, 0, 0, 5 * time.Second, 10 * time.Second, 20 * time.Second}
	if !slices.Equal(damped, want) {
		t.Errorf("kept off for %v, want %v", damped, want)
	}
	apply(s, s.Clock, Command{Kind: Register, Endpoint: endpoint("s", 100)})
	if listed(s) != "" {
		t.Fatalf("listed while it is damped: %s", listed(s))
	}
	until := s.Entries["s"].DampedUntil
	apply(s, until-1, Command{Kind: EndDamping, Refs: refs("s", 100)})
	if listed(s) != "" {
		t.Error("let in too soon")
	}
	before := s.Seq
	apply(s, until, Command{Kind: EndDamping, Refs: refs("s", 100)})
	if listed(s) != "s ready 1 100" || s.Seq != before+1 {
		t.Errorf("not let in: %s, version %d after %d", listed(s), s.Seq, before)
	}
	apply(s, s.Clock+time.Hour, Command{Kind: ExpireRegistration, Refs: refs("s", 100)})
	if r := apply(s, s.Clock+time.Second, Command{Kind: Register, Endpoint: endpoint("s", 101)}); r.DampedFor != 0 {
		t.Errorf("an hour of standing does not count: %+v", r)
	}
}

// simulateFleet plays a fleet of which some fall silent at once, and tells who is listed after a
// while and whether the guard holds.
func simulateFleet(silent func(i int) bool, ticks int) (left int, s *State, l *RegistrationLeases) {
	return simulateServices(func(int) string { return "" }, silent, ticks)
}

// simulateServices plays a fleet in services.
func simulateServices(service func(i int) string, silent func(i int) bool, ticks int) (left int, s *State, l *RegistrationLeases) {
	const n = 30
	s = New()
	c := LeaseConfig{TTL: 6 * time.Second, MassFailureShare: 0.4, MassFailureWindow: 10 * time.Second}
	for i := range n {
		apply(s, 0, Command{Kind: Register, Endpoint: endpointOf(fmt.Sprintf("s-%02d", i), 1, service(i))})
	}
	l = NewRegistrationLeases(c, s, 0)
	for tick := range ticks {
		now := time.Duration(tick) * 500 * time.Millisecond
		for i := range n {
			// Each renews every 2 s, at its own time; the silent ones until 10 s.
			if (tick+i)%4 == 0 && (!silent(i) || now < 10*time.Second) {
				l.Renew(s, InstanceRef{fmt.Sprintf("s-%02d", i), 1}, now)
			}
		}
		applyDecision(s, now, l.Decide(s, now, ExpireByLeaseOnly))
	}
	return len(s.List(0, true).Endpoints), s, l
}

func applyDecision(s *State, now time.Duration, d Decision) {
	for _, c := range []Command{{Kind: ExpireRegistration, Refs: d.Expire}, {Kind: Quarantine, Refs: d.Quarantine}, {Kind: Quarantine, Refs: d.QuarantineByService, Reason: QuarantineByService},
		{Kind: Recover, Refs: d.Recover}, {Kind: EndDamping, Refs: d.EndDamping}} {
		if len(c.Refs) > 0 { // the leader proposes nothing that is empty
			apply(s, now, c)
		}
	}
}

// One zone of three is let go; a loss of most of the fleet is not believed until an
// operator confirms it, and is over when the servers are heard again.
func TestMassFailure(t *testing.T) {
	t.Run("one service", func(t *testing.T) { testMassFailure(t, func(int) string { return "" }) })
	// The share of the fleet holds also those whose services are too small to have one.
	t.Run("a service each", func(t *testing.T) { testMassFailure(t, func(i int) string { return fmt.Sprint("service-", i) }) })
}

func testMassFailure(t *testing.T, service func(i int) string) {
	if left, s, _ := simulateServices(service, func(i int) bool { return i%3 == 0 }, 60); left != 20 || s.QuarantinedSince != 0 {
		t.Errorf("a zone of three lost: %d of 30 listed, held since %v", left, s.QuarantinedSince)
	}
	left, s, l := simulateServices(service, func(i int) bool { return i%10 != 0 }, 60)
	if left != 30 || s.QuarantinedSince == 0 {
		t.Fatalf("nine in ten silent: %d of 30 listed, held since %v", left, s.QuarantinedSince)
	}
	again, _ := s.Encode()
	confirmed, err := Decode(again)
	if err != nil {
		t.Fatal(err)
	}
	apply(confirmed, s.Clock, Command{Kind: ConfirmRemoval})
	if n := len(confirmed.List(0, true).Endpoints); n != 3 || confirmed.QuarantinedSince != 0 {
		t.Errorf("confirmed: %d listed", n)
	}
	now := 31 * time.Second
	for i := range 30 {
		if code := l.Renew(s, InstanceRef{fmt.Sprintf("s-%02d", i), 1}, now); code != Done {
			t.Errorf("a held server that is heard again: %s", code)
		}
	}
	seq := s.Seq
	applyDecision(s, now, l.Decide(s, now, ExpireByLeaseOnly))
	if s.QuarantinedSince != 0 || s.Seq != seq || len(s.List(0, true).Endpoints) != 30 {
		t.Errorf("heard again: held since %v, version %d after %d", s.QuarantinedSince, s.Seq, seq)
	}
}

// A new leader gives every lease its full time, however old the last renewal is.
func TestNewLeaderExtendsLeases(t *testing.T) {
	_, s, _ := simulateFleet(func(int) bool { return false }, 8)
	now := 100 * time.Second
	l := NewRegistrationLeases(LeaseConfig{TTL: 6 * time.Second, MassFailureShare: 1, MassFailureWindow: time.Second}, s, now)
	if d := l.Decide(s, now+6*time.Second-1, ExpireByLeaseOnly); !d.Empty() {
		t.Errorf("before the full time: %+v", d)
	}
	if d := l.Decide(s, now+6*time.Second, ExpireByLeaseOnly); len(d.Expire) != 30 {
		t.Errorf("after it: %+v", d)
	}
}

// drawCommand makes one command of any kind, sound or not.
func drawCommand(t *rapid.T, at time.Duration) Command {
	c := Command{FormatVersion: FormatVersion, At: at, Kind: rapid.SampledFrom([]Kind{Register, Register, Register, RaiseRevision, Drain, Deregister, ExpireRegistration,
		Quarantine, Recover, ConfirmRemoval, EndDamping, SetOverride, "nonsense"}).Draw(t, "kind")}
	name := func() string { return fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(t, "name")) }
	born := func() float64 { return float64(rapid.IntRange(0, 4).Draw(t, "born")) }
	switch c.Kind {
	case Register:
		c.Endpoint = endpoint(name(), born())
		c.Endpoint.Health = rapid.SampledFrom([]string{endpoints.Ready, endpoints.Ready, endpoints.Draining, endpoints.Removed, "odd"}).Draw(t, "health")
	case RaiseRevision:
		c.Seq = int64(rapid.IntRange(0, 200).Draw(t, "floor"))
	case SetOverride:
		c.Name = name()
		share := rapid.Float64Range(-1, 3).Draw(t, "share")
		health := rapid.SampledFrom([]string{"", endpoints.Draining, "odd"}).Draw(t, "word")
		c.Weight, c.Health, c.IfVersion = &share, &health, int64(rapid.IntRange(0, 3).Draw(t, "if"))
	default:
		for range rapid.IntRange(0, 3).Draw(t, "refs") {
			c.Refs = append(c.Refs, InstanceRef{name(), born()})
		}
	}
	return c
}

// Whatever the log holds: replaying it gives the same state, a snapshot and the rest of
// the log as well; versions never go back and each change of the list has one of its own;
// and a reader that follows the changes from any version on has the whole list.
func TestReplayGivesSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, replayed := New(), New()
		reader, readerSeq := map[string]endpoints.Endpoint{}, int64(0)
		cut := rapid.IntRange(0, 40).Draw(t, "snapshot at")
		var restored *State
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			if i == cut {
				text, err := whole.Encode()
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
			var read Command
			if err := json.Unmarshal(text, &read); err != nil {
				t.Fatal(err)
			}
			seq, clock, before := whole.Seq, whole.Clock, listed(whole)
			r := whole.Apply(&c)
			if again := replayed.Apply(&read); again != r {
				t.Fatalf("%s: %+v, and replayed %+v", c.Kind, r, again)
			}
			if restored != nil {
				if tail := restored.Apply(&read); tail != r {
					t.Fatalf("%s: %+v, and behind a snapshot %+v", c.Kind, r, tail)
				}
			}
			switch {
			case whole.Seq < seq || whole.Clock < clock:
				t.Fatalf("version %d after %d, clock %v after %v", whole.Seq, seq, whole.Clock, clock)
			case listed(whole) != before && whole.Seq == seq:
				t.Fatalf("the list changed under version %d", seq)
			}
			if rapid.IntRange(0, 3).Draw(t, "reads") == 0 {
				l := whole.List(readerSeq, false)
				if l.Full {
					clear(reader)
				}
				for _, h := range l.Endpoints {
					if reader[h.Name] = h; h.Health == endpoints.Removed {
						delete(reader, h.Name)
					}
				}
				readerSeq = l.Seq
				want := map[string]endpoints.Endpoint{}
				for _, h := range whole.List(0, true).Endpoints {
					want[h.Name] = h
				}
				if !reflect.DeepEqual(reader, want) {
					t.Fatalf("a reader has %v, the list is %v", reader, want)
				}
			}
		}
		a, _ := whole.Encode()
		b, _ := replayed.Encode()
		if !bytes.Equal(a, b) {
			t.Fatalf("replayed:\n%s\n%s", a, b)
		}
		if restored != nil {
			if c, _ := restored.Encode(); !bytes.Equal(a, c) {
				t.Fatalf("snapshot and tail:\n%s\n%s", a, c)
			}
		}
	})
}

// The history is bounded and says by a whole list that it is, and so is the table of names.
func TestBounds(t *testing.T) {
	s := New()
	share := 1.0
	apply(s, 0, Command{Kind: Register, Endpoint: endpoint("s", 1)})
	for range 2 * MaxHistory {
		apply(s, 0, Command{Kind: SetOverride, Name: "s", Weight: &share})
	}
	if len(s.History) != MaxHistory {
		t.Errorf("%d changes kept", len(s.History))
	}
	oldest := s.oldestRevision()
	if s.List(oldest, false).Full || !s.List(oldest-1, false).Full || !s.List(s.Seq+1, false).Full {
		t.Error("the wrong versions get a whole list")
	}
	s = New()
	for i := range MaxEntries {
		apply(s, 0, Command{Kind: Register, Endpoint: endpoint(fmt.Sprint("s-", i), 1)})
	}
	if r := apply(s, 0, Command{Kind: Register, Endpoint: endpoint("more", 1)}); r.Code != TooMany {
		t.Errorf("one more: %+v", r)
	}
	before := s.Seq
	apply(s, 0, Command{Kind: Deregister, Refs: refs("s-7", 1)})
	r := apply(s, removedEntryRetention+1, Command{Kind: Register, Endpoint: endpoint("more", 1)})
	if r.Code != Done || len(s.Entries) != MaxEntries || !s.List(before, false).Full {
		t.Errorf("room after an end: %+v, %d entries", r, len(s.Entries))
	}
}

// Whatever bytes come, a snapshot or a command is refused or is sound.
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
		l := s.List(s.Seq-1, false)
		for i := range l.Endpoints {
			if err := l.Endpoints[i].Validate(); err != nil {
				t.Fatalf("lists an entry that makes no sense: %v", err)
			}
		}
		again, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("can't read its own snapshot: %v", err)
		}
	})
}
