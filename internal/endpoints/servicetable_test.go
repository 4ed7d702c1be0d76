package endpoints

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// tableHarness applies lists to a table, and the returned lists to a consumer.
type tableHarness struct {
	t        *testing.T
	table    *ServiceTable
	consumed map[string]Endpoint
	seq      int64
}

func newTableHarness(t *testing.T, services ...string) *tableHarness {
	t.Helper()
	return &tableHarness{t: t, table: NewServiceTable(services), consumed: map[string]Endpoint{}}
}

// listKind defines whether a list is full or holds changes, and whether it is scoped.
type listKind struct{ full, scoped bool }

var (
	scopedFull      = listKind{full: true, scoped: true}
	scopedChanges   = listKind{scoped: true}
	unscopedFull    = listKind{full: true}
	unscopedChanges = listKind{}
)

// apply applies one list and checks the events and the consumer's endpoints. want has the endpoints in the
// format of describeEndpoints.
func (h *tableHarness) apply(step string, kind listKind, entries []Endpoint, want string, events ...ServiceEvent) {
	h.t.Helper()
	h.seq++
	out, got := h.table.Apply(List{Seq: h.seq, Full: kind.full, Scoped: kind.scoped, Endpoints: entries})
	consumeList(h.consumed, &out)
	if out.Seq != h.seq || out.Full != kind.full {
		h.t.Errorf("%s: returned %+v", step, out)
	}
	if names := describeEndpoints(h.consumed); names != want {
		h.t.Errorf("%s: endpoints %q, want %q", step, names, want)
	}
	if !slices.Equal(got, events) {
		h.t.Errorf("%s: events %+v, want %+v", step, got, events)
	}
}

// describeEndpoints returns the endpoints as "name/service", sorted and separated by spaces.
func describeEndpoints(endpoints map[string]Endpoint) string {
	var names []string
	for name, e := range endpoints {
		names = append(names, name+"/"+e.Service)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func removedEndpoint(name, service string) Endpoint {
	return Endpoint{Name: name, Service: service, Health: Removed}
}

func endpointsOf(endpoints ...Endpoint) []Endpoint { return endpoints }

// A service without endpoints is unknown if it never had any. A service that had some retains them when a
// full list names none, until a list names one again. Each change of the status is reported once.
func TestServiceEvents(t *testing.T) {
	h := newTableHarness(t, "a", "b")
	a1, a2, b1 := readyEndpoint("a1", "a"), readyEndpoint("a2", "a"), readyEndpoint("b1", "b")
	h.apply("first", scopedFull, endpointsOf(a1, a2), "a1/a a2/a", ServiceEvent{Kind: ServiceUnknown, Service: "b", Scoped: true})
	h.apply("again", scopedFull, endpointsOf(a1, a2), "a1/a a2/a")
	h.apply("b known", scopedChanges, endpointsOf(b1), "a1/a a2/a b1/b", ServiceEvent{Kind: ServiceRestored, Service: "b", Scoped: true})
	h.apply("a emptied", scopedFull, endpointsOf(b1), "a1/a a2/a b1/b", ServiceEvent{Kind: ServiceEmptied, Service: "a", Retained: 2, Scoped: true})
	h.apply("a still emptied", scopedFull, endpointsOf(b1), "a1/a a2/a b1/b")
	h.apply("a retained endpoint is removed", scopedChanges, endpointsOf(removedEndpoint("a2", "a")), "a1/a b1/b")
	h.apply("all emptied", scopedFull, nil, "a1/a b1/b", ServiceEvent{Kind: ServiceEmptied, Service: "b", Retained: 1, Scoped: true})
	h.apply("a restored", scopedChanges, endpointsOf(a2), "a2/a b1/b", ServiceEvent{Kind: ServiceRestored, Service: "a", Scoped: true})
	h.apply("b restored", scopedFull, endpointsOf(a2, readyEndpoint("b2", "b")), "a2/a b2/b", ServiceEvent{Kind: ServiceRestored, Service: "b", Scoped: true})
	h.apply("a emptied by changes", scopedChanges, endpointsOf(removedEndpoint("a2", "a")), "b2/b", ServiceEvent{Kind: ServiceEmptied, Service: "a", Scoped: true})
	h.apply("and stays emptied", scopedFull, endpointsOf(readyEndpoint("b2", "b")), "b2/b")
	h.apply("a restored by changes", scopedChanges, endpointsOf(a1), "a1/a b2/b", ServiceEvent{Kind: ServiceRestored, Service: "a", Scoped: true})
}

// Entries of other services are dropped, and a removal applies only if it names the endpoint's service in
// the table.
func TestEntriesOfOtherServicesAreIgnored(t *testing.T) {
	h := newTableHarness(t, "a")
	h.apply("full list", scopedFull, endpointsOf(readyEndpoint("a1", "a"), readyEndpoint("x1", "x"), readyEndpoint("d1", "")), "a1/a")
	h.apply("other services", scopedChanges, endpointsOf(readyEndpoint("x2", "x"), readyEndpoint("d1", ""), readyEndpoint("a1", "x")), "a1/a")
	h.apply("removed from other services", scopedChanges, endpointsOf(removedEndpoint("a1", "x"), removedEndpoint("a1", ""), removedEndpoint("x1", "x")), "a1/a")
	h.apply("removed", scopedChanges, endpointsOf(removedEndpoint("a1", "a")), "", ServiceEvent{Kind: ServiceEmptied, Service: "a", Scoped: true})
}

// When an endpoint changes its service and keeps its name, a reader of both services may receive the two
// entries in either order, and a reader of one service receives only the entry of that service.
func TestEndpointChangesService(t *testing.T) {
	moved := readyEndpoint("s", "b")
	moved.Dial = "127.0.0.1:10"
	a, b := readyEndpoint("a1", "a"), readyEndpoint("b1", "b")
	for name, changes := range map[string][]Endpoint{"removed first": {removedEndpoint("s", "a"), moved}, "removed last": {moved, removedEndpoint("s", "a")}} {
		t.Run(name, func(t *testing.T) {
			both := newTableHarness(t, "a", "b")
			both.apply("both: full", scopedFull, endpointsOf(a, b, readyEndpoint("s", "a")), "a1/a b1/b s/a")
			both.apply("both: change", scopedChanges, changes, "a1/a b1/b s/b")
			if both.consumed["s"].Dial != moved.Dial {
				t.Errorf("consumed %+v", both.consumed["s"])
			}
			separate := newTableHarness(t, "a", "b") // the entries arrive in two lists
			separate.apply("two lists: full", scopedFull, endpointsOf(a, b, readyEndpoint("s", "a")), "a1/a b1/b s/a")
			separate.apply("two lists: first", scopedChanges, changes[:1], map[bool]string{true: "a1/a b1/b", false: "a1/a b1/b s/b"}[changes[0].Health == Removed])
			separate.apply("two lists: second", scopedChanges, changes[1:], "a1/a b1/b s/b")
		})
	}
	oldServiceOnly := newTableHarness(t, "a")
	oldServiceOnly.apply("before: full", scopedFull, endpointsOf(a, readyEndpoint("s", "a")), "a1/a s/a")
	oldServiceOnly.apply("before: change", scopedChanges, endpointsOf(removedEndpoint("s", "a")), "a1/a")
	newServiceOnly := newTableHarness(t, "b")
	newServiceOnly.apply("after: full", scopedFull, endpointsOf(b), "b1/b")
	newServiceOnly.apply("after: change", scopedChanges, endpointsOf(moved), "b1/b s/b")
	// If a full list has all endpoints of a service under another service, none are retained.
	allMoved := newTableHarness(t, "a", "b")
	allMoved.apply("all: full", scopedFull, endpointsOf(readyEndpoint("s", "a"), b), "b1/b s/a")
	allMoved.apply("all: moved", scopedFull, endpointsOf(moved, b), "b1/b s/b", ServiceEvent{Kind: ServiceEmptied, Service: "a", Scoped: true})
	// The returned list names an endpoint once, however often the list does.
	out, _ := allMoved.table.Apply(List{Seq: 9, Scoped: true, Endpoints: endpointsOf(removedEndpoint("s", "b"), readyEndpoint("s", "a"), removedEndpoint("s", "a"), moved)})
	if len(out.Endpoints) != 1 || out.Endpoints[0] != moved {
		t.Errorf("returned %+v", out)
	}
}

// An entry of an unscoped list belongs to the service that it names, or else to the endpoint's service in
// the table, or else to the default service. Entries of other services are dropped.
func TestUnscopedListsAreFilteredByService(t *testing.T) {
	withoutService := func(name string) Endpoint { return readyEndpoint(name, "") }
	h := newTableHarness(t, "a", "b")
	h.apply("scoped", scopedFull, endpointsOf(readyEndpoint("a1", "a"), readyEndpoint("a2", "a"), readyEndpoint("b1", "b")), "a1/a a2/a b1/b")
	h.apply("full list", unscopedFull, endpointsOf(withoutService("a1"), withoutService("b1"), withoutService("x1")), "a1/a b1/b")
	if h.table.Synced() {
		t.Error("the table is synced after an unscoped list")
	}
	h.apply("changes", unscopedChanges, endpointsOf(withoutService("x2"), readyEndpoint("a3", "a"), removedEndpoint("x1", ""), readyEndpoint("x3", "x")), "a1/a a3/a b1/b")
	h.apply("removed", unscopedChanges, endpointsOf(removedEndpoint("a3", ""), removedEndpoint("b1", "a")), "a1/a b1/b")
	h.apply("moved to another service", unscopedChanges, endpointsOf(readyEndpoint("b1", "x")), "a1/a",
		ServiceEvent{Kind: ServiceEmptied, Service: "b"})
	h.apply("mass failure", unscopedFull, endpointsOf(withoutService("x1")), "a1/a", ServiceEvent{Kind: ServiceEmptied, Service: "a", Retained: 1})
	h.apply("failure over", unscopedFull, endpointsOf(withoutService("x1"), withoutService("a1")), "a1/a", ServiceEvent{Kind: ServiceRestored, Service: "a"})
	defaultOnly := newTableHarness(t, "")
	defaultOnly.apply("default service", unscopedFull, endpointsOf(withoutService("d1"), readyEndpoint("x1", "x")), "d1/")
	neverScoped := newTableHarness(t, "a")
	neverScoped.apply("service not named", unscopedFull, endpointsOf(withoutService("x1")), "", ServiceEvent{Kind: ServiceUnknown, Service: "a"})
}

// Seeded endpoints of the table's services stay in use, and are retained if the first list names no
// endpoint of their service.
func TestSeedKeepsKnownEndpoints(t *testing.T) {
	table := NewServiceTable([]string{"a", "b"})
	known := List{Seq: 5, Full: true, Endpoints: endpointsOf(readyEndpoint("a1", "a"), readyEndpoint("d1", ""), readyEndpoint("x1", "x"), removedEndpoint("a2", "a"), readyEndpoint("a1", "b"))}
	if out := table.Seed(known); out.Seq != 5 || len(out.Endpoints) != 1 || out.Endpoints[0] != readyEndpoint("a1", "a") {
		t.Fatalf("seeded %+v", out)
	}
	if out, events := table.Apply(List{Seq: 6, Scoped: true, Endpoints: endpointsOf(removedEndpoint("a1", "a"))}); len(out.Endpoints)+len(events) > 0 || out.Seq != 6 {
		t.Fatalf("applied a change before the full list: %+v", out)
	}
	out, events := table.Apply(List{Seq: 6, Full: true, Scoped: true})
	want := []ServiceEvent{{Kind: ServiceEmptied, Service: "a", Retained: 1, Scoped: true}, {Kind: ServiceUnknown, Service: "b", Scoped: true}}
	if len(out.Endpoints) != 1 || !slices.Equal(events, want) {
		t.Fatalf("returned %+v, %+v", out, events)
	}
}

// After a change of the subscription the endpoints stay until the first full list, and the services
// that are in both subscriptions keep their status.
func TestSubscribeKeepsEndpointsUntilFullList(t *testing.T) {
	h := newTableHarness(t, "a", "b")
	h.apply("before", scopedFull, endpointsOf(readyEndpoint("a1", "a"), readyEndpoint("b1", "b")), "a1/a b1/b")
	h.table.Subscribe([]string{"b", "c"})
	h.apply("a late change", scopedChanges, endpointsOf(removedEndpoint("b1", "b"), readyEndpoint("c1", "c")), "a1/a b1/b")
	if h.table.Synced() {
		t.Error("the table is synced before the full list")
	}
	h.apply("full list", scopedFull, endpointsOf(readyEndpoint("c1", "c")), "b1/b c1/c", ServiceEvent{Kind: ServiceEmptied, Service: "b", Retained: 1, Scoped: true})
	if !h.table.Synced() {
		t.Error("the table is not synced after the full list")
	}
	h.table.Subscribe([]string{"a"})
	h.table.Subscribe([]string{"b"}) // b is unsubscribed and subscribed to again before a list arrives
	h.apply("again", scopedFull, nil, "b1/b", ServiceEvent{Kind: ServiceEmptied, Service: "b", Retained: 1, Scoped: true})
	many := make([]string, MaxServices+10)
	for i := range many {
		many[i] = fmt.Sprint("s", i)
	}
	if h.table.Subscribe(many); len(h.table.services) != MaxServices {
		t.Errorf("the table subscribes to %d services, want MaxServices", len(h.table.services))
	}
}

// The cost of a change depends on its entries and not on the endpoints of their service: it is the same for
// a service of one endpoint and one of 5,000. The cost is measured in allocations.
func TestUpdateCostIsIndependentOfServiceSize(t *testing.T) {
	cost := map[int]float64{}
	for _, n := range []int{1, 5000} {
		table := NewServiceTable([]string{"a"})
		var entries []Endpoint
		for i := range n {
			entries = append(entries, readyEndpoint(fmt.Sprint("a", i), "a"))
		}
		out, events := table.Apply(List{Seq: 1, Full: true, Scoped: true, Endpoints: entries})
		if !slices.Equal(out.Endpoints, entries) || len(events) > 0 {
			t.Fatalf("returned %d of %d, %+v", len(out.Endpoints), n, events)
		}
		changes := List{Seq: 2, Scoped: true, Endpoints: endpointsOf(entries[0])}
		cost[n] = testing.AllocsPerRun(100, func() { table.Apply(changes) })
		out, events = table.Apply(List{Seq: 3, Full: true, Scoped: true})
		if want := (ServiceEvent{Kind: ServiceEmptied, Service: "a", Retained: n, Scoped: true}); len(out.Endpoints) != n || len(events) != 1 || events[0] != want {
			t.Fatalf("retained %d of %d: %+v", len(out.Endpoints), n, events)
		}
		out, _ = table.Apply(List{Seq: 4, Scoped: true, Endpoints: endpointsOf(entries[0])})
		if len(out.Endpoints) != n || len(table.endpoints) != 1 {
			t.Fatalf("restoring the service touched %d endpoints and left %d in the table", len(out.Endpoints), len(table.endpoints))
		}
	}
	if cost[5000] > cost[1] {
		t.Errorf("allocations of a change, by size of the service: %v", cost)
	}
}
