package catalog

import (
	"fmt"
	"slices"
	"sort"

	"knotrouter/internal/endpoints"
)

// Bounds of what is kept for readers that subscribe to services.
const (
	// MaxDepartures is how many servers that left a service for another are remembered, over all services.
	MaxDepartures = 8192
	// MaxServiceMinRevisions is how many services have an oldest version of their own. Of more, all
	// services take the latest of them.
	MaxServiceMinRevisions = 4096
	// MaxServiceChanges is by how many a list of changes may be longer than the whole list of
	// the same services; a reader that would get more gets the whole list.
	MaxServiceChanges = 256
)

// ServiceHistory is the part of the state that readers of services need beyond the entries: each
// entry carries the version of its last change, so the changes of a service after a version
// are those of its entries with a later one, and the servers that left it since.
type ServiceHistory struct {
	// MinRevision is the version from which on the changes of every service can be told.
	MinRevision int64 `json:"floor,omitempty"`
	// MinRevisions are later versions of services some of whose ends or moves were dropped.
	MinRevisions map[string]int64 `json:"floors,omitempty"`
	Departures   []Departure      `json:"moved,omitempty"` // by version
}

// Departure is a server that left a service for another.
type Departure struct {
	Seq     int64  `json:"seq"`
	Name    string `json:"name"`
	Service string `json:"service,omitempty"` // that it left
}

// serviceIndex is the index of one serviceIndex. It follows from the entries and the moves, and is
// built again when a snapshot is read.
type serviceIndex struct {
	entries  map[string]*Entry // ended ones included
	departed map[string]int64  // the versions at which servers left for another service
	// changes are in order of versions. Some are outdated: the entry has changed again.
	changes      []entryChange
	listedCount  int
	lastRevision int64 // version of the last change
}

// ListedWithService is the entry as readers see it that subscribe to services.
func (e *Entry) ListedWithService() endpoints.Endpoint {
	h := e.Listed()
	h.Service = e.Endpoint.Service
	return h
}

// isListed tells whether the entry is on the list.
func (e *Entry) isListed() bool { return !e.Removed && e.DampedUntil <= 0 }

// serviceIndexFor returns the index of a serviceIndexFor, and creates it if there is none.
func (s *State) serviceIndexFor(name string) *serviceIndex {
	svc := s.serviceIndexes[name]
	if svc == nil {
		svc = &serviceIndex{entries: map[string]*Entry{}, departed: map[string]int64{}}
		s.serviceIndexes[name] = svc
	}
	return svc
}

// recordChange adds a change, and drops outdated ones once they are most of what is kept.
func (svc *serviceIndex) recordChange(c entryChange) {
	svc.changes = append(svc.changes, c)
	svc.lastRevision = max(svc.lastRevision, c.Seq)
	if len(svc.changes) > 2*(len(svc.entries)+len(svc.departed))+64 {
		svc.changes = slices.DeleteFunc(svc.changes, func(c entryChange) bool { return !svc.isCurrent(c) })
	}
}

// isCurrent tells whether a change is the last one of its name in this service.
func (svc *serviceIndex) isCurrent(c entryChange) bool {
	if e := svc.entries[c.Name]; e != nil {
		return e.Version == c.Seq
	}
	at, moved := svc.departed[c.Name]
	return moved && at == c.Seq
}

// indexEntry brings an entry's service up to date after a change of the entry.
func (s *State) indexEntry(e *Entry) {
	svc := s.serviceIndexFor(e.Endpoint.Service)
	svc.entries[e.Endpoint.Name] = e
	delete(svc.departed, e.Endpoint.Name)
	svc.recordChange(entryChange{e.Version, e.Endpoint.Name})
	s.countListed(svc, e)
}

// countListed keeps the numbers of listed servers.
func (s *State) countListed(svc *serviceIndex, e *Entry) {
	is := e.isListed()
	switch {
	case is && !e.countedAsListed:
		svc.listedCount++
		s.listedCount++
	case !is && e.countedAsListed:
		svc.listedCount--
		s.listedCount--
	}
	e.countedAsListed = is
}

// removeFromService takes an entry out of its service's index.
func (s *State) removeFromService(e *Entry) {
	svc := s.serviceIndexFor(e.Endpoint.Service)
	delete(svc.entries, e.Endpoint.Name)
	if e.countedAsListed {
		svc.listedCount--
		s.listedCount--
		e.countedAsListed = false
	}
	s.dropIndexIfEmpty(e.Endpoint.Service)
}

func (s *State) dropIndexIfEmpty(name string) {
	if svc := s.serviceIndexes[name]; svc != nil && len(svc.entries)+len(svc.departed) == 0 {
		delete(s.serviceIndexes, name)
	}
}

// recordDeparture remembers that a server left a service, for that service's readers.
func (s *State) recordDeparture(m Departure) {
	s.ServiceHistory.Departures = append(s.ServiceHistory.Departures, m)
	svc := s.serviceIndexFor(m.Service)
	svc.departed[m.Name] = m.Seq
	svc.recordChange(entryChange{m.Seq, m.Name})
	for len(s.ServiceHistory.Departures) > MaxDepartures {
		oldest := s.ServiceHistory.Departures[0]
		s.ServiceHistory.Departures = s.ServiceHistory.Departures[1:]
		s.dropDeparture(oldest)
	}
}

// dropDeparture forgets a move; the service's readers from before it get the whole list.
func (s *State) dropDeparture(m Departure) {
	svc := s.serviceIndexes[m.Service]
	if svc == nil || svc.departed[m.Name] != m.Seq {
		return // the server is back, or has left again since
	}
	delete(svc.departed, m.Name)
	s.raiseMinRevision(m.Service, m.Seq)
	s.dropIndexIfEmpty(m.Service)
}

// raiseMinRevision notes that a service's changes can be told from a version on only.
func (s *State) raiseMinRevision(service string, seq int64) {
	if s.ServiceHistory.MinRevisions == nil {
		s.ServiceHistory.MinRevisions = map[string]int64{}
	}
	s.ServiceHistory.MinRevisions[service] = max(s.ServiceHistory.MinRevisions[service], seq)
}

// limitMinRevisions holds the number of services with an oldest version of their own.
func (s *State) limitMinRevisions() {
	if len(s.ServiceHistory.MinRevisions) <= MaxServiceMinRevisions {
		return
	}
	for _, seq := range s.ServiceHistory.MinRevisions {
		s.ServiceHistory.MinRevision = max(s.ServiceHistory.MinRevision, seq)
	}
	s.ServiceHistory.MinRevisions = nil
}

// resetServiceHistory begins the services' history at a version.
func (s *State) resetServiceHistory(seq int64) {
	s.ServiceHistory = &ServiceHistory{MinRevision: seq}
	for name, svc := range s.serviceIndexes {
		clear(svc.departed)
		s.dropIndexIfEmpty(name)
	}
}

// checkServiceHistory reports the first thing in a snapshot's part on services that can't be.
func (s *State) checkServiceHistory() error {
	if len(s.ServiceHistory.Departures) > MaxDepartures || len(s.ServiceHistory.MinRevisions) > MaxServiceMinRevisions || s.ServiceHistory.MinRevision > s.Seq {
		return fmt.Errorf("scopes: beyond their bounds")
	}
	for name, seq := range s.ServiceHistory.MinRevisions {
		if seq > s.Seq || name != "" && !endpoints.IsToken(name, endpoints.MaxLabel) {
			return fmt.Errorf("scopes: service %q has no such oldest version", name)
		}
	}
	last := int64(-1)
	for _, m := range s.ServiceHistory.Departures {
		if m.Seq < last || m.Seq > s.Seq || !endpoints.IsToken(m.Name, endpoints.MaxName) ||
			m.Service != "" && !endpoints.IsToken(m.Service, endpoints.MaxLabel) {
			return fmt.Errorf("scopes: the moves are out of order at version %d", m.Seq)
		}
		last = m.Seq
	}
	return nil
}

// rebuildIndexes derives from a state that was read what is not encoded with it.
func (s *State) rebuildIndexes() {
	s.serviceIndexes, s.listedCount, s.quarantinedCount = map[string]*serviceIndex{}, 0, 0
	for name, e := range s.Entries {
		svc := s.serviceIndexFor(e.Endpoint.Service)
		svc.entries[name] = e
		svc.changes = append(svc.changes, entryChange{e.Version, name})
		s.countListed(svc, e)
		if e.Quarantined {
			s.quarantinedCount++
		}
	}
	for _, m := range s.ServiceHistory.Departures {
		svc := s.serviceIndexFor(m.Service)
		if svc.entries[m.Name] == nil {
			svc.departed[m.Name] = m.Seq
			svc.changes = append(svc.changes, entryChange{m.Seq, m.Name})
		}
	}
	for name, svc := range s.serviceIndexes {
		sort.Slice(svc.changes, func(i, j int) bool {
			a, b := svc.changes[i], svc.changes[j]
			return a.Seq < b.Seq || a.Seq == b.Seq && a.Name < b.Name
		})
		if last := len(svc.changes) - 1; last >= 0 {
			svc.lastRevision = svc.changes[last].Seq
		}
		s.dropIndexIfEmpty(name)
	}
}

// ListServices is what readers of services get: the whole list of these services, or what
// changed in them after a version. It costs by the services' entries and not by the fleet's.
func (s *State) ListServices(services []string, since int64, whole bool) endpoints.List {
	l := endpoints.List{Seq: s.Seq, Endpoints: []endpoints.Endpoint{}}
	if !whole && s.HasChangesSince(services, since) {
		listed := 0
		for _, name := range services {
			l.Endpoints = append(l.Endpoints, s.ServiceChanges(name, since)...)
			listed += s.ServiceSize(name)
		}
		if len(l.Endpoints) <= listed+MaxServiceChanges {
			return l
		}
		l.Endpoints = l.Endpoints[:0]
	}
	l.Full = true
	for _, name := range services {
		l.Endpoints = append(l.Endpoints, s.ServiceEndpoints(name)...)
	}
	return l
}

// HasChangesSince tells whether the changes of these services after a version are all known.
func (s *State) HasChangesSince(services []string, since int64) bool {
	if since > s.Seq || since < s.ServiceHistory.MinRevision {
		return false
	}
	for _, name := range services {
		if since < s.ServiceHistory.MinRevisions[name] {
			return false
		}
	}
	return true
}

// ServiceEndpoints is the listed servers of a service, by name.
func (s *State) ServiceEndpoints(name string) []endpoints.Endpoint {
	svc := s.serviceIndexes[name]
	if svc == nil {
		return nil
	}
	hosts := make([]endpoints.Endpoint, 0, svc.listedCount)
	for _, e := range svc.entries {
		if e.isListed() {
			hosts = append(hosts, e.ListedWithService())
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// ServiceChanges is the servers of a service that changed after a version, each once; those
// that ended or went to another service are gone.
func (s *State) ServiceChanges(name string, since int64) (hosts []endpoints.Endpoint) {
	svc := s.serviceIndexes[name]
	if svc == nil {
		return nil
	}
	from := sort.Search(len(svc.changes), func(i int) bool { return svc.changes[i].Seq > since })
	for _, c := range svc.changes[from:] {
		if !svc.isCurrent(c) {
			continue
		}
		if e := svc.entries[c.Name]; e != nil {
			hosts = append(hosts, e.ListedWithService())
		} else {
			hosts = append(hosts, endpoints.Endpoint{Name: c.Name, Health: endpoints.Removed, Service: name})
		}
	}
	return hosts
}

// ServiceSize is how many servers of a service are listed.
func (s *State) ServiceSize(name string) int {
	if svc := s.serviceIndexes[name]; svc != nil {
		return svc.listedCount
	}
	return 0
}

// ServiceVersion is the version of a service's last change; 0: it has no entries.
func (s *State) ServiceVersion(name string) int64 {
	if svc := s.serviceIndexes[name]; svc != nil {
		return svc.lastRevision
	}
	return 0
}

// ServiceSizes is the number of listed servers of each service.
func (s *State) ServiceSizes() map[string]int {
	sizes := make(map[string]int, len(s.serviceIndexes))
	for name, svc := range s.serviceIndexes {
		sizes[name] = svc.listedCount
	}
	return sizes
}

// ListedCount is how many servers are listed.
func (s *State) ListedCount() int { return s.listedCount }

// ChangedServices is the services that changed after a version, in order; not ok where that
// is not known, so that any may have. It costs by the changes.
func (s *State) ChangedServices(since int64) (names []string, ok bool) {
	if since > s.Seq || since < s.oldestRevision() || since < s.ServiceHistory.MinRevision {
		return nil, false
	}
	changed := map[string]bool{}
	from := sort.Search(len(s.History), func(i int) bool { return s.History[i].Seq > since })
	for _, c := range s.History[from:] {
		changed[s.Entries[c.Name].Endpoint.Service] = true
	}
	moves := s.ServiceHistory.Departures
	from = sort.Search(len(moves), func(i int) bool { return moves[i].Seq > since })
	for _, m := range moves[from:] {
		changed[m.Service] = true
	}
	for name := range changed {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, true
}
