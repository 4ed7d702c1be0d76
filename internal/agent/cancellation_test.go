package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knotrouter/policy"
)

// The tests in this file cancel a request while another step of its handling is in progress. Each race is
// forced: by a loop that is not running yet, a connect that blocks, or a response that is held back.

// A request whose client disconnects while it is queued is not forwarded, however long the loop's event queue
// is: here 20 clients disconnect before the loop has handled any of their requests.
func TestCanceledBeforeLoopRuns(t *testing.T) {
	var addrs []string
	received := make(chan string, 1000)
	for range 20 {
		addrs = append(addrs, rawBackend(t, func(c net.Conn, r *bufio.Reader) {
			if req, err := readRequest(r); err == nil {
				received <- req.Header.Get("Request-Id")
				io.WriteString(c, okAnswer)
			}
		}))
	}
	a, base, runLoop := agentWithStoppedLoop(t, testConfig(unreachableAddr, addrs...))
	s := newStallingHandler(a)
	const requests = 20
	conns := []net.Conn{}
	for i := range requests {
		c, _ := dialAgent(t, base)
		io.WriteString(c, requestText(fmt.Sprint("gone", i)))
		conns = append(conns, c)
	}
	waitUntil(t, "all requests are queued for the loop", func() bool { return len(a.loop.events) == requests })
	s.stall(a) // queued after the requests and before the disconnects of their clients
	for _, c := range conns {
		c.Close()
	}
	waitUntil(t, "their disconnects are queued for the loop", func() bool { return len(a.loop.events) > requests+1 })
	runLoop()
	receive(t, "the loop is blocked", s.stalled)
	time.Sleep(100 * time.Millisecond) // long enough for a forwarded request to arrive
	s.release <- struct{}{}
	if status, _, _ := send(t, newCall(base, "order")); status != 200 {
		t.Fatalf("status %d, want 200", status)
	}
	if id := receive(t, "the request whose client stayed connected", received); id != "id1" || len(received) > 0 {
		t.Fatalf("forwarded %q and %d more requests, want only \"id1\"", id, len(received))
	}
	waitUntil(t, "the connections of the disconnected clients are released", func() bool { return a.clients.count() <= 1 })
}

// A request whose client disconnects during the connect to the backend is not forwarded, even if the loop has
// not been notified of the disconnect.
func TestCanceledDuringConnect(t *testing.T) {
	bytesRead := make(chan int64, 1)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		bytesRead <- n
	})
	a, base, runLoop := agentWithStoppedLoop(t, testConfig(unreachableAddr, addr))
	connect := a.loop.dialer.connect
	dialing, proceed := make(chan struct{}), make(chan struct{})
	a.loop.dialer.connect = func(_ context.Context, network, addr string) (net.Conn, error) {
		close(dialing)
		<-proceed
		return connect(context.Background(), network, addr) // succeeds although the attempt has been canceled
	}
	runLoop()
	c, _ := dialAgent(t, base)
	io.WriteString(c, requestText("gone"))
	receive(t, "the dial", dialing)
	c.Close()
	close(proceed)
	if n := receive(t, "the end of the backend's connection", bytesRead); n != 0 {
		t.Fatalf("the backend received %d bytes for a disconnected client", n)
	}
}

// The client's connection is checked immediately before the first byte is written, also after an idle backend
// connection was chosen, and a disconnect is found even if it has not been read yet.
func TestCanceledBeforeTheFirstByte(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, okAnswer)
		}
	})
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	if res := newAttempt(tr, addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
		t.Fatalf("status %d, want OK", res.status)
	}
	local, peer := connPair(t)
	a := newAttempt(tr, addr, http.MethodPost, noTimeout)
	a.req.client = newClientConns(1, testBudgets()).admit(local, nil)
	peer.Close()
	waitUntil(t, "the client's disconnect arrives", a.req.client.disconnected)
	if res := a.run(); res.status != policy.Withdrawn {
		t.Fatalf("status %d, want Withdrawn", res.status)
	}
	if a.conn.Load() == nil {
		t.Fatal("the attempt ended before it had a connection")
	}
}

// The disconnect of a client that has sent a part of its next request is detected, whether that part arrived
// before or after the current request was accepted, and whatever its length.
func TestCanceledWithPartialPipelinedRequest(t *testing.T) {
	for _, size := range []int{1, 50, maxReadAheadBuf + 1, 200 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			addr, received, _, closed := scriptedBackend(t)
			a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
			c, _ := dialAgent(t, base)
			next := "POST /order/u2 HTTP/1.1\r\nX: " + strings.Repeat("x", size)
			io.WriteString(c, requestText("first")+next[:1])
			receive(t, "the request", received)
			io.WriteString(c, next[1:][:size-1])
			c.Close()
			receive(t, "the attempt is canceled", closed)
			waitUntil(t, "the client's connection is released", func() bool { return a.clients.count() == 0 })
		})
	}
}

// The disconnect of a client is detected during its second request, of three pipelined ones.
func TestCanceledWithSeveralPipelinedRequests(t *testing.T) {
	addr, received, answer, closed := scriptedBackend(t)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, r := dialAgent(t, base)
	io.WriteString(c, requestText("first")+"P")
	receive(t, "the first request", received)
	pipelined := (requestText("second") + requestText("third"))[1:]
	io.WriteString(c, pipelined[:len(pipelined)-10])
	waitUntil(t, "the pipelined requests are read ahead", func() bool {
		a.clients.mu.Lock()
		defer a.clients.mu.Unlock()
		for c := range a.clients.conns {
			return c.readAhead.size >= len(pipelined)-11 // one byte may have been read with the first request
		}
		return false
	})
	answer <- okAnswer
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("response %v, error %v, want status 200", resp, err)
	}
	receive(t, "the second request", received)
	c.Close()
	receive(t, "the attempt is canceled", closed)
	waitUntil(t, "the client's connection is released", func() bool { return a.clients.count() == 0 })
}

// If a client disconnects after a failed attempt and before the retry, no further attempt begins.
func TestCanceledBeforeTheRetry(t *testing.T) {
	var addrs []string
	var received []chan string
	rejection := "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	answers := make([]chan string, 3)
	for i := range answers {
		addr, ids, answer, _ := scriptedBackend(t)
		addrs, received, answers[i] = append(addrs, addr), append(received, ids), answer
	}
	a, base, runLoop := agentWithStoppedLoop(t, testConfig(unreachableAddr, addrs...))
	s := newStallingHandler(a)
	runLoop()
	c, _ := dialAgent(t, base)
	io.WriteString(c, requestText("gone"))
	waitUntil(t, "the first attempt", func() bool { return len(received[0])+len(received[1])+len(received[2]) == 1 })
	// The loop is blocked while the backend rejects the attempt, and again after it has handled that outcome and
	// before it handles the client's disconnect.
	s.stall(a)
	receive(t, "the loop is blocked", s.stalled)
	for i := range answers {
		answers[i] <- rejection
	}
	waitUntil(t, "the outcome is queued for the loop", func() bool { return len(a.loop.events) > 0 })
	s.stall(a)
	c.Close()
	waitUntil(t, "the client's disconnect is queued for the loop", func() bool { return len(a.loop.events) > 2 })
	s.release <- struct{}{}
	receive(t, "the loop is blocked again", s.stalled)
	time.Sleep(100 * time.Millisecond) // long enough for a second attempt to arrive
	s.release <- struct{}{}
	waitUntil(t, "the client's connection is released", func() bool { return a.clients.count() == 0 })
	if n := len(received[0]) + len(received[1]) + len(received[2]); n != 1 {
		t.Fatalf("%d attempts for a disconnected client, want 1", n)
	}
}

// A client that closes only its sending direction counts as disconnected too: its request is canceled, and it
// must not receive a response that no backend sent.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	addr, received, _, closed := scriptedBackend(t)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, r := dialAgent(t, base)
	io.WriteString(c, requestText("half"))
	receive(t, "the request", received)
	c.(*net.TCPConn).CloseWrite()
	if text, err := io.ReadAll(r); err != nil || len(text) > 0 {
		t.Fatalf("read %q, error %v, want nothing", text, err)
	}
	receive(t, "the attempt is canceled", closed)
}

// Guards against attempts for a client that has left, whose end stands behind requests that the agent has not read yet:
// they wait in the client's own system while there is no room for them in the agent's.
func TestNoAttemptForClientThatLeftBehindUnreadRequests(t *testing.T) {
	const sentBytes = 400 << 10
	addr, received := countingBackend(t, http.StatusOK, false)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	setCapacity := func(capacity int) (before int) {
		a.clients.mu.Lock()
		defer a.clients.mu.Unlock()
		before, a.clients.capacity = a.clients.capacity, capacity
		return before
	}
	capacity := setCapacity(0) // the connection waits to be admitted
	c, _ := dialAgent(t, base)
	if _, err := io.WriteString(c, strings.Repeat(requestText("gone"), sentBytes/len(requestText("gone")))); err != nil {
		t.Fatal(err)
	}
	c.Close()
	time.Sleep(2 * minIdleBeforeEviction)
	setCapacity(capacity)
	if status, _, _ := send(t, newCall(base, "order")); status != http.StatusOK {
		t.Fatalf("answered %d", status)
	}
	waitUntil(t, "the client's connection is released", func() bool { return a.clients.countAt(connIdle) == a.clients.count() })
	for len(received) > 0 {
		if id := <-received; id == "gone" {
			t.Fatal("a request of a client that had left was forwarded")
		}
	}
}
