package discovery

import "knotrouter/internal/endpoints"

const (
	// unlisted is the health of a server that the service has not listed yet.
	unlisted = ""
	// maxHistory bounds the number of changes that are kept. A watch from an older revision gets the full
	// list.
	maxHistory = 1024
)

// Entry is a server in the list, without its address, which depends on the agent.
type Entry struct {
	Name        string
	Zone        string
	MachineType string
	Cell        int
	Weight      float64
	Health      string // health in the endpoint list; "": the server is not listed
	StartedMs   int64  // start time in Unix milliseconds; 0: started long ago
}

// serverList holds the servers and the latest changes of the list.
type serverList struct {
	revision int64
	entries  []Entry        // entries by server index
	servers  map[string]int // server indexes by name; immutable
	history  []change       // latest changes, oldest first
}

// change is the change of one server that created a revision of the list.
type change struct {
	revision int64
	server   int
}

func newServerList(entries []Entry) serverList {
	l := serverList{revision: firstRevision, entries: entries, servers: make(map[string]int, len(entries))}
	for server, entry := range entries {
		l.servers[entry.Name] = server
	}
	return l
}

// setHealth creates a new revision of the list in which the server has the health and start time. If the
// server already has them, it changes nothing and returns false.
func (l *serverList) setHealth(server int, health string, startedMs int64) bool {
	entry := &l.entries[server]
	if entry.Health == health && entry.StartedMs == startedMs {
		return false
	}
	entry.Health, entry.StartedMs = health, startedMs
	l.revision++
	if len(l.history) >= maxHistory {
		l.history = l.history[1:]
	}
	l.history = append(l.history, change{l.revision, server})
	return true
}

// needsFull reports whether the history does not cover the changes since the revision, so that a full list
// is required.
func (l *serverList) needsFull(since int64) bool {
	oldest := l.revision
	if len(l.history) > 0 {
		oldest = l.history[0].revision - 1
	}
	return since > l.revision || since < oldest
}

// listed returns the servers that a full list contains.
func (l *serverList) listed() []int {
	var servers []int
	for server, entry := range l.entries {
		if entry.Health != unlisted && entry.Health != endpoints.Removed {
			servers = append(servers, server)
		}
	}
	return servers
}

// changedSince returns the servers that changed after the revision, each once, in the order of their first
// change.
func (l *serverList) changedSince(revision int64) []int {
	var servers []int
	seen := map[int]bool{}
	for _, c := range l.history {
		if c.revision > revision && !seen[c.server] {
			seen[c.server] = true
			servers = append(servers, c.server)
		}
	}
	return servers
}

// endpoint returns the server's entry in the endpoint list, with the address to dial.
func (l *serverList) endpoint(server int, dialAddr string) endpoints.Endpoint {
	entry := &l.entries[server]
	return endpoints.Endpoint{
		Name:      entry.Name,
		Dial:      dialAddr,
		Site:      entry.Zone,
		Class:     entry.MachineType,
		Block:     entry.Cell,
		Health:    entry.Health,
		Weight:    entry.Weight,
		StartedMs: float64(entry.StartedMs),
	}
}
