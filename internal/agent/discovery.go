package agent

import (
	"context"
	"hash/fnv"
	"io"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

var healths = map[string]policy.Health{
	endpoints.Ready: policy.Ready, endpoints.Draining: policy.Draining, endpoints.Removed: policy.Gone,
}

// entry translates a host for the module. A site or class that the settings don't
// name is nobody's own: it gets a number that no settings give.
func (n *names) entry(h *endpoints.Endpoint) policy.Entry {
	at := func(m map[string]int, word string) int {
		if i, ok := m[word]; ok {
			return i
		}
		return -1
	}
	return policy.Entry{Server: addrOf(h.Name), Zone: at(n.sites, h.Site), Cell: h.Block,
		Kind: at(n.kinds, h.Class), StartedMs: h.StartedMs, Health: healths[h.Health], Weight: h.Weight}
}

// addrOf gives a backend its address in the module: from its name alone, so that
// it is the same at every agent and stays when the address to dial changes.
func addrOf(host string) policy.Addr {
	h := fnv.New64a()
	io.WriteString(h, host)
	sum := h.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return policy.Addr(sum[2:])
}

const (
	// formerFor is how long a discovery that was left is heard out: it closes its watches 1.5 s after
	// the signal (TERMS).
	formerFor = 2 * time.Second
	// maxFormer bounds how many are heard out at once, where configurations follow on each other.
	maxFormer = 4
)

// former is a discovery that the agent has left and still hears.
type former struct {
	disc     *discovery
	leaveOff context.CancelFunc // ends the calls to it
}

// discovery asks the service that lists the backends. Its methods block; the loop
// runs each in a goroutine of its own, and hears of the result by post.
type discovery struct {
	addrs  []string
	client *endpoints.Client
	post   func(input)
}

func newDiscovery(c endpoints.ClientConfig, post func(input)) *discovery {
	d := &discovery{addrs: c.Addresses}
	d.post = func(in input) {
		in.from = d
		post(in)
	}
	c.OnFailover = func(addr string, err error) { d.post(input{kind: inFailover, addr: addr, err: err}) }
	c.OnPartial = func(l endpoints.List) { d.post(input{kind: inPart, list: l}) }
	d.client = endpoints.NewClient(c)
	return d
}

// fetch asks for the whole list once.
func (d *discovery) fetch(ctx context.Context, least int64) {
	l, err := d.client.Fetch(ctx, least)
	d.post(input{kind: inFetched, list: l, err: err})
}

// leave says that the agent ends as planned, to whoever counts it as present.
func (d *discovery) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, acceptFor)
	defer cancel()
	if err := d.client.Leave(ctx); err != nil {
		d.post(input{kind: inFailover, err: err})
	}
}

// watch follows the changes after version since until no address leads on.
func (d *discovery) watch(ctx context.Context, since int64) {
	told := since
	err := d.client.Watch(ctx, since, func(l endpoints.List) {
		d.post(input{kind: inWatched, list: l, since: told})
		told = l.Seq
	})
	d.post(input{kind: inWatchEnded, err: err})
}
