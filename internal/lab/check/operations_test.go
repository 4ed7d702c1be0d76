package check

import "testing"

// An operation with an older fencing token is rejected. Overlapping terms and a token used by two
// processes are violations.
func TestOperationsAreFencedAndOverlapsFound(t *testing.T) {
	log := NewOperationLog()
	for i, c := range []struct {
		operation Operation
		accepted  bool
	}{
		{Operation{"d", "p", 5, 10 * ms}, true},
		{Operation{"d", "p", 5, 20 * ms}, true},
		{Operation{"d", "q", 7, 30 * ms}, true},
		{Operation{"d", "p", 5, 25 * ms}, false}, // fenced
		{Operation{"e", "p", 1, 5 * ms}, true},
		{Operation{"d", "q", 0, 31 * ms}, false}, // no token
		{Operation{"", "q", 9, 31 * ms}, false},  // no task
	} {
		if err := log.Record(c.operation); (err == nil) != c.accepted {
			t.Errorf("operation %d: %v", i, err)
		}
	}
	if v := log.Analyze(); len(v.Violations) > 0 || v.Terms != 3 || v.Rejected != 1 || v.Idle != 10*ms || v.Total != 20*ms {
		t.Errorf("analysis of operations in order: %+v", v)
	}
	_ = log.Record(Operation{"d", "r", 8, 29 * ms}) // the tokens are in order, but the terms overlap
	_ = log.Record(Operation{"e", "q", 1, 6 * ms})
	if v := log.Analyze(); len(v.Violations) != 2 {
		t.Errorf("want a violation for the overlapping terms and one for the shared token, got %v", v.Violations)
	}
}
