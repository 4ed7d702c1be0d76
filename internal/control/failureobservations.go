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

// failureObservations holds what the voters observed of servers whose leases are in doubt.
type failureObservations struct {
	mu       sync.Mutex
	byServer map[string]observationSet // by server
	voters   []string                  // that were asked last
}

// observationSet is what each voter observed of one start of a server.
type observationSet struct {
	startedMs  float64
	observedAt time.Time
	answers    map[string]member.Answer // by voter
}

// expiryDecider returns the rule by which expired leases are decided: by the majority of the voters'
// recent observations, or by the lease alone where evidence is off.
func (s *Server) expiryDecider() catalog.ExpiryDecider {
	if !s.config.Evidence {
		return catalog.ExpireByLeaseOnly
	}
	s.observations.mu.Lock()
	about, voters := s.observations.byServer, s.observations.voters
	s.observations.mu.Unlock()
	return func(ref catalog.InstanceRef, over bool) catalog.FailureEvidence {
		t, ok := about[ref.Name]
		if !ok || t.startedMs != ref.StartedMs || time.Since(t.observedAt) > observationMaxAge {
			return catalog.Inconclusive
		}
		switch member.DecideExpiry(voters, true, over, t.answers) {
		case member.DecisionRetain:
			return catalog.Alive
		case member.DecisionRemove:
			return catalog.Failed
		}
		return catalog.Inconclusive
	}
}

// evidenceLoop has the voters asked about servers whose leases are in doubt, while this
// steward leads. It returns when the steward stops.
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
		// The answers count only if this steward still led after they were given.
		if s.verifyLeader(s.ctx) != nil {
			continue
		}
		s.observations.update(time.Now(), voters, refs, answers)
	}
}

// suspectedServers returns the servers that evidence is needed about. It is empty on a follower and
// where evidence is off.
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

// update adds the observations of one round and drops those that are too old.
func (o *failureObservations) update(at time.Time, voters []string, refs []catalog.InstanceRef, answers map[string]map[string]member.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	about := map[string]observationSet{} // a new map: judge reads the old one without the lock
	for name, t := range o.byServer {
		if at.Sub(t.observedAt) <= observationMaxAge {
			about[name] = t
		}
	}
	for _, ref := range refs {
		about[ref.Name] = observationSet{ref.StartedMs, at, answers[ref.Name]}
	}
	o.byServer, o.voters = about, voters
}

// voterAnswers is one voter's answers by server, nil if it gave none.
type voterAnswers struct {
	voter   string
	answers map[string]member.Answer
}

// collectEvidence asks all voters at once and returns their answers by server and voter.
// Voters that don't answer in time are left out.
func (s *Server) collectEvidence(voters []string, refs []catalog.InstanceRef) map[string]map[string]member.Answer {
	ctx, cancel := context.WithTimeout(s.ctx, evidenceTimeout)
	defer cancel()
	observations := make(chan voterAnswers, len(voters))
	for _, voter := range voters {
		go func() { observations <- voterAnswers{voter, s.requestEvidence(ctx, voter, refs)} }()
	}
	out := map[string]map[string]member.Answer{}
	for _, ref := range refs {
		out[ref.Name] = map[string]member.Answer{}
	}
	for range voters {
		o := <-observations
		for name, answer := range o.answers {
			if out[name] != nil {
				out[name][o.voter] = answer
			}
		}
	}
	return out
}

// requestEvidence returns one voter's answers by server, or nil if it gave none. A steward of
// a version without evidence agrees with whatever the leases say.
func (s *Server) requestEvidence(ctx context.Context, voter string, refs []catalog.InstanceRef) map[string]member.Answer {
	if voter == s.config.Name {
		return s.probeServers(ctx, refs)
	}
	p, known := (*s.peerTable.Load())[voter]
	if !known {
		return nil
	}
	var e ObservationMessage
	// The context bounds the call: n.peers would give up before a steward that has many silent
	// servers to probe can answer.
	client := &http.Client{Transport: s.peerClient.Transport}
	err := call(ctx, client, http.MethodPost, "http://"+p.HTTP+"/v1/evidence", ObservationMessage{Refs: refs}, &e)
	var refused *HTTPError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		agreed := map[string]member.Answer{}
		for _, ref := range refs {
			agreed[ref.Name] = member.AnswerDefersToLease
		}
		return agreed
	}
	if err != nil || e.From != voter { // the table may lead to another steward
		return nil
	}
	return e.Answers
}
