package catalog

import (
	"maps"
	"slices"
	"sort"

	"knotrouter/internal/endpoints"
)

// MaxServiceChanges is the maximum number of entries by which a list of changes may exceed the full
// list of the same services. If the list of changes is longer, the reader gets the full list.
const MaxServiceChanges = 256

// FullServiceList returns the listed servers of the services, in the given order of services and
// then by name. The cost depends only on the size of these services.
func (s *State) FullServiceList(services []string) endpoints.List {
	list := endpoints.List{Seq: s.Seq, Full: true, Endpoints: []endpoints.Endpoint{}}
	for _, service := range services {
		list.Endpoints = append(list.Endpoints, s.ServiceEndpoints(service)...)
	}
	return list
}

// ServiceListSince returns the entries that changed in the services after a revision. It returns
// the full list of the services if the changes are not known, or if they exceed the full list by
// more than MaxServiceChanges. The cost depends only on the size of these services.
func (s *State) ServiceListSince(services []string, since int64) endpoints.List {
	if !s.KnowsChangesSince(services, since) {
		return s.FullServiceList(services)
	}
	list := endpoints.List{Seq: s.Seq, Endpoints: []endpoints.Endpoint{}}
	listed := 0
	for _, service := range services {
		list.Endpoints = append(list.Endpoints, s.ServiceChanges(service, since)...)
		listed += s.ServiceSize(service)
	}
	if len(list.Endpoints) <= listed+MaxServiceChanges {
		return list
	}
	return s.FullServiceList(services)
}

// KnowsChangesSince reports whether all changes of the services after a revision are known.
func (s *State) KnowsChangesSince(services []string, since int64) bool {
	if since > s.Seq || since < s.ServiceHistory.MinRevision {
		return false
	}
	for _, service := range services {
		if since < s.ServiceHistory.MinRevisions[service] {
			return false
		}
	}
	return true
}

// ServiceEndpoints returns the listed servers of a service, sorted by name, or nil if the service has
// neither entries nor retained departures.
func (s *State) ServiceEndpoints(service string) []endpoints.Endpoint {
	index := s.serviceIndexes[service]
	if index == nil {
		return nil
	}
	listed := make([]endpoints.Endpoint, 0, index.listedCount)
	for _, entry := range index.entries {
		if entry.isListed() {
			listed = append(listed, entry.ListedWithService())
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Name < listed[j].Name })
	return listed
}

// ServiceChanges returns the servers of a service that changed after the revision since, each
// once. Servers that were removed or left for another service have the health Removed.
func (s *State) ServiceChanges(service string, since int64) []endpoints.Endpoint {
	index := s.serviceIndexes[service]
	if index == nil {
		return nil
	}
	var changed []endpoints.Endpoint
	for _, change := range changesAfter(index.changes, since) {
		if !index.isCurrent(change) {
			continue
		}
		if entry := index.entries[change.Name]; entry != nil {
			changed = append(changed, entry.ListedWithService())
		} else {
			changed = append(changed, endpoints.Endpoint{Name: change.Name, Health: endpoints.Removed, Service: service})
		}
	}
	return changed
}

// ServiceSize returns the number of listed servers of a service.
func (s *State) ServiceSize(service string) int {
	if index := s.serviceIndexes[service]; index != nil {
		return index.listedCount
	}
	return 0
}

// ServiceVersion returns the revision of a service's last change, or 0 if the service has neither
// entries nor retained departures.
func (s *State) ServiceVersion(service string) int64 {
	if index := s.serviceIndexes[service]; index != nil {
		return index.lastRevision
	}
	return 0
}

// ServiceSizes returns the number of listed servers of each service.
func (s *State) ServiceSizes() map[string]int {
	sizes := make(map[string]int, len(s.serviceIndexes))
	for service, index := range s.serviceIndexes {
		sizes[service] = index.listedCount
	}
	return sizes
}

// ChangedServices returns the services that changed after a revision, sorted. It returns false if the
// changes after the revision are no longer known, in which case any service may have changed. The
// cost depends only on the number of changes.
func (s *State) ChangedServices(since int64) (services []string, known bool) {
	if since > s.Seq || since < s.oldestRevision() || since < s.ServiceHistory.MinRevision {
		return nil, false
	}
	changed := map[string]bool{}
	for _, change := range changesAfter(s.History, since) {
		changed[s.Entries[change.Name].Endpoint.Service] = true
	}
	departures := s.ServiceHistory.Departures
	first := sort.Search(len(departures), func(i int) bool { return departures[i].Seq > since })
	for _, departure := range departures[first:] {
		changed[departure.Service] = true
	}
	return slices.Sorted(maps.Keys(changed)), true
}
