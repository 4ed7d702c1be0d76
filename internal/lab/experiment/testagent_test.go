package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// TestMain runs the test binary as an agent if its arguments are "agent" and either "honest" or the
// violation that the agent commits on purpose.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "agent" {
		if err := runTestAgent(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testAgent is a minimal agent. It sends one attempt for each request, round-robin to the servers that are
// ready and have not started during the run. It commits one violation on purpose.
type testAgent struct {
	violation    string // violation to commit; "honest": none
	transport    *http.Transport
	nextIndex    atomic.Int64
	mu           sync.Mutex
	endpoints    map[string]endpoints.Endpoint // by server name
	drainingAddr string                        // of a draining server; "" if there is none
	warmingAddr  string                        // of a server that started during the run; "" if there is none
}

// runTestAgent runs a test agent until SIGTERM. It reads the same configuration as an agent.
func runTestAgent(violation string) error {
	text, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	var config struct {
		Known endpoints.List `json:"known"`
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	a := &testAgent{violation: violation, transport: &http.Transport{}, endpoints: map[string]endpoints.Endpoint{}}
	a.applyList(config.Known)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go a.watch(ctx, config.Known.Seq)
	s := &http.Server{Addr: os.Getenv("EDGE_LISTEN"), Handler: a}
	go func() {
		<-ctx.Done()
		_ = s.Shutdown(context.Background())
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// watch follows the endpoint list until the context ends.
func (a *testAgent) watch(ctx context.Context, since int64) {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + os.Getenv("EDGE_DISCOVERY") + "/v1/endpoints?follow=1&since=" + strconv.FormatInt(since, 10))
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			var l endpoints.List
			if json.Unmarshal(lines.Bytes(), &l) == nil {
				since = l.Seq
				a.applyList(l)
			}
		}
		resp.Body.Close()
	}
}

// applyList records a list or a change.
func (a *testAgent) applyList(l endpoints.List) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range l.Endpoints {
		if h.Health == "draining" {
			a.drainingAddr = h.Dial
		} else if h.Dial == a.drainingAddr {
			a.drainingAddr = ""
		}
		if h.Health == "ready" && h.StartedMs > 0 {
			a.warmingAddr = h.Dial
		}
		a.endpoints[h.Name] = h
	}
}

// nextServer returns the address of the next server in the rotation, or of a server that must not be used if
// the violation is to use one. It returns "" if there is no server.
func (a *testAgent) nextServer() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.violation == "drain" && a.drainingAddr != "" {
		return a.drainingAddr
	}
	if a.violation == "cold" && a.warmingAddr != "" {
		return a.warmingAddr
	}
	for range 4 * len(a.endpoints) {
		h, ok := a.endpoints[serverName(int(a.nextIndex.Add(1))%len(a.endpoints))]
		if ok && h.Health == "ready" && h.StartedMs == 0 {
			return h.Dial
		}
	}
	return ""
}

// sendAttempt sends one attempt and returns the status and the body of the answer, or false without a
// complete answer.
func (a *testAgent) sendAttempt(r *http.Request, address string, id string, body []byte) (int, string, bool) {
	// Without GetBody, the transport can't send the request again.
	out, _ := http.NewRequest(r.Method, "http://"+address+r.RequestURI, io.NopCloser(bytes.NewReader(body)))
	out.ContentLength = int64(len(body))
	out.Header = http.Header{"Request-Id": {id}, "Request-Timeout": {r.Header.Get("Request-Timeout")}}
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		out.Header.Set("Idempotency-Key", k)
	}
	timeoutMicros, _ := strconv.Atoi(strings.TrimSuffix(r.Header.Get("Request-Timeout"), "u"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(timeoutMicros)*time.Microsecond*9/10)
	defer cancel()
	resp, err := a.transport.RoundTrip(out.WithContext(ctx))
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err == nil
}

// ServeHTTP forwards a request once. It commits the violation at every opportunity; a violation that any
// request allows is committed with one request in ten.
func (a *testAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	address := a.nextServer()
	if address == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	violates := a.nextIndex.Load()%10 == 0
	if a.violation == "stranger" && violates {
		a.sendAttempt(r, address, "made-up-"+id, body)
	}
	status, text, ok := a.sendAttempt(r, address, id, body)
	nonIdempotent := strings.HasPrefix(r.URL.Path, "/order/")
	switch {
	case a.violation == "duplicate" && nonIdempotent:
		a.sendAttempt(r, a.nextServer(), id, body)
	case a.violation == "refuse" && nonIdempotent:
		status = http.StatusTooManyRequests
	case a.violation == "again" && violates:
		time.AfterFunc(150*time.Millisecond, func() { a.sendAttempt(r.WithContext(context.Background()), a.nextServer(), id, body) })
	case a.violation == "silent" && violates:
		<-r.Context().Done()
		return
	case a.violation == "lost" && violates:
		panic(http.ErrAbortHandler)
	case a.violation == "twice" && violates && ok:
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		_, _ = io.WriteString(c, answer+answer)
		c.Close()
		return
	case a.violation == "crash" && violates:
		os.Exit(3)
	case a.violation == "forged" && violates:
		text = "all is well"
	}
	switch {
	case !ok:
		w.WriteHeader(http.StatusBadGateway)
	case status == http.StatusOK:
		_, _ = io.WriteString(w, text)
	default:
		w.WriteHeader(status)
	}
}
