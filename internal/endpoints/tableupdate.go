package endpoints

import (
	"maps"
	"slices"
)

// applyChanges applies a list of changes to the table.
func (t *ServiceTable) applyChanges(list *List) (List, []ServiceEvent) {
	update := tableUpdate{table: t, previous: map[string]Endpoint{}, touchedServices: map[string]bool{}}
	for i := range list.Endpoints {
		update.apply(list.Endpoints[i], list.Scoped)
	}
	t.synced = t.synced && list.Scoped
	services := slices.Sorted(maps.Keys(update.touchedServices))
	return List{Seq: list.Seq, Endpoints: update.changedEndpoints()}, t.updateStatuses(services, list.Scoped)
}

// tableUpdate applies one list of changes to a table and collects what has changed.
type tableUpdate struct {
	table           *ServiceTable
	touchedNames    []string            // names of endpoints, in the order in which they were first touched
	previous        map[string]Endpoint // the touched endpoints before the update; zero if the table had none
	touchedServices map[string]bool
}

// apply applies one entry.
func (u *tableUpdate) apply(endpoint Endpoint, scoped bool) {
	current, exists := u.table.endpoints[endpoint.Name]
	if endpoint.Health == Removed {
		// When an endpoint changes its service, the list has a removal from the previous service.
		// The removal may follow the entry for the new service, and must not undo that one.
		if exists && (endpoint.Service == current.Service || !scoped && endpoint.Service == "") {
			u.remove(endpoint.Name)
		}
		return
	}
	service, subscribed := u.table.serviceOf(&endpoint, scoped)
	if !subscribed {
		if exists && !scoped { // the endpoint moved to a service that the table does not subscribe to
			u.remove(endpoint.Name)
		}
		return
	}
	u.removeRetained(service)
	endpoint.Service = service
	u.remove(endpoint.Name)
	u.touchedServices[service] = true
	u.table.put(endpoint)
}

// removeRetained removes the retained endpoints of a service, because a list names an endpoint of the
// service again.
func (u *tableUpdate) removeRetained(service string) {
	state := u.table.services[service]
	if !state.retained {
		return
	}
	state.retained = false
	for _, name := range slices.Sorted(maps.Keys(state.endpointNames)) {
		u.remove(name)
	}
}

// remove removes an endpoint from the table, if it exists, and records that it was touched.
func (u *tableUpdate) remove(name string) {
	current, exists := u.table.endpoints[name]
	if _, touched := u.previous[name]; !touched {
		u.touchedNames = append(u.touchedNames, name)
		u.previous[name] = current
	}
	if !exists {
		return
	}
	u.touchedServices[current.Service] = true
	delete(u.table.endpoints, name)
	if state := u.table.services[current.Service]; state != nil {
		delete(state.endpointNames, name)
	}
}

// changedEndpoints returns one entry for each touched endpoint: its entry in the table, or its removal.
func (u *tableUpdate) changedEndpoints() []Endpoint {
	changed := make([]Endpoint, 0, len(u.touchedNames))
	for _, name := range u.touchedNames {
		endpoint, exists := u.table.endpoints[name]
		if !exists {
			if endpoint = u.previous[name]; endpoint.Name == "" {
				continue // added and removed by the same list
			}
			endpoint.Health = Removed
		}
		changed = append(changed, endpoint)
	}
	return changed
}
