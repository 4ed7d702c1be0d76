package link

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Shape is what one direction of a link does to the data that it carries. The zero value carries
// everything at once.
type Shape struct {
	Cut                  bool          // nothing arrives; streams queue their data until the cut ends, datagrams are dropped
	Delay                time.Duration // from receiving data to passing it on
	Jitter               time.Duration // bound of a random addition to Delay, drawn for each piece of data
	Rate                 float64       // bytes per second; 0: unlimited
	ResetAfter           int64         // bytes after which a connection is reset; 0: never
	LossProbability      float64       // share of the datagrams that are dropped; streams lose nothing
	DuplicateProbability float64       // share of the datagrams that arrive twice
}

// isDelaying reports whether data takes time to arrive.
func (shape *Shape) isDelaying() bool {
	return shape.Delay > 0 || shape.Jitter > 0 || shape.Rate > 0
}

// directionStream is the stream of the random source that a direction draws from.
const directionStream = 5

// direction is one direction of a link. It is safe for concurrent use.
type direction struct {
	shape atomic.Pointer[Shape] // replaced with mu held

	mu        sync.Mutex
	cutEnded  chan struct{} // closed while the direction isn't cut
	rng       *rand.Rand
	busyUntil time.Time // when what was accepted before is sent, at the direction's rate
}

func newDirection(seed uint64) *direction {
	d := &direction{cutEnded: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, directionStream))}
	close(d.cutEnded)
	d.shape.Store(&Shape{})
	return d
}

// setShape replaces the shape. Data that is delayed already keeps its time of arrival.
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

// arrivalTime returns when data of a size in bytes that is received now arrives, and reserves the
// time that its sending takes.
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

// uncut returns a channel that is closed once the direction isn't cut.
func (d *direction) uncut() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutEnded
}

// randomBool draws a truth value that is true with a probability.
func (d *direction) randomBool(probability float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < probability
}
