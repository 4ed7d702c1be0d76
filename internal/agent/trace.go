package agent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// reason is why something ended: a closed connection, an attempt, a request's answer, a watch.
// It is the one vocabulary of the log for that.
type reason string

// The reasons that are logged.
const (
	reasonClientLeft     reason = "client_left"
	reasonIdleEvicted    reason = "idle_evicted"    // the place was needed for another client
	reasonSlowEvicted    reason = "slow_evicted"    // the same, of one within a request's head or body
	reasonShutdown       reason = "shutdown"        // the agent ends
	reasonDeadline       reason = "deadline"        // the client's time was up
	reasonServed         reason = "served"          // a server's whole answer
	reasonRefused        reason = "refused"         // the module refused: a retry is harmless
	reasonFailed         reason = "failed"          // the module gave up, or the answer failed
	reasonCancelled      reason = "cancelled"       // the module gave the attempt up
	reasonDrained        reason = "drained"         // the server drains or is gone
	reasonWindowOver     reason = "window_over"     // too late for a repeat to be known as one
	reasonNoSocket       reason = "no_socket"       // no descriptor left
	reasonSurplus        reason = "surplus"         // bytes behind an answer
	reasonEarlyAnswer    reason = "early_answer"    // an answer to a request that was not out whole
	reasonTransportError reason = "transport_error" // anything that a socket said
	reasonListIncomplete reason = "list_incomplete" // an answer ended in the midst of a list
)

// attemptReason is why an attempt got no whole answer.
func attemptReason(cause, err error) reason {
	for _, known := range []struct {
		err error
		why reason
	}{
		{errGone, reasonClientLeft}, {errCancelled, reasonCancelled}, {errDrained, reasonDrained},
		{errLate, reasonWindowOver}, {errSockets, reasonNoSocket},
		{errSurplus, reasonSurplus}, {errEarly, reasonEarlyAnswer}, {context.DeadlineExceeded, reasonDeadline},
	} {
		if errors.Is(cause, known.err) || errors.Is(err, known.err) {
			return known.why
		}
	}
	return reasonTransportError
}

// answerReason words a final answer.
func answerReason(status policy.Status) reason {
	switch status {
	case policy.OK:
		return reasonServed
	case policy.Full:
		return reasonRefused
	}
	return reasonFailed
}

// debugging tells whether the lines that come per request are written.
func (l *loop) debugging() bool { return l.log.Enabled(l.ctx, slog.LevelDebug) }

// traceAttempt writes one line on an attempt that has ended.
func (l *loop) traceAttempt(a *attempt, res *result) {
	if !l.debugging() {
		return
	}
	args := []any{"request_id", a.req.wireID, "attempt", a.index, "backend", a.dial, "status", int(res.status),
		"took", res.took, "list_version", l.seq}
	if first := a.firstByte.Load(); first > 0 {
		args = append(args, "first_byte_after", time.Duration(first))
	}
	if res.err != nil {
		args = append(args, "reason", attemptReason(context.Cause(a.ctx), res.err), "err", res.err)
	}
	l.log.Debug("attempt ended", args...)
}

// traceAnswer writes one line on a request's final answer.
func (l *loop) traceAnswer(r *request, status policy.Status) {
	if l.debugging() {
		l.log.Debug("request answered", "request_id", r.wireID, "reason", answerReason(status),
			"attempts", len(r.attempts), "left", time.Until(r.deadline))
	}
}

// traceHealth writes one line on a server whose health or process changed, in the room that
// there is for lines on discovery.
func (l *loop) traceHealth(host *endpoints.Endpoint, version int64) {
	if l.log.Enabled(l.ctx, slog.LevelInfo) && l.quiet.Take(time.Since(l.base)) {
		l.log.Info("backend changed", "backend", host.Name, "health", host.Health, "list_version", version)
	}
}

// watchTrace is what is logged of a watch when it ends.
type watchTrace struct {
	opened time.Time
	lists  int
}

// ended gives the log's attributes of a watch that ended with err.
func (w *watchTrace) ended(err error, version int64) []any {
	args := []any{"err", err, "list_version", version, "lists", w.lists, "open", time.Since(w.opened)}
	if cut := new(endpoints.IncompleteError); errors.As(err, &cut) {
		args = append(args, "reason", reasonListIncomplete, "pending_bytes", cut.Pending, "pending_for", cut.Age)
	}
	return args
}
