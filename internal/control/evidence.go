package control

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"molepaddle/internal/catalog"
	"molepaddle/internal/member"
)

// Evidence is what a steward was asked about, or says.
type Evidence struct {
	From    string                   `json:"from,omitempty"`
	Refs    []catalog.Ref            `json:"refs,omitempty"`
	Answers map[string]member.Answer `json:"answers,omitempty"`
}

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
	if n.evidenceCalls.Add(1) > mostQuestions {
		n.evidenceCalls.Add(-1)
		n.calls.refuse(w, evidenceWait) // who asked counts this one as silent
		return
	}
	defer n.evidenceCalls.Add(-1)
	answer(w, Evidence{From: n.c.Name, Answers: n.testify(r.Context(), b.Refs)})
}

// testify tells what this steward sees of servers, by asking them itself.
func (n *Node) testify(ctx context.Context, refs []catalog.Ref) map[string]member.Answer {
	ctx, cancel := context.WithTimeout(ctx, evidenceWait-100*time.Millisecond)
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
	places := make(chan struct{}, probeMany)
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
	slow := n.slow() || time.Since(began) > 2*evidenceWait
	for i, a := range found {
		if slow && a == member.Silent {
			a = member.Unsure // who was late itself accuses nobody
		}
		if a != member.None {
			out[refs[i].Name] = a
		}
	}
	return out
}

// probe asks a server how it is.
func (n *Node) probe(ctx context.Context, dial string) member.Answer {
	if ctx.Err() != nil {
		return member.None // there was no time for it: not the server's fault
	}
	c, cancel := context.WithTimeout(ctx, probeWait)
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
