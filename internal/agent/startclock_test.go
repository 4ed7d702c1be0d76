package agent

import (
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// A process whose wall clock was stepped before its start still determines the age of servers that start later:
// a server in slow start counts neither as warmed up nor as younger than it is.
func TestSteppedClockAtTheStart(t *testing.T) {
	const slowStartMs = 8000
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 20 * time.Second, -20 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			l := offlineLoop(t, "127.0.0.1:1")
			l.startedAtMs += float64(step.Milliseconds()) // only the clock of this process is off
			realMs := func() float64 { return l.nowMs() - float64(step.Milliseconds()) }
			l.advanceClock(20 * time.Second)
			l.handle(event{kind: eventListChanged, list: listOf(2, false)})
			l.advanceClock(10 * time.Second)
			// Server s-9 started 2 s ago. Server s-8 started long ago and was not listed for some time.
			startedMs := realMs() - 2000
			entries := []endpoints.Endpoint{
				{Name: "s-8", Dial: "127.0.0.1:8", Health: "ready", StartedMs: startedMs - 500_000},
				{Name: "s-9", Dial: "127.0.0.1:9", Health: "ready", StartedMs: startedMs}}
			l.handle(event{kind: eventListChanged, list: listOf(3, false, entries[1])})
			l.handle(event{kind: eventListChanged, list: listOf(4, false, entries[0])})
			age := func(i int) float64 { return l.nowMs() - l.startOnLoopClock(&entries[i]) }
			if got := age(1); got < 0 || got > slowStartMs*3/2 || step < 0 && got > 3000 {
				t.Errorf("computed age of the new server: %.0f ms, real age: 2000", got)
			}
			if got := age(0); got < slowStartMs {
				t.Errorf("computed age of the old server: %.0f ms, real age: 502000", got)
			}
		})
	}
}
