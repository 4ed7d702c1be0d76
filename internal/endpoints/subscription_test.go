package endpoints

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A change of the subscription ends the watch and immediately begins a new one at the same address, with the
// full list of the new services. The reader's endpoints stay until that list arrives. The change counts
// neither as a failure nor against the budget.
func TestSubscriptionChangeRestartsWatchAtSameAddress(t *testing.T) {
	endpoints := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b"), readyEndpoint("c1", "c")}
	runScopedReader(t, 3, []string{"a", "b"}, endpoints, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		if got := r.endpointNames(); got != "a1 b1" {
			t.Fatalf("endpoints %q", got)
		}
		began := time.Now()
		want := []string{order[0] + "?follow=1&since=0&service=a&service=b"}
		for i := range 20 { // more calls than the budget allows
			services := []string{"b", "c"}
			if i%2 == 1 {
				services = []string{"a"}
			}
			f.mu.Lock() // delays the response
			r.reconfigure(t, order, services)
			if got := r.endpointNames(); i == 0 && got != "a1 b1" {
				t.Fatalf("endpoints %q before the new list arrived", got)
			}
			f.mu.Unlock()
			synctest.Wait()
			if got, want := r.endpointNames(), []string{"b1 c1", "a1"}[i%2]; got != want {
				t.Fatalf("endpoints %q, want %q", got, want)
			}
			want = append(want, order[0]+"?follow=1&since=0&service="+strings.Join(services, "&service="))
		}
		if got := f.requests(); !slices.Equal(got, want) || time.Since(began) > 0 || r.client.BudgetExhausted() > 0 || r.failedWatches > 0 {
			t.Errorf("requested %q after %v, %d rounds ended by the budget, %d watches failed", got, time.Since(began), r.client.BudgetExhausted(), r.failedWatches)
		}
		first, spent := r.client.selector.candidates[0], r.client.selector.budget.spent
		if len(r.failedAddresses) > 0 || first.consecutiveFailures > 0 || first.avoidUntil > 0 || first.busyUntil > 0 || spent > 0 {
			t.Errorf("the change counts against the address: %+v", first)
		}
		// The next watch of this subscription continues from the version of the list.
		close(f.servers[order[0]].closeWatches)
		time.Sleep(time.Second)
		synctest.Wait()
		if got := f.requests(); got[len(got)-1] != order[1]+"?follow=1&since=103&service=a" {
			t.Errorf("requested %q", got[len(got)-1])
		}
		f.update(func(list *fakeList) { list.set(readyEndpoint("a2", "a"), false) })
		synctest.Wait()
		if got := r.endpointNames(); got != "a1 a2" || r.lists[len(r.lists)-1].Full {
			t.Errorf("endpoints %q after the list %+v", got, r.lists[len(r.lists)-1])
		}
		// The reader stays at its address, even if it could use its preferred address again.
		time.Sleep(time.Minute)
		f.mu.Lock()
		f.servers[order[0]].closeWatches = make(chan struct{})
		f.mu.Unlock()
		r.reconfigure(t, order, []string{"b"})
		synctest.Wait()
		if got := f.requests(); got[len(got)-1] != order[1]+"?follow=1&since=0&service=b" || r.endpointNames() != "b1" {
			t.Errorf("requested %q, endpoints %q", got[len(got)-1], r.endpointNames())
		}
	})
}

// The subscription changes while the address of the watch is removed, the watch ends, or all servers refuse
// connections.
func TestSubscriptionChangeDuringAddressChange(t *testing.T) {
	for _, c := range []struct {
		name      string
		addresses int
		test      func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string)
	}{
		{"address removed", 3, subscribeWithAddressRemoved},
		{"the only address replaced", 2, subscribeWithOnlyAddressReplaced},
		{"closed at the same time", 3, subscribeWhileWatchIsClosed},
		{"refused everywhere", 2, subscribeWhileRefusedEverywhere},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoints := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b")}
			runScopedReader(t, c.addresses, []string{"a"}, endpoints, c.test)
		})
	}
}

// watchOfB is the query of a watch that begins with the full list of the service b.
const watchOfB = "?follow=1&since=0&service=b"

func subscribeWithAddressRemoved(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
	began := time.Now()
	r.reconfigure(t, order[1:], []string{"b"})
	synctest.Wait()
	if got := f.requests(); len(got) != 2 || got[1] != order[1]+watchOfB || time.Since(began) > 0 || r.endpointNames() != "b1" {
		t.Errorf("requested %q, endpoints %q", got, r.endpointNames())
	}
}

func subscribeWithOnlyAddressReplaced(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
	r.reconfigure(t, order[:1], []string{"a"})
	synctest.Wait()
	began := time.Now()
	r.reconfigure(t, order[1:], []string{"b"})
	synctest.Wait()
	if got := f.requests(); got[len(got)-1] != order[1]+watchOfB || time.Since(began) > 0 || r.endpointNames() != "b1" || r.failedWatches > 0 {
		t.Errorf("requested %q, endpoints %q", got, r.endpointNames())
	}
}

func subscribeWhileWatchIsClosed(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
	close(f.servers[order[0]].closeWatches)
	r.reconfigure(t, order, []string{"b"})
	time.Sleep(time.Second)
	synctest.Wait()
	requests := f.requests()
	last := requests[len(requests)-1]
	if last != order[1]+watchOfB && last != order[1]+"?follow=1&since=102&service=b" || r.endpointNames() != "b1" {
		t.Errorf("requested %q, endpoints %q", requests, r.endpointNames())
	}
}

func subscribeWhileRefusedEverywhere(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
	f.mu.Lock()
	for _, s := range f.servers {
		s.refusesConnections = true
		close(s.closeWatches)
		s.closeWatches = make(chan struct{})
	}
	f.mu.Unlock()
	time.Sleep(10 * time.Second)
	r.reconfigure(t, order, []string{"b"})
	time.Sleep(10 * time.Second)
	if got := r.endpointNames(); got != "a1" {
		t.Errorf("endpoints %q without a server", got)
	}
	f.mu.Lock()
	for _, s := range f.servers {
		s.refusesConnections = false
	}
	f.mu.Unlock()
	time.Sleep(time.Minute)
	synctest.Wait()
	if got := r.endpointNames(); got != "b1" {
		t.Errorf("endpoints %q", got)
	}
}

// A list of the previous services that was already read when the subscription changes is dropped.
func TestListOfPreviousSubscriptionIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listText := func(seq int) string {
			return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"a%d","dial":"127.0.0.1:9","health":"ready","service":"a"}]}`+"\n", seq, seq)
		}
		client := NewClient(ClientConfig{Addresses: testAddresses(1), Services: []string{"a"},
			Transport: scriptedTransport{[]string{listText(6) + listText(7)}, time.Second}})
		var received []List
		err := client.Watch(t.Context(), 5, func(l List) {
			if received = append(received, l); len(received) == 1 {
				if _, err := client.Subscribe([]string{"b"}, l.Seq); err != nil {
					t.Error(err)
				}
			}
		})
		synctest.Wait()
		if !errors.Is(err, errSilenceTimeout) {
			t.Errorf("ended with %v", err)
		}
		// The transport writes both lists to the new watch as well, where they belong to the new subscription.
		if len(received) != 3 || received[0].Subscription != 0 || received[1].Subscription != 1 || received[1].Seq != 6 {
			t.Errorf("received %+v", received)
		}
	})
}

// If the services change during a fetch, it is immediately repeated for the new services.
func TestFetchRepeatsAfterSubscriptionChange(t *testing.T) {
	runScopedReader(t, 1, []string{"a"}, []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b")}, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		first := true
		client := NewClient(ClientConfig{Addresses: order, Services: []string{"a"}})
		client.httpClient.Transport = roundTripFunc(func(req *http.Request) (*http.Response, error) {
			resp, err := f.RoundTrip(req)
			if first {
				first = false
				if _, err := client.Subscribe([]string{"b"}, 0); err != nil {
					t.Error(err)
				}
			}
			return resp, err
		})
		l, err := client.Fetch(t.Context(), 0)
		if err != nil || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "b1" || l.Subscription != 1 || !l.Scoped || client.selector.budget.spent > 0 {
			t.Errorf("Fetch returned %+v: %v", l, err)
		}
	})
}

// roundTripFunc is a function that implements http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A reader that changes its subscription to all services requests the list of all services, beginning with a
// full list.
func TestSubscribeToAllServices(t *testing.T) {
	endpoints := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b")}
	runScopedReader(t, 2, []string{"a"}, endpoints, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		if _, err := r.client.Subscribe(nil, r.seq); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		close(f.servers[order[0]].closeWatches)
		time.Sleep(time.Second)
		synctest.Wait()
		want := []string{order[0] + "?follow=1&since=0&service=a", order[0] + "?follow=1&since=0", order[1] + "?follow=1&since=102"}
		if got := f.requests(); !slices.Equal(got, want) {
			t.Errorf("requested %q", got)
		}
	})
}
