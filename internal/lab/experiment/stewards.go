package experiment

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"molepaddle/internal/catalog"
	"molepaddle/internal/control"
	"molepaddle/internal/endpoints"
	"molepaddle/internal/lab/process"
	"molepaddle/internal/lab/server"
)

// Stewards is the project's own list service in place of the stand-in.
type Stewards struct {
	Count    int           `koanf:"count"` // 0: the stand-in lists the servers
	Command  string        `koanf:"command"`
	LeaseTTL time.Duration `koanf:"lease_ttl"`
	Watches  int           `koanf:"watches"` // of the lab's own on top of the agents', to see how changes spread
}

func stewardName(i int) string { return fmt.Sprintf("st-%d", i+1) }

// stewards runs the list service of a lane, has its servers register, and watches what it
// tells: an agent counts as told when a watch of the lab's own at its steward has been.
type stewards struct {
	l      *lane
	procs  []*process.Process
	addrs  []string
	client *control.Client
	ctx    context.Context
	stop   context.CancelFunc
	owned  sync.WaitGroup

	mu     sync.Mutex
	heard  map[int]bool // servers that are there to say so
	sent   map[int64]time.Duration
	spread *hdrhistogram.Histogram // from a change's being sent to a watch's having it, in µs
	last   map[int64]time.Duration // by version, to the last watch
}

func newStewards(l *lane) (*stewards, error) {
	s := &stewards{l: l, heard: map[int]bool{}, sent: map[int64]time.Duration{}, last: map[int64]time.Duration{},
		spread: hdrhistogram.New(1, 120_000_000, 3)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	command, err := program("stewards.command", l.c.Stewards.Command)
	if err != nil {
		return nil, err
	}
	var raft []string
	for range l.c.Stewards.Count {
		for _, list := range []*[]string{&s.addrs, &raft} {
			addr, err := l.addrs.FreePort()
			if err != nil {
				return nil, err
			}
			*list = append(*list, addr)
		}
	}
	s.client = control.NewClient(s.addrs, 2*time.Second)
	for i := range s.addrs {
		name := stewardName(i)
		text := fmt.Sprintf("name = %q\ndata = %q\nlisten = %q\nraft = %q\nlease_ttl = %q\n", name,
			filepath.Join(l.dir, "stewards", name), s.addrs[i], raft[i], l.c.Stewards.LeaseTTL)
		for j := range s.addrs {
			text += fmt.Sprintf("[peers.%s]\nhttp = %q\nraft = %q\n", stewardName(j), s.addrs[j], raft[j])
		}
		conf := filepath.Join(l.dir, "stewards", name+".toml")
		if err := os.MkdirAll(filepath.Dir(conf), 0o755); err != nil {
			return nil, fmt.Errorf("steward configuration: %w", err)
		}
		// What a play before left there is not this fleet's.
		if err := os.RemoveAll(filepath.Join(l.dir, "stewards", name)); err != nil {
			return nil, fmt.Errorf("steward configuration: %w", err)
		}
		if err := os.WriteFile(conf, []byte(text), 0o644); err != nil {
			return nil, fmt.Errorf("steward configuration: %w", err)
		}
		s.procs = append(s.procs, l.sup.Add(process.Spec{Name: name, Path: command, Args: []string{"serve", "--config", conf},
			Log: filepath.Join(l.dir, "logs", name+".log")}))
	}
	return s, nil
}

// start starts the stewards and has all servers listed before any agent asks.
func (s *stewards) start(ctx context.Context) error {
	for _, p := range s.procs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for i, sv := range s.l.servers {
		s.mu.Lock()
		s.heard[i] = true
		s.mu.Unlock()
		for {
			err := s.register(ctx, sv)
			if err == nil {
				break
			}
			if !sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("stewards: server %s was not taken: %w", sv.Name, err)
			}
		}
	}
	watches := s.l.c.Stewards.Watches
	for i := range max(len(s.addrs), watches) {
		s.owned.Add(1)
		go func() {
			defer s.owned.Done()
			s.watch(i%len(s.addrs), i < len(s.addrs))
		}()
	}
	s.owned.Add(1)
	go func() {
		defer s.owned.Done()
		s.renew()
	}()
	return nil
}

func (s *stewards) close() {
	s.stop()
	s.owned.Wait()
}

// entry is what a server says of itself.
func (s *stewards) entry(sv *server.Server) endpoints.Host {
	health := endpoints.Ready
	if sv.Health() == endpoints.Draining {
		health = endpoints.Draining
	}
	return endpoints.Host{Host: sv.Name, Dial: sv.Addr(), Site: sv.Zone, Class: sv.Kind, Block: sv.Cell, Health: health,
		Share: sv.Share, BornMs: float64(sv.BornMs())}
}

func (s *stewards) register(ctx context.Context, sv *server.Server) error {
	began := s.l.clock()
	r, err := s.client.Register(ctx, s.entry(sv))
	if err == nil {
		s.mu.Lock()
		s.sent[r.Seq] = began
		s.mu.Unlock()
	}
	return err
}

// changed is told what happened to a server; only what it could say itself is said.
func (s *stewards) changed(sv *server.Server, health string) {
	s.mu.Lock()
	s.heard[sv.Index] = health != endpoints.Gone
	s.mu.Unlock()
	if health == endpoints.Gone {
		return // it is dead or cut off: the stewards have to notice
	}
	s.owned.Add(1)
	go func() {
		defer s.owned.Done()
		for sv.Health() == health && s.register(s.ctx, sv) != nil {
			if !sleep(s.ctx, 200*time.Millisecond) {
				return
			}
		}
	}()
}

// renew says thrice a lease which servers are there, in one call for all as a host does.
func (s *stewards) renew() {
	for sleep(s.ctx, s.l.c.Stewards.LeaseTTL/3) {
		var refs []catalog.Ref
		var of []*server.Server
		s.mu.Lock()
		for i, sv := range s.l.servers {
			if s.heard[i] {
				refs, of = append(refs, catalog.Ref{Name: sv.Name, BornMs: float64(sv.BornMs())}), append(of, sv)
			}
		}
		s.mu.Unlock()
		r, err := s.client.Renew(s.ctx, refs)
		if err != nil {
			continue
		}
		for i, code := range r.Codes {
			if code == catalog.Unknown { // it lapsed, and is there
				_ = s.register(s.ctx, of[i])
			}
		}
	}
}

// watch follows one steward; the first at each tells the checker what agents there know.
func (s *stewards) watch(at int, tells bool) {
	var seq int64
	for s.ctx.Err() == nil {
		s.follow(at, &seq, tells)
		if tells {
			s.reach(at, false)
		}
		sleep(s.ctx, 100*time.Millisecond)
	}
}

// reach notes whether the agents of a steward can be told anything.
func (s *stewards) reach(at int, up bool) {
	for i := range s.l.c.Agents.Count {
		if i%len(s.addrs) == at {
			s.l.checker.Cut(i, !up)
		}
	}
}

func (s *stewards) follow(at int, seq *int64, tells bool) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	silent := time.AfterFunc(5*time.Second, cancel)
	defer silent.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?follow=1&since=%d", s.addrs[at], endpoints.Path, *seq), nil)
	if err != nil {
		return
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	if tells {
		s.reach(at, true)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		silent.Reset(5 * time.Second)
		if len(lines.Bytes()) == 0 {
			continue
		}
		l, err := endpoints.Parse(lines.Bytes())
		if err != nil {
			return
		}
		s.seen(*seq, l.Seq)
		*seq = l.Seq
		if tells {
			s.tell(at, &l)
		}
	}
}

// seen notes how long the changes took that a line brought.
func (s *stewards) seen(from, to int64) {
	if from == 0 {
		return
	}
	now := s.l.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for seq := from + 1; seq <= to && seq <= from+1000; seq++ {
		if began, ok := s.sent[seq]; ok {
			_ = s.spread.RecordValue(max((now - began).Microseconds(), 1))
			s.last[seq] = max(s.last[seq], now-began)
		}
	}
}

// tell tells the checker what was written to the agents of a steward.
func (s *stewards) tell(at int, l *endpoints.List) {
	named := map[string]bool{}
	for _, h := range l.Hosts {
		named[h.Host] = true
	}
	for i, sv := range s.l.servers { // what a whole list doesn't name is gone
		for a := range s.l.c.Agents.Count {
			if l.Whole && !named[sv.Name] && a%len(s.addrs) == at {
				s.l.checker.Told(a, i, endpoints.Gone, 0)
			}
		}
	}
	for _, h := range l.Hosts {
		i := slices.IndexFunc(s.l.servers, func(sv *server.Server) bool { return sv.Name == h.Host })
		if i < 0 {
			continue
		}
		s.l.checker.Known(i, h.Health, int64(h.BornMs))
		s.l.events.tell("discovery lists " + h.Host + " " + h.Health)
		for a := range s.l.c.Agents.Count {
			if a%len(s.addrs) == at {
				s.l.checker.Told(a, i, h.Health, int64(h.BornMs))
			}
		}
	}
}

// figures tells how changes spread.
func (s *stewards) figures(t *Total) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Spreads = s.spread.TotalCount()
	t.SpreadP50Ms = float64(s.spread.ValueAtQuantile(50)) / 1000
	t.SpreadP99Ms = float64(s.spread.ValueAtQuantile(99)) / 1000
	last := hdrhistogram.New(1, 120_000_000, 3)
	for _, d := range s.last {
		_ = last.RecordValue(max(d.Microseconds(), 1))
	}
	t.SpreadLastMs = float64(last.ValueAtQuantile(99)) / 1000
}

// strike does something to stewards' processes.
func (s *stewards) strike(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	targets := s.l.c.choose(f.Target, rng)
	every := time.Duration(0)
	if f.Kind == "restart" {
		every = f.Every
	}
	return len(targets), each(ctx, targets, every, func(i int) error {
		p := s.procs[i]
		ended := p.Ended()
		switch f.Kind {
		case "stop":
			if err := p.Signal(syscall.SIGSTOP); err != nil {
				return err
			}
			s.l.last(ctx, f)
			if f.For == 0 {
				return nil
			}
			return p.Signal(syscall.SIGCONT)
		case "kill":
			p.Kill()
			<-ended
			s.l.last(ctx, f)
			if f.For == 0 || ctx.Err() != nil {
				return nil
			}
		default:
			if err := p.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			<-ended
		}
		return p.Start()
	})
}
