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
	// maxEvents and maxEventBytes bound the events that one topic keeps for readers that lag,
	// and maxTopicBytes those of all topics; a reader that lags further gets the whole list of
	// its services.
	maxEvents     = 64
	maxEventBytes = 256 << 10
	maxTopicBytes = 32 << 20
)

// event is a change of one service, encoded once for all that subscribe to it: the entries
// that changed up to a version, as they stand between the brackets of a list.
type event struct {
	to    int64
	hosts []byte
}

// topic is a service that somebody subscribes to.
type topic struct {
	service       string
	floor         int64 // the events lead on from this version
	events        []event
	bytes         int
	subscriptions map[*subscription]struct{}
}

// subscription is one watch's interest in some services.
type subscription struct {
	services []string
	topics   []*topic
	notify   chan struct{} // holds one notice at most, however many topics changed
}

// topics tells watches of services what changes in them. A change costs by the services that
// it concerns and by their subscriptions, and nothing of the other watches.
type topics struct {
	fsm   *fsm
	cache *serviceLists

	mu        sync.Mutex
	seq       int64 // all changes up to it are published
	byService map[string]*topic
	bytes     int // of the events of all topics
	watches   int

	encoded, sent, sentBytes, lagged int64
}

func newTopics(f *fsm) *topics {
	return &topics{fsm: f, cache: newServiceLists(f), byService: map[string]*topic{}}
}

// subscribe begins a subscription: what is published from now on leads on from any list that
// is read after it.
func (t *topics) subscribe(services []string) *subscription {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub := &subscription{services: services, notify: make(chan struct{}, 1)}
	for _, name := range services {
		of := t.byService[name]
		if of == nil {
			of = &topic{service: name, floor: t.seq, subscriptions: map[*subscription]struct{}{}}
			t.byService[name] = of
		}
		of.subscriptions[sub] = struct{}{}
		sub.topics = append(sub.topics, of)
	}
	t.watches++
	return sub
}

// unsubscribe ends a subscription; a topic without any is dropped.
func (t *topics) unsubscribe(sub *subscription) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, of := range sub.topics {
		delete(of.subscriptions, sub)
		if len(of.subscriptions) == 0 {
			t.bytes -= of.bytes
			delete(t.byService, of.service)
		}
	}
	t.watches--
}

// publish encodes what changed since it was called last, once for each service, and notifies
// the subscriptions that it concerns. It holds the lock throughout, so that a subscription
// is from before all that it publishes, or reads its first list after it.
func (t *topics) publish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	type changed struct {
		of    *topic
		hosts []endpoints.Endpoint
	}
	var all []changed
	known, since := true, t.seq
	t.fsm.read(func(s *catalog.State) {
		if t.seq = s.Seq; t.seq == since {
			return
		}
		var names []string
		if names, known = s.ChangedServices(since); !known {
			return
		}
		for _, name := range names {
			if of := t.byService[name]; of != nil {
				all = append(all, changed{of, s.ServiceChanges(name, since)})
			}
		}
	})
	if !known {
		t.reset()
		return
	}
	for _, c := range all {
		if len(c.hosts) > 0 {
			t.add(c.of, event{t.seq, encodeHosts(c.hosts)})
			t.encoded++
		}
	}
	if t.bytes > maxTopicBytes {
		t.shrink()
	}
}

// add keeps an event of a topic within the topic's bounds, and notifies its subscriptions.
func (t *topics) add(of *topic, e event) {
	of.events = append(of.events, e)
	of.bytes += len(e.hosts)
	t.bytes += len(e.hosts)
	for len(of.events) > maxEvents || of.bytes > maxEventBytes && len(of.events) > 1 {
		first := of.events[0]
		of.events, of.floor = of.events[1:], first.to
		of.bytes -= len(first.hosts)
		t.bytes -= len(first.hosts)
	}
	of.notifyAll()
}

// reset drops all events: the state is another, or far ahead, and none leads there.
func (t *topics) reset() {
	for _, of := range t.byService {
		of.events, of.bytes, of.floor = nil, 0, t.seq
		of.notifyAll()
	}
	t.bytes = 0
}

// shrink drops the events of topics, whichever they are, until half of the bound is left.
func (t *topics) shrink() {
	for _, of := range t.byService {
		if t.bytes <= maxTopicBytes/2 {
			return
		}
		if last := len(of.events) - 1; last >= 0 {
			of.floor = of.events[last].to
		}
		t.bytes -= of.bytes
		of.events, of.bytes = nil, 0
	}
}

func (of *topic) notifyAll() {
	for sub := range of.subscriptions {
		select {
		case sub.notify <- struct{}{}:
		default:
		}
	}
}

// pending is the lines that lead a subscription on from a version, one for each version that
// was published, and the version that they lead to; not ok where none leads on from there.
func (t *topics) pending(sub *subscription, pos int64) (lines [][]byte, to int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []event
	for _, of := range sub.topics {
		if pos < of.floor {
			t.lagged++
			return nil, pos, false
		}
		from := sort.Search(len(of.events), func(i int) bool { return of.events[i].to > pos })
		events = append(events, of.events[from:]...)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.to, b.to) })
	to = pos
	for i := 0; i < len(events); {
		to = events[i].to
		var hosts [][]byte
		for ; i < len(events) && events[i].to == to; i++ {
			hosts = append(hosts, events[i].hosts)
		}
		lines = append(lines, envelope(to, false, hosts))
	}
	return lines, to, true
}

// list is the whole list of some services, or what changed in them after a version, and its
// own version.
func (t *topics) list(services []string, since int64, whole bool) ([]byte, int64) {
	if !whole {
		var l endpoints.List
		t.fsm.read(func(s *catalog.State) {
			if whole = !s.HasChangesSince(services, since); !whole {
				l = s.ListServices(services, since, false)
				whole = l.Full
			}
		})
		if !whole {
			return encode(&l), l.Seq
		}
	}
	return t.cache.list(services)
}

// listBytes is about how many bytes list is going to make.
func (t *topics) listBytes(services []string, since int64, whole bool) int {
	entries := 0
	t.fsm.read(func(s *catalog.State) {
		if !whole && s.HasChangesSince(services, since) {
			return
		}
		for _, name := range services {
			entries += s.ServiceSize(name)
		}
	})
	return entries * scopedEntryBytes
}

// watch writes what changes in some services after a version until the reader or the steward
// ends it.
func (t *topics) watch(w http.ResponseWriter, services []string, since int64, end watchEnd) {
	out := newWatchWriter(w)
	defer out.close()
	sub := t.subscribe(services)
	defer t.unsubscribe(sub)
	text, pos := t.list(services, since, false)
	if !out.write(text) {
		return
	}
	t.count([][]byte{text})
	for out.await(sub.notify, end) {
		lines, to, ok := t.pending(sub, pos)
		if !ok {
			// Where no line leads on, the whole list does; it is of the last version published at least.
			text, to = t.list(services, 0, true)
			lines = [][]byte{text}
		}
		for _, line := range lines {
			if !out.write(line) {
				return
			}
		}
		pos = to
		t.count(lines)
	}
}

// count notes lines that were written.
func (t *topics) count(lines [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent += int64(len(lines))
	for _, line := range lines {
		t.sentBytes += int64(len(line))
	}
}

// watchesByService is how many watches subscribe to each service.
func (t *topics) watchesByService() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := make(map[string]int, len(t.byService))
	for name, of := range t.byService {
		count[name] = len(of.subscriptions)
	}
	return count
}

// encodeHosts is the entries as they stand between the brackets of a list.
func encodeHosts(hosts []endpoints.Endpoint) []byte {
	text, _ := json.Marshal(hosts) // numbers, texts and truth values: nothing that can fail
	return bytes.TrimSuffix(bytes.TrimPrefix(text, []byte("[")), []byte("]"))
}

// envelope makes a list of encoded entries.
func envelope(seq int64, whole bool, hosts [][]byte) []byte {
	const around = len(`{"seq":-9223372036854775808,"whole":false,"hosts":[]}`) + 1
	size := around
	for _, h := range hosts {
		size += len(h) + 1
	}
	text := make([]byte, 0, size)
	text = append(text, `{"seq":`...)
	text = strconv.AppendInt(text, seq, 10)
	text = append(text, `,"whole":`...)
	text = strconv.AppendBool(text, whole)
	text = append(text, `,"hosts":[`...)
	for i, h := range hosts {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, h...)
	}
	return append(text, "]}\n"...)
}
