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

// Evidence is a request for a steward's observation of servers, with Refs set, or the answer
// to it, with From and Answers set.
type Evidence struct {
	From    string                   `json:"from,omitempty"`
	Refs    []catalog.Ref            `json:"refs,omitempty"`
	Answers map[string]member.Answer `json:"answers,omitempty"`
}

// serveEvidence probes the servers of a request and answers with what it observed.
func (n *Node) serveEvidence(w http.ResponseWriter, r *http.Request) {
	var b Evidence
	if err := body(w, r, &b); err != nil {
		refuse(w, err)
		return
	}
	if len(b.Refs) > maxEvidence {
		refuse(w, bad("refs: %d of at most %d", len(b.Refs), maxEvidence))
		return
	}
	if n.evidenceCalls.Add(1) > maxEvidenceCalls {
		n.evidenceCalls.Add(-1)
		n.calls.refuse(w, evidenceTimeout) // who asked counts this one as silent
		return
	}
	defer n.evidenceCalls.Add(-1)
	answer(w, Evidence{From: n.c.Name, Answers: n.probeServers(r.Context(), b.Refs)})
}

// probeServers asks servers for their health and returns an observation for each that this
// steward knows and had the time to ask. If this process itself was slow, it doesn't report
// any server as silent.
func (n *Node) probeServers(ctx context.Context, refs []catalog.Ref) map[string]member.Answer {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout-evidenceReserve)
	defer cancel()
	dials := make([]string, len(refs))
	n.fsm.read(func(s *catalog.State) {
		for i, ref := range refs {
			if e := s.Entries[ref.Name]; e != nil && !e.Ended && e.Host.BornMs == ref.BornMs {
				dials[i] = e.Host.Dial
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
			found[i] = n.probe(ctx, dial)
		}()
	}
	all.Wait()
	slow := n.wasPaused() || time.Since(began) > 2*evidenceTimeout
	for i, a := range found {
		if slow && a == member.Silent {
			a = member.Unsure // the delay may be this process's own
		}
		if a != member.None {
			out[refs[i].Name] = a
		}
	}
	return out
}

// probe requests a server's health.
func (n *Node) probe(ctx context.Context, dial string) member.Answer {
	if ctx.Err() != nil {
		return member.None // there was no time for it: not the server's fault
	}
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+dial+"/health", nil)
	if err != nil {
		return member.None
	}
	resp, err := n.probes.Do(req)
	switch {
	case err == nil:
		resp.Body.Close()
		return member.Sees
	case errors.Is(err, syscall.ECONNREFUSED):
		return member.Refuses
	case ctx.Err() != nil:
		return member.None
	}
	return member.Silent
}
