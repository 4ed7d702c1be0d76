// Package experiment runs an experiment file: it builds the fleets of emulated servers, runs the
// real agents and control-plane servers, injects the faults of the timeline, and summarizes the
// run: the requests' outcomes, the rules that were broken, and the expectations that were met.
//
// The keys of the files (config.go, in TOML) and of the results (summary.go, in JSON) are stable
// formats and keep older terms; the tags beside the Go fields map them.
package experiment

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/discovery"
	"knotrouter/internal/lab/server"
)

// Config is an experiment file. Parse returns valid ones.
type Config struct {
	Name         string           `koanf:"name"`
	Description  string           `koanf:"about"`
	Seed         uint64           `koanf:"seed"`
	Duration     time.Duration    `koanf:"duration"`
	Warmup       time.Duration    `koanf:"warmup"`   // at the start; not measured
	MaxLateness  time.Duration    `koanf:"lateness"` // bound on the p99 of how late the lab sends a request
	Zones        []string         `koanf:"zones"`
	Baselines    []string         `koanf:"baselines"`
	Listen       string           `koanf:"listen"` // HTTP address that serves the progress of the run; "": none
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

// Agents describes the agents under test and their limits.
type Agents struct {
	Count       int      `koanf:"count"`
	Command     string   `koanf:"command"`
	Args        []string `koanf:"args"`
	Cores       float64  `koanf:"cores"`
	MemoryMB    float64  `koanf:"memory_mb"`
	Sockets     int      `koanf:"sockets"`
	InitialList string   `koanf:"known"` // the endpoint list in their configuration: "now" or "empty"
}

// Servers describes the emulated servers.
type Servers struct {
	Count        int           `koanf:"count"`
	CellSize     int           `koanf:"cell"` // servers in each cell
	Version      string        `koanf:"version"`
	MachineTypes []MachineType `koanf:"kind"`
}

// MachineType is a type of machine that emulated servers are drawn from.
type MachineType struct {
	Name        string                  `koanf:"name"`
	Share       float64                 `koanf:"share"`  // of the servers
	Weight      float64                 `koanf:"weight"` // as listed; 0: cores times speed
	SpeedCV     float64                 `koanf:"speed_cv"`
	Noise       float64                 `koanf:"noise"`
	ErrorRate   float64                 `koanf:"error_rate"`
	Spec        server.Spec             `koanf:"spec"`
	Connections server.ConnectionPolicy `koanf:"connections"`
	Reports     server.LoadReports      `koanf:"reports"`
}

// Rules is what the agents' settings say of the rules that the checker enforces, and of what the
// agents may do.
type Rules struct {
	AnswerSlack       time.Duration `koanf:"answer_slack"`
	ListPollWithin    time.Duration `koanf:"ask_within"`
	SlowStartFrom     float64       `koanf:"cold_from"`
	SlowStartDuration time.Duration `koanf:"cold_for"`
	DrainGrace        time.Duration `koanf:"drain_grace"`
	CrashLoadMultiple float64       `koanf:"fall_multiple"`
	CrashWindow       time.Duration `koanf:"fall_window"`
	MaxAttempts       int           `koanf:"max_attempts"`
	ParallelAttempts  bool          `koanf:"parallel_tries"`
	Cancelling        bool          `koanf:"cancelling"`
	Probing           bool          `koanf:"probing"`
	RetryAfter        bool          `koanf:"retry_after"`
	MaxRetryAfter     time.Duration `koanf:"max_retry_after"`
	ConnectTimeout    time.Duration `koanf:"connect_timeout"`
	Keepalive         time.Duration `koanf:"keepalive"`
}

// ControlPlane describes the control-plane servers that list the emulated servers. Without them
// the emulated list service does.
type ControlPlane struct {
	Count    int           `koanf:"count"` // 0: the emulated list service lists the servers
	Command  string        `koanf:"command"`
	LeaseTTL time.Duration `koanf:"lease_ttl"`
	Watches  int           `koanf:"watches"` // of the lab itself, beside the agents', to measure how changes propagate; at least one a server
	// AgentAccess says which control-plane servers an agent is configured with: "all", or "one"
	// as its discovery address.
	AgentAccess string `koanf:"agents"`
	Gossip      bool   `koanf:"gossip"`   // the members exchange their views by gossip
	Evidence    bool   `koanf:"evidence"` // peers are asked for evidence before a registration expires
}

// LeasedTasks describes the leased tasks of the control plane and the worker processes that run
// them. The workers' operations land at the emulated servers, which check their fencing tokens.
type LeasedTasks struct {
	Count             int           `koanf:"count"` // 0: none
	TTL               time.Duration `koanf:"ttl"`
	Workers           int           `koanf:"workers"`
	MaxTasksPerWorker int           `koanf:"cap"`
	Command           string        `koanf:"command"`
	ClockRates        []float64     `koanf:"clocks"` // rates of the workers' clocks, assigned in turn
}

// Fault is one fault of the timeline. Which fields apply depends on its kind.
type Fault struct {
	Name       string        `koanf:"name"`
	Kind       string        `koanf:"kind"`
	Target     string        `koanf:"target"`
	To         string        `koanf:"to"` // the far end of a link
	At         time.Duration `koanf:"at"`
	AfterEvent string        `koanf:"after"` // an event that starts it, in place of At
	EventDelay time.Duration `koanf:"wait"`  // from the event to the fault
	Delay      time.Duration `koanf:"delay"` // of a link
	Duration   time.Duration `koanf:"for"`   // 0: to the end of the run
	Direction  string        `koanf:"way"`   // of a link: "forward", "back" or "both"
	Size       float64       `koanf:"size"`
	Share      float64       `koanf:"share"`
	Class      string        `koanf:"class"`
	RiseTime   time.Duration `koanf:"rise"`
	Interval   time.Duration `koanf:"every"` // of periodic faults, and from one target to the next
	Jitter     time.Duration `koanf:"jitter"`
	Version    string        `koanf:"version"`
	Signals    []string      `koanf:"signals"` // of faultSignals, in order: "hup", "term" and "kill"
	Window     time.Duration `koanf:"window"`  // length of its measured window; 0: Duration
}

// Describe returns a fault in a few words: its kind, target and duration.
func (f *Fault) Describe() string {
	text := f.Kind + " " + f.Target
	if f.To != "" {
		text += " to " + f.To
	}
	if f.Duration > 0 {
		text += fmt.Sprintf(" for %v", f.Duration)
	}
	return text
}

// rng returns the random source of a fault. It depends on the seed and the fault's name alone.
func (f *Fault) rng(seed uint64) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(f.Name))
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// Expectation is a lower or upper bound, or both, on a metric.
type Expectation struct {
	Metric   string   `koanf:"what"`
	Class    string   `koanf:"class"`
	Window   string   `koanf:"window"`
	Baseline string   `koanf:"baseline"`
	AtLeast  *float64 `koanf:"at_least"`
	AtMost   *float64 `koanf:"at_most"`
}

// label returns the metric with its class, baseline and window, as reports show it.
func (e *Expectation) label() string {
	label := e.Metric
	if e.Class != "" {
		label += " of " + e.Class
	}
	if e.Baseline != "" {
		label += " to " + e.Baseline
	}
	if e.Window != "" && e.Window != windowAll {
		label += " in " + e.Window
	}
	return label
}

// findVersion returns the server version of that name, or nil.
func (c *Config) findVersion(name string) *server.Version {
	for i := range c.Versions {
		if c.Versions[i].Name == name {
			return &c.Versions[i]
		}
	}
	return nil
}

// classIndex returns the index of the request class of that name, or -1.
func (c *Config) classIndex(name string) int {
	return slices.IndexFunc(c.Load.Classes, func(class client.Class) bool { return class.Name == name })
}

// workerCount returns the number of worker processes; 0 without leased tasks.
func (c *Config) workerCount() int {
	if c.LeasedTasks.Count == 0 {
		return 0
	}
	return c.LeasedTasks.Workers
}
