package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// eventKind tells what happened.
type eventKind uint8

// What may come in to the loop.
const (
	eventRequest          eventKind = iota // req
	eventClientCanceled                    // req: its handler answers or waits no longer
	eventOutcome                           // att, res
	eventProbeResult                       // att, res
	eventTimer                             // token
	eventListFetched                       // list or err
	eventListChanged                       // list
	eventWatchEnded                        // err
	eventDiscoveryChanged                  // addrs: where discovery is from now on, names: the services asked for
	eventShutdown                          // the agent is about to end
	eventFailover                          // addr: where it is not asked any more, err
	eventListPartial                       // list: what has come of one that is not whole
)

// event is one thing that happened, on its way to the loop.
type event struct {
	kind     eventKind
	req      *request
	attempt  *attempt
	result   result
	token    uint32
	list     endpoints.List
	since    int64 // the version that the watch named, or told before this list
	err      error
	source   *discovery // who told
	addr     string
	addrs    []string
	services []string // of services
}

// request is what a client asked. The handler fills it in; what stands below
// answers belongs to the loop.
type request struct {
	client         *clientConn // nil: none waits
	abandoned      atomic.Bool // by its handler, which waits no longer: no attempt may begin
	class          int
	tenant         int
	affinityKey    uint64
	hintMs         float64
	hasHint        bool
	retry          bool
	deadline       time.Time
	method         string
	url            *url.URL
	host           string
	wireID         string
	idempotencyKey string
	contentType    string
	body           []byte
	answers        chan answer // room for the one that is sent

	id           policy.RequestID
	answered     bool
	attempts     []*attempt
	openAttempts int
}

// The ways in which the settings have lists come, and the time to ask within where they
// give none, in ms.
const (
	membershipPushed, membershipOnRequest = "pushed", "on_request"
	defaultPollWithinMs                   = 10000
)

// answer is the final answer to a request.
type answer struct {
	status      policy.Status // OK: served; Full: refused; Error: failed
	body        []byte
	contentType string
	retryAfter  time.Duration
}

// loop owns the Balancer: one goroutine hands it what happens, in order, and
// carries out what it decides. Nothing in it blocks.
type loop struct {
	balancer            *policy.Balancer
	settings            *policy.Settings
	names               *nameIndex
	log                 *slog.Logger
	events              chan event
	deferredEvents      []event // what the loop itself gave rise to, to be handled next
	startedAt           time.Time
	startedAtMs         float64
	dialer              *dialer
	discovery           *discovery
	controlPlane        *endpoints.ClientConfig // of what several stewards list; nil: one discovery does
	scope               scope                   // the services whose servers are asked for
	logLimiter          endpoints.TokenBucket   // for lines on discovery
	suppressedLines     int                     // lines since the last that there was no room for
	cancelDiscovery     context.CancelFunc      // ends the calls to disc
	previousDiscoveries []previousDiscovery     // those before, which are heard out
	discoveryCtx        context.Context
	requests            map[policy.RequestID]*request
	backends            map[policy.Addr]*backend
	nextID              policy.RequestID
	listVersion         int64
	watching            bool
	watchStats          watchStats
	startClock          startClock
	fetching            bool
	actions             []policy.Action
	hasUsableBackend    atomic.Bool // a backend can be sent to
	ctx                 context.Context
}

func newLoop(ctx context.Context, c *Config, log *slog.Logger) (*loop, error) {
	settings := c.Settings
	if maxOpen := maxOpenRequests(c.Limits.Sockets); settings.Limits.OpenCap <= 0 || settings.Limits.OpenCap > maxOpen {
		settings.Limits.OpenCap = maxOpen
	}
	pushed := settings.Membership == membershipPushed
	if pushed {
		// Over HTTP what is pushed comes on a watch as well, and one that breaks has to be
		// opened anew: to the module the list is one that it asks for.
		settings.Membership = membershipOnRequest
		if settings.Contract.ListPollWithinMs <= 0 {
			settings.Contract.ListPollWithinMs = defaultPollWithinMs
		}
	}
	balancer, err := policy.New(settings, c.Seed)
	if err != nil {
		return nil, err
	}
	// The module's clock is the Unix time of the start, then monotonic: born_ms needs
	// no translation, and steps of the system's clock don't show.
	startedAt := time.Now()
	budget := backendSockets(c.Limits.Sockets)
	l := &loop{balancer: balancer, settings: &settings, names: &c.Names, log: log, ctx: ctx,
		// Room for all that can be under way at once: a handler must not wait here
		// while its guard is not yet set.
		events: make(chan event, 4*c.Limits.Sockets), startedAt: startedAt, startedAtMs: float64(startedAt.UnixMicro()) / 1000,
		requests: map[policy.RequestID]*request{}, backends: map[policy.Addr]*backend{},
		dialer: &dialer{connect: (&net.Dialer{KeepAlive: -1}).DialContext, connectTimeout: milliseconds(c.Settings.Limits.ConnectTimeoutMs),
			idleTimeout: milliseconds(c.Settings.Limits.KeepaliveMs / 2), maxOpen: int64(budget), maxIdlePerBackend: max(budget/32, 2)}}
	if l.dialer.connectTimeout <= 0 {
		l.dialer.connectTimeout = time.Second
	}
	// A fault of discovery is one that all agents see: they share the room for its lines.
	l.logLimiter = endpoints.TokenBucket{Burst: 10, Rate: min(1, 20/float64(max(settings.Replicas, 1)))}
	if len(c.ControlPlane) > 0 {
		l.controlPlane = &endpoints.ClientConfig{Order: c.Seed, Fleet: settings.Replicas, RejectOlder: true, Services: c.Services}
		l.scope.update(c.Services, 0)
		if endpoints.IsToken(c.Name, endpoints.MaxName) {
			l.controlPlane.Member = c.Name
		}
	}
	l.connectDiscovery(c.addresses())
	l.actions = l.balancer.Start(l.nowMs(), l.actions[:0])
	l.executeActions()
	known := l.scope.seed(c.CachedList)
	l.applyList(policy.ListCached, &known)
	if pushed { // what is pushed counts as told from the first moment of a process
		l.openWatch()
	}
	return l, nil
}

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

func (l *loop) nowMs() float64 {
	return l.startedAtMs + float64(time.Since(l.startedAt))/float64(time.Millisecond)
}

// post hands the loop something that happened. It waits while the queue is full and
// returns at once when the loop has ended.
func (l *loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// run handles what comes in until the context ends.
func (l *loop) run() {
	for {
		select {
		case e := <-l.events:
			l.handle(e)
			for len(l.deferredEvents) > 0 {
				e, l.deferredEvents = l.deferredEvents[0], l.deferredEvents[1:]
				l.handle(e)
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// handle takes one input. A panic costs the request at hand its decision, and its
// guard answers it: one bad event must not take down all that the agent holds.
func (l *loop) handle(e event) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in the loop", "input", e.kind, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	if e.source != nil && e.source != l.discovery {
		l.handlePreviousDiscovery(&e)
		return
	}
	switch e.kind {
	case eventRequest:
		l.handleRequest(e.req)
	case eventClientCanceled:
		if r := e.req; r.id != 0 && !r.answered {
			r.answered = true
			for _, a := range r.attempts {
				if a.withdraw() {
					a.cancel(errClientCanceled)
				}
			}
			l.dispatch(&policy.Event{Kind: policy.EvClientCanceled, Request: r.id})
			l.removeIfDone(r)
		}
	case eventOutcome:
		l.handleOutcome(e.attempt, &e.result)
	case eventProbeResult:
		l.handleProbeResult(e.attempt, &e.result)
	case eventTimer:
		l.dispatch(&policy.Event{Kind: policy.EvTimer, Token: e.token})
	case eventListFetched:
		l.fetching = false
		switch {
		case e.err != nil:
			l.warnDiscovery("discovery: fetch failed", "err", e.err)
			if !l.watching { // a watch that is open tells as much, and its end is told by itself
				l.dispatch(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
			}
		case e.list.Seq >= l.listVersion: // the watch may have told more meanwhile
			l.receiveList(policy.ListFull, &e.list)
		}
	case eventListChanged:
		l.watchStats.lists++
		// A whole list was overtaken if another call told a newer one while its call was open. One
		// that is older than what its own call named is of a discovery that counts anew.
		overtaken := e.list.Seq < l.listVersion && (l.controlPlane != nil || e.list.Seq >= e.since)
		switch {
		case e.list.Full && !overtaken:
			l.receiveList(policy.ListFull, &e.list)
		case e.list.Seq >= l.listVersion: // of the same version: nothing changed, but the call was answered
			l.receiveList(policy.ListChange, &e.list)
		case l.scope.needsFullList(&e.list):
			l.resubscribe()
		}
	case eventListPartial:
		l.receivePartialList(&e.list)
	case eventWatchEnded:
		l.watching = false
		l.warnDiscovery("discovery: watch ended", l.watchStats.endAttrs(e.err, l.listVersion)...)
		l.dispatch(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
	case eventFailover:
		l.warnDiscovery("discovery: asked elsewhere", "left", e.addr, "err", e.err)
	case eventDiscoveryChanged:
		l.changeDiscovery(e.addrs, e.services)
	case eventShutdown:
		if l.controlPlane != nil {
			go l.discovery.leave(l.ctx)
		}
	}
}

// dispatch hands the module one event and carries out what it decides.
func (l *loop) dispatch(ev *policy.Event) {
	l.actions = l.balancer.Handle(l.nowMs(), ev, l.actions[:0])
	l.executeActions()
}

func (l *loop) handleRequest(r *request) {
	l.nextID++
	if l.nextID == 0 {
		l.nextID++
	}
	r.id = l.nextID
	l.requests[r.id] = r
	l.dispatch(&policy.Event{Kind: policy.EvRequest, Request: r.id, Class: r.class, Tenant: r.tenant,
		Key: r.affinityKey, RemainingMs: float64(time.Until(r.deadline)) / float64(time.Millisecond),
		HintMs: r.hintMs, HasHint: r.hasHint, Retry: r.retry})
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

// answerRequest gives a request its final answerRequest, unless it has one.
func (l *loop) answerRequest(r *request, a answer) {
	if !r.answered {
		r.answered = true
		r.answers <- a
		l.logAnswer(r, a.status)
	}
}

// isAbandoned tells whether nobody waits for the answer any more. It is asked last of all before an
// attempt begins: the client may have gone while the request waited, or a connection came up.
func (r *request) isAbandoned() bool {
	if !r.abandoned.Load() && r.client != nil && r.client.disconnected() {
		r.abandoned.Store(true)
	}
	return r.abandoned.Load()
}

// removeIfDone drops a request that is answered and has no attempt out.
func (l *loop) removeIfDone(r *request) {
	if r.answered && r.openAttempts == 0 {
		delete(l.requests, r.id)
	}
}

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
