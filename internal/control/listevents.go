package control

import (
	"context"
	"encoding/json"
	"net/http"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// listEvent is a change of the list, encoded once for all that watch.
type listEvent struct {
	from, to int64
	encoded  []byte
}

// publish encodes what changed since the last line.
func (b *watchBroadcaster) publish() {
	b.mu.Lock()
	since := b.publishedRevision
	b.mu.Unlock()
	l := b.fsm.list(since, false)
	if l.Seq == since && !l.Full {
		return
	}
	text := encodeList(&l)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.encodedCount++
	if l.Full { // the state is another, or far ahead: no line leads there
		b.events, b.eventBytes = nil, 0
		b.fullList = listEvent{to: l.Seq, encoded: text}
	} else {
		b.events = append(b.events, listEvent{since, l.Seq, text})
		b.eventBytes += len(text)
		for len(b.events) > maxListEvents || b.eventBytes > maxListEventBytes && len(b.events) > 1 {
			b.eventBytes -= len(b.events[0].encoded)
			b.events = b.events[1:]
		}
	}
	b.publishedRevision = l.Seq
	close(b.changed)
	b.changed = make(chan struct{})
}

func encodeList(l *endpoints.List) []byte {
	text, _ := json.Marshal(l) // numbers, texts and truth values: nothing that can fail
	return append(text, '\n')
}

// encodedFullList is the whole list, encoded once a version.
func (b *watchBroadcaster) encodedFullList() []byte {
	b.mu.Lock()
	cached := b.fullList
	b.mu.Unlock()
	if cached.encoded != nil && cached.to == b.fsm.revision() {
		return cached.encoded
	}
	l := b.fsm.list(0, true)
	text := encodeList(&l)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.encodedCount++
	b.fullList = listEvent{to: l.Seq, encoded: text}
	return text
}

// eventsSince gives the lines that lead on from a version, and the channel that tells of the
// next; not ok where none leads on from there.
func (b *watchBroadcaster) eventsSince(since int64) (events []listEvent, ok bool, changed, endAll <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok = true
	for i := range b.events {
		if b.events[i].to > since {
			// A reader between two versions of a line learns again what it knows.
			events, ok = append(events, b.events[i:]...), b.events[i].from <= since
			break
		}
	}
	if len(events) == 0 && b.publishedRevision > since {
		ok = false
	}
	return events, ok, b.changed, b.endAllSignal
}

// watch writes what changes after a version until the reader or the steward ends it.
func (b *watchBroadcaster) watch(ctx context.Context, w http.ResponseWriter, since int64, migrated <-chan struct{}) {
	out := newWatchWriter(w)
	defer out.close()
	// The version and what leads on from it are read together, so that nothing between them
	// is missed: what is told twice does no harm.
	_, _, changed, endAll := b.eventsSince(since)
	l := b.fsm.list(since, false)
	revision := l.Seq
	first := encodeList(&l)
	if l.Full {
		first = b.encodedFullList()
	}
	if !out.write(first) {
		return
	}
	for out.awaitChange(changed, watchTermination{ctx, endAll, migrated}) {
		var events []listEvent
		var ok bool
		events, ok, changed, endAll = b.eventsSince(revision)
		if !ok {
			b.mu.Lock()
			b.laggedCount++
			b.mu.Unlock()
			// Where no line leads on, the whole list does; its version is the hub's at least.
			l := b.fsm.list(0, true)
			events = []listEvent{{to: l.Seq, encoded: encodeList(&l)}}
		}
		for i := range events {
			if !out.write(events[i].encoded) {
				return
			}
			revision = events[i].to
		}
		b.mu.Lock()
		b.sentCount += int64(len(events))
		b.mu.Unlock()
	}
}

// estimatedEntryBytes is about what an entry takes of the whole list.
const estimatedEntryBytes = 120

// estimateFullListBytes is about how many bytes the whole list takes.
func (b *watchBroadcaster) estimateFullListBytes() int {
	listed := 0
	b.fsm.read(func(state *catalog.State) { listed = state.ListedCount() })
	return listed * estimatedEntryBytes
}
