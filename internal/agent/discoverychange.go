package agent

import (
	"context"
	"slices"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

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

// connectDiscovery makes these the addresses of the discovery that is asked from now on.
func (l *loop) connectDiscovery(addrs []string) {
	var c endpoints.ClientConfig
	if l.controlPlane != nil {
		c = *l.controlPlane
	}
	c.Addresses = addrs
	l.discovery = newDiscovery(c, l.post)
	l.discoveryCtx, l.cancelDiscovery = context.WithCancel(l.ctx)
}

// changeDiscovery takes the calls under way to discovery's new address. To the module they are the
// ones it made. The watch begins there also where the module waits to ask again: that
// wait is for the address before, and the new one's changes count as told in 4 s. Of
// several addresses a watch leaves only one that is no longer among them, or all for the sake
// of other services.
func (l *loop) changeDiscovery(addrs, services []string) {
	if l.controlPlane == nil && services != nil {
		l.log.Warn("services are asked for only by an agent that began with stewards", "services", len(services))
	}
	rescoped := l.controlPlane != nil && !l.scope.equals(services)
	if slices.Equal(addrs, l.discovery.addrs) && !rescoped {
		return
	}
	if l.controlPlane != nil {
		l.discovery.addrs = addrs
		if rescoped {
			l.changeServices(services)
		} else {
			l.discovery.client.SetAddresses(addrs)
		}
	} else {
		l.retireDiscovery()
		l.connectDiscovery(addrs)
		l.watching = false
		if l.fetching {
			go l.discovery.fetch(l.discoveryCtx, l.listVersion)
		}
	}
	// Nothing failed there yet: calls that fail from now on are repeated as the first ones.
	l.dispatch(&policy.Event{Kind: policy.EvList, List: policy.ListSourceChanged})
	l.openWatch()
}

// retireDiscovery leaves the discovery of now, and keeps its calls for a time: what it writes on them until
// it closes them counts as told, and the first answer of the next one may be long in coming.
func (l *loop) retireDiscovery() {
	l.previousDiscoveries = append(l.previousDiscoveries, previousDiscovery{l.discovery, l.cancelDiscovery})
	time.AfterFunc(previousDiscoveryTimeout, l.cancelDiscovery)
	if len(l.previousDiscoveries) > maxPreviousDiscoveries {
		l.previousDiscoveries[0].cancel()
		l.previousDiscoveries = l.previousDiscoveries[1:]
	}
}

// handlePreviousDiscovery takes what a discovery tells that was left, if it is newer than what is known. How its
// calls end is of no interest.
func (l *loop) handlePreviousDiscovery(e *event) {
	known := slices.ContainsFunc(l.previousDiscoveries, func(f previousDiscovery) bool { return f.discovery == e.source })
	if !known || e.list.Seq <= l.listVersion {
		return
	}
	switch {
	case e.kind == eventListPartial:
		l.receivePartialList(&e.list)
	case e.kind == eventListFetched && e.err == nil || e.kind == eventListChanged && e.list.Full:
		l.receiveList(policy.ListFull, &e.list)
	case e.kind == eventListChanged:
		l.receiveList(policy.ListChange, &e.list)
	}
}

// changeServices changes the services that are asked for, at the addresses that are the discovery's
// now. What is held stays in use until the whole list of the new ones comes.
func (l *loop) changeServices(services []string) {
	number, err := l.discovery.client.Reconfigure(l.discovery.addrs, services, l.listVersion)
	if err != nil {
		l.log.Error("the services stay as they were", "err", err)
		return
	}
	l.scope.update(services, number)
	l.log.Info("discovery: subscribed", "services", len(services), "subscription", number)
}

// resubscribe asks for the whole list of the same services again.
func (l *loop) resubscribe() { l.changeServices(l.scope.services) }
