package check

import (
	"fmt"
	"strings"
	"time"

	"knotrouter/policy"
)

// Outcome is how a request ended for its client.
type Outcome uint8

// The kinds of ends.
const (
	Served         Outcome = iota // 200 with the body of a server
	Rejected                      // 429 or 503
	Failed                        // any other answer
	Unanswered                    // no whole answer before the client gave up
	Unreachable                   // no connection to the agent came up
	ClientCanceled                // the client went away early, of its own accord
	Void                          // the agent's process was killed by the lab, and its client with it
)

var outcomeNames = [...]string{"served", "refused", "failed", "unanswered", "unreachable", "left", "void"}

func (k Outcome) String() string { return outcomeNames[k] }

// Body is what a server answers to an attempt; nothing else is taken for an answer.
func (a *Attempt) Body(server string) string {
	return fmt.Sprintf("%s %s %d\n", a.Request.ID, server, a.Index)
}

// Answer is what a client got for a request.
type Answer struct {
	Outcome       Outcome
	At            time.Duration
	Body          string
	Sent          bool // the request's last byte was written to a connection that came up
	Closed        bool // the agent ended the connection without a whole answer
	Partial       bool // some bytes of an answer came
	NewConnection bool // it was the first request on its connection
	// Surplus says that more came than the answer.
	Surplus bool
}

// RecordAnswer judges a request's end by rule 1, and by what refusing one of its class
// asks for. It returns the kind that counts.
func (c *Checker) RecordAnswer(r *Request, a Answer) Outcome {
	r.mu.Lock()
	if a.Outcome <= Failed {
		r.answered = a.At
	}
	r.finished = max(a.At, 1)
	attempts, may, real := len(r.attempts), (*Attempt)(nil), false
	for _, t := range r.attempts {
		if t.state != rejected && may == nil {
			may = t
		}
		real = real || a.Body == t.Body(c.servers[t.Server].Name)
	}
	r.mu.Unlock()

	limit := r.Deadline + time.Duration(c.settings.Contract.AnswerSlackMs*float64(time.Millisecond)) + timingSlack
	excused := c.isExcused(r.Agent, r.PlannedAt, a.At)
	switch {
	case a.Outcome == ClientCanceled || a.Outcome == Void || a.Outcome == Unreachable:
	case a.Outcome == Served && !real:
		c.recordBreach(RuleLost, r, 0, -1, "served with %q, which no server made for it", truncate(a.Body))
	case a.Outcome <= Failed && a.At > limit && !excused:
		c.recordBreach(RuleLost, r, 0, -1, "answered %v after its client gave up", a.At-r.Deadline)
	case a.Outcome == Unanswered && excused:
		return Void
	case a.Outcome == Unanswered && a.Closed && a.Partial:
		// The client can tell that it is not whole.
		return Failed
	case a.Outcome == Unanswered && a.Closed && a.NewConnection && attempts == 0:
		// A new connection that is closed with nothing sent on has failed, not lost.
		return Failed
	case a.Outcome == Unanswered && a.Closed && a.Sent:
		c.recordBreach(RuleLost, r, 0, -1, "the agent closed the connection without an answer")
	case a.Outcome == Unanswered && a.Sent && a.At > limit:
		c.recordBreach(RuleLost, r, 0, -1, "no answer %v after its client gave up", a.At-r.Deadline)
	}
	if a.Surplus {
		c.recordBreach(RuleLost, r, 0, -1, "more than one answer")
	}
	if class := &c.settings.Classes[r.Class]; a.Outcome == Rejected && may != nil && !mayRejectAfterExecution(class) {
		c.recordBreach(RuleDuplicate, r, 0, may.Server, "refused though attempt %d may have run", may.Index)
	}
	return a.Outcome
}

// mayRejectAfterExecution tells whether a request of the class may be refused after it may have run:
// its client's repeat must do no harm at any server.
func mayRejectAfterExecution(class *policy.Class) bool {
	return class.Effect == policy.Idempotent || class.Effect == policy.Deduplicated && class.Group == policy.GroupAll
}

func truncate(s string) string {
	if s = strings.TrimSpace(s); len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}
