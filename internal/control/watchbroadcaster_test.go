package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Changes within a few milliseconds are one event, encoded once for all watches; an idle watch gets
// an empty line every two seconds; a reader between two versions misses nothing.
func TestWatchesShareEvents(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, st *fsmFixture) {
		st.register(t, "a", 1)
		time.Sleep(time.Second)
		readers := make([]*watchReader, 50)
		for i := range readers {
			readers[i] = newWatchReader()
			go st.broadcaster.watch(st.ctx, readers[i], 0, nil)
		}
		synctest.Wait()
		before := st.broadcaster.encodedCount
		for i := range 3 {
			st.register(t, "b", float64(i+1))
		}
		between := newWatchReader() // starts before the event, and has two of the three changes
		go st.broadcaster.watch(st.ctx, between, st.revision()-1, nil)
		st.awaitPublished()
		if n := st.broadcaster.encodedCount - before; n != 1 {
			t.Errorf("three changes at once were encoded %d times", n)
		}
		for _, r := range append(readers, between) {
			if r.servers["b"] != 3 || r.revision != st.revision() || r.count() > 2 {
				t.Errorf("a reader has %v at version %d after %d lines", r.servers, r.revision, r.count())
				break
			}
		}
		n := readers[0].count()
		time.Sleep(6100 * time.Millisecond)
		synctest.Wait()
		if got := readers[0].lines[n:]; len(got) != 3 || got[0] != "\n" {
			t.Errorf("in six idle seconds: %q", got)
		}
	})
}

// A reader that lags makes the broadcaster retain no more than its bound, then gets the full list
// and later events; the others don't wait for it.
func TestLaggingReaderGetsFullList(t *testing.T) {
	runBroadcaster(t, func(t *testing.T, st *fsmFixture) {
		st.register(t, "a", 1)
		time.Sleep(time.Second)
		slow, fast := newWatchReader(), newWatchReader()
		go st.broadcaster.watch(st.ctx, slow, 0, nil)
		go st.broadcaster.watch(st.ctx, fast, 0, nil)
		synctest.Wait()
		slow.block()
		for i := range 2 * maxListEvents {
			st.register(t, fmt.Sprint("s-", i), 1)
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		if fast.revision != st.revision() || len(st.broadcaster.events) > maxListEvents {
			t.Errorf("the fast reader is at %d of %d; %d events retained", fast.revision, st.revision(), len(st.broadcaster.events))
		}
		slow.unblock()
		synctest.Wait()
		if slow.revision != st.revision() || len(slow.servers) != 2*maxListEvents+1 || slow.count() > 10 || st.broadcaster.laggedCount != 1 {
			t.Errorf("the slow reader is at %d of %d with %d servers after %d lines, lagged %d", slow.revision, st.revision(), len(slow.servers), slow.count(), st.broadcaster.laggedCount)
		}
		st.register(t, "last", 1)
		st.awaitPublished()
		if slow.servers["last"] != 1 {
			t.Error("the slow reader gets no later events")
		}
		st.broadcaster.endAll()
		synctest.Wait()
	})
}
