package agent

import (
	"testing"
	"time"
)

// testTimeout limits each wait for an expected event in these tests.
const testTimeout = 20 * time.Second

// receive returns the next value of c, which must arrive within testTimeout.
func receive[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("%s: nothing within %v", what, testTimeout)
	}
	return v
}

// waitUntil polls until done returns true, which must happen within testTimeout.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}
