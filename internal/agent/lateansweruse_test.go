package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"knotrouter/policy"
)

const (
	// A second answer is sent between minAnswerLateness and maxAnswerLateness after the first.
	minAnswerLateness, maxAnswerLateness = time.Millisecond, 8 * time.Millisecond
	// serviceTime is how long the backends take for a request: its own answer arrives that long after a second
	// answer that was sent as soon as the request arrived.
	serviceTime = 20 * time.Millisecond
	// secondLoadReport and secondNotStarted are second answers.
	secondLoadReport = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nTEXT util=0.9"
	secondNotStarted = "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
)

// writeSecondAnswer writes a second answer as soon as the next request on the connection has begun, within the
// bounds of its lateness, so that whether the two cross on the wire does not depend on a timer of the test. It
// writes nothing if the test was stalled for longer than maxSecondAnswerDelay.
func writeSecondAnswer(c net.Conn, r *bufio.Reader, text string) {
	answered := time.Now()
	time.Sleep(minAnswerLateness)
	c.SetReadDeadline(time.Now().Add(maxAnswerLateness - minAnswerLateness))
	r.Peek(1)
	c.SetReadDeadline(time.Time{})
	if time.Since(answered) <= maxSecondAnswerDelay {
		io.WriteString(c, text)
	}
}

// A second answer that says "not started" is not taken for the answer to the next request on its connection:
// a request that must not be repeated would be retried although it was executed.
func TestLateNotStartedCausesNoDuplicate(t *testing.T) {
	var mu sync.Mutex
	executions := map[string]int{}
	serve := func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := readRequest(r)
			if err != nil {
				return
			}
			mu.Lock()
			executions[request.Header.Get("Request-Id")]++
			mu.Unlock()
			time.Sleep(serviceTime)
			io.WriteString(c, okAnswer)
			writeSecondAnswer(c, r, secondNotStarted)
		}
	}
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, rawBackend(t, serve), rawBackend(t, serve)))
	for i := range 2 {
		call := newCall(base, "order")
		call.Header.Set("Request-Id", fmt.Sprint("id", i))
		send(t, call)
	}
	mu.Lock()
	defer mu.Unlock()
	for id, count := range executions {
		if count > 1 {
			t.Errorf("request %s was executed %d times", id, count)
		}
	}
}

// A second answer to a request is not taken for the result of a health check that follows on its connection:
// a server that fails its checks would be used again.
func TestLateAnswerIsNoHealthCheckResult(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		request, err := readRequest(r)
		if err != nil || request.URL.Path == "/status/load" || request.URL.Path == "/health" {
			return // fails the check: closes without an answer
		}
		io.WriteString(c, okAnswer)
		writeSecondAnswer(c, r, secondLoadReport)
		readRequest(r)
	})
	l := offlineLoop(t, addr)
	b := l.backends[policyAddr("s-0")]
	if res := newAttempt(b.transport, addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
		t.Fatalf("the request ended with status %d: %v", res.status, res.err)
	}
	l.actions = []policy.Action{{Kind: policy.ActProbe, Server: b.addr, ReuseDelayMs: testReuseDelayMs}}
	l.executeActions()
	if e := <-l.events; e.result.status == policy.OK {
		t.Fatalf("a health check without an answer succeeded with %q", e.result.body)
	}
}

// A second answer to a health check is not served to the client of the next request on its connection.
func TestLateHealthCheckAnswerIsNotServed(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := readRequest(r)
			if err != nil {
				return
			}
			if request.Header.Get("Request-Id") != "" {
				time.Sleep(serviceTime)
				io.WriteString(c, okAnswer)
				continue
			}
			io.WriteString(c, secondLoadReport)
			writeSecondAnswer(c, r, secondLoadReport)
		}
	})
	l := offlineLoop(t, addr)
	b := l.backends[policyAddr("s-0")]
	l.actions = []policy.Action{{Kind: policy.ActProbe, Server: b.addr, ReuseDelayMs: testReuseDelayMs}}
	l.executeActions()
	if e := <-l.events; e.result.status != policy.OK {
		t.Fatalf("the health check ended with status %d: %v", e.result.status, e.result.err)
	}
	res := newAttempt(b.transport, addr, http.MethodPost, noTimeout).run()
	if res.status == policy.OK && string(res.body) != "done" {
		t.Fatalf("the request was answered with the load report %q", res.body)
	}
}
