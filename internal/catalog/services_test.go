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

func hostOf(name string, born float64, service string) *endpoints.Host {
	h := host(name, born)
	h.Service = service
	return h
}

// scopedReader applies lists of services in the contract's way.
type scopedReader struct {
	services []string
	seq      int64
	hosts    map[string]endpoints.Host
}

// apply takes a list, and reports what a reader must never be sent.
func (r *scopedReader) apply(l endpoints.List) error {
	if l.Seq < r.seq {
		return fmt.Errorf("version %d after %d", l.Seq, r.seq)
	}
	r.seq = l.Seq
	if l.Whole {
		r.hosts = map[string]endpoints.Host{}
	}
	for _, h := range l.Hosts {
		switch {
		case !slices.Contains(r.services, h.Service):
			return fmt.Errorf("a reader of %q is sent %+v", r.services, h)
		case h.Health != endpoints.Gone:
			r.hosts[h.Host] = h
		case l.Whole:
			return fmt.Errorf("gone in a whole list: %+v", h)
		case r.hosts[h.Host].Service == h.Service:
			delete(r.hosts, h.Host)
		}
	}
	return nil
}

// wanted is the entries of services, counted from the entries alone.
func wanted(s *State, services []string) map[string]endpoints.Host {
	want := map[string]endpoints.Host{}
	for name, e := range s.Entries {
		if h := e.Listed(); h.Health != endpoints.Gone && slices.Contains(services, e.Host.Service) {
			h.Service = e.Host.Service
			want[name] = h
		}
	}
	return want
}

// checkIndex holds the derived part of a state against its entries.
func checkIndex(s *State) error {
	listed, held := 0, 0
	sizes := map[string]int{}
	for _, e := range s.Entries {
		if e.Listed().Health != endpoints.Gone {
			listed++
			sizes[e.Host.Service]++
		}
		if e.Held {
			held++
		}
	}
	if listed != s.ListedCount() || held != s.held || (s.HeldSince != 0) != (held > 0) {
		return fmt.Errorf("%d listed and %d held, counted as %d and %d, held since %v", listed, held, s.ListedCount(), s.held, s.HeldSince)
	}
	for name, size := range s.ServiceSizes() {
		if size != sizes[name] {
			return fmt.Errorf("service %q has %d servers, counted as %d", name, sizes[name], size)
		}
		delete(sizes, name)
	}
	if len(sizes) > 0 {
		return fmt.Errorf("services without an index: %v", sizes)
	}
	return nil
}

// Whatever the log holds, and whenever a snapshot takes the state's place: readers of
// services that apply their lines have exactly their services' entries at every version they
// read at, and no version goes back.
func TestScopedReaders(t *testing.T) {
	services := []string{"", "a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		readers := []*scopedReader{{services: []string{"a"}}, {services: []string{"a", "b"}}, {services: []string{""}},
			{services: services}, {services: []string{"none"}}}
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := draw(t, time.Duration(i)*time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms"))*time.Millisecond)
			if c.Host != nil {
				c.Host.Service = rapid.SampledFrom(services).Draw(t, "service")
			}
			if c.Kind == Hold && rapid.Bool().Draw(t, "of one service") {
				c.Why = HoldService
			}
			before := s.Seq
			s.Apply(&c)
			if err := checkIndex(s); err != nil {
				t.Fatalf("%s: %v", c.Kind, err)
			}
			changed, known := s.ChangedServices(before)
			if rapid.IntRange(0, 15).Draw(t, "forgets") == 0 {
				s.Clock += keepGone + 1
				s.forget()
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				text, err := s.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if s, err = Decode(text); err != nil {
					t.Fatal(err)
				}
				if err := checkIndex(s); err != nil {
					t.Fatalf("behind a snapshot: %v", err)
				}
				again, _ := s.Encode()
				if !bytes.Equal(text, again) {
					t.Fatalf("one state, two wordings:\n%s\n%s", text, again)
				}
			}
			for _, r := range readers {
				touched := slices.ContainsFunc(r.services, func(name string) bool { return slices.Contains(changed, name) })
				if known && !touched && r.seq >= before && !reflect.DeepEqual(wanted(s, r.services), r.hosts) && r.hosts != nil {
					t.Fatalf("%s changed %q, and not what a reader of %q has", c.Kind, changed, r.services)
				}
				if rapid.IntRange(0, 2).Draw(t, "reads") > 0 {
					continue
				}
				if err := r.apply(s.ListServices(r.services, r.seq, r.hosts == nil)); err != nil {
					t.Fatal(err)
				}
				if want := wanted(s, r.services); !reflect.DeepEqual(r.hosts, want) {
					t.Fatalf("at version %d a reader of %q has %v, the entries are %v", s.Seq, r.services, r.hosts, want)
				}
			}
		}
	})
}

// Readers that name no services get the same bytes whatever services the servers name.
func TestUnscopedBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, named := New(), New()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := draw(t, time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms"))*time.Millisecond)
			with := c
			if c.Host != nil { // a name stays with its service
				h := *c.Host
				h.Service = "service-of-" + h.Host
				with.Host = &h
			}
			since := plain.Seq - int64(rapid.IntRange(0, 20).Draw(t, "behind by"))
			a, b := plain.Apply(&c), named.Apply(&with)
			if a != b {
				t.Fatalf("%s: %+v, with services %+v", c.Kind, a, b)
			}
			for _, whole := range []bool{true, false} {
				want, _ := json.Marshal(plain.List(since, whole))
				got, _ := json.Marshal(named.List(since, whole))
				if !bytes.Equal(got, want) {
					t.Fatalf("whole %v: %s, want %s", whole, got, want)
				}
			}
		}
	})
}

// The churn of one service costs no reader of another its place, however long it lasts.
func TestChurnElsewhere(t *testing.T) {
	s := New()
	do(s, 0, Command{Kind: Register, Host: hostOf("quiet", 1, "small")})
	since := s.Seq
	share := 0.5
	do(s, 0, Command{Kind: Register, Host: hostOf("busy", 1, "large")})
	for range 2 * MaxHistory {
		do(s, 0, Command{Kind: Set, Name: "busy", Share: &share})
	}
	if l := s.ListServices([]string{"small"}, since, false); l.Whole || len(l.Hosts) != 0 || l.Seq != s.Seq {
		t.Errorf("a reader that nothing concerned is sent %+v", l)
	}
	if l := s.ListServices([]string{"large"}, since, false); l.Whole || len(l.Hosts) != 1 {
		t.Errorf("a reader far behind is sent %d entries, whole %v", len(l.Hosts), l.Whole)
	}
	if kept := len(s.services["large"].changes); kept > 128 {
		t.Errorf("%d changes kept of one server", kept)
	}
}

// The servers that left a service are remembered up to a bound, and readers from before
// those that were dropped get the whole list.
func TestMovesAreBounded(t *testing.T) {
	s := New()
	const names = 100
	for i := range names {
		do(s, 0, Command{Kind: Register, Host: hostOf(fmt.Sprint("s-", i), 1, "from")})
	}
	do(s, 0, Command{Kind: Register, Host: hostOf("stays", 1, "from")})
	since := s.Seq
	for i := range names {
		do(s, 0, Command{Kind: Register, Host: hostOf(fmt.Sprint("s-", i), 1, "to")})
	}
	if l := s.ListServices([]string{"from"}, since, false); l.Whole || len(l.Hosts) != names {
		t.Fatalf("%d entries, whole %v, want %d that are gone", len(l.Hosts), l.Whole, names)
	}
	for i := range MaxMoves {
		do(s, 0, Command{Kind: Register, Host: hostOf("s-0", 1, fmt.Sprint("other-", i%2))})
	}
	if len(s.Scopes.Moved) != MaxMoves {
		t.Errorf("%d moves kept", len(s.Scopes.Moved))
	}
	if l := s.ListServices([]string{"from"}, since, false); !l.Whole || len(l.Hosts) != 1 {
		t.Errorf("a reader from before what was dropped: %+v", l)
	}
	if l := s.ListServices([]string{"to"}, since, false); l.Whole {
		t.Error("readers of other services pay for what was dropped")
	}
	for i := range MaxServiceFloors + 1 {
		s.raiseFloor(fmt.Sprint("service-", i), s.Seq)
	}
	s.boundFloors()
	if len(s.Scopes.Floors) != 0 || s.Scopes.Floor != s.Seq {
		t.Errorf("%d floors, the common one at %d of %d", len(s.Scopes.Floors), s.Scopes.Floor, s.Seq)
	}
}

// A reader is sent changes only as long as they are not much more than the whole list.
func TestLongChangesAreWhole(t *testing.T) {
	s := New()
	do(s, 0, Command{Kind: Register, Host: hostOf("stays", 1, "a")})
	since := s.Seq
	for i := range 2 * MaxServiceChanges {
		name := fmt.Sprint("s-", i)
		do(s, 0, Command{Kind: Register, Host: hostOf(name, 1, "a")})
		do(s, 0, Command{Kind: Leave, Refs: refs(name, 1)})
	}
	if l := s.ListServices([]string{"a"}, since, false); !l.Whole || len(l.Hosts) != 1 {
		t.Errorf("%d entries, whole %v", len(l.Hosts), l.Whole)
	}
}

// A reader from before a raised version may have its own from another life of the service,
// so it gets the whole list, whatever changed.
func TestRaisedVersionIsWhole(t *testing.T) {
	s := New()
	do(s, 0, Command{Kind: Register, Host: hostOf("s", 1, "a")})
	do(s, 0, Command{Kind: Register, Host: hostOf("moves", 1, "a")})
	do(s, 0, Command{Kind: Register, Host: hostOf("moves", 1, "b")})
	since := s.Seq
	do(s, 0, Command{Kind: Floor, Seq: 1000})
	for _, from := range []int64{since, 999} {
		if l := s.ListServices([]string{"a"}, from, false); !l.Whole || len(l.Hosts) != 1 || l.Seq != 1000 {
			t.Errorf("a reader at version %d: %+v", from, l)
		}
	}
	if l := s.ListServices([]string{"a"}, 1000, false); l.Whole || len(l.Hosts) != 0 {
		t.Errorf("a reader at the raised version: %+v", l)
	}
	if len(s.Scopes.Moved) != 0 {
		t.Errorf("moves from before it are kept: %+v", s.Scopes.Moved)
	}
}

// A snapshot from before there were services is read: its entries belong to the default
// service, and readers of services from before it get the whole list.
func TestSnapshotFromBeforeServices(t *testing.T) {
	const text = `{"form":1,"seq":107,"clock":5000000000,"entries":{"s":{"host":{"host":"s","dial":"127.0.0.1:80","site":"a","class":"k",` +
		`"block":0,"health":"ready","share":1,"born_ms":10},"version":107}},"history":[{"seq":106,"name":"s"},{"seq":107,"name":"s"}]}`
	s, err := Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if err := checkIndex(s); err != nil {
		t.Fatal(err)
	}
	l := s.ListServices([]string{""}, 106, false)
	if !l.Whole || len(l.Hosts) != 1 || l.Hosts[0].Host != "s" || l.Hosts[0].Service != "" {
		t.Errorf("readers of the default service: %+v", l)
	}
	if l := s.ListServices([]string{"a"}, 106, false); !l.Whole || len(l.Hosts) != 0 {
		t.Errorf("readers of another service: %+v", l)
	}
	if l := s.List(106, false); l.Whole || len(l.Hosts) != 1 {
		t.Errorf("readers of no service: %+v", l)
	}
	do(s, s.Clock, Command{Kind: Register, Host: hostOf("s", 10, "a")})
	if l := s.ListServices([]string{"", "a"}, 107, false); l.Whole || len(l.Hosts) != 2 {
		t.Errorf("after it: %+v", l)
	}
	if r := s.Apply(&Command{Form: Form, Kind: Register, Host: host("old", 1)}); r.Code != Done || s.Entries["old"].Host.Service != "" {
		t.Errorf("a command from before there were services: %+v", r)
	}
}

// Snapshots whose part on services can't be are refused.
func TestBadScopes(t *testing.T) {
	for _, scopes := range []string{`{"floor":8}`, `{"floors":{"a":8}}`, `{"floors":{"a b":1}}`, `{"moved":[{"seq":8,"name":"s"}]}`,
		`{"moved":[{"seq":3,"name":"s"},{"seq":2,"name":"s"}]}`, `{"moved":[{"seq":3,"name":""}]}`, `{"moved":[{"seq":3,"name":"s","service":"/"}]}`} {
		if _, err := Decode([]byte(`{"form":1,"seq":7,"entries":{},"scopes":` + scopes + `}`)); err == nil || !strings.Contains(err.Error(), "scopes: ") {
			t.Errorf("%s: %v", scopes, err)
		}
	}
}

// serviceFleet is services of the sizes given, and the leases of their servers.
func serviceFleet(sizes map[string]int) (*State, *Leases) {
	s := New()
	for service, size := range sizes {
		for i := range size {
			do(s, 0, Command{Kind: Register, Host: hostOf(fmt.Sprintf("%s-%d", service, i), 1, service)})
		}
	}
	return s, Lead(LeaseConfig{TTL: 6 * time.Second, Share: 0.4, Window: 10 * time.Second}, s, 0)
}

// play renews all servers but the silent ones, every 2 s.
func play(s *State, l *Leases, from, to time.Duration, silent func(name string) bool) {
	for now := from; now < to; now += 500 * time.Millisecond {
		if now%(2*time.Second) == 0 {
			for name, e := range s.Entries {
				if !e.Ended && !silent(name) {
					l.Renew(s, Ref{name, e.Host.BornMs}, now)
				}
			}
		}
		obey(s, now, l.Decide(s, now, LeaseAlone))
	}
}

// Of a service that falls silent nearly whole while all others stand its servers are held;
// single servers of other services and services of one server end as before.
func TestGuardByService(t *testing.T) {
	s, l := serviceFleet(map[string]int{"a": 20, "b": 60, "c": 4, "one": 1})
	silent := func(name string) bool {
		return strings.HasPrefix(name, "a-") && name != "a-0" || name == "b-1" || strings.HasPrefix(name, "c-") || name == "one-0"
	}
	play(s, l, 0, 30*time.Second, silent)
	if got := s.ServiceSizes(); got["a"] != 20 || got["b"] != 59 || got["c"] != 0 || got["one"] != 0 {
		t.Fatalf("listed by service: %v", got)
	}
	if s.HeldSince == 0 || !s.Entries["a-1"].HeldByService || s.Entries["a-0"].Held {
		t.Errorf("held since %v: %+v", s.HeldSince, s.Entries["a-1"])
	}
	// While the service is held, the rest of the fleet goes on.
	play(s, l, 30*time.Second, 60*time.Second, func(name string) bool { return silent(name) || name == "b-2" })
	if got := s.ServiceSizes(); got["a"] != 20 || got["b"] != 58 {
		t.Errorf("while one service is held, listed by service: %v", got)
	}
	text, _ := s.Encode()
	confirmed, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	do(confirmed, s.Clock, Command{Kind: Confirm})
	if got := confirmed.ServiceSizes(); got["a"] != 1 || confirmed.HeldSince != 0 {
		t.Errorf("confirmed: %v", got)
	}
	play(s, l, 60*time.Second, 64*time.Second, func(name string) bool { return strings.HasPrefix(name, "b-1") && name == "b-1" })
	if got := s.ServiceSizes(); got["a"] != 20 || s.HeldSince != 0 || s.Entries["a-1"].HeldByService {
		t.Errorf("heard again: %v, held since %v", got, s.HeldSince)
	}
}

// A service loses its share at most within a window, however slowly its servers fail.
func TestGuardByServiceWithinWindow(t *testing.T) {
	s, l := serviceFleet(map[string]int{"a": 10, "b": 90})
	failed := 0
	for at := time.Duration(0); at < 16*time.Second; at += 2 * time.Second { // one more fails every 2 s
		failed++
		play(s, l, at, at+2*time.Second, func(name string) bool {
			for i := range failed {
				if name == fmt.Sprint("a-", i) {
					return true
				}
			}
			return false
		})
	}
	if left := s.ServiceSize("a"); left < 6 || s.HeldSince == 0 {
		t.Errorf("%d of 10 servers listed within a window, held since %v", left, s.HeldSince)
	}
}

// Whatever is registered, renewed, damped and held, a decision that skips what can't be due
// is the one that looks at each server.
func TestQuietDecisions(t *testing.T) {
	quiet := 0
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		c := LeaseConfig{TTL: 6 * time.Second, Share: rapid.SampledFrom([]float64{0.2, 1}).Draw(t, "share"), Window: 10 * time.Second}
		skips, looks := Lead(c, s, 0), Lead(c, s, 0)
		now := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				cmd := draw(t, now)
				s.Apply(&cmd)
			case 1, 2, 3:
				ref := Ref{fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(t, "name")), float64(rapid.IntRange(0, 4).Draw(t, "born"))}
				if a, b := skips.Renew(s, ref, now), looks.Renew(s, ref, now); a != b {
					t.Fatalf("renewal: %q, %q", a, b)
				}
			}
			if skips.isQuiet(s, now) {
				quiet++
			}
			looks.scanned = nil
			if got, want := skips.Doubtful(s, now), looks.Doubtful(s, now); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Fatalf("at %v in doubt are %v, and of all %v", now, got, want)
			}
			got, want := skips.Decide(s, now, LeaseAlone), looks.Decide(s, now, LeaseAlone)
			if !reflect.DeepEqual(got, want) || skips.Kept != looks.Kept || skips.Waiting != looks.Waiting {
				t.Fatalf("at %v decided is %+v, and of all %+v", now, got, want)
			}
			obey(s, now, got)
		}
	})
	if quiet == 0 {
		t.Error("no decision skipped anything")
	}
	s, l := serviceFleet(map[string]int{"a": 20})
	looked := 0
	for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
		if now%(2*time.Second) == 0 {
			for name := range s.Entries {
				l.Renew(s, Ref{name, 1}, now)
			}
		}
		if !l.isQuiet(s, now) {
			looked++
		}
		if d := l.Decide(s, now, LeaseAlone); !d.Empty() {
			t.Fatalf("decided: %+v", d)
		}
	}
	if looked > 60 {
		t.Errorf("looked at each server %d times in a minute in which all renew", looked)
	}
}

// ahead is the fleet of the target: 39,000 servers in 1,900 services, the first of 5,000.
func ahead(tb testing.TB) (*State, *Leases) {
	tb.Helper()
	s := New()
	for i := range 39_000 {
		service := "service-0"
		if i >= 5000 {
			service = fmt.Sprint("service-", 1+i%1899)
		}
		if r := do(s, 0, Command{Kind: Register, Host: hostOf(fmt.Sprintf("server-%05d", i), 1, service)}); r.Code != Done {
			tb.Fatalf("server %d: %+v", i, r)
		}
	}
	return s, Lead(LeaseConfig{TTL: time.Hour, Share: 0.4, Window: 10 * time.Second}, s, 0)
}

// The target's fleet fits, with the names of a whole region replaced at once, and its
// snapshot is read again.
func TestFleetAheadFits(t *testing.T) {
	s, _ := ahead(t)
	const region = 6500
	for i := range region {
		do(s, time.Second, Command{Kind: Leave, Refs: refs(fmt.Sprintf("server-%05d", i), 1)})
	}
	since := s.Seq
	for i := range region {
		if r := do(s, time.Second, Command{Kind: Register, Host: hostOf(fmt.Sprint("next-", i), 2, "service-0")}); r.Code != Done {
			t.Fatalf("replacement %d: %+v", i, r)
		}
	}
	if l := s.List(since-region, false); l.Whole || len(l.Hosts) != 2*region {
		t.Errorf("a region lost and back is %d changes, whole %v", len(l.Hosts), l.Whole)
	}
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if again.ListedCount() != 39_000 || !reflect.DeepEqual(again.ListServices([]string{"service-0"}, 0, true), s.ListServices([]string{"service-0"}, 0, true)) {
		t.Errorf("%d listed behind a snapshot", again.ListedCount())
	}
	t.Logf("snapshot of %d bytes", len(text))
}

// BenchmarkAhead is what single steps cost with the target's fleet.
func BenchmarkAhead(b *testing.B) {
	s, l := ahead(b)
	twenty := make([]string, 20)
	for i := range twenty {
		twenty[i] = fmt.Sprint("service-", i+1)
	}
	steps := []struct {
		name string
		step func()
	}{
		{"WholeList", func() { s.List(0, true) }},
		{"WholeOf20Services", func() { s.ListServices(twenty, 0, true) }},
		{"ChangeOf20Services", func() { s.ListServices(twenty, s.Seq-10, false) }},
		{"ChangedServices", func() { s.ChangedServices(s.Seq - 10) }},
		{"Decide", func() { l.scanned = nil; l.Decide(s, time.Second, LeaseAlone) }},
		{"DecideQuiet", func() { l.Decide(s, time.Second, LeaseAlone) }},
		{"Doubtful", func() { l.scanned = nil; l.Doubtful(s, time.Second) }},
		{"Names", func() { s.Names() }},
		{"Encode", func() { _, _ = s.Encode() }},
		{"RegisterAgain", func() {
			h := s.Entries["server-00007"].Host
			h.BornMs++
			s.Clock += time.Hour
			do(s, s.Clock, Command{Kind: Register, Host: &h})
		}},
		{"SetWhileHeld", func() {
			if s.HeldSince == 0 {
				do(s, s.Clock, Command{Kind: Hold, Refs: refs("server-00001", 1)})
			}
			do(s, s.Clock, Command{Kind: Seen, Refs: refs("server-00002", 1)})
		}},
	}
	for _, st := range steps {
		b.Run(st.name, func(b *testing.B) {
			for b.Loop() {
				st.step()
			}
		})
	}
}
