// This file holds the decisions on requests: the order in which they are sent, how long they stay queued,
// and when they are rejected or failed.

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minTimeShare is the minimum time to its target, as a fraction of its expected latency, with which a
	// request with a cost hint is queued.
	minTimeShare = 0.7
	// retryBudgetRatio is the number of ended attempts per successful attempt above which the retry debt
	// grows. The agent sends nothing while the debt is retryBudgetBurst attempts or more. The debt decays
	// with a time constant of retryBudgetWindow times the shortest target latency.
	retryBudgetRatio, retryBudgetBurst, retryBudgetWindow = 1.5, 3.0, 10.0
	// maxQueued bounds the requests that wait for capacity, and thus the work per event.
	maxQueued = 512
	// maxDispatchFailures is the number of queued requests that may find no server before dispatch stops.
	maxDispatchFailures = 4
)

func (b *Balancer) onRequest(ev *Event) {
	if b.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(b.settings.Classes) {
		b.finish(&request{id: ev.Request}) // the client still needs an answer; nothing was executed
		return
	}
	c := &b.settings.Classes[ev.Class]
	r := &request{id: ev.Request, class: ev.Class, tenant: ev.Tenant, key: ev.Key,
		arrivedAt: b.now, firstArrivedAt: b.now}
	if r.costHint = sanitize(ev.HintMs); !ev.HasHint {
		r.costHint = 0
	} else if r.costHint > 0 {
		b.meanCostHint = movingAverage(b.meanCostHint, r.costHint, fleetSmoothing)
	}
	remaining := sanitize(ev.RemainingMs)
	r.deadline = b.now + remaining - min(b.settings.RoundMs, remaining/4)
	if ev.Retry {
		r.firstArrivedAt = b.firstArrival(r)
	}
	r.targetAt = min(r.firstArrivedAt+c.TargetMs+c.TargetStretch*r.costHint, r.deadline)
	r.hash = b.affinityHash(r.key)
	b.requests[r.id] = r
	b.countRequest(r)
	b.revalidate()
	b.queued = append(b.queued, r)
	// Do not queue a request that is expected to miss its target on any server, as it would only delay
	// others. This affects the few costly requests of a heavy-tailed distribution.
	if r.costHint > 0 && c.LateShare == 0 && minTimeShare*b.hintedLatency(r) > r.targetAt-b.now {
		b.finish(r)
	}
}

// countRequest adds a new request to the agent's rates and shares.
func (b *Balancer) countRequest(r *request) {
	b.requestCount++
	window := max(b.settings.Limits.KeepaliveMs, 1)
	b.recentRequests = b.recentRequests*math.Exp((b.recentRequestsAt-b.now)/window) + 1
	b.recentRequestsAt = b.now
	b.countTenant(r.tenant)
	b.countClass(r.class)
}

// onClientCanceled drops a request that its client has cancelled.
func (b *Balancer) onClientCanceled(ev *Event) {
	if r := b.requests[ev.Request]; r != nil && !r.closed {
		b.recordUnserved(r)
		b.closeRequest(r)
	}
}

// onResponseStarted records that a streamed response has begun to reach the client: the request can no
// longer be retried or answered otherwise. The event is ignored if its attempt is not in flight, as no later
// outcome would end the request.
func (b *Balancer) onResponseStarted(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || r.closed || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[ev.Attempt]
	if a.done {
		return
	}
	r.responseStarted = true
	b.dequeue(r)
	a.server.lastResponse = b.now
}

// value is the contribution to the objective of a unit of server time spent on the request: to the overall
// score, and to the worst class's score if the request is of that class.
func (b *Balancer) value(r *request) float64 {
	c := &b.settings.Classes[r.class]
	o := &b.settings.Objective
	v := c.Credit * (o.Overall + o.WorstWindow)
	if r.class == b.worstClass {
		v += o.WorstClass * b.meanCredit / b.classShare[r.class]
	}
	if b.now+b.expectedLatency(r) > r.targetAt {
		v *= c.LateShare + b.settings.Prices.LateFail
	}
	if b.overQuota(r.tenant) {
		v *= b.settings.OverQuotaWeight
	}
	if b.settings.WeightBy != "work" {
		v /= b.classLatency[r.class]
	}
	return v
}

// dispatch sends queued requests while there is capacity, the most valuable first. Among requests of equal
// value the newest is first: under overload the oldest would only finish late.
func (b *Balancer) dispatch() {
	b.sortQueue()
	// Requests that wait for the first servers in their key's order are skipped. There is no capacity left
	// when maxDispatchFailures other requests have found no server.
	b.capacityExhausted = false
	for i, failures := 0, 0; i < len(b.queued) && failures < maxDispatchFailures &&
		b.withinRetryBudget() && b.withinAgentLimit(); {
		r := b.queued[i]
		if b.affinityBusy(r) {
			i++
			continue
		}
		if s := b.pickServer(r); s != nil && b.send(r, s) {
			b.queued = slices.Delete(b.queued, i, i+1)
			continue
		}
		i++
		if !b.awaitsAffinity(r) {
			failures++
		}
		b.capacityExhausted = failures > 0
	}
	for b.queueOverflows() {
		b.finish(b.queued[len(b.queued)-1])
	}
}

// sortQueue sorts the queued requests by descending value, and requests of equal value by age, newest first.
func (b *Balancer) sortQueue() {
	for _, r := range b.queued {
		r.value = b.value(r)
	}
	slices.SortFunc(b.queued, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrivedAt, x.arrivedAt),
			cmp.Compare(x.id, y.id))
	})
}

// affinityBusy reports whether the request waits for the first servers in its hash order, which are known
// from its last pick, and none of these servers accepts it.
func (b *Balancer) affinityBusy(r *request) bool {
	first := r.affinity
	return b.awaitsAffinity(r) && first[0] != nil && r.affinityEpoch == b.epoch &&
		!b.accepts(first[0], r) && !b.accepts(first[1], r)
}

// withinRetryBudget reports whether the retry budget allows another attempt. As in adaptive throttling,
// failed and late attempts reduce what is sent, first attempts included. This is needed as the concurrency
// limits of servers do not hold back a thousand agents with one or two requests in flight each: every
// rejected attempt went on to the next server, until requests were sent nine times (case i86bcad).
func (b *Balancer) withinRetryBudget() bool { return b.currentRetryDebt() < retryBudgetBurst }

// expireQueued ends queued requests that can no longer earn credit, before they cost server work.
func (b *Balancer) expireQueued() {
	for i := 0; i < len(b.queued); {
		r := b.queued[i]
		answerBy := r.targetAt
		if b.settings.Classes[r.class].LateShare > 0 {
			answerBy = r.deadline
		}
		if b.now+b.expectedLatency(r) > answerBy || b.now >= r.deadline || b.dedupWindowLeft(r) <= 0 {
			b.finish(r)
			continue
		}
		i++
	}
}

// expectedLatency is the expected latency in ms of an attempt of the request.
func (b *Balancer) expectedLatency(r *request) float64 {
	expected := b.classLatency[r.class]
	if hinted := b.hintedLatency(r); hinted > 0 {
		expected = max(hinted, expected/4)
	}
	return expected
}

// queueOverflows reports whether too many requests are queued, or too many are open. Beyond the limit on open
// requests, the agent would not accept the connections of new clients.
func (b *Balancer) queueOverflows() bool {
	openCap := b.settings.Limits.OpenCap
	return len(b.queued) > maxQueued ||
		len(b.queued) > 0 && openCap > 0 && len(b.queued)+b.inFlight > openCap
}

// finish answers a request that gets no response: it rejects the request if its class and attempts make a
// retry by the client harmless, and fails it otherwise. The request is removed from the queue in any case.
func (b *Balancer) finish(r *request) {
	if r.closed || r.responseStarted {
		b.dequeue(r)
		return
	}
	b.recordUnserved(r)
	retryIsHarmless := r.ambiguousAttempts == 0 || b.settings.Classes[r.class].repeatableAnywhere()
	b.closeRequest(r)
	if retryIsHarmless {
		b.emit(Action{Kind: ActReject, Request: r.id, Ms: b.settings.Limits.MaxRetryAfterMs})
	} else {
		b.emit(Action{Kind: ActFail, Request: r.id})
	}
}

// closeRequest closes a request, cancels its attempts in flight, and forgets it if no attempt is in flight.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	b.dequeue(r)
	for _, a := range r.attempts {
		if !a.done && b.settings.Limits.Cancelling {
			b.emit(Action{Kind: ActCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}

// dequeue removes a request from the queue, if it is queued.
func (b *Balancer) dequeue(r *request) {
	if i := slices.Index(b.queued, r); i >= 0 {
		b.queued = slices.Delete(b.queued, i, i+1)
	}
}

// recordUnserved stores the first arrival time of an unserved request: if the client retries the request, the
// target of the retry counts from that arrival.
func (b *Balancer) recordUnserved(r *request) {
	if !b.settings.Clients.MarksRetry {
		return
	}
	b.recentUnserved = slices.DeleteFunc(b.recentUnserved, func(u unservedRequest) bool {
		return b.now-u.firstArrivedAt > b.settings.Classes[u.class].DeadlineMs
	})
	if len(b.recentUnserved) < maxQueued {
		b.recentUnserved = append(b.recentUnserved, unservedRequest{r.class, r.key, r.firstArrivedAt})
	}
}

// firstArrival returns when the client's first try of a retried request arrived, or the retry's own arrival
// if no first try is recorded. A record is used for one retry only.
func (b *Balancer) firstArrival(r *request) float64 {
	i := slices.IndexFunc(b.recentUnserved, func(u unservedRequest) bool {
		return u.class == r.class && u.key == r.key
	})
	if i < 0 {
		return r.arrivedAt
	}
	first := b.recentUnserved[i].firstArrivedAt
	b.recentUnserved = slices.Delete(b.recentUnserved, i, i+1)
	return first
}
