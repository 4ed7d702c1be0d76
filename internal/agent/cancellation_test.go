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

// The tests of this file cancel a request while another step of it is under way. Each race is forced:
// by a loop that does not run yet, a connect that does not end, or a response that is kept back.

// The request of a client that disconnected while it was queued is not forwarded, however far the
// loop is behind: many clients disconnect here before the loop has handled any of their requests.
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
	waitUntil(t, "all wait for the loop", func() bool { return len(a.loop.events) == requests })
	s.stall(a) // behind the requests, and before what is told of their clients
	for _, c := range conns {
		c.Close()
	}
	waitUntil(t, "their ends wait", func() bool { return len(a.loop.events) > requests+1 })
	runLoop()
	receive(t, "the loop stands", s.stalled)
	time.Sleep(100 * time.Millisecond) // in which what it sent on would arrive
	s.release <- struct{}{}
	if status, _, _ := send(t, newCall(base, "order")); status != 200 {
		t.Fatalf("answered %d", status)
	}
	if id := receive(t, "the one that stayed", received); id != "id1" || len(received) > 0 {
		t.Fatalf("%q and %d more were sent on", id, len(received))
	}
	waitUntil(t, "their places are given back", func() bool { return a.clients.count() <= 1 })
}

// The request of a client that disconnects during the connect to its backend is not forwarded, even
// though the loop has not been notified.
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
		return connect(context.Background(), network, addr) // it came up in spite of its end
	}
	runLoop()
	c, _ := dialAgent(t, base)
	io.WriteString(c, requestText("gone"))
	receive(t, "the dial", dialing)
	c.Close()
	close(proceed)
	if n := receive(t, "the backend's connection ends", bytesRead); n != 0 {
		t.Fatalf("the backend got %d bytes for a client that had gone", n)
	}
}

// The client's connection is checked right before the first byte, also between the checkout of a
// kept connection and that byte, and also if its end is queued unread behind the request.
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
		t.Fatalf("ended %d", res.status)
	}
	local, peer := connPair(t)
	a := newAttempt(tr, addr, http.MethodPost, noTimeout)
	a.req.client = newClientConns(1).admit(local, nil)
	peer.Close()
	waitUntil(t, "its end is there", a.req.client.disconnected)
	if res := a.run(); res.status != policy.Withdrawn {
		t.Fatalf("ended %d, want as never begun and nobody to blame", res.status)
	}
	if a.conn.Load() == nil {
		t.Fatal("it never got as far as a connection")
	}
}

// The disconnect of a client that has sent a part of a next request is detected, whether that part
// arrived before or after its request was accepted, and however long it is.
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
			receive(t, "the attempt is given up", closed)
			waitUntil(t, "its place is given back", func() bool { return a.clients.count() == 0 })
		})
	}
}

// The same with several pipelined requests, of which the client disconnects during the second.
func TestCanceledWithSeveralPipelinedRequests(t *testing.T) {
	addr, received, answer, closed := scriptedBackend(t)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, r := dialAgent(t, base)
	io.WriteString(c, requestText("first")+"P")
	receive(t, "the first", received)
	pipelined := (requestText("second") + requestText("third"))[1:]
	io.WriteString(c, pipelined[:len(pipelined)-10])
	waitUntil(t, "it is read ahead", func() bool {
		a.clients.mu.Lock()
		defer a.clients.mu.Unlock()
		for c := range a.clients.conns {
			return c.readAhead.size >= len(pipelined)-11 // one may have come with the first
		}
		return false
	})
	answer <- okAnswer
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("got %v, %v", resp, err)
	}
	receive(t, "the second", received)
	c.Close()
	receive(t, "the attempt is given up", closed)
	waitUntil(t, "its place is given back", func() bool { return a.clients.count() == 0 })
}

// If a client disconnects between a failed attempt and the next, no further attempt begins.
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
	// The loop stands still while the attempt is turned away, and again once it has heard of
	// that, before it hears of the client.
	s.stall(a)
	receive(t, "the loop stands", s.stalled)
	for i := range answers {
		answers[i] <- rejection
	}
	waitUntil(t, "the outcome waits", func() bool { return len(a.loop.events) > 0 })
	s.stall(a)
	c.Close()
	waitUntil(t, "the client's end waits", func() bool { return len(a.loop.events) > 2 })
	s.release <- struct{}{}
	receive(t, "the loop stands again", s.stalled)
	time.Sleep(100 * time.Millisecond) // in which a second attempt would arrive
	s.release <- struct{}{}
	waitUntil(t, "the place is given back", func() bool { return a.clients.count() == 0 })
	if n := len(received[0]) + len(received[1]) + len(received[2]); n != 1 {
		t.Fatalf("%d attempts of a client that had gone", n)
	}
}

// A client that ends only its sending counts as disconnected too, and must not read a response that
// no backend sent.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	addr, received, _, closed := scriptedBackend(t)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, r := dialAgent(t, base)
	io.WriteString(c, requestText("half"))
	receive(t, "the request", received)
	c.(*net.TCPConn).CloseWrite()
	if text, err := io.ReadAll(r); err != nil || len(text) > 0 {
		t.Fatalf("read %q, %v", text, err)
	}
	receive(t, "the attempt is given up", closed)
}
