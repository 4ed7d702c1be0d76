package check

import (
	"testing"
	"time"
)

// The place refuses what is older than what it took, and sees terms that overlap and a fence
// that two processes used.
func TestActs(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	a := NewActs()
	for i, c := range []struct {
		act Act
		ok  bool
	}{
		{Act{"d", "p", 5, ms(10)}, true}, {Act{"d", "p", 5, ms(20)}, true}, {Act{"d", "q", 7, ms(30)}, true},
		{Act{"d", "p", 5, ms(25)}, false}, {Act{"e", "p", 1, ms(5)}, true}, {Act{"d", "q", 0, ms(31)}, false}, {Act{"", "q", 9, ms(31)}, false},
	} {
		if err := a.Take(c.act); (err == nil) != c.ok {
			t.Errorf("act %d: %v", i, err)
		}
	}
	if v := a.Judge(); len(v.Broke) > 0 || v.Terms != 3 || v.Refused != 1 || v.Idle != ms(10) || v.All != ms(20) {
		t.Errorf("of honest ones: %+v", v)
	}
	_ = a.Take(Act{"d", "r", 8, ms(29)}) // acts land in order, and were done at one time
	_ = a.Take(Act{"e", "q", 1, ms(6)})
	if v := a.Judge(); len(v.Broke) != 2 {
		t.Errorf("of two that overlap and one fence of two: %v", v.Broke)
	}
}
