package agent

import (
	"context"
	"hash/fnv"
	"io"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

var policyHealth = map[string]policy.Health{
	endpoints.Ready: policy.Ready, endpoints.Draining: policy.Draining, endpoints.Removed: policy.Gone,
}

// policyEntry translates a host for the module. A site or class that the settings don't
// name is nobody's own: it gets a number that no settings give.
func (n *nameIndex) policyEntry(h *endpoints.Endpoint) policy.Entry {
	at := func(m map[string]int, name string) int {
		if i, ok := m[name]; ok {
			return i
		}
		return -1
	}
	return policy.Entry{Server: policyAddr(h.Name), Zone: at(n.zones, h.Site), Cell: h.Block,
		Kind: at(n.kinds, h.Class), StartedMs: h.StartedMs, Health: policyHealth[h.Health], Weight: h.Weight}
}

// policyAddr gives a backend its address in the module: from its name alone, so that
// it is the same at every agent and stays when the address to dial changes.
func policyAddr(host string) policy.Addr {
	h := fnv.New64a()
	io.WriteString(h, host)
	sum := h.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return policy.Addr(sum[2:])
}

const (
	// previousDiscoveryTimeout is how long a discovery that was left is heard out: it closes its watches 1.5 s after
	// the signal (TERMS).
	previousDiscoveryTimeout = 2 * time.Second
	// maxPreviousDiscoveries bounds how many are heard out at once, where configurations follow on each other.
	maxPreviousDiscoveries = 4
)

// previousDiscovery is a discovery that the agent has left and still hears.
type previousDiscovery struct {
	discovery *discovery
	cancel    context.CancelFunc // ends the calls to it
}

// discovery asks the service that lists the backends. Its methods block; the loop
// runs each in a goroutine of its own, and hears of the result by post.
type discovery struct {
	addrs  []string
	client *endpoints.Client
	post   func(event)
}

func newDiscovery(c endpoints.ClientConfig, post func(event)) *discovery {
	d := &discovery{addrs: c.Addresses}
	d.post = func(e event) {
		e.source = d
		post(e)
	}
	c.OnFailover = func(addr string, err error) { d.post(event{kind: eventFailover, addr: addr, err: err}) }
	c.OnPartial = func(l endpoints.List) { d.post(event{kind: eventListPartial, list: l}) }
	d.client = endpoints.NewClient(c)
	return d
}

// fetch asks for the whole list once.
func (d *discovery) fetch(ctx context.Context, minVersion int64) {
	l, err := d.client.Fetch(ctx, minVersion)
	d.post(event{kind: eventListFetched, list: l, err: err})
}

// leave says that the agent ends as planned, to whoever counts it as present.
func (d *discovery) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownAcceptPeriod)
	defer cancel()
	if err := d.client.Leave(ctx); err != nil {
		d.post(event{kind: eventFailover, err: err})
	}
}

// watch follows the changes after version since until no address leads on.
func (d *discovery) watch(ctx context.Context, since int64) {
	reported := since
	err := d.client.Watch(ctx, since, func(l endpoints.List) {
		d.post(event{kind: eventListChanged, list: l, since: reported})
		reported = l.Seq
	})
	d.post(event{kind: eventWatchEnded, err: err})
}
