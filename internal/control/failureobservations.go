package control

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/member"
)

const (
	evidenceInterval  = 250 * time.Millisecond // between rounds of evidence requests
	observationMaxAge = 3 * time.Second        // older observations are dropped
)

// failureObservations holds what the voters observed of servers whose leases are suspected to
// have expired.
type failureObservations struct {
	mu       sync.Mutex                // guards the fields, but not what they refer to, which never changes
	byServer map[string]observationSet // by the server's name
	voters   []string                  // that were asked last
}

// observationSet is what each voter observed of one instance of a server.
type observationSet struct {
	startedMs  float64
	observedAt time.Time
	answers    map[string]member.Answer // by voter
}

// expiryDecider returns the rule by which expired leases are decided on: by the majority of the
// voters' recent observations, or by the lease alone if evidence is turned off.
func (s *Server) expiryDecider() catalog.ExpiryDecider {
	if !s.config.Evidence {
		return catalog.ExpireByLeaseOnly
	}
	s.observations.mu.Lock()
	byServer, voters := s.observations.byServer, s.observations.voters
	s.observations.mu.Unlock()
	return func(ref catalog.InstanceRef, expired bool) catalog.FailureEvidence {
		set, ok := byServer[ref.Name]
		if !ok || set.startedMs != ref.StartedMs || time.Since(set.observedAt) > observationMaxAge {
			return catalog.Inconclusive
		}
		switch member.DecideExpiry(voters, true, expired, set.answers) {
		case member.DecisionRetain:
			return catalog.Alive
		case member.DecisionRemove:
			return catalog.Failed
		}
		return catalog.Inconclusive
	}
}

// evidenceLoop has the voters asked about suspected servers while this server leads. It returns
// when the server stops.
func (s *Server) evidenceLoop() {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		refs := s.suspectedServers()
		if len(refs) == 0 {
			continue
		}
		voters := s.voters()
		answers := s.collectEvidence(voters, refs)
		// The answers count only if this server still led after they were given.
		if s.verifyLeader(s.ctx) != nil {
			continue
		}
		s.observations.update(time.Now(), voters, refs, answers)
	}
}

// suspectedServers returns the servers that evidence is needed about. It returns nil on a
// follower and if evidence is turned off.
func (s *Server) suspectedServers() (refs []catalog.InstanceRef) {
	now, leads := s.leaderClock()
	if !leads || !s.config.Evidence {
		return nil
	}
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	if s.registrationLeases != nil {
		s.fsm.read(func(state *catalog.State) { refs = s.registrationLeases.Suspected(state, now) })
	}
	return refs
}

// update adds the observations of one round, by server and voter, and drops those that are too
// old.
func (o *failureObservations) update(at time.Time, voters []string, refs []catalog.InstanceRef, answers map[string]map[string]member.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	byServer := map[string]observationSet{} // a new map: deciders read the old one without the lock
	for name, set := range o.byServer {
		if at.Sub(set.observedAt) <= observationMaxAge {
			byServer[name] = set
		}
	}
	for _, ref := range refs {
		byServer[ref.Name] = observationSet{ref.StartedMs, at, answers[ref.Name]}
	}
	o.byServer, o.voters = byServer, voters
}

// voterAnswers is one voter's answers by server, nil if it gave none.
type voterAnswers struct {
	voter   string
	answers map[string]member.Answer
}

// collectEvidence asks all voters at once and returns their answers by server and voter. Voters
// that don't answer in time are left out.
func (s *Server) collectEvidence(voters []string, refs []catalog.InstanceRef) map[string]map[string]member.Answer {
	ctx, cancel := context.WithTimeout(s.ctx, evidenceTimeout)
	defer cancel()
	received := make(chan voterAnswers, len(voters))
	for _, voter := range voters {
		go func() { received <- voterAnswers{voter, s.requestEvidence(ctx, voter, refs)} }()
	}
	byServer := map[string]map[string]member.Answer{}
	for _, ref := range refs {
		byServer[ref.Name] = map[string]member.Answer{}
	}
	for range voters {
		a := <-received
		for name, answer := range a.answers {
			if byServer[name] != nil {
				byServer[name][a.voter] = answer
			}
		}
	}
	return byServer
}

// requestEvidence returns one voter's answers by server, or nil if it gave none. A voter of a
// version without evidence defers to the leases.
func (s *Server) requestEvidence(ctx context.Context, voter string, refs []catalog.InstanceRef) map[string]member.Answer {
	if voter == s.config.Name {
		return s.probeServers(ctx, refs)
	}
	p, known := s.peer(voter)
	if !known {
		return nil
	}
	var e ObservationMessage
	// The context bounds the request: peerClient's own timeout is too short for a voter that has
	// many unresponsive servers to probe.
	client := &http.Client{Transport: s.peerClient.Transport}
	err := call(ctx, client, http.MethodPost, "http://"+p.HTTP+"/v1/evidence", ObservationMessage{Refs: refs}, &e)
	var rejected *HTTPError
	if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		deferring := map[string]member.Answer{}
		for _, ref := range refs {
			deferring[ref.Name] = member.AnswerDefersToLease
		}
		return deferring
	}
	if err != nil || e.From != voter { // the peer table may have another server's address
		return nil
	}
	return e.Answers
}
