package agent

import (
	"log/slog"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// offlineLoop returns a loop that the test drives by itself, with the backends listed.
func offlineLoop(t *testing.T, backends ...string) *loop {
	t.Helper()
	return offlineLoopWithConfig(t, testConfig(unreachableAddr, backends...))
}

// offlineLoopWithConfig returns a loop that the test drives by itself.
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

// listOf returns a list of the entries.
func listOf(seq int64, full bool, hosts ...endpoints.Endpoint) endpoints.List {
	return endpoints.List{Seq: seq, Full: full, Endpoints: hosts}
}
