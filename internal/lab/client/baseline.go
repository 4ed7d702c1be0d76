package client

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
)

// The policies of baselines.
const (
	policyRandom     = "random"
	policyRoundRobin = "round_robin"
	policyLeastOfTwo = "least_of_two" // the one of two random servers with fewer requests in flight
)

// Policies are the policies by which a baseline can choose a server.
var Policies = []string{policyRandom, policyRoundRobin, policyLeastOfTwo}

// ErrUnknownPolicy is the error for a baseline whose policy is not one of Policies.
var ErrUnknownPolicy = errors.New("unknown baseline")

const (
	// baselineStream is the second seed word of a baseline's random source.
	baselineStream = 77
	// maxFirstIndex bounds the random index at which round robin starts.
	maxFirstIndex = 1 << 20
	// maxBaselineAttempts bounds the number of servers to which a baseline sends one request.
	maxBaselineAttempts = 3
)

// Baseline is a plain client-side load balancer within the lab, with which the agent is compared. It sees
// changes of the discovery list without delay, needs no separate process, and retries a request at another
// server if the request's class allows that. The exported fields are set before NewBaseline and not changed
// afterwards. It is safe for concurrent use.
type Baseline struct {
	Policy         string
	Clock          check.Clock
	Epoch          time.Time // the time at which the clock was 0
	Load           *Load
	ConnectTimeout time.Duration
	List           func() endpoints.List

	mu        sync.Mutex
	rng       *rand.Rand
	nextIndex int
	inFlight  map[string]int   // requests in flight, by server address
	pools     map[string]*Pool // connections, by server address
}

// NewBaseline initializes a baseline. It returns ErrUnknownPolicy if its policy is not one of Policies.
func NewBaseline(b *Baseline, seed uint64) (*Baseline, error) {
	if !slices.Contains(Policies, b.Policy) {
		return nil, fmt.Errorf("%w %q: one of %s", ErrUnknownPolicy, b.Policy, strings.Join(Policies, ", "))
	}
	b.rng = rand.New(rand.NewPCG(seed, baselineStream))
	b.nextIndex = b.rng.IntN(maxFirstIndex)
	b.inFlight, b.pools = map[string]int{}, map[string]*Pool{}
	return b, nil
}

// send sends a request to up to maxBaselineAttempts servers until one serves it. It waits until the
// request's deadline, not until the later time at which the client stops waiting, because it generates
// the final answer itself.
func (b *Baseline) send(r *check.Request, header http.Header, _ time.Time) response {
	deadline := b.Epoch.Add(r.Deadline)
	result := response{Answer: check.Answer{Outcome: check.Rejected, At: b.Clock(), NewConnection: true}}
	attempted := map[string]bool{}
	for range maxBaselineAttempts {
		addr, pool := b.choose(attempted)
		if addr == "" || time.Until(deadline) <= 0 {
			break
		}
		attempted[addr] = true
		attemptHeader := header.Clone()
		attemptHeader[headerRequestTimeout] = []string{formatTimeout(time.Until(deadline))}
		result = pool.call(&call{addr: addr, request: r, header: attemptHeader, deadline: deadline, connectTimeout: b.ConnectTimeout, clock: b.Clock})
		b.mu.Lock()
		b.inFlight[addr]--
		b.mu.Unlock()
		if result.Outcome == check.Served {
			return result
		}
		if result.Outcome == check.Unreachable || result.notStarted {
			result.Outcome = check.Rejected
			continue
		}
		result.Outcome = check.Failed
		if !b.Load.Classes[r.Class].mayRepeat() {
			return result
		}
	}
	result.At = b.Clock()
	return result
}

// choose returns the address and the pool of a ready server that was not attempted, and counts a request
// in flight there. It returns "" and nil if there is no such server.
func (b *Baseline) choose(attempted map[string]bool) (string, *Pool) {
	list := b.List()
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for i := range list.Endpoints {
		if endpoint := &list.Endpoints[i]; endpoint.Health == endpoints.Ready && !attempted[endpoint.Dial] {
			ready = append(ready, endpoint.Dial)
		}
	}
	if len(ready) == 0 {
		return "", nil
	}
	addr := b.pick(ready)
	b.inFlight[addr]++
	if b.pools[addr] == nil {
		b.pools[addr] = &Pool{}
	}
	return addr, b.pools[addr]
}

// pick returns one of the addresses by the baseline's policy. The caller holds b.mu.
func (b *Baseline) pick(ready []string) string {
	addr := ready[b.rng.IntN(len(ready))] // drawn for every policy, even if the policy doesn't use it
	switch b.Policy {
	case policyRoundRobin:
		b.nextIndex++
		return ready[b.nextIndex%len(ready)]
	case policyLeastOfTwo:
		if other := ready[b.rng.IntN(len(ready))]; b.inFlight[other] < b.inFlight[addr] {
			return other
		}
	}
	return addr
}

// OpenedConnections returns how many connections to servers were opened.
func (b *Baseline) OpenedConnections() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var opened int64
	for _, pool := range b.pools {
		opened += pool.OpenedConnections()
	}
	return opened
}

// SetReuseOnly does nothing: a baseline is not restarted.
func (b *Baseline) SetReuseOnly(bool) {}

// Reset resets all connections.
func (b *Baseline) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, pool := range b.pools {
		pool.Reset()
	}
}
