package check

import (
	"fmt"
	"sync"
	"time"

	"knotrouter/policy"
)

// The rules, by the names that reports use.
const (
	RuleLost      = "lost request"
	RuleDuplicate = "duplicated effect"
	RuleDrain     = "drain not kept"
	RuleCold      = "cold server pushed over"
	RuleUnknown   = "unknown request"
	RuleLimit     = "over a limit"
	RuleCrash     = "agent crashed"
	RuleDuty      = "two holders of a duty at once"
)

const (
	// slack is by how much every time limit is longer on real sockets.
	slack = 50 * time.Millisecond
	// toldAfter is when a change counts as told that discovery has to tell, come or not.
	toldAfter = 6 * time.Second
	// mostBreaches is how many are kept with their particulars; all are counted.
	mostBreaches = 200
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
	clock  Clock
	set    *policy.Settings
	agents []string
	server []Server
	book   book

	mu       sync.Mutex
	breaches []Breach
	count    map[string]int

	views []view // by agent
	facts facts
}

// facts is what discovery has to tell, whoever has heard of it.
type facts struct {
	sync.Mutex
	down  time.Duration // for how long discovery has been down, until downAt
	at    time.Duration // since when it is down; 0: it is up
	about []fact        // by server
}

// fact is what discovery knows of a server, and by its time of service since when.
type fact struct {
	health string
	bornMs int64
	since  time.Duration
}

// view is what one agent was told, and for how long the lab itself kept it from being
// told more, or from running.
type view struct {
	sync.Mutex
	startUp time.Duration // when its process began, by discovery's time of service
	cut     time.Duration // of discovery's time of service, cut off by the lab, until cutAt
	cutAt   time.Duration
	isCut   bool
	about   []told // by server
	excused []span
}

type told struct {
	drain  time.Duration // since when it was told that the server takes nothing new; 0: not so
	bornMs int64         // the latest start that it was told of
	known  bool
}

type span struct{ from, to time.Duration }

// New makes a checker for the agents and servers named.
func New(clock Clock, set *policy.Settings, agents []string, servers []Server) *Checker {
	c := &Checker{clock: clock, set: set, agents: agents, server: servers, count: map[string]int{},
		views: make([]view, len(agents))}
	c.facts.about = make([]fact, len(servers))
	for i := range c.views {
		c.views[i].about = make([]told, len(servers))
	}
	return c
}

func (c *Checker) breach(rule string, r *Request, agent, server int, format string, args ...any) {
	b := Breach{Rule: rule, AtS: c.clock().Seconds(), Text: fmt.Sprintf(format, args...)}
	if r != nil {
		b.Request, agent = r.ID, r.Agent
	}
	if agent >= 0 {
		b.Agent = c.agents[agent]
	}
	if server >= 0 {
		b.Server = c.server[server].Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[rule]++
	if len(c.breaches) < mostBreaches {
		c.breaches = append(c.breaches, b)
	}
}

// Report gives a breach that another part of the lab saw: a crash, a limit passed.
func (c *Checker) Report(rule string, agent int, text string) {
	c.breach(rule, nil, agent, -1, "%s", text)
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
func (c *Checker) Sweep() { c.book.sweep(c.clock()) }

// Held is how many requests the checker remembers.
func (c *Checker) Held() int64 { return c.book.held.Load() }

// Add takes a request that a client is about to send.
func (c *Checker) Add(r *Request) { c.book.add(r) }

// Lookup finds a request by its id, or nil.
func (c *Checker) Lookup(id string) *Request { return c.book.lookup(id) }

// Stranger is told of an id that no client sent, or sent otherwise.
func (c *Checker) Stranger(r *Request, id string, server int, text string) {
	if r == nil {
		c.breach(RuleUnknown, &Request{ID: id, Agent: 0}, 0, server, "%s", text)
		return
	}
	c.breach(RuleUnknown, r, r.Agent, server, "%s", text)
}

// Arrived is told of a whole request at a server, before the server decides on it.
// clear says that nothing of the lab between the two can have kept the request back.
func (c *Checker) Arrived(r *Request, server int, first, at time.Duration, clear bool) *Attempt {
	a := &Attempt{Request: r, Server: server, First: first, At: at}
	class := &c.set.Classes[r.Class]
	r.mu.Lock()
	a.Index = len(r.attempts)
	parallel, may := false, (*Attempt)(nil)
	for _, b := range r.attempts {
		parallel = parallel || b.state == out
		if b.state != away && may == nil {
			may = b
		}
	}
	answered := r.answered
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()

	if answered > 0 && at > answered+slack && clear {
		c.breach(RuleDuplicate, r, 0, server, "sent %v after the final answer", at-answered)
	}
	if most := c.set.Limits.MaxAttempts; most > 0 && a.Index >= most {
		c.breach(RuleDuplicate, r, 0, server, "attempt %d of at most %d", a.Index+1, most)
	}
	if parallel && clear && !c.set.Limits.ParallelAttempts {
		c.breach(RuleDuplicate, r, 0, server, "a second copy while the first is out")
	}
	if may != nil {
		switch class.Effect {
		case policy.NonIdempotent:
			c.breach(RuleDuplicate, r, 0, server, "sent again though attempt %d at %s may have run",
				may.Index, c.server[may.Server].Name)
		case policy.Deduplicated:
			from, to := &c.server[may.Server], &c.server[server]
			ttl := time.Duration(class.DedupWindowMs * float64(time.Millisecond))
			switch {
			case class.Group == policy.GroupZone && from.Zone != to.Zone,
				class.Group == policy.GroupCell && from.Cell != to.Cell:
				c.breach(RuleDuplicate, r, 0, server, "sent again outside the %s of %s", class.Group, from.Name)
			case at-may.At > ttl+slack && clear:
				c.breach(RuleDuplicate, r, 0, server, "sent again %v after the first that may have run", at-may.At)
			}
		}
	}
	if clear {
		c.drained(r, server, first)
	}
	return a
}

// drained judges a send to a server that takes nothing new.
func (c *Checker) drained(r *Request, server int, first time.Duration) {
	grace := time.Duration(c.set.Contract.DrainGraceMs*float64(time.Millisecond)) + slack
	since, is := c.drainTold(r.Agent, server, first)
	if is && first > since+grace && !c.excused(r.Agent, since, first) {
		c.breach(RuleDrain, r, 0, server, "sent %v after its drain was told", first-since)
	}
}

// drainTold tells since when the agent counts as told that the server takes nothing new.
func (c *Checker) drainTold(agent, server int, now time.Duration) (time.Duration, bool) {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	if d := v.about[server].drain; d > 0 {
		return d, true
	}
	f, known, could := c.known(v, server, now)
	if !known || f.health == "ready" || could < toldAfter {
		return 0, false
	}
	return now - (could - toldAfter), true
}

// StartTold tells whether the agent counts as told of the start of a server at bornMs.
func (c *Checker) StartTold(agent, server int, bornMs int64) bool {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	if t := &v.about[server]; t.known && t.bornMs >= bornMs {
		return true
	}
	f, known, could := c.known(v, server, c.clock())
	return known && f.bornMs >= bornMs && could >= toldAfter
}

// known tells what discovery knows of the server, and for how long it could have told
// this agent: not while it was down, nor while the lab kept the two apart.
func (c *Checker) known(v *view, server int, now time.Duration) (fact, bool, time.Duration) {
	c.facts.Lock()
	defer c.facts.Unlock()
	f := c.facts.about[server]
	if f.health == "" {
		return f, false, 0
	}
	up := c.facts.up(now)
	cut := v.cut
	if v.isCut {
		cut += up - v.cutAt
	}
	return f, true, up - max(f.since, v.startUp) - cut
}

// up is for how long discovery was up by now. The caller holds the lock.
func (f *facts) up(now time.Duration) time.Duration {
	down := f.down
	if f.at > 0 {
		down += now - f.at
	}
	return now - down
}

// Known is told what discovery has noticed of a server.
func (c *Checker) Known(server int, health string, bornMs int64) {
	now := c.clock()
	c.facts.Lock()
	defer c.facts.Unlock()
	c.facts.about[server] = fact{health: health, bornMs: bornMs, since: c.facts.up(now)}
}

// Discovery is told when discovery goes down or comes up.
func (c *Checker) Discovery(up bool) {
	now := c.clock()
	c.facts.Lock()
	defer c.facts.Unlock()
	f := &c.facts
	switch {
	case !up && f.at == 0:
		f.at = now
	case up && f.at > 0:
		f.down, f.at = f.down+now-f.at, 0
	}
}

// Cut is told when the lab cuts an agent off from discovery, and when it ends that.
func (c *Checker) Cut(agent int, off bool) {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	up := c.service()
	if v.isCut && !off {
		v.cut += up - v.cutAt
	}
	if v.isCut != off {
		v.isCut, v.cutAt = off, up
	}
}

// service is discovery's time of service until now.
func (c *Checker) service() time.Duration {
	c.facts.Lock()
	defer c.facts.Unlock()
	return c.facts.up(c.clock())
}

// Told is told what discovery has written to an agent.
func (c *Checker) Told(agent, server int, health string, bornMs int64) {
	now := c.clock()
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	t := &v.about[server]
	t.known, t.bornMs = true, max(t.bornMs, bornMs)
	switch {
	case health == "ready":
		t.drain = 0
	case t.drain == 0:
		t.drain = now
	}
}

// Started is told of a new process of an agent: what the one before knew is gone.
func (c *Checker) Started(agent int) {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	v.startUp, v.cut = c.service(), 0
	v.cutAt = v.startUp
	clear(v.about)
}

// Killed is told when the lab kills an agent.
func (c *Checker) Killed(agent int) {
	now := c.clock()
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	v.excuse(span{now, now + slack})
}

// Stopped is told when the lab has kept an agent from running for a while.
func (c *Checker) Stopped(agent int, from, to time.Duration) {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	v.excuse(span{from, to})
}

// mostExcuses bounds what is remembered of an agent's stops; the oldest go first.
const mostExcuses = 64

func (v *view) excuse(s span) {
	if len(v.excused) == mostExcuses {
		v.excused = v.excused[1:]
	}
	v.excused = append(v.excused, s)
}

// excused tells whether the lab kept the agent from running at any time within the span.
func (c *Checker) excused(agent int, from, to time.Duration) bool {
	v := &c.views[agent]
	v.Lock()
	defer v.Unlock()
	for _, s := range v.excused {
		if from <= s.to && to >= s.from {
			return true
		}
	}
	return false
}

// TurnedAway is told that the server refused the attempt unseen.
func (a *Attempt) TurnedAway() { a.end(away) }

// Ended is told that nothing of the attempt is out any more; it may have run.
func (a *Attempt) Ended() { a.end(finished) }

func (a *Attempt) end(s attemptState) {
	a.Request.mu.Lock()
	defer a.Request.mu.Unlock()
	if a.state == out {
		a.state = s
	}
}

// Fell is told that a cold server went down under what it was sent, and which part of
// the work came from agents that knew it to be cold.
func (c *Checker) Fell(server int, toldShare float64, sent, bound float64) {
	if toldShare >= 2.0/3 {
		c.breach(RuleCold, nil, -1, server, "sent %.0f ms of work within %.1f s, at most %.0f; %.0f %% by agents told of its start",
			sent, c.set.Contract.TipAfterMs/1000, bound, 100*toldShare)
	}
}
