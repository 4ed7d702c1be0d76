package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// descriptorAlarmPercent is the percentage of the lab's descriptor limit at or above which a run counts as
// out of descriptors.
const descriptorAlarmPercent = 95

// evaluate checks the run against the rules and the expectations of its file. It fills in Violations,
// Expectations and Passed.
func (r *run) evaluate(s *Summary) {
	s.addRuleViolations()
	if s.Lab.TooLate {
		s.addViolation("the lab ran late, p99 %.1f ms against %.1f", s.Lab.LatenessP99Ms, millis(r.config.MaxLateness))
	}
	if s.Lab.PeakDescriptors >= s.Lab.DescriptorLimit*descriptorAlarmPercent/100 {
		s.addViolation("the lab ran out of descriptors, %d against %d", s.Lab.PeakDescriptors, s.Lab.DescriptorLimit)
	}
	for _, fault := range s.Faults {
		if fault.Error != "" {
			s.addViolation("fault %s could not be injected: %s", fault.Name, fault.Error)
		} else if fault.BeganSeconds < 0 {
			s.addViolation("fault %s never came: its event was not seen", fault.Name)
		}
	}
	for i := range r.config.Expectations {
		s.evaluateExpectation(&r.config.Expectations[i])
	}
	s.Passed = len(s.Violations) == 0
}

func (s *Summary) addViolation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

// addRuleViolations adds a violation for each rule that was broken, ordered by name.
func (s *Summary) addRuleViolations() {
	breaches := s.Fleets[0].Breaches
	for _, rule := range slices.Sorted(maps.Keys(breaches)) {
		s.addViolation("rule %s, %d against 0", rule, breaches[rule])
	}
}

// evaluateExpectation adds a result for each bound of an expectation.
func (s *Summary) evaluateExpectation(expectation *Expectation) {
	value := s.metricValue(expectation)
	if bound := expectation.AtLeast; bound != nil {
		s.addExpectationResult(expectation.label()+" at least", value, *bound, value >= *bound)
	}
	if bound := expectation.AtMost; bound != nil {
		s.addExpectationResult(expectation.label()+" at most", value, *bound, value <= *bound)
	}
}

// missingValue is the reported value of an expectation if there was nothing to measure.
const missingValue = -1

// addExpectationResult adds a result, and a violation if the expectation was not met. NaN never meets a
// bound.
func (s *Summary) addExpectationResult(text string, value, bound float64, met bool) {
	result := ExpectationResult{Text: text, Value: roundTo4Digits(value), Bound: bound, Met: met}
	if math.IsNaN(value) {
		result.Value = missingValue
	}
	s.Expectations = append(s.Expectations, result)
	if !result.Met {
		s.addViolation("%s, %v against %v", result.Text, result.Value, result.Bound)
	}
}

// metricValue returns the value of an expectation's metric in the fleet of the agents, or NaN if there
// was nothing to measure.
func (s *Summary) metricValue(expectation *Expectation) float64 {
	agents := &s.Fleets[0]
	row := agents.findRow(expectation.Window, expectation.Class)
	requests := float64(max(agents.findRow("all", "all").Requests, 1))
	switch expectation.Metric {
	case "probes":
		return float64(agents.Total.Probes) / requests
	case "connections":
		return float64(agents.Total.Connections) / requests
	case "lab_cores":
		return s.Lab.CoresUsed
	case "recovery_s":
		if seconds, ok := agents.Recovery[expectation.Window]; ok && seconds >= 0 {
			return seconds
		}
		return math.NaN()
	case "worth_ratio":
		return s.priorityShareRatio(expectation, row)
	}
	if value, ok := row.metricValue(expectation.Metric); ok {
		return value
	}
	return agents.Total.metricValue(expectation.Metric)
}

// priorityShareRatio returns the ratio of a row's priority share to that of the same row of the baseline.
func (s *Summary) priorityShareRatio(expectation *Expectation, row Row) float64 {
	for i := range s.Fleets {
		baseline := s.Fleets[i].findRow(expectation.Window, expectation.Class)
		if s.Fleets[i].Name == expectation.Baseline && baseline.PriorityShare > 0 {
			return row.PriorityShare / baseline.PriorityShare
		}
	}
	return math.NaN()
}

// metricValue returns a metric of one class and window, or false if rows don't have that metric.
func (row Row) metricValue(metric string) (float64, bool) {
	switch metric {
	case "served":
		return row.shareOf(row.InTime), true
	case "refused":
		return row.shareOf(row.Rejected), true
	case "failed":
		return row.shareOf(row.Failed), true
	case "late":
		return row.shareOf(row.Late), true
	case "p50_ms":
		return row.P50Ms, true
	case "p99_ms":
		return row.P99Ms, true
	case "attempts":
		return row.AttemptsPerRequest, true
	case "worth":
		return row.PriorityShare, true
	}
	return 0, false
}

// shareOf returns n as a share of the row's requests, or NaN if there were none.
func (row Row) shareOf(n int) float64 {
	if row.Requests == 0 {
		return math.NaN()
	}
	return float64(n) / float64(row.Requests)
}

// metricValue returns a metric of the whole run, or NaN if there is no such metric.
func (t *Total) metricValue(metric string) float64 {
	switch metric {
	case "list_calls":
		return float64(t.ListCalls)
	case "crashes":
		return float64(t.Crashes)
	case "doubled":
		return float64(t.DuplicatedEffects)
	case "spread_p50_ms":
		return t.PropagationP50Ms
	case "spread_p99_ms":
		return t.PropagationP99Ms
	case "last_agent_p50_ms":
		return t.LastAgentP50Ms
	case "last_agent_p99_ms":
		return t.LastAgentP99Ms
	case "agents_present":
		return float64(t.AgentsPresent)
	case "duty_idle":
		return t.TaskIdleShare
	case "duty_gap_max_ms":
		return t.HandoverGapMaxMs
	case "duty_terms":
		return float64(t.TaskTerms)
	}
	return math.NaN()
}
