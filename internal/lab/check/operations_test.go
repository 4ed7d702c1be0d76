package check

import (
	"testing"
	"time"
)

// The place refuses what is older than what it took, and sees terms that overlap and a fence
// that two processes used.
func TestOperationsAreFencedAndOverlapsFound(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	a := NewOperationLog()
	for i, c := range []struct {
		act Operation
		ok  bool
	}{
		{Operation{"d", "p", 5, ms(10)}, true}, {Operation{"d", "p", 5, ms(20)}, true}, {Operation{"d", "q", 7, ms(30)}, true},
		{Operation{"d", "p", 5, ms(25)}, false}, {Operation{"e", "p", 1, ms(5)}, true}, {Operation{"d", "q", 0, ms(31)}, false}, {Operation{"", "q", 9, ms(31)}, false},
	} {
		if err := a.Record(c.act); (err == nil) != c.ok {
			t.Errorf("act %d: %v", i, err)
		}
	}
	if v := a.Analyze(); len(v.Violations) > 0 || v.Terms != 3 || v.Rejected != 1 || v.Idle != ms(10) || v.Total != ms(20) {
		t.Errorf("of honest ones: %+v", v)
	}
	_ = a.Record(Operation{"d", "r", 8, ms(29)}) // acts land in order, and were done at one time
	_ = a.Record(Operation{"e", "q", 1, ms(6)})
	if v := a.Analyze(); len(v.Violations) != 2 {
		t.Errorf("of two that overlap and one fence of two: %v", v.Violations)
	}
}
