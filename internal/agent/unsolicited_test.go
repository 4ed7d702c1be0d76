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

// connectedBackendConn returns a connection as a dial for an attempt makes it, and its far end.
func connectedBackendConn(t *testing.T) (conn *backendConn, peer net.Conn) {
	t.Helper()
	local, peer := connPair(t)
	transport := newDialer().newTransport()
	return newBackendConn(local, newDialer(), transport, transport.acquireEmpty()), peer
}

// carryRequest has the connection carry a request and its response.
func carryRequest(conn *backendConn) {
	conn.framing.beginResponse()
	conn.framing.scan([]byte(okAnswer))
	conn.endUse(time.Now())
}

// What arrived before a request was written is not its response, even if this process has not read it
// yet: it may have been suspended meanwhile.
func TestUnreadBytesPreventARequest(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	carryRequest(conn)
	reports := 0
	conn.transport.onUnsolicited = func() { reports++ }
	io.WriteString(peer, strayAnswer)
	waitUntil(t, "the bytes are there", func() bool { return mayBeReadable(conn.Conn) })
	a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
	defer a.cancel(nil)
	a.conn.Store(conn)
	if a.allowWrite(conn) {
		t.Fatal("the request is written behind unread bytes")
	}
	if !a.mayChooseAnotherConn() || reports != 1 {
		t.Errorf("%d reports; the attempt must go on elsewhere", reports)
	}
	if _, err := conn.Read(make([]byte, 10)); err != errTrailingBytes || reports != 1 {
		t.Errorf("then read with %v and %d reports", err, reports)
	}
}

// What a backend sends before the first request on a connection is not the second response to one.
func TestBytesBeforeAnyRequestAreNotReported(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	conn.transport.onUnsolicited = func() { t.Error("reported") }
	io.WriteString(peer, strayAnswer)
	if _, err := conn.Read(make([]byte, 100)); err != errTrailingBytes {
		t.Errorf("read with %v", err)
	}
}

// A connection that the backend has closed is not written to, and is no sign of unsolicited bytes.
func TestClosedConnectionIsNotWrittenTo(t *testing.T) {
	conn, peer := connectedBackendConn(t)
	conn.endUse(time.Now())
	conn.transport.onUnsolicited = func() { t.Error("reported bytes") }
	peer.Close()
	waitUntil(t, "the end is there", func() bool { return mayBeReadable(conn.Conn) })
	a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
	defer a.cancel(nil)
	a.conn.Store(conn)
	if a.allowWrite(conn) || !a.mayChooseAnotherConn() {
		t.Error("the attempt must go on elsewhere")
	}
}

// An attempt whose used connection failed before its first byte goes on elsewhere, and writes nothing more
// there; one whose new connection failed does not.
func TestFailedUsedConnectionIsReplaced(t *testing.T) {
	for _, used := range []bool{true, false} {
		conn, _ := connectedBackendConn(t)
		if used {
			conn.endUse(time.Time{})
		}
		a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
		defer a.cancel(nil)
		a.conn.Store(conn)
		if a.mayChooseAnotherConn() != used || a.allowWrite(conn) == used {
			t.Errorf("used %v: goes on elsewhere or not, against its use", used)
		}
	}
}

// A backend that closes each connection at once is not connected to again and again by one attempt, and
// is to blame.
func TestNewConnectionClosedByBackendIsNotReplaced(t *testing.T) {
	accepted := make(chan struct{}, 10)
	addr := rawBackend(t, func(net.Conn, *bufio.Reader) { accepted <- struct{}{} })
	d := newDialer()
	connect := d.connect
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		if err == nil {
			waitUntil(t, "its end is there", func() bool { return mayBeReadable(c) })
		}
		return c, err
	}
	if res := newAttempt(d.newTransport(), addr, http.MethodPost, noTimeout).run(); res.status != policy.ConnectFailed || len(accepted) != 1 {
		t.Errorf("ended %d after %d connections", res.status, len(accepted))
	}
}

// An attempt writes on a connection only after its reuse delay, or if it is new where it has to be, whatever
// net/http chooses.
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
		{"used, though it has to be new", true, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, _ := connectedBackendConn(t)
			if c.used {
				conn.endUse(time.Now())
			}
			a := newAttempt(conn.transport, "", http.MethodPost, noTimeout)
			defer a.cancel(nil)
			a.reuseDelay, a.singleUse, a.header = c.delay, c.singleUse, http.Header{}
			a.gotConn(httptrace.GotConnInfo{Conn: conn})
			if got := a.allowWrite(conn); got != c.want || a.mayChooseAnotherConn() == c.want {
				t.Errorf("may write: %v, want %v, else on another connection", got, c.want)
			}
		})
	}
}

// After unsolicited bytes of a backend, each connection to it carries one request, health checks
// included, until the balancer allows more again.
func TestConnectionsCarryOneRequestAfterUnsolicitedBytes(t *testing.T) {
	const delay = 5 * time.Millisecond
	requests := make(chan string, 100) // what each connection carried
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
		return receive(t, "its event", l.events)
	}
	events := map[eventKind]event{}
	for _, e := range []event{run(policy.Action{Kind: policy.ActProbe, Server: b.addr}), receive(t, "the other event", l.events)} {
		events[e.kind] = e
	}
	report, reported := events[eventUnsolicited]
	if status := events[eventProbeResult].result.status; status != policy.OK || !reported {
		t.Fatalf("ended %d, reported: %v", status, reported)
	}
	l.handle(report)
	receive(t, "the end of the connection", requests)
	for range 3 {
		// As the balancer has them sent now.
		if e := run(policy.Action{Kind: policy.ActProbe, Server: b.addr, SingleUse: true}); e.kind != eventProbeResult || e.result.status != policy.OK {
			t.Fatalf("got event %+v", e)
		}
		if carried := receive(t, "the end of the connection", requests); carried != "/status/load" {
			t.Errorf("a connection carried %q", carried)
		}
	}
}
