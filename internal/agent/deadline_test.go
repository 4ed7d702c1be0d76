package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// deadlineSlack is how much longer the timeout that a server receives may be than the client's remaining time.
// STANDING allows 0.15 s more for a process that is suspended, which does not occur in these tests.
const deadlineSlack = 50 * time.Millisecond

// observedTimeout is the timeout that a server received with a request, and the time of arrival.
type observedTimeout struct {
	id        string
	arrivedAt time.Time
	timeout   time.Duration
}

// timeoutBackend starts a backend that answers each request after the delay and reports the received timeout.
func timeoutBackend(t *testing.T, status int, delay time.Duration) (addr string, observed chan observedTimeout) {
	t.Helper()
	observed = make(chan observedTimeout, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d, err := parseTimeout(r.Header.Get("Request-Timeout"))
		if err != nil {
			t.Error(err)
		}
		observed <- observedTimeout{r.Header.Get("Request-Id"), time.Now(), d}
		time.Sleep(delay)
		w.WriteHeader(status)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), observed
}

// check compares the received timeout with the remaining time of the client, which sent its request with the
// timeout at the time sent.
func (o observedTimeout) check(t *testing.T, sent time.Time, timeout time.Duration) {
	t.Helper()
	if left := timeout - o.arrivedAt.Sub(sent); o.timeout > left+deadlineSlack {
		t.Errorf("%s: the server received a timeout of %v, the client had %v left", o.id, o.timeout, left)
	}
}

// timedRequest returns the bytes of a request with a timeout of timedRequestTimeout.
func timedRequest(id string) string {
	return strings.Replace(requestText(id), "30000m", "2000m", 1)
}

const timedRequestTimeout = 2 * time.Second // of timedRequest

// A slow connect counts against the timeout: the timeout for the server is computed when the request is written,
// for the first attempt and for a retry.
func TestDeadlineAfterSlowConnect(t *testing.T) {
	addr1, observed1 := timeoutBackend(t, http.StatusInternalServerError, 0)
	addr2, observed2 := timeoutBackend(t, http.StatusInternalServerError, 0)
	a, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr1, addr2))
	connect := a.loop.dialer.connect
	a.loop.dialer.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(400 * time.Millisecond)
		return connect(ctx, network, addr)
	}
	req := newCall(base, "look")
	req.Header.Set("Request-Timeout", "2000m")
	sent := time.Now()
	send(t, req)
	for range 2 {
		select {
		case observed := <-observed1:
			observed.check(t, sent, timedRequestTimeout)
		case observed := <-observed2:
			observed.check(t, sent, timedRequestTimeout)
		case <-time.After(testTimeout):
			t.Fatal("fewer than two attempts within testTimeout")
		}
	}
}

// The timeout of a request also runs while the request waits for an earlier one on the same connection, or while
// its connection waits for capacity.
func TestDeadlineOfWaitingRequests(t *testing.T) {
	t.Run("pipelined", testPipelinedRequestDeadline)
	t.Run("waiting for capacity", testQueuedConnectionDeadline)
}

// testPipelinedRequestDeadline sends two pipelined requests, in one write or in several.
func testPipelinedRequestDeadline(t *testing.T) {
	const responseDelay = 600 * time.Millisecond
	requests := timedRequest("first") + timedRequest("second")
	firstLen := len(timedRequest("first"))
	for name, cuts := range map[string][]int{
		"one write": nil, "first byte with the first request": {firstLen + 1}, "second request in one write": {firstLen},
		"second request in pieces": {firstLen + 1, firstLen + 30, firstLen + 60},
	} {
		t.Run(name, func(t *testing.T) {
			addr, observed := timeoutBackend(t, http.StatusOK, responseDelay)
			_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
			c, _ := dialAgent(t, base)
			offset, rest := 0, requests
			sent := time.Now()
			for _, cut := range cuts {
				io.WriteString(c, requests[offset:cut])
				time.Sleep(20 * time.Millisecond) // less than the response delay of the first request
				offset, rest = cut, requests[cut:]
			}
			io.WriteString(c, rest)
			lastSent := sent.Add(time.Duration(len(cuts)) * 20 * time.Millisecond)
			for _, sentAt := range []time.Time{sent, lastSent} {
				select {
				case got := <-observed:
					got.check(t, sentAt, timedRequestTimeout)
				case <-time.After(testTimeout):
					t.Fatal("a request did not arrive within testTimeout")
				}
			}
		})
	}
}

// The timeout of a pipelined request runs from its arrival, also if it waits for several others of which each is
// larger than one read of net/http.
func TestDeadlineBehindSeveralRequests(t *testing.T) {
	const responseDelay, queued = 400 * time.Millisecond, 3
	addr, observed := timeoutBackend(t, http.StatusOK, responseDelay)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, _ := dialAgent(t, base)
	sent := time.Now()
	padding := "\r\nX-Padding: " + strings.Repeat("p", 5<<10) + "\r\n"
	io.WriteString(c, timedRequest("first"))
	for i := range queued {
		io.WriteString(c, strings.Replace(timedRequest(fmt.Sprint("behind", i)), "\r\n", padding, 1))
	}
	for range 1 + queued {
		receive(t, "a request", observed).check(t, sent, timedRequestTimeout)
	}
}

// testQueuedConnectionDeadline sends a request while idle connections occupy the whole capacity.
func testQueuedConnectionDeadline(t *testing.T) {
	addr, observed := timeoutBackend(t, http.StatusOK, 0)
	config := testConfig(unreachableAddr, addr)
	config["limits"].(map[string]any)["sockets"] = minSockets
	a, base, _, _ := startAgent(t, config)
	for range a.clients.capacity { // nothing reads from these connections, so they end only by eviction
		local, _ := connPair(t)
		a.clients.admit(local, nil)
	}
	c, _ := dialAgent(t, base)
	sent := time.Now()
	io.WriteString(c, timedRequest("waits"))
	got := receive(t, "the request", observed)
	if got.arrivedAt.Sub(sent) < minUnusedBeforeEviction/2 {
		t.Fatalf("the request waited only %v", got.arrivedAt.Sub(sent))
	}
	got.check(t, sent, timedRequestTimeout)
}

// The timeout of a request on an idle connection runs from the arrival of the request, not from when the connection
// was opened or became idle.
func TestDeadlineAfterIdleTime(t *testing.T) {
	addr, observed := timeoutBackend(t, http.StatusOK, 0)
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	c, r := dialAgent(t, base)
	for i := range 2 {
		time.Sleep(300 * time.Millisecond)
		io.WriteString(c, timedRequest(fmt.Sprint(i)))
		if got := receive(t, "the request", observed); got.timeout < timedRequestTimeout-100*time.Millisecond {
			t.Errorf("request %d: the server received a timeout of %v, the client sent %v", i, got.timeout, timedRequestTimeout)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
