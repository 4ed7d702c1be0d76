package check

import (
	"testing"
	"time"
)

// An operation with an older fencing token is rejected; terms that overlap, and a token that two
// processes used, are violations.
func TestOperationsAreFencedAndOverlapsFound(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	log := NewOperationLog()
	for i, c := range []struct {
		operation Operation
		accepted  bool
	}{
		{Operation{"d", "p", 5, ms(10)}, true}, {Operation{"d", "p", 5, ms(20)}, true}, {Operation{"d", "q", 7, ms(30)}, true},
		{Operation{"d", "p", 5, ms(25)}, false}, {Operation{"e", "p", 1, ms(5)}, true}, {Operation{"d", "q", 0, ms(31)}, false}, {Operation{"", "q", 9, ms(31)}, false},
	} {
		if err := log.Record(c.operation); (err == nil) != c.accepted {
			t.Errorf("operation %d: %v", i, err)
		}
	}
	if v := log.Analyze(); len(v.Violations) > 0 || v.Terms != 3 || v.Rejected != 1 || v.Idle != ms(10) || v.Total != ms(20) {
		t.Errorf("of honest ones: %+v", v)
	}
	_ = log.Record(Operation{"d", "r", 8, ms(29)}) // they arrive in order, but their terms overlap
	_ = log.Record(Operation{"e", "q", 1, ms(6)})
	if v := log.Analyze(); len(v.Violations) != 2 {
		t.Errorf("of two that overlap and one fence of two: %v", v.Violations)
	}
}
