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

// serviceReader applies lists of services as clients do.
type serviceReader struct {
	services  []string
	revision  int64
	endpoints map[string]endpoints.Endpoint // nil before the first list
}

// apply applies a list, and returns an error if the reader must never be sent such a list.
func (r *serviceReader) apply(l endpoints.List) error {
	if l.Seq < r.revision {
		return fmt.Errorf("revision %d after %d", l.Seq, r.revision)
	}
	r.revision = l.Seq
	if l.Full {
		r.endpoints = map[string]endpoints.Endpoint{}
	}
	for _, e := range l.Endpoints {
		switch {
		case !slices.Contains(r.services, e.Service):
			return fmt.Errorf("reader of %q was sent %+v", r.services, e)
		case e.Health != endpoints.Removed:
			r.endpoints[e.Name] = e
		case l.Full:
			return fmt.Errorf("removed endpoint in a full list: %+v", e)
		case r.endpoints[e.Name].Service == e.Service:
			delete(r.endpoints, e.Name)
		}
	}
	return nil
}

// wantedEndpoints returns the listed endpoints of services, determined from the entries alone.
func wantedEndpoints(s *State, services []string) map[string]endpoints.Endpoint {
	want := map[string]endpoints.Endpoint{}
	for name, e := range s.Entries {
		if listed := e.Listed(); listed.Health != endpoints.Removed && slices.Contains(services, e.Endpoint.Service) {
			listed.Service = e.Endpoint.Service
			want[name] = listed
		}
	}
	return want
}

// checkIndex compares the derived fields of a state with its entries.
func checkIndex(s *State) error {
	listed, quarantined := 0, 0
	sizes := map[string]int{}
	for _, e := range s.Entries {
		if e.Listed().Health != endpoints.Removed {
			listed++
			sizes[e.Endpoint.Service]++
		}
		if e.Quarantined {
			quarantined++
		}
	}
	if listed != s.ListedCount() || quarantined != s.quarantinedCount || (s.QuarantinedSince != 0) != (quarantined > 0) {
		return fmt.Errorf("%d listed and %d quarantined, counted as %d and %d, quarantined since %v", listed, quarantined, s.ListedCount(), s.quarantinedCount, s.QuarantinedSince)
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

// restoreSnapshot encodes and decodes a state, and returns the result. It fails the test if the derived
// fields of the result are wrong, or if its snapshot differs.
func restoreSnapshot(t *rapid.T, s *State) *State {
	t.Helper()
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := checkIndex(restored); err != nil {
		t.Fatalf("after a snapshot: %v", err)
	}
	again, _ := restored.Encode()
	if !bytes.Equal(text, again) {
		t.Fatalf("snapshots differ:\n%s\n%s", text, again)
	}
	return restored
}

// checkRead reads the changes since the last read, or the full list the first time, and compares the
// reader's endpoints with the entries.
func (r *serviceReader) checkRead(t *rapid.T, s *State) {
	t.Helper()
	list := s.ServiceListSince(r.services, r.revision)
	if r.endpoints == nil {
		list = s.FullServiceList(r.services)
	}
	if err := r.apply(list); err != nil {
		t.Fatal(err)
	}
	if want := wantedEndpoints(s, r.services); !reflect.DeepEqual(r.endpoints, want) {
		t.Fatalf("at revision %d, reader of %q has %v, want %v", s.Seq, r.services, r.endpoints, want)
	}
}

// TestServiceReaders verifies for random logs, with snapshots in between, that readers that apply the
// changes of their services have exactly the entries of these services at each revision, and that no
// revision goes back.
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
			if rapid.IntRange(0, 15).Draw(t, "prunes") == 0 {
				s.Clock += removedEntryRetention + 1
				s.pruneRemovedEntries()
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				s = restoreSnapshot(t, s)
			}
			for _, r := range readers {
				touched := slices.ContainsFunc(r.services, func(name string) bool { return slices.Contains(changed, name) })
				if known && !touched && r.revision >= before && !reflect.DeepEqual(wantedEndpoints(s, r.services), r.endpoints) && r.endpoints != nil {
					t.Fatalf("%s changed services %q, but also the entries for a reader of %q", c.Kind, changed, r.services)
				}
				if rapid.IntRange(0, 2).Draw(t, "reads") > 0 {
					continue
				}
				r.checkRead(t, s)
			}
		}
	})
}

// listDifference describes how the encoded full list or the encoded changes since a revision differ
// between two states. It returns "" if both are identical byte for byte.
func listDifference(got, want *State, since int64) string {
	for listKind, read := range map[string]func(*State) endpoints.List{
		"full list": (*State).FullList,
		"changes":   func(s *State) endpoints.List { return s.ListSince(since) },
	} {
		wanted, _ := json.Marshal(read(want))
		found, _ := json.Marshal(read(got))
		if !bytes.Equal(found, wanted) {
			return fmt.Sprintf("%s: %s, want %s", listKind, found, wanted)
		}
	}
	return ""
}

// TestReadersWithoutServicesGetSameBytes verifies that readers that name no services get the same
// bytes regardless of the services of the servers.
func TestReadersWithoutServicesGetSameBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, named := New(), New()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t, time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms"))*time.Millisecond)
			with := c
			if c.Endpoint != nil { // derived from the name, so that a name never changes its service
				e := *c.Endpoint
				e.Service = "service-of-" + e.Name
				with.Endpoint = &e
			}
			since := plain.Seq - int64(rapid.IntRange(0, 20).Draw(t, "behind by"))
			a, b := plain.Apply(&c), named.Apply(&with)
			if a != b {
				t.Fatalf("%s: %+v, with services %+v", c.Kind, a, b)
			}
			if difference := listDifference(named, plain, since); difference != "" {
				t.Fatal(difference)
			}
		}
	})
}

// TestChurnOfOtherServices verifies that readers of a service need no full list, however many times
// another service changes.
func TestChurnOfOtherServices(t *testing.T) {
	s := New()
	apply(s, 0, Command{Kind: Register, Endpoint: endpointInService("quiet", 1, "small")})
	since := s.Seq
	weight := 0.5
	apply(s, 0, Command{Kind: Register, Endpoint: endpointInService("busy", 1, "large")})
	for range 2 * MaxHistory {
		apply(s, 0, Command{Kind: SetOverride, Name: "busy", Weight: &weight})
	}
	if l := s.ServiceListSince([]string{"small"}, since); l.Full || len(l.Endpoints) != 0 || l.Seq != s.Seq {
		t.Errorf("reader of a service without changes was sent %+v", l)
	}
	if l := s.ServiceListSince([]string{"large"}, since); l.Full || len(l.Endpoints) != 1 {
		t.Errorf("reader with an old revision was sent %d entries, full %v", len(l.Endpoints), l.Full)
	}
	if changes := len(s.serviceIndexes["large"].changes); changes > 128 {
		t.Errorf("index has %d changes of one server", changes)
	}
}

// TestDeparturesAreBounded verifies that departures and minimum revisions are bounded, and that
// readers whose revision is older than a dropped departure get the full list.
func TestDeparturesAreBounded(t *testing.T) {
	s := New()
	const names = 100
	for i := range names {
		apply(s, 0, Command{Kind: Register, Endpoint: endpointInService(fmt.Sprint("s-", i), 1, "from")})
	}
	apply(s, 0, Command{Kind: Register, Endpoint: endpointInService("stays", 1, "from")})
	since := s.Seq
	for i := range names {
		apply(s, 0, Command{Kind: Register, Endpoint: endpointInService(fmt.Sprint("s-", i), 1, "to")})
	}
	if l := s.ServiceListSince([]string{"from"}, since); l.Full || len(l.Endpoints) != names {
		t.Fatalf("%d entries, full %v, want %d removed ones", len(l.Endpoints), l.Full, names)
	}
	for i := range MaxDepartures {
		apply(s, 0, Command{Kind: Register, Endpoint: endpointInService("s-0", 1, fmt.Sprint("other-", i%2))})
	}
	if len(s.ServiceHistory.Departures) != MaxDepartures {
		t.Errorf("%d departures are retained", len(s.ServiceHistory.Departures))
	}
	if l := s.ServiceListSince([]string{"from"}, since); !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("reader with a revision before a dropped departure: %+v", l)
	}
	if l := s.ServiceListSince([]string{"to"}, since); l.Full {
		t.Error("readers of other services get the full list")
	}
	for i := range MaxServiceMinRevisions + 1 {
		s.raiseMinRevision(fmt.Sprint("service-", i), s.Seq)
	}
	s.limitMinRevisions()
	if len(s.ServiceHistory.MinRevisions) != 0 || s.ServiceHistory.MinRevision != s.Seq {
		t.Errorf("%d minimum revisions, common minimum %d, state revision %d", len(s.ServiceHistory.MinRevisions), s.ServiceHistory.MinRevision, s.Seq)
	}
}

// TestLongChangesBecomeFullLists verifies that a reader gets the full list if the list of changes is
// much longer than the full list.
func TestLongChangesBecomeFullLists(t *testing.T) {
	s := New()
	apply(s, 0, Command{Kind: Register, Endpoint: endpointInService("stays", 1, "a")})
	since := s.Seq
	for i := range 2 * MaxServiceChanges {
		name := fmt.Sprint("s-", i)
		apply(s, 0, Command{Kind: Register, Endpoint: endpointInService(name, 1, "a")})
		apply(s, 0, Command{Kind: Deregister, Refs: refs(name, 1)})
	}
	if l := s.ServiceListSince([]string{"a"}, since); !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("%d entries, full %v", len(l.Endpoints), l.Full)
	}
}

// TestRaisedRevisionGivesFullList verifies that readers get the full list if their revision is older
// than a raised one, because they may have received it from a lost state.
func TestRaisedRevisionGivesFullList(t *testing.T) {
	s := New()
	apply(s, 0, Command{Kind: Register, Endpoint: endpointInService("s", 1, "a")})
	apply(s, 0, Command{Kind: Register, Endpoint: endpointInService("moves", 1, "a")})
	apply(s, 0, Command{Kind: Register, Endpoint: endpointInService("moves", 1, "b")})
	since := s.Seq
	apply(s, 0, Command{Kind: RaiseRevision, Seq: 1000})
	for _, from := range []int64{since, 999} {
		if l := s.ServiceListSince([]string{"a"}, from); !l.Full || len(l.Endpoints) != 1 || l.Seq != 1000 {
			t.Errorf("reader at revision %d: %+v", from, l)
		}
	}
	if l := s.ServiceListSince([]string{"a"}, 1000); l.Full || len(l.Endpoints) != 0 {
		t.Errorf("reader at the raised revision: %+v", l)
	}
	if len(s.ServiceHistory.Departures) != 0 {
		t.Errorf("departures before the raised revision: %+v", s.ServiceHistory.Departures)
	}
}

// TestSnapshotFromBeforeServices verifies that the entries of a snapshot from before services existed
// belong to the default service, and that readers of services with an older revision get the full
// list.
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
	l := s.ServiceListSince([]string{""}, 106)
	if !l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "s" || l.Endpoints[0].Service != "" {
		t.Errorf("readers of the default service: %+v", l)
	}
	if l := s.ServiceListSince([]string{"a"}, 106); !l.Full || len(l.Endpoints) != 0 {
		t.Errorf("readers of another service: %+v", l)
	}
	if l := s.ListSince(106); l.Full || len(l.Endpoints) != 1 {
		t.Errorf("readers of no service: %+v", l)
	}
	apply(s, s.Clock, Command{Kind: Register, Endpoint: endpointInService("s", 10, "a")})
	if l := s.ServiceListSince([]string{"", "a"}, 107); l.Full || len(l.Endpoints) != 2 {
		t.Errorf("readers of both services after a change of service: %+v", l)
	}
	if r := s.Apply(&Command{FormatVersion: FormatVersion, Kind: Register, Endpoint: endpoint("old", 1)}); r.Code != Done || s.Entries["old"].Endpoint.Service != "" {
		t.Errorf("command from before services existed: %+v", r)
	}
}

// TestInvalidServiceHistoryIsRejected verifies that snapshots with an inconsistent service history
// are rejected.
func TestInvalidServiceHistoryIsRejected(t *testing.T) {
	for _, scopes := range []string{`{"floor":8}`, `{"floors":{"a":8}}`, `{"floors":{"a b":1}}`, `{"moved":[{"seq":8,"name":"s"}]}`,
		`{"moved":[{"seq":3,"name":"s"},{"seq":2,"name":"s"}]}`, `{"moved":[{"seq":3,"name":""}]}`, `{"moved":[{"seq":3,"name":"s","service":"/"}]}`} {
		if _, err := Decode([]byte(`{"form":1,"seq":7,"entries":{},"scopes":` + scopes + `}`)); err == nil || !strings.Contains(err.Error(), "scopes: ") {
			t.Errorf("%s: %v", scopes, err)
		}
	}
}

// TestServiceStaysOutOfFullList verifies that a reader that names no services gets the list in the
// form that it had before endpoints had a service.
func TestServiceStaysOutOfFullList(t *testing.T) {
	plain, named := New(), New()
	with := endpointInService("s", 10, "billing")
	if r := apply(plain, time.Second, Command{Kind: Register, Endpoint: endpoint("s", 10)}); r.Code != Done {
		t.Fatalf("register: %+v", r)
	}
	if r := apply(named, time.Second, Command{Kind: Register, Endpoint: with}); r.Code != Done {
		t.Fatalf("register with a service: %+v", r)
	}
	if difference := listDifference(named, plain, 0); difference != "" {
		t.Error(difference)
	}
	if named.Entries["s"].Endpoint.Service != "billing" {
		t.Error("the state lost the entry's service")
	}
}

// TestServiceNameIsChecked verifies that a registration with a malformed service is rejected.
func TestServiceNameIsChecked(t *testing.T) {
	for _, name := range []string{"a b", "a/b", "a?b", strings.Repeat("x", 65)} {
		r := apply(New(), time.Second, Command{Kind: Register, Endpoint: endpointInService("s", 10, name)})
		if r.Code != Invalid || !strings.HasPrefix(r.Text, "service: ") {
			t.Errorf("service %q: %+v", name, r)
		}
	}
}
