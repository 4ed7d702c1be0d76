package agent

import (
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// The ways in which the settings have lists come, and the time to ask within where they
// give none, in ms.
const (
	membershipPushed, membershipOnRequest = "pushed", "on_request"
	defaultPollWithinMs                   = 10000
)

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
