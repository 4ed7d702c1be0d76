package scale

import (
	"os"
	"slices"
	"time"

	"knotrouter/internal/lab/configfile"
	"knotrouter/internal/lab/experiment"
)

// Config is an experiment file that has a [scale] table.
type Config struct {
	Name  string `koanf:"name"`
	About string `koanf:"about"`
	Seed  uint64 `koanf:"seed"`
	Scale Scale  `koanf:"scale"`
}

// Scale describes the fleets, their load, and the limits on the resources of the machine. In the keys,
// which are fixed by the file format, a control-plane server is called a steward.
type Scale struct {
	Variant              string         `koanf:"variant"`    // variant of the results, such as "before"
	ControlPlaneServers  int            `koanf:"stewards"`   // number of control-plane servers
	ControlPlaneSettings map[string]any `koanf:"steward"`    // same keys as in a control-plane server's configuration file
	Sizes                []Size         `koanf:"sizes"`      // fleet sizes, run in this order
	Phases               []string       `koanf:"phases"`     // phases to run: a subset of allPhases, in the same order
	Subscribed           int            `koanf:"subscribed"` // number of services that each reader subscribes to; 0: the full list

	RealAgents      int           `koanf:"real_agents"`
	RequestRate     float64       `koanf:"request_rate"` // requests a second to each real agent
	EmulatedPerZone int           `koanf:"emulated"`     // HTTP servers that handle the calls to the listed servers of a zone
	ServiceTime     time.Duration `koanf:"service_time"` // time that an emulated server takes for one request

	RenewInterval        time.Duration `koanf:"renew"`       // time between two renewals of a hollow server
	RenewBatch           int           `koanf:"renew_batch"` // number of hollow servers that one call renews
	ConfigurationsPerDay float64       `koanf:"configurations_per_day"`
	RestartsPerDay       float64       `koanf:"restarts_per_day"`
	SteadyDuration       time.Duration `koanf:"steady"`         // length of each steady phase
	RecoveryTimeout      time.Duration `koanf:"recover_within"` // time limit for a fleet to start or to recover

	AgentsPerProcess int  `koanf:"agents_per_process"` // hollow agents in one process
	MemoryMiB        int  `koanf:"memory_mib"`         // limit on the memory of all processes together
	EntryBytes       int  `koanf:"entry_bytes"`        // estimated memory of a reader per listed server
	Processes        int  `koanf:"processes"`          // limit on the number of processes at the same time
	RequireAll       bool `koanf:"require_all"`        // whether a size that can't be run fails the run

	ControlPlaneCommand string `koanf:"steward_command"`
	AgentCommand        string `koanf:"agent_command"`
	LabCommand          string `koanf:"lab_command"` // program that runs hollow agents and hollow servers
}

// Size is the size of one fleet.
type Size struct {
	Servers  int `koanf:"servers"`
	Watches  int `koanf:"watches"` // number of hollow agents, each with one watch
	Services int `koanf:"services"`
}

// The phases, in the order in which they run. Experiment files and results contain the values, in which
// a control-plane server is called a steward.
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

// defaultPhases are the phases of a file that names none; a file may name any of allPhases.
var (
	defaultPhases = []string{FirstStart, Steady, SteadyTen, LeaderKilled, ZoneLost}
	allPhases     = append(slices.Clone(defaultPhases), ConfigBurst, FollowerKilled, RegionLost)
)

// defaults returns the configuration of an empty file.
func defaults() Config {
	return Config{Seed: 1, Scale: Scale{
		ControlPlaneServers: 3, ControlPlaneSettings: map[string]any{}, Phases: slices.Clone(defaultPhases),
		RealAgents: 20, RequestRate: 10, EmulatedPerZone: 1, ServiceTime: 5 * time.Millisecond,
		RenewInterval: 2 * time.Second, RenewBatch: 1, ConfigurationsPerDay: 34_000, RestartsPerDay: 9_200,
		SteadyDuration: 10 * time.Second, RecoveryTimeout: 60 * time.Second,
		AgentsPerProcess: 1000, MemoryMiB: maxMemoryMiB, EntryBytes: 1500, Processes: maxProcesses,
		ControlPlaneCommand: "bin/controlplane", AgentCommand: "bin/agent", LabCommand: "bin/lab",
	}}
}

// IsExperiment reports whether the file at path describes a scale run, that is, whether it can be
// read, is valid TOML and has the key scale.
func IsExperiment(path string) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	raw, err := configfile.Parse(text)
	if err != nil {
		return false
	}
	_, found := raw["scale"]
	return found
}

// Load reads the experiment file at path. Its error is one line that names the file.
func Load(path string) (*Config, error) { return experiment.LoadFile(path, Parse) }

// Parse parses the text of an experiment file; keys that are not in the file have their default
// values. Its error is one line that names the key, and a *configfile.KeyError if the key is unknown
// or its value is out of bounds.
func Parse(text []byte) (*Config, error) {
	raw, err := configfile.Parse(text)
	if err != nil {
		return nil, err
	}
	config := defaults()
	if err := configfile.DecodeReplacing(raw, &config); err != nil {
		return nil, err
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &config, nil
}
