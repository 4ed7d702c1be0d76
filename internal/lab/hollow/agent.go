package hollow

import (
	"context"
	"net/http"
	"sync"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// Agent reads the list as a real agent does, but has no data path. It uses the real endpoints.Client to
// read the list and the real policy.Balancer to decide when to start a watch again, and keeps each parsed
// entry in a table by name. The balancer is notified of received lists and failed watches, but does not
// get the entries, so it has no servers to choose from.
type Agent struct {
	process  *Agents
	services []string // subscribed services; nil: all services
	client   *endpoints.Client

	mu        sync.Mutex
	balancer  *policy.Balancer
	actions   []policy.Action
	table     map[string]endpoints.Endpoint
	scope     *endpoints.ServiceTable // table of the subscribed services, as in a real agent; nil: the full list
	version   int64                   // version of the list in the table; 0: no list received yet
	updatedAt time.Time               // time at which the last list or change was applied
	watching  bool                    // a watch is active, at any of the addresses
	watchOpen bool                    // the watch has received a list at its current address
}

// clientConfig returns the configuration of the agent's list client. It is the same as that of a real agent.
// orderSeed determines the order in which the client tries the addresses.
func (a *Agent) clientConfig(orderSeed uint64, transport http.RoundTripper) endpoints.ClientConfig {
	return endpoints.ClientConfig{
		Addresses:   a.process.config.ControlPlane,
		OrderSeed:   orderSeed,
		Fleet:       a.process.config.Fleet,
		RejectOlder: true,
		Transport:   transport,
		OnFailover:  func(string, error) { a.recordFailover() },
		Services:    a.services,
	}
}

// policySettings returns the settings of a real agent that determine when it requests the list. fleetSize is
// the number of agents.
func policySettings(fleetSize int) policy.Settings {
	return policy.Settings{
		Membership: "on_request",
		Replicas:   fleetSize,
		RoundMs:    5,
		WeightBy:   "request",
		Weights:    "nominal",
		Classes:    []policy.Class{{Name: "none", TargetMs: 1000, DeadlineMs: 5000, Effect: policy.Idempotent, Group: policy.GroupAll}},
		Contract:   policy.Contract{ListPollWithinMs: 10000},
	}
}

// newAgent creates the agent with the index in the fleet, which sends its calls through the transport. It
// returns an error if the policy rejects its settings.
func newAgent(process *Agents, index int, services []string, transport http.RoundTripper) (*Agent, error) {
	seed := AgentSeed(process.config.Seed, index)
	balancer, err := policy.New(policySettings(process.config.Fleet), seed)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		process:  process,
		services: services,
		balancer: balancer,
		table:    map[string]endpoints.Endpoint{},
	}
	if services != nil {
		a.scope = endpoints.NewServiceTable(services)
	}
	a.client = endpoints.NewClient(a.clientConfig(seed, transport))
	return a, nil
}

// start starts the balancer, which draws the time of the first call.
func (a *Agent) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.actions = a.balancer.Start(a.process.nowMs(), a.actions[:0])
	a.runActions()
}

// handleEvent passes an event to the balancer and executes its actions. The caller holds a.mu.
func (a *Agent) handleEvent(event *policy.Event) {
	a.actions = a.balancer.Handle(a.process.nowMs(), event, a.actions[:0])
	a.runActions()
}

// runActions executes the balancer's latest actions. The caller holds a.mu.
func (a *Agent) runActions() {
	for i := range a.actions {
		switch action := &a.actions[i]; action.Kind {
		case policy.ActTimer:
			token := action.Token
			time.AfterFunc(time.Duration(action.Ms*float64(time.Millisecond)), func() { a.fireTimer(token) })
		case policy.ActWatchList:
			a.openWatch()
		}
	}
}

// fireTimer passes the event of an expired timer to the balancer, unless the process is ending.
func (a *Agent) fireTimer(token uint32) {
	if a.process.ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handleEvent(&policy.Event{Kind: policy.EvTimer, Token: token})
}

// openWatch starts a watch if none is active. The caller holds a.mu.
func (a *Agent) openWatch() {
	if a.watching || !a.process.beginWatch() {
		return
	}
	a.watching = true
	go a.watch(a.process.ctx, a.version)
}

// watch follows the list from the version since until the watch has failed at all addresses or the context
// ends. It reports the failure to the balancer.
func (a *Agent) watch(ctx context.Context, since int64) {
	defer a.process.watches.Done()
	_ = a.client.Watch(ctx, since, a.applyList)
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watching, a.watchOpen = false, false
	a.process.counts.watchesEnded.Add(1)
	a.handleEvent(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
}

// recordFailover counts a failover of the watch to another address.
func (a *Agent) recordFailover() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchOpen = false
	a.process.counts.failovers.Add(1)
}

// applyList applies a received list or change to the table. A list or change that is older than the table is
// counted but not applied.
func (a *Agent) applyList(list endpoints.List) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchOpen = true
	a.process.counts.lines.Add(1)
	if list.Seq < a.version {
		return
	}
	a.process.counts.entries.Add(int64(len(list.Endpoints)))
	if list.Full {
		a.process.counts.fullLists.Add(1)
	}
	if list.Seq > a.version {
		a.process.counts.versions.Add(1)
	}
	if a.scope != nil {
		list, _ = a.scope.Apply(list)
	}
	first := a.version == 0
	a.version, a.updatedAt = list.Seq, now
	ages := a.merge(&list, now)
	if !first {
		a.process.recordAges(ages)
	}
	a.handleEvent(&policy.Event{Kind: policy.EvList, List: policy.ListChange})
}

// merge merges a list into the table and returns the ages of the changes.
func (a *Agent) merge(list *endpoints.List, now time.Time) []time.Duration {
	var ages []time.Duration
	if list.Full {
		a.removeUnlisted(list)
	}
	for i := range list.Endpoints {
		entry := &list.Endpoints[i]
		before := a.table[entry.Name]
		ages = append(ages, changeAges(&before, entry, now)...)
		if entry.Health == endpoints.Removed {
			delete(a.table, entry.Name)
			continue
		}
		a.table[entry.Name] = *entry
	}
	return ages
}

// removeUnlisted removes the entries from the table that are missing from a full list.
func (a *Agent) removeUnlisted(list *endpoints.List) {
	if len(a.table) == 0 {
		return
	}
	listed := make(map[string]bool, len(list.Endpoints))
	for i := range list.Endpoints {
		listed[list.Endpoints[i].Name] = true
	}
	for name := range a.table {
		if !listed[name] {
			delete(a.table, name)
		}
	}
}
