// Package agent runs the policy module on real sockets: it converts requests, responses, timers and
// lists of servers into the balancer's events and executes the balancer's actions. The balancer alone
// decides where, when and whether a request is sent.
package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/simwire"
	"knotrouter/policy"
)

// Limits holds the limits of the resources that the process may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration of an agent.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	Seed          uint64
	Limits        Limits
	Settings      policy.Settings
	Names         nameIndex
	CachedList    endpoints.List
	CachedListErr error // error of the first invalid entry of the cached list; invalid entries are skipped; nil: none

	// The settings below are extensions of the given configuration format; each is off unless configured.
	ControlPlane []string // addresses of the control-plane servers, in place of Discovery
	Services     []string // the services to subscribe to at the control plane; nil: all
	LogLevel     slog.Level
}

// addresses returns the addresses of discovery: those of the control-plane servers, if configured.
func (c *Config) addresses() []string {
	if len(c.ControlPlane) > 0 {
		return c.ControlPlane
	}
	return []string{c.Discovery}
}

// nameIndex maps names of zones, kinds, classes and tenants to their indices in the balancer's settings.
type nameIndex struct {
	zones, kinds, classes, tenants map[string]int
}

// LoadConfig reads and validates the file at path. The error names the invalid key.
func LoadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	return ParseConfig(text)
}

// rawConfig is the JSON form of a configuration, before validation. The keys are fixed by the configuration
// format: "known" is the cached list, and "stewards" are the control-plane servers.
type rawConfig struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`
	Discovery    string          `json:"discovery"`
	Seed         string          `json:"seed"`
	Limits       Limits          `json:"limits"`
	CachedList   json.RawMessage `json:"known"`
	Settings     json.RawMessage `json:"settings"`
	ControlPlane []string        `json:"stewards"`
	Services     []string        `json:"services"`
	LogLevel     string          `json:"log_level"`
}

// ParseConfig parses and validates a configuration. The error names the invalid key.
func ParseConfig(text []byte) (*Config, error) {
	var raw rawConfig
	if err := json.Unmarshal(text, &raw); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("config: %s: cannot be a %s", typeErr.Field, typeErr.Value)
		}
		return nil, fmt.Errorf("config: invalid JSON: %w", err)
	}
	c := &Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Limits: raw.Limits,
		ControlPlane: raw.ControlPlane, Services: raw.Services}
	if err := c.LogLevel.UnmarshalText([]byte(raw.LogLevel)); err != nil && raw.LogLevel != "" {
		return nil, fmt.Errorf("config: log_level: must be debug, info, warn or error, is %q", raw.LogLevel)
	}
	if err := raw.checkAddresses(); err != nil {
		return nil, err
	}
	if err := checkServices(raw.Services, raw.ControlPlane); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: not 64 bits in hexadecimal: %q", raw.Seed)
	}
	if err := raw.checkLimits(); err != nil {
		return nil, err
	}
	if err := c.applySettings(raw.Settings); err != nil {
		return nil, err
	}
	c.CachedList, c.CachedListErr = parseCachedList(raw.CachedList)
	return c, nil
}

// checkAddresses validates the addresses of the agent, of discovery and of the control plane.
func (raw *rawConfig) checkAddresses() error {
	if err := checkAddress(raw.Listen); err != nil {
		return fmt.Errorf("config: listen: %w", err)
	}
	if err := checkAddress(raw.Discovery); err != nil && (raw.Discovery != "" || len(raw.ControlPlane) == 0) {
		return fmt.Errorf("config: discovery: %w", err)
	}
	if len(raw.ControlPlane) > maxControlPlaneAddresses {
		return fmt.Errorf("config: stewards: %d addresses of at most %d", len(raw.ControlPlane), maxControlPlaneAddresses)
	}
	for i, addr := range raw.ControlPlane {
		if err := checkAddress(addr); err != nil {
			return fmt.Errorf("config: stewards[%d]: %w", i, err)
		}
		if slices.Contains(raw.ControlPlane[:i], addr) {
			return fmt.Errorf("config: stewards[%d]: named twice: %q", i, addr)
		}
	}
	return nil
}

// checkLimits validates the limits, and that a name and settings are given.
func (raw *rawConfig) checkLimits() error {
	switch l := raw.Limits; {
	case raw.Name == "":
		return errors.New("config: name: missing")
	case !(l.Cores > 0) || l.Cores > 1024:
		return fmt.Errorf("config: limits.cores: must be above 0 and at most 1024, is %v", l.Cores)
	case !(l.MemoryMB >= 16) || l.MemoryMB > 1<<24:
		return fmt.Errorf("config: limits.memory_mb: must be 16 or above, is %v", l.MemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("config: limits.sockets: must be %d or above, is %d", minSockets, l.Sockets)
	case len(raw.Settings) == 0:
		return errors.New("config: settings: missing")
	}
	return nil
}

// applySettings parses and validates the balancer's settings, and indexes the names in them.
func (c *Config) applySettings(text json.RawMessage) error {
	var err error
	if c.Settings, err = simwire.ParseSettings(text); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	// The type is anonymous because encoding/json would write its name into errors. The keys are fixed by
	// the settings' format: "failureDomains" are the zones, and "shapes" are the kinds.
	var nameLists struct {
		Zones []string `json:"failureDomains"`
		Kinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(text, &nameLists); err != nil {
		return fmt.Errorf("config: settings: failureDomains or shapes: %w", err)
	}
	// The balancer validates its own settings; creating one reports invalid settings early.
	if _, err := policy.New(c.Settings, c.Seed); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	c.Names = nameIndex{zones: indexNames(nameLists.Zones), kinds: indexNames(nameLists.Kinds),
		classes: map[string]int{}, tenants: map[string]int{}}
	for i, class := range c.Settings.Classes {
		if class.Name == "" {
			return fmt.Errorf("config: settings: classes[%d].name: missing", i)
		}
		c.Names.classes[class.Name] = i
	}
	for i, tenant := range c.Settings.Tenants {
		c.Names.tenants[tenant.Name] = i
	}
	return nil
}

// parseCachedList parses the last list that the agent had before a restart. Invalid entries are skipped
// and reported by the error instead of preventing the start: the list only speeds it up, and discovery
// serves the complete one.
func parseCachedList(text json.RawMessage) (l endpoints.List, firstErr error) {
	if len(text) == 0 {
		return l, nil
	}
	var raw struct {
		Seq   int64             `json:"seq"`
		Full  bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return l, fmt.Errorf("config: known: %w", err)
	}
	l.Seq, l.Full = raw.Seq, raw.Full
	skipped := 0
	for i, host := range raw.Hosts {
		var h endpoints.Endpoint
		err := json.Unmarshal(host, &h)
		if err == nil {
			err = h.CheckReadable()
		}
		if err != nil {
			if skipped++; firstErr == nil {
				firstErr = fmt.Errorf("config: known: hosts[%d].%w", i, err)
			}
			continue
		}
		l.Endpoints = append(l.Endpoints, h)
	}
	if firstErr != nil || len(l.Endpoints) == 0 {
		l.Seq = 0 // makes discovery send a full list: a list of changes would lack the skipped entries
	}
	if skipped > 1 {
		firstErr = fmt.Errorf("%w, and %d more", firstErr, skipped-1)
	}
	return l, firstErr
}

// maxControlPlaneAddresses limits the addresses of the control plane. There are at most five servers,
// and as many new ones while the servers are replaced.
const maxControlPlaneAddresses = 16

// checkServices validates the services; nil means that the key is absent, which is valid.
func checkServices(services, controlPlane []string) error {
	if services == nil {
		return nil
	}
	if len(controlPlane) == 0 {
		return errors.New("services: only with stewards, which are not set")
	}
	return endpoints.CheckServices(services)
}

// checkAddress returns an error unless addr has the form host:port with a numeric port.
func checkAddress(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("no address with a port: %q", addr)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("no port number: %q", addr)
	}
	return nil
}

// indexNames returns the index of each name.
func indexNames(names []string) map[string]int {
	indices := make(map[string]int, len(names))
	for i, name := range names {
		indices[name] = i
	}
	return indices
}
