package server

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/lab/check"
)

// dial opens a connection that the test closes at its end.
func (ts *testServer) dial() net.Conn {
	ts.t.Helper()
	c, err := net.Dial("tcp", ts.Addr())
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.t.Cleanup(func() { c.Close() })
	return c
}

func TestConnectionPolicy(t *testing.T) {
	ts := newTestServer(t, func(c *Config) {
		c.ConnectionPolicy = ConnectionPolicy{MaxOpen: 2, IdleTimeout: 150 * ms, HandshakeDelay: 60 * ms, HandshakeWork: 5}
	}).start(Version{}, false)
	began := time.Now()
	_, r := ts.newRequest("first", classLook, 1)
	ts.sendAndExpect("the first on a connection", "200", r)
	if took := time.Since(began); took < 60*ms {
		t.Errorf("a handshake took %v", took)
	}
	idle := ts.dial()
	ts.dial()
	ts.waitUntil("both accepted", func() bool { return ts.State().OpenConnections >= 2 })
	ts.transport.CloseIdleConnections()
	_, r = ts.newRequest("over", classLook, 1)
	ts.sendAndExpect("beyond the limit", outcomeNotStarted+"503", r)
	_ = idle.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v", err)
	}
}

// An isolated machine answers nothing and closes nothing. After Rejoin it answers what has reached
// it, and the agent is not blamed for the delay.
func TestIsolatedMachineIsSilent(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{}, false)
	c := ts.dial()
	ts.waitUntil("accepted", func() bool { return ts.State().OpenConnections == 1 })
	if err := ts.Isolate(); err != nil {
		t.Fatal(err)
	}
	delayed, r := ts.newRequest("delayed", classLook, 1)
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	// The agent gives its final answer before the request arrives. That breaks a rule, unless the
	// network delayed the request.
	ts.checker.RecordAnswer(delayed, check.Answer{Outcome: check.Failed, At: ts.env.Clock()})
	_ = c.SetReadDeadline(time.Now().Add(150 * ms))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an isolated machine answers, or ends the connection: %v", err)
	}
	if c, err := net.DialTimeout("tcp", ts.Addr(), 150*ms); err == nil {
		c.Close()
		t.Error("a connection to an isolated machine came up")
	}
	if err := ts.Rejoin(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := c.Read(make([]byte, 100)); n == 0 {
		t.Errorf("after it rejoined: %v", err)
	}
	if breaches, _ := ts.checker.Breaches(); len(breaches) > 0 {
		t.Errorf("a request that the isolation delayed breaks a rule: %v", breaches)
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if got := strings.Join(ts.healthChanges, " "); got != "ready isolated ready" {
		t.Errorf("health changes: %s", got)
	}
}

// A response is not repeated on a connection that is closed, from an isolated machine, within another
// response, or later than drawn.
func TestRepetitionIsSkipped(t *testing.T) {
	for name, tc := range map[string]struct {
		delay    time.Duration
		endedAgo time.Duration
		prepare  func(ts *testServer, c *conn)
	}{
		"closed":              {time.Hour, 0, func(_ *testServer, c *conn) { c.Close() }},
		"isolated":            {ms, 0, func(ts *testServer, _ *conn) { ts.network.setOpen(false) }},
		"in another response": {ms, 0, func(_ *testServer, c *conn) { c.response = []byte("HTTP/1.1 200 OK\r\n") }},
		"too late":            {ms, maxRepeatDelay + maxRepeatLateness, func(*testServer, *conn) {}},
	} {
		ts := newTestServer(t, nil).start(Version{}, false)
		serverSide, clientSide := net.Pipe() // a write blocks until it is read
		c := &conn{Conn: serverSide, server: ts.Server, closed: make(chan struct{})}
		tc.prepare(ts, c)
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.repeat([]byte("answer"), time.Now().Add(-tc.endedAgo), tc.delay)
		}()
		select {
		case <-done:
		case <-time.After(testTimeout):
			t.Errorf("%s: still writing", name)
		}
		if ts.Repeated.Load() != 0 {
			t.Errorf("%s: repeated", name)
		}
		c.Close()
		clientSide.Close()
		<-done
	}
}
