package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"knotrouter/policy"
)

// Bytes that were read before a request are never scanned after it has begun, however long the reader is
// delayed in between.
func TestReadAndScanAreAtomic(t *testing.T) {
	f := responseFraming{framingState: framingState{complete: true}}
	began := make(chan bool, 1)
	_, accepted, _ := f.receive(make([]byte, 100), func(p []byte) (int, error) {
		go func() { began <- f.beginResponse() }()
		time.Sleep(20 * time.Millisecond)
		return copy(p, strayAnswer), nil
	})
	if <-began || accepted != 0 {
		t.Errorf("%d bytes that were read before the request count as its response", accepted)
	}
}

// An attempt waits for the reuse delay of an idle connection instead of opening another one.
func TestReuseDelayIsWaitedFor(t *testing.T) {
	addr, _ := keepAliveBackend(t)
	d := newDialer()
	connections := countDials(d)
	tr := d.newTransport()
	defer tr.CloseIdleConnections()
	for range 3 {
		a := newAttempt(tr, addr, http.MethodPost, noTimeout)
		a.reuseDelay = 50 * time.Millisecond
		if res := a.run(); res.status != policy.OK {
			t.Fatalf("ended with status %d", res.status)
		}
	}
	if *connections != 1 {
		t.Errorf("%d connections were opened, want 1", *connections)
	}
}

// A report of unsolicited bytes from a replaced transport concerns a previous process or address and is ignored.
func TestReportOfAReplacedTransportIsIgnored(t *testing.T) {
	l := offlineLoop(t, "127.0.0.1:9")
	b := l.backends[policyAddr("s-0")]
	before := b.transport
	b.transport = l.newTransport(b)
	l.actions = l.actions[:0]
	l.handle(event{kind: eventUnsolicited, backend: b, transport: before})
	if len(l.actions) != 0 {
		t.Errorf("the report led to actions %+v", l.actions)
	}
}

// The reuse delay counts from the end of the last response, not from the start of its attempt.
func TestReuseDelayBeginsAfterTheResponse(t *testing.T) {
	answered := make(chan time.Time, 1)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			answered <- time.Now()
			io.WriteString(c, okAnswer)
			readRequest(r)
		}
	})
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	a := newAttempt(tr, addr, http.MethodPost, noTimeout)
	if res := a.run(); res.status != policy.OK {
		t.Fatalf("ended with status %d", res.status)
	}
	if since := a.conn.Load().idleSince.Load(); since.Before(<-answered) {
		t.Error("the reuse delay began before the response")
	}
}
