package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"knotrouter/policy"
)

// Tests of what ends in the very moment in which something is still owed. Each crossing is
// forced: by a loop that does not run yet, a connect that is held, an answer kept back.

// testTimeout limits the waits of these tests.
const testTimeout = 20 * time.Second

// receive returns the next value of c, which must arrive within testTimeout.
func receive[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("%s: nothing within %v", what, testTimeout)
	}
	return v
}

// waitUntil polls until done, for testTimeout at most.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

// requestText returns a request as the bytes on the wire.
func requestText(id string) string {
	return "POST /order/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Timeout: 30000m\r\nContent-Length: 4\r\n\r\nbody"
}

// agentWithStoppedLoop serves an agent whose loop starts when run is called.
func agentWithStoppedLoop(t *testing.T, config map[string]any) (a *Agent, baseURL string, run func()) {
	t.Helper()
	a, err := New(parseConfig(t, config), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	a.loop.unwatched()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go a.server.Serve(&listener{Listener: ln, clients: a.clients})
	t.Cleanup(func() {
		a.clients.abort()
		a.server.Close()
		a.stop()
	})
	return a, "http://" + ln.Addr().String(), func() { go a.loop.run() }
}

// scriptedBackend returns a backend that writes a response only when it is given one. It reports
// the requests that it receives, and connections that close without a response.
func scriptedBackend(t *testing.T) (addr string, received chan string, answer chan string, closed chan struct{}) {
	t.Helper()
	received, answer, closed = make(chan string, 100), make(chan string, 100), make(chan struct{}, 100)
	addr = rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			received <- req.Header.Get("Request-Id")
			ended := make(chan struct{})
			go func() {
				r.Peek(1)
				close(ended)
			}()
			select {
			case text := <-answer:
				io.WriteString(c, text)
				<-ended // the next request begins, or the end
			case <-ended:
				closed <- struct{}{}
				return
			case <-time.After(testTimeout):
				return
			}
		}
	})
	return addr, received, answer, closed
}

// stallingLog is a log that blocks whoever logs a failover, which stops the loop as often as stall
// is called.
type stallingLog struct{ stalled, release chan struct{} }

func newStallingLog(a *Agent) stallingLog {
	s := stallingLog{stalled: make(chan struct{}, 10), release: make(chan struct{}, 10)}
	a.loop.log = slog.New(s)
	return s
}

func (s stallingLog) stall(a *Agent) {
	a.loop.post(event{kind: eventFailover, source: a.loop.discovery})
}

func (s stallingLog) Enabled(context.Context, slog.Level) bool { return true }
func (s stallingLog) WithAttrs([]slog.Attr) slog.Handler       { return s }
func (s stallingLog) WithGroup(string) slog.Handler            { return s }
func (s stallingLog) Handle(_ context.Context, r slog.Record) error {
	if strings.HasPrefix(r.Message, "discovery: failed over") {
		s.stalled <- struct{}{}
		<-s.release
	}
	return nil
}

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
	a, base, run := agentWithStoppedLoop(t, testConfig(unreachableAddr, addrs...))
	s := newStallingLog(a)
	const many = 20
	conns := []net.Conn{}
	for i := range many {
		c, _ := dialAgent(t, base)
		io.WriteString(c, requestText(fmt.Sprint("gone", i)))
		conns = append(conns, c)
	}
	waitUntil(t, "all wait for the loop", func() bool { return len(a.loop.events) == many })
	s.stall(a) // behind the requests, and before what is told of their clients
	for _, c := range conns {
		c.Close()
	}
	waitUntil(t, "their ends wait", func() bool { return len(a.loop.events) > many+1 })
	run()
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
	read := make(chan int64, 1)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		read <- n
	})
	a, base, run := agentWithStoppedLoop(t, testConfig(unreachableAddr, addr))
	connect := a.loop.dialer.connect
	dialing, proceed := make(chan struct{}), make(chan struct{})
	a.loop.dialer.connect = func(_ context.Context, network, addr string) (net.Conn, error) {
		close(dialing)
		<-proceed
		return connect(context.Background(), network, addr) // it came up in spite of its end
	}
	run()
	c, _ := dialAgent(t, base)
	io.WriteString(c, requestText("gone"))
	receive(t, "the dial", dialing)
	c.Close()
	close(proceed)
	if n := receive(t, "the backend's connection ends", read); n != 0 {
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
	near, far := connPair(t)
	a := newAttempt(tr, addr, http.MethodPost, noTimeout)
	a.req.client = newClientConns(1).admit(near, nil)
	far.Close()
	waitUntil(t, "its end is there", a.req.client.disconnected)
	if res := a.run(); res.status != policy.Withdrawn {
		t.Fatalf("ended %d, want as never begun and nobody to blame", res.status)
	}
	if a.conn.Load() == nil {
		t.Fatal("it never got as far as a connection")
	}
}

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if far, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if near, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// The disconnect of a client that has sent a part of a next request is detected, whether that part
// arrived before or after its request was accepted, and however long it is.
func TestCanceledBehindAPipelinedRequest(t *testing.T) {
	for _, size := range []int{1, 50, maxReadAheadBuf + 1, 200 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			addr, received, _, cut := scriptedBackend(t)
			a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
			c, _ := dialAgent(t, base)
			behind := "POST /order/u2 HTTP/1.1\r\nX: " + strings.Repeat("x", size)
			io.WriteString(c, requestText("first")+behind[:1])
			receive(t, "the request", received)
			io.WriteString(c, behind[1:][:size-1])
			c.Close()
			receive(t, "the attempt is given up", cut)
			waitUntil(t, "its place is given back", func() bool { return a.clients.count() == 0 })
		})
	}
}

// The same with several pipelined requests, of which the client disconnects during the second.
func TestCanceledBehindPipelinedRequests(t *testing.T) {
	addr, received, answer, cut := scriptedBackend(t)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, r := dialAgent(t, base)
	io.WriteString(c, requestText("first")+"P")
	receive(t, "the first", received)
	rest := (requestText("second") + requestText("third"))[1:]
	io.WriteString(c, rest[:len(rest)-10])
	waitUntil(t, "it is read ahead", func() bool {
		a.clients.mu.Lock()
		defer a.clients.mu.Unlock()
		for c := range a.clients.conns {
			return len(c.readAheadBuf) >= len(rest)-11 // one may have come with the first
		}
		return false
	})
	answer <- okAnswer
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("got %v, %v", resp, err)
	}
	receive(t, "the second", received)
	c.Close()
	receive(t, "the attempt is given up", cut)
	waitUntil(t, "its place is given back", func() bool { return a.clients.count() == 0 })
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

// If a client disconnects between a failed attempt and the next, no further attempt begins.
func TestCanceledBeforeTheRetry(t *testing.T) {
	var addrs []string
	var all []chan string
	turnedAway := "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	answers := make([]chan string, 3)
	for i := range answers {
		addr, received, answer, _ := scriptedBackend(t)
		addrs, all, answers[i] = append(addrs, addr), append(all, received), answer
	}
	a, base, run := agentWithStoppedLoop(t, testConfig(unreachableAddr, addrs...))
	s := newStallingLog(a)
	run()
	c, _ := dialAgent(t, base)
	io.WriteString(c, requestText("gone"))
	waitUntil(t, "the first attempt", func() bool { return len(all[0])+len(all[1])+len(all[2]) == 1 })
	// The loop stands still while the attempt is turned away, and again once it has heard of
	// that, before it hears of the client.
	s.stall(a)
	receive(t, "the loop stands", s.stalled)
	for i := range answers {
		answers[i] <- turnedAway
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
	if n := len(all[0]) + len(all[1]) + len(all[2]); n != 1 {
		t.Fatalf("%d attempts of a client that had gone", n)
	}
}

// A client that ends only its sending counts as disconnected too, and must not read a response that
// no backend sent.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	addr, received, _, cut := scriptedBackend(t)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, r := dialAgent(t, base)
	io.WriteString(c, requestText("half"))
	receive(t, "the request", received)
	c.(*net.TCPConn).CloseWrite()
	if text, err := io.ReadAll(r); err != nil || len(text) > 0 {
		t.Fatalf("read %q, %v", text, err)
	}
	receive(t, "the attempt is given up", cut)
}

// A request that arrives while its connection is closed is never forwarded, and the previous
// response is read completely, followed by an end and not by a reset.
func TestRequestDuringCloseIsNotForwarded(t *testing.T) {
	for name, kind := range map[string]func(a *Agent, stop func()){
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
				kind(a, stop)
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
	near, far := connPair(t)
	cc := a.clients.admit(near, nil)
	a.clients.mu.Lock()
	cc.halfClose()
	a.clients.mu.Unlock()
	if cc.acceptRequest() {
		t.Fatal("a request is taken on a connection that is being closed")
	}
	io.WriteString(far, requestText("third"))
	far.Close()
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
	near, far := connPair(t)
	c := newClientConns(1).admit(near, nil)
	io.WriteString(far, "xy")
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil { // as the HTTP server does beside a request
		t.Fatal(n, err)
	}
	if !c.acceptRequest() {
		t.Fatal("not taken")
	}
	far.Close()
	receive(t, "the client is seen to go", c.canceled)
	c.Close()
}

// Idle clients that occupy all places are evicted at once for one with a request, whether they have
// sent a request before or not.
func TestIdleClientsAreEvicted(t *testing.T) {
	for _, requests := range []bool{true, false} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			addr, received := countingBackend(t, 200, false)
			config := testConfig(unreachableAddr, addr)
			config["limits"].(map[string]any)["sockets"] = minSockets
			a, base, _, _ := startAgent(t, config)
			for range a.clients.capacity { // nobody reads from these: they don't end by themselves
				near, _ := connPair(t)
				c := a.clients.admit(near, nil)
				a.clients.mu.Lock()
				c.answered, c.stageSince = requests, time.Now().Add(-minUnusedBeforeEviction)
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
