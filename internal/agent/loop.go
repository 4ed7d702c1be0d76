package agent

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// Values of the setting membershipMode, and the poll interval in ms for settings that give none.
const (
	membershipPushed, membershipOnRequest = "pushed", "on_request"
	defaultPollWithinMs                   = 10000
)

// loop owns the Balancer: one goroutine passes events to it in order and executes its decisions.
// Nothing in the loop blocks. All fields but events and hasUsableBackend belong to that goroutine.
type loop struct {
	balancer            *policy.Balancer
	settings            *policy.Settings
	names               *nameIndex
	log                 *slog.Logger
	events              chan event
	deferredEvents      []event // events that the loop has created itself, handled before those in events
	startedAt           time.Time
	startedAtMs         float64 // startedAt as Unix time, in ms
	budgets             *memoryBudgets
	dialer              *dialer
	discovery           *discovery
	controlPlane        *endpoints.ClientConfig // client settings for the control plane; nil: one discovery address
	scope               scope                   // the subscribed services
	logLimiter          endpoints.TokenBucket   // rate limit of log lines about discovery
	suppressedLines     int                     // number of lines suppressed since the last logged one
	cancelDiscovery     context.CancelFunc      // cancels the calls to discovery
	previousDiscoveries []previousDiscovery     // replaced services whose responses are still read
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
	hasUsableBackend    atomic.Bool // at least one backend is usable
	ctx                 context.Context
}

// newLoop returns a loop with the list of the configuration applied. The watch and the first poll
// of discovery may already be started; run must be called for anything else to happen.
func newLoop(ctx context.Context, c *Config, log *slog.Logger) (*loop, error) {
	settings := c.Settings
	if maxOpen := maxOpenRequests(c.Limits.Sockets); settings.Limits.OpenCap <= 0 || settings.Limits.OpenCap > maxOpen {
		settings.Limits.OpenCap = maxOpen
	}
	pushed := settings.Membership == membershipPushed
	if pushed {
		// Over HTTP a pushed list arrives on a watch too, and a broken watch has to be reopened.
		// The balancer therefore treats the list as one that it polls.
		settings.Membership = membershipOnRequest
		if settings.Contract.ListPollWithinMs <= 0 {
			settings.Contract.ListPollWithinMs = defaultPollWithinMs
		}
	}
	balancer, err := policy.New(settings, c.Seed)
	if err != nil {
		return nil, err
	}
	// The balancer's clock starts at the Unix time and is monotonic from there: listed start times
	// (born_ms) need no conversion, and steps of the system's clock have no effect.
	startedAt := time.Now()
	budgets := newMemoryBudgets(c.Limits)
	l := &loop{
		budgets:  budgets,
		balancer: balancer,
		settings: &settings,
		names:    &c.Names,
		log:      log,
		ctx:      ctx,
		// Buffers all events that can be pending at once: a handler must not wait here
		// before its guard timer is set.
		events:      make(chan event, 4*c.Limits.Sockets),
		startedAt:   startedAt,
		startedAtMs: float64(startedAt.UnixMicro()) / 1000,
		requests:    map[policy.RequestID]*request{},
		backends:    map[policy.Addr]*backend{},
		dialer:      newBackendDialer(c, budgets),
	}
	// All agents log a fault of discovery, so each has a share of a common limit on the rate of lines.
	l.logLimiter = endpoints.TokenBucket{Burst: 10, Rate: min(1, 20/float64(max(settings.Replicas, 1)))}
	if len(c.ControlPlane) > 0 {
		l.controlPlane = &endpoints.ClientConfig{OrderSeed: c.Seed, Fleet: settings.Replicas, RejectOlder: true, Services: c.Services}
		l.scope.update(c.Services, 0)
		if endpoints.IsToken(c.Name, endpoints.MaxName) {
			l.controlPlane.Member = c.Name
		}
	}
	l.connectDiscovery(c.addresses())
	l.actions = l.balancer.Start(l.nowMs(), l.actions[:0])
	l.executeActions()
	cached := l.scope.filterCached(c.CachedList)
	l.applyList(policy.ListCached, &cached)
	if pushed { // changes of a pushed list count as notified from the start of a process
		l.openWatch()
	}
	return l, nil
}

// milliseconds returns the duration of x ms.
func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// nowMs returns the time of the balancer's clock in ms.
func (l *loop) nowMs() float64 {
	return l.startedAtMs + float64(time.Since(l.startedAt))/float64(time.Millisecond)
}

// post sends an event to the loop. It waits while the queue is full and returns at once when the
// loop has ended.
func (l *loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// run handles events until the loop's context ends.
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

// handle processes one event. A panic loses the decision on this event only, and the handler's
// guard timer answers the request: one bad event must not stop the agent.
func (l *loop) handle(e event) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in the loop", "event", e.kind, "panic", p, "stack", string(debug.Stack()))
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
		l.handleClientCanceled(e.req)
	case eventOutcome:
		l.handleOutcome(e.attempt, &e.result)
	case eventProbeResult:
		l.handleProbeResult(e.attempt, &e.result)
	case eventTimer:
		l.dispatch(&policy.Event{Kind: policy.EvTimer, Token: e.token})
	case eventListFetched:
		l.handleListFetched(&e)
	case eventListChanged:
		l.handleListChanged(&e)
	case eventListPartial:
		l.receivePartialList(&e.list)
	case eventWatchEnded:
		l.watching = false
		l.warnDiscovery("discovery: watch ended", l.watchStats.endAttrs(e.err, l.listVersion)...)
		l.dispatch(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
	case eventFailover:
		l.warnDiscovery("discovery: failed over", "address", e.addr, "err", e.err)
	case eventDiscoveryChanged:
		l.changeDiscovery(e.addrs, e.services)
	case eventLateAnswer:
		l.openWatch()
	case eventUnsolicited:
		l.handleUnsolicited(e.backend, e.transport)
	case eventShutdown:
		if l.controlPlane != nil {
			go l.discovery.leave(l.ctx)
		}
	}
}

// dispatch passes an event to the balancer and executes the actions that it returns.
func (l *loop) dispatch(ev *policy.Event) {
	l.actions = l.balancer.Handle(l.nowMs(), ev, l.actions[:0])
	l.executeActions()
}
