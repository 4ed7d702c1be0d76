package hollow

import (
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// The age that a weight encodes is exact to the millisecond, also across a wrap of the window.
func TestAgeFromWeight(t *testing.T) {
	wrap := time.UnixMilli(1_796_186_000_000) // a multiple of the window
	for _, sent := range []time.Time{wrap.Add(-3 * time.Millisecond), wrap.Add(time.Millisecond), wrap.Add(123_456 * time.Millisecond)} {
		for _, age := range []time.Duration{0, time.Millisecond, 7 * time.Second, 10 * time.Minute} {
			got, ok := ageFromWeight(weightForTime(sent), sent.Add(age))
			if !ok || got != age {
				t.Errorf("sent at %v, read %v later: got age %v, ok %v", sent.UnixMilli(), age, got, ok)
			}
		}
	}
	for _, weight := range []float64{baseWeight, 0, 0.5, 2, 100} {
		if age, ok := ageFromWeight(weight, wrap); ok {
			t.Errorf("weight %v encodes no time, got age %v", weight, age)
		}
	}
}

// Restarts, configuration changes and servers that come back have ages; other updates have none.
func TestChangeAges(t *testing.T) {
	now := time.UnixMilli(1_796_186_400_000)
	old := endpoints.Endpoint{Name: "a", Health: endpoints.Ready, Weight: baseWeight, StartedMs: float64(now.Add(-time.Hour).UnixMilli())}
	restarted, configured, both, removed := old, old, old, old
	restarted.StartedMs = float64(now.Add(-40 * time.Millisecond).UnixMilli())
	configured.Weight = weightForTime(now.Add(-30 * time.Millisecond))
	both.StartedMs, both.Weight = restarted.StartedMs, configured.Weight
	removed.Health = endpoints.Removed
	for _, c := range []struct {
		name          string
		before, after endpoints.Endpoint
		want          []time.Duration
	}{
		{"no change", old, old, nil},
		{"a restart", old, restarted, []time.Duration{40 * time.Millisecond}},
		{"a configuration change", old, configured, []time.Duration{30 * time.Millisecond}},
		{"both in one line", old, both, []time.Duration{40 * time.Millisecond, 30 * time.Millisecond}},
		{"a removal", old, removed, nil},
		{"a server that comes back", endpoints.Endpoint{}, restarted, []time.Duration{40 * time.Millisecond}},
		{"a server that comes back with an earlier weight", endpoints.Endpoint{}, both, []time.Duration{40 * time.Millisecond}},
		{"a long-running server that was unknown", endpoints.Endpoint{}, old, nil},
	} {
		got := changeAges(&c.before, &c.after, now)
		if len(got) != len(c.want) {
			t.Errorf("%s: ages %v, want %v", c.name, got, c.want)
			continue
		}
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%s: ages %v, want %v", c.name, got, c.want)
			}
		}
	}
}
