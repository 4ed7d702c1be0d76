package agent

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"knotrouter/policy"
)

// executeActions executes the balancer's actions in order.
func (l *loop) executeActions() {
	for i := range l.actions {
		action := &l.actions[i]
		r := l.requests[action.Request]
		switch action.Kind {
		case policy.ActSend:
			if r != nil {
				l.startAttempt(r, action)
			}
		case policy.ActCancel:
			if r != nil && action.Attempt >= 0 && action.Attempt < len(r.attempts) {
				r.attempts[action.Attempt].cancel(errAttemptCanceled)
			}
		case policy.ActReject:
			if r != nil {
				l.answerRequest(r, answer{status: policy.Full, retryAfter: milliseconds(action.Ms)})
				l.removeIfDone(r)
			}
		case policy.ActFail:
			if r != nil {
				l.answerRequest(r, answer{status: policy.Error})
				l.removeIfDone(r)
			}
		case policy.ActProbe:
			l.startProbe(action)
		case policy.ActTimer:
			token := action.Token
			time.AfterFunc(milliseconds(action.Ms), func() { l.post(event{kind: eventTimer, token: token}) })
		case policy.ActWatchList:
			l.openWatch()
		case policy.ActFetchList:
			if !l.fetching {
				l.fetching = true
				go l.discovery.fetch(l.discoveryCtx, l.listVersion)
			}
		case policy.ActClose:
			if b := l.backends[action.Server]; b != nil {
				b.transport.CloseIdleConnections()
			}
		case policy.ActWithdraw:
			if b := l.backends[action.Server]; b != nil {
				b.withdrawAttempts()
			}
		case policy.ActLog:
			l.log.Info(action.Text)
		}
	}
}

// startAttempt sends r to the server that the action names.
func (l *loop) startAttempt(r *request, action *policy.Action) {
	b := l.backends[action.Server]
	if b == nil {
		b = &backend{addr: action.Server, transport: l.dialer.newTransport()}
	}
	a := l.newAttempt(r, b, milliseconds(action.Ms))
	if action.SendByMs > 0 {
		a.sendBy = a.started.Add(milliseconds(action.SendByMs))
	}
	a.reuseDelay, a.singleUse = milliseconds(action.ReuseDelayMs), action.SingleUse
	a.index = len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if !b.usable || r.answered || r.abandoned.Load() {
		// The balancer sends only to servers that are listed as ready. If it chooses a server that is not,
		// or if the request has been answered or abandoned meanwhile, nothing is written.
		a.cancel(nil)
		l.deferredEvents = append(l.deferredEvents,
			event{kind: eventOutcome, attempt: a, result: result{status: policy.Withdrawn}})
		return
	}
	b.attempts[a] = struct{}{}
	go func() { l.post(event{kind: eventOutcome, attempt: a, result: a.run()}) }()
}

// newAttempt returns an attempt of r at b that is cancelled after timeout.
func (l *loop) newAttempt(r *request, b *backend, timeout time.Duration) *attempt {
	a := &attempt{req: r, backend: b, transport: b.transport, dialAddr: b.dialAddr, started: time.Now()}
	ctx, cancel := context.WithCancelCause(l.ctx)
	var stop context.CancelFunc
	a.ctx, stop = context.WithTimeout(ctx, timeout)
	a.cancel = func(cause error) {
		cancel(cause)
		stop()
	}
	return a
}

// startProbe sends a health check to a server. Each health check yields exactly one result, which
// the balancer waits for.
func (l *loop) startProbe(action *policy.Action) {
	addr := action.Server
	b := l.backends[addr]
	if b == nil || !b.usable {
		if b == nil {
			b = &backend{addr: addr, transport: l.dialer.newTransport()}
		}
		a := l.newAttempt(nil, b, 0)
		l.deferredEvents = append(l.deferredEvents,
			event{kind: eventProbeResult, attempt: a, result: result{status: policy.Withdrawn}})
		return
	}
	path := "/status/load"
	if l.settings.Report.Mode == "off" {
		path = "/health"
	}
	// A server answers health checks outside its queue: no response within two connect timeouts is a failure.
	a := l.newAttempt(&request{method: http.MethodGet, url: &url.URL{Path: path}}, b, 2*l.dialer.connectTimeout)
	a.reuseDelay, a.singleUse = milliseconds(action.ReuseDelayMs), action.SingleUse
	b.attempts[a] = struct{}{}
	go func() { l.post(event{kind: eventProbeResult, attempt: a, result: a.run()}) }()
}

// handleOutcome answers the request of an ended attempt if it succeeded, and dispatches the outcome.
func (l *loop) handleOutcome(a *attempt, res *result) {
	r, b := a.req, a.backend
	l.releaseAttempt(a)
	l.logAttempt(a, res)
	r.openAttempts--
	if res.status == policy.OK {
		l.answerRequest(r, answer{status: policy.OK, body: res.body, contentType: res.contentType, memory: res.memory})
	}
	if res.status == policy.Timeout {
		// The machine may be down; its other connections would be unresponsive too.
		b.transport.CloseIdleConnections()
	}
	l.dispatch(&policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: a.index, Server: b.addr,
		Status: res.status, LatencyMs: float64(res.latency) / float64(time.Millisecond),
		Final: r.answered, Local: res.local, Report: parseLoadReport(res.loadReport, l.settings.Report.Names)})
	l.removeIfDone(r)
}

// handleProbeResult dispatches the result of a health check with the load report in its response.
func (l *loop) handleProbeResult(a *attempt, res *result) {
	l.releaseAttempt(a)
	defer res.memory.release()
	text := res.loadReport
	if text == "" {
		text = string(res.body)
	}
	l.dispatch(&policy.Event{Kind: policy.EvProbeResult, Server: a.backend.addr, Status: res.status,
		LatencyMs: float64(res.latency) / float64(time.Millisecond),
		Report:    parseLoadReport(strings.TrimSpace(text), l.settings.Report.Names)})
}

// releaseAttempt removes an attempt that has ended from its backend.
func (l *loop) releaseAttempt(a *attempt) {
	b := a.backend
	delete(b.attempts, a)
	l.removeUnused(b)
	if a.transport != b.transport {
		a.transport.CloseIdleConnections() // its connections lead to the previous address or process
	}
}
