package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// modelTable is a simple reference implementation of ServiceTable: for each list, it goes through all
// endpoints and services.
type modelTable struct {
	services    []string
	endpoints   map[string]Endpoint // by name
	retained    map[string]bool     // names of services
	statuses    map[string]modelStatus
	hasFullList bool
}

// modelStatus is the status of a service.
type modelStatus string

const (
	modelUnseen  modelStatus = ""
	modelPresent modelStatus = "present"
	modelUnknown modelStatus = "unknown"
	modelEmptied modelStatus = "emptied"
)

func (m *modelTable) subscribed(service string) bool { return slices.Contains(m.services, service) }

// namesOf returns the names of a service's endpoints.
func (m *modelTable) namesOf(endpoints map[string]Endpoint, service string) (names []string) {
	for name, e := range endpoints {
		if e.Service == service {
			names = append(names, name)
		}
	}
	return names
}

// serviceOf returns the service that an entry belongs to.
func (m *modelTable) serviceOf(e Endpoint, scoped bool) string {
	if before, ok := m.endpoints[e.Name]; ok && !scoped && e.Service == "" {
		return before.Service
	}
	return e.Service
}

func (m *modelTable) applyFullList(list List) {
	next := map[string]Endpoint{}
	for _, e := range list.Endpoints {
		e.Service = m.serviceOf(e, list.Scoped)
		if e.Health != Removed && m.subscribed(e.Service) {
			next[e.Name] = e
		}
	}
	m.retained = map[string]bool{}
	retained := map[string]Endpoint{}
	for _, service := range m.services {
		if len(m.namesOf(next, service)) > 0 {
			continue
		}
		for _, name := range m.namesOf(m.endpoints, service) {
			if _, listed := next[name]; !listed {
				retained[name] = m.endpoints[name]
				m.retained[service] = true
			}
		}
	}
	maps.Copy(next, retained)
	m.endpoints, m.hasFullList = next, true
}

func (m *modelTable) applyUpdate(list List) {
	if !m.hasFullList {
		return
	}
	for _, e := range list.Endpoints {
		before, exists := m.endpoints[e.Name]
		service := m.serviceOf(e, list.Scoped)
		switch {
		case e.Health == Removed && exists && before.Service == service:
			delete(m.endpoints, e.Name)
		case e.Health == Removed:
		case m.subscribed(service):
			if m.retained[service] {
				maps.DeleteFunc(m.endpoints, func(_ string, k Endpoint) bool { return k.Service == service })
				m.retained[service] = false
			}
			e.Service = service
			m.endpoints[e.Name] = e
		case !list.Scoped:
			delete(m.endpoints, e.Name)
		}
	}
}

// events updates the status of every service and returns an event for each status that has changed. The
// status of a service that no entry of the list touched stays the same.
func (m *modelTable) events(list List) (events []ServiceEvent) {
	if !m.hasFullList {
		return nil
	}
	for _, service := range slices.Sorted(slices.Values(m.services)) {
		count, previous := len(m.namesOf(m.endpoints, service)), m.statuses[service]
		now := modelPresent
		switch {
		case count > 0 && !m.retained[service]:
		case count == 0 && (previous == modelUnseen || previous == modelUnknown):
			now = modelUnknown
		default:
			now = modelEmptied
		}
		m.statuses[service] = now
		switch {
		case previous == now || previous == modelUnseen && now == modelPresent:
		case now == modelPresent:
			events = append(events, ServiceEvent{Kind: ServiceRestored, Service: service, Scoped: list.Scoped})
		case now == modelEmptied:
			events = append(events, ServiceEvent{Kind: ServiceEmptied, Service: service, Retained: count, Scoped: list.Scoped})
		default:
			events = append(events, ServiceEvent{Kind: ServiceUnknown, Service: service, Scoped: list.Scoped})
		}
	}
	return events
}

// subscribe replaces the services and drops the status of services that are no longer subscribed to. Their
// endpoints are removed by the next full list.
func (m *modelTable) subscribe(services []string) {
	statuses := map[string]modelStatus{}
	for _, s := range services {
		if m.subscribed(s) {
			statuses[s] = m.statuses[s]
		}
	}
	m.services, m.statuses, m.hasFullList = services, statuses, false
}

// For random lists, scoped or not, full or not, and random changes of the subscription, a consumer of the
// returned lists has the same endpoints as the model, a returned list names each endpoint at most once, and
// the events are those of the model.
func TestTableMatchesModel(t *testing.T) {
	services := []string{"", "a", "b", "c"}
	endpointNames := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	rapid.Check(t, func(rt *rapid.T) {
		someServices := rapid.SliceOfNDistinct(rapid.SampledFrom(services), 1, 3, func(s string) string { return s })
		first := someServices.Draw(rt, "services")
		table := NewServiceTable(first)
		model := &modelTable{services: first, endpoints: map[string]Endpoint{}, retained: map[string]bool{}, statuses: map[string]modelStatus{}}
		consumed := map[string]Endpoint{}
		entries := rapid.Custom(func(rt *rapid.T) Endpoint {
			e := readyEndpoint(rapid.SampledFrom(endpointNames).Draw(rt, "name"), rapid.SampledFrom(services).Draw(rt, "service"))
			e.Health = rapid.SampledFrom([]string{Ready, Ready, Draining, Removed, Removed}).Draw(rt, "health")
			e.Block = rapid.IntRange(0, 9).Draw(rt, "block")
			return e
		})
		if rapid.Bool().Draw(rt, "seeded") {
			list := List{Endpoints: rapid.SliceOfN(entries, 0, 5).Draw(rt, "known")}
			for _, e := range table.Seed(list).Endpoints {
				consumed[e.Name], model.endpoints[e.Name] = e, e
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if rapid.IntRange(0, 9).Draw(rt, "step") == 0 {
				next := someServices.Draw(rt, "services")
				table.Subscribe(next)
				model.subscribe(next)
				continue
			}
			list := List{Full: rapid.IntRange(0, 3).Draw(rt, "full") == 0, Scoped: rapid.IntRange(0, 3).Draw(rt, "unscoped") > 0,
				Endpoints: rapid.SliceOfN(entries, 0, 6).Draw(rt, "entries")}
			out, events := table.Apply(list)
			seen := map[string]bool{}
			for _, e := range out.Endpoints {
				if seen[e.Name] || list.Full && e.Health == Removed {
					rt.Fatalf("returned %+v for %+v", out, list)
				}
				seen[e.Name] = true
			}
			consumeList(consumed, &out)
			if list.Full {
				model.applyFullList(list)
			} else {
				model.applyUpdate(list)
			}
			want := model.events(list)
			if !maps.Equal(consumed, model.endpoints) || !maps.Equal(table.endpoints, model.endpoints) {
				rt.Fatalf("for %+v: endpoints %v, want %v", list, describeEndpoints(consumed), describeEndpoints(model.endpoints))
			}
			byService := func(a, b ServiceEvent) int { return cmp.Compare(a.Service, b.Service) }
			if slices.SortFunc(events, byService); !slices.Equal(events, want) {
				rt.Fatalf("for %+v: events %+v, want %+v", list, events, want)
			}
		}
	})
}
