package hollow

import (
	"context"
	"net/http"
	"sync"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// Agent is a reader of the list as a real agent has it, without a data path: the real
// endpoints.Client reads, the real policy.Balancer decides when a watch begins again, and
// each entry is parsed and kept in a table by name. The balancer is told that lists came
// and failed, but not of their entries: it has no servers to choose from.
type Agent struct {
	process  *Agents
	services []string // that it subscribes to; nil: all
	client   *endpoints.Client

	mu       sync.Mutex
	balancer *policy.Balancer
	actions  []policy.Action
	table    map[string]endpoints.Endpoint
	scope    *endpoints.ServiceTable // as the real agent's; nil: it reads the whole list
	version  int64
	taken    time.Time // when the last list or change was taken
	watching bool      // a watch is under way, at one address or the next
	open     bool      // and has been served at the present address
}

// clientConfig is the configuration of the agent's reader, as the real agent's.
func (a *Agent) clientConfig(order uint64, transport http.RoundTripper) endpoints.ClientConfig {
	return endpoints.ClientConfig{
		Addresses:   a.process.config.ControlPlane,
		Order:       order,
		Fleet:       a.process.config.Fleet,
		RejectOlder: true,
		Transport:   transport,
		OnFailover:  func(string, error) { a.failedOver() },
		Services:    a.services,
	}
}

// settings are those of a real agent that decide when it asks for the list.
func settings(fleet int) policy.Settings {
	return policy.Settings{
		Membership: "on_request",
		Replicas:   fleet,
		RoundMs:    5,
		WeightBy:   "request",
		Weights:    "nominal",
		Classes:    []policy.Class{{Name: "none", TargetMs: 1000, DeadlineMs: 5000, Effect: policy.Idempotent, Group: policy.GroupAll}},
		Contract:   policy.Contract{ListPollWithinMs: 10000},
	}
}

func newAgent(process *Agents, index int, services []string, transport http.RoundTripper) (*Agent, error) {
	seed := process.config.Seed*1_000_003 + uint64(index)
	balancer, err := policy.New(settings(process.config.Fleet), seed)
	if err != nil {
		return nil, err
	}
	a := &Agent{process: process, services: services, balancer: balancer, table: map[string]endpoints.Endpoint{}}
	if services != nil {
		a.scope = endpoints.NewServiceTable(services)
	}
	a.client = endpoints.NewClient(a.clientConfig(seed, transport))
	return a, nil
}

// start has the policy draw the time of the first call.
func (a *Agent) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.actions = a.balancer.Start(a.process.clock(), a.actions[:0])
	a.act()
}

// tell hands the policy an event and carries out what it decides. The caller holds the lock.
func (a *Agent) tell(event *policy.Event) {
	a.actions = a.balancer.Handle(a.process.clock(), event, a.actions[:0])
	a.act()
}

func (a *Agent) act() {
	for i := range a.actions {
		switch action := &a.actions[i]; action.Kind {
		case policy.ActTimer:
			token := action.Token
			time.AfterFunc(time.Duration(action.Ms*float64(time.Millisecond)), func() { a.timer(token) })
		case policy.ActWatchList:
			a.follow()
		}
	}
}

func (a *Agent) timer(token uint32) {
	if a.process.ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tell(&policy.Event{Kind: policy.EvTimer, Token: token})
}

// follow opens the watch, if there is none. The caller holds the lock.
func (a *Agent) follow() {
	if a.watching || !a.process.enter() {
		return
	}
	a.watching = true
	go a.watch(a.process.ctx, a.version)
}

func (a *Agent) watch(ctx context.Context, since int64) {
	defer a.process.running.Done()
	_ = a.client.Watch(ctx, since, a.heard)
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watching, a.open = false, false
	a.process.counts.watchesEnded.Add(1)
	a.tell(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
}

func (a *Agent) failedOver() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open = false
	a.process.counts.failovers.Add(1)
}

// heard takes a list or a change into the table.
func (a *Agent) heard(list endpoints.List) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open = true
	a.process.counts.lines.Add(1)
	if list.Seq < a.version {
		return
	}
	a.process.counts.entries.Add(int64(len(list.Endpoints)))
	if list.Full {
		a.process.counts.wholeLists.Add(1)
	}
	if list.Seq > a.version {
		a.process.counts.versions.Add(1)
	}
	if a.scope != nil {
		list, _ = a.scope.Apply(list)
	}
	first := a.version == 0
	a.version, a.taken = list.Seq, now
	ages := a.learn(&list, now)
	if !first {
		a.process.record(ages)
	}
	a.tell(&policy.Event{Kind: policy.EvList, List: policy.ListChange})
}

// learn merges a list into the table and returns the ages of what changed.
func (a *Agent) learn(list *endpoints.List, now time.Time) []time.Duration {
	var ages []time.Duration
	if list.Full {
		a.removeUnlisted(list)
	}
	for i := range list.Endpoints {
		host := &list.Endpoints[i]
		before := a.table[host.Name]
		ages = append(ages, agesOf(&before, host, now)...)
		if host.Health == endpoints.Removed {
			delete(a.table, host.Name)
			continue
		}
		a.table[host.Name] = *host
	}
	return ages
}

// removeUnlisted takes out of the table what a whole list does not name.
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
