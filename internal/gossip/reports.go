package gossip

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"knotrouter/internal/member"
)

// broadcast is a report in the library's queue. The library sends it to a bounded number of
// members.
type broadcast []byte

// Invalidates returns false: no broadcast replaces another, as each carries observations of different
// members.
func (broadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message returns the report.
func (b broadcast) Message() []byte { return b }

// Finished does nothing, as no goroutine waits for a broadcast.
func (broadcast) Finished() {}

// queueBroadcast queues a report. If the queue is full, the library drops the reports that it has
// sent most often, among those the shortest first and then the oldest. Their observations are
// contained in the observers' next full reports.
func (n *Node) queueBroadcast(report []byte) {
	n.broadcasts.QueueBroadcast(broadcast(report))
	n.broadcasts.Prune(maxQueuedBroadcasts)
}

// pendingReport returns an encoded partial report, or nil if nothing has changed or this process is
// not an observer. Only control-plane servers are observers: if all members were, the number of
// observations would grow with the square of the number of members.
func (n *Node) pendingReport(now time.Duration, t *member.Tracker) []byte {
	if n.config.Self.Role != member.RoleControlPlane {
		return nil
	}
	r, pending := t.PendingReport(now, maxObservationsPerBroadcast)
	if !pending {
		return nil
	}
	return n.encode(&r)
}

// fullReport returns an encoded full report.
func (n *Node) fullReport() []byte {
	var r member.Report
	n.WithTracker(func(now time.Duration, t *member.Tracker) { r = t.FullReport(now) })
	return n.encode(&r)
}

// encode returns the JSON encoding of a report of this process, or nil if it cannot be encoded.
func (n *Node) encode(r *member.Report) []byte {
	r.BootID = n.bootID
	encoded, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return encoded
}

// mergeReport decodes a received report and has the Tracker merge it. A malformed report is counted and
// dropped. A partial report that was new is broadcast again, since the library relays only its own
// messages. Members that already have the report do not broadcast it again, so the broadcasts end.
func (n *Node) mergeReport(message []byte) {
	if len(message) == 0 {
		return
	}
	r, err := member.DecodeReport(message)
	if err != nil {
		n.malformed.Add(1)
		n.log.Debug("malformed gossip report ignored", "err", err)
		return
	}
	if r.From == n.config.Self.Name {
		return
	}
	changed := false
	n.WithTracker(func(now time.Duration, t *member.Tracker) { changed = t.MergeReport(now, &r) })
	if changed && !r.Full {
		n.queueBroadcast(slices.Clone(message)) // the library reuses the buffer
	}
}
