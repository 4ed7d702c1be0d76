package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/discovery"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/loopback"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/lab/server"
)

// agentsFleetName is the name of the fleet with the agents under test.
const agentsFleetName = "agents"

// serverDrawStream is the stream number of the random source from which the servers are drawn.
const serverDrawStream = 21

// fleet is a set of emulated servers with its own discovery and clients. The first fleet of a
// run has the agents under test; each baseline has a fleet of its own, drawn from the same seed.
type fleet struct {
	fleetOptions
	name         string
	checker      *check.Checker
	servers      []*server.Server
	effects      *server.Effects
	discovery    *discovery.Service
	clients      []*client.Client // by agent
	senders      []client.Sender  // by agent
	agents       []*agentProcess  // empty in the fleet of a baseline
	controlPlane *controlPlane    // nil if the emulated list service lists the servers instead
	workers      *workers         // nil without leased tasks
	links        map[linkKey]*link.Link
	supervisor   *process.Supervisor // nil in the fleet of a baseline
	events       *eventLog
	closing      chan struct{} // closed when close begins

	mu      sync.Mutex
	results []client.Result
	tally   requestTally
}

// fleetOptions holds the parameters of a fleet.
type fleetOptions struct {
	config    *Config
	policy    string // the policy of a baseline; "" for the fleet with the agents
	dir       string // directory of the results
	seed      uint64
	addresses *loopback.AddressBlock
	clock     check.Clock
	epoch     time.Time // time at which the clock was 0
}

// newFleet builds a fleet. Its servers, discovery and links are listening when it returns, but no process
// has been started. On an error, everything that was opened is closed.
func newFleet(options fleetOptions) (*fleet, error) {
	fl := &fleet{fleetOptions: options, name: options.policy, effects: server.NewEffects(),
		links: map[linkKey]*link.Link{}, events: newEventLog(options.clock), closing: make(chan struct{})}
	if fl.name == "" {
		fl.name = agentsFleetName
	}
	if err := fl.build(); err != nil {
		fl.close()
		return nil, err
	}
	return fl, nil
}

// build creates the parts of a fleet. On an error, the caller closes the fleet.
func (fl *fleet) build() error {
	settings := fl.config.policySettings()
	agents := fl.config.agentNames()
	configs := fl.config.drawServers(fl.seed)
	fl.checker = check.New(fl.clock, &settings, agents, checkedServers(configs))
	if err := fl.startServers(configs); err != nil {
		return err
	}
	var err error
	fl.discovery, err = discovery.New(fl.config.Discovery, discovery.Env{Clock: fl.clock, Checker: fl.checker, Agents: agents,
		DialAddr: fl.serverDialAddr, RecordEvent: fl.events.record}, fl.addresses, discoveryEntries(configs), fl.seed)
	if err != nil {
		return err
	}
	if err := fl.createLinks(); err != nil {
		return err
	}
	if fl.policy == "" {
		if err := fl.addAgents(); err != nil {
			return err
		}
	}
	return fl.addClients(agents)
}

// checkedServers returns the servers in the form that the checker needs.
func checkedServers(configs []server.Config) []check.Server {
	var servers []check.Server
	for _, config := range configs {
		servers = append(servers, check.Server{Name: config.Name, Zone: config.ZoneIndex, Cell: config.Cell})
	}
	return servers
}

// discoveryEntries returns the initial entries of the emulated list service.
func discoveryEntries(configs []server.Config) []discovery.Entry {
	var entries []discovery.Entry
	for _, config := range configs {
		entries = append(entries, discovery.Entry{Name: config.Name, Zone: config.Zone, MachineType: config.MachineType,
			Cell: config.Cell, Weight: config.Weight, Health: endpoints.Ready})
	}
	return entries
}

// startServers creates the emulated servers and starts them with the configured version, "1" by default.
func (fl *fleet) startServers(configs []server.Config) error {
	env := &server.Env{Clock: fl.clock, Epoch: fl.epoch, Checker: fl.checker, Effects: fl.effects, RecordEvent: fl.events.record,
		LinkClear: fl.linkIsClear, HealthChanged: fl.serverChanged}
	for _, class := range fl.config.Load.Classes {
		env.Classes = append(env.Classes, server.Class{Name: class.Name, Deduplicated: class.Effect == client.EffectDeduplicated,
			DedupWindow: class.DedupWindow})
	}
	for _, config := range configs {
		srv, err := server.New(config, env, fl.addresses.IP()+":0", fl.seed)
		if err != nil {
			return err
		}
		fl.servers = append(fl.servers, srv)
	}
	first := server.Version{Name: "1"}
	if version := fl.config.findVersion(fl.config.Servers.Version); version != nil {
		first = *version
	}
	for _, srv := range fl.servers {
		if err := srv.Start(first, false); err != nil {
			return err
		}
	}
	return nil
}

// minSpeedFactor is the lowest speed that a machine is drawn with, as a fraction of the speed of its type.
const minSpeedFactor = 0.3

// drawServers draws the emulated servers from the seed.
func (c *Config) drawServers(seed uint64) []server.Config {
	rng := rand.New(rand.NewPCG(seed, serverDrawStream))
	servers := make([]server.Config, c.Servers.Count)
	for i, typeIndex := range c.drawMachineTypes(rng) {
		machine := c.Servers.MachineTypes[typeIndex]
		spec := machine.Spec
		spec.CrashLoadMultiple, spec.CrashWindow = c.Rules.CrashLoadMultiple, c.Rules.CrashWindow
		weight := machine.Weight
		if weight <= 0 {
			weight = float64(spec.Cores) * spec.Speed
		}
		// The listed weight reflects the nominal speed, around which the actual speed is drawn.
		spec.Speed *= max(1+machine.SpeedCV*rng.NormFloat64(), minSpeedFactor)
		zone := i % len(c.Zones)
		servers[i] = server.Config{Index: i, Name: serverName(i), Zone: c.Zones[zone], ZoneIndex: zone, MachineType: machine.Name,
			// A cell lies within a zone.
			Cell: zone + len(c.Zones)*(i/len(c.Zones)/c.Servers.CellSize), Weight: weight, Spec: spec, ConnectionPolicy: machine.Connections,
			LoadReports: machine.Reports, WorkNoise: machine.Noise, ErrorRate: machine.ErrorRate}
	}
	return servers
}

// drawMachineTypes returns the index of the machine type of each server. The number of servers of a type
// follows its share, and the order is shuffled.
func (c *Config) drawMachineTypes(rng *rand.Rand) []int {
	totalShare := 0.0
	for _, machine := range c.Servers.MachineTypes {
		totalShare += machine.Share
	}
	var types []int
	for i, machine := range c.Servers.MachineTypes {
		for range int(machine.Share/totalShare*float64(c.Servers.Count) + 0.5) {
			types = append(types, i)
		}
	}
	for len(types) < c.Servers.Count {
		types = append(types, 0)
	}
	types = types[:c.Servers.Count]
	rng.Shuffle(len(types), func(i, j int) { types[i], types[j] = types[j], types[i] })
	return types
}

// serverChanged reports a server's new health to the control plane or to the emulated list service, and
// applies it to the links. The endpoint list changes after a delay, but the links change at once. isolated
// means that the server's machine no longer answers while its connections stay open.
func (fl *fleet) serverChanged(srv *server.Server, health string, isolated bool) {
	fl.events.record("server " + srv.Name + " " + health)
	if fl.discovery == nil {
		return // the fleet is being built
	}
	if fl.isClosing() {
		return
	}
	if fl.controlPlane != nil {
		fl.controlPlane.serverChanged(srv, health)
	} else {
		fl.discovery.ReportHealth(srv.Index, health, srv.StartedMs(), isolated)
	}
	target := link.Open
	switch {
	case isolated:
		target = link.Unresponsive
	case health == endpoints.Removed:
		target = link.Refused
	}
	for agent := range fl.config.Agents.Count {
		if l := fl.links[linkKey{linkAgentToServer, agent, srv.Index}]; l != nil {
			if err := l.SetTargetAvailability(target); err != nil {
				fl.events.record("link failed: " + err.Error())
			}
		}
	}
}

// isClosing reports whether close has begun.
func (fl *fleet) isClosing() bool {
	select {
	case <-fl.closing:
		return true
	default:
		return false
	}
}

// maxRequestDuration returns the longest deadline of all request classes.
func (fl *fleet) maxRequestDuration() time.Duration {
	var longest time.Duration
	for _, class := range fl.config.Load.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// close ends the processes of the fleet, then closes its links, discovery, servers and connections. It
// must not be called concurrently.
func (fl *fleet) close() {
	if !fl.isClosing() {
		close(fl.closing)
	}
	if fl.controlPlane != nil {
		fl.controlPlane.close()
	}
	if fl.supervisor != nil {
		fl.supervisor.Close()
	}
	for _, l := range fl.links {
		l.Close()
	}
	if fl.discovery != nil {
		fl.discovery.Close()
	}
	for _, srv := range fl.servers {
		srv.Close()
	}
	for _, sender := range fl.senders {
		sender.Reset()
	}
}

// sleep waits for d. It returns false if the context ends first.
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
