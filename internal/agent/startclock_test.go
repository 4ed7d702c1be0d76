package agent

import (
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// A process whose wall clock was stepped before its start still knows the age of servers that start
// later: a server that warms up counts neither as warm nor as younger than it is.
func TestSteppedClockAtTheStart(t *testing.T) {
	const slowStartMs = 8000
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 20 * time.Second, -20 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			l := offlineLoop(t, "127.0.0.1:1")
			l.startedAtMs += float64(step.Milliseconds()) // of the process's clock, which alone is off
			realMs := func() float64 { return l.nowMs() - float64(step.Milliseconds()) }
			l.advanceClock(20 * time.Second)
			l.handle(event{kind: eventListChanged, list: listOf(2, false)})
			l.advanceClock(10 * time.Second)
			// It started 2 s ago; another one long ago, and was not listed for some time.
			startedMs := realMs() - 2000
			entries := []endpoints.Endpoint{
				{Name: "s-8", Dial: "127.0.0.1:8", Health: "ready", StartedMs: startedMs - 500_000},
				{Name: "s-9", Dial: "127.0.0.1:9", Health: "ready", StartedMs: startedMs}}
			l.handle(event{kind: eventListChanged, list: listOf(3, false, entries[1])})
			l.handle(event{kind: eventListChanged, list: listOf(4, false, entries[0])})
			age := func(i int) float64 { return l.nowMs() - l.startOnLoopClock(&entries[i]) }
			if got := age(1); got < 0 || got > slowStartMs*3/2 || step < 0 && got > 3000 {
				t.Errorf("the new server counts as %.0f ms old, is 2000", got)
			}
			if got := age(0); got < slowStartMs {
				t.Errorf("the old server counts as %.0f ms old, is 502000", got)
			}
		})
	}
}
