package experiment

import (
	"maps"
	"slices"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/server"
)

// watchRetryInterval is the time until an ended watch is reopened.
const watchRetryInterval = 100 * time.Millisecond

// watch follows the endpoint list of one control-plane server until the control plane is closed. If
// notifies is set, the agents that use this server count as notified of the changes it receives.
func (cp *controlPlane) watch(index int, notifies bool) {
	client := endpoints.NewClient(endpoints.ClientConfig{Addresses: cp.addresses[index : index+1], SilenceTimeout: watchSilenceTimeout})
	var version int64
	for cp.ctx.Err() == nil {
		_ = client.Watch(cp.ctx, version, func(list endpoints.List) {
			cp.recordPropagation(version, list.Seq)
			version = list.Seq
			if notifies {
				cp.applyList(index, &list)
			}
		})
		if notifies {
			cp.markDown(index)
		}
		sleep(cp.ctx, watchRetryInterval)
	}
}

// watchSilenceTimeout is how long a control-plane server must be silent until its agents are assumed to
// have switched to another control-plane server. It exceeds the agents' own timeout by a margin for the
// switch.
const watchSilenceTimeout = endpoints.WatchSilenceTimeout + 1500*time.Millisecond

// mayUse reports whether the configuration lets the agent use the control-plane server.
func (cp *controlPlane) mayUse(agent, index int) bool {
	return cp.fleet.config.ControlPlane.AgentAccess == "all" || agent%len(cp.addresses) == index
}

// applyList records a full list or a change that a control-plane server sent on a watch, and updates the
// checker.
func (cp *controlPlane) applyList(index int, list *endpoints.List) {
	cp.mu.Lock()
	view := &cp.views[index]
	view.up, view.lastUpAt = true, cp.fleet.clock()
	if list.Full {
		for i, endpoint := range view.endpoints { // a full list removes the servers that are missing from it
			endpoint.Health = endpoints.Removed
			view.endpoints[i] = endpoint
		}
	}
	for _, endpoint := range list.Endpoints {
		i := slices.IndexFunc(cp.fleet.servers, func(srv *server.Server) bool { return srv.Name == endpoint.Name })
		if i < 0 {
			continue
		}
		view.endpoints[i] = endpoint
		cp.fleet.checker.RecordDiscovery(i, endpoint.Health, int64(endpoint.StartedMs))
		cp.fleet.events.record("discovery lists " + endpoint.Name + " " + endpoint.Health)
	}
	cp.mu.Unlock()
	cp.updateChecker()
}

// markDown records that the watch of a control-plane server has ended.
func (cp *controlPlane) markDown(index int) {
	cp.mu.Lock()
	cp.views[index].up = false
	cp.mu.Unlock()
	cp.updateChecker()
}

// updateChecker notifies the checker of the endpoints that each agent must know. An agent must know an
// endpoint if all control-plane servers that the agent uses, or may have used until recently, list the same
// state of it.
func (cp *controlPlane) updateChecker() {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	now := cp.fleet.clock()
	for agent := range cp.fleet.config.Agents.Count {
		views, reachable := cp.viewsOf(agent, now)
		cp.fleet.checker.SetDiscoveryCut(agent, !reachable)
		if len(views) == 0 {
			continue
		}
		for srv := range views[0].endpoints {
			endpoint, agreed := cp.agreedEndpoint(agent, srv, views)
			// Each state is reported only once. An agent that starts later receives the state again, after
			// some delay.
			if agreed && cp.notified[agent][srv] != endpoint {
				cp.notified[agent][srv] = endpoint
				cp.fleet.checker.RecordNotified(agent, srv, endpoint.Health, int64(endpoint.StartedMs))
			}
		}
	}
}

// viewsOf returns the views from which the agent may have received endpoints, and whether any of them is
// up. The caller holds cp.mu.
func (cp *controlPlane) viewsOf(agent int, now time.Duration) (views []*watchView, reachable bool) {
	for i := range cp.views {
		view := &cp.views[i]
		if !cp.mayUse(agent, i) {
			continue
		}
		if view.up {
			view.lastUpAt = now
			reachable = true
		}
		if now-view.lastUpAt < watchSilenceTimeout {
			views = append(views, view)
		}
	}
	return views, reachable
}

// agreedEndpoint returns the state of a server that the agent must know, or false while the views differ.
// A server that the agent knew as not ready counts as ready as soon as one view lists it as ready, because
// the agent may have received that view. The caller holds cp.mu.
func (cp *controlPlane) agreedEndpoint(agent, srv int, views []*watchView) (endpoints.Endpoint, bool) {
	endpoint := views[0].endpoints[srv]
	agreed := true
	for _, view := range views[1:] {
		other := view.endpoints[srv]
		agreed = agreed && other.Health == endpoint.Health && other.StartedMs == endpoint.StartedMs
	}
	last, known := cp.notified[agent][srv]
	if agreed || !known || last.Health == endpoints.Ready {
		return endpoint, agreed
	}
	for _, view := range views {
		if view.endpoints[srv].Health == endpoints.Ready {
			endpoint, agreed = view.endpoints[srv], true
		}
	}
	return endpoint, agreed
}

// agentStarted discards which servers a newly started agent was notified of as ready. Its configuration
// may list fewer servers, so the checker must be notified again once the agent knows them.
func (cp *controlPlane) agentStarted(agent int) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	maps.DeleteFunc(cp.notified[agent], func(_ int, h endpoints.Endpoint) bool { return h.Health == endpoints.Ready })
}
