package experiment

import (
	"encoding/json"
	"fmt"
	"time"

	"knotrouter/policy"
)

// policySettings returns the agent settings that the experiment configures, without those of a single agent.
func (c *Config) policySettings() policy.Settings {
	rules := &c.Rules
	settings := policy.Settings{Replicas: c.Agents.Count, RoundMs: 5, Weights: "nominal", WeightBy: "request",
		Membership: "on_request", OverQuotaWeight: 0.1,
		Limits: policy.Limits{Cancelling: rules.Cancelling, ConnectTimeoutMs: millis(rules.ConnectTimeout), KeepaliveMs: millis(rules.Keepalive),
			MaxAttempts: rules.MaxAttempts, MaxRetryAfterMs: millis(rules.MaxRetryAfter), ParallelAttempts: rules.ParallelAttempts,
			Probing: rules.Probing, RetryAfter: rules.RetryAfter},
		Contract: policy.Contract{AnswerSlackMs: millis(rules.AnswerSlack), ListPollWithinMs: millis(rules.ListPollWithin), SlowStartFrom: rules.SlowStartFrom,
			SlowStartMs: millis(rules.SlowStartDuration), DrainGraceMs: millis(rules.DrainGrace), CrashLoadMultiple: rules.CrashLoadMultiple, CrashWindowMs: millis(rules.CrashWindow)},
		Prices:    policy.Prices{CrossZone: 0.1, LateFail: 0.023, Probe: 0.01, Waste: 0.25},
		Objective: policy.Objective{Overall: 0.55, WorstWindow: 0.25, WorstClass: 0.2},
		Report:    policy.Report{Mode: c.Servers.MachineTypes[0].Reports.Mode, Names: c.Servers.MachineTypes[0].Reports.Metrics}}
	settings.Clients.MarksRetry = true
	settings.FamilyInfo.WarmKeys = c.Servers.MachineTypes[0].Spec.AffinityGain > 0
	for _, class := range c.Load.Classes {
		settings.Classes = append(settings.Classes, policy.Class{Name: class.Name, TargetMs: millis(class.TargetLatency), DeadlineMs: millis(class.Deadline),
			Effect: policy.Effect(class.Effect), Group: policy.Group(class.Group), DedupWindowMs: millis(class.DedupWindow), Credit: class.PriorityWeight})
	}
	return settings
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// AgentSettings returns the "settings" object in the configuration of one agent.
func (c *Config) AgentSettings(index int) (map[string]any, error) {
	agent := c.policySettings()
	agent.Index, agent.Zone = index, index%len(c.Zones)
	text, err := json.Marshal(agent)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var machineTypes []string
	for _, machine := range c.Servers.MachineTypes {
		machineTypes = append(machineTypes, machine.Name)
	}
	settings["failureDomains"], settings["shapes"], settings["family"] = c.Zones, machineTypes, "mesh"
	return settings, nil
}
