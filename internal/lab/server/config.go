package server

import (
	"time"

	"knotrouter/internal/lab/check"
)

// ConnectionPolicy limits a server's connections and sets the cost of new ones.
type ConnectionPolicy struct {
	MaxOpen        int           `koanf:"cap"`            // limit of open connections, above which requests get 503; 0: no limit
	IdleTimeout    time.Duration `koanf:"idle"`           // time after which an idle connection is closed
	HandshakeDelay time.Duration `koanf:"handshake_time"` // delay of the first request on a connection
	HandshakeWork  float64       `koanf:"handshake_work"` // work of a new connection, in standard-core milliseconds
}

// Modes of load reporting. The values are fixed by the format of experiment files.
const (
	ReportInline  = "inline"   // in a header of each response, and in answers to probes
	ReportOnProbe = "on_probe" // in answers to probes only
	ReportOff     = "off"
)

// LoadReports configures how a server reports its load.
type LoadReports struct {
	Mode          string        `koanf:"how"`        // ReportInline, ReportOnProbe or ReportOff
	Metrics       []string      `koanf:"names"`      // reported metrics in report order: "util", "inflight" and "queue"
	Interval      time.Duration `koanf:"period"`     // time between two samples of the load
	Delay         time.Duration `koanf:"delay"`      // age of the load sample that a report gives
	Noise         float64       `koanf:"noise"`      // relative standard deviation of the reported values
	ProbesEnabled bool          `koanf:"probes"`     // false: probes get 404
	ProbeWork     float64       `koanf:"probe_work"` // work of a probe, in standard-core milliseconds
}

// Version is a version of the emulated server program and its defects.
type Version struct {
	Name        string             `koanf:"name"`
	Slowdown    float64            `koanf:"slower"`      // factor by which all work takes longer; 0: no slowdown
	ErrorShares map[string]float64 `koanf:"errors"`      // by request class: share of the requests that get 500
	CrashAfter  time.Duration      `koanf:"crash_after"` // time from the start to a crash; 0: no crash
	ReadyAfter  time.Duration      `koanf:"ready_after"` // time from the start until the server is ready
	NeverReady  bool               `koanf:"never_ready"`
}

// Faults are the shares of the responses that each kind of fault affects, in addition to the defects
// of the version.
type Faults struct {
	ErrorShare     float64 // 500 is sent at once, without work
	ResetShare     float64 // the connection is reset after the work is done
	LostShare      float64 // the work is done and no response is sent
	TruncatedShare float64 // the connection is reset in the middle of the response
	RepeatedShare  float64 // the whole response is sent again some milliseconds later
}

// Config describes one server.
type Config struct {
	Index            int
	Name             string
	Zone             string
	ZoneIndex        int
	MachineType      string
	Cell             int
	Weight           float64 // weight in the endpoint list
	Spec             Spec
	ConnectionPolicy ConnectionPolicy
	LoadReports      LoadReports
	WorkNoise        float64 // relative standard deviation of an attempt's work
	ErrorRate        float64 // share of all requests that get 500
}

// Class holds the properties of a request class that the servers need.
type Class struct {
	Name         string
	Deduplicated bool          // a repeated idempotency key has no effect within DedupWindow
	DedupWindow  time.Duration // time after the last request that had an effect
}

// Env is the environment that the servers of a fleet share. The callbacks must be safe for concurrent
// use.
type Env struct {
	Clock   check.Clock
	Epoch   time.Time // wall-clock time at which the clock was 0
	Checker *check.Checker
	Classes []Class // request classes, by the class index of requests
	Effects *Effects
	// LinkClear reports whether the lab cannot have delayed the agent's current traffic to the server. If it
	// is nil, the lab never delays traffic.
	LinkClear func(agent, server int) bool
	// HealthChanged is called when a server becomes ready, starts draining or ends, and when its machine is
	// isolated from the network or rejoins it. isolated means that the machine was cut off from the network
	// while its connections stay open. HealthChanged may be nil.
	HealthChanged func(s *Server, health string, isolated bool)
	// RecordEvent adds an event to the log of the run.
	RecordEvent func(name string)
}
