package check

import (
	"sync"
	"time"

	"knotrouter/internal/endpoints"
)

// notificationBound is the time for which discovery must have been able to notify an agent of a change until
// the agent counts as notified, even if discovery has not written the change to the agent.
const notificationBound = 6 * time.Second

// discoveryState holds the state of each server as discovery knows it, and the outages of discovery. Service
// time is the total time that discovery was up so far; it stands still during an outage.
type discoveryState struct {
	sync.Mutex
	downTime  time.Duration // total time of the past outages
	downSince time.Duration // start of the current outage; 0: discovery is up
	servers   []serverState // by server
}

// serverState is the state of a server as discovery knows it.
type serverState struct {
	health    string // health of the server; "": not known yet
	startedMs int64
	since     time.Duration // service time at which discovery learned the health and the start time
}

// agentView holds the notifications that an agent received, and the times in which the lab cut it off from
// discovery or prevented it from running.
type agentView struct {
	sync.Mutex
	startedAt    time.Duration  // service time at which the agent's process started
	cutDuration  time.Duration  // total service time of the past cuts
	cutSince     time.Duration  // service time at which the current cut began
	isCut        bool           // the lab cuts the agent off from discovery
	servers      []serverNotice // by server
	stoppedSpans []timeSpan     // times in which the lab prevented the agent from running
}

// serverNotice is the state of a server as the agent was notified of it.
type serverNotice struct {
	drainingSince time.Duration // when the agent learned that the server accepts no new requests; 0: the server accepts them
	startedMs     int64         // latest start of the server that the agent knows of, in Unix milliseconds
	known         bool          // the agent was notified of the server
}

type timeSpan struct{ from, to time.Duration }

// drainNotifiedSince returns the time from which on the agent counts as notified that the server accepts
// no new requests. It returns false if the agent does not count as notified.
func (c *Checker) drainNotifiedSince(agent, server int, now time.Duration) (time.Duration, bool) {
	view := &c.views[agent]
	view.Lock()
	defer view.Unlock()
	if since := view.servers[server].drainingSince; since > 0 {
		return since, true
	}
	state, availableTime := c.discoveredState(view, server, now)
	if state.health == "" || state.health == endpoints.Ready || availableTime < notificationBound {
		return 0, false
	}
	return now - (availableTime - notificationBound), true
}

// StartNotified reports whether the agent counts as notified of the start of a server at
// startedMs, or of a later one.
func (c *Checker) StartNotified(agent, server int, startedMs int64) bool {
	view := &c.views[agent]
	view.Lock()
	defer view.Unlock()
	if notice := &view.servers[server]; notice.known && notice.startedMs >= startedMs {
		return true
	}
	state, availableTime := c.discoveredState(view, server, c.clock())
	return state.health != "" && state.startedMs >= startedMs && availableTime >= notificationBound
}

// discoveredState returns the state of a server as discovery knows it, and for how long discovery has been
// able to notify the agent of this state. This counts only time in which discovery was up and the lab did
// not cut the agent off from it. The caller holds the view's lock.
func (c *Checker) discoveredState(view *agentView, server int, now time.Duration) (serverState, time.Duration) {
	c.discovery.Lock()
	defer c.discovery.Unlock()
	state := c.discovery.servers[server]
	if state.health == "" {
		return state, 0
	}
	serviceTime := c.discovery.serviceTime(now)
	cut := view.cutDuration
	if view.isCut {
		cut += serviceTime - view.cutSince
	}
	return state, serviceTime - max(state.since, view.startedAt) - cut
}

// serviceTime returns for how long discovery has been up in total. The caller holds the lock.
func (d *discoveryState) serviceTime(now time.Duration) time.Duration {
	downTime := d.downTime
	if d.downSince > 0 {
		downTime += now - d.downSince
	}
	return now - downTime
}

// serviceTime returns for how long discovery has been up in total.
func (c *Checker) serviceTime() time.Duration {
	c.discovery.Lock()
	defer c.discovery.Unlock()
	return c.discovery.serviceTime(c.clock())
}

// RecordDiscovery records that discovery has learned a server's health and its latest start, in
// milliseconds since the Unix epoch (0: long ago).
func (c *Checker) RecordDiscovery(server int, health string, startedMs int64) {
	now := c.clock()
	c.discovery.Lock()
	defer c.discovery.Unlock()
	c.discovery.servers[server] = serverState{health: health, startedMs: startedMs, since: c.discovery.serviceTime(now)}
}

// SetDiscoveryUp records the beginning (up is false) or the end of an outage of discovery.
func (c *Checker) SetDiscoveryUp(up bool) {
	now := c.clock()
	c.discovery.Lock()
	defer c.discovery.Unlock()
	d := &c.discovery
	switch {
	case !up && d.downSince == 0:
		d.downSince = now
	case up && d.downSince > 0:
		d.downTime, d.downSince = d.downTime+now-d.downSince, 0
	}
}

// SetDiscoveryCut records that the lab cuts an agent off from discovery, or reconnects it.
func (c *Checker) SetDiscoveryCut(agent int, cut bool) {
	view := &c.views[agent]
	view.Lock()
	defer view.Unlock()
	serviceTime := c.serviceTime()
	if view.isCut && !cut {
		view.cutDuration += serviceTime - view.cutSince
	}
	if view.isCut != cut {
		view.isCut, view.cutSince = cut, serviceTime
	}
}

// RecordNotified records a server's state that discovery has written to an agent.
func (c *Checker) RecordNotified(agent, server int, health string, startedMs int64) {
	now := c.clock()
	view := &c.views[agent]
	view.Lock()
	defer view.Unlock()
	notice := &view.servers[server]
	notice.known, notice.startedMs = true, max(notice.startedMs, startedMs)
	switch {
	case health == endpoints.Ready:
		notice.drainingSince = 0
	case notice.drainingSince == 0:
		notice.drainingSince = now
	}
}

// AgentStarted records that a new process of an agent starts. It has none of the notifications of the
// previous process.
func (c *Checker) AgentStarted(agent int) {
	view := &c.views[agent]
	view.Lock()
	defer view.Unlock()
	view.startedAt, view.cutDuration = c.serviceTime(), 0
	view.cutSince = view.startedAt
	clear(view.servers)
}

// AgentKilled records that the lab kills an agent.
func (c *Checker) AgentKilled(agent int) {
	now := c.clock()
	c.AgentPaused(agent, now, now+timingSlack)
}

// AgentPaused records that the lab prevents an agent from running for a time.
func (c *Checker) AgentPaused(agent int, from, to time.Duration) {
	view := &c.views[agent]
	view.Lock()
	defer view.Unlock()
	view.addStoppedSpan(timeSpan{from, to})
}

// maxStoppedSpans bounds the spans that are kept for an agent; the oldest are dropped first.
const maxStoppedSpans = 64

// addStoppedSpan adds a span in which the agent could not run. The caller holds the lock.
func (view *agentView) addStoppedSpan(span timeSpan) {
	if len(view.stoppedSpans) == maxStoppedSpans {
		view.stoppedSpans = view.stoppedSpans[1:]
	}
	view.stoppedSpans = append(view.stoppedSpans, span)
}

// wasStopped reports whether the lab prevented the agent from running at any time between from and to. In
// that case, violations that a stopped agent can't avoid are not breaches.
func (c *Checker) wasStopped(agent int, from, to time.Duration) bool {
	view := &c.views[agent]
	view.Lock()
	defer view.Unlock()
	for _, span := range view.stoppedSpans {
		if from <= span.to && to >= span.from {
			return true
		}
	}
	return false
}
