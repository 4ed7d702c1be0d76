package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// If a reused connection ends between checkout and the first byte, the attempt is sent on another connection and
// the backend is not blamed, whether the transport's reader or the check before the write detects the end first.
func TestConnectionThatEndsAfterCheckoutIsReplaced(t *testing.T) {
	for name, finalBytes := range map[string]string{"end": "", "unsolicited bytes": strayAnswer} {
		t.Run(name, func(t *testing.T) {
			end := make(chan struct{})
			var first atomic.Bool
			addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					return
				}
				io.WriteString(c, okAnswer)
				if !first.Swap(true) {
					<-end
					io.WriteString(c, finalBytes)
				}
			})
			d := newDialer()
			tr := d.newTransport()
			defer tr.CloseIdleConnections()
			if res := newAttempt(tr, addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
				t.Fatalf("ended with status %d", res.status)
			}
			d.idle.mu.Lock() // holds the next attempt in gotConn, which claims the connection
			results := make(chan result, 1)
			a := newAttempt(tr, addr, http.MethodPost, noTimeout)
			go func() { results <- a.run() }()
			waitUntil(t, "the connection is checked out", func() bool {
				tr.mu.Lock()
				defer tr.mu.Unlock()
				return len(tr.idle) == 0
			})
			time.Sleep(50 * time.Millisecond) // so that the attempt waits for the lock before the reader's close does
			close(end)
			time.Sleep(50 * time.Millisecond)
			d.idle.mu.Unlock()
			if res := receive(t, "the result", results); res.status != policy.OK {
				t.Errorf("ended with status %d (%v), want it sent on another connection", res.status, res.err)
			}
		})
	}
}

// Unsolicited bytes from an earlier process do not count against a server that is listed again under its name.
func TestReportOfARemovedBackendIsIgnored(t *testing.T) {
	const dial = "127.0.0.1:9"
	l := offlineLoop(t, dial)
	before := l.backends[policyAddr("s-0")]
	l.applyList(policy.ListFull, &endpoints.List{Seq: 2, Full: true})
	if l.backends[before.addr] != nil {
		t.Fatal("the backend is still listed")
	}
	l.applyList(policy.ListFull, &endpoints.List{Seq: 3, Full: true, Endpoints: []endpoints.Endpoint{
		{Name: "s-0", Dial: dial, Site: "a", Class: "k", Health: endpoints.Ready, Weight: 1, StartedMs: 5}}})
	if l.backends[before.addr] == nil || l.backends[before.addr] == before {
		t.Fatal("the backend was not replaced by a new one")
	}
	l.actions = l.actions[:0]
	l.handle(event{kind: eventUnsolicited, backend: before, transport: before.transport})
	if len(l.actions) != 0 {
		t.Errorf("the report led to actions %+v", l.actions)
	}
}

// The agent's wait for a reuse delay does not count as latency of the server.
func TestReuseDelayIsNotTheServersLatency(t *testing.T) {
	addr, _ := keepAliveBackend(t)
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	const delay = 500 * time.Millisecond
	for range 2 {
		a := newAttempt(tr, addr, http.MethodPost, noTimeout)
		a.reuseDelay = delay
		if res := a.run(); res.status != policy.OK || res.latency >= delay {
			t.Errorf("ended with status %d after %v", res.status, res.latency)
		}
	}
}

// An attempt that times out during the reuse delay of its connection does not count against the server.
func TestTimeoutDuringReuseDelayIsLocal(t *testing.T) {
	addr, _ := keepAliveBackend(t)
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	if res := newAttempt(tr, addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
		t.Fatalf("ended with status %d", res.status)
	}
	a := newAttempt(tr, addr, http.MethodPost, time.Millisecond)
	a.reuseDelay = time.Hour
	if res := a.run(); res.status != policy.Full || !res.local {
		t.Errorf("ended with status %d, local: %v (%v)", res.status, res.local, res.err)
	}
}
