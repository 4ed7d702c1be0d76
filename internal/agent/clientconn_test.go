package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (local, peer net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if peer, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if local, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { local.Close(); peer.Close() })
	return local, peer
}

// What is read ahead behind a request is not lost to the next one.
func TestPipelinedRequestIsAnswered(t *testing.T) {
	addr, received, answer, _ := scriptedBackend(t)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, r := dialAgent(t, base)
	second := requestText("second")
	io.WriteString(c, requestText("first")+second[:1])
	receive(t, "the first", received)
	io.WriteString(c, second[1:20])
	time.Sleep(5 * time.Millisecond) // some of it is read ahead, whatever part
	io.WriteString(c, second[20:])
	for range 2 {
		answer <- okAnswer
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("got %v, %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	if id := receive(t, "the second", received); id != "second" {
		t.Fatalf("got %q", id)
	}
}

// A request that arrives while its connection is closed is never forwarded, and the previous
// response is read completely, followed by an end and not by a reset.
func TestRequestDuringCloseIsNotForwarded(t *testing.T) {
	for name, beginClose := range map[string]func(a *Agent, stop func()){
		"shutdown": func(a *Agent, stop func()) { stop() },
		"drain":    func(a *Agent, stop func()) { a.clients.drain() },
	} {
		for _, size := range []int{10, len(requestText("late")), 1 << 20} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				addr, received := countingBackend(t, 200, false)
				a, base, stop, ended := startAgent(t, testConfig(unreachableAddr, addr))
				c, r := dialAgent(t, base)
				io.WriteString(c, requestText("first"))
				receive(t, "the first", received)
				waitUntil(t, "it rests", func() bool { return a.clients.countAt(connIdle) == 1 })
				beginClose(a, stop)
				waitUntil(t, "the close has begun", func() bool { return a.clients.countAt(connClosing) == 1 })
				late := requestText("late") + strings.Repeat("x", 1<<20)
				c.SetWriteDeadline(time.Now().Add(testTimeout))
				go io.WriteString(c, late[:size])
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != 200 {
					t.Fatalf("the answer before: %v, %v", resp, err)
				}
				if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "done" {
					t.Fatalf("the answer before: %q, %v", body, err)
				}
				// More than is lingered for may be cut off by a reset.
				if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil && size < maxLingerBytes {
					t.Fatalf("behind it: %q, %v", rest, err)
				}
				// The client stays: else it had gone before its request could be sent on.
				waitUntil(t, "its place is given back", func() bool { return a.clients.count() == 0 })
				if len(received) > 0 {
					t.Fatalf("%q was sent on", <-received)
				}
				if name == "shutdown" {
					if err := receive(t, "the end", ended); err != nil {
						t.Fatal(err)
					}
				}
			})
		}
	}
}

// countAt returns the number of connections at a stage.
func (cs *clientConns) countAt(s connStage) (n int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.conns {
		if c.stage == s {
			n++
		}
	}
	return n
}

// A request that was read in the instant in which the close of its connection began is not
// accepted; a request that was accepted first is answered before the close.
func TestRequestIsAcceptedOrConnectionClosed(t *testing.T) {
	addr, received, answer, _ := scriptedBackend(t)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, r := dialAgent(t, base)
	io.WriteString(c, requestText("first"))
	receive(t, "it is sent on", received)
	a.clients.drain() // while it is out
	answer <- okAnswer
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("answered %v, %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("behind the answer: %v, want an end", err)
	}

	// The other order: the bytes have been read by the server, the handler comes next.
	c2, r2 := dialAgent(t, base)
	a.clients.mu.Lock()
	io.WriteString(c2, requestText("second"))
	a.clients.mu.Unlock()
	receive(t, "it is sent on", received)
	answer <- okAnswer
	if resp, err := http.ReadResponse(r2, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("answered %v, %v", resp, err)
	}
	local, peer := connPair(t)
	cc := a.clients.admit(local, nil)
	a.clients.mu.Lock()
	cc.halfClose()
	a.clients.mu.Unlock()
	if cc.acceptRequest() {
		t.Fatal("a request is taken on a connection that is being closed")
	}
	io.WriteString(peer, requestText("third"))
	peer.Close()
	if n, err := cc.Read(make([]byte, 100)); n != 0 || err == nil {
		t.Fatalf("%d bytes were read behind the close, %v", n, err)
	}
	cc.Close()
}

// A response followed by a close arrives completely even if its client reads slowly and sends more:
// closing before those bytes arrive would reset the connection and lose what the kernel still
// holds.
func TestNoResetAfterResponse(t *testing.T) {
	addr, received, answer, _ := scriptedBackend(t)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	c, err := d.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, requestText("first"))
	receive(t, "it is sent on", received)
	a.draining.Store(true) // its answer says that the connection ends
	body := strings.Repeat("y", maxBodyBytes)
	answer <- fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	r := bufio.NewReaderSize(c, 16)
	if _, err := r.Peek(1); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "it is closed", func() bool { return a.clients.countAt(connActive) == 0 })
	io.WriteString(c, requestText("behind"))
	time.Sleep(20 * time.Millisecond)
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Fatalf("answered %v, %v", resp, err)
	}
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
		t.Fatalf("read %d bytes of the answer, %v", len(got), err)
	}
	if len(received) > 0 {
		t.Fatalf("%q was sent on", <-received)
	}
}

// Bytes that arrived behind a request before it was accepted start the read-ahead too.
func TestReadAheadOfEarlierBytes(t *testing.T) {
	local, peer := connPair(t)
	c := newClientConns(1).admit(local, nil)
	io.WriteString(peer, "xy")
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil { // as the HTTP server does beside a request
		t.Fatal(n, err)
	}
	if !c.acceptRequest() {
		t.Fatal("not taken")
	}
	peer.Close()
	receive(t, "the client is seen to go", c.canceled)
	c.Close()
}

// Idle clients that occupy all places are evicted at once for one with a request, whether they have
// sent a request before or not.
func TestIdleClientsAreEvicted(t *testing.T) {
	for _, usedBefore := range []bool{true, false} {
		t.Run(fmt.Sprint(usedBefore), func(t *testing.T) {
			addr, received := countingBackend(t, 200, false)
			config := testConfig(unreachableAddr, addr)
			config["limits"].(map[string]any)["sockets"] = minSockets
			a, base, _, _ := startAgent(t, config)
			for range a.clients.capacity { // nobody reads from these: they don't end by themselves
				local, _ := connPair(t)
				c := a.clients.admit(local, nil)
				a.clients.mu.Lock()
				c.answered, c.stageSince = usedBefore, time.Now().Add(-minUnusedBeforeEviction)
				a.clients.mu.Unlock()
			}
			startedAt := time.Now()
			for i := range 2 * a.clients.capacity {
				if status, _, _ := send(t, newCall(base, "order")); status != 200 {
					t.Fatalf("request %d: answered %d", i, status)
				}
				receive(t, "the request", received)
				http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			}
			if took := time.Since(startedAt); took > testTimeout/2 {
				t.Fatalf("took %v", took)
			}
			if n := a.clients.count(); n > a.clients.capacity {
				t.Fatalf("%d connections, %d places", n, a.clients.capacity)
			}
		})
	}
}
