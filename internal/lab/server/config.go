package server

import (
	"time"

	"knotrouter/internal/lab/check"
)

// ConnectionPolicy is how a server treats its connections.
type ConnectionPolicy struct {
	MaxOpen        int           `koanf:"cap"`            // requests on connections above it get 503; 0: no limit
	IdleTimeout    time.Duration `koanf:"idle"`           // idle connections are closed after it
	HandshakeDelay time.Duration `koanf:"handshake_time"` // of the first request on a connection
	HandshakeWork  float64       `koanf:"handshake_work"` // of a new connection, in standard-core milliseconds
}

// Modes of load reports.
const (
	ReportInline  = "inline"   // in a header of each response, and on probes
	ReportOnProbe = "on_probe" // on probes
	ReportOff     = "off"
)

// LoadReports is how a server reports its load.
type LoadReports struct {
	Mode          string        `koanf:"how"`        // ReportInline, ReportOnProbe or ReportOff
	Metrics       []string      `koanf:"names"`      // "util", "inflight" and "queue", in the order of the report
	Interval      time.Duration `koanf:"period"`     // between two samples of the load
	Delay         time.Duration `koanf:"delay"`      // a report is of the load that long ago
	Noise         float64       `koanf:"noise"`      // standard deviation of the reported values, relative to them
	ProbesEnabled bool          `koanf:"probes"`     // probes are answered
	ProbeWork     float64       `koanf:"probe_work"` // in standard-core milliseconds
}

// Version is a version of the server program, with its defects.
type Version struct {
	Name        string             `koanf:"name"`
	Slowdown    float64            `koanf:"slower"`      // factor on the time of all work; 0: none
	ErrorShares map[string]float64 `koanf:"errors"`      // by request class: part of the requests that get 500
	CrashAfter  time.Duration      `koanf:"crash_after"` // from the start; 0: it does not crash
	ReadyAfter  time.Duration      `koanf:"ready_after"` // from the start
	NeverReady  bool               `koanf:"never_ready"`
}

// Faults is the shares of responses that go wrong, beside the version's own defects.
type Faults struct {
	ErrorShare     float64 // 500 at once, without work
	ResetShare     float64 // the connection is reset once the work is done
	LostShare      float64 // the work is done and no response is sent
	TruncatedShare float64 // the connection is reset in the middle of the response
	RepeatedShare  float64 // the whole response is sent a second time some milliseconds later
}

// Config describes one server.
type Config struct {
	Index            int
	Name             string
	Zone             string
	ZoneIndex        int
	MachineType      string
	Cell             int
	Weight           float64 // as discovery lists it
	Spec             Spec
	ConnectionPolicy ConnectionPolicy
	LoadReports      LoadReports
	WorkNoise        float64 // standard deviation of an attempt's work, relative to it
	ErrorRate        float64 // part of all requests that get 500
}

// Class is a request class, as far as the servers need to know it.
type Class struct {
	Name         string
	Deduplicated bool          // repeats of an idempotency key have no effect for DedupWindow
	DedupWindow  time.Duration // from the request that had the effect
}

// Env is what the servers of a fleet share. The callbacks may be called by several goroutines at
// once.
type Env struct {
	Clock   check.Clock
	Epoch   time.Time // when the clock was 0
	Checker *check.Checker
	Classes []Class // by the class index of a request
	Effects *Effects
	// LinkClear reports whether the lab can't have delayed what the agent sent to the server; nil:
	// it never delays anything.
	LinkClear func(agent, server int) bool
	// HealthChanged is called when a server becomes ready, drains or ends, and when its machine is
	// isolated or rejoins. isolated means that the machine was cut off from the network: its
	// connections stay open. nil: it is not called.
	HealthChanged func(s *Server, health string, isolated bool)
	// RecordEvent adds an event to the record of the run.
	RecordEvent func(name string)
}
