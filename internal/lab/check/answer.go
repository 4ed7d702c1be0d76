package check

import (
	"fmt"
	"strings"
	"time"

	"knotrouter/policy"
)

// Outcome is the result of a request for its client.
type Outcome uint8

// The outcomes. Up to Failed, an answer was received.
const (
	Served         Outcome = iota // 200 with the body of a server
	Rejected                      // 429 or 503
	Failed                        // any other answer
	Unanswered                    // no complete answer before the client gave up
	Unreachable                   // no connection to the agent could be opened
	ClientCanceled                // the client canceled the request early
	Void                          // the lab prevented the agent from answering, or killed it and its client
)

// outcomeNames holds the names of the outcomes in reports, which are a stable format.
var outcomeNames = [...]string{"served", "refused", "failed", "unanswered", "unreachable", "left", "void"}

// String returns the name of the outcome in reports.
func (o Outcome) String() string { return outcomeNames[o] }

// Body returns the body with which a server answers the attempt. An answer with any other body does not
// count as served.
func (a *Attempt) Body(server string) string {
	return fmt.Sprintf("%s %s %d\n", a.Request.ID, server, a.Index)
}

// Answer describes what a client received for a request.
type Answer struct {
	Outcome          Outcome
	At               time.Duration // when the answer was complete, or when the client gave up
	Body             string
	Sent             bool // the request's last byte was written to an open connection
	Closed           bool // the agent closed the connection without a complete answer
	Partial          bool // some bytes of an answer arrived
	NewConnection    bool // the request was the first on its connection
	ExtraBytes       bool // more bytes arrived after the answer
	ExtraBytesBefore bool // an idle connection had received bytes without a request, before this request was sent
}

// RecordAnswer records the outcome of a request for its client, and checks that the request was answered
// once, in time and with the body of a server. A request that may have been executed must not be rejected
// unless its client may safely repeat it.
//
// RecordAnswer returns the outcome to be counted. For a request without an answer, this is Void if the lab
// prevented the agent from answering, and Failed if the client can tell that it got no answer.
func (c *Checker) RecordAnswer(r *Request, answer Answer) Outcome {
	r.mu.Lock()
	if answer.Outcome <= Failed {
		r.answeredAt = answer.At
	}
	r.finishedAt = max(answer.At, 1) // 0 would mean that it has not finished
	attempts := r.summarizeAttempts()
	fromServer := c.isServerBody(r, answer.Body)
	r.mu.Unlock()

	if answer.ExtraBytesBefore {
		c.recordRequestBreach(RuleLost, r, noIndex, "more than one answer to a request before this one")
	}
	outcome := c.checkAnswered(r, answer, attempts, fromServer)
	if outcome != answer.Outcome {
		return outcome
	}
	if answer.ExtraBytes {
		c.recordRequestBreach(RuleLost, r, noIndex, "more than one answer")
	}
	class := &c.settings.Classes[r.Class]
	if executed := attempts.maybeExecuted; answer.Outcome == Rejected && executed != nil && !mayRejectAfterExecution(class) {
		c.recordRequestBreach(RuleDuplicate, r, executed.Server, "refused though attempt %d may have run", executed.Index)
	}
	return answer.Outcome
}

// isServerBody reports whether the body is that of a server for one of the request's attempts. The caller
// holds r.mu.
func (c *Checker) isServerBody(r *Request, body string) bool {
	for _, a := range r.attempts {
		if body == a.Body(c.servers[a.Server].Name) {
			return true
		}
	}
	return false
}

// checkAnswered checks that a request was not lost. It returns the outcome to be counted. This differs from
// answer.Outcome if a missing answer breaks no rule, because the lab caused it or the client can detect it.
func (c *Checker) checkAnswered(r *Request, answer Answer, attempts attemptSummary, fromServer bool) Outcome {
	limit := r.Deadline + millis(c.settings.Contract.AnswerSlackMs) + timingSlack
	agentStopped := c.wasStopped(r.Agent, r.PlannedAt, answer.At)
	switch answer.Outcome {
	case ClientCanceled, Void, Unreachable:
	case Unanswered:
		return c.checkUnanswered(r, answer, attempts, limit, agentStopped)
	default:
		switch {
		case answer.Outcome == Served && !fromServer:
			c.recordRequestBreach(RuleLost, r, noIndex, "served with %q, which no server made for it", truncate(answer.Body))
		case answer.At > limit && !agentStopped:
			c.recordRequestBreach(RuleLost, r, noIndex, "answered %v after its client gave up", answer.At-r.Deadline)
		}
	}
	return answer.Outcome
}

// checkUnanswered checks whether a request without an answer was lost by its agent.
func (c *Checker) checkUnanswered(r *Request, answer Answer, attempts attemptSummary, limit time.Duration, agentStopped bool) Outcome {
	switch {
	case agentStopped:
		return Void
	case answer.Closed && answer.Partial: // the client can tell that the answer is incomplete
		return Failed
	case answer.Closed && answer.NewConnection && attempts.count == 0: // the connection failed, and nothing was forwarded
		return Failed
	case answer.Closed && answer.Sent:
		c.recordRequestBreach(RuleLost, r, noIndex, "the agent closed the connection without an answer")
	case answer.Sent && answer.At > limit:
		c.recordRequestBreach(RuleLost, r, noIndex, "no answer %v after its client gave up", answer.At-r.Deadline)
	}
	return Unanswered
}

// mayRejectAfterExecution reports whether an agent may reject a request of the class that a server may have
// executed. It may if the client can safely retry the request at any server.
func mayRejectAfterExecution(class *policy.Class) bool {
	return class.Effect == policy.Idempotent || class.Effect == policy.Deduplicated && class.Group == policy.GroupAll
}

// maxQuotedBody bounds the part of a body that a breach quotes.
const maxQuotedBody = 60

// truncate shortens a body for a breach's text.
func truncate(body string) string {
	body = strings.TrimSpace(body)
	if len(body) > maxQuotedBody {
		return body[:maxQuotedBody] + "..."
	}
	return body
}
