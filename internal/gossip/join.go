package gossip

import (
	"slices"
	"time"
)

// joinMissing connects to peers of the table that the library does not know as alive, until the
// Node is closed: maxRejoinsPerInterval in each interval, and all in turn. They are missing at the
// start, after a long network partition, and when a member has restarted.
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

// join exchanges the members' states with one peer.
func (n *Node) join(name string) {
	addr := n.config.Peers()[name]
	if addr == "" {
		return
	}
	if _, err := n.memberlist.Join([]string{name + "/" + addr}); err != nil {
		n.log.Debug("gossip peer not reached", "member", name, "err", err)
	}
}
