package link

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Shape describes how one direction of a link impairs its traffic. The zero value forwards everything
// without delay.
type Shape struct {
	Cut                  bool          // nothing arrives; streams queue their data until the cut ends, datagrams are dropped
	Delay                time.Duration // time from receiving data to forwarding it
	Jitter               time.Duration // upper bound of a random addition to Delay, drawn for each chunk or datagram
	Rate                 float64       // bytes per second; 0: unlimited
	ResetAfter           int64         // bytes after which a connection is reset; 0: never
	LossProbability      float64       // probability that a datagram is dropped; streams lose nothing
	DuplicateProbability float64       // probability that a datagram arrives twice
}

// isDelaying reports whether the shape delays data.
func (shape *Shape) isDelaying() bool {
	return shape.Delay > 0 || shape.Jitter > 0 || shape.Rate > 0
}

// directionStream is the second seed word of a direction's random source.
const directionStream = 5

// direction is one direction of a link. It is safe for concurrent use.
type direction struct {
	shape atomic.Pointer[Shape] // replaced with mu held

	mu        sync.Mutex
	cutEnded  chan struct{} // closed while the direction isn't cut
	rng       *rand.Rand
	busyUntil time.Time // time at which the data accepted so far will have been sent at Shape.Rate
}

func newDirection(seed uint64) *direction {
	d := &direction{cutEnded: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, directionStream))}
	close(d.cutEnded)
	d.shape.Store(&Shape{})
	return d
}

// setShape replaces the shape. Data that is already delayed keeps its arrival time.
func (d *direction) setShape(shape Shape) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.shape.Swap(&shape)
	switch {
	case shape.Cut && !previous.Cut:
		d.cutEnded = make(chan struct{})
	case !shape.Cut && previous.Cut:
		close(d.cutEnded)
	}
}

// arrivalTime returns the time at which data of size bytes arrives if it is received now, and reserves its
// transmission time at Shape.Rate.
func (d *direction) arrivalTime(size int) time.Time {
	shape := d.shape.Load()
	at := time.Now()
	if !shape.isDelaying() {
		return at
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if shape.Rate > 0 {
		if d.busyUntil.After(at) {
			at = d.busyUntil
		}
		at = at.Add(time.Duration(float64(size) / shape.Rate * float64(time.Second)))
		d.busyUntil = at
	}
	at = at.Add(shape.Delay)
	if shape.Jitter > 0 {
		at = at.Add(time.Duration(d.rng.Int64N(int64(shape.Jitter))))
	}
	return at
}

// uncut returns a channel that is closed once the direction is not cut.
func (d *direction) uncut() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutEnded
}

// randomBool returns true with the given probability.
func (d *direction) randomBool(probability float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < probability
}
