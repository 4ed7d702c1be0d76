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

// A client without services sends, byte for byte, what clients sent before there were any; one
// with services adds no more than the parameter.
func TestRequestsOnTheWire(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
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
		services    []string
		fetch, line string
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
		for _, path := range []string{c.fetch, c.line} {
			want := "GET " + path + " HTTP/1.1\r\nHost: " + addr + "\r\nUser-Agent: Go-http-client/1.1\r\nConnection: close\r\n\r\n"
			if got := <-raw; got != want {
				t.Errorf("sent %q, want %q", got, want)
			}
		}
	}
}

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
				t.Errorf("%.20q: subscribed to", c.services)
			}
		}
	}
}

// A change of the subscription ends the watch and begins the new one at once, at the same
// address, with the whole list of the new services; what is held stays until that comes, and
// nothing of it counts as a failure or against the budget.
func TestSubscriptionChangeRestartsWatchAtSameAddress(t *testing.T) {
	hosts := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b"), readyEndpoint("c1", "c")}
	runScopedReader(t, 3, []string{"a", "b"}, hosts, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		if got := r.endpointNames(); got != "a1 b1" {
			t.Fatalf("holds %q", got)
		}
		began := time.Now()
		want := []string{order[0] + "?follow=1&since=0&service=a&service=b"}
		for i := range 20 { // more often than the budget has calls
			services := []string{"b", "c"}
			if i%2 == 1 {
				services = []string{"a"}
			}
			f.mu.Lock() // the answer can't come yet
			r.reconfigure(t, order, services)
			if got := r.endpointNames(); i == 0 && got != "a1 b1" {
				t.Fatalf("holds %q before the new list came", got)
			}
			f.mu.Unlock()
			synctest.Wait()
			if got, want := r.endpointNames(), []string{"b1 c1", "a1"}[i%2]; got != want {
				t.Fatalf("holds %q, want %q", got, want)
			}
			want = append(want, order[0]+"?follow=1&since=0&service="+strings.Join(services, "&service="))
		}
		if got := f.requests(); !slices.Equal(got, want) || time.Since(began) > 0 || r.client.BudgetExhausted() > 0 || r.failedWatches > 0 {
			t.Errorf("asked %q after %v, held %d, ended %d", got, time.Since(began), r.client.BudgetExhausted(), r.failedWatches)
		}
		if p := r.client.selector.candidates[0]; len(r.failedAddresses) > 0 || p.consecutiveFailures > 0 || p.avoidUntil > 0 || p.busyUntil > 0 || r.client.selector.budget.spent > 0 {
			t.Errorf("the change counts against %+v", p)
		}
		// The next call of this subscription goes on from its version.
		close(f.servers[order[0]].closeWatches)
		time.Sleep(time.Second)
		synctest.Wait()
		if got := f.requests(); got[len(got)-1] != order[1]+"?follow=1&since=103&service=a" {
			t.Errorf("asked %q", got[len(got)-1])
		}
		f.change(func(s *fakeList) { s.set(readyEndpoint("a2", "a"), false) })
		synctest.Wait()
		if got := r.endpointNames(); got != "a1 a2" || r.lists[len(r.lists)-1].Full {
			t.Errorf("holds %q, by %+v", got, r.lists[len(r.lists)-1])
		}
		// The reader stays where it is, also when another address is its first choice again.
		time.Sleep(time.Minute)
		f.mu.Lock()
		f.servers[order[0]].closeWatches = make(chan struct{})
		f.mu.Unlock()
		r.reconfigure(t, order, []string{"b"})
		synctest.Wait()
		if got := f.requests(); got[len(got)-1] != order[1]+"?follow=1&since=0&service=b" || r.endpointNames() != "b1" {
			t.Errorf("asked %q, holds %q", got[len(got)-1], r.endpointNames())
		}
	})
}

// The subscription changes with the addresses, while the watch stands, is refused everywhere, or
// is on its way from one address to the other.
func TestSubscriptionChangeDuringAddressChange(t *testing.T) {
	hosts := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b")}
	b := "?follow=1&since=0&service=b"
	t.Run("address taken away", func(t *testing.T) {
		runScopedReader(t, 3, []string{"a"}, hosts, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
			began := time.Now()
			r.reconfigure(t, order[1:], []string{"b"})
			synctest.Wait()
			if got := f.requests(); len(got) != 2 || got[1] != order[1]+b || time.Since(began) > 0 || r.endpointNames() != "b1" {
				t.Errorf("asked %q, holds %q", got, r.endpointNames())
			}
		})
	})
	t.Run("the only address replaced", func(t *testing.T) {
		runScopedReader(t, 2, []string{"a"}, hosts, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
			r.reconfigure(t, order[:1], []string{"a"})
			synctest.Wait()
			began := time.Now()
			r.reconfigure(t, order[1:], []string{"b"})
			synctest.Wait()
			if got := f.requests(); got[len(got)-1] != order[1]+b || time.Since(began) > 0 || r.endpointNames() != "b1" || r.failedWatches > 0 {
				t.Errorf("asked %q, holds %q", got, r.endpointNames())
			}
		})
	})
	t.Run("ended in order at the same time", func(t *testing.T) {
		runScopedReader(t, 3, []string{"a"}, hosts, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
			close(f.servers[order[0]].closeWatches)
			r.reconfigure(t, order, []string{"b"})
			time.Sleep(time.Second)
			synctest.Wait()
			if got := f.requests(); got[len(got)-1] != order[1]+b && got[len(got)-1] != order[1]+"?follow=1&since=102&service=b" || r.endpointNames() != "b1" {
				t.Errorf("asked %q, holds %q", got, r.endpointNames())
			}
		})
	})
	t.Run("refused everywhere", func(t *testing.T) {
		runScopedReader(t, 2, []string{"a"}, hosts, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
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
				t.Errorf("holds %q with nobody to ask", got)
			}
			f.mu.Lock()
			for _, s := range f.servers {
				s.refusesConnections = false
			}
			f.mu.Unlock()
			time.Sleep(time.Minute)
			synctest.Wait()
			if got := r.endpointNames(); got != "b1" {
				t.Errorf("holds %q", got)
			}
		})
	})
}

// A line of the old services that is already read when the subscription changes is dropped.
func TestListOfFormerSubscriptionIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		line := func(seq int) string {
			return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"a%d","dial":"127.0.0.1:9","health":"ready","service":"a"}]}`+"\n", seq, seq)
		}
		client := NewClient(ClientConfig{Addresses: testAddresses(1), Services: []string{"a"},
			Transport: scriptedTransport{[]string{line(6) + line(7)}, time.Second}})
		var heard []List
		err := client.Watch(t.Context(), 5, func(l List) {
			if heard = append(heard, l); len(heard) == 1 {
				if _, err := client.Subscribe([]string{"b"}, l.Seq); err != nil {
					t.Error(err)
				}
			}
		})
		synctest.Wait()
		if !errors.Is(err, errSilenceTimeout) {
			t.Errorf("ended with %v", err)
		}
		// The transport writes both lines to the new watch, too: those are its own.
		if len(heard) != 3 || heard[0].Subscription != 0 || heard[1].Subscription != 1 || heard[1].Seq != 6 {
			t.Errorf("heard %+v", heard)
		}
	})
}

// A fetch whose services change under way asks again for the new ones, at once.
func TestFetchRepeatsAfterSubscriptionChange(t *testing.T) {
	runScopedReader(t, 1, []string{"a"}, []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b")}, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		once := true
		client := NewClient(ClientConfig{Addresses: order, Services: []string{"a"}})
		client.httpClient.Transport = roundTripFunc(func(req *http.Request) (*http.Response, error) {
			resp, err := f.RoundTrip(req)
			if once {
				once = false
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

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// The version never goes back over a change of the subscription: a steward whose list is older
// is left, one of the same version is taken.
func TestVersionNeverDecreasesAcrossSubscriptions(t *testing.T) {
	hosts := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b")}
	runScopedReader(t, 2, []string{"a"}, hosts, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		f.mu.Lock()
		f.servers[order[0]].versionLag = 1
		f.mu.Unlock()
		r.reconfigure(t, order, []string{"b"})
		time.Sleep(time.Second)
		synctest.Wait()
		want := []string{order[0] + "?follow=1&since=0&service=a", order[0] + "?follow=1&since=0&service=b",
			order[1] + "?follow=1&since=102&service=b", order[1] + "?follow=1&since=0&service=b"}
		// The second address has the reader's version: it answers with changes, which are no base,
		// and is asked for the whole list at once.
		if got := f.requests(); !slices.Equal(got, want) || r.endpointNames() != "b1" || r.seq != 102 || r.failedWatches > 0 {
			t.Errorf("asked %q, holds %q of version %d", got, r.endpointNames(), r.seq)
		}
		if !slices.Equal(r.failedAddresses, order[:1]) {
			t.Errorf("left %q", r.failedAddresses)
		}
		for _, l := range r.lists {
			if l.Seq != 102 || !l.Scoped {
				t.Errorf("took %+v", l)
			}
		}
	})
}

// What the reader knows by another way than the watch counts as its version too.
func TestSubscribeVersionIsLowerBound(t *testing.T) {
	runScopedReader(t, 1, []string{"a"}, []Endpoint{readyEndpoint("a1", "a")}, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		if _, err := r.client.Subscribe([]string{"b"}, 500); err != nil {
			t.Fatal(err)
		}
		r.number = 1
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(r.lists) != 1 || r.seq != 101 {
			t.Errorf("took %+v", r.lists)
		}
		if _, err := r.client.Fetch(t.Context(), 0); !errors.Is(err, errStaleList) {
			t.Errorf("fetched: %v", err)
		}
	})
}

// A reader that wants a whole list and knows a later version than the list service ever had says
// so, which makes the service raise its own; else the reader would take no list any more.
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
			t.Errorf("asked %q, has version %d and holds %q", got, r.seq, r.endpointNames())
		}
	})
}

// Changes in place of the whole list that was asked for are no list.
func TestChangesInPlaceOfFullListAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientConfig{Addresses: testAddresses(1), Services: []string{"a"},
			Transport: scriptedTransport{[]string{`{"seq":6,"whole":false,"hosts":[]}` + "\n"}, time.Second}})
		err := client.Watch(t.Context(), 5, func(l List) { t.Errorf("heard %+v", l) })
		if !errors.Is(err, errFullListExpected) {
			t.Errorf("ended with %v", err)
		}
		synctest.Wait()
	})
}

// A steward that doesn't know services sends all servers without their services: the reader keeps
// those that it holds, takes no other, follows their changes, and doesn't leave or avoid the
// address for it. From there it asks any steward for a whole list.
func TestUnscopedServerBesideScopedServer(t *testing.T) {
	hosts := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("a2", "a"), readyEndpoint("b1", "b"), readyEndpoint("d1", "")}
	runScopedReader(t, 2, []string{"a"}, hosts, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		f.mu.Lock()
		f.servers[order[1]].ignoresServices = true
		f.mu.Unlock()
		close(f.servers[order[0]].closeWatches)
		time.Sleep(time.Second)
		synctest.Wait()
		if got := f.requests(); len(got) != 2 || got[1] != order[1]+"?follow=1&since=104&service=a" {
			t.Fatalf("asked %q", got)
		}
		if got := r.endpointNames(); got != "a1 a2" {
			t.Errorf("holds %q", got)
		}
		f.change(func(s *fakeList) {
			s.remove("a1")
			s.set(readyEndpoint("a3", "a"), false) // nothing tells that this is one of ours
			s.set(readyEndpoint("b1", "b"), false)
			h := readyEndpoint("a2", "a")
			h.Health = Draining
			s.set(h, false)
		})
		time.Sleep(time.Minute)
		synctest.Wait()
		if got := r.endpointNames(); got != "a2" || r.endpoints["a2"].Health != Draining || r.endpoints["a2"].Service != "a" {
			t.Errorf("holds %q: %+v", got, r.endpoints)
		}
		if got := f.requests(); len(got) != 2 || r.client.selector.candidates[1].consecutiveFailures > 0 || r.client.selector.candidates[1].avoidUntil > 0 {
			t.Errorf("left the old steward: %q", got)
		}
		f.mu.Lock()
		f.servers[order[0]].closeWatches = make(chan struct{})
		close(f.servers[order[1]].closeWatches)
		f.mu.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		if got := f.requests(); len(got) != 3 || got[2] != order[0]+"?follow=1&since=0&service=a" || r.endpointNames() != "a2 a3" {
			t.Errorf("asked %q, holds %q", got, r.endpointNames())
		}
		if len(r.events) > 0 {
			t.Errorf("events %+v", r.events)
		}
	})
}

// A reader of the default service takes from an old steward all that it doesn't hold otherwise.
func TestUnscopedServerAlone(t *testing.T) {
	hosts := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("d1", "")}
	runScopedReader(t, 1, []string{"", "a"}, nil, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		f.mu.Lock()
		f.servers[order[0]].ignoresServices = true
		f.mu.Unlock()
		r.reconfigure(t, order, []string{"", "a"})
		f.change(func(s *fakeList) {
			for _, h := range hosts {
				s.set(h, false)
			}
		})
		time.Sleep(time.Second)
		synctest.Wait()
		if got := r.endpointNames(); got != "a1 d1" || r.endpoints["a1"].Service != "" {
			t.Errorf("holds %q: %+v", got, r.endpoints)
		}
	})
}

// A reader that gives up its services asks for the list of all, whole at first.
func TestSubscribeToAllServices(t *testing.T) {
	hosts := []Endpoint{readyEndpoint("a1", "a"), readyEndpoint("b1", "b")}
	runScopedReader(t, 2, []string{"a"}, hosts, func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string) {
		if _, err := r.client.Subscribe(nil, r.seq); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		close(f.servers[order[0]].closeWatches)
		time.Sleep(time.Second)
		synctest.Wait()
		want := []string{order[0] + "?follow=1&since=0&service=a", order[0] + "?follow=1&since=0", order[1] + "?follow=1&since=102"}
		if got := f.requests(); !slices.Equal(got, want) {
			t.Errorf("asked %q", got)
		}
	})
}

// A list of more bytes than a reader takes is refused with an error that names the bound; one of
// the bound's length is taken. The target's 39,000 servers are above it, a service of 5,000 isn't.
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
		"the bound":          {padded(maxListBytes), false},
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
				t.Errorf("the error doesn't name the bound: %v", err)
			}
			heard := 0
			err = client.Watch(context.Background(), 0, func(List) { heard++ })
			if errors.Is(err, errListTooLong) != c.long || (heard == 0) != c.long {
				t.Errorf("watched %d: %v", heard, err)
			}
		})
	}
}
