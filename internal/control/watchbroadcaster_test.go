package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"knotrouter/internal/endpoints"
)

// watchReader is the response writer of a watch of the full list. It records what is written, and
// can be made to block.
type watchReader struct {
	mu       sync.Mutex
	lines    []string
	blocked  chan struct{} // if not nil, writes wait until it is closed
	servers  map[string]float64
	revision int64
}

// newWatchReader returns a reader that doesn't block.
func newWatchReader() *watchReader { return &watchReader{servers: map[string]float64{}} }

func (r *watchReader) Header() http.Header { return http.Header{} }

func (r *watchReader) WriteHeader(int) {}

func (r *watchReader) Flush() {}

func (r *watchReader) SetWriteDeadline(time.Time) error { return nil }

func (r *watchReader) Write(p []byte) (int, error) {
	r.mu.Lock()
	block := r.blocked
	r.mu.Unlock()
	if block != nil {
		<-block
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, string(p))
	var l endpoints.List
	if len(p) > 1 && json.Unmarshal(p, &l) == nil {
		if l.Full {
			clear(r.servers)
		}
		for _, h := range l.Endpoints {
			if r.servers[h.Name] = h.StartedMs; h.Health == endpoints.Removed {
				delete(r.servers, h.Name)
			}
		}
		r.revision = l.Seq
	}
	return len(p), nil
}

// count returns the number of lines that were written.
func (r *watchReader) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lines)
}

// Changes within a few milliseconds are one event, encoded once for all watches; an idle watch gets
// an empty line every two seconds; a reader between two versions misses nothing.
func TestWatchesShareEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := newFSMFixture(t)
		go st.broadcaster.run(ctx)
		st.register(t, "a", 1)
		time.Sleep(time.Second)
		readers := make([]*watchReader, 50)
		for i := range readers {
			readers[i] = newWatchReader()
			go st.broadcaster.watch(ctx, readers[i], 0, nil)
		}
		synctest.Wait()
		before := st.broadcaster.encodedCount
		for i := range 3 {
			st.register(t, "b", float64(i+1))
		}
		between := newWatchReader() // starts before the event, and has two of the three changes
		go st.broadcaster.watch(ctx, between, st.revision()-1, nil)
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
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
		cancel()
		synctest.Wait()
	})
}

// A reader that lags makes the broadcaster retain no more than its bound, then gets the full list
// and later events; the others don't wait for it.
func TestLaggingReaderGetsFullList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := newFSMFixture(t)
		go st.broadcaster.run(ctx)
		st.register(t, "a", 1)
		time.Sleep(time.Second)
		slow, fast := newWatchReader(), newWatchReader()
		go st.broadcaster.watch(ctx, slow, 0, nil)
		go st.broadcaster.watch(ctx, fast, 0, nil)
		synctest.Wait()
		slow.mu.Lock()
		slow.blocked = make(chan struct{})
		slow.mu.Unlock()
		for i := range 2 * maxListEvents {
			st.register(t, fmt.Sprint("s-", i), 1)
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		if fast.revision != st.revision() || len(st.broadcaster.events) > maxListEvents {
			t.Errorf("the fast reader is at %d of %d; %d events retained", fast.revision, st.revision(), len(st.broadcaster.events))
		}
		slow.mu.Lock()
		close(slow.blocked)
		slow.blocked = nil
		slow.mu.Unlock()
		synctest.Wait()
		if slow.revision != st.revision() || len(slow.servers) != 2*maxListEvents+1 || slow.count() > 10 || st.broadcaster.laggedCount != 1 {
			t.Errorf("the slow reader is at %d of %d with %d servers after %d lines, lagged %d", slow.revision, st.revision(), len(slow.servers), slow.count(), st.broadcaster.laggedCount)
		}
		st.register(t, "last", 1)
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if slow.servers["last"] != 1 {
			t.Error("the slow reader gets no later events")
		}
		st.broadcaster.endAll()
		synctest.Wait()
		cancel()
	})
}
