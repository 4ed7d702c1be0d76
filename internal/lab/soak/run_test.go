package soak

import (
	"strings"
	"testing"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/experiment"
)

// A run in which the lab was late is void, with or without violations. Any other run with violations is
// Violated, and its reason names the first violation.
func TestVerdicts(t *testing.T) {
	breach := check.Breach{Rule: check.RuleLost, AtS: 4.5, Agent: "n1", Request: "a1-7", Text: "no answer"}
	broken := []experiment.FleetSummary{{Examples: []check.Breach{breach}}}
	for _, c := range []struct {
		summary experiment.Summary
		want    Verdict
		reason  string
	}{
		{experiment.Summary{Passed: true}, Passed, ""},
		{experiment.Summary{Violations: []string{"rule lost request, 1 against 0"}, Fleets: broken}, Violated,
			"rule lost request, 1 against 0; first at 4.500 s: n1  a1-7: no answer"},
		{experiment.Summary{Violations: []string{"fault x could not be injected"}, Fleets: make([]experiment.FleetSummary, 1)}, Violated, "fault x could not be injected"},
		{experiment.Summary{Violations: []string{"rule lost request, 1 against 0"}, Fleets: broken, Lab: experiment.Lab{TooLate: true, LatenessP99Ms: 40}}, Void, "40.0 ms late"},
	} {
		verdict, reason := verdictOf(&c.summary)
		if verdict != c.want || !strings.Contains(reason, c.reason) {
			t.Errorf("%v %q, want %v %q", verdict, reason, c.want, c.reason)
		}
	}
}
