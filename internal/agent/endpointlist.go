package agent

import (
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// handleListFetched processes the result of a fetch.
func (l *loop) handleListFetched(e *event) {
	l.fetching = false
	switch {
	case e.err != nil:
		l.warnDiscovery("discovery: fetch failed", "err", e.err)
		if !l.watching { // an open watch delivers the same list, and reports its own end
			l.dispatch(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
		}
	case e.list.Seq >= l.listVersion: // the watch may have delivered a newer list meanwhile
		l.receiveList(policy.ListFull, &e.list)
	}
}

// handleListChanged processes a list that the watch delivered.
func (l *loop) handleListChanged(e *event) {
	l.watchStats.lists++
	// A full list is outdated if another call has delivered a newer list while the watch was open. The
	// exception is a list older than the watch's own previous version: without a control plane, it comes
	// from a discovery service whose versions have restarted, and is applied.
	outdated := e.list.Seq < l.listVersion && (l.controlPlane != nil || e.list.Seq >= e.since)
	switch {
	case e.list.Full && !outdated:
		l.receiveList(policy.ListFull, &e.list)
	case e.list.Seq >= l.listVersion: // the same version: nothing changed, but discovery has responded
		l.receiveList(policy.ListChange, &e.list)
	case l.scope.needsFullList(&e.list):
		l.resubscribe()
	}
}

// receiveList applies the part of a list that is about the subscribed services. A list of an earlier
// subscription is ignored.
func (l *loop) receiveList(kind policy.ListKind, list *endpoints.List) {
	if list.Subscription != l.scope.subscription {
		return
	}
	list.Full = kind == policy.ListFull
	scoped, events := l.scope.filter(*list)
	for _, e := range events {
		l.warnDiscovery("discovery: "+e.Kind.String(), "service", e.Service, "kept", e.Retained, "scoped", e.Scoped)
	}
	l.applyList(kind, &scoped)
}

// receivePartialList applies the received entries of an incomplete list to known servers. New
// servers wait for the complete list.
func (l *loop) receivePartialList(list *endpoints.List) {
	if list.Subscription != l.scope.subscription || list.Seq != 0 && list.Seq <= l.listVersion {
		return // the list is of an earlier subscription, or contains nothing new
	}
	knownEntries := endpoints.List{Seq: l.listVersion}
	for _, ep := range list.Endpoints {
		if l.backends[policyAddr(ep.Name)] != nil {
			knownEntries.Endpoints = append(knownEntries.Endpoints, ep)
		}
	}
	l.warnDiscovery("discovery: incomplete list", "reason", reasonListIncomplete,
		"list_version", list.Seq, "entries", len(list.Endpoints), "age", list.Age)
	l.applyPartialList(&knownEntries, list.Age)
}

// openWatch opens the watch unless it is already open.
func (l *loop) openWatch() {
	if !l.watching {
		l.watching, l.watchStats = true, watchStats{openedAt: time.Now()}
		go l.discovery.watch(l.discoveryCtx, l.listVersion)
	}
}

// applyList applies a list and its version: to the connections first, then to the balancer.
func (l *loop) applyList(kind policy.ListKind, list *endpoints.List) {
	l.listVersion = list.Seq
	// The lab's experiments match the text of this line.
	l.log.Debug("list taken", "version", list.Seq, "entries", len(list.Endpoints))
	if list.EntryError != nil {
		l.warnDiscovery("discovery: unreadable entry of a list", "list_version", list.Seq, "err", list.EntryError)
	}
	l.applyEntries(&policy.Event{Kind: policy.EvList, List: kind}, list)
}

// applyPartialList applies the received entries of an incomplete list whose first byte arrived age
// ago. The version stays, so that the next call requests the whole change again.
func (l *loop) applyPartialList(list *endpoints.List, age time.Duration) {
	ageMs := float64(age) / float64(time.Millisecond)
	l.applyEntries(&policy.Event{Kind: policy.EvList, List: policy.ListPartial, AgeMs: ageMs}, list)
}

// applyEntries applies the entries of a list to the backends and dispatches them with ev.
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

// applyEntry applies one entry to its backend and the connections to it.
func (l *loop) applyEntry(ep *endpoints.Endpoint, entry *policy.Entry, version int64) {
	b := l.backends[entry.Server]
	added := b == nil
	if added {
		if entry.Health == policy.Gone {
			return
		}
		b = &backend{addr: entry.Server, attempts: map[*attempt]struct{}{}}
		l.backends[entry.Server] = b
	}
	if entry.Health != policy.Gone && (b.transport == nil || b.dialAddr != ep.Dial || b.listedStartMs != ep.StartedMs) {
		// Connections to the previous address or process are useless, and attempts
		// that have not been written to them yet must not begin.
		if b.transport != nil {
			b.withdrawAttempts()
		}
		b.dialAddr, b.listedStartMs, b.loopStartMs, b.transport = ep.Dial, ep.StartedMs, entry.StartedMs, l.newTransport(b)
	}
	if usable := entry.Health == policy.Ready; usable != b.usable {
		b.usable = usable
		if !added {
			l.logHealthChange(ep, version)
		}
	}
}
