package agent

import (
	"context"
	"slices"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// warn writes a line on discovery, as long as there is room for one.
func (l *loop) warn(text string, args ...any) {
	if !l.quiet.Take(time.Since(l.base)) {
		l.left++
		return
	}
	if l.left > 0 {
		args = append(args, "lines_left_out", l.left)
	}
	if held := l.disc.client.BudgetExhausted(); held > 0 {
		args = append(args, "calls_held_back", held)
	}
	l.left = 0
	l.log.Warn(text, args...)
}

// ask makes these the addresses of the discovery that is asked from now on.
func (l *loop) ask(addrs []string) {
	var c endpoints.ClientConfig
	if l.lists != nil {
		c = *l.lists
	}
	c.Addresses = addrs
	l.disc = newDiscovery(c, l.post)
	l.discCtx, l.leaveOff = context.WithCancel(l.ctx)
}

// move takes the calls under way to discovery's new address. To the module they are the
// ones it made. The watch begins there also where the module waits to ask again: that
// wait is for the address before, and the new one's changes count as told in 4 s. Of
// several addresses a watch leaves only one that is no longer among them, or all for the sake
// of other services.
func (l *loop) move(addrs, services []string) {
	if l.lists == nil && services != nil {
		l.log.Warn("services are asked for only by an agent that began with stewards", "services", len(services))
	}
	rescoped := l.lists != nil && !l.scope.is(services)
	if slices.Equal(addrs, l.disc.addrs) && !rescoped {
		return
	}
	if l.lists != nil {
		l.disc.addrs = addrs
		if rescoped {
			l.rescope(services)
		} else {
			l.disc.client.SetAddresses(addrs)
		}
	} else {
		l.hearOut()
		l.ask(addrs)
		l.watching = false
		if l.fetching {
			go l.disc.fetch(l.discCtx, l.seq)
		}
	}
	// Nothing failed there yet: calls that fail from now on are repeated as the first ones.
	l.tell(&policy.Event{Kind: policy.EvList, List: policy.ListSourceChanged})
	l.follow()
}

// hearOut leaves the discovery of now, and keeps its calls for a time: what it writes on them until
// it closes them counts as told, and the first answer of the next one may be long in coming.
func (l *loop) hearOut() {
	l.former = append(l.former, former{l.disc, l.leaveOff})
	time.AfterFunc(formerFor, l.leaveOff)
	if len(l.former) > maxFormer {
		l.former[0].leaveOff()
		l.former = l.former[1:]
	}
}

// hearFormer takes what a discovery tells that was left, if it is newer than what is known. How its
// calls end is of no interest.
func (l *loop) hearFormer(in *input) {
	known := slices.ContainsFunc(l.former, func(f former) bool { return f.disc == in.from })
	if !known || in.list.Seq <= l.seq {
		return
	}
	switch {
	case in.kind == inPart:
		l.takePart(&in.list)
	case in.kind == inFetched && in.err == nil || in.kind == inWatched && in.list.Full:
		l.take(policy.ListFull, &in.list)
	case in.kind == inWatched:
		l.take(policy.ListChange, &in.list)
	}
}

// rescope changes the services that are asked for, at the addresses that are the discovery's
// now. What is held stays in use until the whole list of the new ones comes.
func (l *loop) rescope(services []string) {
	number, err := l.disc.client.Reconfigure(l.disc.addrs, services, l.seq)
	if err != nil {
		l.log.Error("the services stay as they were", "err", err)
		return
	}
	l.scope.set(services, number)
	l.log.Info("discovery: subscribed", "services", len(services), "subscription", number)
}

// resubscribe asks for the whole list of the same services again.
func (l *loop) resubscribe() { l.rescope(l.scope.services) }

// take learns what a list says of the services that are asked for.
func (l *loop) take(kind policy.ListKind, list *endpoints.List) {
	if list.Subscription != l.scope.number {
		return // of the services before
	}
	list.Full = kind == policy.ListFull
	scoped, events := l.scope.apply(*list)
	for _, e := range events {
		l.warn("discovery: "+e.Kind.String(), "service", e.Service, "kept", e.Retained, "scoped", e.Scoped)
	}
	l.learn(kind, &scoped)
}

// takePart takes what has come of a list that isn't whole: the entries of servers that are known.
// A new server has time until the list is whole.
func (l *loop) takePart(list *endpoints.List) {
	if list.Subscription != l.scope.number || list.Seq != 0 && list.Seq <= l.seq {
		return // of the services before, or nothing new
	}
	known := endpoints.List{Seq: l.seq}
	for _, h := range list.Endpoints {
		if l.backends[addrOf(h.Name)] != nil {
			known.Endpoints = append(known.Endpoints, h)
		}
	}
	l.warn("discovery: part of a list", "reason", reasonListIncomplete, "list_version", list.Seq, "entries", len(list.Endpoints), "age", list.Age)
	l.learnPart(&known, list.Age)
}

// follow opens the watch, if there is none.
func (l *loop) follow() {
	if !l.watching {
		l.watching, l.watched = true, watchTrace{opened: time.Now()}
		go l.disc.watch(l.discCtx, l.seq)
	}
}

// learn applies a list: to the connections first, then the module is told.
func (l *loop) learn(kind policy.ListKind, list *endpoints.List) {
	l.seq = list.Seq
	l.log.Debug("list taken", "version", list.Seq, "entries", len(list.Endpoints))
	l.apply(&policy.Event{Kind: policy.EvList, List: kind}, list)
}

// learnPart applies the entries that came of a list which isn't whole, and whose first byte came
// so long ago. The version stays as it is: the next call asks for all of it again.
func (l *loop) learnPart(list *endpoints.List, age time.Duration) {
	l.apply(&policy.Event{Kind: policy.EvList, List: policy.ListPartial, AgeMs: float64(age) / float64(time.Millisecond)}, list)
}

// apply takes a list's entries over into the connections and hands them on with the event.
func (l *loop) apply(ev *policy.Event, list *endpoints.List) {
	l.observeStarts(ev.List, list)
	ev.Entries = make([]policy.Entry, len(list.Endpoints))
	named := map[policy.Addr]bool{}
	for i := range list.Endpoints {
		ev.Entries[i] = l.names.entry(&list.Endpoints[i])
		ev.Entries[i].StartedMs = l.startOf(&list.Endpoints[i])
		named[ev.Entries[i].Server] = true
		l.applyEntry(&list.Endpoints[i], &ev.Entries[i], list.Seq)
	}
	whole := ev.List == policy.ListFull || ev.List == policy.ListCached
	for addr, b := range l.backends {
		if whole && !named[addr] {
			b.usable = false
		}
		if !b.usable {
			b.withdraw()
		}
		l.drop(b)
	}
	l.tell(ev)
	usable := false
	for _, b := range l.backends {
		usable = usable || b.usable
	}
	l.ready.Store(usable)
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
	if entry.Health != policy.Gone && (b.transport == nil || b.dial != h.Dial || b.bornMs != h.StartedMs) {
		// Connections to another address or to the process before are of no use, and
		// what has not begun there must not.
		if b.transport != nil {
			b.withdraw()
		}
		b.dial, b.bornMs, b.startedMs, b.transport = h.Dial, h.StartedMs, entry.StartedMs, l.dialer.newTransport()
	}
	if usable := entry.Health == policy.Ready; usable != b.usable {
		b.usable = usable
		if !added {
			l.traceHealth(h, version)
		}
	}
}
