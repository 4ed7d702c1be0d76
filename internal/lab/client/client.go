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
	Agent    int32
	Class    int16
	Kind     check.Kind
	InTime   bool
	Tries    uint8
	Attempts uint8 // arrivals at servers, over all tries
	Planned  time.Duration
	Latency  time.Duration // from the planned time to the end
	Late     time.Duration // by how much the lab itself sent it too late
}

// Sender is where a client's requests go: its agent, or a baseline's choice.
type Sender interface {
	// send sends one try and waits for its answer until the deadline.
	send(r *check.Request, head http.Header, deadline time.Time) reply
	// opened is how many connections were made to the fleet from here.
	Opened() int64
	Reset()
}

// Env is the world that clients are in.
type Env struct {
	Clock   check.Clock
	Epoch   time.Time
	Checker *check.Checker
	Load    *Load
	Slack   time.Duration // beyond its deadline a client goes on listening, to judge
	Lane    string
	// Ended is told of each request; it is called from many goroutines.
	Ended func(Result)
}

// Client is the application beside one agent.
type Client struct {
	env     *Env
	index   int
	sender  Sender
	up      atomic.Bool
	life    atomic.Int64
	skipped atomic.Int64
	tries   atomic.Int64
	serial  atomic.Int64
	running sync.WaitGroup
}

// New makes a client that is down until Up.
func New(env *Env, index int, sender Sender) *Client {
	return &Client{env: env, index: index, sender: sender}
}

// Up starts the client's process: from now on it asks.
func (c *Client) Up() { c.up.Store(true) }

// Leave makes it ask nothing new; what is under way goes on.
func (c *Client) Leave() { c.up.Store(false) }

// Kill ends its process: what is under way is void.
func (c *Client) Kill() {
	c.up.Store(false)
	c.life.Add(1)
	c.sender.Reset()
}

// Counts tells how many arrivals found no process, and how many tries were made.
func (c *Client) Counts() (skipped, tries int64) { return c.skipped.Load(), c.tries.Load() }

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
			c.ask(a, c.env.Clock()-a.At)
		}()
	}
}

// ask plays one request through its tries.
func (c *Client) ask(a *Arrival, late time.Duration) {
	l := c.env.Load
	class := &l.Class[a.Class]
	rng := rand.New(rand.NewPCG(a.Seed, uint64(c.index)))
	life := c.life.Load()
	idem := ""
	if class.Effect != "free" {
		idem = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
	}
	res := Result{Agent: int32(c.index), Class: int16(a.Class), Planned: a.At, Late: late}
	limit := a.At + class.GiveUp // of all tries together
	for try := 0; ; try++ {
		r, rep := c.try(a, class, idem, try, limit)
		all, _ := r.Attempts()
		res.Attempts = uint8(min(int(res.Attempts)+all, 255))
		res.Tries++
		res.Kind = c.env.Checker.Answered(r, rep.Answer)
		if c.life.Load() != life {
			res.Kind = check.Void
		}
		res.Latency = rep.At - a.At
		if res.Kind == check.Served || try >= l.Retries || !repeats(class, res.Kind) {
			break
		}
		wait := c.backoff(a, try, rep.retryAfter, rng)
		if c.env.Clock()+wait >= limit || !c.up.Load() {
			break
		}
		time.Sleep(wait)
	}
	res.InTime = res.Kind == check.Served && res.Latency <= class.Aim
	c.env.Ended(res)
}

// repeats tells whether a client tries again by itself.
func repeats(class *Class, k check.Kind) bool {
	switch k {
	case check.Left, check.Void, check.Served:
		return false
	case check.Refused, check.Unreachable:
		return true
	}
	return class.Effect == "free" || class.Effect == "guarded" && class.Group == "all"
}

func (c *Client) backoff(a *Arrival, try int, told time.Duration, rng *rand.Rand) time.Duration {
	l := c.env.Load
	if told > 0 && a.Heed {
		return told
	}
	switch l.Backoff {
	case "fixed":
		return l.BackoffBy
	case "exp":
		return time.Duration(float64(l.BackoffBy) * float64(int(1)<<min(try, 10)) * (0.5 + rng.Float64()))
	}
	return 0
}

// try sends one try under an id of its own.
func (c *Client) try(a *Arrival, class *Class, idem string, try int, limit time.Duration) (*check.Request, reply) {
	now := c.env.Clock()
	wait := min(a.Try, limit-now)
	r := &check.Request{ID: c.env.Lane + strconv.Itoa(c.index) + "-" + strconv.FormatInt(c.serial.Add(1), 36),
		Agent: c.index, Class: a.Class, Key: a.Key, Idem: idem, Method: http.MethodPost,
		Path: "/" + class.Name + "/" + strconv.FormatUint(a.Key*0x9e3779b97f4a7c15, 16), Work: a.Work, Planned: now, Expires: now + wait}
	head := http.Header{"Request-Id": {r.ID}, "Request-Timeout": {strconv.FormatInt(max(wait.Microseconds(), 1), 10) + "u"}, "User-Agent": {""}}
	if class.Effect == "free" {
		r.Method = http.MethodGet
	} else {
		r.Body = strings.Repeat("v", c.env.Load.Body)
	}
	if idem != "" {
		head["Idempotency-Key"] = []string{idem}
	}
	if try > 0 {
		head["Client-Retry"] = []string{"1"}
	}
	c.env.Checker.Add(r)
	c.tries.Add(1)
	leave := a.Leave > 0 && try == 0
	end := r.Expires + c.env.Slack
	if leave {
		end = now + a.Leave
	}
	rep := c.sender.send(r, head, c.env.Epoch.Add(end))
	if leave && rep.Kind == check.Unanswered && !rep.Closed {
		rep.Kind = check.Left
	}
	return r, rep
}

// ToAgent sends to an agent's address.
type ToAgent struct {
	Addr  string
	Clock check.Clock
	pool  Pool
}

func (t *ToAgent) send(r *check.Request, head http.Header, deadline time.Time) reply {
	return t.pool.call(t.Addr, r, head, deadline, time.Second, t.Clock)
}

// Opened is how many connections were made to the agent.
func (t *ToAgent) Opened() int64 { return t.pool.Opened() }

// Reset breaks all connections.
func (t *ToAgent) Reset() { t.pool.Reset() }
