package experiment

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/lab/server"
	"knotrouter/internal/member"
)

// Stewards is the project's own list service in place of the stand-in.
type Stewards struct {
	Count    int           `koanf:"count"` // 0: the stand-in lists the servers
	Command  string        `koanf:"command"`
	LeaseTTL time.Duration `koanf:"lease_ttl"`
	Watches  int           `koanf:"watches"` // of the lab's own on top of the agents', to see how changes spread
	// What an agent knows of them: "all", in an order of its own, or "one", as the platform
	// tells it of one discovery.
	Agents   string `koanf:"agents"`
	Gossip   bool   `koanf:"gossip"`   // they tell each other who is there
	Evidence bool   `koanf:"evidence"` // the others are asked before a server is taken off the list
}

func stewardName(i int) string { return fmt.Sprintf("st-%d", i+1) }

// stewards runs the list service of a lane, has its servers register, and watches what it
// tells: an agent counts as told when watches of the lab's own have been at all stewards
// where it may be.
type stewards struct {
	l      *lane
	procs  []*process.Process
	addrs  []string
	client *control.Client
	ctx    context.Context
	stop   context.CancelFunc
	owned  sync.WaitGroup

	views []view                       // by steward
	told  []map[int]endpoints.Endpoint // by agent: what the checker was told last
	wires map[pair][]wire
	// faulty are the pairs that the timeline has a fault for.
	faulty map[pair]bool

	mu     sync.Mutex
	heard  map[int]bool // servers that are there to say so
	mute   map[int]bool // and whose word reaches nobody
	sent   map[int64]time.Duration
	spread *hdrhistogram.Histogram // from a change's being sent to a watch's having it, in µs
	last   map[int64]time.Duration // by version, to the last watch
}

// view is what a steward tells its watches.
type view struct {
	up    bool
	upAt  time.Duration // when it was last
	about map[int]endpoints.Endpoint
}

func newStewards(l *lane) (*stewards, error) {
	s := &stewards{l: l, heard: map[int]bool{}, mute: map[int]bool{}, sent: map[int64]time.Duration{}, last: map[int64]time.Duration{},
		spread: hdrhistogram.New(1, 120_000_000, 3), wires: map[pair][]wire{}, faulty: map[pair]bool{}}
	for i := range l.c.Fault {
		for _, p := range l.pairs(&l.c.Fault[i]) {
			s.faulty[p] = true
		}
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	command, err := program("stewards.command", l.c.Stewards.Command)
	if err != nil {
		return nil, err
	}
	var raft, gossip []string
	for range l.c.Stewards.Count {
		for _, list := range []*[]string{&s.addrs, &raft, &gossip} {
			addr, err := l.addrs.FreePort()
			if err != nil {
				return nil, err
			}
			*list = append(*list, addr)
		}
	}
	s.client = control.NewClient(s.addrs, 2*time.Second)
	s.views = make([]view, len(s.addrs))
	for i := range s.views {
		s.views[i].about = map[int]endpoints.Endpoint{}
	}
	s.told = make([]map[int]endpoints.Endpoint, l.c.Agents.Count)
	for i := range s.told {
		s.told[i] = map[int]endpoints.Endpoint{}
	}
	for i := range s.addrs {
		name := stewardName(i)
		text := fmt.Sprintf("name = %q\ndata = %q\nlisten = %q\nraft = %q\nlease_ttl = %q\nzone = %q\nevidence = %v\n", name,
			filepath.Join(l.dir, "stewards", name), s.addrs[i], raft[i], l.c.Stewards.LeaseTTL, l.c.Zones[i%len(l.c.Zones)], l.c.Stewards.Evidence)
		if l.c.Stewards.Gossip {
			text += fmt.Sprintf("gossip = %q\n", gossip[i])
		}
		for j := range s.addrs {
			at := []string{s.addrs[j], raft[j], gossip[j]}
			for k := range at {
				if at[k], err = s.reach(pair{stewardToSteward, i, j}, at[k], k == 2); err != nil {
					return nil, err
				}
			}
			text += fmt.Sprintf("[peers.%s]\nhttp = %q\nraft = %q\n", stewardName(j), at[0], at[1])
			if l.c.Stewards.Gossip {
				text += fmt.Sprintf("gossip = %q\n", at[2])
			}
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
		if err := again(ctx, "stewards: server "+sv.Name+" was not taken", func() error { return s.register(ctx, sv) }); err != nil {
			return err
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
	for _, all := range s.wires {
		for _, w := range all {
			w.Close()
		}
	}
}

// entry is what a server says of itself.
func (s *stewards) entry(sv *server.Server) endpoints.Endpoint {
	health := endpoints.Ready
	if sv.Health() == endpoints.Draining {
		health = endpoints.Draining
	}
	return endpoints.Endpoint{Name: sv.Name, Dial: sv.Addr(), Site: sv.Zone, Class: sv.Kind, Block: sv.Cell, Health: health,
		Weight: sv.Share, StartedMs: float64(sv.BornMs())}
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
	s.heard[sv.Index] = health != endpoints.Removed
	s.mu.Unlock()
	if health == endpoints.Removed {
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
		var refs []catalog.InstanceRef
		var of []*server.Server
		s.mu.Lock()
		for i, sv := range s.l.servers {
			if s.heard[i] && !s.mute[i] {
				refs, of = append(refs, catalog.InstanceRef{Name: sv.Name, StartedMs: float64(sv.BornMs())}), append(of, sv)
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

// hush has a server's renewals reach nobody, or lets them again.
func (s *stewards) hush(server int, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute[server] = is
}

// watch follows one steward; the first at each tells the checker what agents there know.
func (s *stewards) watch(at int, tells bool) {
	c := endpoints.NewClient(endpoints.ClientConfig{Addresses: s.addrs[at : at+1], SilenceTimeout: silence})
	var seq int64
	for s.ctx.Err() == nil {
		_ = c.Watch(s.ctx, seq, func(l endpoints.List) {
			s.seen(seq, l.Seq)
			seq = l.Seq
			if tells {
				s.tell(at, &l)
			}
		})
		if tells {
			s.down(at)
		}
		sleep(s.ctx, 100*time.Millisecond)
	}
}

// silence is later than an agent's own patience, so that it counts as told by a steward
// that has gone silent no sooner than it has left it.
const silence = endpoints.WatchSilenceTimeout + 1500*time.Millisecond

// mayBeAt tells whether the agent can be at the steward.
func (s *stewards) mayBeAt(agent, at int) bool {
	return s.l.c.Stewards.Agents == "all" || agent%len(s.addrs) == at
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

// tell takes what a steward told its watches, and tells the checker what agents know by it.
func (s *stewards) tell(at int, l *endpoints.List) {
	s.mu.Lock()
	v := &s.views[at]
	v.up, v.upAt = true, s.l.clock()
	if l.Full {
		for i, h := range v.about { // what a whole list doesn't name is gone
			h.Health = endpoints.Removed
			v.about[i] = h
		}
	}
	for _, h := range l.Endpoints {
		i := slices.IndexFunc(s.l.servers, func(sv *server.Server) bool { return sv.Name == h.Name })
		if i < 0 {
			continue
		}
		v.about[i] = h
		s.l.checker.Known(i, h.Health, int64(h.StartedMs))
		s.l.events.tell("discovery lists " + h.Name + " " + h.Health)
	}
	s.mu.Unlock()
	s.judge()
}

func (s *stewards) down(at int) {
	s.mu.Lock()
	s.views[at].up = false
	s.mu.Unlock()
	s.judge()
}

// judge tells the checker what each agent knows: what all stewards say at which it may be,
// those included that it may have left only just now.
func (s *stewards) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.l.clock()
	for a := range s.l.c.Agents.Count {
		var at []*view
		reach := false
		for i := range s.views {
			if v := &s.views[i]; s.mayBeAt(a, i) {
				if v.up {
					v.upAt = now
				}
				if reach = reach || v.up; now-v.upAt < silence {
					at = append(at, v)
				}
			}
		}
		s.l.checker.Cut(a, !reach)
		if len(at) == 0 {
			continue
		}
		for i, h := range at[0].about {
			same := true
			for _, v := range at[1:] {
				same = same && v.about[i].Health == h.Health && v.about[i].StartedMs == h.StartedMs
			}
			// That it may send there again an agent may have heard from any of them.
			if was, some := s.told[a][i]; !same && some && was.Health != endpoints.Ready {
				for _, v := range at {
					if v.about[i].Health == endpoints.Ready {
						h, same = v.about[i], true
					}
				}
			}
			// Once only: an agent that has started since learns it again in its own time.
			if same && s.told[a][i] != h {
				s.told[a][i] = h
				s.l.checker.Told(a, i, h.Health, int64(h.StartedMs))
			}
		}
	}
}

// taken is a line of an agent's log: it has a list of this version from then on.
var taken = regexp.MustCompile(`^time=(\S+) level=DEBUG msg="list taken" .*version=(\d+)`)

// learnt reads from the agents' logs when each change was taken by each of them: all
// times, and those of the last agent of each change, in µs.
func (s *stewards) learnt() (each, last *hdrhistogram.Histogram) {
	each, last = hdrhistogram.New(1, 120_000_000, 3), hdrhistogram.New(1, 120_000_000, 3)
	s.mu.Lock()
	defer s.mu.Unlock()
	seqs := slices.Sorted(maps.Keys(s.sent))
	slowest := make([]time.Duration, len(seqs))
	for _, a := range s.l.agents {
		f, err := os.Open(a.proc.Log)
		if err != nil {
			continue
		}
		i := 0
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			m := taken.FindSubmatch(lines.Bytes())
			if m == nil {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, string(m[1]))
			version, err2 := strconv.ParseInt(string(m[2]), 10, 64)
			if err != nil || err2 != nil {
				continue
			}
			now := at.Sub(s.l.epoch)
			for ; i < len(seqs) && seqs[i] <= version; i++ {
				if took := now - s.sent[seqs[i]]; s.sent[seqs[i]] > s.l.c.Warmup {
					_ = each.RecordValue(max(took.Microseconds(), 1))
					slowest[i] = max(slowest[i], took)
				}
			}
		}
		f.Close()
	}
	for _, took := range slowest {
		if took > 0 {
			_ = last.RecordValue(max(took.Microseconds(), 1))
		}
	}
	return each, last
}

// list is the whole list, or none if no steward answers.
func (s *stewards) list() (endpoints.List, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
	defer cancel()
	l, err := s.client.List(ctx)
	return l, err == nil
}

// started is told of a new process of an agent, whose configuration may list less than what
// the checker was told of: what is ready is to be told again, and as soon as it is known.
func (s *stewards) started(agent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.told[agent], func(_ int, h endpoints.Endpoint) bool { return h.Health == endpoints.Ready })
}

// figures tells how changes spread.
func (s *stewards) figures(t *Total) {
	each, toLast := s.learnt()
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
	t.LearntP50Ms, t.LearntP99Ms = millisAt(each, 50), millisAt(each, 99)
	t.LastAgentP50Ms, t.LastAgentP99Ms = millisAt(toLast, 50), millisAt(toLast, 99)
	t.Changes = toLast.TotalCount()
	if s.l.c.Stewards.Gossip {
		views, _ := control.ReadMemberViews(s.ctx, s.addrs, 2*time.Second)
		for i := range views { // the one that knows least
			if n := views[i].Count(member.RoleAgent, member.Present); i == 0 || n < t.AgentsPresent {
				t.AgentsPresent = n
			}
		}
	}
}

func millisAt(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// strike does something to stewards' processes.
func (s *stewards) strike(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	return strikeAll(ctx, s.l, s.procs, f, rng)
}
