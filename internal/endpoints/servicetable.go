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
	before := t.services
	t.services = make(map[string]*serviceState, len(services))
	for _, name := range services[:min(len(services), MaxServices)] {
		s := before[name]
		if s == nil {
			s = &serviceState{endpointNames: map[string]bool{}}
		}
		t.services[name] = s
	}
	for name, h := range t.endpoints {
		if s := t.services[h.Service]; s != nil {
			s.endpointNames[name] = true // of one that was left and is subscribed to again
		}
	}
	t.hasFullList, t.synced = false, false
}

// Synced tells whether the table rests on a whole scoped list and nothing unscoped came after it.
// As long as it doesn't, the table may lack servers of its services.
func (t *ServiceTable) Synced() bool { return t.synced }

// Seed takes a list that is known from before, and returns what of it belongs to the services. It
// causes no events: only the lists that come tell how a service stands.
func (t *ServiceTable) Seed(l List) List {
	out := List{Seq: l.Seq, Full: l.Full, Endpoints: []Endpoint{}}
	for i := range l.Endpoints {
		h := l.Endpoints[i]
		if _, twice := t.endpoints[h.Name]; twice || h.Health == Removed || t.services[h.Service] == nil {
			continue
		}
		t.put(h)
		out.Endpoints = append(out.Endpoints, h)
	}
	return out
}

// Apply takes a list and returns it as the consumer has to take it, with the events that it causes.
func (t *ServiceTable) Apply(l List) (List, []ServiceEvent) {
	if l.Full {
		return t.applyFullList(&l)
	}
	if !t.hasFullList {
		return List{Seq: l.Seq, Endpoints: []Endpoint{}}, nil
	}
	return t.applyUpdate(&l)
}

// applyFullList takes a whole list.
func (t *ServiceTable) applyFullList(l *List) (List, []ServiceEvent) {
	next := map[string]Endpoint{}
	var order []string
	add := func(h Endpoint) {
		if _, ok := next[h.Name]; !ok {
			order = append(order, h.Name)
		}
		next[h.Name] = h
	}
	for i := range l.Endpoints {
		h := l.Endpoints[i]
		name, ok := t.serviceOf(&h, l.Scoped)
		if ok && h.Health != Removed {
			h.Service = name
			add(h)
		}
	}
	named := map[string]int{}
	for _, h := range next {
		named[h.Service]++
	}
	names := slices.Sorted(maps.Keys(t.services))
	for _, name := range names {
		s := t.services[name]
		s.retained = false
		if named[name] > 0 {
			continue
		}
		for _, host := range slices.Sorted(maps.Keys(s.endpointNames)) {
			if _, elsewhere := next[host]; !elsewhere {
				add(t.endpoints[host])
				s.retained = true
			}
		}
	}
	t.replaceEndpoints(next)
	t.hasFullList, t.synced = true, l.Scoped
	out := List{Seq: l.Seq, Full: true, Endpoints: make([]Endpoint, 0, len(order))}
	for _, host := range order {
		out.Endpoints = append(out.Endpoints, next[host])
	}
	return out, t.updateStatuses(names, l.Scoped)
}

// replaceEndpoints makes these the hosts of the table.
func (t *ServiceTable) replaceEndpoints(hosts map[string]Endpoint) {
	for _, s := range t.services {
		s.endpointNames = map[string]bool{}
	}
	t.endpoints = hosts
	for name, h := range hosts {
		t.services[h.Service].endpointNames[name] = true
	}
}

// applyUpdate takes a list of changes.
func (t *ServiceTable) applyUpdate(l *List) (List, []ServiceEvent) {
	c := tableUpdate{table: t, previous: map[string]Endpoint{}, touchedServices: map[string]bool{}}
	for i := range l.Endpoints {
		c.apply(l.Endpoints[i], l.Scoped)
	}
	t.synced = t.synced && l.Scoped
	return List{Seq: l.Seq, Endpoints: c.changedEndpoints()}, t.updateStatuses(slices.Sorted(maps.Keys(c.touchedServices)), l.Scoped)
}

// tableUpdate is one list of changes on its way into the table.
type tableUpdate struct {
	table           *ServiceTable
	touchedNames    []string            // the names that it touches
	previous        map[string]Endpoint // as they were held; one that was not has no name
	touchedServices map[string]bool     // the services that it touches
}

// apply takes one entry.
func (c *tableUpdate) apply(h Endpoint, scoped bool) {
	t := c.table
	held, isHeld := t.endpoints[h.Name]
	if h.Health == Removed {
		// A server that changed its service is gone from the one before: that may come after
		// the entry that has it under its new one.
		if isHeld && (h.Service == held.Service || !scoped && h.Service == "") {
			c.remove(h.Name)
		}
		return
	}
	name, ok := t.serviceOf(&h, scoped)
	if !ok {
		if isHeld && !scoped { // it went to a service that this reader doesn't subscribe to
			c.remove(h.Name)
		}
		return
	}
	if s := t.services[name]; s.retained {
		s.retained = false
		for _, host := range slices.Sorted(maps.Keys(s.endpointNames)) {
			c.remove(host)
		}
	}
	h.Service = name
	c.remove(h.Name)
	c.touchedServices[name] = true
	t.put(h)
}

// remove takes a server out of the table, if it is held there, and notes that it was touched.
func (c *tableUpdate) remove(name string) {
	held, ok := c.table.endpoints[name]
	if _, touched := c.previous[name]; !touched {
		c.touchedNames = append(c.touchedNames, name)
		c.previous[name] = held
	}
	if !ok {
		return
	}
	c.touchedServices[held.Service] = true
	delete(c.table.endpoints, name)
	if s := c.table.services[held.Service]; s != nil {
		delete(s.endpointNames, name)
	}
}

// changedEndpoints is one entry for each server that was touched: as it is now, or gone.
func (c *tableUpdate) changedEndpoints() []Endpoint {
	hosts := make([]Endpoint, 0, len(c.touchedNames))
	for _, name := range c.touchedNames {
		h, held := c.table.endpoints[name]
		if !held {
			if h = c.previous[name]; h.Name == "" {
				continue // it came and went in one line
			}
			h.Health = Removed
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// put holds an entry.
func (t *ServiceTable) put(h Endpoint) {
	t.endpoints[h.Name] = h
	t.services[h.Service].endpointNames[h.Name] = true
}

// serviceOf is the service that an entry belongs to, and whether it is subscribed to. An entry of
// an unscoped list that names no service belongs to the one that it is held under, or else to the
// default service.
func (t *ServiceTable) serviceOf(h *Endpoint, scoped bool) (string, bool) {
	name := h.Service
	if held, ok := t.endpoints[h.Name]; ok && !scoped && name == "" {
		name = held.Service
	}
	return name, t.services[name] != nil
}

// updateStatuses notes what became of the services and returns what is to be reported.
func (t *ServiceTable) updateStatuses(names []string, scoped bool) []ServiceEvent {
	var events []ServiceEvent
	for _, name := range names {
		s := t.services[name]
		if s == nil {
			continue
		}
		was := s.status
		s.status = s.nextStatus()
		if s.status == was {
			continue
		}
		event := ServiceEvent{Service: name, Scoped: scoped}
		switch {
		case s.status == statusUnknown:
			event.Kind = ServiceUnknown
		case s.status == statusEmptied:
			event.Kind, event.Retained = ServiceEmptied, len(s.endpointNames)
		case was == statusUnseen:
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
