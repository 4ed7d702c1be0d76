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
	evidenceTimeout  = 1200 * time.Millisecond // for another steward's answer
	evidenceReserve  = 100 * time.Millisecond  // of it, for the answer's way back
	probeTimeout     = 500 * time.Millisecond  // for a server's answer
	maxEvidence      = 256                     // servers of one request
	maxEvidenceCalls = 4                       // requests served at once; one leader sends one at a time
	// maxProbes is the number of servers probed at once. All servers of a request are, so that
	// silent ones cost one probe's timeout and not the whole request's.
	maxProbes = maxEvidence
)

// ObservationMessage is a request for a steward's observation of servers, with Refs set, or the answer
// to it, with From and Answers set.
type ObservationMessage struct {
	From    string                   `json:"from,omitempty"`
	Refs    []catalog.InstanceRef    `json:"refs,omitempty"`
	Answers map[string]member.Answer `json:"answers,omitempty"`
}

// handleEvidence probes the servers of a request and answers with what it observed.
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
		s.admission.reject(w, evidenceTimeout) // who asked counts this one as silent
		return
	}
	defer s.evidenceCalls.Add(-1)
	writeJSON(w, ObservationMessage{From: s.config.Name, Answers: s.probeServers(r.Context(), b.Refs)})
}

// probeServers asks servers for their health and returns an observation for each that this
// steward knows and had the time to ask. If this process itself was slow, it doesn't report
// any server as silent.
func (s *Server) probeServers(ctx context.Context, refs []catalog.InstanceRef) map[string]member.Answer {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout-evidenceReserve)
	defer cancel()
	dials := make([]string, len(refs))
	s.fsm.read(func(state *catalog.State) {
		for i, ref := range refs {
			if e := state.Entries[ref.Name]; e != nil && !e.Removed && e.Endpoint.StartedMs == ref.StartedMs {
				dials[i] = e.Endpoint.Dial
			}
		}
	})
	out := map[string]member.Answer{}
	began := time.Now()
	found := make([]member.Answer, len(refs))
	places := make(chan struct{}, maxProbes)
	var all sync.WaitGroup
	for i, dial := range dials {
		if dial == "" {
			continue // this steward doesn't know it: no opinion
		}
		places <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-places }()
			found[i] = s.probe(ctx, dial)
		}()
	}
	all.Wait()
	slow := s.wasPaused() || time.Since(began) > 2*evidenceTimeout
	for i, a := range found {
		if slow && a == member.AnswerSilent {
			a = member.AnswerUnsure // the delay may be this process's own
		}
		if a != member.AnswerNone {
			out[refs[i].Name] = a
		}
	}
	return out
}

// probe requests a server's health.
func (s *Server) probe(ctx context.Context, dial string) member.Answer {
	if ctx.Err() != nil {
		return member.AnswerNone // there was no time for it: not the server's fault
	}
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+dial+"/health", nil)
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
