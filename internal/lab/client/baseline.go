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
	Policy  string
	Clock   check.Clock
	Epoch   time.Time
	Load    *Load
	Connect time.Duration
	List    func() endpoints.List

	mu    sync.Mutex
	rng   *rand.Rand
	turn  int
	out   map[string]int
	pools map[string]*Pool
}

// NewBaseline makes one of the Policies.
func NewBaseline(b *Baseline, seed uint64) (*Baseline, error) {
	if !slices.Contains(Policies, b.Policy) {
		return nil, fmt.Errorf("unknown baseline %q: one of %s", b.Policy, strings.Join(Policies, ", "))
	}
	b.rng = rand.New(rand.NewPCG(seed, 77))
	b.turn = b.rng.IntN(1 << 20)
	b.out, b.pools = map[string]int{}, map[string]*Pool{}
	return b, nil
}

// baselineTries is how many servers it asks at most for one request.
const baselineTries = 3

func (b *Baseline) send(r *check.Request, head http.Header, _ time.Time) reply {
	class := &b.Load.Class[r.Class]
	deadline := b.Epoch.Add(r.Expires) // it words the end itself by then
	rep := reply{Answer: check.Answer{Kind: check.Refused, At: b.Clock(), Fresh: true}}
	tried := map[string]bool{}
	for range baselineTries {
		addr, pool := b.choose(tried)
		if addr == "" || time.Until(deadline) <= 0 {
			break
		}
		tried[addr] = true
		h := head.Clone()
		h["Request-Timeout"] = []string{strconv.FormatInt(max(time.Until(deadline).Microseconds(), 1), 10) + "u"}
		rep = pool.call(addr, r, h, deadline, b.Connect, b.Clock)
		b.mu.Lock()
		b.out[addr]--
		b.mu.Unlock()
		never := rep.Kind == check.Unreachable || rep.notStarted
		switch {
		case rep.Kind == check.Served:
			return rep
		case never:
			rep.Kind = check.Refused
		case class.Effect == "single_shot" || class.Effect == "guarded" && class.Group != "all":
			rep.Kind = check.Failed
			return rep
		default:
			rep.Kind = check.Failed
		}
	}
	rep.At = b.Clock()
	return rep
}

// choose picks a server that the list calls ready and that was not tried.
func (b *Baseline) choose(tried map[string]bool) (string, *Pool) {
	l := b.List()
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for i := range l.Endpoints {
		if h := &l.Endpoints[i]; h.Health == "ready" && !tried[h.Dial] {
			ready = append(ready, h.Dial)
		}
	}
	if len(ready) == 0 {
		return "", nil
	}
	addr := ready[b.rng.IntN(len(ready))]
	switch b.Policy {
	case "round_robin":
		b.turn++
		addr = ready[b.turn%len(ready)]
	case "least_of_two":
		if other := ready[b.rng.IntN(len(ready))]; b.out[other] < b.out[addr] {
			addr = other
		}
	}
	b.out[addr]++
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
