package gossip

import (
	"slices"
	"time"
)

// joinMissing joins the peers in the table that the library does not report as alive, until the
// Node is closed. It tries up to maxRejoinsPerInterval peers in each interval, in rotation. Peers
// are missing after the start, after a long network partition, and after a member has restarted.
func (n *Node) joinMissing() {
	ticker := time.NewTicker(rejoinInterval)
	defer ticker.Stop()
	cursor := 0
	for {
		missing := n.missingPeers()
		for range min(maxRejoinsPerInterval, len(missing)) {
			cursor++
			n.join(missing[cursor%len(missing)])
		}
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
	}
}

// missingPeers returns the names of the peers that are not alive, sorted.
func (n *Node) missingPeers() (missing []string) {
	for name := range n.config.Peers() {
		if _, alive := n.aliveNames.Load(name); !alive && name != n.config.Self.Name {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// join exchanges member states with one peer.
func (n *Node) join(name string) {
	addr := n.config.Peers()[name]
	if addr == "" {
		return
	}
	if _, err := n.memberlist.Join([]string{name + "/" + addr}); err != nil {
		n.log.Debug("could not join gossip peer", "member", name, "err", err)
	}
}
