package control

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/member"
)

const (
	evidenceTimeout  = 1200 * time.Millisecond // timeout of a voter's answer
	evidenceReserve  = 100 * time.Millisecond  // part of evidenceTimeout, reserved for the transfer of the answer
	probeTimeout     = 500 * time.Millisecond  // timeout of one health check
	maxEvidence      = 256                     // maximum number of servers in one request
	maxEvidenceCalls = 4                       // maximum number of concurrent requests; a leader sends only one at a time
	// maxProbes is the maximum number of concurrent probes. All servers of a request are probed at once,
	// so that any number of unresponsive servers delay the answer by only one probeTimeout.
	maxProbes = maxEvidence
)

// ObservationMessage is a request for a voter's observations of servers, with Refs set, or the
// answer to it, with From and Answers set.
type ObservationMessage struct {
	From    string                   `json:"from,omitempty"`
	Refs    []catalog.InstanceRef    `json:"refs,omitempty"`
	Answers map[string]member.Answer `json:"answers,omitempty"` // by server name
}

// handleEvidence probes the servers of a request and answers with its observations.
func (s *Server) handleEvidence(w http.ResponseWriter, r *http.Request) {
	var b ObservationMessage
	if err := decodeBody(w, r, &b); err != nil {
		writeError(w, err)
		return
	}
	if len(b.Refs) > maxEvidence {
		writeError(w, newBadRequest("refs: %d of at most %d", len(b.Refs), maxEvidence))
		return
	}
	if s.evidenceCalls.Add(1) > maxEvidenceCalls {
		s.evidenceCalls.Add(-1)
		s.admission.reject(w, evidenceTimeout) // the leader continues without this voter's observations
		return
	}
	defer s.evidenceCalls.Add(-1)
	writeJSON(w, ObservationMessage{From: s.config.Name, Answers: s.probeServers(r.Context(), b.Refs)})
}

// probeServers checks the health of servers and returns an observation of each server that is known
// here and could be probed in time. If this process itself was slow, it doesn't report any server
// as unresponsive.
func (s *Server) probeServers(ctx context.Context, refs []catalog.InstanceRef) answersByServer {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout-evidenceReserve)
	defer cancel()
	addresses := s.instanceAddresses(refs)
	startedAt := time.Now()
	observed := make([]member.Answer, len(refs))
	slots := make(chan struct{}, maxProbes)
	var running sync.WaitGroup
	for i, address := range addresses {
		if address == "" {
			continue // not known here: no observation
		}
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			observed[i] = s.probe(ctx, address)
		})
	}
	running.Wait()
	slow := s.wasPaused() || time.Since(startedAt) > 2*evidenceTimeout
	answers := answersByServer{}
	for i, answer := range observed {
		if slow && answer == member.AnswerSilent {
			answer = member.AnswerUnsure // the delay may have been in this process
		}
		if answer != member.AnswerNone {
			answers[refs[i].Name] = answer
		}
	}
	return answers
}

// instanceAddresses returns the address of each instance, in the order of refs, or "" if the catalog
// doesn't have that instance.
func (s *Server) instanceAddresses(refs []catalog.InstanceRef) []string {
	addresses := make([]string, len(refs))
	s.fsm.read(func(state *catalog.State) {
		for i, ref := range refs {
			if e := instanceEntry(state, ref); e != nil {
				addresses[i] = e.Endpoint.Dial
			}
		}
	})
	return addresses
}

// instanceEntry returns the entry of an instance, or nil if the catalog doesn't have it or it was
// removed.
func instanceEntry(state *catalog.State, ref catalog.InstanceRef) *catalog.Entry {
	e := state.Entries[ref.Name]
	if e == nil || e.Removed || e.Endpoint.StartedMs != ref.StartedMs {
		return nil
	}
	return e
}

// probe checks the health of a server. Any answer, whatever its status, shows that the server is
// alive. It returns AnswerNone if the context ended first or the address is invalid.
func (s *Server) probe(ctx context.Context, address string) member.Answer {
	if ctx.Err() != nil {
		return member.AnswerNone // no time was left to probe, which is no evidence against the server
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(probeCtx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return member.AnswerNone
	}
	resp, err := s.probeClient.Do(req)
	switch {
	case err == nil:
		resp.Body.Close()
		return member.AnswerAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return member.AnswerRefused
	case ctx.Err() != nil:
		return member.AnswerNone
	}
	return member.AnswerSilent
}
