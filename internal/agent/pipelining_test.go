package agent

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// pipelineBackend answers each request with a digest of it, and the first one only after firstDelay.
type pipelineBackend struct {
	firstDelay time.Duration
	mu         sync.Mutex
	received   []string // Request-Id of each request
}

// ServeHTTP answers one request.
func (b *pipelineBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	first := len(b.received) == 0
	b.received = append(b.received, r.Header.Get("Request-Id"))
	b.mu.Unlock()
	if first {
		time.Sleep(b.firstDelay)
	}
	io.WriteString(w, digest(r.Method, r.RequestURI, r.Header.Get("Request-Id"), body))
}

// ids returns the identifiers of the requests that were received.
func (b *pipelineBackend) ids() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.received...)
}

// digest returns a text that identifies a request and its body.
func digest(method, target, id string, body []byte) string {
	sum := fnv.New64a()
	sum.Write(body)
	return fmt.Sprintf("%s %s %s %d %x", method, target, id, len(body), sum.Sum64())
}

// pipelinedRequest is one request as it is sent, and the expected body of its answer.
type pipelinedRequest struct {
	text, id, want string
}

// newPipelinedRequest returns a POST request with the body, or a GET request if body is nil, with a header
// field whose value has padding bytes.
func newPipelinedRequest(i int, body []byte, padding int) pipelinedRequest {
	id, target, method := fmt.Sprint("id", i), fmt.Sprint("/order/u", i), http.MethodPost
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if body == nil {
		target, method, length = fmt.Sprint("/look/u", i), http.MethodGet, ""
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Timeout: 30000m\r\nX-Padding: %s\r\n%s\r\n%s",
		method, target, id, strings.Repeat("p", padding), length, body)
	return pipelinedRequest{text: text, id: id, want: digest(method, target, id, body)}
}

// startPipeline starts an agent with a backend whose first answer takes firstDelay, and connects to the agent.
func startPipeline(t *testing.T, firstDelay time.Duration) (a *Agent, b *pipelineBackend, c net.Conn, r *bufio.Reader) {
	t.Helper()
	a, b, _, c, r = startPipelineToStop(t, firstDelay)
	return a, b, c, r
}

// startPipelineToStop is startPipeline for a test that shuts the agent down with stop.
func startPipelineToStop(t *testing.T, firstDelay time.Duration) (a *Agent, b *pipelineBackend, stop func(), c net.Conn, r *bufio.Reader) {
	t.Helper()
	b = &pipelineBackend{firstDelay: firstDelay}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: b}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	a, base, stop, _ := startAgent(t, testConfig(unreachableAddr, ln.Addr().String()))
	c, r = dialAgent(t, base)
	return a, b, stop, c, r
}

// readPipelinedAnswers reads the answers to requests until one announces the close of the connection. It
// fails the test if an answer is not the expected one, or if the connection ends otherwise. It returns how
// many requests were answered.
func readPipelinedAnswers(t *testing.T, r *bufio.Reader, requests []pipelinedRequest) int {
	t.Helper()
	for i, request := range requests {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d of %d: %v", i, len(requests), err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK || string(body) != request.want {
			t.Fatalf("answer %d of %d: %d %q, %v, want %q", i, len(requests), response.StatusCode, body, err, request.want)
		}
		if response.Close {
			if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Fatalf("after the last answer: %v, want the end of the stream", err)
			}
			return i + 1
		}
	}
	return len(requests)
}

// checkForwarded checks that the backend has received exactly the requests that were answered.
func checkForwarded(t *testing.T, b *pipelineBackend, requests []pipelinedRequest, answered int) {
	t.Helper()
	got := b.ids()
	if len(got) != answered {
		t.Fatalf("%d of %d requests were answered, %d were forwarded: %v", answered, len(requests), len(got), got)
	}
	for i, id := range got {
		if id != requests[i].id {
			t.Errorf("%s was forwarded as request %d", id, i)
		}
	}
}

// checkReadAheadReleased checks that no bytes are counted as read ahead once the connection has ended.
func checkReadAheadReleased(t *testing.T, a *Agent, c net.Conn) {
	t.Helper()
	c.Close()
	waitUntil(t, "the connection is released", func() bool { return a.clients.count() == 0 })
	a.clients.mu.Lock()
	defer a.clients.mu.Unlock()
	if n := a.clients.readAheadBytes; n != 0 {
		t.Errorf("%d bytes are counted as read ahead without a connection", n)
	}
}

// Requests that are pipelined behind one in flight are answered in order, and none of their bytes is lost.
func TestManyPipelinedRequestsAreAnswered(t *testing.T) {
	const count, padding = 61, 200 // about 0.3 KB each
	a, b, c, r := startPipeline(t, 400*time.Millisecond)
	var requests []pipelinedRequest
	for i := range count {
		requests = append(requests, newPipelinedRequest(i, nil, padding))
		if _, err := io.WriteString(c, requests[i].text); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			waitUntil(t, "the first is in flight", func() bool { return len(b.ids()) == 1 })
		}
	}
	answered := readPipelinedAnswers(t, r, requests)
	if answered != count {
		t.Errorf("%d of %d requests were answered", answered, count)
	}
	checkForwarded(t, b, requests, answered)
	checkReadAheadReleased(t, a, c)
}

// requestLikeBody returns a body that looks like the rest of a request head followed by another request.
func requestLikeBody(size int) []byte {
	const text = "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nPOST /order/u9 HTTP/1.1\r\nRequest-Id: smuggled\r\n\r\n"
	return bytes.Repeat([]byte(text), size/len(text)+1)[:size]
}

// randomPipeline returns random requests with total bytes or more in all.
func randomPipeline(random *rand.Rand, total int) (requests []pipelinedRequest) {
	for size, i := 0, 0; size < total; i++ {
		var body []byte
		if random.IntN(2) == 0 {
			body = requestLikeBody(random.IntN(1 << random.IntN(17)))
		}
		requests = append(requests, newPipelinedRequest(i, body, random.IntN(1<<random.IntN(12))))
		size += len(requests[i].text)
	}
	return requests
}

// writeInPieces writes text in pieces of random size with random pauses, and stops at an error.
func writeInPieces(random *rand.Rand, c net.Conn, text string) {
	for len(text) > 0 {
		n := min(len(text), 1+random.IntN(1<<random.IntN(18)))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		if random.IntN(4) == 0 {
			time.Sleep(time.Duration(random.IntN(3000)) * time.Microsecond)
		}
	}
}

// Whatever the sizes of pipelined requests and of the pieces in which they are written, and whenever these
// arrive: each request reaches a backend unchanged or not at all, in order, none is parsed from the middle of
// another, and the client sees from the last answer which requests were not begun.
func TestPipelinedRequestsInPieces(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			a, b, c, r := startPipeline(t, time.Duration(random.IntN(100))*time.Millisecond)
			total := 1 << (10 + random.IntN(10))
			requests := randomPipeline(random, total)
			var text strings.Builder
			for _, request := range requests {
				text.WriteString(request.text)
			}
			written := make(chan struct{})
			go func() {
				defer close(written)
				writeInPieces(random, c, text.String())
			}()
			answered := readPipelinedAnswers(t, r, requests)
			if text.Len() <= maxReadAheadBuf && answered != len(requests) {
				t.Errorf("%d of %d requests were answered, though all fit into the buffer", answered, len(requests))
			}
			checkForwarded(t, b, requests, answered)
			c.Close()
			receive(t, "all is written", written)
			checkReadAheadReleased(t, a, c)
		})
	}
}

// The end of a header line whose beginning was read together with the previous request is not validated as
// a line of its own.
func TestSplitHeaderLineIsOneLine(t *testing.T) {
	const readTogether = 4 << 10 // bytes that net/http reads at once
	a, b, c, r := startPipeline(t, 100*time.Millisecond)
	first, second := newPipelinedRequest(0, nil, 0), newPipelinedRequest(1, []byte("body"), 0)
	// The first byte after those that are read at once is read alone.
	const field, rest = "X-Padding: ", "pTransfer-Encoding: chunked"
	beforeField := strings.Index(second.text, field) + len(field)
	padding := strings.Repeat("p", readTogether-len(first.text)-beforeField)
	second.text = second.text[:beforeField] + padding + rest + second.text[beforeField:]
	text := first.text + second.text
	io.WriteString(c, text[:readTogether])
	waitUntil(t, "the first is in flight", func() bool { return len(b.ids()) == 1 })
	io.WriteString(c, text[readTogether:])
	requests := []pipelinedRequest{first, second}
	answered := readPipelinedAnswers(t, r, requests)
	if answered != len(requests) {
		t.Errorf("%d of %d requests were answered", answered, len(requests))
	}
	checkForwarded(t, b, requests, answered)
	checkReadAheadReleased(t, a, c)
}

// A client that pipelines far more bytes behind a request than the agent buffers gets the answer to that
// request, which announces the close of the connection, and then the end of the stream instead of a reset.
// None of the other requests is forwarded.
func TestTooManyPipelinedBytes(t *testing.T) {
	a, b, c, r := startPipeline(t, 300*time.Millisecond)
	requests := []pipelinedRequest{newPipelinedRequest(0, nil, 0)}
	for i := range 30 {
		requests = append(requests, newPipelinedRequest(i+1, requestLikeBody(maxBodyBytes), 0))
	}
	written := make(chan error, 1)
	go func() {
		for _, request := range requests {
			if _, err := io.WriteString(c, request.text); err != nil {
				written <- err
				return
			}
		}
		written <- nil
	}()
	if answered := readPipelinedAnswers(t, r, requests); answered != 1 {
		t.Errorf("%d requests were answered, want 1", answered)
	}
	if err := receive(t, "all is written", written); errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection was reset while the client wrote: %v", err)
	}
	checkForwarded(t, b, requests, 1)
	checkReadAheadReleased(t, a, c)
}

// The number of bytes that all connections together have read ahead is bounded. A connection that exceeds the
// bound is closed after its current answer.
func TestTotalReadAheadIsBounded(t *testing.T) {
	a, _, _, _ := startPipeline(t, 0)
	a.clients.mu.Lock()
	a.clients.readAheadBytes = maxReadAheadTotal - 1000 // as if other connections had read them
	a.clients.mu.Unlock()
	near, _ := connPair(t)
	client := a.clients.admit(near, nil)
	a.clients.mu.Lock()
	buffered := client.keepReadAhead(make([]byte, 1000))
	over := client.keepReadAhead(make([]byte, 1))
	left := a.clients.readAheadBytes
	a.clients.mu.Unlock()
	if !buffered || over || left != maxReadAheadTotal-1000 || client.sealReadAhead(false) {
		t.Errorf("buffered within the bound: %v, beyond it: %v; %d bytes counted", buffered, over, left)
	}
}
