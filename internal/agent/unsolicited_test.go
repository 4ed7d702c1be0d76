package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"knotrouter/policy"
)

const strayAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

// connectedBackendConn returns a connection like one that was dialed for an attempt, and its remote end.
func connectedBackendConn(t *testing.T) (conn *backendConn, peer net.Conn) {
	t.Helper()
	local, peer := connPair(t)
	transport := newDialer().newTransport()
	return newBackendConn(local, newDialer(), transport, transport.acquireEmpty()), peer
}

// carryRequest puts the connection into the state after one request and its response.
func carryRequest(conn *backendConn) {
	conn.framing.beginResponse()
	conn.framing.scan([]byte(okAnswer))
	conn.setIdleSince(time.Now())
}

// Bytes that arrived before a request was written are not its response, even if this process has not read them yet
// because it was suspended in the meantime.
func TestUnreadBytesPreventARequest(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	carryRequest(conn)
	reports := 0
	conn.transport.onUnsolicited = func() { reports++ }
	io.WriteString(peer, strayAnswer)
	waitUntil(t, "the unsolicited bytes arrive", func() bool { return mayBeReadable(conn.Conn) })
	a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
	defer a.cancel(nil)
	a.conn.Store(conn)
	if a.allowWrite(conn) {
		t.Fatal("the request may be written on a connection with unread bytes")
	}
	if !a.canSwitchConn() || reports != 1 {
		t.Errorf("%d reports of unsolicited bytes, want 1 and an attempt that may use another connection", reports)
	}
	if _, err := conn.Read(make([]byte, 10)); err != errTrailingBytes || reports != 1 {
		t.Errorf("read: error %v and %d reports, want errTrailingBytes and 1 report", err, reports)
	}
}

// Bytes that a backend sends before the first request on a connection are not reported: they cannot be a second
// response to a request.
func TestBytesBeforeAnyRequestAreNotReported(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	conn.transport.onUnsolicited = func() { t.Error("unsolicited bytes were reported") }
	io.WriteString(peer, strayAnswer)
	if _, err := conn.Read(make([]byte, 100)); err != errTrailingBytes {
		t.Errorf("read: error %v, want errTrailingBytes", err)
	}
}

// A connection that the backend has closed is not written to, and its end is not reported as unsolicited bytes.
func TestClosedConnectionIsNotWrittenTo(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	conn.setIdleSince(time.Now())
	conn.transport.onUnsolicited = func() { t.Error("unsolicited bytes were reported") }
	peer.Close()
	waitUntil(t, "the end of the connection arrives", func() bool { return mayBeReadable(conn.Conn) })
	a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
	defer a.cancel(nil)
	a.conn.Store(conn)
	if a.allowWrite(conn) || !a.canSwitchConn() {
		t.Error("the attempt may write on a closed connection or may not use another one")
	}
}

// If a reused connection fails before the attempt's first byte, the attempt uses another connection and writes
// nothing on the failed one. If a new connection fails, the attempt does not use another one.
func TestFailedUsedConnectionIsReplaced(t *testing.T) {
	for _, used := range []bool{true, false} {
		conn, _ := connectedBackendConn(t)
		if used {
			conn.setIdleSince(time.Time{})
		}
		a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
		defer a.cancel(nil)
		a.conn.Store(conn)
		if a.canSwitchConn() != used || a.allowWrite(conn) == used {
			t.Errorf("connection used before: %v; want another connection only in that case", used)
		}
	}
}

// An attempt connects only once to a backend that closes each connection at once, and fails with ConnectFailed.
func TestNewConnectionClosedByBackendIsNotReplaced(t *testing.T) {
	accepted := make(chan struct{}, 10)
	addr := rawBackend(t, func(net.Conn, *bufio.Reader) { accepted <- struct{}{} })
	d := newDialer()
	connect := d.connect
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		if err == nil {
			waitUntil(t, "the end of the connection arrives", func() bool { return mayBeReadable(c) })
		}
		return c, err
	}
	if res := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run(); res.status != policy.ConnectFailed || len(accepted) != 1 {
		t.Errorf("status %d after %d connections, want ConnectFailed after 1", res.status, len(accepted))
	}
}

// Whatever connection net/http chooses, an attempt writes on a used one only after its reuse delay, and a single-use
// attempt only on a new one.
func TestAttemptRefusesAConnectionUsedTooRecently(t *testing.T) {
	for _, c := range []struct {
		name      string
		used      bool
		delay     time.Duration
		singleUse bool
		want      bool
	}{
		{"new", false, time.Hour, true, true},
		{"used before", true, 0, false, true},
		{"used a moment ago", true, time.Hour, false, false},
		{"used, for a single-use attempt", true, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, _ := connectedBackendConn(t)
			if c.used {
				conn.setIdleSince(time.Now())
			}
			a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
			defer a.cancel(nil)
			a.reuseDelay, a.singleUse, a.header = c.delay, c.singleUse, http.Header{}
			a.gotConn(httptrace.GotConnInfo{Conn: conn})
			if got := a.allowWrite(conn); got != c.want || a.canSwitchConn() == c.want {
				t.Errorf("may write: %v, want %v, and another connection only if not", got, c.want)
			}
		})
	}
}

// After unsolicited bytes from a backend, each connection to it carries a single request, health checks included,
// until the balancer allows reuse again.
func TestConnectionsCarryOneRequestAfterUnsolicitedBytes(t *testing.T) {
	const delay = 5 * time.Millisecond
	requests := make(chan string, 100) // the paths of the requests of each connection
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		var paths []string
		for {
			request, err := readRequest(r)
			if err != nil {
				requests <- strings.Join(paths, " ")
				return
			}
			paths = append(paths, request.URL.Path)
			io.WriteString(c, okAnswer)
			time.Sleep(delay)
			io.WriteString(c, strayAnswer)
		}
	})
	l := offlineLoop(t, addr)
	b := l.backends[policyAddr("s-0")]
	run := func(action policy.Action) (e event) {
		l.actions = []policy.Action{action}
		l.executeActions()
		return receive(t, "the event of the action", l.events)
	}
	events := map[eventKind]event{}
	for _, e := range []event{run(policy.Action{Kind: policy.ActProbe, Server: b.addr}), receive(t, "the other event", l.events)} {
		events[e.kind] = e
	}
	report, reported := events[eventUnsolicited]
	if status := events[eventProbeResult].result.status; status != policy.OK || !reported {
		t.Fatalf("probe status %d, unsolicited bytes reported: %v", status, reported)
	}
	l.handle(report)
	receive(t, "the end of the connection", requests)
	for range 3 {
		// The balancer now orders single-use probes.
		if e := run(policy.Action{Kind: policy.ActProbe, Server: b.addr, SingleUse: true}); e.kind != eventProbeResult || e.result.status != policy.OK {
			t.Fatalf("unexpected event %+v", e)
		}
		if carried := receive(t, "the end of the connection", requests); carried != "/status/load" {
			t.Errorf("a connection carried %q, want one request", carried)
		}
	}
}
