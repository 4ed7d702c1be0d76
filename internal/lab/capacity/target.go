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
)

// Target is the fleet that the page is worked out for.
type Target struct {
	Servers              float64  `koanf:"servers"` // each with its agent
	Services             float64  `koanf:"services"`
	CallsPerSecond       float64  `koanf:"calls_per_second"`
	CallDepth            float64  `koanf:"call_depth"`
	AddedLatencyP99Ms    float64  `koanf:"added_latency_p99_ms"`
	Regions              float64  `koanf:"regions"`
	Zones                float64  `koanf:"zones"`
	ConfigChangesPerDay  float64  `koanf:"config_changes_per_day"`
	ConfigInForceSeconds float64  `koanf:"config_in_force_everywhere_s"`
	AgentCoreShare       float64  `koanf:"agent_control_core_share"`
	AgentMemoryMB        float64  `koanf:"agent_control_memory_mb"`
	AgentBytesPerSecond  float64  `koanf:"agent_control_bytes_per_second"`
	ControlMachines      float64  `koanf:"control_machines"`
	Failures             Failures `koanf:"failures"`
}

// Failures is how often parts of the fleet fail.
type Failures struct {
	MachinesPerDay       float64 `koanf:"machines_per_day"`
	RestartsPerDay       float64 `koanf:"restarts_or_replacements_per_day"`
	RacksPerDay          float64 `koanf:"rack_or_switch_per_day"`
	ZonesPerYear         float64 `koanf:"zone_losses_per_year"`
	RegionPartitionHours float64 `koanf:"region_partition_hours"`
}

// LoadTarget reads a target file. Its error is one line that names the key.
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

// ParseTarget reads the text of a target file. Each key has to be there and above 0; an
// unknown key is an error.
func ParseTarget(text []byte) (*Target, error) {
	k := koanf.New(".")
	if err := k.Load(rawbytes.Provider(text), toml.Parser()); err != nil {
		return nil, errors.New(firstLine("no TOML: " + err.Error()))
	}
	var target Target
	var meta mapstructure.Metadata
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: &target, TagName: "koanf", Metadata: &meta})
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	if err := decoder.Decode(k.Raw()); err != nil {
		return nil, errors.New(firstLine(strings.TrimPrefix(err.Error(), "decoding failed due to the following error(s):\n\n")))
	}
	if len(meta.Unused) > 0 {
		slices.Sort(meta.Unused)
		return nil, fmt.Errorf("%s: unknown key", meta.Unused[0])
	}
	if len(meta.Unset) > 0 {
		slices.Sort(meta.Unset)
		return nil, fmt.Errorf("%s: missing", meta.Unset[0])
	}
	for _, key := range k.Keys() {
		if !(k.Float64(key) > 0) {
			return nil, fmt.Errorf("%s: must be above 0, is %v", key, k.Get(key))
		}
	}
	return &target, nil
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// Fleet is a size that the figures are worked out for.
type Fleet struct {
	Name    string
	Servers float64
	Agents  float64
}

// Today's fleet, as the operators run it.
const (
	serversToday = 200
	agentsToday  = 300
	tenth        = 0.1
)

// Fleets returns today's fleet, a tenth of the target and the target.
func (t *Target) Fleets() []Fleet {
	return []Fleet{
		{Name: "today", Servers: serversToday, Agents: agentsToday},
		{Name: "a tenth", Servers: tenth * t.Servers, Agents: tenth * t.Servers},
		{Name: "target", Servers: t.Servers, Agents: t.Servers},
	}
}
