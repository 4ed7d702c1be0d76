package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/lab/check"
)

// Result is how one request ended, its retries included.
type Result struct {
	Agent          int32
	Class          int16
	Outcome        check.Outcome
	InTime         bool
	ClientAttempts uint8
	ServerAttempts uint8 // arrivals at servers, over all tries
	Planned        time.Duration
	Latency        time.Duration // from the planned time to the end
	SendDelay      time.Duration // by how much the lab itself sent it too late
}

// Sender is where a client's requests go: its agent, or a baseline's choice.
type Sender interface {
	// send sends one try and waits for its answer until the deadline.
	send(r *check.Request, head http.Header, deadline time.Time) response
	// opened is how many connections were made to the fleet from here.
	Opened() int64
	Reset()
}

// Env is the world that clients are in.
type Env struct {
	Clock       check.Clock
	Epoch       time.Time
	Checker     *check.Checker
	Load        *Load
	ListenSlack time.Duration // beyond its deadline a client goes on listening, to judge
	IDPrefix    string
	// Finished is told of each request; it is called from many goroutines.
	Finished func(Result)
}

// Client is the application beside one agent.
type Client struct {
	env         *Env
	index       int
	sender      Sender
	up          atomic.Bool
	incarnation atomic.Int64
	skipped     atomic.Int64
	attempts    atomic.Int64
	serial      atomic.Int64
	running     sync.WaitGroup
}

// New makes a client that is down until Up.
func New(env *Env, index int, sender Sender) *Client {
	return &Client{env: env, index: index, sender: sender}
}

// Start starts the client's process: from now on it asks.
func (c *Client) Start() { c.up.Store(true) }

// StopSending makes it ask nothing new; what is under way goes on.
func (c *Client) StopSending() { c.up.Store(false) }

// Kill ends its process: what is under way is void.
func (c *Client) Kill() {
	c.up.Store(false)
	c.incarnation.Add(1)
	c.sender.Reset()
}

// Counts tells how many arrivals found no process, and how many tries were made.
func (c *Client) Counts() (skipped, tries int64) { return c.skipped.Load(), c.attempts.Load() }

// Run sends each arrival at its time until the context ends, and returns once all that
// it sent has ended.
func (c *Client) Run(ctx context.Context, arrivals []Arrival) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	defer c.running.Wait()
	for i := range arrivals {
		a := &arrivals[i]
		if wait := a.At - c.env.Clock(); wait > 0 {
			t.Reset(wait)
			select {
			case <-t.C:
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
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.runRequest(a, c.env.Clock()-a.At)
		}()
	}
}

// runRequest plays one request through its tries.
func (c *Client) runRequest(a *Arrival, delay time.Duration) {
	load := c.env.Load
	class := &load.Classes[a.Class]
	rng := rand.New(rand.NewPCG(a.Seed, uint64(c.index)))
	incarnation := c.incarnation.Load()
	idempotencyKey := ""
	if class.Effect != "free" {
		idempotencyKey = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
	}
	result := Result{Agent: int32(c.index), Class: int16(a.Class), Planned: a.At, SendDelay: delay}
	limit := a.At + class.Deadline // of all tries together
	for attempt := 0; ; attempt++ {
		r, response := c.sendAttempt(a, class, idempotencyKey, attempt, limit)
		all, _ := r.Attempts()
		result.ServerAttempts = uint8(min(int(result.ServerAttempts)+all, 255))
		result.ClientAttempts++
		result.Outcome = c.env.Checker.RecordAnswer(r, response.Answer)
		if c.incarnation.Load() != incarnation {
			result.Outcome = check.Void
		}
		result.Latency = response.At - a.At
		if result.Outcome == check.Served || attempt >= load.Retries || !retriesAfter(class, result.Outcome) {
			break
		}
		wait := c.backoff(a, attempt, response.retryAfter, rng)
		if c.env.Clock()+wait >= limit || !c.up.Load() {
			break
		}
		time.Sleep(wait)
	}
	result.InTime = result.Outcome == check.Served && result.Latency <= class.TargetLatency
	c.env.Finished(result)
}

// retriesAfter tells whether a client tries again by itself.
func retriesAfter(class *Class, k check.Outcome) bool {
	switch k {
	case check.ClientCanceled, check.Void, check.Served:
		return false
	case check.Rejected, check.Unreachable:
		return true
	}
	return class.Effect == "free" || class.Effect == "guarded" && class.Group == "all"
}

func (c *Client) backoff(a *Arrival, attempt int, retryAfter time.Duration, rng *rand.Rand) time.Duration {
	load := c.env.Load
	if retryAfter > 0 && a.HonorsRetryAfter {
		return retryAfter
	}
	switch load.Backoff {
	case "fixed":
		return load.BackoffBase
	case "exp":
		return time.Duration(float64(load.BackoffBase) * float64(int(1)<<min(attempt, 10)) * (0.5 + rng.Float64()))
	}
	return 0
}

// sendAttempt sends one sendAttempt under an id of its own.
func (c *Client) sendAttempt(a *Arrival, class *Class, idem string, index int, limit time.Duration) (*check.Request, response) {
	now := c.env.Clock()
	timeout := min(a.AttemptTimeout, limit-now)
	r := &check.Request{ID: c.env.IDPrefix + strconv.Itoa(c.index) + "-" + strconv.FormatInt(c.serial.Add(1), 36),
		Agent: c.index, Class: a.Class, Key: a.Key, IdempotencyKey: idem, Method: http.MethodPost,
		Path: "/" + class.Name + "/" + strconv.FormatUint(a.Key*0x9e3779b97f4a7c15, 16), Work: a.Work, PlannedAt: now, Deadline: now + timeout}
	header := http.Header{"Request-Id": {r.ID}, "Request-Timeout": {strconv.FormatInt(max(timeout.Microseconds(), 1), 10) + "u"}, "User-Agent": {""}}
	if class.Effect == "free" {
		r.Method = http.MethodGet
	} else {
		r.Body = strings.Repeat("v", c.env.Load.BodyBytes)
	}
	if idem != "" {
		header["Idempotency-Key"] = []string{idem}
	}
	if index > 0 {
		header["Client-Retry"] = []string{"1"}
	}
	c.env.Checker.Add(r)
	c.attempts.Add(1)
	cancels := a.CancelAfter > 0 && index == 0
	listenUntil := r.Deadline + c.env.ListenSlack
	if cancels {
		listenUntil = now + a.CancelAfter
	}
	response := c.sender.send(r, header, c.env.Epoch.Add(listenUntil))
	if cancels && response.Outcome == check.Unanswered && !response.Closed {
		response.Outcome = check.ClientCanceled
	}
	return r, response
}

// ToAgent sends to an agent's address.
type ToAgent struct {
	Addr  string
	Clock check.Clock
	pool  Pool
}

func (t *ToAgent) send(r *check.Request, head http.Header, deadline time.Time) response {
	return t.pool.call(t.Addr, r, head, deadline, time.Second, t.Clock)
}

// Opened is how many connections were made to the agent.
func (t *ToAgent) Opened() int64 { return t.pool.Opened() }

// Reset breaks all connections.
func (t *ToAgent) Reset() { t.pool.Reset() }
