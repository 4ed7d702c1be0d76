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
	evidenceInterval  = 250 * time.Millisecond // time between rounds of evidence requests
	observationMaxAge = 3 * time.Second        // older observations are dropped
)

// answersByServer holds one voter's answers by the name of the server that it was asked about.
type answersByServer map[string]member.Answer

// answersByVoter holds the answers about one server by the name of the voter that gave them.
type answersByVoter map[string]member.Answer

// failureObservations holds the voters' observations of servers whose leases are late or have
// expired.
type failureObservations struct {
	mu       sync.Mutex                // guards the fields; the map and the slice themselves are never modified
	byServer map[string]observationSet // by server name
	voters   []string                  // the voters that were asked last
}

// observationSet holds the voters' observations of one instance of a server.
type observationSet struct {
	startedMs  float64
	observedAt time.Time
	answers    answersByVoter
}

// evidenceRound is one round of evidence requests: the voters that were asked, the servers that they
// were asked about, and their answers.
type evidenceRound struct {
	voters  []string
	refs    []catalog.InstanceRef
	answers map[string]answersByVoter // by server name
}

// expiryDecider returns the rule that decides whether a server with an expired lease has failed: by
// the majority of the voters' recent observations, or by the lease alone if evidence is turned off.
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
		// Observations are stored only after a quorum has confirmed that this server leads.
		evidence := member.ExpiryEvidence{Voters: voters, HasQuorum: true, LeaseExpired: expired, Answers: set.answers}
		switch member.DecideExpiry(evidence) {
		case member.DecisionRetain:
			return catalog.Alive
		case member.DecisionRemove:
			return catalog.Failed
		}
		return catalog.Inconclusive
	}
}

// evidenceLoop asks the voters about suspected servers while this server leads. It returns when the
// server stops.
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
		round := s.collectEvidence(s.voters(), refs)
		// The answers count only if this server still led after it received them.
		if _, err := s.verifyLeader(s.ctx); err != nil {
			continue
		}
		s.observations.update(time.Now(), round)
	}
}

// suspectedServers returns the servers whose leases are late or have expired, about which the voters
// are asked. It returns nil on a follower or if evidence is turned off.
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

// update replaces the observations of the servers of a round that ended at endedAt, and drops
// observations of other servers that are older than observationMaxAge.
func (o *failureObservations) update(endedAt time.Time, round evidenceRound) {
	o.mu.Lock()
	defer o.mu.Unlock()
	byServer := map[string]observationSet{} // a new map: deciders read the old one without the lock
	for name, set := range o.byServer {
		if endedAt.Sub(set.observedAt) <= observationMaxAge {
			byServer[name] = set
		}
	}
	for _, ref := range round.refs {
		byServer[ref.Name] = observationSet{ref.StartedMs, endedAt, round.answers[ref.Name]}
	}
	o.byServer, o.voters = byServer, round.voters
}

// collectEvidence asks all voters concurrently about the servers and returns their answers. Voters
// that don't answer within evidenceTimeout are left out of the answers.
func (s *Server) collectEvidence(voters []string, refs []catalog.InstanceRef) evidenceRound {
	ctx, cancel := context.WithTimeout(s.ctx, evidenceTimeout)
	defer cancel()
	type voterAnswers struct {
		voter   string
		answers answersByServer // nil if the voter gave none
	}
	received := make(chan voterAnswers, len(voters))
	for _, voter := range voters {
		go func() { received <- voterAnswers{voter, s.requestEvidence(ctx, voter, refs)} }()
	}
	round := evidenceRound{voters: voters, refs: refs, answers: map[string]answersByVoter{}}
	for _, ref := range refs {
		round.answers[ref.Name] = answersByVoter{}
	}
	for range voters {
		r := <-received
		for name, answer := range r.answers {
			if round.answers[name] != nil {
				round.answers[name][r.voter] = answer
			}
		}
	}
	return round
}

// requestEvidence returns one voter's answers, or nil if the voter gave none. A voter whose version
// doesn't support evidence requests is treated as deferring to the leases.
func (s *Server) requestEvidence(ctx context.Context, voter string, refs []catalog.InstanceRef) answersByServer {
	if voter == s.config.Name {
		return s.probeServers(ctx, refs)
	}
	p, known := s.peer(voter)
	if !known {
		return nil
	}
	var e ObservationMessage
	// The context limits the request: the timeout of peerClient is too short for a voter that has
	// many unresponsive servers to probe.
	client := &http.Client{Transport: s.peerClient.Transport}
	err := call(ctx, client, http.MethodPost, "http://"+p.HTTP+"/v1/evidence", ObservationMessage{Refs: refs}, &e)
	var rejected *HTTPError
	if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		return allDeferToLease(refs)
	}
	if err != nil || e.From != voter { // the peer table may have another server's address
		return nil
	}
	return e.Answers
}

// allDeferToLease returns, for each server, the answer that its lease alone decides.
func allDeferToLease(refs []catalog.InstanceRef) answersByServer {
	answers := answersByServer{}
	for _, ref := range refs {
		answers[ref.Name] = member.AnswerDefersToLease
	}
	return answers
}
