// Package experiment runs experiment files. It builds the fleets of emulated servers, runs the real
// agents and control-plane servers, injects the faults of the timeline, and summarizes the run: the
// outcomes of the requests, the rules that were broken, and the expectations that were met.
//
// The keys of experiment files (config.go, in TOML) and of results (summary.go, in JSON) are stable
// formats that keep older terms; the tags of the Go fields map them to the current terms.
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

// Config is the content of an experiment file. Parse returns only valid ones.
type Config struct {
	Name         string           `koanf:"name"`
	Description  string           `koanf:"about"`
	Seed         uint64           `koanf:"seed"`
	Duration     time.Duration    `koanf:"duration"`
	Warmup       time.Duration    `koanf:"warmup"`   // initial time that is not measured
	MaxLateness  time.Duration    `koanf:"lateness"` // highest allowed p99 delay with which the lab sends requests
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
	InitialList string   `koanf:"known"` // endpoint list in the agents' configuration: "now" (the current list) or "empty"
}

// Servers describes the emulated servers.
type Servers struct {
	Count        int           `koanf:"count"`
	CellSize     int           `koanf:"cell"` // number of servers in each cell
	Version      string        `koanf:"version"`
	MachineTypes []MachineType `koanf:"kind"`
}

// MachineType is a type of machine that emulated servers are drawn from.
type MachineType struct {
	Name        string                  `koanf:"name"`
	Share       float64                 `koanf:"share"`  // relative share of the servers that have this type
	Weight      float64                 `koanf:"weight"` // weight in the endpoint list; 0: cores times speed
	SpeedCV     float64                 `koanf:"speed_cv"`
	Noise       float64                 `koanf:"noise"`
	ErrorRate   float64                 `koanf:"error_rate"`
	Spec        server.Spec             `koanf:"spec"`
	Connections server.ConnectionPolicy `koanf:"connections"`
	Reports     server.LoadReports      `koanf:"reports"`
}

// Rules holds the part of the agents' settings that defines the rules enforced by the checker and the
// features that the agents may use.
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

// ControlPlane describes the control-plane servers that list the emulated servers. Without any, the
// emulated list service lists them.
type ControlPlane struct {
	Count    int           `koanf:"count"` // 0: the emulated list service lists the servers
	Command  string        `koanf:"command"`
	LeaseTTL time.Duration `koanf:"lease_ttl"`
	Watches  int           `koanf:"watches"` // number of watches by which the lab measures the propagation of changes; at least one per server
	// AgentAccess determines the control-plane servers in an agent's configuration: "all" of them, or "one",
	// whose address is then the agent's discovery address.
	AgentAccess string `koanf:"agents"`
	Gossip      bool   `koanf:"gossip"`   // the members exchange their views by gossip
	Evidence    bool   `koanf:"evidence"` // peers are asked for evidence before a registration expires
}

// LeasedTasks describes the leased tasks of the control plane and the worker processes that run them.
// The workers send their operations to the emulated servers, which check the fencing tokens.
type LeasedTasks struct {
	Count             int           `koanf:"count"` // 0: none
	TTL               time.Duration `koanf:"ttl"`
	Workers           int           `koanf:"workers"`
	MaxTasksPerWorker int           `koanf:"cap"`
	Command           string        `koanf:"command"`
	ClockRates        []float64     `koanf:"clocks"` // rates of the workers' clocks, assigned round-robin
}

// Fault is one fault of the timeline. Which fields apply depends on its kind.
type Fault struct {
	Name       string        `koanf:"name"`
	Kind       string        `koanf:"kind"`
	Target     string        `koanf:"target"`
	To         string        `koanf:"to"` // far end of a link; the target is the near end
	At         time.Duration `koanf:"at"`
	AfterEvent string        `koanf:"after"` // name of the event that starts the fault, instead of At
	EventDelay time.Duration `koanf:"wait"`  // time from the event to the fault
	Delay      time.Duration `koanf:"delay"` // added delay of a link, or downtime of a replaced server
	Duration   time.Duration `koanf:"for"`   // duration of the fault; 0: to the end of the run
	Direction  string        `koanf:"way"`   // affected direction of a link: "forward", "back" or "both"
	Size       float64       `koanf:"size"`
	Share      float64       `koanf:"share"`
	Class      string        `koanf:"class"`
	RiseTime   time.Duration `koanf:"rise"`
	Interval   time.Duration `koanf:"every"` // period of a periodic fault, or time from one target to the next
	Jitter     time.Duration `koanf:"jitter"`
	Version    string        `koanf:"version"`
	Signals    []string      `koanf:"signals"` // for faultSignals, in order; each is "hup", "term" or "kill"
	Window     time.Duration `koanf:"window"`  // length of the fault's measured window; 0: as long as the fault
}

// Describe returns a short description of a fault: its kind, target and duration.
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

// rng returns the random source of a fault. It depends only on the seed and the fault's name.
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
