// Package client plays the calling applications: an open loop of requests that are drawn
// ahead from the seed and never wait for answers.
package client

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Class is one class of requests.
type Class struct {
	Name           string        `koanf:"name"`
	Share          float64       `koanf:"share"`
	Work           float64       `koanf:"work"` // mean, in standard-core ms
	Distribution   string        `koanf:"dist"` // "exp", "fixed" or "lognormal"
	WorkCV         float64       `koanf:"cv"`   // of lognormal
	TargetLatency  time.Duration `koanf:"aim"`
	Deadline       time.Duration `koanf:"give_up"`
	PriorityWeight float64       `koanf:"worth"`
	Effect         string        `koanf:"effect"` // "free", "guarded" or "single_shot"
	Group          string        `koanf:"group"`
	DedupWindow    time.Duration `koanf:"key_ttl"`
}

// Load is what the clients of a fleet ask, and how they take an answer.
type Load struct {
	Rate                float64       `koanf:"rate"`     // first tries a second, of all agents together
	AgentCV             float64       `koanf:"agent_cv"` // how unevenly agents share it
	Keys                int           `koanf:"keys"`
	Zipf                float64       `koanf:"zipf"`
	Retries             int           `koanf:"retries"`
	Backoff             string        `koanf:"backoff"` // "none", "fixed" or "exp"
	BackoffBase         time.Duration `koanf:"backoff_by"`
	HonorShare          float64       `koanf:"honour"`    // share of the clients that heed Retry-After
	AttemptTimeoutShare []float64     `koanf:"try_share"` // from and to: part of the give-up time that a try waits
	ImpatientShare      float64       `koanf:"impatient"` // share of the tries that are left early
	BodyBytes           int           `koanf:"body"`      // bytes of a request that has a body
	Classes             []Class       `koanf:"class"`
}

// LoadChange is a time in which the load differs: times Factor, and one in 1/Heavy requests
// of a class that many times the work.
type LoadChange struct {
	From, To   time.Duration
	Factor     float64
	RampTime   time.Duration // from 1 to the factor, and back
	Class      string        // of the heavy ones; "" is all
	HeavyShare float64       // share
	WorkFactor float64       // their work
}

// Arrival is one request as it is drawn.
type Arrival struct {
	At               time.Duration
	Class            int
	Key              uint64
	Work             float64
	AttemptTimeout   time.Duration // what its first try waits
	CancelAfter      time.Duration // after which it is left early; 0: never
	HonorsRetryAfter bool
	Seed             uint64 // of what its retries draw
}

// DrawArrivals draws the arrivals of each agent up to the end, from the seed alone.
func DrawArrivals(l *Load, agents int, end time.Duration, changes []LoadChange, seed uint64) [][]Arrival {
	weights := AgentWeights(l, agents, seed)
	all := make([][]Arrival, agents)
	zipf := newZipf(l.Keys, l.Zipf)
	for i := range all {
		all[i] = drawAgentArrivals(l, zipf, weights[i]*l.Rate, end, changes, rand.New(rand.NewPCG(seed, 1000+uint64(i))))
	}
	return all
}

// AgentWeights gives each agent's part of the traffic; they add up to 1.
func AgentWeights(l *Load, agents int, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, 999))
	weights, sum := make([]float64, agents), 0.0
	for i := range weights {
		weights[i] = 1
		if l.AgentCV > 0 {
			weights[i] = lognormal(rng, 1, l.AgentCV)
		}
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

func drawAgentArrivals(l *Load, keys *zipf, rate float64, end time.Duration, changes []LoadChange, rng *rand.Rand) []Arrival {
	maxFactor := 1.0
	for _, c := range changes {
		maxFactor *= max(c.Factor, 1)
	}
	var out []Arrival
	if rate <= 0 {
		return nil
	}
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (rate * maxFactor)
		t := time.Duration(at * float64(time.Second))
		if t >= end {
			return out
		}
		// Thinning: the draw is at the highest rate there is, and kept by the present one.
		factor := 1.0
		for i := range changes {
			factor *= changes[i].factor(t)
		}
		if rng.Float64()*maxFactor >= factor {
			continue
		}
		out = append(out, drawArrival(l, keys, t, changes, rng))
	}
}

func drawArrival(load *Load, keys *zipf, at time.Duration, changes []LoadChange, rng *rand.Rand) Arrival {
	a := Arrival{At: at, Class: pickClass(load, rng), Seed: rng.Uint64()}
	class := &load.Classes[a.Class]
	switch class.Distribution {
	case "fixed":
		a.Work = class.Work
	case "lognormal":
		a.Work = lognormal(rng, class.Work, class.WorkCV)
	default:
		a.Work = class.Work * rng.ExpFloat64()
	}
	for i := range changes {
		if change := &changes[i]; change.HeavyShare > 0 && at >= change.From && at < change.To && (change.Class == "" || change.Class == class.Name) && rng.Float64() < change.HeavyShare {
			a.Work *= change.WorkFactor
		}
	}
	if load.Keys > 0 {
		a.Key = keys.draw(rng) + 1
	}
	share := 1.0
	if len(load.AttemptTimeoutShare) == 2 {
		share = load.AttemptTimeoutShare[0] + rng.Float64()*(load.AttemptTimeoutShare[1]-load.AttemptTimeoutShare[0])
	}
	a.AttemptTimeout = time.Duration(share * float64(class.Deadline))
	a.HonorsRetryAfter = rng.Float64() < load.HonorShare
	if rng.Float64() < load.ImpatientShare {
		a.CancelAfter = time.Duration(rng.Float64() * float64(a.AttemptTimeout))
	}
	return a
}

// factor is the part of the usual load at a time.
func (c *LoadChange) factor(t time.Duration) float64 {
	if c.Factor <= 0 || t < c.From || t >= c.To {
		return 1
	}
	part := 1.0
	if c.RampTime > 0 {
		part = min(1, float64(t-c.From)/float64(c.RampTime), float64(c.To-t)/float64(c.RampTime))
	}
	return 1 + (c.Factor-1)*part
}

func pickClass(l *Load, rng *rand.Rand) int {
	draw, sum := rng.Float64(), 0.0
	for _, c := range l.Classes {
		sum += c.Share
	}
	for i, c := range l.Classes {
		if draw -= c.Share / sum; draw < 0 {
			return i
		}
	}
	return len(l.Classes) - 1
}

// lognormal draws with a mean and a coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(rng.NormFloat64()*math.Sqrt(s2)-s2/2)
}

// zipf draws ranks by popularity. The library's draws want an exponent above 1, and
// sites name exponents from 0.9 on, so the sum is built here.
type zipf struct{ sum []float64 }

func newZipf(ranks int, exponent float64) *zipf {
	z := &zipf{sum: make([]float64, max(ranks, 1))}
	total := 0.0
	for i := range z.sum {
		total += math.Pow(float64(i+1), -exponent)
		z.sum[i] = total
	}
	return z
}

func (z *zipf) draw(rng *rand.Rand) uint64 {
	x := rng.Float64() * z.sum[len(z.sum)-1]
	return uint64(sort.SearchFloat64s(z.sum, x))
}
