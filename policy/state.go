// This file holds the state of a Balancer and basic operations on it; the decisions are in the other files.

package policy

import "math/rand/v2"

const (
	// serverSmoothing is the weight of a new response in a moving average of one server, and fleetSmoothing
	// its weight in a moving average over the whole fleet.
	serverSmoothing, fleetSmoothing = 0.2, 0.005
	// shareDecay is the factor by which each new request discounts the older ones in a share: a share covers
	// about 500 requests.
	shareDecay = 0.998
)

// server is the state of one listed server. All times are in ms of the agent's clock.
type server struct {
	// From the list.
	addr      Addr
	hash      uint64 // hash of addr
	zone      int
	cell      int
	kind      int // machine type
	weight    float64
	listedAt  float64 // start time of the server's process according to the list
	startedAt float64 // listedAt, or the time of an assumed later restart
	ready     bool    // whether the list shows the server as ready
	confirmed bool    // whether the received part of an incomplete list shows the server as ready

	// Health.
	state                State
	stateSince           float64 // when the state was entered
	overloaded           bool    // a probe's load report showed overload, and no later one an idle server
	unresponsive         bool    // ejected for a lack of responses, not for an error
	connectFailures      int     // failed connects since the last response
	firstConnectFailure  float64 // when the first of connectFailures occurred
	connectFailureSpan   float64 // time from the first to the last of connectFailures
	recentEjections      int     // ejections not yet offset by successes; determines the ejection time
	consecutiveSuccesses int     // healthy responses since recentEjections last changed
	lastResponse         float64 // when the last response of any kind arrived
	probing              bool    // a probe is in flight
	singleUseUntil       float64 // until when each connection carries only one request
	cleanResponses       int     // successes on kept connections since the server's start or its last unsolicited bytes

	// Attempts sent to the server.
	inFlight         []*attempt // oldest first
	latency          float64    // mean latency as a fraction of the target
	latencySamples   int        // number of responses in latency
	latencyMs        float64    // mean latency
	concurrencyLimit float64    // maximum attempts of this agent in flight; below 1, attempts are spaced out
	limitReducedAt   float64
	lastSentAt       float64 // when the last attempt was sent
	sendInterval     float64 // mean time between attempts; 0: unknown
	slowStartBudget  float64 // work that may still be sent while the server is cold
	score            float64 // sort key in the hash order of the current pick's request; lowest first
}

// attempt is one send of a request to a server.
type attempt struct {
	request      *request
	server       *server
	index        int // position among the request's attempts
	sentAt       float64
	soleInFlight bool    // no other attempt of this agent was in flight to the server
	cost         float64 // see Balancer.cost
	suspected    bool    // the attempt took so long that the server has to be validated
	done         bool
}

// request is one try of a client. It is kept until it is answered and has no attempt in flight.
type request struct {
	id             RequestID
	class          int
	tenant         int
	key            uint64 // affinity key; 0: no key
	hash           uint64 // determines the order of servers for the request
	costHint       float64
	firstArrivedAt float64 // when the client's first try arrived, if known; else arrivedAt
	arrivedAt      float64
	targetAt       float64 // latest time for the full credit
	deadline       float64 // the client's deadline less a margin
	attempts       []*attempt
	openAttempts   int // number of attempts in flight

	// Attempts that may have been executed, and the time and server of the first of them.
	ambiguousAttempts int
	executedAt        float64
	executedOn        *server

	affinity        [affinityServers]*server // first servers in hash order, as of affinityEpoch
	affinityEpoch   uint64
	tierWeight      float64 // total weight of the tier at the last pick
	value           float64 // result of Balancer.value at the last dispatch
	closed          bool    // answered, or cancelled by its client
	responseStarted bool    // a streamed response has begun: no retry, no other answer
}

// keyCounter counts the occurrences of each key among the last keyHistory requests.
type keyCounter struct {
	recent [keyHistory]uint64
	next   int
	total  int
	counts map[uint64]int
}

// add counts a request for the key and returns the key's share.
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

// unservedRequest is the record of an unserved request by which its retry is recognized.
type unservedRequest struct {
	class          int
	key            uint64
	firstArrivedAt float64
}

// machineKind holds the mean latency of one machine type, as a fraction of the target, and the resulting weight.
type machineKind struct{ latency, weight float64 }

// linearFit is a linear regression in which newer points count more.
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

// at returns the fitted value at x, or 0 if the value is negative or the points are too few or too similar.
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
	now       float64  // clock reading of the current event
	actions   []Action // actions of the current event
	startedAt float64
	minTarget float64 // the shortest target latency of any class

	// Requests.
	requests         map[RequestID]*request
	queued           []*request
	recentUnserved   []unservedRequest
	recentKeys       keyCounter
	requestCount     float64 // number of requests since startedAt
	recentRequests   float64 // decaying count over about the keepalive time, as of recentRequestsAt
	recentRequestsAt float64
	tickScheduled    bool

	// Attempts.
	inFlight          int
	lastSentAt        float64 // when the last attempt was sent
	retryDebt         float64 // ended attempts in excess of the retry budget, as of retryDebtAt
	retryDebtAt       float64
	capacityExhausted bool // whether a request that would accept any server found no server with capacity

	// Values of requests.
	tenantShare  []float64 // share of the requests, by tenant
	classShare   []float64 // share of the requests, by class
	classSuccess []float64 // share of requests of the class that were served in time, among all requests, by class
	worstClass   int       // the class with the lowest success rate
	meanCredit   float64   // mean credit of a request

	// Servers.
	servers       []*server // sorted by subsetOrder
	serversByAddr map[Addr]*server
	epoch         uint64    // incremented when health tiers or the list change
	tierScratch   []*server // reused by scoreTier
	activeProbes  int

	// The list of servers.
	zoneCount          uint64  // number of zones in the first list
	lastFetchAt        float64 // when the full list was last fetched
	watchFailures      int     // consecutive failed subscription calls
	watchScheduled     bool    // whether a subscription call is due at watchDueAt
	watchDueAt         float64
	watchGranted       bool // whether the subscription requested at watchRequestedAt was granted
	watchRequestedAt   float64
	retriedImmediately bool    // whether the granted subscription that ended was requested again immediately
	partialSince       float64 // when the incomplete list response began; 0: no response is incomplete
	partialCallEnded   bool    // whether the call of the incomplete response has ended

	// Latency. Without a unit in its name, a latency is a fraction of the request's target.
	classLatency       []float64 // mean latency in ms, by class
	meanCostHint       float64
	hintedLatencies    linearFit // latency in ms by cost hint
	fleetLatency       float64   // mean latency over all servers
	baselineLatency    float64   // fleetLatency to expect without overload
	latencySamples     float64   // number of responses in fleetLatency
	localZoneWeight    float64   // weight of the servers of the agent's own zone
	localZoneLatency   float64   // mean latency in the agent's own zone
	otherZoneLatency   float64   // mean latency in the other zones
	overallLatency     float64   // mean over all responses, the reference for the latencies in kinds
	kinds              [256]machineKind
	logLatency         float64 // mean logarithm of latency, in large fleets
	baselineLogLatency float64 // logLatency to expect without overload
	logLatencySamples  float64 // number of responses in logLatency
	agentLimit         float64 // maximum attempts of the agent in flight, as of agentLimitAt
	agentLimitAt       float64

	// Slow start.
	warmTotal      float64 // weight of warm servers, cached at warmTotalAt and warmTotalEpoch
	warmTotalAt    float64
	warmTotalEpoch uint64
	warmWork       float64 // decaying sum of the work answered per unit of warm weight, as of warmWorkAt
	warmWorkAt     float64
}

// countClass updates each class's share of the requests and of the requests served in time.
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

// countTenant updates each tenant's share of this agent's requests.
func (b *Balancer) countTenant(tenant int) {
	if tenant < 0 || tenant >= len(b.tenantShare) {
		return
	}
	for i := range b.tenantShare {
		b.tenantShare[i] *= shareDecay
	}
	b.tenantShare[tenant] += 1 - shareDecay
}

// setState sets the state of a server, and changes the epoch if this may change the server's tier.
func (b *Balancer) setState(s *server, to State) {
	if s.state > Unknown || to > Unknown {
		b.epoch++
	}
	s.state, s.stateSince = to, b.now
}

// recordHintedLatency adds the latency of a request with a cost hint to the linear fit of latency by hint.
// A linear fit suits this, as the network's part of the latency does not grow with the cost.
func (b *Balancer) recordHintedLatency(r *request, latencyMs float64) {
	if r.costHint > 0 {
		b.hintedLatencies.add(r.costHint, latencyMs)
	}
}

// hintedLatency is the latency in ms that the cost hint predicts; 0 while there is too little data.
func (b *Balancer) hintedLatency(r *request) float64 {
	if r.costHint <= 0 {
		return 0
	}
	return b.hintedLatencies.at(r.costHint)
}

// relativeLatency is a latency as a fraction of the request's target, at most 2. If the request has a cost hint
// above the mean, its latency is scaled down to the mean cost. The latency of a cheaper request is not scaled
// up, as most of it is network latency.
func (b *Balancer) relativeLatency(r *request, latencyMs float64) float64 {
	x := latencyMs / b.settings.Classes[r.class].TargetMs
	if r.costHint > 0 {
		x *= min(b.meanCostHint/r.costHint, 1)
	}
	return min(x, 2)
}

// overQuota reports whether a tenant sends more than its quota of the requests.
func (b *Balancer) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantShare) {
		return false
	}
	return b.tenantShare[tenant] > 1.1*b.settings.Tenants[tenant].QuotaFraction
}

// stepWeight moves a weight one step down or up within its bounds.
func stepWeight(w float64, down bool, minWeight, maxWeight float64) float64 {
	if down {
		return max(w/(1+weightStep), minWeight)
	}
	return min(w*(1+weightStep), maxWeight)
}

// sanitize makes an input safe for arithmetic: NaN and negative values become 0, and infinite and huge values
// are capped so that sums and squares stay finite.
func sanitize(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, 1e15)
}

// movingAverage returns the exponentially weighted moving average after adding x. An average of 0 means that x
// is the first value.
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

// splitMix64 is the finalizer of the SplitMix64 random number generator.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
