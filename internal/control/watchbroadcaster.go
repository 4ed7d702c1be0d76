package control

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxListEvents and maxListEventBytes bound the events that are retained for lagging readers. A
	// reader that lags further is sent the full list.
	maxListEvents     = 256
	maxListEventBytes = 4 << 20
)

// watchBroadcaster sends changes of the endpoint list to watches. Watches of the full list share its
// events, each encoded once. Watches of services are handled by serviceTopics.
type watchBroadcaster struct {
	fsm          *fsm
	coalesce     time.Duration // changes within this time are published as one event
	changeSignal chan struct{} // buffers one signal that the list may have changed since the last event
	services     *serviceTopics

	mu                sync.Mutex // guards the fields below
	publishedRevision int64      // the events hold all changes up to this version
	events            []listEvent
	eventBytes        int
	changed           chan struct{} // closed when the next event is published
	endAllSignal      chan struct{} // closed to end all watches
	openWatches       int
	movable           map[chan struct{}]bool // channels that end the watches of readers that know other servers
	fullList          listEvent              // the full list as last encoded; from is not used

	encodedCount, sentCount, laggedCount int64 // for the metrics
}

// listEvent is a change of the list from one version to another, encoded as a line of a watch.
type listEvent struct {
	from, to int64
	encoded  []byte
}

func newWatchBroadcaster(f *fsm, coalesce time.Duration) *watchBroadcaster {
	return &watchBroadcaster{
		fsm:          f,
		services:     newServiceTopics(f),
		coalesce:     coalesce,
		changeSignal: make(chan struct{}, 1),
		changed:      make(chan struct{}),
		endAllSignal: make(chan struct{}),
		movable:      map[chan struct{}]bool{},
	}
}

// notifyChanged signals run to publish the changes of the list. It never blocks.
func (b *watchBroadcaster) notifyChanged() {
	select {
	case b.changeSignal <- struct{}{}:
	default:
	}
}

// run publishes changes until the context ends. Changes within the time coalesce after the first one
// are published together.
func (b *watchBroadcaster) run(ctx context.Context) {
	for {
		select {
		case <-b.changeSignal:
		case <-ctx.Done():
			return
		}
		if b.coalesce > 0 {
			select {
			case <-time.After(b.coalesce):
			case <-ctx.Done():
				return
			}
		}
		b.publish()
		b.services.publish()
	}
}

// publish appends an event with the changes since the last one, if there are any, and wakes the
// watches of the full list.
func (b *watchBroadcaster) publish() {
	b.mu.Lock()
	since := b.publishedRevision
	b.mu.Unlock()
	list := b.fsm.changesSince(since)
	if list.Seq == since && !list.Full {
		return
	}
	event := listEvent{since, list.Seq, encodeList(&list)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.encodedCount++
	if list.Full { // the state was replaced or its history dropped, so the changes are not known
		b.events, b.eventBytes = nil, 0
		b.fullList = event
	} else {
		b.appendEvent(event)
	}
	b.publishedRevision = list.Seq
	close(b.changed)
	b.changed = make(chan struct{})
}

// appendEvent appends an event and drops the oldest ones beyond the bounds. The caller holds the
// lock.
func (b *watchBroadcaster) appendEvent(event listEvent) {
	b.events = append(b.events, event)
	b.eventBytes += len(event.encoded)
	for len(b.events) > maxListEvents || b.eventBytes > maxListEventBytes && len(b.events) > 1 {
		b.eventBytes -= len(b.events[0].encoded)
		b.events = b.events[1:]
	}
}

// encodedFullList returns the full list as a line, which is encoded once per version.
func (b *watchBroadcaster) encodedFullList() []byte {
	b.mu.Lock()
	cached := b.fullList
	b.mu.Unlock()
	if cached.encoded != nil && cached.to == b.fsm.revision() {
		return cached.encoded
	}
	list := b.fsm.fullList()
	encoded := encodeList(&list)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.encodedCount++
	b.fullList = listEvent{to: list.Seq, encoded: encoded}
	return encoded
}

// listEvents is the result of eventsSince.
type listEvents struct {
	events   []listEvent
	complete bool            // whether events holds all changes after the requested version
	changed  <-chan struct{} // closed when the next event is published
	endAll   <-chan struct{} // closed to end all watches
}

// eventsSince returns the events after a version. They are not complete if a required event is no
// longer retained, or if no event continues from that version; the reader then needs the full list.
func (b *watchBroadcaster) eventsSince(version int64) listEvents {
	b.mu.Lock()
	defer b.mu.Unlock()
	result := listEvents{complete: true, changed: b.changed, endAll: b.endAllSignal}
	for i := range b.events {
		if b.events[i].to > version {
			// If the version lies within the first event, the reader has some of that event's changes
			// already. Applying them again is harmless.
			result.events, result.complete = slices.Clone(b.events[i:]), b.events[i].from <= version
			break
		}
	}
	if len(result.events) == 0 && b.publishedRevision > version {
		result.complete = false
	}
	return result
}

// watch writes the changes after a version until the context ends, the reader fails to read in time,
// all watches are ended, or migrated is closed.
func (b *watchBroadcaster) watch(ctx context.Context, w http.ResponseWriter, since int64, migrated <-chan struct{}) {
	out := newWatchWriter(w)
	defer out.close()
	// The channels are read before the list, so that no change in between is missed. A change that the
	// reader gets twice is harmless. The events are not used, because the list contains them.
	next := b.eventsSince(since)
	list := b.fsm.changesSince(since)
	revision := list.Seq
	first := encodeList(&list)
	if list.Full {
		first = b.encodedFullList()
	}
	if !out.write(first) {
		return
	}
	for out.awaitChange(next.changed, watchTermination{ctx, next.endAll, migrated}) {
		next = b.eventsSince(revision)
		if !next.complete {
			next.events = []listEvent{b.fullListEvent()}
		}
		for i := range next.events {
			if !out.write(next.events[i].encoded) {
				return
			}
			revision = next.events[i].to
		}
		b.recordSent(len(next.events))
	}
}

// fullListEvent returns the full list, of the last published version or a later one, for a reader
// that lags beyond the retained events. It counts the event as a lag.
func (b *watchBroadcaster) fullListEvent() listEvent {
	b.mu.Lock()
	b.laggedCount++
	b.mu.Unlock()
	list := b.fsm.fullList()
	return listEvent{to: list.Seq, encoded: encodeList(&list)}
}

// recordSent counts events that were written to a watch.
func (b *watchBroadcaster) recordSent(events int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sentCount += int64(events)
}

// watchServices is like watch, but for the changes of the given services.
func (b *watchBroadcaster) watchServices(ctx context.Context, w http.ResponseWriter, services []string, since int64, migrated <-chan struct{}) {
	b.mu.Lock()
	endAll := b.endAllSignal
	b.mu.Unlock()
	b.services.watch(w, services, since, watchTermination{ctx, endAll, migrated})
}
