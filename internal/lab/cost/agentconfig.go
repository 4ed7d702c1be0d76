package cost

import (
	"encoding/json"
	"fmt"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// Limits of the agent under measurement.
const (
	AgentCores    = 1
	AgentMemoryMB = 256
	AgentSockets  = 1024
	// agentReplicas is the number of agents of the calling service: 39,000 servers in 1,900 services
	// are about 20 per service.
	agentReplicas = 20
)

// agentConfig is the agent's configuration file.
type agentConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    agentLimits    `json:"limits"`
	Known     endpoints.List `json:"known"`
	Settings  agentSettings  `json:"settings"`
}

type agentLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// agentSettings are the settings of package policy and those that only internal/agent reads.
type agentSettings struct {
	policy.Settings
	FailureDomains []string `json:"failureDomains"`
	Shapes         []string `json:"shapes"`
}

// AgentConfig returns the configuration file of an agent that listens on an address and knows the full
// list from the start. seed seeds the agent's random numbers.
func (f *Fleet) AgentConfig(listen string, seed uint64) ([]byte, error) {
	text, err := json.Marshal(agentConfig{
		Name: "agent-cost", Listen: listen, Discovery: f.ListAddr, Seed: fmt.Sprintf("%016x", seed),
		Limits:   agentLimits{Cores: AgentCores, MemoryMB: AgentMemoryMB, Sockets: AgentSockets},
		Known:    f.List,
		Settings: agentSettings{Settings: settings(), FailureDomains: sites, Shapes: []string{machineType}},
	})
	if err != nil {
		return nil, fmt.Errorf("agent configuration: %w", err)
	}
	return text, nil
}

// settings returns settings close to the defaults of the lab, which represent the operators'
// deployment.
func settings() policy.Settings {
	settings := policy.Settings{Replicas: agentReplicas, RoundMs: 5, Weights: "nominal", WeightBy: "request",
		Membership: "on_request", OverQuotaWeight: 0.1,
		Classes: []policy.Class{{Name: CallClass, TargetMs: 1200, DeadlineMs: float64(callTimeout / time.Millisecond),
			Effect: policy.Idempotent, Group: policy.GroupAll, DedupWindowMs: 5000, Credit: 3}},
		Limits: policy.Limits{Cancelling: true, ConnectTimeoutMs: 250, KeepaliveMs: 30000, MaxAttempts: 6,
			MaxRetryAfterMs: 2000, ParallelAttempts: true, Probing: true, RetryAfter: true},
		Contract: policy.Contract{AnswerSlackMs: 20, ListPollWithinMs: 10000, SlowStartFrom: 0.13, SlowStartMs: 24000,
			DrainGraceMs: 500, CrashLoadMultiple: 4, CrashWindowMs: 1000},
		Prices:    policy.Prices{CrossZone: 0.1, LateFail: 0.023, Probe: 0.01, Waste: 0.25},
		Objective: policy.Objective{Overall: 0.55, WorstWindow: 0.25, WorstClass: 0.2},
		Report:    policy.Report{Mode: "on_probe", Names: []string{"util", "inflight"}}}
	settings.Clients.MarksRetry = true
	settings.FamilyInfo.WarmKeys = true
	return settings
}
