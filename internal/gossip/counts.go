package gossip

import (
	"time"

	"knotrouter/internal/member"
)

// Counts holds a Node's counters since its start, and two gauges.
type Counts struct {
	member.Counts
	Pauses       int64 // detected pauses of this process
	Malformed    int64 // messages that could not be decoded, or have an unsupported version
	Rejected     int64 // announcements of members that are not in the table of peers
	Conflicts    int64 // announcements of another process under a member's name
	UnknownPeers int64 // sends without a name, or to names that are not in the table of peers
	Dropped      int64 // datagrams and streams that arrived while their queue was full
	SentBytes    int64

	HealthScore      int // the library's health score of this process; 0 is healthy
	QueuedBroadcasts int
}

// Counts returns the counters.
func (n *Node) Counts() (c Counts) {
	n.WithTracker(func(_ time.Duration, t *member.Tracker) { c.Counts = t.Counts() })
	c.Pauses = n.pauses.Load()
	c.Malformed = n.malformed.Load()
	c.Rejected = n.rejected.Load()
	c.Conflicts = n.conflicts.Load()
	c.UnknownPeers = n.transport.unknownPeers.Load()
	c.Dropped = n.transport.dropped.Load()
	c.SentBytes = n.transport.sentBytes.Load()
	c.HealthScore = n.memberlist.GetHealthScore()
	c.QueuedBroadcasts = n.broadcasts.NumQueued()
	return c
}
