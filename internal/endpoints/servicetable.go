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
	services map[string]*serviceEntries // subscribed to
	hosts    map[string]Endpoint        // by name; each with its service
	based    bool                       // a whole list came since the services changed
	settled  bool                       // the last list came scoped, and so did the whole one below it
}

// serviceEntries is what the table holds of one service.
type serviceEntries struct {
	names   map[string]bool // the servers held
	doubted bool            // they are held though the last whole list named none of them
	listed  listing
}

// listing is how the lists had the service so far.
type listing uint8

const (
	unheard listing = iota
	present
	unknown
	emptied
)

// NewServiceTable makes a table of these services, which have passed CheckServices.
func NewServiceTable(services []string) *ServiceTable {
	t := &ServiceTable{hosts: map[string]Endpoint{}}
	t.Subscribe(services)
	return t
}

// Subscribe changes the services, which have passed CheckServices. What is held stays until the
// next whole list, and changes before that list are not taken.
func (t *ServiceTable) Subscribe(services []string) {
	before := t.services
	t.services = make(map[string]*serviceEntries, len(services))
	for _, name := range services[:min(len(services), MaxServices)] {
		s := before[name]
		if s == nil {
			s = &serviceEntries{names: map[string]bool{}}
		}
		t.services[name] = s
	}
	for name, h := range t.hosts {
		if s := t.services[h.Service]; s != nil {
			s.names[name] = true // of one that was left and is subscribed to again
		}
	}
	t.based, t.settled = false, false
}

// Synced tells whether the table rests on a whole scoped list and nothing unscoped came after it.
// As long as it doesn't, the table may lack servers of its services.
func (t *ServiceTable) Synced() bool { return t.settled }

// Seed takes a list that is known from before, and returns what of it belongs to the services. It
// causes no events: only the lists that come tell how a service stands.
func (t *ServiceTable) Seed(l List) List {
	out := List{Seq: l.Seq, Full: l.Full, Endpoints: []Endpoint{}}
	for i := range l.Endpoints {
		h := l.Endpoints[i]
		if _, twice := t.hosts[h.Name]; twice || h.Health == Removed || t.services[h.Service] == nil {
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
		return t.applyWhole(&l)
	}
	if !t.based {
		return List{Seq: l.Seq, Endpoints: []Endpoint{}}, nil
	}
	return t.applyChange(&l)
}

// applyWhole takes a whole list.
func (t *ServiceTable) applyWhole(l *List) (List, []ServiceEvent) {
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
		s.doubted = false
		if named[name] > 0 {
			continue
		}
		for _, host := range slices.Sorted(maps.Keys(s.names)) {
			if _, elsewhere := next[host]; !elsewhere {
				add(t.hosts[host])
				s.doubted = true
			}
		}
	}
	t.replace(next)
	t.based, t.settled = true, l.Scoped
	out := List{Seq: l.Seq, Full: true, Endpoints: make([]Endpoint, 0, len(order))}
	for _, host := range order {
		out.Endpoints = append(out.Endpoints, next[host])
	}
	return out, t.review(names, l.Scoped)
}

// replace makes these the hosts of the table.
func (t *ServiceTable) replace(hosts map[string]Endpoint) {
	for _, s := range t.services {
		s.names = map[string]bool{}
	}
	t.hosts = hosts
	for name, h := range hosts {
		t.services[h.Service].names[name] = true
	}
}

// applyChange takes a list of changes.
func (t *ServiceTable) applyChange(l *List) (List, []ServiceEvent) {
	c := change{table: t, before: map[string]Endpoint{}, services: map[string]bool{}}
	for i := range l.Endpoints {
		c.apply(l.Endpoints[i], l.Scoped)
	}
	t.settled = t.settled && l.Scoped
	return List{Seq: l.Seq, Endpoints: c.result()}, t.review(slices.Sorted(maps.Keys(c.services)), l.Scoped)
}

// change is one list of changes on its way into the table.
type change struct {
	table    *ServiceTable
	order    []string            // the names that it touches
	before   map[string]Endpoint // as they were held; one that was not has no name
	services map[string]bool     // the services that it touches
}

// apply takes one entry.
func (c *change) apply(h Endpoint, scoped bool) {
	t := c.table
	held, isHeld := t.hosts[h.Name]
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
	if s := t.services[name]; s.doubted {
		s.doubted = false
		for _, host := range slices.Sorted(maps.Keys(s.names)) {
			c.remove(host)
		}
	}
	h.Service = name
	c.remove(h.Name)
	c.services[name] = true
	t.put(h)
}

// remove takes a server out of the table, if it is held there, and notes that it was touched.
func (c *change) remove(name string) {
	held, ok := c.table.hosts[name]
	if _, touched := c.before[name]; !touched {
		c.order = append(c.order, name)
		c.before[name] = held
	}
	if !ok {
		return
	}
	c.services[held.Service] = true
	delete(c.table.hosts, name)
	if s := c.table.services[held.Service]; s != nil {
		delete(s.names, name)
	}
}

// result is one entry for each server that was touched: as it is now, or gone.
func (c *change) result() []Endpoint {
	hosts := make([]Endpoint, 0, len(c.order))
	for _, name := range c.order {
		h, held := c.table.hosts[name]
		if !held {
			if h = c.before[name]; h.Name == "" {
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
	t.hosts[h.Name] = h
	t.services[h.Service].names[h.Name] = true
}

// serviceOf is the service that an entry belongs to, and whether it is subscribed to. An entry of
// an unscoped list that names no service belongs to the one that it is held under, or else to the
// default service.
func (t *ServiceTable) serviceOf(h *Endpoint, scoped bool) (string, bool) {
	name := h.Service
	if held, ok := t.hosts[h.Name]; ok && !scoped && name == "" {
		name = held.Service
	}
	return name, t.services[name] != nil
}

// review notes what became of the services and returns what is to be reported.
func (t *ServiceTable) review(names []string, scoped bool) []ServiceEvent {
	var events []ServiceEvent
	for _, name := range names {
		s := t.services[name]
		if s == nil {
			continue
		}
		was := s.listed
		s.listed = s.next()
		if s.listed == was {
			continue
		}
		event := ServiceEvent{Service: name, Scoped: scoped}
		switch {
		case s.listed == unknown:
			event.Kind = ServiceUnknown
		case s.listed == emptied:
			event.Kind, event.Retained = ServiceEmptied, len(s.names)
		case was == unheard:
			continue
		default:
			event.Kind = ServiceRestored
		}
		events = append(events, event)
	}
	return events
}

// next is how the service is listed after a list was taken.
func (s *serviceEntries) next() listing {
	switch {
	case len(s.names) > 0 && !s.doubted:
		return present
	case s.listed == unknown || s.listed == unheard && len(s.names) == 0:
		return unknown
	}
	return emptied
}
