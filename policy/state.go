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

// server is what the agent knows of one listed server.
type server struct {
	addr                 Addr
	hash                 uint64
	zone                 int
	cell                 int
	kind                 int
	weight               float64
	listedAt             float64 // start of its process by the list
	startedAt            float64 // the same, or later where a restart is assumed
	ready                bool    // listed as ready
	confirmed            bool    // named as ready in the part of an answer that has come
	state                State
	stateSince           float64 // when the state was entered
	overloaded           bool    // found crowded, and not at rest since
	unresponsive         bool    // demoted for silence, not for an answer
	connectFailures      int     // connects that failed since it last answered
	firstConnectFailure  float64 // the first of them
	connectFailureSpan   float64 // from that to the last
	recentEjections      int     // how often it failed of late; sets the hold
	consecutiveSuccesses int     // served since the last change of strikes
	probing              bool
	inFlight             []*attempt // attempts out, oldest first
	lastResponse         float64    // when it last answered anything
	latency              float64    // mean answer time as a part of the aim
	latencySamples       int
	concurrencyLimit     float64 // attempts it may hold of this agent
	limitReducedAt       float64
	lastSentAt           float64 // last attempt
	sendInterval         float64 // mean time between attempts; 0: unknown
	latencyMs            float64 // mean answer time
	slowStartBudget      float64 // work a cold server may still be sent
	score                float64 // place in a request's order; lower is nearer
}

// attempt is one send of a request.
type attempt struct {
	request      *request
	server       *server
	index        int
	sentAt       float64
	soleInFlight bool // no other of this agent was out on its server
	cost         float64
	suspected    bool // its server was looked at as it did not answer
	done         bool
}

// request is one try of a client, kept until it is answered and no attempt is out.
type request struct {
	id                RequestID
	class             int
	tenant            int
	key               uint64
	hash              uint64 // what orders the servers for it
	costHint          float64
	firstArrivedAt    float64 // when the client's first try came, as far as known
	arrivedAt         float64
	targetAt          float64
	deadline          float64 // margin already taken off
	attempts          []*attempt
	openAttempts      int // attempts out
	ambiguousAttempts int // attempts that may have run
	executedAt        float64
	executedOn        *server
	affinity          [affinityServers]*server // nearest its key, as of epoch
	affinityEpoch     uint64
	tierWeight        float64 // of the tier at its last pick
	value             float64
	closed            bool
	responseStarted   bool // a streamed answer belongs to the client now
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

// unservedRequest is what is remembered of an unserved request, to know its retry.
type unservedRequest struct {
	class          int
	key            uint64
	firstArrivedAt float64
}

// machineKind is what the agent has learned of one kind of machine: the mean answer time, as a part
// of the target latency, and the resulting weight.
type machineKind struct{ latency, weight float64 }

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	settings           Settings
	rng                *rand.Rand
	now                float64
	actions            []Action
	servers            []*server // by address
	serversByAddr      map[Addr]*server
	requests           map[RequestID]*request
	queued             []*request
	tierScratch        []*server // scratch of pick
	recentUnserved     []unservedRequest
	recentKeys         keyCounter
	warmTotal          float64 // weight of warm servers, at warmTotalAt and warmTotalEpoch
	warmTotalAt        float64
	warmTotalEpoch     uint64
	epoch              uint64 // counts changes of tiers and list
	inFlight           int
	activeProbes       int
	classLatency       []float64 // per class: mean answer time
	meanCostHint       float64
	hintSamples        float64 // answers to hinted requests, and their means and spread
	hintMeanCost       float64
	hintMeanLatency    float64
	hintVariance       float64
	hintCovariance     float64
	latencySamples     float64   // served so far
	fleetLatency       float64   // mean answer time as a part of the aim, all servers
	baselineLatency    float64   // the same when nothing is crowded
	tenantShare        []float64 // tenants' shares of requests
	classShare         []float64 // classes' shares of requests
	classSuccess       []float64 // and of those served in time
	worstClass         int       // the class served worst
	meanCredit         float64   // mean worth of a request
	minTarget          float64
	lastFetchAt        float64 // last fetch of the list
	watchFailures      int     // failed calls in a row
	watchScheduled     bool    // a time is set to ask for the subscription
	watchDueAt         float64 // which is then
	watchGranted       bool    // and was granted since it was last asked for,
	watchRequestedAt   float64 // which was then
	retriedAtOnce      bool    // the failed calls began with one right behind a subscription that was served
	partialSince       float64 // when the answer began of which a part has come; 0: none is unfinished
	partialCallEnded   bool    // its call has ended
	warmWork           float64 // work sent to a warm server of weight one, fading over the cold time
	warmWorkAt         float64
	retryDebt          float64 // attempts that ended of late, less what the earned ones allow; as of retryDebtAt
	recentRequests     float64 // requests of late, over the keepalive time, as of recentRequestsAt
	recentRequestsAt   float64
	zoneCount          uint64  // of the servers in the first list
	localZoneWeight    float64 // weight of the own zone's servers, and mean answer times there and elsewhere
	localZoneLatency   float64
	otherZoneLatency   float64
	overallLatency     float64
	kinds              [256]machineKind
	retryDebtAt        float64
	startedAt          float64
	requestCount       float64 // requests since
	logLatency         float64 // mean logarithm of answer times as parts of the aim
	baselineLogLatency float64 // the same when nothing is crowded
	logLatencySamples  float64 // answers in them
	agentLimit         float64 // attempts that the agent may have out, as of agentLimitAt
	agentLimitAt       float64
	lastSentAt         float64 // last attempt
	tickScheduled      bool
	capacityExhausted  bool // requests that would take any server find no room
}

// countClass keeps the classes' shares of requests and of those served in time.
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

// countTenant keeps the tenants' shares of this agent's requests.
func (b *Balancer) countTenant(tenant int) {
	if tenant < 0 || tenant >= len(b.tenantShare) {
		return
	}
	for i := range b.tenantShare {
		b.tenantShare[i] *= shareDecay
	}
	b.tenantShare[tenant] += 1 - shareDecay
}

// setState notes a server's new state and its time; tiers have changed.
func (b *Balancer) setState(s *server, to State) {
	if s.state > Unknown || to > Unknown {
		b.epoch++
	}
	s.state, s.stateSince = to, b.now
}

// recordHintedLatency keeps the straight line of answer time over hinted work: the network's
// share does not grow with the work.
func (b *Balancer) recordHintedLatency(r *request, rtt float64) {
	if r.costHint <= 0 {
		return
	}
	b.hintSamples++
	w := max(fleetSmoothing, 1/b.hintSamples)
	dh, dt := r.costHint-b.hintMeanCost, rtt-b.hintMeanLatency
	b.hintMeanCost += w * dh
	b.hintMeanLatency += w * dt
	b.hintVariance += w * (dh*dh*(1-w) - b.hintVariance)
	b.hintCovariance += w * (dh*dt*(1-w) - b.hintCovariance)
}

// hintedLatency is what the line says for the request; 0 while little is known.
func (b *Balancer) hintedLatency(r *request) float64 {
	if r.costHint <= 0 || b.hintSamples < 1/(4*fleetSmoothing) || b.hintVariance <= 0 {
		return 0
	}
	return max(b.hintMeanLatency+b.hintCovariance/b.hintVariance*(r.costHint-b.hintMeanCost), 0)
}

// relativeLatency is an answer time as a part of the aim. Where hints tell the work a costly
// request counts as one of mean work; a small one's time is mostly the network's.
func (b *Balancer) relativeLatency(r *request, rtt float64) float64 {
	x := rtt / b.settings.Classes[r.class].TargetMs
	if r.costHint > 0 {
		x *= min(b.meanCostHint/r.costHint, 1)
	}
	return min(x, 2)
}

// stepWeight moves a weight a step down or up within its bounds.
func stepWeight(w float64, down bool, least, most float64) float64 {
	if down {
		return max(w/(1+weightStep), least)
	}
	return min(w*(1+weightStep), most)
}

// sanitize makes what came from outside safe to calculate with: not a number and negative
// become 0, infinite and huge the largest number that leaves room for sums and squares.
func sanitize(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, 1e15)
}

// movingAverage moves a running movingAverage towards x; the first value is taken whole.
func movingAverage(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

func hashAddr(a Addr) uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}

// splitMix64 is the finalizer of splitmix64.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// overQuota tells whether a tenant sends more than its portion of what comes.
func (b *Balancer) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantShare) {
		return false
	}
	return b.tenantShare[tenant] > 1.1*b.settings.Tenants[tenant].QuotaFraction
}
