package endpoints

import (
	"maps"
	"slices"
)

// ServiceEventKind tells what became of a service that a reader subscribes to.
type ServiceEventKind uint8

// What may become of a service.
const (
	ServiceUnknown  ServiceEventKind = iota // no list ever named a server of it
	ServiceEmptied                          // it had servers, and the list names none any more
	ServiceRestored                         // it has servers again, or at last
)

func (k ServiceEventKind) String() string {
	switch k {
	case ServiceUnknown:
		return "service unknown"
	case ServiceEmptied:
		return "service emptied"
	case ServiceRestored:
		return "service back"
	}
	return "service event unknown"
}

// ServiceEvent reports a change of a service that its servers' entries alone don't show.
type ServiceEvent struct {
	Kind     ServiceEventKind
	Service  string
	Retained int  // how many servers stay in use though the list names none
	Scoped   bool // the list was of the reader's services; if not, it may not tell whose a server is
}

// ServiceTable is what a reader holds of the services that it subscribes to. It turns the lists
// that come into lists of these services alone, for a consumer that knows no services.
//
// A whole list that names no server of a service that had some is more likely wrong than right:
// the table keeps these servers until a list names one of the service again. A change that takes
// a server away is believed, as the list service guards its changes itself.
//
// It is pure and not safe for concurrent use. A change costs time by its own entries, a whole list by
// the entries of the list and the table; servers that were kept and are replaced by a change cost
// time once each.
type ServiceTable struct {
	services    map[string]*serviceState // subscribed to
	endpoints   map[string]Endpoint      // by name; each with its service
	hasFullList bool                     // a whole list came since the services changed
	synced      bool                     // the last list came scoped, and so did the whole one below it
}

// serviceState is what the table holds of one service.
type serviceState struct {
	endpointNames map[string]bool // the servers held
	retained      bool            // they are held though the last whole list named none of them
	status        serviceStatus
}

// serviceStatus is how the lists had the service so far.
type serviceStatus uint8

const (
	statusUnseen serviceStatus = iota
	statusPresent
	statusUnknown
	statusEmptied
)

// NewServiceTable makes a table of these services, which have passed CheckServices.
func NewServiceTable(services []string) *ServiceTable {
	t := &ServiceTable{endpoints: map[string]Endpoint{}}
	t.Subscribe(services)
	return t
}

// Subscribe changes the services, which have passed CheckServices. What is held stays until the
// next whole list, and changes before that list are not taken.
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
	for name, endpoint := range t.endpoints {
		if state := t.services[endpoint.Service]; state != nil {
			state.endpointNames[name] = true // of one that was left and is subscribed to again
		}
	}
	t.hasFullList, t.synced = false, false
}

// Synced tells whether the table rests on a whole scoped list and nothing unscoped came after it.
// As long as it doesn't, the table may lack servers of its services.
func (t *ServiceTable) Synced() bool { return t.synced }

// Seed takes a list that is known from before, and returns what of it belongs to the services. It
// causes no events: only the lists that come tell how a service stands.
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

// Apply takes a list and returns it as the consumer has to take it, with the events that it causes.
func (t *ServiceTable) Apply(list List) (List, []ServiceEvent) {
	if list.Full {
		return t.applyFullList(&list)
	}
	if !t.hasFullList {
		return List{Seq: list.Seq, Endpoints: []Endpoint{}}, nil
	}
	return t.applyUpdate(&list)
}

// applyFullList takes a whole list.
func (t *ServiceTable) applyFullList(list *List) (List, []ServiceEvent) {
	next := map[string]Endpoint{}
	var order []string
	add := func(endpoint Endpoint) {
		if _, ok := next[endpoint.Name]; !ok {
			order = append(order, endpoint.Name)
		}
		next[endpoint.Name] = endpoint
	}
	for i := range list.Endpoints {
		endpoint := list.Endpoints[i]
		name, ok := t.serviceOf(&endpoint, list.Scoped)
		if ok && endpoint.Health != Removed {
			endpoint.Service = name
			add(endpoint)
		}
	}
	listedCount := map[string]int{}
	for _, endpoint := range next {
		listedCount[endpoint.Service]++
	}
	names := slices.Sorted(maps.Keys(t.services))
	for _, name := range names {
		state := t.services[name]
		state.retained = false
		if listedCount[name] > 0 {
			continue
		}
		for _, endpointName := range slices.Sorted(maps.Keys(state.endpointNames)) {
			if _, listed := next[endpointName]; !listed {
				add(t.endpoints[endpointName])
				state.retained = true
			}
		}
	}
	t.replaceEndpoints(next)
	t.hasFullList, t.synced = true, list.Scoped
	out := List{Seq: list.Seq, Full: true, Endpoints: make([]Endpoint, 0, len(order))}
	for _, endpointName := range order {
		out.Endpoints = append(out.Endpoints, next[endpointName])
	}
	return out, t.updateStatuses(names, list.Scoped)
}

// replaceEndpoints makes these the hosts of the table.
func (t *ServiceTable) replaceEndpoints(endpoints map[string]Endpoint) {
	for _, state := range t.services {
		state.endpointNames = map[string]bool{}
	}
	t.endpoints = endpoints
	for name, endpoint := range endpoints {
		t.services[endpoint.Service].endpointNames[name] = true
	}
}

// applyUpdate takes a list of changes.
func (t *ServiceTable) applyUpdate(list *List) (List, []ServiceEvent) {
	update := tableUpdate{table: t, previous: map[string]Endpoint{}, touchedServices: map[string]bool{}}
	for i := range list.Endpoints {
		update.apply(list.Endpoints[i], list.Scoped)
	}
	t.synced = t.synced && list.Scoped
	return List{Seq: list.Seq, Endpoints: update.changedEndpoints()}, t.updateStatuses(slices.Sorted(maps.Keys(update.touchedServices)), list.Scoped)
}

// tableUpdate is one list of changes on its way into the table.
type tableUpdate struct {
	table           *ServiceTable
	touchedNames    []string            // the names that it touches
	previous        map[string]Endpoint // as they were held; one that was not has no name
	touchedServices map[string]bool     // the services that it touches
}

// apply takes one entry.
func (c *tableUpdate) apply(endpoint Endpoint, scoped bool) {
	table := c.table
	current, exists := table.endpoints[endpoint.Name]
	if endpoint.Health == Removed {
		// A server that changed its service is gone from the one before: that may come after
		// the entry that has it under its new one.
		if exists && (endpoint.Service == current.Service || !scoped && endpoint.Service == "") {
			c.remove(endpoint.Name)
		}
		return
	}
	service, subscribed := table.serviceOf(&endpoint, scoped)
	if !subscribed {
		if exists && !scoped { // it went to a service that this reader doesn't subscribe to
			c.remove(endpoint.Name)
		}
		return
	}
	if state := table.services[service]; state.retained {
		state.retained = false
		for _, name := range slices.Sorted(maps.Keys(state.endpointNames)) {
			c.remove(name)
		}
	}
	endpoint.Service = service
	c.remove(endpoint.Name)
	c.touchedServices[service] = true
	table.put(endpoint)
}

// remove takes a server out of the table, if it is held there, and notes that it was touched.
func (c *tableUpdate) remove(name string) {
	current, exists := c.table.endpoints[name]
	if _, touched := c.previous[name]; !touched {
		c.touchedNames = append(c.touchedNames, name)
		c.previous[name] = current
	}
	if !exists {
		return
	}
	c.touchedServices[current.Service] = true
	delete(c.table.endpoints, name)
	if state := c.table.services[current.Service]; state != nil {
		delete(state.endpointNames, name)
	}
}

// changedEndpoints is one entry for each server that was touched: as it is now, or gone.
func (c *tableUpdate) changedEndpoints() []Endpoint {
	changed := make([]Endpoint, 0, len(c.touchedNames))
	for _, name := range c.touchedNames {
		endpoint, exists := c.table.endpoints[name]
		if !exists {
			if endpoint = c.previous[name]; endpoint.Name == "" {
				continue // it came and went in one line
			}
			endpoint.Health = Removed
		}
		changed = append(changed, endpoint)
	}
	return changed
}

// put holds an entry.
func (t *ServiceTable) put(endpoint Endpoint) {
	t.endpoints[endpoint.Name] = endpoint
	t.services[endpoint.Service].endpointNames[endpoint.Name] = true
}

// serviceOf is the service that an entry belongs to, and whether it is subscribed to. An entry of
// an unscoped list that names no service belongs to the one that it is held under, or else to the
// default service.
func (t *ServiceTable) serviceOf(endpoint *Endpoint, scoped bool) (string, bool) {
	service := endpoint.Service
	if current, ok := t.endpoints[endpoint.Name]; ok && !scoped && service == "" {
		service = current.Service
	}
	return service, t.services[service] != nil
}

// updateStatuses notes what became of the services and returns what is to be reported.
func (t *ServiceTable) updateStatuses(names []string, scoped bool) []ServiceEvent {
	var events []ServiceEvent
	for _, name := range names {
		state := t.services[name]
		if state == nil {
			continue
		}
		previous := state.status
		state.status = state.nextStatus()
		if state.status == previous {
			continue
		}
		event := ServiceEvent{Service: name, Scoped: scoped}
		switch {
		case state.status == statusUnknown:
			event.Kind = ServiceUnknown
		case state.status == statusEmptied:
			event.Kind, event.Retained = ServiceEmptied, len(state.endpointNames)
		case previous == statusUnseen:
			continue
		default:
			event.Kind = ServiceRestored
		}
		events = append(events, event)
	}
	return events
}

// nextStatus is how the service is listed after a list was taken.
func (s *serviceState) nextStatus() serviceStatus {
	switch {
	case len(s.endpointNames) > 0 && !s.retained:
		return statusPresent
	case s.status == statusUnknown || s.status == statusUnseen && len(s.endpointNames) == 0:
		return statusUnknown
	}
	return statusEmptied
}
