package agent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// reason says why a connection was closed or why an attempt, a request or a watch ended. The log uses
// only the values below, which are fixed even where a Go name differs.
type reason string

// The reasons that are logged.
const (
	reasonClientCanceled        reason = "client_left"
	reasonIdleEvicted           reason = "idle_evicted"    // idle, and closed to make room for another client
	reasonSlowEvicted           reason = "slow_evicted"    // closed for another client within a request's head or body
	reasonMemory                reason = "memory"          // its request takes memory that others need, or is too long
	reasonShutdown              reason = "shutdown"        // the agent shuts down
	reasonDeadline              reason = "deadline"        // the client's timeout expired
	reasonServed                reason = "served"          // a server's complete response
	reasonRejected              reason = "refused"         // the balancer rejected it: a retry is safe
	reasonFailed                reason = "failed"          // the balancer gave up, or the response failed
	reasonCancelled             reason = "cancelled"       // the balancer cancelled the attempt
	reasonDrained               reason = "drained"         // the server drains or was removed
	reasonDedupWindowExpired    reason = "window_over"     // too late for a retry to be deduplicated
	reasonNoSocket              reason = "no_socket"       // no file descriptor left
	reasonTrailingBytes         reason = "surplus"         // bytes after the response
	reasonResponseBeforeRequest reason = "early_answer"    // a response before the request was sent completely
	reasonTransportError        reason = "transport_error" // any error of a socket
	reasonListIncomplete        reason = "list_incomplete" // a response ended within a list
)

// attemptReason returns why an attempt got no complete response, from its context's cause and its
// error.
func attemptReason(cause, err error) reason {
	for _, entry := range []struct {
		err    error
		reason reason
	}{
		{errClientCanceled, reasonClientCanceled},
		{errAttemptCanceled, reasonCancelled},
		{errBackendDrained, reasonDrained},
		{errDedupWindowExpired, reasonDedupWindowExpired},
		{errNoSockets, reasonNoSocket},
		{errTrailingBytes, reasonTrailingBytes},
		{errResponseBeforeRequest, reasonResponseBeforeRequest},
		{context.DeadlineExceeded, reasonDeadline},
	} {
		if errors.Is(cause, entry.err) || errors.Is(err, entry.err) {
			return entry.reason
		}
	}
	return reasonTransportError
}

// answerReason returns the reason of a final response.
func answerReason(status policy.Status) reason {
	switch status {
	case policy.OK:
		return reasonServed
	case policy.Full:
		return reasonRejected
	}
	return reasonFailed
}

// warnDiscovery logs a warning about discovery unless the rate limit is reached. Suppressed
// lines are counted, and the next logged line reports their number.
func (l *loop) warnDiscovery(text string, args ...any) {
	if !l.logLimiter.Take(time.Since(l.startedAt)) {
		l.suppressedLines++
		return
	}
	if l.suppressedLines > 0 {
		args = append(args, "suppressed_lines", l.suppressedLines)
	}
	if deferredCalls := l.discovery.client.BudgetExhausted(); deferredCalls > 0 {
		args = append(args, "deferred_calls", deferredCalls)
	}
	l.suppressedLines = 0
	l.log.Warn(text, args...)
}

// debugEnabled reports whether a line is logged for each request and attempt.
func (l *loop) debugEnabled() bool { return l.log.Enabled(l.ctx, slog.LevelDebug) }

// logAttempt logs the end of an attempt at debug level.
func (l *loop) logAttempt(a *attempt, res *result) {
	if !l.debugEnabled() {
		return
	}
	args := []any{"request_id", a.req.wireID, "attempt", a.index, "backend", a.dialAddr, "status", int(res.status),
		"took", res.latency, "list_version", l.listVersion}
	if first := a.firstByteNs.Load(); first > 0 {
		args = append(args, "first_byte_after", time.Duration(first))
	}
	if res.err != nil {
		args = append(args, "reason", attemptReason(context.Cause(a.ctx), res.err), "err", res.err)
	}
	l.log.Debug("attempt ended", args...)
}

// logAnswer logs the final response to a request at debug level.
func (l *loop) logAnswer(r *request, status policy.Status) {
	if l.debugEnabled() {
		l.log.Debug("request answered", "request_id", r.wireID, "reason", answerReason(status),
			"attempts", len(r.attempts), "left", time.Until(r.deadline))
	}
}

// logHealthChange logs that a server's health or process changed, within the rate limit of the
// lines about discovery.
func (l *loop) logHealthChange(ep *endpoints.Endpoint, version int64) {
	if l.log.Enabled(l.ctx, slog.LevelInfo) && l.logLimiter.Take(time.Since(l.startedAt)) {
		l.log.Info("backend changed", "backend", ep.Name, "health", ep.Health, "list_version", version)
	}
}

// watchStats holds the statistics of a watch that are logged when it ends.
type watchStats struct {
	openedAt time.Time
	lists    int
}

// endAttrs returns the log attributes of a watch that ended with err.
func (w *watchStats) endAttrs(err error, version int64) []any {
	args := []any{"err", err, "list_version", version, "lists", w.lists, "open", time.Since(w.openedAt)}
	if incomplete := new(endpoints.IncompleteError); errors.As(err, &incomplete) {
		args = append(args, "reason", reasonListIncomplete, "pending_bytes", incomplete.Pending, "pending_for", incomplete.Age)
	}
	return args
}
