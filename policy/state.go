// This file holds what a Balancer remembers, and plain arithmetic on it; the decisions are in the other
// files.

package policy

import "math/rand/v2"

const (
	// serverSmoothing is the weight of a response in a server's mean, fleetSmoothing in one of the
	// whole fleet.
	serverSmoothing, fleetSmoothing = 0.2, 0.005
	// shareDecay lets requests count less for shares with age, over about 500 requests.
	shareDecay = 0.998
)

// server is what the agent knows of one listed server. All times are in ms of the agent's clock.
type server struct {
	// What the list says.
	addr      Addr
	hash      uint64 // of addr
	zone      int
	cell      int
	kind      int // of machine
	weight    float64
	listedAt  float64 // start of its process by the list
	startedAt float64 // the same, or later where a restart is assumed
	ready     bool    // listed as ready
	confirmed bool    // named as ready in the part of an answer that has arrived

	// Its health.
	state                State
	stateSince           float64 // when the state was entered
	overloaded           bool    // a probe's report showed overload, and none since that it is idle
	unresponsive         bool    // ejected without any answer, not for an error
	connectFailures      int     // failed connects since its last response
	firstConnectFailure  float64 // when the first of them failed
	connectFailureSpan   float64 // from the first to the last of them
	recentEjections      int     // ejections, less those made up for by successes; sets the ejection time
	consecutiveSuccesses int     // since recentEjections last changed
	lastResponse         float64 // when it last answered anything
	probing              bool    // a probe is under way
	singleUseUntil       float64 // until then, each connection carries one request only
	cleanResponses       int     // good ones on kept connections since its start or the last unsolicited bytes

	// What the agent sends to it.
	inFlight         []*attempt // oldest first
	latency          float64    // mean latency as a part of the target
	latencySamples   int        // responses in it
	latencyMs        float64    // mean latency
	concurrencyLimit float64    // attempts of this agent that may be in flight; below 1 by pausing
	limitReducedAt   float64
	lastSentAt       float64 // when the last attempt was sent
	sendInterval     float64 // mean time between attempts; 0: unknown
	slowStartBudget  float64 // work that it may still be sent while it is cold
	score            float64 // in the hash order of the request that is picked for; the lowest is first
}

// attempt is one send of a request.
type attempt struct {
	request      *request
	server       *server
	index        int // among the request's attempts
	sentAt       float64
	soleInFlight bool    // no other attempt of this agent was in flight at the server
	cost         float64 // see Balancer.cost
	suspected    bool    // the server was sent to validation because the attempt took too long
	done         bool
}

// request is one try of a client, kept until it is answered and none of its attempts is in flight.
type request struct {
	id             RequestID
	class          int
	tenant         int
	key            uint64 // 0: none
	hash           uint64 // orders the servers for it
	costHint       float64
	firstArrivedAt float64 // when the client's first try arrived, as far as known
	arrivedAt      float64
	targetAt       float64 // until then a response earns the full credit
	deadline       float64 // the client's, less a margin
	attempts       []*attempt
	openAttempts   int // in flight

	// Attempts that may have been executed, and the time and server of the first of them.
	ambiguousAttempts int
	executedAt        float64
	executedOn        *server

	affinity        [affinityServers]*server // first in hash order, as of affinityEpoch
	affinityEpoch   uint64
	tierWeight      float64 // weight of the tier at its last pick
	value           float64 // as of the last dispatch
	closed          bool    // answered, or its client has left
	responseStarted bool    // a streamed response has begun, and belongs to the client
}

// keyCounter counts how often each key came among the last keyHistory requests.
type keyCounter struct {
	recent [keyHistory]uint64
	next   int
	total  int
	counts map[uint64]int
}

// add counts one more request for the key and returns the key's share.
func (k *keyCounter) add(key uint64) float64 {
	if k.total == keyHistory {
		old := k.recent[k.next]
		if k.counts[old]--; k.counts[old] == 0 {
			delete(k.counts, old)
		}
	} else {
		k.total++
	}
	k.recent[k.next] = key
	k.next = (k.next + 1) % keyHistory
	k.counts[key]++
	return float64(k.counts[key]) / float64(k.total)
}

// unservedRequest is what is remembered of an unserved request, to recognize its retry.
type unservedRequest struct {
	class          int
	key            uint64
	firstArrivedAt float64
}

// machineKind is what the agent has learned of one kind of machine: the mean latency, as a part of the
// target, and the resulting weight.
type machineKind struct{ latency, weight float64 }

// linearFit is a straight line through points, of which newer ones count more.
type linearFit struct{ samples, meanX, meanY, variance, covariance float64 }

func (f *linearFit) add(x, y float64) {
	f.samples++
	w := max(fleetSmoothing, 1/f.samples)
	dx, dy := x-f.meanX, y-f.meanY
	f.meanX += w * dx
	f.meanY += w * dy
	f.variance += w * (dx*dx*(1-w) - f.variance)
	f.covariance += w * (dx*dy*(1-w) - f.covariance)
}

// at returns the line's value at x, at least 0; and 0 while too few or too similar points are known.
func (f *linearFit) at(x float64) float64 {
	if f.samples < 1/(4*fleetSmoothing) || f.variance <= 0 {
		return 0
	}
	return max(f.meanY+f.covariance/f.variance*(x-f.meanX), 0)
}

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	settings  Settings
	rng       *rand.Rand
	now       float64  // of the event at hand
	actions   []Action // of the event at hand
	startedAt float64
	minTarget float64 // the shortest target latency of any class

	// Requests.
	requests         map[RequestID]*request
	queued           []*request
	recentUnserved   []unservedRequest
	recentKeys       keyCounter
	requestCount     float64 // since startedAt
	recentRequests   float64 // in about the last keepalive time, as of recentRequestsAt
	recentRequestsAt float64
	tickScheduled    bool

	// Attempts.
	inFlight          int
	lastSentAt        float64 // when the last attempt was sent
	retryDebt         float64 // attempts that ended, less those that the budget allows, as of retryDebtAt
	retryDebtAt       float64
	capacityExhausted bool // queued requests that would take any server find none with capacity

	// What requests are worth.
	tenantShare  []float64 // by tenant: its part of the requests
	classShare   []float64 // by class: its part of the requests
	classSuccess []float64 // by class: the requests served in time, in the same measure
	worstClass   int       // the class served worst
	meanCredit   float64   // of a request

	// Servers.
	servers       []*server // by subsetOrder
	serversByAddr map[Addr]*server
	epoch         uint64    // counts changes of health tiers and of the list
	tierScratch   []*server // memory of scoreTier
	activeProbes  int

	// The list of servers.
	zoneCount          uint64  // zones of the servers in the first list
	lastFetchAt        float64 // when the full list was last fetched
	watchFailures      int     // failed calls for the subscription in a row
	watchScheduled     bool    // the next call is due at watchDueAt
	watchDueAt         float64
	watchGranted       bool // the subscription was granted since it was requested at watchRequestedAt
	watchRequestedAt   float64
	retriedImmediately bool    // the failed calls began with one right behind a subscription that was served
	partialSince       float64 // when an answer began that has arrived in part; 0: none is incomplete
	partialCallEnded   bool    // the call of that answer has ended

	// Latency. Without a unit in its name, a latency is a part of the request's target.
	classLatency       []float64 // by class: mean latency in ms
	meanCostHint       float64
	hintedLatencies    linearFit // latency in ms by cost hint
	fleetLatency       float64   // mean of all servers
	baselineLatency    float64   // the same without overload
	latencySamples     float64   // responses in them
	localZoneWeight    float64   // weight of the servers of the agent's own zone
	localZoneLatency   float64   // mean there
	otherZoneLatency   float64   // mean elsewhere
	overallLatency     float64   // mean of all, for the kinds' weights
	kinds              [256]machineKind
	logLatency         float64 // mean logarithm of latency, in large fleets
	baselineLogLatency float64 // the same without overload
	logLatencySamples  float64 // responses in them
	agentLimit         float64 // attempts that the agent may have in flight, as of agentLimitAt
	agentLimitAt       float64

	// Slow start.
	warmTotal      float64 // weight of warm servers, cached at warmTotalAt and warmTotalEpoch
	warmTotalAt    float64
	warmTotalEpoch uint64
	warmWork       float64 // work answered by a warm server of weight one, fading, as of warmWorkAt
	warmWorkAt     float64
}

// countClass updates the classes' shares of requests and of those served in time.
func (b *Balancer) countClass(class int) {
	b.meanCredit = 0
	for i, c := range b.settings.Classes {
		b.classShare[i] *= shareDecay
		b.classSuccess[i] *= shareDecay
		if i == class {
			b.classShare[i] += 1 - shareDecay
		}
		b.meanCredit += b.classShare[i] * c.Credit
		if b.classSuccess[i]*b.classShare[b.worstClass] < b.classSuccess[b.worstClass]*b.classShare[i] {
			b.worstClass = i
		}
	}
}

// countTenant updates the tenants' shares of this agent's requests.
func (b *Balancer) countTenant(tenant int) {
	if tenant < 0 || tenant >= len(b.tenantShare) {
		return
	}
	for i := range b.tenantShare {
		b.tenantShare[i] *= shareDecay
	}
	b.tenantShare[tenant] += 1 - shareDecay
}

// setState enters a state of a server; where this changes its tier the epoch changes.
func (b *Balancer) setState(s *server, to State) {
	if s.state > Unknown || to > Unknown {
		b.epoch++
	}
	s.state, s.stateSince = to, b.now
}

// recordHintedLatency takes the latency of a request with a cost hint into the line of latency over
// hinted cost: the network's share does not grow with the cost.
func (b *Balancer) recordHintedLatency(r *request, latencyMs float64) {
	if r.costHint > 0 {
		b.hintedLatencies.add(r.costHint, latencyMs)
	}
}

// hintedLatency is the latency in ms that the request's cost hint predicts; 0 while little is known.
func (b *Balancer) hintedLatency(r *request) float64 {
	if r.costHint <= 0 {
		return 0
	}
	return b.hintedLatencies.at(r.costHint)
}

// relativeLatency is a latency as a part of the request's target. Where hints give the cost a costly
// request counts as one of mean cost; a small one's latency is mostly the network's.
func (b *Balancer) relativeLatency(r *request, latencyMs float64) float64 {
	x := latencyMs / b.settings.Classes[r.class].TargetMs
	if r.costHint > 0 {
		x *= min(b.meanCostHint/r.costHint, 1)
	}
	return min(x, 2)
}

// overQuota reports whether a tenant sends more than its part of the requests.
func (b *Balancer) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantShare) {
		return false
	}
	return b.tenantShare[tenant] > 1.1*b.settings.Tenants[tenant].QuotaFraction
}

// stepWeight moves a weight a step down or up within its bounds.
func stepWeight(w float64, down bool, minWeight, maxWeight float64) float64 {
	if down {
		return max(w/(1+weightStep), minWeight)
	}
	return min(w*(1+weightStep), maxWeight)
}

// sanitize makes an input safe to calculate with: NaN and negative values become 0, infinite and huge
// ones the largest number that leaves room for sums and squares.
func sanitize(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, 1e15)
}

// movingAverage moves an exponentially weighted average towards x. The first value is taken as it is.
func movingAverage(average, x, weight float64) float64 {
	if average == 0 {
		return x
	}
	return average + weight*(x-average)
}

func hashAddr(a Addr) uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}

// splitMix64 is the finalizer of the random number generator of that name.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
