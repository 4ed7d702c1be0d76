package agent

import (
	"context"
	"slices"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

const (
	// previousDiscoveryTimeout is how long responses of a replaced discovery service are still read: the
	// replaced service closes its watches 1.5 s after the reload signal (TERMS).
	previousDiscoveryTimeout = 2 * time.Second
	// maxPreviousDiscoveries limits how many replaced services are read at once, after several reloads.
	maxPreviousDiscoveries = 4
)

// previousDiscovery is a discovery service that a reload has replaced and whose open calls are
// still read.
type previousDiscovery struct {
	discovery *discovery
	cancel    context.CancelFunc // cancels the calls to it
}

// connectDiscovery creates the client of the discovery service at addrs.
func (l *loop) connectDiscovery(addrs []string) {
	var c endpoints.ClientConfig
	if l.controlPlane != nil {
		c = *l.controlPlane
	}
	c.Addresses = addrs
	l.discovery = newDiscovery(c, l.post)
	l.discoveryCtx, l.cancelDiscovery = context.WithCancel(l.ctx)
}

// changeDiscovery moves the calls in flight to new addresses or services; for the balancer they stay
// the same calls. The watch is opened at once even if the balancer is in a backoff, because the backoff
// was for the old address, and changes at the new address count as notified after 4 s. With a control
// plane, a running watch ends only if its address is no longer configured or if the services change.
func (l *loop) changeDiscovery(addrs, services []string) {
	if l.controlPlane == nil && services != nil {
		l.log.Warn("services ignored: the agent started without a control plane", "services", len(services))
	}
	servicesChanged := l.controlPlane != nil && !l.scope.equals(services)
	if slices.Equal(addrs, l.discovery.addrs) && !servicesChanged {
		return
	}
	if l.controlPlane != nil {
		l.discovery.addrs = addrs
		if servicesChanged {
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
	// No call to the new source has failed yet, so the backoff starts from its shortest wait.
	l.dispatch(&policy.Event{Kind: policy.EvList, List: policy.ListSourceChanged})
	l.openWatch()
}

// retireDiscovery replaces the current discovery service but keeps reading its open calls for a
// while: changes that the replaced service sends before it closes these calls count as notified, and the
// first response of the new service may take long.
func (l *loop) retireDiscovery() {
	l.previousDiscoveries = append(l.previousDiscoveries, previousDiscovery{l.discovery, l.cancelDiscovery})
	time.AfterFunc(previousDiscoveryTimeout, l.cancelDiscovery)
	if len(l.previousDiscoveries) > maxPreviousDiscoveries {
		l.previousDiscoveries[0].cancel()
		l.previousDiscoveries = l.previousDiscoveries[1:]
	}
}

// handlePreviousDiscovery applies a list of a previous discovery service if it is newer than the
// current one. Errors and the end of its calls are ignored.
func (l *loop) handlePreviousDiscovery(e *event) {
	known := slices.ContainsFunc(l.previousDiscoveries, func(previous previousDiscovery) bool { return previous.discovery == e.source })
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

// changeServices changes the subscribed services, at the current addresses. The known servers stay
// in use until the full list of the new services arrives.
func (l *loop) changeServices(services []string) {
	subscription, err := l.discovery.client.Reconfigure(l.discovery.addrs, services, l.listVersion)
	if err != nil {
		l.log.Error("discovery: subscription failed, the services stay", "err", err)
		return
	}
	l.scope.update(services, subscription)
	l.log.Info("discovery: subscribed", "services", len(services), "subscription", subscription)
}

// resubscribe requests the full list of the same services again.
func (l *loop) resubscribe() { l.changeServices(l.scope.services) }
