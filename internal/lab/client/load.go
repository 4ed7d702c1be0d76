// Package client emulates the applications that call the agents. Their requests form an open loop: they
// are drawn from the seed in advance, and never wait for answers to earlier requests.
//
// Each client owns one goroutine for each request in progress. Client.Run runs in a goroutine of its
// caller and returns after these goroutines have ended. In Baseline and Pool, the mutex guards the fields
// below it. A goroutine that needs both locks Baseline's mutex before Pool's.
package client

import (
	"time"

	"knotrouter/internal/lab/check"
)

// The effects of a request class, as experiment files name them.
const (
	EffectIdempotent    = "free"        // may be executed any number of times
	EffectDeduplicated  = "guarded"     // has an idempotency key; servers of the class's group drop repeats
	EffectNonIdempotent = "single_shot" // must not be executed twice
)

// GroupAll is the group of classes whose repeats are dropped by all servers.
const GroupAll = "all"

// The distributions of a class's work, as experiment files name them. Any other value selects
// the exponential distribution.
const (
	distributionFixed     = "fixed"
	distributionLognormal = "lognormal"
)

// The backoffs between retries, as experiment files name them. Any other value selects no
// backoff.
const (
	backoffFixed       = "fixed"
	backoffExponential = "exp"
)

// Class is a class of requests: what they cost, how urgent they are, and whether they may be repeated. Its
// keys are fixed by the format of experiment files.
type Class struct {
	Name           string        `koanf:"name"`
	Share          float64       `koanf:"share"`   // share of the requests, relative to the shares of the other classes
	Work           float64       `koanf:"work"`    // mean work of a request, in ms on a standard core
	Distribution   string        `koanf:"dist"`    // distribution of the work: "exp", "fixed" or "lognormal"
	WorkCV         float64       `koanf:"cv"`      // coefficient of variation of lognormal work
	TargetLatency  time.Duration `koanf:"aim"`     // latency within which a request counts as served in time
	Deadline       time.Duration `koanf:"give_up"` // deadline of a request, including its retries
	PriorityWeight float64       `koanf:"worth"`
	Effect         string        `koanf:"effect"`  // one of the Effect constants
	Group          string        `koanf:"group"`   // servers within which repeats are dropped: "all", "zone" or "cell"
	DedupWindow    time.Duration `koanf:"key_ttl"` // time for which repeats of a request are dropped
}

// mayRepeat reports whether a request of the class may be sent again, to any server, after it may
// have been executed.
func (c *Class) mayRepeat() bool {
	return c.Effect == EffectIdempotent || c.Effect == EffectDeduplicated && c.Group == GroupAll
}

// retriesAfter reports whether a client retries a request of the class after an outcome.
func (c *Class) retriesAfter(outcome check.Outcome) bool {
	switch outcome {
	case check.ClientCanceled, check.Void, check.Served:
		return false
	case check.Rejected, check.Unreachable:
		return true
	}
	return c.mayRepeat()
}

// Load describes the requests of a fleet's clients, and how they retry.
type Load struct {
	Rate                 float64       `koanf:"rate"`     // requests per second of all clients together, without retries
	AgentCV              float64       `koanf:"agent_cv"` // coefficient of variation of the agents' shares of the rate
	Keys                 int           `koanf:"keys"`     // number of different keys; 0: requests have none
	Zipf                 float64       `koanf:"zipf"`     // exponent of the keys' popularity
	Retries              int           `koanf:"retries"`  // maximum number of retries of a request
	Backoff              string        `koanf:"backoff"`  // "none", "fixed" or "exp"
	BackoffBase          time.Duration `koanf:"backoff_by"`
	HonorRetryAfterShare float64       `koanf:"honour"`    // share of the requests whose client honors Retry-After
	AttemptTimeoutShare  []float64     `koanf:"try_share"` // bounds of the timeout of an attempt, as shares of the deadline
	EarlyCancelShare     float64       `koanf:"impatient"` // share of the requests that are canceled early
	BodyBytes            int           `koanf:"body"`      // size of a request body, if there is one
	Classes              []Class       `koanf:"class"`
}

// LoadChange is a change of the load for a span of time.
type LoadChange struct {
	From, To   time.Duration // To is exclusive
	Factor     float64       // factor of the rate; 0: unchanged
	RampTime   time.Duration // time in which the rate rises to Factor after From, and falls back before To
	Class      string        // class whose requests may be heavy; "": all classes
	HeavyShare float64       // share of the requests of Class that are heavy
	WorkFactor float64       // factor of the work of a heavy request
}

// rateFactor returns the factor of the rate at a time.
func (c *LoadChange) rateFactor(at time.Duration) float64 {
	if c.Factor <= 0 || !c.contains(at) {
		return 1
	}
	ramp := 1.0
	if c.RampTime > 0 {
		ramp = min(1, float64(at-c.From)/float64(c.RampTime), float64(c.To-at)/float64(c.RampTime))
	}
	return 1 + (c.Factor-1)*ramp
}

// contains reports whether the change applies at a time.
func (c *LoadChange) contains(at time.Duration) bool { return at >= c.From && at < c.To }

// mayBeHeavy reports whether a request of the class at the given time may be heavy.
func (c *LoadChange) mayBeHeavy(class *Class, at time.Duration) bool {
	return c.HeavyShare > 0 && c.contains(at) && (c.Class == "" || c.Class == class.Name)
}
