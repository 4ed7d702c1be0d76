package catalog

import (
	"slices"
	"sort"

	"knotrouter/internal/endpoints"
)

// MaxHistory is the number of changes retained for readers that follow all servers; a reader with
// an older revision gets the full list. The loss and return of a region causes 13,000 changes.
const MaxHistory = 16_384

// entryChange records that revision Seq changed the entry Name.
type entryChange struct {
	Seq  int64  `json:"seq"`
	Name string `json:"name"`
}

// EntryNames returns the names of all entries, sorted, including recently removed ones.
func (s *State) EntryNames() []string { return sortedKeys(s.Entries) }

// FullList returns all listed servers, sorted by name.
func (s *State) FullList() endpoints.List {
	list := endpoints.List{Seq: s.Seq, Full: true, Endpoints: []endpoints.Endpoint{}}
	for _, name := range s.EntryNames() {
		if listed := s.Entries[name].Listed(); listed.Health != endpoints.Removed {
			list.Endpoints = append(list.Endpoints, listed)
		}
	}
	return list
}

// ListSince returns the entries that changed after a revision, each once; removed ones have the
// health Removed. It returns the full list if the changes after the revision are no longer
// retained, or if the revision is newer than the state's.
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

// ListedCount returns the number of listed servers.
func (s *State) ListedCount() int { return s.listedCount }

// oldestRevision returns the oldest revision after which all changes are retained.
func (s *State) oldestRevision() int64 {
	if len(s.History) == 0 {
		return s.Seq
	}
	return s.History[0].Seq - 1
}

// recordChange advances the list to its next revision, which is the entry's new version, and adds
// the change to the history and to the index of the entry's service.
func (s *State) recordChange(entry *Entry) {
	s.Seq++
	entry.Version = s.Seq
	if excess := len(s.History) - MaxHistory + 1; excess > 0 {
		s.History = s.History[excess:]
	}
	s.History = append(s.History, entryChange{Seq: s.Seq, Name: entry.Endpoint.Name})
	s.indexEntry(entry)
}

// truncateHistory drops the history up to the last change of a deleted entry. A reader with an
// older revision can no longer be sent the removal of that entry and must get the full list.
func (s *State) truncateHistory() {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.Entries[s.History[i].Name] == nil {
			s.History = slices.Clone(s.History[i+1:])
			return
		}
	}
}

// changesAfter returns the changes after a revision. changes must be sorted by revision.
func changesAfter(changes []entryChange, revision int64) []entryChange {
	first := sort.Search(len(changes), func(i int) bool { return changes[i].Seq > revision })
	return changes[first:]
}
