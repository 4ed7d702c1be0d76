package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// subscribe starts a watch of services for a reader at the revision since.
func (f *fsmFixture) subscribe(since int64, services ...string) *serviceWatchReader {
	slices.Sort(services)
	r := &serviceWatchReader{services: services}
	go f.broadcaster.watchServices(f.ctx, r, services, since, nil)
	return r
}

// A watch is sent only the changes of its services. A change is encoded once for all subscriptions to the
// service, and an idle watch is sent heartbeats.
func TestServiceWatchesShareEvents(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, fixture *fsmFixture) {
		fixture.registerInService(t, "a", "a-1", 1)
		fixture.registerInService(t, "b", "b-1", 1)
		fixture.register(t, "plain", 1)
		time.Sleep(time.Second)
		readers := make([]*serviceWatchReader, 50)
		for i := range readers {
			readers[i] = fixture.subscribe(0, "a", "none")
		}
		other, both, plain := fixture.subscribe(0, "b"), fixture.subscribe(0, "a", "b"), fixture.subscribe(0, "")
		synctest.Wait()
		for want, r := range map[string]*serviceWatchReader{"a-1@a": readers[0], "b-1@b": other, "a-1@a b-1@b": both, "plain@": plain} {
			if got := r.serverNames(); got != want || len(r.lists) != 1 {
				t.Fatalf("a reader of %q has %q after %d lists, want %q after one", r.services, got, len(r.lists), want)
			}
		}
		topics := fixture.broadcaster.services
		encodedBefore, bytesBefore, heartbeatsBefore := topics.encodedCount, other.bytes, other.heartbeats
		for i := range 3 {
			fixture.registerInService(t, "a", "a-2", float64(i+1))
		}
		fixture.awaitPublished()
		if n := topics.encodedCount - encodedBefore; n != 1 {
			t.Errorf("three simultaneous changes of one service were encoded %d times", n)
		}
		for _, r := range append(readers, both) {
			if !strings.HasPrefix(r.serverNames(), "a-1@a a-2@a") || len(r.lists) != 2 || r.revision != fixture.revision() || r.lists[1].Full || len(r.lists[1].Endpoints) != 1 {
				t.Fatalf("a reader of %q has %q at revision %d of %d after %d lists", r.services, r.serverNames(), r.revision, fixture.revision(), len(r.lists))
			}
		}
		if len(other.lists) != 1 || other.bytes != bytesBefore || len(plain.lists) != 1 {
			t.Errorf("a reader of another service was sent %d lists, %d bytes", len(other.lists), other.bytes-bytesBefore)
		}
		time.Sleep(6100 * time.Millisecond)
		synctest.Wait()
		if n := other.heartbeats - heartbeatsBefore; n != 3 {
			t.Errorf("%d heartbeats in 6.1 idle seconds, want 3", n)
		}
		for _, r := range append(readers, other, both, plain) {
			r.checkViolations(t)
		}
		fixture.stop()
		if len(topics.byService) != 0 || topics.eventBytes != 0 || topics.watchCount != 0 {
			t.Errorf("after the end of the last watch: %d topics, %d bytes, %d watches", len(topics.byService), topics.eventBytes, topics.watchCount)
		}
	})
}

// A reader of two services is blocked while a server moves between these services. After it is unblocked, it
// has the server in the service that the server moved to last.
func TestServiceEventsKeepVersionOrder(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, fixture *fsmFixture) {
		fixture.registerInService(t, "a", "s", 1)
		time.Sleep(time.Second)
		both, a, b := fixture.subscribe(0, "a", "b"), fixture.subscribe(0, "a"), fixture.subscribe(0, "b")
		synctest.Wait()
		for _, r := range []*serviceWatchReader{both, a, b} {
			r.block()
		}
		for _, service := range []string{"b", "a", "b", "a"} {
			fixture.registerInService(t, service, "s", 1)
			time.Sleep(publishDelay)
		}
		synctest.Wait()
		for _, r := range []*serviceWatchReader{both, a, b} {
			r.unblock()
		}
		synctest.Wait()
		if both.serverNames() != "s@a" || a.serverNames() != "s@a" || b.serverNames() != "" {
			t.Errorf("readers of both, a and b have %q, %q and %q", both.serverNames(), a.serverNames(), b.serverNames())
		}
		fixture.registerInService(t, "b", "s", 2) // a new instance, in the other service
		fixture.awaitPublished()
		if both.serverNames() != "s@b" || a.serverNames() != "" || b.serverNames() != "s@b" {
			t.Errorf("readers of both, a and b have %q, %q and %q", both.serverNames(), a.serverNames(), b.serverNames())
		}
		for _, r := range []*serviceWatchReader{both, a, b} {
			r.checkViolations(t)
		}
	})
}

// A topic retains no more than its maximum number of events for a reader of services that lags. The reader
// is then sent the full list of its services, followed by later events.
func TestLaggingServiceReaderGetsFullList(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, fixture *fsmFixture) {
		fixture.registerInService(t, "a", "a", 1)
		for i := range 100 {
			fixture.registerInService(t, "b", fmt.Sprint("b-", i), 1)
		}
		time.Sleep(time.Second)
		slow, fast, idle := fixture.subscribe(0, "a"), fixture.subscribe(0, "a"), fixture.subscribe(0, "b")
		synctest.Wait()
		slow.block()
		for i := range 2 * maxTopicEvents {
			fixture.registerInService(t, "a", fmt.Sprint("a-", i), 1)
			time.Sleep(publishDelay)
		}
		synctest.Wait()
		if retained := len(fixture.broadcaster.services.byService["a"].events); retained != maxTopicEvents || len(fast.lists) != 1+2*maxTopicEvents {
			t.Errorf("%d events retained; the fast reader was sent %d lists", retained, len(fast.lists))
		}
		slow.unblock()
		synctest.Wait()
		last := slow.lists[len(slow.lists)-1]
		if !last.Full || len(last.Endpoints) != 1+2*maxTopicEvents || len(slow.lists) > 3 || fixture.broadcaster.services.laggedCount != 1 {
			t.Errorf("the slow reader was sent %d lists, the last with %d entries, full %v; lagged %d times", len(slow.lists), len(last.Endpoints), last.Full, fixture.broadcaster.services.laggedCount)
		}
		fixture.registerInService(t, "a", "last", 1)
		fixture.awaitPublished()
		if slow.serverNames() != fast.serverNames() || !strings.Contains(slow.serverNames(), "last@a") || slow.lists[len(slow.lists)-1].Full {
			t.Errorf("the slow reader didn't get the later event: %q", slow.serverNames())
		}
		if len(idle.lists) != 1 {
			t.Errorf("a reader of another service was sent %d lists", len(idle.lists))
		}
		fixture.broadcaster.endAll()
		synctest.Wait()
		if fixture.broadcaster.services.watchCount != 0 {
			t.Errorf("%d watches open after endAll", fixture.broadcaster.services.watchCount)
		}
	})
}

// After the revision has been raised, each reader is sent the full list of its services.
func TestRaisedRevisionSendsFullServiceLists(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, fixture *fsmFixture) {
		fixture.registerInService(t, "a", "a", 1)
		fixture.registerInService(t, "b", "b", 1)
		time.Sleep(time.Second)
		r := fixture.subscribe(0, "a")
		synctest.Wait()
		fixture.apply(t, catalog.Command{Kind: catalog.RaiseRevision, Seq: 1000})
		fixture.awaitPublished()
		if last := r.lists[len(r.lists)-1]; !last.Full || last.Seq != 1000 || r.serverNames() != "a@a" {
			t.Errorf("after the revision was raised to 1000: %+v", last)
		}
		behind := fixture.subscribe(500, "a")
		ahead := fixture.subscribe(2000, "a")
		current := fixture.subscribe(1000, "a")
		synctest.Wait()
		if !behind.lists[0].Full || !ahead.lists[0].Full || current.lists[0].Full || len(current.lists[0].Endpoints) != 0 {
			t.Errorf("full lists for readers at the revisions 500, 2000 and 1000: %v, %v, %v, want true, true, false", behind.lists[0].Full, ahead.lists[0].Full, current.lists[0].Full)
		}
		r.checkViolations(t)
	})
}

// Subscriptions that start while the list is changing miss no changes.
func TestSubscriptionsDuringChangesMissNothing(t *testing.T) {
	const seed, services, changes, watches = 23, 5, 400, 60
	t.Logf("seed %d", seed)
	ctx, cancel := context.WithCancel(t.Context())
	fixture := newFSMFixture(t)
	fixture.broadcaster.coalesce = 200 * time.Microsecond
	var running sync.WaitGroup
	running.Go(func() { fixture.broadcaster.run(ctx) })
	readers := make([]*serviceWatchReader, watches)
	running.Go(func() {
		rng := rand.New(rand.NewPCG(seed, 2))
		for i := range readers {
			watched := []string{fmt.Sprint(rng.IntN(services)), fmt.Sprint(rng.IntN(services))}
			slices.Sort(watched)
			watched = slices.Compact(watched)
			readers[i] = &serviceWatchReader{services: watched}
			running.Go(func() { fixture.broadcaster.watchServices(ctx, readers[i], watched, 0, nil) })
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Microsecond)
		}
	})
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range changes {
		name := fmt.Sprint("s-", rng.IntN(30))
		fixture.registerInService(t, fmt.Sprint(rng.IntN(services)), name, float64(i))
		time.Sleep(time.Duration(rng.IntN(200)) * time.Microsecond)
	}
	for i := range services { // so that every watch gets a final change to wait for
		fixture.registerInService(t, fmt.Sprint(i), fmt.Sprint("last-", i), changes)
	}
	caughtUp := func() bool {
		for _, r := range readers {
			if r == nil || !strings.Contains(r.serverNames(), "last-"+r.services[0]) {
				return false
			}
		}
		return true
	}
	for deadline := time.Now().Add(time.Minute); !caughtUp(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a reader didn't get its last change within a minute")
		}
	}
	cancel()
	running.Wait()
	for i, r := range readers {
		var want []string
		fixture.read(func(state *catalog.State) {
			for _, name := range r.services {
				for _, endpoint := range state.ServiceEndpoints(name) {
					want = append(want, endpoint.Name+"@"+endpoint.Service)
				}
			}
		})
		slices.Sort(want)
		if got := r.serverNames(); got != strings.Join(want, " ") {
			t.Errorf("reader %d of %q has %q, want %q", i, r.services, got, want)
		}
		r.checkViolations(t)
	}
}

// The total size of the events of all topics is bounded. A reader that needs a dropped event is sent a
// full list.
func TestServiceEventsAreBounded(t *testing.T) {
	fixture := newFSMFixture(t)
	topics := fixture.broadcaster.services
	var subs []*subscription
	for i := range 200 {
		subs = append(subs, topics.subscribe([]string{fmt.Sprint(i)}))
	}
	topics.mu.Lock()
	for i := range subs {
		topics.appendEvent(subs[i].topics[0], serviceEvent{1, make([]byte, maxTopicEventBytes)})
	}
	topics.mu.Unlock()
	fixture.registerInService(t, "0", "s", 1)
	topics.publish()
	if topics.eventBytes > maxAllTopicBytes {
		t.Errorf("%d bytes retained", topics.eventBytes)
	}
	lagging := 0
	for _, sub := range subs {
		if _, _, ok := topics.eventsSince(sub, 0); !ok {
			lagging++
		}
	}
	if lagging == 0 || lagging == len(subs) {
		t.Errorf("%d of %d subscriptions need full lists, want some but not all", lagging, len(subs))
	}
	topic := subs[1].topics[0]
	topics.mu.Lock()
	for i := range 3 {
		topics.appendEvent(topic, serviceEvent{int64(10 + i), make([]byte, maxTopicEventBytes-1)})
	}
	topics.mu.Unlock()
	if len(topic.events) != 1 || topic.startRevision != 11 {
		t.Errorf("%d events of one topic retained, from revision %d, want 1 from revision 11", len(topic.events), topic.startRevision)
	}
}

// BenchmarkServicePublish measures the time from a change of one of 1,900 services until its subscriptions
// are notified, with 13,000 open watches of 20 services each.
func BenchmarkServicePublish(b *testing.B) {
	fixture := &fsmFixture{fsm: &fsm{state: catalog.New(), onFatal: func(err error) { b.Error(err) }}}
	fixture.broadcaster = newWatchBroadcaster(fixture.fsm, 0)
	fixture.onChange = func() {}
	register := func(i int, startedMs float64) {
		endpoint := endpoints.Endpoint{Name: fmt.Sprint("server-", i), Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: startedMs, Service: fmt.Sprint("service-", i%1900)}
		encoded, _ := json.Marshal(catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, Endpoint: &endpoint})
		fixture.index++
		fixture.Apply(&raft.Log{Index: fixture.index, Data: encoded})
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
		fixture.broadcaster.services.subscribe(slices.Compact(services))
	}
	fixture.broadcaster.services.publish()
	startedMs := 1.0
	for b.Loop() {
		startedMs++
		register(7, startedMs)
		fixture.broadcaster.services.publish()
	}
}
