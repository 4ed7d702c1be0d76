package agent

import (
	"context"
	"slices"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// warnDiscovery writes a line on discovery, as long as there is room for one.
func (l *loop) warnDiscovery(text string, args ...any) {
	if !l.logLimiter.Take(time.Since(l.startedAt)) {
		l.suppressedLines++
		return
	}
	if l.suppressedLines > 0 {
		args = append(args, "lines_left_out", l.suppressedLines)
	}
	if deferredCalls := l.discovery.client.BudgetExhausted(); deferredCalls > 0 {
		args = append(args, "calls_held_back", deferredCalls)
	}
	l.suppressedLines = 0
	l.log.Warn(text, args...)
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

// receiveList learns what a list says of the services that are asked for.
func (l *loop) receiveList(kind policy.ListKind, list *endpoints.List) {
	if list.Subscription != l.scope.subscription {
		return // of the services before
	}
	list.Full = kind == policy.ListFull
	scoped, events := l.scope.filter(*list)
	for _, e := range events {
		l.warnDiscovery("discovery: "+e.Kind.String(), "service", e.Service, "kept", e.Retained, "scoped", e.Scoped)
	}
	l.applyList(kind, &scoped)
}

// receivePartialList takes what has come of a list that isn't whole: the entries of servers that are known.
// A new server has time until the list is whole.
func (l *loop) receivePartialList(list *endpoints.List) {
	if list.Subscription != l.scope.subscription || list.Seq != 0 && list.Seq <= l.listVersion {
		return // of the services before, or nothing new
	}
	knownEntries := endpoints.List{Seq: l.listVersion}
	for _, h := range list.Endpoints {
		if l.backends[policyAddr(h.Name)] != nil {
			knownEntries.Endpoints = append(knownEntries.Endpoints, h)
		}
	}
	l.warnDiscovery("discovery: part of a list", "reason", reasonListIncomplete, "list_version", list.Seq, "entries", len(list.Endpoints), "age", list.Age)
	l.applyPartialList(&knownEntries, list.Age)
}

// openWatch opens the watch, if there is none.
func (l *loop) openWatch() {
	if !l.watching {
		l.watching, l.watchStats = true, watchStats{openedAt: time.Now()}
		go l.discovery.watch(l.discoveryCtx, l.listVersion)
	}
}

// applyList applies a list: to the connections first, then the module is told.
func (l *loop) applyList(kind policy.ListKind, list *endpoints.List) {
	l.listVersion = list.Seq
	l.log.Debug("list taken", "version", list.Seq, "entries", len(list.Endpoints))
	l.applyEntries(&policy.Event{Kind: policy.EvList, List: kind}, list)
}

// applyPartialList applies the entries that came of a list which isn't whole, and whose first byte came
// so long ago. The version stays as it is: the next call asks for all of it again.
func (l *loop) applyPartialList(list *endpoints.List, age time.Duration) {
	l.applyEntries(&policy.Event{Kind: policy.EvList, List: policy.ListPartial, AgeMs: float64(age) / float64(time.Millisecond)}, list)
}

// applyEntries takes a list's entries over into the connections and hands them on with the event.
func (l *loop) applyEntries(ev *policy.Event, list *endpoints.List) {
	l.observeStarts(ev.List, list)
	ev.Entries = make([]policy.Entry, len(list.Endpoints))
	listed := map[policy.Addr]bool{}
	for i := range list.Endpoints {
		ev.Entries[i] = l.names.policyEntry(&list.Endpoints[i])
		ev.Entries[i].StartedMs = l.startOnLoopClock(&list.Endpoints[i])
		listed[ev.Entries[i].Server] = true
		l.applyEntry(&list.Endpoints[i], &ev.Entries[i], list.Seq)
	}
	full := ev.List == policy.ListFull || ev.List == policy.ListCached
	for addr, b := range l.backends {
		if full && !listed[addr] {
			b.usable = false
		}
		if !b.usable {
			b.withdrawAttempts()
		}
		l.removeUnused(b)
	}
	l.dispatch(ev)
	usable := false
	for _, b := range l.backends {
		usable = usable || b.usable
	}
	l.hasUsableBackend.Store(usable)
}

// applyEntry takes one entry over into its backend and the connections to it.
func (l *loop) applyEntry(h *endpoints.Endpoint, entry *policy.Entry, version int64) {
	b := l.backends[entry.Server]
	added := b == nil
	if added {
		if entry.Health == policy.Gone {
			return
		}
		b = &backend{addr: entry.Server, attempts: map[*attempt]struct{}{}}
		l.backends[entry.Server] = b
	}
	if entry.Health != policy.Gone && (b.transport == nil || b.dialAddr != h.Dial || b.listedStartMs != h.StartedMs) {
		// Connections to another address or to the process before are of no use, and
		// what has not begun there must not.
		if b.transport != nil {
			b.withdrawAttempts()
		}
		b.dialAddr, b.listedStartMs, b.loopStartMs, b.transport = h.Dial, h.StartedMs, entry.StartedMs, l.dialer.newTransport()
	}
	if usable := entry.Health == policy.Ready; usable != b.usable {
		b.usable = usable
		if !added {
			l.logHealthChange(h, version)
		}
	}
}
