package endpoints

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A client without services sends, byte for byte, what clients sent before there were services. A client
// with services adds nothing but the parameter.
func TestRequestsOnTheWire(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	raw := make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var text strings.Builder
			for lines := bufio.NewReader(conn); !strings.HasSuffix(text.String(), "\r\n\r\n"); {
				line, err := lines.ReadString('\n')
				if err != nil {
					break
				}
				text.WriteString(line)
			}
			raw <- text.String()
			body := `{"seq":7,"whole":true,"hosts":[]}` + "\n"
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			conn.Close()
		}
	}()
	addr := ln.Addr().String()
	for _, c := range []struct {
		services     []string
		fetch, watch string
	}{
		{nil, "/v1/endpoints", "/v1/endpoints?follow=1&since=5"},
		{[]string{"b", "", "a&c=+"}, "/v1/endpoints?service=&service=a%26c%3D%2B&service=b",
			"/v1/endpoints?follow=1&since=0&service=&service=a%26c%3D%2B&service=b"},
	} {
		client := NewClient(ClientConfig{Addresses: []string{addr}, Services: c.services})
		if _, err := client.Fetch(t.Context(), 5); err != nil {
			t.Fatal(err)
		}
		if err := client.Watch(t.Context(), 5, func(List) {}); !errors.Is(err, errWatchClosed) {
			t.Fatal(err)
		}
		for _, path := range []string{c.fetch, c.watch} {
			want := "GET " + path + " HTTP/1.1\r\nHost: " + addr + "\r\nUser-Agent: Go-http-client/1.1\r\nConnection: close\r\n\r\n"
			if got := <-raw; got != want {
				t.Errorf("sent %q, want %q", got, want)
			}
		}
	}
}

// CheckServices and Client.Subscribe reject the same subscriptions.
func TestCheckServices(t *testing.T) {
	many := []string{}
	for i := range MaxServices {
		many = append(many, fmt.Sprint("s", i))
	}
	for _, c := range []struct {
		services []string
		want     string
	}{
		{many, ""},
		{[]string{"", "a"}, ""},
		{[]string{}, "services: none named"},
		{append(many, "one more"), "services: 257 of at most 256"},
		{[]string{"a", "b", "a"}, `services[2]: named twice: "a"`},
		{[]string{"a", "b/c"}, `services[1]: must be at most 64 printable characters without spaces or slashes: "b/c"`},
		{[]string{strings.Repeat("x", MaxLabel+1)}, "services[0]: must be at most 64"},
	} {
		err := CheckServices(c.services)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%.20q: %v, want %q", c.services, err, c.want)
		}
		if err != nil {
			client := NewClient(ClientConfig{Addresses: testAddresses(1)})
			if _, err := client.Subscribe(c.services, 1); err == nil || client.subscription.number != 0 {
				t.Errorf("%.20q: Subscribe accepted them", c.services)
			}
		}
	}
}

// A change of the subscription ends the watch and begins a new one at once, at the same address, with the
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
		for i := range 20 { // more calls than the budget has
			services := []string{"b", "c"}
			if i%2 == 1 {
				services = []string{"a"}
			}
			f.mu.Lock() // holds the response back
			r.reconfigure(t, order, services)
			if got := r.endpointNames(); i == 0 && got != "a1 b1" {
				t.Fatalf("endpoints %q before the new list", got)
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
			t.Errorf("the change counts against %+v", first)
		}
		// The next watch of this subscription continues from its version.
		close(f.servers[order[0]].closeWatches)
		time.Sleep(time.Second)
		synctest.Wait()
		if got := f.requests(); got[len(got)-1] != order[1]+"?follow=1&since=103&service=a" {
			t.Errorf("requested %q", got[len(got)-1])
		}
		f.update(func(list *fakeList) { list.set(readyEndpoint("a2", "a"), false) })
		synctest.Wait()
		if got := r.endpointNames(); got != "a1 a2" || r.lists[len(r.lists)-1].Full {
			t.Errorf("endpoints %q, by %+v", got, r.lists[len(r.lists)-1])
		}
		// The reader stays at its address, even when another one is its first choice again.
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

// The subscription changes while the watch loses its address, ends, or finds no server.
func TestSubscriptionChangeDuringAddressChange(t *testing.T) {
	for _, c := range []struct {
		name      string
		addresses int
		test      func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string)
	}{
		{"address removed", 3, subscribeWithAddressRemoved},
		{"the only address replaced", 2, subscribeWithOnlyAddressReplaced},
		{"ended in order at the same time", 3, subscribeWhileWatchIsClosed},
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

// A list of the previous services that is already read when the subscription changes is dropped.
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
		// The transport writes both lists to the new watch, too: those belong to it.
		if len(received) != 3 || received[0].Subscription != 0 || received[1].Subscription != 1 || received[1].Seq != 6 {
			t.Errorf("received %+v", received)
		}
	})
}

// A fetch whose services change while it runs is repeated at once for the new ones.
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
			t.Errorf("fetched %+v: %v", l, err)
		}
	})
}

// roundTripFunc is a transport that is a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// The version never decreases over a change of the subscription: the reader leaves a server with an older
// list, and accepts a list of the same version.
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
		// reader has no list of the service b that these would change, so the client requests the full
		// list from the same address at once.
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

// subscribeFromVersion changes the services as of a version. From then on the reader accepts the lists of
// the new subscription, unless they are older than its own version, and drops those of the first one.
func subscribeFromVersion(t *testing.T, r *fakeReader, services []string, version int64) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	number, err := r.client.Subscribe(services, version)
	if err != nil || number != 1 {
		t.Fatalf("the first change of the subscription has the number %d: %v", number, err)
	}
	r.number = number
}

// The version that a reader passes to Subscribe bounds the lists that follow, even if it is not from the
// watch.
func TestSubscribeVersionIsLowerBound(t *testing.T) {
	runScopedReader(t, 1, []string{"a"}, []Endpoint{readyEndpoint("a1", "a")}, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		subscribeFromVersion(t, r, []string{"b"}, 500)
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(r.lists) != 1 || r.seq != 101 {
			t.Errorf("accepted %+v", r.lists)
		}
		if _, err := r.client.Fetch(t.Context(), 0); !errors.Is(err, errStaleList) {
			t.Errorf("fetched: %v", err)
		}
	})
}

// A reader that needs a full list sends its version if that is later than any of the list service, which
// makes the service raise its own. Otherwise the reader would never accept a list again.
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

// Changes in place of the requested full list end the watch.
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

// A server that doesn't know services sends all endpoints without their services: the reader keeps the
// ones that it has, accepts no other, follows their changes, and doesn't leave or avoid the address for
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
		f.update(func(s *fakeList) {
			s.remove("a1")
			s.set(readyEndpoint("a3", "a"), false) // nothing says that the service is a
			s.set(readyEndpoint("b1", "b"), false)
			e := readyEndpoint("a2", "a")
			e.Health = Draining
			s.set(e, false)
		})
		time.Sleep(time.Minute)
		synctest.Wait()
		if got := r.endpointNames(); got != "a2" || r.endpoints["a2"].Health != Draining || r.endpoints["a2"].Service != "a" {
			t.Errorf("endpoints %q: %+v", got, r.endpoints)
		}
		if got := f.requests(); len(got) != 2 || r.client.selector.candidates[1].consecutiveFailures > 0 || r.client.selector.candidates[1].avoidUntil > 0 {
			t.Errorf("left the server without services: %q", got)
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

// A reader of the default service accepts from a server that doesn't know services all endpoints that it
// doesn't have under another service.
func TestUnscopedServerAlone(t *testing.T) {
	endpoints := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("d1", "")}
	runScopedReader(t, 1, []string{"", "a"}, nil, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		f.mu.Lock()
		f.servers[order[0]].ignoresServices = true
		f.mu.Unlock()
		r.reconfigure(t, order, []string{"", "a"})
		f.update(func(s *fakeList) {
			for _, e := range endpoints {
				s.set(e, false)
			}
		})
		time.Sleep(time.Second)
		synctest.Wait()
		if got := r.endpointNames(); got != "a1 d1" || r.endpoints["a1"].Service != "" {
			t.Errorf("endpoints %q: %+v", got, r.endpoints)
		}
	})
}

// A reader that gives up its services requests the list of all services, beginning with the full one.
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

// A list of more than maxListBytes is rejected with an error that names the limit; a list of exactly that
// length is accepted. A list of 39,000 endpoints is above the limit, a service of 5,000 isn't.
func TestListSizeLimit(t *testing.T) {
	listOf := func(n int) []byte {
		l := List{Seq: 1, Full: true}
		for i := range n {
			l.Endpoints = append(l.Endpoints, Endpoint{Name: fmt.Sprintf("server-%05d.zone-17", i), Dial: "127.0.0.1:54321", Site: "zone-17",
				Class: "kind-3", Block: i, Health: Ready, Weight: 1, StartedMs: 1764650000000 + float64(i), Service: "service-0815"})
		}
		text, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	padded := func(n int) []byte {
		text := listOf(10)
		return append(append(text[:len(text)-1], strings.Repeat(" ", n-len(text))...), '}')
	}
	for name, c := range map[string]struct {
		text []byte
		long bool
	}{
		"a service of 5,000": {listOf(5000), false},
		"39,000":             {listOf(39000), true},
		"the limit":          {padded(maxListBytes), false},
		"one byte more":      {padded(maxListBytes + 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(ClientConfig{Addresses: testAddresses(1), Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
				text := string(c.text)
				if r.URL.RawQuery != "" {
					text += "\n"
				}
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text)), Request: r}, nil
			})})
			_, err := client.Fetch(t.Context(), 0)
			if errors.Is(err, errListTooLong) != c.long || !c.long && err != nil {
				t.Errorf("fetched: %v", err)
			}
			if c.long && !strings.Contains(err.Error(), "4194304") {
				t.Errorf("the error doesn't name the limit: %v", err)
			}
			lists := 0
			err = client.Watch(context.Background(), 0, func(List) { lists++ })
			if errors.Is(err, errListTooLong) != c.long || (lists == 0) != c.long {
				t.Errorf("watched %d lists: %v", lists, err)
			}
		})
	}
}
