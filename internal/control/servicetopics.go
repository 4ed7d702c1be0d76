package control

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

const (
	// maxTopicEvents and maxTopicEventBytes bound the events that one topic keeps for readers that lag,
	// and maxAllTopicBytes those of all topics; a reader that lags further gets the whole list of
	// its services.
	maxTopicEvents     = 64
	maxTopicEventBytes = 256 << 10
	maxAllTopicBytes   = 32 << 20
)

// serviceEvent is a change of one service, encoded once for all that subscribe to it: the entries
// that changed up to a version, as they stand between the brackets of a list.
type serviceEvent struct {
	revision int64
	entries  []byte
}

// serviceTopic is a service that somebody subscribes to.
type serviceTopic struct {
	service       string
	startRevision int64 // the events lead on from this version
	events        []serviceEvent
	eventBytes    int
	subscriptions map[*subscription]struct{}
}

// subscription is one watch's interest in some services.
type subscription struct {
	services []string
	topics   []*serviceTopic
	notify   chan struct{} // holds one notice at most, however many topics changed
}

// serviceTopics tells watches of services what changes in them. A change costs by the services that
// it concerns and by their subscriptions, and nothing of the other watches.
type serviceTopics struct {
	fsm       *fsm
	fullLists *serviceLists

	mu                sync.Mutex
	publishedRevision int64 // all changes up to it are published
	byService         map[string]*serviceTopic
	eventBytes        int // of the events of all topics
	watchCount        int

	encodedCount, sentCount, sentBytes, laggedCount int64
}

func newServiceTopics(f *fsm) *serviceTopics {
	return &serviceTopics{fsm: f, fullLists: newServiceLists(f), byService: map[string]*serviceTopic{}}
}

// subscribe begins a subscription: what is published from now on leads on from any list that
// is read after it.
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

// unsubscribe ends a subscription; a topic without any is dropped.
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

// publish encodes what changed since it was called last, once for each service, and notifies
// the subscriptions that it concerns. It holds the lock throughout, so that a subscription
// is from before all that it publishes, or reads its first list after it.
func (t *serviceTopics) publish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	type changed struct {
		of    *serviceTopic
		hosts []endpoints.Endpoint
	}
	var all []changed
	known, since := true, t.publishedRevision
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
				all = append(all, changed{topic, state.ServiceChanges(name, since)})
			}
		}
	})
	if !known {
		t.dropAllEvents()
		return
	}
	for _, c := range all {
		if len(c.hosts) > 0 {
			t.appendEvent(c.of, serviceEvent{t.publishedRevision, encodeEntries(c.hosts)})
			t.encodedCount++
		}
	}
	if t.eventBytes > maxAllTopicBytes {
		t.evictEvents()
	}
}

// appendEvent keeps an event of a topic within the topic's bounds, and notifies its subscriptions.
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

// dropAllEvents drops all events: the state is another, or far ahead, and none leads there.
func (t *serviceTopics) dropAllEvents() {
	for _, topic := range t.byService {
		topic.events, topic.eventBytes, topic.startRevision = nil, 0, t.publishedRevision
		topic.notifyAll()
	}
	t.eventBytes = 0
}

// evictEvents drops the events of topics, whichever they are, until half of the bound is left.
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

func (t *serviceTopic) notifyAll() {
	for sub := range t.subscriptions {
		select {
		case sub.notify <- struct{}{}:
		default:
		}
	}
}

// eventsSince is the lines that lead a subscription on from a version, one for each version that
// was published, and the version that they lead to; not ok where none leads on from there.
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

// encodedList is the whole encodedList of some services, or what changed in them after a version, and its
// own version.
func (t *serviceTopics) encodedList(services []string, since int64, full bool) ([]byte, int64) {
	if !full {
		var l endpoints.List
		t.fsm.read(func(state *catalog.State) {
			if full = !state.HasChangesSince(services, since); !full {
				l = state.ListServices(services, since, false)
				full = l.Full
			}
		})
		if !full {
			return encodeList(&l), l.Seq
		}
	}
	return t.fullLists.encodedList(services)
}

// estimateListBytes is about how many bytes list is going to make.
func (t *serviceTopics) estimateListBytes(services []string, since int64, full bool) int {
	entries := 0
	t.fsm.read(func(state *catalog.State) {
		if !full && state.HasChangesSince(services, since) {
			return
		}
		for _, name := range services {
			entries += state.ServiceSize(name)
		}
	})
	return entries * estimatedScopedEntryBytes
}

// watch writes what changes in some services after a version until the reader or the steward
// ends it.
func (t *serviceTopics) watch(w http.ResponseWriter, services []string, since int64, end watchTermination) {
	out := newWatchWriter(w)
	defer out.close()
	sub := t.subscribe(services)
	defer t.unsubscribe(sub)
	text, revision := t.encodedList(services, since, false)
	if !out.write(text) {
		return
	}
	t.recordSent([][]byte{text})
	for out.awaitChange(sub.notify, end) {
		lines, to, ok := t.eventsSince(sub, revision)
		if !ok {
			// Where no line leads on, the whole list does; it is of the last version published at least.
			text, to = t.encodedList(services, 0, true)
			lines = [][]byte{text}
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

// recordSent notes lines that were written.
func (t *serviceTopics) recordSent(lines [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentCount += int64(len(lines))
	for _, line := range lines {
		t.sentBytes += int64(len(line))
	}
}

// watchesByService is how many watches subscribe to each service.
func (t *serviceTopics) watchesByService() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := make(map[string]int, len(t.byService))
	for name, topic := range t.byService {
		count[name] = len(topic.subscriptions)
	}
	return count
}

// encodeEntries is the entries as they stand between the brackets of a list.
func encodeEntries(entries []endpoints.Endpoint) []byte {
	text, _ := json.Marshal(entries) // numbers, texts and truth values: nothing that can fail
	return bytes.TrimSuffix(bytes.TrimPrefix(text, []byte("[")), []byte("]"))
}

// assembleList makes a list of encoded entries.
func assembleList(revision int64, full bool, entries [][]byte) []byte {
	const around = len(`{"seq":-9223372036854775808,"whole":false,"hosts":[]}`) + 1
	size := around
	for _, h := range entries {
		size += len(h) + 1
	}
	text := make([]byte, 0, size)
	text = append(text, `{"seq":`...)
	text = strconv.AppendInt(text, revision, 10)
	text = append(text, `,"whole":`...)
	text = strconv.AppendBool(text, full)
	text = append(text, `,"hosts":[`...)
	for i, h := range entries {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, h...)
	}
	return append(text, "]}\n"...)
}
