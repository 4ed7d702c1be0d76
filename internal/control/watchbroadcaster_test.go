package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Changes within a few milliseconds are combined into one event, which is encoded once for all watches. An
// idle watch is sent an empty line every two seconds. A reader whose revision is in the middle of a
// combined event misses nothing.
func TestWatchesShareEvents(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, fixture *fsmFixture) {
		fixture.register(t, "a", 1)
		time.Sleep(time.Second)
		readers := make([]*watchReader, 50)
		for i := range readers {
			readers[i] = newWatchReader()
			go fixture.broadcaster.watch(fixture.ctx, readers[i], 0, nil)
		}
		synctest.Wait()
		before := fixture.broadcaster.encodedCount
		for i := range 3 {
			fixture.register(t, "b", float64(i+1))
		}
		between := newWatchReader() // already has two of the three changes of the event
		go fixture.broadcaster.watch(fixture.ctx, between, fixture.revision()-1, nil)
		fixture.awaitPublished()
		if n := fixture.broadcaster.encodedCount - before; n != 1 {
			t.Errorf("three simultaneous changes were encoded %d times", n)
		}
		for _, r := range append(readers, between) {
			if r.servers["b"] != 3 || r.revision != fixture.revision() || r.lineCount() > 2 {
				t.Errorf("a reader has %v at revision %d after %d lines", r.servers, r.revision, r.lineCount())
				break
			}
		}
		n := readers[0].lineCount()
		time.Sleep(6100 * time.Millisecond)
		synctest.Wait()
		if got := readers[0].lines[n:]; len(got) != 3 || got[0] != "\n" {
			t.Errorf("in 6.1 idle seconds the watch was sent %q, want three empty lines", got)
		}
	})
}

// The broadcaster retains no more than its maximum number of events for a reader that lags. The reader is
// then sent the full list, followed by later events. Other readers don't wait for the lagging one.
func TestLaggingReaderGetsFullList(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, fixture *fsmFixture) {
		fixture.register(t, "a", 1)
		time.Sleep(time.Second)
		slow, fast := newWatchReader(), newWatchReader()
		go fixture.broadcaster.watch(fixture.ctx, slow, 0, nil)
		go fixture.broadcaster.watch(fixture.ctx, fast, 0, nil)
		synctest.Wait()
		slow.block()
		for i := range 2 * maxListEvents {
			fixture.register(t, fmt.Sprint("s-", i), 1)
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		if fast.revision != fixture.revision() || len(fixture.broadcaster.events) > maxListEvents {
			t.Errorf("the fast reader is at %d of %d; %d events retained", fast.revision, fixture.revision(), len(fixture.broadcaster.events))
		}
		slow.unblock()
		synctest.Wait()
		if slow.revision != fixture.revision() || len(slow.servers) != 2*maxListEvents+1 || slow.lineCount() > 10 || fixture.broadcaster.laggedCount != 1 {
			t.Errorf("the slow reader is at %d of %d with %d servers after %d lines; lagged %d times", slow.revision, fixture.revision(), len(slow.servers), slow.lineCount(), fixture.broadcaster.laggedCount)
		}
		fixture.register(t, "last", 1)
		fixture.awaitPublished()
		if slow.servers["last"] != 1 {
			t.Error("the slow reader didn't get the later event")
		}
		fixture.broadcaster.endAll()
		synctest.Wait()
	})
}
