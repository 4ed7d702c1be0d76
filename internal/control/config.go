package control

import (
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

// maxWatchesSetting is the upper limit of max_watches: no machine has file descriptors for more.
const maxWatchesSetting = 1_000_000

// Peer holds the addresses of a control-plane server in the peer table. Each server has its own
// table.
type Peer struct {
	HTTP     string `koanf:"http"`
	Raft     string `koanf:"raft"`
	Gossip   string `koanf:"gossip"` // "": the server doesn't gossip
	NonVoter bool   `koanf:"spare"`  // the server is a non-voter in the first raft configuration of a new cluster
}

// Config is the configuration of a control-plane server. See Defaults for the values of settings
// that aren't given.
type Config struct {
	Name   string          `koanf:"name"`   // unique among the peers
	Data   string          `koanf:"data"`   // the data folder
	Listen string          `koanf:"listen"` // listen address of the HTTP API
	Raft   string          `koanf:"raft"`   // listen address of raft's transport
	Gossip string          `koanf:"gossip"` // listen address of gossip, UDP and TCP; "": no gossip
	Zone   string          `koanf:"zone"`
	Peers  map[string]Peer `koanf:"peers"` // the peer table, by name; this server may be in it

	Evidence     bool          `koanf:"evidence"`      // ask the voters before a server with an expired lease is removed from the list
	Voters       int           `koanf:"voters"`        // desired number of voters: a failed one is replaced by a non-voter; 0: no replacement
	ReplaceAfter time.Duration `koanf:"replace_after"` // the time from a voter's failure to its replacement

	LeaseTTL    time.Duration `koanf:"lease_ttl"`
	GuardShare  float64       `koanf:"guard_share"` // the fraction of the listed servers that may expire within the window
	GuardWindow time.Duration `koanf:"guard_window"`

	Heartbeat  time.Duration `koanf:"heartbeat"`   // time without a message from the leader after which a follower starts an election
	StaleAfter time.Duration `koanf:"stale_after"` // time without a quorum after which watches are migrated to peers
	Coalesce   time.Duration `koanf:"coalesce"`    // changes within this time are sent as one event of a watch
	Drain      time.Duration `koanf:"drain"`       // the time over which Close migrates the watches
	MaxWatches int           `koanf:"max_watches"` // maximum number of open watches; fewer if there are not enough file descriptors
	CallRate   float64       `koanf:"call_rate"`   // full lists and new watches per second; a list counts once more for every 24,000 bytes
	MaxWrites  int           `koanf:"max_writes"`  // maximum number of concurrent writes

	SnapshotEvery uint64        `koanf:"snapshot_every"` // log entries between two snapshots
	SnapshotCheck time.Duration `koanf:"snapshot_check"` // the time between checks whether a snapshot is due
	SaveEvery     time.Duration `koanf:"save_every"`     // the time between copies of the state by the state-copy task; 0: none
	AuditEvery    time.Duration `koanf:"audit_every"`    // the time between audits by the audit task; 0: none
	LogLevel      string        `koanf:"log_level"`

	Now          func() time.Time                  `koanf:"-"` // the wall clock, for list versions and names of state copies; a hint only, as it may be wrong
	WrapLogStore func(raft.LogStore) raft.LogStore `koanf:"-"` // for tests: wraps the log on the disk
}

// Defaults returns the default configuration: a server on this machine without peers. Data must
// still be set.
func Defaults() Config {
	return Config{
		Name:          "steward",
		Listen:        "127.0.0.1:8500",
		Raft:          "127.0.0.1:8501",
		Evidence:      true,
		ReplaceAfter:  30 * time.Second,
		LeaseTTL:      6 * time.Second,
		GuardShare:    0.4,
		GuardWindow:   10 * time.Second,
		Heartbeat:     500 * time.Millisecond,
		StaleAfter:    5 * time.Second,
		Coalesce:      5 * time.Millisecond,
		Drain:         2 * time.Second,
		MaxWatches:    20_000,
		CallRate:      2000,
		MaxWrites:     1024,
		SnapshotEvery: 8192,
		SnapshotCheck: 20 * time.Second,
		LogLevel:      "info",
		Now:           time.Now,
		WrapLogStore:  func(s raft.LogStore) raft.LogStore { return s },
	}
}

// EnvPrefix is the prefix of the environment variables: STEWARD_LEASE_TTL is the setting lease_ttl.
const EnvPrefix = "STEWARD_"

// configError reports an unknown setting or a setting with an invalid value.
type configError struct{ key, problem string }

// Error returns the key and the problem.
func (e *configError) Error() string { return "configuration: " + e.key + ": " + e.problem }

// configFileError reports a configuration file that can't be read or parsed.
type configFileError struct{ cause error }

// Error returns the cause in one line; the text of the parser can have several lines.
func (e *configFileError) Error() string {
	return "--config: " + strings.ReplaceAll(e.cause.Error(), "\n", " ")
}

// Unwrap returns the cause.
func (e *configFileError) Unwrap() error { return e.cause }

// configValueError reports settings with values of the wrong type.
type configValueError struct{ cause error }

// Error returns the first line of the cause, which describes the first such setting.
func (e *configValueError) Error() string {
	text := strings.TrimPrefix(e.cause.Error(), "decoding failed due to the following error(s):\n\n")
	first, _, _ := strings.Cut(text, "\n")
	return "configuration: " + first
}

// Unwrap returns the cause.
func (e *configValueError) Unwrap() error { return e.cause }

// LoadConfig reads the configuration from the file at path, if path isn't empty, then from the
// environment, then from the given flags; later ones override earlier ones. The text of an error
// is one line that names the key.
func LoadConfig(path string, flags map[string]any) (*Config, error) {
	settings, err := loadSettings(path, flags)
	if err != nil {
		return nil, err
	}
	c := Defaults()
	var meta mapstructure.Metadata
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:           &c,
		TagName:          "koanf",
		Metadata:         &meta,
		WeaklyTypedInput: true,
		DecodeHook:       mapstructure.StringToTimeDurationHookFunc(),
	})
	if err != nil {
		return nil, err
	}
	if err := decoder.Decode(settings); err != nil {
		return nil, &configValueError{err}
	}
	if len(meta.Unused) > 0 {
		slices.Sort(meta.Unused)
		return nil, &configError{meta.Unused[0], "unknown key"}
	}
	return &c, c.validate()
}

// loadSettings merges the settings of the file, the environment and the flags.
func loadSettings(path string, flags map[string]any) (map[string]any, error) {
	k := koanf.New(".")
	if path != "" {
		if err := k.Load(file.Provider(path), toml.Parser()); err != nil {
			return nil, &configFileError{err}
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
	return k.Raw(), nil
}

// validate returns a configError for the first invalid setting.
func (c *Config) validate() error {
	for _, check := range []struct {
		key     string
		invalid bool
		problem string
	}{
		{"name", !endpoints.IsToken(c.Name, 64), "must be a word"},
		{"data", c.Data == "", "missing: the folder that holds the log and the snapshots"},
		{"listen", !endpoints.IsAddress(c.Listen), describeInvalidAddress(c.Listen)},
		{"raft", !endpoints.IsAddress(c.Raft), describeInvalidAddress(c.Raft)},
		{"gossip", c.Gossip != "" && !endpoints.IsAddress(c.Gossip), describeInvalidAddress(c.Gossip)},
		{"zone", c.Zone != "" && !endpoints.IsToken(c.Zone, endpoints.MaxLabel), "must be a word"},
		{"voters", c.Voters < 0 || c.Voters > 9, fmt.Sprintf("must be 0 to 9, is %d", c.Voters)},
		{"voters", c.Voters > 0 && c.Gossip == "", "requires gossip, which detects failed voters"},
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
		if check.invalid {
			return &configError{check.key, check.problem}
		}
	}
	return c.validatePeers()
}

// validatePeers returns a configError for the first invalid entry of the peer table.
func (c *Config) validatePeers() error {
	for name, peer := range c.Peers {
		switch {
		case !endpoints.IsToken(name, 64):
			return &configError{"peers", fmt.Sprintf("%q is not a valid name", name)}
		case !endpoints.IsAddress(peer.HTTP):
			return &configError{"peers." + name + ".http", describeInvalidAddress(peer.HTTP)}
		case !endpoints.IsAddress(peer.Raft):
			return &configError{"peers." + name + ".raft", describeInvalidAddress(peer.Raft)}
		case peer.Gossip != "" && !endpoints.IsAddress(peer.Gossip):
			return &configError{"peers." + name + ".gossip", describeInvalidAddress(peer.Gossip)}
		}
	}
	return nil
}

// describeInvalidAddress returns the problem of a value that is not an address with a port.
func describeInvalidAddress(value string) string {
	return fmt.Sprintf("no address with a port: %q", value)
}

// leaseConfig returns the settings of registration leases.
func (c *Config) leaseConfig() catalog.LeaseConfig {
	return catalog.LeaseConfig{TTL: c.LeaseTTL, MassFailureShare: c.GuardShare, MassFailureWindow: c.GuardWindow}
}

// otherPeerNames returns the sorted names of the servers in the peer table other than this one.
func (c *Config) otherPeerNames() []string {
	var names []string
	for name := range c.Peers {
		if name != c.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
