package link

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// maxDelayedDatagrams bounds the datagrams that a relay delays at once. Datagrams beyond the bound are
	// dropped and counted, as by a full queue.
	maxDelayedDatagrams = 4096
	// maxSenders bounds the senders that a relay keeps a socket for. A new sender beyond the bound
	// replaces the one from which no datagram has come for the longest time.
	maxSenders = 256
	// maxDatagramBytes bounds the size of a datagram.
	maxDatagramBytes = 64 << 10
)

// UDP relays datagrams to a target. The target sees each sender at a separate address, to which it can
// answer. It is safe for concurrent use.
type UDP struct {
	Counters
	target     *net.UDPAddr
	conn       *net.UDPConn // receives the senders' datagrams
	forward    *direction   // direction to the target
	reverse    *direction   // direction from the target
	goroutines sync.WaitGroup

	mu           sync.Mutex
	senders      map[string]*sender // by address
	delayedCount int                // number of datagrams that are being delayed
	closed       bool
}

// sender is a process that sends datagrams to the relay.
type sender struct {
	addr         *net.UDPAddr
	toTarget     *net.UDPConn // socket whose local address represents the sender at the target
	lastReceived time.Time    // guarded by UDP.mu
}

// NewUDP returns a relay that receives datagrams at addr, where port 0 selects a free port, and sends
// them to target. seed seeds the random sources of the directions. The caller has to Close the relay.
func NewUDP(addr, target string, seed uint64) (*UDP, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("udp link: %w", err)
	}
	listenAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("udp link: %w", err)
	}
	conn, err := net.ListenUDP("udp", listenAddr)
	if err != nil {
		return nil, fmt.Errorf("udp link: %w", err)
	}
	u := &UDP{target: targetAddr, conn: conn, forward: newDirection(seed), reverse: newDirection(seed + 1), senders: map[string]*sender{}}
	u.goroutines.Add(1)
	go u.receive()
	return u, nil
}

// Addr returns the address at which the relay receives in its target's place.
func (u *UDP) Addr() string { return u.conn.LocalAddr().String() }

// Set sets the shapes of the two directions.
func (u *UDP) Set(forward, reverse Shape) {
	u.forward.setShape(forward)
	u.reverse.setShape(reverse)
}

// Close ends the relay and returns once its goroutines have ended. Delayed datagrams are dropped.
func (u *UDP) Close() {
	u.mu.Lock()
	u.closed = true
	u.conn.Close()
	for _, s := range u.senders {
		s.toTarget.Close()
	}
	u.mu.Unlock()
	u.goroutines.Wait()
}

// receive relays the senders' datagrams to the target until Close.
func (u *UDP) receive() {
	defer u.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := u.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // a sender has gone and its machine rejected an answer; other senders continue
			continue
		}
		s, err := u.findOrAddSender(from)
		if err != nil {
			u.Dropped.Add(1)
			continue
		}
		u.relayDatagram(u.forward, buffer[:n], func(data []byte) { _, _ = s.toTarget.Write(data) })
	}
}

// findOrAddSender returns the sender with the address, and adds it if it is new.
func (u *UDP) findOrAddSender(addr *net.UDPAddr) (*sender, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return nil, net.ErrClosed
	}
	key := addr.String()
	if s := u.senders[key]; s != nil {
		s.lastReceived = time.Now()
		return s, nil
	}
	if len(u.senders) >= maxSenders {
		u.dropOldestSender()
	}
	toTarget, err := net.DialUDP("udp", nil, u.target)
	if err != nil {
		return nil, fmt.Errorf("udp link: %w", err)
	}
	s := &sender{addr: addr, toTarget: toTarget, lastReceived: time.Now()}
	u.senders[key] = s
	u.goroutines.Add(1)
	go u.receiveAnswers(s)
	return s, nil
}

// dropOldestSender drops the sender from which no datagram has come for the longest time. The caller
// holds u.mu; there is at least one sender.
func (u *UDP) dropOldestSender() {
	oldest := ""
	for key, s := range u.senders {
		if oldest == "" || s.lastReceived.Before(u.senders[oldest].lastReceived) {
			oldest = key
		}
	}
	u.senders[oldest].toTarget.Close()
	delete(u.senders, oldest)
}

// receiveAnswers relays the target's datagrams to one sender until Close, or until the sender is
// dropped.
func (u *UDP) receiveAnswers(s *sender) {
	defer u.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := s.toTarget.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the target's machine rejected a datagram; later ones may be accepted
			continue
		}
		u.relayDatagram(u.reverse, buffer[:n], func(data []byte) { _, _ = u.conn.WriteToUDP(data, s.addr) })
	}
}

// relayDatagram relays one datagram in a direction: it drops it, or sends it once or twice.
func (u *UDP) relayDatagram(d *direction, data []byte, send func([]byte)) {
	u.Datagrams.Add(1)
	shape := d.shape.Load()
	if shape.Cut || shape.LossProbability > 0 && d.randomBool(shape.LossProbability) {
		u.Dropped.Add(1)
		return
	}
	u.sendDelayed(d, data, send)
	if shape.DuplicateProbability > 0 && d.randomBool(shape.DuplicateProbability) {
		u.sendDelayed(d, data, send)
	}
}

// sendDelayed sends a datagram at its arrival time, unless the relay is closed or the direction is cut by
// then. It doesn't keep data after it has returned.
func (u *UDP) sendDelayed(d *direction, data []byte, send func([]byte)) {
	wait := time.Until(d.arrivalTime(len(data)))
	if wait <= 0 {
		send(data)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.delayedCount >= maxDelayedDatagrams || u.closed {
		u.Dropped.Add(1)
		return
	}
	u.delayedCount++
	dataCopy := append([]byte(nil), data...)
	time.AfterFunc(wait, func() {
		u.mu.Lock()
		u.delayedCount--
		closed := u.closed
		u.mu.Unlock()
		if !closed && !d.shape.Load().Cut {
			send(dataCopy)
		}
	})
}
