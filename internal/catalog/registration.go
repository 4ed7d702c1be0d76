package catalog

import (
	"time"

	"knotrouter/internal/endpoints"
)

const (
	// MaxEntries is the maximum number of entries, including recently removed ones. It has room for
	// the 39,000 servers of the largest fleet, the replacement of all 6,500 servers of a region,
	// 9,100 replacements in a day, and a reserve of a sixth of these.
	MaxEntries = 64_000
	// removedEntryRetention is the minimum time for which a removed entry is retained. It allows late
	// requests of older instances to be rejected, and keeps the removals that count for damping.
	removedEntryRetention = 10 * time.Minute
)

// registerEndpoint registers a server instance. The instance of a name that started last keeps the
// name; an older one is rejected as Superseded.
func (s *State) registerEndpoint(endpoint *endpoints.Endpoint) Result {
	if endpoint == nil {
		return s.reject(Invalid, "no entry")
	}
	if err := endpoint.Validate(); err != nil {
		return s.reject(Invalid, "%s", err.Error())
	}
	if endpoint.Health == endpoints.Removed {
		return s.reject(Invalid, "health: a server that is gone doesn't register")
	}
	entry := s.Entries[endpoint.Name]
	if entry == nil {
		return s.addEntry(endpoint)
	}
	if entry.Endpoint.StartedMs > endpoint.StartedMs {
		return s.rejectSuperseded(entry)
	}
	s.updateEntry(entry, endpoint)
	result := s.done()
	if entry.DampedUntil > 0 {
		result.DampedFor = entry.DampedUntil - s.Clock
	}
	return result
}

// addEntry adds an entry for a new name. If the table is full, it first deletes old removed entries.
func (s *State) addEntry(endpoint *endpoints.Endpoint) Result {
	if len(s.Entries) >= MaxEntries {
		s.pruneRemovedEntries()
	}
	if len(s.Entries) >= MaxEntries {
		return s.reject(TooMany, "%d names, which is all there is room for", MaxEntries)
	}
	entry := &Entry{Endpoint: *endpoint}
	s.Entries[endpoint.Name] = entry
	s.recordChange(entry)
	return s.done()
}

// updateEntry replaces an entry's endpoint with one of the same or a newer instance. A server that
// registers again after a removal, or as a new instance, may be damped.
func (s *State) updateEntry(entry *Entry, endpoint *endpoints.Endpoint) {
	before := entry.Listed()
	previousService := entry.Endpoint.Service
	changesService := previousService != endpoint.Service
	if !entry.Removed && entry.Endpoint.StartedMs < endpoint.StartedMs {
		s.markRemoved(entry) // the previous instance ended without deregistering
	}
	wasRemoved := entry.Removed
	s.setQuarantined(entry, false)
	if changesService {
		s.removeFromService(entry)
	}
	entry.Endpoint, entry.Removed, entry.RemovedAt = *endpoint, false, 0
	if wasRemoved {
		entry.DampedUntil = s.dampingEnd(entry)
	}
	s.clearQuarantineIfEmpty()
	if entry.Listed() != before || wasRemoved && entry.DampedUntil == 0 || changesService {
		s.recordChange(entry)
	}
	if changesService {
		s.recordDeparture(Departure{Seq: s.Seq, Name: endpoint.Name, Service: previousService})
		s.limitMinRevisions()
	}
}

// applyToInstances applies a command to the instances that it refers to, and skips those that have
// been replaced or removed. The command is rejected only if it refers to a single instance that is
// skipped.
func (s *State) applyToInstances(c *Command) Result {
	applied := 0
	for _, ref := range c.Refs {
		entry := s.Entries[ref.Name]
		if !entry.isCurrentInstance(ref) {
			continue
		}
		applied++
		before := entry.Listed()
		s.applyToEntry(c, entry)
		if entry.Listed() != before {
			s.recordChange(entry)
		}
	}
	s.clearQuarantineIfEmpty()
	if applied == 0 && len(c.Refs) == 1 {
		return s.rejectInstance(c.Refs[0])
	}
	return s.done()
}

// applyToEntry applies a command to the current instance of an entry.
func (s *State) applyToEntry(c *Command, entry *Entry) {
	switch c.Kind {
	case Drain:
		entry.Endpoint.Health = endpoints.Draining
	case Deregister, ExpireRegistration:
		s.markRemoved(entry)
	case Quarantine:
		s.setQuarantined(entry, true)
		entry.QuarantinedByService = c.Reason == QuarantineByService
		if s.QuarantinedSince == 0 {
			s.QuarantinedSince = max(s.Clock, 1) // 0 means that no entry is quarantined
		}
	case Recover:
		s.setQuarantined(entry, false)
	case EndDamping:
		if entry.DampedUntil > 0 && s.Clock >= entry.DampedUntil {
			entry.DampedUntil = 0
		}
	}
}

// rejectInstance rejects a command that refers to an instance that has been replaced or removed.
func (s *State) rejectInstance(ref InstanceRef) Result {
	if entry := s.Entries[ref.Name]; entry != nil && entry.Endpoint.StartedMs > ref.StartedMs {
		return s.rejectSuperseded(entry)
	}
	return s.reject(Unknown, "no server %s that was born at %.0f", ref.Name, ref.StartedMs)
}

// rejectSuperseded rejects a command for an instance that is older than the entry's.
func (s *State) rejectSuperseded(entry *Entry) Result {
	return s.reject(Superseded, "%s was born later, at %.0f", entry.Endpoint.Name, entry.Endpoint.StartedMs)
}

// confirmRemovals removes all quarantined entries.
func (s *State) confirmRemovals() Result {
	for _, name := range s.EntryNames() {
		entry := s.Entries[name]
		if !entry.Quarantined {
			continue
		}
		before := entry.Listed()
		s.markRemoved(entry)
		if entry.Listed() != before {
			s.recordChange(entry)
		}
	}
	s.QuarantinedSince = 0
	return s.done()
}

// markRemoved marks an entry as removed. The caller must call recordChange if the list changes.
func (s *State) markRemoved(entry *Entry) {
	s.setQuarantined(entry, false)
	entry.Removed, entry.RemovedAt = true, s.Clock
	entry.Removals = append(entry.Removals, s.Clock)
	if excess := len(entry.Removals) - maxRemovals; excess > 0 {
		entry.Removals = entry.Removals[excess:]
	}
}

// setQuarantined sets whether an entry is quarantined and updates the count of quarantined entries.
func (s *State) setQuarantined(entry *Entry, quarantined bool) {
	switch {
	case quarantined && !entry.Quarantined:
		s.quarantinedCount++
	case !quarantined && entry.Quarantined:
		s.quarantinedCount--
	}
	entry.Quarantined = quarantined
	if !quarantined {
		entry.QuarantinedByService = false
	}
}

// clearQuarantineIfEmpty resets QuarantinedSince when no entry is quarantined any more.
func (s *State) clearQuarantineIfEmpty() {
	if s.quarantinedCount == 0 {
		s.QuarantinedSince = 0
	}
}

// pruneRemovedEntries deletes the entries that were removed more than removedEntryRetention ago,
// and truncates the history accordingly.
func (s *State) pruneRemovedEntries() {
	pruned := false
	for name, entry := range s.Entries {
		if entry.Removed && s.Clock-entry.RemovedAt > removedEntryRetention {
			delete(s.Entries, name)
			s.raiseMinRevision(entry.Endpoint.Service, entry.Version)
			s.removeFromService(entry)
			pruned = true
		}
	}
	if pruned {
		s.limitMinRevisions()
		s.truncateHistory()
	}
}
