package control

import (
	"sync"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// maxCachedBytes bounds the total size of the cached entries of all services.
const maxCachedBytes = 32 << 20

// serviceLists caches the full lists of services, each encoded once per version of the service.
type serviceLists struct {
	fsm *fsm

	mu           sync.Mutex     // guards the fields below
	state        *catalog.State // the state from which the cached lists were encoded
	byService    map[string]encodedService
	cachedBytes  int
	encodedCount int64 // for the metrics
}

// encodedService holds the listed entries of a service, as encoded by encodeEntries.
type encodedService struct {
	version int64 // list version of the service's last change
	entries []byte
}

func newServiceLists(f *fsm) *serviceLists {
	return &serviceLists{fsm: f, byService: map[string]encodedService{}}
}

// encodedList returns the full list of the given services as a line, and its version.
func (l *serviceLists) encodedList(services []string) ([]byte, int64) {
	revision, entries := l.collect(services)
	return assembleList(revision, true, entries), revision
}

// outdatedService is a service whose entries are not cached or are cached for an earlier version.
type outdatedService struct {
	name    string
	version int64
	entries []endpoints.Endpoint
}

// collect returns the encoded entries of the given services, all as of one version of the list.
// Services that changed are encoded under the lock, so that concurrent calls encode them only once.
func (l *serviceLists) collect(services []string) (revision int64, entries [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var outdated []outdatedService
	l.fsm.read(func(state *catalog.State) {
		revision = state.Seq
		if l.state != state {
			l.reset()
			l.state = state
		}
		for _, name := range services {
			version := state.ServiceVersion(name)
			if cached, ok := l.byService[name]; ok && cached.version == version {
				entries = append(entries, cached.entries)
			} else if state.ServiceSize(name) > 0 {
				outdated = append(outdated, outdatedService{name, version, state.ServiceEndpoints(name)})
			}
		}
	})
	for _, service := range outdated {
		encoded := encodeEntries(service.entries)
		l.encodedCount++
		l.add(service.name, encodedService{service.version, encoded})
		entries = append(entries, encoded)
	}
	return revision, entries
}

// add caches the entries of a service. While the cache exceeds maxCachedBytes, it evicts services in
// map iteration order.
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
