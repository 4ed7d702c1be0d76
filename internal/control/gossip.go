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
func (n *Server) startGossip() error {
	if n.c.Gossip == "" {
		return nil
	}
	self := member.Info{ProtocolVersion: member.ProtocolVersion, Name: n.c.Name, Role: member.RoleControlPlane, Zone: n.c.Zone, Program: BuildRevision(),
		Versions: member.ProtocolVersions{Gossip: member.ProtocolVersion, Catalog: catalog.FormatVersion}, ID: n.id}
	g, err := gossip.Start(gossip.Config{
		Self:       self,
		Listen:     n.c.Gossip,
		Log:        n.log,
		Tracker:    member.Defaults(self),
		Peers:      n.gossipPeers,
		OnChange:   n.logMemberChanges,
		OnConflict: n.logNameConflict,
	})
	if err != nil {
		return err
	}
	n.gossip = g
	return nil
}

// gossipPeers returns the gossip addresses in the table of peers, by name.
func (n *Server) gossipPeers() map[string]string {
	addrs := map[string]string{}
	for name, p := range *n.table.Load() {
		if p.Gossip != "" {
			addrs[name] = p.Gossip
		}
	}
	return addrs
}

func (n *Server) logMemberChanges(changes []member.Change) {
	for _, c := range changes {
		n.m.changes.WithLabelValues(string(c.Role), string(c.To)).Inc()
		if c.Role.Gossips() {
			n.log.Info("member", "name", c.Name, "role", c.Role, "from", c.From, "to", c.To)
		} else {
			n.log.Debug("member", "name", c.Name, "role", c.Role, "from", c.From, "to", c.To)
		}
	}
}

func (n *Server) logNameConflict(name, address string) {
	if n.m.conflicts.Inc(); n.repeatedLogs.Allow() {
		n.log.Error("two processes have one name: the one whose folder the catalog knows keeps it", "name", name, "other", address)
	}
}

// openSessionOf opens a membership session for the agent that started a watch here, and
// returns the function that closes it. Without gossip, or without a valid name in the request,
// both do nothing.
func (n *Server) openSessionOf(r *http.Request) func() {
	name := r.Header.Get(endpoints.MemberHeader)
	if n.gossip == nil || !endpoints.IsToken(name, endpoints.MaxName) {
		return func() {}
	}
	life := r.Header.Get(endpoints.BootIDHeader)
	i := member.Info{ProtocolVersion: member.ProtocolVersion, Name: name, Role: member.RoleAgent, ID: life[:min(len(life), 64)]}
	n.gossip.WithTracker(func(now time.Duration, t *member.Tracker) { t.SessionOpened(now, i) })
	return func() {
		n.gossip.WithTracker(func(now time.Duration, t *member.Tracker) { t.SessionClosed(now, name) })
	}
}

// leaveSession records that an agent has stopped in order.
func (n *Server) leaveSession(w http.ResponseWriter, r *http.Request) {
	if n.gossip == nil {
		http.Error(w, "gossip: off at this steward", http.StatusNotFound)
		return
	}
	i := member.Info{ProtocolVersion: member.ProtocolVersion, Name: r.PathValue("name"), Role: member.RoleAgent, ID: r.Header.Get(endpoints.BootIDHeader)}
	if err := i.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.gossip.WithTracker(func(now time.Duration, t *member.Tracker) { t.Leave(now, i) })
	answer(w, struct{}{})
}

// wasPaused reports whether this process was recently suspended or starved, so that what it
// did not hear in time is no evidence against others.
func (n *Server) wasPaused() (is bool) {
	if n.gossip != nil {
		n.gossip.WithTracker(func(now time.Duration, t *member.Tracker) { is = t.SelfSuspect(now) })
	}
	return is
}

// absent returns the processes that gossip and aren't present in the membership view. Without
// gossip it returns nil.
func (n *Server) absent() map[string]bool {
	if n.gossip == nil {
		return nil
	}
	out := map[string]bool{}
	n.gossip.WithTracker(func(_ time.Duration, t *member.Tracker) { t.AddAbsent(out) })
	return out
}

// gossipCounts returns the gossip counters by their name in the metrics.
func (n *Server) gossipCounts() map[string]float64 {
	if n.gossip == nil {
		return nil
	}
	c := n.gossip.Counts()
	return map[string]float64{"old": float64(c.Stale), "held": float64(c.Deferred), "suspects": float64(c.Suspects), "wrongs": float64(c.FalsePositives),
		"full": float64(c.Overflow), "strange": float64(c.UnknownSenders), "pauses": float64(c.Pauses), "rubbish": float64(c.Malformed),
		"refused": float64(c.Refused), "conflicts": float64(c.Conflicts), "unknown": float64(c.Unknown), "dropped": float64(c.Dropped), "sent_bytes": float64(c.Sent)}
}
