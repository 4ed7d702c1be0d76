package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/discovery"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/loopback"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/lab/server"
	"knotrouter/policy"
)

// lane is one fleet with its own servers, list and clients. The first lane has the
// agents; each baseline has a lane beside it, drawn from the same seed.
type lane struct {
	c       *Config
	name    string
	policy  string // "" is the agents' lane
	clock   check.Clock
	epoch   time.Time
	seed    uint64
	dir     string
	addrs   *loopback.Net
	checker *check.Checker
	servers []*server.Server
	effects *server.Effects
	disc    *discovery.Service
	clients []*client.Client
	senders []client.Sender
	agents  []*agentProcess
	list    *stewards // nil: the stand-in
	workers *workers  // nil: there are no duties
	links   map[pair]*link.Link
	sup     *process.Supervisor
	events  *events
	ending  chan struct{}

	mu      sync.Mutex
	results []client.Result
	tally   tally
}

// tally is the running count, for progress.
type tally struct {
	Asked, InTime, Late, Refused, Failed int
}

const toDiscovery = -1

// agentProcess is one agent under test.
type agentProcess struct {
	index int
	proc  *process.Process
	addr  string
	conf  string
	disc  string     // where it asks for the list
	lists []string   // the stewards that it knows; none: it asks at disc
	mu    sync.Mutex // held through a restart
}

// events tells what happens, by name, to faults that wait for it.
type events struct {
	mu    sync.Mutex
	seen  map[string]chan struct{}
	log   []event
	clock check.Clock
}

type event struct {
	At   time.Duration
	Name string
}

// mostEvents bounds the record of events; what comes later is still told.
const mostEvents = 20_000

func newEvents(clock check.Clock) *events {
	return &events{seen: map[string]chan struct{}{}, clock: clock}
}

func (e *events) on(name string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen[name] == nil {
		e.seen[name] = make(chan struct{})
	}
	return e.seen[name]
}

func (e *events) tell(name string) {
	ch := e.on(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.log) < mostEvents {
		e.log = append(e.log, event{e.clock(), name})
	}
	select {
	case <-ch:
	default:
		close(e.seen[name])
	}
}

// seenSoFar returns the record of events.
func (e *events) seenSoFar() []event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// settings is what the agents are told, in the form that they take.
func (c *Config) settings() policy.Settings {
	r := &c.Rules
	s := policy.Settings{Replicas: c.Agents.Count, RoundMs: 5, Weights: "nominal", WeightBy: "request",
		Membership: "on_request", OverQuotaWeight: 0.1,
		Limits: policy.Limits{Cancelling: r.Cancelling, ConnectTimeoutMs: millis(r.Connect), KeepaliveMs: millis(r.Keepalive),
			MaxAttempts: r.MaxAttempts, MaxRetryAfterMs: millis(r.MaxRetryAfter), ParallelAttempts: r.ParallelTries,
			Probing: r.Probing, RetryAfter: r.RetryAfter},
		Contract: policy.Contract{AnswerSlackMs: millis(r.AnswerSlack), ListPollWithinMs: millis(r.AskWithin), SlowStartFrom: r.ColdFrom,
			SlowStartMs: millis(r.ColdFor), DrainGraceMs: millis(r.DrainGrace), FallMultiple: r.FallMultiple, TipAfterMs: millis(r.FallWindow)},
		Prices:    policy.Prices{CrossZone: 0.1, LateFail: 0.023, Probe: 0.01, Waste: 0.25},
		Objective: policy.Objective{Overall: 0.55, WorstWindow: 0.25, WorstClass: 0.2},
		Report:    policy.Report{How: c.Servers.Kind[0].Reports.How, Names: c.Servers.Kind[0].Reports.Names}}
	s.Clients.MarksRetry = true
	s.FamilyInfo.WarmKeys = c.Servers.Kind[0].Spec.AffinityGain > 0
	for _, cl := range c.Load.Class {
		s.Classes = append(s.Classes, policy.Class{Name: cl.Name, TargetMs: millis(cl.Aim), DeadlineMs: millis(cl.GiveUp),
			Effect: policy.Effect(cl.Effect), Group: policy.Group(cl.Group), DedupWindowMs: millis(cl.KeyTTL), Credit: cl.Worth})
	}
	return s
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// newLane builds the fleet. Nothing runs yet but what listens.
func newLane(c *Config, policyName, dir string, seed uint64, addrs *loopback.Net, clock check.Clock, epoch time.Time) (l *lane, err error) {
	name := policyName
	if name == "" {
		name = "agents"
	}
	l = &lane{c: c, name: name, policy: policyName, clock: clock, epoch: epoch, seed: seed, dir: dir, addrs: addrs,
		effects: server.NewEffects(), links: map[pair]*link.Link{}, events: newEvents(clock), ending: make(chan struct{})}
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	set := c.settings()
	var agents []string
	for i := range c.Agents.Count {
		agents = append(agents, agentName(i))
	}
	configs := c.drawServers(seed)
	var facts []check.Server
	for _, s := range configs {
		facts = append(facts, check.Server{Name: s.Name, Zone: s.ZoneNum, Cell: s.Cell})
	}
	l.checker = check.New(clock, &set, agents, facts)
	env := &server.Env{Clock: clock, Epoch: epoch, Checker: l.checker, Effects: l.effects, Event: l.events.tell,
		Clear: l.clear, Changed: l.serverChanged}
	for _, cl := range c.Load.Class {
		env.Classes = append(env.Classes, cl.Name)
		env.Keyed = append(env.Keyed, cl.Effect == "guarded")
		env.KeyTTL = append(env.KeyTTL, cl.KeyTTL)
	}
	var entries []discovery.Entry
	for _, s := range configs {
		sv, err := server.New(s, env, addrs.IP()+":0", seed)
		if err != nil {
			return l, err
		}
		l.servers = append(l.servers, sv)
		entries = append(entries, discovery.Entry{Server: s.Index, Name: s.Name, Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, Share: s.Share, Health: "ready"})
	}
	first := server.Version{Name: "1"}
	if v := c.version(c.Servers.Version); v != nil {
		first = *v
	}
	for _, s := range l.servers {
		if err := s.Start(first, false); err != nil {
			return l, err
		}
	}
	l.disc, err = discovery.New(c.Discovery, discovery.Env{Clock: clock, Checker: l.checker, Agents: agents,
		Dial: l.dial, Event: l.events.tell}, addrs, entries, seed)
	if err != nil {
		return l, err
	}
	if err := l.makeLinks(); err != nil {
		return l, err
	}
	if policyName == "" {
		if err := l.addAgents(set); err != nil {
			return l, err
		}
	}
	return l, l.addClients(agents)
}

// drawServers draws the fleet from the seed.
func (c *Config) drawServers(seed uint64) []server.Config {
	rng := rand.New(rand.NewPCG(seed, 21))
	sum := 0.0
	for _, k := range c.Servers.Kind {
		sum += k.Share
	}
	var kinds []int
	for i, k := range c.Servers.Kind {
		for range int(k.Share/sum*float64(c.Servers.Count) + 0.5) {
			kinds = append(kinds, i)
		}
	}
	for len(kinds) < c.Servers.Count {
		kinds = append(kinds, 0)
	}
	kinds = kinds[:c.Servers.Count]
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	out := make([]server.Config, c.Servers.Count)
	for i := range out {
		k := c.Servers.Kind[kinds[i]]
		spec := k.Spec
		spec.FallMultiple, spec.FallWindow = c.Rules.FallMultiple, c.Rules.FallWindow
		weight := k.Weight
		if weight <= 0 {
			weight = float64(spec.Cores) * spec.Speed
		}
		// A list tells what a machine was bought as; what it does is drawn round that.
		spec.Speed *= max(1+k.SpeedCV*rng.NormFloat64(), 0.3)
		zone := i % len(c.Zones)
		out[i] = server.Config{Index: i, Name: serverName(i), Zone: c.Zones[zone], ZoneNum: zone, Kind: k.Name,
			// A cell lies within a zone.
			Cell: zone + len(c.Zones)*(i/len(c.Zones)/c.Servers.Cell), Share: weight, Spec: spec, Conns: k.Conns,
			Reports: k.Reports, Noise: k.Noise, ErrorRate: k.ErrorRate}
	}
	return out
}

// makeLinks puts a link where the timeline has a fault for one.
func (l *lane) makeLinks() error {
	if l.policy != "" {
		return nil // baselines stand in the lab itself, with no link between
	}
	for i := range l.c.Fault {
		f := &l.c.Fault[i]
		for _, p := range l.pairs(f) {
			if l.links[p] != nil || p.kind > agentToDiscovery { // those of stewards are made with them
				continue
			}
			target := ""
			if p.to == toDiscovery {
				target = l.disc.Addr(p.agent)
			} else {
				target = l.servers[p.to].Addr()
			}
			k, err := link.New(l.addrs.IP()+":0", target, l.seed^uint64(p.agent*1000+p.to+1))
			if err != nil {
				return err
			}
			l.links[p] = k
		}
	}
	return nil
}

// pairs gives the links that a fault is about; none, if it is about something else.
func (l *lane) pairs(f *Fault) []pair {
	if sort, err := l.c.sortOf(f); err != nil || sort != "link" {
		return nil
	}
	rng := f.rng(l.seed)
	var out []pair
	from := l.c.choose(f.Target, rng)
	if sort, _ := l.c.selector(f.To); sort == "discovery" {
		for _, a := range from {
			out = append(out, pair{agentToDiscovery, a, toDiscovery})
		}
		return out
	}
	to := l.c.choose(f.To, rng)
	kind := agentToServer
	switch sort, _ := l.c.selector(f.Target); sort {
	case "workers":
		kind = workerToSteward
	case "stewards":
		kind = stewardToSteward
	}
	for _, a := range from {
		for _, s := range to {
			if p := (pair{kind, a, s}); kind != stewardToSteward || a != s {
				out = append(out, p)
			}
		}
	}
	return out
}

// rng draws what a fault leaves to chance; the same for the same seed and name.
func (f *Fault) rng(seed uint64) *rand.Rand {
	h := uint64(14695981039346656037)
	for _, b := range []byte(f.Name) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h))
}

// dial is where an agent reaches a server: through the link, if there is one.
func (l *lane) dial(agent, server int) string {
	if k := l.links[pair{agentToServer, agent, server}]; k != nil {
		return k.Addr()
	}
	return l.servers[server].Addr()
}

// clear tells whether no link can have kept back what an agent sent to a server of late.
func (l *lane) clear(agent, server int) bool {
	k := l.links[pair{agentToServer, agent, server}]
	return k == nil || k.Plain(2*l.longest())
}

// longest is the longest that a request of any class may take.
func (l *lane) longest() time.Duration {
	var most time.Duration
	for _, cl := range l.c.Load.Class {
		most = max(most, cl.GiveUp)
	}
	return most
}

// serverChanged passes on what happened to a server: to the list, late, and to links at once.
func (l *lane) serverChanged(s *server.Server, health string, silent bool) {
	l.events.tell("server " + s.Name + " " + health)
	if l.disc == nil {
		return // the fleet is being built
	}
	select {
	case <-l.ending:
		return
	default:
	}
	if l.list != nil {
		l.list.changed(s, health)
	} else {
		l.disc.Notice(s.Index, health, s.BornMs(), silent)
	}
	up := link.Open
	switch {
	case silent:
		up = link.Silent
	case health == "gone":
		up = link.Refused
	}
	for i := range l.c.Agents.Count {
		if k := l.links[pair{agentToServer, i, s.Index}]; k != nil {
			if err := k.Target(up); err != nil {
				l.events.tell("link failed: " + err.Error())
			}
		}
	}
}

// addAgents prepares the agents' processes.
func (l *lane) addAgents(set policy.Settings) error {
	command, err := program("agents.command", l.c.Agents.Command)
	if err != nil {
		return err
	}
	l.sup = process.New(l.exited)
	if l.c.Stewards.Count > 0 {
		if l.list, err = newStewards(l); err != nil {
			return err
		}
		if l.c.Duties.Count > 0 {
			if l.workers, err = newWorkers(l); err != nil {
				return err
			}
		}
	}
	for i := range l.c.Agents.Count {
		addr, err := l.addrs.FreePort()
		if err != nil {
			return err
		}
		a := &agentProcess{index: i, addr: addr, conf: filepath.Join(l.dir, "agents", agentName(i)+".json"), disc: l.disc.Addr(i)}
		if k := l.links[pair{agentToDiscovery, i, toDiscovery}]; k != nil {
			a.disc = k.Addr()
		}
		if l.list != nil {
			a.disc = l.list.addrs[i%len(l.list.addrs)]
			if l.c.Stewards.Agents == "all" {
				a.lists = l.list.addrs
			}
		}
		a.proc = l.sup.Add(process.Spec{Name: agentName(i), Path: command, Args: l.c.Agents.Args,
			Log: filepath.Join(l.dir, "logs", agentName(i)+".log"), ReadyURL: "http://" + addr + "/ready",
			MemoryMB: l.c.Agents.MemoryMB, Env: []string{"EDGE_NAME=" + agentName(i), "EDGE_LISTEN=" + addr,
				"EDGE_DISCOVERY=" + a.disc, "EDGE_CONFIG=" + a.conf}})
		l.agents = append(l.agents, a)
	}
	return nil
}

// program finds a program that a key names.
func program(key, command string) (string, error) {
	path, err := filepath.Abs(command)
	if err != nil {
		return "", fmt.Errorf("%s: %w", key, err)
	}
	if st, err := os.Stat(path); err != nil || st.IsDir() || st.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%s: %s: no program there; build it first", key, command)
	}
	return path, nil
}

// AgentSettings is the "settings" of an agent's configuration, in the form that it takes.
func (c *Config) AgentSettings(index int) (map[string]any, error) {
	set := c.settings()
	set.Index, set.Zone = index, index%len(c.Zones)
	text, err := json.Marshal(set)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var kinds []string
	for _, k := range c.Servers.Kind {
		kinds = append(kinds, k.Name)
	}
	settings["failureDomains"], settings["shapes"], settings["family"] = c.Zones, kinds, "mesh"
	return settings, nil
}

// configure writes an agent's configuration, and notes what it tells.
func (l *lane) configure(a *agentProcess, starts bool) error {
	settings, err := l.c.AgentSettings(a.index)
	if err != nil {
		return err
	}
	known := endpoints.List{Seq: 0, Full: true, Endpoints: []endpoints.Endpoint{}}
	if l.c.Agents.Known == "now" {
		known = l.disc.List(a.index, 0, true)
		if l.list != nil {
			if now, ok := l.list.list(); ok {
				known = now
			}
		}
	}
	conf := map[string]any{
		"name": agentName(a.index), "listen": a.addr, "discovery": a.disc,
		"seed":   fmt.Sprintf("%016x", l.seed*1_000_003+uint64(a.index*64+a.proc.Life())),
		"limits": map[string]any{"cores": l.c.Agents.Cores, "memory_mb": l.c.Agents.MemoryMB, "sockets": l.c.Agents.Sockets},
		"known":  known, "settings": settings}
	if l.list != nil {
		conf["stewards"], conf["log_level"] = a.lists, "debug" // which tells when it takes a list
	}
	text, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(a.conf), 0o755); err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	// Whole or not at all: the agent may read at any time.
	if err := os.WriteFile(a.conf+".new", text, 0o644); err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	if err := os.Rename(a.conf+".new", a.conf); err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	if starts {
		l.checker.Started(a.index)
		l.disc.Tell(a.index, &known)
		if l.list != nil {
			l.list.started(a.index)
			l.list.judge()
		}
	}
	return nil
}

// readyWithin is how long an agent may take to be ready.
const readyWithin = 30 * time.Second

// start starts an agent and, once it is ready, its client.
func (l *lane) start(ctx context.Context, a *agentProcess) error {
	if err := l.configure(a, true); err != nil {
		return err
	}
	if err := a.proc.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := a.proc.WaitReady(ctx); err != nil {
		return err
	}
	l.events.tell("agent " + a.proc.Name + " ready")
	l.clients[a.index].Up()
	return nil
}

// exited is told of the end of an agent's process.
func (l *lane) exited(p *process.Process, err error, wanted bool) {
	i := slices.IndexFunc(l.agents, func(a *agentProcess) bool { return a.proc == p })
	select {
	case <-l.ending:
		return
	default:
	}
	if i < 0 {
		l.events.tell("process " + p.Name + " ended")
		if !wanted {
			l.checker.Report(check.RuleCrash, -1, p.Name+": "+p.Tail())
		}
		return
	}
	l.events.tell("agent " + p.Name + " ended")
	if !wanted {
		text := "exit 0"
		if err != nil {
			text = err.Error()
		}
		l.checker.Report(check.RuleCrash, i, text+": "+p.Tail())
		l.checker.Killed(i)
		l.clients[i].Kill()
	}
}

// kill ends an agent and its client at once.
func (l *lane) kill(a *agentProcess) {
	l.checker.Killed(a.index)
	l.clients[a.index].Kill()
	a.proc.Kill()
}

// restart is a planned one: SIGTERM, the last connections, the end, a start.
func (l *lane) restart(ctx context.Context, a *agentProcess, rng float64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.proc.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	ended := a.proc.Ended()
	// Clients go on for 0.2 to 0.4 s after the signal.
	if !sleep(ctx, time.Duration((0.2+0.2*rng)*float64(time.Second))) {
		return ctx.Err()
	}
	l.clients[a.index].Leave()
	kill := time.NewTimer(max(l.longest(), 3*time.Second) + 700*time.Millisecond)
	defer kill.Stop()
	select {
	case <-ended:
	case <-kill.C:
		l.checker.Report(check.RuleLimit, a.index, "it did not end after SIGTERM")
		l.kill(a)
		<-ended
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.start(ctx, a)
}

// hup moves discovery for an agent and tells it so.
func (l *lane) hup(a *agentProcess) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.list != nil {
		// One of the stewards is taken from those it knows, and the next time it is there again.
		if len(a.lists) == len(l.list.addrs) && len(a.lists) > 1 {
			off := a.index % len(a.lists)
			a.lists = slices.Delete(slices.Clone(a.lists), off, off+1)
		} else {
			a.lists = l.list.addrs
		}
	} else {
		addr, err := l.disc.Move(a.index)
		if err != nil {
			return err
		}
		a.disc = addr
	}
	if err := l.configure(a, false); err != nil {
		return err
	}
	return a.proc.Signal(syscall.SIGHUP)
}

// addClients makes a client beside each agent, or each place of a baseline.
func (l *lane) addClients(agents []string) error {
	prefix := "a"
	if l.policy != "" {
		prefix = string(l.policy[:2]) + "-"
	}
	env := &client.Env{Clock: l.clock, Epoch: l.epoch, Checker: l.checker, Load: &l.c.Load, Lane: prefix,
		Slack: l.c.Rules.AnswerSlack + 60*time.Millisecond, Ended: l.ended}
	for i := range agents {
		var s client.Sender
		if l.policy == "" {
			s = &client.ToAgent{Addr: l.agents[i].addr, Clock: l.clock}
		} else {
			b, err := client.NewBaseline(&client.Baseline{Policy: l.policy, Clock: l.clock, Epoch: l.epoch, Load: &l.c.Load,
				Connect: l.c.Rules.Connect, List: func() endpoints.List { return l.disc.List(i, 0, true) }}, l.seed+uint64(i))
			if err != nil {
				return err
			}
			s = b
		}
		l.senders = append(l.senders, s)
		l.clients = append(l.clients, client.New(env, i, s))
	}
	return nil
}

func (l *lane) ended(r client.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
	t := &l.tally
	switch {
	case r.Kind == check.Void || r.Kind == check.Left:
		return
	case r.InTime:
		t.InTime++
	case r.Kind == check.Served:
		t.Late++
	case r.Kind == check.Refused:
		t.Refused++
	default:
		t.Failed++
	}
	t.Asked++
}

func (l *lane) counts() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

// close ends all that the lane has, its processes first.
func (l *lane) close() {
	select {
	case <-l.ending:
	default:
		close(l.ending)
	}
	if l.list != nil {
		l.list.close()
	}
	if l.sup != nil {
		l.sup.Close()
	}
	for _, k := range l.links {
		k.Close()
	}
	if l.disc != nil {
		l.disc.Close()
	}
	for _, s := range l.servers {
		s.Close()
	}
	for _, s := range l.senders {
		s.Reset()
	}
}

// sleep waits, or returns false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

var errInterrupted = errors.New("interrupted")
