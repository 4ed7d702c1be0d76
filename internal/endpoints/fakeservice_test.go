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

// fakeControlPlane is a list service that knows services, without sockets: some addresses of it with
// one state. A client reads it as its transport.
type fakeControlPlane struct {
	mu      sync.Mutex
	list    fakeList
	servers map[string]*fakeServer
	calls   []string // address and query, in order
	changed chan struct{}
}

// fakeServer is one address.
type fakeServer struct {
	ignoresServices    bool  // it doesn't know services
	versionLag         int64 // its versions are so much lower
	raisesVersion      bool  // it raises its version where a reader names a later one
	refusesConnections bool
	closeWatches       chan struct{} // closed: its watches end in order
}

// fakeList is a list with its changes.
type fakeList struct {
	seq       int64
	endpoints []Endpoint
	history   []fakeChange
}

type fakeChange struct {
	seq       int64
	endpoints []Endpoint
}

func (s *fakeList) index(name string) int {
	return slices.IndexFunc(s.endpoints, func(h Endpoint) bool { return h.Name == name })
}

// set lists a server; one that changes its service is also gone from the one before.
func (s *fakeList) set(h Endpoint, goneLast bool) {
	change := []Endpoint{h}
	if i := s.index(h.Name); i < 0 {
		s.endpoints = append(s.endpoints, h)
	} else {
		if before := s.endpoints[i]; before.Service != h.Service {
			before.Health = Removed
			change = append(change, before)
			if !goneLast {
				slices.Reverse(change)
			}
		}
		s.endpoints[i] = h
	}
	s.seq++
	s.history = append(s.history, fakeChange{s.seq, change})
}

// remove takes a server off the list.
func (s *fakeList) remove(name string) {
	i := s.index(name)
	h := s.endpoints[i]
	h.Health = Removed
	s.endpoints = slices.Delete(s.endpoints, i, i+1)
	s.seq++
	s.history = append(s.history, fakeChange{s.seq, []Endpoint{h}})
}

// response is what a reader with the version since is sent; services nil: of all, without a service.
func (s *fakeList) response(since int64, services []string) List {
	l := List{Seq: s.seq, Full: since <= 0, Endpoints: []Endpoint{}}
	add := func(h Endpoint) {
		if services != nil && !slices.Contains(services, h.Service) {
			return
		}
		if services == nil {
			h.Service = ""
		}
		l.Endpoints = append(l.Endpoints, h)
	}
	if l.Full {
		for _, h := range s.endpoints {
			add(h)
		}
		return l
	}
	for _, c := range s.history {
		for _, h := range c.endpoints {
			moved := services == nil && h.Health == Removed && len(c.endpoints) > 1
			if c.seq > since && !moved {
				add(h)
			}
		}
	}
	return l
}

func (f *fakeControlPlane) change(change func(s *fakeList)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.list)
	close(f.changed)
	f.changed = make(chan struct{})
}

// requests is the calls so far.
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
	out, in := io.Pipe()
	resp.Body = out
	go f.serve(r.Context(), s, in, since, services)
	return resp, nil
}

// serve writes one watch.
func (f *fakeControlPlane) serve(ctx context.Context, s *fakeServer, in *io.PipeWriter, since int64, services []string) {
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for first := true; ; first = false {
		f.mu.Lock()
		l, changed, behind := f.list.response(since, services), f.changed, s.versionLag
		f.mu.Unlock()
		if l.Seq > since || first {
			since = l.Seq
			l.Seq -= behind
			text, _ := json.Marshal(l)
			_, _ = in.Write(append(text, '\n'))
		} else {
			_, _ = in.Write([]byte("\n"))
		}
		select {
		case <-changed:
		case <-beat.C:
		case <-s.closeWatches:
			in.Close()
			return
		case <-ctx.Done():
			in.CloseWithError(ctx.Err())
			return
		}
	}
}

// fakeReader is a reader as the agent is one: it drops lists of another subscription and of an
// older version, and keeps what the table makes of the rest.
type fakeReader struct {
	client          *Client
	mu              sync.Mutex
	table           *ServiceTable
	number          uint64
	seq             int64
	endpoints       map[string]Endpoint
	events          []ServiceEvent
	lists           []List   // as they came
	failedWatches   int      // watches that ended with an error
	failedAddresses []string // the addresses that were left, in order
}

func (r *fakeReader) onList(l List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Subscription != r.number || l.Seq < r.seq {
		return
	}
	r.seq = l.Seq
	r.lists = append(r.lists, l)
	out, events := r.table.Apply(l)
	r.events = append(r.events, events...)
	consumeList(r.endpoints, &out)
}

// consumeList does with a list what a consumer does that knows no services.
func consumeList(held map[string]Endpoint, l *List) {
	if l.Full {
		clear(held)
	}
	for _, h := range l.Endpoints {
		if h.Health == Removed {
			delete(held, h.Name)
		} else {
			held[h.Name] = h
		}
	}
}

// reconfigure is what a SIGHUP does.
func (r *fakeReader) reconfigure(t *testing.T, addrs, services []string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	number, err := r.client.Reconfigure(addrs, services, r.seq)
	if err != nil {
		t.Fatal(err)
	}
	r.number = number
	r.table.Subscribe(services)
}

// endpointNames is the names that the reader endpointNames, in order.
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

// runScopedReader plays a reader of services over a fleet of so many addresses, which it asks in the
// given order, on a clock of its own.
func runScopedReader(t *testing.T, n int, services []string, hosts []Endpoint, play func(t *testing.T, f *fakeControlPlane, r *fakeReader, order []string)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeControlPlane{servers: map[string]*fakeServer{}, changed: make(chan struct{}), list: fakeList{seq: 100}}
		for _, h := range hosts {
			f.list.set(h, false)
		}
		for _, addr := range testAddresses(n) {
			f.servers[addr] = &fakeServer{closeWatches: make(chan struct{})}
		}
		r := &fakeReader{table: NewServiceTable(services), endpoints: map[string]Endpoint{}}
		r.client = NewClient(ClientConfig{Addresses: testAddresses(n), Order: 7, Fleet: 10, RejectOlder: true, Services: services, Transport: f,
			OnFailover: func(addr string, _ error) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.failedAddresses = append(r.failedAddresses, addr)
			}})
		var order []string
		for _, p := range r.client.selector.candidates {
			order = append(order, p.addr)
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
		play(t, f, r, order)
		cancel()
		<-done
		synctest.Wait()
	})
}

func readyEndpoint(name, service string) Endpoint {
	return Endpoint{Name: name, Dial: "127.0.0.1:9", Health: Ready, Service: service}
}
