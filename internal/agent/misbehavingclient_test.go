package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// dialAgent connects to the agent without net/http.
func dialAgent(t *testing.T, base string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	// Longer than any timeout of the agent: a test that reaches it has failed.
	c.SetReadDeadline(time.Now().Add(time.Minute))
	return c, bufio.NewReader(c)
}

// A request whose length is ambiguous, so that two parsers could disagree on where it ends, is answered with
// an error, and no part of its body is taken for a request (request smuggling).
func TestAmbiguousLength(t *testing.T) {
	inner := "GET /look/u2 HTTP/1.1\r\nHost: x\r\nRequest-Id: inner\r\nRequest-Timeout: 30000m\r\n\r\n"
	postHead := "POST /order/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: outer\r\nRequest-Timeout: 30000m\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len("0\r\n\r\n"+inner))
	const coding = "Transfer-Encoding: chunked\r\n"
	for name, text := range map[string]string{
		"length first":    postHead + length + coding + "\r\n0\r\n\r\n" + inner,
		"coding first":    postHead + coding + length + "\r\n0\r\n\r\n" + inner,
		"other case":      postHead + strings.ToLower(length) + "TRANSFER-ENCODING: Chunked\r\n\r\n0\r\n\r\n" + inner,
		"another class":   strings.Replace(postHead, "/order/", "/nothing/", 1) + length + coding + "\r\n0\r\n\r\n" + inner,
		"ready":           "GET /ready HTTP/1.1\r\nHost: x\r\n" + length + coding + "\r\n0\r\n\r\n" + inner,
		"coding in 1.0":   strings.Replace(postHead, "1.1", "1.0", 1) + "Connection: keep-alive\r\n" + coding + "\r\n0\r\n\r\n" + inner,
		"two lengths":     postHead + "Content-Length: 0\r\n" + length + "\r\n" + inner,
		"two codings":     postHead + coding + coding + "\r\n0\r\n\r\n" + inner,
		"after a request": "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, received := countingBackend(t, 200, false)
			_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
			c, r := dialAgent(t, base)
			if name == "after a request" {
				io.WriteString(c, text)
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
					t.Fatalf("/ready: %v %v", resp, err)
				}
				text = postHead + length + coding + "\r\n0\r\n\r\n" + inner
			}
			io.WriteString(c, text)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode < 400 || resp.StatusCode > 501 {
				t.Fatalf("answered %v, %v", resp, err)
			}
			// A further response, if the connection is not closed, would be to the inner request.
			io.Copy(io.Discard, resp.Body)
			if more, err := http.ReadResponse(r, nil); err == nil {
				t.Fatalf("the request in the body was answered: %v", more)
			}
			if len(received) > 0 {
				t.Fatalf("%q reached a backend", <-received)
			}
		})
	}
}

// A chunked body is accepted like one with a Content-Length.
func TestChunkedRequest(t *testing.T) {
	addr, received := countingBackend(t, 200, false)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	req := newCall(base, "send")
	req.ContentLength = -1
	if status, body, _ := send(t, req); status != 200 || body != "done" || len(received) != 1 {
		t.Fatalf("got %d %q, %d requests at the backend", status, body, len(received))
	}
}

// A peer that sends no valid request, or stops in the middle of one, is soon disconnected and its
// connection slot is released.
func TestUnresponsivePeerIsClosed(t *testing.T) {
	const post = "POST /order/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\nRequest-Timeout: 30000m\r\n"
	for name, text := range map[string]string{
		"nothing":              "",
		"half a line":          "GET /look",
		"half a head":          post,
		"half a body":          post + "Content-Length: 9\r\n\r\nbody",
		"half a chunk":         post + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody",
		"half an unread body":  strings.Replace(post, "/order/", "/nothing/", 1) + "Content-Length: 9\r\n\r\nbody",
		"half of a ready body": "GET /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nbody",
		"unknown class":        strings.Replace(post, "/order/", "/nothing/", 1) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, received := countingBackend(t, 200, false)
			a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
			c, r := dialAgent(t, base)
			c.SetReadDeadline(time.Now().Add(20 * time.Second)) // less than the 30 s of Request-Timeout
			io.WriteString(c, text)
			if _, err := io.Copy(io.Discard, r); err != nil {
				t.Fatalf("the connection was not closed: %v", err)
			}
			if len(received) > 0 {
				t.Fatal("the request reached a backend")
			}
			waitUntil(t, "its slot is released", func() bool { return a.clients.count() == 0 })
		})
	}
}

// Idle connections are closed when nearly all slots for client connections are taken, so that some remain
// for requests.
func TestConnectionsAreClosedWhenNearlyFull(t *testing.T) {
	addr, _ := countingBackend(t, 200, false)
	config := testConfig(unreachableAddr, addr)
	config["limits"].(map[string]any)["sockets"] = minSockets
	a, base, _, _ := startAgent(t, config)
	closed := 0
	for range a.clients.capacity {
		c, r := dialAgent(t, base)
		io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("/ready: %v %v", resp, err)
		}
		if resp.Close {
			closed++
		}
	}
	if closed == 0 || closed == a.clients.capacity {
		t.Fatalf("%d of %d were told to close, want only those that found few free slots", closed, a.clients.capacity)
	}
	waitUntil(t, "idle connections release their slots", func() bool { return a.clients.count() == 0 })
	if status, _, _ := send(t, newCall(base, "order")); status != 200 {
		t.Fatalf("answered %d", status)
	}
}

// misbehavingHead is the head of a request without the final empty line.
const misbehavingHead = "POST /order/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: bad\r\nRequest-Timeout: 30000m\r\n"

// misbehaviors are the ways in which misbehaving clients use their connections.
var misbehaviors = []struct {
	name string
	act  func(c net.Conn)
}{
	{"silent", func(c net.Conn) {}},
	{"half a head", func(c net.Conn) { io.WriteString(c, misbehavingHead[:30]) }},
	{"half a body", func(c net.Conn) { io.WriteString(c, misbehavingHead+"Content-Length: 65536\r\n\r\nxx") }},
	{"a head without end", func(c net.Conn) { writeRepeatedly(c, "X: "+strings.Repeat("x", 1<<10)+"\r\n", 1<<10) }},
	{"disconnects within a request", func(c net.Conn) {
		io.WriteString(c, requestText("gone")+requestText("gone")[:40])
		c.Close()
	}},
	{"slow", writeSlowly},
}

// writeRepeatedly writes text count times, or until a write fails.
func writeRepeatedly(c net.Conn, text string, count int) {
	for range count {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// writeSlowly writes a head byte by byte, every 50 ms.
func writeSlowly(c net.Conn) {
	for _, b := range []byte(misbehavingHead) {
		if _, err := c.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkDisconnectsMisbehaving connects to the agent, runs act on the connection and checks that the agent
// closes it in time.
func checkDisconnectsMisbehaving(t *testing.T, base, name string, act func(c net.Conn)) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		return
	}
	defer c.Close()
	startedAt := time.Now()
	go act(c)
	c.SetReadDeadline(startedAt.Add(testTimeout))
	// The measured time includes the wait in the kernel's accept queue behind other connections.
	if _, err := io.Copy(io.Discard, c); err != nil && os.IsTimeout(err) {
		t.Errorf("%s: neither an error nor a close within %v", name, testTimeout)
	} else if took := time.Since(startedAt); took > 6*time.Second {
		t.Errorf("%s: disconnected after %v", name, took)
	}
}

// checkAnswersManyAtOnce sends many valid requests at once and checks that each is served or rejected, unless an answer
// announces the end of the connection, and that the connection then ends.
func checkAnswersManyAtOnce(t *testing.T, base string) {
	t.Helper()
	const count = 200
	c, r := dialAgent(t, base)
	c.SetReadDeadline(time.Now().Add(testTimeout))
	go writeRepeatedly(c, requestText("many"), count)
	for answered := range count {
		resp, err := http.ReadResponse(r, nil)
		if err != nil && answered == 0 && !os.IsTimeout(err) {
			return // evicted unread for a waiting connection: the client may send the requests again
		}
		if err != nil {
			t.Errorf("many requests at once: %v after %d answers, none of which announced it", err, answered)
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("many requests at once: answer %d: %d, %v", answered, resp.StatusCode, err)
		}
		if resp.Close {
			break
		}
	}
	if _, err := r.ReadByte(); os.IsTimeout(err) {
		t.Errorf("many requests at once: the connection did not end within %v", testTimeout)
	}
}

// checkServesWellBehaved sends a request on a new connection and checks that it is served in time.
func checkServesWellBehaved(t *testing.T, base string) {
	t.Helper()
	startedAt := time.Now()
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(newCall(base, "order"))
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("well-behaved client: %v, %v", resp, err)
	}
	resp.Body.Close()
	if took := time.Since(startedAt); took > 3*time.Second {
		t.Errorf("a well-behaved client waited %v", took)
	}
}

// heapInUse returns the bytes of the heap that are in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// With many misbehaving clients (silent, slow, huge, or disconnecting early), each of them is disconnected within 6 s
// (3 s plus the wait in the accept queue), a well-behaved one is served within 3 s, one that sends many valid requests
// at once is answered all that were read, and all resources are released.
func TestMisbehavingClientsAreContained(t *testing.T) {
	// Thousands of requests arrive; countingBackend would block, as nothing receives their identifiers.
	addr := respondingBackend(t, 200, false, func(string) {})
	config := testConfig(unreachableAddr, addr)
	config["limits"].(map[string]any)["sockets"] = 256
	config["settings"].(map[string]any)["membershipMode"] = "on_request"
	a, base, _, _ := startAgent(t, config)
	send(t, newCall(base, "order"))
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	waitUntil(t, "the agent has no connections", func() bool { return a.clients.count() == 0 })
	heapBefore, goroutines := heapInUse(), runtime.NumGoroutine()

	var misbehaving sync.WaitGroup
	for i := range 300 {
		m := misbehaviors[i%len(misbehaviors)]
		misbehaving.Go(func() { checkDisconnectsMisbehaving(t, base, m.name, m.act) })
		if i%len(misbehaviors) == 0 {
			misbehaving.Go(func() { checkAnswersManyAtOnce(t, base) })
		}
	}
	for range 20 {
		checkServesWellBehaved(t, base)
		time.Sleep(50 * time.Millisecond)
	}
	misbehaving.Wait()
	waitUntil(t, "their slots are released", func() bool { return a.clients.count() == 0 })
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	waitUntil(t, "their goroutines have ended", func() bool { return runtime.NumGoroutine() <= goroutines+5 })
	if grew := heapInUse() - heapBefore; grew > 4<<20 {
		t.Errorf("%d more bytes of the heap are in use than before", grew)
	}
}

// A client that is evicted while its request is still being read is sent a rejection: the request was not
// executed, and the client may send it again.
func TestEvictedSlowClientIsRejected(t *testing.T) {
	addr, _ := countingBackend(t, 200, false)
	config := testConfig(unreachableAddr, addr)
	config["limits"].(map[string]any)["sockets"] = minSockets
	a, base, _, _ := startAgent(t, config)
	text := requestText("slow")
	var slow []*bufio.Reader
	for range a.clients.capacity {
		c, r := dialAgent(t, base)
		slow = append(slow, r)
		io.WriteString(c, text[:len(text)-1])
	}
	waitUntil(t, "all requests are being read", func() bool { return a.clients.countAt(connReading) == a.clients.capacity })
	time.Sleep(minReadingBeforeEviction)
	if status, _, _ := send(t, newCall(base, "order")); status != 200 {
		t.Fatalf("answered %d", status)
	}
	for i, r := range slow {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("client %d of %d got no answer: %v", i, len(slow), err)
		}
		if resp.StatusCode < 400 {
			t.Fatalf("client %d got %d", i, resp.StatusCode)
		}
	}
}

// A request that arrives after many more connections than the agent can hold, most of which have stopped in
// the middle of a request head, is answered in time.
func TestRequestBehindManyIncompleteRequests(t *testing.T) {
	const sockets, idleClients, partialOf10, timeout = 160, 416, 9, 2500 * time.Millisecond
	addr, _ := countingBackend(t, http.StatusOK, false)
	config := testConfig(unreachableAddr, addr)
	config["limits"].(map[string]any)["sockets"] = sockets
	_, base, _, _ := startAgent(t, config)
	for i := range idleClients {
		c, _ := dialAgent(t, base)
		if i%10 < partialOf10 {
			io.WriteString(c, "GET /look/u1 HTTP/1.1\r\nHost: ")
		}
	}
	c, r := dialAgent(t, base)
	sent := time.Now()
	io.WriteString(c, strings.Replace(requestText("behind"), "30000m", "2500m", 1))
	c.SetReadDeadline(sent.Add(timeout + deadlineSlack))
	response, err := http.ReadResponse(r, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("after %v: %v, %v", time.Since(sent), response, err)
	}
}
