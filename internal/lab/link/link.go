// Package link emulates the network between two processes of an experiment with relays for TCP
// connections and UDP datagrams. Each direction of a relay can be cut, delayed, limited in rate or made
// lossy. A process connects to the relay's address instead of the other process's own address.
//
// A Link owns the goroutines of its listener, one goroutine for each connection, and four that relay
// the connection's data. A UDP relay owns one goroutine that receives datagrams, and one for each sender
// that relays answers. Close ends them. It doesn't wait for the timers of delayed datagrams, which send
// nothing after Close. Link.mu is held while the listener changes its state; no goroutine holds more
// than one of Link.mu, UDP.mu and a direction's mutex.
package link

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/lab/loopback"
)

// Availability determines how new connections are handled.
type Availability uint8

// The values of Availability.
const (
	Open         Availability = iota // accepted
	Refused                          // refused, as after the target's process has died
	Unresponsive                     // not answered, as by a machine that is cut off
)

// dialTimeout bounds opening a connection to the target.
const dialTimeout = 5 * time.Second

// Counters count the traffic of a link. They only increase.
type Counters struct {
	Connections atomic.Int64
	Bytes       atomic.Int64 // bytes on connections
	Datagrams   atomic.Int64 // received datagrams, including dropped ones
	Dropped     atomic.Int64 // dropped datagrams
	Resets      atomic.Int64 // connections that were reset because of Shape.ResetAfter
}

// Link relays TCP connections to a target. It is safe for concurrent use.
type Link struct {
	Counters
	target   string
	listener *loopback.Listener
	forward  *direction // direction to the target
	reverse  *direction // direction from the target
	conns    loopback.ConnSet
	closed   chan struct{} // closed by Close
	once     sync.Once     // guards the closing of closed

	mu                 sync.Mutex
	linkAvailability   Availability // set by the link's own faults
	targetAvailability Availability
	isShaped           bool      // a direction has a shape other than the zero value
	shapedAt           time.Time // time of the latest Set
}

// New returns a link that listens at addr, where port 0 selects a free port, and relays connections to
// target. seed seeds the random sources of the directions. The caller has to Close the link.
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

// UnshapedFor reports whether both directions have been without a shape for at least d. A Refuse does
// not count as a shape.
func (l *Link) UnshapedFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isShaped && time.Since(l.shapedAt) >= d
}

// Set sets the shapes of the two directions and ends a Refuse. While a direction is cut, new connections
// get no answer, because opening one needs both directions. It returns an error if the listener can't
// be brought into that state.
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

// SetTargetAvailability makes the link handle new connections as its target does. If the link accepted
// connections that the target refuses, a failed connect would look like a reset. With Refused,
// SetTargetAvailability resets all connections.
func (l *Link) SetTargetAvailability(availability Availability) error {
	err := l.setAvailability(&l.targetAvailability, availability)
	if availability == Refused {
		l.conns.Reset()
	}
	return err
}

// setAvailability sets one of the link's two availabilities and updates the listener: Refused takes
// precedence over Unresponsive, and Unresponsive over Open.
func (l *Link) setAvailability(which *Availability, availability Availability) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	*which = availability
	switch {
	case l.linkAvailability == Refused || l.targetAvailability == Refused:
		l.listener.Refuse()
		return nil
	case l.linkAvailability == Unresponsive || l.targetAvailability == Unresponsive:
		if err := l.listener.Open(); err != nil { // StopAnswering needs an open listener
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
	case <-l.closed: // Close may have reset all connections before these two were added
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
