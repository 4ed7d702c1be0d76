package agent

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// hangingBackend reads requests and never answers them.
func hangingBackend(t *testing.T) string {
	t.Helper()
	return rawBackend(t, func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
}

// Guards against a shutdown that ends before the deadline of a request that it has accepted: a request that arrives
// after connections are no longer accepted, with all of its class's time, gets its answer at its deadline.
func TestShutdownAnswersRequestReadLate(t *testing.T) {
	const deadlineMs = 700
	config := testConfig(unreachableAddr, hangingBackend(t))
	for _, class := range config["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["giveUpMs"] = deadlineMs
	}
	_, base, stop, done := startAgent(t, config)
	stop()
	stoppedAt := time.Now()
	time.Sleep(shutdownAcceptPeriod * 9 / 10)
	c, r := dialAgent(t, base)
	time.Sleep(time.Until(stoppedAt.Add(shutdownAcceptPeriod + minUnusedBeforeEviction*6/10)))
	fmt.Fprintf(c, "GET /look/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\nRequest-Timeout: %dm\r\n\r\n", deadlineMs)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("a request read during the shutdown got no answer: %v", err)
	}
	if resp.StatusCode < http.StatusInternalServerError || !resp.Close {
		t.Errorf("answered %d, close %v, want a failure and a close", resp.StatusCode, resp.Close)
	}
	c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a shutdown that drops requests which were read together with the one in flight: all of them are
// answered, and only the last answer announces the end of the connection.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	const count = 4
	var requests []pipelinedRequest
	for i := range count {
		requests = append(requests, newPipelinedRequest(i, bytes.Repeat([]byte("b"), 6000*(i%2)), 0))
	}
	a, b, stop, c, r := startPipelineToStop(t, 300*time.Millisecond)
	for _, request := range requests {
		if _, err := io.WriteString(c, request.text); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "the first request is forwarded", func() bool { return len(b.ids()) == 1 })
	stop()
	waitUntil(t, "the agent shuts down", a.draining.Load)
	if answered := readPipelinedAnswers(t, r, requests); answered != count {
		t.Errorf("%d of %d requests that were read before the shutdown were answered", answered, count)
	}
	checkForwarded(t, b, requests, count)
}

// Guards against a shutdown without end: a client that always has requests outstanding is answered all that were
// read, and its connection ends.
func TestShutdownEndsConnectionThatSendsAhead(t *testing.T) {
	const outstanding, answeredBefore = 5, 10
	_, b, stop, c, r := startPipelineToStop(t, 0)
	sent := 0
	send := func() error {
		_, err := io.WriteString(c, newPipelinedRequest(sent, nil, 0).text)
		sent++
		return err
	}
	for range outstanding {
		if err := send(); err != nil {
			t.Fatal(err)
		}
	}
	for answered := 1; ; answered++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("after %d answers: %v", answered, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("answer %d: %d, %v", answered, resp.StatusCode, err)
		}
		if answered == answeredBefore {
			stop()
		}
		if resp.Close {
			if forwarded := len(b.ids()); forwarded != answered || answered <= answeredBefore {
				t.Errorf("%d requests were answered and %d forwarded", answered, forwarded)
			}
			return
		}
		_ = send() // fails once the agent has ended the connection
	}
}

// Guards against requests that are dropped when connections are short: those that were read ahead are rejected before
// the connection ends.
func TestNearlyFullAgentAnswersPipelinedRequests(t *testing.T) {
	const count = 3
	var requests []pipelinedRequest
	for i := range count {
		requests = append(requests, newPipelinedRequest(i, nil, 0))
	}
	a, b, _, c, r := startPipelineToStop(t, 200*time.Millisecond)
	for _, request := range requests {
		if _, err := io.WriteString(c, request.text); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "the first request is forwarded", func() bool { return len(b.ids()) == 1 })
	a.clients.mu.Lock()
	a.clients.capacity = 1
	a.clients.mu.Unlock()
	for i := range count {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		want := http.StatusServiceUnavailable
		if i == 0 {
			want = http.StatusOK
		}
		if last := i == count-1; resp.StatusCode != want || resp.Close != last {
			t.Errorf("answer %d: %d, close %v", i, resp.StatusCode, resp.Close)
		}
	}
	checkForwarded(t, b, requests, 1)
}
