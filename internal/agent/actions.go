package agent

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"knotrouter/policy"
)

// executeActions carries out the module's actions in their order.
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
			l.startProbe(action.Server)
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

// startAttempt starts an attempt.
func (l *loop) startAttempt(r *request, action *policy.Action) {
	b := l.backends[action.Server]
	if b == nil {
		b = &backend{addr: action.Server, transport: l.dialer.newTransport()}
	}
	a := l.newAttempt(r, b, milliseconds(action.Ms))
	if action.SendByMs > 0 {
		a.sendBy = a.started.Add(milliseconds(action.SendByMs))
	}
	a.index = len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if !b.usable || r.answered || r.abandoned.Load() {
		// The module sends to what is listed as ready only; should it not, nothing goes out.
		a.cancel(nil)
		l.deferredEvents = append(l.deferredEvents, event{kind: eventOutcome, attempt: a, result: result{status: policy.Withdrawn}})
		return
	}
	b.attempts[a] = struct{}{}
	go func() { l.post(event{kind: eventOutcome, attempt: a, result: a.run()}) }()
}

// newAttempt makes an newAttempt that ends by itself after a time.
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

// startProbe asks a backend how it is. Each startProbe has one end, which the module waits for.
func (l *loop) startProbe(addr policy.Addr) {
	b := l.backends[addr]
	if b == nil || !b.usable {
		if b == nil {
			b = &backend{addr: addr, transport: l.dialer.newTransport()}
		}
		l.deferredEvents = append(l.deferredEvents, event{kind: eventProbeResult, attempt: l.newAttempt(nil, b, 0), result: result{status: policy.Withdrawn}})
		return
	}
	path := "/status/load"
	if l.settings.Report.How == "off" {
		path = "/health"
	}
	// It is answered beside the queue: what takes longer than two connects is no answer.
	a := l.newAttempt(&request{method: http.MethodGet, url: &url.URL{Path: path}}, b, 2*l.dialer.connectTimeout)
	b.attempts[a] = struct{}{}
	go func() { l.post(event{kind: eventProbeResult, attempt: a, result: a.run()}) }()
}

func (l *loop) handleOutcome(a *attempt, res *result) {
	r, b := a.req, a.backend
	l.releaseAttempt(a)
	l.logAttempt(a, res)
	r.openAttempts--
	if res.status == policy.OK {
		l.answerRequest(r, answer{status: policy.OK, body: res.body, contentType: res.contentType})
	}
	if res.status == policy.Timeout {
		// The machine may have vanished; its other connections would be as silent.
		b.transport.CloseIdleConnections()
	}
	l.dispatch(&policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: a.index, Server: b.addr,
		Status: res.status, LatencyMs: float64(res.latency) / float64(time.Millisecond),
		Final: r.answered, Report: parseLoadReport(res.loadReport, l.settings.Report.Names)})
	l.removeIfDone(r)
}

func (l *loop) handleProbeResult(a *attempt, res *result) {
	l.releaseAttempt(a)
	text := res.loadReport
	if text == "" {
		text = string(res.body)
	}
	l.dispatch(&policy.Event{Kind: policy.EvProbeResult, Server: a.backend.addr, Status: res.status,
		LatencyMs: float64(res.latency) / float64(time.Millisecond),
		Report:    parseLoadReport(strings.TrimSpace(text), l.settings.Report.Names)})
}

// releaseAttempt takes an attempt that has ended from its backend.
func (l *loop) releaseAttempt(a *attempt) {
	b := a.backend
	delete(b.attempts, a)
	l.removeUnused(b)
	if a.transport != b.transport {
		a.transport.CloseIdleConnections() // to the address or the process before
	}
}
