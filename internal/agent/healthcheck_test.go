package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"knotrouter/policy"
)

// A failed server gets a health check in the background, and the result reaches the balancer: the
// server is used again, and no second check runs at the same time.
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
				t.Fatalf("asked %s %s %v", r.Method, r.URL.Path, r.Header)
			}
			e := <-l.events
			if e.kind != eventProbeResult || e.result.status != c.want || e.attempt.backend != b {
				t.Fatalf("got event %+v", e)
			}
			l.handle(e)
			if len(b.attempts) > 0 {
				t.Fatal("the probe is still out")
			}
		})
	}
}

// A health check of a server that is not listed any more ends too: the balancer waits for its
// result.
func TestProbeOfUnlistedBackendEnds(t *testing.T) {
	l := offlineLoop(t)
	l.actions = []policy.Action{{Kind: policy.ActProbe, Server: policyAddr("s-0")}}
	l.executeActions()
	if len(l.deferredEvents) != 1 || l.deferredEvents[0].kind != eventProbeResult {
		t.Fatalf("got event %+v", l.deferredEvents)
	}
	l.handle(l.deferredEvents[0])
}
