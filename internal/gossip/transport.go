package gossip

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport takes the library's datagrams and streams to members by name, through this
// process's own table: no address that somebody tells of is ever dialled.
type transport struct {
	lookup  func(name string) (string, bool)
	udp     *net.UDPConn
	tcp     net.Listener
	packets chan *memberlist.Packet
	streams chan net.Conn
	ends    chan struct{}
	owned   sync.WaitGroup
	unknown atomic.Int64 // sends to names that the table doesn't have
	dropped atomic.Int64 // datagrams that came while the queue was full
	sent    atomic.Int64 // bytes of datagrams, and of streams that it made

}

const (
	mostPackets = 1024
	mostStreams = 64
	datagram    = 64 << 10
)

func newTransport(listen string, lookup func(string) (string, bool)) (*transport, error) {
	tcp, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	at := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		tcp.Close()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	t := &transport{lookup: lookup, udp: udp, tcp: tcp, packets: make(chan *memberlist.Packet, mostPackets),
		streams: make(chan net.Conn, mostStreams), ends: make(chan struct{})}
	t.owned.Add(2)
	go t.receive()
	go t.accept()
	return t, nil
}

func (t *transport) receive() {
	defer t.owned.Done()
	buf := make([]byte, datagram)
	for {
		n, from, err := t.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the answer to a datagram that nobody took
			continue
		}
		if n == 0 {
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- p:
		default:
			t.dropped.Add(1)
		}
	}
}

func (t *transport) accept() {
	defer t.owned.Done()
	for {
		conn, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(50 * time.Millisecond): // out of descriptors, for instance
				continue
			case <-t.ends:
				return
			}
		}
		select {
		case t.streams <- conn:
		default:
			t.dropped.Add(1)
			conn.Close()
		}
	}
}

// FinalAdvertiseAddr is what others are told; none of them dials it.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	at := t.tcp.Addr().(*net.TCPAddr)
	return at.IP, at.Port, nil
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

// errNoName is a send to an address alone.
var errNoName = errors.New("gossip: no name to dial by")

func (t *transport) WriteTo([]byte, string) (time.Time, error) {
	t.unknown.Add(1)
	return time.Time{}, errNoName
}

func (t *transport) DialTimeout(string, time.Duration) (net.Conn, error) {
	t.unknown.Add(1)
	return nil, errNoName
}

func (t *transport) find(name string) (string, error) {
	if name == "" {
		t.unknown.Add(1)
		return "", errNoName
	}
	addr, known := t.lookup(name)
	if !known {
		t.unknown.Add(1)
		return "", fmt.Errorf("gossip: %s: not in the table of peers", name)
	}
	return addr, nil
}

func (t *transport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	addr, err := t.find(to.Name)
	if err != nil {
		return time.Time{}, err
	}
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("gossip: %s: %w", to.Name, err)
	}
	n, err := t.udp.WriteTo(b, at)
	t.sent.Add(int64(n))
	return time.Now(), err
}

func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	addr, err := t.find(to.Name)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, &t.sent}, nil
}

// countedConn counts what is written.
type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// Shutdown is called by the library as it ends.
func (t *transport) Shutdown() error {
	select {
	case <-t.ends:
		return nil
	default:
	}
	close(t.ends)
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	t.owned.Wait()
	return err
}
