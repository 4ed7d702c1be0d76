package check

import (
	"fmt"
	"sync"
	"time"

	"knotrouter/policy"
)

// The rules, by the names that reports use.
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
	// timingSlack is by how much every time limit is longer on real sockets.
	timingSlack = 50 * time.Millisecond
	// notificationBound is when a change counts as told that discovery has to tell, come or not.
	notificationBound = 6 * time.Second
	// maxBreaches is how many are kept with their particulars; all are counted.
	maxBreaches = 200
)

// Breach is one rule broken once.
type Breach struct {
	Rule    string  `json:"rule"`
	AtS     float64 `json:"at_s"`
	Request string  `json:"request,omitempty"`
	Agent   string  `json:"agent,omitempty"`
	Server  string  `json:"server,omitempty"`
	Text    string  `json:"text"`
}

// Server is what the rules need to know of a server.
type Server struct {
	Name string
	Zone int
	Cell int
}

// Checker judges the rules of one fleet.
type Checker struct {
	clock    Clock
	settings *policy.Settings
	agents   []string
	servers  []Server
	history  requestHistory

	mu       sync.Mutex
	breaches []Breach
	count    map[string]int

	views     []agentView // by agent
	discovery discoveryState
}

// discoveryState is what discovery has to tell, whoever has heard of it.
type discoveryState struct {
	sync.Mutex
	down      time.Duration // for how long discovery has been down, until downAt
	downSince time.Duration // since when it is down; 0: it is up
	servers   []serverState // by server
}

// serverState is what discovery knows of a server, and by its time of service since when.
type serverState struct {
	health    string
	startedMs int64
	since     time.Duration
}

// agentView is what one agent was told, and for how long the lab itself kept it from being
// told more, or from running.
type agentView struct {
	sync.Mutex
	startedAt    time.Duration // when its process began, by discovery's time of service
	cutDuration  time.Duration // of discovery's time of service, cut off by the lab, until cutSince
	cutSince     time.Duration
	isCut        bool
	servers      []serverNotice // by server
	excusedSpans []timeSpan
}

type serverNotice struct {
	drainingSince time.Duration // since when it was told that the server takes nothing new; 0: not so
	startedMs     int64         // the latest start that it was told of
	known         bool
}

type timeSpan struct{ from, to time.Duration }

// New makes a checker for the agents and servers named.
func New(clock Clock, set *policy.Settings, agents []string, servers []Server) *Checker {
	c := &Checker{clock: clock, settings: set, agents: agents, servers: servers, count: map[string]int{},
		views: make([]agentView, len(agents))}
	c.discovery.servers = make([]serverState, len(servers))
	for i := range c.views {
		c.views[i].servers = make([]serverNotice, len(servers))
	}
	return c
}

func (c *Checker) recordBreach(rule string, r *Request, agent, server int, format string, args ...any) {
	b := Breach{Rule: rule, AtS: c.clock().Seconds(), Text: fmt.Sprintf(format, args...)}
	if r != nil {
		b.Request, agent = r.ID, r.Agent
	}
	if agent >= 0 {
		b.Agent = c.agents[agent]
	}
	if server >= 0 {
		b.Server = c.servers[server].Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[rule]++
	if len(c.breaches) < maxBreaches {
		c.breaches = append(c.breaches, b)
	}
}

// ReportBreach gives a breach that another part of the lab saw: a crash, a limit passed.
func (c *Checker) ReportBreach(rule string, agent int, text string) {
	c.recordBreach(rule, nil, agent, -1, "%s", text)
}

// Breaches returns what was broken, the first of them with particulars, and how often.
func (c *Checker) Breaches() ([]Breach, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := map[string]int{}
	for rule, n := range c.count {
		count[rule] = n
	}
	return append([]Breach(nil), c.breaches...), count
}

// Sweep drops what needs no judging any more. It is to be called now and then.
func (c *Checker) Sweep() { c.history.sweep(c.clock()) }

// Retained is how many requests the checker remembers.
func (c *Checker) Retained() int64 { return c.history.retained.Load() }

// Add takes a request that a client is about to send.
func (c *Checker) Add(r *Request) { c.history.add(r) }

// Lookup finds a request by its id, or nil.
func (c *Checker) Lookup(id string) *Request { return c.history.lookup(id) }

// ReportUnknown is told of an id that no client sent, or sent otherwise.
func (c *Checker) ReportUnknown(r *Request, id string, server int, text string) {
	if r == nil {
		c.recordBreach(RuleUnknown, &Request{ID: id, Agent: 0}, 0, server, "%s", text)
		return
	}
	c.recordBreach(RuleUnknown, r, r.Agent, server, "%s", text)
}

// RecordAttempt is told of a whole request at a server, before the server decides on it.
// clear says that nothing of the lab between the two can have kept the request back.
func (c *Checker) RecordAttempt(r *Request, server int, first, at time.Duration, clear bool) *Attempt {
	a := &Attempt{Request: r, Server: server, FirstByteAt: first, LastByteAt: at}
	class := &c.settings.Classes[r.Class]
	r.mu.Lock()
	a.Index = len(r.attempts)
	parallel, may := false, (*Attempt)(nil)
	for _, b := range r.attempts {
		parallel = parallel || b.state == inFlight
		if b.state != rejected && may == nil {
			may = b
		}
	}
	answered := r.answered
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()

	if answered > 0 && at > answered+timingSlack && clear {
		c.recordBreach(RuleDuplicate, r, 0, server, "sent %v after the final answer", at-answered)
	}
	if most := c.settings.Limits.MaxAttempts; most > 0 && a.Index >= most {
		c.recordBreach(RuleDuplicate, r, 0, server, "attempt %d of at most %d", a.Index+1, most)
	}
	if parallel && clear && !c.settings.Limits.ParallelAttempts {
		c.recordBreach(RuleDuplicate, r, 0, server, "a second copy while the first is out")
	}
	if may != nil {
		switch class.Effect {
		case policy.NonIdempotent:
			c.recordBreach(RuleDuplicate, r, 0, server, "sent again though attempt %d at %s may have run",
				may.Index, c.servers[may.Server].Name)
		case policy.Deduplicated:
			from, to := &c.servers[may.Server], &c.servers[server]
			ttl := time.Duration(class.DedupWindowMs * float64(time.Millisecond))
			switch {
			case class.Group == policy.GroupZone && from.Zone != to.Zone,
				class.Group == policy.GroupCell && from.Cell != to.Cell:
				c.recordBreach(RuleDuplicate, r, 0, server, "sent again outside the %s of %s", class.Group, from.Name)
			case at-may.LastByteAt > ttl+timingSlack && clear:
				c.recordBreach(RuleDuplicate, r, 0, server, "sent again %v after the first that may have run", at-may.LastByteAt)
			}
		}
	}
	if clear {
		c.checkDrain(r, server, first)
	}
	return a
}

// checkDrain judges a send to a server that takes nothing new.
func (c *Checker) checkDrain(r *Request, server int, first time.Duration) {
	grace := time.Duration(c.settings.Contract.DrainGraceMs*float64(time.Millisecond)) + timingSlack
	since, is := c.drainNotified(r.Agent, server, first)
	if is && first > since+grace && !c.isExcused(r.Agent, since, first) {
		c.recordBreach(RuleDrain, r, 0, server, "sent %v after its drain was told", first-since)
	}
}

// drainNotified tells since when the agent counts as told that the server takes nothing new.
func (c *Checker) drainNotified(agent, server int, now time.Duration) (time.Duration, bool) {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	if d := v.servers[server].drainingSince; d > 0 {
		return d, true
	}
	f, known, could := c.discoveryKnows(v, server, now)
	if !known || f.health == "ready" || could < notificationBound {
		return 0, false
	}
	return now - (could - notificationBound), true
}

// StartNotified tells whether the agent counts as told of the start of a server at startedMs.
func (c *Checker) StartNotified(agent, server int, bornMs int64) bool {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	if t := &v.servers[server]; t.known && t.startedMs >= bornMs {
		return true
	}
	f, known, could := c.discoveryKnows(v, server, c.clock())
	return known && f.startedMs >= bornMs && could >= notificationBound
}

// discoveryKnows tells what discovery knows of the server, and for how long it could have told
// this agent: not while it was down, nor while the lab kept the two apart.
func (c *Checker) discoveryKnows(v *agentView, server int, now time.Duration) (serverState, bool, time.Duration) {
	c.discovery.Lock()
	defer c.discovery.Unlock()
	f := c.discovery.servers[server]
	if f.health == "" {
		return f, false, 0
	}
	up := c.discovery.serviceTime(now)
	cut := v.cutDuration
	if v.isCut {
		cut += up - v.cutSince
	}
	return f, true, up - max(f.since, v.startedAt) - cut
}

// serviceTime is for how long discovery was serviceTime by now. The caller holds the lock.
func (f *discoveryState) serviceTime(now time.Duration) time.Duration {
	down := f.down
	if f.downSince > 0 {
		down += now - f.downSince
	}
	return now - down
}

// RecordDiscovery is told what discovery has noticed of a server.
func (c *Checker) RecordDiscovery(server int, health string, bornMs int64) {
	now := c.clock()
	c.discovery.Lock()
	defer c.discovery.Unlock()
	c.discovery.servers[server] = serverState{health: health, startedMs: bornMs, since: c.discovery.serviceTime(now)}
}

// SetDiscoveryUp is told when discovery goes down or comes up.
func (c *Checker) SetDiscoveryUp(up bool) {
	now := c.clock()
	c.discovery.Lock()
	defer c.discovery.Unlock()
	f := &c.discovery
	switch {
	case !up && f.downSince == 0:
		f.downSince = now
	case up && f.downSince > 0:
		f.down, f.downSince = f.down+now-f.downSince, 0
	}
}

// SetDiscoveryCut is told when the lab cuts an agent off from discovery, and when it ends that.
func (c *Checker) SetDiscoveryCut(agent int, off bool) {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	up := c.serviceTime()
	if v.isCut && !off {
		v.cutDuration += up - v.cutSince
	}
	if v.isCut != off {
		v.isCut, v.cutSince = off, up
	}
}

// serviceTime is discovery's time of serviceTime until now.
func (c *Checker) serviceTime() time.Duration {
	c.discovery.Lock()
	defer c.discovery.Unlock()
	return c.discovery.serviceTime(c.clock())
}

// RecordNotified is told what discovery has written to an agent.
func (c *Checker) RecordNotified(agent, server int, health string, bornMs int64) {
	now := c.clock()
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	t := &v.servers[server]
	t.known, t.startedMs = true, max(t.startedMs, bornMs)
	switch {
	case health == "ready":
		t.drainingSince = 0
	case t.drainingSince == 0:
		t.drainingSince = now
	}
}

// AgentStarted is told of a new process of an agent: what the one before knew is gone.
func (c *Checker) AgentStarted(agent int) {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	v.startedAt, v.cutDuration = c.serviceTime(), 0
	v.cutSince = v.startedAt
	clear(v.servers)
}

// AgentKilled is told when the lab kills an agent.
func (c *Checker) AgentKilled(agent int) {
	now := c.clock()
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	v.excuse(timeSpan{now, now + timingSlack})
}

// AgentPaused is told when the lab has kept an agent from running for a while.
func (c *Checker) AgentPaused(agent int, from, to time.Duration) {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	v.excuse(timeSpan{from, to})
}

// maxExcuses bounds what is remembered of an agent's stops; the oldest go first.
const maxExcuses = 64

func (v *agentView) excuse(s timeSpan) {
	if len(v.excusedSpans) == maxExcuses {
		v.excusedSpans = v.excusedSpans[1:]
	}
	v.excusedSpans = append(v.excusedSpans, s)
}

// isExcused tells whether the lab kept the agent from running at any time within the span.
func (c *Checker) isExcused(agent int, from, to time.Duration) bool {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	for _, s := range v.excusedSpans {
		if from <= s.to && to >= s.from {
			return true
		}
	}
	return false
}

// MarkRejected is told that the server refused the attempt unseen.
func (a *Attempt) MarkRejected() { a.setState(rejected) }

// MarkFinished is told that nothing of the attempt is out any more; it may have run.
func (a *Attempt) MarkFinished() { a.setState(finished) }

func (a *Attempt) setState(s attemptState) {
	a.Request.mu.Lock()
	defer a.Request.mu.Unlock()
	if a.state == inFlight {
		a.state = s
	}
}

// WarmupOverload is told that a cold server went down under what it was sent, and which part of
// the work came from agents that knew it to be cold.
func (c *Checker) WarmupOverload(server int, toldShare float64, sent, bound float64) {
	if toldShare >= 2.0/3 {
		c.recordBreach(RuleSlowStart, nil, -1, server, "sent %.0f ms of work within %.1f s, at most %.0f; %.0f %% by agents told of its start",
			sent, c.settings.Contract.TipAfterMs/1000, bound, 100*toldShare)
	}
}
