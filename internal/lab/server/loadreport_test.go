package server

import (
	"strings"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

func TestProbes(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{NeverReady: true}, false)
	ts.sendAndExpect("health before it is ready", "503", ts.newProbe("/health"))
	_, r := ts.newRequest("early", classLook, 1)
	ts.sendAndExpect("a request before it is ready", outcomeNotStarted+"503", r)
	ts.Kill()
	ts.start(Version{ReadyAfter: 20 * ms}, false)
	ts.waitUntil("ready", func() bool { return ts.Health() == endpoints.Ready })
	ts.sendAndExpect("health", "200", ts.newProbe("/health"))
	ts.waitUntil("a report", func() bool { return ts.loadReport() != "" })
	if body := ts.sendAndExpect("load", "200", ts.newProbe("/status/load")); !strings.HasPrefix(body, "TEXT util=0.000, inflight=0") {
		t.Errorf("load report %q", body)
	}
	ts.sendAndExpect("any other path", "404", ts.newProbe("/status"))
	if n := ts.Probes.Load(); n != 3 {
		t.Errorf("%d probes counted, want 3", n)
	}
}

func TestDisabledProbesAreNotFound(t *testing.T) {
	ts := newTestServer(t, func(c *Config) { c.LoadReports.ProbesEnabled = false }).start(Version{}, false)
	ts.sendAndExpect("a probe", "404", ts.newProbe("/health"))
}

func TestLoadReportIsDelayed(t *testing.T) {
	ts := newTestServer(t, func(c *Config) { c.LoadReports.Delay = 300 * ms }).start(Version{}, false)
	ts.waitUntil("a report", func() bool { return ts.loadReport() != "" })
	_, r := ts.newRequest("long", classLook, 1e6)
	cancel := ts.sendInBackground(r)
	ts.waitUntil("running", func() bool { return ts.State().InFlight == 1 })
	began := time.Now()
	ts.waitUntil("reported", func() bool { return strings.Contains(ts.loadReport(), "inflight=1") })
	if delay := time.Since(began); delay < 200*ms {
		t.Errorf("reported after %v, the delay is 300 ms", delay)
	}
	cancel()
}
