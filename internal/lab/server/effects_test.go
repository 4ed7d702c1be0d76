package server

import (
	"testing"
	"time"
)

// A request with a repeated idempotency key is answered like the first one and has no effect.
func TestRepeatedKeysAreDropped(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{}, false)
	for _, id := range []string{"v1", "v2", "v3"} {
		_, r := ts.newRequest(id, classVote, 1)
		ts.sendAndExpect(id, "200", r)
	}
	if dropped, duplicated := ts.env.Effects.Counts(); dropped != 2 || duplicated != 0 {
		t.Errorf("%d dropped, %d duplicated", dropped, duplicated)
	}
}

func TestRepeatedKeysHaveAnEffectAfterTheWindow(t *testing.T) {
	const window = 12 * time.Second
	effects := NewEffects()
	for _, repeat := range []struct {
		at                  time.Duration
		dropped, duplicated int64
	}{{0, 0, 0}, {window, 1, 0}, {window + 1, 1, 1}} {
		effects.commit("k", repeat.at, window)
		if dropped, duplicated := effects.Counts(); dropped != repeat.dropped || duplicated != repeat.duplicated {
			t.Errorf("after %v: %d dropped, %d duplicated, want %d and %d",
				repeat.at, dropped, duplicated, repeat.dropped, repeat.duplicated)
		}
	}
}
