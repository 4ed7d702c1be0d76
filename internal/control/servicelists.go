package control

import (
	"sync"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// maxCachedBytes bounds the encoded entries that are kept of whole services.
const maxCachedBytes = 32 << 20

// estimatedScopedEntryBytes is about what an entry takes of a list of services.
const estimatedScopedEntryBytes = 140

// serviceLists is the whole lists of services, each encoded once a version of the service.
type serviceLists struct {
	fsm *fsm

	mu           sync.Mutex
	state        *catalog.State // that the lists are of
	byService    map[string]encodedService
	cachedBytes  int
	encodedCount int64
}

// encodedService is a service's listed entries, as they stand between the brackets of a list.
type encodedService struct {
	version int64 // of the service's last change
	entries []byte
}

func newServiceLists(f *fsm) *serviceLists {
	return &serviceLists{fsm: f, byService: map[string]encodedService{}}
}

// encodedList is the whole encodedList of some services, and its version.
func (l *serviceLists) encodedList(services []string) ([]byte, int64) {
	revision, entries := l.collect(services)
	return assembleList(revision, true, entries), revision
}

// collect is the encoded entries of some services, all of one version of the state. Those
// that changed are encoded under the lock, so that many calls at once encode them once.
func (l *serviceLists) collect(services []string) (revision int64, entries [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	type outdated struct {
		name    string
		version int64
		hosts   []endpoints.Endpoint
	}
	var missing []outdated
	l.fsm.read(func(state *catalog.State) {
		revision = state.Seq
		if l.state != state {
			l.reset()
			l.state = state
		}
		for _, name := range services {
			version := state.ServiceVersion(name)
			if cached, is := l.byService[name]; is && cached.version == version {
				entries = append(entries, cached.entries)
			} else if state.ServiceSize(name) > 0 {
				missing = append(missing, outdated{name, version, state.ServiceEndpoints(name)})
			}
		}
	})
	for _, m := range missing {
		text := encodeEntries(m.hosts)
		l.encodedCount++
		l.add(m.name, encodedService{m.version, text})
		entries = append(entries, text)
	}
	return revision, entries
}

// add takes a service's entries in, and drops others, whichever they are, beyond the bound.
func (l *serviceLists) add(name string, e encodedService) {
	l.cachedBytes += len(e.entries) - len(l.byService[name].entries)
	l.byService[name] = e
	for other, cached := range l.byService {
		if l.cachedBytes <= maxCachedBytes {
			return
		}
		l.cachedBytes -= len(cached.entries)
		delete(l.byService, other)
	}
}

// reset empties the cache.
func (l *serviceLists) reset() {
	clear(l.byService)
	l.cachedBytes = 0
}
