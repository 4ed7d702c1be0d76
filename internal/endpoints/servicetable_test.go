package endpoints

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// tableHarness feeds a table and a consumer of what it makes of the lists.
type tableHarness struct {
	t        *testing.T
	table    *ServiceTable
	consumed map[string]Endpoint
	seq      int64
}

func newTableHarness(t *testing.T, services ...string) *tableHarness {
	return &tableHarness{t: t, table: NewServiceTable(services), consumed: map[string]Endpoint{}}
}

// apply feeds one list and checks what is held after it, as "name/service" in order, and the events.
func (r *tableHarness) apply(what string, whole, scoped bool, hosts []Endpoint, want string, events ...ServiceEvent) {
	r.t.Helper()
	r.seq++
	out, got := r.table.Apply(List{Seq: r.seq, Full: whole, Scoped: scoped, Endpoints: hosts})
	consumeList(r.consumed, &out)
	if out.Seq != r.seq || out.Full != whole {
		r.t.Errorf("%s: made %+v", what, out)
	}
	if holds := describeEndpoints(r.consumed); holds != want {
		r.t.Errorf("%s: holds %q, want %q", what, holds, want)
	}
	if !slices.Equal(got, events) {
		r.t.Errorf("%s: events %+v, want %+v", what, got, events)
	}
}

func describeEndpoints(held map[string]Endpoint) string {
	var names []string
	for name, h := range held {
		names = append(names, name+"/"+h.Service)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func removedEndpoint(name, service string) Endpoint {
	return Endpoint{Name: name, Service: service, Health: Removed}
}

func endpointsOf(hosts ...Endpoint) []Endpoint { return hosts }

// A service without servers is unknown if it never had any. One that had some keeps them if a
// whole list names none of it, until a list names one again. Each is reported once.
func TestServiceEvents(t *testing.T) {
	r := newTableHarness(t, "a", "b")
	a1, a2, b1 := readyEndpoint("a1", "a"), readyEndpoint("a2", "a"), readyEndpoint("b1", "b")
	r.apply("first", true, true, endpointsOf(a1, a2), "a1/a a2/a", ServiceEvent{Kind: ServiceUnknown, Service: "b", Scoped: true})
	r.apply("again", true, true, endpointsOf(a1, a2), "a1/a a2/a")
	r.apply("b known", false, true, endpointsOf(b1), "a1/a a2/a b1/b", ServiceEvent{Kind: ServiceRestored, Service: "b", Scoped: true})
	r.apply("a emptied", true, true, endpointsOf(b1), "a1/a a2/a b1/b", ServiceEvent{Kind: ServiceEmptied, Service: "a", Retained: 2, Scoped: true})
	r.apply("still", true, true, endpointsOf(b1), "a1/a a2/a b1/b")
	r.apply("a kept one is gone", false, true, endpointsOf(removedEndpoint("a2", "a")), "a1/a b1/b")
	r.apply("all emptied", true, true, nil, "a1/a b1/b", ServiceEvent{Kind: ServiceEmptied, Service: "b", Retained: 1, Scoped: true})
	r.apply("a back", false, true, endpointsOf(a2), "a2/a b1/b", ServiceEvent{Kind: ServiceRestored, Service: "a", Scoped: true})
	r.apply("b back", true, true, endpointsOf(a2, readyEndpoint("b2", "b")), "a2/a b2/b", ServiceEvent{Kind: ServiceRestored, Service: "b", Scoped: true})
	r.apply("a ends by changes", false, true, endpointsOf(removedEndpoint("a2", "a")), "b2/b", ServiceEvent{Kind: ServiceEmptied, Service: "a", Scoped: true})
	r.apply("and stays so", true, true, endpointsOf(readyEndpoint("b2", "b")), "b2/b")
	r.apply("a begins anew", false, true, endpointsOf(a1), "a1/a b2/b", ServiceEvent{Kind: ServiceRestored, Service: "a", Scoped: true})
}

// Entries of other services are dropped, and a server is gone only from the service under which
// it is held.
func TestEntriesOfOtherServicesAreIgnored(t *testing.T) {
	r := newTableHarness(t, "a")
	r.apply("whole", true, true, endpointsOf(readyEndpoint("a1", "a"), readyEndpoint("x1", "x"), readyEndpoint("d1", "")), "a1/a")
	r.apply("foreign", false, true, endpointsOf(readyEndpoint("x2", "x"), readyEndpoint("d1", ""), readyEndpoint("a1", "x")), "a1/a")
	r.apply("gone elsewhere", false, true, endpointsOf(removedEndpoint("a1", "x"), removedEndpoint("a1", ""), removedEndpoint("x1", "x")), "a1/a")
	r.apply("gone", false, true, endpointsOf(removedEndpoint("a1", "a")), "", ServiceEvent{Kind: ServiceEmptied, Service: "a", Scoped: true})
}

// A server that changes its service under one name: a reader of both may hear it in either
// order, a reader of one hears only its own.
func TestEndpointChangesService(t *testing.T) {
	now := readyEndpoint("s", "b")
	now.Dial = "127.0.0.1:10"
	a, b := readyEndpoint("a1", "a"), readyEndpoint("b1", "b")
	for name, line := range map[string][]Endpoint{"gone first": {removedEndpoint("s", "a"), now}, "gone last": {now, removedEndpoint("s", "a")}} {
		t.Run(name, func(t *testing.T) {
			both := newTableHarness(t, "a", "b")
			both.apply("both: whole", true, true, endpointsOf(a, b, readyEndpoint("s", "a")), "a1/a b1/b s/a")
			both.apply("both: change", false, true, line, "a1/a b1/b s/b")
			if both.consumed["s"].Dial != now.Dial {
				t.Errorf("holds %+v", both.consumed["s"])
			}
			two := newTableHarness(t, "a", "b") // the entries come in lines of their own
			two.apply("two lines: whole", true, true, endpointsOf(a, b, readyEndpoint("s", "a")), "a1/a b1/b s/a")
			two.apply("two lines: first", false, true, line[:1], map[bool]string{true: "a1/a b1/b", false: "a1/a b1/b s/b"}[line[0].Health == Removed])
			two.apply("two lines: second", false, true, line[1:], "a1/a b1/b s/b")
		})
	}
	before := newTableHarness(t, "a")
	before.apply("before: whole", true, true, endpointsOf(a, readyEndpoint("s", "a")), "a1/a s/a")
	before.apply("before: change", false, true, endpointsOf(removedEndpoint("s", "a")), "a1/a")
	after := newTableHarness(t, "b")
	after.apply("after: whole", true, true, endpointsOf(b), "b1/b")
	after.apply("after: change", false, true, endpointsOf(now), "b1/b s/b")
	// A whole list that has all servers of a service under another one leaves nothing to keep.
	all := newTableHarness(t, "a", "b")
	all.apply("all: whole", true, true, endpointsOf(readyEndpoint("s", "a"), b), "b1/b s/a")
	all.apply("all: moved", true, true, endpointsOf(now, b), "b1/b s/b", ServiceEvent{Kind: ServiceEmptied, Service: "a", Scoped: true})
	// The line names a server once, whatever it has of it.
	out, _ := all.table.Apply(List{Seq: 9, Scoped: true, Endpoints: endpointsOf(removedEndpoint("s", "b"), readyEndpoint("s", "a"), removedEndpoint("s", "a"), now)})
	if len(out.Endpoints) != 1 || out.Endpoints[0] != now {
		t.Errorf("made %+v", out)
	}
}

// What comes unscoped is filtered by the service that an entry names, else by the one that it is
// held under, else it is the default service's.
func TestUnscopedListsAreFilteredByService(t *testing.T) {
	bare := func(name string) Endpoint { return readyEndpoint(name, "") }
	r := newTableHarness(t, "a", "b")
	r.apply("scoped", true, true, endpointsOf(readyEndpoint("a1", "a"), readyEndpoint("a2", "a"), readyEndpoint("b1", "b")), "a1/a a2/a b1/b")
	r.apply("whole", true, false, endpointsOf(bare("a1"), bare("b1"), bare("x1")), "a1/a b1/b")
	if r.table.Synced() {
		t.Error("an unscoped list settles the table")
	}
	r.apply("changes", false, false, endpointsOf(bare("x2"), readyEndpoint("a3", "a"), removedEndpoint("x1", ""), readyEndpoint("x3", "x")), "a1/a a3/a b1/b")
	r.apply("gone", false, false, endpointsOf(removedEndpoint("a3", ""), removedEndpoint("b1", "a")), "a1/a b1/b")
	r.apply("went to another service", false, false, endpointsOf(readyEndpoint("b1", "x")), "a1/a",
		ServiceEvent{Kind: ServiceEmptied, Service: "b"})
	r.apply("mass failure", true, false, endpointsOf(bare("x1")), "a1/a", ServiceEvent{Kind: ServiceEmptied, Service: "a", Retained: 1})
	r.apply("over", true, false, endpointsOf(bare("x1"), bare("a1")), "a1/a", ServiceEvent{Kind: ServiceRestored, Service: "a"})
	d := newTableHarness(t, "")
	d.apply("default service", true, false, endpointsOf(bare("d1"), readyEndpoint("x1", "x")), "d1/")
	u := newTableHarness(t, "a")
	u.apply("can't tell", true, false, endpointsOf(bare("x1")), "", ServiceEvent{Kind: ServiceUnknown, Service: "a"})
}

// What was known before the first list stays in use, as far as it is of the services, and is kept
// when that list has none of a service.
func TestSeedKeepsKnownEndpoints(t *testing.T) {
	table := NewServiceTable([]string{"a", "b"})
	known := List{Seq: 5, Full: true, Endpoints: endpointsOf(readyEndpoint("a1", "a"), readyEndpoint("d1", ""), readyEndpoint("x1", "x"), removedEndpoint("a2", "a"), readyEndpoint("a1", "b"))}
	if out := table.Seed(known); out.Seq != 5 || len(out.Endpoints) != 1 || out.Endpoints[0] != readyEndpoint("a1", "a") {
		t.Fatalf("seeded %+v", out)
	}
	if out, events := table.Apply(List{Seq: 6, Scoped: true, Endpoints: endpointsOf(removedEndpoint("a1", "a"))}); len(out.Endpoints)+len(events) > 0 || out.Seq != 6 {
		t.Fatalf("took a change before the whole list: %+v", out)
	}
	out, events := table.Apply(List{Seq: 6, Full: true, Scoped: true})
	want := []ServiceEvent{{Kind: ServiceEmptied, Service: "a", Retained: 1, Scoped: true}, {Kind: ServiceUnknown, Service: "b", Scoped: true}}
	if len(out.Endpoints) != 1 || !slices.Equal(events, want) {
		t.Fatalf("made %+v, %+v", out, events)
	}
}

// A subscription that changes keeps what is held until the whole list of the new one comes; what
// is known of the services that stay goes along.
func TestSubscribeKeepsEndpointsUntilFullList(t *testing.T) {
	r := newTableHarness(t, "a", "b")
	r.apply("before", true, true, endpointsOf(readyEndpoint("a1", "a"), readyEndpoint("b1", "b")), "a1/a b1/b")
	r.table.Subscribe([]string{"b", "c"})
	r.apply("a late change", false, true, endpointsOf(removedEndpoint("b1", "b"), readyEndpoint("c1", "c")), "a1/a b1/b")
	if r.table.Synced() {
		t.Error("settled before the list")
	}
	r.apply("whole", true, true, endpointsOf(readyEndpoint("c1", "c")), "b1/b c1/c", ServiceEvent{Kind: ServiceEmptied, Service: "b", Retained: 1, Scoped: true})
	if !r.table.Synced() {
		t.Error("not settled")
	}
	r.table.Subscribe([]string{"a"})
	r.table.Subscribe([]string{"b"}) // left and subscribed to again before a list came
	r.apply("again", true, true, nil, "b1/b", ServiceEvent{Kind: ServiceEmptied, Service: "b", Retained: 1, Scoped: true})
	many := make([]string, MaxServices+10)
	for i := range many {
		many[i] = fmt.Sprint("s", i)
	}
	if r.table.Subscribe(many); len(r.table.services) != MaxServices {
		t.Errorf("subscribes to %d services", len(r.table.services))
	}
}

// A change costs by its own entries and not by the servers of its service; a service of one server
// and one of 5,000 are the same to it. Counted are allocations, which each entry's work needs.
func TestUpdateCostIsIndependentOfServiceSize(t *testing.T) {
	cost := map[int]float64{}
	for _, n := range []int{1, 5000} {
		table := NewServiceTable([]string{"a"})
		var hosts []Endpoint
		for i := range n {
			hosts = append(hosts, readyEndpoint(fmt.Sprint("a", i), "a"))
		}
		out, events := table.Apply(List{Seq: 1, Full: true, Scoped: true, Endpoints: hosts})
		if !slices.Equal(out.Endpoints, hosts) || len(events) > 0 {
			t.Fatalf("made %d of %d, %+v", len(out.Endpoints), n, events)
		}
		line := List{Seq: 2, Scoped: true, Endpoints: endpointsOf(hosts[0])}
		cost[n] = testing.AllocsPerRun(100, func() { table.Apply(line) })
		out, events = table.Apply(List{Seq: 3, Full: true, Scoped: true})
		if want := (ServiceEvent{Kind: ServiceEmptied, Service: "a", Retained: n, Scoped: true}); len(out.Endpoints) != n || len(events) != 1 || events[0] != want {
			t.Fatalf("kept %d of %d: %+v", len(out.Endpoints), n, events)
		}
		out, _ = table.Apply(List{Seq: 4, Scoped: true, Endpoints: endpointsOf(hosts[0])})
		if len(out.Endpoints) != n || len(table.endpoints) != 1 {
			t.Fatalf("after the service is back %d are touched, %d held", len(out.Endpoints), len(table.endpoints))
		}
	}
	if cost[5000] > cost[1] {
		t.Errorf("a change costs %v", cost)
	}
}

// modelTable is what ServiceTable does, written as whole new states and their difference.
type modelTable struct {
	services    []string
	endpoints   map[string]Endpoint // by name
	retained    map[string]bool     // services
	statuses    map[string]string
	hasFullList bool
}

func (m *modelTable) subscribed(service string) bool { return slices.Contains(m.services, service) }

func (m *modelTable) namesOf(held map[string]Endpoint, service string) (names []string) {
	for name, h := range held {
		if h.Service == service {
			names = append(names, name)
		}
	}
	return names
}

// serviceOf is where an entry belongs, given what is held.
func (m *modelTable) serviceOf(h Endpoint, scoped bool, held map[string]Endpoint) string {
	if before, ok := held[h.Name]; ok && !scoped && h.Service == "" {
		return before.Service
	}
	return h.Service
}

func (m *modelTable) applyFullList(l List) {
	next := map[string]Endpoint{}
	for _, h := range l.Endpoints {
		h.Service = m.serviceOf(h, l.Scoped, m.endpoints)
		if h.Health != Removed && m.subscribed(h.Service) {
			next[h.Name] = h
		}
	}
	m.retained = map[string]bool{}
	keep := map[string]Endpoint{}
	for _, service := range m.services {
		if len(m.namesOf(next, service)) > 0 {
			continue
		}
		for _, name := range m.namesOf(m.endpoints, service) {
			if _, listed := next[name]; !listed {
				keep[name] = m.endpoints[name]
				m.retained[service] = true
			}
		}
	}
	maps.Copy(next, keep)
	m.endpoints, m.hasFullList = next, true
}

func (m *modelTable) applyUpdate(l List) {
	if !m.hasFullList {
		return
	}
	for _, h := range l.Endpoints {
		before, held := m.endpoints[h.Name]
		service := m.serviceOf(h, l.Scoped, m.endpoints)
		switch {
		case h.Health == Removed && held && before.Service == service:
			delete(m.endpoints, h.Name)
		case h.Health == Removed:
		case m.subscribed(service):
			if m.retained[service] {
				maps.DeleteFunc(m.endpoints, func(_ string, k Endpoint) bool { return k.Service == service })
				m.retained[service] = false
			}
			h.Service = service
			m.endpoints[h.Name] = h
		case !l.Scoped:
			delete(m.endpoints, h.Name)
		}
	}
}

// events is what became of the services, by state alone. All are looked at: those that no entry
// touched have not changed.
func (m *modelTable) events(l List) (events []ServiceEvent) {
	if !m.hasFullList {
		return nil
	}
	for _, service := range slices.Sorted(slices.Values(m.services)) {
		n, was := len(m.namesOf(m.endpoints, service)), m.statuses[service]
		now := "there"
		switch {
		case n > 0 && !m.retained[service]:
		case n == 0 && (was == "" || was == "unknown"):
			now = "unknown"
		default:
			now = "emptied"
		}
		m.statuses[service] = now
		switch {
		case was == now || was == "" && now == "there":
		case now == "there":
			events = append(events, ServiceEvent{Kind: ServiceRestored, Service: service, Scoped: l.Scoped})
		case now == "emptied":
			events = append(events, ServiceEvent{Kind: ServiceEmptied, Service: service, Retained: n, Scoped: l.Scoped})
		default:
			events = append(events, ServiceEvent{Kind: ServiceUnknown, Service: service, Scoped: l.Scoped})
		}
	}
	return events
}

// subscribe forgets how the services stand that are left, and what is held of them once a list came.
func (m *modelTable) subscribe(services []string) {
	state := map[string]string{}
	for _, s := range services {
		if m.subscribed(s) {
			state[s] = m.statuses[s]
		}
	}
	m.services, m.statuses, m.hasFullList = services, state, false
}

// Whatever lists come, scoped or not, whole or not, over changes of the subscription: a consumer
// of what the table makes of them holds what the model holds, a change names each server once,
// and the events are the model's.
func TestTableMatchesModel(t *testing.T) {
	services := []string{"", "a", "b", "c"}
	hostNames := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	rapid.Check(t, func(rt *rapid.T) {
		some := rapid.SliceOfNDistinct(rapid.SampledFrom(services), 1, 3, func(s string) string { return s })
		first := some.Draw(rt, "services")
		table := NewServiceTable(first)
		model := &modelTable{services: first, endpoints: map[string]Endpoint{}, retained: map[string]bool{}, statuses: map[string]string{}}
		held := map[string]Endpoint{}
		host := rapid.Custom(func(rt *rapid.T) Endpoint {
			h := readyEndpoint(rapid.SampledFrom(hostNames).Draw(rt, "name"), rapid.SampledFrom(services).Draw(rt, "service"))
			h.Health = rapid.SampledFrom([]string{Ready, Ready, Draining, Removed, Removed}).Draw(rt, "health")
			h.Block = rapid.IntRange(0, 9).Draw(rt, "block")
			return h
		})
		if rapid.Bool().Draw(rt, "seeded") {
			l := List{Endpoints: rapid.SliceOfN(host, 0, 5).Draw(rt, "known")}
			for _, h := range table.Seed(l).Endpoints {
				held[h.Name], model.endpoints[h.Name] = h, h
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if rapid.IntRange(0, 9).Draw(rt, "step") == 0 {
				next := some.Draw(rt, "services")
				table.Subscribe(next)
				model.subscribe(next)
				continue
			}
			l := List{Full: rapid.IntRange(0, 3).Draw(rt, "whole") == 0, Scoped: rapid.IntRange(0, 3).Draw(rt, "unscoped") > 0,
				Endpoints: rapid.SliceOfN(host, 0, 6).Draw(rt, "hosts")}
			out, events := table.Apply(l)
			seen := map[string]bool{}
			for _, h := range out.Endpoints {
				if seen[h.Name] || l.Full && h.Health == Removed {
					rt.Fatalf("made %+v of %+v", out, l)
				}
				seen[h.Name] = true
			}
			consumeList(held, &out)
			if l.Full {
				model.applyFullList(l)
			} else {
				model.applyUpdate(l)
			}
			want := model.events(l)
			if !maps.Equal(held, model.endpoints) || !maps.Equal(table.endpoints, model.endpoints) {
				rt.Fatalf("of %+v holds %v, want %v", l, describeEndpoints(held), describeEndpoints(model.endpoints))
			}
			byService := func(a, b ServiceEvent) int { return cmp.Compare(a.Service, b.Service) }
			if slices.SortFunc(events, byService); !slices.Equal(events, want) {
				rt.Fatalf("of %+v events %+v, want %+v", l, events, want)
			}
		}
	})
}
