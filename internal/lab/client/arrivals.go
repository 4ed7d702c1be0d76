package client

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// The second seed words of the random sources that the load is drawn from.
const (
	agentWeightStream  = 999
	firstArrivalStream = 1000 // stream of the first agent; each further agent has the next number
)

// Arrival is one request of the generated load. All of its random properties are drawn in advance, except
// those of its retries.
type Arrival struct {
	At               time.Duration
	Class            int
	Key              uint64 // 0 if the request has none
	Work             float64
	AttemptTimeout   time.Duration
	CancelAfter      time.Duration // time after which the client cancels its first attempt; 0: never
	HonorsRetryAfter bool
	Seed             uint64 // seed of the request's idempotency key and of the backoff of its retries
}

// DrawArrivals draws the arrivals of each agent up to end. They depend only on the arguments.
func DrawArrivals(load *Load, agents int, end time.Duration, changes []LoadChange, seed uint64) [][]Arrival {
	weights := AgentWeights(load, agents, seed)
	keys := newZipf(load.Keys, load.Zipf)
	arrivals := make([][]Arrival, agents)
	for i := range arrivals {
		d := arrivalGenerator{load: load, keys: keys, changes: changes, rng: rand.New(rand.NewPCG(seed, firstArrivalStream+uint64(i)))}
		arrivals[i] = d.drawAll(weights[i]*load.Rate, end)
	}
	return arrivals
}

// AgentWeights returns each agent's share of the load. The shares add up to 1.
func AgentWeights(load *Load, agents int, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, agentWeightStream))
	weights, sum := make([]float64, agents), 0.0
	for i := range weights {
		weights[i] = 1
		if load.AgentCV > 0 {
			weights[i] = lognormal(rng, 1, load.AgentCV)
		}
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

// arrivalGenerator draws the arrivals of one agent. Changing the order of its draws changes the arrivals that
// a seed yields.
type arrivalGenerator struct {
	load    *Load
	keys    *zipf
	changes []LoadChange
	rng     *rand.Rand
}

// drawAll draws a Poisson process with the given rate per second and the load changes' factors. It
// draws at the highest rate and keeps each arrival with a probability that is the rate at its time
// divided by the highest rate (thinning).
func (d *arrivalGenerator) drawAll(rate float64, end time.Duration) []Arrival {
	if rate <= 0 {
		return nil
	}
	maxFactor := 1.0
	for _, change := range d.changes {
		maxFactor *= max(change.Factor, 1)
	}
	var arrivals []Arrival
	for seconds := 0.0; ; {
		seconds += d.rng.ExpFloat64() / (rate * maxFactor)
		at := time.Duration(seconds * float64(time.Second))
		if at >= end {
			return arrivals
		}
		factor := 1.0
		for i := range d.changes {
			factor *= d.changes[i].rateFactor(at)
		}
		if d.rng.Float64()*maxFactor >= factor {
			continue
		}
		arrivals = append(arrivals, d.drawOne(at))
	}
}

// drawOne draws the properties of the arrival at a time.
func (d *arrivalGenerator) drawOne(at time.Duration) Arrival {
	a := Arrival{At: at, Class: d.drawClass(), Seed: d.rng.Uint64()}
	class := &d.load.Classes[a.Class]
	a.Work = d.drawWork(class)
	for i := range d.changes {
		if change := &d.changes[i]; change.mayBeHeavy(class, at) && d.rng.Float64() < change.HeavyShare {
			a.Work *= change.WorkFactor
		}
	}
	if d.load.Keys > 0 {
		a.Key = d.keys.draw(d.rng) + 1
	}
	timeoutShare := 1.0
	if bounds := d.load.AttemptTimeoutShare; len(bounds) == 2 {
		timeoutShare = bounds[0] + d.rng.Float64()*(bounds[1]-bounds[0])
	}
	a.AttemptTimeout = time.Duration(timeoutShare * float64(class.Deadline))
	a.HonorsRetryAfter = d.rng.Float64() < d.load.HonorRetryAfterShare
	if d.rng.Float64() < d.load.EarlyCancelShare {
		a.CancelAfter = time.Duration(d.rng.Float64() * float64(a.AttemptTimeout))
	}
	return a
}

// drawWork draws the work of a request of a class, in standard-core milliseconds.
func (d *arrivalGenerator) drawWork(class *Class) float64 {
	switch class.Distribution {
	case distributionFixed:
		return class.Work
	case distributionLognormal:
		return lognormal(d.rng, class.Work, class.WorkCV)
	}
	return class.Work * d.rng.ExpFloat64()
}

// drawClass draws the index of a class according to the classes' shares.
func (d *arrivalGenerator) drawClass() int {
	remaining, sum := d.rng.Float64(), 0.0
	for _, class := range d.load.Classes {
		sum += class.Share
	}
	for i, class := range d.load.Classes {
		if remaining -= class.Share / sum; remaining < 0 {
			return i
		}
	}
	return len(d.load.Classes) - 1
}

// lognormal draws from the lognormal distribution with the given mean and coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	variance := math.Log(1 + cv*cv) // variance of the logarithm
	return mean * math.Exp(rng.NormFloat64()*math.Sqrt(variance)-variance/2)
}

// zipf draws ranks with Zipf-distributed popularity. math/rand's Zipf needs an exponent above 1, but
// measured exponents begin at 0.9.
type zipf struct{ cumulative []float64 }

func newZipf(ranks int, exponent float64) *zipf {
	z := &zipf{cumulative: make([]float64, max(ranks, 1))}
	total := 0.0
	for i := range z.cumulative {
		total += math.Pow(float64(i+1), -exponent)
		z.cumulative[i] = total
	}
	return z
}

// draw draws a rank. Rank 0 is the most popular one.
func (z *zipf) draw(rng *rand.Rand) uint64 {
	x := rng.Float64() * z.cumulative[len(z.cumulative)-1]
	return uint64(sort.SearchFloat64s(z.cumulative, x))
}
