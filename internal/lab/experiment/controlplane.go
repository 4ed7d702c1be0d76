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

// ControlPlane is the project's own list service in place of the stand-in.
type ControlPlane struct {
	Count    int           `koanf:"count"` // 0: the stand-in lists the servers
	Command  string        `koanf:"command"`
	LeaseTTL time.Duration `koanf:"lease_ttl"`
	Watches  int           `koanf:"watches"` // of the lab's own on top of the agents', to see how changes spread
	// What an agent knows of them: "all", in an order of its own, or "one", as the platform
	// tells it of one discovery.
	AgentAccess string `koanf:"agents"`
	Gossip      bool   `koanf:"gossip"`   // they tell each other who is there
	Evidence    bool   `koanf:"evidence"` // the others are asked before a server is taken off the list
}

func controlPlaneName(i int) string { return fmt.Sprintf("st-%d", i+1) }

// controlPlane runs the list service of a lane, has its servers register, and watches what it
// tells: an agent counts as told when watches of the lab's own have been at all controlPlane
// where it may be.
type controlPlane struct {
	fleet      *fleet
	processes  []*process.Process
	addresses  []string
	client     *control.Client
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	views    []watchView                  // by steward
	notified []map[int]endpoints.Endpoint // by agent: what the checker was told last
	links    map[linkKey][]controllableLink
	// faultyLinks are the pairs that the timeline has a fault for.
	faultyLinks map[linkKey]bool

	mu             sync.Mutex
	registered     map[int]bool // servers that are there to say so
	muted          map[int]bool // and whose word reaches nobody
	sentAt         map[int64]time.Duration
	propagation    *hdrhistogram.Histogram // from a change's being sent to a watch's having it, in µs
	lastWatchDelay map[int64]time.Duration // by version, to the last watch
}

// watchView is what a steward tells its watches.
type watchView struct {
	up        bool
	lastUpAt  time.Duration // when it was last
	endpoints map[int]endpoints.Endpoint
}

func newControlPlane(fl *fleet) (*controlPlane, error) {
	cp := &controlPlane{fleet: fl, registered: map[int]bool{}, muted: map[int]bool{}, sentAt: map[int64]time.Duration{}, lastWatchDelay: map[int64]time.Duration{},
		propagation: hdrhistogram.New(1, 120_000_000, 3), links: map[linkKey][]controllableLink{}, faultyLinks: map[linkKey]bool{}}
	for i := range fl.config.Faults {
		for _, p := range fl.linkKeys(&fl.config.Faults[i]) {
			cp.faultyLinks[p] = true
		}
	}
	cp.ctx, cp.cancel = context.WithCancel(context.Background())
	command, err := findProgram("stewards.command", fl.config.ControlPlane.Command)
	if err != nil {
		return nil, err
	}
	var raft, gossip []string
	for range fl.config.ControlPlane.Count {
		for _, list := range []*[]string{&cp.addresses, &raft, &gossip} {
			addr, err := fl.addresses.FreePort()
			if err != nil {
				return nil, err
			}
			*list = append(*list, addr)
		}
	}
	cp.client = control.NewClient(cp.addresses, 2*time.Second)
	cp.views = make([]watchView, len(cp.addresses))
	for i := range cp.views {
		cp.views[i].endpoints = map[int]endpoints.Endpoint{}
	}
	cp.notified = make([]map[int]endpoints.Endpoint, fl.config.Agents.Count)
	for i := range cp.notified {
		cp.notified[i] = map[int]endpoints.Endpoint{}
	}
	for i := range cp.addresses {
		name := controlPlaneName(i)
		text := fmt.Sprintf("name = %q\ndata = %q\nlisten = %q\nraft = %q\nlease_ttl = %q\nzone = %q\nevidence = %v\n", name,
			filepath.Join(fl.dir, "stewards", name), cp.addresses[i], raft[i], fl.config.ControlPlane.LeaseTTL, fl.config.Zones[i%len(fl.config.Zones)], fl.config.ControlPlane.Evidence)
		if fl.config.ControlPlane.Gossip {
			text += fmt.Sprintf("gossip = %q\n", gossip[i])
		}
		for j := range cp.addresses {
			at := []string{cp.addresses[j], raft[j], gossip[j]}
			for k := range at {
				if at[k], err = cp.linkedAddress(linkKey{linkControlPlanePeers, i, j}, at[k], k == 2); err != nil {
					return nil, err
				}
			}
			text += fmt.Sprintf("[peers.%s]\nhttp = %q\nraft = %q\n", controlPlaneName(j), at[0], at[1])
			if fl.config.ControlPlane.Gossip {
				text += fmt.Sprintf("gossip = %q\n", at[2])
			}
		}
		conf := filepath.Join(fl.dir, "stewards", name+".toml")
		if err := os.MkdirAll(filepath.Dir(conf), 0o755); err != nil {
			return nil, fmt.Errorf("steward configuration: %w", err)
		}
		// What a play before left there is not this fleet's.
		if err := os.RemoveAll(filepath.Join(fl.dir, "stewards", name)); err != nil {
			return nil, fmt.Errorf("steward configuration: %w", err)
		}
		if err := os.WriteFile(conf, []byte(text), 0o644); err != nil {
			return nil, fmt.Errorf("steward configuration: %w", err)
		}
		cp.processes = append(cp.processes, fl.supervisor.Add(process.Spec{Name: name, Path: command, Args: []string{"serve", "--config", conf},
			Log: filepath.Join(fl.dir, "logs", name+".log")}))
	}
	return cp, nil
}

// start starts the stewards and has all servers listed before any agent asks.
func (s *controlPlane) start(ctx context.Context) error {
	for _, p := range s.processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, sv := range s.fleet.servers {
		s.mu.Lock()
		s.registered[i] = true
		s.mu.Unlock()
		if err := retry(ctx, "stewards: server "+sv.Name+" was not taken", func() error { return s.register(ctx, sv) }); err != nil {
			return err
		}
	}
	watches := s.fleet.config.ControlPlane.Watches
	for i := range max(len(s.addresses), watches) {
		s.background.Add(1)
		go func() {
			defer s.background.Done()
			s.watch(i%len(s.addresses), i < len(s.addresses))
		}()
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		s.renewLeases()
	}()
	return nil
}

func (s *controlPlane) close() {
	s.cancel()
	s.background.Wait()
	for _, all := range s.links {
		for _, w := range all {
			w.Close()
		}
	}
}

// endpointOf is what a server says of itself.
func (s *controlPlane) endpointOf(sv *server.Server) endpoints.Endpoint {
	health := endpoints.Ready
	if sv.Health() == endpoints.Draining {
		health = endpoints.Draining
	}
	return endpoints.Endpoint{Name: sv.Name, Dial: sv.Addr(), Site: sv.Zone, Class: sv.Kind, Block: sv.Cell, Health: health,
		Weight: sv.Share, StartedMs: float64(sv.BornMs())}
}

func (s *controlPlane) register(ctx context.Context, sv *server.Server) error {
	began := s.fleet.clock()
	r, err := s.client.Register(ctx, s.endpointOf(sv))
	if err == nil {
		s.mu.Lock()
		s.sentAt[r.Seq] = began
		s.mu.Unlock()
	}
	return err
}

// serverChanged is told what happened to a server; only what it could say itself is said.
func (s *controlPlane) serverChanged(sv *server.Server, health string) {
	s.mu.Lock()
	s.registered[sv.Index] = health != endpoints.Removed
	s.mu.Unlock()
	if health == endpoints.Removed {
		return // it is dead or cut off: the stewards have to notice
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		for sv.Health() == health && s.register(s.ctx, sv) != nil {
			if !sleep(s.ctx, 200*time.Millisecond) {
				return
			}
		}
	}()
}

// renewLeases says thrice a lease which servers are there, in one call for all as a host does.
func (s *controlPlane) renewLeases() {
	for sleep(s.ctx, s.fleet.config.ControlPlane.LeaseTTL/3) {
		var refs []catalog.InstanceRef
		var of []*server.Server
		s.mu.Lock()
		for i, sv := range s.fleet.servers {
			if s.registered[i] && !s.muted[i] {
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

// setMuted has a server's renewals reach nobody, or lets them again.
func (s *controlPlane) setMuted(server int, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted[server] = is
}

// watch follows one steward; the first at each tells the checker what agents there know.
func (s *controlPlane) watch(index int, notifies bool) {
	client := endpoints.NewClient(endpoints.ClientConfig{Addresses: s.addresses[index : index+1], SilenceTimeout: watchSilence})
	var seq int64
	for s.ctx.Err() == nil {
		_ = client.Watch(s.ctx, seq, func(l endpoints.List) {
			s.recordPropagation(seq, l.Seq)
			seq = l.Seq
			if notifies {
				s.applyList(index, &l)
			}
		})
		if notifies {
			s.markDown(index)
		}
		sleep(s.ctx, 100*time.Millisecond)
	}
}

// watchSilence is later than an agent's own patience, so that it counts as told by a steward
// that has gone silent no sooner than it has left it.
const watchSilence = endpoints.WatchSilenceTimeout + 1500*time.Millisecond

// mayUse tells whether the agent can be at the steward.
func (s *controlPlane) mayUse(agent, index int) bool {
	return s.fleet.config.ControlPlane.AgentAccess == "all" || agent%len(s.addresses) == index
}

// recordPropagation notes how long the changes took that a line brought.
func (s *controlPlane) recordPropagation(from, to int64) {
	if from == 0 {
		return
	}
	now := s.fleet.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for seq := from + 1; seq <= to && seq <= from+1000; seq++ {
		if began, ok := s.sentAt[seq]; ok {
			_ = s.propagation.RecordValue(max((now - began).Microseconds(), 1))
			s.lastWatchDelay[seq] = max(s.lastWatchDelay[seq], now-began)
		}
	}
}

// applyList takes what a steward told its watches, and tells the checker what agents know by it.
func (s *controlPlane) applyList(index int, list *endpoints.List) {
	s.mu.Lock()
	view := &s.views[index]
	view.up, view.lastUpAt = true, s.fleet.clock()
	if list.Full {
		for i, endpoint := range view.endpoints { // what a whole list doesn't name is gone
			endpoint.Health = endpoints.Removed
			view.endpoints[i] = endpoint
		}
	}
	for _, endpoint := range list.Endpoints {
		i := slices.IndexFunc(s.fleet.servers, func(sv *server.Server) bool { return sv.Name == endpoint.Name })
		if i < 0 {
			continue
		}
		view.endpoints[i] = endpoint
		s.fleet.checker.RecordDiscovery(i, endpoint.Health, int64(endpoint.StartedMs))
		s.fleet.events.record("discovery lists " + endpoint.Name + " " + endpoint.Health)
	}
	s.mu.Unlock()
	s.updateChecker()
}

func (s *controlPlane) markDown(index int) {
	s.mu.Lock()
	s.views[index].up = false
	s.mu.Unlock()
	s.updateChecker()
}

// updateChecker tells the checker what each agent knows: what all stewards say at which it may be,
// those included that it may have left only just now.
func (s *controlPlane) updateChecker() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.fleet.clock()
	for a := range s.fleet.config.Agents.Count {
		var at []*watchView
		reach := false
		for i := range s.views {
			if v := &s.views[i]; s.mayUse(a, i) {
				if v.up {
					v.lastUpAt = now
				}
				if reach = reach || v.up; now-v.lastUpAt < watchSilence {
					at = append(at, v)
				}
			}
		}
		s.fleet.checker.SetDiscoveryCut(a, !reach)
		if len(at) == 0 {
			continue
		}
		for i, h := range at[0].endpoints {
			same := true
			for _, v := range at[1:] {
				same = same && v.endpoints[i].Health == h.Health && v.endpoints[i].StartedMs == h.StartedMs
			}
			// That it may send there again an agent may have heard from any of them.
			if was, some := s.notified[a][i]; !same && some && was.Health != endpoints.Ready {
				for _, v := range at {
					if v.endpoints[i].Health == endpoints.Ready {
						h, same = v.endpoints[i], true
					}
				}
			}
			// Once only: an agent that has started since learns it again in its own time.
			if same && s.notified[a][i] != h {
				s.notified[a][i] = h
				s.fleet.checker.RecordNotified(a, i, h.Health, int64(h.StartedMs))
			}
		}
	}
}

// listAppliedLine is a line of an agent's log: it has a list of this version from then on.
var listAppliedLine = regexp.MustCompile(`^time=(\S+) level=DEBUG msg="list taken" .*version=(\d+)`)

// agentPropagation reads from the agents' logs when each change was taken by each of them: all
// times, and those of the last agent of each change, in µs.
func (s *controlPlane) agentPropagation() (each, last *hdrhistogram.Histogram) {
	each, last = hdrhistogram.New(1, 120_000_000, 3), hdrhistogram.New(1, 120_000_000, 3)
	s.mu.Lock()
	defer s.mu.Unlock()
	seqs := slices.Sorted(maps.Keys(s.sentAt))
	slowest := make([]time.Duration, len(seqs))
	for _, a := range s.fleet.agents {
		f, err := os.Open(a.process.Log)
		if err != nil {
			continue
		}
		i := 0
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			m := listAppliedLine.FindSubmatch(lines.Bytes())
			if m == nil {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, string(m[1]))
			version, err2 := strconv.ParseInt(string(m[2]), 10, 64)
			if err != nil || err2 != nil {
				continue
			}
			now := at.Sub(s.fleet.epoch)
			for ; i < len(seqs) && seqs[i] <= version; i++ {
				if took := now - s.sentAt[seqs[i]]; s.sentAt[seqs[i]] > s.fleet.config.Warmup {
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

// fetchList is the whole fetchList, or none if no steward answers.
func (s *controlPlane) fetchList() (endpoints.List, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
	defer cancel()
	l, err := s.client.List(ctx)
	return l, err == nil
}

// agentStarted is told of a new process of an agent, whose configuration may list less than what
// the checker was told of: what is ready is to be told again, and as soon as it is known.
func (s *controlPlane) agentStarted(agent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.notified[agent], func(_ int, h endpoints.Endpoint) bool { return h.Health == endpoints.Ready })
}

// addTotals tells how changes spread.
func (s *controlPlane) addTotals(t *Total) {
	each, toLast := s.agentPropagation()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.PropagationSamples = s.propagation.TotalCount()
	t.PropagationP50Ms = float64(s.propagation.ValueAtQuantile(50)) / 1000
	t.PropagationP99Ms = float64(s.propagation.ValueAtQuantile(99)) / 1000
	last := hdrhistogram.New(1, 120_000_000, 3)
	for _, d := range s.lastWatchDelay {
		_ = last.RecordValue(max(d.Microseconds(), 1))
	}
	t.LastWatchP99Ms = float64(last.ValueAtQuantile(99)) / 1000
	t.AgentPropagationP50Ms, t.AgentPropagationP99Ms = millisAt(each, 50), millisAt(each, 99)
	t.LastAgentP50Ms, t.LastAgentP99Ms = millisAt(toLast, 50), millisAt(toLast, 99)
	t.Changes = toLast.TotalCount()
	if s.fleet.config.ControlPlane.Gossip {
		views, _ := control.ReadMemberViews(s.ctx, s.addresses, 2*time.Second)
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

// applyFault does something to stewards' processes.
func (s *controlPlane) applyFault(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	return applyProcessFault(ctx, s.fleet, s.processes, f, rng)
}
