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

// fakeFleet is a list service that knows services, without sockets: some addresses of it with
// one state. A client reads it as its transport.
type fakeFleet struct {
	mu      sync.Mutex
	state   fakeState
	at      map[string]*fakeSteward
	calls   []string // address and query, in order
	changed chan struct{}
}

// fakeSteward is one address.
type fakeSteward struct {
	old     bool  // it doesn't know services
	behind  int64 // its versions are so much lower
	raises  bool  // it raises its version where a reader names a later one
	refuses bool
	moved   chan struct{} // closed: its watches end in order
}

// fakeState is a list with its changes.
type fakeState struct {
	seq     int64
	hosts   []Endpoint
	history []fakeChange
}

type fakeChange struct {
	seq   int64
	hosts []Endpoint
}

func (s *fakeState) index(name string) int {
	return slices.IndexFunc(s.hosts, func(h Endpoint) bool { return h.Name == name })
}

// set lists a server; one that changes its service is also gone from the one before.
func (s *fakeState) set(h Endpoint, goneLast bool) {
	change := []Endpoint{h}
	if i := s.index(h.Name); i < 0 {
		s.hosts = append(s.hosts, h)
	} else {
		if before := s.hosts[i]; before.Service != h.Service {
			before.Health = Removed
			change = append(change, before)
			if !goneLast {
				slices.Reverse(change)
			}
		}
		s.hosts[i] = h
	}
	s.seq++
	s.history = append(s.history, fakeChange{s.seq, change})
}

// remove takes a server off the list.
func (s *fakeState) remove(name string) {
	i := s.index(name)
	h := s.hosts[i]
	h.Health = Removed
	s.hosts = slices.Delete(s.hosts, i, i+1)
	s.seq++
	s.history = append(s.history, fakeChange{s.seq, []Endpoint{h}})
}

// list is what a reader with the version since is sent; services nil: of all, without a service.
func (s *fakeState) list(since int64, services []string) List {
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
		for _, h := range s.hosts {
			add(h)
		}
		return l
	}
	for _, c := range s.history {
		for _, h := range c.hosts {
			moved := services == nil && h.Health == Removed && len(c.hosts) > 1
			if c.seq > since && !moved {
				add(h)
			}
		}
	}
	return l
}

func (f *fakeFleet) change(change func(s *fakeState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.state)
	close(f.changed)
	f.changed = make(chan struct{})
}

// asked is the calls so far.
func (f *fakeFleet) asked() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

func (f *fakeFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, r.URL.Host+"?"+r.URL.RawQuery)
	s := f.at[r.URL.Host]
	if s == nil || s.refuses {
		return nil, errors.New("connection refused")
	}
	q := r.URL.Query()
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: r}
	services := q[ServiceParam]
	if s.old {
		services = nil
	}
	if services != nil {
		resp.Header.Set(ScopeHeader, strconv.Itoa(len(services)))
	}
	since, _ := strconv.ParseInt(q.Get("since"), 10, 64)
	if q.Get("follow") == "" {
		text, _ := json.Marshal(f.state.list(0, services))
		resp.Body = io.NopCloser(strings.NewReader(string(text)))
		return resp, nil
	}
	if s.raises && since > f.state.seq-s.behind {
		f.state.seq, f.state.history, s.behind, since = since+1, nil, 0, 0
	}
	out, in := io.Pipe()
	resp.Body = out
	go f.serve(r.Context(), s, in, since, services)
	return resp, nil
}

// serve writes one watch.
func (f *fakeFleet) serve(ctx context.Context, s *fakeSteward, in *io.PipeWriter, since int64, services []string) {
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for first := true; ; first = false {
		f.mu.Lock()
		l, changed, behind := f.state.list(since, services), f.changed, s.behind
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
		case <-s.moved:
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
	client *Client
	mu     sync.Mutex
	table  *ServiceTable
	number uint64
	seq    int64
	held   map[string]Endpoint
	events []ServiceEvent
	lists  []List   // as they came
	ended  int      // watches that ended with an error
	left   []string // the addresses that were left, in order
}

func (r *fakeReader) take(l List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Subscription != r.number || l.Seq < r.seq {
		return
	}
	r.seq = l.Seq
	r.lists = append(r.lists, l)
	out, events := r.table.Apply(l)
	r.events = append(r.events, events...)
	consume(r.held, &out)
}

// consume does with a list what a consumer does that knows no services.
func consume(held map[string]Endpoint, l *List) {
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

// holds is the names that the reader holds, in order.
func (r *fakeReader) holds() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name := range r.held {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// playScoped plays a reader of services over a fleet of so many addresses, which it asks in the
// given order, on a clock of its own.
func playScoped(t *testing.T, n int, services []string, hosts []Endpoint, play func(t *testing.T, f *fakeFleet, r *fakeReader, order []string)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{at: map[string]*fakeSteward{}, changed: make(chan struct{}), state: fakeState{seq: 100}}
		for _, h := range hosts {
			f.state.set(h, false)
		}
		for _, addr := range names(n) {
			f.at[addr] = &fakeSteward{moved: make(chan struct{})}
		}
		r := &fakeReader{table: NewServiceTable(services), held: map[string]Endpoint{}}
		r.client = NewClient(ClientConfig{Addresses: names(n), Order: 7, Fleet: 10, RejectOlder: true, Services: services, Transport: f,
			OnFailover: func(addr string, _ error) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.left = append(r.left, addr)
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
				if err := r.client.Watch(ctx, seq, r.take); ctx.Err() == nil {
					r.mu.Lock()
					r.ended++
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

func server(name, service string) Endpoint {
	return Endpoint{Name: name, Dial: "127.0.0.1:9", Health: Ready, Service: service}
}
