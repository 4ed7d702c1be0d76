// Package check records the observations of clients and emulated servers about each request and checks
// them against the rules. It takes no input from the agents, so that their own reports do not influence
// the result.
//
// Some rules depend on an agent's knowledge of a server. An agent counts as notified of a change of the
// server once discovery has written the change to the agent. If discovery has not written it, the agent
// counts as notified after notificationBound of time in which discovery was able to write it.
//
// The package starts no goroutines; clients, servers and discovery call it from their own. Each lock
// guards the struct that contains it, and a request's lock also guards the attempts of the request. An
// agentView is locked before the discoveryState, and a historyShard before a Request. No other two locks
// are held together.
package check

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"knotrouter/policy"
)

// Clock returns the time since the experiment began. All parts of the lab share one clock.
type Clock func() time.Duration

// The rules. The values name them in reports and are part of the report format.
const (
	RuleLost        = "lost request"
	RuleDuplicate   = "duplicated effect"
	RuleDrain       = "drain not kept"
	RuleSlowStart   = "cold server pushed over"
	RuleUnknown     = "unknown request"
	RuleLimit       = "over a limit"
	RuleCrash       = "agent crashed"
	RuleTaskOverlap = "two holders of a duty at once"
)

const (
	// timingSlack is added to every time limit, because sockets and timers are not exact.
	timingSlack = 50 * time.Millisecond
	// maxBreaches bounds the breaches that are kept with their details; all are counted.
	maxBreaches = 200
	// slowStartKnownShare is the minimum share of an overloaded server's work that has to come from agents
	// that knew of the server's start for the overload to break RuleSlowStart.
	slowStartKnownShare = 2.0 / 3
)

// noIndex stands for the agent in a breach that concerns no agent, and for the server in a breach that
// concerns no server.
const noIndex = -1

// Breach is one violation of a rule.
type Breach struct {
	Rule    string  `json:"rule"`
	AtS     float64 `json:"at_s"`
	Request string  `json:"request,omitempty"`
	Agent   string  `json:"agent,omitempty"`
	Server  string  `json:"server,omitempty"`
	Text    string  `json:"text"`
}

// Server holds the properties of a server that the rules depend on.
type Server struct {
	Name string
	Zone int
	Cell int
}

// Checker checks the rules of one fleet. It is safe for concurrent use.
type Checker struct {
	clock    Clock
	settings *policy.Settings
	agents   []string
	servers  []Server
	history  requestHistory

	mu           sync.Mutex
	breaches     []Breach
	breachCounts map[string]int // number of breaches by rule, including those without details

	views     []agentView // views by agent index
	discovery discoveryState
}

// New returns a checker for the named agents and servers. All methods refer to an agent or a server by its
// index in these lists.
func New(clock Clock, settings *policy.Settings, agents []string, servers []Server) *Checker {
	c := &Checker{clock: clock, settings: settings, agents: agents, servers: servers, breachCounts: map[string]int{},
		views: make([]agentView, len(agents))}
	c.discovery.servers = make([]serverState, len(servers))
	for i := range c.views {
		c.views[i].servers = make([]serverNotice, len(servers))
	}
	return c
}

// recordBreach records a breach of a rule. agent and server can be noIndex. If r is not nil, its agent
// replaces agent.
func (c *Checker) recordBreach(rule string, r *Request, agent, server int, format string, args ...any) {
	b := Breach{Rule: rule, AtS: c.clock().Seconds(), Text: fmt.Sprintf(format, args...)}
	if r != nil {
		b.Request, agent = r.ID, r.Agent
	}
	if agent != noIndex {
		b.Agent = c.agents[agent]
	}
	if server != noIndex {
		b.Server = c.servers[server].Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breachCounts[rule]++
	if len(c.breaches) < maxBreaches {
		c.breaches = append(c.breaches, b)
	}
}

// recordRequestBreach records a breach of a rule by a request.
func (c *Checker) recordRequestBreach(rule string, r *Request, server int, format string, args ...any) {
	c.recordBreach(rule, r, r.Agent, server, format, args...)
}

// ReportBreach records a breach that another part of the lab has detected, such as a crash or an exceeded
// limit. agent is -1 if the breach does not concern an agent.
func (c *Checker) ReportBreach(rule string, agent int, text string) {
	c.recordBreach(rule, nil, agent, noIndex, "%s", text)
}

// Breaches returns the first maxBreaches breaches with their details, and the number of all breaches by rule.
func (c *Checker) Breaches() ([]Breach, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Breach(nil), c.breaches...), maps.Clone(c.breachCounts)
}

// Sweep drops requests that finished longer ago than retention. It is called every few seconds.
func (c *Checker) Sweep() { c.history.sweep(c.clock()) }

// Retained returns how many requests the checker keeps.
func (c *Checker) Retained() int64 { return c.history.retained.Load() }

// Add records a request that a client is about to send.
func (c *Checker) Add(r *Request) { c.history.add(r) }

// Lookup returns the request with the ID, or nil if there is none or it was dropped.
func (c *Checker) Lookup(id string) *Request { return c.history.lookup(id) }

// ReportUnknown records that a server received a request that no client sent, or that its client sent with
// other contents. r is nil if the ID is unknown.
func (c *Checker) ReportUnknown(r *Request, id string, server int, text string) {
	if r == nil {
		r = &Request{ID: id, Agent: 0}
	}
	c.recordRequestBreach(RuleUnknown, r, server, "%s", text)
}

// RecordWarmupOverload records that a server failed under its load while it was warming up. knownShare is
// the share of the work that came from agents that knew of its start; sent and bound are in milliseconds
// of work.
func (c *Checker) RecordWarmupOverload(server int, knownShare float64, sent, bound float64) {
	if knownShare >= slowStartKnownShare {
		c.recordBreach(RuleSlowStart, nil, noIndex, server, "sent %.0f ms of work within %.1f s, at most %.0f; %.0f %% by agents told of its start",
			sent, c.settings.Contract.CrashWindowMs/1000, bound, 100*knownShare)
	}
}

// millis converts a setting in milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
