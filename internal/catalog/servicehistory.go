package catalog

const (
	// MaxDepartures bounds the departures that are kept, over all services.
	MaxDepartures = 8192
	// MaxServiceMinRevisions bounds the services that have a minimum revision of their own.
	// Beyond it, all services take the highest of them.
	MaxServiceMinRevisions = 4096
)

// ServiceHistory is what readers of services need besides the entries. The changes of a
// service after a revision are its entries with a later version, and the servers that have
// left it for another service since.
type ServiceHistory struct {
	// MinRevision is the revision after which the changes of every service are known, unless the
	// service has a later one in MinRevisions.
	MinRevision int64 `json:"floor,omitempty"`
	// MinRevisions has the services of which a removal or a departure was dropped.
	MinRevisions map[string]int64 `json:"floors,omitempty"`
	Departures   []Departure      `json:"moved,omitempty"` // by revision
}

// Departure is the change of a server from one service to another.
type Departure struct {
	Seq     int64  `json:"seq"` // the revision of the change
	Name    string `json:"name"`
	Service string `json:"service,omitempty"` // the one that the server left
}

// recordDeparture keeps a departure for the readers of the service that the server left.
func (s *State) recordDeparture(departure Departure) {
	s.ServiceHistory.Departures = append(s.ServiceHistory.Departures, departure)
	index := s.serviceIndexFor(departure.Service)
	index.departed[departure.Name] = departure.Seq
	index.recordChange(entryChange{Seq: departure.Seq, Name: departure.Name})
	for len(s.ServiceHistory.Departures) > MaxDepartures {
		oldest := s.ServiceHistory.Departures[0]
		s.ServiceHistory.Departures = s.ServiceHistory.Departures[1:]
		s.dropDeparture(oldest)
	}
}

// dropDeparture drops a departure from its service's index, so that the service's readers
// from before it get the full list.
func (s *State) dropDeparture(departure Departure) {
	index := s.serviceIndexes[departure.Service]
	if index == nil || index.departed[departure.Name] != departure.Seq {
		return // the server is back, or has left the service again since
	}
	delete(index.departed, departure.Name)
	s.raiseMinRevision(departure.Service, departure.Seq)
	s.dropIndexIfEmpty(departure.Service)
}

// raiseMinRevision records that the changes of a service are known only after a revision.
func (s *State) raiseMinRevision(service string, revision int64) {
	if s.ServiceHistory.MinRevisions == nil {
		s.ServiceHistory.MinRevisions = map[string]int64{}
	}
	s.ServiceHistory.MinRevisions[service] = max(s.ServiceHistory.MinRevisions[service], revision)
}

// limitMinRevisions merges the services' minimum revisions into the common one if there are
// too many of them.
func (s *State) limitMinRevisions() {
	if len(s.ServiceHistory.MinRevisions) <= MaxServiceMinRevisions {
		return
	}
	for _, revision := range s.ServiceHistory.MinRevisions {
		s.ServiceHistory.MinRevision = max(s.ServiceHistory.MinRevision, revision)
	}
	s.ServiceHistory.MinRevisions = nil
}

// resetServiceHistory begins the history of all services at a revision.
func (s *State) resetServiceHistory(revision int64) {
	s.ServiceHistory = &ServiceHistory{MinRevision: revision}
	for name, index := range s.serviceIndexes {
		clear(index.departed)
		s.dropIndexIfEmpty(name)
	}
}
