package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"knotrouter/policy"
)

// A probe ordered by the balancer runs in the background, and its result reaches the balancer: the server can be
// used again, and no other probe runs at the same time.
func TestProbeResultReachesBalancer(t *testing.T) {
	for _, c := range []struct {
		how, path string
		status    int
		want      policy.Status
	}{
		{"on_probe", "/status/load", 200, policy.OK},
		{"off", "/health", 200, policy.OK},
		{"off", "/health", 503, policy.Error},
	} {
		t.Run(fmt.Sprint(c.path, c.status), func(t *testing.T) {
			requests := make(chan *http.Request, 10)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests <- r
				w.WriteHeader(c.status)
				fmt.Fprint(w, "TEXT util=0.5")
			}))
			t.Cleanup(s.Close)
			l := offlineLoop(t, s.Listener.Addr().String())
			l.settings.Report = policy.Report{Mode: c.how, Names: []string{"util"}}
			b := l.backends[policyAddr("s-0")]
			l.actions = []policy.Action{{Kind: policy.ActProbe, Server: b.addr}}
			l.executeActions()
			r := <-requests
			if r.Method != http.MethodGet || r.URL.Path != c.path || r.Header.Get("Request-Id") != "" {
				t.Fatalf("probe request %s %s, header %v", r.Method, r.URL.Path, r.Header)
			}
			e := <-l.events
			if e.kind != eventProbeResult || e.result.status != c.want || e.attempt.backend != b {
				t.Fatalf("unexpected event %+v", e)
			}
			l.handle(e)
			if len(b.attempts) > 0 {
				t.Fatal("the probe is still in flight")
			}
		})
	}
}

// A probe of a server that is not listed any more yields a result too, because the balancer waits for it.
func TestProbeOfUnlistedBackendEnds(t *testing.T) {
	l := offlineLoop(t)
	l.actions = []policy.Action{{Kind: policy.ActProbe, Server: policyAddr("s-0")}}
	l.executeActions()
	if len(l.deferredEvents) != 1 || l.deferredEvents[0].kind != eventProbeResult {
		t.Fatalf("deferred events %+v, want one probe result", l.deferredEvents)
	}
	l.handle(l.deferredEvents[0])
}
