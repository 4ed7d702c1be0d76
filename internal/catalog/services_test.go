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

func endpointOf(name string, born float64, service string) *endpoints.Endpoint {
	h := endpoint(name, born)
	h.Service = service
	return h
}

// serviceReader applies lists of services in the contract's way.
type serviceReader struct {
	services []string
	seq      int64
	hosts    map[string]endpoints.Endpoint
}

// apply takes a list, and reports what a reader must never be sent.
func (r *serviceReader) apply(l endpoints.List) error {
	if l.Seq < r.seq {
		return fmt.Errorf("version %d after %d", l.Seq, r.seq)
	}
	r.seq = l.Seq
	if l.Full {
		r.hosts = map[string]endpoints.Endpoint{}
	}
	for _, h := range l.Endpoints {
		switch {
		case !slices.Contains(r.services, h.Service):
			return fmt.Errorf("a reader of %q is sent %+v", r.services, h)
		case h.Health != endpoints.Removed:
			r.hosts[h.Name] = h
		case l.Full:
			return fmt.Errorf("gone in a whole list: %+v", h)
		case r.hosts[h.Name].Service == h.Service:
			delete(r.hosts, h.Name)
		}
	}
	return nil
}

// wantedEndpoints is the entries of services, counted from the entries alone.
func wantedEndpoints(s *State, services []string) map[string]endpoints.Endpoint {
	want := map[string]endpoints.Endpoint{}
	for name, e := range s.Entries {
		if h := e.Listed(); h.Health != endpoints.Removed && slices.Contains(services, e.Endpoint.Service) {
			h.Service = e.Endpoint.Service
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
		if e.Listed().Health != endpoints.Removed {
			listed++
			sizes[e.Endpoint.Service]++
		}
		if e.Quarantined {
			held++
		}
	}
	if listed != s.ListedCount() || held != s.quarantinedCount || (s.QuarantinedSince != 0) != (held > 0) {
		return fmt.Errorf("%d listed and %d held, counted as %d and %d, held since %v", listed, held, s.ListedCount(), s.quarantinedCount, s.QuarantinedSince)
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
func TestServiceReaders(t *testing.T) {
	services := []string{"", "a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		readers := []*serviceReader{{services: []string{"a"}}, {services: []string{"a", "b"}}, {services: []string{""}},
			{services: services}, {services: []string{"none"}}}
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := drawCommand(t, time.Duration(i)*time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms"))*time.Millisecond)
			if c.Endpoint != nil {
				c.Endpoint.Service = rapid.SampledFrom(services).Draw(t, "service")
			}
			if c.Kind == Quarantine && rapid.Bool().Draw(t, "of one service") {
				c.Reason = QuarantineByService
			}
			before := s.Seq
			s.Apply(&c)
			if err := checkIndex(s); err != nil {
				t.Fatalf("%s: %v", c.Kind, err)
			}
			changed, known := s.ChangedServices(before)
			if rapid.IntRange(0, 15).Draw(t, "forgets") == 0 {
				s.Clock += removedEntryRetention + 1
				s.pruneRemovedEntries()
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
				if known && !touched && r.seq >= before && !reflect.DeepEqual(wantedEndpoints(s, r.services), r.hosts) && r.hosts != nil {
					t.Fatalf("%s changed %q, and not what a reader of %q has", c.Kind, changed, r.services)
				}
				if rapid.IntRange(0, 2).Draw(t, "reads") > 0 {
					continue
				}
				if err := r.apply(s.ListServices(r.services, r.seq, r.hosts == nil)); err != nil {
					t.Fatal(err)
				}
				if want := wantedEndpoints(s, r.services); !reflect.DeepEqual(r.hosts, want) {
					t.Fatalf("at version %d a reader of %q has %v, the entries are %v", s.Seq, r.services, r.hosts, want)
				}
			}
		}
	})
}

// Readers that name no services get the same bytes whatever services the servers name.
func TestReadersWithoutServicesGetSameBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, named := New(), New()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t, time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms"))*time.Millisecond)
			with := c
			if c.Endpoint != nil { // a name stays with its service
				h := *c.Endpoint
				h.Service = "service-of-" + h.Name
				with.Endpoint = &h
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
func TestChurnOfOtherServices(t *testing.T) {
	s := New()
	apply(s, 0, Command{Kind: Register, Endpoint: endpointOf("quiet", 1, "small")})
	since := s.Seq
	share := 0.5
	apply(s, 0, Command{Kind: Register, Endpoint: endpointOf("busy", 1, "large")})
	for range 2 * MaxHistory {
		apply(s, 0, Command{Kind: SetOverride, Name: "busy", Weight: &share})
	}
	if l := s.ListServices([]string{"small"}, since, false); l.Full || len(l.Endpoints) != 0 || l.Seq != s.Seq {
		t.Errorf("a reader that nothing concerned is sent %+v", l)
	}
	if l := s.ListServices([]string{"large"}, since, false); l.Full || len(l.Endpoints) != 1 {
		t.Errorf("a reader far behind is sent %d entries, whole %v", len(l.Endpoints), l.Full)
	}
	if kept := len(s.serviceIndexes["large"].changes); kept > 128 {
		t.Errorf("%d changes kept of one server", kept)
	}
}

// The servers that left a service are remembered up to a bound, and readers from before
// those that were dropped get the whole list.
func TestDeparturesAreBounded(t *testing.T) {
	s := New()
	const names = 100
	for i := range names {
		apply(s, 0, Command{Kind: Register, Endpoint: endpointOf(fmt.Sprint("s-", i), 1, "from")})
	}
	apply(s, 0, Command{Kind: Register, Endpoint: endpointOf("stays", 1, "from")})
	since := s.Seq
	for i := range names {
		apply(s, 0, Command{Kind: Register, Endpoint: endpointOf(fmt.Sprint("s-", i), 1, "to")})
	}
	if l := s.ListServices([]string{"from"}, since, false); l.Full || len(l.Endpoints) != names {
		t.Fatalf("%d entries, whole %v, want %d that are gone", len(l.Endpoints), l.Full, names)
	}
	for i := range MaxDepartures {
		apply(s, 0, Command{Kind: Register, Endpoint: endpointOf("s-0", 1, fmt.Sprint("other-", i%2))})
	}
	if len(s.ServiceHistory.Departures) != MaxDepartures {
		t.Errorf("%d moves kept", len(s.ServiceHistory.Departures))
	}
	if l := s.ListServices([]string{"from"}, since, false); !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("a reader from before what was dropped: %+v", l)
	}
	if l := s.ListServices([]string{"to"}, since, false); l.Full {
		t.Error("readers of other services pay for what was dropped")
	}
	for i := range MaxServiceMinRevisions + 1 {
		s.raiseMinRevision(fmt.Sprint("service-", i), s.Seq)
	}
	s.limitMinRevisions()
	if len(s.ServiceHistory.MinRevisions) != 0 || s.ServiceHistory.MinRevision != s.Seq {
		t.Errorf("%d floors, the common one at %d of %d", len(s.ServiceHistory.MinRevisions), s.ServiceHistory.MinRevision, s.Seq)
	}
}

// A reader is sent changes only as long as they are not much more than the whole list.
func TestLongChangesBecomeFullLists(t *testing.T) {
	s := New()
	apply(s, 0, Command{Kind: Register, Endpoint: endpointOf("stays", 1, "a")})
	since := s.Seq
	for i := range 2 * MaxServiceChanges {
		name := fmt.Sprint("s-", i)
		apply(s, 0, Command{Kind: Register, Endpoint: endpointOf(name, 1, "a")})
		apply(s, 0, Command{Kind: Deregister, Refs: refs(name, 1)})
	}
	if l := s.ListServices([]string{"a"}, since, false); !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("%d entries, whole %v", len(l.Endpoints), l.Full)
	}
}

// A reader from before a raised version may have its own from another life of the service,
// so it gets the whole list, whatever changed.
func TestRaisedRevisionGivesFullList(t *testing.T) {
	s := New()
	apply(s, 0, Command{Kind: Register, Endpoint: endpointOf("s", 1, "a")})
	apply(s, 0, Command{Kind: Register, Endpoint: endpointOf("moves", 1, "a")})
	apply(s, 0, Command{Kind: Register, Endpoint: endpointOf("moves", 1, "b")})
	since := s.Seq
	apply(s, 0, Command{Kind: RaiseRevision, Seq: 1000})
	for _, from := range []int64{since, 999} {
		if l := s.ListServices([]string{"a"}, from, false); !l.Full || len(l.Endpoints) != 1 || l.Seq != 1000 {
			t.Errorf("a reader at version %d: %+v", from, l)
		}
	}
	if l := s.ListServices([]string{"a"}, 1000, false); l.Full || len(l.Endpoints) != 0 {
		t.Errorf("a reader at the raised version: %+v", l)
	}
	if len(s.ServiceHistory.Departures) != 0 {
		t.Errorf("moves from before it are kept: %+v", s.ServiceHistory.Departures)
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
	if !l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "s" || l.Endpoints[0].Service != "" {
		t.Errorf("readers of the default service: %+v", l)
	}
	if l := s.ListServices([]string{"a"}, 106, false); !l.Full || len(l.Endpoints) != 0 {
		t.Errorf("readers of another service: %+v", l)
	}
	if l := s.List(106, false); l.Full || len(l.Endpoints) != 1 {
		t.Errorf("readers of no service: %+v", l)
	}
	apply(s, s.Clock, Command{Kind: Register, Endpoint: endpointOf("s", 10, "a")})
	if l := s.ListServices([]string{"", "a"}, 107, false); l.Full || len(l.Endpoints) != 2 {
		t.Errorf("after it: %+v", l)
	}
	if r := s.Apply(&Command{FormatVersion: FormatVersion, Kind: Register, Endpoint: endpoint("old", 1)}); r.Code != Done || s.Entries["old"].Endpoint.Service != "" {
		t.Errorf("a command from before there were services: %+v", r)
	}
}

// Snapshots whose part on services can't be are refused.
func TestInvalidServiceHistoryIsRejected(t *testing.T) {
	for _, scopes := range []string{`{"floor":8}`, `{"floors":{"a":8}}`, `{"floors":{"a b":1}}`, `{"moved":[{"seq":8,"name":"s"}]}`,
		`{"moved":[{"seq":3,"name":"s"},{"seq":2,"name":"s"}]}`, `{"moved":[{"seq":3,"name":""}]}`, `{"moved":[{"seq":3,"name":"s","service":"/"}]}`} {
		if _, err := Decode([]byte(`{"form":1,"seq":7,"entries":{},"scopes":` + scopes + `}`)); err == nil || !strings.Contains(err.Error(), "scopes: ") {
			t.Errorf("%s: %v", scopes, err)
		}
	}
}

// serviceFleet is services of the sizes given, and the leases of their servers.
func serviceFleet(sizes map[string]int) (*State, *RegistrationLeases) {
	s := New()
	for service, size := range sizes {
		for i := range size {
			apply(s, 0, Command{Kind: Register, Endpoint: endpointOf(fmt.Sprintf("%s-%d", service, i), 1, service)})
		}
	}
	return s, NewRegistrationLeases(LeaseConfig{TTL: 6 * time.Second, MassFailureShare: 0.4, MassFailureWindow: 10 * time.Second}, s, 0)
}

// runLeases renews all servers but the silent ones, every 2 s.
func runLeases(s *State, l *RegistrationLeases, from, to time.Duration, silent func(name string) bool) {
	for now := from; now < to; now += 500 * time.Millisecond {
		if now%(2*time.Second) == 0 {
			for name, e := range s.Entries {
				if !e.Removed && !silent(name) {
					l.Renew(s, InstanceRef{name, e.Endpoint.StartedMs}, now)
				}
			}
		}
		applyDecision(s, now, l.Decide(s, now, ExpireByLeaseOnly))
	}
}

// Of a service that falls silent nearly whole while all others stand its servers are held;
// single servers of other services and services of one server end as before.
func TestQuarantineByService(t *testing.T) {
	s, l := serviceFleet(map[string]int{"a": 20, "b": 60, "c": 4, "one": 1})
	silent := func(name string) bool {
		return strings.HasPrefix(name, "a-") && name != "a-0" || name == "b-1" || strings.HasPrefix(name, "c-") || name == "one-0"
	}
	runLeases(s, l, 0, 30*time.Second, silent)
	if got := s.ServiceSizes(); got["a"] != 20 || got["b"] != 59 || got["c"] != 0 || got["one"] != 0 {
		t.Fatalf("listed by service: %v", got)
	}
	if s.QuarantinedSince == 0 || !s.Entries["a-1"].QuarantinedByService || s.Entries["a-0"].Quarantined {
		t.Errorf("held since %v: %+v", s.QuarantinedSince, s.Entries["a-1"])
	}
	// While the service is held, the rest of the fleet goes on.
	runLeases(s, l, 30*time.Second, 60*time.Second, func(name string) bool { return silent(name) || name == "b-2" })
	if got := s.ServiceSizes(); got["a"] != 20 || got["b"] != 58 {
		t.Errorf("while one service is held, listed by service: %v", got)
	}
	text, _ := s.Encode()
	confirmed, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	apply(confirmed, s.Clock, Command{Kind: ConfirmRemoval})
	if got := confirmed.ServiceSizes(); got["a"] != 1 || confirmed.QuarantinedSince != 0 {
		t.Errorf("confirmed: %v", got)
	}
	runLeases(s, l, 60*time.Second, 64*time.Second, func(name string) bool { return strings.HasPrefix(name, "b-1") && name == "b-1" })
	if got := s.ServiceSizes(); got["a"] != 20 || s.QuarantinedSince != 0 || s.Entries["a-1"].QuarantinedByService {
		t.Errorf("heard again: %v, held since %v", got, s.QuarantinedSince)
	}
}

// A service loses its share at most within a window, however slowly its servers fail.
func TestQuarantineByServiceWithinWindow(t *testing.T) {
	s, l := serviceFleet(map[string]int{"a": 10, "b": 90})
	failed := 0
	for at := time.Duration(0); at < 16*time.Second; at += 2 * time.Second { // one more fails every 2 s
		failed++
		runLeases(s, l, at, at+2*time.Second, func(name string) bool {
			for i := range failed {
				if name == fmt.Sprint("a-", i) {
					return true
				}
			}
			return false
		})
	}
	if left := s.ServiceSize("a"); left < 6 || s.QuarantinedSince == 0 {
		t.Errorf("%d of 10 servers listed within a window, held since %v", left, s.QuarantinedSince)
	}
}

// Whatever is registered, renewed, damped and held, a decision that skips what can't be due
// is the one that looks at each server.
func TestSkippedDecisionsFindNothing(t *testing.T) {
	quiet := 0
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		c := LeaseConfig{TTL: 6 * time.Second, MassFailureShare: rapid.SampledFrom([]float64{0.2, 1}).Draw(t, "share"), MassFailureWindow: 10 * time.Second}
		skips, looks := NewRegistrationLeases(c, s, 0), NewRegistrationLeases(c, s, 0)
		now := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				cmd := drawCommand(t, now)
				s.Apply(&cmd)
			case 1, 2, 3:
				ref := InstanceRef{fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(t, "name")), float64(rapid.IntRange(0, 4).Draw(t, "born"))}
				if a, b := skips.Renew(s, ref, now), looks.Renew(s, ref, now); a != b {
					t.Fatalf("renewal: %q, %q", a, b)
				}
			}
			if skips.nothingDue(s, now) {
				quiet++
			}
			looks.scannedState = nil
			if got, want := skips.Suspected(s, now), looks.Suspected(s, now); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Fatalf("at %v in doubt are %v, and of all %v", now, got, want)
			}
			got, want := skips.Decide(s, now, ExpireByLeaseOnly), looks.Decide(s, now, ExpireByLeaseOnly)
			if !reflect.DeepEqual(got, want) || skips.Retained != looks.Retained || skips.Undecided != looks.Undecided {
				t.Fatalf("at %v decided is %+v, and of all %+v", now, got, want)
			}
			applyDecision(s, now, got)
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
				l.Renew(s, InstanceRef{name, 1}, now)
			}
		}
		if !l.nothingDue(s, now) {
			looked++
		}
		if d := l.Decide(s, now, ExpireByLeaseOnly); !d.Empty() {
			t.Fatalf("decided: %+v", d)
		}
	}
	if looked > 60 {
		t.Errorf("looked at each server %d times in a minute in which all renew", looked)
	}
}

// largestFleet is the fleet of the target: 39,000 servers in 1,900 services, the first of 5,000.
func largestFleet(tb testing.TB) (*State, *RegistrationLeases) {
	tb.Helper()
	s := New()
	for i := range 39_000 {
		service := "service-0"
		if i >= 5000 {
			service = fmt.Sprint("service-", 1+i%1899)
		}
		if r := apply(s, 0, Command{Kind: Register, Endpoint: endpointOf(fmt.Sprintf("server-%05d", i), 1, service)}); r.Code != Done {
			tb.Fatalf("server %d: %+v", i, r)
		}
	}
	return s, NewRegistrationLeases(LeaseConfig{TTL: time.Hour, MassFailureShare: 0.4, MassFailureWindow: 10 * time.Second}, s, 0)
}

// The target's fleet fits, with the names of a whole region replaced at once, and its
// snapshot is read again.
func TestLargestFleetFits(t *testing.T) {
	s, _ := largestFleet(t)
	const region = 6500
	for i := range region {
		apply(s, time.Second, Command{Kind: Deregister, Refs: refs(fmt.Sprintf("server-%05d", i), 1)})
	}
	since := s.Seq
	for i := range region {
		if r := apply(s, time.Second, Command{Kind: Register, Endpoint: endpointOf(fmt.Sprint("next-", i), 2, "service-0")}); r.Code != Done {
			t.Fatalf("replacement %d: %+v", i, r)
		}
	}
	if l := s.List(since-region, false); l.Full || len(l.Endpoints) != 2*region {
		t.Errorf("a region lost and back is %d changes, whole %v", len(l.Endpoints), l.Full)
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

// BenchmarkLargestFleet is what single steps cost with the target's fleet.
func BenchmarkLargestFleet(b *testing.B) {
	s, l := largestFleet(b)
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
		{"Decide", func() { l.scannedState = nil; l.Decide(s, time.Second, ExpireByLeaseOnly) }},
		{"DecideQuiet", func() { l.Decide(s, time.Second, ExpireByLeaseOnly) }},
		{"Doubtful", func() { l.scannedState = nil; l.Suspected(s, time.Second) }},
		{"Names", func() { s.EntryNames() }},
		{"Encode", func() { _, _ = s.Encode() }},
		{"RegisterAgain", func() {
			h := s.Entries["server-00007"].Endpoint
			h.StartedMs++
			s.Clock += time.Hour
			apply(s, s.Clock, Command{Kind: Register, Endpoint: &h})
		}},
		{"SetWhileHeld", func() {
			if s.QuarantinedSince == 0 {
				apply(s, s.Clock, Command{Kind: Quarantine, Refs: refs("server-00001", 1)})
			}
			apply(s, s.Clock, Command{Kind: Recover, Refs: refs("server-00002", 1)})
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
