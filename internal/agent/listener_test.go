package agent

import (
	"testing"
	"time"
)

// A connection that is accepted after a stall of the queue may have waited as long as the stall;
// once the queue is drained the stall does not matter any more.
func TestAcceptQueueArrivalTime(t *testing.T) {
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name     string
		stood    [][2]int // ms from and to
		emptied  bool
		accepted int
		since    int
	}{
		{"never stood", nil, false, 700, 700},
		{"right after it", [][2]int{{100, 600}}, false, 600, 100},
		{"a little later", [][2]int{{100, 600}}, false, 800, 300},
		{"worked off", [][2]int{{100, 600}}, false, 1700, 1700},
		{"empty since", [][2]int{{100, 600}}, true, 601, 601},
		{"twice in a row", [][2]int{{100, 600}, {650, 900}}, false, 900, 100},
		{"twice, far apart", [][2]int{{100, 600}, {2000, 2100}}, false, 2100, 2000},
	} {
		var q acceptQueue
		for _, s := range c.stood {
			q.noteStall(at(s[0]), at(s[1]))
		}
		if c.emptied {
			q.noteEmpty()
		}
		if got := q.earliestArrival(at(c.accepted)); !got.Equal(at(c.since)) {
			t.Errorf("%s: since %v, want %d ms", c.name, got.Sub(begin), c.since)
		}
	}
}
