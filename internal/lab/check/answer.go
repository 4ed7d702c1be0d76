package check

import (
	"fmt"
	"strings"
	"time"

	"knotrouter/policy"
)

// Kind is how a request ended for its client.
type Kind uint8

// The kinds of ends.
const (
	Served      Kind = iota // 200 with the body of a server
	Refused                 // 429 or 503
	Failed                  // any other answer
	Unanswered              // no whole answer before the client gave up
	Unreachable             // no connection to the agent came up
	Left                    // the client went away early, of its own accord
	Void                    // the agent's process was killed by the lab, and its client with it
)

var kindNames = [...]string{"served", "refused", "failed", "unanswered", "unreachable", "left", "void"}

func (k Kind) String() string { return kindNames[k] }

// Body is what a server answers to an attempt; nothing else is taken for an answer.
func (a *Attempt) Body(server string) string {
	return fmt.Sprintf("%s %s %d\n", a.Request.ID, server, a.Index)
}

// Answer is what a client got for a request.
type Answer struct {
	Kind   Kind
	At     time.Duration
	Body   string
	Taken  bool // the request's last byte was written to a connection that came up
	Closed bool // the agent ended the connection without a whole answer
	Partly bool // some bytes of an answer came
	Fresh  bool // it was the first request on its connection
	// Surplus says that more came than the answer.
	Surplus bool
}

// Answered judges a request's end by rule 1, and by what refusing one of its class
// asks for. It returns the kind that counts.
func (c *Checker) Answered(r *Request, a Answer) Kind {
	r.mu.Lock()
	if a.Kind <= Failed {
		r.answered = a.At
	}
	r.finished = max(a.At, 1)
	attempts, may, real := len(r.attempts), (*Attempt)(nil), false
	for _, t := range r.attempts {
		if t.state != away && may == nil {
			may = t
		}
		real = real || a.Body == t.Body(c.server[t.Server].Name)
	}
	r.mu.Unlock()

	limit := r.Expires + time.Duration(c.set.Contract.AnswerSlackMs*float64(time.Millisecond)) + slack
	excused := c.excused(r.Agent, r.Planned, a.At)
	switch {
	case a.Kind == Left || a.Kind == Void || a.Kind == Unreachable:
	case a.Kind == Served && !real:
		c.breach(RuleLost, r, 0, -1, "served with %q, which no server made for it", cut(a.Body))
	case a.Kind <= Failed && a.At > limit && !excused:
		c.breach(RuleLost, r, 0, -1, "answered %v after its client gave up", a.At-r.Expires)
	case a.Kind == Unanswered && excused:
		return Void
	case a.Kind == Unanswered && a.Closed && a.Partly:
		// The client can tell that it is not whole.
		return Failed
	case a.Kind == Unanswered && a.Closed && a.Fresh && attempts == 0:
		// A new connection that is closed with nothing sent on has failed, not lost.
		return Failed
	case a.Kind == Unanswered && a.Closed && a.Taken:
		c.breach(RuleLost, r, 0, -1, "the agent closed the connection without an answer")
	case a.Kind == Unanswered && a.Taken && a.At > limit:
		c.breach(RuleLost, r, 0, -1, "no answer %v after its client gave up", a.At-r.Expires)
	}
	if a.Surplus {
		c.breach(RuleLost, r, 0, -1, "more than one answer")
	}
	if class := &c.set.Classes[r.Class]; a.Kind == Refused && may != nil && !mayRefuse(class) {
		c.breach(RuleDuplicate, r, 0, may.Server, "refused though attempt %d may have run", may.Index)
	}
	return a.Kind
}

// mayRefuse tells whether a request of the class may be refused after it may have run:
// its client's repeat must do no harm at any server.
func mayRefuse(class *policy.Class) bool {
	return class.Effect == policy.Idempotent || class.Effect == policy.Deduplicated && class.Group == policy.GroupAll
}

func cut(s string) string {
	if s = strings.TrimSpace(s); len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}
