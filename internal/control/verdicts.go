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
	evidenceInterval = 250 * time.Millisecond // between rounds of evidence requests
	verdictMaxAge    = 3 * time.Second        // older observations are dropped
)

// verdicts holds what the voters observed of servers whose leases are in doubt.
type verdicts struct {
	mu     sync.Mutex
	about  map[string]testimony // by server
	voters []string             // that were asked last
}

// testimony is what each voter observed of one start of a server.
type testimony struct {
	bornMs  float64
	at      time.Time
	answers map[string]member.Answer // by voter
}

// judge returns the rule by which expired leases are decided: by the majority of the voters'
// recent observations, or by the lease alone where evidence is off.
func (n *Server) judge() catalog.ExpiryDecider {
	if !n.c.Evidence {
		return catalog.ExpireByLeaseOnly
	}
	n.verdicts.mu.Lock()
	about, voters := n.verdicts.about, n.verdicts.voters
	n.verdicts.mu.Unlock()
	return func(ref catalog.InstanceRef, over bool) catalog.FailureEvidence {
		t, ok := about[ref.Name]
		if !ok || t.bornMs != ref.StartedMs || time.Since(t.at) > verdictMaxAge {
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
func (n *Server) evidenceLoop() {
	t := time.NewTicker(evidenceInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		refs := n.doubtful()
		if len(refs) == 0 {
			continue
		}
		voters := n.voters()
		answers := n.collectEvidence(voters, refs)
		// The answers count only if this steward still led after they were given.
		if n.verifyLeader(n.ctx) != nil {
			continue
		}
		n.verdicts.update(time.Now(), voters, refs, answers)
	}
}

// doubtful returns the servers that evidence is needed about. It is empty on a follower and
// where evidence is off.
func (n *Server) doubtful() (refs []catalog.InstanceRef) {
	now, leads := n.elapsed()
	if !leads || !n.c.Evidence {
		return nil
	}
	n.lead.Lock()
	defer n.lead.Unlock()
	if n.leases != nil {
		n.fsm.read(func(s *catalog.State) { refs = n.leases.Suspected(s, now) })
	}
	return refs
}

// update adds the observations of one round and drops those that are too old.
func (v *verdicts) update(at time.Time, voters []string, refs []catalog.InstanceRef, answers map[string]map[string]member.Answer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	about := map[string]testimony{} // a new map: judge reads the old one without the lock
	for name, t := range v.about {
		if at.Sub(t.at) <= verdictMaxAge {
			about[name] = t
		}
	}
	for _, ref := range refs {
		about[ref.Name] = testimony{ref.StartedMs, at, answers[ref.Name]}
	}
	v.about, v.voters = about, voters
}

// observation is one voter's answers by server, nil if it gave none.
type observation struct {
	voter   string
	answers map[string]member.Answer
}

// collectEvidence asks all voters at once and returns their answers by server and voter.
// Voters that don't answer in time are left out.
func (n *Server) collectEvidence(voters []string, refs []catalog.InstanceRef) map[string]map[string]member.Answer {
	ctx, cancel := context.WithTimeout(n.ctx, evidenceTimeout)
	defer cancel()
	observations := make(chan observation, len(voters))
	for _, voter := range voters {
		go func() { observations <- observation{voter, n.requestEvidence(ctx, voter, refs)} }()
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
func (n *Server) requestEvidence(ctx context.Context, voter string, refs []catalog.InstanceRef) map[string]member.Answer {
	if voter == n.c.Name {
		return n.probeServers(ctx, refs)
	}
	p, known := (*n.table.Load())[voter]
	if !known {
		return nil
	}
	var e ObservationMessage
	// The context bounds the call: n.peers would give up before a steward that has many silent
	// servers to probe can answer.
	client := &http.Client{Transport: n.peers.Transport}
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
