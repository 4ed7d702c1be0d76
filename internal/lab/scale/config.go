// Package scale runs fleets of growing size against real stewards, most of it in hollow
// processes, and measures what each role spends and how long changes and recoveries take.
package scale

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/hollow"
)

// Config is an experiment file that has a [scale] table.
type Config struct {
	Name  string `koanf:"name"`
	About string `koanf:"about"`
	Seed  uint64 `koanf:"seed"`
	Scale Scale  `koanf:"scale"`
}

// Scale describes the fleets, their load and the bounds of the machine.
type Scale struct {
	Variant              string         `koanf:"variant"` // of the results, such as "before"
	ControlPlaneServers  int            `koanf:"stewards"`
	ControlPlaneSettings map[string]any `koanf:"steward"` // settings of the stewards, as in their own configuration
	Sizes                []Size         `koanf:"sizes"`
	Phases               []string       `koanf:"phases"`
	Subscribed           int            `koanf:"subscribed"` // services that each reader asks for; 0: the whole list

	RealAgents      int           `koanf:"real_agents"`
	RequestRate     float64       `koanf:"request_rate"` // requests a second to each real agent
	EmulatedPerZone int           `koanf:"emulated"`     // HTTP servers a zone that answer for its listed ones
	ServiceTime     time.Duration `koanf:"service_time"`

	RenewInterval        time.Duration `koanf:"renew"`
	RenewBatch           int           `koanf:"renew_batch"`
	ConfigurationsPerDay float64       `koanf:"configurations_per_day"`
	RestartsPerDay       float64       `koanf:"restarts_per_day"`
	SteadyDuration       time.Duration `koanf:"steady"`         // length of each steady phase
	RecoveryTimeout      time.Duration `koanf:"recover_within"` // what a fleet may take to start or come back

	AgentsPerProcess int  `koanf:"agents_per_process"` // hollow agents
	MemoryMiB        int  `koanf:"memory_mib"`         // that all processes may hold together
	EntryBytes       int  `koanf:"entry_bytes"`        // that a reader is reckoned to hold for each listed server
	Processes        int  `koanf:"processes"`          // that may run at once
	RequireAll       bool `koanf:"require_all"`        // a size that can't be run breaks the run

	ControlPlaneCommand string `koanf:"steward_command"`
	AgentCommand        string `koanf:"agent_command"`
	LabCommand          string `koanf:"lab_command"`
}

// Size is one fleet.
type Size struct {
	Servers  int `koanf:"servers"`
	Watches  int `koanf:"watches"` // hollow readers
	Services int `koanf:"services"`
}

// The phases, in the order in which they are run.
const (
	FirstStart   = "first start"
	Steady       = "steady"
	SteadyTen    = "steady x10"
	LeaderKilled = "leader killed"
	ZoneLost     = "zone lost"

	ConfigBurst    = "config burst"
	FollowerKilled = "steward killed"
	RegionLost     = "region lost"
)

// corePhases are run unless the file names others, of allPhases.
var (
	corePhases = []string{FirstStart, Steady, SteadyTen, LeaderKilled, ZoneLost}
	allPhases  = append(slices.Clone(corePhases), ConfigBurst, FollowerKilled, RegionLost)
)

// Bounds of the machine that a file can't raise.
const (
	mostMemoryMiB    = 12 << 10
	mostProcesses    = 200
	descriptorsEach  = 20_000
	spareDescriptors = 500 // of a process, for all that is no watch
	secondsPerDay    = 86_400
)

func defaults() Config {
	return Config{Seed: 1, Scale: Scale{
		ControlPlaneServers: 3, ControlPlaneSettings: map[string]any{}, Phases: slices.Clone(corePhases),
		RealAgents: 20, RequestRate: 10, EmulatedPerZone: 1, ServiceTime: 5 * time.Millisecond,
		RenewInterval: 2 * time.Second, RenewBatch: 1, ConfigurationsPerDay: 34_000, RestartsPerDay: 9_200,
		SteadyDuration: 10 * time.Second, RecoveryTimeout: 60 * time.Second,
		AgentsPerProcess: 1000, MemoryMiB: mostMemoryMiB, EntryBytes: 1500, Processes: mostProcesses,
		ControlPlaneCommand: "bin/controlplane", AgentCommand: "bin/agent", LabCommand: "bin/lab",
	}}
}

// IsExperiment tells whether the experiment file describes a scale run.
func IsExperiment(path string) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	k := koanf.New("\x00")
	return k.Load(rawbytes.Provider(text), toml.Parser()) == nil && k.Exists("scale")
}

// Load reads an experiment file. Its error is one line that names the key.
func Load(path string) (*Config, error) { return experiment.LoadFile(path, Parse) }

// Parse reads an experiment's text over the defaults.
func Parse(text []byte) (*Config, error) {
	k := koanf.New("\x00")
	if err := k.Load(rawbytes.Provider(text), toml.Parser()); err != nil {
		return nil, errors.New(strings.ReplaceAll("no TOML: "+err.Error(), "\n", " "))
	}
	c := defaults()
	var meta mapstructure.Metadata
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: &c, TagName: "koanf", Metadata: &meta,
		DecodeHook: mapstructure.StringToTimeDurationHookFunc(), ZeroFields: true})
	if err != nil {
		return nil, err
	}
	if err := decoder.Decode(k.Raw()); err != nil {
		line, _, _ := strings.Cut(strings.TrimPrefix(err.Error(), "decoding failed due to the following error(s):\n\n"), "\n")
		return nil, errors.New(line)
	}
	if len(meta.Unused) > 0 {
		slices.Sort(meta.Unused)
		return nil, fmt.Errorf("%s: unknown key", meta.Unused[0])
	}
	return &c, c.validate()
}

func (c *Config) validate() error {
	s := &c.Scale
	for _, check := range []struct {
		key string
		bad bool
		say string
	}{
		{"name", c.Name == "" || strings.ContainsAny(c.Name, "/ "), fmt.Sprintf("must be a word without a slash, is %q", c.Name)},
		{"scale.stewards", s.ControlPlaneServers < 1 || s.ControlPlaneServers > 9, fmt.Sprintf("must be 1 to 9, is %d", s.ControlPlaneServers)},
		{"scale.sizes", len(s.Sizes) == 0, "missing"},
		{"scale.phases", len(s.Phases) == 0 || s.Phases[0] != FirstStart, fmt.Sprintf("must begin with %q", FirstStart)},
		{"scale.subscribed", s.Subscribed < 0, fmt.Sprintf("must be 0 or above, is %d", s.Subscribed)},
		{"scale.real_agents", s.RealAgents < 0 || s.RealAgents > 100, fmt.Sprintf("must be 0 to 100, is %d", s.RealAgents)},
		{"scale.request_rate", !(s.RequestRate > 0) || s.RequestRate > 1000, fmt.Sprintf("must be above 0 and at most 1000, is %v", s.RequestRate)},
		{"scale.emulated", s.EmulatedPerZone < 1 || s.EmulatedPerZone > 40, fmt.Sprintf("must be 1 to 40, is %d", s.EmulatedPerZone)},
		{"scale.service_time", s.ServiceTime < 0 || s.ServiceTime > time.Minute, fmt.Sprintf("must be 0 to 1m, is %v", s.ServiceTime)},
		{"scale.renew", s.RenewInterval < 10*time.Millisecond || s.RenewInterval > time.Minute, fmt.Sprintf("must be 10ms to 1m, is %v", s.RenewInterval)},
		{"scale.renew_batch", s.RenewBatch < 1 || s.RenewBatch > 2000, fmt.Sprintf("must be 1 to 2000, is %d", s.RenewBatch)},
		{"scale.configurations_per_day", !(s.ConfigurationsPerDay >= 0) || s.ConfigurationsPerDay > 5e6, fmt.Sprintf("must be 0 to 5e6, is %v", s.ConfigurationsPerDay)},
		{"scale.restarts_per_day", !(s.RestartsPerDay >= 0) || s.RestartsPerDay > 3e6, fmt.Sprintf("must be 0 to 3e6, is %v", s.RestartsPerDay)},
		{"scale.steady", s.SteadyDuration < time.Second || s.SteadyDuration > time.Hour, fmt.Sprintf("must be 1s to 1h, is %v", s.SteadyDuration)},
		{"scale.recover_within", s.RecoveryTimeout < time.Second || s.RecoveryTimeout > time.Hour, fmt.Sprintf("must be 1s to 1h, is %v", s.RecoveryTimeout)},
		{"scale.agents_per_process", s.AgentsPerProcess < 1 || s.AgentsPerProcess > hollow.MaxAgents, fmt.Sprintf("must be 1 to %d, is %d", hollow.MaxAgents, s.AgentsPerProcess)},
		{"scale.memory_mib", s.MemoryMiB < 64 || s.MemoryMiB > mostMemoryMiB, fmt.Sprintf("must be 64 to %d, is %d", mostMemoryMiB, s.MemoryMiB)},
		{"scale.entry_bytes", s.EntryBytes < 1, fmt.Sprintf("must be 1 or above, is %d", s.EntryBytes)},
		{"scale.processes", s.Processes < 1 || s.Processes > mostProcesses, fmt.Sprintf("must be 1 to %d, is %d", mostProcesses, s.Processes)},
	} {
		if check.bad {
			return fmt.Errorf("%s: %s", check.key, check.say)
		}
	}
	if err := c.validatePhases(); err != nil {
		return err
	}
	for i := range s.Sizes {
		if err := c.validateSize(i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validatePhases() error {
	last := -1
	for i, phase := range c.Scale.Phases {
		at := slices.Index(allPhases, phase)
		switch {
		case at < 0:
			return fmt.Errorf("scale.phases[%d]: unknown phase %q: one of %s", i, phase, strings.Join(allPhases, ", "))
		case at <= last:
			return fmt.Errorf("scale.phases[%d]: %q is out of order: they are run in the order %s", i, phase, strings.Join(allPhases, ", "))
		case (phase == LeaderKilled || phase == FollowerKilled) && c.Scale.ControlPlaneServers < 3:
			return fmt.Errorf("scale.phases[%d]: %q needs three stewards", i, phase)
		}
		last = at
	}
	return nil
}

func (c *Config) validateSize(i int) error {
	s, size := &c.Scale, &c.Scale.Sizes[i]
	at := fmt.Sprintf("scale.sizes[%d].", i)
	processes := s.ControlPlaneServers + s.RealAgents + 1 + (size.Watches+s.AgentsPerProcess-1)/s.AgentsPerProcess
	switch {
	case size.Servers < hollow.Zones || size.Servers > hollow.MaxServers:
		return fmt.Errorf("%sservers: must be %d to %d, is %d", at, hollow.Zones, hollow.MaxServers, size.Servers)
	case size.Watches < 1:
		return fmt.Errorf("%swatches: must be 1 or above, is %d", at, size.Watches)
	case size.Services < 1 || size.Services > size.Servers:
		return fmt.Errorf("%sservices: must be 1 to the number of servers, is %d", at, size.Services)
	case s.Subscribed > size.Services:
		return fmt.Errorf("scale.subscribed: must be at most the number of services, is %d of %d", s.Subscribed, size.Services)
	case processes > s.Processes:
		return fmt.Errorf("%swatches: they need %d processes of at most %d", at, processes, s.Processes)
	case size.Watches/max(s.ControlPlaneServers-1, 1) > descriptorsEach-spareDescriptors:
		return fmt.Errorf("%swatches: with one steward lost each other would need over %d descriptors", at, descriptorsEach)
	}
	return nil
}
