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

// Scale describes the fleets, their load and the bounds of the machine.
type Scale struct {
	Variant              string         `koanf:"variant"`    // of the results, such as "before"
	ControlPlaneServers  int            `koanf:"stewards"`   // how many there are
	ControlPlaneSettings map[string]any `koanf:"steward"`    // as in a control-plane server's own configuration
	Sizes                []Size         `koanf:"sizes"`      // in the order in which they are run
	Phases               []string       `koanf:"phases"`     // a subset of allPhases, in its order
	Subscribed           int            `koanf:"subscribed"` // services that each reader asks for; 0: the full list

	RealAgents      int           `koanf:"real_agents"`
	RequestRate     float64       `koanf:"request_rate"` // requests a second to each real agent
	EmulatedPerZone int           `koanf:"emulated"`     // HTTP servers that answer for the listed servers of a zone
	ServiceTime     time.Duration `koanf:"service_time"` // of an emulated server, for one request

	RenewInterval        time.Duration `koanf:"renew"`       // between two renewals of a hollow server
	RenewBatch           int           `koanf:"renew_batch"` // hollow servers that one call renews
	ConfigurationsPerDay float64       `koanf:"configurations_per_day"`
	RestartsPerDay       float64       `koanf:"restarts_per_day"`
	SteadyDuration       time.Duration `koanf:"steady"`         // of each steady phase
	RecoveryTimeout      time.Duration `koanf:"recover_within"` // for a fleet to start or to come back

	AgentsPerProcess int  `koanf:"agents_per_process"` // hollow agents
	MemoryMiB        int  `koanf:"memory_mib"`         // that all processes may use together
	EntryBytes       int  `koanf:"entry_bytes"`        // estimated memory of a reader for each listed server
	Processes        int  `koanf:"processes"`          // that may run at once
	RequireAll       bool `koanf:"require_all"`        // a size that can't be run fails the run

	ControlPlaneCommand string `koanf:"steward_command"`
	AgentCommand        string `koanf:"agent_command"`
	LabCommand          string `koanf:"lab_command"` // that starts hollow processes
}

// Size is the size of one fleet.
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

// defaultPhases are run unless the file names others, of allPhases.
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

// IsExperiment reports whether the experiment file at path describes a scale run: it can be read,
// is TOML and has the key scale.
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

// Load reads the experiment file at path. Its error names the file, in one line.
func Load(path string) (*Config, error) { return experiment.LoadFile(path, Parse) }

// Parse reads the text of an experiment file over the defaults. Its error is one line that names
// the key; it is a *configfile.KeyError where the key is unknown or its value out of bounds.
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
