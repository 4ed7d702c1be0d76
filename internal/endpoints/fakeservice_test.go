package endpoints

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeControlPlane is a client's transport that simulates a control plane with support for services. Its
// servers share one list.
type fakeControlPlane struct {
	mu      sync.Mutex
	list    fakeList
	servers map[string]*fakeServer
	calls   []string      // address and query, in order
	changed chan struct{} // closed, and replaced, by each change of the list
}

// fakeServer defines the behavior of one address.
type fakeServer struct {
	ignoresServices    bool  // like a server of a release without services
	versionLag         int64 // how far its versions are behind those of the list
	raisesVersion      bool  // raises its version when a reader sends a later one
	refusesConnections bool
	closeWatches       chan struct{} // closed to end the server's watches normally
}

// fakeList is a list with the history of its changes.
type fakeList struct {
	seq       int64
	endpoints []Endpoint
	history   []fakeChange
}

// fakeChange holds the entries of one change.
type fakeChange struct {
	seq       int64
	endpoints []Endpoint
}

func (l *fakeList) index(name string) int {
	return slices.IndexFunc(l.endpoints, func(e Endpoint) bool { return e.Name == name })
}

// set adds or replaces an endpoint. If that changes the endpoint's service, the change also holds a removal
// from the previous service, before or after the new entry.
func (l *fakeList) set(e Endpoint, removalLast bool) {
	change := []Endpoint{e}
	if i := l.index(e.Name); i < 0 {
		l.endpoints = append(l.endpoints, e)
	} else {
		if before := l.endpoints[i]; before.Service != e.Service {
			before.Health = Removed
			change = append(change, before)
			if !removalLast {
				slices.Reverse(change)
			}
		}
		l.endpoints[i] = e
	}
	l.seq++
	l.history = append(l.history, fakeChange{l.seq, change})
}

// remove removes an endpoint from the list.
func (l *fakeList) remove(name string) {
	i := l.index(name)
	e := l.endpoints[i]
	e.Health = Removed
	l.endpoints = slices.Delete(l.endpoints, i, i+1)
	l.seq++
	l.history = append(l.history, fakeChange{l.seq, []Endpoint{e}})
}

// response returns the list that a reader with the version since receives. If services is nil, it holds
// the endpoints of all services, with the service omitted.
func (l *fakeList) response(since int64, services []string) List {
	list := List{Seq: l.seq, Full: since <= 0, Endpoints: []Endpoint{}}
	add := func(e Endpoint) {
		if services != nil && !slices.Contains(services, e.Service) {
			return
		}
		if services == nil {
			e.Service = ""
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	if list.Full {
		for _, e := range l.endpoints {
			add(e)
		}
		return list
	}
	for _, c := range l.history {
		for _, e := range c.endpoints {
			movedAway := services == nil && e.Health == Removed && len(c.endpoints) > 1
			if c.seq > since && !movedAway {
				add(e)
			}
		}
	}
	return list
}

// update changes the list and notifies the watches.
func (f *fakeControlPlane) update(change func(list *fakeList)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.list)
	close(f.changed)
	f.changed = make(chan struct{})
}

// requests returns the calls so far, as address and query.
func (f *fakeControlPlane) requests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

func (f *fakeControlPlane) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, r.URL.Host+"?"+r.URL.RawQuery)
	s := f.servers[r.URL.Host]
	if s == nil || s.refusesConnections {
		return nil, errors.New("connection refused")
	}
	q := r.URL.Query()
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: r}
	services := q[ServiceParam]
	if s.ignoresServices {
		services = nil
	}
	if services != nil {
		resp.Header.Set(ScopeHeader, strconv.Itoa(len(services)))
	}
	since, _ := strconv.ParseInt(q.Get("since"), 10, 64)
	if q.Get("follow") == "" {
		text, _ := json.Marshal(f.list.response(0, services))
		resp.Body = io.NopCloser(strings.NewReader(string(text)))
		return resp, nil
	}
	if s.raisesVersion && since > f.list.seq-s.versionLag {
		f.list.seq, f.list.history, s.versionLag, since = since+1, nil, 0, 0
	}
	body, writer := io.Pipe()
	resp.Body = body
	go f.serve(r.Context(), s, writer, since, services)
	return resp, nil
}

// serve writes one watch: first the list or its changes, then each new change, with blank lines in between.
func (f *fakeControlPlane) serve(ctx context.Context, s *fakeServer, writer *io.PipeWriter, since int64, services []string) {
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		f.mu.Lock()
		l, changed, lag := f.list.response(since, services), f.changed, s.versionLag
		f.mu.Unlock()
		if l.Seq > since || first {
			since = l.Seq
			l.Seq -= lag
			text, _ := json.Marshal(l)
			_, _ = writer.Write(append(text, '\n'))
		} else {
			_, _ = writer.Write([]byte("\n"))
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-s.closeWatches:
			writer.Close()
			return
		case <-ctx.Done():
			writer.CloseWithError(ctx.Err())
			return
		}
	}
}

// fakeReader uses a Client and a ServiceTable as the agent does: it drops lists of other subscriptions and
// of older versions, and applies all others.
type fakeReader struct {
	client          *Client
	mu              sync.Mutex
	table           *ServiceTable
	subscription    uint64
	seq             int64
	endpoints       map[string]Endpoint
	events          []ServiceEvent
	lists           []List   // in the order of arrival
	failedWatches   int      // rounds of Watch that ended with an error
	failedAddresses []string // of failovers, in order
}

// onList is the reader's callback for a watch.
func (r *fakeReader) onList(l List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Subscription != r.subscription || l.Seq < r.seq {
		return
	}
	r.seq = l.Seq
	r.lists = append(r.lists, l)
	out, events := r.table.Apply(l)
	r.events = append(r.events, events...)
	consumeList(r.endpoints, &out)
}

// consumeList applies a list as a consumer does that has no notion of services.
func consumeList(endpoints map[string]Endpoint, l *List) {
	if l.Full {
		clear(endpoints)
	}
	for _, e := range l.Endpoints {
		if e.Health == Removed {
			delete(endpoints, e.Name)
		} else {
			endpoints[e.Name] = e
		}
	}
}

// reconfigure changes the addresses and the services, as a reload of the agent's configuration does.
func (r *fakeReader) reconfigure(t *testing.T, addrs, services []string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	number, err := r.client.Reconfigure(addrs, services, r.seq)
	if err != nil {
		t.Fatal(err)
	}
	r.subscription = number
	r.table.Subscribe(services)
}

// endpointNames returns the names of the reader's endpoints, sorted and separated by spaces.
func (r *fakeReader) endpointNames() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name := range r.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// runScopedReader runs a test in a synctest bubble, with a reader of the given services and a control plane
// of n servers that lists the given endpoints. The test receives the addresses in the reader's order.
func runScopedReader(t *testing.T, n int, services []string, endpoints []Endpoint, test func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fakeControlPlane{servers: map[string]*fakeServer{}, changed: make(chan struct{}), list: fakeList{seq: 100}}
		for _, e := range endpoints {
			f.list.set(e, false)
		}
		for _, addr := range testAddresses(n) {
			f.servers[addr] = &fakeServer{closeWatches: make(chan struct{})}
		}
		r := &fakeReader{table: NewServiceTable(services), endpoints: map[string]Endpoint{}}
		r.client = NewClient(ClientConfig{Addresses: testAddresses(n), OrderSeed: 7, Fleet: 10, RejectOlder: true, Services: services, Transport: f,
			OnFailover: func(addr string, _ error) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.failedAddresses = append(r.failedAddresses, addr)
			}})
		var order []string
		for _, candidate := range r.client.selector.candidates {
			order = append(order, candidate.addr)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			for ctx.Err() == nil {
				r.mu.Lock()
				seq := r.seq
				r.mu.Unlock()
				if err := r.client.Watch(ctx, seq, r.onList); ctx.Err() == nil {
					r.mu.Lock()
					r.failedWatches++
					r.mu.Unlock()
					t.Logf("watch ended: %v", err)
					time.Sleep(time.Second)
				}
			}
		}()
		synctest.Wait()
		test(t, f, r, order)
		cancel()
		<-done
		synctest.Wait()
	})
}

// readyEndpoint returns a ready endpoint of a service.
func readyEndpoint(name, service string) Endpoint {
	return Endpoint{Name: name, Dial: "127.0.0.1:9", Health: Ready, Service: service}
}
