package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"knotrouter/internal/lab/configfile"
	"knotrouter/internal/lab/hollow"
)

// Limits that a file can't raise.
const (
	maxMemoryMiB           = 12 << 10
	maxProcesses           = 200
	maxDescriptors         = 20_000 // per process
	descriptorReserve      = 500    // per process, for descriptors other than those of watches
	maxControlPlane        = 9
	maxRealAgents          = 100
	maxRequestRate         = 1000
	maxEmulatedPerZone     = 40
	maxRenewBatch          = 2000
	minControlPlaneForKill = 3 // least number of control-plane servers for a phase that kills one of them
)

const secondsPerDay = 86_400

// keyCheck is the result of checking one condition on the value of a key.
type keyCheck struct {
	key     string
	invalid bool
	problem string
}

// validate returns a *configfile.KeyError for the first key whose value is invalid, or nil.
func (c *Config) validate() error {
	for _, check := range slices.Concat(c.scenarioChecks(), c.loadChecks(), c.machineChecks()) {
		if check.invalid {
			return &configfile.KeyError{Key: check.key, Problem: check.problem}
		}
	}
	if err := c.validatePhases(); err != nil {
		return err
	}
	for i := range c.Scale.Sizes {
		if err := c.validateSize(i); err != nil {
			return err
		}
	}
	return nil
}

// scenarioChecks checks the name, the control-plane servers, the sizes, the first phase and the
// subscription.
func (c *Config) scenarioChecks() []keyCheck {
	s := &c.Scale
	return []keyCheck{
		{"name", c.Name == "" || strings.ContainsAny(c.Name, "/ "), fmt.Sprintf("must be a word without a slash, is %q", c.Name)},
		{"scale.stewards", s.ControlPlaneServers < 1 || s.ControlPlaneServers > maxControlPlane, fmt.Sprintf("must be 1 to %d, is %d", maxControlPlane, s.ControlPlaneServers)},
		{"scale.sizes", len(s.Sizes) == 0, "missing"},
		{"scale.phases", len(s.Phases) == 0 || s.Phases[0] != FirstStart, fmt.Sprintf("must begin with %q", FirstStart)},
		{"scale.subscribed", s.Subscribed < 0, fmt.Sprintf("must be 0 or above, is %d", s.Subscribed)},
	}
}

// loadChecks checks the load of the real agents, the rates of the hollow servers and the timeouts.
func (c *Config) loadChecks() []keyCheck {
	s := &c.Scale
	return []keyCheck{
		{"scale.real_agents", s.RealAgents < 0 || s.RealAgents > maxRealAgents, fmt.Sprintf("must be 0 to %d, is %d", maxRealAgents, s.RealAgents)},
		{"scale.request_rate", !(s.RequestRate > 0) || s.RequestRate > maxRequestRate, fmt.Sprintf("must be above 0 and at most %d, is %v", maxRequestRate, s.RequestRate)},
		{"scale.emulated", s.EmulatedPerZone < 1 || s.EmulatedPerZone > maxEmulatedPerZone, fmt.Sprintf("must be 1 to %d, is %d", maxEmulatedPerZone, s.EmulatedPerZone)},
		{"scale.service_time", s.ServiceTime < 0 || s.ServiceTime > time.Minute, fmt.Sprintf("must be 0 to 1m, is %v", s.ServiceTime)},
		{"scale.renew", s.RenewInterval < 10*time.Millisecond || s.RenewInterval > time.Minute, fmt.Sprintf("must be 10ms to 1m, is %v", s.RenewInterval)},
		{"scale.renew_batch", s.RenewBatch < 1 || s.RenewBatch > maxRenewBatch, fmt.Sprintf("must be 1 to %d, is %d", maxRenewBatch, s.RenewBatch)},
		{"scale.configurations_per_day", !(s.ConfigurationsPerDay >= 0) || s.ConfigurationsPerDay > 5e6, fmt.Sprintf("must be 0 to 5e6, is %v", s.ConfigurationsPerDay)},
		{"scale.restarts_per_day", !(s.RestartsPerDay >= 0) || s.RestartsPerDay > 3e6, fmt.Sprintf("must be 0 to 3e6, is %v", s.RestartsPerDay)},
		{"scale.steady", s.SteadyDuration < time.Second || s.SteadyDuration > time.Hour, fmt.Sprintf("must be 1s to 1h, is %v", s.SteadyDuration)},
		{"scale.recover_within", s.RecoveryTimeout < time.Second || s.RecoveryTimeout > time.Hour, fmt.Sprintf("must be 1s to 1h, is %v", s.RecoveryTimeout)},
	}
}

// machineChecks checks the limits on memory and processes.
func (c *Config) machineChecks() []keyCheck {
	s := &c.Scale
	return []keyCheck{
		{"scale.agents_per_process", s.AgentsPerProcess < 1 || s.AgentsPerProcess > hollow.MaxAgents, fmt.Sprintf("must be 1 to %d, is %d", hollow.MaxAgents, s.AgentsPerProcess)},
		{"scale.memory_mib", s.MemoryMiB < 64 || s.MemoryMiB > maxMemoryMiB, fmt.Sprintf("must be 64 to %d, is %d", maxMemoryMiB, s.MemoryMiB)},
		{"scale.entry_bytes", s.EntryBytes < 1, fmt.Sprintf("must be 1 or above, is %d", s.EntryBytes)},
		{"scale.processes", s.Processes < 1 || s.Processes > maxProcesses, fmt.Sprintf("must be 1 to %d, is %d", maxProcesses, s.Processes)},
	}
}

func (c *Config) validatePhases() error {
	previous := -1
	for i, phase := range c.Scale.Phases {
		key := fmt.Sprintf("scale.phases[%d]", i)
		position := slices.Index(allPhases, phase)
		switch {
		case position < 0:
			return configfile.NewKeyError(key, "unknown phase %q: one of %s", phase, strings.Join(allPhases, ", "))
		case position <= previous:
			return configfile.NewKeyError(key, "%q is out of order: they are run in the order %s", phase, strings.Join(allPhases, ", "))
		case (phase == LeaderKilled || phase == FollowerKilled) && c.Scale.ControlPlaneServers < minControlPlaneForKill:
			return configfile.NewKeyError(key, "%q needs three stewards", phase)
		}
		previous = position
	}
	return nil
}

func (c *Config) validateSize(i int) error {
	s, size := &c.Scale, &c.Scale.Sizes[i]
	key := fmt.Sprintf("scale.sizes[%d].", i)
	readerProcesses := (size.Watches + s.AgentsPerProcess - 1) / s.AgentsPerProcess
	processes := s.ControlPlaneServers + s.RealAgents + 1 + readerProcesses
	watchesWithOneServerLost := size.Watches / max(s.ControlPlaneServers-1, 1)
	switch {
	case size.Servers < hollow.Zones || size.Servers > hollow.MaxServers:
		return configfile.NewKeyError(key+"servers", "must be %d to %d, is %d", hollow.Zones, hollow.MaxServers, size.Servers)
	case size.Watches < 1:
		return configfile.NewKeyError(key+"watches", "must be 1 or above, is %d", size.Watches)
	case size.Services < 1 || size.Services > size.Servers:
		return configfile.NewKeyError(key+"services", "must be 1 to the number of servers, is %d", size.Services)
	case s.Subscribed > size.Services:
		return configfile.NewKeyError("scale.subscribed", "must be at most the number of services, is %d of %d", s.Subscribed, size.Services)
	case processes > s.Processes:
		return configfile.NewKeyError(key+"watches", "they need %d processes of at most %d", processes, s.Processes)
	case watchesWithOneServerLost > maxDescriptors-descriptorReserve:
		return configfile.NewKeyError(key+"watches", "with one steward lost each other would need over %d descriptors", maxDescriptors)
	}
	return nil
}
