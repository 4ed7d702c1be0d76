package control

import (
	"net/http"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/gossip"
	"knotrouter/internal/member"
)

// maxBootIDBytes is the length to which the boot identity of an agent's request is truncated.
const maxBootIDBytes = 64

// startGossip starts gossip if it is configured. It returns the error of gossip.Start, for example
// if the address is in use.
func (s *Server) startGossip() error {
	if s.config.Gossip == "" {
		return nil
	}
	self := member.Info{
		ProtocolVersion: member.ProtocolVersion,
		Name:            s.config.Name,
		Role:            member.RoleControlPlane,
		Zone:            s.config.Zone,
		ProgramVersion:  BuildRevision(),
		Versions:        member.ProtocolVersions{Gossip: member.ProtocolVersion, Catalog: catalog.FormatVersion},
		InstanceID:      s.dataID,
	}
	g, err := gossip.Start(gossip.Config{
		Self:       self,
		Listen:     s.config.Gossip,
		Log:        s.log,
		Tracker:    member.Defaults(self),
		Peers:      s.gossipPeers,
		OnChange:   s.logMemberChanges,
		OnConflict: s.logNameConflict,
	})
	if err != nil {
		return err
	}
	s.gossipNode.Store(g)
	return nil
}

// gossipPeers returns the gossip addresses of the peer table by server name.
func (s *Server) gossipPeers() map[string]string {
	addrs := map[string]string{}
	for name, p := range *s.peerTable.Load() {
		if p.Gossip != "" {
			addrs[name] = p.Gossip
		}
	}
	return addrs
}

// logMemberChanges counts and logs changes of members' states. Changes of members that don't gossip,
// agents and registered servers, are logged at level debug only, as there are many of them.
func (s *Server) logMemberChanges(changes []member.Change) {
	for _, c := range changes {
		s.metrics.memberChanges.WithLabelValues(string(c.Role), string(c.To)).Inc()
		if c.Role.Gossips() {
			s.log.Info("member state changed", "member", c.Name, "role", c.Role, "from", c.From, "to", c.To)
		} else {
			s.log.Debug("member state changed", "member", c.Name, "role", c.Role, "from", c.From, "to", c.To)
		}
	}
}

// logNameConflict counts and logs that a second process, at the given address, uses a member's name.
func (s *Server) logNameConflict(name, address string) {
	if s.metrics.nameConflicts.Inc(); s.logLimiter.Allow() {
		s.log.Error("two processes use one name: the one whose data folder is recorded in the catalog keeps it", "member", name, "address", address)
	}
}

// openAgentSession records in the membership view that the agent that started a watch is present,
// and returns a function that records that its watch has ended. Without gossip, or without a valid
// name in the request, neither openAgentSession nor the returned function does anything.
func (s *Server) openAgentSession(r *http.Request) func() {
	name := r.Header.Get(endpoints.MemberHeader)
	if s.gossip() == nil || !endpoints.IsToken(name, endpoints.MaxName) {
		return func() {}
	}
	bootID := r.Header.Get(endpoints.BootIDHeader)
	info := member.Info{ProtocolVersion: member.ProtocolVersion, Name: name, Role: member.RoleAgent, InstanceID: bootID[:min(len(bootID), maxBootIDBytes)]}
	s.gossip().WithTracker(func(now time.Duration, t *member.Tracker) { t.SessionOpened(now, info) })
	return func() {
		s.gossip().WithTracker(func(now time.Duration, t *member.Tracker) { t.SessionClosed(now, name) })
	}
}

// handleAgentLeave records that an agent has shut down gracefully.
func (s *Server) handleAgentLeave(w http.ResponseWriter, r *http.Request) {
	if s.gossip() == nil {
		http.Error(w, "gossip: off at this steward", http.StatusNotFound)
		return
	}
	info := member.Info{ProtocolVersion: member.ProtocolVersion, Name: r.PathValue("name"), Role: member.RoleAgent, InstanceID: r.Header.Get(endpoints.BootIDHeader)}
	if err := info.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.gossip().WithTracker(func(now time.Duration, t *member.Tracker) { t.Leave(now, info) })
	writeJSON(w, struct{}{})
}

// wasPaused reports whether this process was recently suspended or starved of CPU time, so that an
// answer that it missed is no evidence against the server that was asked. Without gossip it returns
// false.
func (s *Server) wasPaused() (paused bool) {
	if s.gossip() != nil {
		s.gossip().WithTracker(func(now time.Duration, t *member.Tracker) { paused = t.RecentlyPaused(now) })
	}
	return paused
}

// absentProcesses returns the names of the processes that take part in gossip but aren't present in
// the membership view. Without gossip it returns nil.
func (s *Server) absentProcesses() map[string]bool {
	if s.gossip() == nil {
		return nil
	}
	absent := map[string]bool{}
	s.gossip().WithTracker(func(_ time.Duration, t *member.Tracker) { t.AddAbsent(absent) })
	return absent
}

// gossipCounts returns the gossip counters by their names in the metrics, which are fixed. It returns nil
// without gossip.
func (s *Server) gossipCounts() map[string]float64 {
	if s.gossip() == nil {
		return nil
	}
	c := s.gossip().Counts()
	return map[string]float64{
		"old":        float64(c.Stale),
		"held":       float64(c.Deferred),
		"suspects":   float64(c.Suspects),
		"wrongs":     float64(c.FalsePositives),
		"full":       float64(c.Overflow),
		"strange":    float64(c.UnknownSenders),
		"pauses":     float64(c.Pauses),
		"rubbish":    float64(c.Malformed),
		"refused":    float64(c.Rejected),
		"conflicts":  float64(c.Conflicts),
		"unknown":    float64(c.UnknownPeers),
		"dropped":    float64(c.Dropped),
		"sent_bytes": float64(c.SentBytes),
	}
}
