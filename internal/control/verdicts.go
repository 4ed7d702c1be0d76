package control

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"molepaddle/internal/catalog"
	"molepaddle/internal/member"
)

// verdicts is what the stewards said of servers that are in doubt.
type verdicts struct {
	mu     sync.Mutex
	about  map[string]testimony
	voters []string
}

type testimony struct {
	bornMs  float64
	at      time.Time
	answers map[string]member.Answer
}

// judge is how leases are decided: by what most of the stewards that vote said of late.
func (n *Node) judge() catalog.Judge {
	if !n.c.Evidence {
		return catalog.LeaseAlone
	}
	n.judged.mu.Lock()
	about, voters := n.judged.about, n.judged.voters
	n.judged.mu.Unlock()
	return func(ref catalog.Ref, over bool) catalog.Evidence {
		t, ok := about[ref.Name]
		if !ok || t.bornMs != ref.BornMs || time.Since(t.at) > verdictLasts {
			return catalog.Unsettled
		}
		switch member.Judge(voters, true, over, t.answers) {
		case member.Keep:
			return catalog.Stays
		case member.Remove:
			return catalog.Gone
		}
		return catalog.Unsettled
	}
}

// inquire has the stewards that vote asked about servers that are not heard, while this one
// leads. What they say counts only if this one was shown to lead after it was said.
func (n *Node) inquire() {
	t := time.NewTicker(inquireEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		now, leads := n.elapsed()
		if !leads || !n.c.Evidence {
			continue
		}
		var refs []catalog.Ref
		n.lead.Lock()
		if n.leases != nil {
			n.fsm.read(func(s *catalog.State) { refs = n.leases.Doubtful(s, now) })
		}
		n.lead.Unlock()
		if len(refs) == 0 {
			continue
		}
		voters := n.voters()
		answers := n.ask(voters, refs)
		if n.verifyLeader(n.ctx) != nil {
			continue
		}
		at := time.Now()
		n.judged.mu.Lock()
		about := map[string]testimony{}
		for name, t := range n.judged.about { // those asked about in another turn
			if at.Sub(t.at) <= verdictLasts {
				about[name] = t
			}
		}
		for _, ref := range refs {
			about[ref.Name] = testimony{ref.BornMs, at, answers[ref.Name]}
		}
		n.judged.about, n.judged.voters = about, voters
		n.judged.mu.Unlock()
	}
}

// ask returns what each voter says, by server and voter.
func (n *Node) ask(voters []string, refs []catalog.Ref) map[string]map[string]member.Answer {
	ctx, cancel := context.WithTimeout(n.ctx, evidenceWait)
	defer cancel()
	type said struct {
		from    string
		answers map[string]member.Answer
	}
	heard := make(chan said, len(voters))
	for _, v := range voters {
		go func() {
			if v == n.c.Name {
				heard <- said{v, n.testify(ctx, refs)}
				return
			}
			p, known := (*n.table.Load())[v]
			if !known {
				heard <- said{from: v}
				return
			}
			var e Evidence
			err := call(ctx, n.peers, http.MethodPost, "http://"+p.HTTP+"/v1/evidence", Evidence{Refs: refs}, &e)
			var refused *HTTPError
			switch {
			case errors.As(err, &refused) && refused.Status == http.StatusNotFound:
				e.From, e.Answers = v, map[string]member.Answer{}
				for _, ref := range refs {
					e.Answers[ref.Name] = member.Agrees
				}
			case err != nil || e.From != v: // the table may lead to another
				e.Answers = nil
			}
			heard <- said{v, e.Answers}
		}()
	}
	out := map[string]map[string]member.Answer{}
	for _, ref := range refs {
		out[ref.Name] = map[string]member.Answer{}
	}
	for range voters {
		s := <-heard
		for name, a := range s.answers {
			if out[name] != nil {
				out[name][s.from] = a
			}
		}
	}
	return out
}
