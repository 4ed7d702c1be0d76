package agent

import (
	"log/slog"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// offlineLoop returns a loop that is not running, for a test to drive, with the backends in its list.
func offlineLoop(t *testing.T, backends ...string) *loop {
	t.Helper()
	return offlineLoopWithConfig(t, testConfig(unreachableAddr, backends...))
}

// offlineLoopWithConfig returns a loop with the configuration that is not running, for a test to drive.
func offlineLoopWithConfig(t *testing.T, config map[string]any) *loop {
	t.Helper()
	l, err := newLoop(t.Context(), parseConfig(t, config), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.endInitialWatch()
	return l
}

// endInitialWatch ends the watch that newLoop may have opened, and discards its event.
func (l *loop) endInitialWatch() {
	if l.watching {
		l.cancelDiscovery()
		<-l.events
	}
}

// advanceClock moves the loop's clock forward by d.
func (l *loop) advanceClock(d time.Duration) { l.startedAt = l.startedAt.Add(-d) }

// listOf returns an endpoint list with the entries.
func listOf(seq int64, full bool, hosts ...endpoints.Endpoint) endpoints.List {
	return endpoints.List{Seq: seq, Full: full, Endpoints: hosts}
}
