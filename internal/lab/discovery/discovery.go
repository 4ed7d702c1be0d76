// Package discovery stands in for the platform's list service: it speaks its form, and
// it is as late, as easily overbooked and as often gone as that one.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/loopback"
)

// Config is how the service behaves.
type Config struct {
	RemovalDelay       []time.Duration `koanf:"notice"`        // from and to: how late it learns of an end or a drain
	SilentRemovalDelay []time.Duration `koanf:"silent_notice"` // of a machine that fell silent
	StartDelay         []time.Duration `koanf:"add"`           // of a start
	BatchInterval      time.Duration   `koanf:"period"`        // changes within it are one line of a watch
	CallTime           time.Duration   `koanf:"call"`          // work of one call
	EntryTime          time.Duration   `koanf:"line"`          // and of each entry that it writes
	QueueTimeout       time.Duration   `koanf:"timeout"`       // a call that would wait longer fails
	MaxConcurrentCalls int             `koanf:"capacity"`      // calls worked on at once
}

const (
	// beat is how often an empty line shows that a quiet watch lives.
	heartbeatInterval = 2 * time.Second
	// mostHistory is how many changes are kept; a watch from before them gets the whole list.
	maxHistory = 1024
)

// Env is what the service is told of the world.
type Env struct {
	Clock   check.Clock
	Checker *check.Checker
	Agents  []string
	// Dial is the address by which an agent reaches a server.
	DialAddr    func(agent, server int) string
	RecordEvent func(name string)
}

// Entry is a server as the service lists it, but for its address.
type Entry struct {
	Server      int
	Name        string
	Zone        string
	MachineType string
	Cell        int
	Weight      float64
	Health      string
	StartedMs   int64
}

// Counters is what was counted since the experiment began.
type Counters struct {
	Calls, FullLists, OpenWatches, EntriesSent, FailedCalls atomic.Int64
}

// Service is the list of one fleet, with an address for each agent.
type Service struct {
	Counters
	config         Config
	env            Env
	addresses      *loopback.Net
	agentListeners []*agentListener // by agent
	accepted       *loopback.Conns
	httpServer     *http.Server
	cancel         context.CancelFunc
	ctx            context.Context
	background     sync.WaitGroup

	mu           sync.Mutex
	revision     int64
	entries      []Entry // by server; a Health of "" is not listed
	indexByName  map[string]int
	history      []change
	changed      chan struct{} // closed at the next change
	available    bool
	busyUntil    []time.Duration // until when each place works
	latestReport map[int]int     // by server: the number of its latest news
	rng          *rand.Rand
}

type change struct {
	revision int64
	server   int
}

// door is where one agent reaches the service.
type agentListener struct {
	listener  *loopback.Listener
	openConns loopback.Set
}

// moveClose is how long after a move the old address keeps what is open.
const previousAddressRetention = 1500 * time.Millisecond

// New starts a service that lists the entries; it learns of what happens to them late.
// The number of the list is that of a service that has run before.
func New(c Config, env Env, addrs *loopback.Net, entries []Entry, seed uint64) (*Service, error) {
	s := &Service{config: c, env: env, addresses: addrs, accepted: loopback.NewConns(), revision: 41, entries: entries, available: true,
		changed: make(chan struct{}), busyUntil: make([]time.Duration, max(c.MaxConcurrentCalls, 1)),
		latestReport: map[int]int{}, rng: rand.New(rand.NewPCG(seed, 7))}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.httpServer = &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, agentContextKey{}, nc.(*conn).agent)
		}}
	for number := range env.Agents {
		d, err := s.listen(number)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.agentListeners = append(s.agentListeners, d)
	}
	s.indexByName = make(map[string]int, len(entries))
	for i := range entries {
		s.indexByName[entries[i].Name] = i
		if e := &entries[i]; e.Health != "" {
			env.Checker.RecordDiscovery(i, e.Health, e.StartedMs)
		}
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		_ = s.httpServer.Serve(s.accepted)
	}()
	return s, nil
}

// open makes an address for an agent.
func (s *Service) listen(number int) (*agentListener, error) {
	d := &agentListener{}
	var err error
	d.listener, err = loopback.Listen(s.addresses.IP()+":0", func(nc net.Conn) {
		d.openConns.Add(nc)
		s.accepted.Put(&conn{Conn: nc, owner: d, agent: number})
	})
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return d, nil
}

type agentContextKey struct{}

type conn struct {
	net.Conn
	owner *agentListener
	agent int
}

func (c *conn) Close() error {
	c.owner.openConns.Drop(c.Conn)
	return c.Conn.Close()
}

func (d *agentListener) close() {
	d.listener.Close()
	d.openConns.Reset()
}

// Move gives an agent a new address; the old one takes no new connections and closes
// what is open after a while.
func (s *Service) Move(number int) (string, error) {
	next, err := s.listen(number)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	old := s.agentListeners[number]
	s.agentListeners[number] = next
	if !s.available {
		next.listener.Refuse()
	}
	s.mu.Unlock()
	old.listener.Refuse()
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		select {
		case <-time.After(previousAddressRetention):
		case <-s.ctx.Done():
		}
		old.close()
	}()
	return next.listener.Addr(), nil
}

// every returns the doors there are.
func (s *Service) allListeners() []*agentListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*agentListener(nil), s.agentListeners...)
}

// Addr is the service's address for an agent.
func (s *Service) Addr(agent int) string { return s.allListeners()[agent].listener.Addr() }

// Close ends the service.
func (s *Service) Close() {
	s.cancel()
	for _, d := range s.allListeners() {
		d.close()
	}
	s.accepted.Close()
	s.httpServer.Close()
	s.background.Wait()
}

// Down ends the service for a while: watches end, calls are refused.
func (s *Service) StartOutage() {
	s.mu.Lock()
	s.available = false
	s.mu.Unlock()
	s.env.Checker.SetDiscoveryUp(false)
	for _, d := range s.allListeners() {
		d.listener.Refuse()
		d.openConns.Reset()
	}
	s.env.RecordEvent("discovery down")
}

// Up ends Down. What has changed meanwhile the service knows by then.
func (s *Service) EndOutage() error {
	s.mu.Lock()
	s.available = true
	s.mu.Unlock()
	for _, d := range s.allListeners() {
		if err := d.listener.Open(); err != nil {
			return fmt.Errorf("discovery: %w", err)
		}
	}
	s.env.Checker.SetDiscoveryUp(true)
	s.env.RecordEvent("discovery up")
	return nil
}

// Notice hands in the service what happened to a server; it lists that after a while,
// unless something newer has happened by then.
func (s *Service) ReportHealth(server int, health string, bornMs int64, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := s.config.RemovalDelay
	switch {
	case silent:
		span = s.config.SilentRemovalDelay
	case health == "ready":
		span = s.config.StartDelay
	}
	var after time.Duration
	if len(span) == 2 {
		after = span[0] + time.Duration(s.rng.Float64()*float64(span[1]-span[0]))
	}
	s.latestReport[server]++
	number := s.latestReport[server]
	t := time.AfterFunc(after, func() { s.applyHealth(server, number, health, bornMs) })
	context.AfterFunc(s.ctx, func() { t.Stop() })
}

func (s *Service) applyHealth(server, number int, health string, bornMs int64) {
	s.mu.Lock()
	e := &s.entries[server]
	if s.latestReport[server] != number || e.Health == health && e.StartedMs == bornMs {
		s.mu.Unlock()
		return
	}
	e.Health, e.StartedMs = health, bornMs
	s.revision++
	if len(s.history) >= maxHistory {
		s.history = s.history[1:]
	}
	s.history = append(s.history, change{s.revision, server})
	close(s.changed)
	s.changed = make(chan struct{})
	name := e.Name
	s.mu.Unlock()
	s.env.Checker.RecordDiscovery(server, health, bornMs)
	s.env.RecordEvent("discovery lists " + name + " " + health)
}

// List is the list for an agent: whole, or what changed after a version.
func (s *Service) List(agent_ int, since int64, whole bool) endpoints.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listSince(agent_, since, whole)
}

func (s *Service) listSince(agent_ int, since int64, whole bool) endpoints.List {
	l := endpoints.List{Seq: s.revision, Endpoints: []endpoints.Endpoint{}}
	oldest := s.revision
	if len(s.history) > 0 {
		oldest = s.history[0].revision - 1
	}
	l.Full = whole || since > s.revision || since < oldest
	add := func(i int) {
		e := &s.entries[i]
		l.Endpoints = append(l.Endpoints, endpoints.Endpoint{Name: e.Name, Dial: s.env.DialAddr(agent_, i), Site: e.Zone, Class: e.MachineType,
			Block: e.Cell, Health: e.Health, Weight: e.Weight, StartedMs: float64(e.StartedMs)})
	}
	if l.Full {
		for i := range s.entries {
			if h := s.entries[i].Health; h != "" && h != "gone" {
				add(i)
			}
		}
		return l
	}
	seen := map[int]bool{}
	for _, c := range s.history {
		if c.revision > since && !seen[c.server] {
			seen[c.server] = true
			add(c.server)
		}
	}
	return l
}

// ServeHTTP answers a call or keeps a watch.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number := r.Context().Value(agentContextKey{}).(int)
	w.Header()["Date"] = nil
	if r.URL.Path != "/v1/endpoints" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	s.Calls.Add(1)
	q := r.URL.Query()
	follow := q.Get("follow") == "1"
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	if follow && err != nil {
		http.Error(w, "since: not a number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	first := s.listSince(number, since, !follow)
	s.mu.Unlock()
	if !s.waitForCapacity(r.Context(), len(first.Endpoints)) {
		s.FailedCalls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !follow {
		s.FullLists.Add(1)
		l := s.List(number, 0, true)
		text, _ := json.Marshal(l)
		s.recordNotified(number, &l)
		_, _ = w.Write(text)
		return
	}
	s.OpenWatches.Add(1)
	defer s.OpenWatches.Add(-1)
	s.serveWatch(w, r, number, since)
}

// turn waits until the call's turn has come and its work is done; false is a call that
// waits too long.
func (s *Service) waitForCapacity(ctx context.Context, lines int) bool {
	cost := s.config.CallTime + time.Duration(lines)*s.config.EntryTime
	if cost <= 0 {
		return true
	}
	s.mu.Lock()
	now, place := s.env.Clock(), 0
	for i := range s.busyUntil {
		if s.busyUntil[i] < s.busyUntil[place] {
			place = i
		}
	}
	start := max(now, s.busyUntil[place])
	ok := s.config.QueueTimeout <= 0 || start-now <= s.config.QueueTimeout
	end := now + s.config.QueueTimeout
	if ok {
		end = start + cost
		s.busyUntil[place] = end
	}
	s.mu.Unlock()
	t := time.NewTimer(end - now)
	defer t.Stop()
	select {
	case <-t.C:
		return ok
	case <-ctx.Done():
		return false
	}
}

// watch writes what changes until the connection ends.
func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request, number int, since int64) {
	control := http.NewResponseController(w)
	quiet := time.NewTimer(heartbeatInterval)
	defer quiet.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		l, changed := s.listSince(number, since, false), s.changed
		s.mu.Unlock()
		text := []byte("\n")
		if first || l.Full || len(l.Endpoints) > 0 {
			line, _ := json.Marshal(l)
			text = append(line, '\n')
			s.recordNotified(number, &l)
		}
		since = l.Seq
		if _, err := w.Write(text); err != nil || control.Flush() != nil {
			return
		}
		quiet.Reset(heartbeatInterval)
		select {
		case <-changed:
			select { // what changes within the period is one line
			case <-time.After(s.config.BatchInterval):
			case <-r.Context().Done():
				return
			}
		case <-quiet.C:
		case <-r.Context().Done():
			return
		}
	}
}

// told notes what an agent has been written.
func (s *Service) recordNotified(number int, l *endpoints.List) {
	s.EntriesSent.Add(int64(len(l.Endpoints)))
	named := make(map[int]bool, len(l.Endpoints))
	for i := range l.Endpoints {
		h := &l.Endpoints[i]
		server, ok := s.indexByName[h.Name]
		if !ok {
			continue
		}
		named[server] = true
		s.env.Checker.RecordNotified(number, server, h.Health, int64(h.StartedMs))
	}
	if !l.Full {
		return
	}
	for _, server := range s.indexByName { // what a whole list doesn't name is gone
		if !named[server] {
			s.env.Checker.RecordNotified(number, server, "gone", 0)
		}
	}
}

// Tell notes that an agent starts with a list in its configuration.
func (s *Service) RecordInitialList(number int, l *endpoints.List) { s.recordNotified(number, l) }
