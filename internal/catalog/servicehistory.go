package catalog

const (
	// MaxDepartures is the maximum number of departures that are retained, over all services.
	MaxDepartures = 8192
	// MaxServiceMinRevisions is the maximum number of services with a minimum revision of their own.
	// If there are more, the highest of these revisions becomes the minimum for all services.
	MaxServiceMinRevisions = 4096
)

// ServiceHistory holds the data that, besides the entries, determines the changes of a service. The
// changes after a revision are the service's entries with a later version, and the servers that left
// the service for another one after that revision.
type ServiceHistory struct {
	// MinRevision is the oldest revision after which all changes of a service are known, unless
	// MinRevisions has a later one for the service.
	MinRevision int64 `json:"floor,omitempty"`
	// MinRevisions holds the minimum revisions of services from whose history a removal or a
	// departure was dropped.
	MinRevisions map[string]int64 `json:"floors,omitempty"`
	Departures   []Departure      `json:"moved,omitempty"` // sorted by revision
}

// Departure is the change of a server from one service to another.
type Departure struct {
	Seq     int64  `json:"seq"` // the revision of the change
	Name    string `json:"name"`
	Service string `json:"service,omitempty"` // the service that the server left
}

// recordDeparture records a departure for the readers of the service that the server left.
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

// dropDeparture drops a departure from its service's index. Readers of the service with an older
// revision then get the full list.
func (s *State) dropDeparture(departure Departure) {
	index := s.serviceIndexes[departure.Service]
	if index == nil || index.departed[departure.Name] != departure.Seq {
		return // the server has returned to the service, or has left it again
	}
	delete(index.departed, departure.Name)
	s.raiseMinRevision(departure.Service, departure.Seq)
	s.dropIndexIfEmpty(departure.Service)
}

// raiseMinRevision records that only the changes of a service after a revision are known.
func (s *State) raiseMinRevision(service string, revision int64) {
	if s.ServiceHistory.MinRevisions == nil {
		s.ServiceHistory.MinRevisions = map[string]int64{}
	}
	s.ServiceHistory.MinRevisions[service] = max(s.ServiceHistory.MinRevisions[service], revision)
}

// limitMinRevisions merges the minimum revisions of single services into the common one if there
// are more than MaxServiceMinRevisions.
func (s *State) limitMinRevisions() {
	if len(s.ServiceHistory.MinRevisions) <= MaxServiceMinRevisions {
		return
	}
	for _, revision := range s.ServiceHistory.MinRevisions {
		s.ServiceHistory.MinRevision = max(s.ServiceHistory.MinRevision, revision)
	}
	s.ServiceHistory.MinRevisions = nil
}

// resetServiceHistory restarts the history of all services at a revision.
func (s *State) resetServiceHistory(revision int64) {
	s.ServiceHistory = &ServiceHistory{MinRevision: revision}
	for name, index := range s.serviceIndexes {
		clear(index.departed)
		s.dropIndexIfEmpty(name)
	}
}
