package control

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/hashicorp/raft"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/env/v2"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// Peer is how a steward reaches one, by a table of its own.
type Peer struct {
	HTTP     string `koanf:"http"`
	Raft     string `koanf:"raft"`
	Gossip   string `koanf:"gossip"` // "": it doesn't gossip
	NonVoter bool   `koanf:"spare"`  // in a fleet that begins, it hears all and doesn't vote
}

// Config is a steward's configuration: file, then environment, then flags.
type Config struct {
	Name   string          `koanf:"name"`
	Data   string          `koanf:"data"`
	Listen string          `koanf:"listen"` // HTTP
	Raft   string          `koanf:"raft"`   // where the other stewards replicate to
	Gossip string          `koanf:"gossip"` // UDP and TCP, where members tell each other who is there; "": nowhere
	Zone   string          `koanf:"zone"`
	Peers  map[string]Peer `koanf:"peers"` // by name; this one may stand among them

	Evidence     bool          `koanf:"evidence"`      // the other stewards are asked before a server is taken off the list
	Voters       int           `koanf:"voters"`        // how many are to vote: one that fails is replaced by a spare; 0: none is
	ReplaceAfter time.Duration `koanf:"replace_after"` // of failure

	LeaseTTL    time.Duration `koanf:"lease_ttl"`
	GuardShare  float64       `koanf:"guard_share"` // of the listed servers that may lapse within the window
	GuardWindow time.Duration `koanf:"guard_window"`

	Heartbeat  time.Duration `koanf:"heartbeat"`   // a leader that is silent for longer is replaced
	StaleAfter time.Duration `koanf:"stale_after"` // without the quorum, watches are sent elsewhere
	Coalesce   time.Duration `koanf:"coalesce"`    // changes within it are one line of a watch
	Drain      time.Duration `koanf:"drain"`       // before it ends, its watches are sent elsewhere within it
	MaxWatches int           `koanf:"max_watches"` // fewer where the process may not open as many descriptors
	CallRate   float64       `koanf:"call_rate"`   // whole lists and new watches a second; a whole list counts as one for each 24,000 bytes
	MaxWrites  int           `koanf:"max_writes"`

	SnapshotEvery uint64        `koanf:"snapshot_every"` // log entries
	SnapshotCheck time.Duration `koanf:"snapshot_check"`
	SaveEvery     time.Duration `koanf:"save_every"`  // a copy of the state by whoever has that duty; 0: none
	AuditEvery    time.Duration `koanf:"audit_every"` // the list against what servers say; 0: never
	LogLevel      string        `koanf:"log_level"`

	Now          func() time.Time                  `koanf:"-"` // the machine's clock, of which no more is asked than a hint
	WrapLogStore func(raft.LogStore) raft.LogStore `koanf:"-"` // stands before the log on the disk
}

// Defaults are those of a steward that stands alone on this machine.
func Defaults() Config {
	return Config{Name: "steward", Listen: "127.0.0.1:8500", Raft: "127.0.0.1:8501",
		LeaseTTL: 6 * time.Second, GuardShare: 0.4, GuardWindow: 10 * time.Second,
		Heartbeat: 500 * time.Millisecond, StaleAfter: 5 * time.Second, Coalesce: 5 * time.Millisecond, Drain: 2 * time.Second, Evidence: true, ReplaceAfter: 30 * time.Second, Now: time.Now, WrapLogStore: func(s raft.LogStore) raft.LogStore { return s },
		MaxWatches: 20_000, CallRate: 2000, MaxWrites: 1024, SnapshotEvery: 8192, SnapshotCheck: 20 * time.Second, LogLevel: "info"}
}

// maxWatchesSetting bounds what max_watches may be: beyond it there are no descriptors anywhere.
const maxWatchesSetting = 1_000_000

// EnvPrefix begins the names of the environment's variables: STEWARD_LEASE_TTL is lease_ttl.
const EnvPrefix = "STEWARD_"

// LoadConfig reads a file, if one is named, then the environment, then what the flags set.
// Its error names the key.
func LoadConfig(path string, flags map[string]any) (*Config, error) {
	k := koanf.New(".")
	if path != "" {
		if err := k.Load(file.Provider(path), toml.Parser()); err != nil {
			return nil, fmt.Errorf("--config: %s", strings.ReplaceAll(err.Error(), "\n", " "))
		}
	}
	fromEnv := env.Provider(".", env.Opt{Prefix: EnvPrefix, EnvironFunc: os.Environ,
		TransformFunc: func(key, value string) (string, any) {
			return strings.ToLower(strings.TrimPrefix(key, EnvPrefix)), value
		}})
	if err := k.Load(fromEnv, nil); err != nil {
		return nil, fmt.Errorf("environment: %w", err)
	}
	for key, value := range flags {
		if err := k.Set(key, value); err != nil {
			return nil, fmt.Errorf("--%s: %w", key, err)
		}
	}
	c := Defaults()
	var meta mapstructure.Metadata
	dec, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: &c, TagName: "koanf", Metadata: &meta,
		WeaklyTypedInput: true, DecodeHook: mapstructure.StringToTimeDurationHookFunc()})
	if err != nil {
		return nil, err
	}
	if err := dec.Decode(k.Raw()); err != nil {
		text, _, _ := strings.Cut(strings.TrimPrefix(err.Error(), "decoding failed due to the following error(s):\n\n"), "\n")
		return nil, errors.New("configuration: " + text)
	}
	if len(meta.Unused) > 0 {
		slices.Sort(meta.Unused)
		return nil, fmt.Errorf("configuration: %s: unknown key", meta.Unused[0])
	}
	return &c, c.validate()
}

func (c *Config) validate() error {
	for _, check := range []struct {
		key string
		bad bool
		say string
	}{
		{"name", !endpoints.IsToken(c.Name, 64), "must be a word"},
		{"data", c.Data == "", "missing: the folder that holds the log and the snapshots"},
		{"listen", !endpoints.IsAddress(c.Listen), fmt.Sprintf("no address with a port: %q", c.Listen)},
		{"raft", !endpoints.IsAddress(c.Raft), fmt.Sprintf("no address with a port: %q", c.Raft)},
		{"gossip", c.Gossip != "" && !endpoints.IsAddress(c.Gossip), fmt.Sprintf("no address with a port: %q", c.Gossip)},
		{"zone", c.Zone != "" && !endpoints.IsToken(c.Zone, endpoints.MaxLabel), "must be a word"},
		{"voters", c.Voters < 0 || c.Voters > 9, fmt.Sprintf("must be 0 to 9, is %d", c.Voters)},
		{"voters", c.Voters > 0 && c.Gossip == "", "needs gossip, which tells who has failed"},
		{"replace_after", c.ReplaceAfter < time.Second, fmt.Sprintf("must be 1s or above, is %v", c.ReplaceAfter)},
		{"lease_ttl", c.LeaseTTL < 300*time.Millisecond, fmt.Sprintf("must be 300ms or above, is %v", c.LeaseTTL)},
		{"guard_share", !(c.GuardShare >= 0) || c.GuardShare > 1, fmt.Sprintf("must be 0 to 1, is %v", c.GuardShare)},
		{"guard_window", c.GuardWindow <= 0, fmt.Sprintf("must be above 0, is %v", c.GuardWindow)},
		{"heartbeat", c.Heartbeat < 20*time.Millisecond, fmt.Sprintf("must be 20ms or above, is %v", c.Heartbeat)},
		{"stale_after", c.StaleAfter <= 0, fmt.Sprintf("must be above 0, is %v", c.StaleAfter)},
		{"coalesce", c.Coalesce < 0, fmt.Sprintf("must be 0 or above, is %v", c.Coalesce)},
		{"drain", c.Drain < 0 || c.Drain > time.Minute, fmt.Sprintf("must be 0 to 1m, is %v", c.Drain)},
		{"max_watches", c.MaxWatches < 1 || c.MaxWatches > maxWatchesSetting, fmt.Sprintf("must be 1 to %d, is %d", maxWatchesSetting, c.MaxWatches)},
		{"call_rate", !(c.CallRate > 0), fmt.Sprintf("must be above 0, is %v", c.CallRate)},
		{"max_writes", c.MaxWrites < 1, fmt.Sprintf("must be 1 or above, is %d", c.MaxWrites)},
		{"snapshot_every", c.SnapshotEvery < 1, "must be 1 or above"},
		{"snapshot_check", c.SnapshotCheck <= 0, "must be above 0"},
		{"save_every", c.SaveEvery < 0 || c.SaveEvery > 0 && c.SaveEvery < 100*time.Millisecond, fmt.Sprintf("must be 0, or 100ms or above, is %v", c.SaveEvery)},
		{"audit_every", c.AuditEvery < 0 || c.AuditEvery > 0 && c.AuditEvery < 100*time.Millisecond, fmt.Sprintf("must be 0, or 100ms or above, is %v", c.AuditEvery)},
		{"log_level", !slices.Contains([]string{"debug", "info", "warn", "error"}, c.LogLevel), fmt.Sprintf("must be debug, info, warn or error, is %q", c.LogLevel)},
	} {
		if check.bad {
			return fmt.Errorf("configuration: %s: %s", check.key, check.say)
		}
	}
	for name, peer := range c.Peers {
		switch {
		case !endpoints.IsToken(name, 64):
			return fmt.Errorf("configuration: peers: %q is no name", name)
		case !endpoints.IsAddress(peer.HTTP):
			return fmt.Errorf("configuration: peers.%s.http: no address with a port: %q", name, peer.HTTP)
		case !endpoints.IsAddress(peer.Raft):
			return fmt.Errorf("configuration: peers.%s.raft: no address with a port: %q", name, peer.Raft)
		case peer.Gossip != "" && !endpoints.IsAddress(peer.Gossip):
			return fmt.Errorf("configuration: peers.%s.gossip: no address with a port: %q", name, peer.Gossip)
		}
	}
	return nil
}

func (c *Config) leaseConfig() catalog.LeaseConfig {
	return catalog.LeaseConfig{TTL: c.LeaseTTL, MassFailureShare: c.GuardShare, MassFailureWindow: c.GuardWindow}
}

// otherServers names the peers but for this steward, in order.
func (c *Config) otherServers() []string {
	var names []string
	for name := range c.Peers {
		if name != c.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
