package experiment

import (
	"time"

	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/discovery"
	"knotrouter/internal/lab/server"
)

// Default returns the experiment that an empty file describes, modeled on the operators' own deployment.
func Default() Config {
	return Config{
		Seed:         1,
		Warmup:       2 * time.Second,
		MaxLateness:  10 * time.Millisecond,
		Zones:        []string{"kurume-main", "yame-annex"},
		Agents:       Agents{Count: 5, Command: "bin/agent", Cores: 1, MemoryMB: 192, Sockets: 1024, InitialList: "now"},
		ControlPlane: ControlPlane{Command: "bin/controlplane", LeaseTTL: 6 * time.Second, AgentAccess: "all", Gossip: true, Evidence: true},
		LeasedTasks:  LeasedTasks{TTL: 3 * time.Second, Workers: 3, MaxTasksPerWorker: 100, Command: "bin/lab", ClockRates: []float64{1}},
		Servers: Servers{Count: 12, CellSize: 4, MachineTypes: []MachineType{
			defaultMachineType("fast-single", 1.8), defaultMachineType("slow-single", 0.9)}},
		Discovery: discovery.Config{RemovalDelay: millisRange(1500, 5200), SilentRemovalDelay: millisRange(4500, 14000), StartDelay: millisRange(1400, 3000),
			BatchInterval: 300 * time.Millisecond, ServiceTime: 2 * time.Millisecond, ServiceTimePerEntry: 50 * time.Microsecond,
			QueueTimeout: 2 * time.Second, MaxConcurrentCalls: 4},
		Load:  defaultLoad(),
		Rules: defaultRules(),
	}
}

func defaultLoad() client.Load {
	return client.Load{Rate: 120, AgentCV: 0.5, Keys: 2000, Zipf: 1, Retries: 1, Backoff: "exp", BackoffBase: 300 * time.Millisecond,
		HonorRetryAfterShare: 0.7, AttemptTimeoutShare: []float64{0.6, 1}, BodyBytes: 200, Classes: []client.Class{
			{Name: "schedule-read", Share: 0.5, Work: 20, Distribution: "exp", TargetLatency: 1200 * time.Millisecond, Deadline: 5 * time.Second,
				PriorityWeight: 3, Effect: client.EffectIdempotent, Group: client.GroupAll, DedupWindow: 5 * time.Second},
			{Name: "vote-submit", Share: 0.5, Work: 30, Distribution: "exp", TargetLatency: 1500 * time.Millisecond, Deadline: 6 * time.Second,
				PriorityWeight: 9, Effect: client.EffectDeduplicated, Group: client.GroupAll, DedupWindow: 12 * time.Second}}}
}

func defaultRules() Rules {
	return Rules{AnswerSlack: 20 * time.Millisecond, ListPollWithin: 10 * time.Second, SlowStartFrom: 0.13, SlowStartDuration: 24 * time.Second,
		DrainGrace: 500 * time.Millisecond, CrashLoadMultiple: 4, CrashWindow: time.Second, MaxAttempts: 6, ParallelAttempts: true,
		Cancelling: true, Probing: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
		ConnectTimeout: 250 * time.Millisecond, Keepalive: 30 * time.Second}
}

func defaultMachineType(name string, speed float64) MachineType {
	return MachineType{Name: name, Share: 0.5, SpeedCV: 0.12, Noise: 0.2, Spec: defaultSpec(speed),
		Connections: defaultConnections(), Reports: defaultReports()}
}

// millisRange returns a range of durations given in milliseconds.
func millisRange(from, to int) []time.Duration {
	return []time.Duration{time.Duration(from) * time.Millisecond, time.Duration(to) * time.Millisecond}
}

func defaultSpec(speed float64) server.Spec {
	return server.Spec{Cores: 1, Speed: speed, Slots: 4, QueueCapacity: 24, ThrashFactor: 0.2, ThrashThreshold: 10,
		WarmupStartFactor: 0.2, WarmupDuration: 18 * time.Second, AffinityGain: 0.6, AffinityTTL: 20 * time.Second, AffinityKeys: 12,
		Overload:   server.Overload{RequestsPerCore: 6, After: 2 * time.Second, Slowdown: 2.5, RecoveryUtilization: 0.3, RecoveryPeriod: 3 * time.Second, MaxDuration: 25 * time.Second},
		CrashSlack: 300}
}

func defaultConnections() server.ConnectionPolicy {
	return server.ConnectionPolicy{MaxOpen: 700, IdleTimeout: 30 * time.Second, HandshakeDelay: time.Millisecond, HandshakeWork: 1}
}

func defaultReports() server.LoadReports {
	return server.LoadReports{Mode: server.ReportOnProbe, Metrics: []string{"util", "inflight"}, Interval: 200 * time.Millisecond,
		Delay: 60 * time.Millisecond, Noise: 0.1, ProbesEnabled: true, ProbeWork: 0.05}
}
