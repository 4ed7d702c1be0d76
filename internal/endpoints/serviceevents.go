package endpoints

// ServiceEventKind is a kind of ServiceEvent.
type ServiceEventKind uint8

// Events of a service that a reader subscribes to.
const (
	ServiceUnknown  ServiceEventKind = iota // no list has ever named an endpoint of the service
	ServiceEmptied                          // it had endpoints, and the latest list names none
	ServiceRestored                         // it has endpoints again, or for the first time
)

// String returns the text used in log lines.
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

// ServiceEvent reports a change of a service that is not apparent from the entries of its endpoints.
type ServiceEvent struct {
	Kind     ServiceEventKind
	Service  string
	Retained int // number of endpoints that stay in use although the list names none
	// Scoped means that the list was limited to the reader's services. An unscoped list may omit
	// which service an endpoint belongs to, so the event may be wrong.
	Scoped bool
}

// serviceStatus is the status of a service according to the lists applied so far.
type serviceStatus uint8

const (
	statusUnseen  serviceStatus = iota // no list was applied since the reader subscribed to the service
	statusPresent                      // the latest list names endpoints of the service
	statusUnknown                      // no list has named an endpoint
	statusEmptied                      // an earlier list named endpoints and the latest one names none
)

// updateStatuses updates the status of the services after a list was applied, and returns an event
// for each service whose status has changed, in the order of services. A service that has endpoints
// in the first list of its subscription causes no event.
func (t *ServiceTable) updateStatuses(services []string, scoped bool) []ServiceEvent {
	var events []ServiceEvent
	for _, service := range services {
		state := t.services[service]
		if state == nil {
			continue
		}
		previous := state.status
		state.status = state.nextStatus()
		if state.status == previous {
			continue
		}
		event := ServiceEvent{Service: service, Scoped: scoped}
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

// nextStatus returns the status of the service after a list was applied.
func (s *serviceState) nextStatus() serviceStatus {
	switch {
	case len(s.endpointNames) > 0 && !s.retained:
		return statusPresent
	case s.status == statusUnknown || s.status == statusUnseen && len(s.endpointNames) == 0:
		return statusUnknown
	}
	return statusEmptied
}
