package endpoints

import (
	"maps"
	"slices"
)

// ServiceTable is a reader's table of the endpoints of the services that it subscribes to. It converts
// received lists into lists of these services alone, for a consumer that has no notion of services.
//
// A full list without any endpoint of a service that had some is more likely wrong than right: the
// table retains these endpoints until a list names an endpoint of the service again. A change that
// removes an endpoint is always applied, because the list service has safeguards for its changes.
//
// A ServiceTable is not safe for concurrent use. Applying changes takes time linear in the entries of
// the changes, and applying a full list time linear in the entries of the list and of the table. Each
// retained endpoint that a change causes to be removed adds to that time once.
type ServiceTable struct {
	services    map[string]*serviceState // the subscribed services, by name
	endpoints   map[string]Endpoint      // the endpoints of the table, by name
	hasFullList bool                     // a full list was applied since the last change of services
	synced      bool                     // the last full list and all changes after it were scoped
}

// serviceState is the table's state of one service.
type serviceState struct {
	endpointNames map[string]bool // the endpoints in the table
	retained      bool            // these endpoints are kept although the last full list named none of them
	status        serviceStatus
}

// NewServiceTable returns an empty table of the given services, which must pass CheckServices.
func NewServiceTable(services []string) *ServiceTable {
	t := &ServiceTable{endpoints: map[string]Endpoint{}}
	t.Subscribe(services)
	return t
}

// Subscribe replaces the services; the new ones must pass CheckServices. The endpoints in the table
// stay until the next full list, and changes before that list are ignored.
func (t *ServiceTable) Subscribe(services []string) {
	previous := t.services
	t.services = make(map[string]*serviceState, len(services))
	for _, name := range services[:min(len(services), MaxServices)] {
		state := previous[name]
		if state == nil {
			state = &serviceState{endpointNames: map[string]bool{}}
		}
		t.services[name] = state
	}
	// If the reader unsubscribes from a service and subscribes to it again before a full list
	// arrives, the endpoints of the service are still in the table.
	for name, endpoint := range t.endpoints {
		if state := t.services[endpoint.Service]; state != nil {
			state.endpointNames[name] = true
		}
	}
	t.hasFullList, t.synced = false, false
}

// Synced reports whether the table is based on a full scoped list and no unscoped list was applied
// after it. A table that is not synced may lack endpoints of its services.
func (t *ServiceTable) Synced() bool { return t.synced }

// Seed adds the endpoints of a list saved by an earlier run to the table, and returns the entries of the
// table's services. It causes no events, because events only report lists of the list service.
func (t *ServiceTable) Seed(list List) List {
	seeded := List{Seq: list.Seq, Full: list.Full, Endpoints: []Endpoint{}}
	for i := range list.Endpoints {
		endpoint := list.Endpoints[i]
		if _, known := t.endpoints[endpoint.Name]; known || endpoint.Health == Removed || t.services[endpoint.Service] == nil {
			continue
		}
		t.put(endpoint)
		seeded.Endpoints = append(seeded.Endpoints, endpoint)
	}
	return seeded
}

// Apply applies a list to the table. It returns the list for the consumer, and the events that the
// list causes.
func (t *ServiceTable) Apply(list List) (List, []ServiceEvent) {
	if list.Full {
		return t.applyFullList(&list)
	}
	if !t.hasFullList {
		return List{Seq: list.Seq, Endpoints: []Endpoint{}}, nil
	}
	return t.applyChanges(&list)
}

// applyFullList replaces the contents of the table with a full list and the retained endpoints.
func (t *ServiceTable) applyFullList(list *List) (List, []ServiceEvent) {
	next := t.subscribedEntries(list)
	services := slices.Sorted(maps.Keys(t.services))
	t.retainEmptied(next, services)
	t.replaceEndpoints(next.byName)
	t.hasFullList, t.synced = true, list.Scoped
	return List{Seq: list.Seq, Full: true, Endpoints: next.inOrder()}, t.updateStatuses(services, list.Scoped)
}

// entrySet is a set of entries, ordered by when their names were first added.
type entrySet struct {
	byName map[string]Endpoint
	names  []string
}

// add adds an entry, or replaces the one with the same name and keeps its position.
func (s *entrySet) add(endpoint Endpoint) {
	if _, exists := s.byName[endpoint.Name]; !exists {
		s.names = append(s.names, endpoint.Name)
	}
	s.byName[endpoint.Name] = endpoint
}

func (s *entrySet) inOrder() []Endpoint {
	entries := make([]Endpoint, 0, len(s.names))
	for _, name := range s.names {
		entries = append(entries, s.byName[name])
	}
	return entries
}

// subscribedEntries returns the entries of a full list that belong to the table's services.
func (t *ServiceTable) subscribedEntries(list *List) *entrySet {
	entries := &entrySet{byName: map[string]Endpoint{}}
	for i := range list.Endpoints {
		endpoint := list.Endpoints[i]
		service, subscribed := t.serviceOf(&endpoint, list.Scoped)
		if subscribed && endpoint.Health != Removed {
			endpoint.Service = service
			entries.add(endpoint)
		}
	}
	return entries
}

// retainEmptied adds to next the table's endpoints of each service that has no entry in next.
func (t *ServiceTable) retainEmptied(next *entrySet, services []string) {
	listedCount := map[string]int{}
	for _, endpoint := range next.byName {
		listedCount[endpoint.Service]++
	}
	for _, service := range services {
		state := t.services[service]
		state.retained = false
		if listedCount[service] > 0 {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(state.endpointNames)) {
			if _, listed := next.byName[name]; !listed { // it may be listed under another service
				next.add(t.endpoints[name])
				state.retained = true
			}
		}
	}
}

// replaceEndpoints replaces all endpoints of the table.
func (t *ServiceTable) replaceEndpoints(endpoints map[string]Endpoint) {
	for _, state := range t.services {
		state.endpointNames = map[string]bool{}
	}
	t.endpoints = endpoints
	for name, endpoint := range endpoints {
		t.services[endpoint.Service].endpointNames[name] = true
	}
}

// put adds or replaces an entry of one of the table's services.
func (t *ServiceTable) put(endpoint Endpoint) {
	t.endpoints[endpoint.Name] = endpoint
	t.services[endpoint.Service].endpointNames[endpoint.Name] = true
}

// serviceOf returns the service that an entry belongs to, and whether the table subscribes to it. An
// entry of an unscoped list may omit its service: it then belongs to the endpoint's service in the
// table or, if the table doesn't have the endpoint, to the default service.
func (t *ServiceTable) serviceOf(endpoint *Endpoint, scoped bool) (service string, subscribed bool) {
	service = endpoint.Service
	if current, ok := t.endpoints[endpoint.Name]; ok && !scoped && service == "" {
		service = current.Service
	}
	return service, t.services[service] != nil
}
