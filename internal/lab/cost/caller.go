package cost

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callTimeout is the time limit of a call.
	callTimeout = 5 * time.Second
	// idleTimeout is the time after which the caller closes an idle connection. The agent closes idle
	// connections after 2.1 s. The caller closes them earlier, so that it sends no call on a connection
	// that the agent is closing.
	idleTimeout = 1500 * time.Millisecond
	// maxIdleConnections is the maximum number of idle connections that the caller keeps to each address.
	maxIdleConnections = 512
	// maxResponseBytes is the maximum number of bytes of a response that the caller reads.
	maxResponseBytes = 64 << 10
)

// outcome is the way in which a call ended.
type outcome int

const (
	unanswered outcome = iota // no complete response within callTimeout
	served
	refused // 429 or 503
	failed  // any other status
	outcomeCount
)

// outcomeOf returns the outcome of a call whose response has the given status.
func outcomeOf(status int) outcome {
	switch status {
	case http.StatusOK:
		return served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refused
	}
	return failed
}

// callResult is the result of one call.
type callResult struct {
	latency  time.Duration // time from the send to the last byte of the response
	lateness time.Duration // delay of the send after the planned time
	outcome  outcome
}

// pairResult holds the results of the two calls of a pair, by route.
type pairResult [routeCount]callResult

// caller sends calls to an agent and to emulated servers, over persistent connections.
type caller struct {
	agent       string   // address of the agent
	servers     []string // addresses of the emulated servers
	transport   *http.Transport
	directDials atomic.Int64 // connections that the caller opened to emulated servers
}

func newCaller(agent string, servers []string) *caller {
	c := &caller{agent: agent, servers: servers}
	c.transport = &http.Transport{DialContext: c.dial, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout: idleTimeout}
	return c
}

func (c *caller) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if addr != c.agent {
		c.directDials.Add(1)
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

func (c *caller) close() { c.transport.CloseIdleConnections() }

// run sends each call of a schedule at its planned time, without waiting for earlier calls (an open
// loop). It returns the result of each pair once all calls have ended, or the context's error if the
// context ends first.
func (c *caller) run(ctx context.Context, s schedule) ([]pairResult, error) {
	results := make([]pairResult, s.pairs)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	start := time.Now()
	for i := range s.calls {
		planned := &s.calls[i]
		if wait := planned.at - time.Since(start); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		running.Add(1)
		go func() {
			defer running.Done()
			results[planned.pair][planned.route] = c.call(ctx, planned, start.Add(planned.at))
		}()
	}
	running.Wait()
	return results, ctx.Err()
}

// call makes one call that was planned for the given time. The latency counts from the send. The
// lateness of the send is recorded separately, because it is caused by the lab and is the same on both
// routes.
func (c *caller) call(ctx context.Context, call *plannedCall, planned time.Time) callResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addr := c.agent
	if call.route == direct {
		addr = c.servers[call.server%len(c.servers)]
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/%x", addr, CallClass, call.key), nil)
	if err != nil {
		return callResult{}
	}
	request.Header.Set("Request-Id", strconv.Itoa(call.pair))
	request.Header.Set("Request-Timeout", strconv.FormatInt(callTimeout.Milliseconds(), 10)+"m")
	sent := time.Now()
	ended := c.roundTrip(request)
	return callResult{latency: time.Since(sent), lateness: sent.Sub(planned), outcome: ended}
}

// roundTrip sends a request and returns its outcome once the response is complete or the request's
// context has ended.
func (c *caller) roundTrip(request *http.Request) outcome {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return unanswered
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return unanswered
	}
	return outcomeOf(response.StatusCode)
}
