// This file holds the decisions on requests: in which order they are sent, how long they stay queued,
// and when they are rejected or failed.

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minUsefulTimeShare is the part of its expected latency that a request with a cost hint needs
	// at the least to be queued at all.
	minUsefulTimeShare = 0.7
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
		b.finish(&request{id: ev.Request}) // still owed an answer; nothing of it ran
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
	left := sanitize(ev.RemainingMs)
	r.deadline = b.now + left - min(b.settings.RoundMs, left/4)
	if ev.Retry {
		r.firstArrivedAt = b.recallFirstArrival(r)
	}
	r.targetAt = min(r.firstArrivedAt+c.TargetMs+c.TargetStretch*r.costHint, r.deadline)
	r.hash = b.affinityHash(r.key)
	b.requests[r.id] = r
	b.requestCount++
	window := max(b.settings.Limits.KeepaliveMs, 1)
	b.recentRequests = b.recentRequests*math.Exp((b.recentRequestsAt-b.now)/window) + 1
	b.recentRequestsAt = b.now
	b.countTenant(r.tenant)
	b.countClass(r.class)
	b.revalidate()
	b.queued = append(b.queued, r)
	// A request whose hinted work cannot fit the aim anywhere would only keep
	// others waiting: the costly few of a heavy tail.
	if r.costHint > 0 && c.LateShare == 0 && minUsefulTimeShare*b.hintedLatency(r) > r.targetAt-b.now {
		b.finish(r)
	}
}

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
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

// dispatch sends what is held as far as there is room: the most valuable first,
// of equals the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	for _, r := range b.queued {
		r.value = b.value(r)
	}
	slices.SortFunc(b.queued, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrivedAt, x.arrivedAt),
			cmp.Compare(x.id, y.id))
	})
	// One that waits for its key's servers is passed over; of others a few failures tell.
	b.capacityExhausted = false
	for i, failures := 0, 0; i < len(b.queued) && failures < maxDispatchFailures &&
		b.allowRetry() && b.withinAgentLimit(); {
		r := b.queued[i]
		if near := r.affinity; b.awaitsAffinity(r) && near[0] != nil && r.affinityEpoch == b.epoch &&
			!b.accepts(near[0], r) && !b.accepts(near[1], r) {
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

// allowRetry is the agent's own throttle (adaptive throttling, with a retry budget in it):
// attempts that fail or come late leave less to send. With a request or two out at each
// of a thousand agents no server's window holds back the crowd they are together; each
// full answer went on to the next server, until requests went out nine times (i86bcad).
func (b *Balancer) allowRetry() bool {
	return b.retryDebt*math.Exp((b.retryDebtAt-b.now)/(retryBudgetWindow*b.minTarget)) < retryBudgetBurst
}

// expireQueued ends held requests that can no longer earn anything, before they cost work.
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

// expectedLatency is how long an answer to the request takes, on the mean.
func (b *Balancer) expectedLatency(r *request) float64 {
	e := b.classLatency[r.class]
	if t := b.hintedLatency(r); t > 0 {
		e = max(t, e/4)
	}
	return e
}

// queueOverflows tells whether more requests are held than the agent can bear: past the
// requests it may have open, clients would wait for a connection with nobody to answer.
func (b *Balancer) queueOverflows() bool {
	most := b.settings.Limits.OpenCap
	return len(b.queued) > maxQueued || len(b.queued) > 0 && most > 0 && len(b.queued)+b.inFlight > most
}

// finish is the guard of all final answers but served ones: a refusal where the class
// allows the claim that a retry is harmless, else a failure.
func (b *Balancer) finish(r *request) {
	if r.closed || r.responseStarted {
		return
	}
	b.rememberUnserved(r)
	c := &b.settings.Classes[r.class]
	harmless := r.ambiguousAttempts == 0 || c.Effect == Idempotent ||
		c.Effect == Deduplicated && c.Group == GroupAll
	b.closeRequest(r)
	if harmless {
		b.emit(Action{Kind: ActReject, Request: r.id, Ms: b.settings.Limits.MaxRetryAfterMs})
	} else {
		b.emit(Action{Kind: ActFail, Request: r.id})
	}
}

// closeRequest forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	if i := slices.Index(b.queued, r); i >= 0 {
		b.queued = slices.Delete(b.queued, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.settings.Limits.Cancelling {
			b.emit(Action{Kind: ActCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}

// rememberUnserved keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) rememberUnserved(r *request) {
	if !b.settings.Clients.MarksRetry {
		return
	}
	b.recentUnserved = slices.DeleteFunc(b.recentUnserved, func(p unservedRequest) bool {
		return b.now-p.firstArrivedAt > b.settings.Classes[p.class].DeadlineMs
	})
	if len(b.recentUnserved) < maxQueued {
		b.recentUnserved = append(b.recentUnserved, unservedRequest{r.class, r.key, r.firstArrivedAt})
	}
}

func (b *Balancer) recallFirstArrival(r *request) float64 {
	i := slices.IndexFunc(b.recentUnserved, func(p unservedRequest) bool {
		return p.class == r.class && p.key == r.key
	})
	if i < 0 {
		return r.arrivedAt
	}
	first := b.recentUnserved[i].firstArrivedAt
	b.recentUnserved = slices.Delete(b.recentUnserved, i, i+1)
	return first
}
