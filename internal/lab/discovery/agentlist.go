package discovery

import "knotrouter/internal/endpoints"

// List returns the endpoint list for an agent: the changes since the revision, or the full list if full is
// set or the history does not cover those changes.
func (s *Service) List(agent int, since int64, full bool) endpoints.List {
	list, _ := s.listAndChanged(agent, since, full)
	return list
}

// listAndChanged returns the same list as List, and a channel that is closed at the next change.
func (s *Service) listAndChanged(agent int, since int64, full bool) (endpoints.List, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := endpoints.List{Seq: s.list.revision, Full: full || s.list.needsFull(since), Endpoints: []endpoints.Endpoint{}}
	var servers []int
	if list.Full {
		servers = s.list.listed()
	} else {
		servers = s.list.changedSince(since)
	}
	for _, server := range servers {
		list.Endpoints = append(list.Endpoints, s.list.endpoint(server, s.env.DialAddr(agent, server)))
	}
	return list, s.changed
}

// RecordInitialList records with the checker that an agent starts with the list in its configuration.
func (s *Service) RecordInitialList(agent int, list *endpoints.List) { s.recordNotified(agent, list) }

// recordNotified records with the checker that the list is sent to an agent.
func (s *Service) recordNotified(agent int, list *endpoints.List) {
	s.EntriesSent.Add(int64(len(list.Endpoints)))
	listed := make(map[int]bool, len(list.Endpoints))
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		server, ok := s.list.servers[endpoint.Name]
		if !ok {
			continue
		}
		listed[server] = true
		s.env.Checker.RecordNotified(agent, server, endpoint.Health, int64(endpoint.StartedMs))
	}
	if !list.Full {
		return
	}
	for _, server := range s.list.servers { // a full list removes the servers that are missing from it
		if !listed[server] {
			s.env.Checker.RecordNotified(agent, server, endpoints.Removed, 0)
		}
	}
}
