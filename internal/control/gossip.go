package control

import (
	"net/http"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/gossip"
	"knotrouter/internal/member"
)

// startGossip joins the gossip protocol, if it is configured.
func (n *Node) startGossip() error {
	if n.c.Gossip == "" {
		return nil
	}
	self := member.Info{Form: member.Form, Name: n.c.Name, Role: member.Steward, Zone: n.c.Zone, Program: Program(),
		Speaks: member.Speaks{Gossip: member.Form, Catalog: catalog.Form}, ID: n.id}
	g, err := gossip.Start(gossip.Config{
		Self:     self,
		Listen:   n.c.Gossip,
		Log:      n.log,
		Tracker:  member.Defaults(self),
		Peers:    n.gossipPeers,
		Changed:  n.logMemberChanges,
		Conflict: n.logNameConflict,
	})
	if err != nil {
		return err
	}
	n.gossip = g
	return nil
}

// gossipPeers returns the gossip addresses in the table of peers, by name.
func (n *Node) gossipPeers() map[string]string {
	addrs := map[string]string{}
	for name, p := range *n.table.Load() {
		if p.Gossip != "" {
			addrs[name] = p.Gossip
		}
	}
	return addrs
}

func (n *Node) logMemberChanges(changes []member.Change) {
	for _, c := range changes {
		n.m.changes.WithLabelValues(string(c.Role), string(c.To)).Inc()
		if c.Role.Gossips() {
			n.log.Info("member", "name", c.Name, "role", c.Role, "from", c.From, "to", c.To)
		} else {
			n.log.Debug("member", "name", c.Name, "role", c.Role, "from", c.From, "to", c.To)
		}
	}
}

func (n *Node) logNameConflict(name, address string) {
	if n.m.conflicts.Inc(); n.repeatedLogs.Allow() {
		n.log.Error("two processes have one name: the one whose folder the catalog knows keeps it", "name", name, "other", address)
	}
}

// openSessionOf opens a membership session for the agent that started a watch here, and
// returns the function that closes it. Without gossip, or without a valid name in the request,
// both do nothing.
func (n *Node) openSessionOf(r *http.Request) func() {
	name := r.Header.Get(endpoints.MemberHeader)
	if n.gossip == nil || !endpoints.IsWord(name, endpoints.MaxName) {
		return func() {}
	}
	life := r.Header.Get(endpoints.LifeHeader)
	i := member.Info{Form: member.Form, Name: name, Role: member.Agent, ID: life[:min(len(life), 64)]}
	n.gossip.Do(func(now time.Duration, t *member.Tracker) { t.Open(now, i) })
	return func() {
		n.gossip.Do(func(now time.Duration, t *member.Tracker) { t.Closed(now, name) })
	}
}

// leaveSession records that an agent has stopped in order.
func (n *Node) leaveSession(w http.ResponseWriter, r *http.Request) {
	if n.gossip == nil {
		http.Error(w, "gossip: off at this steward", http.StatusNotFound)
		return
	}
	i := member.Info{Form: member.Form, Name: r.PathValue("name"), Role: member.Agent, ID: r.Header.Get(endpoints.LifeHeader)}
	if err := i.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.gossip.Do(func(now time.Duration, t *member.Tracker) { t.Leaves(now, i) })
	answer(w, struct{}{})
}

// wasPaused reports whether this process was recently suspended or starved, so that what it
// did not hear in time is no evidence against others.
func (n *Node) wasPaused() (is bool) {
	if n.gossip != nil {
		n.gossip.Do(func(now time.Duration, t *member.Tracker) { is = t.Calm(now) })
	}
	return is
}

// absent returns the processes that gossip and aren't present in the membership view. Without
// gossip it returns nil.
func (n *Node) absent() map[string]bool {
	if n.gossip == nil {
		return nil
	}
	out := map[string]bool{}
	n.gossip.Do(func(_ time.Duration, t *member.Tracker) { t.Absent(out) })
	return out
}

// gossipCounts returns the gossip counters by their name in the metrics.
func (n *Node) gossipCounts() map[string]float64 {
	if n.gossip == nil {
		return nil
	}
	c := n.gossip.Counts()
	return map[string]float64{"old": float64(c.Old), "held": float64(c.Held), "suspects": float64(c.Suspects), "wrongs": float64(c.Wrongs),
		"full": float64(c.Full), "strange": float64(c.Strange), "pauses": float64(c.Pauses), "rubbish": float64(c.Rubbish),
		"refused": float64(c.Refused), "conflicts": float64(c.Conflicts), "unknown": float64(c.Unknown), "dropped": float64(c.Dropped), "sent_bytes": float64(c.Sent)}
}
