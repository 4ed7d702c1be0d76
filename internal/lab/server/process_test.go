package server

import (
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// A new process has the same address, its own start time and the defects of its version.
func TestRestartsWithAnotherVersion(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{Name: "1"}, false)
	addr := ts.Addr()
	if ts.StartedMs() != 0 {
		t.Error("a server that counts as started long ago has a start time")
	}
	if err := ts.Start(Version{}, true); err == nil {
		t.Error("Start succeeds while the server is running")
	}
	ts.Kill()
	before := time.Now().UnixMilli()
	ts.start(Version{Name: "2", ErrorShares: map[string]float64{"vote": 1}, Slowdown: 50, CrashAfter: 700 * ms}, true)
	if ts.Addr() != addr || ts.StartedMs() < before || ts.VersionName() != "2" {
		t.Errorf("address %s, want %s; start time %d, want at least %d; version %s, want 2", ts.Addr(), addr, ts.StartedMs(), before, ts.VersionName())
	}
	began := time.Now()
	_, r := ts.newRequest("look", classLook, 2)
	ts.sendAndExpect("a look", "200", r)
	if took := time.Since(began); took < 100*ms {
		t.Errorf("2 ms of work took %v with a version that is 50 times slower", took)
	}
	_, r = ts.newRequest("vote", classVote, 1)
	ts.sendAndExpect("a vote", "500", r)
	ts.waitUntil("crashed", func() bool { return ts.Health() == endpoints.Removed && !ts.Running() })
}
