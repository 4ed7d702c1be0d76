package catalog

import (
	"slices"
	"sort"

	"knotrouter/internal/endpoints"
)

// MaxHistory bounds the changes that are kept for readers of the full list; a reader with an
// earlier revision gets the full list. A region that is lost and comes back is 13,000 changes.
const MaxHistory = 16_384

// entryChange is the change of one entry, which made the revision Seq.
type entryChange struct {
	Seq  int64  `json:"seq"`
	Name string `json:"name"`
}

// EntryNames returns the names of all entries in order, including recently removed ones.
func (s *State) EntryNames() []string { return sortedKeys(s.Entries) }

// FullList returns all servers that are listed, by name.
func (s *State) FullList() endpoints.List {
	list := endpoints.List{Seq: s.Seq, Full: true, Endpoints: []endpoints.Endpoint{}}
	for _, name := range s.EntryNames() {
		if listed := s.Entries[name].Listed(); listed.Health != endpoints.Removed {
			list.Endpoints = append(list.Endpoints, listed)
		}
	}
	return list
}

// ListSince returns the entries that changed after a revision, each once; those that were removed
// have the health Removed. It returns the full list if the changes after the revision are not
// known any more, or if this state has not reached the revision.
func (s *State) ListSince(since int64) endpoints.List {
	if since > s.Seq || since < s.oldestRevision() {
		return s.FullList()
	}
	list := endpoints.List{Seq: s.Seq, Endpoints: []endpoints.Endpoint{}}
	included := map[string]bool{}
	for _, change := range changesAfter(s.History, since) {
		if !included[change.Name] {
			included[change.Name] = true
			list.Endpoints = append(list.Endpoints, s.Entries[change.Name].Listed())
		}
	}
	return list
}

// ListedCount returns how many servers are listed.
func (s *State) ListedCount() int { return s.listedCount }

// oldestRevision returns the oldest revision after which all changes are known.
func (s *State) oldestRevision() int64 {
	if len(s.History) == 0 {
		return s.Seq
	}
	return s.History[0].Seq - 1
}

// recordChange gives the state its next revision, for a change of the entry.
func (s *State) recordChange(entry *Entry) {
	s.Seq++
	entry.Version = s.Seq
	if excess := len(s.History) - MaxHistory + 1; excess > 0 {
		s.History = s.History[excess:]
	}
	s.History = append(s.History, entryChange{Seq: s.Seq, Name: entry.Endpoint.Name})
	s.indexEntry(entry)
}

// truncateHistory drops the history up to the last change of an entry that was deleted: a
// reader with an earlier revision can't be sent that removal, and has to get the full list.
func (s *State) truncateHistory() {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.Entries[s.History[i].Name] == nil {
			s.History = slices.Clone(s.History[i+1:])
			return
		}
	}
}

// changesAfter returns the part of changes, which are in order, after a revision.
func changesAfter(changes []entryChange, revision int64) []entryChange {
	first := sort.Search(len(changes), func(i int) bool { return changes[i].Seq > revision })
	return changes[first:]
}
