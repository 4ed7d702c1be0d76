package control

import (
	"cmp"
	"net/http"
	"slices"
	"sort"
	"sync"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

const (
	// maxTopicEvents and maxTopicEventBytes bound the events that one topic retains for lagging
	// readers, and maxAllTopicBytes bounds those of all topics. A reader that lags further is sent
	// the full list of its services.
	maxTopicEvents     = 64
	maxTopicEventBytes = 256 << 10
	maxAllTopicBytes   = 32 << 20
)

// serviceEvent is a change of one service: the entries that changed up to a version. They are encoded
// by encodeEntries once for all subscriptions.
type serviceEvent struct {
	revision int64
	entries  []byte
}

// serviceTopic is a service that has subscriptions.
type serviceTopic struct {
	service       string
	startRevision int64 // the events hold all changes after this version
	events        []serviceEvent
	eventBytes    int
	subscriptions map[*subscription]struct{}
}

// subscription is the set of services that one watch subscribes to.
type subscription struct {
	services []string
	topics   []*serviceTopic
	notify   chan struct{} // buffers one signal that any of the topics changed
}

// serviceTopics sends changes of services to the watches that subscribe to them. The cost of a change
// depends on the services that changed and their subscriptions, not on the other watches.
type serviceTopics struct {
	fsm       *fsm
	fullLists *serviceLists

	mu                sync.Mutex // guards the fields below and those of the topics
	publishedRevision int64      // the events hold all changes up to this version
	byService         map[string]*serviceTopic
	eventBytes        int // total size of the events of all topics
	watchCount        int

	encodedCount, sentCount, sentBytes, laggedCount int64 // for the metrics
}

func newServiceTopics(f *fsm) *serviceTopics {
	return &serviceTopics{fsm: f, fullLists: newServiceLists(f), byService: map[string]*serviceTopic{}}
}

// subscribe starts a subscription. A list that is read after this call, together with the events that
// the subscription then gets, contains all changes.
func (t *serviceTopics) subscribe(services []string) *subscription {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub := &subscription{services: services, notify: make(chan struct{}, 1)}
	for _, name := range services {
		topic := t.byService[name]
		if topic == nil {
			topic = &serviceTopic{service: name, startRevision: t.publishedRevision, subscriptions: map[*subscription]struct{}{}}
			t.byService[name] = topic
		}
		topic.subscriptions[sub] = struct{}{}
		sub.topics = append(sub.topics, topic)
	}
	t.watchCount++
	return sub
}

// unsubscribe ends a subscription and drops the topics that have no subscription left.
func (t *serviceTopics) unsubscribe(sub *subscription) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, topic := range sub.topics {
		delete(topic.subscriptions, sub)
		if len(topic.subscriptions) == 0 {
			t.eventBytes -= topic.eventBytes
			delete(t.byService, topic.service)
		}
	}
	t.watchCount--
}

// topicChange holds the entries of a topic's service that changed since the last published version.
type topicChange struct {
	topic   *serviceTopic
	entries []endpoints.Endpoint
}

// publish appends an event with the changes since the last call to each topic that changed, and
// notifies the subscriptions. It holds the lock throughout, so that a subscription either starts
// before all events of one call, or reads its first list after them.
func (t *serviceTopics) publish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes, known := t.changesSince(t.publishedRevision)
	if !known {
		t.dropAllEvents()
		return
	}
	for _, c := range changes {
		if len(c.entries) > 0 {
			t.appendEvent(c.topic, serviceEvent{t.publishedRevision, encodeEntries(c.entries)})
			t.encodedCount++
		}
	}
	if t.eventBytes > maxAllTopicBytes {
		t.evictEvents()
	}
}

// changesSince returns the changes of the topics after a version, and sets publishedRevision to the
// state's version. known is false if the state's history doesn't reach back to the given version.
func (t *serviceTopics) changesSince(since int64) (changes []topicChange, known bool) {
	known = true
	t.fsm.read(func(state *catalog.State) {
		if t.publishedRevision = state.Seq; t.publishedRevision == since {
			return
		}
		var names []string
		if names, known = state.ChangedServices(since); !known {
			return
		}
		for _, name := range names {
			if topic := t.byService[name]; topic != nil {
				changes = append(changes, topicChange{topic, state.ServiceChanges(name, since)})
			}
		}
	})
	return changes, known
}

// appendEvent appends an event to a topic, drops the oldest ones beyond the topic's bounds, and
// notifies the topic's subscriptions.
func (t *serviceTopics) appendEvent(topic *serviceTopic, e serviceEvent) {
	topic.events = append(topic.events, e)
	topic.eventBytes += len(e.entries)
	t.eventBytes += len(e.entries)
	for len(topic.events) > maxTopicEvents || topic.eventBytes > maxTopicEventBytes && len(topic.events) > 1 {
		first := topic.events[0]
		topic.events, topic.startRevision = topic.events[1:], first.revision
		topic.eventBytes -= len(first.entries)
		t.eventBytes -= len(first.entries)
	}
	topic.notifyAll()
}

// dropAllEvents drops the events of all topics. It is called if the state was replaced or its history
// was dropped, because the retained events then don't lead to the current version.
func (t *serviceTopics) dropAllEvents() {
	for _, topic := range t.byService {
		topic.events, topic.eventBytes, topic.startRevision = nil, 0, t.publishedRevision
		topic.notifyAll()
	}
	t.eventBytes = 0
}

// evictEvents drops the events of topics, in map iteration order, until at most half of
// maxAllTopicBytes is left.
func (t *serviceTopics) evictEvents() {
	for _, topic := range t.byService {
		if t.eventBytes <= maxAllTopicBytes/2 {
			return
		}
		if last := len(topic.events) - 1; last >= 0 {
			topic.startRevision = topic.events[last].revision
		}
		t.eventBytes -= topic.eventBytes
		topic.events, topic.eventBytes = nil, 0
	}
}

// notifyAll notifies the topic's subscriptions. It never blocks.
func (t *serviceTopic) notifyAll() {
	for sub := range t.subscriptions {
		select {
		case sub.notify <- struct{}{}:
		default:
		}
	}
}

// eventsSince returns the changes of a subscription's services after a version, as one line for each
// published version, and the version of the last line. ok is false if a required event is no longer
// retained.
func (t *serviceTopics) eventsSince(sub *subscription, since int64) (lines [][]byte, to int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []serviceEvent
	for _, topic := range sub.topics {
		if since < topic.startRevision {
			t.laggedCount++
			return nil, since, false
		}
		from := sort.Search(len(topic.events), func(i int) bool { return topic.events[i].revision > since })
		events = append(events, topic.events[from:]...)
	}
	slices.SortStableFunc(events, func(a, b serviceEvent) int { return cmp.Compare(a.revision, b.revision) })
	to = since
	for i := 0; i < len(events); {
		to = events[i].revision
		var entries [][]byte
		for ; i < len(events) && events[i].revision == to; i++ {
			entries = append(entries, events[i].entries)
		}
		lines = append(lines, assembleList(to, false, entries))
	}
	return lines, to, true
}

// encodedChanges returns the changes of the given services after a version, as a line, and the version
// of that line. It returns the full list of the services if the state's history doesn't reach back
// that far, or if the changes would be much longer than the full list.
func (t *serviceTopics) encodedChanges(services []string, since int64) (line []byte, revision int64) {
	list := endpoints.List{Full: true}
	t.fsm.read(func(state *catalog.State) {
		if state.KnowsChangesSince(services, since) {
			list = state.ServiceListSince(services, since)
		}
	})
	if list.Full {
		return t.fullLists.encodedList(services)
	}
	return encodeList(&list), list.Seq
}

// watch writes the changes of the given services after a version until the reader fails to read in
// time or the watch is ended.
func (t *serviceTopics) watch(w http.ResponseWriter, services []string, since int64, end watchTermination) {
	out := newWatchWriter(w)
	defer out.close()
	sub := t.subscribe(services)
	defer t.unsubscribe(sub)
	first, revision := t.encodedChanges(services, since)
	if !out.write(first) {
		return
	}
	t.recordSent([][]byte{first})
	for out.awaitChange(sub.notify, end) {
		lines, to, ok := t.eventsSince(sub, revision)
		if !ok {
			// The full list has the last published version or a later one.
			var full []byte
			full, to = t.fullLists.encodedList(services)
			lines = [][]byte{full}
		}
		for _, line := range lines {
			if !out.write(line) {
				return
			}
		}
		revision = to
		t.recordSent(lines)
	}
}

// recordSent counts lines that were written, and their bytes.
func (t *serviceTopics) recordSent(lines [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentCount += int64(len(lines))
	for _, line := range lines {
		t.sentBytes += int64(len(line))
	}
}

// watchesByService returns the number of watches that subscribe to each service.
func (t *serviceTopics) watchesByService() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int, len(t.byService))
	for name, topic := range t.byService {
		counts[name] = len(topic.subscriptions)
	}
	return counts
}
