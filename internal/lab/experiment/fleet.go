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

// fleet is one fleet with its own servers, list and clients. The first fleet has the
// agents; each baseline has a fleet beside it, drawn from the same seed.
type fleet struct {
	config       *Config
	name         string
	policy       string // "" is the agents' lane
	clock        check.Clock
	epoch        time.Time
	seed         uint64
	dir          string
	addresses    *loopback.Net
	checker      *check.Checker
	servers      []*server.Server
	effects      *server.Effects
	discovery    *discovery.Service
	clients      []*client.Client
	senders      []client.Sender
	agents       []*agentProcess
	controlPlane *controlPlane // nil: the stand-in
	workers      *workers      // nil: there are no duties
	links        map[linkKey]*link.Link
	supervisor   *process.Supervisor
	events       *eventLog
	closing      chan struct{}

	mu      sync.Mutex
	results []client.Result
	tally   requestTally
}

// requestTally is the running count, for progress.
type requestTally struct {
	Requests, InTime, Late, Rejected, Failed int
}

const discoveryIndex = -1

// agentProcess is one agent under test.
type agentProcess struct {
	index             int
	process           *process.Process
	address           string
	configPath        string
	discoveryAddr     string     // where it asks for the list
	controlPlaneAddrs []string   // the stewards that it knows; none: it asks at disc
	mu                sync.Mutex // held through a restart
}

// eventLog tells what happens, by name, to faults that wait for it.
type eventLog struct {
	mu    sync.Mutex
	seen  map[string]chan struct{}
	log   []event
	clock check.Clock
}

type event struct {
	At   time.Duration
	Name string
}

// maxRecordedEvents bounds the record of events; what comes later is still told.
const maxRecordedEvents = 20_000

func newEventLog(clock check.Clock) *eventLog {
	return &eventLog{seen: map[string]chan struct{}{}, clock: clock}
}

func (e *eventLog) occurred(name string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen[name] == nil {
		e.seen[name] = make(chan struct{})
	}
	return e.seen[name]
}

func (e *eventLog) record(name string) {
	ch := e.occurred(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.log) < maxRecordedEvents {
		e.log = append(e.log, event{e.clock(), name})
	}
	select {
	case <-ch:
	default:
		close(e.seen[name])
	}
}

// recorded returns the record of events.
func (e *eventLog) recorded() []event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// policySettings is what the agents are told, in the form that they take.
func (c *Config) policySettings() policy.Settings {
	r := &c.Rules
	s := policy.Settings{Replicas: c.Agents.Count, RoundMs: 5, Weights: "nominal", WeightBy: "request",
		Membership: "on_request", OverQuotaWeight: 0.1,
		Limits: policy.Limits{Cancelling: r.Cancelling, ConnectTimeoutMs: millis(r.ConnectTimeout), KeepaliveMs: millis(r.Keepalive),
			MaxAttempts: r.MaxAttempts, MaxRetryAfterMs: millis(r.MaxRetryAfter), ParallelAttempts: r.ParallelAttempts,
			Probing: r.Probing, RetryAfter: r.RetryAfter},
		Contract: policy.Contract{AnswerSlackMs: millis(r.AnswerSlack), ListPollWithinMs: millis(r.ListPollWithin), SlowStartFrom: r.SlowStartFrom,
			SlowStartMs: millis(r.SlowStartDuration), DrainGraceMs: millis(r.DrainGrace), FallMultiple: r.FallMultiple, TipAfterMs: millis(r.FallWindow)},
		Prices:    policy.Prices{CrossZone: 0.1, LateFail: 0.023, Probe: 0.01, Waste: 0.25},
		Objective: policy.Objective{Overall: 0.55, WorstWindow: 0.25, WorstClass: 0.2},
		Report:    policy.Report{How: c.Servers.MachineTypes[0].Reports.How, Names: c.Servers.MachineTypes[0].Reports.Names}}
	s.Clients.MarksRetry = true
	s.FamilyInfo.WarmKeys = c.Servers.MachineTypes[0].Spec.AffinityGain > 0
	for _, cl := range c.Load.Classes {
		s.Classes = append(s.Classes, policy.Class{Name: cl.Name, TargetMs: millis(cl.TargetLatency), DeadlineMs: millis(cl.Deadline),
			Effect: policy.Effect(cl.Effect), Group: policy.Group(cl.Group), DedupWindowMs: millis(cl.DedupWindow), Credit: cl.PriorityWeight})
	}
	return s
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// newFleet builds the fleet. Nothing runs yet but what listens.
func newFleet(config *Config, policyName, dir string, seed uint64, addrs *loopback.Net, clock check.Clock, epoch time.Time) (fl *fleet, err error) {
	name := policyName
	if name == "" {
		name = "agents"
	}
	fl = &fleet{config: config, name: name, policy: policyName, clock: clock, epoch: epoch, seed: seed, dir: dir, addresses: addrs,
		effects: server.NewEffects(), links: map[linkKey]*link.Link{}, events: newEventLog(clock), closing: make(chan struct{})}
	defer func() {
		if err != nil {
			fl.close()
		}
	}()
	settings := config.policySettings()
	var agents []string
	for i := range config.Agents.Count {
		agents = append(agents, agentName(i))
	}
	configs := config.drawServers(seed)
	var facts []check.Server
	for _, s := range configs {
		facts = append(facts, check.Server{Name: s.Name, Zone: s.ZoneNum, Cell: s.Cell})
	}
	fl.checker = check.New(clock, &settings, agents, facts)
	env := &server.Env{Clock: clock, Epoch: epoch, Checker: fl.checker, Effects: fl.effects, Event: fl.events.record,
		Clear: fl.linkIsClear, Changed: fl.serverChanged}
	for _, class := range config.Load.Classes {
		env.Classes = append(env.Classes, class.Name)
		env.Keyed = append(env.Keyed, class.Effect == "guarded")
		env.KeyTTL = append(env.KeyTTL, class.DedupWindow)
	}
	var entries []discovery.Entry
	for _, s := range configs {
		srv, err := server.New(s, env, addrs.IP()+":0", seed)
		if err != nil {
			return fl, err
		}
		fl.servers = append(fl.servers, srv)
		entries = append(entries, discovery.Entry{Server: s.Index, Name: s.Name, Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, Share: s.Share, Health: "ready"})
	}
	first := server.Version{Name: "1"}
	if v := config.findVersion(config.Servers.Version); v != nil {
		first = *v
	}
	for _, s := range fl.servers {
		if err := s.Start(first, false); err != nil {
			return fl, err
		}
	}
	fl.discovery, err = discovery.New(config.Discovery, discovery.Env{Clock: clock, Checker: fl.checker, Agents: agents,
		Dial: fl.serverDialAddr, Event: fl.events.record}, addrs, entries, seed)
	if err != nil {
		return fl, err
	}
	if err := fl.createLinks(); err != nil {
		return fl, err
	}
	if policyName == "" {
		if err := fl.addAgents(settings); err != nil {
			return fl, err
		}
	}
	return fl, fl.addClients(agents)
}

// drawServers draws the fleet from the seed.
func (c *Config) drawServers(seed uint64) []server.Config {
	rng := rand.New(rand.NewPCG(seed, 21))
	sum := 0.0
	for _, k := range c.Servers.MachineTypes {
		sum += k.Share
	}
	var kinds []int
	for i, k := range c.Servers.MachineTypes {
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
		k := c.Servers.MachineTypes[kinds[i]]
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
			Cell: zone + len(c.Zones)*(i/len(c.Zones)/c.Servers.CellSize), Share: weight, Spec: spec, Conns: k.Connections,
			Reports: k.Reports, Noise: k.Noise, ErrorRate: k.ErrorRate}
	}
	return out
}

// createLinks puts a link where the timeline has a fault for one.
func (fl *fleet) createLinks() error {
	if fl.policy != "" {
		return nil // baselines stand in the lab itself, with no link between
	}
	for i := range fl.config.Faults {
		f := &fl.config.Faults[i]
		for _, p := range fl.linkKeys(f) {
			if fl.links[p] != nil || p.kind > linkAgentToDiscovery { // those of stewards are made with them
				continue
			}
			target := ""
			if p.to == discoveryIndex {
				target = fl.discovery.Addr(p.from)
			} else {
				target = fl.servers[p.to].Addr()
			}
			k, err := link.New(fl.addresses.IP()+":0", target, fl.seed^uint64(p.from*1000+p.to+1))
			if err != nil {
				return err
			}
			fl.links[p] = k
		}
	}
	return nil
}

// linkKeys gives the links that a fault is about; none, if it is about something else.
func (fl *fleet) linkKeys(f *Fault) []linkKey {
	if sort, err := fl.config.faultTargetKind(f); err != nil || sort != "link" {
		return nil
	}
	rng := f.rng(fl.seed)
	var out []linkKey
	from := fl.config.selectTargets(f.Target, rng)
	if sort, _ := fl.config.selectorKind(f.To); sort == "discovery" {
		for _, a := range from {
			out = append(out, linkKey{linkAgentToDiscovery, a, discoveryIndex})
		}
		return out
	}
	to := fl.config.selectTargets(f.To, rng)
	kind := linkAgentToServer
	switch sort, _ := fl.config.selectorKind(f.Target); sort {
	case "workers":
		kind = linkWorkerToControlPlane
	case "stewards":
		kind = linkControlPlanePeers
	}
	for _, a := range from {
		for _, s := range to {
			if p := (linkKey{kind, a, s}); kind != linkControlPlanePeers || a != s {
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

// serverDialAddr is where an agent reaches a server: through the link, if there is one.
func (fl *fleet) serverDialAddr(agent, server int) string {
	if k := fl.links[linkKey{linkAgentToServer, agent, server}]; k != nil {
		return k.Addr()
	}
	return fl.servers[server].Addr()
}

// linkIsClear tells whether no link can have kept back what an agent sent to a server of late.
func (fl *fleet) linkIsClear(agent, server int) bool {
	k := fl.links[linkKey{linkAgentToServer, agent, server}]
	return k == nil || k.Plain(2*fl.maxRequestDuration())
}

// maxRequestDuration is the maxRequestDuration that a request of any class may take.
func (fl *fleet) maxRequestDuration() time.Duration {
	var most time.Duration
	for _, cl := range fl.config.Load.Classes {
		most = max(most, cl.Deadline)
	}
	return most
}

// serverChanged passes on what happened to a server: to the list, late, and to links at once.
func (fl *fleet) serverChanged(s *server.Server, health string, silent bool) {
	fl.events.record("server " + s.Name + " " + health)
	if fl.discovery == nil {
		return // the fleet is being built
	}
	select {
	case <-fl.closing:
		return
	default:
	}
	if fl.controlPlane != nil {
		fl.controlPlane.serverChanged(s, health)
	} else {
		fl.discovery.Notice(s.Index, health, s.BornMs(), silent)
	}
	up := link.Open
	switch {
	case silent:
		up = link.Silent
	case health == "gone":
		up = link.Refused
	}
	for i := range fl.config.Agents.Count {
		if k := fl.links[linkKey{linkAgentToServer, i, s.Index}]; k != nil {
			if err := k.Target(up); err != nil {
				fl.events.record("link failed: " + err.Error())
			}
		}
	}
}

// addAgents prepares the agents' processes.
func (fl *fleet) addAgents(settings policy.Settings) error {
	command, err := findProgram("agents.command", fl.config.Agents.Command)
	if err != nil {
		return err
	}
	fl.supervisor = process.New(fl.processExited)
	if fl.config.ControlPlane.Count > 0 {
		if fl.controlPlane, err = newControlPlane(fl); err != nil {
			return err
		}
		if fl.config.LeasedTasks.Count > 0 {
			if fl.workers, err = newWorkers(fl); err != nil {
				return err
			}
		}
	}
	for i := range fl.config.Agents.Count {
		addr, err := fl.addresses.FreePort()
		if err != nil {
			return err
		}
		a := &agentProcess{index: i, address: addr, configPath: filepath.Join(fl.dir, "agents", agentName(i)+".json"), discoveryAddr: fl.discovery.Addr(i)}
		if k := fl.links[linkKey{linkAgentToDiscovery, i, discoveryIndex}]; k != nil {
			a.discoveryAddr = k.Addr()
		}
		if fl.controlPlane != nil {
			a.discoveryAddr = fl.controlPlane.addresses[i%len(fl.controlPlane.addresses)]
			if fl.config.ControlPlane.AgentAccess == "all" {
				a.controlPlaneAddrs = fl.controlPlane.addresses
			}
		}
		a.process = fl.supervisor.Add(process.Spec{Name: agentName(i), Path: command, Args: fl.config.Agents.Args,
			Log: filepath.Join(fl.dir, "logs", agentName(i)+".log"), ReadyURL: "http://" + addr + "/ready",
			MemoryMB: fl.config.Agents.MemoryMB, Env: []string{"EDGE_NAME=" + agentName(i), "EDGE_LISTEN=" + addr,
				"EDGE_DISCOVERY=" + a.discoveryAddr, "EDGE_CONFIG=" + a.configPath}})
		fl.agents = append(fl.agents, a)
	}
	return nil
}

// findProgram finds a findProgram that a key names.
func findProgram(key, command string) (string, error) {
	path, err := filepath.Abs(command)
	if err != nil {
		return "", fmt.Errorf("%s: %w", key, err)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%s: %s: no program there; build it first", key, command)
	}
	return path, nil
}

// AgentSettings is the "settings" of an agent's configuration, in the form that it takes.
func (c *Config) AgentSettings(index int) (map[string]any, error) {
	set := c.policySettings()
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
	for _, k := range c.Servers.MachineTypes {
		kinds = append(kinds, k.Name)
	}
	settings["failureDomains"], settings["shapes"], settings["family"] = c.Zones, kinds, "mesh"
	return settings, nil
}

// writeAgentConfig writes an agent's configuration, and notes what it tells.
func (fl *fleet) writeAgentConfig(a *agentProcess, starts bool) error {
	settings, err := fl.config.AgentSettings(a.index)
	if err != nil {
		return err
	}
	known := endpoints.List{Seq: 0, Full: true, Endpoints: []endpoints.Endpoint{}}
	if fl.config.Agents.InitialList == "now" {
		known = fl.discovery.List(a.index, 0, true)
		if fl.controlPlane != nil {
			if now, ok := fl.controlPlane.fetchList(); ok {
				known = now
			}
		}
	}
	conf := map[string]any{
		"name": agentName(a.index), "listen": a.address, "discovery": a.discoveryAddr,
		"seed":   fmt.Sprintf("%016x", fl.seed*1_000_003+uint64(a.index*64+a.process.Life())),
		"limits": map[string]any{"cores": fl.config.Agents.Cores, "memory_mb": fl.config.Agents.MemoryMB, "sockets": fl.config.Agents.Sockets},
		"known":  known, "settings": settings}
	if fl.controlPlane != nil {
		conf["stewards"], conf["log_level"] = a.controlPlaneAddrs, "debug" // which tells when it takes a list
	}
	text, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(a.configPath), 0o755); err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	// Whole or not at all: the agent may read at any time.
	if err := os.WriteFile(a.configPath+".new", text, 0o644); err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	if err := os.Rename(a.configPath+".new", a.configPath); err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	if starts {
		fl.checker.AgentStarted(a.index)
		fl.discovery.Tell(a.index, &known)
		if fl.controlPlane != nil {
			fl.controlPlane.agentStarted(a.index)
			fl.controlPlane.updateChecker()
		}
	}
	return nil
}

// readyTimeout is how long an agent may take to be ready.
const readyTimeout = 30 * time.Second

// startAgent starts an agent and, once it is ready, its client.
func (fl *fleet) startAgent(ctx context.Context, a *agentProcess) error {
	if err := fl.writeAgentConfig(a, true); err != nil {
		return err
	}
	if err := a.process.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := a.process.WaitReady(ctx); err != nil {
		return err
	}
	fl.events.record("agent " + a.process.Name + " ready")
	fl.clients[a.index].Start()
	return nil
}

// processExited is told of the end of an agent's process.
func (fl *fleet) processExited(p *process.Process, err error, expected bool) {
	i := slices.IndexFunc(fl.agents, func(a *agentProcess) bool { return a.process == p })
	select {
	case <-fl.closing:
		return
	default:
	}
	if i < 0 {
		fl.events.record("process " + p.Name + " ended")
		if !expected {
			fl.checker.ReportBreach(check.RuleCrash, -1, p.Name+": "+p.Tail())
		}
		return
	}
	fl.events.record("agent " + p.Name + " ended")
	if !expected {
		text := "exit 0"
		if err != nil {
			text = err.Error()
		}
		fl.checker.ReportBreach(check.RuleCrash, i, text+": "+p.Tail())
		fl.checker.AgentKilled(i)
		fl.clients[i].Kill()
	}
}

// killAgent ends an agent and its client at once.
func (fl *fleet) killAgent(a *agentProcess) {
	fl.checker.AgentKilled(a.index)
	fl.clients[a.index].Kill()
	a.process.Kill()
}

// restartAgent is a planned one: SIGTERM, the last connections, the end, a start.
func (fl *fleet) restartAgent(ctx context.Context, a *agentProcess, draw float64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	ended := a.process.Ended()
	// Clients go on for 0.2 to 0.4 s after the signal.
	if !sleep(ctx, time.Duration((0.2+0.2*draw)*float64(time.Second))) {
		return ctx.Err()
	}
	fl.clients[a.index].StopSending()
	kill := time.NewTimer(max(fl.maxRequestDuration(), 3*time.Second) + 700*time.Millisecond)
	defer kill.Stop()
	select {
	case <-ended:
	case <-kill.C:
		fl.checker.ReportBreach(check.RuleLimit, a.index, "it did not end after SIGTERM")
		fl.killAgent(a)
		<-ended
	case <-ctx.Done():
		return ctx.Err()
	}
	return fl.startAgent(ctx, a)
}

// reloadAgent moves discovery for an agent and tells it so.
func (fl *fleet) reloadAgent(a *agentProcess) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fl.controlPlane != nil {
		// One of the stewards is taken from those it knows, and the next time it is there again.
		if len(a.controlPlaneAddrs) == len(fl.controlPlane.addresses) && len(a.controlPlaneAddrs) > 1 {
			off := a.index % len(a.controlPlaneAddrs)
			a.controlPlaneAddrs = slices.Delete(slices.Clone(a.controlPlaneAddrs), off, off+1)
		} else {
			a.controlPlaneAddrs = fl.controlPlane.addresses
		}
	} else {
		addr, err := fl.discovery.Move(a.index)
		if err != nil {
			return err
		}
		a.discoveryAddr = addr
	}
	if err := fl.writeAgentConfig(a, false); err != nil {
		return err
	}
	return a.process.Signal(syscall.SIGHUP)
}

// addClients makes a client beside each agent, or each place of a baseline.
func (fl *fleet) addClients(agents []string) error {
	prefix := "a"
	if fl.policy != "" {
		prefix = string(fl.policy[:2]) + "-"
	}
	env := &client.Env{Clock: fl.clock, Epoch: fl.epoch, Checker: fl.checker, Load: &fl.config.Load, IDPrefix: prefix,
		ListenSlack: fl.config.Rules.AnswerSlack + 60*time.Millisecond, Finished: fl.recordResult}
	for i := range agents {
		var s client.Sender
		if fl.policy == "" {
			s = &client.ToAgent{Addr: fl.agents[i].address, Clock: fl.clock}
		} else {
			b, err := client.NewBaseline(&client.Baseline{Policy: fl.policy, Clock: fl.clock, Epoch: fl.epoch, Load: &fl.config.Load,
				ConnectTimeout: fl.config.Rules.ConnectTimeout, List: func() endpoints.List { return fl.discovery.List(i, 0, true) }}, fl.seed+uint64(i))
			if err != nil {
				return err
			}
			s = b
		}
		fl.senders = append(fl.senders, s)
		fl.clients = append(fl.clients, client.New(env, i, s))
	}
	return nil
}

func (fl *fleet) recordResult(r client.Result) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.results = append(fl.results, r)
	t := &fl.tally
	switch {
	case r.Outcome == check.Void || r.Outcome == check.ClientCanceled:
		return
	case r.InTime:
		t.InTime++
	case r.Outcome == check.Served:
		t.Late++
	case r.Outcome == check.Rejected:
		t.Rejected++
	default:
		t.Failed++
	}
	t.Requests++
}

func (fl *fleet) currentTally() requestTally {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.tally
}

// close ends all that the lane has, its processes first.
func (fl *fleet) close() {
	select {
	case <-fl.closing:
	default:
		close(fl.closing)
	}
	if fl.controlPlane != nil {
		fl.controlPlane.close()
	}
	if fl.supervisor != nil {
		fl.supervisor.Close()
	}
	for _, k := range fl.links {
		k.Close()
	}
	if fl.discovery != nil {
		fl.discovery.Close()
	}
	for _, s := range fl.servers {
		s.Close()
	}
	for _, s := range fl.senders {
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
