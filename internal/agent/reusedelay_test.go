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

// A kept connection that ends between its choice and the first byte is no fault of the backend, no matter
// whether the transport's reader or the check before the write notices the end first.
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
				t.Fatalf("ended %d", res.status)
			}
			d.idle.mu.Lock() // holds the next attempt in gotConn, which claims the connection
			results := make(chan result, 1)
			a := newAttempt(tr, addr, http.MethodPost, noTimeout)
			go func() { results <- a.run() }()
			waitUntil(t, "the connection is chosen", func() bool {
				tr.mu.Lock()
				defer tr.mu.Unlock()
				return len(tr.idle) == 0
			})
			time.Sleep(50 * time.Millisecond) // the attempt waits for the lock first, and the reader's close after it
			close(end)
			time.Sleep(50 * time.Millisecond)
			d.idle.mu.Unlock()
			if res := receive(t, "its end", results); res.status != policy.OK {
				t.Errorf("ended %d (%v), want it sent on another connection", res.status, res.err)
			}
		})
	}
}

// What the process before sent is not held against the server that came back under its name.
func TestReportOfARemovedBackendIsIgnored(t *testing.T) {
	const dial = "127.0.0.1:9"
	l := offlineLoop(t, dial)
	before := l.backends[policyAddr("s-0")]
	l.applyList(policy.ListFull, &endpoints.List{Seq: 2, Full: true})
	if l.backends[before.addr] != nil {
		t.Fatal("still listed")
	}
	l.applyList(policy.ListFull, &endpoints.List{Seq: 3, Full: true, Endpoints: []endpoints.Endpoint{
		{Name: "s-0", Dial: dial, Site: "a", Class: "k", Health: endpoints.Ready, Weight: 1, StartedMs: 5}}})
	if l.backends[before.addr] == nil || l.backends[before.addr] == before {
		t.Fatal("not listed anew")
	}
	l.actions = l.actions[:0]
	l.handle(event{kind: eventUnsolicited, backend: before, transport: before.transport})
	if len(l.actions) != 0 {
		t.Errorf("got %+v", l.actions)
	}
}

// The agent's wait for a reuse delay is no time that the server took.
func TestReuseDelayIsNotTheServersLatency(t *testing.T) {
	addr, _ := keepAliveBackend(t)
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	const delay = 500 * time.Millisecond
	for range 2 {
		a := newAttempt(tr, addr, http.MethodPost, noTimeout)
		a.reuseDelay = delay
		if res := a.run(); res.status != policy.OK || res.latency >= delay {
			t.Errorf("ended %d after %v", res.status, res.latency)
		}
	}
}

// An attempt that ended in the reuse delay of its connection says nothing of the server.
func TestTimeoutDuringReuseDelayIsLocal(t *testing.T) {
	addr, _ := keepAliveBackend(t)
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	if res := newAttempt(tr, addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
		t.Fatalf("ended %d", res.status)
	}
	a := newAttempt(tr, addr, http.MethodPost, time.Millisecond)
	a.reuseDelay = time.Hour
	if res := a.run(); res.status != policy.Full || !res.local {
		t.Errorf("ended %d, local: %v (%v)", res.status, res.local, res.err)
	}
}
