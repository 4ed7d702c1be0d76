package capacity

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"knotrouter/internal/lab/configfile"
)

// Target is the fleet that the project is designed for, as specified by the operators in
// docs/capacity/target.toml. All values are above 0.
type Target struct {
	Servers              float64  `koanf:"servers"` // each has one agent
	Services             float64  `koanf:"services"`
	CallsPerSecond       float64  `koanf:"calls_per_second"`     // total of the fleet
	CallDepth            float64  `koanf:"call_depth"`           // length of the longest chain of calls
	AddedLatencyP99Ms    float64  `koanf:"added_latency_p99_ms"` // latency that an agent may add to a call
	Regions              float64  `koanf:"regions"`
	Zones                float64  `koanf:"zones"` // total over all regions
	ConfigChangesPerDay  float64  `koanf:"config_changes_per_day"`
	ConfigInForceSeconds float64  `koanf:"config_in_force_everywhere_s"`   // time from a change until the last agent has it
	AgentCoreShare       float64  `koanf:"agent_control_core_share"`       // cores that an agent may spend on control
	AgentMemoryMB        float64  `koanf:"agent_control_memory_mb"`        // memory that an agent may spend on control
	AgentBytesPerSecond  float64  `koanf:"agent_control_bytes_per_second"` // bytes that an agent may receive for control
	ControlMachines      float64  `koanf:"control_machines"`               // total over all regions
	Failures             Failures `koanf:"failures"`
}

// Failures holds the failure rates of the target's fleet.
type Failures struct {
	MachinesPerDay       float64 `koanf:"machines_per_day"`
	RestartsPerDay       float64 `koanf:"restarts_or_replacements_per_day"`
	RacksPerDay          float64 `koanf:"rack_or_switch_per_day"`
	ZonesPerYear         float64 `koanf:"zone_losses_per_year"`
	RegionPartitionHours float64 `koanf:"region_partition_hours"` // length of a partition
}

// LoadTarget reads a target file. Its error is one line that names the file and, if a key is invalid,
// the key.
func LoadTarget(path string) (*Target, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	target, err := ParseTarget(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return target, nil
}

// ParseTarget parses the text of a target file. It returns a *configfile.KeyError for a key that is
// unknown, missing or not above 0.
func ParseTarget(text []byte) (*Target, error) {
	file := koanf.New(".")
	if err := file.Load(rawbytes.Provider(text), toml.Parser()); err != nil {
		return nil, errors.New(firstLine("no TOML: " + err.Error()))
	}
	target, err := decodeTarget(file.Raw())
	if err != nil {
		return nil, err
	}
	for _, key := range file.Keys() {
		if !(file.Float64(key) > 0) { // also true of NaN
			return nil, configfile.NewKeyError(key, "must be above 0, is %v", file.Get(key))
		}
	}
	return target, nil
}

// decodeTarget decodes parsed TOML. Unlike configfile.Decode, it requires every key.
func decodeTarget(raw map[string]any) (*Target, error) {
	var target Target
	var metadata mapstructure.Metadata
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: &target, TagName: "koanf", Metadata: &metadata})
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	if err := decoder.Decode(raw); err != nil {
		return nil, errors.New(firstLine(strings.TrimPrefix(err.Error(), "decoding failed due to the following error(s):\n\n")))
	}
	if len(metadata.Unused) > 0 {
		return nil, configfile.NewKeyError(slices.Min(metadata.Unused), "unknown key")
	}
	if len(metadata.Unset) > 0 {
		return nil, configfile.NewKeyError(slices.Min(metadata.Unset), "missing")
	}
	return &target, nil
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// Fleet is a size of the fleet that the page gives figures for.
type Fleet struct {
	Name    string
	Servers float64
	Agents  float64
}

const (
	// serversToday and agentsToday are the size of the operators' current fleet.
	serversToday = 200
	agentsToday  = 300
	tenth        = 0.1
)

// Fleets returns the current fleet, a tenth of the target, and the target, in this order.
func (t *Target) Fleets() []Fleet {
	return []Fleet{
		{Name: "today", Servers: serversToday, Agents: agentsToday},
		{Name: "a tenth", Servers: tenth * t.Servers, Agents: tenth * t.Servers},
		{Name: "target", Servers: t.Servers, Agents: t.Servers},
	}
}

// size returns the fleet's value of a variable. Each agent has one watch.
func (f Fleet) size(variable Variable) float64 {
	if variable == Watches {
		return f.Agents
	}
	return f.Servers
}
