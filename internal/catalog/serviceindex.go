package catalog

import (
	"slices"
	"sort"
)

// minChangesToCompact prevents small services from compacting their changes at each change.
const minChangesToCompact = 64

// serviceIndex is the index of the entries and changes of one service. It is derived from the
// entries and the departures, and rebuilt when a snapshot is decoded.
type serviceIndex struct {
	entries  map[string]*Entry // including removed ones
	departed map[string]int64  // revision at which a server left for another service, by server
	// changes is sorted by revision. It may include outdated changes, whose server has changed again.
	changes      []entryChange
	listedCount  int
	lastRevision int64 // the revision of the last change
}

// serviceIndexFor returns the index of a service, and creates it if there is none.
func (s *State) serviceIndexFor(service string) *serviceIndex {
	index := s.serviceIndexes[service]
	if index == nil {
		index = &serviceIndex{entries: map[string]*Entry{}, departed: map[string]int64{}}
		s.serviceIndexes[service] = index
	}
	return index
}

// recordChange appends a change, and drops the outdated changes when they are the majority.
func (index *serviceIndex) recordChange(change entryChange) {
	index.changes = append(index.changes, change)
	index.lastRevision = max(index.lastRevision, change.Seq)
	if len(index.changes) > 2*(len(index.entries)+len(index.departed))+minChangesToCompact {
		index.changes = slices.DeleteFunc(index.changes, func(c entryChange) bool { return !index.isCurrent(c) })
	}
}

// isCurrent reports whether a change is the last one of its server in this service.
func (index *serviceIndex) isCurrent(change entryChange) bool {
	if entry := index.entries[change.Name]; entry != nil {
		return entry.Version == change.Seq
	}
	departedAt, departed := index.departed[change.Name]
	return departed && departedAt == change.Seq
}

// indexEntry updates the index of an entry's service after a change of the entry.
func (s *State) indexEntry(entry *Entry) {
	name := entry.Endpoint.Name
	index := s.serviceIndexFor(entry.Endpoint.Service)
	index.entries[name] = entry
	delete(index.departed, name)
	index.recordChange(entryChange{Seq: entry.Version, Name: name})
	s.countListed(index, entry, entry.isListed())
}

// removeFromService removes an entry from the index of its service.
func (s *State) removeFromService(entry *Entry) {
	index := s.serviceIndexFor(entry.Endpoint.Service)
	delete(index.entries, entry.Endpoint.Name)
	s.countListed(index, entry, false)
	s.dropIndexIfEmpty(entry.Endpoint.Service)
}

// countListed records whether an entry is listed, and updates the counts of listed entries in the
// service's index and in the state.
func (s *State) countListed(index *serviceIndex, entry *Entry, listed bool) {
	switch {
	case listed && !entry.countedAsListed:
		index.listedCount++
		s.listedCount++
	case !listed && entry.countedAsListed:
		index.listedCount--
		s.listedCount--
	}
	entry.countedAsListed = listed
}

// dropIndexIfEmpty drops the index of a service without entries and departures.
func (s *State) dropIndexIfEmpty(service string) {
	if index := s.serviceIndexes[service]; index != nil && len(index.entries)+len(index.departed) == 0 {
		delete(s.serviceIndexes, service)
	}
}

// rebuildIndexes derives the indexes and counts that are not part of a snapshot.
func (s *State) rebuildIndexes() {
	s.serviceIndexes, s.listedCount, s.quarantinedCount = map[string]*serviceIndex{}, 0, 0
	for name, entry := range s.Entries {
		index := s.serviceIndexFor(entry.Endpoint.Service)
		index.entries[name] = entry
		index.changes = append(index.changes, entryChange{Seq: entry.Version, Name: name})
		s.countListed(index, entry, entry.isListed())
		if entry.Quarantined {
			s.quarantinedCount++
		}
	}
	for _, departure := range s.ServiceHistory.Departures {
		index := s.serviceIndexFor(departure.Service)
		if index.entries[departure.Name] == nil {
			index.departed[departure.Name] = departure.Seq
			index.changes = append(index.changes, entryChange{Seq: departure.Seq, Name: departure.Name})
		}
	}
	for service, index := range s.serviceIndexes {
		index.sortChanges()
		s.dropIndexIfEmpty(service)
	}
}

// sortChanges sorts the changes by revision and sets lastRevision.
func (index *serviceIndex) sortChanges() {
	sort.Slice(index.changes, func(i, j int) bool {
		a, b := index.changes[i], index.changes[j]
		return a.Seq < b.Seq || a.Seq == b.Seq && a.Name < b.Name
	})
	if last := len(index.changes) - 1; last >= 0 {
		index.lastRevision = index.changes[last].Seq
	}
}
