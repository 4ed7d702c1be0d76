// Package link is the network between two processes of an experiment: relays for TCP connections
// and for UDP datagrams, whose two directions can each be cut, delayed, slowed down or made lossy.
// A process reaches another one by the relay's address instead of the other's own.
//
// A Link owns the goroutines of its listener, one for each connection, and four that carry the
// connection's data; a UDP relay owns one that receives, and one for each sender that carries
// answers. Close ends them. It doesn't wait for the timers of delayed datagrams, which send nothing
// after Close. Link.mu is held while the listener changes its state; no goroutine holds two of
// Link.mu, UDP.mu and a direction's mutex.
package link

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/lab/loopback"
)

// Availability is how new connections are treated.
type Availability uint8

// The values of Availability.
const (
	Open         Availability = iota // they are accepted
	Refused                          // they are refused, as by a machine whose process has died
	Unresponsive                     // they get no answer, as from a machine that is cut off
)

// dialTimeout bounds opening a connection to the target.
const dialTimeout = 5 * time.Second

// Counters count what a link carried. They only rise.
type Counters struct {
	Connections atomic.Int64
	Bytes       atomic.Int64 // of connections
	Datagrams   atomic.Int64 // received, those that were dropped included
	Dropped     atomic.Int64 // datagrams
	Resets      atomic.Int64 // connections that were reset for Shape.ResetAfter
}

// Link relays TCP connections to a target. It is safe for concurrent use.
type Link struct {
	Counters
	target   string
	listener *loopback.Listener
	forward  *direction // to the target
	reverse  *direction
	conns    loopback.ConnSet
	closed   chan struct{} // closed by Close
	once     sync.Once     // of closing it

	mu                 sync.Mutex
	linkAvailability   Availability // by the link's own faults
	targetAvailability Availability
	isShaped           bool      // a direction has a shape other than the zero value
	shapedAt           time.Time // of the latest Set
}

// New returns a link that listens at addr, where port 0 takes a free one, and relays connections to
// target. The directions draw from the seed. The caller has to Close it.
func New(addr, target string, seed uint64) (*Link, error) {
	l := &Link{target: target, forward: newDirection(seed), reverse: newDirection(seed + 1), closed: make(chan struct{})}
	listener, err := loopback.Listen(addr, l.serve)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l.listener = listener
	return l, nil
}

// Addr returns the address at which the link listens in its target's place.
func (l *Link) Addr() string { return l.listener.Addr() }

// Close resets all connections, ends the link and returns once its connections have ended.
func (l *Link) Close() {
	l.once.Do(func() { close(l.closed) })
	l.listener.Close()
	l.conns.Reset()
	l.listener.Wait()
}

// UnshapedFor reports whether neither direction has had a shape for at least a time. Refuse is no
// shape.
func (l *Link) UnshapedFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isShaped && time.Since(l.shapedAt) >= d
}

// Set shapes the two directions and ends Refuse. While a direction is cut, new connections get no
// answer, because opening one needs both directions. It returns an error if the listener can't be
// brought into that state.
func (l *Link) Set(forward, reverse Shape) error {
	l.forward.setShape(forward)
	l.reverse.setShape(reverse)
	l.mu.Lock()
	l.isShaped, l.shapedAt = forward != Shape{} || reverse != Shape{}, time.Now()
	l.mu.Unlock()
	availability := Open
	if forward.Cut || reverse.Cut {
		availability = Unresponsive
	}
	return l.setAvailability(&l.linkAvailability, availability)
}

// Refuse resets all connections and refuses new ones until Set.
func (l *Link) Refuse() error {
	err := l.setAvailability(&l.linkAvailability, Refused)
	l.conns.Reset()
	return err
}

// SetTargetAvailability has the link treat new connections as its target does: a relay that
// accepted connections which the target refuses would make a failed connect look like a reset. With
// Refused it resets all connections.
func (l *Link) SetTargetAvailability(availability Availability) error {
	err := l.setAvailability(&l.targetAvailability, availability)
	if availability == Refused {
		l.conns.Reset()
	}
	return err
}

// setAvailability sets one of the link's two availabilities, and brings the listener into the state
// that both together need: Refused is stronger than Silent, and Silent than Open.
func (l *Link) setAvailability(which *Availability, availability Availability) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	*which = availability
	switch {
	case l.linkAvailability == Refused || l.targetAvailability == Refused:
		l.listener.Refuse()
		return nil
	case l.linkAvailability == Unresponsive || l.targetAvailability == Unresponsive:
		if err := l.listener.Open(); err != nil { // only an open listener can be silenced
			return err
		}
		return l.listener.StopAnswering()
	}
	return l.listener.Open()
}

// serve relays one connection until both of its directions have ended.
func (l *Link) serve(client net.Conn) {
	l.Connections.Add(1)
	target, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		loopback.Reset(client)
		return
	}
	l.conns.Add(client)
	l.conns.Add(target)
	select {
	case <-l.closed: // Close may have reset all connections before these two were among them
		loopback.Reset(client)
		loopback.Reset(target)
	default:
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.relayStream(client, target, l.forward) })
	directions.Go(func() { l.relayStream(target, client, l.reverse) })
	directions.Wait()
	l.conns.Remove(client)
	l.conns.Remove(target)
	client.Close()
	target.Close()
}
