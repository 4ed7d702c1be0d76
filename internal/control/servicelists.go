package control

import (
	"sync"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// maxCachedBytes bounds the encoded entries that are kept of whole services.
const maxCachedBytes = 32 << 20

// scopedEntryBytes is about what an entry takes of a list of services.
const scopedEntryBytes = 140

// serviceLists is the whole lists of services, each encoded once a version of the service.
type serviceLists struct {
	fsm *fsm

	mu        sync.Mutex
	state     *catalog.State // that the lists are of
	byService map[string]encodedService
	bytes     int
	encoded   int64
}

// encodedService is a service's listed entries, as they stand between the brackets of a list.
type encodedService struct {
	version int64 // of the service's last change
	hosts   []byte
}

func newServiceLists(f *fsm) *serviceLists {
	return &serviceLists{fsm: f, byService: map[string]encodedService{}}
}

// list is the whole list of some services, and its version.
func (c *serviceLists) list(services []string) ([]byte, int64) {
	seq, hosts := c.collect(services)
	return envelope(seq, true, hosts), seq
}

// collect is the encoded entries of some services, all of one version of the state. Those
// that changed are encoded under the lock, so that many calls at once encode them once.
func (c *serviceLists) collect(services []string) (seq int64, hosts [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	type outdated struct {
		name    string
		version int64
		hosts   []endpoints.Endpoint
	}
	var missing []outdated
	c.fsm.read(func(s *catalog.State) {
		seq = s.Seq
		if c.state != s {
			c.drop()
			c.state = s
		}
		for _, name := range services {
			version := s.ServiceVersion(name)
			if kept, is := c.byService[name]; is && kept.version == version {
				hosts = append(hosts, kept.hosts)
			} else if s.ServiceSize(name) > 0 {
				missing = append(missing, outdated{name, version, s.ServiceEndpoints(name)})
			}
		}
	})
	for _, m := range missing {
		text := encodeHosts(m.hosts)
		c.encoded++
		c.keep(m.name, encodedService{m.version, text})
		hosts = append(hosts, text)
	}
	return seq, hosts
}

// keep takes a service's entries in, and drops others, whichever they are, beyond the bound.
func (c *serviceLists) keep(name string, e encodedService) {
	c.bytes += len(e.hosts) - len(c.byService[name].hosts)
	c.byService[name] = e
	for other, kept := range c.byService {
		if c.bytes <= maxCachedBytes {
			return
		}
		c.bytes -= len(kept.hosts)
		delete(c.byService, other)
	}
}

// drop empties the cache.
func (c *serviceLists) drop() {
	clear(c.byService)
	c.bytes = 0
}
