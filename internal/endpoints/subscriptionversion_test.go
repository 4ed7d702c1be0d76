package endpoints

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// The reader's version never decreases when the subscription changes: the reader fails over from a server
// with an older list, and accepts a list of the same version.
func TestVersionNeverDecreasesAcrossSubscriptions(t *testing.T) {
	endpoints := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b")}
	runScopedReader(t, 2, []string{"a"}, endpoints, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		f.mu.Lock()
		f.servers[order[0]].versionLag = 1
		f.mu.Unlock()
		r.reconfigure(t, order, []string{"b"})
		time.Sleep(time.Second)
		synctest.Wait()
		want := []string{order[0] + "?follow=1&since=0&service=a", order[0] + "?follow=1&since=0&service=b",
			order[1] + "?follow=1&since=102&service=b", order[1] + "?follow=1&since=0&service=b"}
		// The second address has the reader's version, 102, and responds with the changes since then. The
		// reader has no list of the service b to apply them to, so the client immediately requests the
		// full list from the same address.
		if got := f.requests(); !slices.Equal(got, want) || r.endpointNames() != "b1" || r.seq != 102 || r.failedWatches > 0 {
			t.Errorf("requested %q, endpoints %q of version %d", got, r.endpointNames(), r.seq)
		}
		if !slices.Equal(r.failedAddresses, order[:1]) {
			t.Errorf("failovers from %q", r.failedAddresses)
		}
		for _, l := range r.lists {
			if l.Seq != 102 || !l.Scoped {
				t.Errorf("accepted %+v", l)
			}
		}
	})
}

// subscribeFromVersion changes the services, with the given version as the reader's. From then on the
// reader accepts the lists of the new subscription, unless they are older than its own version, and drops
// those of the first one.
func subscribeFromVersion(t *testing.T, r *fakeReader, services []string, version int64) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	number, err := r.client.Subscribe(services, version)
	if err != nil || number != 1 {
		t.Fatalf("Subscribe returned the number %d, want 1: %v", number, err)
	}
	r.subscription = number
}

// Lists older than the version that a reader passes to Subscribe are rejected, even if that version is not
// from a list of the watch.
func TestSubscribeVersionIsLowerBound(t *testing.T) {
	runScopedReader(t, 1, []string{"a"}, []Endpoint{readyEndpoint("a1", "a")}, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		subscribeFromVersion(t, r, []string{"b"}, 500)
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(r.lists) != 1 || r.seq != 101 {
			t.Errorf("accepted %+v", r.lists)
		}
		if _, err := r.client.Fetch(t.Context(), 0); !errors.Is(err, errStaleList) {
			t.Errorf("Fetch returned %v, want errStaleList", err)
		}
	})
}

// A reader that needs a full list sends its version if that is later than the version of the list service,
// so that the service raises its own. Otherwise the reader would never accept a list again.
func TestReaderReportsLaterVersion(t *testing.T) {
	runScopedReader(t, 1, []string{"a"}, []Endpoint{readyEndpoint("a1", "a")}, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		f.mu.Lock()
		f.servers[order[0]].versionLag, f.servers[order[0]].raisesVersion = 50, true
		f.mu.Unlock()
		r.reconfigure(t, order, []string{"a", "b"})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		want := []string{"?follow=1&since=0&service=a", "?follow=1&since=0&service=a&service=b", "?follow=1&since=101&service=a&service=b"}
		got := f.requests()
		for i := range want {
			want[i] = order[0] + want[i]
		}
		if !slices.Equal(got, want) || r.seq != 102 || r.endpointNames() != "a1" {
			t.Errorf("requested %q, version %d, endpoints %q", got, r.seq, r.endpointNames())
		}
	})
}

// A watch ends if it receives changes instead of the requested full list.
func TestChangesInPlaceOfFullListAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientConfig{Addresses: testAddresses(1), Services: []string{"a"},
			Transport: scriptedTransport{[]string{`{"seq":6,"whole":false,"hosts":[]}` + "\n"}, time.Second}})
		err := client.Watch(t.Context(), 5, func(l List) { t.Errorf("received %+v", l) })
		if !errors.Is(err, errFullListExpected) {
			t.Errorf("ended with %v", err)
		}
		synctest.Wait()
	})
}
