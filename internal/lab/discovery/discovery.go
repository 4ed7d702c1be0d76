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
	Notice   []time.Duration `koanf:"notice"`        // from and to: how late it learns of an end or a drain
	Silent   []time.Duration `koanf:"silent_notice"` // of a machine that fell silent
	Add      []time.Duration `koanf:"add"`           // of a start
	Period   time.Duration   `koanf:"period"`        // changes within it are one line of a watch
	Call     time.Duration   `koanf:"call"`          // work of one call
	Line     time.Duration   `koanf:"line"`          // and of each entry that it writes
	Timeout  time.Duration   `koanf:"timeout"`       // a call that would wait longer fails
	Capacity int             `koanf:"capacity"`      // calls worked on at once
}

const (
	// beat is how often an empty line shows that a quiet watch lives.
	beat = 2 * time.Second
	// mostHistory is how many changes are kept; a watch from before them gets the whole list.
	mostHistory = 1024
)

// Env is what the service is told of the world.
type Env struct {
	Clock   check.Clock
	Checker *check.Checker
	Agents  []string
	// Dial is the address by which an agent reaches a server.
	Dial  func(agent, server int) string
	Event func(name string)
}

// Entry is a server as the service lists it, but for its address.
type Entry struct {
	Server int
	Name   string
	Zone   string
	Kind   string
	Cell   int
	Share  float64
	Health string
	BornMs int64
}

// Counters is what was counted since the experiment began.
type Counters struct {
	Calls, Wholes, Watches, Lines, Failed atomic.Int64
}

// Service is the list of one fleet, with an address for each agent.
type Service struct {
	Counters
	c     Config
	env   Env
	net   *loopback.Net
	doors []*door // by agent
	in    *loopback.Conns
	http  *http.Server
	ends  context.CancelFunc
	ctx   context.Context
	wait  sync.WaitGroup

	mu      sync.Mutex
	seq     int64
	list    []Entry // by server; a Health of "" is not listed
	index   map[string]int
	history []change
	changed chan struct{} // closed at the next change
	up      bool
	busy    []time.Duration // until when each place works
	notices map[int]int     // by server: the number of its latest news
	rng     *rand.Rand
}

type change struct {
	seq    int64
	server int
}

// door is where one agent reaches the service.
type door struct {
	ln    *loopback.Listener
	conns loopback.Set
}

// moveClose is how long after a move the old address keeps what is open.
const moveClose = 1500 * time.Millisecond

// New starts a service that lists the entries; it learns of what happens to them late.
// The number of the list is that of a service that has run before.
func New(c Config, env Env, addrs *loopback.Net, entries []Entry, seed uint64) (*Service, error) {
	s := &Service{c: c, env: env, net: addrs, in: loopback.NewConns(), seq: 41, list: entries, up: true,
		changed: make(chan struct{}), busy: make([]time.Duration, max(c.Capacity, 1)),
		notices: map[int]int{}, rng: rand.New(rand.NewPCG(seed, 7))}
	s.ctx, s.ends = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, agentKey{}, nc.(*conn).agent)
		}}
	for number := range env.Agents {
		d, err := s.open(number)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.doors = append(s.doors, d)
	}
	s.index = make(map[string]int, len(entries))
	for i := range entries {
		s.index[entries[i].Name] = i
		if e := &entries[i]; e.Health != "" {
			env.Checker.RecordDiscovery(i, e.Health, e.BornMs)
		}
	}
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		_ = s.http.Serve(s.in)
	}()
	return s, nil
}

// open makes an address for an agent.
func (s *Service) open(number int) (*door, error) {
	d := &door{}
	var err error
	d.ln, err = loopback.Listen(s.net.IP()+":0", func(nc net.Conn) {
		d.conns.Add(nc)
		s.in.Put(&conn{Conn: nc, door: d, agent: number})
	})
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return d, nil
}

type agentKey struct{}

type conn struct {
	net.Conn
	door  *door
	agent int
}

func (c *conn) Close() error {
	c.door.conns.Drop(c.Conn)
	return c.Conn.Close()
}

func (d *door) close() {
	d.ln.Close()
	d.conns.Reset()
}

// Move gives an agent a new address; the old one takes no new connections and closes
// what is open after a while.
func (s *Service) Move(number int) (string, error) {
	next, err := s.open(number)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	old := s.doors[number]
	s.doors[number] = next
	if !s.up {
		next.ln.Refuse()
	}
	s.mu.Unlock()
	old.ln.Refuse()
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		select {
		case <-time.After(moveClose):
		case <-s.ctx.Done():
		}
		old.close()
	}()
	return next.ln.Addr(), nil
}

// every returns the doors there are.
func (s *Service) every() []*door {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*door(nil), s.doors...)
}

// Addr is the service's address for an agent.
func (s *Service) Addr(agent int) string { return s.every()[agent].ln.Addr() }

// Close ends the service.
func (s *Service) Close() {
	s.ends()
	for _, d := range s.every() {
		d.close()
	}
	s.in.Close()
	s.http.Close()
	s.wait.Wait()
}

// Down ends the service for a while: watches end, calls are refused.
func (s *Service) Down() {
	s.mu.Lock()
	s.up = false
	s.mu.Unlock()
	s.env.Checker.SetDiscoveryUp(false)
	for _, d := range s.every() {
		d.ln.Refuse()
		d.conns.Reset()
	}
	s.env.Event("discovery down")
}

// Up ends Down. What has changed meanwhile the service knows by then.
func (s *Service) Up() error {
	s.mu.Lock()
	s.up = true
	s.mu.Unlock()
	for _, d := range s.every() {
		if err := d.ln.Open(); err != nil {
			return fmt.Errorf("discovery: %w", err)
		}
	}
	s.env.Checker.SetDiscoveryUp(true)
	s.env.Event("discovery up")
	return nil
}

// Notice hands in the service what happened to a server; it lists that after a while,
// unless something newer has happened by then.
func (s *Service) Notice(server int, health string, bornMs int64, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := s.c.Notice
	switch {
	case silent:
		span = s.c.Silent
	case health == "ready":
		span = s.c.Add
	}
	var after time.Duration
	if len(span) == 2 {
		after = span[0] + time.Duration(s.rng.Float64()*float64(span[1]-span[0]))
	}
	s.notices[server]++
	number := s.notices[server]
	t := time.AfterFunc(after, func() { s.learn(server, number, health, bornMs) })
	context.AfterFunc(s.ctx, func() { t.Stop() })
}

func (s *Service) learn(server, number int, health string, bornMs int64) {
	s.mu.Lock()
	e := &s.list[server]
	if s.notices[server] != number || e.Health == health && e.BornMs == bornMs {
		s.mu.Unlock()
		return
	}
	e.Health, e.BornMs = health, bornMs
	s.seq++
	if len(s.history) >= mostHistory {
		s.history = s.history[1:]
	}
	s.history = append(s.history, change{s.seq, server})
	close(s.changed)
	s.changed = make(chan struct{})
	name := e.Name
	s.mu.Unlock()
	s.env.Checker.RecordDiscovery(server, health, bornMs)
	s.env.Event("discovery lists " + name + " " + health)
}

// List is the list for an agent: whole, or what changed after a version.
func (s *Service) List(agent_ int, since int64, whole bool) endpoints.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut(agent_, since, whole)
}

func (s *Service) cut(agent_ int, since int64, whole bool) endpoints.List {
	l := endpoints.List{Seq: s.seq, Endpoints: []endpoints.Endpoint{}}
	oldest := s.seq
	if len(s.history) > 0 {
		oldest = s.history[0].seq - 1
	}
	l.Full = whole || since > s.seq || since < oldest
	add := func(i int) {
		e := &s.list[i]
		l.Endpoints = append(l.Endpoints, endpoints.Endpoint{Name: e.Name, Dial: s.env.Dial(agent_, i), Site: e.Zone, Class: e.Kind,
			Block: e.Cell, Health: e.Health, Weight: e.Share, StartedMs: float64(e.BornMs)})
	}
	if l.Full {
		for i := range s.list {
			if h := s.list[i].Health; h != "" && h != "gone" {
				add(i)
			}
		}
		return l
	}
	seen := map[int]bool{}
	for _, c := range s.history {
		if c.seq > since && !seen[c.server] {
			seen[c.server] = true
			add(c.server)
		}
	}
	return l
}

// ServeHTTP answers a call or keeps a watch.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number := r.Context().Value(agentKey{}).(int)
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
	first := s.cut(number, since, !follow)
	s.mu.Unlock()
	if !s.turn(r.Context(), len(first.Endpoints)) {
		s.Failed.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !follow {
		s.Wholes.Add(1)
		l := s.List(number, 0, true)
		text, _ := json.Marshal(l)
		s.told(number, &l)
		_, _ = w.Write(text)
		return
	}
	s.Watches.Add(1)
	defer s.Watches.Add(-1)
	s.watch(w, r, number, since)
}

// turn waits until the call's turn has come and its work is done; false is a call that
// waits too long.
func (s *Service) turn(ctx context.Context, lines int) bool {
	cost := s.c.Call + time.Duration(lines)*s.c.Line
	if cost <= 0 {
		return true
	}
	s.mu.Lock()
	now, place := s.env.Clock(), 0
	for i := range s.busy {
		if s.busy[i] < s.busy[place] {
			place = i
		}
	}
	start := max(now, s.busy[place])
	ok := s.c.Timeout <= 0 || start-now <= s.c.Timeout
	end := now + s.c.Timeout
	if ok {
		end = start + cost
		s.busy[place] = end
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
func (s *Service) watch(w http.ResponseWriter, r *http.Request, number int, since int64) {
	control := http.NewResponseController(w)
	quiet := time.NewTimer(beat)
	defer quiet.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		l, changed := s.cut(number, since, false), s.changed
		s.mu.Unlock()
		text := []byte("\n")
		if first || l.Full || len(l.Endpoints) > 0 {
			line, _ := json.Marshal(l)
			text = append(line, '\n')
			s.told(number, &l)
		}
		since = l.Seq
		if _, err := w.Write(text); err != nil || control.Flush() != nil {
			return
		}
		quiet.Reset(beat)
		select {
		case <-changed:
			select { // what changes within the period is one line
			case <-time.After(s.c.Period):
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
func (s *Service) told(number int, l *endpoints.List) {
	s.Lines.Add(int64(len(l.Endpoints)))
	named := make(map[int]bool, len(l.Endpoints))
	for i := range l.Endpoints {
		h := &l.Endpoints[i]
		server, ok := s.index[h.Name]
		if !ok {
			continue
		}
		named[server] = true
		s.env.Checker.RecordNotified(number, server, h.Health, int64(h.StartedMs))
	}
	if !l.Full {
		return
	}
	for _, server := range s.index { // what a whole list doesn't name is gone
		if !named[server] {
			s.env.Checker.RecordNotified(number, server, "gone", 0)
		}
	}
}

// Tell notes that an agent starts with a list in its configuration.
func (s *Service) Tell(number int, l *endpoints.List) { s.told(number, l) }
