package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/raft"
	"github.com/prometheus/client_golang/prometheus"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// registerInService registers a server with a service.
func (st *fsmFixture) registerInService(t *testing.T, service, name string, born float64) {
	t.Helper()
	h := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: born, Service: service}
	if r := st.apply(t, catalog.Command{Kind: catalog.Register, Endpoint: &h}); r.Code != catalog.Done {
		t.Fatalf("%+v", r)
	}
}

// scopedReader takes what a watch of services writes, in the contract's way, and can be slow.
type scopedReader struct {
	services []string

	mu         sync.Mutex
	blocked    chan struct{} // while it is open, writes wait
	lists      []endpoints.List
	bytes      int
	heartbeats int
	servers    map[string]endpoints.Endpoint
	revision   int64
	faults     []string
}

func (r *scopedReader) Header() http.Header              { return http.Header{} }
func (r *scopedReader) WriteHeader(int)                  {}
func (r *scopedReader) Flush()                           {}
func (r *scopedReader) SetWriteDeadline(time.Time) error { return nil }

func (r *scopedReader) Write(p []byte) (int, error) {
	r.mu.Lock()
	block := r.blocked
	r.mu.Unlock()
	if block != nil {
		<-block
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if string(p) == "\n" {
		r.heartbeats++
		return len(p), nil
	}
	r.bytes += len(p)
	l, err := endpoints.Parse(p)
	if err != nil || bytes.Count(p, []byte("\n")) != 1 || l.Seq < r.revision {
		r.faults = append(r.faults, fmt.Sprintf("%q after version %d: %v", p, r.revision, err))
	}
	r.lists, r.revision = append(r.lists, l), l.Seq
	if l.Full || r.servers == nil {
		r.servers = map[string]endpoints.Endpoint{}
	}
	for _, h := range l.Endpoints {
		switch {
		case !slices.Contains(r.services, h.Service):
			r.faults = append(r.faults, fmt.Sprintf("a reader of %q was sent %+v", r.services, h))
		case h.Health != endpoints.Removed:
			r.servers[h.Name] = h
		case r.servers[h.Name].Service == h.Service:
			delete(r.servers, h.Name)
		}
	}
	return len(p), nil
}

// names is what the reader has, as name@service, in order.
func (r *scopedReader) names() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, h := range r.servers {
		out = append(out, h.Name+"@"+h.Service)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func (r *scopedReader) check(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) > 0 {
		t.Errorf("a reader of %q: %s", r.services, strings.Join(r.faults, "; "))
	}
}

// subscribe starts a watch of services from a version on.
func (st *fsmFixture) subscribe(ctx context.Context, since int64, services ...string) *scopedReader {
	slices.Sort(services)
	r := &scopedReader{services: services}
	go st.broadcaster.watchServices(ctx, r, services, since, nil)
	return r
}

const publishDelay = 20 * time.Millisecond // of a change, its line has been written

// Each watch is sent its services only: a change is encoded once for all that subscribe to
// the service, and one that nothing concerns gets the heartbeat.
func TestScopeFanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := newFSMFixture(t)
		go st.broadcaster.run(ctx)
		st.registerInService(t, "a", "a-1", 1)
		st.registerInService(t, "b", "b-1", 1)
		st.register(t, "plain", 1)
		time.Sleep(time.Second)
		readers := make([]*scopedReader, 50)
		for i := range readers {
			readers[i] = st.subscribe(ctx, 0, "a", "none")
		}
		other, both, plain := st.subscribe(ctx, 0, "b"), st.subscribe(ctx, 0, "a", "b"), st.subscribe(ctx, 0, "")
		synctest.Wait()
		for what, r := range map[string]*scopedReader{"a-1@a": readers[0], "b-1@b": other, "a-1@a b-1@b": both, "plain@": plain} {
			if got := r.names(); got != what || len(r.lists) != 1 {
				t.Fatalf("a reader of %q has %q after %d lists, want %q", r.services, got, len(r.lists), what)
			}
		}
		encoded, before, beats := st.broadcaster.services.encodedCount, other.bytes, other.heartbeats
		for i := range 3 {
			st.registerInService(t, "a", "a-2", float64(i+1))
		}
		time.Sleep(publishDelay)
		synctest.Wait()
		if n := st.broadcaster.services.encodedCount - encoded; n != 1 {
			t.Errorf("three changes of one service at once were encoded %d times", n)
		}
		for _, r := range append(readers, both) {
			if !strings.HasPrefix(r.names(), "a-1@a a-2@a") || len(r.lists) != 2 || r.revision != st.revision() || r.lists[1].Full || len(r.lists[1].Endpoints) != 1 {
				t.Fatalf("a reader of %q has %q at version %d of %d after %d lists", r.services, r.names(), r.revision, st.revision(), len(r.lists))
			}
		}
		if len(other.lists) != 1 || other.bytes != before || len(plain.lists) != 1 {
			t.Errorf("a reader of another service was sent %d lists, %d bytes", len(other.lists), other.bytes-before)
		}
		time.Sleep(6100 * time.Millisecond)
		synctest.Wait()
		if n := other.heartbeats - beats; n != 3 {
			t.Errorf("%d heartbeats in six quiet seconds", n)
		}
		for _, r := range append(readers, other, both, plain) {
			r.check(t)
		}
		cancel()
		synctest.Wait()
		if len(st.broadcaster.services.byService) != 0 || st.broadcaster.services.eventBytes != 0 || st.broadcaster.services.watchCount != 0 {
			t.Errorf("after the last watch: %d topics, %d bytes, %d watches", len(st.broadcaster.services.byService), st.broadcaster.services.eventBytes, st.broadcaster.services.watchCount)
		}
	})
}

// A reader of both services of a server that goes to and fro while the reader is slow ends
// with the service that the server is of.
func TestScopeMovesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := newFSMFixture(t)
		go st.broadcaster.run(ctx)
		st.registerInService(t, "a", "s", 1)
		time.Sleep(time.Second)
		both, a, b := st.subscribe(ctx, 0, "a", "b"), st.subscribe(ctx, 0, "a"), st.subscribe(ctx, 0, "b")
		synctest.Wait()
		for _, r := range []*scopedReader{both, a, b} {
			r.mu.Lock()
			r.blocked = make(chan struct{})
			r.mu.Unlock()
		}
		for _, service := range []string{"b", "a", "b", "a"} {
			st.registerInService(t, service, "s", 1)
			time.Sleep(publishDelay)
		}
		synctest.Wait()
		for _, r := range []*scopedReader{both, a, b} {
			close(r.blocked)
			r.mu.Lock()
			r.blocked = nil
			r.mu.Unlock()
		}
		synctest.Wait()
		if both.names() != "s@a" || a.names() != "s@a" || b.names() != "" {
			t.Errorf("readers of both, a and b have %q, %q and %q", both.names(), a.names(), b.names())
		}
		st.registerInService(t, "b", "s", 2) // a new process, of the other service
		time.Sleep(publishDelay)
		synctest.Wait()
		if both.names() != "s@b" || a.names() != "" || b.names() != "s@b" {
			t.Errorf("readers of both, a and b have %q, %q and %q", both.names(), a.names(), b.names())
		}
		for _, r := range []*scopedReader{both, a, b} {
			r.check(t)
		}
		cancel()
		synctest.Wait()
	})
}

// A reader of services that lags costs what is kept for all, then gets the whole list of its
// own services and goes on.
func TestScopeSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := newFSMFixture(t)
		go st.broadcaster.run(ctx)
		st.registerInService(t, "a", "a", 1)
		for i := range 100 {
			st.registerInService(t, "b", fmt.Sprint("b-", i), 1)
		}
		time.Sleep(time.Second)
		slow, quick, quiet := st.subscribe(ctx, 0, "a"), st.subscribe(ctx, 0, "a"), st.subscribe(ctx, 0, "b")
		synctest.Wait()
		slow.mu.Lock()
		slow.blocked = make(chan struct{})
		slow.mu.Unlock()
		for i := range 2 * maxTopicEvents {
			st.registerInService(t, "a", fmt.Sprint("a-", i), 1)
			time.Sleep(publishDelay)
		}
		synctest.Wait()
		if kept := len(st.broadcaster.services.byService["a"].events); kept != maxTopicEvents || len(quick.lists) != 1+2*maxTopicEvents {
			t.Errorf("%d events kept; the quick one was sent %d lists", kept, len(quick.lists))
		}
		close(slow.blocked)
		slow.mu.Lock()
		slow.blocked = nil
		slow.mu.Unlock()
		synctest.Wait()
		last := slow.lists[len(slow.lists)-1]
		if !last.Full || len(last.Endpoints) != 1+2*maxTopicEvents || len(slow.lists) > 3 || st.broadcaster.services.laggedCount != 1 {
			t.Errorf("the slow one was sent %d lists, the last of %d entries, whole %v; lagged %d", len(slow.lists), len(last.Endpoints), last.Full, st.broadcaster.services.laggedCount)
		}
		st.registerInService(t, "a", "last", 1)
		time.Sleep(publishDelay)
		synctest.Wait()
		if slow.names() != quick.names() || !strings.Contains(slow.names(), "last@a") || slow.lists[len(slow.lists)-1].Full {
			t.Errorf("it does not go on: %q", slow.names())
		}
		if len(quiet.lists) != 1 {
			t.Errorf("a reader of another service was sent %d lists", len(quiet.lists))
		}
		st.broadcaster.endAll()
		synctest.Wait()
		if st.broadcaster.services.watchCount != 0 {
			t.Errorf("%d watches left", st.broadcaster.services.watchCount)
		}
		cancel()
	})
}

// A version that is raised beyond the readers' gets each the whole list of its own services.
func TestScopeRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := newFSMFixture(t)
		go st.broadcaster.run(ctx)
		st.registerInService(t, "a", "a", 1)
		st.registerInService(t, "b", "b", 1)
		time.Sleep(time.Second)
		r := st.subscribe(ctx, 0, "a")
		synctest.Wait()
		st.apply(t, catalog.Command{Kind: catalog.RaiseRevision, Seq: 1000})
		time.Sleep(publishDelay)
		synctest.Wait()
		if last := r.lists[len(r.lists)-1]; !last.Full || last.Seq != 1000 || r.names() != "a@a" {
			t.Errorf("after version 1000: %+v", last)
		}
		back := st.subscribe(ctx, 500, "a")
		ahead := st.subscribe(ctx, 2000, "a")
		knows := st.subscribe(ctx, 1000, "a")
		synctest.Wait()
		if !back.lists[0].Full || !ahead.lists[0].Full || knows.lists[0].Full || len(knows.lists[0].Endpoints) != 0 {
			t.Errorf("whole lists for readers at 500, 2000 and 1000: %v, %v, %v", back.lists[0].Full, ahead.lists[0].Full, knows.lists[0].Full)
		}
		r.check(t)
		cancel()
		synctest.Wait()
	})
}

// Subscriptions that begin while the list changes miss nothing, whichever comes first.
func TestScopeSubscribesWhileItChanges(t *testing.T) {
	const seed, services, changes, watches = 23, 5, 400, 60
	t.Logf("seed %d", seed)
	ctx, cancel := context.WithCancel(t.Context())
	st := newFSMFixture(t)
	st.broadcaster.coalesce = 200 * time.Microsecond
	var running sync.WaitGroup
	running.Go(func() { st.broadcaster.run(ctx) })
	readers := make([]*scopedReader, watches)
	running.Go(func() {
		rng := rand.New(rand.NewPCG(seed, 2))
		for i := range readers {
			scope := []string{fmt.Sprint(rng.IntN(services)), fmt.Sprint(rng.IntN(services))}
			slices.Sort(scope)
			scope = slices.Compact(scope)
			readers[i] = &scopedReader{services: scope}
			running.Go(func() { st.broadcaster.watchServices(ctx, readers[i], scope, 0, nil) })
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Microsecond)
		}
	})
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range changes {
		name := fmt.Sprint("s-", rng.IntN(30))
		st.registerInService(t, fmt.Sprint(rng.IntN(services)), name, float64(i))
		time.Sleep(time.Duration(rng.IntN(200)) * time.Microsecond)
	}
	for i := range services { // each watch hears of a last change
		st.registerInService(t, fmt.Sprint(i), fmt.Sprint("last-", i), changes)
	}
	caughtUp := func() bool {
		for _, r := range readers {
			if r == nil || !strings.Contains(r.names(), "last-"+r.services[0]) {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(time.Minute); !caughtUp(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a reader never caught up")
		}
	}
	cancel()
	running.Wait()
	for i, r := range readers {
		var want []string
		st.read(func(state *catalog.State) {
			for _, name := range r.services {
				for _, h := range state.ServiceEndpoints(name) {
					want = append(want, h.Name+"@"+h.Service)
				}
			}
		})
		slices.Sort(want)
		if got := r.names(); got != strings.Join(want, " ") {
			t.Errorf("reader %d of %q has %q, want %q", i, r.services, got, want)
		}
		r.check(t)
	}
}

// The lines are what the form's encoder makes of the same entries.
func TestScopeEnvelope(t *testing.T) {
	hosts := []endpoints.Endpoint{{Name: "a", Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 0.5, StartedMs: 7, Service: "s"},
		{Name: "b", Health: endpoints.Removed}, {Name: "<c>&", Dial: "[::1]:2", Health: endpoints.Draining, Service: "é"}}
	for _, l := range []endpoints.List{{Seq: 1 << 50, Full: true, Endpoints: hosts}, {Seq: -1, Endpoints: hosts[:1]}, {Endpoints: []endpoints.Endpoint{}}} {
		var parts [][]byte
		for i := range l.Endpoints {
			parts = append(parts, encodeEntries(l.Endpoints[i:i+1]))
		}
		if got, want := assembleList(l.Seq, l.Full, parts), encodeList(&l); !bytes.Equal(got, want) {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

// Whole lists of services are encoded once a version of the service, and what is kept of
// them is bounded.
func TestScopeListsAreCached(t *testing.T) {
	st := newFSMFixture(t)
	cache := st.broadcaster.services.fullLists
	st.registerInService(t, "a", "a", 1)
	st.registerInService(t, "b", "b", 1)
	for range 3 {
		text, seq := cache.encodedList([]string{"a", "b", "none"})
		var l endpoints.List
		if err := json.Unmarshal(text, &l); err != nil || !l.Full || len(l.Endpoints) != 2 || l.Seq != seq || seq != st.revision() {
			t.Fatalf("%s: %v", text, err)
		}
	}
	if cache.encodedCount != 2 {
		t.Errorf("two services were encoded %d times", cache.encodedCount)
	}
	st.registerInService(t, "a", "a-2", 1)
	if text, seq := cache.encodedList([]string{"a", "b"}); cache.encodedCount != 3 || seq != st.revision() || bytes.Count(text, []byte(`"host"`)) != 3 {
		t.Errorf("after a change of one: encoded %d times, %s", cache.encodedCount, text)
	}
	for i := range 9 {
		cache.add(fmt.Sprint("large-", i), encodedService{1, make([]byte, maxCachedBytes/4)})
		if cache.cachedBytes > maxCachedBytes {
			t.Fatalf("%d bytes kept", cache.cachedBytes)
		}
	}
	sum := 0
	for _, kept := range cache.byService {
		sum += len(kept.entries)
	}
	if sum != cache.cachedBytes {
		t.Errorf("%d bytes kept, counted as %d", sum, cache.cachedBytes)
	}
}

// The lists that are kept of one state are not served once another is in its place, also
// where the versions are the same.
func TestScopeListsOfAnotherState(t *testing.T) {
	st, other := newFSMFixture(t), newFSMFixture(t)
	st.registerInService(t, "a", "before", 1)
	other.registerInService(t, "a", "after", 1)
	st.broadcaster.services.fullLists.encodedList([]string{"a"})
	st.fsm.mu.Lock()
	st.fsm.state = other.fsm.state
	st.fsm.mu.Unlock()
	if text, _ := st.broadcaster.services.fullLists.encodedList([]string{"a"}); !bytes.Contains(text, []byte(`"after"`)) || bytes.Contains(text, []byte(`"before"`)) {
		t.Errorf("of another state: %s", text)
	}
}

// The events of all topics together are bounded; who needs what was dropped gets a whole list.
func TestScopeEventsAreBounded(t *testing.T) {
	st := newFSMFixture(t)
	var subs []*subscription
	for i := range 200 {
		subs = append(subs, st.broadcaster.services.subscribe([]string{fmt.Sprint(i)}))
	}
	st.broadcaster.services.mu.Lock()
	for i := range subs {
		st.broadcaster.services.appendEvent(subs[i].topics[0], serviceEvent{1, make([]byte, maxTopicEventBytes)})
	}
	st.broadcaster.services.mu.Unlock()
	st.registerInService(t, "0", "s", 1)
	st.broadcaster.services.publish()
	if st.broadcaster.services.eventBytes > maxAllTopicBytes {
		t.Errorf("%d bytes kept", st.broadcaster.services.eventBytes)
	}
	whole := 0
	for _, sub := range subs {
		if _, _, ok := st.broadcaster.services.eventsSince(sub, 0); !ok {
			whole++
		}
	}
	if whole == 0 || whole == len(subs) {
		t.Errorf("%d of %d need whole lists", whole, len(subs))
	}
	of := subs[1].topics[0]
	st.broadcaster.services.mu.Lock()
	for i := range 3 {
		st.broadcaster.services.appendEvent(of, serviceEvent{int64(10 + i), make([]byte, maxTopicEventBytes-1)})
	}
	st.broadcaster.services.mu.Unlock()
	if len(of.events) != 1 || of.startRevision != 11 {
		t.Errorf("%d events of one topic kept, from version %d", len(of.events), of.startRevision)
	}
}

// The services of a call are 1 to 256 words, each counted once.
func TestScopeParameter(t *testing.T) {
	many := func(n int) string {
		q := url.Values{}
		for i := range n {
			q.Add(endpoints.ServiceParam, fmt.Sprint("s-", i))
		}
		return q.Encode()
	}
	for query, want := range map[string][]string{"": nil, "follow=1&since=3": nil, "service=": {""}, "service": {""}, "service=b&service=a&service=b&service=": {"", "a", "b"},
		"service=%C3%A9": {"é"}, "x=%zz": nil} {
		if got, err := parseServices(query); err != nil || !slices.Equal(got, want) || (got == nil) != (want == nil) {
			t.Errorf("%q: %q, %v; want %q", query, got, err, want)
		}
	}
	if got, err := parseServices(many(endpoints.MaxServices)); err != nil || len(got) != endpoints.MaxServices {
		t.Errorf("%d services, %v", len(got), err)
	}
	for _, query := range []string{"service=a%20b", "service=a/b", "service=a&service=%0a", "service=" + strings.Repeat("x", endpoints.MaxLabel+1),
		"service=%zz", "service=a;service=b", many(endpoints.MaxServices + 1)} {
		got, err := parseServices(query)
		if err == nil || !strings.HasPrefix(err.Error(), "service: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.80q: %q, %v", query, got, err)
		}
	}
}

// Admission counts the bytes that a call writes: the fleet's size shows in no call for a
// small service, and today's small lists cost one call.
func TestScopeAdmission(t *testing.T) {
	st := newFSMFixture(t)
	s := &Server{broadcaster: st.broadcaster, fsm: st.fsm}
	st.registerInService(t, "small", "s", 1)
	for i := range 2000 {
		st.registerInService(t, "large", fmt.Sprint("l-", i), 1)
	}
	for _, c := range []struct {
		services []string
		follow   bool
		since    int64
		least    int
		most     int
	}{
		{nil, false, 0, 2000 * 100, 2000 * 160}, {nil, true, 0, 0, 0},
		{[]string{"small"}, false, 0, 100, 160}, {[]string{"large"}, false, 0, 2000 * 100, 2000 * 160}, {[]string{"none"}, false, 0, 0, 0},
		{[]string{"large"}, true, st.revision() + 1, 2000 * 100, 2000 * 160}, {[]string{"large"}, true, st.revision() - 1, 0, 0},
	} {
		got := s.estimateListBytes(c.services, c.follow, c.since)
		if got < c.least || got > c.most {
			t.Errorf("%q, follow %v from %d: %d bytes, want %d to %d", c.services, c.follow, c.since, got, c.least, c.most)
		}
	}
	synctest.Test(t, func(t *testing.T) { // at once: no time passes while they are admitted
		c := Defaults()
		c.CallRate = 400
		for bytes, want := range map[int]int{0: 100, 30 * estimatedEntryBytes: 100, 2000 * estimatedEntryBytes: 9, 39_000 * estimatedEntryBytes: 1} {
			a, admitted := newAdmission(&c), 0
			for a.admitCall(httptest.NewRecorder(), bytes) {
				admitted++
			}
			if admitted != want {
				t.Errorf("lists of %d bytes: %d admitted at once, want %d", bytes, admitted, want)
			}
		}
	})
}

// As many watches are admitted as there are descriptors for.
func TestScopeWatchLimit(t *testing.T) {
	if got := availableWatches(1); got != 1 {
		t.Errorf("of 1 watch, %d", got)
	}
	if got := availableWatches(1 << 40); got < 1 || got >= 1<<40 {
		t.Errorf("of more watches than descriptors, %d", got)
	}
	for _, watches := range []int{0, -1, maxWatchesSetting + 1} {
		c := Defaults()
		c.Data, c.MaxWatches = "data", watches
		if err := c.validate(); err == nil || !strings.HasPrefix(err.Error(), "configuration: max_watches: ") {
			t.Errorf("max_watches %d: %v", watches, err)
		}
	}
}

// The metrics by service name the largest, whatever the services are called.
func TestScopeMetrics(t *testing.T) {
	st := newFSMFixture(t)
	for i := range 30 {
		service := fmt.Sprintf("service-%02d", i)
		for j := range i + 1 {
			st.registerInService(t, service, fmt.Sprintf("%s-%d", service, j), 1)
		}
	}
	for i := range 40 {
		st.register(t, fmt.Sprint("plain-", i), 1)
		st.registerInService(t, "other", fmt.Sprint("other-", i), 1)
	}
	st.broadcaster.services.subscribe([]string{"other", "service-00", "unknown"})
	registry := prometheus.NewRegistry()
	registry.MustRegister(newServiceCollector(st.broadcaster))
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.Metric {
			label := ""
			if len(m.Label) > 0 {
				label = m.Label[0].GetValue()
			}
			got[f.GetName()+" "+label] = m.Gauge.GetValue()
		}
	}
	want := map[string]float64{"steward_services ": 32, "steward_service_listed default service": 40, "steward_service_listed other": 40,
		"steward_service_listed service-29": 30, "steward_service_listed other services": 12 * 13 / 2, "steward_service_watches other": 1, "steward_service_watches other services": 2}
	for key, value := range want {
		if got[key] != value {
			t.Errorf("%s is %v, want %v", key, got[key], value)
		}
	}
	labels := 0
	for key := range got {
		if strings.HasPrefix(key, "steward_service_listed ") {
			labels++
		}
	}
	if labels != maxServiceLabels+1 {
		t.Errorf("%d labels of services", labels)
	}
}

// BenchmarkScopePublish is what a change of one of 1,900 services costs while 13,000 watches
// of 20 services each are open, and how long until the subscriptions it concerns are notified.
func BenchmarkScopePublish(b *testing.B) {
	st := &fsmFixture{fsm: &fsm{state: catalog.New(), onFatal: func(err error) { b.Error(err) }}}
	st.broadcaster = newWatchBroadcaster(st.fsm, 0)
	st.onChange = func() {}
	register := func(i int, born float64) {
		h := endpoints.Endpoint{Name: fmt.Sprint("server-", i), Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: born, Service: fmt.Sprint("service-", i%1900)}
		text, _ := json.Marshal(catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, Endpoint: &h})
		st.index++
		st.Apply(&raft.Log{Index: st.index, Data: text})
	}
	for i := range 39_000 {
		register(i, 1)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 13_000 {
		var services []string
		for range 20 {
			services = append(services, fmt.Sprint("service-", rng.IntN(1900)))
		}
		slices.Sort(services)
		st.broadcaster.services.subscribe(slices.Compact(services))
	}
	st.broadcaster.services.publish()
	born := 1.0
	for b.Loop() {
		born++
		register(7, born)
		st.broadcaster.services.publish()
	}
}
