// Package experiment plays an experiment file: it builds the fleet, runs the real
// processes, injects the faults of the timeline and gathers what was seen.
package experiment

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

	"knotrouter/internal/catalog"
	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/discovery"
	"knotrouter/internal/lab/server"
)

// Config is an experiment file.
type Config struct {
	Name         string           `koanf:"name"`
	Description  string           `koanf:"about"`
	Seed         uint64           `koanf:"seed"`
	Duration     time.Duration    `koanf:"duration"`
	Warmup       time.Duration    `koanf:"warmup"` // at the start, in no figure
	MaxLateness  time.Duration    `koanf:"lateness"`
	Zones        []string         `koanf:"zones"`
	Baselines    []string         `koanf:"baselines"`
	Listen       string           `koanf:"listen"` // where the run's state can be asked for; "": nowhere
	Agents       Agents           `koanf:"agents"`
	ControlPlane ControlPlane     `koanf:"stewards"`
	LeasedTasks  LeasedTasks      `koanf:"duties"`
	Servers      Servers          `koanf:"servers"`
	Versions     []server.Version `koanf:"version"`
	Discovery    discovery.Config `koanf:"discovery"`
	Load         client.Load      `koanf:"load"`
	Rules        Rules            `koanf:"rules"`
	Faults       []Fault          `koanf:"fault"`
	Expectations []Expectation    `koanf:"expect"`
}

// Agents is the processes under test.
type Agents struct {
	Count       int      `koanf:"count"`
	Command     string   `koanf:"command"`
	Args        []string `koanf:"args"`
	Cores       float64  `koanf:"cores"`
	MemoryMB    float64  `koanf:"memory_mb"`
	Sockets     int      `koanf:"sockets"`
	InitialList string   `koanf:"known"` // the list in the configuration: "now" or "empty"
}

// Servers is the fleet of programme servers.
type Servers struct {
	Count        int           `koanf:"count"`
	CellSize     int           `koanf:"cell"` // servers a cell
	Version      string        `koanf:"version"`
	MachineTypes []MachineType `koanf:"kind"`
}

// MachineType is a machine type.
type MachineType struct {
	Name        string             `koanf:"name"`
	Share       float64            `koanf:"share"`  // of the servers
	Weight      float64            `koanf:"weight"` // as listed; 0: cores times speed
	SpeedCV     float64            `koanf:"speed_cv"`
	Noise       float64            `koanf:"noise"`
	ErrorRate   float64            `koanf:"error_rate"`
	Spec        server.Spec        `koanf:"spec"`
	Connections server.Connections `koanf:"connections"`
	Reports     server.Reports     `koanf:"reports"`
}

// Rules is what the settings tell of the four rules and of what is allowed.
type Rules struct {
	AnswerSlack       time.Duration `koanf:"answer_slack"`
	ListPollWithin    time.Duration `koanf:"ask_within"`
	SlowStartFrom     float64       `koanf:"cold_from"`
	SlowStartDuration time.Duration `koanf:"cold_for"`
	DrainGrace        time.Duration `koanf:"drain_grace"`
	FallMultiple      float64       `koanf:"fall_multiple"`
	FallWindow        time.Duration `koanf:"fall_window"`
	MaxAttempts       int           `koanf:"max_attempts"`
	ParallelAttempts  bool          `koanf:"parallel_tries"`
	Cancelling        bool          `koanf:"cancelling"`
	Probing           bool          `koanf:"probing"`
	RetryAfter        bool          `koanf:"retry_after"`
	MaxRetryAfter     time.Duration `koanf:"max_retry_after"`
	ConnectTimeout    time.Duration `koanf:"connect_timeout"`
	Keepalive         time.Duration `koanf:"keepalive"`
}

// Fault is one line of the timeline.
type Fault struct {
	Name       string        `koanf:"name"`
	Kind       string        `koanf:"kind"`
	Target     string        `koanf:"target"`
	To         string        `koanf:"to"` // of a link
	At         time.Duration `koanf:"at"`
	AfterEvent string        `koanf:"after"` // an event, in place of a time
	EventDelay time.Duration `koanf:"wait"`  // how long after the event
	Delay      time.Duration `koanf:"delay"` // of a link
	Duration   time.Duration `koanf:"for"`   // 0: for good
	Direction  string        `koanf:"way"`   // of a link: "forward", "back" or "both"
	Size       float64       `koanf:"size"`
	Share      float64       `koanf:"share"`
	Class      string        `koanf:"class"`
	RampTime   time.Duration `koanf:"rise"`
	Interval   time.Duration `koanf:"every"` // of "neighbour", "replace" and "restart": from one to the next
	Jitter     time.Duration `koanf:"jitter"`
	Version    string        `koanf:"version"`
	Window     time.Duration `koanf:"window"` // how long its figures are taken apart, if not For
}

// Expectation is a bound on a figure.
type Expectation struct {
	Metric   string   `koanf:"what"`
	Class    string   `koanf:"class"`
	Window   string   `koanf:"window"`
	Baseline string   `koanf:"baseline"`
	AtLeast  *float64 `koanf:"at_least"`
	AtMost   *float64 `koanf:"at_most"`
}

// Default is the experiment of an empty file.
func Default() Config { return defaults() }

// Defaults are those of a deployment like the operators' own.
func defaults() Config {
	return Config{Seed: 1, Warmup: 2 * time.Second, MaxLateness: 10 * time.Millisecond,
		Zones:        []string{"kurume-main", "yame-annex"},
		Agents:       Agents{Count: 5, Command: "bin/agent", Cores: 1, MemoryMB: 192, Sockets: 1024, InitialList: "now"},
		ControlPlane: ControlPlane{Command: "bin/controlplane", LeaseTTL: 6 * time.Second, AgentAccess: "all", Gossip: true, Evidence: true},
		LeasedTasks:  LeasedTasks{TTL: 3 * time.Second, Workers: 3, MaxTasksPerWorker: 100, Command: "bin/lab", ClockRates: []float64{1}},
		Servers: Servers{Count: 12, CellSize: 4, MachineTypes: []MachineType{
			{Name: "fast-single", Share: 0.5, SpeedCV: 0.12, Noise: 0.2, Spec: defaultSpec(1.8), Connections: defaultConns(), Reports: defaultReports()},
			{Name: "slow-single", Share: 0.5, SpeedCV: 0.12, Noise: 0.2, Spec: defaultSpec(0.9), Connections: defaultConns(), Reports: defaultReports()}}},
		Discovery: discovery.Config{Notice: millisRange(1500, 5200), Silent: millisRange(4500, 14000), Add: millisRange(1400, 3000),
			Period: 300 * time.Millisecond, Call: 2 * time.Millisecond, Line: 50 * time.Microsecond,
			Timeout: 2 * time.Second, Capacity: 4},
		Load: client.Load{Rate: 120, AgentCV: 0.5, Keys: 2000, Zipf: 1, Retries: 1, Backoff: "exp", BackoffBase: 300 * time.Millisecond,
			HonorShare: 0.7, AttemptTimeoutShare: []float64{0.6, 1}, BodyBytes: 200, Classes: []client.Class{
				{Name: "schedule-read", Share: 0.5, Work: 20, Distribution: "exp", TargetLatency: 1200 * time.Millisecond, Deadline: 5 * time.Second,
					PriorityWeight: 3, Effect: "free", Group: "all", DedupWindow: 5 * time.Second},
				{Name: "vote-submit", Share: 0.5, Work: 30, Distribution: "exp", TargetLatency: 1500 * time.Millisecond, Deadline: 6 * time.Second,
					PriorityWeight: 9, Effect: "guarded", Group: "all", DedupWindow: 12 * time.Second}}},
		Rules: Rules{AnswerSlack: 20 * time.Millisecond, ListPollWithin: 10 * time.Second, SlowStartFrom: 0.13, SlowStartDuration: 24 * time.Second,
			DrainGrace: 500 * time.Millisecond, FallMultiple: 4, FallWindow: time.Second, MaxAttempts: 6, ParallelAttempts: true,
			Cancelling: true, Probing: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
			ConnectTimeout: 250 * time.Millisecond, Keepalive: 30 * time.Second}}
}

func millisRange(from, to int) []time.Duration {
	return []time.Duration{time.Duration(from) * time.Millisecond, time.Duration(to) * time.Millisecond}
}

func defaultSpec(speed float64) server.Spec {
	return server.Spec{Cores: 1, Speed: speed, Slots: 4, Queue: 24, Thrash: 0.2, ThrashAt: 10,
		ColdFrom: 0.2, ColdFor: 18 * time.Second, AffinityGain: 0.6, AffinityFor: 20 * time.Second, AffinityKeys: 12,
		Choke:     server.Choke{At: 6, Over: 2 * time.Second, Slower: 2.5, Below: 0.3, Rest: 3 * time.Second, AtMost: 25 * time.Second},
		FallSlack: 300}
}

func defaultConns() server.Connections {
	return server.Connections{Cap: 700, Idle: 30 * time.Second, HandshakeTime: time.Millisecond, HandshakeWork: 1}
}

func defaultReports() server.Reports {
	return server.Reports{How: "on_probe", Names: []string{"util", "inflight"}, Period: 200 * time.Millisecond,
		Delay: 60 * time.Millisecond, Noise: 0.1, Probes: true, ProbeWork: 0.05}
}

// Load reads an experiment file. Its error is one line that names the key.
func Load(path string) (*Config, error) { return LoadFile(path, Parse) }

// LoadFile reads a file and parses its text. Its error names the file.
func LoadFile[T any](path string, parse func(text []byte) (*T, error)) (*T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	config, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// Parse reads an experiment's text over the defaults.
func Parse(text []byte) (*Config, error) {
	k := koanf.New("\x00")
	if err := k.Load(rawbytes.Provider(text), toml.Parser()); err != nil {
		return nil, errors.New(strings.ReplaceAll("no TOML: "+err.Error(), "\n", " "))
	}
	c := defaults()
	raw := k.Raw()
	// A list in the file stands in place of the default's, but each of its entries over
	// the default entry of the same name, or the first.
	kinds, classes := c.Servers.MachineTypes, c.Load.Classes
	if n, ok := listLength(raw, "servers", "kind"); ok {
		c.Servers.MachineTypes = make([]MachineType, n)
		for i := range c.Servers.MachineTypes {
			c.Servers.MachineTypes[i] = kinds[min(i, len(kinds)-1)]
			c.Servers.MachineTypes[i].Reports.Names = slices.Clone(kinds[0].Reports.Names)
		}
	}
	if n, ok := listLength(raw, "load", "class"); ok {
		c.Load.Classes = make([]client.Class, n)
		for i := range c.Load.Classes {
			c.Load.Classes[i] = classes[min(i, len(classes)-1)]
		}
	}
	var meta mapstructure.Metadata
	dec, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: &c, TagName: "koanf", Metadata: &meta,
		DecodeHook: mapstructure.StringToTimeDurationHookFunc()})
	if err != nil {
		return nil, err
	}
	if err := dec.Decode(raw); err != nil {
		return nil, errors.New(firstLine(err))
	}
	if len(meta.Unused) > 0 {
		slices.Sort(meta.Unused)
		return nil, fmt.Errorf("%s: unknown key", meta.Unused[0])
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return &c, nil
}

func listLength(raw map[string]any, table, list string) (int, bool) {
	t, _ := raw[table].(map[string]any)
	l, ok := t[list].([]any)
	return len(l), ok && len(l) > 0
}

// firstLine words the decoder's first complaint.
func firstLine(err error) string {
	text := err.Error()
	if many, ok := err.(interface{ Unwrap() []error }); ok && len(many.Unwrap()) > 0 {
		text = many.Unwrap()[0].Error()
	}
	text = strings.TrimPrefix(text, "decoding failed due to the following error(s):\n\n")
	text, _, _ = strings.Cut(text, "\n")
	return strings.TrimSpace(text)
}

// Faults' kinds by what they are done to.
var faultKinds = map[string][]string{
	"servers":   {"kill", "vanish", "drain", "slow", "neighbour", "errors", "resets", "lost", "spoilt", "replace", "mute"},
	"agents":    {"kill", "stop", "restart", "hup"},
	"stewards":  {"kill", "stop", "restart"},
	"workers":   {"kill", "stop", "restart"},
	"discovery": {"down"},
	"load":      {"burst", "heavy"},
	"link":      {"cut", "refuse", "delay", "slow", "reset", "loss"},
}

func (c *Config) validate() error {
	checks := []struct {
		key string
		bad bool
		say string
	}{
		{"name", c.Name == "" || strings.ContainsAny(c.Name, " \t\n/"), "must be one word without a slash"},
		{"duration", c.Duration < time.Second || c.Duration > time.Hour, fmt.Sprintf("must be 1s to 1h, is %v", c.Duration)},
		{"warmup", c.Warmup < 0 || c.Warmup >= c.Duration, fmt.Sprintf("must be 0 or above and under the duration, is %v", c.Warmup)},
		{"lateness", c.MaxLateness <= 0, fmt.Sprintf("must be above 0, is %v", c.MaxLateness)},
		{"zones", len(c.Zones) == 0, "none given"},
		{"agents.count", c.Agents.Count < 1 || c.Agents.Count > 1000, fmt.Sprintf("must be 1 to 1000, is %d", c.Agents.Count)},
		{"agents.command", c.Agents.Command == "", "missing"},
		{"agents.cores", c.Agents.Cores <= 0, fmt.Sprintf("must be above 0, is %v", c.Agents.Cores)},
		{"agents.memory_mb", c.Agents.MemoryMB < 16, fmt.Sprintf("must be 16 or above, is %v", c.Agents.MemoryMB)},
		{"agents.sockets", c.Agents.Sockets < 64, fmt.Sprintf("must be 64 or above, is %d", c.Agents.Sockets)},
		{"agents.known", c.Agents.InitialList != "now" && c.Agents.InitialList != "empty", fmt.Sprintf("must be now or empty, is %q", c.Agents.InitialList)},
		{"stewards.count", c.ControlPlane.Count < 0 || c.ControlPlane.Count > 9, fmt.Sprintf("must be 0 to 9, is %d", c.ControlPlane.Count)},
		{"stewards.lease_ttl", c.ControlPlane.LeaseTTL < 300*time.Millisecond, fmt.Sprintf("must be 300ms or above, is %v", c.ControlPlane.LeaseTTL)},
		{"stewards.agents", c.ControlPlane.AgentAccess != "all" && c.ControlPlane.AgentAccess != "one", fmt.Sprintf("must be all or one, is %q", c.ControlPlane.AgentAccess)},
		{"stewards.watches", c.ControlPlane.Watches < 0 || c.ControlPlane.Watches > 5000, fmt.Sprintf("must be 0 to 5000, is %d", c.ControlPlane.Watches)},
		{"duties.count", c.LeasedTasks.Count < 0 || c.LeasedTasks.Count > 5000, fmt.Sprintf("must be 0 to 5000, is %d", c.LeasedTasks.Count)},
		{"duties.count", c.LeasedTasks.Count > 0 && c.ControlPlane.Count == 0, "duties are the stewards': there are none in this experiment"},
		{"duties.ttl", c.LeasedTasks.TTL < catalog.MinTTL || c.LeasedTasks.TTL > catalog.MaxTTL, fmt.Sprintf("must be %v to %v, is %v", catalog.MinTTL, catalog.MaxTTL, c.LeasedTasks.TTL)},
		{"duties.workers", c.LeasedTasks.Workers < 1 || c.LeasedTasks.Workers > 50, fmt.Sprintf("must be 1 to 50, is %d", c.LeasedTasks.Workers)},
		{"duties.cap", c.LeasedTasks.MaxTasksPerWorker < 1, fmt.Sprintf("must be 1 or above, is %d", c.LeasedTasks.MaxTasksPerWorker)},
		{"duties.clocks", len(c.LeasedTasks.ClockRates) == 0 || slices.ContainsFunc(c.LeasedTasks.ClockRates, func(r float64) bool { return !(r >= 0.5 && r <= 2) }), "must be rates of 0.5 to 2"},
		{"servers.count", c.Servers.Count < 1 || c.Servers.Count > 200, fmt.Sprintf("must be 1 to 200, is %d", c.Servers.Count)},
		{"servers.cell", c.Servers.CellSize < 1, fmt.Sprintf("must be 1 or above, is %d", c.Servers.CellSize)},
		{"load.rate", !(c.Load.Rate >= 0), fmt.Sprintf("must be 0 or above, is %v", c.Load.Rate)},
		{"load.rate", c.Load.Rate*c.Duration.Seconds() > 5e6, "more than 5 million requests in the run"},
		{"load.agent_cv", c.Load.AgentCV < 0, fmt.Sprintf("must be 0 or above, is %v", c.Load.AgentCV)},
		{"load.keys", c.Load.Keys < 0 || c.Load.Keys > 1e7, fmt.Sprintf("must be 0 to 10 million, is %d", c.Load.Keys)},
		{"load.zipf", c.Load.Zipf < 0, fmt.Sprintf("must be 0 or above, is %v", c.Load.Zipf)},
		{"load.retries", c.Load.Retries < 0 || c.Load.Retries > 20, fmt.Sprintf("must be 0 to 20, is %d", c.Load.Retries)},
		{"load.backoff", !slices.Contains([]string{"none", "fixed", "exp"}, c.Load.Backoff), fmt.Sprintf("must be none, fixed or exp, is %q", c.Load.Backoff)},
		{"load.backoff_by", c.Load.BackoffBase < 0, fmt.Sprintf("must be 0 or above, is %v", c.Load.BackoffBase)},
		{"load.honour", !isFraction(c.Load.HonorShare), fmt.Sprintf("must be 0 to 1, is %v", c.Load.HonorShare)},
		{"load.impatient", !isFraction(c.Load.ImpatientShare), fmt.Sprintf("must be 0 to 1, is %v", c.Load.ImpatientShare)},
		{"load.try_share", len(c.Load.AttemptTimeoutShare) != 2 || c.Load.AttemptTimeoutShare[0] <= 0 || c.Load.AttemptTimeoutShare[1] > 1 || c.Load.AttemptTimeoutShare[0] > c.Load.AttemptTimeoutShare[1],
			fmt.Sprintf("must be two numbers from above 0 to 1, is %v", c.Load.AttemptTimeoutShare)},
		{"load.body", c.Load.BodyBytes < 0 || c.Load.BodyBytes > 64<<10, fmt.Sprintf("must be 0 to 65536, is %d", c.Load.BodyBytes)},
		{"rules.max_attempts", c.Rules.MaxAttempts < 1, fmt.Sprintf("must be 1 or above, is %d", c.Rules.MaxAttempts)},
		{"rules.connect_timeout", c.Rules.ConnectTimeout <= 0, fmt.Sprintf("must be above 0, is %v", c.Rules.ConnectTimeout)},
		{"discovery.capacity", c.Discovery.Capacity < 1, fmt.Sprintf("must be 1 or above, is %d", c.Discovery.Capacity)},
		{"discovery.notice", !isRange(c.Discovery.Notice), "must be two times, the lower first"},
		{"discovery.silent_notice", !isRange(c.Discovery.Silent), "must be two times, the lower first"},
		{"discovery.add", !isRange(c.Discovery.Add), "must be two times, the lower first"},
	}
	for _, ch := range checks {
		if ch.bad {
			return fmt.Errorf("%s: %s", ch.key, ch.say)
		}
	}
	for _, step := range []func() error{c.validateMachineTypes, c.validateClasses, c.validateFaults, c.validateExpectations} {
		if err := step(); err != nil {
			return err
		}
	}
	for i, b := range c.Baselines {
		if !slices.Contains(client.Policies, b) {
			return fmt.Errorf("baselines[%d]: unknown policy %q: one of %s", i, b, strings.Join(client.Policies, ", "))
		}
	}
	return nil
}

func isFraction(x float64) bool { return x >= 0 && x <= 1 }

func isRange(s []time.Duration) bool { return len(s) == 2 && s[0] >= 0 && s[0] <= s[1] }

func (c *Config) validateMachineTypes() error {
	for i := range c.Servers.MachineTypes {
		k := &c.Servers.MachineTypes[i]
		at := fmt.Sprintf("servers.kind[%d].", i)
		switch {
		case k.Name == "":
			return fmt.Errorf("%sname: missing", at)
		case !(k.Share > 0):
			return fmt.Errorf("%sshare: must be above 0, is %v", at, k.Share)
		case k.Spec.Cores < 1 || k.Spec.Slots < 1 || k.Spec.Queue < 0 || !(k.Spec.Speed > 0):
			return fmt.Errorf("%sspec: cores, slots and speed must be above 0, queue 0 or above", at)
		case !isFraction(k.Spec.ColdFrom):
			return fmt.Errorf("%sspec.cold_from: must be 0 to 1, is %v", at, k.Spec.ColdFrom)
		case !isFraction(k.ErrorRate) || k.Noise < 0 || k.SpeedCV < 0:
			return fmt.Errorf("%serror_rate, noise and speed_cv: must be 0 or above", at)
		case k.Reports.How != "inline" && k.Reports.How != "on_probe" && k.Reports.How != "off":
			return fmt.Errorf("%sreports.how: must be inline, on_probe or off, is %q", at, k.Reports.How)
		}
	}
	for i := range c.Versions {
		if c.Versions[i].Name == "" {
			return fmt.Errorf("version[%d].name: missing", i)
		}
		for class, p := range c.Versions[i].Errors {
			if c.classIndex(class) < 0 {
				return fmt.Errorf("version[%d].errors: no class %q", i, class)
			}
			if !isFraction(p) {
				return fmt.Errorf("version[%d].errors.%s: must be 0 to 1, is %v", i, class, p)
			}
		}
	}
	if v := c.Servers.Version; v != "" && c.findVersion(v) == nil {
		return fmt.Errorf("servers.version: no version %q", v)
	}
	return nil
}

func (c *Config) findVersion(name string) *server.Version {
	for i := range c.Versions {
		if c.Versions[i].Name == name {
			return &c.Versions[i]
		}
	}
	return nil
}

func (c *Config) classIndex(name string) int {
	return slices.IndexFunc(c.Load.Classes, func(cl client.Class) bool { return cl.Name == name })
}

func (c *Config) validateClasses() error {
	for i := range c.Load.Classes {
		cl := &c.Load.Classes[i]
		at := fmt.Sprintf("load.class[%d].", i)
		switch {
		case cl.Name == "" || strings.Contains(cl.Name, "/"):
			return fmt.Errorf("%sname: must be a word without a slash, is %q", at, cl.Name)
		case !(cl.Share > 0) || !(cl.Work > 0):
			return fmt.Errorf("%sshare and work: must be above 0", at)
		case cl.TargetLatency <= 0 || cl.Deadline < cl.TargetLatency || cl.Deadline > time.Minute:
			return fmt.Errorf("%saim and give_up: must be above 0, the aim the lower, and at most 1m", at)
		case !slices.Contains([]string{"free", "guarded", "single_shot"}, cl.Effect):
			return fmt.Errorf("%seffect: must be free, guarded or single_shot, is %q", at, cl.Effect)
		case !slices.Contains([]string{"all", "zone", "cell"}, cl.Group):
			return fmt.Errorf("%sgroup: must be all, zone or cell, is %q", at, cl.Group)
		case !slices.Contains([]string{"exp", "fixed", "lognormal"}, cl.Distribution):
			return fmt.Errorf("%sdist: must be exp, fixed or lognormal, is %q", at, cl.Distribution)
		}
	}
	return nil
}

func (c *Config) validateFaults() error {
	names := map[string]bool{"": true, "all": true, "calm": true}
	for i := range c.Faults {
		f := &c.Faults[i]
		at := fmt.Sprintf("fault[%d].", i)
		if names[f.Name] {
			return fmt.Errorf("%sname: %q is missing, taken, or a window of its own", at, f.Name)
		}
		names[f.Name] = true
		kind, err := c.faultTargetKind(f)
		if err != nil {
			return fmt.Errorf("%s%w", at, err)
		}
		switch {
		case !slices.Contains(faultKinds[kind], f.Kind):
			return fmt.Errorf("%skind: %q is nothing that is done to %s: one of %s", at, f.Kind, kind, strings.Join(faultKinds[kind], ", "))
		case f.At < 0 || f.Duration < 0 || f.Interval < 0 || f.Delay < 0 || f.EventDelay < 0 || f.Jitter < 0 || f.Window < 0 || f.RampTime < 0:
			return fmt.Errorf("%sat, for, every, delay, jitter, rise and window: must be 0 or above", at)
		case f.AfterEvent == "" && f.At >= c.Duration:
			return fmt.Errorf("%sat: %v is after the end of the run at %v", at, f.At, c.Duration)
		case f.AfterEvent == "" && f.At+f.Duration > c.Duration:
			return fmt.Errorf("%sfor: it would end at %v, after the end of the run at %v", at, f.At+f.Duration, c.Duration)
		case f.AfterEvent != "" && f.At > 0:
			return fmt.Errorf("%safter: an event and a time can't both say when", at)
		case f.Size < 0 || !isFraction(f.Share):
			return fmt.Errorf("%ssize: must be 0 or above, and share 0 to 1", at)
		case f.Direction != "" && !slices.Contains([]string{"forward", "back", "both"}, f.Direction):
			return fmt.Errorf("%sway: must be forward, back or both, is %q", at, f.Direction)
		case f.Version != "" && c.findVersion(f.Version) == nil:
			return fmt.Errorf("%sversion: no version %q", at, f.Version)
		case f.Class != "" && c.classIndex(f.Class) < 0:
			return fmt.Errorf("%sclass: no class %q", at, f.Class)
		case c.ControlPlane.Count > 0 && (kind == "discovery" || f.Kind == "hup" && c.ControlPlane.AgentAccess != "all"):
			return fmt.Errorf("%starget: with stewards the stand-in is not there", at)
		case f.Kind == "mute" && c.ControlPlane.Count == 0:
			return fmt.Errorf("%skind: mute is of renewals, and there are no stewards to hear any", at)
		case kind == "load" && f.AfterEvent != "":
			return fmt.Errorf("%safter: arrivals are drawn ahead, so a change of the load needs a time", at)
		case sizedFaultKinds[f.Kind] && kind != "link" && f.Size == 0 || kind == "link" && (f.Kind == "slow" || f.Kind == "reset" || f.Kind == "loss") && f.Size == 0:
			return fmt.Errorf("%ssize: missing", at)
		}
	}
	return nil
}

var sizedFaultKinds = map[string]bool{"slow": true, "neighbour": true, "errors": true, "resets": true, "lost": true,
	"spoilt": true, "burst": true, "heavy": true}

// faultTargetKind tells what a fault is done to.
func (c *Config) faultTargetKind(f *Fault) (string, error) {
	kind, err := c.selectorKind(f.Target)
	if err != nil {
		return "", fmt.Errorf("target: %w", err)
	}
	if f.To == "" {
		return kind, nil
	}
	to, err := c.selectorKind(f.To)
	switch {
	case err != nil:
		return "", fmt.Errorf("to: %w", err)
	case to == "stewards" && (kind == "workers" || kind == "stewards"):
	case c.ControlPlane.Count > 0:
		return "", errors.New("to: with stewards, links lead from workers and stewards to stewards: their list has one address for all agents")
	case kind != "agents" || to != "servers" && to != "discovery":
		return "", errors.New("to: links lead from agents to servers or to discovery")
	}
	return "link", nil
}

// Expectations by what they bound.
var metricNames = []string{"served", "refused", "failed", "late", "p50_ms", "p99_ms", "attempts", "probes", "connections",
	"list_calls", "crashes", "recovery_s", "worth", "worth_ratio", "doubled", "lab_cores", "spread_p50_ms", "spread_p99_ms",
	"last_agent_p50_ms",
	"last_agent_p99_ms", "duty_idle", "duty_gap_max_ms", "duty_terms", "agents_present"}

func (c *Config) validateExpectations() error {
	for i := range c.Expectations {
		expectation := &c.Expectations[i]
		at := fmt.Sprintf("expect[%d].", i)
		window := expectation.Window == "" || expectation.Window == "all" || expectation.Window == "calm" ||
			slices.ContainsFunc(c.Faults, func(f Fault) bool { return f.Name == expectation.Window })
		switch {
		case !slices.Contains(metricNames, expectation.Metric):
			return fmt.Errorf("%swhat: unknown figure %q: one of %s", at, expectation.Metric, strings.Join(metricNames, ", "))
		case expectation.AtLeast == nil && expectation.AtMost == nil:
			return fmt.Errorf("%sat_least: neither it nor at_most is given", at)
		case expectation.Class != "" && c.classIndex(expectation.Class) < 0:
			return fmt.Errorf("%sclass: no class %q", at, expectation.Class)
		case !window:
			return fmt.Errorf("%swindow: no fault %q", at, expectation.Window)
		case expectation.Metric == "recovery_s" && (expectation.Window == "" || expectation.Window == "all" || expectation.Window == "calm"):
			return fmt.Errorf("%swindow: recovery_s needs the name of a fault", at)
		case expectation.Metric == "worth_ratio" && !slices.Contains(c.Baselines, expectation.Baseline):
			return fmt.Errorf("%sbaseline: no baseline %q in this experiment", at, expectation.Baseline)
		}
	}
	return nil
}
