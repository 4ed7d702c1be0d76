package agent

import (
	"slices"

	"knotrouter/internal/endpoints"
)

// scope is the services whose servers the agent asks for. Its zero value is no scope: all
// that discovery lists is taken as it comes.
type scope struct {
	services     []string
	subscription uint64                  // of the subscription
	table        *endpoints.ServiceTable // nil: no scope
}

// update changes the services, nil for no scope; number is that of the client's subscription.
func (s *scope) update(services []string, number uint64) {
	s.services, s.subscription = services, number
	switch {
	case services == nil:
		s.table = nil
	case s.table == nil:
		s.table = endpoints.NewServiceTable(services)
	default:
		s.table.Subscribe(services)
	}
}

// equals tells whether these are the services.
func (s *scope) equals(services []string) bool {
	if (s.services == nil) != (services == nil) {
		return false
	}
	return slices.Equal(slices.Sorted(slices.Values(s.services)), slices.Sorted(slices.Values(services)))
}

// seed is what of a list from before belongs to the services.
func (s *scope) seed(list endpoints.List) endpoints.List {
	if s.table == nil {
		return list
	}
	return s.table.Seed(list)
}

// filter is what a list says of the services.
func (s *scope) filter(list endpoints.List) (endpoints.List, []endpoints.ServiceEvent) {
	if s.table == nil {
		return list, nil
	}
	return s.table.Apply(list)
}

// needsFullList tells whether a list that is left out, as it is older than another one, may have what
// that other one could not tell.
func (s *scope) needsFullList(list *endpoints.List) bool {
	return s.table != nil && list.Subscription == s.subscription && list.Scoped && !s.table.Synced()
}
