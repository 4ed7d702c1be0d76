package client

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/lab/check"
)

// Result is the outcome of one request including its retries.
type Result struct {
	Agent          int32
	Class          int16
	Outcome        check.Outcome // outcome of the last attempt
	InTime         bool          // served within its class's target latency
	ClientAttempts uint8
	ServerAttempts uint8 // attempts that arrived at servers, summed over the client's attempts; 255 means 255 or more
	Planned        time.Duration
	Latency        time.Duration // time from the planned time to the end of the request
	SendDelay      time.Duration // time from the planned time until the lab sent the request
}

// Sender sends a client's requests to its agent, or through a baseline.
type Sender interface {
	// send sends one attempt and waits for its answer until the deadline.
	send(r *check.Request, header http.Header, deadline time.Time) response
	// OpenedConnections returns how many connections were opened.
	OpenedConnections() int64
	// Reset resets all connections.
	Reset()
	// SetReuseOnly sets whether requests may use open connections only.
	SetReuseOnly(reuseOnly bool)
}

// Env holds the environment that the clients of a fleet share.
type Env struct {
	Clock     check.Clock
	Epoch     time.Time // the time at which the clock was 0
	Checker   *check.Checker
	Load      *Load
	WaitSlack time.Duration // time that a client waits after the deadline, so that the checker sees late answers
	IDPrefix  string        // prefix of the requests' IDs
	// Finished is called with the result of each request, from many goroutines.
	Finished func(Result)
}

// Client emulates the application beside one agent. It is safe for concurrent use.
type Client struct {
	env         *Env
	index       int
	sender      Sender
	up          atomic.Bool
	incarnation atomic.Int64   // number of times that the client was killed
	skipped     atomic.Int64   // number of arrivals while the client was down
	attempts    atomic.Int64   // number of attempts that were sent
	serial      atomic.Int64   // number in the last request's ID
	running     sync.WaitGroup // the requests in progress
}

// New returns a client for the agent with the given index. It sends nothing until Start.
func New(env *Env, index int, sender Sender) *Client {
	return &Client{env: env, index: index, sender: sender}
}

// Start starts the client's emulated process: it sends requests from now on.
func (c *Client) Start() {
	c.sender.SetReuseOnly(false)
	c.up.Store(true)
}

// UseOpenConnectionsOnly makes the client send further requests only on connections that are already open.
func (c *Client) UseOpenConnectionsOnly() { c.sender.SetReuseOnly(true) }

// StopSending makes the client send no new requests. Those in progress continue, but are not retried.
func (c *Client) StopSending() { c.up.Store(false) }

// Kill ends the client's emulated process. Requests in progress become void.
func (c *Client) Kill() {
	c.up.Store(false)
	c.incarnation.Add(1)
	c.sender.Reset()
}

// Counts returns how many arrivals were skipped because the client was down, and how many attempts
// were sent.
func (c *Client) Counts() (skipped, attempts int64) { return c.skipped.Load(), c.attempts.Load() }

// Run sends a request at the time of each arrival until the context ends, and returns once all requests
// that it sent have ended. Requests do not wait for each other.
func (c *Client) Run(ctx context.Context, arrivals []Arrival) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer c.running.Wait()
	for i := range arrivals {
		arrival := &arrivals[i]
		if wait := arrival.At - c.env.Clock(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		if !c.up.Load() {
			c.skipped.Add(1)
			continue
		}
		c.running.Go(func() { c.runRequest(arrival, c.env.Clock()-arrival.At) })
	}
}

// runRequest sends a request and its retries, and reports the result.
func (c *Client) runRequest(a *Arrival, delay time.Duration) {
	load := c.env.Load
	class := &load.Classes[a.Class]
	rng := rand.New(rand.NewPCG(a.Seed, uint64(c.index)))
	incarnation := c.incarnation.Load()
	idempotencyKey := ""
	if class.Effect != EffectIdempotent {
		idempotencyKey = formatIdempotencyKey(rng.Uint64(), rng.Uint64())
	}
	result := Result{Agent: int32(c.index), Class: int16(a.Class), Planned: a.At, SendDelay: delay}
	deadline := a.At + class.Deadline // common deadline of all attempts
	for attempt := 0; ; attempt++ {
		r, response := c.sendAttempt(a, class, idempotencyKey, attempt, deadline)
		arrived, _ := r.Attempts()
		result.ServerAttempts = uint8(min(int(result.ServerAttempts)+arrived, math.MaxUint8))
		result.ClientAttempts++
		result.Outcome = c.env.Checker.RecordAnswer(r, response.Answer)
		if c.incarnation.Load() != incarnation {
			result.Outcome = check.Void
		}
		result.Latency = response.At - a.At
		if result.Outcome == check.Served || attempt >= load.Retries || !class.retriesAfter(result.Outcome) {
			break
		}
		wait := c.backoff(a, attempt, response.retryAfter, rng)
		if c.env.Clock()+wait >= deadline || !c.up.Load() {
			break
		}
		time.Sleep(wait)
	}
	result.InTime = result.Outcome == check.Served && result.Latency <= class.TargetLatency
	c.env.Finished(result)
}

// maxBackoffDoublings bounds the number of doublings in exponential backoff.
const maxBackoffDoublings = 10

// backoff returns the delay between the end of an attempt, counted from 0, and the next one.
func (c *Client) backoff(a *Arrival, attempt int, retryAfter time.Duration, rng *rand.Rand) time.Duration {
	load := c.env.Load
	if retryAfter > 0 && a.HonorsRetryAfter {
		return retryAfter
	}
	switch load.Backoff {
	case backoffFixed:
		return load.BackoffBase
	case backoffExponential:
		return time.Duration(float64(load.BackoffBase) * float64(int(1)<<min(attempt, maxBackoffDoublings)) * (0.5 + rng.Float64()))
	}
	return 0
}

// sendAttempt sends an attempt, counted from 0, as a request with a separate ID, and waits until its answer
// arrives or the client cancels it.
func (c *Client) sendAttempt(a *Arrival, class *Class, idempotencyKey string, attempt int, deadline time.Duration) (*check.Request, response) {
	now := c.env.Clock()
	timeout := min(a.AttemptTimeout, deadline-now)
	r := c.newRequest(a, class, idempotencyKey, now, timeout)
	header := http.Header{headerRequestID: {r.ID}, headerRequestTimeout: {formatTimeout(timeout)}, "User-Agent": {""}} // "" omits the header
	if idempotencyKey != "" {
		header[headerIdempotencyKey] = []string{idempotencyKey}
	}
	if attempt > 0 {
		header[headerClientRetry] = []string{"1"}
	}
	c.env.Checker.Add(r)
	c.attempts.Add(1)
	cancels := a.CancelAfter > 0 && attempt == 0
	waitUntil := r.Deadline + c.env.WaitSlack
	if cancels {
		waitUntil = now + a.CancelAfter
	}
	response := c.sender.send(r, header, c.env.Epoch.Add(waitUntil))
	if cancels && response.Outcome == check.Unanswered && !response.Closed {
		response.Outcome = check.ClientCanceled
	}
	return r, response
}

// keyMultiplier spreads the keys over the paths: neighboring keys get paths that are far apart.
const keyMultiplier = 0x9e3779b97f4a7c15

// newRequest returns the request for an attempt that is sent now.
func (c *Client) newRequest(a *Arrival, class *Class, idempotencyKey string, now, timeout time.Duration) *check.Request {
	r := &check.Request{
		ID:             c.env.IDPrefix + strconv.Itoa(c.index) + "-" + strconv.FormatInt(c.serial.Add(1), 36),
		Agent:          c.index,
		Class:          a.Class,
		Key:            a.Key,
		IdempotencyKey: idempotencyKey,
		Method:         http.MethodPost,
		Path:           "/" + class.Name + "/" + strconv.FormatUint(a.Key*keyMultiplier, 16),
		Work:           a.Work,
		PlannedAt:      now,
		Deadline:       now + timeout,
	}
	if class.Effect == EffectIdempotent {
		r.Method = http.MethodGet
	} else {
		r.Body = strings.Repeat("v", c.env.Load.BodyBytes)
	}
	return r
}

// formatIdempotencyKey returns an idempotency key that consists of the given random numbers.
func formatIdempotencyKey(numbers ...uint64) string {
	var key strings.Builder
	for _, number := range numbers {
		fmt.Fprintf(&key, "%016x", number)
	}
	return key.String()
}

// formatTimeout returns the value of a Request-Timeout header, in microseconds and at least one.
func formatTimeout(timeout time.Duration) string {
	return strconv.FormatInt(max(timeout.Microseconds(), 1), 10) + "u"
}

// agentConnectTimeout bounds opening a connection to an agent.
const agentConnectTimeout = time.Second

// AgentSender sends requests to an agent.
type AgentSender struct {
	Addr  string
	Clock check.Clock
	pool  Pool
}

func (t *AgentSender) send(r *check.Request, header http.Header, deadline time.Time) response {
	return t.pool.call(&call{addr: t.Addr, request: r, header: header, deadline: deadline, connectTimeout: agentConnectTimeout, clock: t.Clock})
}

// OpenedConnections returns how many connections to the agent were opened.
func (t *AgentSender) OpenedConnections() int64 { return t.pool.OpenedConnections() }

// Reset resets all connections.
func (t *AgentSender) Reset() { t.pool.Reset() }

// SetReuseOnly sets whether requests may use open connections only.
func (t *AgentSender) SetReuseOnly(reuseOnly bool) { t.pool.SetReuseOnly(reuseOnly) }
