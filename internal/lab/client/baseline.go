package client

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
)

// Policies are the baselines' ways to choose a server.
var Policies = []string{"random", "round_robin", "least_of_two"}

// Baseline is a plain client-side balancer within the lab, the measure of what the agent
// is worth. It reads the service's list the moment that the service knows, needs no
// processor of its own, and tries again, at another server, what may be sent again.
type Baseline struct {
	Policy         string
	Clock          check.Clock
	Epoch          time.Time
	Load           *Load
	ConnectTimeout time.Duration
	List           func() endpoints.List

	mu        sync.Mutex
	rng       *rand.Rand
	nextIndex int
	inFlight  map[string]int
	pools     map[string]*Pool
}

// NewBaseline makes one of the Policies.
func NewBaseline(b *Baseline, seed uint64) (*Baseline, error) {
	if !slices.Contains(Policies, b.Policy) {
		return nil, fmt.Errorf("unknown baseline %q: one of %s", b.Policy, strings.Join(Policies, ", "))
	}
	b.rng = rand.New(rand.NewPCG(seed, 77))
	b.nextIndex = b.rng.IntN(1 << 20)
	b.inFlight, b.pools = map[string]int{}, map[string]*Pool{}
	return b, nil
}

// maxBaselineAttempts is how many servers it asks at most for one request.
const maxBaselineAttempts = 3

func (b *Baseline) send(r *check.Request, head http.Header, _ time.Time) response {
	class := &b.Load.Classes[r.Class]
	deadline := b.Epoch.Add(r.Deadline) // it words the end itself by then
	response := response{Answer: check.Answer{Outcome: check.Rejected, At: b.Clock(), NewConnection: true}}
	attempted := map[string]bool{}
	for range maxBaselineAttempts {
		addr, pool := b.choose(attempted)
		if addr == "" || time.Until(deadline) <= 0 {
			break
		}
		attempted[addr] = true
		header := head.Clone()
		header["Request-Timeout"] = []string{strconv.FormatInt(max(time.Until(deadline).Microseconds(), 1), 10) + "u"}
		response = pool.call(addr, r, header, deadline, b.ConnectTimeout, b.Clock)
		b.mu.Lock()
		b.inFlight[addr]--
		b.mu.Unlock()
		notExecuted := response.Outcome == check.Unreachable || response.notStarted
		switch {
		case response.Outcome == check.Served:
			return response
		case notExecuted:
			response.Outcome = check.Rejected
		case class.Effect == "single_shot" || class.Effect == "guarded" && class.Group != "all":
			response.Outcome = check.Failed
			return response
		default:
			response.Outcome = check.Failed
		}
	}
	response.At = b.Clock()
	return response
}

// choose picks a server that the list calls ready and that was not tried.
func (b *Baseline) choose(attempted map[string]bool) (string, *Pool) {
	list := b.List()
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for i := range list.Endpoints {
		if h := &list.Endpoints[i]; h.Health == "ready" && !attempted[h.Dial] {
			ready = append(ready, h.Dial)
		}
	}
	if len(ready) == 0 {
		return "", nil
	}
	addr := ready[b.rng.IntN(len(ready))]
	switch b.Policy {
	case "round_robin":
		b.nextIndex++
		addr = ready[b.nextIndex%len(ready)]
	case "least_of_two":
		if other := ready[b.rng.IntN(len(ready))]; b.inFlight[other] < b.inFlight[addr] {
			addr = other
		}
	}
	b.inFlight[addr]++
	p := b.pools[addr]
	if p == nil {
		p = &Pool{}
		b.pools[addr] = p
	}
	return addr, p
}

// Opened is how many connections were made to servers.
func (b *Baseline) Opened() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var n int64
	for _, p := range b.pools {
		n += p.Opened()
	}
	return n
}

// Reset breaks all connections.
func (b *Baseline) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		p.Reset()
	}
}
