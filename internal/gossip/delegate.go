package gossip

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"

	"knotrouter/internal/member"
)

// unknownPeerError means that a name is not in this process's table of peers.
type unknownPeerError struct{ name string }

// Error returns the peer's name and the reason for the rejection.
func (e *unknownPeerError) Error() string { return e.name + ": not in the table of peers" }

// nameMismatchError means that the name in a member's Info differs from the name under which the
// library knows the member.
type nameMismatchError struct{ announced string }

// Error returns a message with the announced name.
func (e *nameMismatchError) Error() string { return "member announces the name " + e.announced }

// delegate implements the library's callbacks. The library calls them with its own lock held, so
// they must not block and must not call the library's member list.
type delegate struct{ node *Node }

// NodeMeta returns the JSON encoding of this process's Info, or nil if it is longer than limit bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	encoded, err := json.Marshal(d.node.Self())
	if err != nil || len(encoded) > limit {
		return nil
	}
	return encoded
}

// NotifyMsg handles a report that another member has sent or broadcast.
func (d *delegate) NotifyMsg(message []byte) { d.node.mergeReport(message) }

// GetBroadcasts returns queued reports that fit into limit bytes, counting overhead bytes for each.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.node.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState returns a full report for the library's push/pull exchange with one member, or nil
// if this process is not an observer.
func (d *delegate) LocalState(bool) []byte {
	if d.node.config.Self.Role != member.RoleControlPlane {
		return nil
	}
	return d.node.fullReport()
}

// MergeRemoteState handles the full report of the other member of a push/pull exchange.
func (d *delegate) MergeRemoteState(message []byte, _ bool) { d.node.mergeReport(message) }

// NotifyAlive returns an error if the member is not in the table of peers or its Info is invalid.
// The library then ignores the member.
func (d *delegate) NotifyAlive(peer *memberlist.Node) error {
	if _, known := d.node.config.Peers()[peer.Name]; !known && peer.Name != d.node.config.Self.Name {
		d.node.rejected.Add(1)
		return &unknownPeerError{peer.Name}
	}
	if _, err := decodeMeta(peer); err != nil {
		d.node.malformed.Add(1)
		return err
	}
	return nil
}

// NotifyJoin handles a member that has become alive.
func (d *delegate) NotifyJoin(peer *memberlist.Node) {
	d.node.aliveNames.Store(peer.Name, true)
	d.NotifyUpdate(peer)
}

// NotifyUpdate handles a member's new Info.
func (d *delegate) NotifyUpdate(peer *memberlist.Node) {
	info, err := decodeMeta(peer)
	if err != nil {
		return // NotifyAlive has counted the error
	}
	d.node.WithTracker(func(now time.Duration, t *member.Tracker) { t.MemberAlive(now, info) })
}

// NotifyLeave handles a member that has failed or left.
func (d *delegate) NotifyLeave(peer *memberlist.Node) {
	d.node.aliveNames.Delete(peer.Name)
	d.node.WithTracker(func(now time.Duration, t *member.Tracker) { t.MemberDead(now, peer.Name) })
}

// NotifyConflict counts and reports another process that uses the name of a member.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.node.conflicts.Add(1)
	if d.node.config.OnConflict != nil {
		d.node.config.OnConflict(existing.Name, fmt.Sprintf("%s:%d", other.Addr, other.Port))
	}
}

// AckPayload returns nil: the answer to a ping carries no data.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete handles a member's answer to a probe or ping of this process.
func (d *delegate) NotifyPingComplete(other *memberlist.Node, _ time.Duration, _ []byte) {
	d.node.WithTracker(func(now time.Duration, t *member.Tracker) { t.PeerAnswered(now, other.Name) })
}

// decodeMeta returns a member's Info. It returns the error of member.DecodeInfo if the Info is
// invalid, and a *nameMismatchError if its name differs from the member's.
func decodeMeta(peer *memberlist.Node) (member.Info, error) {
	info, err := member.DecodeInfo(peer.Meta)
	if err == nil && info.Name != peer.Name {
		err = &nameMismatchError{info.Name}
	}
	return info, err
}
