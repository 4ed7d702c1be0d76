// This file holds the decisions on requests: in which order they are sent, how long they stay queued,
// and when they are rejected or failed.

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minTimeShare is the part of its expected latency that a request with a cost hint needs
	// at the least to be queued at all.
	minTimeShare = 0.7
	// retryBudgetRatio is how many attempts may end for each that succeeded before the agent sends
	// less. retryBudgetBurst of them are free. All count for retryBudgetWindow target latencies.
	retryBudgetRatio, retryBudgetBurst, retryBudgetWindow = 1.5, 3.0, 10.0
	// maxQueued bounds the requests that wait for capacity, and so the work of a decision.
	maxQueued = 512
	// maxDispatchFailures is how many queued requests may find no server before dispatch stops.
	maxDispatchFailures = 4
)

func (b *Balancer) onRequest(ev *Event) {
	if b.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(b.settings.Classes) {
		b.finish(&request{id: ev.Request}) // the client is still owed an answer; nothing was executed
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
	// A request whose expected work cannot fit its target anywhere would only keep others waiting:
	// these are the few costly ones of a heavy tail.
	if r.costHint > 0 && c.LateShare == 0 && minTimeShare*b.hintedLatency(r) > r.targetAt-b.now {
		b.finish(r)
	}
}

// countRequest takes a new request into the agent's rates and shares.
func (b *Balancer) countRequest(r *request) {
	b.requestCount++
	window := max(b.settings.Limits.KeepaliveMs, 1)
	b.recentRequests = b.recentRequests*math.Exp((b.recentRequestsAt-b.now)/window) + 1
	b.recentRequestsAt = b.now
	b.countTenant(r.tenant)
	b.countClass(r.class)
}

// onClientCanceled drops the request of a client that has left.
func (b *Balancer) onClientCanceled(ev *Event) {
	if r := b.requests[ev.Request]; r != nil && !r.closed {
		b.recordUnserved(r)
		b.closeRequest(r)
	}
}

// onResponseStarted notes that a streamed response has begun: from now on it belongs to the client. A
// report of an attempt that is not in flight is ignored, as nothing would end its request any more.
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

// value is what a unit of server time spent on the request earns by the objective: a part of the
// overall result, and all of the worst class's result if the request is of that class.
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

// dispatch sends queued requests as far as there is capacity: the most valuable first, of equal ones
// the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	b.sortQueue()
	// A request that waits for its key's servers is passed over. Of the others a few that find no
	// server show that there is no capacity.
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

// sortQueue orders the queued requests by value, and those of equal value from the newest.
func (b *Balancer) sortQueue() {
	for _, r := range b.queued {
		r.value = b.value(r)
	}
	slices.SortFunc(b.queued, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrivedAt, x.arrivedAt),
			cmp.Compare(x.id, y.id))
	})
}

// affinityBusy reports whether the request waits for its key's servers, these are known from its last
// pick, and none of them accepts it.
func (b *Balancer) affinityBusy(r *request) bool {
	first := r.affinity
	return b.awaitsAffinity(r) && first[0] != nil && r.affinityEpoch == b.epoch &&
		!b.accepts(first[0], r) && !b.accepts(first[1], r)
}

// withinRetryBudget is the agent's adaptive throttling with a retry budget: attempts that fail or come late
// leave less to send, first attempts included. With a request or two in flight at each of a thousand
// agents no concurrency limit of a server holds back all of them together; each rejected attempt went
// on to the next server, until requests were sent nine times (i86bcad).
func (b *Balancer) withinRetryBudget() bool { return b.currentRetryDebt() < retryBudgetBurst }

// expireQueued ends queued requests that can no longer earn anything, before they cost work.
func (b *Balancer) expireQueued() {
	for i := 0; i < len(b.queued); {
		r := b.queued[i]
		last := r.targetAt
		if b.settings.Classes[r.class].LateShare > 0 {
			last = r.deadline
		}
		if b.now+b.expectedLatency(r) > last || b.now >= r.deadline || b.dedupWindowLeft(r) <= 0 {
			b.finish(r)
			continue
		}
		i++
	}
}

// expectedLatency is the mean time in ms until such a request is answered.
func (b *Balancer) expectedLatency(r *request) float64 {
	expected := b.classLatency[r.class]
	if hinted := b.hintedLatency(r); hinted > 0 {
		expected = max(hinted, expected/4)
	}
	return expected
}

// queueOverflows reports whether more requests are queued than the agent can bear: beyond the requests
// that it may have open, clients would wait for a connection that nobody accepts.
func (b *Balancer) queueOverflows() bool {
	openCap := b.settings.Limits.OpenCap
	return len(b.queued) > maxQueued ||
		len(b.queued) > 0 && openCap > 0 && len(b.queued)+b.inFlight > openCap
}

// finish is the guard of all final answers except responses: it rejects the request where its class
// allows the claim that a retry is harmless, and fails it otherwise. The request is not queued after it.
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

// closeRequest drops a finished request as soon as none of its attempts is in flight.
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

// dequeue takes a request off the queue, if it is queued.
func (b *Balancer) dequeue(r *request) {
	if i := slices.Index(b.queued, r); i >= 0 {
		b.queued = slices.Delete(b.queued, i, i+1)
	}
}

// recordUnserved keeps when an unserved request first arrived, so that its retry by the client is
// judged by the time that has passed for the client.
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

// firstArrival returns when the client's first try of a retried request arrived, or the retry's
// own arrival where none is remembered. A remembered try counts for one retry.
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
