package endpoints

import (
	"testing"
	"testing/synctest"
	"time"
)

// A server that doesn't support services sends all endpoints without their services. The reader keeps and
// updates the endpoints that it has, accepts no others, and neither leaves nor avoids the address because of
// it. The next watch, at any server, begins with a full list.
func TestUnscopedServerBesideScopedServer(t *testing.T) {
	endpoints := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("a2", "a"), readyEndpoint("b1", "b"), readyEndpoint("d1", "")}
	runScopedReader(t, 2, []string{"a"}, endpoints, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		f.mu.Lock()
		f.servers[order[1]].ignoresServices = true
		f.mu.Unlock()
		close(f.servers[order[0]].closeWatches)
		time.Sleep(time.Second)
		synctest.Wait()
		if got := f.requests(); len(got) != 2 || got[1] != order[1]+"?follow=1&since=104&service=a" {
			t.Fatalf("requested %q", got)
		}
		if got := r.endpointNames(); got != "a1 a2" {
			t.Errorf("endpoints %q", got)
		}
		f.update(func(list *fakeList) {
			list.remove("a1")
			list.set(readyEndpoint("a3", "a"), false) // the server does not send the service a
			list.set(readyEndpoint("b1", "b"), false)
			e := readyEndpoint("a2", "a")
			e.Health = Draining
			list.set(e, false)
		})
		time.Sleep(time.Minute)
		synctest.Wait()
		if got := r.endpointNames(); got != "a2" || r.endpoints["a2"].Health != Draining || r.endpoints["a2"].Service != "a" {
			t.Errorf("endpoints %q: %+v", got, r.endpoints)
		}
		if got := f.requests(); len(got) != 2 || r.client.selector.candidates[1].consecutiveFailures > 0 || r.client.selector.candidates[1].avoidUntil > 0 {
			t.Errorf("left the server that does not support services: %q", got)
		}
		f.mu.Lock()
		f.servers[order[0]].closeWatches = make(chan struct{})
		close(f.servers[order[1]].closeWatches)
		f.mu.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		if got := f.requests(); len(got) != 3 || got[2] != order[0]+"?follow=1&since=0&service=a" || r.endpointNames() != "a2 a3" {
			t.Errorf("requested %q, endpoints %q", got, r.endpointNames())
		}
		if len(r.events) > 0 {
			t.Errorf("events %+v", r.events)
		}
	})
}

// From a server that doesn't support services, a reader of the default service accepts all endpoints that it
// doesn't have under another service.
func TestUnscopedServerAlone(t *testing.T) {
	endpoints := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("d1", "")}
	runScopedReader(t, 1, []string{"", "a"}, nil, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		f.mu.Lock()
		f.servers[order[0]].ignoresServices = true
		f.mu.Unlock()
		r.reconfigure(t, order, []string{"", "a"})
		f.update(func(list *fakeList) {
			for _, e := range endpoints {
				list.set(e, false)
			}
		})
		time.Sleep(time.Second)
		synctest.Wait()
		if got := r.endpointNames(); got != "a1 d1" || r.endpoints["a1"].Service != "" {
			t.Errorf("endpoints %q: %+v", got, r.endpoints)
		}
	})
}
