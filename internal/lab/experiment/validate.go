package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/configfile"
	"knotrouter/internal/lab/server"
)

// keyCheck is one condition on the value of a key.
type keyCheck struct {
	key     string
	invalid bool
	problem string
}

// validate returns a *configfile.KeyError for the first key whose value is invalid, or nil.
func (c *Config) validate() error {
	for _, check := range slices.Concat(c.runChecks(), c.agentChecks(), c.controlPlaneChecks(), c.taskChecks(), c.serverChecks(),
		c.loadChecks(), c.ruleChecks(), c.discoveryChecks()) {
		if check.invalid {
			return &configfile.KeyError{Key: check.key, Problem: check.problem}
		}
	}
	for _, step := range []func() error{c.validateMachineTypes, c.validateVersions, c.validateClasses, c.validateFaults, c.validateExpectations} {
		if err := step(); err != nil {
			return err
		}
	}
	for i, baseline := range c.Baselines {
		if !slices.Contains(client.Policies, baseline) {
			return configfile.NewKeyError(fmt.Sprintf("baselines[%d]", i), "unknown policy %q: one of %s", baseline, strings.Join(client.Policies, ", "))
		}
	}
	return nil
}

// runChecks checks the top-level keys, which describe the run itself.
func (c *Config) runChecks() []keyCheck {
	return []keyCheck{
		{"name", c.Name == "" || strings.ContainsAny(c.Name, " \t\n/"), "must be one word without a slash"},
		{"duration", c.Duration < time.Second || c.Duration > time.Hour, fmt.Sprintf("must be 1s to 1h, is %v", c.Duration)},
		{"warmup", c.Warmup < 0 || c.Warmup >= c.Duration, fmt.Sprintf("must be 0 or above and under the duration, is %v", c.Warmup)},
		{"lateness", c.MaxLateness <= 0, fmt.Sprintf("must be above 0, is %v", c.MaxLateness)},
		{"zones", len(c.Zones) == 0, "none given"},
	}
}

// agentChecks checks the table "agents".
func (c *Config) agentChecks() []keyCheck {
	return []keyCheck{
		{"agents.count", c.Agents.Count < 1 || c.Agents.Count > 1000, fmt.Sprintf("must be 1 to 1000, is %d", c.Agents.Count)},
		{"agents.command", c.Agents.Command == "", "missing"},
		{"agents.cores", c.Agents.Cores <= 0, fmt.Sprintf("must be above 0, is %v", c.Agents.Cores)},
		{"agents.memory_mb", c.Agents.MemoryMB < 16, fmt.Sprintf("must be 16 or above, is %v", c.Agents.MemoryMB)},
		{"agents.sockets", c.Agents.Sockets < 64, fmt.Sprintf("must be 64 or above, is %d", c.Agents.Sockets)},
		{"agents.known", c.Agents.InitialList != "now" && c.Agents.InitialList != "empty", fmt.Sprintf("must be now or empty, is %q", c.Agents.InitialList)},
	}
}

// controlPlaneChecks checks the table "stewards".
func (c *Config) controlPlaneChecks() []keyCheck {
	return []keyCheck{
		{"stewards.count", c.ControlPlane.Count < 0 || c.ControlPlane.Count > 9, fmt.Sprintf("must be 0 to 9, is %d", c.ControlPlane.Count)},
		{"stewards.lease_ttl", c.ControlPlane.LeaseTTL < 300*time.Millisecond, fmt.Sprintf("must be 300ms or above, is %v", c.ControlPlane.LeaseTTL)},
		{"stewards.agents", c.ControlPlane.AgentAccess != "all" && c.ControlPlane.AgentAccess != "one", fmt.Sprintf("must be all or one, is %q", c.ControlPlane.AgentAccess)},
		{"stewards.watches", c.ControlPlane.Watches < 0 || c.ControlPlane.Watches > 5000, fmt.Sprintf("must be 0 to 5000, is %d", c.ControlPlane.Watches)},
	}
}

// taskChecks checks the table "duties".
func (c *Config) taskChecks() []keyCheck {
	return []keyCheck{
		{"duties.count", c.LeasedTasks.Count < 0 || c.LeasedTasks.Count > 5000, fmt.Sprintf("must be 0 to 5000, is %d", c.LeasedTasks.Count)},
		{"duties.count", c.LeasedTasks.Count > 0 && c.ControlPlane.Count == 0, "duties need stewards, and there are none in this experiment"},
		{"duties.ttl", c.LeasedTasks.TTL < catalog.MinTTL || c.LeasedTasks.TTL > catalog.MaxTTL, fmt.Sprintf("must be %v to %v, is %v", catalog.MinTTL, catalog.MaxTTL, c.LeasedTasks.TTL)},
		{"duties.workers", c.LeasedTasks.Workers < 1 || c.LeasedTasks.Workers > 50, fmt.Sprintf("must be 1 to 50, is %d", c.LeasedTasks.Workers)},
		{"duties.cap", c.LeasedTasks.MaxTasksPerWorker < 1, fmt.Sprintf("must be 1 or above, is %d", c.LeasedTasks.MaxTasksPerWorker)},
		{"duties.clocks", len(c.LeasedTasks.ClockRates) == 0 || slices.ContainsFunc(c.LeasedTasks.ClockRates, func(r float64) bool { return !(r >= 0.5 && r <= 2) }), "must be rates of 0.5 to 2"},
	}
}

// serverChecks checks the numbers in the table "servers".
func (c *Config) serverChecks() []keyCheck {
	return []keyCheck{
		{"servers.count", c.Servers.Count < 1 || c.Servers.Count > 200, fmt.Sprintf("must be 1 to 200, is %d", c.Servers.Count)},
		{"servers.cell", c.Servers.CellSize < 1, fmt.Sprintf("must be 1 or above, is %d", c.Servers.CellSize)},
	}
}

// loadChecks checks the table "load" except for its classes.
func (c *Config) loadChecks() []keyCheck {
	return []keyCheck{
		{"load.rate", !(c.Load.Rate >= 0), fmt.Sprintf("must be 0 or above, is %v", c.Load.Rate)},
		{"load.rate", c.Load.Rate*c.Duration.Seconds() > 5e6, "more than 5 million requests in the run"},
		{"load.agent_cv", c.Load.AgentCV < 0, fmt.Sprintf("must be 0 or above, is %v", c.Load.AgentCV)},
		{"load.keys", c.Load.Keys < 0 || c.Load.Keys > 1e7, fmt.Sprintf("must be 0 to 10 million, is %d", c.Load.Keys)},
		{"load.zipf", c.Load.Zipf < 0, fmt.Sprintf("must be 0 or above, is %v", c.Load.Zipf)},
		{"load.retries", c.Load.Retries < 0 || c.Load.Retries > 20, fmt.Sprintf("must be 0 to 20, is %d", c.Load.Retries)},
		{"load.backoff", !slices.Contains([]string{"none", "fixed", "exp"}, c.Load.Backoff), fmt.Sprintf("must be none, fixed or exp, is %q", c.Load.Backoff)},
		{"load.backoff_by", c.Load.BackoffBase < 0, fmt.Sprintf("must be 0 or above, is %v", c.Load.BackoffBase)},
		{"load.honour", !isFraction(c.Load.HonorRetryAfterShare), fmt.Sprintf("must be 0 to 1, is %v", c.Load.HonorRetryAfterShare)},
		{"load.impatient", !isFraction(c.Load.EarlyCancelShare), fmt.Sprintf("must be 0 to 1, is %v", c.Load.EarlyCancelShare)},
		{"load.try_share", len(c.Load.AttemptTimeoutShare) != 2 || c.Load.AttemptTimeoutShare[0] <= 0 || c.Load.AttemptTimeoutShare[1] > 1 || c.Load.AttemptTimeoutShare[0] > c.Load.AttemptTimeoutShare[1],
			fmt.Sprintf("must be two numbers from above 0 to 1, is %v", c.Load.AttemptTimeoutShare)},
		{"load.body", c.Load.BodyBytes < 0 || c.Load.BodyBytes > 64<<10, fmt.Sprintf("must be 0 to 65536, is %d", c.Load.BodyBytes)},
	}
}

// ruleChecks checks the table "rules".
func (c *Config) ruleChecks() []keyCheck {
	return []keyCheck{
		{"rules.max_attempts", c.Rules.MaxAttempts < 1, fmt.Sprintf("must be 1 or above, is %d", c.Rules.MaxAttempts)},
		{"rules.connect_timeout", c.Rules.ConnectTimeout <= 0, fmt.Sprintf("must be above 0, is %v", c.Rules.ConnectTimeout)},
	}
}

// discoveryChecks checks the table "discovery".
func (c *Config) discoveryChecks() []keyCheck {
	return []keyCheck{
		{"discovery.capacity", c.Discovery.MaxConcurrentCalls < 1, fmt.Sprintf("must be 1 or above, is %d", c.Discovery.MaxConcurrentCalls)},
		{"discovery.notice", !isRange(c.Discovery.RemovalDelay), "must be two times, the lower first"},
		{"discovery.silent_notice", !isRange(c.Discovery.SilentRemovalDelay), "must be two times, the lower first"},
		{"discovery.add", !isRange(c.Discovery.StartDelay), "must be two times, the lower first"},
	}
}

// isFraction reports whether x is in [0, 1].
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// isRange reports whether the values are a lower and an upper bound, neither below 0.
func isRange(values []time.Duration) bool {
	return len(values) == 2 && values[0] >= 0 && values[0] <= values[1]
}

// validateMachineTypes checks the tables "servers.kind".
func (c *Config) validateMachineTypes() error {
	for i := range c.Servers.MachineTypes {
		machine := &c.Servers.MachineTypes[i]
		prefix := fmt.Sprintf("servers.kind[%d].", i)
		switch {
		case machine.Name == "":
			return configfile.NewKeyError(prefix+"name", "missing")
		case !(machine.Share > 0):
			return configfile.NewKeyError(prefix+"share", "must be above 0, is %v", machine.Share)
		case machine.Spec.Cores < 1 || machine.Spec.Slots < 1 || machine.Spec.QueueCapacity < 0 || !(machine.Spec.Speed > 0):
			return configfile.NewKeyError(prefix+"spec", "cores, slots and speed must be above 0, queue 0 or above")
		case !isFraction(machine.Spec.WarmupStartFactor):
			return configfile.NewKeyError(prefix+"spec.cold_from", "must be 0 to 1, is %v", machine.Spec.WarmupStartFactor)
		case !isFraction(machine.ErrorRate) || machine.Noise < 0 || machine.SpeedCV < 0:
			return configfile.NewKeyError(prefix+"error_rate, noise and speed_cv", "must be 0 or above")
		case machine.Reports.Mode != server.ReportInline && machine.Reports.Mode != server.ReportOnProbe && machine.Reports.Mode != server.ReportOff:
			return configfile.NewKeyError(prefix+"reports.how", "must be inline, on_probe or off, is %q", machine.Reports.Mode)
		}
	}
	return nil
}

// validateVersions checks the tables "version" and the version that the servers start with.
func (c *Config) validateVersions() error {
	for i := range c.Versions {
		if c.Versions[i].Name == "" {
			return configfile.NewKeyError(fmt.Sprintf("version[%d].name", i), "missing")
		}
		for class, p := range c.Versions[i].ErrorShares {
			if c.classIndex(class) < 0 {
				return configfile.NewKeyError(fmt.Sprintf("version[%d].errors", i), "no class %q", class)
			}
			if !isFraction(p) {
				return configfile.NewKeyError(fmt.Sprintf("version[%d].errors.%s", i, class), "must be 0 to 1, is %v", p)
			}
		}
	}
	if v := c.Servers.Version; v != "" && c.findVersion(v) == nil {
		return configfile.NewKeyError("servers.version", "no version %q", v)
	}
	return nil
}

// validateClasses checks the tables "load.class".
func (c *Config) validateClasses() error {
	for i := range c.Load.Classes {
		class := &c.Load.Classes[i]
		prefix := fmt.Sprintf("load.class[%d].", i)
		switch {
		case class.Name == "" || strings.Contains(class.Name, "/"):
			return configfile.NewKeyError(prefix+"name", "must be a word without a slash, is %q", class.Name)
		case !(class.Share > 0) || !(class.Work > 0):
			return configfile.NewKeyError(prefix+"share and work", "must be above 0")
		case class.TargetLatency <= 0 || class.Deadline < class.TargetLatency || class.Deadline > time.Minute:
			return configfile.NewKeyError(prefix+"aim and give_up", "must be above 0, the aim the lower, and at most 1m")
		case !slices.Contains([]string{client.EffectIdempotent, client.EffectDeduplicated, client.EffectNonIdempotent}, class.Effect):
			return configfile.NewKeyError(prefix+"effect", "must be free, guarded or single_shot, is %q", class.Effect)
		case !slices.Contains([]string{"all", "zone", "cell"}, class.Group):
			return configfile.NewKeyError(prefix+"group", "must be all, zone or cell, is %q", class.Group)
		case !slices.Contains([]string{"exp", "fixed", "lognormal"}, class.Distribution):
			return configfile.NewKeyError(prefix+"dist", "must be exp, fixed or lognormal, is %q", class.Distribution)
		}
	}
	return nil
}

// validateFaults checks the tables "fault".
func (c *Config) validateFaults() error {
	names := map[string]bool{"": true, windowAll: true, windowOutsideFaults: true}
	for i := range c.Faults {
		f := &c.Faults[i]
		prefix := fmt.Sprintf("fault[%d].", i)
		if names[f.Name] {
			return configfile.NewKeyError(prefix+"name", "%q is missing, used twice, or the name of a window that every run has", f.Name)
		}
		names[f.Name] = true
		if err := c.validateFault(f, prefix); err != nil {
			return err
		}
	}
	return nil
}

// validateFault checks one fault. prefix is the path of its table, with a dot at the end.
func (c *Config) validateFault(f *Fault, prefix string) error {
	kind, err := c.faultTargetKind(f)
	if err != nil {
		return fmt.Errorf("%s%w", prefix, err)
	}
	switch {
	case !slices.Contains(faultKinds[kind], f.Kind):
		return configfile.NewKeyError(prefix+"kind", "%q is not a fault of %s: one of %s", f.Kind, kind, strings.Join(faultKinds[kind], ", "))
	case f.At < 0 || f.Duration < 0 || f.Interval < 0 || f.Delay < 0 || f.EventDelay < 0 || f.Jitter < 0 || f.Window < 0 || f.RiseTime < 0:
		return configfile.NewKeyError(prefix+"at, for, every, delay, jitter, rise and window", "must be 0 or above")
	case f.AfterEvent == "" && f.At >= c.Duration:
		return configfile.NewKeyError(prefix+"at", "%v is after the end of the run at %v", f.At, c.Duration)
	case f.AfterEvent == "" && f.At+f.Duration > c.Duration:
		return configfile.NewKeyError(prefix+"for", "it would end at %v, after the end of the run at %v", f.At+f.Duration, c.Duration)
	case f.AfterEvent != "" && f.At > 0:
		return configfile.NewKeyError(prefix+"after", "can't be set together with at")
	case f.Size < 0 || !isFraction(f.Share):
		return configfile.NewKeyError(prefix+"size", "must be 0 or above, and share 0 to 1")
	case f.Direction != "" && !slices.Contains([]string{directionForward, directionBack, directionBoth}, f.Direction):
		return configfile.NewKeyError(prefix+"way", "must be forward, back or both, is %q", f.Direction)
	case f.Version != "" && c.findVersion(f.Version) == nil:
		return configfile.NewKeyError(prefix+"version", "no version %q", f.Version)
	case f.Class != "" && c.classIndex(f.Class) < 0:
		return configfile.NewKeyError(prefix+"class", "no class %q", f.Class)
	case c.ControlPlane.Count > 0 && (kind == targetDiscovery || (f.Kind == faultReload || slices.Contains(f.Signals, signalReload)) && c.ControlPlane.AgentAccess != "all"):
		return configfile.NewKeyError(prefix+"target", "with stewards, there is no emulated list service")
	case (f.Kind == faultSignals) != (len(f.Signals) > 0) || slices.ContainsFunc(f.Signals, func(name string) bool { return !slices.Contains(signalNames, name) }):
		return configfile.NewKeyError(prefix+"signals", "a series of %s, for the kind %s only", strings.Join(signalNames, ", "), faultSignals)
	case (f.Kind == faultFlood || f.Kind == faultPipeline || f.Kind == faultNoDescriptors) && f.Duration == 0:
		return configfile.NewKeyError(prefix+"for", "missing")
	case f.Kind == faultPipeline && f.Interval == 0:
		return configfile.NewKeyError(prefix+"every", "missing")
	case f.Kind == faultMute && c.ControlPlane.Count == 0:
		return configfile.NewKeyError(prefix+"kind", "mute suppresses lease renewals, which need stewards")
	case kind == targetLoad && f.AfterEvent != "":
		return configfile.NewKeyError(prefix+"after", "a fault of the load needs a time, because arrivals are drawn in advance")
	case sizedFaultKinds[f.Kind] && kind != targetLink && f.Size == 0 || kind == targetLink && sizedLinkFaultKinds[f.Kind] && f.Size == 0:
		return configfile.NewKeyError(prefix+"size", "missing")
	case responseFaultKinds[f.Kind] && !isFraction(f.Size):
		return configfile.NewKeyError(prefix+"size", "must be a share of the answers, above 0 to 1, is %v", f.Size)
	}
	return nil
}

// faultTargetKind returns the kind of a fault's target: targetLink if the fault has a far end, or else the
// kind of its selector. Its error names the key within the fault.
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
	case to == targetControlPlane && (kind == targetWorkers || kind == targetControlPlane):
	case c.ControlPlane.Count > 0:
		return "", errors.New("to: with stewards, links lead only from workers and stewards to stewards, because their list has one address for all agents")
	case kind != targetAgents || to != targetServers && to != targetDiscovery:
		return "", errors.New("to: links lead only from agents to servers or to discovery")
	}
	return targetLink, nil
}

// metricNames are the metrics that an expectation can bound.
var metricNames = []string{"served", "refused", "failed", "late", "p50_ms", "p99_ms", "attempts", "probes", "connections",
	"list_calls", "crashes", "recovery_s", "worth", "worth_ratio", "doubled", "lab_cores", "spread_p50_ms", "spread_p99_ms",
	"last_agent_p50_ms", "last_agent_p99_ms", "duty_idle", "duty_gap_max_ms", "duty_terms", "agents_present"}

// validateExpectations checks the tables "expect".
func (c *Config) validateExpectations() error {
	for i := range c.Expectations {
		expectation := &c.Expectations[i]
		prefix := fmt.Sprintf("expect[%d].", i)
		windowExists := isCommonWindow(expectation.Window) ||
			slices.ContainsFunc(c.Faults, func(f Fault) bool { return f.Name == expectation.Window })
		switch {
		case !slices.Contains(metricNames, expectation.Metric):
			return configfile.NewKeyError(prefix+"what", "unknown metric %q: one of %s", expectation.Metric, strings.Join(metricNames, ", "))
		case expectation.AtLeast == nil && expectation.AtMost == nil:
			return configfile.NewKeyError(prefix+"at_least", "missing, and at_most too")
		case expectation.Class != "" && c.classIndex(expectation.Class) < 0:
			return configfile.NewKeyError(prefix+"class", "no class %q", expectation.Class)
		case !windowExists:
			return configfile.NewKeyError(prefix+"window", "no fault %q", expectation.Window)
		case expectation.Metric == "recovery_s" && isCommonWindow(expectation.Window):
			return configfile.NewKeyError(prefix+"window", "recovery_s needs the name of a fault")
		case expectation.Metric == "worth_ratio" && !slices.Contains(c.Baselines, expectation.Baseline):
			return configfile.NewKeyError(prefix+"baseline", "no baseline %q in this experiment", expectation.Baseline)
		}
	}
	return nil
}

// isCommonWindow reports whether every run has the named window. "" means windowAll.
func isCommonWindow(name string) bool {
	return name == "" || name == windowAll || name == windowOutsideFaults
}
