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
	reasonClientCanceled        reason = "client_left"
	reasonIdleEvicted           reason = "idle_evicted"    // the place was needed for another client
	reasonSlowEvicted           reason = "slow_evicted"    // the same, of one within a request's head or body
	reasonShutdown              reason = "shutdown"        // the agent ends
	reasonDeadline              reason = "deadline"        // the client's time was up
	reasonServed                reason = "served"          // a server's whole answer
	reasonRejected              reason = "refused"         // the module refused: a retry is harmless
	reasonFailed                reason = "failed"          // the module gave up, or the answer failed
	reasonCancelled             reason = "cancelled"       // the module gave the attempt up
	reasonDrained               reason = "drained"         // the server drains or is gone
	reasonDedupWindowExpired    reason = "window_over"     // too late for a repeat to be known as one
	reasonNoSocket              reason = "no_socket"       // no descriptor left
	reasonTrailingBytes         reason = "surplus"         // bytes behind an answer
	reasonResponseBeforeRequest reason = "early_answer"    // an answer to a request that was not out whole
	reasonTransportError        reason = "transport_error" // anything that a socket said
	reasonListIncomplete        reason = "list_incomplete" // an answer ended in the midst of a list
)

// attemptReason is why an attempt got no whole answer.
func attemptReason(cause, err error) reason {
	for _, known := range []struct {
		err error
		why reason
	}{
		{errClientCanceled, reasonClientCanceled}, {errAttemptCanceled, reasonCancelled}, {errBackendDrained, reasonDrained},
		{errDedupWindowExpired, reasonDedupWindowExpired}, {errNoSockets, reasonNoSocket},
		{errTrailingBytes, reasonTrailingBytes}, {errResponseBeforeRequest, reasonResponseBeforeRequest}, {context.DeadlineExceeded, reasonDeadline},
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
		return reasonRejected
	}
	return reasonFailed
}

// warnDiscovery writes a line on discovery, as long as there is room for one.
func (l *loop) warnDiscovery(text string, args ...any) {
	if !l.logLimiter.Take(time.Since(l.startedAt)) {
		l.suppressedLines++
		return
	}
	if l.suppressedLines > 0 {
		args = append(args, "lines_left_out", l.suppressedLines)
	}
	if deferredCalls := l.discovery.client.BudgetExhausted(); deferredCalls > 0 {
		args = append(args, "calls_held_back", deferredCalls)
	}
	l.suppressedLines = 0
	l.log.Warn(text, args...)
}

// debugEnabled tells whether the lines that come per request are written.
func (l *loop) debugEnabled() bool { return l.log.Enabled(l.ctx, slog.LevelDebug) }

// logAttempt writes one line on an attempt that has ended.
func (l *loop) logAttempt(a *attempt, res *result) {
	if !l.debugEnabled() {
		return
	}
	args := []any{"request_id", a.req.wireID, "attempt", a.index, "backend", a.dialAddr, "status", int(res.status),
		"took", res.latency, "list_version", l.listVersion}
	if first := a.firstByte.Load(); first > 0 {
		args = append(args, "first_byte_after", time.Duration(first))
	}
	if res.err != nil {
		args = append(args, "reason", attemptReason(context.Cause(a.ctx), res.err), "err", res.err)
	}
	l.log.Debug("attempt ended", args...)
}

// logAnswer writes one line on a request's final answer.
func (l *loop) logAnswer(r *request, status policy.Status) {
	if l.debugEnabled() {
		l.log.Debug("request answered", "request_id", r.wireID, "reason", answerReason(status),
			"attempts", len(r.attempts), "left", time.Until(r.deadline))
	}
}

// logHealthChange writes one line on a server whose health or process changed, in the room that
// there is for lines on discovery.
func (l *loop) logHealthChange(host *endpoints.Endpoint, version int64) {
	if l.log.Enabled(l.ctx, slog.LevelInfo) && l.logLimiter.Take(time.Since(l.startedAt)) {
		l.log.Info("backend changed", "backend", host.Name, "health", host.Health, "list_version", version)
	}
}

// watchStats is what is logged of a watch when it ends.
type watchStats struct {
	openedAt time.Time
	lists    int
}

// endAttrs gives the log's attributes of a watch that endAttrs with err.
func (w *watchStats) endAttrs(err error, version int64) []any {
	args := []any{"err", err, "list_version", version, "lists", w.lists, "open", time.Since(w.openedAt)}
	if cut := new(endpoints.IncompleteError); errors.As(err, &cut) {
		args = append(args, "reason", reasonListIncomplete, "pending_bytes", cut.Pending, "pending_for", cut.Age)
	}
	return args
}
