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

// dial opens a connection to the server. It is closed at the end of the test.
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
	ts.sendAndExpect("first request of a connection", "200", r)
	if took := time.Since(began); took < 60*ms {
		t.Errorf("the handshake took %v, want at least 60 ms", took)
	}
	idle := ts.dial()
	ts.dial()
	ts.waitUntil("two connections open", func() bool { return ts.State().OpenConnections >= 2 })
	ts.transport.CloseIdleConnections()
	_, r = ts.newRequest("over", classLook, 1)
	ts.sendAndExpect("on a connection above the limit", outcomeNotStarted+"503", r)
	_ = idle.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read from an idle connection: %v, want EOF", err)
	}
}

// An isolated machine sends no responses and closes no connections. After Rejoin it answers the requests
// that have reached the machine, and the delay does not count as a breach by the agent.
func TestIsolatedMachineIsSilent(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{}, false)
	c := ts.dial()
	ts.waitUntil("one connection open", func() bool { return ts.State().OpenConnections == 1 })
	if err := ts.Isolate(); err != nil {
		t.Fatal(err)
	}
	delayed, r := ts.newRequest("delayed", classLook, 1)
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	// The agent gives its final answer before the request arrives at the server. That breaks a rule unless
	// the network delayed the request.
	ts.checker.RecordAnswer(delayed, check.Answer{Outcome: check.Failed, At: ts.env.Clock()})
	_ = c.SetReadDeadline(time.Now().Add(150 * ms))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read from an isolated machine: %v, want a timeout", err)
	}
	if c, err := net.DialTimeout("tcp", ts.Addr(), 150*ms); err == nil {
		c.Close()
		t.Error("a connection to an isolated machine was established")
	}
	if err := ts.Rejoin(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := c.Read(make([]byte, 100)); n == 0 {
		t.Errorf("no response after Rejoin: %v", err)
	}
	if breaches, _ := ts.checker.Breaches(); len(breaches) > 0 {
		t.Errorf("breaches for a request that was delayed by the isolation: %v", breaches)
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if got := strings.Join(ts.healthChanges, " "); got != "ready isolated ready" {
		t.Errorf("health changes: %s", got)
	}
}

// A response is not repeated on a closed connection, on an isolated machine, during another response, or
// when the repetition would come too late.
func TestRepetitionIsSkipped(t *testing.T) {
	for name, tc := range map[string]struct {
		delay    time.Duration
		endedAgo time.Duration
		prepare  func(ts *testServer, c *conn)
	}{
		"closed connection":       {time.Hour, 0, func(_ *testServer, c *conn) { c.Close() }},
		"isolated machine":        {ms, 0, func(ts *testServer, _ *conn) { ts.network.setOpen(false) }},
		"during another response": {ms, 0, func(_ *testServer, c *conn) { c.response = []byte("HTTP/1.1 200 OK\r\n") }},
		"too late":                {ms, maxRepeatDelay + maxRepeatLateness, func(*testServer, *conn) {}},
	} {
		ts := newTestServer(t, nil).start(Version{}, false)
		serverSide, clientSide := net.Pipe() // a write blocks until the other end has read the data
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
			t.Errorf("%s: repeat did not return", name)
		}
		if ts.Repeated.Load() != 0 {
			t.Errorf("%s: the response was repeated", name)
		}
		c.Close()
		clientSide.Close()
		<-done
	}
}
