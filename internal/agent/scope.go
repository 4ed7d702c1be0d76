package agent

import (
	"slices"

	"knotrouter/internal/endpoints"
)

// scope holds the services that the agent subscribes to. The zero value is no scope: every listed
// server is used.
type scope struct {
	services     []string
	subscription uint64                  // number of the current subscription
	table        *endpoints.ServiceTable // nil: no scope
}

// update replaces the services; nil removes the scope. subscription is the number of the client's
// subscription.
func (s *scope) update(services []string, subscription uint64) {
	s.services, s.subscription = services, subscription
	switch {
	case services == nil:
		s.table = nil
	case s.table == nil:
		s.table = endpoints.NewServiceTable(services)
	default:
		s.table.Subscribe(services)
	}
}

// equals reports whether the scope has these services, in any order.
func (s *scope) equals(services []string) bool {
	if (s.services == nil) != (services == nil) {
		return false
	}
	return slices.Equal(slices.Sorted(slices.Values(s.services)), slices.Sorted(slices.Values(services)))
}

// filterCached returns the servers of a cached list that belong to the services.
func (s *scope) filterCached(list endpoints.List) endpoints.List {
	if s.table == nil {
		return list
	}
	return s.table.Seed(list)
}

// filter returns the part of a list that is about the services, and the changes of the services
// themselves.
func (s *scope) filter(list endpoints.List) (endpoints.List, []endpoints.ServiceEvent) {
	if s.table == nil {
		return list, nil
	}
	return s.table.Apply(list)
}

// needsFullList reports whether a full list has to be requested after the given list was skipped as
// outdated: the skipped list was limited to the agent's services, and the table is not based on such a
// list, so it may lack servers.
func (s *scope) needsFullList(list *endpoints.List) bool {
	return s.table != nil && list.Subscription == s.subscription && list.Scoped && !s.table.Synced()
}
